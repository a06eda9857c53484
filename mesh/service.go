package mesh

import (
	"context"
	"fmt"

	"rhubarbrack/tasks"
)

// service receives the calls of other hosts.
type service struct {
	control *Control
	ctx     context.Context
}

// Greet takes the report of an entry host.
func (s *service) Greet(args *HeartbeatRecord, reply *HeartbeatReplyRecord) error {
	return answer(s, reply, func(r tasks.Reply[HeartbeatReplyRecord]) any { return greet{record: *args, reply: r} })
}

// Fetch returns the orders that this host has applied.
func (s *service) Fetch(_ *EmptyRecord, reply *StateRecord) error {
	return answer(s, reply, func(r tasks.Reply[StateRecord]) any { return fetch{reply: r} })
}

// Targets returns the list of targets, or what has changed of it.
func (s *service) Targets(args *ListRequestRecord, reply *ListRecord) error {
	return answer(s, reply, func(r tasks.Reply[ListRecord]) any { return targets{have: args.Tag, reply: r} })
}

// Join notes that a control host wants to become a member.
func (s *service) Join(args *JoinRecord, reply *JoinReplyRecord) error {
	return answer(s, &reply.Controls, func(r tasks.Reply[[]string]) any { return join{record: *args, reply: r} })
}

// Borrow takes a token of a team's rate, on the leader.
func (s *service) Borrow(args *TokenRequestRecord, reply *TokenReplyRecord) error {
	return answer(s, &reply.Granted, func(r tasks.Reply[bool]) any { return borrow{record: *args, reply: r} })
}

// Submit carries out an order on the leader.
func (s *service) Submit(args *SubmitRecord, reply *SubmitReplyRecord) error {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	revision, _, err := s.control.replica.Propose(ctx, args.Order)
	if err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	reply.Revision = uint64(revision)
	return nil
}

// Read returns the newest orders, confirmed with a majority.
func (s *service) Read(_ *EmptyRecord, reply *StateRecord) error {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	r, err := s.control.readHere(ctx)
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	*reply = r
	return nil
}

func answer[T any](s *service, reply *T, build func(tasks.Reply[T]) any) error {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	r, err := tasks.Ask(ctx, s.control.ref, build)
	if err != nil {
		return fmt.Errorf("ask the hub: %w", err)
	}
	*reply = r
	return nil
}
