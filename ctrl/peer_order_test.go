package ctrl

import (
	"slices"
	"testing"

	"rhubarbrack/agree"
)

// Guards against batches that are reordered, wait for a lost batch, or are
// dropped.
func TestInOrder(t *testing.T) {
	type batch struct{ session, sequence uint64 }
	cases := []struct {
		name    string
		arrive  []batch
		want    []batch
		waiting int
	}{
		{name: "in order", arrive: []batch{{1, 0}, {1, 1}, {1, 2}}, want: []batch{{1, 0}, {1, 1}, {1, 2}}},
		{name: "swapped", arrive: []batch{{1, 1}, {1, 0}, {1, 2}}, want: []batch{{1, 0}, {1, 1}, {1, 2}}},
		{name: "waiting", arrive: []batch{{1, 0}, {1, 2}, {1, 3}}, want: []batch{{1, 0}}, waiting: 2},
		{name: "new session", arrive: []batch{{1, 1}, {2, 0}, {2, 1}}, want: []batch{{2, 0}, {2, 1}}},
		{name: "late batch of an old session", arrive: []batch{{2, 0}, {1, 5}}, want: []batch{{2, 0}, {1, 5}}},
		{
			name:   "lost batch",
			arrive: []batch{{1, 1}, {1, 2}, {1, 3}, {1, 4}, {1, 5}, {1, 6}, {1, 7}, {1, 8}, {1, 0}},
			want:   []batch{{1, 1}, {1, 2}, {1, 3}, {1, 4}, {1, 5}, {1, 6}, {1, 7}, {1, 8}, {1, 0}},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			buffer := newReorderBuffer()
			var got []batch
			for _, b := range tc.arrive {
				m := agree.NewMessage(agree.MessageAppend, agree.Term(b.session), "b", "a", 2, 1).WithProgress(0, 0, b.sequence)
				r := batchReceived{from: "b", session: b.session, sequence: b.sequence, messages: []agree.Message{m}}
				for _, out := range buffer.add(r) {
					got = append(got, batch{uint64(out.Term()), out.Round()})
				}
			}
			if !slices.Equal(got, tc.want) || len(buffer.streams["b"].pending) != tc.waiting {
				t.Errorf("got %v, %d waiting; want %v, %d", got, len(buffer.streams["b"].pending), tc.want, tc.waiting)
			}
		})
	}
}
