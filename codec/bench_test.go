package codec

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/state"
)

var memberCounts = []int{10, 100, 1000, 3400}

func host(i int) ident.Host { return ident.Host(fmt.Sprintf("edge-%04d", i)) }

func joinOf(i int, incarnation ident.Incarnation) state.Command {
	return state.NewJoin(state.NewMember(host(i), incarnation, "gulf-a", "gulf",
		fmt.Sprintf("10.%d.%d.1:443", i>>8, i&255), fmt.Sprintf("10.%d.%d.1:7000", i>>8, i&255)))
}

// manyMembers returns a Machine with records of every kind and n members.
func manyMembers(b *testing.B, n int) *state.Machine {
	b.Helper()
	m := fullMachine(b)
	for i := range n - 1 {
		if err := m.Apply(m.Revision()+1, state.Stamp(joinOf(i+10, 1), epoch)).Err(); err != nil {
			b.Fatal(err)
		}
	}
	return m
}

func perMembers(b *testing.B, run func(b *testing.B, m *state.Machine, n int)) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) { run(b, manyMembers(b, n), n) })
	}
}

func BenchmarkApplyJoin(b *testing.B) {
	perMembers(b, func(b *testing.B, m *state.Machine, n int) {
		b.ReportAllocs()
		for i := range b.N {
			m.Apply(m.Revision()+1, state.Stamp(joinOf(i%(n-1)+10, ident.Incarnation(i+2)), epoch))
		}
	})
}

func BenchmarkApplyPutDocument(b *testing.B) {
	samples, err := Samples()
	if err != nil {
		b.Fatal(err)
	}
	s := samples[len(samples)-1]
	perMembers(b, func(b *testing.B, m *state.Machine, _ int) {
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

// A claim and its resolution, with 50,000 claims in the table.
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
	perMembers(b, func(b *testing.B, m *state.Machine, _ int) {
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
	perMembers(b, func(b *testing.B, m *state.Machine, _ int) {
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

// An entry host that is 1,000 changes behind reads and replays them.
func BenchmarkCatchUp(b *testing.B) {
	perMembers(b, func(b *testing.B, m *state.Machine, n int) {
		start, first := m.Config(), m.Revision()
		deltas := make([][]byte, 0, 1000)
		for i := range 1000 {
			command := state.Stamp(joinOf(i%(n-1)+10, ident.Incarnation(i+2)), epoch)
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
	perMembers(b, func(b *testing.B, m *state.Machine, n int) {
		c := m.Config()
		b.ReportAllocs()
		for i := range b.N {
			c.Match("bells.test:443", "POST", "/bells/7")
			c.Key("k1")
			c.Member(host(i%n + 10))
			c.Role("rates/0")
		}
	})
}

// Reading a fleet text with many client blocks.
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
