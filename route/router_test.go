package route

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/prof"
	"rhubarbrack/state"
	"rhubarbrack/steer"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fakeSystem implements all interfaces of a router. It is used by one
// goroutine.
type fakeSystem struct {
	clock       *clock.Manual
	config      *state.Config
	revision    ident.Revision
	lease       time.Duration
	rate        error
	results     []AttemptResult
	runs        int
	addresses   []string
	released    []steer.Outcome
	table       *once.Table
	loseClaim   bool
	allowRetry  bool
	withdrawKey bool
	replayed    int
	body        []byte
	bodyErr     error
}

type fakeRefusal struct{ reason string }

func (f fakeRefusal) Error() string             { return f.reason }
func (f fakeRefusal) Reason() string            { return f.reason }
func (f fakeRefusal) RetryAfter() time.Duration { return time.Second }

func (f *fakeSystem) View(context.Context) (View, error) {
	return NewView(f.config, f.clock.Now().Add(f.lease)), nil
}

func (f *fakeSystem) Take(context.Context, ident.Team) error { return f.rate }

func (f *fakeSystem) Pick(context.Context, ident.Service, ident.Class) (ident.Region, error) {
	return "gulf", nil
}

func (f *fakeSystem) Allow(context.Context, ident.Service, float64) bool { return f.allowRetry }

type fakeSlot struct{ target ident.Target }

func (f fakeSlot) Target() ident.Target { return f.target }
func (f fakeSlot) Address() string      { return string(f.target) }

func (f *fakeSystem) Acquire(_ context.Context, _ ident.Region, request SlotRequest) (Slot, error) {
	if f.withdrawKey {
		f.apply(state.NewWithdrawKey("w", state.AnyRevision, "k1"))
	}
	if len(request.Avoid()) > 0 {
		return fakeSlot{target: "second"}, nil
	}
	return fakeSlot{target: "first"}, nil
}

func (f *fakeSystem) Release(_ context.Context, _ Slot, outcome steer.Outcome, _ time.Duration) {
	f.released = append(f.released, outcome)
}

func (f *fakeSystem) Claim(_ context.Context, key once.Key, fingerprint ident.Fingerprint, attempt uint64) (once.ClaimStatus, error) {
	status, err := f.table.Claim(f.clock.Now(), key, fingerprint, once.NewHolder("h", 1, attempt))
	var mismatch *once.MismatchError
	if errors.As(err, &mismatch) {
		return once.ClaimStatus{}, ErrIdempotencyKeyReused
	}
	if f.loseClaim {
		return once.ClaimStatus{}, errors.New("response lost")
	}
	return status, err
}

func (f *fakeSystem) Resolve(_ context.Context, key once.Key, attempt uint64, r once.Resolution) {
	if err := f.table.Resolve(key, once.NewHolder("h", 1, attempt), r); err != nil {
		panic(err)
	}
}

func (f *fakeSystem) Body(context.Context, int64) ([32]byte, error) {
	var digest [32]byte
	copy(digest[:], f.body)
	return digest, f.bodyErr
}

func (f *fakeSystem) Send(_ context.Context, address string) AttemptResult {
	f.addresses = append(f.addresses, address)
	result := NewAttemptResult(steer.OutcomeOK, AttemptComplete(), AttemptStarted(false))
	if len(f.results) > 0 {
		result, f.results = f.results[0], f.results[1:]
	}
	if !result.notRun {
		f.runs++
	}
	return result
}

func (f *fakeSystem) Replay(context.Context, once.Result) error {
	f.replayed++
	return nil
}

func (f *fakeSystem) RecordedResponse() once.Result { return once.NewResult(200, nil, []byte("done")) }

