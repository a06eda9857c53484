package mesh

import (
	"slices"
	"time"

	"rhubarbrack/ident"
)

const (
	// maxReadyLists is the number of earlier lists of ready hosts that are kept
	// for computing changes.
	maxReadyLists = 16
	// readyInterval is how long a list of ready hosts is used before it is
	// computed anew. It is short beside the interval of heartbeats.
	readyInterval = 50 * time.Millisecond
)

// readyList is a list of the hosts that accept callers, by address. Its tag
// depends on the content only, so that equal lists of several control hosts
// have the same tag.
type readyList struct {
	tag   uint64
	hosts []EntryHost
}

// readyHistory holds the recent lists of a control host, the oldest first.
type readyHistory struct {
	lists      []readyList
	computedAt time.Time
}

// add makes the hosts the current list.
func (h *readyHistory) add(now time.Time, hosts []EntryHost) {
	h.computedAt = now
	tag := tagOf(hosts)
	if len(h.lists) > 0 && h.current().tag == tag {
		return
	}
	h.lists = append(h.lists, readyList{tag: tag, hosts: hosts})
	if excess := len(h.lists) - maxReadyLists; excess > 0 {
		h.lists = slices.Delete(h.lists, 0, excess)
	}
}

// isFresh reports whether the current list need not be computed anew.
func (h *readyHistory) isFresh(now time.Time) bool {
	return len(h.lists) > 0 && now.Sub(h.computedAt) < readyInterval
}

// current returns the current list.
func (h *readyHistory) current() readyList { return h.lists[len(h.lists)-1] }

// latestOf returns the most recent list with one of the given tags.
func (h *readyHistory) latestOf(tags []uint64) (readyList, bool) {
	for _, l := range slices.Backward(h.lists) {
		if slices.Contains(tags, l.tag) {
			return l, true
		}
	}
	return readyList{}, false
}

// changesTo returns the hosts that were added and the addresses that were
// removed up to the next list. Both lists are sorted by address.
func (l readyList) changesTo(next readyList) ([]EntryHost, []string) {
	var added []EntryHost
	var removed []string
	before := l.hosts
	for _, e := range next.hosts {
		for len(before) > 0 && before[0].address < e.address {
			removed, before = append(removed, before[0].address), before[1:]
		}
		if len(before) > 0 && before[0].address == e.address {
			before = before[1:]
			continue
		}
		added = append(added, e)
	}
	for _, e := range before {
		removed = append(removed, e.address)
	}
	return added, removed
}

// with returns the list after the given changes.
func (l readyList) with(tag uint64, added []EntryHost, removed []string) readyList {
	gone := ident.NewSet(removed...)
	next := readyList{tag: tag, hosts: slices.Clone(added)}
	for _, e := range l.hosts {
		if !gone.Has(e.address) {
			next.hosts = append(next.hosts, e)
		}
	}
	sortByAddress(next.hosts)
	return next
}

// addReady adds the ready hosts to a reply: their changes since a list that the
// entry host has, or all.
func (r HeartbeatReplyRecord) addReady(h *readyHistory, record HeartbeatRecord) HeartbeatReplyRecord {
	current := h.current()
	r.ReadyTag = current.tag
	if record.ReadyTag == current.tag {
		return r
	}
	added, removed := current.hosts, []string(nil)
	if base, ok := h.latestOf(record.ReadyTags); ok {
		r.ReadyBase = base.tag
		added, removed = base.changesTo(current)
	}
	for _, e := range added {
		r.ReadyHosts = append(r.ReadyHosts,
			ReadyHostRecord{Address: e.address, Zone: string(e.zone), Region: string(e.region)})
	}
	r.ReadyGone = removed
	return r
}

// readyFrom returns the list of ready hosts of a reply. It returns false if the
// list that the changes are based on is not among the known ones.
func (r HeartbeatReplyRecord) readyFrom(known []readyList) (readyList, bool) {
	added := make([]EntryHost, len(r.ReadyHosts))
	for i, e := range r.ReadyHosts {
		added[i] = EntryHost{address: e.Address, zone: ident.Zone(e.Zone), region: ident.Region(e.Region)}
	}
	if r.ReadyBase == 0 {
		return readyList{tag: r.ReadyTag, hosts: added}, true
	}
	for _, l := range known {
		if l.tag == r.ReadyBase {
			return l.with(r.ReadyTag, added, r.ReadyGone), true
		}
	}
	return readyList{}, false
}
