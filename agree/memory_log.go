package agree

import (
	"slices"

	"rhubarbrack/ident"
)

// memoryLog is the part of the log that is held in memory: the entries after
// revision base, and the sum of their sizes.
type memoryLog struct {
	base     ident.Revision
	baseTerm Term
	entries  []Entry
	bytes    int
}

// restoreMemoryLog rebuilds the log from the content of a disk. If the entries
// start at or before the revision of the snapshot, the first one only provides
// the base.
func restoreMemoryLog(r PersistentState) memoryLog {
	snapshot, _ := r.snapshot.Get()
	l := memoryLog{base: snapshot.revision, baseTerm: snapshot.term, entries: r.entries}
	if len(r.entries) > 0 && r.entries[0].revision <= snapshot.revision {
		l.base, l.baseTerm = r.entries[0].revision, r.entries[0].term
		l.entries = r.entries[1:]
	}
	l.bytes = sizeOf(l.entries)
	return l
}

// sizeOf returns the sum of the sizes of entries.
func sizeOf(entries []Entry) int {
	size := 0
	for _, e := range entries {
		size += e.Size()
	}
	return size
}

func (l *memoryLog) last() ident.Revision { return l.base + ident.Revision(len(l.entries)) }

func (l *memoryLog) lastTerm() Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at a revision. It is unknown before
// base and after the last entry.
func (l *memoryLog) term(revision ident.Revision) (Term, bool) {
	if revision == l.base {
		return l.baseTerm, true
	}
	if revision < l.base || revision > l.last() {
		return 0, false
	}
	return l.entries[revision-l.base-1].term, true
}

// entriesAfter returns the entries that follow a revision, up to a limit in
// bytes but at least one if there is any. The revision must not be before base.
func (l *memoryLog) entriesAfter(revision ident.Revision, limit int) []Entry {
	rest := l.entries[revision-l.base:]
	size := 0
	for i, e := range rest {
		size += e.Size()
		if size > limit && i > 0 {
			return slices.Clip(rest[:i])
		}
	}
	return slices.Clip(rest)
}

// entriesBetween returns the entries after one revision up to and including
// another.
func (l *memoryLog) entriesBetween(after, upTo ident.Revision) []Entry {
	return slices.Clip(l.entries[after-l.base : upTo-l.base])
}

func (l *memoryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	l.bytes += sizeOf(entries)
}

// truncate drops the entries after a revision. The slice is clipped because
// messages and writes may still refer to the dropped entries, which a later
// append must not overwrite.
func (l *memoryLog) truncate(after ident.Revision) {
	l.bytes -= sizeOf(l.entries[after-l.base:])
	l.entries = slices.Clip(l.entries[:after-l.base])
}

// retainedFrom returns the revision after which entries are kept, if at most the
// given number of entries and bytes remain up to a snapshot.
func (l *memoryLog) retainedFrom(snapshot ident.Revision, entries, bytes int) ident.Revision {
	from := snapshot
	for from > l.base && entries > 0 {
		bytes -= l.entries[from-l.base-1].Size()
		if bytes < 0 {
			break
		}
		entries--
		from--
	}
	return from
}

// compact drops the entries up to a revision.
func (l *memoryLog) compact(upTo ident.Revision) {
	if upTo <= l.base {
		return
	}
	term, _ := l.term(upTo)
	l.bytes -= sizeOf(l.entries[:upTo-l.base])
	l.entries = slices.Clone(l.entries[upTo-l.base:])
	l.base, l.baseTerm = upTo, term
}

// reset replaces the log with an empty one that starts after a snapshot.
func (l *memoryLog) reset(s Snapshot) {
	*l = memoryLog{base: s.revision, baseTerm: s.term}
}

// findConflictByTerm returns the greatest revision, no later than the given
// one, whose term is at most the given term. Entries after it cannot match a
// log whose entry at the given revision has this term.
func (l *memoryLog) findConflictByTerm(revision ident.Revision, term Term) (ident.Revision, Term) {
	revision = min(revision, l.last())
	for revision > l.base {
		t, _ := l.term(revision)
		if t <= term {
			return revision, t
		}
		revision--
	}
	return l.base, l.baseTerm
}
