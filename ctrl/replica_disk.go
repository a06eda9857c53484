package ctrl

import (
	"context"
	"errors"
	"fmt"

	"rhubarbrack/agree"
	"rhubarbrack/store"
	"rhubarbrack/tasks"
)

// diskQueue passes writes from the replica task to the disk goroutine. Its
// length is bounded by the limits of the protocol on uncommitted entries.
type diskQueue struct {
	writes *outbox[agree.Write]
}

func newDiskQueue() *diskQueue { return &diskQueue{writes: newOutbox[agree.Write](0)} }

// push queues writes without blocking.
func (d *diskQueue) push(writes []agree.Write) {
	for _, w := range writes {
		d.writes.push(w)
	}
}

// run owns the log. It writes all queued writes, syncs once and reports to the
// task. It ends with ctx or at the first failure, and then closes the log.
func (d *diskQueue) run(ctx context.Context, log *store.Log, task *tasks.Ref) {
	defer func() { _ = log.Close() }()
	for {
		batch, ok := d.writes.take(ctx, nil)
		if !ok {
			return
		}
		if err := writeBatch(log, batch); err != nil {
			task.Tell(diskFailed{err: err})
			return
		}
		task.Tell(synced{write: batch[len(batch)-1].Number()})
	}
}

func writeBatch(log *store.Log, batch []agree.Write) error {
	for _, w := range batch {
		s, ok := w.Snapshot().Get()
		if !ok {
			if err := log.Append(w.HardState(), w.Entries()); err != nil {
				return fmt.Errorf("append to the log: %w", err)
			}
			continue
		}
		if err := log.SaveSnapshot(s); err != nil {
			return fmt.Errorf("save snapshot: %w", err)
		}
		if err := log.Compact(w.HardState(), w.Entries()); err != nil {
			return fmt.Errorf("compact the log: %w", err)
		}
	}
	if err := log.Sync(); err != nil {
		return fmt.Errorf("sync the log: %w", err)
	}
	return nil
}

// closeAfterError closes a log after an error and joins the errors.
func closeAfterError(err error, log *store.Log) error { return errors.Join(err, log.Close()) }
