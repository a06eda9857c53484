package codec

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/prof"
	"rhubarbrack/state"
)

var memberCounts = []int{10, 100, 1000, 3400}

func hostName(i int) ident.Host { return ident.Host(fmt.Sprintf("edge-%04d", i)) }

func joinCommand(i int, incarnation ident.Incarnation) state.Command {
	return state.NewJoin(state.NewMember(hostName(i), incarnation, "gulf-a", "gulf",
		fmt.Sprintf("10.%d.%d.1:443", i>>8, i&255), fmt.Sprintf("10.%d.%d.1:7000", i>>8, i&255)))
}

// machineWithMembers returns a Machine with records of every kind and n
// members.
func machineWithMembers(b *testing.B, n int) *state.Machine {
	b.Helper()
	m := fullMachine(b)
	for i := range n - 1 {
		if err := m.Apply(m.Revision()+1, state.Stamp(joinCommand(i+10, 1), epoch)).Err(); err != nil {
			b.Fatal(err)
		}
	}
	return m
}

// forMemberCounts runs a benchmark for Machines with different numbers of
// members.
func forMemberCounts(b *testing.B, run func(b *testing.B, m *state.Machine, n int)) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) { run(b, machineWithMembers(b, n), n) })
	}
}

func BenchmarkApplyJoin(b *testing.B) {
	forMemberCounts(b, func(b *testing.B, m *state.Machine, n int) {
		b.ReportAllocs()
		for i := range b.N {
			m.Apply(m.Revision()+1, state.Stamp(joinCommand(i%(n-1)+10, ident.Incarnation(i+2)), epoch))
		}
	})
}

