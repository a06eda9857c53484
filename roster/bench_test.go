package roster

import (
	"fmt"
	"testing"

	"rhubarbrack/ident"
)

// Measures the cost of a plan by the number of members, without a change and
// after the loss of a zone with a tenth of the roles, and reports how many roles
// move.
func BenchmarkPlan(b *testing.B) {
	for _, lost := range []bool{false, true} {
		for _, n := range []int{103, 1000, 3400} {
			b.Run(fmt.Sprintf("zone-lost=%v/members=%d", lost, n), func(b *testing.B) {
				var members []Member
				var regions []ident.Region
				for i := range n {
					members = append(members, NewMember(ident.Host(fmt.Sprintf("h%04d", i)), 1,
						ident.Zone(fmt.Sprint(i%103)), ident.Region(fmt.Sprint(i%103%27)), Live))
				}
				for i := range 27 {
					regions = append(regions, ident.Region(fmt.Sprint(i)))
				}
				roles := Roles(regions, 4)
				current := Plan(members, nil, roles, func(Assignment) bool { return false })
				ended := func(a Assignment) bool {
					return lost && (a.role.name == "slots/0" || a.role.name == "rates/0" || a.role.name == "rates/1")
				}
				moves := 0
				for b.Loop() {
					moves = len(Plan(members, current, roles, ended))
				}
				b.ReportMetric(float64(moves), "moves")
			})
		}
	}
}
