package fetch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// retryPause is how long a peer that failed is not asked again.
const retryPause = 500 * time.Millisecond

// source is what is known about a peer.
type source struct {
	version  uint64
	isNear   bool
	failedAt time.Time
}

// sources are the peers of a host. The preference among equal ones is derived
// from the name of the host, so that many hosts spread over the peers.
type sources struct {
	host  string
	peers map[string]*source
}

func newSources(host string) *sources { return &sources{host: host, peers: map[string]*source{}} }

func (s *sources) announce(peer string, version uint64, isNear bool) {
	p, ok := s.peers[peer]
	if !ok {
		p = &source{}
		s.peers[peer] = p
	}
	p.version, p.isNear = version, isNear
}

func (s *sources) forget(peer string) { delete(s.peers, peer) }

func (s *sources) fail(peer string, now time.Time) {
	if p, ok := s.peers[peer]; ok {
		p.failedAt = now
	}
}

// newest returns the newest version that a peer has.
func (s *sources) newest() uint64 {
	var newest uint64
	for _, p := range s.peers {
		newest = max(newest, p.version)
	}
	return newest
}

// choose returns the peer to ask for a version: the current one while it
// works, or else the best other. It returns false while all have failed
// recently.
func (s *sources) choose(now time.Time, current string, version uint64) (string, bool) {
	if p, ok := s.peers[current]; ok && p.isUsable(now, version) {
		return current, true
	}
	best, found := "", false
	for name, p := range s.peers {
		if p.isUsable(now, version) && (!found || s.isBetter(name, best)) {
			best, found = name, true
		}
	}
	return best, found
}

func (p *source) isUsable(now time.Time, version uint64) bool {
	return p.version >= version && (p.failedAt.IsZero() || now.Sub(p.failedAt) >= retryPause)
}

func (s *sources) isBetter(a, b string) bool {
	if near := s.peers[a].isNear; near != s.peers[b].isNear {
		return near
	}
	return s.rank(a) > s.rank(b)
}

func (s *sources) rank(peer string) uint64 { return xxhash.Sum64String(s.host + "\n" + peer) }
