package fetch

import (
	"time"

	"rhubarbrack/patch"
)

const (
	// window is the number of pieces in flight. Two keep a link busy during
	// the round trip of a request.
	window = 2
	// minPieceBytes is the size of the smallest piece that is requested, except
	// for the last one.
	minPieceBytes = 2 << 10
	// defaultPieceBytes is the size of a piece if no other is set.
	defaultPieceBytes = 64 << 10
	// quickPiece is the time within which a piece must arrive for the next ones
	// to be larger.
	quickPiece = 300 * time.Millisecond
)

// Order is a request to send to a peer.
type Order struct {
	peer     string
	request  patch.Request
	transfer uint64
	sent     time.Time
}

// Peer returns the peer that the request is sent to.
func (o Order) Peer() string { return o.peer }

// Request returns the request.
func (o Order) Request() patch.Request { return o.request }

// Receiver decides how one document is brought up to date. It is not safe for
// concurrent use; a task owns it.
type Receiver struct {
	sources  *sources
	held     uint64
	maxBytes int
	// size is the size of the next pieces in bytes, maxBytes at most.
	size     int
	transfer *transfer
	// transfers is the number of transfers begun.
	transfers uint64
	// wholeOnly is set after a difference yielded another document than its
	// digest states.
	wholeOnly bool
}

// Option sets an optional property of a Receiver.
type Option func(*Receiver)

// WithPieceBytes sets the size of the largest piece that is requested.
func WithPieceBytes(n int) Option {
	return func(r *Receiver) { r.maxBytes = max(n, minPieceBytes) }
}

// NewReceiver returns a receiver that has no version yet. Hosts of different
// names prefer different peers.
func NewReceiver(host string, options ...Option) *Receiver {
	r := &Receiver{sources: newSources(host), maxBytes: defaultPieceBytes}
	for _, apply := range options {
		apply(r)
	}
	r.size = r.maxBytes
	return r
}

// Announce records that a peer has a version. Near peers are preferred.
func (r *Receiver) Announce(peer string, version uint64, isNear bool) {
	r.sources.announce(peer, version, isNear)
}

// Offer takes a difference that a peer sent along with its announcement of a
// version. It is ignored unless it is complete and applies to the version that
// the host has. It replaces a transfer of the same or an older version, unless
// that one has arrived completely.
func (r *Receiver) Offer(now time.Time, peer string, p patch.Piece) {
	if !r.isOfferUsable(p) {
		return
	}
	started := now
	if r.transfer != nil && r.transfer.version == p.Version() {
		started = r.transfer.started
	}
	r.transfers++
	r.transfer = newCompleteTransfer(r.transfers, peer, p, started)
}

// isOfferUsable reports whether a piece is a whole difference to the version
// that the host has, and whether no transfer that is under way is better.
func (r *Receiver) isOfferUsable(p patch.Piece) bool {
	isWhole := p.IsIntact() && p.Offset() == 0 && len(p.Data()) == p.Total()
	if !isWhole || r.wholeOnly || p.Version() <= r.held || p.Base() != r.held {
		return false
	}
	t := r.transfer
	return t == nil || !t.handedOver && t.version <= p.Version()
}

// Preferred returns the peer that the next transfer would begin with. It
// returns false if none is known or all have failed recently.
func (r *Receiver) Preferred(now time.Time) (string, bool) { return r.sources.choose(now, "", r.held) }

// Forget removes a peer.
func (r *Receiver) Forget(peer string) { r.sources.forget(peer) }

// Held returns the version that the host has, or 0.
func (r *Receiver) Held() uint64 { return r.held }

// Next returns the requests to send now. The caller reports the result of each
// with Received or Failed.
func (r *Receiver) Next(now time.Time) []Order {
	if !r.ensureTransfer(now) {
		return nil
	}
	var orders []Order
	t := r.transfer
	for t.inFlight < t.window() {
		peer, ok := r.sources.choose(now, t.peer, t.version)
		if !ok {
			break
		}
		s, ok := t.take(r.size)
		if !ok {
			break
		}
		t.peer = peer
		t.inFlight++
		orders = append(orders, Order{
			peer: peer, request: patch.NewRequest(t.version, t.base, s.from, s.size()), transfer: t.number, sent: now,
		})
	}
	return orders
}

