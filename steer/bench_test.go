package steer

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// newLoadedPool returns an open pool of one service with the given number of
// targets of four slots, about half of which are in use.
func newLoadedPool(targets int) (*Pool, time.Time) {
	p := New("r1")
	p.SetServices(start, []Service{NewService("s", 0.1, time.Minute)})
	var list []Target
	for i := range targets {
		id := ident.Target(fmt.Sprintf("t%03d", i))
		list = append(list, NewTarget(id, "s", "10.0.0.1:80", ident.Zone(fmt.Sprintf("z%d", i%3)), 4, StateLive))
	}
	p.SetTargets(start, list)
	p.TryOpen(start)
	for n := range uint64(2 * targets) {
		p.Acquire(start, NewSlotRequest(NewSlotRequestID(NewHolder("other", 1), n+1), "s", "team", reads, start.Add(time.Hour), WithZone("z1")))
	}
	return p, start
}

// BenchmarkDecision measures one grant and its release at 10,000 decisions per
// second, including the refresh of scores that depend on time.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{50, 200, 630} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			p, now := newLoadedPool(targets)
			number := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				number++
				now = now.Add(100 * time.Microsecond)
				id := NewSlotRequestID(NewHolder("h", 1), number)
				p.Acquire(now, NewSlotRequest(id, "s", "team", reads, now.Add(time.Second), WithZone("z1")))
				p.Release(now, id, NewResult(OutcomeOK, time.Millisecond))
				if number%1000 == 0 {
					p.ApplyHoldings(now, NewHoldings(NewHolder("h", 1), number, number, nil, nil))
				}
			}
		})
	}
}

// trueHoldings returns the true report of the holder "h".
func trueHoldings(p *Pool, sequence, last uint64) Holdings {
	h := p.holders[NewHolder("h", 1)]
	var open []OpenGrant
	for n, g := range h.grants {
		open = append(open, NewOpenGrant(n, "s", g.target.entry.id, ident.Fingerprint{}, 0))
	}
	return NewHoldings(NewHolder("h", 1), sequence, last, open, slices.Collect(maps.Keys(h.waiting)))
}

// BenchmarkQueued measures one release that serves a queue of eight teams, and
// the slot request that takes its place in the queue.
func BenchmarkQueued(b *testing.B) {
	for _, targets := range []int{50, 200, 630} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			p, now := newLoadedPool(targets)
			class := NewClass("reads", false, 1000, 0)
			number := uint64(0)
			request := func() {
				number++
				team := ident.Team(fmt.Sprintf("team%d", number%8))
				p.Acquire(now, NewSlotRequest(NewSlotRequestID(NewHolder("h", 1), number), "s", team, class, now.Add(time.Hour)))
			}
			for p.Waiting() < 400 {
				request()
			}
			next, oldest := uint64(0), NewSlotRequestID(NewHolder("other", 1), 1)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				next++
				granted := p.Release(now, oldest, NewResult(OutcomeOK, 0))
				oldest = granted[0].ID()
				request()
				if next%1000 == 0 {
					p.ApplyHoldings(now, trueHoldings(p, next, number))
				}
			}
		})
	}
}
