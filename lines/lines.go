// Package lines writes structured log lines without ever holding up what logs
// them. Lines beyond a budget per second, or beyond what the reader of the
// output takes, are left out and counted; warnings and errors have a budget of
// their own, so that ordinary lines cannot displace them.
package lines

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"rhubarbrack/clock"
)

const (
	// queueLines bounds the lines that wait for the output.
	queueLines = 1024
	// reportInterval is the time between two lines that count what was left
	// out.
	reportInterval = time.Second
)

// Output is the output of a process. It is safe for concurrent use.
type Output struct {
	clock  clock.Clock
	queue  chan []byte
	done   chan struct{}
	budget int

	mutex   sync.Mutex
	second  int64
	plain   int
	urgent  int
	leftOut int64
	total   int64
}

// Start writes lines to the output until ctx ends. Each second, at most
// budget ordinary lines are written and as many warnings and errors.
func Start(ctx context.Context, out io.Writer, budget int, c clock.Clock) *Output {
	s := &Output{clock: c, queue: make(chan []byte, queueLines), done: make(chan struct{}), budget: budget}
	go func() {
		defer close(s.done)
		s.run(ctx, out)
	}()
	return s
}

// Done returns a channel that is closed when the last line is written.
func (s *Output) Done() <-chan struct{} { return s.done }

// Dropped returns how many lines were left out since the start.
func (s *Output) Dropped() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.total
}

// Handler returns a handler whose lines go to the sink.
func (s *Output) Handler(level slog.Level) slog.Handler {
	return &handler{Handler: slog.NewJSONHandler(writer{sink: s}, &slog.HandlerOptions{Level: level}), sink: s}
}

// run writes lines and, at intervals, how many were left out.
func (s *Output) run(ctx context.Context, out io.Writer) {
	for {
		t := s.clock.NewTimer(reportInterval)
		select {
		case line := <-s.queue:
			t.Stop()
			// An output that fails has no reader who could be told.
			_, _ = out.Write(line)
		case <-t.C():
			s.report(out)
		case <-ctx.Done():
			t.Stop()
			s.drain(out)
			return
		}
	}
}

// drain writes the lines that wait at the end.
func (s *Output) drain(out io.Writer) {
	for {
		select {
		case line := <-s.queue:
			_, _ = out.Write(line)
		default:
			s.report(out)
			return
		}
	}
}

func (s *Output) report(out io.Writer) {
	s.mutex.Lock()
	n := s.leftOut
	s.leftOut = 0
	s.mutex.Unlock()
	if n > 0 {
		_, _ = fmt.Fprintf(out, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"lines: lines left out\",\"lines\":%d}\n",
			s.clock.Now().UTC().Format(time.RFC3339Nano), n)
	}
}

// admit reports whether the budget has room for a line.
func (s *Output) admit(urgent bool) bool {
	second := s.clock.Now().Unix()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if second != s.second {
		s.second, s.plain, s.urgent = second, 0, 0
	}
	count := &s.plain
	if urgent {
		count = &s.urgent
	}
	if *count >= s.budget {
		s.leftOut++
		s.total++
		return false
	}
	*count++
	return true
}

// writer queues whole lines.
type writer struct{ sink *Output }

// Write implements io.Writer. It never blocks.
func (w writer) Write(line []byte) (int, error) {
	select {
	case w.sink.queue <- append([]byte(nil), line...):
	default:
		w.sink.mutex.Lock()
		w.sink.leftOut++
		w.sink.total++
		w.sink.mutex.Unlock()
	}
	return len(line), nil
}

// handler applies the budget before a line is formatted.
type handler struct {
	slog.Handler
	sink *Output
}

var _ slog.Handler = (*handler)(nil)

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.sink.admit(r.Level >= slog.LevelWarn) {
		return nil
	}
	if err := h.Handler.Handle(ctx, r); err != nil {
		return fmt.Errorf("format line: %w", err)
	}
	return nil
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(list []slog.Attr) slog.Handler {
	return &handler{Handler: h.Handler.WithAttrs(list), sink: h.sink}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{Handler: h.Handler.WithGroup(name), sink: h.sink}
}
