package limit

import (
	"fmt"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// Measures the cost of a request that finds a token on its host.
func BenchmarkAdmit(b *testing.B) {
	now := time.Unix(1000, 0)
	h := NewHolder(NewHolderID("a", 1))
	h.SetLimits(map[ident.Team]Limit{testTeam: mustLimit(1e6, 1e12)}, 1)
	h.SetEpoch(0, 1, now)
	h.Admit(testTeam, now, false)
	r, _ := h.NextRequest(testTeam, now, 1)
	h.HandleResponse(NewResponse(testTeam, 1, r.Sequence(), Granted, 1e12, 1e12, 0), now)
	for b.Loop() {
		now = now.Add(time.Microsecond / 10)
		if !h.Admit(testTeam, now, false).Admitted() {
			b.Fatal("refused")
		}
	}
}

// Measures the cost of a grant by the number of holders of the team.
func BenchmarkGrant(b *testing.B) {
	for _, holders := range []int{10, 340, 3400} {
		b.Run(fmt.Sprintf("%d holders", holders), func(b *testing.B) {
			now := time.Unix(1000, 0)
			o := NewOwner(1, DefaultLifetime, nil)
			o.SetLimit(testTeam, mustLimit(1e6, 1e9), now)
			now = now.Add(2 * DefaultLifetime)
			sequence := uint64(0)
			granted := int64(0)
			for b.Loop() {
				sequence++
				now = now.Add(10 * time.Microsecond)
				id := NewHolderID("a", ident.Incarnation(sequence%uint64(holders)))
				a := o.Grant(NewTokenRequest(id, 1, sequence, NewHolding(testTeam, 0, 0, sequence), 1e9, 1, 5), now)
				granted += a.Tokens()
			}
			if granted == 0 {
				b.Fatal("nothing granted")
			}
		})
	}
}
