package ctrl

import (
	"context"
	"fmt"
	"time"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// Names of the RPC service and its methods between replicas.
const (
	serviceName         = "Replica"
	methodDeliver       = serviceName + ".Deliver"
	methodDeliverPacked = serviceName + ".DeliverPacked"
	methodChunk         = serviceName + ".Chunk"
	methodChunkPacked   = serviceName + ".ChunkPacked"
	methodIdentify      = serviceName + ".Identify"
)

// identity identifies a replica and its cluster.
type identity struct {
	disk    agree.DiskID
	formed  agree.Members
	members agree.Members
}

// peerService is the RPC service for other replicas. It passes their calls to
// the replica task.
type peerService struct {
	task    *tasks.Ref
	host    ident.Host
	initial []string
	timeout time.Duration
}

func newPeerService(task *tasks.Ref, host ident.Host, o replicaOptions) *peerService {
	return &peerService{task: task, host: host, initial: initialHosts(o.initialPeers), timeout: o.callTimeout}
}

func initialHosts(peers []Peer) []string {
	hosts := ident.NewSet[string]()
	for _, p := range peers {
		hosts.Add(string(p.host))
	}
	return hosts.Sorted()
}

// Deliver is an RPC method. It receives messages. Responses to them are sent as
// messages too.
func (s *peerService) Deliver(args *BatchRecord, reply *AckRecord) error {
	reply.TakesPacked = true
	m := batchReceived{
		from: ident.Host(args.From), address: args.Address, session: args.Session, sequence: args.Sequence,
		messages: make([]agree.Message, 0, len(args.Messages)),
	}
	for _, r := range args.Messages {
		m.messages = append(m.messages, r.message())
	}
	s.task.Tell(m)
	return nil
}

// DeliverPacked is an RPC method. It receives messages with packed data. Hosts of
// earlier releases, which would take it for empty data, lack the method.
func (s *peerService) DeliverPacked(args *BatchRecord, reply *AckRecord) error {
	if err := args.unpack(); err != nil {
		return fmt.Errorf("take messages: %w", err)
	}
	return s.Deliver(args, reply)
}

// ChunkPacked is an RPC method. It receives a packed chunk of a snapshot.
func (s *peerService) ChunkPacked(args *ChunkRecord, reply *ChunkAckRecord) error {
	if err := args.unpack(); err != nil {
		return fmt.Errorf("take part of a snapshot: %w", err)
	}
	return s.Chunk(args, reply)
}

// Chunk is an RPC method. It receives a chunk of a snapshot.
func (s *peerService) Chunk(args *ChunkRecord, reply *ChunkAckRecord) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	accepted, err := tasks.Ask(ctx, s.task, func(r tasks.Reply[bool]) any { return chunkReceived{record: args, reply: r} })
	if err != nil {
		return fmt.Errorf("take part of a snapshot: %w", err)
	}
	reply.Accepted = accepted
	return nil
}

// Identify is an RPC method. It returns the identity of the host and its
// cluster.
func (s *peerService) Identify(_ *IdentifyRecord, reply *IdentityRecord) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	i, err := tasks.Ask(ctx, s.task, func(r tasks.Reply[identity]) any { return getIdentity{reply: r} })
	if err != nil {
		return fmt.Errorf("identify: %w", err)
	}
	*reply = IdentityRecord{
		Host: string(s.host), Disk: uint64(i.disk), Initial: s.initial,
		Formed: fromMembers(i.formed), Members: fromMembers(i.members),
	}
	return nil
}
