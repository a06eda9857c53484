package relay

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/tasks"
)

const (
	// maxPacedShare is the share of the host's link that long responses may
	// use. The rest is for short responses and for traffic with other hosts of
	// the system.
	maxPacedShare = 0.6
	// lastPacedShare is that share once the host takes no more requests. The rest is
	// for the end of short responses and of traffic with other hosts.
	lastPacedShare = 0.9
	// chunkBytes is the size of the chunks in which a paced response is sent.
	chunkBytes = 4 << 10
)

// Pacer shares a slow link among long responses, so that short ones do not
// queue behind them. The response that started first is sent first: in
// sequence, more responses meet their latency objective than in parallel. On a
// stopping host, the response with the least bytes left is sent first: if the link
// cannot send all of them in time, the fewest are cut.
type Pacer struct {
	ref   *tasks.Ref
	clock clock.Clock
}

// PacedRate returns how many bytes per second of a link with the given bytes per
// second long responses may use.
func PacedRate(link float64) float64 { return maxPacedShare * link }

// StartPacer starts the pacer of a link with the given bytes per second. It
// ends with ctx.
func StartPacer(ctx context.Context, system *tasks.System, c clock.Clock, link float64) (*Pacer, error) {
	t := &pacerTask{ctx: ctx, clock: c, link: link, queue: linkQueue{rate: PacedRate(link)}}
	ref, err := tasks.Spawn(ctx, system, "pacer", t)
	if err != nil {
		return nil, fmt.Errorf("start pacer: %w", err)
	}
	t.self = ref
	return &Pacer{ref: ref, clock: c}, nil
}

// Drain sends the response with the least bytes left first from now on. It is
// called when the host begins to stop.
func (p *Pacer) Drain() {
	if p != nil {
		p.ref.Tell(drainLink{})
	}
}

// Finish gives long responses most of the link. It is called when the host takes no
// more requests.
func (p *Pacer) Finish() {
	if p != nil {
		p.ref.Tell(finishLink{})
	}
}

// unknownLength is the length of a response that does not state it.
const unknownLength = math.MaxInt64

// reader returns a reader that reads a response no faster than the link
// allows. startedAt is the time at which the response started, and length the
// number of its bytes, or unknownLength.
func (p *Pacer) reader(ctx context.Context, r io.Reader, startedAt time.Time, length int64) *pacedReader {
	return &pacedReader{ctx: ctx, pacer: p, reader: r, startedAt: startedAt, left: length}
}

// pacedReader reads a long response.
type pacedReader struct {
	ctx context.Context
	// pacer is nil if the link needs no pacing.
	pacer     *Pacer
	reader    io.Reader
	startedAt time.Time
	// left is the number of bytes to be read, or unknownLength.
	left int64
	// waited is how long the response has waited for the link.
	waited time.Duration
}

// Read implements io.Reader.
func (r *pacedReader) Read(b []byte) (int, error) {
	if r.pacer == nil {
		return r.reader.Read(b)
	}
	n, err := r.reader.Read(b[:min(len(b), chunkBytes)])
	if n == 0 {
		return 0, err
	}
	asked := r.pacer.clock.Now()
	_, askErr := tasks.Ask(r.ctx, r.pacer.ref, func(reply tasks.Reply[struct{}]) any {
		return chunk{startedAt: r.startedAt, left: r.left, bytes: n, reply: reply}
	})
	if r.left != unknownLength {
		r.left -= int64(n)
	}
	r.waited += r.pacer.clock.Now().Sub(asked)
	if askErr != nil {
		return n, fmt.Errorf("wait for link capacity: %w", askErr)
	}
	return n, err
}

// The messages of the pacer.
type (
	chunk struct {
		startedAt time.Time
		// left is the number of bytes left of the response, with this chunk.
		left  int64
		bytes int
		reply tasks.Reply[struct{}]
	}
	linkFree   struct{}
	drainLink  struct{}
	finishLink struct{}
)

// linkQueue decides when and in which order chunks are sent over a link.
type linkQueue struct {
	// rate is in bytes per second.
	rate float64
	// freeAt is when all chunks sent so far have left the link.
	freeAt  time.Time
	waiting []chunk
	// shortestFirst is set if the response with the least bytes left goes first,
	// and not the one that started first.
	shortestFirst bool
}

// add inserts a chunk behind those of responses that go first.
func (l *linkQueue) add(c chunk) {
	i, _ := slices.BinarySearchFunc(l.waiting, c, func(a, b chunk) int { return cmp.Or(l.compare(a, b), -1) })
	l.waiting = slices.Insert(l.waiting, i, c)
}

// compare orders chunks by the response that goes first.
func (l *linkQueue) compare(a, b chunk) int {
	if l.shortestFirst {
		return cmp.Or(cmp.Compare(a.left, b.left), a.startedAt.Compare(b.startedAt))
	}
	return a.startedAt.Compare(b.startedAt)
}

// sendShortestFirst changes the order of the chunks that wait and of those to come.
func (l *linkQueue) sendShortestFirst() {
	l.shortestFirst = true
	slices.SortStableFunc(l.waiting, l.compare)
}

// next removes the first chunk if the link is free.
func (l *linkQueue) next(now time.Time) (chunk, bool) {
	if len(l.waiting) == 0 || now.Before(l.freeAt) {
		return chunk{}, false
	}
	c := l.waiting[0]
	l.waiting = slices.Delete(l.waiting, 0, 1)
	l.freeAt = now.Add(time.Duration(float64(c.bytes) / l.rate * float64(time.Second)))
	return c, true
}

// pacerTask owns the link queue.
type pacerTask struct {
	ctx   context.Context
	self  *tasks.Ref
	clock clock.Clock
	// link is the capacity of the link in bytes per second.
	link  float64
	queue linkQueue
	// timerSet is set while a linkFree message is scheduled.
	timerSet bool
}

var _ tasks.Task = (*pacerTask)(nil)

// Handle implements tasks.Task.
func (t *pacerTask) Handle(message any) {
	switch m := message.(type) {
	case chunk:
		t.queue.add(m)
	case linkFree:
		t.timerSet = false
	case drainLink:
		t.queue.sendShortestFirst()
	case finishLink:
		t.queue.rate = lastPacedShare * t.link
	}
	now := t.clock.Now()
	for c, ok := t.queue.next(now); ok; c, ok = t.queue.next(now) {
		c.reply.Send(struct{}{})
	}
	if len(t.queue.waiting) > 0 && !t.timerSet {
		t.timerSet = true
		tasks.After(t.ctx, t.clock, t.queue.freeAt.Sub(now), t.self, linkFree{})
	}
}
