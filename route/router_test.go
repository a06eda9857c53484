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

// world fakes everything around a router. It is used by one goroutine.
type world struct {
	clock    *clock.Manual
	config   *state.Config
	revision ident.Revision
	fresh    time.Duration
	rate     error
	sends    []AttemptResult
	runs     int
	seen     []string
	released []steer.Outcome
	table    *once.Table
	lose     bool
	allow    bool
	withdraw bool
	replayed int
	body     []byte
	bodyErr  error
}

type fakeRefusal struct{ reason string }

func (f fakeRefusal) Error() string             { return f.reason }
func (f fakeRefusal) Reason() string            { return f.reason }
func (f fakeRefusal) RetryAfter() time.Duration { return time.Second }

func (w *world) View(context.Context) (View, error) {
	return NewView(w.config, w.clock.Now().Add(w.fresh)), nil
}

func (w *world) Take(context.Context, ident.Team) error { return w.rate }

func (w *world) Pick(context.Context, ident.Service, ident.Class) (ident.Region, error) {
	return "gulf", nil
}

func (w *world) Allow(context.Context, ident.Service, float64) bool { return w.allow }

type fakeSlot struct{ target ident.Target }

func (f fakeSlot) Target() ident.Target { return f.target }
func (f fakeSlot) Address() string      { return string(f.target) }

func (w *world) Acquire(_ context.Context, _ ident.Region, need SlotRequest) (Slot, error) {
	if w.withdraw {
		w.apply(state.NewWithdrawKey("w", state.AnyRevision, "k1"))
	}
	if len(need.Avoid()) > 0 {
		return fakeSlot{target: "second"}, nil
	}
	return fakeSlot{target: "first"}, nil
}

func (w *world) Release(_ context.Context, _ Slot, ending steer.Outcome, _ time.Duration) {
	w.released = append(w.released, ending)
}

func (w *world) Claim(_ context.Context, key once.Key, f ident.Fingerprint, attempt uint64) (once.ClaimStatus, error) {
	answer, err := w.table.Claim(w.clock.Now(), key, f, once.NewHolder("h", 1, attempt))
	var mismatch *once.MismatchError
	if errors.As(err, &mismatch) {
		return once.ClaimStatus{}, ErrIdempotencyKeyReused
	}
	if w.lose {
		return once.ClaimStatus{}, errors.New("answer lost")
	}
	return answer, err
}

func (w *world) Resolve(_ context.Context, key once.Key, attempt uint64, r once.Resolution) {
	if err := w.table.Resolve(key, once.NewHolder("h", 1, attempt), r); err != nil {
		panic(err)
	}
}

func (w *world) Body(context.Context, int64) ([32]byte, error) {
	var digest [32]byte
	copy(digest[:], w.body)
	return digest, w.bodyErr
}

func (w *world) Send(_ context.Context, address string) AttemptResult {
	w.seen = append(w.seen, address)
	sent := NewAttemptResult(steer.OutcomeOK, AttemptComplete(), AttemptStarted(false))
	if len(w.sends) > 0 {
		sent, w.sends = w.sends[0], w.sends[1:]
	}
	if !sent.proved {
		w.runs++
	}
	return sent
}

func (w *world) Replay(context.Context, once.Result) error {
	w.replayed++
	return nil
}

func (w *world) RecordedResponse() once.Result { return once.NewResult(200, nil, []byte("done")) }

