package entry

import (
	"slices"
	"sync"
	"time"

	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// slotMarking replicates marks of suspects, one batch at a time. The release
// that reported a crash is answered when the marks are in force, so that the
// caller does not repeat the request before.
type slotMarking struct {
	marker  MarkReplicator
	calls   sync.WaitGroup
	running bool
	current []guard.Mark
	next    []guard.Mark
	retryAt time.Time
	// currentReplies wait for the running batch, nextReplies for the next.
	currentReplies []tasks.Reply[SlotReply]
	nextReplies    []tasks.Reply[SlotReply]
}

// await answers when all the marks known so far are in force.
func (m *slotMarking) await(reply tasks.Reply[SlotReply]) {
	switch {
	case len(m.next) > 0:
		m.nextReplies = append(m.nextReplies, reply)
	case m.running:
		m.currentReplies = append(m.currentReplies, reply)
	default:
		reply.Send(SlotReply{Status: statusDone})
	}
}

// replicate starts a batch with the marks that a change of a pool made.
func (t *slotOwnerTask) replicate(now time.Time, o *ownedSlots) {
	t.marking.next = append(t.marking.next, o.guard.Take()...)
	t.startMarking(now)
}

func (t *slotOwnerTask) startMarking(now time.Time) {
	m := &t.marking
	if m.running || len(m.next) == 0 || now.Before(m.retryAt) {
		return
	}
	m.running = true
	m.current, m.next = m.next, nil
	m.currentReplies, m.nextReplies = m.nextReplies, nil
	marks, self, ctx := m.current, t.self, t.ctx
	marker := m.marker
	m.calls.Go(func() { self.Tell(slotMarked{err: marker.ReplicateMarks(ctx, marks)}) })
}

// marked ends a batch. Marks that were not accepted go into the next one.
func (t *slotOwnerTask) marked(now time.Time, err error) {
	m := &t.marking
	status := statusDone
	if err != nil {
		t.options.log.Warn("entry: marks of suspects were not accepted", "marks", len(m.current), "error", err)
		status = statusUnmarked
		m.next = append(m.current, m.next...)
		m.retryAt = now.Add(markRetry)
	}
	for _, r := range m.currentReplies {
		r.Send(SlotReply{Status: status})
	}
	m.running, m.current, m.currentReplies = false, nil, nil
	t.startMarking(now)
}

func (t *slotOwnerTask) retryMarks(now time.Time) { t.startMarking(now) }

// importMarks passes the marks of the view to the guards of all regions. A
// mark that the view has dropped is cleared. All are kept for the next region
// that this host takes over.
func (t *slotOwnerTask) importMarks(marks []guard.Mark) {
	current := make(map[ident.Fingerprint]struct{}, len(marks))
	for _, m := range marks {
		current[m.Fingerprint()] = struct{}{}
	}
	all := slices.Clone(marks)
	for _, m := range t.marks {
		if _, ok := current[m.Fingerprint()]; !ok {
			all = append(all, guard.NewMark(m.Fingerprint(), 0, m.Until()))
		}
	}
	t.marks = marks
	for _, o := range t.owned {
		o.guard.Import(all)
	}
}
