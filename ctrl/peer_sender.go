package ctrl

import (
	"context"
	"fmt"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

const (
	// queuedMessages bounds the messages that wait for a peer. The protocol
	// repeats what is dropped.
	queuedMessages = 256
	// senderCalls bounds the calls in flight to a peer. With one, a message
	// could wait a round trip before it leaves.
	senderCalls = 8
	// batchBytes bounds the entries of one call.
	batchBytes = 4 << 20
	// defaultChunkBytes is the size of the parts in which a snapshot is sent.
	defaultChunkBytes = 1 << 20
)

// outgoing is a message with the address of this host.
type outgoing struct {
	message agree.Message
	own     string
}

// sender carries messages to one peer. Batches are numbered, so that the peer
// can restore their order. Snapshots go in parallel, so that they do not delay
// heartbeats.
type sender struct {
	host      ident.Host
	address   string
	options   replicaOptions
	client    *wire.Client
	messages  *outbox[outgoing]
	snapshots *outbox[outgoing]
	cancel    context.CancelFunc
	ends      []<-chan struct{}
	session   uint64
	sequence  uint64
	silent    bool
}

func startSender(
	ctx context.Context, system *tasks.System, name string, host ident.Host, address string, o replicaOptions,
) (*sender, error) {
	client, err := wire.StartClient(ctx, system, name, address, o.wire...)
	if err != nil {
		return nil, fmt.Errorf("start sender to %s: %w", host, err)
	}
	inner, cancel := context.WithCancel(ctx)
	s := &sender{
		host: host, address: address, options: o, client: client, cancel: cancel,
		messages: newOutbox[outgoing](queuedMessages), snapshots: newOutbox[outgoing](1),
		// Sessions of a later process of this host have greater numbers.
		session: uint64(o.clock.Now().UnixNano()),
	}
	s.ends = []<-chan struct{}{tasks.Go(inner, s.sendMessages), tasks.Go(inner, s.sendSnapshots)}
	return s, nil
}

// push queues a message without blocking.
func (s *sender) push(m outgoing) {
	if m.message.Kind() == agree.MessageInstallSnapshot {
		s.snapshots.push(m)
		return
	}
	s.messages.push(m)
}

func (s *sender) hasEnded() bool {
	for _, end := range s.ends {
		select {
		case <-end:
		default:
			return false
		}
	}
	return true
}

func (s *sender) wait() {
	for _, end := range s.ends {
		<-end
	}
	<-s.client.Done()
}

// sendMessages sends what has queued up in numbered calls. It waits for the
// ends of its calls before it returns.
func (s *sender) sendMessages(ctx context.Context) {
	defer s.client.Close()
	results := make(chan error, senderCalls)
	open := 0
	defer func() {
		for ; open > 0; open-- {
			s.settle(<-results)
		}
	}()
	for {
		for open == senderCalls || len(results) > 0 {
			s.settle(<-results)
			open--
		}
		batch, ok := s.messages.take(ctx, withinBatch())
		if !ok {
			return
		}
		record := s.record(batch)
		open++
		go func() { results <- s.deliver(ctx, record) }()
	}
}

// withinBatch returns a condition that holds until the entries of the
// messages exceed the size of a batch.
func withinBatch() func(outgoing) bool {
	size := 0
	return func(m outgoing) bool {
		for _, e := range m.message.Entries() {
			size += e.Size()
		}
		return size <= batchBytes
	}
}

func (s *sender) record(batch []outgoing) *BatchRecord {
	record := &BatchRecord{
		From: string(batch[0].message.From()), Address: batch[0].own, Session: s.session, Sequence: s.sequence,
	}
	s.sequence++
	for _, m := range batch {
		record.Messages = append(record.Messages, fromMessage(m.message))
	}
	return record
}

func (s *sender) deliver(ctx context.Context, record *BatchRecord) error {
	call, cancel := context.WithTimeout(ctx, s.options.callTimeout)
	defer cancel()
	if err := s.client.Call(call, methodDeliver, record, &AckRecord{}); err != nil {
		return fmt.Errorf("send to %s: %w", s.host, err)
	}
	return nil
}

// settle starts a new session after a failed call: the peer must not wait for
// a batch that is lost.
func (s *sender) settle(err error) {
	if err != nil {
		s.session++
		s.sequence = 0
	}
	s.note(err)
}

// note logs when the peer becomes silent and when it answers again.
func (s *sender) note(err error) {
	if (err != nil) == s.silent {
		return
	}
	s.silent = err != nil
	if s.silent {
		s.options.logger.Warn("ctrl: peer does not answer", "peer", s.host, "error", err)
	} else {
		s.options.logger.Info("ctrl: peer answers again", "peer", s.host)
	}
}

func (s *sender) sendSnapshots(ctx context.Context) {
	for {
		batch, ok := s.snapshots.take(ctx, nil)
		if !ok {
			return
		}
		if err := s.sendSnapshot(ctx, batch[len(batch)-1]); err != nil {
			s.options.logger.Warn("ctrl: snapshot was not sent", "peer", s.host, "error", err)
		}
	}
}

// sendSnapshot sends a snapshot in parts. When one is lost, the leader sends
// the snapshot again after a while.
func (s *sender) sendSnapshot(ctx context.Context, m outgoing) error {
	snapshot := m.message.Snapshot()
	data := snapshot.Data()
	record := ChunkRecord{
		Message: fromMessage(m.message), Address: m.own, Revision: uint64(snapshot.Revision()),
		Term: uint64(snapshot.Term()), Members: fromMembers(snapshot.Members()), Size: len(data),
	}
	for {
		end := min(record.Offset+s.options.chunkBytes, len(data))
		record.Data = data[record.Offset:end]
		if err := s.sendChunk(ctx, record); err != nil {
			return fmt.Errorf("send part at %d of snapshot %d: %w", record.Offset, record.Revision, err)
		}
		if record.Offset = end; end == len(data) {
			return nil
		}
	}
}

func (s *sender) sendChunk(ctx context.Context, record ChunkRecord) error {
	call, cancel := context.WithTimeout(ctx, s.options.callTimeout)
	defer cancel()
	var ack ChunkAckRecord
	if err := s.client.Call(call, methodChunk, &record, &ack); err != nil {
		return fmt.Errorf("call: %w", err)
	}
	if !ack.Accepted {
		return errPartRefused
	}
	return nil
}