// ensureTransfer begins a transfer if a newer version is known, and reports
// whether one needs pieces.
func (r *Receiver) ensureTransfer(now time.Time) bool {
	if r.transfer != nil {
		return !r.transfer.isComplete()
	}
	newest := r.sources.newest()
	if newest <= r.held {
		return false
	}
	base := r.held
	if r.wholeOnly {
		base = 0
	}
	r.transfers++
	r.transfer = newTransfer(r.transfers, newest, base, now)
	return true
}

// Received records a piece.
func (r *Receiver) Received(now time.Time, o Order, p patch.Piece) {
	t := r.transfer
	if t == nil || o.transfer != t.number {
		return
	}
	if !r.isUsable(p) {
		r.Failed(now, o)
		return
	}
	t.inFlight--
	if t.data == nil || p.Encoding() != t.encoding {
		// The peer no longer has the version, or encodes it differently.
		r.transfers++
		t = t.restarted(r.transfers, o.request, p)
		r.transfer = t
	}
	t.store(o.request, p)
	if now.Sub(o.sent) < quickPiece {
		r.size = min(2*r.size, r.maxBytes)
	}
}

// isUsable reports whether a piece is a part of a newer document that this
// host can decode. An empty piece only tells that there is another encoding,
// which is shorter than the offset of the request.
func (r *Receiver) isUsable(p patch.Piece) bool {
	isProgress := len(p.Data()) > 0 || p.Encoding() != r.transfer.encoding
	return p.IsIntact() && isProgress && p.Version() > r.held && (p.Base() == 0 || p.Base() == r.held)
}

// Failed records that a request yielded no piece.
func (r *Receiver) Failed(now time.Time, o Order) {
	t := r.transfer
	if t == nil || o.transfer != t.number {
		return
	}
	t.inFlight--
	t.restore(span{from: o.request.Offset(), to: o.request.Offset() + o.request.Size()})
	r.sources.fail(o.peer, now)
	r.size = max(r.size/2, minPieceBytes)
}

// Progress describes the current transfer.
type Progress struct {
	version  uint64
	base     uint64
	peer     string
	received int
	total    int
	started  time.Time
}

// Version returns the version that is being transferred.
func (p Progress) Version() uint64 { return p.version }

// Base returns the version that the difference applies to, or 0.
func (p Progress) Base() uint64 { return p.base }

// Peer returns the peer that was asked last.
func (p Progress) Peer() string { return p.peer }

// Received returns the number of bytes that have arrived.
func (p Progress) Received() int { return p.received }

// Total returns the size of the transfer in bytes, or 0 before the first piece.
func (p Progress) Total() int { return p.total }

// Started returns the time at which the transfer began.
func (p Progress) Started() time.Time { return p.started }

// Progress returns the progress of the current transfer, if there is one.
func (r *Receiver) Progress() (Progress, bool) {
	t := r.transfer
	if t == nil {
		return Progress{}, false
	}
	return Progress{
		version: t.version, base: t.base, peer: t.peer, received: t.received, total: len(t.data), started: t.started,
	}, true
}

// Encoded is a document that has arrived completely and is to be decoded.
type Encoded struct {
	version uint64
	base    uint64
	digest  patch.Digest
	data    []byte
}

// Version returns the version of the document.
func (e Encoded) Version() uint64 { return e.version }

// Base returns the version that the data is a difference to, or 0.
func (e Encoded) Base() uint64 { return e.base }

// Decode returns the document. The base is the content of version Base.
func (e Encoded) Decode(base []byte) ([]byte, error) {
	if e.base == 0 {
		base = nil
	}
	return patch.Decode(base, e.data, e.digest)
}

// Complete returns the document of the current transfer once all its pieces
// have arrived. The caller decodes it and calls Finish.
func (r *Receiver) Complete() (Encoded, bool) {
	t := r.transfer
	if t == nil || !t.isComplete() || t.handedOver {
		return Encoded{}, false
	}
	t.handedOver = true
	return Encoded{version: t.version, base: t.base, digest: t.digest, data: t.data}, true
}

// Finish ends the current transfer. If the document could not be decoded, its
// peer counts as failed and the whole document is requested next.
func (r *Receiver) Finish(now time.Time, isDecoded bool) {
	t := r.transfer
	if t == nil {
		return
	}
	r.transfer, r.wholeOnly = nil, !isDecoded
	if !isDecoded {
		r.sources.fail(t.peer, now)
		return
	}
	r.held = t.version
}
