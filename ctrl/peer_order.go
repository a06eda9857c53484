package ctrl

import (
	"rhubarbrack/agree"
	"rhubarbrack/ident"
)

// inOrder restores the order of a sender's batches. Several calls are in
// flight at once, and net/rpc runs each in its own goroutine. A batch out of
// order would do no harm, but it makes a leader send entries again.
type inOrder struct {
	streams map[ident.Host]*stream
}

// stream is the sequence of batches of one session of a sender. A sender
// starts a new session when a batch may be lost.
type stream struct {
	session uint64
	next    uint64
	held    map[uint64][]agree.Message
}

func newInOrder() *inOrder { return &inOrder{streams: map[ident.Host]*stream{}} }

// take returns the messages that are ready after the arrival of a batch.
func (o *inOrder) take(m received) []agree.Message {
	s := o.streams[m.from]
	if s == nil || m.session > s.session {
		s = &stream{session: m.session, held: map[uint64][]agree.Message{}}
		o.streams[m.from] = s
	}
	if m.session < s.session || m.sequence < s.next {
		return m.messages
	}
	s.held[m.sequence] = m.messages
	if len(s.held) >= senderCalls {
		// The sender has no more calls in flight than these, so the missing
		// batch is lost.
		s.skip()
	}
	return s.ready()
}

// skip moves to the first batch that is held.
func (s *stream) skip() {
	for s.held[s.next] == nil {
		s.next++
	}
}

// ready removes the batches that are next.
func (s *stream) ready() []agree.Message {
	var out []agree.Message
	for s.held[s.next] != nil {
		out = append(out, s.held[s.next]...)
		delete(s.held, s.next)
		s.next++
	}
	return out
}
