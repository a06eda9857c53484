package ctrl

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/clock"
	"rhubarbrack/codec"
	"rhubarbrack/ident"
	"rhubarbrack/state"
)

// encodedDelta returns an encoded shared command.
func encodedDelta(t *testing.T, revision ident.Revision, c state.Command) Delta {
	t.Helper()
	data, err := codec.EncodeCommand(state.Stamp(c, time.Unix(1000, 0)))
	if err != nil {
		t.Fatal(err)
	}
	return Delta{Revision: revision, Command: data}
}

// Guards against a view that goes back to an earlier revision, skips a change or
// accepts damaged data, and against a lease for a process that is no member.
func TestFollowerView(t *testing.T) {
	join := func(incarnation ident.Incarnation) state.Command {
		return state.NewJoin(state.NewMember("h", incarnation, "z", "r", "127.0.0.1:1", "127.0.0.1:2"))
	}
	at := func(revision ident.Revision, list ...Delta) PollReply {
		return PollReply{Verdict: ResultServed, Revision: revision, Deltas: list, Lease: Lease}
	}
	cases := []struct {
		name     string
		replies  []PollReply
		errs     []error
		revision ident.Revision
		fresh    bool
		expired  bool
	}{
		{name: "member", replies: []PollReply{at(3, encodedDelta(t, 3, join(1)))}, revision: 3, fresh: true},
		{name: "no member", replies: []PollReply{at(0)}, revision: 0},
		{name: "another process of the host", replies: []PollReply{at(3, encodedDelta(t, 3, join(2)))}, revision: 3},
		{
			name:     "older reply of a host that was cut off",
			replies:  []PollReply{at(5, encodedDelta(t, 3, join(1)), encodedDelta(t, 5, state.NewLeave("h", 1))), at(3)},
			revision: 5, fresh: true,
		},
		{
			name:     "reply that lacks a change",
			replies:  []PollReply{at(3, encodedDelta(t, 3, join(1))), at(7)},
			revision: 3, fresh: true,
		},
		{
			name:     "damaged change",
			replies:  []PollReply{at(3, encodedDelta(t, 3, join(1))), at(4, Delta{Revision: 4, Command: []byte("?")})},
			revision: 3, fresh: true,
		},
		{
			name:     "damaged snapshot",
			replies:  []PollReply{at(3, encodedDelta(t, 3, join(1))), {Verdict: ResultServed, Revision: 9, Snapshot: []byte("?")}},
			revision: 3, fresh: true,
		},
		{
			name:     "failed poll keeps the lease of the last one",
			replies:  []PollReply{at(3, encodedDelta(t, 3, join(1))), {}},
			errs:     []error{nil, errors.New("lost")},
			revision: 3, fresh: true,
		},
		{
			name:     "membership ended",
			replies:  []PollReply{at(3, encodedDelta(t, 3, join(1))), at(4, encodedDelta(t, 4, state.NewExpire("h", 1)))},
			revision: 4, expired: true,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			manual := clock.NewManual(time.Unix(1000, 0))
			f := &follower{
				clock: manual, log: slog.New(slog.NewTextHandler(io.Discard, nil)), config: state.NewConfig(),
				expiredSignal: make(chan struct{}),
				self:          NewSelf(state.NewMember("h", 1, "z", "r", "127.0.0.1:1", "127.0.0.1:2")),
			}
			for i, reply := range tc.replies {
				m := pollResult{sent: manual.Now(), reply: reply}
				if i < len(tc.errs) {
					m.err = tc.errs[i]
				}
				f.handlePoll(m)
			}
			if got := f.config.Revision(); got != tc.revision {
				t.Errorf("view is at revision %d, want %d", got, tc.revision)
			}
			if got := f.view().Fresh(manual.Now()); f.hasView && got != tc.fresh {
				t.Errorf("view fresh = %v, want %v", got, tc.fresh)
			}
			if f.expired != tc.expired {
				t.Errorf("expired = %v, want %v", f.expired, tc.expired)
			}
			manual.Advance(Lease)
			if f.view().Fresh(manual.Now()) {
				t.Error("the view is still fresh when its lease has expired")
			}
		})
	}
}
