package reach

import (
	"fmt"
	"testing"
	"time"

	"rhubarbrack/ident"
)

func anyRegion(ident.Region) bool { return true }

func newTestPeers(host ident.Host, near, far int) *Peers {
	p := NewPeers(host, "near")
	var list []Peer
	for i := range near {
		list = append(list, NewPeer(fmt.Sprintf("n%d:1", i), "near"))
	}
	for i := range far {
		list = append(list, NewPeer(fmt.Sprintf("f%d:1", i), "far"))
	}
	p.Update(list)
	return p
}

// TestChoosePeer guards against requests that leave the regions in which they may
// run, and against peers that are used although they were unavailable a short time ago.
func TestChoosePeer(t *testing.T) {
	cases := []struct {
		name      string
		near, far int
		allows    func(ident.Region) bool
		prepare   func(*Peers)
		want      ident.Region
	}{
		{"own region first", 3, 3, anyRegion, func(*Peers) {}, "near"},
		{"another region if there is none", 0, 3, anyRegion, func(*Peers) {}, "far"},
		{"only allowed regions", 3, 3, func(r ident.Region) bool { return r == "far" }, func(*Peers) {}, "far"},
		{"no allowed region", 3, 3, func(ident.Region) bool { return false }, func(*Peers) {}, ""},
		{"another region if the own one is busy", 1, 1, anyRegion, func(p *Peers) {
			for range otherRegionPenalty + 1 {
				p.Choose(start, "s", anyRegion, []string{"f0:1"})
			}
		}, "far"},
		{"another region if the own one is unavailable", 2, 1, anyRegion, func(p *Peers) {
			p.Record(start, NewPeer("n0:1", "near"), "s", start, Unavailable)
			p.Record(start, NewPeer("n1:1", "near"), "s", start, Unavailable)
		}, "far"},
		{"unavailable for another service", 1, 1, anyRegion, func(p *Peers) {
			p.Record(start, NewPeer("n0:1", "near"), "u", start, Unavailable)
		}, "near"},
		{"available since", 1, 1, anyRegion, func(p *Peers) {
			p.Record(start, NewPeer("n0:1", "near"), "s", start, Unavailable)
			p.Record(start, NewPeer("n0:1", "near"), "s", start, Available)
		}, "near"},
		{"attempt cancelled while it is unavailable", 1, 1, anyRegion, func(p *Peers) {
			p.Record(start, NewPeer("n0:1", "near"), "s", start, Unavailable)
			p.Record(start, NewPeer("n0:1", "near"), "s", start, Inconclusive)
		}, "far"},
		{"available for a request that began later", 1, 1, anyRegion, func(p *Peers) {
			p.Record(start.Add(time.Second), NewPeer("n0:1", "near"), "s", start.Add(time.Second), Available)
			p.Record(start.Add(2*time.Second), NewPeer("n0:1", "near"), "s", start, Unavailable)
		}, "near"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPeers("h", c.near, c.far)
			c.prepare(p)
			peer, ok := p.Choose(start, "s", c.allows, nil)
			if ok != (c.want != "") || peer.Region() != c.want {
				t.Errorf("chose %v, %v; want region %q", peer, ok, c.want)
			}
		})
	}
}

// TestPeersOfManyHosts guards against many hosts that all use the same few peers.
func TestPeersOfManyHosts(t *testing.T) {
	used := map[string]int{}
	for i := range 60 {
		p := newTestPeers(ident.Host(fmt.Sprint("host-", i)), 20, 0)
		for range 9 {
			peer, _ := p.Choose(start, "s", anyRegion, nil)
			used[peer.Address()]++
		}
	}
	// Each of the 20 gets 27 of the 540 on average.
	for address, n := range used {
		if n > 3*27 {
			t.Errorf("%s gets %d requests", address, n)
		}
	}
	if len(used) < 15 {
		t.Errorf("%d of 20 peers are used", len(used))
	}
}

// TestFewAvailablePeers guards against requests that are lost in the search for the
// few peers that reach the targets.
func TestFewAvailablePeers(t *testing.T) {
	p := newTestPeers("h", 40, 0)
	now, asked := start, 0
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		peer, ok := p.Choose(now, "s", anyRegion, nil)
		if !ok {
			t.Fatal("no peer is left")
		}
		result := Unavailable
		if peer.Address() == "n7:1" || peer.Address() == "n20:1" {
			result = Available
		} else {
			asked++
		}
		p.Record(now, peer, "s", now, result)
	}
	// Each of the 38 others is asked once, and again after 1 s and 3 s.
	if asked > 3*38 {
		t.Errorf("%d of 200 requests were sent to unavailable peers", asked)
	}
}
