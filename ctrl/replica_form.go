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

// formationPause is the time between two attempts to reach the hosts of the
// initial list.
const formationPause = 200 * time.Millisecond

// formation finds out whether a host with an empty disk is new. It asks every
// other host of the initial list. When all have answered that their disks are
// empty too, no vote or entry of an earlier disk of this host can matter, and
// the cluster forms. When one of them has formed a cluster with this disk,
// the host takes over that membership. When it was with another disk, this
// host has lost its disk.
type formation struct {
	system  *tasks.System
	host    ident.Host
	disk    agree.DiskID
	task    *tasks.Ref
	options replicaOptions
	disks   map[ident.Host]agree.DiskID
}

func newFormation(
	system *tasks.System, host ident.Host, disk agree.DiskID, task *tasks.Ref, o replicaOptions,
) *formation {
	return &formation{system: system, host: host, disk: disk, task: task, options: o}
}

// run reports to the replica task how the formation ended, or ends with ctx.
func (f *formation) run(ctx context.Context) {
	if !slices.Contains(initialHosts(f.options.formation), string(f.host)) {
		f.task.Tell(formationFailed{err: fmt.Errorf("%w: %s is not on the initial list", ErrIdentityMismatch, f.host)})
		return
	}
	clients, err := f.dial(ctx)
	defer func() {
		for _, c := range clients {
			c.Close()
			<-c.Done()
		}
	}()
	if err != nil {
		f.task.Tell(formationFailed{err: err})
		return
	}
	for {
		members, ok, err := f.attempt(ctx, clients)
		if err != nil {
			f.task.Tell(formationFailed{err: err})
			return
		}
		if ok {
			f.task.Tell(formed{members: members})
			return
		}
		if !clock.Sleep(ctx, f.options.clock, formationPause) {
			return
		}
	}
}

func (f *formation) dial(ctx context.Context) (map[ident.Host]*wire.Client, error) {
	clients := map[ident.Host]*wire.Client{}
	for _, p := range f.options.formation {
		if p.host == f.host {
			continue
		}
		name := fmt.Sprintf("replica-%s-form-%s", f.host, p.host)
		c, err := wire.StartClient(ctx, f.system, name, p.address, f.options.wire...)
		if err != nil {
			return clients, fmt.Errorf("form the cluster: %w", err)
		}
		clients[p.host] = c
	}
	return clients, nil
}

// attempt asks all hosts once and returns the first membership when all have
// answered or one of them knows it.
func (f *formation) attempt(ctx context.Context, clients map[ident.Host]*wire.Client) (agree.Members, bool, error) {
	// An answer of an earlier attempt may be about a disk that is gone.
	f.disks = map[ident.Host]agree.DiskID{f.host: f.disk}
	for host, client := range clients {
		r, err := f.ask(ctx, client)
		if err != nil {
			f.options.logger.Debug("ctrl: initial host does not answer", "peer", host, "error", err)
			continue
		}
		if ident.Host(r.Host) != host {
			return agree.Members{}, false, fmt.Errorf("%w: %s is the address of %s", ErrIdentityMismatch, client.Address(), r.Host)
		}
		if len(r.Members) > 0 || len(r.Formed) > 0 {
			return f.adopt(r)
		}
		if slices.Equal(r.Initial, initialHosts(f.options.formation)) {
			f.disks[host] = agree.DiskID(r.Disk)
		} else {
			f.options.logger.Warn("ctrl: peer has another initial list", "peer", host)
		}
	}
	return f.members(), len(f.disks) == len(f.options.formation), nil
}

func (f *formation) ask(ctx context.Context, client *wire.Client) (IdentityRecord, error) {
	call, cancel := context.WithTimeout(ctx, f.options.callTimeout)
	defer cancel()
	var r IdentityRecord
	if err := client.Call(call, methodIdentify, &IdentifyRecord{}, &r); err != nil {
		return IdentityRecord{}, fmt.Errorf("identify: %w", err)
	}
	return r, nil
}

// adopt takes over the first membership of a cluster that has formed with
// this disk.
func (f *formation) adopt(r IdentityRecord) (agree.Members, bool, error) {
	first := toMembers(r.Formed)
	if m, ok := first.Find(f.host); ok && m.DiskID() == f.disk {
		return first, true, nil
	}
	return agree.Members{}, false, fmt.Errorf(
		"%w: the cluster has formed without this disk of %s; join under a new host name", ErrIdentityMismatch, f.host)
}

func (f *formation) members() agree.Members {
	var members agree.Members
	for _, p := range f.options.formation {
		members = members.With(agree.NewMember(p.host, p.address, f.disks[p.host], true))
	}
	return members
}
