package state

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const treeSeed = 20260302

// valid reports whether the subtree is balanced and its heights and counts are
// correct.
func (n *node[K, V]) valid() bool {
	if n == nil {
		return true
	}
	difference := n.left.depth() - n.right.depth()
	return difference >= -1 && difference <= 1 && n.height == 1+max(n.left.depth(), n.right.depth()) &&
		n.count == 1+n.left.size()+n.right.size() && n.left.valid() && n.right.valid()
}

// Guards against a tree that loses an entry or modifies an earlier version.
// Members or keys would then be missing on some hosts only.
func TestTreeIsAnImmutableMap(t *testing.T) {
	t.Logf("seed %d", treeSeed)
	p := gopter.DefaultTestParametersWithSeed(treeSeed)
	p.MinSuccessfulTests = 300
	p.MaxSize = 300
	properties := gopter.NewProperties(p)
	properties.Property("tree equals map", prop.ForAll(func(steps []int) (bool, error) {
		tr, want := tree[int, int]{}, map[int]int{}
		for i, s := range steps {
			earlier, copied := tr, maps.Clone(want)
			if key := s / 2 % 64; s%2 == 0 {
				tr, want[key] = tr.set(key, i), i
			} else {
				tr = tr.remove(key)
				delete(want, key)
			}
			if err := checkEqual(tr, want); err != nil {
				return false, err
			}
			if err := checkEqual(earlier, copied); err != nil {
				return false, fmt.Errorf("earlier version: %w", err)
			}
		}
		return true, nil
	}, gen.SliceOf(gen.IntRange(0, 1<<20))))
	properties.TestingRun(t)
}

func checkEqual(tr tree[int, int], want map[int]int) error {
	if !tr.root.valid() {
		return fmt.Errorf("tree is out of balance")
	}
	if tr.root.depth() > 2*bits.Len(uint(len(want)))+1 {
		return fmt.Errorf("height %d for %d entries", tr.root.depth(), len(want))
	}
	var keys []int
	tr.each(func(k, v int) bool {
		if want[k] == v {
			keys = append(keys, k)
		}
		return true
	})
	if sorted := slices.Sorted(maps.Keys(want)); !slices.Equal(keys, sorted) || tr.len() != len(want) {
		return fmt.Errorf("keys %v, want %v", keys, sorted)
	}
	return nil
}
