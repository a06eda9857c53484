package state

import (
	"slices"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
)

// Document is a document in force, with its source text.
type Document struct {
	document prof.Document
	source   string
	revision ident.Revision
}

// NewDocument returns a document read from a snapshot.
func NewDocument(document prof.Document, source string, revision ident.Revision) Document {
	return Document{document: document, source: source, revision: revision}
}

// Document returns the decoded document.
func (d Document) Document() prof.Document { return d.document }

// Source returns the source text submitted by the operator.
func (d Document) Source() string { return d.source }

// Revision returns the revision at which the document took effect.
func (d Document) Revision() ident.Revision { return d.revision }

// Key is the record of an issued key. It holds the digest of the secret, never
// the secret itself.
type Key struct {
	id        ident.KeyID
	team      ident.Team
	hash      [32]byte
	revision  ident.Revision
	withdrawn time.Time
}

// NewKey returns a key read from a snapshot. The time of withdrawal is zero
// for a valid key.
func NewKey(id ident.KeyID, team ident.Team, hash [32]byte, revision ident.Revision, withdrawn time.Time) Key {
	return Key{id: id, team: team, hash: hash, revision: revision, withdrawn: canonicalTime(withdrawn)}
}

// ID returns the public part of the key.
func (k Key) ID() ident.KeyID { return k.id }

// Team returns the team that owns the key.
func (k Key) Team() ident.Team { return k.team }

// Hash returns the SHA-256 digest of the key.
func (k Key) Hash() [32]byte { return k.hash }

// Revision returns the revision of the key's latest change.
func (k Key) Revision() ident.Revision { return k.revision }

// WithdrawnAt returns the time of the withdrawal. It is zero for a valid key.
func (k Key) WithdrawnAt() time.Time { return k.withdrawn }

// Valid reports whether the key has not been withdrawn.
func (k Key) Valid() bool { return k.withdrawn.IsZero() }

// MemberState is the state of a member.
type MemberState string

// The states of a member. An expired process is not a member.
const (
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
)

// Member is a process on an entry host.
type Member struct {
	host        ident.Host
	incarnation ident.Incarnation
	zone        ident.Zone
	region      ident.Region
	caller      string
	peer        string
	state       MemberState
	revision    ident.Revision
}

// NewMember returns a live member with its addresses for callers and for other
// entry hosts.
func NewMember(host ident.Host, incarnation ident.Incarnation, zone ident.Zone, region ident.Region,
	caller, peer string) Member {
	return Member{host: host, incarnation: incarnation, zone: zone, region: region,
		caller: caller, peer: peer, state: MemberLive}
}

// WithState returns a copy of the member with the given state and revision of
// its latest change.
func (m Member) WithState(state MemberState, revision ident.Revision) Member {
	m.state, m.revision = state, revision
	return m
}

// Host returns the host of the process.
func (m Member) Host() ident.Host { return m.host }

// Incarnation returns the incarnation of the process.
func (m Member) Incarnation() ident.Incarnation { return m.incarnation }

// Zone returns the availability zone of the host.
func (m Member) Zone() ident.Zone { return m.zone }

// Region returns the region of the host.
func (m Member) Region() ident.Region { return m.region }

// CallerAddress returns the address for callers.
func (m Member) CallerAddress() string { return m.caller }

// PeerAddress returns the address for other entry hosts.
func (m Member) PeerAddress() string { return m.peer }

// State reports whether the process is live or leaving.
func (m Member) State() MemberState { return m.state }

// Live reports whether the state of the member is MemberLive.
func (m Member) Live() bool { return m.state == MemberLive }

// Revision returns the revision of the member's latest change.
func (m Member) Revision() ident.Revision { return m.revision }

// RoleName names a role that at most one entry host holds, such as
// "slots/alps".
type RoleName string

// Role is the latest assignment of a role.
type Role struct {
	name        RoleName
	host        ident.Host
	incarnation ident.Incarnation
	epoch       ident.Epoch
	revision    ident.Revision
}

