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

// script answers look-ups one after the other.
type script struct {
	answers []string
	asked   int
}

func (s *script) RoundTrip(*http.Request) (*http.Response, error) {
	body := s.answers[s.asked]
	s.asked++
	if body == "" {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	_, _ = w.WriteString(body)
	return w.Result(), nil
}

func lookupOf(addresses ...string) string {
	body := `{"hosts":[`
	for i, a := range addresses {
		if i > 0 {
			body += ","
		}
		body += fmt.Sprintf(`{"host":"h","address":%q,"weight":%d}`, a, i+1)
	}
	return body + `],"ttl-seconds":5}`
}

// Guards against a look-up for each request, an answer that is used after its
// time although another can be had, and one that is lost when it cannot.
func TestFinder(t *testing.T) {
	const first, second = "10.0.0.1:80", "10.0.0.2:80"
	type step struct {
		advance time.Duration
		avoid   []string
		want    string
		asked   int
	}
	cases := []struct {
		name    string
		answers []string
		steps   []step
	}{
		{name: "cached for its time", answers: []string{lookupOf(first), lookupOf(second)}, steps: []step{
			{want: first, asked: 1}, {advance: 4 * time.Second, want: first, asked: 1}}},
		{name: "renewed beside its last use", answers: []string{lookupOf(first), lookupOf(second)}, steps: []step{
			{want: first, asked: 1}, {advance: 5 * time.Second, want: first, asked: 2}, {want: second, asked: 2}}},
		{name: "kept when it cannot be renewed", answers: []string{lookupOf(first), "", ""}, steps: []step{
			{want: first, asked: 1}, {advance: 5 * time.Second, want: first, asked: 3}, {want: first, asked: 3}}},
		{name: "none, then asked again after a pause", answers: []string{"", lookupOf(first)}, steps: []step{
			{asked: 1}, {asked: 1}, {advance: retryLookup, want: first, asked: 2}}},
		{name: "malformed", answers: []string{`{"hosts":[{"address":"nowhere","weight":1}],"ttl-seconds":5}`}, steps: []step{{asked: 1}}},
		{name: "negative weight", answers: []string{`{"hosts":[{"address":"10.0.0.1:80","weight":-1}],"ttl-seconds":5}`}, steps: []step{{asked: 1}}},
		{name: "fallback", answers: []string{`{"hosts":[{"address":"10.0.0.1:80","weight":1},{"address":"10.0.0.2:80","weight":0}],"ttl-seconds":5}`}, steps: []step{
			{want: first, asked: 1}, {want: first, asked: 1}, {avoid: []string{first}, want: second, asked: 1}}},
		{name: "no time", answers: []string{`{"hosts":[{"address":"10.0.0.1:80","weight":1}]}`}, steps: []step{{asked: 1}}},
		{name: "avoided", answers: []string{lookupOf(first, second)}, steps: []step{
			{avoid: []string{second}, want: first, asked: 1}, {avoid: []string{first}, want: second, asked: 1}}},
		{name: "all avoided", answers: []string{lookupOf(first)}, steps: []step{{avoid: []string{first}, want: first, asked: 1}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			system := tasks.NewSystem(quiet())
			defer system.Shutdown()
			c, via := clock.NewManual(time.Unix(1000, 0)), &script{answers: tc.answers}
			f := &finder{ctx: ctx, clock: c, http: via, entry: "10.0.0.9:80", client: netip.MustParseAddr("127.0.0.1"),
				random: rand.New(rand.NewPCG(1, 1)), answers: make(map[ident.Service]*answer)}
			// The test handles the messages itself, so that a look-up has
			// ended before the next step.
			lookups := make(chan any, 1)
			ref, err := tasks.Spawn(ctx, system, "inbox", relayTask{to: lookups})
			if err != nil {
				t.Fatal(err)
			}
			f.ref = ref
			for i, s := range tc.steps {
				c.Advance(s.advance)
				reply := tasks.NewReply[picked]()
				f.Handle(pick{service: "s", avoid: s.avoid, reply: reply})
				if f.answers["s"].asking {
					f.Handle(<-lookups)
				}
				got := <-reply.Values()
				if got.address != s.want || (got.err != nil) != (s.want == "") || via.asked != s.asked {
					t.Errorf("step %d: %q, %v, asked %d times; want %q, %d", i+1, got.address, got.err, via.asked, s.want, s.asked)
				}
			}
		})
	}
}

type relayTask struct{ to chan any }

func (r relayTask) Handle(message any) { r.to <- message }

// Guards against a spread over hosts that ignores their weights.
func TestChooseByWeight(t *testing.T) {
	const seed, draws = 5, 60_000
	f := &finder{random: rand.New(rand.NewPCG(seed, 0))}
	a := &answer{hosts: []hostRecord{{Address: "a", Weight: 1}, {Address: "b", Weight: 2}, {Address: "c", Weight: 3}}}
	counts := make(map[string]int)
	for range draws {
		counts[f.choose(a, nil).address]++
	}
	for i, h := range a.hosts {
		want := draws * (i + 1) / 6
		// Five standard deviations of a binomial count are below 620.
		if n := counts[h.Address]; n < want-620 || n > want+620 {
			t.Errorf("seed %d: host %s drawn %d times, want about %d", seed, h.Address, n, want)
		}
	}
}
