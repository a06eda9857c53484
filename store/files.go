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

// FileSystem is the set of file system operations that the package uses. Tests
// inject faults through it. Names are full paths.
type FileSystem interface {
	// MakeDirectory creates a directory and any missing parents.
	MakeDirectory(name string) error
	// ReadFile returns the content of a file. A missing file matches
	// fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// Create opens a new file for writing or truncates an existing one.
	Create(name string) (File, error)
	// OpenAt opens an existing file for writing from an offset on.
	OpenAt(name string, offset int64) (File, error)
	// Rename renames a file and replaces an existing file of the new name.
	Rename(from, to string) error
	// SyncDirectory makes the creation and renaming of files durable.
	SyncDirectory(name string) error
	// Lock locks a file exclusively until the result is closed.
	Lock(name string) (io.Closer, error)
}

// File is a file open for writing.
type File interface {
	io.Writer
	// Truncate truncates the file to a size.
	Truncate(size int64) error
	// Sync makes the content durable.
	Sync() error
	Close() error
}

// OS returns the file system of the operating system.
func OS() FileSystem { return osFileSystem{} }

const (
	filePermission      = 0o600
	directoryPermission = 0o700
)

type osFileSystem struct{}

var _ FileSystem = osFileSystem{}

func (osFileSystem) MakeDirectory(name string) error {
	if err := os.MkdirAll(name, directoryPermission); err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	// The entry of the new directory in its parent must be durable too.
	return osFileSystem{}.SyncDirectory(filepath.Dir(name))
}

func (osFileSystem) ReadFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	return data, nil
}

func (osFileSystem) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePermission)
	if err != nil {
		return nil, fmt.Errorf("create: %w", err)
	}
	return f, nil
}

func (osFileSystem) OpenAt(name string, offset int64) (File, error) {
	f, err := os.OpenFile(name, os.O_WRONLY, filePermission)
	if err != nil {
		return nil, fmt.Errorf("open: %w", err)
	}
	if _, err := f.Seek(offset, io.SeekStart); err != nil {
		return nil, errors.Join(fmt.Errorf("open at offset %d: %w", offset, err), f.Close())
	}
	return f, nil
}

func (osFileSystem) Rename(from, to string) error {
	if err := os.Rename(from, to); err != nil {
		return fmt.Errorf("rename: %w", err)
	}
	return nil
}

func (osFileSystem) SyncDirectory(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open directory: %w", err)
	}
	if err := errors.Join(d.Sync(), d.Close()); err != nil {
		return fmt.Errorf("sync directory: %w", err)
	}
	return nil
}

func (osFileSystem) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, filePermission)
	if err != nil {
		return nil, fmt.Errorf("open lock: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%w: %w", ErrInUse, err), f.Close())
	}
	return f, nil
}

// isNotExist reports whether an error means that a file does not exist.
func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