func (f *fakeSystem) apply(c state.Command) {
	f.revision++
	config, err := state.Replay(f.config, f.revision, state.Stamp(c, start))
	if err != nil {
		panic(err)
	}
	f.config = config
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func newFakeSystem() *fakeSystem {
	f := &fakeSystem{
		clock: clock.NewManual(start), config: state.NewConfig(), lease: time.Second,
		table: once.New(), allowRetry: true,
	}
	fleet := must(prof.NewFleet(prof.WithRegion("gulf", "gulf-a")))
	profile := must(prof.NewProfile("p", prof.WithShift(0.2, time.Minute), prof.WithRegions("gulf"),
		prof.WithClass(prof.NewClass("normal")), prof.WithRetryBudget(0.1)))
	service := must(prof.NewService("s", "p", prof.WithHosts("s.test"), prof.WithTimeout(time.Minute),
		prof.WithRoute(prof.NewRoute("/", []string{"GET"}, prof.RouteIdempotent(true))),
		prof.WithRoute(prof.NewRoute("/open", []string{"GET"}, prof.RouteIdempotent(true), prof.RouteOpen(true))),
		prof.WithRoute(prof.NewRoute("/pay", []string{"POST"}))))
	for i, d := range []prof.Document{fleet, must(prof.NewTeam("t1", 10, 10)), must(prof.NewTeam("t2", 10, 10)), profile, service} {
		f.apply(state.NewPutDocument(ident.RequestID(rune('a'+i)), 0, d, ""))
	}
	f.apply(state.NewIssueKey("k", "k1", "t1", KeyHash("k1.secret")))
	return f
}

func (f *fakeSystem) router() *Router {
	return New(f, f, f, f, f, f, WithClock(f.clock))
}

const goodKey = "k1.secret"

// Guards against requests that run without a valid key, run twice, or are
// reported as not run although they may have run.
func TestRun(t *testing.T) {
	crashed := NewAttemptResult(steer.OutcomeCrashed)
	shed := NewAttemptResult(steer.OutcomeShed, AttemptNotRun())
	interrupted := NewAttemptResult(steer.OutcomeFailed, AttemptStarted(true))
	notResumable := NewAttemptResult(steer.OutcomeFailed, AttemptStarted(false))
	cases := []struct {
		name           string
		method         string
		path           string
		key            string
		idempotencyKey ident.RequestID
		set            func(f *fakeSystem)
		want           Outcome
		reason         Reason
		attempts       int
		started        bool
	}{
		{name: "ordinary", method: "GET", path: "/x", key: goodKey, want: Ran, attempts: 1, started: true},
		{name: "open route without key", method: "GET", path: "/open", want: Ran, attempts: 1, started: true},
		{
			name: "open route with stale view", method: "GET", path: "/open", set: func(f *fakeSystem) { f.lease = 0 },
			want: Ran, attempts: 1, started: true,
		},
		{name: "no key", method: "GET", path: "/x", want: NotRun, reason: ReasonNoKey},
		{name: "wrong secret", method: "GET", path: "/x", key: "k1.guess", want: NotRun, reason: ReasonBadKey},
		{name: "unknown key", method: "GET", path: "/x", key: "k9.secret", want: NotRun, reason: ReasonBadKey},
		{name: "malformed key", method: "GET", path: "/x", key: "secret", want: NotRun, reason: ReasonBadKey},
		{
			name: "withdrawn key", method: "GET", path: "/x", key: goodKey,
			set:  func(f *fakeSystem) { f.apply(state.NewWithdrawKey("w", state.AnyRevision, "k1")) },
			want: NotRun, reason: ReasonWithdrawnKey,
		},
		{
			name: "key withdrawn in the queue", method: "GET", path: "/x", key: goodKey,
			set: func(f *fakeSystem) { f.withdrawKey = true }, want: NotRun, reason: ReasonWithdrawnKey,
		},
		{
			name: "stale view", method: "GET", path: "/x", key: goodKey, set: func(f *fakeSystem) { f.lease = 0 },
			want: NotRun, reason: ReasonStaleView,
		},
		{name: "unknown path", method: "GET", path: "noslash", key: goodKey, want: NotRun, reason: ReasonNoRoute},
		{name: "wrong method", method: "PUT", path: "/x", key: goodKey, want: NotRun, reason: ReasonMethodNotAllowed},
		{
			name: "rate exceeded", method: "GET", path: "/x", key: goodKey,
			set: func(f *fakeSystem) { f.rate = fakeRefusal{"rate-exceeded"} }, want: NotRun, reason: ReasonRateExceeded,
		},
		{
			name: "no rate owner", method: "GET", path: "/x", key: goodKey,
			set: func(f *fakeSystem) { f.rate = fakeRefusal{"rate-owner-unavailable"} }, want: NotRun, reason: ReasonRateUnavailable,
		},
		{
			name: "body too large", method: "POST", path: "/pay", key: goodKey,
			set: func(f *fakeSystem) { f.bodyErr = ErrBodyTooLarge }, want: NotRun, reason: ReasonBodyTooLarge,
		},
		{
			name: "idempotent retried after a crash", method: "GET", path: "/x", key: goodKey,
			set: func(f *fakeSystem) { f.results = []AttemptResult{crashed} }, want: Ran, attempts: 2, started: true,
		},
		{
			name: "two crashes", method: "GET", path: "/x", key: goodKey,
			set: func(f *fakeSystem) { f.results = []AttemptResult{crashed, crashed} }, want: Unknown, reason: ReasonCrashed, attempts: 2,
		},
		{
			name: "crash, then shed", method: "GET", path: "/x", key: goodKey,
			set: func(f *fakeSystem) { f.results = []AttemptResult{crashed, shed} }, want: Unknown, reason: ReasonShed, attempts: 2,
		},
		{
			name: "shed twice", method: "GET", path: "/x", key: goodKey,
			set: func(f *fakeSystem) { f.results = []AttemptResult{shed, shed} }, want: NotRun, reason: ReasonShed, attempts: 2,
		},
		{
			name: "retry budget used up", method: "GET", path: "/x", key: goodKey,
			set:  func(f *fakeSystem) { f.results, f.allowRetry = []AttemptResult{crashed}, false },
			want: Unknown, reason: ReasonCrashed, attempts: 1,
		},
		{
			name: "broken download continued", method: "GET", path: "/x", key: goodKey,
			set: func(f *fakeSystem) { f.results = []AttemptResult{interrupted} }, want: Ran, attempts: 2, started: true,
		},
		{
			name: "broken answer without validator", method: "GET", path: "/x", key: goodKey,
			set: func(f *fakeSystem) { f.results = []AttemptResult{notResumable} }, want: Unknown, reason: ReasonResponseLost, attempts: 1, started: true,
		},
		{
			name: "non-idempotent is not retried after a crash", method: "POST", path: "/pay", key: goodKey, idempotencyKey: "d1",
			set: func(f *fakeSystem) { f.results = []AttemptResult{crashed} }, want: Unknown, reason: ReasonCrashed, attempts: 1,
		},
		{
			name: "non-idempotent is retried when it did not run", method: "POST", path: "/pay", key: goodKey, idempotencyKey: "d1",
			set: func(f *fakeSystem) { f.results = []AttemptResult{shed} }, want: Ran, attempts: 2, started: true,
		},
		{
			name: "claim lost", method: "POST", path: "/pay", key: goodKey, idempotencyKey: "d1",
			set: func(f *fakeSystem) { f.loseClaim = true }, want: NotRun, reason: ReasonClaimUnavailable,
		},
		{
			name: "request id too long", method: "POST", path: "/pay", key: goodKey, idempotencyKey: ident.RequestID(make([]byte, 129)),
			want: NotRun, reason: ReasonIdempotencyKey,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFakeSystem()
			if tc.set != nil {
				tc.set(f)
			}
			q := NewRequest("r", "s.test", tc.method, tc.path, WithKey(tc.key), WithIdempotencyKey(tc.idempotencyKey))
			got := f.router().Run(context.Background(), q, f)
			if got.Outcome() != tc.want || got.Reason() != tc.reason || got.Started() != tc.started {
				t.Errorf("Run = %s %s (started %v), want %s %s (started %v); steps %v",
					got.Outcome(), got.Reason(), got.Started(), tc.want, tc.reason, tc.started, got.Steps())
			}
			if len(f.addresses) != tc.attempts {
				t.Errorf("sent to %v, want %d attempts", f.addresses, tc.attempts)
			}
			if len(f.addresses) == 2 && f.addresses[0] == f.addresses[1] {
				t.Errorf("retried on the same target %s", f.addresses[0])
			}
			if f.withdrawKey && (len(f.released) != 1 || f.released[0] != steer.OutcomeCancelled) {
				t.Errorf("slot released with %v, want cancelled", f.released)
			}
		})
	}
}

