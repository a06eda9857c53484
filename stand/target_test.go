package stand

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/target"
	"rhubarbrack/tasks"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// notifyingClock is a manual clock that signals when a timer has been set. A
// request sets a timer once it occupies a slot.
type notifyingClock struct {
	*clock.Manual
	timerSet chan struct{}
}

func newNotifyingClock() notifyingClock {
	return notifyingClock{Manual: clock.NewManual(start), timerSet: make(chan struct{}, 64)}
}

func (c notifyingClock) NewTimer(d time.Duration) clock.Timer {
	defer func() { c.timerSet <- struct{}{} }()
	return c.Manual.NewTimer(d)
}

func newSystem(t *testing.T) *tasks.System {
	t.Helper()
	s := tasks.NewSystem(slog.New(slog.DiscardHandler))
	t.Cleanup(s.Shutdown)
	return s
}

func startTarget(t *testing.T, s *tasks.System, options ...Option) *Target {
	t.Helper()
	got, err := StartTarget(context.Background(), s, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(got.Close)
	return got
}

// clientResult is the result of one request as the caller sees it.
type clientResult struct {
	status  int
	outcome string
	body    []byte
	err     error
}

func get(ctx context.Context, address, path string, header http.Header) clientResult {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return clientResult{err: err}
	}
	if header != nil {
		request.Header = header
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return clientResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return clientResult{status: response.StatusCode, outcome: response.Header.Get(target.HeaderOutcome), body: body, err: err}
}

// startGet sends a GET request in the background and returns a channel with its
// result.
func startGet(ctx context.Context, address, path string, header http.Header) <-chan clientResult {
	results := make(chan clientResult, 1)
	tasks.Go(ctx, func(ctx context.Context) { results <- get(ctx, address, path, header) })
	return results
}

// Guards against a stand-in that runs more requests than it has slots, and
// against slots that are not released when a request ends early.
func TestTargetSlots(t *testing.T) {
	const service = time.Minute
	waitServiceTime := func(_ func(), c notifyingClock) { c.Advance(service) }
	deadline := http.Header{target.HeaderDeadline: {start.Add(time.Second).Format(time.RFC3339Nano)}}
	cases := []struct {
		name   string
		queue  int
		header http.Header
		end    func(cancel func(), c notifyingClock)
		status int
		want   RunStatus
		second int
	}{
		{name: "full, no queue", end: waitServiceTime, status: 200, want: Done, second: 503},
		{name: "first is done", queue: 1, end: waitServiceTime, status: 200, want: Done, second: 200},
		{name: "first is cancelled", queue: 1, end: func(cancel func(), _ notifyingClock) { cancel() }, want: Cancelled, second: 200},
		{name: "first expires", queue: 1, header: deadline, end: func(_ func(), c notifyingClock) { c.Advance(time.Second) },
			status: 504, want: Expired, second: 200},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newNotifyingClock()
			s := startTarget(t, newSystem(t), WithClock(c), WithSlots(1), WithQueue(tc.queue), WithServiceTime(service, 0))
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			first := startGet(ctx, s.Address(), "/first", tc.header)
			<-c.timerSet
			second := startGet(context.Background(), s.Address(), "/second", nil)
			if tc.queue == 0 {
				if got := <-second; got.status != tc.second || got.outcome != target.OutcomeNotRun {
					t.Errorf("second request: %d %q, want %d not-run", got.status, got.outcome, tc.second)
				}
			}
			tc.end(cancel, c)
			if got := <-first; got.status != tc.status {
				t.Errorf("first request: %d, %v; want %d", got.status, got.err, tc.status)
			}
			if tc.queue > 0 {
				<-c.timerSet
				c.Advance(service)
				if got := <-second; got.status != tc.second {
					t.Errorf("second request: %d, %v; want %d", got.status, got.err, tc.second)
				}
			}
			s.Close()
			runs, _ := s.Runs(context.Background())
			stats, _ := s.Stats(context.Background())
			if len(runs) != stats.Ran() || runs[0].Status() != tc.want || stats.Busy() != 0 || stats.Queued() != 0 {
				t.Errorf("runs %+v, stats %+v; want the first to end as %s and no slot in use", runs, stats, tc.want)
			}
		})
	}
}

// Guards against refusals without the outcome header, which callers could not
// distinguish from requests that ran.
func TestTargetRefuses(t *testing.T) {
	past := http.Header{target.HeaderDeadline: {start.Format(time.RFC3339Nano)}}
	cases := []struct {
		name    string
		prepare func(s *Target)
		header  http.Header
	}{
		{name: "draining", prepare: func(s *Target) { s.SetDraining(true) }},
		{name: "deadline has passed", prepare: func(*Target) {}, header: past},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startTarget(t, newSystem(t), WithClock(clock.NewManual(start)))
			tc.prepare(s)
			if got := get(context.Background(), s.Address(), "/x", tc.header); got.status != 503 || got.outcome != target.OutcomeNotRun {
				t.Errorf("status %d, outcome %q; want 503, not-run", got.status, got.outcome)
			}
			s.Close()
			if stats, _ := s.Stats(context.Background()); stats.Ran() != 0 {
				t.Errorf("%d requests ran", stats.Ran())
			}
		})
	}
}

