package script

import "fmt"

// Answer is the header of an answer.
type Answer struct {
	name, status, fields string
	isMalformed          bool
}

// Answers returns answers whose header is sound or malformed.
func Answers() []Answer {
	return []Answer{
		{"sound", "200 OK", "A: b\r\n", false},
		{"status 000", "000 OK", "", true},
		{"status 999", "999 OK", "", true},
		{"blank before a colon", "200 OK", "A : b\r\n", true},
		{"blank in a name", "200 OK", "Foo Bar: x\r\n", true},
		{"blank before a name", "200 OK", "A: b\r\n C: d\r\n", true},
		{"control byte in a name", "200 OK", "Foo\x01: x\r\n", true},
	}
}

// Name returns what is special about the answer.
func (a Answer) Name() string { return a.name }

// IsMalformed reports whether HTTP/1.x does not allow the header.
func (a Answer) IsMalformed() bool { return a.isMalformed }

// WithBody returns the bytes of the answer with a body, whose length it states.
func (a Answer) WithBody(body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", a.status, a.fields, len(body), body)
}
