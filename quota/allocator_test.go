package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rhubarbrack/ident"
)

const (
	testWindow = 5 * time.Second
	testRate   = 100.0
	testTeam   = ident.Team("team")
)

// testFleet simulates hosts that serve one team and report to an allocator.
type testFleet struct {
	random    *rand.Rand
	now       time.Time
	hosts     []*Limiter
	allocator *Allocator
	total     *Window
	// rate is the rate of the team, and its burst.
	rate float64
	// lossRate is the fraction of reports, and of responses, that are lost.
	lossRate float64
}

func newTestFleet(seed uint64, hosts int, lossRate float64) *testFleet {
	f := &testFleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), allocator: NewAllocator(time.Time{}),
		total: NewWindow(testWindow), rate: testRate, lossRate: lossRate,
	}
	for range hosts {
		f.hosts = append(f.hosts, NewLimiter(testWindow))
	}
	return f
}

// run simulates steps of 10 ms with the given requests per second of each
// host. It returns the fraction of the requests that were admitted and the
// largest number in a window.
func (f *testFleet) run(steps int, demand func(host int) float64) (admitted, most float64) {
	requested, taken := 0.0, 0.0
	for step := range steps {
		f.now = f.now.Add(10 * time.Millisecond)
		for i, h := range f.hosts {
			if f.random.Float64() < demand(i)/100 {
				requested++
				if f.admit(h) {
					taken++
					f.total.Add(f.now, 1)
				}
			}
			if (step+i*7)%40 == 0 {
				f.report(i)
			}
		}
		most = max(most, f.total.Sum(f.now))
	}
	return taken / max(requested, 1), most
}

// admit takes a token of the host or, if it has none, of the reserve.
func (f *testFleet) admit(h *Limiter) bool {
	if _, ok := h.TakeToken(f.now, testTeam, f.rate, f.rate, len(f.hosts)); ok {
		return true
	}
	if !h.CanRequestToken(f.now, testTeam) || f.random.Float64() < f.lossRate {
		return false
	}
	if !f.allocator.TakeToken(f.now, testTeam, f.rate, f.rate, testWindow) {
		h.TokenDenied(f.now, testTeam)
		return false
	}
	return true
}

func (f *testFleet) report(i int) {
	demand := f.hosts[i].Demand(f.now)
	if f.random.Float64() < f.lossRate {
		return
	}
	leases := f.allocator.Allocate(f.now, ident.Host(fmt.Sprint(i)), len(f.hosts), demand)
	if f.random.Float64() < f.lossRate {
		return
	}
	f.hosts[i].ApplyLeases(leases, f.allocator.NearLimit(f.now), f.now.Add(LeaseTime))
}

// TestLimitHolds guards against a team that exceeds its limit: under steady
// demand, when the demand moves between hosts, when reports are lost, and when
// a new allocator takes over.
func TestLimitHolds(t *testing.T) {
	const limit = testRate*5 + testRate
	// A window counts its oldest bin in full, so the sum of all hosts may
	// exceed the limit by the requests of one bin.
	const most = limit * 1.1
	for seed := range uint64(20) {
		for _, lossRate := range []float64{0, 0.3} {
			f := newTestFleet(seed, 8, lossRate)
			for range 30 {
				busiest := f.random.IntN(len(f.hosts))
				_, got := f.run(200, func(host int) float64 {
					if host == busiest {
						return 95
					}
					return 20
				})
				if got > most {
					t.Fatalf("seed %d, lossRate %v: %v requests in a window, limit %v", seed, lossRate, got, limit)
				}
				if f.random.IntN(4) == 0 {
					f.allocator = NewAllocator(f.now)
				}
			}
		}
	}
}

// TestNoRefusalBelowLimit guards against refusing a team within its rate
// because its requests are spread unevenly over the hosts.
func TestNoRefusalBelowLimit(t *testing.T) {
	cases := []struct {
		name   string
		demand func(host int) float64
	}{
		{"even", func(int) float64 { return 10 }},
		{"one host has half", func(host int) float64 {
			if host == 0 {
				return 35
			}
			return 5
		}},
		{"one host has all", func(host int) float64 {
			if host == 0 {
				return 60
			}
			return 0
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(1, 8, 0)
			f.run(500, c.demand)
			if admitted, _ := f.run(2000, c.demand); admitted < 0.999 {
				t.Errorf("%.4f of the requests were admitted", admitted)
			}
		})
	}
}

// TestSmallTeamInLargeFleet guards against refusing, or not limiting, a team
// whose rate is below one request per second and host: its requests seldom
// arrive at a host that has a token, and one token on every host would exceed
// its limit.
func TestSmallTeamInLargeFleet(t *testing.T) {
	const (
		hosts = 71
		// The platform tolerates excess times the limit, plus slack.
		excess  = 1.1
		slack   = 20
		lowLoad = 0.5
	)
	for _, rate := range []float64{5, 8, 20, 40, 90, 300} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("rate %v, seed %d", rate, seed), func(t *testing.T) {
				f := newTestFleet(seed, hosts, 0)
				f.rate = rate
				demand := func(times float64) func(int) float64 {
					return func(int) float64 { return times * rate / hosts }
				}
				f.run(500, demand(lowLoad))
				if admitted, _ := f.run(2000, demand(lowLoad)); admitted < 0.999 {
					t.Errorf("%.4f of the requests within the rate were admitted", admitted)
				}
				for range 3 {
					_, got := f.run(800, demand(8*lowLoad))
					if most := (5*rate+rate)*excess + slack; got > most {
						t.Errorf("%v requests in a window, at most %v are allowed", got, most)
					}
					f.run(800, demand(lowLoad))
				}
			})
		}
	}
}
