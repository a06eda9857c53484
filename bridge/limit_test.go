package bridge_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/reach"
	"rhubarbrack/spread"
)

// limitedPair is a host without a path to the targets, the peer through which it
// sends its requests, and a server that stands for all targets.
type limitedPair struct {
	clock  *clock.Manual
	server *targetServer
	cutOff *host
	peer   *host
	// limit is the header that the targets answer with, or empty.
	limit string
}

func newLimitedPair(t *testing.T, limit float64) *limitedPair {
	t.Helper()
	// The clock is ahead of the system clock, by which contexts end.
	p := &limitedPair{clock: clock.NewManual(clock.Wall().Now().Add(time.Minute)), limit: strconv.FormatFloat(limit, 'f', -1, 64)}
	server, address := newTarget(t, func(w http.ResponseWriter) {
		if p.limit != "" {
			w.Header().Set("Limit", p.limit)
		}
		ok(w)
	})
	p.server = server
	p.peer = newHost(t, p.clock, "peer", "r", address)
	p.cutOff = newHost(t, p.clock, "cut-off", "r", closedAddress)
	p.cutOff.admission.SetPeers([]reach.Peer{reach.NewPeer(p.peer.peers, "r")})
	return p
}

// call sends a request of a caller of the host that is cut off.
func (p *limitedPair) call(t *testing.T) *http.Response {
	t.Helper()
	r, _ := p.cutOff.call(t, http.MethodPost, "/once/1", "key", "")
	return r
}

// exhaust sends requests until one is refused, and returns the refusal.
func (p *limitedPair) exhaust(t *testing.T) *http.Response {
	t.Helper()
	for range 20 {
		if r := p.call(t); r.StatusCode != http.StatusOK {
			return r
		}
	}
	t.Fatal("20 requests at once exceed no limit")
	return nil
}

// reports returns what a host reports of the limits of targets.
func (h *host) reports(t *testing.T) map[ident.Target]spread.LimitReport {
	t.Helper()
	stats, err := h.admission.TargetStats(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	reports := map[ident.Target]spread.LimitReport{}
	for _, s := range stats {
		if report, ok := s.Limit().Get(); ok {
			reports[s.Target()] = report
		}
	}
	return reports
}

// TestStatedLimitThroughPeer guards against a rate limit, or its end, that only one
// of the two hosts heeds and reports although both got the answer.
func TestStatedLimitThroughPeer(t *testing.T) {
	p := newLimitedPair(t, 2.5)
	phases := []struct {
		name  string
		limit string
		rate  float64
		isSet bool
	}{
		{"stated", "2.5", 2.5, true},
		{"lowered", "1", 1, true},
		{"raised", "8", 8, true},
		{"withdrawn", "", 0, false},
		{"stated again", "4", 4, true},
	}
	for _, c := range phases {
		p.limit = c.limit
		p.clock.Advance(5 * time.Second)
		if r := p.call(t); r.StatusCode != http.StatusOK {
			t.Fatalf("%s: status %d", c.name, r.StatusCode)
		}
		arrivals := p.server.list()
		target := ident.Target(arrivals[len(arrivals)-1].Get("Target"))
		for name, h := range map[string]*host{"peer": p.peer, "host that is cut off": p.cutOff} {
			report, ok := h.reports(t)[target]
			if rate, isSet := report.Limit().Rate(); !ok || rate != c.rate || isSet != c.isSet {
				t.Errorf("%s: the %s reports %v, %v, %v, want %v, %v", c.name, name, rate, isSet, ok, c.rate, c.isSet)
			}
		}
	}
}

// TestForwardedRequestsCountTowardsLimit guards against requests that count towards
// the share of no host, or of both, so that the leader assigns a part of the limit
// to a host that sends nothing.
func TestForwardedRequestsCountTowardsLimit(t *testing.T) {
	p := newLimitedPair(t, 0.5)
	p.exhaust(t)
	arrivals := len(p.server.list())
	const more = 5
	before := wanted(p.peer.reports(t))
	for range more {
		p.call(t)
	}
	if n := len(p.server.list()); n != arrivals {
		t.Errorf("%d requests reach targets at their limit", n-arrivals)
	}
	// Each of the four targets is considered for each request.
	if got := wanted(p.peer.reports(t)) - before; got != 4*more {
		t.Errorf("the peer reports %v requests more, want %d", got, 4*more)
	}
	if got := wanted(p.cutOff.reports(t)); got != 0 {
		t.Errorf("the host that is cut off reports %v requests, want none", got)
	}
}

func wanted(reports map[ident.Target]spread.LimitReport) float64 {
	sum := 0.0
	for _, r := range reports {
		sum += r.Wanted()
	}
	return sum
}

// TestRetryAfterLimitThroughPeer guards against a refusal that tells the caller to
// come back before a target takes the request, and against leaving out a peer
// because the targets are at their limit.
func TestRetryAfterLimitThroughPeer(t *testing.T) {
	p := newLimitedPair(t, 0.7)
	// Refusals name no shorter time than this.
	const least = 100 * time.Millisecond
	const early = 20 * time.Millisecond
	for range 12 {
		r := p.exhaust(t)
		after, err := time.ParseDuration(r.Header.Get("After"))
		if err != nil || r.Header.Get("Reason") != "no-room" || r.Header.Get("Run") != "not-run" {
			t.Fatalf("reason %q, run %q, retry after %v, %v", r.Header.Get("Reason"), r.Header.Get("Run"), after, err)
		}
		if after > least {
			p.clock.Advance(after - early)
			if r := p.call(t); r.StatusCode == http.StatusOK {
				t.Fatalf("served %v before the time to retry, %v", early, after)
			}
			after = early
		}
		p.clock.Advance(after)
		if r := p.call(t); r.StatusCode != http.StatusOK {
			t.Errorf("refused at the time to retry: reason %q, again after %s", r.Header.Get("Reason"), r.Header.Get("After"))
		}
	}
}
