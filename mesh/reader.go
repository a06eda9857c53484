package mesh

import (
	"context"
	"fmt"
	"time"

	"rhubarbrack/agree"
	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

const (
	// listTimeout bounds one reading of the list.
	listTimeout = 2 * time.Second
	// longList is the number of targets from which the list is read at half the
	// pace. Each page is a call, and the platform limits and counts calls.
	longList = 200
	// leaderless is how long the list must be old before a host reads it that
	// does not lead.
	leaderless = 3 * time.Second
)

// PollList reads the platform's list again and again until ctx ends. One
// control host reads for the fleet: the leader, or any that knows no leader
// for a while. The interval is the time between two readings of a short list.
func (c *Control) PollList(ctx context.Context, lister Lister, interval time.Duration) {
	failed := false
	next := interval
	for {
		if c.isReader(ctx) {
			var list []ListedTarget
			call, cancel := context.WithTimeout(ctx, listTimeout)
			err := c.timed(call, "list-read", func(ctx context.Context) error {
				var err error
				if list, err = lister.List(ctx); err != nil {
					return fmt.Errorf("read list: %w", err)
				}
				return nil
			})
			cancel()
			if (err != nil) != failed {
				failed = err != nil
				c.log.Warn("mesh: reading of the list of targets", "works", !failed, "error", err)
			}
			if err == nil {
				c.ref.Tell(listed{targets: list})
				next = intervalFor(len(list), interval)
			}
		}
		if !clock.Sleep(ctx, c.clock, next) {
			return
		}
	}
}

// intervalFor returns the time between two readings of a list of the given
// length.
func intervalFor(targets int, interval time.Duration) time.Duration {
	if targets >= longList {
		return 2 * interval
	}
	return interval
}

func (c *Control) isReader(ctx context.Context) bool {
	status, err := c.replica.Status(ctx)
	if err != nil {
		c.log.Info("mesh: list of targets not read", "error", err)
		return false
	}
	if leads := status.Role() == agree.Leader; leads || status.Leader() != "" {
		return leads
	}
	age, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[ident.Option[time.Duration]]) any {
		return askListAge{reply: reply}
	})
	return err == nil && age.Or(leaderless) >= leaderless
}
