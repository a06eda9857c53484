package store

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
)

// Names of the files in a directory.
const (
	identityName = "identity"
	logName      = "log"
	snapshotName = "snapshot"
	lockName     = "lock"
	temporary    = ".tmp"
)

type options struct {
	files  FileSystem
	host   ident.Host
	random io.Reader
}

// Option changes a default of Open.
type Option func(*options)

// WithFileSystem sets the file system. The default is OS.
func WithFileSystem(files FileSystem) Option { return func(o *options) { o.files = files } }

// WithHost sets the host that owns the directory. Open refuses a directory
// that belongs to another host.
func WithHost(host ident.Host) Option { return func(o *options) { o.host = host } }

// WithRandom sets the source of the identity of a new disk. The default is
// the system's.
func WithRandom(source io.Reader) Option { return func(o *options) { o.random = source } }

// Open opens a directory, creates what is missing and returns what it holds.
// It cuts off the torn tail of a crash. Damage to what was synced is returned
// as a CorruptError, another failure of the disk as a FailedError.
func Open(directory string, list ...Option) (*Log, agree.PersistentState, error) {
	o := options{files: OS(), random: rand.Reader}
	for _, apply := range list {
		apply(&o)
	}
	l := &Log{files: o.files, directory: directory}
	restored, err := l.open(o)
	if err != nil {
		return nil, agree.PersistentState{}, errors.Join(fmt.Errorf("open %s: %w", directory, err), l.Close())
	}
	return l, restored, nil
}

func (l *Log) open(o options) (agree.PersistentState, error) {
	if err := l.files.MakeDirectory(l.directory); err != nil {
		return agree.PersistentState{}, l.fail(l.directory, err)
	}
	lock, err := l.files.Lock(l.path(lockName))
	if err != nil {
		return agree.PersistentState{}, fmt.Errorf("lock: %w", err)
	}
	l.lock = lock
	hard, snapshot, entries, err := l.restore()
	if err != nil {
		return agree.PersistentState{}, fmt.Errorf("restore: %w", err)
	}
	isEmpty := agree.NewPersistentState(0, hard, snapshot, entries).IsEmpty()
	disk, err := l.identity(o, isEmpty)
	if err != nil {
		return agree.PersistentState{}, fmt.Errorf("identify the disk: %w", err)
	}
	return agree.NewPersistentState(disk, hard, snapshot, entries), nil
}

// restore reads snapshot and log and leaves the log open for appending.
func (l *Log) restore() (agree.HardState, ident.Option[agree.Snapshot], []agree.Entry, error) {
	var none agree.HardState
	snapshot, err := l.readSnapshot()
	if err != nil {
		return none, snapshot, nil, fmt.Errorf("read snapshot: %w", err)
	}
	content, err := l.files.ReadFile(l.path(logName))
	if isMissing(err) {
		return none, snapshot, nil, l.create(snapshot)
	}
	if err != nil {
		return none, snapshot, nil, l.fail(l.path(logName), err)
	}
	r := reader{log: l, content: content}
	if err := r.read(); err != nil {
		return none, snapshot, nil, fmt.Errorf("read log: %w", err)
	}
	if err := l.reopen(r.end, int64(len(content))); err != nil {
		return none, snapshot, nil, fmt.Errorf("reopen log: %w", err)
	}
	entries, err := l.reconcile(snapshot, r.hard, r.entries)
	if err != nil {
		return none, snapshot, nil, fmt.Errorf("reconcile log and snapshot: %w", err)
	}
	return r.hard, snapshot, entries, nil
}

// create starts an empty log. The identity is created after it, so a
// directory that has one of the other files has lost its log.
func (l *Log) create(snapshot ident.Option[agree.Snapshot]) error {
	_, hasSnapshot := snapshot.Get()
	_, err := l.files.ReadFile(l.path(identityName))
	if hasSnapshot || !isMissing(err) {
		return l.corrupt(logName, 0, "the log is missing")
	}
	return l.Compact(agree.HardState{}, nil)
}

