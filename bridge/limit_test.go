package bridge_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/reach"
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
