package fetch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rhubarbrack/patch"
)

// config returns a configuration with the given number of routes, each with
// random names.
func config(routes int, seed uint64) []byte {
	r := rand.New(rand.NewPCG(seed, 1))
	var b bytes.Buffer
	for range routes {
		fmt.Fprintf(&b, `{"host":"%010x.example","rules":[{"name":"r-%08x","kind":"safe","latency-ms":200,"priority":2,`+
			`"public":false,"sticky":true,"prefix":"/%08x/","service":"s%d","timeout-ms":1200,"attempts":2,"regions":[]}]},`,
			r.Uint64()>>24, r.Uint32(), r.Uint32(), r.IntN(4))
	}
	return b.Bytes()
}

// link simulates the link of the receiving host: pieces arrive one after the
// other, each after a round trip.
type link struct {
	t        *testing.T
	now      time.Time
	rate     float64
	rtt      time.Duration
	freeAt   time.Time
	archives map[string]*patch.Archive
	receiver *Receiver
	document []byte
	arrivals []arrival
	// fault changes the fate of a piece.
	fault func(o Order, p patch.Piece) (patch.Piece, bool)
	// requested and asked record what was requested.
	requested int
	asked     []string
}

type arrival struct {
	at    time.Time
	order Order
	piece patch.Piece
	lost  bool
}

const (
	testRate = 250_000
	testRTT  = 110 * time.Millisecond
	// pieceTimeout is when a lost piece is noticed.
	pieceTimeout = 900 * time.Millisecond
)

func newLink(t *testing.T, peers ...string) *link {
	l := &link{
		t: t, now: time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC), rate: testRate, rtt: testRTT,
		archives: map[string]*patch.Archive{}, receiver: NewReceiver("host", WithPieceBytes(12_500)),
		fault: func(_ Order, p patch.Piece) (patch.Piece, bool) { return p, false },
	}
	for _, p := range peers {
		l.archives[p] = patch.NewArchive()
	}
	return l
}

// put adds a version on all control hosts.
func (l *link) put(version uint64, document []byte) {
	for peer, a := range l.archives {
		a.Add(version, document)
		l.receiver.Announce(peer, version, false)
	}
}

// run carries out orders until the receiver holds the version, and returns how
// long that took.
func (l *link) run(version uint64) time.Duration {
	l.t.Helper()
	start := l.now
	for l.receiver.Held() < version {
		l.send()
		if len(l.arrivals) == 0 {
			// The next heartbeat.
			l.now = l.now.Add(400 * time.Millisecond)
		} else {
			l.deliver()
		}
		if l.now.Sub(start) > time.Minute {
			l.t.Fatalf("version %d is not there after a minute", version)
		}
	}
	return l.now.Sub(start)
}

