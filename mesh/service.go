package mesh

import (
	"context"
	"errors"
	"fmt"

	"rhubarbrack/ident"
	"rhubarbrack/patch"
	"rhubarbrack/tasks"
)

// service implements the net/rpc methods for other hosts.
type service struct {
	control *Control
	ctx     context.Context
}

// Greet receives the heartbeat of an entry host.
func (s *service) Greet(args *HeartbeatRecord, reply *HeartbeatReplyRecord) error {
	// The status is read before the state, which is then no older.
	isCurrent := args.Ready || s.control.isCurrent(s.ctx)
	return askRegistry(s, reply, func(r tasks.Reply[HeartbeatReplyRecord]) any {
		return heartbeat{record: *args, isCurrent: isCurrent, reply: r}
	})
}

// Piece returns a piece of a configuration.
func (s *service) Piece(args *PieceRequestRecord, reply *PieceRecord) error {
	return askTask(s.ctx, s.control.archive, reply, func(r tasks.Reply[PieceRecord]) any {
		return getPiece{request: args.request(), reply: r}
	})
}

// Fetch returns the desired state that this host has applied, for entry hosts
// of earlier releases, which do not fetch configurations in pieces.
func (s *service) Fetch(_ *EmptyRecord, reply *StateRecord) error {
	return askRegistry(s, reply, func(r tasks.Reply[StateRecord]) any { return getState{reply: r} })
}

// Targets returns the list of targets, or its changes.
func (s *service) Targets(args *ListRequestRecord, reply *ListRecord) error {
	return askRegistry(s, reply, func(r tasks.Reply[ListRecord]) any {
		return getTargets{have: args.Tag, takesPacked: args.TakesPacked, reply: r}
	})
}

// Join receives the join request of a control host.
func (s *service) Join(args *JoinRecord, reply *JoinReplyRecord) error {
	return askRegistry(s, &reply.Controls, func(r tasks.Reply[[]string]) any { return requestJoin{record: *args, reply: r} })
}

// Leave receives the announcement of a control host that is about to stop, on the
// leader.
func (s *service) Leave(args *LeaveRecord, reply *LeaveReplyRecord) error {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	removed, err := s.control.acceptDeparture(ctx, ident.Host(args.Host))
	if err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	reply.Removed = removed
	return nil
}

// Borrow takes a token of a team's rate, on the leader.
func (s *service) Borrow(args *TokenRequestRecord, reply *TokenReplyRecord) error {
	return askRegistry(s, &reply.Granted, func(r tasks.Reply[bool]) any { return requestToken{record: *args, reply: r} })
}

// Submit proposes a command on the leader.
func (s *service) Submit(args *SubmitRecord, reply *SubmitReplyRecord) error {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	revision, err := s.control.proposeCommand(ctx, args.Order, args.asOf())
	if errors.Is(err, ErrSuperseded) {
		reply.Superseded = true
		return nil
	}
	if err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	reply.Revision = uint64(revision)
	return nil
}

// SubmitPacked proposes a packed command on the leader.
func (s *service) SubmitPacked(args *PackedSubmitRecord, reply *SubmitReplyRecord) error {
	command, err := patch.Decode(nil, args.Packed, args.Digest)
	if err != nil {
		return fmt.Errorf("unpack command: %w", err)
	}
	return s.Submit(&SubmitRecord{Order: command}, reply)
}

// Read serves control hosts of earlier releases like ReadSince.
func (s *service) Read(_ *EmptyRecord, reply *StateRecord) error {
	return s.ReadSince(&ReadRecord{}, reply)
}

// ReadSince returns the newest desired state, confirmed by a majority, without
// the configuration if the sender has it.
func (s *service) ReadSince(args *ReadRecord, reply *StateRecord) error {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	r, err := s.control.readLocal(ctx)
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	if r.Version == args.Version {
		r.Source = nil
	}
	if args.TakesPacked {
		if r, err = r.pack(); err != nil {
			return fmt.Errorf("read: %w", err)
		}
	}
	*reply = r
	return nil
}

// askRegistry sends a message to the registry and waits for its reply.
func askRegistry[T any](s *service, reply *T, build func(tasks.Reply[T]) any) error {
	return askTask(s.ctx, s.control.ref, reply, build)
}

// askTask sends a message to a task and waits for its reply.
func askTask[T any](ctx context.Context, ref *tasks.Ref, reply *T, build func(tasks.Reply[T]) any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := tasks.Ask(ctx, ref, build)
	if err != nil {
		return fmt.Errorf("ask task: %w", err)
	}
	*reply = r
	return nil
}
