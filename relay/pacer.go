package relay

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/tasks"
)

const (
	// pacedShare is the part of the host's link that long answers may take.
	// The rest is for short ones and for the other hosts of the system.
	pacedShare = 0.6
	// pacedBytes is the size of the pieces in which a paced answer passes.
	pacedBytes = 4 << 10
)

// Pacer shares a slow link among long answers, so that short ones do not queue
// behind whole windows of them. The answer that began first goes first: one
// after the other, more of them arrive within their aim than side by side.
type Pacer struct {
	ref *tasks.Ref
}

// StartPacer starts the pacer of a link with the given bytes per second. It
// ends with ctx.
func StartPacer(ctx context.Context, system *tasks.System, c clock.Clock, link float64) (*Pacer, error) {
	t := &paceTask{ctx: ctx, clock: c, lane: lane{rate: pacedShare * link}}
	ref, err := tasks.Spawn(ctx, system, "pacer", t)
	if err != nil {
		return nil, fmt.Errorf("start pacer: %w", err)
	}
	t.self = ref
	return &Pacer{ref: ref}, nil
}

// reader returns a reader that passes the bytes of an answer on as the link
// allows. The answer began at the given time.
func (p *Pacer) reader(ctx context.Context, r io.Reader, began time.Time) io.Reader {
	return &pacedReader{ctx: ctx, pacer: p, reader: r, began: began}
}

type pacedReader struct {
	ctx    context.Context
	pacer  *Pacer
	reader io.Reader
	began  time.Time
}

// Read implements io.Reader.
func (r *pacedReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b[:min(len(b), pacedBytes)])
	if n == 0 {
		return 0, err
	}
	if _, fault := tasks.Ask(r.ctx, r.pacer.ref, func(reply tasks.Reply[struct{}]) any {
		return pass{began: r.began, bytes: n, reply: reply}
	}); fault != nil {
		return n, fmt.Errorf("wait for the link: %w", fault)
	}
	return n, err
}

// The messages of the pacer.
type (
	pass struct {
		began time.Time
		bytes int
		reply tasks.Reply[struct{}]
	}
	linkFree struct{}
)

// lane decides in which order and when pieces pass a link.
type lane struct {
	// rate is in bytes per second.
	rate float64
	// free is when the pieces that have passed have left the link.
	free    time.Time
	waiting []pass
}

// add puts a piece behind those of answers that began earlier.
func (l *lane) add(p pass) {
	i, _ := slices.BinarySearchFunc(l.waiting, p, func(a, b pass) int {
		return cmp.Or(a.began.Compare(b.began), -1)
	})
	l.waiting = slices.Insert(l.waiting, i, p)
}

// next removes the first piece when the link is free.
func (l *lane) next(now time.Time) (pass, bool) {
	if len(l.waiting) == 0 || now.Before(l.free) {
		return pass{}, false
	}
	p := l.waiting[0]
	l.waiting = slices.Delete(l.waiting, 0, 1)
	l.free = now.Add(time.Duration(float64(p.bytes) / l.rate * float64(time.Second)))
	return p, true
}

// paceTask owns the lane.
type paceTask struct {
	ctx   context.Context
	self  *tasks.Ref
	clock clock.Clock
	lane  lane
	armed bool
}

var _ tasks.Task = (*paceTask)(nil)

// Handle implements tasks.Task.
func (t *paceTask) Handle(message any) {
	switch m := message.(type) {
	case pass:
		t.lane.add(m)
	case linkFree:
		t.armed = false
	}
	now := t.clock.Now()
	for p, ok := t.lane.next(now); ok; p, ok = t.lane.next(now) {
		p.reply.Send(struct{}{})
	}
	if len(t.lane.waiting) > 0 && !t.armed {
		t.armed = true
		tasks.After(t.ctx, t.clock, t.lane.free.Sub(now), t.self, linkFree{})
	}
}
