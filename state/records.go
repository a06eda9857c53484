package state

import (
	"slices"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
)

// Document is a document in force with its source text.
type Document struct {
	document prof.Document
	source   string
	revision ident.Revision
}

// NewDocument returns a document record for a snapshot.
func NewDocument(document prof.Document, source string, revision ident.Revision) Document {
	return Document{document: document, source: source, revision: revision}
}

// Document returns the document itself.
func (d Document) Document() prof.Document { return d.document }

// Source returns the text that the operator wrote.
func (d Document) Source() string { return d.source }

// Revision returns the revision that put the document in force.
func (d Document) Revision() ident.Revision { return d.revision }

// Key is what is known of an issued key: never the key, only its digest.
type Key struct {
	id        ident.KeyID
	team      ident.Team
	hash      [32]byte
	revision  ident.Revision
	withdrawn time.Time
}

// NewKey returns a key record for a snapshot. The time of withdrawal is zero
// while the key is valid.
func NewKey(id ident.KeyID, team ident.Team, hash [32]byte, revision ident.Revision, withdrawn time.Time) Key {
	return Key{id: id, team: team, hash: hash, revision: revision, withdrawn: clean(withdrawn)}
}

// ID returns the public part of the key.
func (k Key) ID() ident.KeyID { return k.id }

// Team returns the team that the key belongs to.
func (k Key) Team() ident.Team { return k.team }

// Hash returns the SHA-256 digest of the key.
func (k Key) Hash() [32]byte { return k.hash }

// Revision returns the revision of the key's last change.
func (k Key) Revision() ident.Revision { return k.revision }

// WithdrawnAt returns the time of the withdrawal, zero while the key is valid.
func (k Key) WithdrawnAt() time.Time { return k.withdrawn }

// Valid reports whether the key has not been withdrawn.
func (k Key) Valid() bool { return k.withdrawn.IsZero() }

// MemberState is the state of an entry host's process.
type MemberState string

// The states of a member. An ended process is not a member.
const (
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
)

// Member is an entry host's process.
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

// NewMember returns a live member with the addresses at which callers and
// other entry hosts reach it.
func NewMember(host ident.Host, incarnation ident.Incarnation, zone ident.Zone, region ident.Region,
	caller, peer string) Member {
	return Member{host: host, incarnation: incarnation, zone: zone, region: region,
		caller: caller, peer: peer, state: MemberLive}
}

// WithState returns the member with the state and the revision of its last
// change, for a snapshot.
func (m Member) WithState(state MemberState, revision ident.Revision) Member {
	m.state, m.revision = state, revision
	return m
}

// Host returns the name of the host.
func (m Member) Host() ident.Host { return m.host }

// Incarnation returns the number of the process.
func (m Member) Incarnation() ident.Incarnation { return m.incarnation }

// Zone returns the availability zone of the host.
func (m Member) Zone() ident.Zone { return m.zone }

// Region returns the region of the host.
func (m Member) Region() ident.Region { return m.region }

// CallerAddress returns the address at which callers reach the host.
func (m Member) CallerAddress() string { return m.caller }

// PeerAddress returns the address at which other entry hosts reach the host.
func (m Member) PeerAddress() string { return m.peer }

// State returns whether the process is live or leaving.
func (m Member) State() MemberState { return m.state }

// Live reports whether the process is live and not leaving.
func (m Member) Live() bool { return m.state == MemberLive }

// Revision returns the revision of the member's last change.
func (m Member) Revision() ident.Revision { return m.revision }

// RoleName names a role that one entry host holds, such as "slots/alps".
type RoleName string

// Role is the latest assignment of a role.
type Role struct {
	name        RoleName
	host        ident.Host
	incarnation ident.Incarnation
	epoch       ident.Epoch
	revision    ident.Revision
}

// NewRole returns a role record for a snapshot.
func NewRole(name RoleName, host ident.Host, incarnation ident.Incarnation, epoch ident.Epoch,
	revision ident.Revision) Role {
	return Role{name: name, host: host, incarnation: incarnation, epoch: epoch, revision: revision}
}

// Name returns the name of the role.
func (r Role) Name() RoleName { return r.name }

// Host returns the holder, empty while the role is vacant.
func (r Role) Host() ident.Host { return r.host }

// Incarnation returns the holder's incarnation at the time of assignment.
func (r Role) Incarnation() ident.Incarnation { return r.incarnation }

// Epoch returns the number of the assignment.
func (r Role) Epoch() ident.Epoch { return r.epoch }

// Vacant reports whether no process holds the role.
func (r Role) Vacant() bool { return r.host == "" }

// Revision returns the revision of the role's last change.
func (r Role) Revision() ident.Revision { return r.revision }

// Share is the part of a service's load from one origin region that a region
// takes.
type Share struct {
	region ident.Region
	part   float64
}

// NewShare returns the share of a region, from 0 to 1.
func NewShare(region ident.Region, part float64) Share { return Share{region: region, part: part} }

// Region returns the region that takes the load.
func (s Share) Region() ident.Region { return s.region }

// Fraction returns the part of the load, from 0 to 1.
func (s Share) Fraction() float64 { return s.part }

// Shares is the planned distribution of a service's load from one origin.
type Shares struct {
	service  ident.Service
	origin   ident.Region
	shares   []Share
	at       time.Time
	revision ident.Revision
}

// NewShares returns a distribution for a snapshot.
func NewShares(service ident.Service, origin ident.Region, shares []Share, at time.Time,
	revision ident.Revision) Shares {
	return Shares{service: service, origin: origin, shares: slices.Clone(shares), at: clean(at), revision: revision}
}

// Service returns the service.
func (s Shares) Service() ident.Service { return s.service }

// Origin returns the region that the load comes from.
func (s Shares) Origin() ident.Region { return s.origin }

// Shares returns the shares in ascending order of their regions.
func (s Shares) Shares() []Share { return slices.Clone(s.shares) }

// At returns the time of the command that set the shares.
func (s Shares) At() time.Time { return s.at }

// Revision returns the revision that set the shares.
func (s Shares) Revision() ident.Revision { return s.revision }

// Suspect is a request that crashed targets.
type Suspect struct {
	fingerprint ident.Fingerprint
	crashes     int
	until       time.Time
	revision    ident.Revision
}

// NewSuspect returns a suspect for a snapshot.
func NewSuspect(fingerprint ident.Fingerprint, crashes int, until time.Time, revision ident.Revision) Suspect {
	return Suspect{fingerprint: fingerprint, crashes: crashes, until: clean(until), revision: revision}
}

// Fingerprint returns the digest of the request.
func (s Suspect) Fingerprint() ident.Fingerprint { return s.fingerprint }

// Crashes returns the number of targets that the request crashed.
func (s Suspect) Crashes() int { return s.crashes }

// Until returns the time at which the suspicion ends. Look-ups do not apply
// it, as Config knows no time; the reader compares it.
func (s Suspect) Until() time.Time { return s.until }

// Revision returns the revision that marked the suspect.
func (s Suspect) Revision() ident.Revision { return s.revision }

// latest is the last time that clean keeps. Times are written as nanoseconds
// since 1970 in 64 bits, which end in April 2262.
var latest = time.Date(2262, 1, 1, 0, 0, 0, 0, time.UTC)

// clean drops the monotonic reading and the location of a time, so that equal
// instants give equal states on all hosts. Times before 1970 count as no time.
func clean(at time.Time) time.Time {
	switch {
	case at.Unix() <= 0:
		return time.Time{}
	case at.After(latest):
		return latest
	}
	return time.Unix(0, at.UnixNano()).UTC()
}
