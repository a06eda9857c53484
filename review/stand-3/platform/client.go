package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// deadline is how long a client waits for an answer.
const deadline = 1500 * time.Millisecond

// sent is a request of a client and its end.
type sent struct {
	id, host string
	at       time.Time
	status   int
	took     time.Duration
}

// clients send orders to all entry hosts at a steady rate.
type clients struct {
	fleet *fleet
	group sync.WaitGroup

	mutex    sync.Mutex
	requests map[string]*sent
}

func newClients(f *fleet) *clients { return &clients{fleet: f, requests: map[string]*sent{}} }

// run sends the given number of requests a second to each entry host until ctx ends.
func (c *clients) run(ctx context.Context, perSecond int) {
	for _, h := range c.fleet.entries {
		transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
		client := &http.Client{Transport: transport, Timeout: deadline}
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			defer transport.CloseIdleConnections()
			ticker := time.NewTicker(time.Second / time.Duration(perSecond))
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				c.group.Add(1)
				go func() {
					defer c.group.Done()
					c.send(client, h)
				}()
			}
		}()
	}
}

// wait waits for the last answer.
func (c *clients) wait() { c.group.Wait() }

// send sends one order.
func (c *clients) send(client *http.Client, h *host) {
	s := &sent{id: fmt.Sprintf("%016x", rand.Uint64()), host: h.name, at: time.Now()}
	c.mutex.Lock()
	c.requests[s.id] = s
	c.mutex.Unlock()
	r, err := http.NewRequest(http.MethodPost, "http://"+c.fleet.network.at(h.address, portFront)+"/order/"+s.id, bytes.NewReader([]byte("deposit")))
	if err != nil {
		panic(err)
	}
	r.Host = hostname
	r.Header.Set("Request-Id", s.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Credential", key)
	status, text := 0, ""
	answer, err := client.Do(r)
	if err == nil {
		body, readErr := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err = readErr; err == nil {
			status = answer.StatusCode
		}
		text = string(body)
	}
	c.mutex.Lock()
	s.status, s.took = status, time.Since(s.at)
	c.mutex.Unlock()
	c.fleet.record.add("request %s, sent at %.3f to %s, is answered with %d %q after %d ms (%v)",
		s.id, c.fleet.record.seconds(s.at), h.name, status, text, s.took.Milliseconds(), err)
}

// get returns a request by its ID.
func (c *clients) get(id string) (sent, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s, ok := c.requests[id]
	if !ok {
		return sent{}, false
	}
	return *s, true
}

// statuses counts the answers by status. 0 stands for none.
func (c *clients) statuses() map[int]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := map[int]int{}
	for _, s := range c.requests {
		counts[s.status]++
	}
	return counts
}
