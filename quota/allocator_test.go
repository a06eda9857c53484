package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rhubarbrack/ident"
)

const (
	testSpan = 5 * time.Second
	testRate = 100.0
	testTeam = ident.Team("team")
)

// testFleet plays hosts that serve one team and report to a lender.
type testFleet struct {
	random *rand.Rand
	now    time.Time
	hosts  []*Limiter
	lender *Allocator
	total  *Window
	// rate is that of the team, and its burst.
	rate float64
	// loss is the share of reports, and of answers, that get lost.
	loss float64
}

func newTestFleet(seed uint64, hosts int, loss float64) *testFleet {
	f := &testFleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), lender: NewAllocator(time.Time{}),
		total: NewWindow(testSpan), rate: testRate, loss: loss,
	}
	for range hosts {
		f.hosts = append(f.hosts, NewLimiter(testSpan))
	}
	return f
}

// run plays steps of 10 ms with the requests per second of each host, and
// returns the share of the requests that were admitted and the largest number
// in a window.
func (f *testFleet) run(steps int, demand func(host int) float64) (admitted, most float64) {
	asked, taken := 0.0, 0.0
	for step := range steps {
		f.now = f.now.Add(10 * time.Millisecond)
		for i, h := range f.hosts {
			if f.random.Float64() < demand(i)/100 {
				asked++
				if f.take(h) {
					taken++
					f.total.Add(f.now, 1)
				}
			}
			if (step+i*7)%40 == 0 {
				f.greet(i)
			}
		}
		most = max(most, f.total.Sum(f.now))
	}
	return taken / max(asked, 1), most
}

// take takes a token of the host, or else one of the reserve.
func (f *testFleet) take(h *Limiter) bool {
	if _, ok := h.TakeToken(f.now, testTeam, f.rate, f.rate, len(f.hosts)); ok {
		return true
	}
	if !h.CanRequestToken(f.now, testTeam) || f.random.Float64() < f.loss {
		return false
	}
	if !f.lender.TakeToken(f.now, testTeam, f.rate, f.rate, testSpan) {
		h.TokenDenied(f.now, testTeam)
		return false
	}
	return true
}

func (f *testFleet) greet(i int) {
	needs := f.hosts[i].Demand(f.now)
	if f.random.Float64() < f.loss {
		return
	}
	shares := f.lender.Allocate(f.now, ident.Host(fmt.Sprint(i)), len(f.hosts), needs)
	if f.random.Float64() < f.loss {
		return
	}
	f.hosts[i].ApplyLeases(shares, f.lender.NearLimit(f.now), f.now.Add(LeaseTime))
}

// TestLimitHolds guards against a team over its rate that gets more than its
// limit: in calm times, when the demand jumps between hosts, when reports are
// lost and when lenders take over from each other.
func TestLimitHolds(t *testing.T) {
	const limit = testRate*5 + testRate
	// A window counts its oldest part whole, so that the sum of all hosts may
	// differ by what arrives in one part.
	const most = limit * 1.1
	for seed := range uint64(20) {
		for _, loss := range []float64{0, 0.3} {
			f := newTestFleet(seed, 8, loss)
			for range 30 {
				hot := f.random.IntN(len(f.hosts))
				_, got := f.run(200, func(host int) float64 {
					if host == hot {
						return 95
					}
					return 20
				})
				if got > most {
					t.Fatalf("seed %d, loss %v: %v requests in a window, limit %v", seed, loss, got, limit)
				}
				if f.random.IntN(4) == 0 {
					f.lender = NewAllocator(f.now)
				}
			}
		}
	}
}

// TestNothingRefusedBelowTheLimit guards against refusals of a team within its
// rate whose requests arrive unevenly.
func TestNothingRefusedBelowTheLimit(t *testing.T) {
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

// TestSmallTeamInLargeFleet guards against a team whose rate is less than a
// request per second and host: its requests seldom arrive at the host that has
// a token, and a token on every host would be more than its limit.
func TestSmallTeamInLargeFleet(t *testing.T) {
	const (
		hosts = 71
		// over and slack are what the platform allows beyond the limit.
		over  = 1.1
		slack = 20
		calm  = 0.5
	)
	for _, rate := range []float64{5, 8, 20, 40, 90, 300} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("rate %v, seed %d", rate, seed), func(t *testing.T) {
				f := newTestFleet(seed, hosts, 0)
				f.rate = rate
				demand := func(times float64) func(int) float64 {
					return func(int) float64 { return times * rate / hosts }
				}
				f.run(500, demand(calm))
				if admitted, _ := f.run(2000, demand(calm)); admitted < 0.999 {
					t.Errorf("%.4f of the requests within the rate were admitted", admitted)
				}
				for range 3 {
					_, got := f.run(800, demand(8*calm))
					if most := (5*rate+rate)*over + slack; got > most {
						t.Errorf("%v requests in a window, at most %v are allowed", got, most)
					}
					f.run(800, demand(calm))
				}
			})
		}
	}
}
