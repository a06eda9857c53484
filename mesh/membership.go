package mesh

import (
	"context"
	"fmt"
	"slices"
	"time"

	"rhubarbrack/agree"
	"rhubarbrack/clock"
	"rhubarbrack/ctrl"
	"rhubarbrack/quorum"
	"rhubarbrack/tasks"
)

const (
	// membershipInterval is the interval between two checks of the membership.
	membershipInterval = 200 * time.Millisecond
	// changeTimeout bounds one membership change. A host that is added and has not
	// caught up by then is looked at again, after changes that are more urgent.
	changeTimeout = time.Second
	// maxChangesPerCheck bounds the changes between two checks of the leadership.
	maxChangesPerCheck = 4
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

// updateMembership applies the membership changes that are due, one after the
// other: as soon as a successor is a voter, its predecessor must not remain one.
func (c *Control) updateMembership(ctx context.Context, status ctrl.Status) {
	requests, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[memberRequests]) any {
		return getMemberRequests{reply: reply}
	})
	for range maxChangesPerCheck {
		if err != nil {
			c.log.Info("mesh: membership not checked", "error", err)
			return
		}
		if status.Role() != agree.Leader || !c.updateMember(ctx, status, &requests) {
			return
		}
		status, err = c.replica.Status(ctx)
	}
}

// updateMember applies the next membership change. It reports whether there was
// one that succeeded.
func (c *Control) updateMember(ctx context.Context, status ctrl.Status, requests *memberRequests) bool {
	change, ok := c.nextChange(ctx, status, requests)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := c.applyChange(ctx, change); err != nil {
		c.log.Warn("mesh: membership change failed", "change", change.Kind(), "reason", change.Reason(),
			"member", change.Host(), "error", err)
		return false
	}
	c.log.Info("mesh: membership changed", "change", change.Kind(), "reason", change.Reason(),
		"member", change.Host(), "silent", silences(c.clock.Now(), status))
	return true
}

// nextChange returns the next membership change that is due. It drops requests that
// their senders no longer confirm.
func (c *Control) nextChange(ctx context.Context, status ctrl.Status, requests *memberRequests) (quorum.Change, bool) {
	members := quorumMembers(c.clock.Now(), status)
	for {
		change, ok := c.planner.Next(members, requests.joiners, requests.leavers)
		if !ok || change.Reason() != quorum.DiskLost {
			return change, ok
		}
		// The request may be late, and the host have lost its disk again since
		// then.
		i := slices.IndexFunc(requests.joiners, func(j quorum.Joiner) bool { return j.Address() == change.Address() })
		host := requests.joiners[i].Host()
		err := c.replica.Confirm(ctx, host, change.Address())
		if err == nil {
			return change, true
		}
		c.log.Warn("mesh: join request not confirmed", "host", host, "address", change.Address(), "error", err)
		requests.joiners = slices.Delete(slices.Clone(requests.joiners), i, i+1)
	}
}

// quorumMembers returns the members as the leader sees them.
func quorumMembers(now time.Time, status ctrl.Status) []quorum.Member {
	var list []quorum.Member
	for _, m := range status.Members() {
		member := m.Member()
		list = append(list, quorum.NewMember(member.Host(), member.Address(), member.IsVoter(), now.Sub(m.LastContact())))
	}
	return list
}

func (c *Control) applyChange(ctx context.Context, change quorum.Change) error {
	if change.Kind() == quorum.Remove {
		if err := c.replica.RemoveMember(ctx, change.Host()); err != nil {
			return fmt.Errorf("remove member: %w", err)
		}
		return nil
	}
	if err := c.replica.AddMember(ctx, change.Host(), change.Address()); err != nil {
		return fmt.Errorf("add member: %w", err)
	}
	return nil
}

// silences returns how long each member has been silent, by host.
func silences(now time.Time, status ctrl.Status) map[string]string {
	list := map[string]string{}
	for _, m := range status.Members() {
		list[string(m.Member().Host())] = now.Sub(m.LastContact()).Truncate(time.Millisecond).String()
	}
	return list
}
