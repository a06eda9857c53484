package ctrl

import (
	"context"
	"fmt"
	"net/rpc"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/clock"
	"rhubarbrack/codec"
	"rhubarbrack/ident"
	"rhubarbrack/prof"
	"rhubarbrack/state"
)

const (
	// maxPollWait bounds how long the leader holds a poll. It must leave
	// several polls within a lease.
	maxPollWait = 500 * time.Millisecond
	// barrierTimeout bounds the confirmation of leadership for one poll.
	barrierTimeout = time.Second
	// maxProposeTimeout bounds the wait for a commit.
	maxProposeTimeout = 10 * time.Second
)

// ReplicatedLog commits changes and confirms leadership. A Replica is one.
type ReplicatedLog interface {
	// Propose commits a change and returns the result of applying it.
	Propose(ctx context.Context, data []byte) (ident.Revision, any, error)
	// Barrier returns a revision that holds every change acknowledged before
	// the call.
	Barrier(ctx context.Context) (ident.Revision, error)
	// Status returns what the replica knows about the cluster.
	Status(ctx context.Context) (Status, error)
	// AddMember adds a control host, first as a learner.
	AddMember(ctx context.Context, host ident.Host, address string) error
	// RemoveMember removes a control host.
	RemoveMember(ctx context.Context, host ident.Host) error
	// TransferLeadership hands the leadership to another voter.
	TransferLeadership(ctx context.Context, target ident.Host) error
}

var _ ReplicatedLog = (*Replica)(nil)

// Proposer stamps commands with the time of this host and commits them. It is
// safe for concurrent use.
type Proposer struct {
	log   ReplicatedLog
	clock clock.Clock
	base  time.Time
}

// NewProposer returns a proposer on top of a log.
func NewProposer(log ReplicatedLog, c clock.Clock) *Proposer {
	return &Proposer{log: log, clock: c, base: c.Now()}
}

// now returns the time by the monotonic clock since the start. Claims and
// outcomes expire by it, so a jump of the machine's clock must not reach it.
func (p *Proposer) now() time.Time { return p.base.Add(p.clock.Now().Sub(p.base)) }

// Propose commits a command. The error matches ErrNotLeader or ErrUnknown as
// that of Replica.Propose does; refusals and conflicts are outcomes.
func (p *Proposer) Propose(ctx context.Context, command state.Command) (state.Outcome, error) {
	data, err := codec.EncodeCommand(state.Stamp(command, p.now()))
	if err != nil {
		return state.Outcome{}, fmt.Errorf("encode %s: %w", command.Kind(), err)
	}
	_, result, err := p.log.Propose(ctx, data)
	if err != nil {
		return state.Outcome{}, fmt.Errorf("commit %s: %w", command.Kind(), err)
	}
	outcome, ok := result.(state.Outcome)
	if !ok {
		return state.Outcome{}, fmt.Errorf("commit %s: result has type %T", command.Kind(), result)
	}
	return outcome, nil
}

// Service answers the calls of entry hosts on a control host.
type Service struct {
	ctx      context.Context
	log      ReplicatedLog
	proposer *Proposer
	feed     *ConfigPublisher
	leader   *Leader
	clock    clock.Clock
}

// Register adds the service to an RPC server. Calls end with ctx.
func Register(ctx context.Context, server *rpc.Server, log ReplicatedLog, feed *ConfigPublisher, leader *Leader, c clock.Clock) error {
	s := &Service{ctx: ctx, log: log, proposer: NewProposer(log, c), feed: feed, leader: leader, clock: c}
	if err := server.RegisterName(pollService, s); err != nil {
		return fmt.Errorf("register %s: %w", pollService, err)
	}
	return nil
}

// Poll is an RPC method. It waits for a newer revision, confirms leadership
// with a majority, and answers with what changed and a lease.
func (s *Service) Poll(args *PollArgs, reply *PollReply) error {
	arrived := s.clock.Now()
	// What the process has applied counts at once, so that waiting for a newer
	// revision does not delay the word that this one is in force.
	s.leader.note(*args, arrived)
	wait := min(max(args.Wait, 0), maxPollWait)
	ctx, cancel := context.WithTimeout(s.ctx, wait)
	s.feed.WaitNewer(ctx, args.Revision)
	cancel()
	ctx, cancel = context.WithTimeout(s.ctx, barrierTimeout)
	defer cancel()
	if _, err := s.log.Barrier(ctx); err != nil {
		reply.Verdict = ResultNotLeader
		reply.Leader, reply.Address = leaderOf(err)
		return nil
	}
	changes, err := s.feed.ChangesSince(ctx, args.Revision)
	if err != nil || changes.Revision() < args.Revision {
		reply.Verdict = ResultNotLeader
		return nil
	}
	granted := s.leader.renew(ctx, *args, arrived)
	if !granted.leads {
		reply.Verdict = ResultNotLeader
		return nil
	}
	reply.Verdict, reply.Lease, reply.RoleLease = ResultServed, granted.lease, granted.roles
	reply.Revision, reply.Deltas, reply.Snapshot = changes.Revision(), changes.Deltas(), changes.Snapshot()
	return nil
}

