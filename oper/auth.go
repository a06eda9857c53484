package oper

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// Token is the digest of an operator's token.
type Token struct {
	name string
	hash [sha256.Size]byte
}

// NewToken returns the token of a named operator with its SHA-256 digest.
func NewToken(name string, hash [sha256.Size]byte) Token { return Token{name: name, hash: hash} }

const bearer = "Bearer "

// guard admits requests with a known token. Every token is compared, so that
// the time taken does not tell which one is close.
func guard(tokens []Token, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
		got := sha256.Sum256([]byte(text))
		match := 0
		for _, t := range tokens {
			match |= subtle.ConstantTimeCompare(got[:], t.hash[:])
		}
		if !ok || match == 0 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			fail(w, http.StatusUnauthorized, "token-invalid", "the request needs the bearer token of an operator")
			return
		}
		next.ServeHTTP(w, r)
	})
}
