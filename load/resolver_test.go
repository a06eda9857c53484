package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// scriptedTransport returns the given lookup responses one after the other. An
// empty response is a connection error.
type scriptedTransport struct {
	responses []string
	lookups   int
}

func (s *scriptedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	body := s.responses[s.lookups]
	s.lookups++
	if body == "" {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	_, _ = w.WriteString(body)
	return w.Result(), nil
}

// lookupBody returns a lookup response in which the host at index i has the
// weight i+1.
func lookupBody(addresses ...string) string {
	body := `{"hosts":[`
	for i, a := range addresses {
		if i > 0 {
			body += ","
		}
		body += fmt.Sprintf(`{"host":"h","address":%q,"weight":%d}`, a, i+1)
	}
	return body + `],"ttl-seconds":5}`
}

// Guards against a lookup for each request, an expired response that is used
// although it can be renewed, and one that is discarded when it cannot.
func TestResolver(t *testing.T) {
	const first, second = "10.0.0.1:80", "10.0.0.2:80"
	type step struct {
		advance time.Duration
		avoid   []string
		want    string
		lookups int
	}
	cases := []struct {
		name      string
		responses []string
		steps     []step
	}{
		{name: "cached for its time", responses: []string{lookupBody(first), lookupBody(second)}, steps: []step{
			{want: first, lookups: 1}, {advance: 4 * time.Second, want: first, lookups: 1}}},
		{name: "renewed beside its last use", responses: []string{lookupBody(first), lookupBody(second)}, steps: []step{
			{want: first, lookups: 1}, {advance: 5 * time.Second, want: first, lookups: 2}, {want: second, lookups: 2}}},
		{name: "kept when it cannot be renewed", responses: []string{lookupBody(first), "", ""}, steps: []step{
			{want: first, lookups: 1}, {advance: 5 * time.Second, want: first, lookups: 3}, {want: first, lookups: 3}}},
		{name: "none, then asked again after a pause", responses: []string{"", lookupBody(first)}, steps: []step{
			{lookups: 1}, {lookups: 1}, {advance: lookupRetryInterval, want: first, lookups: 2}}},
		{name: "malformed", responses: []string{`{"hosts":[{"address":"nowhere","weight":1}],"ttl-seconds":5}`}, steps: []step{{lookups: 1}}},
		{name: "negative weight", responses: []string{`{"hosts":[{"address":"10.0.0.1:80","weight":-1}],"ttl-seconds":5}`}, steps: []step{{lookups: 1}}},
		{name: "fallback", responses: []string{`{"hosts":[{"address":"10.0.0.1:80","weight":1},{"address":"10.0.0.2:80","weight":0}],"ttl-seconds":5}`}, steps: []step{
			{want: first, lookups: 1}, {want: first, lookups: 1}, {avoid: []string{first}, want: second, lookups: 1}}},
		{name: "no time", responses: []string{`{"hosts":[{"address":"10.0.0.1:80","weight":1}]}`}, steps: []step{{lookups: 1}}},
		{name: "avoided", responses: []string{lookupBody(first, second)}, steps: []step{
			{avoid: []string{second}, want: first, lookups: 1}, {avoid: []string{first}, want: second, lookups: 1}}},
		{name: "all avoided", responses: []string{lookupBody(first)}, steps: []step{{avoid: []string{first}, want: first, lookups: 1}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			system := tasks.NewSystem(discardLog())
			defer system.Shutdown()
			c, transport := clock.NewManual(time.Unix(1000, 0)), &scriptedTransport{responses: tc.responses}
			r := &resolver{ctx: ctx, clock: c, http: transport, entry: "10.0.0.9:80", client: netip.MustParseAddr("127.0.0.1"),
				random: rand.New(rand.NewPCG(1, 1)), cache: make(map[ident.Service]*cacheEntry)}
			// The test calls Handle itself, so that a lookup has ended before
			// the next step.
			messages := make(chan any, 1)
			ref, err := tasks.Spawn(ctx, system, "inbox", forwardTask{to: messages})
			if err != nil {
				t.Fatal(err)
			}
			r.ref = ref
			for i, s := range tc.steps {
				c.Advance(s.advance)
				reply := tasks.NewReply[resolvedHost]()
				r.Handle(resolveRequest{service: "s", avoid: s.avoid, reply: reply})
				if r.cache["s"].lookupRunning {
					r.Handle(<-messages)
				}
				got := <-reply.Values()
				if got.address != s.want || (got.err != nil) != (s.want == "") || transport.lookups != s.lookups {
					t.Errorf("step %d: %q, %v, %d lookups; want %q, %d", i+1, got.address, got.err, transport.lookups, s.want, s.lookups)
				}
			}
		})
	}
}

// forwardTask forwards its messages to a channel.
type forwardTask struct{ to chan any }

func (f forwardTask) Handle(message any) { f.to <- message }

// Guards against a choice of hosts that ignores their weights.
func TestChooseByWeight(t *testing.T) {
	const seed, draws = 5, 60_000
	r := &resolver{random: rand.New(rand.NewPCG(seed, 0))}
	entry := &cacheEntry{hosts: []hostRecord{{Address: "a", Weight: 1}, {Address: "b", Weight: 2}, {Address: "c", Weight: 3}}}
	counts := make(map[string]int)
	for range draws {
		counts[r.chooseHost(entry, nil).address]++
	}
	for i, h := range entry.hosts {
		want := draws * (i + 1) / 6
		// The bound of 620 exceeds five standard deviations of a binomial count.
		if n := counts[h.Address]; n < want-620 || n > want+620 {
			t.Errorf("seed %d: host %s drawn %d times, want about %d", seed, h.Address, n, want)
		}
	}
}
