package prof

import (
	"fmt"
	"math"
	"net/netip"
	"slices"

	"rhubarbrack/ident"
)

// FleetName is the name of the fleet document. There is only one.
const FleetName = "fleet"

// Fleet defines the regions and their availability zones, the capacities of
// the links between regions, and the client blocks with the nearest zone of
// each.
type Fleet struct {
	regions      []Region
	links        []Link
	blocks       []Block
	regionByZone map[ident.Zone]ident.Region
	regionIndex  map[ident.Region]int
	capacities   map[[2]ident.Region]int64
}

// Region is a named group of availability zones.
type Region struct {
	name  ident.Region
	zones []ident.Zone
}

// Name returns the name of the region.
func (r Region) Name() ident.Region { return r.name }

// Zones returns the availability zones in the order of the document.
func (r Region) Zones() []ident.Zone { return slices.Clone(r.zones) }

// Link is the connection between two regions.
type Link struct {
	from, to          ident.Region
	forward, backward int64
}

// From returns the source region of the forward direction.
func (l Link) From() ident.Region { return l.from }

// To returns the destination region of the forward direction.
func (l Link) To() ident.Region { return l.to }

// Forward returns the capacity from From to To in bytes per second.
func (l Link) Forward() int64 { return l.forward }

// Backward returns the capacity from To to From in bytes per second.
func (l Link) Backward() int64 { return l.backward }

// Block is a range of client addresses with its nearest zone.
type Block struct {
	cidr string
	zone ident.Zone
}

// CIDR returns the address range in CIDR notation.
func (b Block) CIDR() string { return b.cidr }

// Zone returns the nearest zone to the clients in the block.
func (b Block) Zone() ident.Zone { return b.zone }

// FleetOption adds an element to a fleet.
type FleetOption func(*Fleet)

// WithRegion adds a region and its zones.
func WithRegion(name ident.Region, zones ...ident.Zone) FleetOption {
	return func(f *Fleet) { f.regions = append(f.regions, Region{name: name, zones: slices.Clone(zones)}) }
}

// WithLink adds a link between two regions with its capacity in each direction
// in bytes per second.
func WithLink(from, to ident.Region, forward, backward int64) FleetOption {
	return func(f *Fleet) {
		f.links = append(f.links, Link{from: from, to: to, forward: forward, backward: backward})
	}
}

// WithBlock adds a client block in CIDR notation with its nearest zone.
func WithBlock(cidr string, zone ident.Zone) FleetOption {
	return func(f *Fleet) { f.blocks = append(f.blocks, Block{cidr: cidr, zone: zone}) }
}

// NewFleet returns a fleet with the given elements, or a *ValidationError.
// Regions, linked pairs of regions and blocks must be unique. Zones must be
// unique across all regions. Links and blocks must refer to regions and zones
// of the fleet.
func NewFleet(options ...FleetOption) (*Fleet, error) {
	f := &Fleet{
		regionByZone: make(map[ident.Zone]ident.Region),
		regionIndex:  make(map[ident.Region]int),
		capacities:   make(map[[2]ident.Region]int64),
	}
	for _, o := range options {
		o(f)
	}
	var v validator
	f.checkRegions(&v)
	f.checkLinks(&v)
	f.checkBlocks(&v)
	if err := v.err(KindFleet, FleetName); err != nil {
		return nil, fmt.Errorf("new fleet: %w", err)
	}
	return f, nil
}

func (f *Fleet) checkRegions(v *validator) {
	v.require(len(f.regions) > 0, "regions", "", "at least one region")
	for i, r := range f.regions {
		v.checkName(elementPath("regions", i, "name"), string(r.name))
		_, seen := f.regionIndex[r.name]
		v.require(!seen, elementPath("regions", i, "name"), r.name, "a region that is not listed before")
		f.regionIndex[r.name] = i
		v.require(len(r.zones) > 0, elementPath("regions", i, "zones"), "", "at least one availability zone")
		for j, z := range r.zones {
			field := elementPath(elementPath("regions", i, "zones"), j, "")
			v.checkName(field, string(z))
			_, seen := f.regionByZone[z]
			v.require(!seen, field, z, "a zone that is not listed before")
			f.regionByZone[z] = r.name
		}
	}
}

func (f *Fleet) checkLinks(v *validator) {
	for i, l := range f.links {
		f.checkRegion(v, elementPath("links", i, "from"), l.from)
		f.checkRegion(v, elementPath("links", i, "to"), l.to)
		v.require(l.from != l.to, elementPath("links", i, "to"), l.to, "a region other than from")
		_, seen := f.capacities[[2]ident.Region{l.from, l.to}]
		v.require(!seen, elementPath("links", i, "to"), l.to, "a pair of regions that is not linked before")
		v.checkCount(elementPath("links", i, "forward-bytes-per-second"), l.forward, 1, math.MaxInt64)
		v.checkCount(elementPath("links", i, "backward-bytes-per-second"), l.backward, 1, math.MaxInt64)
		f.capacities[[2]ident.Region{l.from, l.to}] = l.forward
		f.capacities[[2]ident.Region{l.to, l.from}] = l.backward
	}
}

func (f *Fleet) checkRegion(v *validator, field string, region ident.Region) {
	_, known := f.regionIndex[region]
	v.require(known, field, region, "a region of this document")
}

func (f *Fleet) checkBlocks(v *validator) {
	seen := make(map[netip.Prefix]struct{}, len(f.blocks))
	for i, b := range f.blocks {
		if _, known := f.regionByZone[b.zone]; !known {
			v.add(elementPath("client-blocks", i, "zone"), b.zone, "a zone of this document")
		}
		prefix, err := netip.ParsePrefix(b.cidr)
		if err != nil || prefix != prefix.Masked() {
			v.add(elementPath("client-blocks", i, "block"), b.cidr, "a CIDR block without host bits, such as 203.0.113.0/24")
			continue
		}
		if _, duplicate := seen[prefix]; duplicate {
			v.add(elementPath("client-blocks", i, "block"), b.cidr, "a block that is not listed before")
		}
		seen[prefix] = struct{}{}
	}
}

// Kind returns KindFleet.
func (f *Fleet) Kind() Kind { return KindFleet }

// Name returns FleetName.
func (f *Fleet) Name() string { return FleetName }

// Regions returns the regions in the order of the document.
func (f *Fleet) Regions() []Region { return slices.Clone(f.regions) }

// Region returns the region with the given name, if it exists.
func (f *Fleet) Region(name ident.Region) (Region, bool) {
	i, ok := f.regionIndex[name]
	if !ok {
		return Region{}, false
	}
	return f.regions[i], true
}

// RegionOf returns the region of a zone, if the zone exists.
func (f *Fleet) RegionOf(zone ident.Zone) (ident.Region, bool) {
	r, ok := f.regionByZone[zone]
	return r, ok
}

// Links returns the links in the order of the document.
func (f *Fleet) Links() []Link { return slices.Clone(f.links) }

// LinkCapacity returns the capacity in bytes per second from one region to
// another, and whether they are linked.
func (f *Fleet) LinkCapacity(from, to ident.Region) (int64, bool) {
	capacity, ok := f.capacities[[2]ident.Region{from, to}]
	return capacity, ok
}

// Blocks returns the client blocks in the order of the document.
func (f *Fleet) Blocks() []Block { return slices.Clone(f.blocks) }
