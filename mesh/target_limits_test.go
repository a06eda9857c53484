package mesh

import (
	"errors"
	"math"
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/spread"
)

// TestLimitShares guards against shares of a rate limit that add up to more than
// all of it, against hosts without a share although they send most of the
// requests, and against an old statement that outlives the end of a limit.
func TestLimitShares(t *testing.T) {
	report := func(rate float64, age time.Duration, wanted float64) TargetStatsRecord {
		return TargetStatsRecord{Target: "i", Limit: &LimitRecord{Rate: rate, Age: age, Wanted: wanted}}
	}
	cases := []struct {
		name    string
		reports map[string]TargetStatsRecord
		rate    float64
		shares  map[string]float64
	}{
		{"equal demand", map[string]TargetStatsRecord{"a": report(9.5, 0, 10), "b": report(9.5, 0, 10)}, 9.5,
			map[string]float64{"a": 0.5, "b": 0.5}},
		{"one host sends all", map[string]TargetStatsRecord{"a": report(9.5, 0, 10), "b": {Target: "i"}}, 9.5,
			map[string]float64{"a": 0.95, "b": 0.05}},
		{"no demand", map[string]TargetStatsRecord{"a": report(9.5, 0, 0), "b": {Target: "i"}}, 9.5,
			map[string]float64{"a": 0.5, "b": 0.5}},
		{"latest statement", map[string]TargetStatsRecord{"a": report(9.5, time.Second, 1), "b": report(4, 0, 1)}, 4,
			map[string]float64{"a": 0.5, "b": 0.5}},
		{"limit has ended", map[string]TargetStatsRecord{"a": report(9.5, time.Second, 1), "b": report(0, 0, 1)}, 0,
			map[string]float64{"a": 0.5, "b": 0.5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, manual := newTestRegistry(t)
			r.updateList([]ListedTarget{NewListedTarget("i", "s", "h:1", "z", 4, false, 0)})
			r.confirmLeadership(manual.Now())
			for host, record := range c.reports {
				heartbeat := testHeartbeat(host, true)
				heartbeat.Counts = []TargetStatsRecord{record}
				r.heartbeat(heartbeat)
			}
			manual.Advance(totalsInterval)
			r.confirmLeadership(manual.Now())
			sum := 0.0
			for host, record := range c.reports {
				heartbeat := testHeartbeat(host, true)
				heartbeat.Counts, heartbeat.ListTag = []TargetStatsRecord{record}, r.list.tag
				shares, err := decodeLimits(r.heartbeat(heartbeat).Limits, r.list.targets)
				if err != nil || len(shares) != 1 {
					t.Fatalf("shares of %s: %v, %v", host, shares, err)
				}
				rate, isSet := shares[0].Limit().Rate()
				if isSet != (c.rate > 0) || rate != c.rate {
					t.Errorf("limit of %s: %v, %v, want %v", host, rate, isSet, c.rate)
				}
				if math.Abs(shares[0].Share()-c.shares[host]) > 0.001 {
					t.Errorf("share of %s: %v, want %v", host, shares[0].Share(), c.shares[host])
				}
				sum += shares[0].Share()
			}
			if sum > 1.001 {
				t.Errorf("shares add up to %v", sum)
			}
		})
	}
}

// FuzzDecodeLimits guards against rate limits that crash the decoder or yield
// shares out of range.
func FuzzDecodeLimits(f *testing.F) {
	list := []ListedTarget{{id: "a"}, {id: "b"}, {id: "c"}}
	f.Add(encodeLimits([]spread.LimitShare{
		spread.NewLimitShare("a", spread.NewRateLimit(9.5), time.Second, 0.25),
		spread.NewLimitShare("c", spread.RateLimit{}, time.Minute, 1),
	}, indexTargets(list)))
	f.Add([]byte{0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 2, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		shares, err := decodeLimits(b, list)
		if err != nil && !errors.Is(err, errBadLimits) || len(shares) > len(list) {
			t.Fatalf("%v, %v", shares, err)
		}
		known := map[ident.Target]bool{}
		for _, s := range shares {
			if known[s.Target()] || s.Share() < 0 || s.Share() > 1 || s.Age() < 0 {
				t.Errorf("share %+v", s)
			}
			known[s.Target()] = true
		}
	})
}
