package store

import (
	"fmt"

	"github.com/juju/errors"
)

const (
	// ErrInUse means that another process has the directory open.
	ErrInUse = errors.ConstError("directory is in use by another process")
	// ErrOtherHost means that the directory belongs to a host with another
	// name.
	ErrOtherHost = errors.ConstError("directory belongs to another host")
	// ErrClosed is returned after Close.
	ErrClosed = errors.ConstError("log is closed")
)

// CorruptError reports that a file does not hold the data that was synced to it.
type CorruptError struct {
	file   string
	offset int64
	reason string
}

// File returns the path of the file.
func (e *CorruptError) File() string { return e.file }

// Offset returns the offset of the broken record, in bytes.
func (e *CorruptError) Offset() int64 { return e.offset }

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.file, e.offset, e.reason)
}

// IOError reports that an operation on a file failed. The content of the file
// from the offset on is unknown.
type IOError struct {
	file   string
	offset int64
	cause  error
}

// File returns the path of the file.
func (e *IOError) File() string { return e.file }

// Offset returns the offset up to which the file is known to be durable, in
// bytes.
func (e *IOError) Offset() int64 { return e.offset }

// Unwrap returns the cause.
func (e *IOError) Unwrap() error { return e.cause }

// Error implements error.
func (e *IOError) Error() string {
	return fmt.Sprintf("%s is not durable from offset %d on: %v", e.file, e.offset, e.cause)
}
