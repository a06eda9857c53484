package ctrl

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"sync/atomic"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/store"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// Replica is one member of the replicated log. It is safe for concurrent
// use.
type Replica struct {
	host    ident.Host
	system  *tasks.System
	options replicaOptions
	task    *replicaTask
	ref     *tasks.Ref
	dials   atomic.Uint64
	done    chan struct{}
	failure error
}

// StartReplica opens the data directory and starts a replica. Its calls are
// registered on the server, which the caller serves. The replica ends with
// ctx, or with an error when its disk fails.
func StartReplica(
	ctx context.Context, system *tasks.System, server *rpc.Server, host ident.Host, directory string,
	machine StateMachine, list ...ReplicaOption,
) (*Replica, error) {
	o := newReplicaOptions(list)
	log, restored, err := store.Open(directory, store.WithHost(host), store.WithFileSystem(o.fileSystem))
	if err != nil {
		return nil, fmt.Errorf("start replica %s: %w", host, err)
	}
	if s, ok := restored.Snapshot().Get(); ok {
		if err := machine.Restore(s.Revision(), s.Data()); err != nil {
			return nil, closeAfterError(fmt.Errorf("start replica %s: restore snapshot: %w", host, err), log)
		}
	}
	inner, cancel := context.WithCancel(ctx)
	r := &Replica{host: host, system: system, options: o, done: make(chan struct{})}
	r.task = newReplicaTask(inner, system, host, restored, machine, o)
	ref, err := tasks.Spawn(inner, system, "replica-"+string(host), r.task)
	if err != nil {
		cancel()
		return nil, closeAfterError(fmt.Errorf("start replica %s: %w", host, err), log)
	}
	r.ref = ref
	r.task.setRef(ref)
	r.startGoroutines(inner, cancel, log, restored)
	if err := server.RegisterName(serviceName, newPeerService(ref, host, o)); err != nil {
		cancel()
		<-r.done
		return nil, fmt.Errorf("start replica %s: %w", host, err)
	}
	return r, nil
}

// startGoroutines starts the goroutines of the replica, and one that waits until
// they have ended.
func (r *Replica) startGoroutines(ctx context.Context, cancel func(), log *store.Log, restored agree.PersistentState) {
	disk := tasks.Go(ctx, func(ctx context.Context) { r.task.disk.run(ctx, log, r.ref) })
	ticks := tasks.Every(ctx, r.options.clock, r.options.tickInterval, r.ref, tick{})
	bootstrap := tasks.Go(ctx, func(ctx context.Context) {
		if restored.IsEmpty() && len(r.options.initialPeers) > 0 {
			newBootstrapper(r.system, r.host, restored.DiskID(), r.ref, r.options).run(ctx)
		}
	})
	go func() {
		defer close(r.done)
		<-r.ref.Done()
		cancel()
		<-disk
		<-ticks
		<-bootstrap
		r.task.peers.wait()
		r.failure = r.ref.Err()
		if r.failure == nil {
			r.failure = r.task.failure
		}
	}()
}

// Done returns a channel that is closed when the replica has ended and its
// files are closed.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the failure that ended the replica, or nil. It is valid once
// Done is closed.
func (r *Replica) Err() error { return r.failure }

// Host returns the name of the replica's host.
func (r *Replica) Host() ident.Host { return r.host }

// Propose commits a command and returns its revision and the result of
// StateMachine.Apply. The error matches ErrNotLeader, agree.ErrBusy,
// agree.ErrTooLarge, agree.ErrTransferring, tasks.ErrNotSent or ErrNotCommitted if
// the command had no effect, and ErrUnknown if it may still be committed.
func (r *Replica) Propose(ctx context.Context, data []byte) (ident.Revision, any, error) {
	result, err := askTask(ctx, r, func(reply tasks.Reply[requestResult]) any { return propose{data: data, reply: reply} })
	if errors.Is(err, tasks.ErrNotSent) {
		return 0, nil, fmt.Errorf("propose: %w", err)
	}
	if err != nil {
		return 0, nil, fmt.Errorf("propose: %w: %w", ErrUnknown, err)
	}
	if result.err != nil {
		return 0, nil, fmt.Errorf("propose: %w", result.err)
	}
	return result.revision, result.value, nil
}

// Barrier returns a revision that includes every command acknowledged before
// the call. A majority has confirmed the leadership since then, and the state
// machine has applied the revision.
func (r *Replica) Barrier(ctx context.Context) (ident.Revision, error) {
	result, err := askTask(ctx, r, func(reply tasks.Reply[requestResult]) any { return barrier{reply: reply} })
	if err == nil {
		err = result.err
	}
	if err != nil {
		return 0, fmt.Errorf("barrier: %w", err)
	}
	return result.revision, nil
}

// TransferLeadership transfers the leadership to the target, or to the voter
// with the most complete log if target is empty. It returns when the replica no
// longer leads. A leader calls it before a planned stop.
func (r *Replica) TransferLeadership(ctx context.Context, target ident.Host) error {
	result, err := askTask(ctx, r, func(reply tasks.Reply[requestResult]) any { return transferLeadership{target: target, reply: reply} })
	if err == nil {
		err = result.err
	}
	if err != nil {
		return fmt.Errorf("transfer: %w", err)
	}
	return nil
}

// Status returns the status of the replica and its view of the cluster.
func (r *Replica) Status(ctx context.Context) (Status, error) {
	s, err := tasks.Ask(ctx, r.ref, func(reply tasks.Reply[Status]) any { return getStatus{reply: reply} })
	if err != nil {
		return Status{}, fmt.Errorf("status: %w", err)
	}
	return s, nil
}

func askTask(ctx context.Context, r *Replica, build func(tasks.Reply[requestResult]) any) (requestResult, error) {
	result, err := tasks.Ask(ctx, r.ref, build)
	if err != nil {
		return requestResult{}, fmt.Errorf("replica %s: %w", r.host, err)
	}
	return result, nil
}

// dial starts a client for calls that are not messages of the protocol.
func (r *Replica) dial(ctx context.Context, address string) (*wire.Client, error) {
	name := fmt.Sprintf("replica-%s-call-%d", r.host, r.dials.Add(1))
	c, err := wire.StartClient(ctx, r.system, name, address, r.options.wireOptions...)
	if err != nil {
		return nil, fmt.Errorf("reach %s: %w", address, err)
	}
	return c, nil
}
