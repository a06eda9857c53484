package node

import (
	"fmt"
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/route"
	"rhubarbrack/state"
)

// Measures the cost of building the members of a view, which an entry host does
// for each new revision.
func BenchmarkViewMembers(b *testing.B) {
	for _, n := range []int{100, 1000, 3400} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			machine := state.NewMachine()
			for i := range n {
				join := state.NewJoin(state.NewMember(ident.Host(fmt.Sprintf("edge-%04d", i)), 1, "zone-001", "region-01",
					"10.0.0.1:443", "10.0.0.1:7000"))
				if err := machine.Apply(machine.Revision()+1, state.Stamp(join, time.Unix(1e9, 0))).Err(); err != nil {
					b.Fatal(err)
				}
			}
			d := &dispatcher{released: map[state.RoleName]ident.Epoch{}}
			view := route.NewView(machine.Config(), time.Unix(1e9, 0))
			b.ReportAllocs()
			for b.Loop() {
				d.buildMembers(view)
			}
		})
	}
}
