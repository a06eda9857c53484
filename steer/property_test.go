package steer

import (
	"fmt"
	"math"
	"math/rand"
	"strconv"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"rhubarbrack/ident"
)

// propertySeed fixes the generated cases, so that failures are reproducible.
const propertySeed = 20260

func check(t *testing.T, name string, cases int, property func(seed int64) string) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = cases
	t.Logf("seed %d", propertySeed)
	properties := gopter.NewProperties(parameters)
	properties.Property(name, prop.ForAllNoShrink(property, gen.Int64()))
	properties.TestingRun(t)
}

// Guards against overload and leaked slots when messages are lost, duplicated,
// delayed or reordered, owners are replaced, holders restart or are partitioned
// while their requests run, pools open before all reports arrive, targets leave
// and probe reports are wrong.
func TestPoolKeepsBounds(t *testing.T) {
	check(t, "bounds hold and no slot leaks", 400, func(seed int64) string {
		s := newSimulation(seed)
		for range 2000 {
			s.step()
		}
		s.checkDrained()
		return s.fault
	})
}

// Guards against a team that gets more than its weighted share while others
// wait, whatever the length of its queue.
func TestDeficitRoundRobinIsFair(t *testing.T) {
	check(t, "shares by weight differ by at most one round and one request of each team", 300, func(seed int64) string {
		random := rand.New(rand.NewSource(seed))
		weights := make([]int, 2+random.Intn(6))
		heaviest := 0
		for i := range weights {
			weights[i] = 1 + random.Intn(20)
			heaviest = max(heaviest, weights[i])
		}
		c := newClassQueue("reads")
		add := func(team int) {
			c.add(&waiter{request: SlotRequest{team: ident.Team(strconv.Itoa(team)), weight: weights[team]}})
		}
		for i := range weights {
			for range 3 + random.Intn(30) {
				add(i)
			}
		}
		served := make([]int, len(weights))
		for range 2000 {
			w := c.pick(func(*waiter) bool { return true })
			c.remove(w)
			team, _ := strconv.Atoi(string(w.request.team))
			served[team]++
			if w.team.requests.Len() < 2 {
				return "a queue ran empty, so the bound does not apply"
			}
			for range 1 + random.Intn(2) {
				add(team)
			}
			for i, a := range weights {
				for j, b := range weights[:i] {
					difference := float64(served[i])/float64(a) - float64(served[j])/float64(b)
					if math.Abs(difference) > 1/float64(heaviest)+1/float64(a)+1/float64(b) {
						return fmt.Sprintf("served %v at weights %v", served, weights)
					}
				}
			}
		}
		return ""
	})
}

// Guards against a team with a small weight that waits many rounds with each
// request, and against one that gets more than its share because its queue
// runs empty.
func TestLightTeam(t *testing.T) {
	c := newClassQueue("reads")
	add := func(team ident.Team, weight int) {
		c.add(&waiter{request: SlotRequest{team: team, weight: weight}})
	}
	for range 2000 {
		add("heavy", 10)
	}
	add("light", 1)
	var positions []int
	for i := range 1100 {
		w := c.pick(func(*waiter) bool { return true })
		c.remove(w)
		if w.request.team == "light" {
			positions = append(positions, i)
			add("light", 1)
		}
	}
	if len(positions) == 0 || positions[0] > 1 || len(positions) < 99 || len(positions) > 101 {
		t.Errorf("served %d of 1100 at weight 1 of 11, first at %v; want 100 and a place among the first two", len(positions), positions[:min(1, len(positions))])
	}
}