// NewRole returns a role read from a snapshot.
func NewRole(name RoleName, host ident.Host, incarnation ident.Incarnation, epoch ident.Epoch,
	revision ident.Revision) Role {
	return Role{name: name, host: host, incarnation: incarnation, epoch: epoch, revision: revision}
}

// Name returns the name of the role.
func (r Role) Name() RoleName { return r.name }

// Host returns the host that holds the role. It is empty if the role is
// vacant.
func (r Role) Host() ident.Host { return r.host }

// Incarnation returns the incarnation of the holder when the role was
// assigned.
func (r Role) Incarnation() ident.Incarnation { return r.incarnation }

// Epoch returns the epoch of the assignment.
func (r Role) Epoch() ident.Epoch { return r.epoch }

// Vacant reports whether no process holds the role.
func (r Role) Vacant() bool { return r.host == "" }

// Revision returns the revision of the role's latest change.
func (r Role) Revision() ident.Revision { return r.revision }

// Share is the fraction of a service's load from one origin region that is
// assigned to a region.
type Share struct {
	region   ident.Region
	fraction float64
}

// NewShare returns the share of a region as a fraction from 0 to 1.
func NewShare(region ident.Region, fraction float64) Share {
	return Share{region: region, fraction: fraction}
}

// Region returns the region that serves the load.
func (s Share) Region() ident.Region { return s.region }

// Fraction returns the fraction of the load, from 0 to 1.
func (s Share) Fraction() float64 { return s.fraction }

// Shares is the planned distribution of a service's load from one origin
// region.
type Shares struct {
	service  ident.Service
	origin   ident.Region
	shares   []Share
	at       time.Time
	revision ident.Revision
}

// NewShares returns a distribution read from a snapshot.
func NewShares(service ident.Service, origin ident.Region, shares []Share, at time.Time,
	revision ident.Revision) Shares {
	return Shares{service: service, origin: origin, shares: slices.Clone(shares), at: canonicalTime(at), revision: revision}
}

// Service returns the service.
func (s Shares) Service() ident.Service { return s.service }

// Origin returns the region where the load originates.
func (s Shares) Origin() ident.Region { return s.origin }

// Shares returns the shares, sorted by region.
func (s Shares) Shares() []Share { return slices.Clone(s.shares) }

// At returns the time of the command that set the shares.
func (s Shares) At() time.Time { return s.at }

// Revision returns the revision at which the shares were set.
func (s Shares) Revision() ident.Revision { return s.revision }

// Suspect is the record of a request that crashed targets.
type Suspect struct {
	fingerprint ident.Fingerprint
	crashes     int
	until       time.Time
	revision    ident.Revision
}

// NewSuspect returns a suspect read from a snapshot.
func NewSuspect(fingerprint ident.Fingerprint, crashes int, until time.Time, revision ident.Revision) Suspect {
	return Suspect{fingerprint: fingerprint, crashes: crashes, until: canonicalTime(until), revision: revision}
}

// Fingerprint returns the digest of the request.
func (s Suspect) Fingerprint() ident.Fingerprint { return s.fingerprint }

// Crashes returns the number of targets that the request crashed.
func (s Suspect) Crashes() int { return s.crashes }

// Until returns the time at which the record expires. Config does not know the
// current time, so its lookups return expired records, too.
func (s Suspect) Until() time.Time { return s.until }

// Revision returns the revision at which the suspect was marked.
func (s Suspect) Revision() ident.Revision { return s.revision }

// maxTime is the latest time that canonicalTime returns. Times are encoded as
// 64-bit nanoseconds since 1970, which overflow in April 2262.
var maxTime = time.Date(2262, 1, 1, 0, 0, 0, 0, time.UTC)

// canonicalTime strips the monotonic reading and the location from a time, so
// that equal instants yield equal states on all hosts. It returns the zero
// time for times in the first second of 1970 and earlier, and maxTime for
// later times than that.
func canonicalTime(at time.Time) time.Time {
	switch {
	case at.Unix() <= 0:
		return time.Time{}
	case at.After(maxTime):
		return maxTime
	}
	return time.Unix(0, at.UnixNano()).UTC()
}
