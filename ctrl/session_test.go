package ctrl

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"rhubarbrack/ident"
	"rhubarbrack/state"
)

// leaseSeed and leaseRuns fix the schedules of TestLeaseEndsBeforeExpiry.
const (
	leaseSeed = 20261204
	leaseRuns = 2000
)

// leaseWorld is a member that polls two control hosts, of which one leads at a
// time. Polls and answers are delayed, and the former leader may still answer
// a poll whose leadership it confirmed before it was replaced.
type leaseWorld struct {
	random  *rand.Rand
	now     time.Time
	member  state.Member
	hosts   [2]sessions
	leads   int
	waiting []leasePoll
	fresh   time.Time
	acting  time.Time
	expired bool
	moved   bool
}

type leasePoll struct {
	sent, arrives time.Time
	to            int
}

func newLeaseWorld(seed int64) *leaseWorld {
	w := &leaseWorld{
		random: rand.New(rand.NewPCG(uint64(seed), 1)), now: time.Unix(1000, 0),
		member: state.NewMember("h", 1, "z", "r", "", ""),
	}
	w.hosts[0].begin(w.now)
	return w
}

// step makes one random event and returns a description of a violation.
func (w *leaseWorld) step() string {
	w.now = w.now.Add(time.Duration(w.random.Int64N(int64(400 * time.Millisecond))))
	switch w.random.IntN(12) {
	case 0:
		w.leads = 1 - w.leads
		w.hosts[w.leads].begin(w.now)
	case 1, 2, 3:
		delay := time.Duration(w.random.Int64N(int64(3 * time.Second)))
		w.waiting = append(w.waiting, leasePoll{sent: w.now, arrives: w.now.Add(delay), to: w.random.IntN(2)})
	case 4, 5, 6, 7:
		w.deliver()
	default:
		return w.expire()
	}
	return ""
}

// deliver lets the leader answer the polls that have arrived. Only the leader
// can confirm its leadership, so only it renews a session and gives a lease.
func (w *leaseWorld) deliver() {
	kept := w.waiting[:0]
	for _, p := range w.waiting {
		if p.arrives.After(w.now) {
			kept = append(kept, p)
			continue
		}
		if p.to != w.leads || w.expired {
			continue
		}
		w.hosts[p.to].renew("h", session{incarnation: 1, renewed: p.arrives})
		if end := p.sent.Add(Lease); end.After(w.fresh) {
			w.fresh = end
		}
		if end := p.sent.Add(RoleLease); !w.moved && end.After(w.acting) {
			w.acting = end
		}
	}
	w.waiting = kept
}

func (w *leaseWorld) expire() string {
	if !w.moved && len(w.hosts[w.leads].silent([]state.Member{w.member}, w.now)) > 0 {
		if w.now.Before(w.acting) {
			return fmt.Sprintf("the leader moved roles at %v whose lease lasts until %v", w.now, w.acting)
		}
		w.moved = true
	}
	if w.expired || len(w.hosts[w.leads].expired([]state.Member{w.member}, w.now)) == 0 {
		return ""
	}
	if w.now.Before(w.fresh) {
		return fmt.Sprintf("the leader ended a session at %v whose lease lasts until %v", w.now, w.fresh)
	}
	w.expired = true
	return ""
}

// Guards against two processes that act for one role: a leader must not end a
// session while the process may still hold a lease, whichever leader gave it.
func TestLeaseEndsBeforeExpiry(t *testing.T) {
	t.Logf("seed %d", leaseSeed)
	parameters := gopter.DefaultTestParametersWithSeed(leaseSeed)
	parameters.MinSuccessfulTests = leaseRuns
	properties := gopter.NewProperties(parameters)
	properties.Property("no session ends before its lease", prop.ForAll(func(seed int64) string {
		w := newLeaseWorld(seed)
		for range 200 {
			if fault := w.step(); fault != "" {
				return fault
			}
		}
		return ""
	}, gen.Int64()))
	properties.TestingRun(t)
}

// Guards against a revision that is reported in force while a process lags.
func TestInForce(t *testing.T) {
	now := time.Unix(1000, 0)
	a := state.NewMember("a", 1, "z", "r", "", "")
	b := state.NewMember("b", 2, "z", "r", "", "")
	cases := []struct {
		name   string
		known  map[ident.Host]session
		want   ident.Revision
		behind int
	}{
		{name: "no polls yet", want: 0, behind: 2},
		{name: "one has not polled", known: map[ident.Host]session{"a": {incarnation: 1, revision: 9}}, want: 0, behind: 1},
		{
			name:  "an earlier process polled",
			known: map[ident.Host]session{"a": {incarnation: 1, revision: 9}, "b": {incarnation: 1, revision: 9}},
			want:  0, behind: 1,
		},
		{
			name:  "one lags",
			known: map[ident.Host]session{"a": {incarnation: 1, revision: 9}, "b": {incarnation: 2, revision: 7}},
			want:  7, behind: 1,
		},
		{
			name:  "all have it",
			known: map[ident.Host]session{"a": {incarnation: 1, revision: 9}, "b": {incarnation: 2, revision: 9}},
			want:  9,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var s sessions
			s.begin(now)
			for h, e := range tc.known {
				s.renew(h, e)
			}
			members := []state.Member{a, b}
			if got := s.inForce(members, 9); got != tc.want {
				t.Errorf("inForce = %d, want %d", got, tc.want)
			}
			if got := s.behind(members, 9); len(got) != tc.behind {
				t.Errorf("behind = %v, want %d hosts", got, tc.behind)
			}
		})
	}
}
