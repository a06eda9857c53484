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

// SlotOwner owns the slots of the regions whose role this host has. Its task
// holds one pool per region and serves the RPC service Slots. It is safe for
// concurrent use.
type SlotOwner struct {
	ref  *tasks.Ref
	done chan struct{}
}

// StartSlotOwner starts the task and registers its service on the server.
// Marks of suspects go to the marker.
func StartSlotOwner(ctx context.Context, system *tasks.System, server *rpc.Server, marker MarkReplicator,
	list ...SlotOption,
) (*SlotOwner, error) {
	o := newSlotOptions(list)
	t := newSlotOwnerTask(ctx, marker, o)
	ref, err := tasks.Spawn(ctx, system, "entry-slot-owner", t)
	if err != nil {
		return nil, fmt.Errorf("start slot owner: %w", err)
	}
	ref.Tell(slotSelf{ref: ref})
	if err := server.RegisterName(slotService, &slotServer{ctx: ctx, owner: ref}); err != nil {
		ref.Stop()
		return nil, fmt.Errorf("register service %s: %w", slotService, err)
	}
	ticks := tasks.Every(ctx, o.clock, slotTick, ref, slotTicked{})
	return &SlotOwner{ref: ref, done: joinSlotTask(ref, ticks, &t.marking.calls)}, nil
}

// joinSlotTask returns a channel that is closed when the task, its ticks and
// the calls that it started have ended. Only the task starts calls.
func joinSlotTask(ref *tasks.Ref, ticks <-chan struct{}, calls *sync.WaitGroup) chan struct{} {
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

// Update tells the task which members are current.
func (o *SlotOwner) Update(m Members) { o.ref.Tell(NewMembersChanged(m)) }

// SetTargets gives the platform's list of the targets of a region.
func (o *SlotOwner) SetTargets(r ident.Region, targets []steer.Target) {
	o.ref.Tell(slotTargets{region: r, targets: targets})
}

// SetServices gives the settings of the services of a region.
func (o *SlotOwner) SetServices(r ident.Region, services []steer.Service) {
	o.ref.Tell(slotServices{region: r, services: services})
}

// SetCapacity bounds the grants in flight in a region. Zero removes the
// bound.
func (o *SlotOwner) SetCapacity(r ident.Region, capacity int) {
	o.ref.Tell(slotCapacity{region: r, capacity: capacity})
}

// SetDrains gives the set of targets of a region that operators drain.
func (o *SlotOwner) SetDrains(r ident.Region, drains ident.Set[ident.Target]) {
	o.ref.Tell(slotDrains{region: r, drains: drains})
}

// Observe gives reports of probes of targets in a region.
func (o *SlotOwner) Observe(r ident.Region, reports ...steer.Report) {
	o.ref.Tell(slotReports{region: r, reports: reports})
}

// ImportMarks gives marks of suspects from the view.
func (o *SlotOwner) ImportMarks(marks []guard.Mark) { o.ref.Tell(slotMarks{marks: marks}) }

// SlotStatus is a summary of a region that this host owns.
type SlotStatus struct {
	epoch    ident.Epoch
	open     bool
	inFlight int
	waiting  int
}

// Epoch returns the number of the assignment, or zero when this host does
// not own the region.
func (s SlotStatus) Epoch() ident.Epoch { return s.epoch }

// IsOpen reports whether slots are granted.
func (s SlotStatus) IsOpen() bool { return s.open }

// InFlight returns the number of grants in use.
func (s SlotStatus) InFlight() int { return s.inFlight }

// Waiting returns the number of asks in the queues.
func (s SlotStatus) Waiting() int { return s.waiting }

// Status returns the summary of a region.
func (o *SlotOwner) Status(ctx context.Context, r ident.Region) (SlotStatus, error) {
	s, err := tasks.Ask(ctx, o.ref, func(reply tasks.Reply[SlotStatus]) any {
		return slotStatusOf{region: r, reply: reply}
	})
	if err != nil {
		return SlotStatus{}, fmt.Errorf("status of slots in %s: %w", r, err)
	}
	return s, nil
}

// Messages of the slot owner task.
type (
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
		reports []steer.Report
	}
	slotStatusOf struct {
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
	// slotMarked reports the end of a replication of marks.
	slotMarked struct{ err error }
)

// slotServer is the RPC service. Its methods run in goroutines of net/rpc.
type slotServer struct {
	ctx   context.Context
	owner *tasks.Ref
}

// Acquire waits until the ask is granted or refused.
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

// Release ends a grant or withdraws an ask. After a crash it returns when the
// marks are in force.
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

// Open takes the report of a holder.
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
