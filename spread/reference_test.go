package spread

import (
	"slices"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// TestReferences guards against taking a target for ended because of a cut, for
// want of a target to compare it with, or because it is compared with itself.
func TestReferences(t *testing.T) {
	target := func(id, service string, draining bool) Target {
		return NewTarget(ident.Target(id), ident.Service(service), id+":80", "a-1", "a", 4, draining, time.Time{})
	}
	other := target("t", "s", false)
	cases := []struct {
		name    string
		targets []Target
		// responded are the targets that have responded, the last one first.
		responded []ident.Target
		want      []ident.Target
	}{
		{"none", []Target{other}, nil, nil},
		{"same service first", []Target{other, target("u", "s", false), target("v", "r", false)}, []ident.Target{"v", "u"}, []ident.Target{"u", "v"}},
		{"last response first", []Target{other, target("u", "s", false), target("v", "s", false)}, []ident.Target{"v", "u"}, []ident.Target{"v", "u"}},
		{"draining", []Target{other, target("u", "s", true)}, nil, nil},
		{"at most two", []Target{other, target("u", "s", false), target("v", "s", false), target("w", "s", false)}, []ident.Target{"w", "u", "v"}, []ident.Target{"w", "u"}},
	}
	for _, c := range cases {
		table := NewTable("a-1", "a", NewColdBounds(1.5, 5))
		table.Update(c.targets)
		for i, id := range c.responded {
			table.targets[id].respondedAt = start.Add(-time.Duration(i) * time.Second)
		}
		var got []ident.Target
		for _, r := range table.References(start, other, 2) {
			got = append(got, r.ID())
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
