package store

import (
	"fmt"
	"slices"
	"strings"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
)

// directoryContent is the expected content of a directory.
type directoryContent struct {
	term     agree.Term
	snapshot agree.Snapshot
	entries  []agree.Entry
}

func (c directoryContent) last() ident.Revision {
	if len(c.entries) == 0 {
		return c.snapshot.Revision()
	}
	return c.entries[len(c.entries)-1].Revision()
}

// String describes the content. It leaves out entries that the snapshot includes.
func (c directoryContent) String() string {
	description := fmt.Sprintf("term %d, snapshot %d %q:", c.term, c.snapshot.Revision(), c.snapshot.Data())
	for _, e := range c.entries {
		if e.Revision() > c.snapshot.Revision() {
			description += fmt.Sprintf(" %d/%d/%q/%d", e.Revision(), e.Term(), e.Data(), e.Members().Len())
		}
	}
	return description
}

func contentOf(r agree.PersistentState) directoryContent {
	s, _ := r.Snapshot().Get()
	return directoryContent{term: r.HardState().Term(), snapshot: s, entries: r.Entries()}
}

// logDriver performs operations on a log and records which contents are allowed
// after a crash.
type logDriver struct {
	files   *memoryFileSystem
	log     *Log
	current directoryContent
	allowed []string
}

func newLogDriver() *logDriver {
	d := &logDriver{files: newMemoryFileSystem()}
	if _, err := d.open(); err != nil {
		panic(err)
	}
	d.confirmDurable(nil)
	return d
}

func (d *logDriver) open() (agree.PersistentState, error) {
	log, restored, err := Open("d", WithFileSystem(d.files), WithHost("a"))
	d.log = log
	return restored, err
}

// allowCurrent adds the current content to those allowed after a crash during the
// next operation.
func (d *logDriver) allowCurrent() { d.allowed = append(d.allowed, d.current.String()) }

// confirmDurable allows only the current content if an operation has made it
// durable.
func (d *logDriver) confirmDurable(err error) {
	if err == nil {
		d.allowed = []string{d.current.String()}
	}
}

// perform carries out the operation that a number encodes.
func (d *logDriver) perform(action uint16) {
	switch amount := int(action >> 3); action & 7 {
	case 0, 1, 2:
		d.append(amount)
	case 3, 4:
		d.confirmDurable(d.log.Sync())
	case 5:
		d.compact(amount)
	case 6:
		d.install()
	case 7:
		d.files.operationsLeft = 1 + amount%8
	}
}

// append appends up to three entries, some of which replace earlier ones.
func (d *logDriver) append(amount int) {
	d.current.term++
	next := d.current.last() + 1
	if back := ident.Revision(amount % 4); amount%5 == 0 && next > d.current.snapshot.Revision()+1+back {
		next -= back
	}
	var entries []agree.Entry
	for i := range amount % 4 {
		entries = append(entries, agree.NewEntry(next+ident.Revision(i), d.current.term, agree.EntryData, fmt.Append(nil, payload(i))))
	}
	if len(entries) > 0 {
		kept := slices.DeleteFunc(slices.Clone(d.current.entries), func(e agree.Entry) bool { return e.Revision() >= next })
		d.current.entries = append(kept, entries...)
	}
	d.allowCurrent()
	_ = d.log.Append(d.hard(), entries)
}

func payload(i int) string { return strings.Repeat("x", i) }

func (d *logDriver) hard() agree.HardState { return agree.NewHardState(d.current.term, "a", voters) }

// compact saves a snapshot at the last entry and compacts the log to that entry.
func (d *logDriver) compact(amount int) {
	if len(d.current.entries) == 0 || d.log.Sync() != nil {
		return
	}
	last := d.current.entries[len(d.current.entries)-1]
	d.current.snapshot = agree.NewSnapshot(last.Revision(), last.Term(), voters, fmt.Append(nil, amount))
	d.current.entries = []agree.Entry{last}
	d.allowCurrent()
	if err := d.log.SaveSnapshot(d.current.snapshot); err == nil {
		d.confirmDurable(d.log.Compact(d.hard(), d.current.entries))
	}
}

// install replaces the content with a snapshot that is ahead of the log, as a
// node does with a snapshot from the leader.
func (d *logDriver) install() {
	d.confirmDurable(d.log.Sync())
	d.current.snapshot = agree.NewSnapshot(d.current.last()+5, d.current.term+1, voters, nil)
	d.current.entries = nil
	d.allowCurrent()
	if err := d.log.SaveSnapshot(d.current.snapshot); err == nil {
		d.confirmDurable(d.log.Compact(d.hard(), nil))
	}
}
