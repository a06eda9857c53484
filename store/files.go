package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// FileSystem is the part of a file system that the package uses. Tests
// inject faults through it. Names are full paths.
type FileSystem interface {
	// MakeDirectory creates a directory and its parents where missing.
	MakeDirectory(name string) error
	// ReadFile returns the content of a file. A missing file matches
	// fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// Create opens an empty file for writing and replaces an existing one.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for writing at its end.
	OpenAppend(name string) (File, error)
	// Rename replaces the file to by the file from.
	Rename(from, to string) error
	// SyncDirectory makes created and renamed names durable.
	SyncDirectory(name string) error
	// Lock keeps other processes from locking the same name until the
	// result is closed.
	Lock(name string) (io.Closer, error)
}

// File is a file open for writing.
type File interface {
	io.Writer
	// Truncate cuts the file to a size.
	Truncate(size int64) error
	// Sync makes the content durable.
	Sync() error
	Close() error
}

// OS returns the file system of the machine.
func OS() FileSystem { return machineFiles{} }

const (
	filePermission      = 0o600
	directoryPermission = 0o700
)

type machineFiles struct{}

var _ FileSystem = machineFiles{}

func (machineFiles) MakeDirectory(name string) error {
	if err := os.MkdirAll(name, directoryPermission); err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	// The new directory's own name must survive a crash too.
	return machineFiles{}.SyncDirectory(filepath.Dir(name))
}

func (machineFiles) ReadFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	return data, nil
}

func (machineFiles) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePermission)
	if err != nil {
		return nil, fmt.Errorf("create: %w", err)
	}
	return f, nil
}

func (machineFiles) OpenAppend(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_APPEND, filePermission)
	if err != nil {
		return nil, fmt.Errorf("open: %w", err)
	}
	return f, nil
}

func (machineFiles) Rename(from, to string) error {
	if err := os.Rename(from, to); err != nil {
		return fmt.Errorf("rename: %w", err)
	}
	return nil
}

func (machineFiles) SyncDirectory(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open directory: %w", err)
	}
	if err := errors.Join(d.Sync(), d.Close()); err != nil {
		return fmt.Errorf("sync directory: %w", err)
	}
	return nil
}

func (machineFiles) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, filePermission)
	if err != nil {
		return nil, fmt.Errorf("open lock: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%w: %w", ErrInUse, err), f.Close())
	}
	return f, nil
}

// isMissing reports whether an error means that a file does not exist.
func isMissing(err error) bool { return errors.Is(err, fs.ErrNotExist) }
