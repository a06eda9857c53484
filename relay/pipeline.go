package relay

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
)

const (
	// maxEarlyRequests is the number of requests of one connection that are
	// handled while one before them is unanswered. Further ones wait unread.
	maxEarlyRequests = 16
	// maxHostEarlyRequests is the same limit for all connections of the host
	// together. It bounds the memory of responses that wait for their turn.
	maxHostEarlyRequests = 512
	// maxAheadBytes is the number of bytes that are read ahead.
	maxAheadBytes = 16 << 10
	// aheadChunkBytes is the size of one read ahead.
	aheadChunkBytes = 4 << 10
)

// pipeline reads a caller's connection ahead of the server, which handles one
// request at a time, and begins to handle the requests that are waiting. The
// server still reads all bytes and writes all responses, in order.
//
// The server reads while a request is handled only to notice the end of the
// connection. If it gets a byte instead, the pipeline goes on reading. Methods
// without a lock of their own are called with mu held.
type pipeline struct {
	ctx     context.Context
	end     context.CancelFunc
	socket  net.Conn
	handler FrontHandler
	log     *slog.Logger
	// slots limits the early requests of the host. Each occupies one until its
	// response is delivered or the connection ends.
	slots chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	scanner requestScanner
	// received holds all requests whose header has arrived and whose response
	// is not complete, in order.
	received []*receivedRequest
	// begun counts the requests that the server has begun.
	begun uint64
	// early holds the requests that were started early and are not delivered,
	// in order.
	early []*earlyRequest
	// ahead holds the bytes that the server has not read yet, and failure the
	// error behind them.
	ahead   []byte
	failure error
	// isReading is set while a goroutine reads ahead, and serverReads is the
	// number of bytes that the server reads at most, while it reads the socket.
	// At most one of them is set, since two readers would exchange the order of
	// the bytes.
	isReading   bool
	serverReads int
	// deadlines counts the deadlines that were set, to ignore the expiry of one
	// that has been replaced.
	deadlines uint64
	// isHandling is set while the server handles a request.
	isHandling bool
	// isAnswering is set while a response is sent. Nothing is read ahead or begun
	// early then, because a response that breaks off ends the connection without a
	// word about the requests behind it.
	isAnswering bool
	// isSealed is set once the connection is to be closed: no request begins
	// early any more.
	isSealed bool
	// isClosing is set once the response to the request that is handled is known
	// to be the last one, and unannounced counts the responses since isSealed was
	// set of which that could not be known.
	isClosing   bool
	unannounced int
	// hasCallerLeft is set once the caller's end of the connection was seen.
	hasCallerLeft bool
	// hasWriteFailed is set once a part of a response could not be written.
	hasWriteFailed bool
}

func newPipeline(
	ctx context.Context, socket net.Conn, handler FrontHandler, slots chan struct{}, log *slog.Logger,
) *pipeline {
	p := &pipeline{socket: socket, handler: handler, slots: slots, log: log}
	p.ctx, p.end = context.WithCancel(ctx)
	p.changed = sync.NewCond(&p.mu)
	return p
}

// read reads for the server: first what was read ahead.
func (p *pipeline) read(b []byte) (int, error) {
	n, err, ok := p.takeAhead(b)
	if ok {
		return n, err
	}
	n, err = p.socket.Read(b[:n])
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serverReads = 0
	p.noteEnd(err)
	if n > 0 {
		p.scan(b[:n])
	}
	return n, err
}

// takeAhead returns what was read ahead. It waits while a goroutine reads
// ahead. If none does and nothing is there, it returns false and the number of
// bytes that the server may read from the socket itself.
func (p *pipeline) takeAhead(b []byte) (int, error, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.ahead) == 0 && p.failure == nil && p.isReading {
		p.changed.Wait()
	}
	if len(p.ahead) > 0 {
		n := copy(b, p.ahead)
		p.ahead = p.ahead[n:]
		p.readAhead()
		return n, nil, true
	}
	if err := p.failure; err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			p.failure = nil
		}
		return 0, err, true
	}
	p.serverReads = len(p.limitRead(b))
	return p.serverReads, nil, false
}

