package fetch

import (
	"slices"
	"time"

	"rhubarbrack/patch"
)

// span is a range of bytes, from inclusive and to exclusive.
type span struct{ from, to int }

func (s span) size() int { return s.to - s.from }

// transfer is the state of one document on its way.
type transfer struct {
	number  uint64
	version uint64
	// base is 0 if the whole document is requested or sent.
	base     uint64
	digest   patch.Digest
	encoding uint64
	// data has the size of the encoding once the first piece has arrived.
	data []byte
	// missing holds the spans that are neither received nor in flight.
	missing    []span
	received   int
	inFlight   int
	peer       string
	started    time.Time
	handedOver bool
}

func newTransfer(number, version, base uint64, now time.Time) *transfer {
	return &transfer{number: number, version: version, base: base, started: now}
}

// newCompleteTransfer returns the transfer of a document whose encoding is the
// given piece.
func newCompleteTransfer(number uint64, peer string, p patch.Piece, started time.Time) *transfer {
	return &transfer{
		number: number, version: p.Version(), base: p.Base(), digest: p.Digest(), encoding: p.Encoding(), data: p.Data(),
		received: p.Total(), peer: peer, started: started,
	}
}

// window returns how many pieces may be in flight. The size of the encoding is
// unknown before the first piece.
func (t *transfer) window() int {
	if t.data == nil {
		return 1
	}
	return window
}

func (t *transfer) isComplete() bool { return t.data != nil && t.received == len(t.data) }

// take removes up to size bytes from the missing ones.
func (t *transfer) take(size int) (span, bool) {
	if t.data == nil {
		return span{to: size}, true
	}
	if len(t.missing) == 0 {
		return span{}, false
	}
	s := t.missing[0]
	s.to = min(s.to, s.from+size)
	t.missing[0].from = s.to
	if t.missing[0].size() == 0 {
		t.missing = t.missing[1:]
	}
	return s, true
}

// restore adds a span that did not arrive to the missing ones.
func (t *transfer) restore(s span) {
	s.to = min(s.to, len(t.data))
	if s.size() > 0 {
		t.missing = slices.Insert(t.missing, 0, s)
	}
}

// restarted returns the transfer of the encoding that the piece is a part of,
// with the span of its request in flight.
func (t *transfer) restarted(number uint64, r patch.Request, p patch.Piece) *transfer {
	next := newTransfer(number, p.Version(), p.Base(), t.started)
	next.digest, next.encoding, next.peer = p.Digest(), p.Encoding(), t.peer
	next.data = make([]byte, p.Total())
	next.restore(span{from: r.Offset() + r.Size(), to: p.Total()})
	next.restore(span{to: r.Offset()})
	return next
}

// store stores the piece that a request yielded. What the piece lacks of the
// requested span is missing again.
func (t *transfer) store(r patch.Request, p patch.Piece) {
	end := p.Offset() + copy(t.data[p.Offset():], p.Data())
	t.received += end - p.Offset()
	t.restore(span{from: end, to: r.Offset() + r.Size()})
}
