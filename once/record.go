package once

import (
	"time"

	"rhubarbrack/ident"
)

// Key identifies a claim.
type Key struct {
	team    ident.Team
	request ident.RequestID
}

// NewKey returns the key of a team's request.
func NewKey(team ident.Team, request ident.RequestID) Key { return Key{team: team, request: request} }

// Team returns the team.
func (k Key) Team() ident.Team { return k.team }

// Request returns the request id that the caller chose.
func (k Key) Request() ident.RequestID { return k.request }

// Holder is the process that runs a claimed request.
type Holder struct {
	host        ident.Host
	incarnation ident.Incarnation
	attempt     uint64
}

// NewHolder returns the holder for a process and the number of the request
// within it. The process must give each request a number of its own: it tells
// a claim that is proposed again after a lost answer from a second request
// with the same id, and keeps a late repetition of "not run" from freeing a
// later claim.
func NewHolder(host ident.Host, incarnation ident.Incarnation, attempt uint64) Holder {
	return Holder{host: host, incarnation: incarnation, attempt: attempt}
}

// Host returns the host of the process.
func (h Holder) Host() ident.Host { return h.host }

// Incarnation returns the incarnation of the process.
func (h Holder) Incarnation() ident.Incarnation { return h.incarnation }

// Sequence returns the number of the request within the process.
func (h Holder) Sequence() uint64 { return h.attempt }

// State is the state of a claim.
type State int

// The states of a claim.
const (
	// Claimed means that the caller of Claim holds the claim and may run the
	// request. Records are never in this state.
	Claimed State = iota + 1
	// Running means that a request with this id is being run.
	Running
	// Recorded means that the request ran and its result is known.
	Recorded
	// OutcomeUnknown means that it is unknown whether the request ran. It is not run
	// again.
	OutcomeUnknown
)

// String returns the state in kebab case.
func (s State) String() string {
	switch s {
	case Claimed:
		return "claimed"
	case Running:
		return "running"
	case Recorded:
		return "recorded"
	case OutcomeUnknown:
		return "unknown"
	}
	return "invalid"
}

// ClaimStatus tells what is known of a request id.
type ClaimStatus struct {
	state  State
	result Result
}

// NewClaimStatus returns an answer. The result counts only in the state Recorded.
func NewClaimStatus(state State, result Result) ClaimStatus {
	return ClaimStatus{state: state, result: result}
}

// State returns the state of the claim.
func (a ClaimStatus) State() State { return a.state }

// Result returns the recorded result in the state Recorded.
func (a ClaimStatus) Result() Result { return a.result }

// Record is one claim of the table, as kept in snapshots.
type Record struct {
	key         Key
	fingerprint ident.Fingerprint
	holder      Holder
	claimed     time.Time
	state       State
	result      Result
}

// NewRecord returns a record for Restore.
func NewRecord(key Key, fingerprint ident.Fingerprint, holder Holder, claimed time.Time, answer ClaimStatus) Record {
	return Record{key: key, fingerprint: fingerprint, holder: holder, claimed: claimed,
		state: answer.state, result: answer.result}
}

// Key returns the key of the claim.
func (r Record) Key() Key { return r.key }

// Fingerprint returns the digest of the claimed request.
func (r Record) Fingerprint() ident.Fingerprint { return r.fingerprint }

// Holder returns the process that made the claim.
func (r Record) Holder() Holder { return r.holder }

// ClaimedAt returns the time of the claim.
func (r Record) ClaimedAt() time.Time { return r.claimed }

// Status returns the state and the result.
func (r Record) Status() ClaimStatus { return ClaimStatus{state: r.state, result: r.result} }

// recordOverhead is the memory of a record without its texts and body, in
// bytes, rounded up from the sizes of Record, its map entries and its place
// in the queue.
const recordOverhead = 400

func (r Record) size() int64 {
	return recordOverhead + int64(len(r.key.team)+len(r.key.request)+len(r.holder.host)) + r.result.Size()
}
