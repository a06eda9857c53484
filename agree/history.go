package agree

import (
	"slices"

	"rhubarbrack/ident"
)

// history is the part of the log that is in memory: the entries after base.
type history struct {
	base     ident.Revision
	baseTerm Term
	entries  []Entry
}

// restoreHistory rebuilds the log of a disk. When entries reach back before
// the snapshot, the first one only provides the base.
func restoreHistory(r PersistentState) history {
	snapshot, _ := r.snapshot.Get()
	h := history{base: snapshot.revision, baseTerm: snapshot.term, entries: r.entries}
	if len(r.entries) > 0 && r.entries[0].revision <= snapshot.revision {
		h.base, h.baseTerm = r.entries[0].revision, r.entries[0].term
		h.entries = r.entries[1:]
	}
	return h
}

func (h *history) last() ident.Revision { return h.base + ident.Revision(len(h.entries)) }

func (h *history) lastTerm() Term {
	t, _ := h.term(h.last())
	return t
}

// term returns the term of the entry at a revision. It is unknown before
// base and after the last entry.
func (h *history) term(revision ident.Revision) (Term, bool) {
	if revision == h.base {
		return h.baseTerm, true
	}
	if revision < h.base || revision > h.last() {
		return 0, false
	}
	return h.entries[revision-h.base-1].term, true
}

// after returns entries that follow a revision, at least one if there is any
// and otherwise no more than the limit in bytes. The revision must not be
// before base.
func (h *history) after(revision ident.Revision, limit int) []Entry {
	rest := h.entries[revision-h.base:]
	size := 0
	for i, e := range rest {
		size += e.Size()
		if size > limit && i > 0 {
			return slices.Clip(rest[:i])
		}
	}
	return slices.Clip(rest)
}

// between returns the entries after one revision up to another.
func (h *history) between(after, upTo ident.Revision) []Entry {
	return slices.Clip(h.entries[after-h.base : upTo-h.base])
}

func (h *history) append(entries ...Entry) { h.entries = append(h.entries, entries...) }

// truncate drops the entries after a revision. The slice is clipped because
// messages and writes may still refer to the dropped ones.
func (h *history) truncate(after ident.Revision) {
	h.entries = slices.Clip(h.entries[:after-h.base])
}

// compact drops the entries up to a revision.
func (h *history) compact(upTo ident.Revision) {
	if upTo <= h.base {
		return
	}
	term, _ := h.term(upTo)
	h.entries = slices.Clone(h.entries[upTo-h.base:])
	h.base, h.baseTerm = upTo, term
}

// reset replaces the log by an empty one that starts after a snapshot.
func (h *history) reset(s Snapshot) {
	*h = history{base: s.revision, baseTerm: s.term}
}

// lastNotAfter returns the greatest revision up to the given one whose term
// is not greater than the given one. Entries after it cannot agree with a log
// whose entry at that position has this term.
func (h *history) lastNotAfter(revision ident.Revision, term Term) (ident.Revision, Term) {
	revision = min(revision, h.last())
	for revision > h.base {
		t, _ := h.term(revision)
		if t <= term {
			return revision, t
		}
		revision--
	}
	return h.base, h.baseTerm
}