func BenchmarkApplyPutDocument(b *testing.B) {
	samples, err := Samples()
	if err != nil {
		b.Fatal(err)
	}
	s := samples[len(samples)-1]
	forMemberCounts(b, func(b *testing.B, m *state.Machine, _ int) {
		b.ReportAllocs()
		for i := range b.N {
			old, _ := m.Config().Document(s.Document().Kind(), s.Document().Name())
			put := state.NewPutDocument(ident.RequestID(fmt.Sprint("b", i)), old.Revision(), s.Document(), s.Source())
			if err := m.Apply(m.Revision()+1, state.Stamp(put, epoch)).Err(); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkClaimAndResolve measures a claim and its resolution with 50,000
// claims in the table.
func BenchmarkClaimAndResolve(b *testing.B) {
	m := fullMachine(b)
	result := once.Ran(once.NewResult(201, nil, make([]byte, 200)))
	run := func(i int) {
		team := ident.Team(fmt.Sprint("t", i%8))
		key := once.NewKey(team, ident.RequestID(fmt.Sprint("r", i)))
		holder := once.NewHolder("edge-1", 1, uint64(i))
		at := epoch.Add(time.Duration(i) * 1728 * time.Millisecond) // 50,000 claims in 24 h
		m.Apply(m.Revision()+1, state.Stamp(state.NewClaim(key, ident.Fingerprint{}, holder), at))
		if err := m.Apply(m.Revision()+1, state.Stamp(state.NewResolve(key, holder, result), at)).Err(); err != nil {
			b.Fatal(err)
		}
	}
	for i := range 50_000 {
		run(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		run(50_000 + i)
	}
}

func BenchmarkEncodeConfig(b *testing.B) {
	forMemberCounts(b, func(b *testing.B, m *state.Machine, _ int) {
		size := 0
		for range b.N {
			data, err := EncodeConfig(m.Config())
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
		}
		b.ReportMetric(float64(size), "snapshot-bytes")
	})
}

func BenchmarkDecodeConfig(b *testing.B) {
	forMemberCounts(b, func(b *testing.B, m *state.Machine, _ int) {
		data, err := EncodeConfig(m.Config())
		if err != nil {
			b.Fatal(err)
		}
		for range b.N {
			if _, err := DecodeConfig(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkCatchUp measures an entry host that decodes and replays 1,000
// commands.
func BenchmarkCatchUp(b *testing.B) {
	forMemberCounts(b, func(b *testing.B, m *state.Machine, n int) {
		start, first := m.Config(), m.Revision()
		deltas := make([][]byte, 0, 1000)
		for i := range 1000 {
			command := state.Stamp(joinCommand(i%(n-1)+10, ident.Incarnation(i+2)), epoch)
			data, err := EncodeCommand(command)
			if err != nil {
				b.Fatal(err)
			}
			deltas = append(deltas, data)
		}
		for range b.N {
			config := start
			for i, data := range deltas {
				command, err := DecodeCommand(data)
				if err != nil {
					b.Fatal(err)
				}
				if config, err = state.Replay(config, first+ident.Revision(i)+1, command); err != nil {
					b.Fatal(err)
				}
			}
		}
	})
}

func BenchmarkLookups(b *testing.B) {
	forMemberCounts(b, func(b *testing.B, m *state.Machine, n int) {
		c := m.Config()
		b.ReportAllocs()
		for i := range b.N {
			c.Match("bells.test:443", "POST", "/bells/7")
			c.Key("k1")
			c.Member(hostName(i%n + 10))
			c.Role("rates/0")
		}
	})
}

// BenchmarkDecodeFleet measures decoding a fleet document by the number of
// client blocks.
func BenchmarkDecodeFleet(b *testing.B) {
	for _, n := range []int{1000, 10_000, 90_000} {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			var text strings.Builder
			text.WriteString("kind: fleet\nname: fleet\nregions:\n  - name: gulf\n    zones: [gulf-a]\nclient-blocks:\n")
			for i := range n {
				fmt.Fprintf(&text, "- block: %d.%d.%d.0/24\n  zone: gulf-a\n", 10+i>>16, i>>8&255, i&255)
			}
			b.SetBytes(int64(text.Len()))
			b.ReportAllocs()
			for range b.N {
				if _, err := DecodeDocument([]byte(text.String())); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// machineWithBlocks returns a Machine whose fleet has 27 regions with 103
// zones and n client blocks. It does not decode the document from YAML,
// because its text may exceed MaxDocumentBytes.
func machineWithBlocks(b *testing.B, n int) *state.Machine {
	b.Helper()
	options := []prof.FleetOption{}
	var text strings.Builder
	text.WriteString("kind: fleet\nname: fleet\nclient-blocks:\n")
	for r := range 27 {
		var zones []ident.Zone
		for z := r; z < 103; z += 27 {
			zones = append(zones, ident.Zone(fmt.Sprintf("zone-%03d", z)))
		}
		options = append(options, prof.WithRegion(ident.Region(fmt.Sprintf("region-%02d", r)), zones...))
	}
	for i := range n {
		cidr, zone := fmt.Sprintf("%d.%d.%d.0/24", 10+i>>16, i>>8&255, i&255), fmt.Sprintf("zone-%03d", i%103)
		options = append(options, prof.WithBlock(cidr, ident.Zone(zone)))
		fmt.Fprintf(&text, "- block: %s\n  zone: %s\n", cidr, zone)
	}
	fleet, err := prof.NewFleet(options...)
	if err != nil {
		b.Fatal(err)
	}
	m := state.NewMachine()
	if err := m.Apply(1, state.Stamp(state.NewPutDocument("fleet", 0, fleet, text.String()), epoch)).Err(); err != nil {
		b.Fatal(err)
	}
	return m
}

var blockCounts = []int{1000, 57_000, 570_000}

// BenchmarkEncodeBlocks measures the size of a snapshot and the time to encode
// it by the number of client blocks.
func BenchmarkEncodeBlocks(b *testing.B) {
	for _, n := range blockCounts {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			m := machineWithBlocks(b, n)
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				data, err := EncodeConfig(m.Config())
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "snapshot-bytes")
		})
	}
}

// BenchmarkDecodeBlocks measures the time to decode a snapshot and the heap
// size of the configuration by the number of client blocks.
func BenchmarkDecodeBlocks(b *testing.B) {
	for _, n := range blockCounts {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			data, err := EncodeConfig(machineWithBlocks(b, n).Config())
			if err != nil {
				b.Fatal(err)
			}
			benchmarkDecode(b, data)
		})
	}
}

// BenchmarkDecodeMembers measures the time to decode a snapshot and the heap
// size of the configuration by the number of members.
func BenchmarkDecodeMembers(b *testing.B) {
	forMemberCounts(b, func(b *testing.B, m *state.Machine, _ int) {
		data, err := EncodeConfig(m.Config())
		if err != nil {
			b.Fatal(err)
		}
		benchmarkDecode(b, data)
	})
}

// benchmarkDecode measures the time to decode a Config and its heap size.
func benchmarkDecode(b *testing.B, data []byte) {
	b.Helper()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	config, err := DecodeConfig(data)
	if err != nil {
		b.Fatal(err)
	}
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeConfig(data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/1e6, "heap-MB")
	runtime.KeepAlive(config)
}

// BenchmarkCommandBytes measures the size of the commands that are replicated
// to entry hosts.
func BenchmarkCommandBytes(b *testing.B) {
	samples, err := Samples()
	if err != nil {
		b.Fatal(err)
	}
	var shares []state.Share
	for i := range 27 {
		shares = append(shares, state.NewShare(ident.Region(fmt.Sprintf("region-%02d", i)), 1.0/27))
	}
	team, service := samples[1], samples[len(samples)-1]
	cases := []struct {
		name    string
		command state.Command
	}{
		{name: "join", command: joinCommand(1, 1)},
		{name: "expire", command: state.NewExpire(hostName(1), 1)},
		{name: "assign-role", command: state.NewAssignRole("slots/region-01", hostName(1), 7)},
		{name: "issue-key", command: state.NewIssueKey("request-000001", "key-000001", "captains", [32]byte{1})},
		{name: "put-team", command: state.NewPutDocument("request-000001", 1, team.Document(), team.Source())},
		{name: "put-service", command: state.NewPutDocument("request-000001", 1, service.Document(), service.Source())},
		{name: "shares-27-regions", command: state.NewSetShares("bells", "region-01", shares)},
	}
	for _, bc := range cases {
		b.Run(bc.name, func(b *testing.B) {
			command, size := state.Stamp(bc.command, epoch), 0
			for b.Loop() {
				data, err := EncodeCommand(command)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkEncodeClaims measures the size of a control host snapshot and the
// time to encode it by the number of claims. Each result has 200 bytes.
func BenchmarkEncodeClaims(b *testing.B) {
	for _, n := range []int{1000, 10_000, 50_000, 190_000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			m := machineWithMembers(b, 10)
			result := once.Ran(once.NewResult(201, nil, make([]byte, 200)))
			for i := range n {
				key := once.NewKey(ident.Team(fmt.Sprint("t", i%8)), ident.RequestID(fmt.Sprint("r", i)))
				holder := once.NewHolder("edge-1", 1, uint64(i))
				m.Apply(m.Revision()+1, state.Stamp(state.NewClaim(key, ident.Fingerprint{}, holder), epoch))
				if err := m.Apply(m.Revision()+1, state.Stamp(state.NewResolve(key, holder, result), epoch)).Err(); err != nil {
					b.Fatal(err)
				}
			}
			size := 0
			for b.Loop() {
				data, err := EncodeMachine(m)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "snapshot-bytes")
		})
	}
}
