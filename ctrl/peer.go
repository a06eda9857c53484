package ctrl

import (
	"context"
	"fmt"
	"time"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// Names of the calls between replicas.
const (
	serviceName    = "Replica"
	methodDeliver  = serviceName + ".Deliver"
	methodChunk    = serviceName + ".Chunk"
	methodIdentify = serviceName + ".Identify"
)

// identity tells who a replica is.
type identity struct {
	disk    agree.DiskID
	formed  agree.Members
	members agree.Members
}

// peerService receives the calls of other replicas and passes them to the
// replica task.
type peerService struct {
	task    *tasks.Ref
	host    ident.Host
	initial []string
	timeout time.Duration
}

func newPeerService(task *tasks.Ref, host ident.Host, o replicaOptions) *peerService {
	return &peerService{task: task, host: host, initial: initialHosts(o.formation), timeout: o.callTimeout}
}

func initialHosts(peers []Peer) []string {
	hosts := ident.NewSet[string]()
	for _, p := range peers {
		hosts.Add(string(p.host))
	}
	return hosts.Sorted()
}

// Deliver takes messages. The answers to them are messages too.
func (s *peerService) Deliver(args *BatchRecord, _ *AckRecord) error {
	m := received{
		from: ident.Host(args.From), address: args.Address, session: args.Session, sequence: args.Sequence,
		messages: make([]agree.Message, 0, len(args.Messages)),
	}
	for _, r := range args.Messages {
		m.messages = append(m.messages, r.message())
	}
	s.task.Tell(m)
	return nil
}

// Chunk takes a part of a snapshot.
func (s *peerService) Chunk(args *ChunkRecord, reply *ChunkAckRecord) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	accepted, err := tasks.Ask(ctx, s.task, func(r tasks.Reply[bool]) any { return chunk{record: args, reply: r} })
	if err != nil {
		return fmt.Errorf("take part of a snapshot: %w", err)
	}
	reply.Accepted = accepted
	return nil
}

// Identify tells who the host is.
func (s *peerService) Identify(_ *IdentifyRecord, reply *IdentityRecord) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	i, err := tasks.Ask(ctx, s.task, func(r tasks.Reply[identity]) any { return askIdentity{reply: r} })
	if err != nil {
		return fmt.Errorf("identify: %w", err)
	}
	*reply = IdentityRecord{
		Host: string(s.host), Disk: uint64(i.disk), Initial: s.initial,
		Formed: fromMembers(i.formed), Members: fromMembers(i.members),
	}
	return nil
}
