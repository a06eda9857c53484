package store

import (
	"fmt"

	"github.com/juju/errors"
)

const (
	// ErrInUse means that another process has the directory open.
	ErrInUse = errors.ConstError("directory is in use by another process")
	// ErrOtherHost means that the directory belongs to a host of another
	// name.
	ErrOtherHost = errors.ConstError("directory belongs to another host")
	// ErrClosed is returned after Close.
	ErrClosed = errors.ConstError("log is closed")
)

// CorruptError tells that a file does not hold what was synced to it.
type CorruptError struct {
	file   string
	offset int64
	reason string
}

// File returns the path of the file.
func (e *CorruptError) File() string { return e.file }

// Offset returns where the broken record starts, in bytes.
func (e *CorruptError) Offset() int64 { return e.offset }

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.file, e.offset, e.reason)
}

// IOError tells that a write or a sync failed. What the file holds from
// the offset on is unknown.
type IOError struct {
	file   string
	offset int64
	cause  error
}

// File returns the path of the file.
func (e *IOError) File() string { return e.file }

// Offset returns the end of what is known to be durable, in bytes.
func (e *IOError) Offset() int64 { return e.offset }

// Unwrap returns the cause.
func (e *IOError) Unwrap() error { return e.cause }

// Error implements error.
func (e *IOError) Error() string {
	return fmt.Sprintf("%s is not durable from offset %d on: %v", e.file, e.offset, e.cause)
}
