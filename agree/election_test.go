package agree

import (
	"slices"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// delivery is a message on its way.
type delivery struct {
	at      time.Time
	message Message
}

// electionRun runs the hosts of a cluster that start at the same time, over
// links with a delay. Some hosts are down, and the responses to some are lost.
type electionRun struct {
	now       time.Time
	nodes     map[ident.Host]*Node
	order     []ident.Host
	onTheWay  []delivery
	delay     time.Duration
	unhearing ident.Host
}

const (
	runElectionTimeout = 400 * time.Millisecond
	runDelay           = 55 * time.Millisecond
	runTick            = 10 * time.Millisecond
)

// newElectionRun starts the first hosts of five voters in a term. The seed
// determines their election timeouts, and logs the lengths of their logs.
func newElectionRun(seed uint64, term Term, logs []int) *electionRun {
	names := []ident.Host{"a", "b", "c", "d", "e"}
	var members Members
	for i, name := range names {
		members = members.With(NewMember(name, "", DiskID(i+1), true))
	}
	run := &electionRun{now: time.Unix(0, 0), nodes: map[ident.Host]*Node{}, delay: runDelay}
	for i, length := range logs {
		var entries []Entry
		for revision := range length {
			entries = append(entries, Entry{kind: EntryNoOp, revision: ident.Revision(revision + 1), term: term})
		}
		restored := NewPersistentState(DiskID(i+1), NewHardState(term, "", members), ident.None[Snapshot](), entries)
		run.nodes[names[i]] = New(names[i], restored, WithElectionTimeout(runElectionTimeout), WithSeed(seed*10+uint64(i)))
		run.order = append(run.order, names[i])
	}
	return run
}

func (r *electionRun) step(host ident.Host, input Input) {
	n := r.nodes[host]
	effects := n.Step(r.now, input)
	messages := effects.Messages()
	for _, w := range effects.Writes() {
		messages = append(messages, n.Step(r.now, NewSynced(w.Number())).Messages()...)
	}
	for _, m := range messages {
		if _, runs := r.nodes[m.to]; runs && m.to != r.unhearing {
			r.onTheWay = append(r.onTheWay, delivery{at: r.now.Add(r.delay), message: m})
		}
	}
}

// leaderAfter returns how long it takes until a host leads, or the limit.
func (r *electionRun) leaderAfter(limit time.Duration) time.Duration {
	start := r.now
	for ; r.now.Sub(start) < limit; r.now = r.now.Add(runTick) {
		var due []Message
		r.onTheWay = slices.DeleteFunc(r.onTheWay, func(d delivery) bool {
			if d.at.After(r.now) {
				return false
			}
			due = append(due, d.message)
			return true
		})
		for _, m := range due {
			r.step(m.to, NewReceive(m))
		}
		for _, host := range r.order {
			r.step(host, Tick{})
			if r.nodes[host].Role() == Leader {
				return r.now.Sub(start)
			}
		}
	}
	return limit
}

// TestElectionAfterCommonStart guards against elections that several hosts
// begin at the same time and none wins, after all hosts have restarted and two
// of five have lost their disks. The first election begins within two election
// timeouts and takes two round trips.
func TestElectionAfterCommonStart(t *testing.T) {
	const bound = 2*runElectionTimeout + 4*runDelay + 4*runTick
	cases := []struct {
		name string
		term Term
		logs []int
		// bound is greater if a host whose log is too short begins.
		bound time.Duration
	}{
		{"new cluster", 0, []int{0, 0, 0, 0, 0}, bound},
		{"all hosts", 1, []int{1, 1, 1, 1, 1}, bound},
		{"two hosts down", 1, []int{1, 1, 1}, bound},
		{"one host with the newest entry, two down", 1, []int{1, 2, 1}, 2 * bound},
		{"one host behind, two down", 1, []int{1, 2, 2}, 2 * bound},
	}
	const seeds = 300
	for _, c := range cases {
		late, longest := 0, time.Duration(0)
		for seed := range uint64(seeds) {
			took := newElectionRun(seed, c.term, c.logs).leaderAfter(time.Minute)
			longest = max(longest, took)
			if took > c.bound {
				late++
			}
		}
		if late > seeds/100 {
			t.Errorf("%s: %d of %d elections took longer than %v, the longest %v", c.name, late, seeds, c.bound, longest)
		}
	}
}

// TestDeferredElections guards against a host that begins elections over and
// over, because it does not receive the responses, and so keeps the others from
// electing a leader.
func TestDeferredElections(t *testing.T) {
	for seed := range uint64(100) {
		r := newElectionRun(seed, 1, []int{1, 1, 1, 1})
		r.unhearing = "a"
		// Each of the others may defer to each of the three hosts once.
		if took := r.leaderAfter(time.Minute); took > 8*runElectionTimeout {
			t.Errorf("seed %d: no leader for %v", seed, took)
		}
	}
}
