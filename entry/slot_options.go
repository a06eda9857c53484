package entry

import (
	"context"
	"io"
	"log/slog"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/guard"
	"rhubarbrack/ident"
)

const (
	// slotTickInterval is how often an owner checks for expired slot requests.
	// It bounds the delay of a refusal at the deadline.
	slotTickInterval = 10 * time.Millisecond
	// slotRetryInterval is how often a client retries calls that reached no
	// owner. It must be short: an owner is replaced within seconds, and
	// requests wait for tens of milliseconds.
	slotRetryInterval = 20 * time.Millisecond
	// slotReportInterval is how often a client reports its open grants. It
	// bounds how long a lost call can occupy a slot.
	slotReportInterval = 500 * time.Millisecond
	// slotCallTimeout bounds the calls that do not wait in a queue.
	slotCallTimeout = time.Second
	// slotDeadlineGrace is added to the deadline of a slot request, so that
	// the refusal of the owner arrives before the client gives up. It covers a
	// round trip of 40 ms between regions and the owner's tick.
	slotDeadlineGrace = 100 * time.Millisecond
	// markRetryInterval is how long an owner waits before it retries marks
	// that were not accepted.
	markRetryInterval = 500 * time.Millisecond
)

// SlotPeers calls other entry hosts.
type SlotPeers interface {
	// Call invokes a method of an entry host, this one included.
	Call(ctx context.Context, h ident.Host, method string, args, reply any) error
}

// MarkReplicator replicates the marks of suspects.
type MarkReplicator interface {
	// ReplicateMarks returns when the marks are in force at every slot owner.
	ReplicateMarks(ctx context.Context, marks []guard.Mark) error
}

type slotOptions struct {
	clock clock.Clock
	log   *slog.Logger
}

// SlotOption changes a default of StartSlotOwner or StartSlotClient.
type SlotOption func(*slotOptions)

// WithSlotClock sets the clock. The default is the system clock.
func WithSlotClock(c clock.Clock) SlotOption { return func(o *slotOptions) { o.clock = c } }

// WithSlotLogger sets the logger. The default discards all records.
func WithSlotLogger(l *slog.Logger) SlotOption { return func(o *slotOptions) { o.log = l } }

func newSlotOptions(list []SlotOption) slotOptions {
	o := slotOptions{clock: clock.Wall(), log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	for _, apply := range list {
		apply(&o)
	}
	return o
}
