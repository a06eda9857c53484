package mesh

import (
	"context"
	"slices"
	"time"
)

const (
	// heartbeatTimeout is how long the reply to a heartbeat may take. On a full
	// link it waits behind the responses of targets; one that comes late is of
	// use as long as it comes within the bound on changes of the configuration.
	heartbeatTimeout = 2 * time.Second
	// maxPendingHeartbeats is the number of heartbeats to one control host that
	// may wait for their replies, so that replies that are slow are no less
	// frequent.
	maxPendingHeartbeats = int(heartbeatTimeout / heartbeatInterval)
	// minHeartbeatGap is the least time between two heartbeats to a control host
	// while no reply comes.
	minHeartbeatGap = heartbeatInterval / 2
)

// isDue reports whether the next heartbeat to a control host is due: at once if
// all have been answered.
func (p *peer) isDue(now time.Time) bool {
	n := len(p.pending)
	return n == 0 || n < maxPendingHeartbeats && now.Sub(p.pending[n-1]) >= minHeartbeatGap
}

// isOverdue reports whether a heartbeat has waited for its reply for so long that
// the connection may be dead.
func (p *peer) isOverdue(now time.Time) bool {
	return len(p.pending) > 0 && now.Sub(p.pending[0]) >= callTimeout
}

// endHeartbeat removes the heartbeat that was sent at a time from those without a
// reply.
func (p *peer) endHeartbeat(sent time.Time) {
	if i := slices.IndexFunc(p.pending, sent.Equal); i >= 0 {
		p.pending = slices.Delete(p.pending, i, i+1)
	}
}

// slowHeartbeat is the time to the reply from which a heartbeat is logged. The
// next one is due then.
const slowHeartbeat = heartbeatInterval

// WaitingBytes is what has arrived from targets on connections in use and is not
// read.
type WaitingBytes struct {
	connections int
	bytes       int
	most        int
}

// NewWaitingBytes returns the bytes that wait on a number of connections, with
// the most of a single one.
func NewWaitingBytes(connections, bytes, most int) WaitingBytes {
	return WaitingBytes{connections: connections, bytes: bytes, most: most}
}

// Inbound tells what targets have sent that nobody has read.
type Inbound interface {
	Waiting(ctx context.Context) (WaitingBytes, error)
}

// noInbound is for hosts without connections to targets.
type noInbound struct{}

func (noInbound) Waiting(context.Context) (WaitingBytes, error) { return WaitingBytes{}, nil }

// heartbeatTimes are the times of a heartbeat on its way to a control host and of
// the reply. Both contain the difference of the clocks, with opposite signs, so
// only their distance from the shortest ones has a meaning.
type heartbeatTimes struct {
	out, in time.Duration
	known   bool
}

// excess returns by how much the times exceed the shortest ones.
func (h heartbeatTimes) excess(fastest heartbeatTimes) (out, in time.Duration) {
	return h.out - fastest.out, h.in - fastest.in
}

// fastest returns the shorter of both ways.
func (h heartbeatTimes) fastest(other heartbeatTimes) heartbeatTimes {
	if !h.known {
		return other
	}
	return heartbeatTimes{out: min(h.out, other.out), in: min(h.in, other.in), known: true}
}

// readWaiting returns what waits to be read. It may be called after the end of
// ctx.
func (t *controlClientTask) readWaiting(ctx context.Context) WaitingBytes {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	w, err := t.inbound.Waiting(ctx)
	if err != nil {
		t.log.Debug("mesh: unread bytes are unknown", "error", err)
	}
	return w
}

// recordHeartbeat records how long a heartbeat took, and logs it if that was long
// or no reply came.
func (t *controlClientTask) recordHeartbeat(now time.Time, m heartbeatDone) {
	took := now.Sub(m.sent)
	if m.err != nil {
		t.meter.Count("heartbeat-failed", "", "", 1)
	} else {
		t.meter.Observe("heartbeat", "", "", took)
	}
	var out, in time.Duration
	if m.record.At != 0 {
		at := time.UnixMicro(m.record.At)
		times := heartbeatTimes{out: at.Sub(m.sent.Round(0)), in: now.Round(0).Sub(at), known: true}
		m.peer.fastest = m.peer.fastest.fastest(times)
		out, in = times.excess(m.peer.fastest)
	}
	if took < slowHeartbeat {
		return
	}
	t.log.Warn("mesh: heartbeat was slow", "peer", m.peer.address, "took-ms", took.Milliseconds(),
		"out-ms", out.Milliseconds(), "in-ms", in.Milliseconds(), "contact-age-ms", t.contactAge(now).Milliseconds(),
		"connections", m.waiting.connections, "unread", m.waiting.bytes, "unread-most", m.waiting.most, "error", m.err)
}

// contactAge returns the time since the newest reply of any control host, or 0
// before the first one.
func (t *controlClientTask) contactAge(now time.Time) time.Duration {
	var newest time.Time
	for _, p := range t.peers {
		if p.lastHeard.After(newest) {
			newest = p.lastHeard
		}
	}
	if newest.IsZero() {
		return 0
	}
	return now.Sub(newest)
}

// LinkDelay is told how long packets wait for the host's own link.
type LinkDelay interface {
	SetLinkDelay(d time.Duration)
}

// noLinkDelay is for hosts that do not need it.
type noLinkDelay struct{}

func (noLinkDelay) SetLinkDelay(time.Duration) {}

// observeDelay records how long the reply to a heartbeat took.
func (p *peer) observeDelay(took time.Duration) {
	if p.fastestReply == 0 || took < p.fastestReply {
		p.fastestReply = took
	}
	p.delay = took - p.fastestReply
}

// shortestDelay returns by how much the newest replies of the control hosts in
// contact took longer than their fastest ones, at the control host where that is
// least: what is slow to all of them waits for the host's own link.
func (t *controlClientTask) shortestDelay(now time.Time) time.Duration {
	shortest, found := time.Duration(0), false
	for _, p := range t.peers {
		if p.lastHeard.IsZero() || now.Sub(p.lastHeard) >= hostTimeout {
			continue
		}
		if !found || p.delay < shortest {
			shortest, found = p.delay, true
		}
	}
	return shortest
}
