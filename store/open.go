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
	identityFileName = "identity"
	logFileName      = "log"
	snapshotFileName = "snapshot"
	lockFileName     = "lock"
	temporarySuffix  = ".tmp"
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

// WithHost sets the host that owns the directory. Open fails for a directory that
// belongs to another host.
func WithHost(host ident.Host) Option { return func(o *options) { o.host = host } }

// WithRandom sets the source of randomness for the identity of a new disk. The
// default is that of the operating system.
func WithRandom(source io.Reader) Option { return func(o *options) { o.random = source } }

// Open opens a directory, creates missing files in a new one, and returns its
// content. It truncates a tail that was torn by a crash. Damage to synced data is
// returned as a CorruptError, and other failures of the disk as an IOError.
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
	lock, err := l.files.Lock(l.path(lockFileName))
	if err != nil {
		return agree.PersistentState{}, fmt.Errorf("lock: %w", err)
	}
	l.lock = lock
	// An earlier process may have ended between the renaming of a file and the
	// sync of the directory. What is read from the file must not be lost later.
	if err := l.files.SyncDirectory(l.directory); err != nil {
		return agree.PersistentState{}, l.fail(l.directory, err)
	}
	hard, snapshot, entries, err := l.restore()
	if err != nil {
		return agree.PersistentState{}, fmt.Errorf("restore: %w", err)
	}
	isEmpty := agree.NewPersistentState(0, hard, snapshot, entries).IsEmpty()
	disk, err := l.loadIdentity(o, isEmpty)
	if err != nil {
		return agree.PersistentState{}, fmt.Errorf("identify the disk: %w", err)
	}
	return agree.NewPersistentState(disk, hard, snapshot, entries), nil
}

// restore reads the snapshot and the log and opens the log for appending.
func (l *Log) restore() (agree.HardState, ident.Option[agree.Snapshot], []agree.Entry, error) {
	var none agree.HardState
	snapshot, err := l.readSnapshot()
	if err != nil {
		return none, snapshot, nil, fmt.Errorf("read snapshot: %w", err)
	}
	content, err := l.files.ReadFile(l.path(logFileName))
	if isNotExist(err) {
		return none, snapshot, nil, l.createLog(snapshot)
	}
	if err != nil {
		return none, snapshot, nil, l.fail(l.path(logFileName), err)
	}
	r := logReader{log: l, content: content}
	if err := r.read(); err != nil {
		return none, snapshot, nil, fmt.Errorf("read log: %w", err)
	}
	if err := l.reopenLog(&r); err != nil {
		return none, snapshot, nil, fmt.Errorf("reopen log: %w", err)
	}
	entries, err := l.reconcile(snapshot, r.hard, r.entries)
	if err != nil {
		return none, snapshot, nil, fmt.Errorf("reconcile log and snapshot: %w", err)
	}
	return r.hard, snapshot, entries, nil
}

// createLog creates an empty log. The identity and the snapshot are created later
// than the log, so a directory that holds one of them has lost its log.
func (l *Log) createLog(snapshot ident.Option[agree.Snapshot]) error {
	_, hasSnapshot := snapshot.Get()
	_, err := l.files.ReadFile(l.path(identityFileName))
	if hasSnapshot || !isNotExist(err) {
		return l.corrupt(logFileName, 0, "the log is missing")
	}
	return l.Compact(agree.HardState{}, nil)
}

// loadIdentity returns the identity of the disk. It creates one for an empty
// disk.
func (l *Log) loadIdentity(o options, isEmpty bool) (agree.DiskID, error) {
	body, err := l.readRecord(identityFileName)
	if isNotExist(err) {
		if !isEmpty {
			return 0, l.corrupt(identityFileName, 0, "the identity is missing, but there is a log")
		}
		return l.createIdentity(o)
	}
	if err != nil {
		return 0, fmt.Errorf("read identity: %w", err)
	}
	var record identityRecord
	if err := decode(body, &record); err != nil {
		return 0, l.corrupt(identityFileName, 0, err.Error())
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
	f, _, err := l.replaceFile(identityFileName, func(w io.Writer) error {
		if _, err := w.Write(appendFrame(nil, body)); err != nil {
			return fmt.Errorf("write identity: %w", err)
		}
		return nil
	})
	if err != nil {
		return 0, l.fail(l.path(identityFileName), err)
	}
	if err := f.Close(); err != nil {
		return 0, l.fail(l.path(identityFileName), fmt.Errorf("close: %w", err))
	}
	return agree.DiskID(disk), nil
}

func (l *Log) readSnapshot() (ident.Option[agree.Snapshot], error) {
	none := ident.None[agree.Snapshot]()
	body, err := l.readRecord(snapshotFileName)
	if isNotExist(err) {
		return none, nil
	}
	if err != nil {
		return none, fmt.Errorf("read record: %w", err)
	}
	var record snapshotRecord
	if err := decode(body, &record); err != nil {
		return none, l.corrupt(snapshotFileName, 0, err.Error())
	}
	return ident.Some(record.snapshot()), nil
}

// readRecord returns the body of the record in a file that holds a single one.
func (l *Log) readRecord(name string) ([]byte, error) {
	content, err := l.files.ReadFile(l.path(name))
	if isNotExist(err) {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if err != nil {
		return nil, l.fail(l.path(name), err)
	}
	body, size, ok := decodeFrame(content)
	if !ok || size != len(content) {
		return nil, l.corrupt(name, 0, "broken record")
	}
	return body, nil
}

// reopenLog opens the log for appending and truncates a torn tail. The records that
// were read must be durable, because the node acts on them from now on. Those that
// the log does not state to be synced are written again: an earlier process may
// have ended after a failed sync, and another sync of the same file can then
// succeed without having written them.
func (l *Log) reopenLog(r *logReader) error {
	f, err := l.files.OpenAt(l.path(logFileName), r.marked)
	if err != nil {
		return l.fail(l.path(logFileName), err)
	}
	l.file, l.written, l.synced = f, r.offset, r.marked
	if _, err := f.Write(r.content[r.marked:r.offset]); err != nil {
		return l.fail(l.path(logFileName), fmt.Errorf("write again: %w", err))
	}
	if r.offset < int64(len(r.content)) {
		if err := f.Truncate(r.offset); err != nil {
			return l.fail(l.path(logFileName), fmt.Errorf("truncate the torn tail: %w", err))
		}
	}
	if err := f.Sync(); err != nil {
		return l.fail(l.path(logFileName), fmt.Errorf("sync: %w", err))
	}
	l.synced = r.offset
	return l.writeSyncMark()
}

// reconcile recovers from a crash between the saving of a snapshot and the
// compaction of the log. If the log does not contain the last entry that the
// snapshot includes, the snapshot came from the leader and was to replace the
// whole log.
func (l *Log) reconcile(
	snapshot ident.Option[agree.Snapshot], hard agree.HardState, entries []agree.Entry,
) ([]agree.Entry, error) {
	s, ok := snapshot.Get()
	if len(entries) == 0 {
		return nil, nil
	}
	first := entries[0].Revision()
	if !ok && first != 1 || ok && first > s.Revision()+1 {
		return nil, l.corrupt(logFileName, 0, "entries before the first are missing")
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
