package locate

import (
	"cmp"
	"hash/maphash"
	"net/netip"
	"slices"
	"time"

	"rhubarbrack/ident"
)

const (
	// maxNearest bounds the hosts of the nearest region in one answer, so
	// that an answer stays small where a region has hundreds of hosts.
	maxNearest = 8
	// maxFallback bounds the hosts of other regions in one answer.
	maxFallback = 2
	// sameZoneWeight prefers hosts in the caller's own zone without sending
	// them everything.
	sameZoneWeight = 2.0
	// sameRegionWeight is the weight of a host in another zone of the region.
	sameRegionWeight = 1.0
	// answersPerZone is the number of different answers that the clients of
	// one zone share, so that they use all hosts of a large region.
	answersPerZone = 16
)

// Host is an entry host that accepts new callers.
type Host struct {
	name    ident.Host
	zone    ident.Zone
	region  ident.Region
	address string
}

// NewHost returns a host whose front for callers listens on address.
func NewHost(name ident.Host, zone ident.Zone, region ident.Region, address string) Host {
	return Host{name: name, zone: zone, region: region, address: address}
}

// Name returns the name of the host.
func (h Host) Name() ident.Host { return h.name }

// Address returns the IP address and port of the host's front.
func (h Host) Address() string { return h.address }

// WeightedHost is a host with its weight. Weight 0 marks a fallback that callers
// use only when no other host answers.
type WeightedHost struct {
	host   Host
	weight float64
}

// Host returns the host of the choice.
func (c WeightedHost) Host() Host { return c.host }

// Weight returns the share of the choice relative to the others.
func (c WeightedHost) Weight() float64 { return c.weight }

// Result lists the hosts to use, nearest first, and how long a caller may
// keep the list.
type Result struct {
	choices  []WeightedHost
	lifetime time.Duration
}

// Hosts returns the hosts, nearest first.
func (a Result) Hosts() []WeightedHost { return a.choices }

// TTL returns how long the answer may be cached.
func (a Result) TTL() time.Duration { return a.lifetime }

// Directory selects entry hosts for callers. It is immutable and safe for
// concurrent use. All answers are built in advance: a look-up only selects
// one.
type Directory struct {
	table    *Table
	byRegion map[ident.Region][]Host
	order    []ident.Region
	lifetime time.Duration
	seed     maphash.Seed
	answers  map[ident.Zone][]Result
}

// NewDirectory returns a directory of the given hosts. Regions maps each zone
// to its region. Lifetime is how long callers may cache an answer.
func NewDirectory(table *Table, regions map[ident.Zone]ident.Region, hosts []Host, lifetime time.Duration) *Directory {
	d := &Directory{
		table: table, lifetime: lifetime, seed: maphash.MakeSeed(),
		byRegion: make(map[ident.Region][]Host),
		answers:  make(map[ident.Zone][]Result),
	}
	for _, h := range hosts {
		if _, ok := d.byRegion[h.region]; !ok {
			d.order = append(d.order, h.region)
		}
		d.byRegion[h.region] = append(d.byRegion[h.region], h)
	}
	slices.Sort(d.order)
	for _, list := range d.byRegion {
		slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.name, b.name) })
	}
	// The empty zone stands for clients in no known zone.
	d.answers[""] = d.build("", "")
	for zone, region := range regions {
		d.answers[zone] = d.build(zone, region)
	}
	return d
}

// Zone returns the zone of a client address.
func (d *Directory) Zone(client netip.Addr) (ident.Zone, bool) { return d.table.Zone(client) }

// Lookup returns the hosts that the client should use: those of its region,
// with a greater weight in its own zone, and a few of other regions as
// fallbacks. A client in no block, or in a region without hosts, is spread
// over all regions by its address. The answer is empty only when there are no
// hosts.
func (d *Directory) Lookup(client netip.Addr) Result {
	zone, _ := d.table.Zone(client)
	list, ok := d.answers[zone]
	if !ok {
		list = d.answers[""]
	}
	return list[d.spread(client)%answersPerZone]
}

// build returns the answers of one zone.
func (d *Directory) build(zone ident.Zone, region ident.Region) []Result {
	out := make([]Result, answersPerZone)
	for i := range out {
		out[i] = d.buildOne(zone, region, i)
	}
	return out
}

func (d *Directory) buildOne(zone ident.Zone, region ident.Region, number int) Result {
	if len(d.byRegion[region]) == 0 {
		if len(d.order) == 0 {
			return Result{lifetime: d.lifetime}
		}
		region = d.order[number%len(d.order)]
	}
	// Successive answers start at evenly spaced hosts of the region.
	start := number * max(1, len(d.byRegion[region])/answersPerZone)
	choices := make([]WeightedHost, 0, maxNearest+maxFallback)
	for _, h := range window(d.byRegion[region], start, maxNearest) {
		weight := sameRegionWeight
		if h.zone == zone {
			weight = sameZoneWeight
		}
		choices = append(choices, WeightedHost{host: h, weight: weight})
	}
	slices.SortStableFunc(choices, func(a, b WeightedHost) int { return cmp.Compare(b.weight, a.weight) })
	return Result{choices: d.fallbacks(choices, region, number), lifetime: d.lifetime}
}

// spread hashes the client's address, so that the clients of a zone share its
// answers evenly and one client keeps its answer.
func (d *Directory) spread(client netip.Addr) uint64 {
	bytes := client.As16()
	return maphash.Bytes(d.seed, bytes[:])
}

func (d *Directory) fallbacks(choices []WeightedHost, nearest ident.Region, start int) []WeightedHost {
	added := 0
	for i := range d.order {
		region := d.order[(start+i)%len(d.order)]
		if region == nearest {
			continue
		}
		for _, h := range window(d.byRegion[region], start, 1) {
			choices = append(choices, WeightedHost{host: h})
			added++
		}
		if added == maxFallback {
			break
		}
	}
	return choices
}

// window returns up to n hosts of the list, beginning at position start modulo
// its length.
func window(list []Host, start, n int) []Host {
	if len(list) <= n {
		return list
	}
	out := make([]Host, 0, n)
	for i := range n {
		out = append(out, list[(start+i)%len(list)])
	}
	return out
}
