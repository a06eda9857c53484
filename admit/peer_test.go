package admit

import (
	"fmt"
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/reach"
	"rhubarbrack/spread"
)

// cutOff makes all targets of a service fail.
func (c *Controller) cutOff(service ident.Service) {
	for i := range 4 {
		target := spread.NewTarget(ident.Target(fmt.Sprint(service, i)), service, "", "z", "r", 1, false, time.Time{})
		c.RecordProbe(start, target, false)
	}
}

func newPeerController(t *testing.T) *Controller {
	t.Helper()
	c := newTestController(t, 60)
	c.UsePeers(reach.NewPeers("h", "r"))
	c.SetPeers([]reach.Peer{reach.NewPeer("near:1", "r"), reach.NewPeer("far:1", "far")})
	return c
}

// TestPeerWhileCutOff guards against requests that are tried at targets out of
// reach, or sent through a host in a region where they may not run.
func TestPeerWhileCutOff(t *testing.T) {
	cases := []struct {
		name    string
		cutOff  []ident.Service
		request Request
		peer    string
		reason  Reason
	}{
		{"within reach", nil, request("/o/1", "", 0), "", ""},
		{"out of reach", []ident.Service{"s"}, request("/o/1", "", 0), "near:1", ""},
		{"another service out of reach", []ident.Service{"u"}, request("/o/1", "", 0), "", ""},
		{"team with other regions", []ident.Service{"s", "u"}, request("/a/1", "regional", 0), "far:1", ""},
		{
			"request of another host", []ident.Service{"s"},
			NewForwardedRequest("q", NewTerms("o", 1, "s", "", "", 0, nil, nil, 2), time.Second), "", NoTarget,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			controller := newPeerController(t)
			for _, s := range c.cutOff {
				controller.cutOff(s)
			}
			// A response shows that the host has not lost all targets.
			controller.RecordProbe(start, spread.NewTarget("v0", "v", "", "z", "r", 1, false, time.Time{}), true)
			d := controller.Admit(start, c.request)
			reason, _ := d.Refused()
			peer, _ := d.Peer().Get()
			if reason != c.reason || peer.Address() != c.peer {
				t.Errorf("peer %q, reason %q; want %q, %q", peer.Address(), reason, c.peer, c.reason)
			}
		})
	}
}

// TestPeersInTurn guards against requests that are refused although another peer
// is available, and against a search without end.
func TestPeersInTurn(t *testing.T) {
	controller := newPeerController(t)
	controller.cutOff("s")
	d := controller.Admit(start, request("/o/1", "", 0))
	var asked []string
	for {
		peer, ok := d.Peer().Get()
		if !ok {
			break
		}
		asked = append(asked, peer.Address())
		if left := d.State().Terms().Attempts(); left != 3 {
			t.Errorf("%d attempts are left, want 3", left)
		}
		controller.RecordPeer(start, peer, "s", start, reach.Unavailable)
		d = controller.RetryPeer(start, d.State())
	}
	if reason, _ := d.Refused(); reason != NoTarget || len(asked) != 2 || d.RetryAfter() <= 0 {
		t.Errorf("asked %v, reason %q, retry after %v", asked, reason, d.RetryAfter())
	}
}

// TestUnreachableTargetsInTurn guards against a request that meets one target out
// of reach after another until its deadline, and against requests that go to other
// hosts, which cannot serve them either, because targets are full.
func TestUnreachableTargetsInTurn(t *testing.T) {
	cases := []struct {
		name string
		// connected is when a target last responded over a new connection.
		connected ident.Option[time.Duration]
		peer      bool
	}{
		{"no response yet", ident.None[time.Duration](), true},
		{"response over a new connection long ago", ident.Some(time.Minute), true},
		{"response over a new connection just now", ident.Some(time.Millisecond), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			controller := newPeerController(t)
			if ago, ok := c.connected.Get(); ok {
				target := spread.NewTarget("s9", "s", "", "z", "r", 1, false, time.Time{})
				controller.RecordProbe(start.Add(-ago), target, true)
			}
			d := controller.Admit(start, request("/o/1", "", 0))
			for range maxUnreachable {
				if _, ok := d.Peer().Get(); ok {
					t.Fatal("sent through a peer too early")
				}
				d = controller.RetryUnreachable(start, d.State())
			}
			if _, ok := d.Peer().Get(); ok != c.peer {
				t.Errorf("sent through a peer: %v, want %v", ok, c.peer)
			}
		})
	}
}

