package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbrack/ident"
)

// EntryHost is what other hosts know about an entry host.
type EntryHost struct {
	host      ident.Host
	address   string
	zone      ident.Zone
	region    ident.Region
	ready     bool
	lastHeard time.Time
}

// Address returns the address at which callers reach the host.
func (e EntryHost) Address() string { return e.address }

// Zone returns the zone of the host.
func (e EntryHost) Zone() ident.Zone { return e.zone }

// Region returns the region of the host.
func (e EntryHost) Region() ident.Region { return e.region }

// tagOf returns a hash of the addresses that identifies the list. It is never
// zero.
func tagOf(list []EntryHost) uint64 {
	d := xxhash.New()
	for _, e := range list {
		// Writing to a digest never fails.
		_, _ = d.WriteString(e.address + "\n")
	}
	return d.Sum64() | 1
}

// nearest returns the hosts for callers from a region: those of the region, or
// else those of the preferred regions, or else all.
func nearest(all []EntryHost, region ident.Region, preferred []ident.Region) []EntryHost {
	near := filter(all, func(e EntryHost) bool { return e.region == region })
	if len(near) == 0 && len(preferred) > 0 {
		near = filter(all, func(e EntryHost) bool { return slices.Contains(preferred, e.region) })
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

func sortByAddress(list []EntryHost) {
	slices.SortFunc(list, func(a, b EntryHost) int { return cmp.Compare(a.address, b.address) })
}
