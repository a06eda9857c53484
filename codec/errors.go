package codec

import "fmt"

// VersionError reports that data was encoded in a version that this program
// does not support.
type VersionError struct {
	got int
}

// Got returns the version of the data.
func (e *VersionError) Got() int { return e.got }

// Error returns a message with the version and the supported one.
func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d is not known: want %d", e.got, envelopeVersion)
}

// KindError reports that data has an unexpected kind.
type KindError struct {
	got  string
	want string
}

// Got returns the kind of the data.
func (e *KindError) Got() string { return e.got }

// Want describes the expected kinds.
func (e *KindError) Want() string { return e.want }

// Error returns a message with the kind and the expected kinds.
func (e *KindError) Error() string {
	return fmt.Sprintf("kind %q is not known: want %s", e.got, e.want)
}

// CorruptError reports that data cannot be decoded.
type CorruptError struct {
	content string
	err     error
}

// Content names the data that cannot be decoded.
func (e *CorruptError) Content() string { return e.content }

// Error returns a message with the content and the cause.
func (e *CorruptError) Error() string { return fmt.Sprintf("corrupt %s: %v", e.content, e.err) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.err }
