package intact

import "strings"

// IsToken reports whether a text, such as the name of a header field, is a token of
// RFC 9110, section 5.6.2.
func IsToken(text []byte) bool {
	for _, c := range text {
		isLetter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !isLetter && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// IsFieldValue reports whether a text, such as the value of a header field, has no
// control characters but tabs.
func IsFieldValue(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