func (l *link) send() {
	for _, o := range l.receiver.Next(l.now) {
		l.requested += o.Request().Size()
		l.asked = append(l.asked, o.Peer())
		p, err := l.archives[o.Peer()].Piece(o.Request())
		if err != nil {
			l.t.Fatal(err)
		}
		p, lost := l.fault(o, p)
		at := l.now.Add(pieceTimeout)
		if !lost {
			at = l.now.Add(l.rtt)
			if l.freeAt.After(at) {
				at = l.freeAt
			}
			at = at.Add(time.Duration(float64(len(p.Data())) / l.rate * float64(time.Second)))
			l.freeAt = at
		}
		l.arrivals = append(l.arrivals, arrival{at: at, order: o, piece: p, lost: lost})
	}
	slices.SortStableFunc(l.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
}

func (l *link) deliver() {
	a := l.arrivals[0]
	l.arrivals = l.arrivals[1:]
	l.now = a.at
	if a.lost {
		l.receiver.Failed(l.now, a.order)
		return
	}
	l.receiver.Received(l.now, a.order, a.piece)
	encoded, ok := l.receiver.Complete()
	if !ok {
		return
	}
	document, err := encoded.Decode(l.document)
	if err == nil {
		l.document = document
	}
	l.receiver.Finish(l.now, err == nil)
}

// TestSlowLink guards against configurations that do not arrive over a slow
// link, and against changes that cost as much as the whole. A host has 2.5 s
// to put a configuration in force, of which a heartbeat takes 0.4 s and half a
// second is left for decoding.
func TestSlowLink(t *testing.T) {
	const bound = 1600 * time.Millisecond
	large := config(10000, 1)
	changed := bytes.Replace(large, []byte(`"attempts":2`), []byte(`"attempts":3`), 1)
	cases := []struct {
		name     string
		versions [][]byte
	}{
		{"100 routes", [][]byte{config(100, 1)}},
		{"2,000 routes", [][]byte{config(2000, 1)}},
		{"10,000 routes", [][]byte{large}},
		{"10,000 routes, then a change", [][]byte{large, changed}},
		{"2,400 routes added to 100", [][]byte{config(100, 1), config(2500, 1)}},
	}
	for _, c := range cases {
		l := newLink(t, "a", "b")
		for i, d := range c.versions {
			l.put(uint64(i+1), d)
			if took := l.run(uint64(i + 1)); took > bound {
				t.Errorf("%s: version %d took %v, want at most %v", c.name, i+1, took, bound)
			}
			if !bytes.Equal(l.document, d) {
				t.Errorf("%s: version %d differs from what was put", c.name, i+1)
			}
		}
	}
}

// TestFaultsOnTheWay guards against transfers that begin anew or never end
// when pieces are lost, peers fail, or versions change.
func TestFaultsOnTheWay(t *testing.T) {
	document := config(2000, 1)
	whole, err := patch.Encode(nil, document)
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name  string
		fault func(l *link) func(o Order, p patch.Piece) (patch.Piece, bool)
		// maxRequested limits the bytes that are requested in all.
		maxRequested int
	}{
		{"no fault", func(l *link) func(Order, patch.Piece) (patch.Piece, bool) { return l.fault }, len(whole) + 12_500},
		{"every fourth piece lost", func(*link) func(Order, patch.Piece) (patch.Piece, bool) {
			n := 0
			return func(_ Order, p patch.Piece) (patch.Piece, bool) { n++; return p, n%4 == 0 }
		}, 2 * len(whole)},
		{"peer dies in the middle", func(*link) func(Order, patch.Piece) (patch.Piece, bool) {
			n, first := 0, ""
			return func(o Order, p patch.Piece) (patch.Piece, bool) {
				if n++; n == 1 {
					first = o.Peer()
				}
				return p, n > 2 && o.Peer() == first
			}
		}, 2 * len(whole)},
		{"corrupt piece", func(*link) func(Order, patch.Piece) (patch.Piece, bool) {
			n := 0
			return func(_ Order, p patch.Piece) (patch.Piece, bool) {
				if n++; n == 2 {
					data := bytes.Clone(p.Data())
					data[0] ^= 1
					p = patch.NewPiece(p.Version(), p.Base(), p.Digest(), p.Encoding(), p.Total(), p.Offset(), data).WithChecksum(p.Checksum())
				}
				return p, false
			}
		}, 2 * len(whole)},
		{"wrong digest", func(*link) func(Order, patch.Piece) (patch.Piece, bool) {
			n := 0
			return func(_ Order, p patch.Piece) (patch.Piece, bool) {
				if n++; n == 1 {
					p = patch.NewPiece(p.Version(), p.Base(), patch.Digest{}, p.Encoding(), p.Total(), p.Offset(), p.Data())
				}
				return p, false
			}
		}, 3 * len(whole)},
		{"link down for 10 s", func(l *link) func(Order, patch.Piece) (patch.Piece, bool) {
			start := l.now
			return func(_ Order, p patch.Piece) (patch.Piece, bool) {
				since := l.now.Sub(start)
				return p, since > 200*time.Millisecond && since < 10*time.Second
			}
		}, 4 * len(whole)},
		{"version gone in the middle", func(l *link) func(Order, patch.Piece) (patch.Piece, bool) {
			n := 0
			return func(_ Order, p patch.Piece) (patch.Piece, bool) {
				if n++; n == 2 {
					for v := range uint64(9) {
						l.put(2+v, config(10, v))
					}
				}
				return p, false
			}
		}, 3 * len(whole)},
	}
	for _, c := range cases {
		l := newLink(t, "a", "b", "c")
		l.put(1, document)
		l.fault = c.fault(l)
		l.run(1)
		if l.requested > c.maxRequested {
			t.Errorf("%s: %d bytes requested, want at most %d", c.name, l.requested, c.maxRequested)
		}
		held := l.receiver.Held()
		l.run(l.receiver.sources.newest())
		if held == 1 && !bytes.Equal(l.document, document) {
			t.Errorf("%s: document differs from what was put", c.name)
		}
	}
}

// TestHerd guards against hosts that all ask the same control host, and
// against asking a distant one while a near one has the version.
func TestHerd(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	const hosts = 300
	asked := map[string]int{}
	for i := range hosts {
		r := NewReceiver(fmt.Sprintf("host-%d", i))
		r.Announce("far", 1, false)
		r.Announce("near-1", 1, true)
		r.Announce("near-2", 1, true)
		r.Announce("near-old", 0, true)
		for _, o := range r.Next(now) {
			asked[o.Peer()]++
		}
	}
	if asked["far"] > 0 || asked["near-old"] > 0 || min(asked["near-1"], asked["near-2"]) < hosts/3 {
		t.Errorf("hosts asked %v", asked)
	}
}

// TestLostPiecesBecomeSmaller guards against pieces that never arrive in time
// because other traffic leaves them little of the link.
func TestLostPiecesBecomeSmaller(t *testing.T) {
	document := config(2000, 1)
	l := newLink(t, "a", "b")
	l.put(1, document)
	l.fault = func(o Order, p patch.Piece) (patch.Piece, bool) { return p, o.Request().Size() > 3000 }
	l.run(1)
	if !bytes.Equal(l.document, document) {
		t.Error("document differs from what was put")
	}
}
