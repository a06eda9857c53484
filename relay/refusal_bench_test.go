package relay

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// BenchmarkConnectionsOfRefusals reports how many connections a request costs when
// a full target refuses a share of the requests.
func BenchmarkConnectionsOfRefusals(b *testing.B) {
	const callers = 16
	cases := []struct {
		name string
		// refusals of ten requests are refused.
		refusals int
	}{
		{"none", 0}, {"three of ten", 3}, {"nine of ten", 9},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			connections := &connectionCounter{seen: map[string]bool{}}
			h := newTestHost(b, func(n int, r *http.Request) string {
				connections.add(r.RemoteAddr)
				if n%10 < c.refusals {
					return notRun(r)
				}
				return targetResponse(r, 200, "ok")
			})
			var group sync.WaitGroup
			for i := range callers {
				group.Go(func() { callRepeatedly(b, h, i, b.N/callers+1) })
			}
			group.Wait()
			b.ReportMetric(float64(connections.count())/float64(len(h.target.list())), "connections/arrival")
		})
	}
}

func callRepeatedly(b *testing.B, h *testHost, caller, requests int) {
	client := newClient(b)
	for i := range requests {
		r, err := http.NewRequest(http.MethodPost, "http://"+h.address+"/once/1", strings.NewReader("a"))
		if err != nil {
			b.Error(err)
			return
		}
		r.Host = "h"
		r.Header.Set("Id", fmt.Sprintf("%d-%d", caller, i))
		r.Header.Set("Key", "key")
		response, err := client.Do(r)
		if err != nil {
			b.Error(err)
			return
		}
		_ = response.Body.Close()
	}
}

// connectionCounter counts connections by their remote address.
type connectionCounter struct {
	mutex sync.Mutex
	seen  map[string]bool
}

func (c *connectionCounter) add(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.seen[address] = true
}

func (c *connectionCounter) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.seen)
}
