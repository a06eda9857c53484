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
	// maxPollWait bounds how long the leader holds a poll. It must allow several
	// polls per lease.
	maxPollWait = 500 * time.Millisecond
	// barrierTimeout bounds the confirmation of the leadership for one call.
	barrierTimeout = time.Second
	// maxProposeTimeout bounds the wait for a commit.
	maxProposeTimeout = 10 * time.Second
)

// ReplicatedLog commits commands and confirms the leadership. It is implemented
// by Replica.
type ReplicatedLog interface {
	// Propose commits a command and returns its revision and the result of
	// applying it.
	Propose(ctx context.Context, data []byte) (ident.Revision, any, error)
	// Barrier returns a revision that includes every command acknowledged before
	// the call.
	Barrier(ctx context.Context) (ident.Revision, error)
	// Status returns the status of the replica and its view of the cluster.
	Status(ctx context.Context) (Status, error)
	// AddMember adds a control host, first as a learner.
	AddMember(ctx context.Context, host ident.Host, address string) error
	// RemoveMember removes a control host.
	RemoveMember(ctx context.Context, host ident.Host) error
	// TransferLeadership transfers the leadership to another voter.
	TransferLeadership(ctx context.Context, target ident.Host) error
}

var _ ReplicatedLog = (*Replica)(nil)

// Proposer adds the time of this host to commands and commits them. It is safe
// for concurrent use.
type Proposer struct {
	log   ReplicatedLog
	clock clock.Clock
	start time.Time
}

// NewProposer returns a proposer on top of a log.
func NewProposer(log ReplicatedLog, c clock.Clock) *Proposer {
	return &Proposer{log: log, clock: c, start: c.Now()}
}

// now returns the start time plus the monotonic time since then. It decides when
// claims and outcomes expire, so a step of the wall clock must not affect it.
func (p *Proposer) now() time.Time { return p.start.Add(p.clock.Now().Sub(p.start)) }

// Propose commits a command. Errors match those of Replica.Propose. Refusals and
// conflicts are not errors but outcomes.
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

// Service is the RPC service of a control host for entry hosts.
type Service struct {
	ctx       context.Context
	log       ReplicatedLog
	proposer  *Proposer
	publisher *ConfigPublisher
	leader    *Leader
	clock     clock.Clock
}

// Register registers the service on an RPC server. Calls end with ctx.
func Register(
	ctx context.Context, server *rpc.Server, log ReplicatedLog, publisher *ConfigPublisher, leader *Leader, c clock.Clock,
) error {
	s := &Service{ctx: ctx, log: log, proposer: NewProposer(log, c), publisher: publisher, leader: leader, clock: c}
	if err := server.RegisterName(followServiceName, s); err != nil {
		return fmt.Errorf("register %s: %w", followServiceName, err)
	}
	return nil
}

// Poll is an RPC method. It waits for a newer revision, confirms the leadership
// with a majority, and returns the changes and a lease.
func (s *Service) Poll(args *PollArgs, reply *PollReply) error {
	arrived := s.clock.Now()
	// The revision that the process has applied is recorded before the wait for
	// a newer one, so that the wait does not delay the report that this revision
	// is in force.
	s.leader.recordPoll(*args, arrived)
	wait := min(max(args.Wait, 0), maxPollWait)
	ctx, cancel := context.WithTimeout(s.ctx, wait)
	s.publisher.WaitNewer(ctx, args.Revision)
	cancel()
	ctx, cancel = context.WithTimeout(s.ctx, barrierTimeout)
	defer cancel()
	if _, err := s.log.Barrier(ctx); err != nil {
		reply.Verdict = ResultNotLeader
		reply.Leader, reply.Address = leaderFromError(err)
		return nil
	}
	changes, err := s.publisher.ChangesSince(ctx, args.Revision)
	if err != nil || changes.Revision() < args.Revision {
		reply.Verdict = ResultNotLeader
		return nil
	}
	granted := s.leader.renewLease(ctx, *args, arrived)
	if !granted.leads {
		reply.Verdict = ResultNotLeader
		return nil
	}
	reply.Verdict, reply.Lease, reply.RoleLease = ResultServed, granted.lease, granted.roleLease
	reply.Revision, reply.Deltas, reply.Snapshot = changes.Revision(), changes.Deltas(), changes.Snapshot()
	return nil
}

// Propose is an RPC method. It commits a command if this host leads.
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
		reply.Verdict, reply.Error = resultOf(err), err.Error()
		reply.Leader, reply.Address = leaderFromError(err)
		return nil
	}
	data, err := codec.EncodeOutcome(outcome)
	if err != nil {
		return fmt.Errorf("encode outcome: %w", err)
	}
	reply.Verdict, reply.Revision, reply.Outcome = ResultServed, outcome.Revision(), data
	return nil
}

// InForce is an RPC method. It waits until every entry host with a lease has
// applied the revision. If the wait ends first, the reply lists the hosts that
// have not.
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
		reply.Leader, reply.Address = leaderFromError(err)
		return nil
	}
	status, err := s.leader.Status(ctx)
	if err != nil || !status.Leads() {
		reply.Verdict = ResultNotLeader
		return nil
	}
	config, err := s.publisher.Config(ctx)
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
	reply.History = s.publisher.history(ctx, prof.Kind(args.Kind), args.Name)
	s.addControlHosts(ctx, reply)
	return nil
}

// Member is an RPC method. It adds or removes a control host. A retry resumes
// where an earlier call stopped.
func (s *Service) Member(args *MemberArgs, reply *MemberReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, min(max(args.Timeout, 0), maxProposeTimeout))
	defer cancel()
	err := s.changeMember(ctx, args)
	if args.Remove && err != nil {
		// A leader cannot remove itself. After the transfer, the caller retries
		// at the new leader.
		if status, statusErr := s.log.Status(ctx); statusErr == nil && status.Leader() == args.Host {
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
		reply.Leader, reply.Address = leaderFromError(err)
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

// addControlHosts adds the status of the control hosts to a reply.
func (s *Service) addControlHosts(ctx context.Context, reply *ReadReply) {
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

// resultOf returns the result for an error of a proposal. It is unknown unless
// the proposal certainly had no effect.
func resultOf(err error) CallResult {
	if errors.Is(err, ErrNotLeader) || errors.Is(err, ErrNotCommitted) {
		return ResultNotLeader
	}
	return ResultUnknown
}

// leaderFromError returns the leader that an error names and its address.
func leaderFromError(err error) (ident.Host, string) {
	var refused *NotLeaderError
	if errors.As(err, &refused) {
		return refused.Leader(), refused.Address()
	}
	return "", ""
}