// TestForwardedRequestCountsOnce guards against requests that take tokens of a
// rate, or count towards the retry budget, on both hosts that handle them.
func TestForwardedRequestCountsOnce(t *testing.T) {
	controller := newPeerController(t)
	terms := NewTerms("a", 1, "s", "bound", "", time.Second, nil, nil, 2)
	for range 50 {
		d := controller.Admit(start, NewForwardedRequest("q", terms, time.Second))
		if reason, refused := d.Refused(); refused {
			t.Fatalf("refused: %s", reason)
		}
		controller.RecordResult(start, d.Choice(), spread.Served, ident.None[spread.Load]())
	}
	if left := controller.retryBudget("s").Remaining(start, 0); left > 0 {
		t.Errorf("50 requests of another host add %g to the retry budget", left)
	}
	if reason, _ := controller.Admit(start, request("/a/1", "bound", 0)).Refused(); reason != "" {
		t.Errorf("own request of the team: %s", reason)
	}
}

// TestContactEndsPauses guards against a host that uses only few targets after its
// path is back, because the others are still paused.
func TestContactEndsPauses(t *testing.T) {
	controller := newPeerController(t)
	for range 12 {
		d := controller.Admit(start, request("/o/1", "", 0))
		if !d.Choice().IsFound() {
			break
		}
		controller.RecordResult(start, d.Choice(), spread.Unreachable, ident.None[spread.Load]())
		controller.RecordReach(start, d.Choice(), spread.Unreachable, true)
	}
	probes := controller.TakeProbes(start)
	if len(probes) == 0 {
		t.Fatal("no probes")
	}
	controller.RecordProbe(start, probes[0].Target(), true)
	used := map[ident.Target]bool{}
	for i := range 40 {
		d := controller.Admit(start, NewRequest("q", "h", "/o/1", "", fmt.Sprint(i), 0))
		used[d.Choice().Target().ID()] = true
	}
	if len(used) != 4 {
		t.Errorf("%d targets are used, want 4", len(used))
	}
}

// TestPeerAtStop guards against a stopping host that takes a long response through
// another host, whose link may be busy for longer than the time that is left.
func TestPeerAtStop(t *testing.T) {
	cases := []struct {
		name     string
		size     int64
		rate     float64
		stopping bool
		// tried is the number of targets that have failed before.
		tried  int
		reason Reason
	}{
		{"no stop", 1000, 1000, false, 0, ""},
		{"short response", 0, 1000, true, 0, ""},
		{"long response", 1000, 1000, true, 0, NotReady},
		{"fast link", 1000, 0, true, 0, ""},
		{"may have run", 1000, 1000, true, 1, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			controller := newPeerController(t)
			controller.SetLinkRate(c.rate)
			d := controller.Admit(start, request("/o/1", "", 0))
			controller.ResponseBegun(d.State(), ident.Some(c.size))
			controller.RequestEnded(d.State(), true)
			if c.stopping {
				controller.StopBy(start.Add(time.Minute))
			}
			if c.tried == 0 {
				controller.cutOff("s")
				d = controller.Admit(start, request("/o/1", "", 0))
			} else {
				d = controller.Admit(start, request("/o/1", "", 0))
				controller.cutOff("s")
				d = controller.Retry(start, d.State())
			}
			reason, refused := d.Refused()
			if _, ok := d.Peer().Get(); reason != c.reason || ok == refused {
				t.Errorf("peer %v, reason %q, want %q", ok, reason, c.reason)
			}
		})
	}
}

// TestWorkAfterRefusedPeer guards against requests that a stopping host refuses to
// send through another one and counts as accepted for good: no handler ends them,
// and their bytes make it refuse further long responses.
func TestWorkAfterRefusedPeer(t *testing.T) {
	controller := newPeerController(t)
	controller.SetLinkRate(1000)
	d := controller.Admit(start, request("/o/1", "", 0))
	controller.ResponseBegun(d.State(), ident.Some[int64](1000))
	controller.RequestEnded(d.State(), true)
	controller.StopBy(start.Add(time.Minute))
	controller.cutOff("s")
	for range 10 {
		if reason, _ := controller.Admit(start, request("/o/1", "", 0)).Refused(); reason != NotReady {
			t.Fatalf("reason %q, want %q", reason, NotReady)
		}
	}
	if got := controller.Work(); got != (Work{}) {
		t.Errorf("work %+v behind refused requests, want none", got)
	}
}

// TestPeerAfterRefusals guards against requests that a stopping host refuses and goes
// on to count as in flight at another one, which then is passed over.
func TestPeerAfterRefusals(t *testing.T) {
	controller := newPeerController(t)
	controller.SetLinkRate(1000)
	d := controller.Admit(start, request("/o/1", "", 0))
	controller.ResponseBegun(d.State(), ident.Some[int64](1000))
	controller.RequestEnded(d.State(), true)
	controller.StopBy(start.Add(time.Minute))
	controller.cutOff("s")
	controller.cutOff("u")
	for range 100 {
		if reason, _ := controller.Admit(start, request("/o/1", "", 0)).Refused(); reason != NotReady {
			t.Fatalf("reason %q, want %q", reason, NotReady)
		}
	}
	d = controller.Admit(start, request("/a/1", "free", 0))
	if peer, _ := d.Peer().Get(); peer.Address() != "near:1" {
		t.Errorf("peer %q, want near:1", peer.Address())
	}
}
