package admit

import (
	"slices"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/reach"
)

const (
	// maxPeers is the number of other entry hosts that are asked in turn to
	// handle a request.
	maxPeers = 4
	// maxUnreachable is the number of targets to which no connection can be
	// opened after which a request is sent through another entry host.
	maxUnreachable = 2
)

// UsePeers makes the controller send requests through other entry hosts while
// the targets are out of reach.
func (c *Controller) UsePeers(p *reach.Peers) { c.peers = p }

// SetPeers replaces the entry hosts through which requests can be sent.
func (c *Controller) SetPeers(list []reach.Peer) {
	if c.peers != nil {
		c.peers.Update(list)
	}
}

// needsPeer reports whether a request should not be tried from this host. A
// request that another host has sent here is not sent on, so that none goes
// around in circles.
func (c *Controller) needsPeer(now time.Time, s *RequestState) bool {
	return !s.isForwarded && (c.tracker.IsCutOff(s.service) ||
		s.unreachable >= maxUnreachable && !c.tracker.CanConnect(now, s.service))
}

// canOnlyUsePeer reports whether no target is left for a request because of failures
// to connect, which are not those of single targets.
func (c *Controller) canOnlyUsePeer(now time.Time, s *RequestState) bool {
	return c.table.HasUnreachable(now, s.service) && !c.tracker.CanConnect(now, s.service)
}

// choosePeer selects the entry host through which a request is sent. It hands
// over all attempts that are left, since that host decides on retries.
func (c *Controller) choosePeer(now time.Time, s *RequestState) (Decision, bool) {
	if c.peers == nil || s.isForwarded || len(s.triedPeers) >= maxPeers {
		return Decision{}, false
	}
	peer, ok := c.peers.Choose(now, s.service, s.allowsRegion, s.triedPeers)
	if !ok {
		return Decision{}, false
	}
	if !c.canWaitForPeer(now, s) {
		c.peers.Record(now, peer, s.service, now, reach.Inconclusive)
		return Decision{state: s, reason: NotReady, retryAfter: defaultRetryAfter}, true
	}
	c.work.accept(s)
	s.triedPeers = append(s.triedPeers, peer.Address())
	s.attemptsBefore, s.attempts = s.attempts, s.route.Attempts()
	return Decision{state: s, peer: ident.Some(peer)}, true
}

// confirmPeer refuses a request that is no longer to be sent through its peer because
// the host has begun to stop. Nothing was sent.
func (c *Controller) confirmPeer(now time.Time, d Decision, peer reach.Peer) Decision {
	s := d.state
	handedOver := s.attempts
	s.attempts = s.attemptsBefore
	if !c.canWaitForPeer(now, s) {
		c.peers.Record(now, peer, s.service, now, reach.Inconclusive)
		return Decision{state: s, reason: NotReady, retryAfter: defaultRetryAfter}
	}
	s.attempts = handedOver
	return d
}

// RetryPeer decides what happens to a request after a peer was unavailable for it.
// Nothing was sent to a target.
func (c *Controller) RetryPeer(now time.Time, s *RequestState) Decision {
	s.attempts = s.attemptsBefore
	if s.deadline.Sub(now) < minAttemptTime {
		return Decision{state: s, reason: OutOfTime}
	}
	if d, ok := c.choosePeer(now, s); ok {
		return d
	}
	return Decision{state: s, reason: NoTarget, retryAfter: reach.ProbeInterval}
}

// RecordPeer records the result of an attempt through a peer that began at the
// given time.
func (c *Controller) RecordPeer(now time.Time, peer reach.Peer, service ident.Service, began time.Time, result reach.PeerResult) {
	if c.peers != nil {
		c.peers.Record(now, peer, service, began, result)
	}
}

// allowsRegion reports whether the request may be sent to a host of a region.
func (s *RequestState) allowsRegion(r ident.Region) bool {
	return (len(s.route.Regions()) == 0 || slices.Contains(s.route.Regions(), r)) &&
		(len(s.regions) == 0 || slices.Contains(s.regions, r))
}

// Terms returns the terms on which another entry host handles the request.
func (s *RequestState) Terms() Terms {
	object := ""
	if s.route.HasAffinity() {
		object = s.request.object
	}
	return NewTerms(s.route.Name(), s.route.Kind(), s.service, s.team, object, s.route.LatencyObjective(),
		s.route.Regions(), s.regions, max(1, s.route.Attempts()-s.attemptsBefore))
}
