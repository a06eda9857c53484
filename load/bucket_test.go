package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against a bucket that treats offers beyond the rate as conforming, or
// conforming offers as exceeding the rate.
func TestBucket(t *testing.T) {
	type offer struct {
		at   time.Duration
		want bool
	}
	cases := []struct {
		name        string
		rate, burst float64
		offers      []offer
	}{
		{name: "burst, then rate", rate: 10, burst: 2, offers: []offer{{0, true}, {0, true}, {0, false}}},
		{name: "conforming", rate: 10, burst: 1, offers: []offer{{0, true}, {100 * time.Millisecond, true}, {200 * time.Millisecond, true}}},
		{name: "slightly too fast", rate: 10, burst: 1, offers: []offer{{0, true}, {99 * time.Millisecond, false}}},
		{name: "debt is bounded by the burst", rate: 10, burst: 1,
			offers: []offer{{0, true}, {0, false}, {0, false}, {0, false}, {200 * time.Millisecond, true}}},
		{name: "rest fills no more than the burst", rate: 10, burst: 1, offers: []offer{{time.Hour, true}, {time.Hour, false}}},
		{name: "time never runs back", rate: 10, burst: 1, offers: []offer{{time.Second, true}, {0, false}, {1100 * time.Millisecond, false}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Unix(0, 0)
			b := newBucket(tc.rate, tc.burst, 0, start)
			for i, o := range tc.offers {
				if got := b.charge(start.Add(o.at)).withinLimit; got != o.want {
					t.Errorf("offer %d at %v conforms: %v, want %v", i+1, o.at, got, o.want)
				}
			}
		})
	}
}

// countRefusals simulates the schedule of one team against a system bucket with
// the given burst, which sees each request after a random delay of up to jitter.
// It counts the refusals by the generator's classification.
func countRefusals(seed uint64, load, burst float64, jitter time.Duration) map[conformity]int {
	const rate, generatorBurst, duration = 100, 20, 3 * time.Minute
	type request struct {
		arrival time.Duration
		charged chargeResult
	}
	start, random := time.Unix(0, 0), rand.New(rand.NewPCG(seed, 9))
	generator := newBucket(rate, generatorBurst, defaultTolerance, start)
	s := newSchedule(seed, 1, rate*load, 0, 1, []Route{{weight: 1}})
	var requests []request
	for offset, _ := s.next(); offset < duration; offset, _ = s.next() {
		delay := time.Duration(random.Float64() * float64(jitter))
		requests = append(requests, request{arrival: offset + delay, charged: generator.charge(start.Add(offset))})
	}
	slices.SortFunc(requests, func(a, b request) int { return cmp.Compare(a.arrival, b.arrival) })
	counts, level, at := make(map[conformity]int), burst, time.Duration(0)
	for _, r := range requests {
		level, at = min(burst, level+rate*(r.arrival-at).Seconds()), r.arrival
		if level < 1 {
			counts[generator.classify(r.charged)]++
			continue
		}
		level--
	}
	return counts
}

// Guards against a classification that reports wrongful refusals although the
// system's bucket is exact, and against one that does not detect a bucket that
// is too small.
func TestRefusalClassification(t *testing.T) {
	cases := []struct {
		name        string
		load, burst float64
		jitter      time.Duration
		wrongful    bool
	}{
		{name: "exact, within the rate", load: 0.9, burst: 20, jitter: defaultTolerance},
		{name: "exact, at the rate", load: 1, burst: 20, jitter: defaultTolerance},
		{name: "exact, beyond the rate", load: 1.2, burst: 20, jitter: defaultTolerance},
		{name: "exact, far beyond the rate", load: 5, burst: 20, jitter: defaultTolerance},
		{name: "half the burst", load: 0.9, burst: 10, jitter: defaultTolerance, wrongful: true},
		{name: "half the burst, no delay", load: 0.9, burst: 10, wrongful: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for _, seed := range []uint64{1, 2, 3} {
				counts := countRefusals(seed, tc.load, tc.burst, tc.jitter)
				t.Logf("seed %d: %d exceeding, %d disputed, %d wrongful", seed, counts[exceeds], counts[disputed], counts[conforms])
				if counts[exceeds] == 0 || (counts[conforms] > 0) != tc.wrongful {
					t.Errorf("seed %d: %v, want wrongful refusals: %v", seed, counts, tc.wrongful)
				}
			}
		})
	}
}
