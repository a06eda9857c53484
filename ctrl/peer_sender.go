package ctrl

import (
	"context"
	"fmt"
	"sync/atomic"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

const (
	// maxQueuedMessages bounds the messages queued for a peer. The protocol
	// resends dropped messages.
	maxQueuedMessages = 256
	// maxCallsInFlight bounds the calls in flight to a peer. With a single call, a
	// message could wait for a round trip before it is sent.
	maxCallsInFlight = 8
	// maxBatchBytes bounds the total size of the entries of one call.
	maxBatchBytes = 4 << 20
	// defaultChunkBytes is the size of the chunks in which a snapshot is sent.
	defaultChunkBytes = 256 << 10
)

// outgoingMessage is a message with the address of this host.
type outgoingMessage struct {
	message    agree.Message
	ownAddress string
}

// sender sends messages to one peer. Batches are numbered, so that the peer can
// restore their order. Snapshots are sent in parallel, so that they do not delay
// heartbeats.
type sender struct {
	host        ident.Host
	address     string
	options     replicaOptions
	client      *wire.Client
	messages    *outbox[outgoingMessage]
	snapshots   *outbox[outgoingMessage]
	cancel      context.CancelFunc
	loopsDone   []<-chan struct{}
	session     uint64
	sequence    uint64
	unreachable bool
	// takesPacked is set while the peer is known to decode packed data.
	takesPacked atomic.Bool
}

func startSender(
	ctx context.Context, system *tasks.System, name string, host ident.Host, address string, o replicaOptions,
) (*sender, error) {
	client, err := wire.StartClient(ctx, system, name, address, o.wireOptions...)
	if err != nil {
		return nil, fmt.Errorf("start sender to %s: %w", host, err)
	}
	inner, cancel := context.WithCancel(ctx)
	s := &sender{
		host: host, address: address, options: o, client: client, cancel: cancel,
		messages: newOutbox[outgoingMessage](maxQueuedMessages), snapshots: newOutbox[outgoingMessage](1),
		// The time gives a later process of this host greater session numbers.
		session: uint64(o.clock.Now().UnixNano()),
	}
	s.loopsDone = []<-chan struct{}{tasks.Go(inner, s.sendMessages), tasks.Go(inner, s.sendSnapshots)}
	return s, nil
}

// push queues a message without blocking.
func (s *sender) push(m outgoingMessage) {
	if m.message.Kind() == agree.MessageInstallSnapshot {
		s.snapshots.push(m)
		return
	}
	s.messages.push(m)
}

func (s *sender) hasEnded() bool {
	for _, end := range s.loopsDone {
		select {
		case <-end:
		default:
			return false
		}
	}
	return true
}

func (s *sender) wait() {
	for _, end := range s.loopsDone {
		<-end
	}
	<-s.client.Done()
}

// sendMessages sends the queued messages in numbered batches. It waits for its
// calls to finish before it returns.
func (s *sender) sendMessages(ctx context.Context) {
	defer s.client.Close()
	results := make(chan error, maxCallsInFlight)
	inFlight := 0
	defer func() {
		for ; inFlight > 0; inFlight-- {
			s.finishCall(<-results)
		}
	}()
	for {
		for inFlight == maxCallsInFlight || len(results) > 0 {
			s.finishCall(<-results)
			inFlight--
		}
		batch, ok := s.messages.take(ctx, fitsBatch())
		if !ok {
			return
		}
		record := s.newBatchRecord(batch)
		inFlight++
		go func() { results <- s.deliver(ctx, record) }()
	}
}

// fitsBatch returns a predicate that is true until the total size of the entries
// of the messages exceeds the size of a batch.
func fitsBatch() func(outgoingMessage) bool {
	size := 0
	return func(m outgoingMessage) bool {
		for _, e := range m.message.Entries() {
			size += e.Size()
		}
		return size <= maxBatchBytes
	}
}

func (s *sender) newBatchRecord(batch []outgoingMessage) *BatchRecord {
	record := &BatchRecord{
		From: string(batch[0].message.From()), Address: batch[0].ownAddress, Session: s.session, Sequence: s.sequence,
	}
	s.sequence++
	for _, m := range batch {
		record.Messages = append(record.Messages, fromMessage(m.message))
	}
	return record
}

func (s *sender) deliver(ctx context.Context, record *BatchRecord) error {
	method := methodDeliver
	if s.takesPacked.Load() {
		isPacked, err := record.pack()
		if err != nil {
			return fmt.Errorf("send to %s: %w", s.host, err)
		}
		if isPacked {
			method = methodDeliverPacked
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, s.options.callTimeout)
	defer cancel()
	var ack AckRecord
	err := s.client.Call(callCtx, method, record, &ack)
	// After a failure, a process of another release may be at the address.
	s.takesPacked.Store(err == nil && ack.TakesPacked)
	if err != nil {
		return fmt.Errorf("send to %s: %w", s.host, err)
	}
	return nil
}

// finishCall processes the result of a call. It starts a new session after a
// failed call, so that the peer does not wait for a lost batch.
func (s *sender) finishCall(err error) {
	if err != nil {
		s.session++
		s.sequence = 0
	}
	s.logReachability(err)
}

// logReachability logs when the peer becomes unreachable and when it responds
// again.
func (s *sender) logReachability(err error) {
	if (err != nil) == s.unreachable {
		return
	}
	s.unreachable = err != nil
	if s.unreachable {
		s.options.logger.Warn("ctrl: peer does not respond", "peer", s.host, "error", err)
	} else {
		s.options.logger.Info("ctrl: peer responds again", "peer", s.host)
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

// sendSnapshot sends a snapshot in chunks. If one is lost, the leader resends
// the snapshot after a timeout.
func (s *sender) sendSnapshot(ctx context.Context, m outgoingMessage) error {
	snapshot := m.message.Snapshot()
	data := snapshot.Data()
	record := ChunkRecord{
		Message: fromMessage(m.message), Address: m.ownAddress, Revision: uint64(snapshot.Revision()),
		Term: uint64(snapshot.Term()), Members: fromMembers(snapshot.Members()), Size: len(data),
	}
	for {
		end := min(record.Offset+s.options.chunkBytes, len(data))
		record.Data = data[record.Offset:end]
		if err := s.sendChunk(ctx, record); err != nil {
			return fmt.Errorf("send chunk at offset %d of snapshot %d: %w", record.Offset, record.Revision, err)
		}
		if record.Offset = end; end == len(data) {
			return nil
		}
	}
}

func (s *sender) sendChunk(ctx context.Context, record ChunkRecord) error {
	method := methodChunk
	if s.takesPacked.Load() {
		isPacked, err := record.pack()
		if err != nil {
			return fmt.Errorf("pack: %w", err)
		}
		if isPacked {
			method = methodChunkPacked
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, s.options.callTimeout)
	defer cancel()
	var ack ChunkAckRecord
	if err := s.client.Call(callCtx, method, &record, &ack); err != nil {
		return fmt.Errorf("call: %w", err)
	}
	if !ack.Accepted {
		return errChunkRefused
	}
	return nil
}
