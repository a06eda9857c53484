package oper

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rhubarbrack/ctrl"
	"rhubarbrack/ident"
	"rhubarbrack/state"
)

// fakeBackend is a Backend that returns fixed results and records the last command.
type fakeBackend struct {
	outcome     state.Outcome
	err         error
	lastCommand state.Command
}

func (b *fakeBackend) Propose(_ context.Context, c state.Command) (state.Outcome, error) {
	b.lastCommand = c
	return b.outcome, b.err
}

func (b *fakeBackend) Read(context.Context, string, string) (ctrl.State, error) {
	return ctrl.State{}, b.err
}

func (b *fakeBackend) InForce(context.Context, ident.Revision) error { return b.err }

func (b *fakeBackend) ChangeMember(context.Context, ident.Host, string) error { return b.err }

const teamText = "kind: team\nname: carvers\nrate: 200\nburst: 400\n"

// Guards against changes that are accepted without a valid token, and against a
// client that confuses a conflict, a refusal and an unknown outcome.
func TestPutDocument(t *testing.T) {
	cases := []struct {
		name    string
		token   string
		source  string
		backend fakeBackend
		want    error
		status  string
		reached bool
	}{
		{
			name: "accepted", token: "secret", source: teamText, status: "accepted", reached: true,
			backend: fakeBackend{outcome: state.NewOutcome(state.Accepted, 7)},
		},
		{name: "wrong token", token: "guess", source: teamText, want: ErrRefused},
		{name: "malformed document", token: "secret", source: "kind: team\nname: carvers\nspeed: 1\n", want: ErrRefused},
		{
			name: "conflict", token: "secret", source: teamText, want: ErrConflict, status: "conflict", reached: true,
			backend: fakeBackend{outcome: state.NewOutcome(state.Conflict, 7, state.WithCurrent(5, teamText))},
		},
		{
			name: "refused", token: "secret", source: teamText, want: ErrRefused, status: "refused", reached: true,
			backend: fakeBackend{outcome: state.NewOutcome(state.Refused, 7, state.WithReason(state.ReasonInUse, "x"))},
		},
		{
			name: "unknown outcome", token: "secret", source: teamText, want: ErrUnavailable, reached: true,
			backend: fakeBackend{err: ctrl.ErrUnknown},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := tc.backend
			server := httptest.NewServer(NewHandler(&b, []Token{NewToken("test", sha256.Sum256([]byte("secret")))}))
			defer server.Close()
			// The client retries an unavailable API until its context is done,
			// so this case needs a short timeout.
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			if errors.Is(tc.want, ErrUnavailable) {
				ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
			}
			defer cancel()
			out, err := NewClient([]string{server.URL}, tc.token).PutDocument(ctx, "r1", []byte(tc.source), 5)
			if !errors.Is(err, tc.want) || out.Status != tc.status {
				t.Errorf("PutDocument = %+v, %v; want status %q and %v", out, err, tc.status, tc.want)
			}
			if (b.lastCommand != nil) != tc.reached {
				t.Errorf("command reached the log: %v, want %v", b.lastCommand != nil, tc.reached)
			}
			if put, ok := b.lastCommand.(state.PutDocument); ok && (put.Expected() != 5 || put.Request() != "r1" || !strings.Contains(put.Source(), "carvers")) {
				t.Errorf("command = %+v", put)
			}
		})
	}
}
