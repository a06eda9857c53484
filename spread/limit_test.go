package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// limitedFleet simulates the hosts of a fleet that send to one target with a
// rate limit. The target answers 50 ms after a request.
type limitedFleet struct {
	hosts []*Table
	// sent holds the times of the requests that the target got.
	sent    []time.Time
	pending []pendingAnswer
}

type pendingAnswer struct {
	at     time.Time
	host   *Table
	choice Choice
}

func newLimitedFleet(hosts int) *limitedFleet {
	f := &limitedFleet{}
	for i := range hosts {
		t := NewTable("z", "r", NewColdBounds(1.5, 5), WithHost(ident.Host(fmt.Sprint(i))))
		t.SetShare(1 / float64(hosts))
		t.Update([]Target{NewTarget("i", "s", "i:80", "z", "r", 1000, false, time.Time{})})
		f.hosts = append(f.hosts, t)
	}
	return f
}

// request sends a request from a host if the host admits it, and reports
// whether it did.
func (f *limitedFleet) request(now time.Time, host int) bool {
	t := f.hosts[host]
	c := t.Choose(now, query("x"))
	if c.IsFound() {
		f.sent = append(f.sent, now)
		f.pending = append(f.pending, pendingAnswer{at: now.Add(50 * time.Millisecond), host: t, choice: c})
	}
	return c.IsFound()
}

// answer delivers the answers that are due, with the limit that the target
// states.
func (f *limitedFleet) answer(now time.Time, limit RateLimit) {
	for len(f.pending) > 0 && !f.pending[0].at.After(now) {
		p := f.pending[0]
		f.pending = f.pending[1:]
		p.host.RecordResult(now, p.choice, Served, ident.None[Load]())
		p.host.Observe(now, p.choice, NewStatement(WithLimit(limit)))
	}
}

// most returns the largest number of requests in a window of the given span
// that begins after the given time.
func (f *limitedFleet) most(after time.Time, span time.Duration) int {
	most := 0
	for i, first := range f.sent {
		if first.Before(after) {
			continue
		}
		n := 0
		for _, at := range f.sent[i:] {
			if at.Sub(first) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestRateLimitOfTarget guards against a target that gets far more requests than
// the limit that it names, summed over all hosts, and against one that gets none
// or never gets more again.
func TestRateLimitOfTarget(t *testing.T) {
	cases := []struct {
		name  string
		hosts int
		limit float64
		// demand is in requests per second of all hosts.
		demand float64
	}{
		{"few hosts", 8, 9.5, 30},
		{"one host", 1, 9.5, 100},
		{"many hosts", 71, 2.5, 6},
		{"many hosts, high demand", 71, 9.5, 200},
		{"nothing at all", 8, 0, 30},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			f := newLimitedFleet(c.hosts)
			limit := NewRateLimit(c.limit)
			now := start
			run := func(d time.Duration, limit RateLimit) {
				const step = 10 * time.Millisecond
				for end := now.Add(d); now.Before(end); now = now.Add(step) {
					f.answer(now, limit)
					for n := c.demand * step.Seconds(); n > 0; n-- {
						if random.Float64() < n {
							f.request(now, random.IntN(c.hosts))
						}
					}
				}
			}
			run(20*time.Second, limit)
			// The limit binds three seconds after it was first named.
			bound := int(1.5*4*c.limit + 5)
			if got := f.most(start.Add(3*time.Second), 4*time.Second); got > bound || got == 0 {
				t.Errorf("%d requests in 4 s, want 1 to %d", got, bound)
			}
			before := len(f.sent)
			run(60*time.Second, RateLimit{})
			if got := float64(len(f.sent)-before) / 60; got < c.demand/2 {
				t.Errorf("%.1f requests per second after the end of the limit, want most of %.0f", got, c.demand)
			}
		})
	}
}

// TestUseOfShare guards against a share of a limit that is lost while a host waits
// for its next request, and against one that is exceeded.
func TestUseOfShare(t *testing.T) {
	const limit, seconds = 2.5, 200
	cases := []struct {
		name string
		// demand is in requests per second, as a multiple of the limit.
		demand, least float64
	}{
		{"twice the limit", 2, 0.9},
		{"four times the limit", 4, 0.95},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			f := newLimitedFleet(1)
			now := start
			for end := start.Add(seconds * time.Second); now.Before(end); {
				f.request(now, 0)
				now = now.Add(time.Duration(random.ExpFloat64() / (c.demand * limit) * float64(time.Second)))
				f.answer(now, NewRateLimit(limit))
			}
			got := float64(len(f.sent)) / seconds
			if want := limit * limitMargin; got < c.least*want || got > 1.02*want {
				t.Errorf("%.2f requests per second of %.2f", got, want)
			}
		})
	}
}

