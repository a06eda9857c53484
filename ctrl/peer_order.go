package ctrl

import (
	"rhubarbrack/agree"
	"rhubarbrack/ident"
)

// reorderBuffer restores the order of the batches of each sender. Several calls
// are in flight at once, and net/rpc runs each in its own goroutine. A batch out
// of order would do no harm, but would make the leader resend entries.
type reorderBuffer struct {
	streams map[ident.Host]*batchStream
}

// batchStream is the sequence of batches of one session of a sender: the
// sequence number of the next batch, and the later ones that have arrived. A
// sender starts a new session when a batch may be lost.
type batchStream struct {
	session uint64
	next    uint64
	pending map[uint64][]agree.Message
}

func newReorderBuffer() *reorderBuffer { return &reorderBuffer{streams: map[ident.Host]*batchStream{}} }

// add adds a batch and returns the messages that are now in order. Batches of an
// earlier session, and those that were skipped, are returned at once.
func (b *reorderBuffer) add(m batchReceived) []agree.Message {
	s := b.streams[m.from]
	if s == nil || m.session > s.session {
		s = &batchStream{session: m.session, pending: map[uint64][]agree.Message{}}
		b.streams[m.from] = s
	}
	if m.session < s.session || m.sequence < s.next {
		return m.messages
	}
	s.pending[m.sequence] = m.messages
	if len(s.pending) >= maxCallsInFlight {
		// The sender has at most this many calls in flight, so the missing
		// batch is lost.
		s.skipLost()
	}
	return s.takeReady()
}

// skipLost advances to the first pending batch.
func (s *batchStream) skipLost() {
	for s.pending[s.next] == nil {
		s.next++
	}
}

// takeReady removes the batches that are next in order and returns their
// messages.
func (s *batchStream) takeReady() []agree.Message {
	var out []agree.Message
	for s.pending[s.next] != nil {
		out = append(out, s.pending[s.next]...)
		delete(s.pending, s.next)
		s.next++
	}
	return out
}
