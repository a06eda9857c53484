package shift

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"rhubarbrack/ident"
)

const pickerSeed = 20260804

// randomShares returns shares of k regions, all above 0.
func randomShares(t testing.TB, random *rand.Rand, k int) Shares {
	weights := make(map[ident.Region]float64, k)
	sum := 0.0
	for i := range k {
		w := math.Pow(random.Float64(), 3) + 1e-3
		weights[ident.Region(fmt.Sprintf("r%03d", i))] = w
		sum += w
	}
	for r := range weights {
		weights[r] /= sum
	}
	return mustShares(t, weights)
}

// Guards against a prefix of requests whose distribution deviates from the
// shares by more than the bound, also while the shares change.
func TestPickerDiscrepancy(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(pickerSeed)
	p.MinSuccessfulTests = 300
	properties := gopter.NewProperties(p)
	worst := 0.0
	properties.Property("every prefix is within max(1, H(k)-1)", prop.ForAll(func(seed uint64, k, every int) string {
		random := rand.New(rand.NewPCG(seed, 1))
		bound := -1.0
		for j := 1; j <= k; j++ {
			bound += 1 / float64(j)
		}
		bound = max(1, bound) + tolerance
		p := NewPicker(randomShares(t, random, k))
		owed := map[ident.Region]float64{}
		for n := range 2000 {
			if n%every == every-1 {
				p.SetShares(randomShares(t, random, k))
			}
			for i, r := range p.Shares().Regions() {
				owed[r] += p.shares.values[i]
			}
			owed[p.Pick()]--
			for r, v := range owed {
				worst = max(worst, math.Abs(v))
				if math.Abs(v) >= bound {
					return fmt.Sprintf("after %d requests %s is off by %v, bound %v", n+1, r, v, bound)
				}
			}
		}
		return ""
	}, gen.UInt64(), gen.IntRange(1, 27), gen.IntRange(1, 500)))
	properties.TestingRun(t)
	t.Logf("seed %d: greatest difference %.3f", pickerSeed, worst)
}

// Guards against requests to a region that no longer has a share.
func TestPickerLeavesRegion(t *testing.T) {
	cases := []struct {
		name          string
		before, after map[ident.Region]float64
		want          string
	}{
		{name: "drained", before: map[ident.Region]float64{"a": 0.9, "b": 0.1}, after: map[ident.Region]float64{"b": 0.5, "c": 0.5}, want: "bcbc"},
		{name: "only one left", before: map[ident.Region]float64{"a": 0.5, "b": 0.5}, after: map[ident.Region]float64{"b": 1}, want: "bbbb"},
		{name: "unchanged", before: map[ident.Region]float64{"a": 0.5, "b": 0.5}, after: map[ident.Region]float64{"a": 0.5, "b": 0.5}, want: "baba"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := NewPicker(mustShares(t, tc.before))
			p.Pick()
			p.SetShares(mustShares(t, tc.after))
			got := ""
			for range 4 {
				got += string(p.Pick())
			}
			if got != tc.want {
				t.Errorf("regions %s, want %s", got, tc.want)
			}
		})
	}
}

// Guards against accepting shares that are invalid or do not sum to 1.
func TestNewShares(t *testing.T) {
	cases := []struct {
		name   string
		shares map[ident.Region]float64
		wantOK bool
	}{
		{name: "valid", shares: map[ident.Region]float64{"a": 0.25, "b": 0.75, "c": 0}, wantOK: true},
		{name: "negative", shares: map[ident.Region]float64{"a": 1.5, "b": -0.5}},
		{name: "not a number", shares: map[ident.Region]float64{"a": math.NaN()}},
		{name: "sum below 1", shares: map[ident.Region]float64{"a": 0.5}},
		{name: "empty"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, err := NewShares(tc.shares)
			if (err == nil) != tc.wantOK || s.Of("c") != 0 {
				t.Errorf("NewShares error %v, want ok %v", err, tc.wantOK)
			}
		})
	}
}

// Measures the cost of one pick.
func BenchmarkPick(b *testing.B) {
	for _, k := range []int{3, 27} {
		b.Run(fmt.Sprintf("%d regions", k), func(b *testing.B) {
			p := NewPicker(randomShares(b, rand.New(rand.NewPCG(pickerSeed, 1)), k))
			for b.Loop() {
				p.Pick()
			}
		})
	}
}

// Measures the cost of one plan of the current size, and of larger ones in
// which requests of fewer regions of origin are served by more regions, called
// sites in the case names.
func BenchmarkPlan(b *testing.B) {
	cases := []struct {
		name                   string
		services, origins, all int
		calm                   bool
	}{
		{name: "4 services x 3 regions, all overloaded", services: 4, origins: 3, all: 3},
		{name: "4 services x 27 origins x 63 sites, all overloaded", services: 4, origins: 27, all: 63},
		{name: "4 services x 27 origins x 210 sites, all overloaded", services: 4, origins: 27, all: 210},
		{name: "4 services x 27 origins x 630 sites, calm", services: 4, origins: 27, all: 630, calm: true},
		{name: "4 services x 27 origins x 630 sites, all overloaded", services: 4, origins: 27, all: 630},
	}
	for _, bc := range cases {
		b.Run(bc.name, func(b *testing.B) {
			in := benchInput(b, bc.services, bc.origins, bc.all, bc.calm)
			for b.Loop() {
				Plan(in)
			}
			b.ReportMetric(float64(len(Plan(in))), "steps")
		})
	}
}

func benchInput(b *testing.B, services, origins, all int, calm bool) *Input {
	random := rand.New(rand.NewPCG(pickerSeed, 2))
	in := NewInput(planStart, NewHistory(time.Time{}), classes...)
	shares := randomShares(b, random, all)
	for s := range services {
		service := ident.Service(fmt.Sprintf("s%d", s))
		in.SetProfile(service, NewProfile())
		for i, r := range shares.Regions() {
			slots := 1e6
			if !calm {
				slots = float64(random.IntN(2)) * 2e3 * shares.values[i]
			}
			in.SetCapacity(service, r, slots)
		}
		for o := range origins {
			k := NewKey(service, shares.Regions()[o])
			in.SetShares(k, shares)
			for _, c := range classes {
				in.AddDemand(k, c, 10, 1e4)
			}
			for _, r := range shares.Regions() {
				in.SetDelay(k.Origin(), r, time.Duration(random.IntN(1000))*time.Microsecond)
				in.SetLink(k.Origin(), r, 1e9)
			}
		}
	}
	return in
}
