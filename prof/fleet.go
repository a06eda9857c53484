package prof

import (
	"fmt"
	"math"
	"net/netip"
	"slices"

	"rhubarbrack/ident"
)

// FleetName is the only name that a fleet document may have.
const FleetName = "fleet"

// Fleet lists the regions and their availability zones, the capacity of the
// links between regions, and the client blocks with the zone nearest to each.
type Fleet struct {
	regions []Region
	links   []Link
	blocks  []Block
	zones   map[ident.Zone]ident.Region
	index   map[ident.Region]int
	routes  map[[2]ident.Region]int64
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

// From returns the region that the forward capacity leaves.
func (l Link) From() ident.Region { return l.from }

// To returns the region that the forward capacity enters.
func (l Link) To() ident.Region { return l.to }

// Forward returns the capacity from From to To in bytes per second.
func (l Link) Forward() int64 { return l.forward }

// Backward returns the capacity from To to From in bytes per second.
func (l Link) Backward() int64 { return l.backward }

// Block is a range of client addresses and the zone nearest to it.
type Block struct {
	cidr string
	zone ident.Zone
}

// CIDR returns the range in CIDR notation.
func (b Block) CIDR() string { return b.cidr }

// Zone returns the zone nearest to the clients of the block.
func (b Block) Zone() ident.Zone { return b.zone }

// FleetOption adds a part to a fleet.
type FleetOption func(*Fleet)

// WithRegion adds a region and its zones.
func WithRegion(name ident.Region, zones ...ident.Zone) FleetOption {
	return func(f *Fleet) { f.regions = append(f.regions, Region{name: name, zones: slices.Clone(zones)}) }
}

// WithLink adds the link between two regions with its capacity each way in
// bytes per second.
func WithLink(from, to ident.Region, forward, backward int64) FleetOption {
	return func(f *Fleet) {
		f.links = append(f.links, Link{from: from, to: to, forward: forward, backward: backward})
	}
}

// WithBlock adds a client block in CIDR notation and the zone nearest to it.
func WithBlock(cidr string, zone ident.Zone) FleetOption {
	return func(f *Fleet) { f.blocks = append(f.blocks, Block{cidr: cidr, zone: zone}) }
}

// NewFleet returns the fleet with the given parts, or a *ValidationError.
// Regions, zones, linked pairs and blocks must be unique, zones across all
// regions; links and blocks must refer to listed regions and zones.
func NewFleet(options ...FleetOption) (*Fleet, error) {
	f := &Fleet{
		zones:  make(map[ident.Zone]ident.Region),
		index:  make(map[ident.Region]int),
		routes: make(map[[2]ident.Region]int64),
	}
	for _, o := range options {
		o(f)
	}
	var c checker
	f.checkRegions(&c)
	f.checkLinks(&c)
	f.checkBlocks(&c)
	if err := c.err(KindFleet, FleetName); err != nil {
		return nil, fmt.Errorf("new fleet: %w", err)
	}
	return f, nil
}

func (f *Fleet) checkRegions(c *checker) {
	c.require(len(f.regions) > 0, "regions", "", "at least one region")
	for i, r := range f.regions {
		c.name(element("regions", i, "name"), string(r.name))
		_, seen := f.index[r.name]
		c.require(!seen, element("regions", i, "name"), r.name, "a region that is not listed before")
		f.index[r.name] = i
		c.require(len(r.zones) > 0, element("regions", i, "zones"), "", "at least one availability zone")
		for j, z := range r.zones {
			field := element(element("regions", i, "zones"), j, "")
			c.name(field, string(z))
			_, seen := f.zones[z]
			c.require(!seen, field, z, "a zone that is not listed before")
			f.zones[z] = r.name
		}
	}
}

func (f *Fleet) checkLinks(c *checker) {
	for i, l := range f.links {
		f.checkRegion(c, element("links", i, "from"), l.from)
		f.checkRegion(c, element("links", i, "to"), l.to)
		c.require(l.from != l.to, element("links", i, "to"), l.to, "a region other than from")
		_, seen := f.routes[[2]ident.Region{l.from, l.to}]
		c.require(!seen, element("links", i, "to"), l.to, "a pair of regions that is not linked before")
		c.count(element("links", i, "forward-bytes-per-second"), l.forward, 1, math.MaxInt64)
		c.count(element("links", i, "backward-bytes-per-second"), l.backward, 1, math.MaxInt64)
		f.routes[[2]ident.Region{l.from, l.to}] = l.forward
		f.routes[[2]ident.Region{l.to, l.from}] = l.backward
	}
}

func (f *Fleet) checkRegion(c *checker, field string, region ident.Region) {
	_, known := f.index[region]
	c.require(known, field, region, "a region of this document")
}

func (f *Fleet) checkBlocks(c *checker) {
	seen := make(map[netip.Prefix]struct{}, len(f.blocks))
	for i, b := range f.blocks {
		if _, known := f.zones[b.zone]; !known {
			c.add(element("client-blocks", i, "zone"), b.zone, "a zone of this document")
		}
		prefix, err := netip.ParsePrefix(b.cidr)
		if err != nil || prefix != prefix.Masked() {
			c.add(element("client-blocks", i, "block"), b.cidr, "a CIDR block without host bits, such as 203.0.113.0/24")
			continue
		}
		if _, double := seen[prefix]; double {
			c.add(element("client-blocks", i, "block"), b.cidr, "a block that is not listed before")
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

// Region returns the region of that name, if it exists.
func (f *Fleet) Region(name ident.Region) (Region, bool) {
	i, ok := f.index[name]
	if !ok {
		return Region{}, false
	}
	return f.regions[i], true
}

// RegionOf returns the region of a zone, if the zone exists.
func (f *Fleet) RegionOf(zone ident.Zone) (ident.Region, bool) {
	r, ok := f.zones[zone]
	return r, ok
}

// Links returns the links in the order of the document.
func (f *Fleet) Links() []Link { return slices.Clone(f.links) }

// LinkCapacity returns the capacity in bytes per second from one region to
// another, and whether they are linked.
func (f *Fleet) LinkCapacity(from, to ident.Region) (int64, bool) {
	v, ok := f.routes[[2]ident.Region{from, to}]
	return v, ok
}

// Blocks returns the client blocks in the order of the document.
func (f *Fleet) Blocks() []Block { return slices.Clone(f.blocks) }