// identity returns the identity of the disk and creates it on a new one.
func (l *Log) identity(o options, isEmpty bool) (agree.DiskID, error) {
	body, err := l.readRecord(identityName)
	if isMissing(err) {
		if !isEmpty {
			return 0, l.corrupt(identityName, 0, "the identity is missing, but there is a log")
		}
		return l.createIdentity(o)
	}
	if err != nil {
		return 0, fmt.Errorf("read identity: %w", err)
	}
	var record identityRecord
	if err := decode(body, &record); err != nil {
		return 0, l.corrupt(identityName, 0, err.Error())
	}
	if o.host != "" && record.Host != "" && ident.Host(record.Host) != o.host {
		return 0, fmt.Errorf("%w: %s", ErrOtherHost, record.Host)
	}
	return agree.DiskID(record.Disk), nil
}

func (l *Log) createIdentity(o options) (agree.DiskID, error) {
	var random [8]byte
	if _, err := io.ReadFull(o.random, random[:]); err != nil {
		return 0, fmt.Errorf("create identity: %w", err)
	}
	// Zero stands for an unknown disk.
	disk := binary.BigEndian.Uint64(random[:]) | 1
	body, err := encode(identityRecord{Host: string(o.host), Disk: disk})
	if err != nil {
		return 0, fmt.Errorf("create identity: %w", err)
	}
	f, err := l.replace(identityName, appendFrame(nil, body))
	if err != nil {
		return 0, l.fail(l.path(identityName), err)
	}
	if err := f.Close(); err != nil {
		return 0, l.fail(l.path(identityName), fmt.Errorf("close: %w", err))
	}
	return agree.DiskID(disk), nil
}

func (l *Log) readSnapshot() (ident.Option[agree.Snapshot], error) {
	none := ident.None[agree.Snapshot]()
	body, err := l.readRecord(snapshotName)
	if isMissing(err) {
		return none, nil
	}
	if err != nil {
		return none, fmt.Errorf("read record: %w", err)
	}
	var record snapshotRecord
	if err := decode(body, &record); err != nil {
		return none, l.corrupt(snapshotName, 0, err.Error())
	}
	return ident.Some(record.snapshot()), nil
}

// readRecord returns the body of a file that holds one record.
func (l *Log) readRecord(name string) ([]byte, error) {
	content, err := l.files.ReadFile(l.path(name))
	if isMissing(err) {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if err != nil {
		return nil, l.fail(l.path(name), err)
	}
	body, size, ok := frameAt(content)
	if !ok || size != len(content) {
		return nil, l.corrupt(name, 0, "broken record")
	}
	return body, nil
}

// reopen opens the log for appending and cuts off a torn tail.
func (l *Log) reopen(end, size int64) error {
	f, err := l.files.OpenAppend(l.path(logName))
	if err != nil {
		return l.fail(l.path(logName), err)
	}
	l.file, l.written, l.synced = f, end, end
	if end < size {
		if err := f.Truncate(end); err != nil {
			return l.fail(l.path(logName), fmt.Errorf("cut off the torn tail: %w", err))
		}
	}
	// Records that were read must stay, even if the crash came before their
	// sync: the node acts on them from now on.
	if err := f.Sync(); err != nil {
		return l.fail(l.path(logName), fmt.Errorf("sync: %w", err))
	}
	return l.mark()
}

// reconcile handles a crash between the saving of a snapshot and the
// compaction of the log. A log that lacks the entry of the snapshot was to be
// replaced as a whole.
func (l *Log) reconcile(
	snapshot ident.Option[agree.Snapshot], hard agree.HardState, entries []agree.Entry,
) ([]agree.Entry, error) {
	s, ok := snapshot.Get()
	if len(entries) == 0 {
		return nil, nil
	}
	first := entries[0].Revision()
	if !ok && first != 1 || ok && first > s.Revision()+1 {
		return nil, l.corrupt(logName, 0, "entries before the first are missing")
	}
	if !ok || first == s.Revision()+1 {
		return entries, nil
	}
	at := int(s.Revision() - first)
	if at < len(entries) && entries[at].Term() == s.Term() {
		return entries, nil
	}
	if err := l.Compact(hard, nil); err != nil {
		return nil, fmt.Errorf("replace the log: %w", err)
	}
	return nil, nil
}

func (l *Log) corrupt(name string, offset int64, reason string) error {
	return &CorruptError{file: l.path(name), offset: offset, reason: reason}
}
