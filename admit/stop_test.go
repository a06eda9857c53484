package admit

import (
	"math"
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/spread"
)

// TestStopBy guards against a stopping host that takes requests which it must give
// up before the last byte of their response is sent, and against one that refuses
// what it could still answer.
func TestStopBy(t *testing.T) {
	cases := []struct {
		name string
		left time.Duration
		// size is the length of the response that teaches the size of the others,
		// and sent what has been sent of it.
		size, sent int64
		rate       float64
		// waiting is the number of accepted requests without a response.
		waiting int
		reason  Reason
	}{
		{"time enough", 3 * time.Second, 0, 0, 0, 0, ""},
		{"too late for the first byte", 1999 * time.Millisecond, 0, 0, 0, 0, NotReady},
		{"behind short responses", 2 * time.Second, 0, 0, 1000, 5, ""},
		{"idle link", 4 * time.Second, 1000, 1000, 1000, 0, ""},
		{"too late for the last byte", 3999 * time.Millisecond, 1000, 1000, 1000, 0, NotReady},
		{"fast link", 2 * time.Second, 1000, 0, 0, 5, ""},
		{"behind the rest of a response", 4400 * time.Millisecond, 1000, 600, 1000, 0, ""},
		{"too late behind the rest of a response", 4399 * time.Millisecond, 1000, 600, 1000, 0, NotReady},
		{"behind responses that have not begun", 7 * time.Second, 1000, 1000, 1000, 3, ""},
		{"too late behind responses that have not begun", 6999 * time.Millisecond, 1000, 1000, 1000, 3, NotReady},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			controller := newTestController(t, 60)
			controller.SetLinkRate(c.rate)
			d := controller.Admit(start, request("/o/1", "", 0))
			now := start.Add(time.Second)
			controller.RecordResult(now, d.Choice(), spread.Served, ident.None[spread.Load]())
			if c.size > 0 {
				controller.ResponseBegun(d.State(), ident.Some(c.size))
				controller.ResponseSent(d.State(), c.sent)
			} else {
				controller.RequestEnded(d.State(), true)
			}
			for range c.waiting {
				controller.Admit(now, request("/o/1", "", 0))
			}
			controller.StopBy(now.Add(c.left))
			d = controller.Admit(now, request("/o/1", "", 0))
			if reason, _ := d.Refused(); reason != c.reason {
				t.Errorf("reason %q, want %q", reason, c.reason)
			}
			if c.reason != "" && d.RetryAfter() != defaultRetryAfter {
				t.Errorf("retry after %v, want %v", d.RetryAfter(), defaultRetryAfter)
			}
		})
	}
}

// TestStopWhileUnreachable guards against a request that is sent although its host can
// no longer answer it, after the time has gone into failures to connect.
func TestStopWhileUnreachable(t *testing.T) {
	cases := []struct {
		name   string
		left   time.Duration
		sent   bool
		reason Reason
	}{
		{"time enough", 2 * time.Second, false, ""},
		{"too late", 1999 * time.Millisecond, false, NotReady},
		{"too late, but may have run", 1999 * time.Millisecond, true, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			controller := newTestController(t, 60)
			first := controller.Admit(start, request("/o/1", "", 0))
			now := start.Add(time.Second)
			d := controller.Admit(now, request("/o/1", "", 0))
			if c.sent {
				d = controller.Retry(now, d.State())
			}
			controller.RecordResult(now, first.Choice(), spread.Served, ident.None[spread.Load]())
			controller.StopBy(now.Add(c.left))
			if reason, _ := controller.RetryUnreachable(now, d.State()).Refused(); reason != c.reason {
				t.Errorf("reason %q, want %q", reason, c.reason)
			}
		})
	}
}

// TestStopWhileBodyArrives guards against a request that is sent although its host
// has begun to stop, and can no longer answer it, while its body was arriving.
func TestStopWhileBodyArrives(t *testing.T) {
	cases := []struct {
		name   string
		left   time.Duration
		reason Reason
	}{
		{"time enough", 2 * time.Second, ""},
		{"too late", 1999 * time.Millisecond, NotReady},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			controller := newTestController(t, 60)
			first := controller.Admit(start, request("/o/1", "", 0))
			now := start.Add(time.Second)
			d := controller.Admit(now, request("/o/1", "", 0))
			controller.RecordResult(now, first.Choice(), spread.Served, ident.None[spread.Load]())
			controller.StopBy(now.Add(c.left))
			if reason, _ := controller.Confirm(now, d).Refused(); reason != c.reason {
				t.Errorf("reason %q, want %q", reason, c.reason)
			}
		})
	}
}

// TestAttemptsOfRefusedChoice guards against a refusal that states an attempt which
// was not made: another entry host then takes the refusal for final and does not
// send the request elsewhere.
func TestAttemptsOfRefusedChoice(t *testing.T) {
	controller := newTestController(t, 60)
	d := controller.Admit(start, request("/o/1", "", 0))
	controller.StopBy(start.Add(-time.Second))
	d = controller.Confirm(start, d)
	if reason, _ := d.Refused(); reason != NotReady || d.State().Attempts() != 0 {
		t.Errorf("reason %q after %d attempts, want %q after none", reason, d.State().Attempts(), NotReady)
	}
}

// TestStopBehindLongestResponse guards against sums of lengths that do not fit into
// their types: a stopping host would take the responses as ones that are sent at once.
func TestStopBehindLongestResponse(t *testing.T) {
	controller := newTestController(t, 60)
	controller.SetLinkRate(1000)
	for range 3 {
		d := controller.Admit(start, request("/o/1", "", 0))
		if reason, refused := d.Refused(); refused {
			t.Fatalf("refused: %s", reason)
		}
		controller.ResponseBegun(d.State(), ident.Some[int64](math.MaxInt64))
		controller.RecordResult(start, d.Choice(), spread.Served, ident.None[spread.Load]())
	}
	controller.StopBy(start.Add(time.Hour))
	d := controller.Admit(start, request("/o/1", "", 0))
	terms, _ := d.State().StopTerms().Get()
	if reason, _ := d.Refused(); reason != NotReady || controller.Work().Bytes() < 0 {
		t.Errorf("reason %q, work %+v, terms %+v; want %q", reason, controller.Work(), terms, NotReady)
	}
}

// TestStopWhileBodyArrivesForPeer guards against a request that is sent through another
// host although its host has begun to stop, and can no longer answer it, while its body
// was arriving.
func TestStopWhileBodyArrivesForPeer(t *testing.T) {
	cases := []struct {
		name     string
		size     int64
		left     time.Duration
		reason   Reason
		attempts int
	}{
		{"short response", 0, time.Minute, "", 3},
		{"short response, too late", 0, -time.Second, NotReady, 0},
		{"long response", 1000, time.Minute, NotReady, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			controller := newPeerController(t)
			controller.SetLinkRate(1000)
			first := controller.Admit(start, request("/o/1", "", 0))
			controller.ResponseBegun(first.State(), ident.Some(c.size))
			controller.RequestEnded(first.State(), true)
			controller.cutOff("s")
			d := controller.Admit(start, request("/o/1", "", 0))
			if _, ok := d.Peer().Get(); !ok {
				t.Fatal("not sent through a peer")
			}
			controller.StopBy(start.Add(c.left))
			d = controller.Confirm(start, d)
			reason, refused := d.Refused()
			if _, ok := d.Peer().Get(); reason != c.reason || ok == refused || d.State().Attempts() != c.attempts {
				t.Errorf("reason %q, peer %v, %d attempts; want %q, %d attempts", reason, ok, d.State().Attempts(), c.reason, c.attempts)
			}
		})
	}
}
