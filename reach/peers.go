package reach

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbrack/ident"
)

const (
	// maxActivePeers is the number of entry hosts of a region that share the
	// forwarded requests of a host. Hosts that are out of reach of the targets
	// too are found out after a few requests this way.
	maxActivePeers = 3
	// otherRegionPenalty is by how many forwarded requests in flight a host of
	// the own region must be busier for one of another region to be chosen.
	otherRegionPenalty = 8
	// minSuspension and maxSuspension bound how long a host that was unavailable
	// is not used again. The time doubles with each consecutive failure.
	minSuspension = time.Second
	maxSuspension = 8 * time.Second
)

// Peer is an entry host through which requests can be sent.
type Peer struct {
	address string
	region  ident.Region
}

// NewPeer returns a peer that takes requests at an address of the form
// host:port.
func NewPeer(address string, region ident.Region) Peer { return Peer{address: address, region: region} }

// Address returns the address at which the peer takes requests.
func (p Peer) Address() string { return p.address }

// Region returns the region of the peer.
func (p Peer) Region() ident.Region { return p.region }

// peerState is what a host knows of a peer. Failures count by service, since a
// peer may reach the targets of one and not of another.
type peerState struct {
	Peer
	// rank differs between hosts, so that they use different peers.
	rank        uint64
	inFlight    int
	availableAt time.Time
	failures    map[ident.Service]int
	suspendedAt map[ident.Service]time.Time
}

func (s *peerState) isSuspended(now time.Time, service ident.Service) bool {
	n := s.failures[service]
	if n == 0 {
		return false
	}
	return now.Sub(s.suspendedAt[service]) < min(minSuspension<<min(n-1, 8), maxSuspension)
}

// PeerResult tells what an attempt through a peer says of it.
type PeerResult uint8

const (
	// Inconclusive means that the attempt was cancelled.
	Inconclusive PeerResult = iota
	// Available means that the peer reaches targets.
	Available
	// Unavailable means that the peer did not respond or reaches no target.
	Unavailable
)

// Peers chooses the entry hosts through which requests are sent. It is not safe
// for concurrent use.
type Peers struct {
	hash   uint64
	region ident.Region
	states map[string]*peerState
	ranked []*peerState
}

// NewPeers returns an empty set of peers of the named host in a region.
func NewPeers(host ident.Host, region ident.Region) *Peers {
	return &Peers{hash: xxhash.Sum64String(string(host)), region: region, states: map[string]*peerState{}}
}

// Update replaces the peers. What is known of those that remain is kept.
func (p *Peers) Update(list []Peer) {
	states := map[string]*peerState{}
	p.ranked = p.ranked[:0]
	for _, peer := range list {
		s, ok := p.states[peer.address]
		if !ok {
			s = &peerState{
				rank:     p.hash ^ xxhash.Sum64String(peer.address),
				failures: map[ident.Service]int{}, suspendedAt: map[ident.Service]time.Time{},
			}
		}
		s.Peer = peer
		states[peer.address] = s
		p.ranked = append(p.ranked, s)
	}
	p.states = states
	slices.SortFunc(p.ranked, func(a, b *peerState) int { return cmp.Compare(a.rank, b.rank) })
}

// Choose selects a peer for a request of a service and counts the request as in
// flight there. The caller must pass the peer to Record when the attempt ends.
// Peers in a region for which allows returns false, and those tried before, are
// left out.
func (p *Peers) Choose(now time.Time, service ident.Service, allows func(ident.Region) bool, tried []string) (Peer, bool) {
	var best *peerState
	least, active := 0, map[ident.Region]int{}
	for _, s := range p.ranked {
		if !allows(s.region) || slices.Contains(tried, s.address) || s.isSuspended(now, service) {
			continue
		}
		if active[s.region]++; active[s.region] > maxActivePeers {
			continue
		}
		cost := s.inFlight
		if s.region != p.region {
			cost += otherRegionPenalty
		}
		if best == nil || cost < least {
			best, least = s, cost
		}
	}
	if best == nil {
		return Peer{}, false
	}
	best.inFlight++
	return best.Peer, true
}

// Record records the result of an attempt through a peer that began at the given
// time. A peer that was unavailable is suspended for the service, unless it was
// available for another request since.
func (p *Peers) Record(now time.Time, peer Peer, service ident.Service, began time.Time, result PeerResult) {
	s, ok := p.states[peer.address]
	if !ok {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	switch {
	case result == Available:
		s.availableAt = now
		delete(s.failures, service)
	case result == Unavailable && !s.isSuspended(now, service) && !s.availableAt.After(began):
		s.failures[service]++
		s.suspendedAt[service] = now
	}
}
