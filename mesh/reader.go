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
	// listTimeout bounds one read of the list.
	listTimeout = 2 * time.Second
	// longListTargets is the number of targets from which the list is read
	// half as often. Each page is a call, and the platform limits and counts
	// calls.
	longListTargets = 200
	// maxListAgeWithoutLeader is the age from which a host that knows no
	// leader reads the list itself.
	maxListAgeWithoutLeader = 3 * time.Second
)

// PollList reads the platform's target list periodically until ctx ends. Only
// the leader reads it for the fleet. A host that knows no leader reads it as
// well once the last list is older than maxListAgeWithoutLeader. Lists of
// longListTargets or more are read at twice the interval.
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
				c.log.Warn("mesh: reads of the list of targets began to fail or recovered", "works", !failed, "error", err)
			}
			if err == nil {
				c.ref.Tell(listRead{targets: list})
				next = intervalFor(len(list), interval)
			}
		}
		if !clock.Sleep(ctx, c.clock, next) {
			return
		}
	}
}

// intervalFor returns the interval for a list of the given length.
func intervalFor(targets int, interval time.Duration) time.Duration {
	if targets >= longListTargets {
		return 2 * interval
	}
	return interval
}

// isReader reports whether this host should read the list now.
func (c *Control) isReader(ctx context.Context) bool {
	status, err := c.replica.Status(ctx)
	if err != nil {
		c.log.Info("mesh: replica status unknown, list of targets not read", "error", err)
		return false
	}
	if leads := status.Role() == agree.Leader; leads || status.Leader() != "" {
		return leads
	}
	age, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[ident.Option[time.Duration]]) any {
		return getListAge{reply: reply}
	})
	return err == nil && age.Or(maxListAgeWithoutLeader) >= maxListAgeWithoutLeader
}
