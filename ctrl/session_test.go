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

// leaseSimulation simulates a member that polls two control hosts, one of which
// leads at a time. Polls arrive after a delay, and may be processed later than
// they arrive.
type leaseSimulation struct {
	random         *rand.Rand
	now            time.Time
	member         state.Member
	hosts          [2]sessions
	leader         int
	polls          []leasePoll
	leaseUntil     time.Time
	roleLeaseUntil time.Time
	expired        bool
	rolesMoved     bool
}

type leasePoll struct {
	sent, arrives time.Time
	to            int
}

func newLeaseSimulation(seed int64) *leaseSimulation {
	sim := &leaseSimulation{
		random: rand.New(rand.NewPCG(uint64(seed), 1)), now: time.Unix(1000, 0),
		member: state.NewMember("h", 1, "z", "r", "", ""),
	}
	sim.hosts[0].beginLeadership(sim.now)
	return sim
}

// step simulates one random event and returns a description of a violation, or
// "".
func (sim *leaseSimulation) step() string {
	sim.now = sim.now.Add(time.Duration(sim.random.Int64N(int64(400 * time.Millisecond))))
	switch sim.random.IntN(12) {
	case 0:
		sim.leader = 1 - sim.leader
		sim.hosts[sim.leader].beginLeadership(sim.now)
	case 1, 2, 3:
		delay := time.Duration(sim.random.Int64N(int64(3 * time.Second)))
		sim.polls = append(sim.polls, leasePoll{sent: sim.now, arrives: sim.now.Add(delay), to: sim.random.IntN(2)})
	case 4, 5, 6, 7:
		sim.deliver()
	default:
		return sim.expire()
	}
	return ""
}

// deliver processes the polls that have arrived. Only the leader can confirm its
// leadership, so only it renews the session and grants a lease.
func (sim *leaseSimulation) deliver() {
	kept := sim.polls[:0]
	for _, p := range sim.polls {
		if p.arrives.After(sim.now) {
			kept = append(kept, p)
			continue
		}
		if p.to != sim.leader || sim.expired {
			continue
		}
		sim.hosts[p.to].renew("h", session{incarnation: 1, renewedAt: p.arrives})
		if end := p.sent.Add(Lease); end.After(sim.leaseUntil) {
			sim.leaseUntil = end
		}
		if end := p.sent.Add(RoleLease); !sim.rolesMoved && end.After(sim.roleLeaseUntil) {
			sim.roleLeaseUntil = end
		}
	}
	sim.polls = kept
}

func (sim *leaseSimulation) expire() string {
	if !sim.rolesMoved && len(sim.hosts[sim.leader].roleLeaseExpired([]state.Member{sim.member}, sim.now)) > 0 {
		if sim.now.Before(sim.roleLeaseUntil) {
			return fmt.Sprintf("the leader moved roles at %v whose lease lasts until %v", sim.now, sim.roleLeaseUntil)
		}
		sim.rolesMoved = true
	}
	if sim.expired || len(sim.hosts[sim.leader].leaseExpired([]state.Member{sim.member}, sim.now)) == 0 {
		return ""
	}
	if sim.now.Before(sim.leaseUntil) {
		return fmt.Sprintf("the leader ended a session at %v whose lease lasts until %v", sim.now, sim.leaseUntil)
	}
	sim.expired = true
	return ""
}

// Guards against two processes that act in one role at a time: a leader must not
// expire a session while the process may still hold a lease of any leader.
func TestLeaseEndsBeforeExpiry(t *testing.T) {
	t.Logf("seed %d", leaseSeed)
	parameters := gopter.DefaultTestParametersWithSeed(leaseSeed)
	parameters.MinSuccessfulTests = leaseRuns
	properties := gopter.NewProperties(parameters)
	properties.Property("no session ends before its lease", prop.ForAll(func(seed int64) string {
		sim := newLeaseSimulation(seed)
		for range 200 {
			if fault := sim.step(); fault != "" {
				return fault
			}
		}
		return ""
	}, gen.Int64()))
	properties.TestingRun(t)
}

// Guards against a revision that is reported in force before every process has
// applied it.
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
			s.beginLeadership(now)
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
