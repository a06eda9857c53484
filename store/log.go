package store

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"path/filepath"

	"rhubarbrack/agree"
)

// maxBufferBytes is the size of the buffer at which Append writes it to the file
// without waiting for Sync.
const maxBufferBytes = 1 << 20

// Log is the open log of a directory, with the snapshot next to it. It is not
// safe for concurrent use; the disk goroutine of a replica owns it. written is
// the size of the file, and synced the offset up to which it is durable.
type Log struct {
	files     FileSystem
	directory string
	lock      io.Closer
	file      File
	buffer    []byte
	written   int64
	synced    int64
	failure   error
}

// Append appends a record with the hard state and entries to the log. The entries
// replace all existing ones from the revision of the first entry on. The record
// is durable only after Sync.
func (l *Log) Append(hard agree.HardState, entries []agree.Entry) error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.bufferRecord(&logRecord{Synced: l.synced, Hard: fromHardState(hard), Entries: fromEntries(entries)}); err != nil {
		return l.fail(l.path(logFileName), err)
	}
	if len(l.buffer) < maxBufferBytes {
		return nil
	}
	return l.flush()
}

func (l *Log) bufferRecord(record *logRecord) error {
	body, err := encode(record)
	if err != nil {
		return fmt.Errorf("buffer record: %w", err)
	}
	l.buffer = appendFrame(l.buffer, body)
	return nil
}

// Sync makes all appended records durable.
func (l *Log) Sync() error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.flush(); err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	if l.synced == l.written {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(l.path(logFileName), fmt.Errorf("sync: %w", err))
	}
	l.synced = l.written
	return l.writeSyncMark()
}

// writeSyncMark writes a record with the synced offset. The record itself need not
// be durable: it distinguishes a corrupt record from a torn one as long as the
// machine has not crashed, and later records repeat the offset.
func (l *Log) writeSyncMark() error {
	if err := l.bufferRecord(&logRecord{Synced: l.synced}); err != nil {
		return l.fail(l.path(logFileName), err)
	}
	if err := l.flush(); err != nil {
		return fmt.Errorf("write sync mark: %w", err)
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
		return l.fail(l.path(logFileName), fmt.Errorf("write: %w", err))
	}
	l.buffer = l.buffer[:0]
	if cap(l.buffer) > 2*maxBufferBytes {
		// A few large entries must not occupy memory for good.
		l.buffer = nil
	}
	return nil
}

// SaveSnapshot replaces the snapshot. The new one is durable on return.
func (l *Log) SaveSnapshot(snapshot agree.Snapshot) error {
	if l.failure != nil {
		return l.failure
	}
	f, _, err := l.replaceFile(snapshotFileName, func(w io.Writer) error { return writeFrame(w, fromSnapshot(snapshot)) })
	if err != nil {
		return l.fail(l.path(snapshotFileName), err)
	}
	if err := f.Close(); err != nil {
		return l.fail(l.path(snapshotFileName), fmt.Errorf("close: %w", err))
	}
	return nil
}

// Compact replaces the whole log with the hard state and entries. The new log is
// durable on return.
func (l *Log) Compact(hard agree.HardState, entries []agree.Entry) error {
	if l.failure != nil {
		return l.failure
	}
	l.buffer = nil
	f, size, err := l.replaceFile(logFileName, func(w io.Writer) error { return writeEntries(w, hard, entries) })
	if err != nil {
		return l.fail(l.path(logFileName), err)
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return l.fail(l.path(logFileName), errors.Join(fmt.Errorf("close: %w", err), f.Close()))
		}
	}
	l.file = f
	l.written, l.synced = size, size
	return l.writeSyncMark()
}

// writeEntries writes the hard state and entries as records of about
// maxBufferBytes.
func writeEntries(w io.Writer, hard agree.HardState, entries []agree.Entry) error {
	record := &logRecord{Hard: fromHardState(hard)}
	for {
		n := leadingEntries(entries, maxBufferBytes)
		record.Entries = fromEntries(entries[:n])
		if err := writeFrame(w, record); err != nil {
			return fmt.Errorf("write entries: %w", err)
		}
		if entries = entries[n:]; len(entries) == 0 {
			return nil
		}
		record = &logRecord{}
	}
}

// leadingEntries returns how many entries fit into a size, but at least one if
// there is any.
func leadingEntries(entries []agree.Entry, size int) int {
	for i, e := range entries {
		size -= e.Size()
		if size < 0 {
			return max(i, 1)
		}
	}
	return len(entries)
}

// replaceFile writes a file under a temporary name, syncs it, renames it and
// syncs the directory. It returns the file open for appending, and its size.
func (l *Log) replaceFile(name string, write func(io.Writer) error) (File, int64, error) {
	f, err := l.files.Create(l.path(name + temporarySuffix))
	if err != nil {
		return nil, 0, fmt.Errorf("replace %s: %w", name, err)
	}
	size, err := l.writeAndRename(f, name, write)
	if err != nil {
		return nil, 0, errors.Join(fmt.Errorf("replace %s: %w", name, err), f.Close())
	}
	return f, size, nil
}

func (l *Log) writeAndRename(f File, name string, write func(io.Writer) error) (int64, error) {
	var size countingWriter
	buffer := bufio.NewWriter(io.MultiWriter(f, &size))
	if err := errors.Join(write(buffer), buffer.Flush()); err != nil {
		return 0, fmt.Errorf("write: %w", err)
	}
	if err := f.Sync(); err != nil {
		return 0, fmt.Errorf("sync: %w", err)
	}
	if err := l.files.Rename(l.path(name+temporarySuffix), l.path(name)); err != nil {
		return 0, fmt.Errorf("install: %w", err)
	}
	if err := l.files.SyncDirectory(l.directory); err != nil {
		return 0, fmt.Errorf("install: %w", err)
	}
	return int64(size), nil
}

// Close closes the files without syncing them.
func (l *Log) Close() error {
	if l.failure == nil {
		l.failure = ErrClosed
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

// fail stores and returns the error that every later call returns.
func (l *Log) fail(file string, cause error) error {
	failed := &IOError{file: file, cause: cause}
	if file == l.path(logFileName) {
		failed.offset = l.synced
	}
	l.failure = failed
	return l.failure
}

func (l *Log) path(name string) string { return filepath.Join(l.directory, name) }