// TestLimitWithoutConnection guards against requests that count towards a rate limit
// although no connection to the target could be opened, and against other failed
// ones that do not count.
func TestLimitWithoutConnection(t *testing.T) {
	for result := Served; result <= Abandoned; result++ {
		t.Run(result.String(), func(t *testing.T) {
			f := newLimitedFleet(1)
			h := f.hosts[0]
			h.ApplyLimits(start, []LimitShare{NewLimitShare("i", NewRateLimit(1), 0, 1)})
			now := start.Add(time.Minute)
			c := h.Choose(now, query("x"))
			if !c.IsFound() {
				t.Fatal("the first request was refused")
			}
			h.RecordResult(now, c, result, ident.None[Load]())
			h.Resume("s")
			if got := h.targets["i"].limiter.admits(now, 1, 0); got != (result == Unreachable) {
				t.Errorf("the next request is admitted: %v", got)
			}
		})
	}
}

// TestRetryAfterRateLimit guards against refusals that tell callers to come back
// before the target takes their request.
func TestRetryAfterRateLimit(t *testing.T) {
	f := newLimitedFleet(1)
	f.request(start, 0)
	f.answer(start.Add(time.Second), NewRateLimit(0.5))
	now := start.Add(time.Second)
	c := f.hosts[0].Choose(now, query("x"))
	if c.IsFound() || c.RetryAfter() <= fullPause {
		t.Fatalf("found %v, retry after %v", c.IsFound(), c.RetryAfter())
	}
	if early := now.Add(c.RetryAfter() - 20*time.Millisecond); f.request(early, 0) {
		t.Error("the target took a request before the time to retry")
	}
	if !f.request(now.Add(c.RetryAfter()+time.Millisecond), 0) {
		t.Error("the target took no request at the time to retry")
	}
}

// TestRateLimitOfEarlierProcess guards against a limit that outlives the process
// that named it.
func TestRateLimitOfEarlierProcess(t *testing.T) {
	f := newLimitedFleet(1)
	f.request(start, 0)
	f.answer(start.Add(time.Second), NewRateLimit(0.5))
	f.hosts[0].Update([]Target{NewTarget("i", "s", "i:80", "z", "r", 1000, false, time.Time{}, WithStart(1))})
	for range 3 {
		if !f.request(start.Add(time.Second), 0) {
			t.Fatal("the next process got no request")
		}
	}
}

// TestShareOfLimit guards against a limit that is mostly unused because the
// hosts that send to the target have the same share as those that do not, and
// against a share that outlives the contact to the leader.
func TestShareOfLimit(t *testing.T) {
	const limit, hosts = 10.0, 10
	f := newLimitedFleet(hosts)
	f.request(start, 0)
	now := start.Add(time.Second)
	f.answer(now, NewRateLimit(limit))
	count := func(d time.Duration, share float64) int {
		f.sent = nil
		for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
			if share > 0 {
				f.hosts[0].ApplyLimits(now, []LimitShare{NewLimitShare("i", NewRateLimit(limit), 0, share)})
			}
			f.answer(now, NewRateLimit(limit))
			f.request(now, 0)
		}
		return len(f.sent)
	}
	const seconds = 20
	cases := []struct {
		name  string
		share float64
		want  float64
	}{
		{"equal share", 0, limit / hosts},
		{"share of the leader", 0.9, 0.9 * limit},
		{"leader lost", 0, limit / hosts},
	}
	for _, c := range cases {
		got := float64(count(seconds*time.Second, c.share)) / seconds
		count(2*shareLifetime, 0)
		if want := c.want * limitMargin; got < 0.8*want || got > 1.2*want {
			t.Errorf("%s: %.2f requests per second, want about %.2f", c.name, got, want)
		}
	}
}

// TestLimitOfOtherHosts guards against hosts that send at their full rate until
// the target has told each of them its limit, and that keep a limit whose end
// another host has heard of.
func TestLimitOfOtherHosts(t *testing.T) {
	f := newLimitedFleet(1)
	h := f.hosts[0]
	share := func(limit RateLimit) { h.ApplyLimits(start, []LimitShare{NewLimitShare("i", limit, 0, 0.01)}) }
	share(NewRateLimit(1))
	if f.request(start, 0) {
		t.Error("a target with a limit that another host has heard of got a request")
	}
	if got, ok := h.Stats(start)[0].Limit().Get(); !ok || got.Wanted() != 1 {
		t.Errorf("report %+v, %v, want one request that would have been sent", got, ok)
	}
	share(RateLimit{})
	if !f.request(start, 0) {
		t.Error("a target whose limit has ended got no request")
	}
}

// TestWantedRequests guards against requests that count more than once towards a
// host's share of a rate limit because several rules consider the target.
func TestWantedRequests(t *testing.T) {
	for _, object := range []string{"", "x"} {
		t.Run("object "+object, func(t *testing.T) {
			h := newLimitedFleet(1).hosts[0]
			h.ApplyLimits(start, []LimitShare{NewLimitShare("i", NewRateLimit(0.25), 0, 0.001)})
			const refused = 5
			for range refused {
				if h.Choose(start, NewQuery("s", object, time.Second, false, nil, nil, nil)).IsFound() {
					t.Fatal("a request was admitted")
				}
			}
			if got, ok := h.Stats(start)[0].Limit().Get(); !ok || got.Wanted() != refused {
				t.Errorf("%v requests, %v, want %d", got.Wanted(), ok, refused)
			}
		})
	}
}
