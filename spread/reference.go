package spread

import (
	"cmp"
	"slices"
	"time"
)

// References returns at most n targets other than the given one which show
// whether this host reaches targets at all: those of the same service first, and
// of several the ones that have responded last.
func (t *Table) References(now time.Time, other Target, n int) []Target {
	var states []*targetState
	for _, s := range t.targets {
		if s.id != other.id && s.address != other.address && t.isEligible(now, s) {
			states = append(states, s)
		}
	}
	slices.SortFunc(states, func(a, b *targetState) int {
		if isNear := a.service == other.service; isNear != (b.service == other.service) {
			if isNear {
				return -1
			}
			return 1
		}
		return cmp.Or(b.respondedAt.Compare(a.respondedAt), compare(a.hash, b.hash))
	})
	var list []Target
	for _, s := range states[:min(n, len(states))] {
		list = append(list, s.Target)
	}
	return list
}
