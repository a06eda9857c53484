package mesh

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/patch"
)

// The records of lists of targets.
type (
	// TargetRecord is a target of the list. Cold is how much longer it stays
	// cold, as of the time the list was read. Started is when its process
	// started, in Unix milliseconds.
	TargetRecord struct {
		ID       string
		Service  string
		Address  string
		Zone     string
		Slots    int
		Draining bool
		Cold     time.Duration
		Started  int64
	}
	// ListRequestRecord requests the list and names the one that the host has.
	// TakesPacked tells that it decodes packed lists, which hosts of earlier
	// releases do not.
	ListRequestRecord struct {
		Tag         uint64
		TakesPacked bool
	}
	// ListRecord is the list of targets. If Base is set, it holds only the
	// changes since the list with that tag, including the removed targets.
	ListRecord struct {
		HasList bool
		Tag     uint64
		Base    uint64
		Age     time.Duration
		Targets []TargetRecord
		Gone    []string
		// Packed holds the Targets and Gone of a packed list, which has none
		// itself, and Digest the digest of its content.
		Packed []byte
		Digest patch.Digest
	}
)

func newTargetRecords(list []ListedTarget) []TargetRecord {
	var records []TargetRecord
	for _, l := range list {
		records = append(records, TargetRecord{
			ID: string(l.id), Service: string(l.service), Address: l.address, Zone: string(l.zone), Slots: l.slots,
			Draining: l.draining, Cold: l.coldRemaining, Started: l.startedAt,
		})
	}
	return records
}

// targetsOf returns the targets of a list, or the changed ones.
func targetsOf(r ListRecord) []ListedTarget {
	list := make([]ListedTarget, len(r.Targets))
	for i, t := range r.Targets {
		list[i] = NewListedTarget(ident.Target(t.ID), ident.Service(t.Service), t.Address, ident.Zone(t.Zone), t.Slots,
			t.Draining, t.Cold, WithStart(t.Started))
	}
	return list
}

// removedOf returns the IDs of the removed targets.
func removedOf(r ListRecord) []ident.Target {
	list := make([]ident.Target, len(r.Gone))
	for i, id := range r.Gone {
		list[i] = ident.Target(id)
	}
	return list
}
