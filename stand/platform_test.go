package stand

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"rhubarbrack/lister"
	"rhubarbrack/target"
)

// Guards against a list that shows changes before the lag has passed.
func TestPlatformLag(t *testing.T) {
	a, err := lister.NewTarget("a", "s", "127.0.0.1:1", "z", "r", 1, lister.Live)
	if err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		name    string
		change  func(p *Platform)
		advance time.Duration
		want    string
	}{
		{name: "first list", change: func(*Platform) {}, want: "a live"},
		{name: "leaving, at once", change: func(p *Platform) { p.SetState("a", lister.Leaving) }, want: "a live"},
		{name: "leaving, shortly before the lag", change: func(*Platform) {}, advance: 4 * time.Second, want: "a live"},
		{name: "leaving, after the lag", change: func(*Platform) {}, advance: time.Second, want: "a leaving"},
		{name: "two changes", change: func(p *Platform) { p.SetState("a", lister.Live); p.Set() }, advance: 4 * time.Second, want: "a leaving"},
		{name: "the later one counts", change: func(*Platform) {}, advance: time.Second, want: ""},
		{name: "fault", change: func(p *Platform) { p.SetFault(500) }, want: "status 500"},
		{name: "fault ends, no lag", change: func(p *Platform) { p.SetFault(0); p.SetLag(0); p.Set(a) }, want: "a live"},
	}
	c := newNotifyingClock()
	p, err := StartPlatform(context.Background(), newSystem(t), WithClock(c), WithLag(5*time.Second), WithTargets(a))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for _, s := range steps {
		s.change(p)
		c.Advance(s.advance)
		if got := listOf(t, p); got != s.want {
			t.Errorf("%s: list shows %q, want %q", s.name, got, s.want)
		}
	}
}

// listOf returns the list that the platform serves, or the error status.
func listOf(t *testing.T, p *Platform) string {
	t.Helper()
	got := get(context.Background(), p.server.address, PathHosts, nil)
	if got.status != 200 {
		return fmt.Sprintf("status %d", got.status)
	}
	targets, err := lister.Decode(strings.NewReader(string(got.body)), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	var entries []string
	for _, target := range targets {
		entries = append(entries, fmt.Sprintf("%s %s", target.ID(), target.State()))
	}
	return strings.Join(entries, ", ")
}

// Guards against a fleet that differs from its specification, and against
// malformed specifications that are accepted.
func TestFleet(t *testing.T) {
	cases := []struct {
		name, spec, want string
	}{
		{name: "two kinds", want: "big live, small-1 live, small-2 live", spec: `
platform: {lag: 1s}
targets:
  - {id: big, service: files, slots: 6, service-time: 1ms}
  - {id: small, count: 2, service: catalogue, zone: zone-2, region: region-2, cold-requests: 5, cold-factor: 3}
`},
		{name: "unknown field", spec: "targets: [{id: a, speed: 3}]"},
		{name: "repeated id", spec: "targets: [{id: a}, {id: a}]"},
		{name: "malformed id", spec: "targets: [{id: A b}]"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f, err := StartFleet(context.Background(), newSystem(t), strings.NewReader(tc.spec))
			if tc.want == "" {
				if err == nil {
					f.Close()
					t.Error("StartFleet accepted the specification")
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			if got := listOf(t, f.Platform()); got != tc.want {
				t.Errorf("platform lists %q, want %q", got, tc.want)
			}
			for _, s := range f.Targets() {
				if got := get(context.Background(), s.Address(), "/x", nil); got.status != 200 {
					t.Errorf("%s: %d, %v", s.ID(), got.status, got.err)
				}
			}
		})
	}
}

// Guards against control requests that are accepted without effect.
func TestControlHandler(t *testing.T) {
	const spec = "targets: [{id: a, service-time: 1ns}, {id: b, service-time: 1ns}]"
	f, err := StartFleet(context.Background(), newSystem(t), strings.NewReader(spec))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	a := f.Targets()[0]
	steps := []struct {
		path   string
		status int
		list   string
		work   int
		health int
	}{
		{path: "/targets/a/drain?on=true", status: 204, list: "a live, b live", work: 503, health: 200},
		{path: "/targets/a/drain?on=false", status: 204, list: "a live, b live", work: 200, health: 200},
		{path: "/targets/a/list?state=leaving", status: 204, list: "a leaving, b live", work: 200, health: 200},
		{path: "/targets/a/reports?fault=500&lag=1s", status: 204, list: "a leaving, b live", work: 200, health: 500},
		{path: "/targets/a/reports?fault=0", status: 204, list: "a leaving, b live", work: 200, health: 200},
		{path: "/targets/a/claims?state=broken&busy=3", status: 204, list: "a leaving, b live", work: 200, health: 200},
		{path: "/targets/a/crash", status: 204, list: "a leaving, b live"},
		{path: "/targets/a/restart", status: 204, list: "a leaving, b live", work: 200, health: 200},
		{path: "/platform?fault=500", status: 204, list: "status 500", work: 200, health: 200},
		{path: "/platform?fault=0&lag=0s", status: 204, list: "a leaving, b live", work: 200, health: 200},
		{path: "/targets/c/crash", status: 404, list: "a leaving, b live", work: 200, health: 200},
		{path: "/targets/a/drain?on=perhaps", status: 400, list: "a leaving, b live", work: 200, health: 200},
		{path: "/targets/a/list?state=gone", status: 400, list: "a leaving, b live", work: 200, health: 200},
		{path: "/targets/a/cut?after=-1", status: 400, list: "a leaving, b live", work: 200, health: 200},
	}
	for _, s := range steps {
		response, err := http.Post("http://"+f.ControlAddress()+s.path, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		list, ctx := listOf(t, f.Platform()), context.Background()
		work, health := get(ctx, a.Address(), "/x", nil).status, get(ctx, a.Address(), target.PathHealth, nil).status
		if response.StatusCode != s.status || list != s.list || work != s.work || health != s.health {
			t.Errorf("%s: status %d, list %q, work %d, health %d; want %+v", s.path, response.StatusCode, list, work, health, s)
		}
	}
	if got := get(context.Background(), f.ControlAddress(), "/figures", nil); !strings.Contains(string(got.body), `{"target":"a","ran":12,"shed":1,"crashes":1,`) {
		t.Errorf("figures %s", got.body)
	}
}
