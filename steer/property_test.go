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

// propertySeed makes every run check the same cases.
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

// Guards against overload and leaked slots when messages are lost, repeated,
// late or out of order, owners are replaced, holders restart, targets leave
// and reports mislead.
func TestPoolKeepsBounds(t *testing.T) {
	check(t, "bounds hold and no slot leaks", 400, func(seed int64) string {
		w := newWorld(seed)
		for range 2000 {
			w.step()
		}
		w.settle()
		return w.fault
	})
}

// Guards against a team that gets more than its share by weight while others
// wait, whatever the number of its asks.
func TestDeficitRoundRobinIsFair(t *testing.T) {
	check(t, "shares by weight differ by at most one round and one ask of each team", 300, func(seed int64) string {
		random := rand.New(rand.NewSource(seed))
		weights := make([]int, 2+random.Intn(6))
		heaviest := 0
		for i := range weights {
			weights[i] = 1 + random.Intn(20)
			heaviest = max(heaviest, weights[i])
		}
		c := newClassQueue("reads")
		add := func(team int) {
			c.add(&waiter{ask: Ask{team: ident.Team(strconv.Itoa(team)), weight: weights[team]}})
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
			team, _ := strconv.Atoi(string(w.ask.team))
			served[team]++
			if w.team.asks.Len() < 2 {
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
