package ctrl

import (
	"context"
	"errors"
	"fmt"

	"rhubarbrack/agree"
	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// AddMember adds a host, first as a learner and, once it has caught up, as a
// voter. The host must be running with an empty disk, or with the disk that it
// had when it was removed. A retry after a failure resumes where the previous
// call stopped.
func (r *Replica) AddMember(ctx context.Context, host ident.Host, address string) error {
	if err := r.addMember(ctx, host, address); err != nil {
		return fmt.Errorf("add member %s: %w", host, err)
	}
	return nil
}

func (r *Replica) addMember(ctx context.Context, host ident.Host, address string) error {
	disk, err := r.identify(ctx, host, address)
	if err != nil {
		return fmt.Errorf("learn its disk: %w", err)
	}
	member, known, err := r.confirmedMember(ctx, host)
	if err != nil {
		return fmt.Errorf("look up member: %w", err)
	}
	if known && member.DiskID() != disk {
		return fmt.Errorf("%w: %s", ErrIdentityMismatch, host)
	}
	learner := agree.NewMember(host, address, disk, false)
	if !known {
		if err := r.commitMemberChange(ctx, agree.ChangeAdd, learner); err != nil {
			return fmt.Errorf("add learner: %w", err)
		}
	}
	if member.IsVoter() {
		return nil
	}
	if err := r.commitMemberChange(ctx, agree.ChangePromote, learner); err != nil {
		return fmt.Errorf("promote learner: %w", err)
	}
	return nil
}

// RemoveMember removes a host. It has no effect on a host that is no member.
// A leader must transfer its leadership before its own host can be removed.
func (r *Replica) RemoveMember(ctx context.Context, host ident.Host) error {
	_, known, err := r.confirmedMember(ctx, host)
	if err == nil && known {
		err = r.commitMemberChange(ctx, agree.ChangeRemove, agree.NewMember(host, "", 0, false))
	}
	if err != nil {
		return fmt.Errorf("remove member %s: %w", host, err)
	}
	return nil
}

// confirmedMember returns a member after a majority has confirmed the
// leadership.
func (r *Replica) confirmedMember(ctx context.Context, host ident.Host) (agree.Member, bool, error) {
	if _, err := r.Barrier(ctx); err != nil {
		return agree.Member{}, false, fmt.Errorf("confirm leadership: %w", err)
	}
	s, err := r.Status(ctx)
	if err != nil {
		return agree.Member{}, false, fmt.Errorf("read membership: %w", err)
	}
	for _, m := range s.Members() {
		if m.Member().Host() == host {
			return m.Member(), true, nil
		}
	}
	return agree.Member{}, false, nil
}

// commitMemberChange commits a membership change. It retries while the node
// refuses the change for a temporary reason.
func (r *Replica) commitMemberChange(ctx context.Context, kind agree.ChangeKind, member agree.Member) error {
	for {
		result, err := askTask(ctx, r, func(reply tasks.Reply[requestResult]) any {
			return changeMember{kind: kind, member: member, reply: reply}
		})
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		canRetry := errors.Is(result.err, agree.ErrNotCaughtUp) || errors.Is(result.err, agree.ErrChangePending) ||
			errors.Is(result.err, agree.ErrTransferring)
		if result.err == nil {
			return nil
		}
		if !canRetry {
			return fmt.Errorf("change membership: %w", result.err)
		}
		if !clock.Sleep(ctx, r.options.clock, r.options.tickInterval) {
			return fmt.Errorf("%w: %w", result.err, ctx.Err())
		}
	}
}

// Confirm asks the host at an address for its name. The error matches
// ErrIdentityMismatch if another host answers.
func (r *Replica) Confirm(ctx context.Context, host ident.Host, address string) error {
	if _, err := r.identify(ctx, host, address); err != nil {
		return fmt.Errorf("confirm host %s: %w", host, err)
	}
	return nil
}

// identify asks a host for the identity of its disk.
func (r *Replica) identify(ctx context.Context, host ident.Host, address string) (agree.DiskID, error) {
	client, err := r.dial(ctx, address)
	if err != nil {
		return 0, fmt.Errorf("identify: %w", err)
	}
	defer client.Close()
	callCtx, cancel := context.WithTimeout(ctx, r.options.callTimeout)
	defer cancel()
	var identity IdentityRecord
	if err := client.Call(callCtx, methodIdentify, &IdentifyRecord{}, &identity); err != nil {
		return 0, fmt.Errorf("identify: %w", err)
	}
	if ident.Host(identity.Host) != host {
		return 0, fmt.Errorf("%w: %s is the address of %s", ErrIdentityMismatch, address, identity.Host)
	}
	return agree.DiskID(identity.Disk), nil
}
