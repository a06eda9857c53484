package mesh

import (
	"time"

	"rhubarbrack/ident"
)

// listWith returns the current or an earlier list with the given tag, or nil.
func (r *registry) listWith(tag uint64) *listing {
	if r.list != nil && r.list.tag == tag {
		return r.list
	}
	for _, l := range r.earlier {
		if l.tag == tag {
			return l
		}
	}
	return nil
}

// updateList applies a newly read list of targets.
func (r *registry) updateList(list []ListedTarget) {
	now := r.clock.Now()
	list = latestProcesses(list)
	if r.list != nil && r.list.isSame(now, list) {
		r.list.readAt = now
		for i := range list {
			r.list.targets[i].coldRemaining = list[i].coldRemaining
		}
		return
	}
	tag := tagOfTargets(now, list)
	r.log.Info("mesh: list of targets changed", "targets", len(list), "tag", tag)
	if r.list != nil {
		r.earlier = append(r.earlier, r.list)
		r.earlier = r.earlier[max(0, len(r.earlier)-maxEarlierLists):]
	}
	r.list = &listing{readAt: now, tag: tag, targets: list}
}

// listRecord returns the changes since the list with the given tag, or the
// whole list if that one is no longer known. Sending only changes matters
// while targets are replaced: the list then changes often, and a whole list
// occupies a slow link for a while.
func (r *registry) listRecord(have uint64) ListRecord {
	if r.list == nil {
		return ListRecord{}
	}
	record := ListRecord{HasList: true, Tag: r.list.tag, Age: r.clock.Now().Sub(r.list.readAt)}
	changed, removed := r.list.targets, []ident.Target(nil)
	if base := r.listWith(have); base != nil {
		record.Base = have
		changed, removed = r.list.changesSince(base)
	}
	record.Targets = newTargetRecords(changed)
	for _, id := range removed {
		record.Gone = append(record.Gone, string(id))
	}
	return record
}

// packedListRecord returns a packed listRecord. Many hosts ask for the same
// one, so each is packed once for each read of the list.
func (r *registry) packedListRecord(have uint64) ListRecord {
	if r.list == nil {
		return ListRecord{}
	}
	record, ok := r.packed.get(r.list.readAt, have)
	if !ok {
		var err error
		record, err = r.listRecord(have).pack()
		if err != nil {
			r.log.Error("mesh: list of targets cannot be packed", "error", err)
			return r.listRecord(have)
		}
		r.packed.put(r.list.readAt, have, record)
	}
	record.Age = r.clock.Now().Sub(r.list.readAt)
	return record
}

// announcedList returns the changes of the list since the one that an entry host
// has, if they are small enough to go along with the reply to its heartbeat. A list
// that this host no longer reads is not sent: others have a newer one.
func (r *registry) announcedList(now time.Time, record HeartbeatRecord) *ListRecord {
	if !record.TakesList || record.ListTag == r.list.tag || now.Sub(r.list.readAt) >= maxListAgeWithoutLeader ||
		r.listWith(record.ListTag) == nil {
		return nil
	}
	changes := r.packedListRecord(record.ListTag)
	if len(changes.Packed) == 0 || len(changes.Packed) > maxAnnouncedBytes {
		return nil
	}
	return &changes
}
