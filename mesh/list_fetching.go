package mesh

import (
	"context"
	"time"
)

// isCurrent reports whether the state of this host includes all orders that were
// acknowledged. It may lack some after a restart and while no leader is known.
func (c *Control) isCurrent(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := c.replica.Status(call)
	return err == nil && status.IsCurrent()
}

// withoutList returns the reply without the list of targets. An entry host that is
// not ready needs a list to become ready, so it does not become ready with the
// state of a control host that may lack acknowledged orders. It gets the
// configuration nevertheless, which is mostly the newest one.
func (r HeartbeatReplyRecord) withoutList() HeartbeatReplyRecord {
	r.HasList, r.ListTag, r.ListAge = false, 0, 0
	return r
}

// considerList fetches the list of targets of another host if it is newer. The
// request for its state was sent at the given time.
func (t *controlClientTask) considerList(p *peer, method string, sent time.Time, r HeartbeatReplyRecord) {
	// The age was measured after the request was sent, so the list was read no
	// earlier than this.
	read := sent.Add(-r.ListAge)
	switch {
	case !r.HasList:
	case r.ListTag == t.listTag:
		if read.After(t.listReadAt) {
			t.listReadAt = read
		}
	case !t.fetchingList && read.After(t.listReadAt.Add(minListAdvance)):
		t.fetchingList = true
		go t.fetchList(p, method, t.listTag)
	}
}

// fetchList fetches the list, or its changes since the one that the host has.
func (t *controlClientTask) fetchList(p *peer, method string, have uint64) {
	call, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	m := listFetched{peer: p}
	m.err = p.client.Call(call, method, &ListRequestRecord{Tag: have, TakesPacked: true}, &m.record)
	if m.err == nil {
		m.record, m.err = m.record.unpack()
	}
	t.self.Tell(m)
}

// listFetched applies a list, unless a newer one has been applied meanwhile.
func (t *controlClientTask) listFetched(m listFetched) {
	t.fetchingList = false
	if m.err != nil || !m.record.HasList {
		t.log.Warn("mesh: list of targets not fetched", "peer", m.peer.address, "error", m.err)
		return
	}
	read := t.clock.Now().Add(-m.record.Age)
	if !read.After(t.listReadAt) {
		return
	}
	changed := targetsOf(m.record)
	list := changed
	if m.record.Base != 0 {
		if m.record.Base != t.listTag {
			// The list of another control host was applied in the meantime.
			// The next heartbeat triggers a new fetch.
			t.log.Info("mesh: changes are based on another list", "base", m.record.Base, "tag", t.listTag)
			return
		}
		list = applyChanges(aged(t.list, read.Sub(t.coldAsOf)), changed, removedOf(m.record))
	}
	t.listTag, t.listReadAt, t.list, t.coldAsOf = m.record.Tag, read, list, read
	t.listener.SetTargets(read, list)
	t.log.Info("mesh: list of targets in force", "targets", len(list), "changed", len(changed), "tag", m.record.Tag,
		"age", m.record.Age.String(), "peer", m.peer.address)
	t.checkReady(t.clock.Now())
}
