package entry

import (
	"slices"
	"sync"
	"time"

	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// markReplication replicates marks of suspects, one batch at a time. The reply
// to a release that reported a crash is sent when the marks are in force, so
// that the caller does not retry the request earlier.
type markReplication struct {
	replicator MarkReplicator
	calls      sync.WaitGroup
	inFlight   bool
	current    []guard.Mark
	next       []guard.Mark
	retryAt    time.Time
	// currentReplies wait for the batch in flight, nextReplies for the next
	// one.
	currentReplies []tasks.Reply[SlotReply]
	nextReplies    []tasks.Reply[SlotReply]
}

// replyWhenReplicated sends the reply once all marks known so far are in
// force.
func (m *markReplication) replyWhenReplicated(reply tasks.Reply[SlotReply]) {
	switch {
	case len(m.next) > 0:
		m.nextReplies = append(m.nextReplies, reply)
	case m.inFlight:
		m.currentReplies = append(m.currentReplies, reply)
	default:
		reply.Send(SlotReply{Status: statusDone})
	}
}

// replicateMarks starts a batch with the marks that a change of a pool caused.
func (t *slotOwnerTask) replicateMarks(now time.Time, o *ownedRegion) {
	t.replication.next = append(t.replication.next, o.guard.TakeChanges()...)
	t.startReplication(now)
}

func (t *slotOwnerTask) startReplication(now time.Time) {
	m := &t.replication
	if m.inFlight || len(m.next) == 0 || now.Before(m.retryAt) {
		return
	}
	m.inFlight = true
	m.current, m.next = m.next, nil
	m.currentReplies, m.nextReplies = m.nextReplies, nil
	marks, self, ctx := m.current, t.self, t.ctx
	replicator := m.replicator
	m.calls.Go(func() { self.Tell(slotMarksReplicated{err: replicator.ReplicateMarks(ctx, marks)}) })
}

// replicationDone handles the end of a batch. Marks that were not accepted go
// into the next one.
func (t *slotOwnerTask) replicationDone(now time.Time, err error) {
	m := &t.replication
	status := statusDone
	if err != nil {
		t.options.log.Warn("entry: replication of suspect marks failed", "marks", len(m.current), "error", err)
		status = statusUnmarked
		m.next = append(m.current, m.next...)
		m.retryAt = now.Add(markRetryInterval)
	}
	for _, r := range m.currentReplies {
		r.Send(SlotReply{Status: status})
	}
	m.inFlight, m.current, m.currentReplies = false, nil, nil
	t.startReplication(now)
}

func (t *slotOwnerTask) retryReplication(now time.Time) { t.startReplication(now) }

// importMarks passes the marks of the view to the guards of all owned regions
// and clears marks that are no longer in the view. The marks are kept for
// regions that this host takes over later.
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
