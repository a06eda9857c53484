package entry

import (
	"context"
	"fmt"
	"net/rpc"
	"sync"

	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/steer"
	"rhubarbrack/tasks"
)

// SlotOwner owns the slots of the regions whose slot role this host has. Its
// task contains one pool per region and serves the RPC service Slots. It is
// safe for concurrent use.
type SlotOwner struct {
	ref  *tasks.Ref
	done chan struct{}
}

// StartSlotOwner starts the task and registers its service on the server.
// Marks of suspects are sent to the replicator.
func StartSlotOwner(ctx context.Context, system *tasks.System, server *rpc.Server, replicator MarkReplicator,
	list ...SlotOption,
) (*SlotOwner, error) {
	o := newSlotOptions(list)
	t := newSlotOwnerTask(ctx, replicator, o)
	ref, err := tasks.Spawn(ctx, system, "entry-slot-owner", t)
	if err != nil {
		return nil, fmt.Errorf("start slot owner: %w", err)
	}
	ref.Tell(slotSelf{ref: ref})
	if err := server.RegisterName(slotService, &slotServer{ctx: ctx, owner: ref}); err != nil {
		ref.Stop()
		return nil, fmt.Errorf("register service %s: %w", slotService, err)
	}
	ticks := tasks.Every(ctx, o.clock, slotTickInterval, ref, slotTicked{})
	return &SlotOwner{ref: ref, done: slotTaskDone(ref, ticks, &t.replication.calls)}, nil
}

// slotTaskDone returns a channel that is closed when the task, its ticker and
// the calls that it started have ended. Only the task starts calls.
func slotTaskDone(ref *tasks.Ref, ticks <-chan struct{}, calls *sync.WaitGroup) chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ref.Done()
		<-ticks
		calls.Wait()
	}()
	return done
}

// Done returns a channel that is closed when the task and its calls
// have ended.
func (o *SlotOwner) Done() <-chan struct{} { return o.done }

// Update sets the current membership.
func (o *SlotOwner) Update(m Members) { o.ref.Tell(NewMembersChanged(m)) }

// SetTargets sets the targets of a region, as listed by the platform.
func (o *SlotOwner) SetTargets(r ident.Region, targets []steer.Target) {
	o.ref.Tell(slotTargets{region: r, targets: targets})
}

// SetServices sets the service settings of a region.
func (o *SlotOwner) SetServices(r ident.Region, services []steer.Service) {
	o.ref.Tell(slotServices{region: r, services: services})
}

// SetCapacity bounds the grants in flight in a region. Zero removes the
// bound.
func (o *SlotOwner) SetCapacity(r ident.Region, capacity int) {
	o.ref.Tell(slotCapacity{region: r, capacity: capacity})
}

// SetDrains sets the targets of a region that operators drain.
func (o *SlotOwner) SetDrains(r ident.Region, drains ident.Set[ident.Target]) {
	o.ref.Tell(slotDrains{region: r, drains: drains})
}

// Observe passes on probe reports about targets of a region.
func (o *SlotOwner) Observe(r ident.Region, reports ...steer.ProbeReport) {
	o.ref.Tell(slotReports{region: r, reports: reports})
}

// ImportMarks sets the marks of suspects from the view.
func (o *SlotOwner) ImportMarks(marks []guard.Mark) { o.ref.Tell(slotMarks{marks: marks}) }

// SlotStatus is a summary of a region that this host owns.
type SlotStatus struct {
	epoch    ident.Epoch
	open     bool
	inFlight int
	waiting  int
}

// Epoch returns the epoch of the assignment, or zero when this host does not
// own the region.
func (s SlotStatus) Epoch() ident.Epoch { return s.epoch }

// IsOpen reports whether slots are granted.
func (s SlotStatus) IsOpen() bool { return s.open }

// InFlight returns the number of grants in use.
func (s SlotStatus) InFlight() int { return s.inFlight }

// Waiting returns the number of queued slot requests.
func (s SlotStatus) Waiting() int { return s.waiting }

// Status returns the summary of a region.
func (o *SlotOwner) Status(ctx context.Context, r ident.Region) (SlotStatus, error) {
	s, err := tasks.Ask(ctx, o.ref, func(reply tasks.Reply[SlotStatus]) any {
		return slotStatusRequest{region: r, reply: reply}
	})
	if err != nil {
		return SlotStatus{}, fmt.Errorf("status of slots in %s: %w", r, err)
	}
	return s, nil
}

// Messages of the slot owner task.
type (
	// slotSelf tells a task its own reference.
	slotSelf    struct{ ref *tasks.Ref }
	slotTicked  struct{}
	slotMarks   struct{ marks []guard.Mark }
	slotTargets struct {
		region  ident.Region
		targets []steer.Target
	}
	slotServices struct {
		region   ident.Region
		services []steer.Service
	}
	slotCapacity struct {
		region   ident.Region
		capacity int
	}
	slotDrains struct {
		region ident.Region
		drains ident.Set[ident.Target]
	}
	slotReports struct {
		region  ident.Region
		reports []steer.ProbeReport
	}
	slotStatusRequest struct {
		region ident.Region
		reply  tasks.Reply[SlotStatus]
	}
	slotAcquire struct {
		args  *SlotAcquireArgs
		reply tasks.Reply[SlotAcquireReply]
	}
	slotRelease struct {
		args  *SlotReleaseArgs
		reply tasks.Reply[SlotReply]
	}
	slotOpen struct {
		args  *SlotOpenArgs
		reply tasks.Reply[SlotReply]
	}
	// slotMarksReplicated carries the result of a replication of marks.
	slotMarksReplicated struct{ err error }
)

// slotServer implements the RPC service. Its methods run in goroutines of
// net/rpc.
type slotServer struct {
	ctx   context.Context
	owner *tasks.Ref
}

// Acquire waits until the slot request is granted or refused.
func (s *slotServer) Acquire(args *SlotAcquireArgs, reply *SlotAcquireReply) error {
	r, err := tasks.Ask(s.ctx, s.owner, func(reply tasks.Reply[SlotAcquireReply]) any {
		return slotAcquire{args: args, reply: reply}
	})
	if err != nil {
		return fmt.Errorf("acquire a slot in %s: %w", args.Region, err)
	}
	*reply = r
	return nil
}

// Release ends a grant or withdraws a slot request. After a crash it returns
// when the marks are in force.
func (s *slotServer) Release(args *SlotReleaseArgs, reply *SlotReply) error {
	r, err := tasks.Ask(s.ctx, s.owner, func(reply tasks.Reply[SlotReply]) any {
		return slotRelease{args: args, reply: reply}
	})
	if err != nil {
		return fmt.Errorf("release a slot in %s: %w", args.Region, err)
	}
	*reply = r
	return nil
}

// Open receives a holder's report of its open grants.
func (s *slotServer) Open(args *SlotOpenArgs, reply *SlotReply) error {
	r, err := tasks.Ask(s.ctx, s.owner, func(reply tasks.Reply[SlotReply]) any {
		return slotOpen{args: args, reply: reply}
	})
	if err != nil {
		return fmt.Errorf("report open slots in %s: %w", args.Region, err)
	}
	*reply = r
	return nil
}
