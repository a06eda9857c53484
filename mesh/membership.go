package mesh

import (
	"context"
	"fmt"
	"time"

	"rhubarbrack/agree"
	"rhubarbrack/clock"
	"rhubarbrack/ctrl"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

const (
	// membershipInterval is the interval between two checks of the membership.
	membershipInterval = 200 * time.Millisecond
	// memberTimeout is how long a member may be silent before it is removed,
	// if enough other members are in contact.
	memberTimeout = 6 * time.Second
	// changeTimeout bounds one membership change.
	changeTimeout = 5 * time.Second
)

// MaintainMembership maintains the membership of the replicated log until ctx
// ends: this host requests to join while it is not a voter or knows no leader,
// and applies membership changes while it leads.
func (c *Control) MaintainMembership(ctx context.Context) {
	var absence leaderAbsence
	for clock.Sleep(ctx, c.clock, membershipInterval) {
		status, err := c.replica.Status(ctx)
		if err != nil {
			c.log.Info("mesh: membership maintenance stopped", "error", err)
			return
		}
		voter := c.updateAddresses(status)
		isAbsent := absence.update(c.clock.Now(), status.Leader() != "")
		if isAbsent {
			c.logAbsence(&absence, status, voter)
		}
		switch {
		case status.Role() == agree.Leader:
			c.confirmLeadership(ctx)
			c.updateMembership(ctx, status)
		case !voter, isAbsent:
			// A host that was removed while it was down or cut off still has
			// itself as a voter in its log. A leader ignores the request of a
			// host that is a voter.
			c.requestJoin(ctx)
		}
	}
}

// updateAddresses passes the addresses of the members to the registry and
// reports whether this host is a voter by its own log. Without a leader the
// members may be outdated, so that other known addresses are kept.
func (c *Control) updateAddresses(status ctrl.Status) bool {
	var addresses []string
	voter := false
	for _, m := range status.Members() {
		addresses = append(addresses, m.Member().Address())
		voter = voter || m.Member().Host() == c.host && m.Member().IsVoter()
	}
	if status.Leader() == "" {
		c.ref.Tell(addControlHosts{addresses: addresses})
	} else {
		c.ref.Tell(updateMembers{addresses: addresses})
	}
	return voter
}

// confirmLeadership tells the registry if a majority confirms that this host
// leads.
func (c *Control) confirmLeadership(ctx context.Context) {
	before := c.clock.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := c.replica.Barrier(call); err != nil {
		c.log.Debug("mesh: leadership not confirmed", "error", err)
		return
	}
	c.ref.Tell(leadershipConfirmed{at: before})
}

// requestJoin sends a join request to all known control hosts. The leader is
// among them or learns of the request later.
func (c *Control) requestJoin(ctx context.Context) {
	list, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[[]string]) any { return getControlHosts{reply: reply} })
	if err != nil {
		c.log.Info("mesh: join request failed", "error", err)
		return
	}
	ended := make(chan struct{}, len(list))
	for _, address := range list {
		go func() {
			defer func() { ended <- struct{}{} }()
			if address == c.ownAddress {
				return
			}
			call, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			client := c.client(call, address)
			if client == nil {
				return
			}
			var reply JoinReplyRecord
			err := client.Call(call, methodJoin, &JoinRecord{Host: string(c.host), Address: c.ownAddress}, &reply)
			if err != nil {
				c.log.Debug("mesh: join request failed", "peer", address, "error", err)
				return
			}
			c.ref.Tell(addControlHosts{addresses: reply.Controls})
		}()
	}
	for range list {
		<-ended
	}
}

// updateMembership applies the next membership change, if one is due.
func (c *Control) updateMembership(ctx context.Context, status ctrl.Status) {
	joiners, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[[]joiner]) any { return getJoiners{reply: reply} })
	if err != nil {
		c.log.Info("mesh: membership not checked", "error", err)
		return
	}
	change, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	action, host, err := c.applyNextChange(change, status, joiners)
	switch {
	case err != nil:
		c.log.Warn("mesh: membership change failed", "change", action, "member", host, "error", err)
	case action != "":
		c.log.Info("mesh: membership changed", "change", action, "member", host, "silent", silences(c.clock.Now(), status))
	}
}

// silences returns how long each member has been silent, by host.
func silences(now time.Time, status ctrl.Status) map[string]string {
	list := map[string]string{}
	for _, m := range status.Members() {
		list[string(m.Member().Host())] = now.Sub(m.LastContact()).Truncate(time.Millisecond).String()
	}
	return list
}

// applyNextChange returns the change that it attempted and the host concerned,
// or empty values if no change is due.
func (c *Control) applyNextChange(
	ctx context.Context, status ctrl.Status, joiners []joiner,
) (string, ident.Host, error) {
	byAddress := map[string]agree.Member{}
	for _, m := range status.Members() {
		byAddress[m.Member().Address()] = m.Member()
	}
	for _, j := range joiners {
		old, taken := byAddress[j.address]
		if taken && old.Host() != j.host {
			// The host came back with an empty disk. The old member's votes and
			// log entries are lost, so it must not remain a member. The request
			// may be late, and the host have lost its disk again since then.
			if err := c.replica.Confirm(ctx, j.host, j.address); err != nil {
				c.log.Warn("mesh: join request not confirmed", "host", j.host, "address", j.address, "error", err)
				continue
			}
			return "remove", old.Host(), c.remove(ctx, old.Host())
		}
		if !taken || !old.IsVoter() {
			if err := c.replica.AddMember(ctx, j.host, j.address); err != nil {
				return "add", j.host, fmt.Errorf("add member: %w", err)
			}
			return "add", j.host, nil
		}
	}
	if host, ok := c.removableMember(status); ok {
		return "remove", host, c.remove(ctx, host)
	}
	return "", "", nil
}

func (c *Control) remove(ctx context.Context, host ident.Host) error {
	if err := c.replica.RemoveMember(ctx, host); err != nil {
		return fmt.Errorf("remove member: %w", err)
	}
	return nil
}

// minLiveMembers is the number of live members from which silent ones are
// removed. As voters, five tolerate the loss of two disks.
const minLiveMembers = 5

// removableMember returns a silent member if enough others are in contact.
func (c *Control) removableMember(status ctrl.Status) (ident.Host, bool) {
	now := c.clock.Now()
	live, silent := 0, ident.Host("")
	for _, m := range status.Members() {
		if now.Sub(m.LastContact()) < memberTimeout {
			live++
		} else if m.Member().Host() != c.host {
			silent = m.Member().Host()
		}
	}
	return silent, silent != "" && live >= minLiveMembers
}
