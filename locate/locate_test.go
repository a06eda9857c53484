package locate

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// Guards against a lookup that returns the zone of a shorter prefix.
func TestZone(t *testing.T) {
	table, err := NewTable([]Block{
		NewBlock(netip.MustParsePrefix("10.0.0.0/8"), "east-a"),
		NewBlock(netip.MustParsePrefix("10.1.0.0/16"), "west-a"),
		NewBlock(netip.MustParsePrefix("2001:db8::/32"), "west-b"),
	})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name, address string
		want          ident.Zone
		found         bool
	}{
		{name: "wide block", address: "10.2.3.4", want: "east-a", found: true},
		{name: "longest prefix", address: "10.1.3.4", want: "west-a", found: true},
		{name: "IPv4 in IPv6 form", address: "::ffff:10.1.3.4", want: "west-a", found: true},
		{name: "IPv6", address: "2001:db8::1", want: "west-b", found: true},
		{name: "no block", address: "192.0.2.1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got, found := table.Zone(netip.MustParseAddr(tc.address))
			if got != tc.want || found != tc.found {
				t.Errorf("Zone = %q, %v; want %q, %v", got, found, tc.want, tc.found)
			}
		})
	}
}

// Guards against callers that are directed to distant hosts although nearer
// ones are live, or that get no host although one is live.
func TestLookup(t *testing.T) {
	table, err := NewTable([]Block{NewBlock(netip.MustParsePrefix("10.0.0.0/8"), "east-a")})
	if err != nil {
		t.Fatal(err)
	}
	regions := map[ident.Zone]ident.Region{"east-a": "east", "east-b": "east", "west-a": "west"}
	sameZone := NewHost("e1", "east-a", "east", "127.0.0.1:1")
	sameRegion := NewHost("e2", "east-b", "east", "127.0.0.1:2")
	otherRegion := NewHost("w1", "west-a", "west", "127.0.0.1:3")
	cases := []struct {
		name   string
		hosts  []Host
		client string
		want   []WeightedHost
	}{
		{
			name: "own zone first, other regions as fallbacks", hosts: []Host{otherRegion, sameRegion, sameZone}, client: "10.0.0.1",
			want: []WeightedHost{{host: sameZone, weight: 2}, {host: sameRegion, weight: 1}, {host: otherRegion}},
		},
		{
			name: "region without hosts", hosts: []Host{otherRegion}, client: "10.0.0.1",
			want: []WeightedHost{{host: otherRegion, weight: 1}},
		},
		{name: "no hosts", client: "10.0.0.1"},
		{
			name: "client in no block", hosts: []Host{otherRegion}, client: "192.0.2.1",
			want: []WeightedHost{{host: otherRegion, weight: 1}},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := NewDirectory(table, regions, tc.hosts, time.Minute).Lookup(netip.MustParseAddr(tc.client))
			if fmt.Sprint(got.Hosts()) != fmt.Sprint(tc.want) {
				t.Errorf("Hosts = %v, want %v", got.Hosts(), tc.want)
			}
		})
	}
}

// randomBlocks returns n random client blocks with prefix lengths from 12 to
// 28 in 103 zones, and an address in each block.
func randomBlocks(n int) ([]Block, []netip.Addr) {
	random := rand.New(rand.NewPCG(1, 2))
	seen := make(map[netip.Prefix]bool, n)
	out := make([]Block, 0, n)
	addresses := make([]netip.Addr, 0, n)
	for len(out) < n {
		v := random.Uint32()
		address := netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)})
		prefix := netip.PrefixFrom(address, 12+random.IntN(17)).Masked()
		if seen[prefix] {
			continue
		}
		seen[prefix] = true
		out = append(out, NewBlock(prefix, ident.Zone(fmt.Sprintf("zone-%d", random.IntN(103)))))
		addresses = append(addresses, address)
	}
	return out, addresses
}

func BenchmarkZone(b *testing.B) {
	for _, n := range []int{57_000, 190_000, 570_000} {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			blocks, addresses := randomBlocks(n)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table, err := NewTable(blocks)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			i := 0
			for b.Loop() {
				if _, ok := table.Zone(addresses[i%n]); !ok {
					b.Fatal("address not found")
				}
				i++
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
			runtime.KeepAlive(blocks)
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	blocks, addresses := randomBlocks(570_000)
	table, err := NewTable(blocks)
	if err != nil {
		b.Fatal(err)
	}
	regions := make(map[ident.Zone]ident.Region)
	var hosts []Host
	for i := range 3400 {
		zone := ident.Zone(fmt.Sprintf("zone-%d", i%103))
		region := ident.Region(fmt.Sprintf("region-%d", i%103%27))
		regions[zone] = region
		hosts = append(hosts, NewHost(ident.Host(fmt.Sprintf("host-%d", i)), zone, region, "127.0.0.1:1"))
	}
	d := NewDirectory(table, regions, hosts, time.Second)
	i := 0
	for b.Loop() {
		if len(d.Lookup(addresses[i%len(addresses)]).Hosts()) == 0 {
			b.Fatal("empty result")
		}
		i++
	}
}

// hostsInZones returns n hosts in 103 zones of 27 regions, and the region of
// each zone.
func hostsInZones(n int) (map[ident.Zone]ident.Region, []Host) {
	regions := make(map[ident.Zone]ident.Region)
	var hosts []Host
	for i := range n {
		zone, region := ident.Zone(fmt.Sprintf("zone-%d", i%103)), ident.Region(fmt.Sprintf("region-%d", i%103%27))
		regions[zone] = region
		hosts = append(hosts, NewHost(ident.Host(fmt.Sprintf("host-%d", i)), zone, region, "127.0.0.1:1"))
	}
	return regions, hosts
}

// BenchmarkNewDirectory measures building the directory, which entry hosts do
// for each new revision.
func BenchmarkNewDirectory(b *testing.B) {
	table, err := NewTable(nil)
	if err != nil {
		b.Fatal(err)
	}
	for _, n := range []int{103, 1000, 3400} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			regions, hosts := hostsInZones(n)
			b.ReportAllocs()
			for b.Loop() {
				NewDirectory(table, regions, hosts, time.Second)
			}
		})
	}
}

// BenchmarkNewTable measures building the table, which entry hosts do for each
// new fleet document.
func BenchmarkNewTable(b *testing.B) {
	for _, n := range []int{57_000, 190_000, 570_000} {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			blocks, _ := randomBlocks(n)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := NewTable(blocks); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
