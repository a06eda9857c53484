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

// Request returns the request ID chosen by the caller.
func (k Key) Request() ident.RequestID { return k.request }

// Holder identifies the process, and the request within it, that holds a
// claim.
type Holder struct {
	host        ident.Host
	incarnation ident.Incarnation
	sequence    uint64
}

// NewHolder returns the holder for a process and the sequence number of the
// request within it. The process must use a unique number for each request.
// The number distinguishes a claim that is proposed again after a lost
// response from a second request with the same ID, and prevents a delayed
// duplicate of a "not run" resolution from releasing a later claim.
func NewHolder(host ident.Host, incarnation ident.Incarnation, sequence uint64) Holder {
	return Holder{host: host, incarnation: incarnation, sequence: sequence}
}

// Host returns the host of the process.
func (h Holder) Host() ident.Host { return h.host }

// Incarnation returns the incarnation of the process.
func (h Holder) Incarnation() ident.Incarnation { return h.incarnation }

// Sequence returns the sequence number of the request within the process.
func (h Holder) Sequence() uint64 { return h.sequence }

// State is the state of a claim.
type State int

// The states of a claim.
const (
	// Claimed means that the caller of Claim holds the claim and may execute
	// the request. A Record is never in this state.
	Claimed State = iota + 1
	// Running means that a request with this ID is being executed.
	Running
	// Recorded means that the request was executed and its result is known.
	Recorded
	// OutcomeUnknown means that it is unknown whether the request was executed.
	// It is not retried.
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

// ClaimStatus is the state of a claim and, if recorded, the result of the
// request.
type ClaimStatus struct {
	state  State
	result Result
}

// NewClaimStatus returns a claim status. The result is meaningful only in the
// state Recorded.
func NewClaimStatus(state State, result Result) ClaimStatus {
	return ClaimStatus{state: state, result: result}
}

// State returns the state of the claim.
func (s ClaimStatus) State() State { return s.state }

// Result returns the recorded result. It is meaningful only in the state
// Recorded.
func (s ClaimStatus) Result() Result { return s.result }

// Record is a claim in the table, as stored in snapshots.
type Record struct {
	key         Key
	fingerprint ident.Fingerprint
	holder      Holder
	claimedAt   time.Time
	state       State
	result      Result
}

// NewRecord returns a record to be passed to Restore.
func NewRecord(key Key, fingerprint ident.Fingerprint, holder Holder, claimedAt time.Time, status ClaimStatus) Record {
	return Record{key: key, fingerprint: fingerprint, holder: holder, claimedAt: claimedAt,
		state: status.state, result: status.result}
}

// Key returns the key of the claim.
func (r Record) Key() Key { return r.key }

// Fingerprint returns the fingerprint of the claimed request.
func (r Record) Fingerprint() ident.Fingerprint { return r.fingerprint }

// Holder returns the process that made the claim.
func (r Record) Holder() Holder { return r.holder }

// ClaimedAt returns the time of the claim.
func (r Record) ClaimedAt() time.Time { return r.claimedAt }

// Status returns the state of the claim and the result of the request.
func (r Record) Status() ClaimStatus { return ClaimStatus{state: r.state, result: r.result} }

// recordOverhead is the approximate memory of a record in bytes, excluding its
// strings and body. It is rounded up from the sizes of Record, its map entries
// and its list element.
const recordOverhead = 400

// size returns the approximate memory of the record in bytes.
func (r Record) size() int64 {
	return recordOverhead + int64(len(r.key.team)+len(r.key.request)+len(r.holder.host)) + r.result.Size()
}
