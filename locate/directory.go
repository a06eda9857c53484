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
	// maxNearbyHosts bounds the number of hosts of the nearest region in a
	// result, so that results are small for regions with hundreds of hosts.
	maxNearbyHosts = 8
	// maxFallbackHosts bounds the number of hosts of other regions in a result.
	maxFallbackHosts = 2
	// sameZoneWeight is the weight of a host in the caller's zone. It prefers
	// these hosts without sending them all requests.
	sameZoneWeight = 2.0
	// sameRegionWeight is the weight of a host in another zone of the region.
	sameRegionWeight = 1.0
	// resultsPerZone is the number of different results for the clients of a
	// zone. With several results, the clients use all hosts of a large region.
	resultsPerZone = 16
)

// Host is an entry host that accepts new callers.
type Host struct {
	name    ident.Host
	zone    ident.Zone
	region  ident.Region
	address string
}

// NewHost returns a host whose HTTP front end for callers listens on address.
func NewHost(name ident.Host, zone ident.Zone, region ident.Region, address string) Host {
	return Host{name: name, zone: zone, region: region, address: address}
}

// Name returns the name of the host.
func (h Host) Name() ident.Host { return h.name }

// Address returns the IP address and port of the host's HTTP front end.
func (h Host) Address() string { return h.address }

// WeightedHost is a host in a result with its weight. A weight of 0 marks a
// fallback that callers use only if no other host responds.
type WeightedHost struct {
	host   Host
	weight float64
}

// Host returns the host.
func (h WeightedHost) Host() Host { return h.host }

// Weight returns the weight of the host relative to the other hosts of the
// result.
func (h WeightedHost) Weight() float64 { return h.weight }

// Result is the result of a lookup: the hosts to use, nearest first, and how
// long a caller may cache them.
type Result struct {
	hosts []WeightedHost
	ttl   time.Duration
}

// Hosts returns the hosts, nearest first.
func (r Result) Hosts() []WeightedHost { return r.hosts }

// TTL returns how long the result may be cached.
func (r Result) TTL() time.Duration { return r.ttl }

// Directory selects entry hosts for callers. It is immutable and safe for
// concurrent use. All results are precomputed, so a lookup only selects one.
type Directory struct {
	table    *Table
	byRegion map[ident.Region][]Host
	regions  []ident.Region
	ttl      time.Duration
	seed     maphash.Seed
	results  map[ident.Zone][]Result
}

// NewDirectory returns a directory of the given hosts. The map regions holds
// the region of each zone. Callers may cache results for ttl.
func NewDirectory(table *Table, regions map[ident.Zone]ident.Region, hosts []Host, ttl time.Duration) *Directory {
	d := &Directory{
		table: table, ttl: ttl, seed: maphash.MakeSeed(),
		byRegion: make(map[ident.Region][]Host),
		results:  make(map[ident.Zone][]Result),
	}
	for _, h := range hosts {
		if _, ok := d.byRegion[h.region]; !ok {
			d.regions = append(d.regions, h.region)
		}
		d.byRegion[h.region] = append(d.byRegion[h.region], h)
	}
	slices.Sort(d.regions)
	for _, regionHosts := range d.byRegion {
		slices.SortFunc(regionHosts, func(a, b Host) int { return cmp.Compare(a.name, b.name) })
	}
	// The empty zone holds the results for clients without a known zone.
	d.results[""] = d.buildResults("", "")
	for zone, region := range regions {
		d.results[zone] = d.buildResults(zone, region)
	}
	return d
}

// Zone returns the zone of a client address.
func (d *Directory) Zone(client netip.Addr) (ident.Zone, bool) { return d.table.Zone(client) }

// Lookup returns the hosts that a client should use: hosts of its region, with
// a greater weight in its zone, and a few hosts of other regions as fallbacks.
// Clients that are in no client block, or in a region without hosts, are
// distributed over all regions by their address. The result is empty only if
// there are no hosts.
func (d *Directory) Lookup(client netip.Addr) Result {
	zone, _ := d.table.Zone(client)
	results, ok := d.results[zone]
	if !ok {
		results = d.results[""]
	}
	return results[d.hashClient(client)%resultsPerZone]
}

// buildResults returns the results for the clients of a zone.
func (d *Directory) buildResults(zone ident.Zone, region ident.Region) []Result {
	out := make([]Result, resultsPerZone)
	for i := range out {
		out[i] = d.buildResult(zone, region, i)
	}
	return out
}

// buildResult returns one of the results for the clients of a zone.
func (d *Directory) buildResult(zone ident.Zone, region ident.Region, index int) Result {
	if len(d.byRegion[region]) == 0 {
		if len(d.regions) == 0 {
			return Result{ttl: d.ttl}
		}
		region = d.regions[index%len(d.regions)]
	}
	// Successive results start at evenly spaced hosts of the region.
	start := index * max(1, len(d.byRegion[region])/resultsPerZone)
	selected := make([]WeightedHost, 0, maxNearbyHosts+maxFallbackHosts)
	for _, h := range circularWindow(d.byRegion[region], start, maxNearbyHosts) {
		weight := sameRegionWeight
		if h.zone == zone {
			weight = sameZoneWeight
		}
		selected = append(selected, WeightedHost{host: h, weight: weight})
	}
	slices.SortStableFunc(selected, func(a, b WeightedHost) int { return cmp.Compare(b.weight, a.weight) })
	return Result{hosts: d.appendFallbacks(selected, region, index), ttl: d.ttl}
}

// hashClient returns a hash of the client's address. It distributes the
// clients of a zone evenly over its results. Each client always gets the same
// result from a Directory.
func (d *Directory) hashClient(client netip.Addr) uint64 {
	bytes := client.As16()
	return maphash.Bytes(d.seed, bytes[:])
}

// appendFallbacks appends one host each of other regions as fallbacks,
// beginning at the region with index start.
func (d *Directory) appendFallbacks(selected []WeightedHost, nearest ident.Region, start int) []WeightedHost {
	added := 0
	for i := range d.regions {
		region := d.regions[(start+i)%len(d.regions)]
		if region == nearest {
			continue
		}
		for _, h := range circularWindow(d.byRegion[region], start, 1) {
			selected = append(selected, WeightedHost{host: h})
			added++
		}
		if added == maxFallbackHosts {
			break
		}
	}
	return selected
}

// circularWindow returns n consecutive hosts, beginning at index start and
// wrapping around at the end. It returns all hosts if there are at most n.
func circularWindow(hosts []Host, start, n int) []Host {
	if len(hosts) <= n {
		return hosts
	}
	out := make([]Host, 0, n)
	for i := range n {
		out = append(out, hosts[(start+i)%len(hosts)])
	}
	return out
}
