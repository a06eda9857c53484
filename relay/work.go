package relay

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"rhubarbrack/admit"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// Work reports what has been accepted and not yet answered to the last byte.
func (a *Admission) Work(ctx context.Context) (admit.Work, error) {
	w, err := tasks.Ask(ctx, a.ref, func(reply tasks.Reply[admit.Work]) any { return getWork{reply: reply} })
	if err != nil {
		return admit.Work{}, fmt.Errorf("accepted requests: %w", err)
	}
	return w, nil
}

// The messages about accepted requests.
type (
	responseBegun struct {
		state  *admit.RequestState
		length ident.Option[int64]
	}
	responseSent struct {
		state *admit.RequestState
		bytes int
	}
	requestEnded struct {
		state *admit.RequestState
		// answered is set if the whole response was sent.
		answered bool
	}
	getWork struct{ reply tasks.Reply[admit.Work] }
)

// handleWork handles the messages about accepted requests. It returns false for
// other messages.
func (t *admissionTask) handleWork(message any) bool {
	switch m := message.(type) {
	case responseBegun:
		t.controller.ResponseBegun(m.state, m.length)
	case responseSent:
		t.controller.ResponseSent(m.state, int64(m.bytes))
	case requestEnded:
		t.controller.RequestEnded(m.state, m.answered)
	case getWork:
		m.reply.Send(t.controller.Work())
	default:
		return false
	}
	return true
}

// countingWriter reports the bytes of a long response that were sent to the caller.
type countingWriter struct {
	writer    io.Writer
	admission *Admission
	state     *admit.RequestState
}

// Write implements io.Writer.
func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.writer.Write(b)
	if n > 0 {
		w.admission.ref.Tell(responseSent{state: w.state, bytes: n})
	}
	return n, err
}

// stopAttr returns the log attributes of the decision on a request at a stopping
// host.
func stopAttr(s *admit.RequestState) slog.Attr {
	t, ok := s.StopTerms().Get()
	if !ok {
		return slog.Attr{}
	}
	return slog.Group("", slog.Int64("stop-left-ms", millis(t.Left())), slog.Int64("stop-needed-ms", millis(t.Needed())),
		slog.Int64("link-owed-bytes", t.Owed()), slog.Int64("expected-bytes", t.Expected()))
}
