package mesh

import (
	"context"
	"fmt"
	"slices"
	"time"

	"rhubarbrack/agree"
	"rhubarbrack/clock"
	"rhubarbrack/ctrl"
	"rhubarbrack/ident"
)

const (
	// departureTime limits how long a host that is about to stop waits until it is
	// no longer a member.
	departureTime = 2 * time.Second
	// departureInterval is the interval between two announcements of a departure.
	departureInterval = 50 * time.Millisecond
)

// Leave asks the leader to remove this host before a planned stop, and returns when
// it is no longer a member. It returns at once if the log needs this host: a host
// that is restarted remains a voter, and one whose successor has joined does not.
// A leader must transfer its leadership before.
func (c *Control) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, departureTime)
	defer cancel()
	for {
		status, err := c.replica.Status(ctx)
		if err != nil || !c.planner.IsSpare(quorumMembers(c.clock.Now(), status), c.host) {
			return
		}
		removed, err := c.announceDeparture(ctx, status.LeaderAddress())
		if removed {
			c.log.Info("mesh: removed before the stop", "host", c.host)
			return
		}
		if isUnknownMethod(err, methodLeave) {
			// A leader of an earlier release removes silent members only.
			return
		}
		if !clock.Sleep(ctx, c.clock, departureInterval) {
			c.log.Warn("mesh: not removed before the stop", "host", c.host, "error", err)
			return
		}
	}
}

// announceDeparture tells the leader that this host is about to stop, and reports
// whether it is no longer a member.
func (c *Control) announceDeparture(ctx context.Context, leader string) (bool, error) {
	if leader == "" || leader == c.ownAddress {
		return false, fmt.Errorf("announce departure: %w", ctrl.ErrNotLeader)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := c.client(ctx, leader)
	if client == nil {
		return false, fmt.Errorf("announce departure: %w", ErrUnavailable)
	}
	var reply LeaveReplyRecord
	if err := client.Call(ctx, methodLeave, &LeaveRecord{Host: string(c.host)}, &reply); err != nil {
		return false, fmt.Errorf("announce departure: %w", err)
	}
	return reply.Removed, nil
}

// acceptDeparture records on the leader that a host is about to stop, and reports
// whether it is no member.
func (c *Control) acceptDeparture(ctx context.Context, host ident.Host) (bool, error) {
	status, err := c.replica.Status(ctx)
	if err != nil {
		return false, fmt.Errorf("accept departure: %w", err)
	}
	if status.Role() != agree.Leader {
		return false, fmt.Errorf("accept departure: %w", ctrl.ErrNotLeader)
	}
	isMember := slices.ContainsFunc(status.Members(), func(m agree.MemberStatus) bool { return m.Member().Host() == host })
	if isMember {
		c.ref.Tell(addLeaver{host: host})
	}
	return !isMember, nil
}