func (w *world) apply(c state.Command) {
	w.revision++
	config, err := state.Replay(w.config, w.revision, state.Stamp(c, start))
	if err != nil {
		panic(err)
	}
	w.config = config
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func newWorld() *world {
	w := &world{
		clock: clock.NewManual(start), config: state.NewConfig(), fresh: time.Second,
		table: once.New(), allow: true,
	}
	fleet := must(prof.NewFleet(prof.WithRegion("gulf", "gulf-a")))
	profile := must(prof.NewProfile("p", prof.WithShift(0.2, time.Minute), prof.WithRegions("gulf"),
		prof.WithClass(prof.NewClass("normal")), prof.WithRetryBudget(0.1)))
	service := must(prof.NewService("s", "p", prof.WithHosts("s.test"), prof.WithTimeout(time.Minute),
		prof.WithRoute(prof.NewRoute("/", []string{"GET"}, prof.RouteIdempotent(true))),
		prof.WithRoute(prof.NewRoute("/open", []string{"GET"}, prof.RouteIdempotent(true), prof.RouteOpen(true))),
		prof.WithRoute(prof.NewRoute("/pay", []string{"POST"}))))
	for i, d := range []prof.Document{fleet, must(prof.NewTeam("t1", 10, 10)), must(prof.NewTeam("t2", 10, 10)), profile, service} {
		w.apply(state.NewPutDocument(ident.RequestID(rune('a'+i)), 0, d, ""))
	}
	w.apply(state.NewIssueKey("k", "k1", "t1", KeyHash("k1.secret")))
	return w
}

func (w *world) router() *Router {
	return New(w, w, w, w, w, w, WithClock(w.clock))
}

const goodKey = "k1.secret"

// Guards against requests that run without a valid key, run twice, or are
// reported as not run although they may have run.
func TestRun(t *testing.T) {
	crashed := NewAttemptResult(steer.OutcomeCrashed)
	shed := NewAttemptResult(steer.OutcomeShed, AttemptNotRun())
	cut := NewAttemptResult(steer.OutcomeFailed, AttemptStarted(true))
	cutForGood := NewAttemptResult(steer.OutcomeFailed, AttemptStarted(false))
	cases := []struct {
		name    string
		method  string
		path    string
		key     string
		once    ident.RequestID
		set     func(w *world)
		want    Outcome
		reason  Reason
		sends   int
		started bool
	}{
		{name: "ordinary", method: "GET", path: "/x", key: goodKey, want: Ran, sends: 1, started: true},
		{name: "open route without key", method: "GET", path: "/open", want: Ran, sends: 1, started: true},
		{
			name: "open route with stale view", method: "GET", path: "/open", set: func(w *world) { w.fresh = 0 },
			want: Ran, sends: 1, started: true,
		},
		{name: "no key", method: "GET", path: "/x", want: NotRun, reason: ReasonNoKey},
		{name: "wrong secret", method: "GET", path: "/x", key: "k1.guess", want: NotRun, reason: ReasonBadKey},
		{name: "unknown key", method: "GET", path: "/x", key: "k9.secret", want: NotRun, reason: ReasonBadKey},
		{name: "malformed key", method: "GET", path: "/x", key: "secret", want: NotRun, reason: ReasonBadKey},
		{
			name: "withdrawn key", method: "GET", path: "/x", key: goodKey,
			set:  func(w *world) { w.apply(state.NewWithdrawKey("w", state.AnyRevision, "k1")) },
			want: NotRun, reason: ReasonWithdrawnKey,
		},
		{
			name: "key withdrawn in the queue", method: "GET", path: "/x", key: goodKey,
			set: func(w *world) { w.withdraw = true }, want: NotRun, reason: ReasonWithdrawnKey,
		},
		{
			name: "stale view", method: "GET", path: "/x", key: goodKey, set: func(w *world) { w.fresh = 0 },
			want: NotRun, reason: ReasonStaleView,
		},
		{name: "unknown path", method: "GET", path: "noslash", key: goodKey, want: NotRun, reason: ReasonNoRoute},
		{name: "wrong method", method: "PUT", path: "/x", key: goodKey, want: NotRun, reason: ReasonMethodNotAllowed},
		{
			name: "rate exceeded", method: "GET", path: "/x", key: goodKey,
			set: func(w *world) { w.rate = fakeRefusal{"rate-exceeded"} }, want: NotRun, reason: ReasonRateExceeded,
		},
		{
			name: "no rate owner", method: "GET", path: "/x", key: goodKey,
			set: func(w *world) { w.rate = fakeRefusal{"rate-owner-unavailable"} }, want: NotRun, reason: ReasonRateUnavailable,
		},
		{
			name: "body too large", method: "POST", path: "/pay", key: goodKey,
			set: func(w *world) { w.bodyErr = ErrBodyTooLarge }, want: NotRun, reason: ReasonBodyTooLarge,
		},
		{
			name: "idempotent retried after a crash", method: "GET", path: "/x", key: goodKey,
			set: func(w *world) { w.sends = []AttemptResult{crashed} }, want: Ran, sends: 2, started: true,
		},
		{
			name: "two crashes", method: "GET", path: "/x", key: goodKey,
			set: func(w *world) { w.sends = []AttemptResult{crashed, crashed} }, want: Unknown, reason: ReasonCrashed, sends: 2,
		},
		{
			name: "crash, then shed", method: "GET", path: "/x", key: goodKey,
			set: func(w *world) { w.sends = []AttemptResult{crashed, shed} }, want: Unknown, reason: ReasonShed, sends: 2,
		},
		{
			name: "shed twice", method: "GET", path: "/x", key: goodKey,
			set: func(w *world) { w.sends = []AttemptResult{shed, shed} }, want: NotRun, reason: ReasonShed, sends: 2,
		},
		{
			name: "retry budget used up", method: "GET", path: "/x", key: goodKey,
			set:  func(w *world) { w.sends, w.allow = []AttemptResult{crashed}, false },
			want: Unknown, reason: ReasonCrashed, sends: 1,
		},
		{
			name: "broken download continued", method: "GET", path: "/x", key: goodKey,
			set: func(w *world) { w.sends = []AttemptResult{cut} }, want: Ran, sends: 2, started: true,
		},
		{
			name: "broken answer without validator", method: "GET", path: "/x", key: goodKey,
			set: func(w *world) { w.sends = []AttemptResult{cutForGood} }, want: Unknown, reason: ReasonResponseLost, sends: 1, started: true,
		},
		{
			name: "non-idempotent is not retried after a crash", method: "POST", path: "/pay", key: goodKey, once: "d1",
			set: func(w *world) { w.sends = []AttemptResult{crashed} }, want: Unknown, reason: ReasonCrashed, sends: 1,
		},
		{
			name: "non-idempotent is retried when it did not run", method: "POST", path: "/pay", key: goodKey, once: "d1",
			set: func(w *world) { w.sends = []AttemptResult{shed} }, want: Ran, sends: 2, started: true,
		},
		{
			name: "claim lost", method: "POST", path: "/pay", key: goodKey, once: "d1",
			set: func(w *world) { w.lose = true }, want: NotRun, reason: ReasonClaimUnavailable,
		},
		{
			name: "request id too long", method: "POST", path: "/pay", key: goodKey, once: ident.RequestID(make([]byte, 129)),
			want: NotRun, reason: ReasonIdempotencyKey,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld()
			if tc.set != nil {
				tc.set(w)
			}
			q := NewRequest("r", "s.test", tc.method, tc.path, WithKey(tc.key), WithIdempotencyKey(tc.once))
			got := w.router().Run(context.Background(), q, w)
			if got.Outcome() != tc.want || got.Reason() != tc.reason || got.Started() != tc.started {
				t.Errorf("Run = %s %s (started %v), want %s %s (started %v); steps %v",
					got.Outcome(), got.Reason(), got.Started(), tc.want, tc.reason, tc.started, got.Steps())
			}
			if len(w.seen) != tc.sends {
				t.Errorf("sent to %v, want %d sends", w.seen, tc.sends)
			}
			if len(w.seen) == 2 && w.seen[0] == w.seen[1] {
				t.Errorf("retried on the same target %s", w.seen[0])
			}
			if w.withdraw && (len(w.released) != 1 || w.released[0] != steer.OutcomeCancelled) {
				t.Errorf("slot released with %v, want cancelled", w.released)
			}
		})
	}
}

