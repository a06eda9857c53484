package ctrl

import (
	"context"
	"fmt"
	"slices"
	"time"

	"rhubarbrack/agree"
	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// bootstrapRetryPause is the time between two attempts to reach the initial
// peers.
const bootstrapRetryPause = 200 * time.Millisecond

// bootstrapper determines whether a host with an empty disk is new. It asks
// every other initial peer for its identity. If all respond that their disks are
// empty too, no vote or entry of an earlier disk of this host can matter, and
// the cluster is bootstrapped. If one of them belongs to a cluster that was
// bootstrapped with this disk, the host adopts its initial membership. If that
// cluster knows another disk of this host, or none, the host is refused: it has
// lost its disk.
type bootstrapper struct {
	system  *tasks.System
	host    ident.Host
	disk    agree.DiskID
	task    *tasks.Ref
	options replicaOptions
	disks   map[ident.Host]agree.DiskID
}

func newBootstrapper(
	system *tasks.System, host ident.Host, disk agree.DiskID, task *tasks.Ref, o replicaOptions,
) *bootstrapper {
	return &bootstrapper{system: system, host: host, disk: disk, task: task, options: o}
}

// run retries until it can report the result to the replica task, or until ctx
// ends.
func (b *bootstrapper) run(ctx context.Context) {
	if !slices.Contains(initialHosts(b.options.initialPeers), string(b.host)) {
		b.task.Tell(bootstrapFailed{err: fmt.Errorf("%w: %s is not on the initial list", ErrIdentityMismatch, b.host)})
		return
	}
	clients, err := b.dialPeers(ctx)
	defer func() {
		for _, c := range clients {
			c.Close()
			<-c.Done()
		}
	}()
	if err != nil {
		b.task.Tell(bootstrapFailed{err: err})
		return
	}
	for {
		members, ok, err := b.attempt(ctx, clients)
		if err != nil {
			b.task.Tell(bootstrapFailed{err: err})
			return
		}
		if ok {
			b.task.Tell(bootstrapped{members: members})
			return
		}
		if !clock.Sleep(ctx, b.options.clock, bootstrapRetryPause) {
			return
		}
	}
}

func (b *bootstrapper) dialPeers(ctx context.Context) (map[ident.Host]*wire.Client, error) {
	clients := map[ident.Host]*wire.Client{}
	for _, p := range b.options.initialPeers {
		if p.host == b.host {
			continue
		}
		name := fmt.Sprintf("replica-%s-form-%s", b.host, p.host)
		c, err := wire.StartClient(ctx, b.system, name, p.address, b.options.wireOptions...)
		if err != nil {
			return clients, fmt.Errorf("bootstrap the cluster: %w", err)
		}
		clients[p.host] = c
	}
	return clients, nil
}

// attempt asks all hosts once. It returns the initial membership if all have
// responded or one of them knows it.
func (b *bootstrapper) attempt(ctx context.Context, clients map[ident.Host]*wire.Client) (agree.Members, bool, error) {
	// A response to an earlier attempt may be outdated: the host may have lost
	// its disk since.
	b.disks = map[ident.Host]agree.DiskID{b.host: b.disk}
	for host, client := range clients {
		r, err := b.identify(ctx, client)
		if err != nil {
			b.options.logger.Debug("ctrl: initial peer does not respond", "peer", host, "error", err)
			continue
		}
		if ident.Host(r.Host) != host {
			return agree.Members{}, false, fmt.Errorf("%w: %s is the address of %s", ErrIdentityMismatch, client.Address(), r.Host)
		}
		if len(r.Members) > 0 || len(r.Formed) > 0 {
			return b.adoptMembership(r)
		}
		if slices.Equal(r.Initial, initialHosts(b.options.initialPeers)) {
			b.disks[host] = agree.DiskID(r.Disk)
		} else {
			b.options.logger.Warn("ctrl: peer has a different list of initial peers", "peer", host)
		}
	}
	return b.initialMembers(), len(b.disks) == len(b.options.initialPeers), nil
}

func (b *bootstrapper) identify(ctx context.Context, client *wire.Client) (IdentityRecord, error) {
	callCtx, cancel := context.WithTimeout(ctx, b.options.callTimeout)
	defer cancel()
	var r IdentityRecord
	if err := client.Call(callCtx, methodIdentify, &IdentifyRecord{}, &r); err != nil {
		return IdentityRecord{}, fmt.Errorf("identify: %w", err)
	}
	return r, nil
}

// adoptMembership returns the initial membership of a cluster that was
// bootstrapped with this disk.
func (b *bootstrapper) adoptMembership(r IdentityRecord) (agree.Members, bool, error) {
	members := toMembers(r.Formed)
	if m, ok := members.Find(b.host); ok && m.DiskID() == b.disk {
		return members, true, nil
	}
	return agree.Members{}, false, fmt.Errorf(
		"%w: the cluster has formed without this disk of %s; join under a new host name", ErrIdentityMismatch, b.host)
}

func (b *bootstrapper) initialMembers() agree.Members {
	var members agree.Members
	for _, p := range b.options.initialPeers {
		members = members.With(agree.NewMember(p.host, p.address, b.disks[p.host], true))
	}
	return members
}