// Guards against responses without the attempt ID, which are paired with requests
// by their order alone.
func TestTargetEchoesAttempt(t *testing.T) {
	past := start.Add(-time.Second).Format(time.RFC3339Nano)
	cases := []struct {
		name, path, deadline string
		status               int
	}{
		{name: "response", path: "/x", status: 200},
		{name: "refusal", path: "/x", deadline: past, status: 503},
		{name: "download", path: "/files/10/name", status: 200},
		{name: "unknown download", path: "/files/ten/name", status: 404},
		{name: "report", path: target.PathHealth, status: 200},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startTarget(t, newSystem(t), WithClock(clock.NewManual(start)), WithServiceTime(0, 0))
			recorder := httptest.NewRecorder()
			r := httptest.NewRequest("GET", tc.path, nil)
			r.Header.Set(target.HeaderAttempt, "a-1")
			r.Header.Set(target.HeaderDeadline, tc.deadline)
			s.handler().ServeHTTP(recorder, r)
			if got := recorder.Header().Values(target.HeaderAttempt); recorder.Code != tc.status || !slices.Equal(got, []string{"a-1"}) {
				t.Errorf("status %d with attempts %q, want %d with a-1", recorder.Code, got, tc.status)
			}
		})
	}
}

// Guards against reports that ignore the configured lag, override or fault.
func TestTargetReports(t *testing.T) {
	const actual, idle = `{"slots":2,"busy":1,"queued":0,"age-ms":0}`, `{"slots":2,"busy":0,"queued":0,"age-ms":0}`
	cases := []struct {
		name         string
		prepare      func(s *Target)
		status       int
		health, load string
	}{
		{name: "truth", prepare: func(*Target) {}, status: 200, health: `{"state":"ready"}`, load: actual},
		{name: "draining", prepare: func(s *Target) { s.SetDraining(true) }, status: 200, health: `{"state":"leaving"}`, load: actual},
		{name: "short lag", prepare: func(s *Target) { s.SetReportLag(time.Second) }, status: 200, health: `{"state":"ready"}`, load: actual},
		{name: "long lag", prepare: func(s *Target) { s.SetReportLag(time.Minute) }, status: 200, health: `{"state":"ready"}`, load: idle},
		{name: "claims", prepare: func(s *Target) { s.OverrideReports(target.Broken, 0) }, status: 200, health: `{"state":"broken"}`, load: idle},
		{name: "claims taken back", prepare: func(s *Target) { s.OverrideReports(target.Broken, 0); s.OverrideReports("", -1) }, status: 200,
			health: `{"state":"ready"}`, load: actual},
		{name: "fault", prepare: func(s *Target) { s.SetReportFault(500) }, status: 500, health: "report fault", load: "report fault"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newNotifyingClock()
			s := startTarget(t, newSystem(t), WithClock(c), WithSlots(2), WithServiceTime(time.Hour, 0))
			c.Advance(10 * time.Second)
			busy := startGet(context.Background(), s.Address(), "/busy", nil)
			<-c.timerSet
			c.Advance(10 * time.Second)
			tc.prepare(s)
			for path, want := range map[string]string{target.PathHealth: tc.health, target.PathLoad: tc.load} {
				got := get(context.Background(), s.Address(), path, nil)
				if got.status != tc.status || string(bytes.TrimSpace(got.body)) != want {
					t.Errorf("%s: %d %s, want %d %s", path, got.status, got.body, tc.status, want)
				}
			}
			s.Close()
			<-busy
		})
	}
}

// bodyBuffer collects the body of a response.
type bodyBuffer struct{ bytes.Buffer }

func (*bodyBuffer) Start(int, http.Header) error { return nil }

// Guards against a crash that leaves connections open, and against a restart
// that discards the runs recorded before.
func TestTargetCrash(t *testing.T) {
	ctx := context.Background()
	c := newNotifyingClock()
	s := startTarget(t, newSystem(t), WithClock(c), WithServiceTime(time.Minute, 0))
	client := target.NewClient()
	defer client.Close()
	dispatch := func(path string) target.Result {
		r, err := target.NewRequest("GET", path)
		if err != nil {
			t.Fatal(err)
		}
		return client.Dispatch(ctx, s.Address(), r, &bodyBuffer{})
	}
	other := startGet(ctx, s.Address(), "/bystander", nil)
	<-c.timerSet
	if got := dispatch("/x?" + QueryCrash); got.Outcome() != target.Crashed {
		t.Errorf("marked request: %v, %v; want %v", got.Outcome(), got.Err(), target.Crashed)
	}
	if got := <-other; got.err == nil {
		t.Errorf("the other request got a response: %+v", got)
	}
	if got := dispatch("/x"); got.Outcome() != target.NotRun {
		t.Errorf("after the crash: %v, %v; want %v", got.Outcome(), got.Err(), target.NotRun)
	}
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	keyed := http.Header{"Authorization": {"Bearer secret"}, "Idempotency-Key": {"k"}}
	for range 2 {
		second := startGet(ctx, s.Address(), "/again", keyed)
		<-c.timerSet
		c.Advance(time.Minute)
		if got := <-second; got.status != 200 {
			t.Errorf("after the restart: %d, %v; want 200", got.status, got.err)
		}
	}
	s.Close()
	runs, _ := s.Runs(ctx)
	stats, _ := s.Stats(ctx)
	if stats.Crashes() != 1 || stats.Ran() != 4 || stats.KeysSeen() != 2 || runs[1].Status() != Crashed {
		t.Errorf("stats %+v, runs %+v", stats, runs)
	}
	if got := Duplicates(runs); len(got) != 1 || got["k"] != 2 {
		t.Errorf("duplicates %v, want k twice", got)
	}
}