// Guards against a resend that runs a non-idempotent request again.
func TestResend(t *testing.T) {
	crashed := NewAttemptResult(steer.OutcomeCrashed)
	shed := NewAttemptResult(steer.OutcomeShed, AttemptNotRun())
	cases := []struct {
		name     string
		first    []AttemptResult
		change   func(w *world)
		want     Outcome
		reason   Reason
		runs     int
		replayed int
	}{
		{name: "recorded", want: Ran, reason: ReasonReplayed, runs: 1, replayed: 1},
		{name: "unknown", first: []AttemptResult{crashed}, want: Unknown, reason: ReasonNotRetried, runs: 1},
		{name: "first did not run", first: []AttemptResult{shed, shed}, want: Ran, runs: 1},
		{
			name: "another body", change: func(w *world) { w.body = []byte{1} },
			want: NotRun, reason: ReasonIdempotencyKeyReused, runs: 1,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld()
			w.sends = tc.first
			router := w.router()
			q := NewRequest("r", "s.test", "POST", "/pay", WithKey(goodKey), WithIdempotencyKey("d1"))
			router.Run(context.Background(), q, w)
			if tc.change != nil {
				tc.change(w)
			}
			got := router.Run(context.Background(), q, w)
			if got.Outcome() != tc.want || got.Reason() != tc.reason {
				t.Errorf("resend = %s %s, want %s %s", got.Outcome(), got.Reason(), tc.want, tc.reason)
			}
			if w.runs != tc.runs || w.replayed != tc.replayed {
				t.Errorf("ran %d times and replayed %d times, want %d and %d", w.runs, w.replayed, tc.runs, tc.replayed)
			}
		})
	}
}
