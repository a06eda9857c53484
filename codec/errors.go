package codec

import "fmt"

// VersionError tells that bytes were written in a version that this program
// does not know.
type VersionError struct {
	got int
}

// Got returns the version of the bytes.
func (e *VersionError) Got() int { return e.got }

// Error names the version and the known one.
func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d is not known: want %d", e.got, version)
}

// KindError tells that bytes hold another kind of content than asked for.
type KindError struct {
	got  string
	want string
}

// Got returns the kind of the bytes.
func (e *KindError) Got() string { return e.got }

// Want describes the kinds that were asked for.
func (e *KindError) Want() string { return e.want }

// Error names the kind and what was asked for.
func (e *KindError) Error() string {
	return fmt.Sprintf("kind %q is not known: want %s", e.got, e.want)
}

// CorruptError tells that bytes cannot be read.
type CorruptError struct {
	what string
	err  error
}

// Content names the content that cannot be read.
func (e *CorruptError) Content() string { return e.what }

// Error names the content and the cause.
func (e *CorruptError) Error() string { return fmt.Sprintf("corrupt %s: %v", e.what, e.err) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.err }
