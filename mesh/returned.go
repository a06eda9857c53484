package mesh

import (
	"slices"
	"time"

	"rhubarbrack/ident"
)

// returnedLifetime is how long the end of an evacuation is reported to entry
// hosts. It exceeds the time for which targets stay cold.
const returnedLifetime = 10 * time.Second

// replayTime is how long after its first state a control host may still be
// replaying its log. The evacuations in it may have ended long ago.
const replayTime = time.Second

// returnedZone is a zone whose evacuation has ended.
type returnedZone struct {
	zone     ident.Zone
	revision ident.Revision
	at       time.Time
}

// returnedZones holds the zones whose evacuation ended a short time ago, at most
// once each.
type returnedZones []returnedZone

// update records the zones that are no longer evacuated at a revision.
func (l returnedZones) update(now time.Time, revision ident.Revision, before, after []ident.Zone) returnedZones {
	for _, z := range before {
		if slices.Contains(after, z) {
			continue
		}
		l = l.add(returnedZone{zone: z, revision: revision, at: now})
	}
	return l
}

// add adds a zone in place of an earlier entry of it.
func (l returnedZones) add(added returnedZone) returnedZones {
	l = slices.DeleteFunc(l, func(r returnedZone) bool { return r.zone == added.zone })
	return append(l, added)
}

// includes reports whether the end of a zone's evacuation at a revision, or a later
// one, is recorded.
func (l returnedZones) includes(zone ident.Zone, revision ident.Revision) bool {
	return slices.ContainsFunc(l, func(r returnedZone) bool { return r.zone == zone && r.revision >= revision })
}

// records returns the zones to report to entry hosts.
func (l returnedZones) records(now time.Time) []ReturnedZoneRecord {
	var records []ReturnedZoneRecord
	for _, r := range l {
		if age := now.Sub(r.at); age < returnedLifetime {
			records = append(records, ReturnedZoneRecord{Zone: string(r.zone), Revision: uint64(r.revision), Age: age})
		}
	}
	return records
}

// applyReturned reports the ends of evacuations that this host has not seen itself:
// it may have started, or been out of contact, meanwhile. It may know a later
// revision already, from a control host that has restarted and reports no ends.
func (t *controlClientTask) applyReturned(sent time.Time, record HeartbeatReplyRecord) {
	for _, r := range record.Returned {
		if t.returned.includes(ident.Zone(r.Zone), ident.Revision(r.Revision)) {
			continue
		}
		t.log.Info("mesh: zone has returned", "zone", r.Zone, "revision", r.Revision, "age", r.Age.String())
		at := sent.Add(-r.Age)
		t.returned = t.returned.add(returnedZone{zone: ident.Zone(r.Zone), revision: ident.Revision(r.Revision), at: at})
		t.listener.ZoneReturned(ident.Zone(r.Zone), at)
	}
}

// updateReturned records the zones whose evacuation ends with a state, unless the
// state may be a replayed one.
func (r *registry) updateReturned(m published) {
	now := r.clock.Now()
	if now.Sub(r.publishedAt) >= replayTime {
		r.returned = r.returned.update(now, m.revision, r.state.Evacuated(), m.state.Evacuated())
	}
}
