package mesh

import (
	"context"
	"time"
)

// listFetchTimeout is how long the response with a list may take. On a full link it
// waits behind the responses of targets.
const listFetchTimeout = heartbeatTimeout

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
	r.HasList, r.ListTag, r.ListAge, r.List = false, 0, 0, nil
	return r
}

// considerList applies the list of targets of another host, or fetches it, if it
// is newer. The request for its state was sent at the given time.
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
	case !read.After(t.listReadAt.Add(minListAdvance)):
	case r.List != nil && r.List.Base == t.listTag:
		t.applyList(p, sent, *r.List)
	case !t.fetchingList:
		t.fetchingList = true
		go t.fetchList(p, method, t.listTag, t.clock.Now())
	}
}

// fetchList fetches the list, or its changes since the one that the host has.
func (t *controlClientTask) fetchList(p *peer, method string, have uint64, sent time.Time) {
	call, cancel := context.WithTimeout(t.ctx, listFetchTimeout)
	defer cancel()
	m := listFetched{peer: p, sent: sent}
	m.err = p.client.Call(call, method, &ListRequestRecord{Tag: have, TakesPacked: true}, &m.record)
	t.self.Tell(m)
}

// listFetched applies a list, unless a newer one has been applied meanwhile.
func (t *controlClientTask) listFetched(m listFetched) {
	t.fetchingList = false
	if m.err != nil || !m.record.HasList {
		t.log.Warn("mesh: list of targets not fetched", "peer", m.peer.address, "error", m.err)
		return
	}
	if m.record.Tag != t.listTag && m.sent.Add(-m.record.Age).After(t.listReadAt) {
		t.applyList(m.peer, m.sent, m.record)
	}
}

// applyList puts a list in force that was requested at the given time. Replies may
// be under way for longer than the time between two lists, so lists are ordered by
// the earliest time at which they may have been read. Their cold times count from
// the latest one.
func (t *controlClientTask) applyList(p *peer, sent time.Time, r ListRecord) {
	r, err := r.unpack()
	if err != nil {
		t.log.Error("mesh: list of targets cannot be decoded", "peer", p.address, "error", err)
		return
	}
	now := t.clock.Now()
	readBy := now.Add(-r.Age)
	changed := targetsOf(r)
	list := changed
	if r.Base != 0 {
		if r.Base != t.listTag {
			// The list of another control host was applied in the meantime.
			// The next heartbeat triggers a new fetch.
			t.log.Info("mesh: changes are based on another list", "base", r.Base, "tag", t.listTag)
			return
		}
		// The list before may have been under way for longer than this one.
		list = applyChanges(aged(t.list, max(0, readBy.Sub(t.coldAsOf))), changed, removedOf(r))
	}
	t.listTag, t.listReadAt, t.list, t.coldAsOf = r.Tag, sent.Add(-r.Age), list, readBy
	t.listener.SetTargets(readBy, list)
	t.meter.Observe("list-transfer", "", "", now.Sub(sent))
	t.log.Info("mesh: list of targets in force", "targets", len(list), "changed", len(changed), "tag", r.Tag,
		"age", r.Age.String(), "took", now.Sub(sent).String(), "peer", p.address)
	t.checkReady(now)
}