// Guards against interrupted downloads that cannot be resumed at another target.
func TestTargetDownload(t *testing.T) {
	const size = 300_000
	ctx := context.Background()
	system := newSystem(t)
	client := target.NewClient()
	defer client.Close()
	first := startTarget(t, system, WithID("a"), WithServiceTime(0, 0))
	second := startTarget(t, system, WithID("b"), WithServiceTime(0, 0))
	first.InterruptDownloads(100_000)
	second.InterruptDownloads(50_000)
	r, err := target.NewRequest("GET", fmt.Sprintf("/files/%d/pattern", size))
	if err != nil {
		t.Fatal(err)
	}
	got := &bodyBuffer{}
	result := client.Dispatch(ctx, first.Address(), r, got)
	for _, next := range []*Target{second, first} {
		partial, ok := result.Partial()
		if !ok {
			t.Fatalf("%v, %v: the download cannot be resumed", result.Outcome(), result.Err())
		}
		result = client.Resume(ctx, next.Address(), r, partial, got)
	}
	want, err := io.ReadAll(Content("pattern", size))
	if err != nil || result.Outcome() != target.Ran || !bytes.Equal(got.Bytes(), want) {
		t.Errorf("%v, %v: %d bytes, equal %v", result.Outcome(), result.Err(), got.Len(), bytes.Equal(got.Bytes(), want))
	}
}

// Guards against recorded runs that exceed their limit, and against runs beyond
// the limit that are not counted.
func TestMaxRuns(t *testing.T) {
	cases := []struct {
		name                        string
		limit, recorded, unrecorded int
	}{
		{name: "below", limit: 9, recorded: 3},
		{name: "above", limit: 2, recorded: 2, unrecorded: 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startTarget(t, newSystem(t), WithMaxRuns(tc.limit), WithServiceTime(0, 0))
			for range 3 {
				if got := get(context.Background(), s.Address(), "/x", nil); got.status != 200 {
					t.Fatalf("status %d, %v", got.status, got.err)
				}
			}
			s.Close()
			runs, _ := s.Runs(context.Background())
			stats, _ := s.Stats(context.Background())
			if len(runs) != tc.recorded || stats.Unrecorded() != tc.unrecorded || stats.Ran() != 3 || stats.Busy() != 0 {
				t.Errorf("%d recorded runs, stats %+v; want %d and %d unrecorded", len(runs), stats, tc.recorded, tc.unrecorded)
			}
		})
	}
}

// Guards against service times that differ between runs with the same seed, do
// not have the configured median, or ignore the cold start.
func TestServiceTimes(t *testing.T) {
	cases := []struct {
		name    string
		options []Option
		first   float64
		median  float64
	}{
		{name: "constant", options: []Option{WithServiceTime(time.Second, 0)}, first: 1, median: 1},
		{name: "cold start", options: []Option{WithServiceTime(time.Second, 0), WithColdStart(10, 5)}, first: 5, median: 1},
		{name: "spread", options: []Option{WithServiceTime(time.Second, 0.5), WithSeed(3)}, median: 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a, b := newTargetTask(newSettings(tc.options)), newTargetTask(newSettings(tc.options))
			var times []float64
			for i := range 10_001 {
				d := a.nextServiceTime()
				if other := b.nextServiceTime(); other != d {
					t.Fatalf("service time %d: %v and %v from the same seed", i, d, other)
				}
				times = append(times, d.Seconds())
			}
			if tc.first != 0 && times[0] != tc.first {
				t.Errorf("first %v s, want %v", times[0], tc.first)
			}
			slices.Sort(times)
			// The tolerance is five standard errors of the median of the logarithms:
			// 1.25 times the standard deviation divided by the square root of the
			// number of samples.
			if tolerance := 5 * 0.5 * 1.25 / 100; math.Abs(math.Log(times[5000]/tc.median)) > tolerance {
				t.Errorf("median %v s, want %v", times[5000], tc.median)
			}
		})
	}
}
