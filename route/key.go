package route

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"rhubarbrack/ident"
	"rhubarbrack/state"
)

// keySeparator separates the public ID from the secret of a key.
const keySeparator = "."

// KeyText returns the text of a key with the given ID and secret.
func KeyText(id ident.KeyID, secret string) string { return string(id) + keySeparator + secret }

// KeyHash returns the digest of a key's text. It is stored instead of the
// text.
func KeyHash(text string) [32]byte { return sha256.Sum256([]byte(text)) }

// checkKey returns the team of a valid key, or the reason why the key is not
// valid. The hashes are compared in constant time.
func checkKey(config *state.Config, text string) (ident.Team, Reason) {
	if text == "" {
		return "", ReasonNoKey
	}
	id, _, ok := strings.Cut(text, keySeparator)
	if !ok {
		return "", ReasonBadKey
	}
	key, ok := config.Key(ident.KeyID(id))
	if !ok {
		return "", ReasonBadKey
	}
	want, got := key.Hash(), KeyHash(text)
	if subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
		return "", ReasonBadKey
	}
	if !key.Valid() {
		return "", ReasonWithdrawnKey
	}
	return key.Team(), ""
}
