package ctrl

import (
	"context"
	"errors"
	"fmt"

	"rhubarbrack/agree"
	"rhubarbrack/store"
	"rhubarbrack/tasks"
)

// diskQueue passes writes from the replica task to the disk goroutine. The
// protocol's bounds on entries in flight bound it.
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

// run owns the log. It writes all that has queued up, syncs once, reports to
// the task, and closes the log at the end. It ends with ctx or with the first
// failure.
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

// joinClose closes a log after a failure.
func joinClose(err error, log *store.Log) error { return errors.Join(err, log.Close()) }
