package mesh

import (
	"context"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/guard"
	"rhubarbrack/ident"
)

// suspectListener is a Listener of which only the part about requests that may
// crash targets matters.
type suspectListener struct {
	testListener
	clock    clock.Clock
	suspects *guard.Suspects
}

func (l suspectListener) SuspectReports(_ context.Context, since time.Time) ([]guard.Report, error) {
	return l.suspects.Reports(since), nil
}

func (l suspectListener) MergeSuspects(reports []guard.Report) {
	l.suspects.Merge(l.clock.Now(), reports)
}

// newSuspectClient returns the control client task of an entry host and what it
// knows of suspected requests.
func newSuspectClient(c *clock.Manual) (*controlClientTask, *guard.Suspects) {
	suspects := guard.NewSuspects()
	return &controlClientTask{clock: c, listener: suspectListener{clock: c, suspects: suspects}}, suspects
}

// exchange sends a heartbeat of an entry host to a leading registry and applies
// the reply.
func exchange(t *testing.T, client *controlClientTask, p *peer, leader *registry, name string) {
	t.Helper()
	now := client.clock.Now()
	record := testHeartbeat(name, true)
	record.SuspectsTag = p.suspectsTag
	client.addSuspects(t.Context(), &record, p.isTold, now)
	client.applySuspects(heartbeatDone{peer: p, sent: now, toLeader: true, record: leader.heartbeat(record)})
}

func newLeader(t *testing.T) *registry {
	t.Helper()
	r, c := newTestRegistry(t)
	r.confirmLeadership(c.Now())
	return r
}

// TestSuspectExchange guards against a request that crashes targets through every
// entry host in turn, because no host learns of the crashes that others have seen,
// or forgets them with a change of the leader.
func TestSuspectExchange(t *testing.T) {
	f := ident.Fingerprint{1}
	leader := newLeader(t)
	c := leader.clock.(*clock.Manual)
	var clients []*controlClientTask
	var sets []*guard.Suspects
	peers := []*peer{{}, {}, {}}
	for i, name := range []string{"a", "b", "c"} {
		client, suspects := newSuspectClient(c)
		clients, sets = append(clients, client), append(sets, suspects)
		suspects.RecordCrash(c.Now(), f, guard.NewCrash(guard.NewProcess(ident.Target(name), int64(i)), c.Now()))
	}
	names := []string{"a", "b", "c"}
	round := func(leader *registry, peers []*peer) {
		for i, client := range clients {
			exchange(t, client, peers[i], leader, names[i])
		}
	}
	check := func(when string, want guard.Verdict) {
		for i, s := range sets {
			if got, _ := s.Verdict(c.Now(), f); got != want {
				t.Errorf("%s: verdict of host %s: %d, want %d", when, names[i], got, want)
			}
		}
	}
	check("before the exchange", guard.Unrestricted)
	round(leader, peers)
	round(leader, peers)
	check("after two heartbeats", guard.Refused)

	// A host that starts later, and a leader that knows nothing.
	sets[0] = guard.NewSuspects()
	clients[0].listener = suspectListener{clock: c, suspects: sets[0]}
	c.Advance(2 * suspectResendTime)
	next := newRegistry(t.Context(), leader.system, c, leader.log, "next:1", nil)
	next.confirmLeadership(c.Now())
	peers = []*peer{{}, {}, {}}
	round(next, peers)
	round(next, peers)
	check("with the next leader", guard.Refused)

	// The same leader after a restart, which its address does not show.
	restarted := newRegistry(t.Context(), leader.system, c, leader.log, "next:1", nil)
	restarted.confirmLeadership(c.Now())
	round(restarted, peers)
	round(restarted, peers)
	if len(restarted.suspects.Reports(time.Time{})) != 1 {
		t.Error("the restarted leader knows no suspected request")
	}

	sets[1].RecordResponse(c.Now(), f)
	round(restarted, peers)
	round(restarted, peers)
	check("after a response", guard.Unrestricted)
}

// TestSuspectRecords guards against times that shift when reports are sent, and
// against a response that is lost with them.
func TestSuspectRecords(t *testing.T) {
	sent := time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	received := sent.Add(-time.Hour) // by the clock of another host
	reports := []guard.Report{
		guard.NewReport(ident.Fingerprint{1}, []guard.Crash{guard.NewCrash(guard.NewProcess("t", 7), sent.Add(-time.Minute))}, time.Time{}),
		guard.NewReport(ident.Fingerprint{2}, nil, sent.Add(-time.Second)),
	}
	got := suspectReports(received, newSuspectRecords(sent, reports))
	crash := got[0].Crashes()[0]
	switch {
	case got[0].Fingerprint() != (ident.Fingerprint{1}) || !got[0].ClearedAt().IsZero():
		t.Errorf("first report: %+v", got[0])
	case crash.Process() != guard.NewProcess("t", 7) || !crash.At().Equal(received.Add(-time.Minute)):
		t.Errorf("crash: %+v", crash)
	case len(got[1].Crashes()) != 0 || !got[1].ClearedAt().Equal(received.Add(-time.Second)):
		t.Errorf("second report: %+v", got[1])
	}
}
