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
	// slotTick is how often an owner looks for asks that have waited long
	// enough. It bounds how late a refusal at the deadline is.
	slotTick = 10 * time.Millisecond
	// slotRetry is how often a client repeats calls that found no owner. An
	// owner is replaced within seconds, and asks wait for tens of
	// milliseconds, so it must be short.
	slotRetry = 20 * time.Millisecond
	// slotReportInterval is how often a client reports its open grants. It
	// bounds how long a lost call can keep a slot.
	slotReportInterval = 500 * time.Millisecond
	// slotCallTimeout bounds the calls that do not wait in a queue.
	slotCallTimeout = time.Second
	// slotGrace is added to the deadline of an ask, so that the refusal of
	// the owner arrives before the client gives up. It covers a round trip
	// of 40 ms between regions and the owner's tick.
	slotGrace = 100 * time.Millisecond
	// markRetry is how often an owner repeats a mark that was not accepted.
	markRetry = 500 * time.Millisecond
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

// WithSlotClock sets the clock. The default is the clock of the machine.
func WithSlotClock(c clock.Clock) SlotOption { return func(o *slotOptions) { o.clock = c } }

// WithSlotLog sets where log lines go. The default discards them.
func WithSlotLog(l *slog.Logger) SlotOption { return func(o *slotOptions) { o.log = l } }

func newSlotOptions(list []SlotOption) slotOptions {
	o := slotOptions{clock: clock.Wall(), log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	for _, apply := range list {
		apply(&o)
	}
	return o
}
