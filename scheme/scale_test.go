package scheme

import (
	"fmt"
	"testing"
	"time"
)

// manyRoutes returns n routes of one host name.
func manyRoutes(n int) []*Route {
	services := []WeightedService{NewWeightedService("s", 1)}
	routes := make([]*Route, n)
	for i := range routes {
		routes[i] = NewRoute("r", "a.example", fmt.Sprintf("/%d/", i), Retryable, services, time.Second, 2)
	}
	return routes
}

// TestManyRoutes guards against a check that compares each route with all
// others, so that a host with little processor time applies a change of a large
// configuration too late. There is no deadline: such a check takes longer than
// the tests may run.
func TestManyRoutes(t *testing.T) {
	const routes = 400_000
	c, err := New(1, Limits{}, nil, manyRoutes(routes), testServices)
	if err != nil {
		t.Fatal(err)
	}
	for i := range routes {
		if r, ok := c.Match("a.example", fmt.Sprintf("/%d/x", i)); !ok || r.Prefix() != fmt.Sprintf("/%d/", i) {
			t.Fatalf("route %d not matched", i)
		}
	}
}

// TestLongPath guards against a path of many segments that takes time
// proportional to the square of its length.
func TestLongPath(t *testing.T) {
	c, err := New(1, Limits{}, nil, manyRoutes(1), testServices)
	if err != nil {
		t.Fatal(err)
	}
	path := make([]byte, 64<<20)
	for i := range path {
		path[i] = '/'
	}
	if _, ok := c.Match("a.example", string(path)); ok {
		t.Error("matched a route")
	}
}

func BenchmarkNew(b *testing.B) {
	for _, n := range []int{100, 2400, 10_000} {
		routes := manyRoutes(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, err := New(1, Limits{}, nil, routes, testServices); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
