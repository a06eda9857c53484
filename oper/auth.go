package oper

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// Token holds an operator's name and the SHA-256 digest of the operator's token.
type Token struct {
	name string
	hash [sha256.Size]byte
}

// NewToken returns the token record of a named operator from the SHA-256 digest
// of the token.
func NewToken(name string, hash [sha256.Size]byte) Token { return Token{name: name, hash: hash} }

const bearerPrefix = "Bearer "

// requireToken passes on requests that carry a known operator token. It compares
// every token in constant time, so that the response time reveals nothing about
// the known tokens.
func requireToken(tokens []Token, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		digest := sha256.Sum256([]byte(text))
		match := 0
		for _, t := range tokens {
			match |= subtle.ConstantTimeCompare(digest[:], t.hash[:])
		}
		if !ok || match == 0 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, "token-invalid", "the request needs the bearer token of an operator")
			return
		}
		next.ServeHTTP(w, r)
	})
}