// Propose is an RPC method. It commits a command when this host leads.
func (s *Service) Propose(args *ProposeArgs, reply *ProposeReply) error {
	command, err := codec.DecodeCommand(args.Command)
	if err != nil {
		reply.Verdict, reply.Error = ResultInvalid, err.Error()
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, min(max(args.Timeout, 0), maxProposeTimeout))
	defer cancel()
	outcome, err := s.proposer.Propose(ctx, command)
	if err != nil {
		reply.Verdict, reply.Error = verdictOf(err), err.Error()
		reply.Leader, reply.Address = leaderOf(err)
		return nil
	}
	data, err := codec.EncodeOutcome(outcome)
	if err != nil {
		return fmt.Errorf("encode outcome: %w", err)
	}
	reply.Verdict, reply.Revision, reply.Outcome = ResultServed, outcome.Revision(), data
	return nil
}

// InForce is an RPC method. It returns when every entry host with a lease has
// applied the revision, or which ones have not when the wait ends.
func (s *Service) InForce(args *InForceArgs, reply *InForceReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, min(max(args.Wait, 0), maxProposeTimeout))
	defer cancel()
	progress, err := s.leader.InForce(ctx, args.Revision)
	if err != nil {
		reply.Verdict = ResultNotLeader
		return nil
	}
	reply.Verdict, reply.Reached, reply.Behind = ResultServed, progress.Reached(), progress.Behind()
	return nil
}

// Read is an RPC method. It returns the state as of a revision that a majority
// confirmed after the call.
func (s *Service) Read(args *ReadArgs, reply *ReadReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, barrierTimeout)
	defer cancel()
	if _, err := s.log.Barrier(ctx); err != nil {
		reply.Verdict = ResultNotLeader
		reply.Leader, reply.Address = leaderOf(err)
		return nil
	}
	status, err := s.leader.Status(ctx)
	if err != nil || !status.Leads() {
		reply.Verdict = ResultNotLeader
		return nil
	}
	config, err := s.feed.Config(ctx)
	if err != nil {
		reply.Verdict = ResultNotLeader
		return nil
	}
	data, err := codec.EncodeConfig(config)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	reply.Verdict, reply.Config = ResultServed, data
	reply.InForce, reply.Applied, reply.Events = status.InForce(), status.applied(), eventRecords(status.Events())
	reply.History = s.feed.history(ctx, prof.Kind(args.Kind), args.Name)
	s.controls(ctx, reply)
	return nil
}

// Member is an RPC method. It adds or removes a control host. A call that is
// repeated goes on where an earlier one stopped.
func (s *Service) Member(args *MemberArgs, reply *MemberReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, min(max(args.Timeout, 0), maxProposeTimeout))
	defer cancel()
	err := s.changeMember(ctx, args)
	if args.Remove && err != nil {
		// A leader cannot remove itself. After the transfer the caller asks the
		// next one.
		if status, fault := s.log.Status(ctx); fault == nil && status.Leader() == args.Host {
			err = errors.Annotate(s.log.TransferLeadership(ctx, ""), "hand over before removal")
			if err == nil {
				err = ErrNotLeader
			}
		}
	}
	switch {
	case err == nil:
		reply.Verdict = ResultServed
	case errors.Is(err, ErrNotLeader):
		reply.Verdict = ResultNotLeader
		reply.Leader, reply.Address = leaderOf(err)
	default:
		reply.Verdict, reply.Error = ResultUnknown, err.Error()
	}
	return nil
}

func (s *Service) changeMember(ctx context.Context, args *MemberArgs) error {
	if args.Remove {
		if err := s.log.RemoveMember(ctx, args.Host); err != nil {
			return fmt.Errorf("remove control host %s: %w", args.Host, err)
		}
		return nil
	}
	if err := s.log.AddMember(ctx, args.Host, args.Address); err != nil {
		return fmt.Errorf("add control host %s: %w", args.Host, err)
	}
	return nil
}

// controls adds what the replica knows of the control hosts.
func (s *Service) controls(ctx context.Context, reply *ReadReply) {
	status, err := s.log.Status(ctx)
	if err != nil {
		return
	}
	reply.Term = uint64(status.Term())
	for _, m := range status.Members() {
		reply.Controls = append(reply.Controls, ControlHostRecord{
			Host: m.Member().Host(), Address: m.Member().Address(), Voter: m.Member().IsVoter(),
			Match: m.Match(), Contact: m.LastContact(), IsLeader: m.Member().Host() == status.Leader(),
		})
	}
}

func eventRecords(events []Event) []EventRecord {
	out := make([]EventRecord, 0, len(events))
	for _, e := range events {
		out = append(out, EventRecord{At: e.at, Kind: e.kind, Detail: e.detail, Reason: e.reason, Error: e.err})
	}
	return out
}

// verdictOf maps the error of a proposal. Everything that is not certainly
// without effect is unknown.
func verdictOf(err error) CallResult {
	if errors.Is(err, ErrNotLeader) || errors.Is(err, ErrNotCommitted) {
		return ResultNotLeader
	}
	return ResultUnknown
}

// leaderOf returns the leader that an error names, and where it is reached.
func leaderOf(err error) (ident.Host, string) {
	var refused *NotLeaderError
	if errors.As(err, &refused) {
		return refused.Leader(), refused.Address()
	}
	return "", ""
}