// Guards against a resent request that runs a non-idempotent request twice.
func TestResend(t *testing.T) {
	crashed := NewAttemptResult(steer.OutcomeCrashed)
	shed := NewAttemptResult(steer.OutcomeShed, AttemptNotRun())
	cases := []struct {
		name     string
		first    []AttemptResult
		change   func(f *fakeSystem)
		want     Outcome
		reason   Reason
		runs     int
		replayed int
	}{
		{name: "recorded", want: Ran, reason: ReasonReplayed, runs: 1, replayed: 1},
		{name: "unknown", first: []AttemptResult{crashed}, want: Unknown, reason: ReasonNotRetried, runs: 1},
		{name: "first did not run", first: []AttemptResult{shed, shed}, want: Ran, runs: 1},
		{
			name: "another body", change: func(f *fakeSystem) { f.body = []byte{1} },
			want: NotRun, reason: ReasonIdempotencyKeyReused, runs: 1,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFakeSystem()
			f.results = tc.first
			router := f.router()
			q := NewRequest("r", "s.test", "POST", "/pay", WithKey(goodKey), WithIdempotencyKey("d1"))
			router.Run(context.Background(), q, f)
			if tc.change != nil {
				tc.change(f)
			}
			got := router.Run(context.Background(), q, f)
			if got.Outcome() != tc.want || got.Reason() != tc.reason {
				t.Errorf("resend = %s %s, want %s %s", got.Outcome(), got.Reason(), tc.want, tc.reason)
			}
			if f.runs != tc.runs || f.replayed != tc.replayed {
				t.Errorf("ran %d times and replayed %d times, want %d and %d", f.runs, f.replayed, tc.runs, tc.replayed)
			}
		})
	}
}
