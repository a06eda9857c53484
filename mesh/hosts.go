package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbrack/ident"
)

// EntryHost is an entry host as another host knows it.
type EntryHost struct {
	host    ident.Host
	address string
	zone    ident.Zone
	region  ident.Region
	ready   bool
	heard   time.Time
}

// Address returns where callers reach the host.
func (e EntryHost) Address() string { return e.address }

// Zone returns the zone of the host.
func (e EntryHost) Zone() ident.Zone { return e.zone }

// Region returns the region of the host.
func (e EntryHost) Region() ident.Region { return e.region }

// tagOf returns a number that differs for lists of different addresses. It is
// never zero.
func tagOf(list []EntryHost) uint64 {
	d := xxhash.New()
	for _, e := range list {
		// A digest takes all that is written.
		_, _ = d.WriteString(e.address + "\n")
	}
	return d.Sum64() | 1
}

// nearest returns the hosts that callers from a region are sent to: those of
// the region, or else those of the given homes, or else all.
func nearest(all []EntryHost, region ident.Region, homes []ident.Region) []EntryHost {
	near := filter(all, func(e EntryHost) bool { return e.region == region })
	if len(near) == 0 && len(homes) > 0 {
		near = filter(all, func(e EntryHost) bool { return slices.Contains(homes, e.region) })
	}
	if len(near) == 0 {
		near = all
	}
	return near
}

func filter(list []EntryHost, keep func(EntryHost) bool) []EntryHost {
	var kept []EntryHost
	for _, e := range list {
		if keep(e) {
			kept = append(kept, e)
		}
	}
	return kept
}

func sortHosts(list []EntryHost) {
	slices.SortFunc(list, func(a, b EntryHost) int { return cmp.Compare(a.address, b.address) })
}
