// Package lines writes structured log lines without ever blocking the code
// that logs. Lines beyond a budget per second, or beyond what the output
// accepts, are dropped and counted. Warnings and errors have a budget of their
// own, and the first lines of each message are written beyond the budget, so
// that frequent lines cannot displace rare ones.
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
	// maxQueuedLines is the number of lines that may wait for the output.
	maxQueuedLines = 1024
	// reportInterval is the time between two reports of the number of dropped
	// lines.
	reportInterval = time.Second
	// reservedLines is the number of lines per second that each message may
	// write beyond the budget.
	reservedLines = 3
)

// Output is the log output of a process. It is safe for concurrent use.
type Output struct {
	clock  clock.Clock
	queue  chan []byte
	done   chan struct{}
	budget int

	mutex sync.Mutex
	// second is the Unix time to which the counts ordinary, urgent and messages
	// apply.
	second   int64
	ordinary int
	urgent   int
	messages map[string]int
	// unreported counts the dropped lines that have not been reported yet.
	unreported int64
	dropped    int64
}

// Start writes lines to the output until ctx ends. Each second, at most
// budget ordinary lines are written and as many warnings and errors, besides
// the first lines of each message.
func Start(ctx context.Context, out io.Writer, budget int, c clock.Clock) *Output {
	o := &Output{
		clock: c, queue: make(chan []byte, maxQueuedLines), done: make(chan struct{}), budget: budget,
		messages: map[string]int{},
	}
	go func() {
		defer close(o.done)
		o.run(ctx, out)
	}()
	return o
}

// Done returns a channel that is closed when the last line has been written.
func (o *Output) Done() <-chan struct{} { return o.done }

// Dropped returns the number of lines dropped since the start.
func (o *Output) Dropped() int64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.dropped
}

// Handler returns a slog handler that writes to the output.
func (o *Output) Handler(level slog.Level) slog.Handler {
	return &handler{Handler: slog.NewJSONHandler(writer{output: o}, &slog.HandlerOptions{Level: level}), output: o}
}

// run writes queued lines and reports dropped ones, also while lines keep
// coming.
func (o *Output) run(ctx context.Context, out io.Writer) {
	t := o.clock.NewTimer(reportInterval)
	for {
		select {
		case line := <-o.queue:
			// Write errors are ignored: there is nowhere else to report them.
			_, _ = out.Write(line)
		case <-t.C():
			o.writeDropped(out)
			t = o.clock.NewTimer(reportInterval)
		case <-ctx.Done():
			t.Stop()
			o.drain(out)
			return
		}
	}
}

// drain writes the lines still queued at the end.
func (o *Output) drain(out io.Writer) {
	for {
		select {
		case line := <-o.queue:
			_, _ = out.Write(line)
		default:
			o.writeDropped(out)
			return
		}
	}
}

// writeDropped writes a line with the number of dropped lines, if there are
// any.
func (o *Output) writeDropped(out io.Writer) {
	o.mutex.Lock()
	n := o.unreported
	o.unreported = 0
	o.mutex.Unlock()
	if n > 0 {
		_, _ = fmt.Fprintf(out, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"lines: lines left out\",\"lines\":%d}\n",
			o.clock.Now().UTC().Format(time.RFC3339Nano), n)
	}
}

// takeBudget uses up one line of the budget, or of those reserved for the
// message, and reports whether one was left.
func (o *Output) takeBudget(urgent bool, message string) bool {
	second := o.clock.Now().Unix()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if second != o.second {
		o.second, o.ordinary, o.urgent = second, 0, 0
		clear(o.messages)
	}
	if o.messages[message] < reservedLines {
		o.messages[message]++
		return true
	}
	count := &o.ordinary
	if urgent {
		count = &o.urgent
	}
	if *count >= o.budget {
		o.unreported++
		o.dropped++
		return false
	}
	*count++
	return true
}

// writer queues formatted lines.
type writer struct{ output *Output }

// Write implements io.Writer. It never blocks.
func (w writer) Write(line []byte) (int, error) {
	select {
	case w.output.queue <- append([]byte(nil), line...):
	default:
		w.output.mutex.Lock()
		w.output.unreported++
		w.output.dropped++
		w.output.mutex.Unlock()
	}
	return len(line), nil
}

// handler applies the budget before a line is formatted, and formats it with
// the embedded handler.
type handler struct {
	slog.Handler
	output *Output
}

var _ slog.Handler = (*handler)(nil)

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.output.takeBudget(r.Level >= slog.LevelWarn, r.Message) {
		return nil
	}
	if err := h.Handler.Handle(ctx, r); err != nil {
		return fmt.Errorf("format line: %w", err)
	}
	return nil
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{Handler: h.Handler.WithAttrs(attrs), output: h.output}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{Handler: h.Handler.WithGroup(name), output: h.output}
}
