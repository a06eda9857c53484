package store

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"

	"rhubarbrack/agree"
)

// flushBytes is the size of the buffer from which on Append writes without
// waiting for Sync.
const flushBytes = 1 << 20

// Log is an open directory. It is not safe for concurrent use; its owner is
// the disk goroutine of a replica.
type Log struct {
	files     FileSystem
	directory string
	lock      io.Closer
	file      File
	buffer    []byte
	written   int64
	synced    int64
	failed    error
}

// Append adds a record with the hard state and entries to the log. Entries
// replace those of the same and later revisions. The record is durable only
// after Sync.
func (l *Log) Append(hard agree.HardState, entries []agree.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.buffered(&logRecord{Synced: l.synced, Hard: fromHard(hard), Entries: fromEntries(entries)}); err != nil {
		return l.fail(l.path(logName), err)
	}
	if len(l.buffer) < flushBytes {
		return nil
	}
	return l.flush()
}

func (l *Log) buffered(record *logRecord) error {
	body, err := encode(record)
	if err != nil {
		return fmt.Errorf("buffer record: %w", err)
	}
	l.buffer = appendFrame(l.buffer, body)
	return nil
}

// Sync makes all appended records durable.
func (l *Log) Sync() error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.flush(); err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	if l.synced == l.written {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(l.path(logName), fmt.Errorf("sync: %w", err))
	}
	l.synced = l.written
	return l.mark()
}

// mark writes the synced offset. The mark itself need not be durable: it
// tells a broken synced record from a torn one as long as the machine has not
// crashed, and later records repeat the offset.
func (l *Log) mark() error {
	if err := l.buffered(&logRecord{Synced: l.synced}); err != nil {
		return l.fail(l.path(logName), err)
	}
	if err := l.flush(); err != nil {
		return fmt.Errorf("mark: %w", err)
	}
	return nil
}

func (l *Log) flush() error {
	if len(l.buffer) == 0 {
		return nil
	}
	n, err := l.file.Write(l.buffer)
	l.written += int64(n)
	if err != nil {
		return l.fail(l.path(logName), fmt.Errorf("write: %w", err))
	}
	l.buffer = l.buffer[:0]
	return nil
}

// SaveSnapshot replaces the snapshot. It is durable on return.
func (l *Log) SaveSnapshot(snapshot agree.Snapshot) error {
	if l.failed != nil {
		return l.failed
	}
	body, err := encode(fromSnapshot(snapshot))
	if err != nil {
		return l.fail(l.path(snapshotName), err)
	}
	f, err := l.replace(snapshotName, appendFrame(nil, body))
	if err != nil {
		return l.fail(l.path(snapshotName), err)
	}
	if err := f.Close(); err != nil {
		return l.fail(l.path(snapshotName), fmt.Errorf("close: %w", err))
	}
	return nil
}

// Compact replaces the whole log by the hard state and entries. It is
// durable on return.
func (l *Log) Compact(hard agree.HardState, entries []agree.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	l.buffer = l.buffer[:0]
	if err := l.buffered(&logRecord{Hard: fromHard(hard), Entries: fromEntries(entries)}); err != nil {
		return l.fail(l.path(logName), err)
	}
	f, err := l.replace(logName, l.buffer)
	if err != nil {
		return l.fail(l.path(logName), err)
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return l.fail(l.path(logName), errors.Join(fmt.Errorf("close: %w", err), f.Close()))
		}
	}
	l.file = f
	l.written, l.synced = int64(len(l.buffer)), int64(len(l.buffer))
	l.buffer = l.buffer[:0]
	return l.mark()
}

// replace writes a file under a temporary name, syncs it, renames it and
// syncs the directory. The file stays open at its end.
func (l *Log) replace(name string, content []byte) (File, error) {
	f, err := l.files.Create(l.path(name + temporary))
	if err != nil {
		return nil, fmt.Errorf("replace %s: %w", name, err)
	}
	if err := l.install(f, name, content); err != nil {
		return nil, errors.Join(fmt.Errorf("replace %s: %w", name, err), f.Close())
	}
	return f, nil
}

func (l *Log) install(f File, name string, content []byte) error {
	if _, err := f.Write(content); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	if err := l.files.Rename(l.path(name+temporary), l.path(name)); err != nil {
		return fmt.Errorf("install: %w", err)
	}
	if err := l.files.SyncDirectory(l.directory); err != nil {
		return fmt.Errorf("install: %w", err)
	}
	return nil
}

// Close closes the files without a sync.
func (l *Log) Close() error {
	if l.failed == nil {
		l.failed = ErrClosed
	}
	var err error
	if l.file != nil {
		err = l.file.Close()
		l.file = nil
	}
	if l.lock != nil {
		err = errors.Join(err, l.lock.Close())
		l.lock = nil
	}
	if err != nil {
		return fmt.Errorf("close %s: %w", l.directory, err)
	}
	return nil
}

// fail records the error that every later call returns.
func (l *Log) fail(file string, cause error) error {
	failed := &IOError{file: file, cause: cause}
	if file == l.path(logName) {
		failed.offset = l.synced
	}
	l.failed = failed
	return l.failed
}

func (l *Log) path(name string) string { return filepath.Join(l.directory, name) }