// scan records the requests that end in the next bytes of the connection.
func (p *pipeline) scan(chunk []byte) {
	number := p.scanner.heads
	for _, head := range p.scanner.feed(chunk) {
		number++
		p.received = append(p.received, &receivedRequest{number: number, head: head})
	}
	p.startEarly()
	p.readAhead()
}

// startEarly begins to handle waiting requests.
func (p *pipeline) startEarly() {
	for p.isHandling && !p.isAnswering && !p.isSealed && len(p.early) < maxEarlyRequests {
		next := p.nextWaiting()
		if next == nil || !next.head.isPlain {
			return
		}
		select {
		case p.slots <- struct{}{}:
		default:
			// The server handles the request when it is its turn.
			return
		}
		p.start(next)
	}
}

// nextWaiting returns the first request that was not begun.
func (p *pipeline) nextWaiting() *receivedRequest {
	for _, r := range p.received {
		if r.state == requestWaiting {
			return r
		}
	}
	return nil
}

// start begins to handle a request, for which a slot is taken.
func (p *pipeline) start(r *receivedRequest) {
	e, err := newEarlyRequest(p.ctx, r.number, r.head.text)
	if err != nil {
		// The server rejects the request when it reads it.
		<-p.slots
		p.scanner.giveUp()
		r.head.isPlain = false
		return
	}
	r.state = requestEarly
	p.early = append(p.early, e)
	go func() {
		e.serve(p.handler, p.log)
		<-e.request.Context().Done()
		<-p.slots
	}()
}

// readAhead starts to read ahead if the server handles a request, the caller
// has sent something behind it and there is room for more.
func (p *pipeline) readAhead() {
	if p.isReading || !p.canReadAhead() {
		return
	}
	p.isReading = true
	go p.readLoop()
}

func (p *pipeline) canReadAhead() bool {
	return p.isHandling && !p.isAnswering && p.serverReads == 0 && !p.isSealed && !p.scanner.gaveUp && p.failure == nil &&
		len(p.ahead) < maxAheadBytes && len(p.early) < maxEarlyRequests
}

// readLoop reads ahead until there is no room, no request is being handled, or
// the connection fails.
func (p *pipeline) readLoop() {
	b := make([]byte, aheadChunkBytes)
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.canReadAhead() {
		deadlines := p.deadlines
		p.mu.Unlock()
		n, err := p.socket.Read(b)
		p.mu.Lock()
		p.ahead = append(p.ahead, b[:n]...)
		p.scan(b[:n])
		isTimeout := errors.Is(err, os.ErrDeadlineExceeded)
		if err != nil && (!isTimeout || deadlines == p.deadlines) {
			p.failure = err
		}
		p.noteEnd(err)
		p.changed.Broadcast()
	}
	p.isReading = false
	p.changed.Broadcast()
}

// deadlineSet records that a read deadline was set.
func (p *pipeline) deadlineSet() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadlines++
	if errors.Is(p.failure, os.ErrDeadlineExceeded) {
		p.failure = nil
	}
}

// hasUnhandled reports whether a request, or a part of one, has arrived that
// the server has not begun.
func (p *pipeline) hasUnhandled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.scanner.isLost && (p.scanner.heads > p.begun || p.scanner.hasPartial()) || len(p.ahead) > 0
}

// begin records that the server has begun to handle a request. It returns the
// early request if it has been begun before. If the host wants to close the
// connection, no request begins early any more.
func (p *pipeline) begin(r *http.Request, wantsClose bool) *earlyRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun++
	p.isHandling = true
	p.isSealed = p.isSealed || wantsClose
	p.beginReceived(r)
	found := p.takeEarly(r)
	p.startEarly()
	if len(p.early) > 0 {
		p.readAhead()
	}
	return found
}

// takeEarly removes the early request that the server has begun, if there is
// one.
func (p *pipeline) takeEarly(r *http.Request) *earlyRequest {
	if len(p.early) == 0 || p.early[0].number != p.begun {
		return nil
	}
	e := p.early[0]
	p.early = p.early[1:]
	if !e.isSame(r) {
		e.cancel()
		return nil
	}
	return e
}

// finish records that the server has handled a request, and whether the
// handler has written a response. What is written after the caller has left is
// none.
func (p *pipeline) finish(isHandled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isHandling, p.isAnswering = false, false
	if current := p.current(); isHandled && !p.hasCallerLeft && current != nil {
		current.state = requestHandled
	}
}
