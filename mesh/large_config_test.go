package mesh

import (
	"bytes"
	"context"
	"errors"
	"testing"
)

// TestLargeConfig guards against a configuration that is never acknowledged
// because of its size, against one that is refused only after the operator has
// waited, and against one that blocks the changes after it.
func TestLargeConfig(t *testing.T) {
	cluster := newControlCluster(t, "a", "b", "c")
	names := []string{"a", "b", "c"}
	for _, name := range names {
		cluster.start(name, names, names)
	}
	cluster.waitForVoters(names...)
	cases := []struct {
		name string
		size int
		want error
	}{
		{"of a few hundred routes", 150 << 10, nil},
		{"ten times as large", 1500 << 10, nil},
		{"at the limit", MaxConfigBytes, nil},
		{"above the limit", MaxConfigBytes + 1, ErrTooLarge},
		{"a small one afterwards", 10, nil},
	}
	newest := []byte(nil)
	for i, c := range cases {
		// Every host takes changes, not only the leader.
		h := cluster.hosts[names[i%len(names)]]
		source := bytes.Repeat([]byte{byte('a' + i)}, c.size)
		if err := h.control.Put(cluster.ctx, uint64(i+1), source); !errors.Is(err, c.want) {
			t.Fatalf("%s: %v, want %v", c.name, err, c.want)
		}
		if c.want == nil {
			newest = source
		}
		for _, name := range names {
			state, err := cluster.hosts[name].control.Read(context.WithoutCancel(cluster.ctx))
			if err != nil || !bytes.Equal(state.Source(), newest) {
				t.Fatalf("%s: host %s reads %d bytes, %v", c.name, name, len(state.Source()), err)
			}
		}
	}
}
