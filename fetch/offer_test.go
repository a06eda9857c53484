package fetch

import (
	"bytes"
	"testing"
	"time"

	"rhubarbrack/patch"
)

// TestOffer guards against a small change that waits for a transfer although it
// has arrived with its announcement, and against a difference that does not fit
// and is taken for a configuration.
func TestOffer(t *testing.T) {
	now := time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	first := config(50, 1)
	second := append(bytes.Clone(first), "one more route"...)
	third := append(bytes.Clone(second), "and another"...)
	archive := patch.NewArchive()
	for version, document := range [][]byte{first, second, third} {
		archive.Add(uint64(version+1), document)
	}
	whole := func(version, base uint64, size int) patch.Piece {
		p, err := archive.Piece(patch.NewRequest(version, base, 0, size))
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	cases := []struct {
		name  string
		offer patch.Piece
		// newest is the version that the peer announces.
		newest uint64
		taken  bool
	}{
		{"difference to the version of the host", whole(2, 1, 1<<20), 2, true},
		{"the same while a transfer has begun", whole(3, 1, 1<<20), 3, true},
		{"difference to another version", whole(3, 2, 1<<20), 3, false},
		{"only a part", whole(2, 1, 10), 2, false},
		{"older than the transfer under way", whole(2, 1, 1<<20), 3, false},
		{"damaged", whole(2, 1, 1<<20).WithChecksum(7), 2, false},
		{"not newer", whole(1, 0, 1<<20), 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewReceiver("host")
			r.Announce("peer", 1, true)
			for _, o := range r.Next(now) {
				r.Received(now, o, whole(1, 0, 1<<20))
			}
			if _, ok := r.Complete(); !ok {
				t.Fatal("the first version has not arrived")
			}
			r.Finish(now, true)
			r.Announce("peer", c.newest, true)
			r.Next(now)
			r.Offer(now, "peer", c.offer)
			encoded, ok := r.Complete()
			if ok != c.taken {
				t.Fatalf("taken %v, want %v", ok, c.taken)
			}
			if !ok {
				return
			}
			want := map[uint64][]byte{2: second, 3: third}[encoded.Version()]
			if got, err := encoded.Decode(first); err != nil || !bytes.Equal(got, want) {
				t.Errorf("version %d decoded with %v, %d bytes", encoded.Version(), err, len(got))
			}
		})
	}
}

// TestOfferAfterCorruptDocument guards against a host that takes the same
// difference again and again although it yields another document.
func TestOfferAfterCorruptDocument(t *testing.T) {
	now := time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	archive := patch.NewArchive()
	archive.Add(1, config(50, 1))
	p, err := archive.Piece(patch.NewRequest(1, 0, 0, 1<<20))
	if err != nil {
		t.Fatal(err)
	}
	r := NewReceiver("host")
	r.Announce("peer", 1, true)
	r.Offer(now, "peer", p)
	if _, ok := r.Complete(); !ok {
		t.Fatal("offer not taken")
	}
	r.Finish(now, false)
	r.Offer(now, "peer", p)
	if _, ok := r.Complete(); ok {
		t.Error("offer taken again")
	}
}
