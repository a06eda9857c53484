package mesh

import (
	"context"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

const (
	// listTimeout bounds one reading of the list.
	listTimeout = 2 * time.Second
	// leaderless is how long the list must be old before a host reads it that
	// does not lead.
	leaderless = 3 * time.Second
)

// ReadList reads the platform's list again and again until ctx ends. One
// control host reads for the fleet: the leader, or any that knows no leader
// for a while.
func (c *Control) ReadList(ctx context.Context, lister Lister, interval time.Duration) {
	failed := false
	for {
		if c.isReader(ctx) {
			call, cancel := context.WithTimeout(ctx, listTimeout)
			list, err := lister.List(call)
			cancel()
			if (err != nil) != failed {
				failed = err != nil
				c.log.Warn("mesh: reading of the list of targets", "works", !failed, "error", err)
			}
			if err == nil {
				c.ref.Tell(listed{targets: list})
			}
		}
		if !pause(ctx, c.clock, interval) {
			return
		}
	}
}

func (c *Control) isReader(ctx context.Context) bool {
	status, err := c.replica.Status(ctx)
	if err != nil {
		c.log.Info("mesh: list of targets not read", "error", err)
		return false
	}
	leads, known := c.isLeader(status)
	if leads || known {
		return leads
	}
	age, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[ident.Option[time.Duration]]) any {
		return askListAge{reply: reply}
	})
	return err == nil && age.Or(leaderless) >= leaderless
}
