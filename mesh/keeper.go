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
	// keepInterval is the time between two looks at the membership.
	keepInterval = 200 * time.Millisecond
	// memberSilence is how long a voter may be silent before it is removed
	// when there is another host in its place.
	memberSilence = 6 * time.Second
	// changeTimeout bounds one change of the membership.
	changeTimeout = 5 * time.Second
)

// MaintainMembership looks after the membership of the replicated log until ctx ends: it
// asks to join while this host is no member, and lets others join while it
// leads.
func (c *Control) MaintainMembership(ctx context.Context) {
	for clock.Sleep(ctx, c.clock, keepInterval) {
		status, err := c.replica.Status(ctx)
		if err != nil {
			c.log.Info("mesh: upkeep of the membership ends", "error", err)
			return
		}
		var addresses []string
		voter := false
		for _, m := range status.Members() {
			addresses = append(addresses, m.Member().Address())
			voter = voter || m.Member().Host() == c.host && m.Member().IsVoter()
		}
		c.ref.Tell(members{addresses: addresses})
		if status.Role() == agree.Leader {
			c.confirm(ctx)
			c.admit(ctx, status)
		} else if !voter {
			c.ask(ctx)
		}
	}
}

// confirm tells the hub that a majority knows this leader.
func (c *Control) confirm(ctx context.Context) {
	before := c.clock.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := c.replica.Barrier(call); err != nil {
		c.log.Debug("mesh: leadership not confirmed", "error", err)
		return
	}
	c.ref.Tell(leads{at: before})
}

// ask tells all known control hosts that this one wants to join. The leader
// is among them or learns of it later.
func (c *Control) ask(ctx context.Context) {
	list, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[[]string]) any { return askControls{reply: reply} })
	if err != nil {
		c.log.Info("mesh: cannot ask to join", "error", err)
		return
	}
	ended := make(chan struct{}, len(list))
	for _, address := range list {
		go func() {
			defer func() { ended <- struct{}{} }()
			if address == c.own {
				return
			}
			call, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			client := c.client(call, address)
			if client == nil {
				return
			}
			var reply JoinReplyRecord
			err := client.Call(call, methodJoin, &JoinRecord{Host: string(c.host), Address: c.own}, &reply)
			if err != nil {
				c.log.Debug("mesh: cannot ask to join", "peer", address, "error", err)
				return
			}
			c.ref.Tell(members{addresses: append(reply.Controls, list...)})
		}()
	}
	for range list {
		<-ended
	}
}

// admit carries out the next change of the membership, if one is due.
func (c *Control) admit(ctx context.Context, status ctrl.Status) {
	joiners, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[[]joiner]) any { return askJoiners{reply: reply} })
	if err != nil {
		c.log.Info("mesh: membership not looked at", "error", err)
		return
	}
	change, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	what, host, err := c.change(change, status, joiners)
	switch {
	case err != nil:
		c.log.Warn("mesh: membership unchanged", "change", what, "member", host, "error", err)
	case what != "":
		c.log.Info("mesh: membership changed", "change", what, "member", host)
	}
}

func (c *Control) change(
	ctx context.Context, status ctrl.Status, joiners []joiner,
) (string, ident.Host, error) {
	byAddress := map[string]agree.Member{}
	for _, m := range status.Members() {
		byAddress[m.Member().Address()] = m.Member()
	}
	for _, j := range joiners {
		old, taken := byAddress[j.address]
		if taken && old.Host() != j.host {
			// The disk of the old member is gone, with what it had promised.
			return "remove", old.Host(), c.remove(ctx, old.Host())
		}
		if !taken || !old.IsVoter() {
			if err := c.replica.AddMember(ctx, j.host, j.address); err != nil {
				return "add", j.host, fmt.Errorf("add member: %w", err)
			}
			return "add", j.host, nil
		}
	}
	if host, ok := c.superfluous(status); ok {
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

// usualVoters is the number of voters that bears the loss of two disks.
const usualVoters = 5

// superfluous returns a member that is silent while enough others are in
// contact.
func (c *Control) superfluous(status ctrl.Status) (ident.Host, bool) {
	now := c.clock.Now()
	live, silent := 0, ident.Host("")
	for _, m := range status.Members() {
		if now.Sub(m.LastContact()) < memberSilence {
			live++
		} else if m.Member().Host() != c.host {
			silent = m.Member().Host()
		}
	}
	return silent, silent != "" && live >= usualVoters
}
