package once

import (
	"container/list"
	"fmt"
	"time"

	"rhubarbrack/ident"
)

// Default limits. They are constants rather than settings because they must be
// the same on all hosts that apply the same commands.
const (
	// DefaultRetention is how long a claim is retained.
	DefaultRetention = 24 * time.Hour
	// DefaultMaxRecords bounds the number of claims of all teams.
	DefaultMaxRecords = 200_000
	// DefaultMaxBytes bounds the memory of all claims in bytes.
	DefaultMaxBytes = 256 << 20
	// DefaultMaxResultBytes bounds the size of the headers and the body of a
	// recorded result in bytes.
	DefaultMaxResultBytes = 64 << 10
	// teamLimitDivisor is the ratio of the limits of the table to those of one
	// team. It prevents a team from filling the table.
	teamLimitDivisor = 4
)

// Table is the at-most-once table. It is not safe for concurrent use.
type Table struct {
	retention      time.Duration
	maxRecords     int64
	maxBytes       int64
	maxResultBytes int64
	claims         map[Key]*list.Element
	order          *list.List
	running        map[ident.Host]map[Key]*Record
	total          usage
	teams          map[ident.Team]usage
}

type usage struct {
	records, bytes int64
}

// Option sets a limit of a Table.
type Option func(*Table)

// WithRetention sets how long a claim is retained.
func WithRetention(d time.Duration) Option { return func(t *Table) { t.retention = d } }

// WithMaxRecords bounds the number of claims. One team may hold a quarter of
// it.
func WithMaxRecords(records int64) Option { return func(t *Table) { t.maxRecords = records } }

// WithMaxBytes bounds the memory of all claims in bytes. One team may use a
// quarter of it.
func WithMaxBytes(bytes int64) Option { return func(t *Table) { t.maxBytes = bytes } }

// WithMaxResultBytes bounds the size of the headers and the body of a recorded
// result in bytes.
func WithMaxResultBytes(bytes int64) Option { return func(t *Table) { t.maxResultBytes = bytes } }

// New returns an empty table.
func New(options ...Option) *Table {
	t := &Table{
		retention: DefaultRetention, maxRecords: DefaultMaxRecords, maxBytes: DefaultMaxBytes, maxResultBytes: DefaultMaxResultBytes,
		claims:  make(map[Key]*list.Element),
		order:   list.New(),
		running: make(map[ident.Host]map[Key]*Record),
		teams:   make(map[ident.Team]usage),
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Restore returns a table with the given records, which must be ordered as
// returned by Records.
func Restore(records []Record, options ...Option) (*Table, error) {
	t := New(options...)
	for i := range records {
		r := records[i]
		if _, duplicate := t.claims[r.key]; duplicate {
			return nil, fmt.Errorf("restore claims: request id %q of team %q occurs twice", r.key.request, r.key.team)
		}
		if r.state != Running && r.state != Recorded && r.state != OutcomeUnknown {
			return nil, fmt.Errorf("restore claims: invalid state %d of request id %q", r.state, r.key.request)
		}
		if i > 0 && r.claimedAt.Before(records[i-1].claimedAt) {
			return nil, fmt.Errorf("restore claims: request id %q is out of order", r.key.request)
		}
		t.insert(&r)
	}
	return t, nil
}

// Records returns all claims, oldest first.
func (t *Table) Records() []Record {
	out := make([]Record, 0, len(t.claims))
	for e := t.order.Front(); e != nil; e = e.Next() {
		out = append(out, *recordOf(e))
	}
	return out
}

func recordOf(e *list.Element) *Record { return e.Value.(*Record) }

func (t *Table) find(key Key) (*Record, bool) {
	e, ok := t.claims[key]
	if !ok {
		return nil, false
	}
	return recordOf(e), true
}

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.claims) }

// Bytes returns the approximate memory of the claims in bytes, which the
// limits apply to.
func (t *Table) Bytes() int64 { return t.total.bytes }

// Claim claims a request ID for the holder at the given time. A time before
// that of the latest claim is replaced by the latter. The state of the
// returned status is Claimed if the holder may execute the request. Otherwise
// the status is that of the first request with this ID. If the same holder
// claims again with the same sequence number while the request is running, the
// state is Claimed again. The error is a *MismatchError or a *FullError, and
// the request must not be executed then.
func (t *Table) Claim(at time.Time, key Key, fingerprint ident.Fingerprint, holder Holder) (ClaimStatus, error) {
	t.Expire(at)
	if r, ok := t.find(key); ok {
		return r.statusFor(fingerprint, holder)
	}
	if last := t.order.Back(); last != nil && at.Before(recordOf(last).claimedAt) {
		at = recordOf(last).claimedAt
	}
	r := &Record{key: key, fingerprint: fingerprint, holder: holder, claimedAt: at, state: Running}
	if err := t.checkCapacity(key.team, 1, r.size()); err != nil {
		return ClaimStatus{}, fmt.Errorf("claim: %w", err)
	}
	t.insert(r)
	return ClaimStatus{state: Claimed}, nil
}

// statusFor returns the status of an existing claim for a holder that claims
// the same request ID.
func (r *Record) statusFor(fingerprint ident.Fingerprint, holder Holder) (ClaimStatus, error) {
	if r.fingerprint != fingerprint {
		return ClaimStatus{}, &MismatchError{key: r.key}
	}
	if r.state == Running && r.holder == holder {
		return ClaimStatus{state: Claimed}, nil
	}
	return r.Status(), nil
}

// Lookup returns the status of the claim of a request ID, if there is one.
func (t *Table) Lookup(key Key) (ClaimStatus, bool) {
	r, ok := t.find(key)
	if !ok {
		return ClaimStatus{}, false
	}
	return r.Status(), true
}

// Resolve resolves a claim. The holder must be that of the claim. The holder
// may also resolve a claim that MarkUnknown changed, because its report is
// more precise. A recorded result never changes. Resolving a claim again with
// the same resolution is allowed. A result that exceeds the size limit, or for
// which the table has no capacity, is recorded as too large. The error is a
// *NotHeldError, except for an invalid resolution.
func (t *Table) Resolve(key Key, holder Holder, resolution Resolution) error {
	r, ok := t.find(key)
	if !ok || r.holder != holder {
		return &NotHeldError{key: key, holder: holder}
	}
	if r.state == Recorded {
		if resolution.kind == ResolutionRan {
			return nil
		}
		return &NotHeldError{key: key, holder: holder}
	}
	switch resolution.kind {
	case ResolutionRan:
		t.storeResult(r, resolution.result)
	case ResolutionNotRun:
		t.remove(r)
	case ResolutionUnknown:
		t.setState(r, OutcomeUnknown)
	default:
		return fmt.Errorf("resolve request id %q: ending %d", key.request, resolution.kind)
	}
	return nil
}

// storeResult records the result of an executed request.
func (t *Table) storeResult(r *Record, result Result) {
	if size := result.Size(); size > t.maxResultBytes || t.checkCapacity(r.key.team, 0, size) != nil {
		result = TooLarge(result.status)
	}
	t.setState(r, Recorded)
	t.addUsage(r, -1)
	r.result = result
	t.addUsage(r, 1)
}

// MarkUnknown sets the running claims of a host's process to OutcomeUnknown,
// including those of earlier incarnations. It returns the number of changed
// claims.
func (t *Table) MarkUnknown(host ident.Host, incarnation ident.Incarnation) int {
	changed := 0
	for _, r := range t.running[host] {
		if r.holder.incarnation <= incarnation {
			t.setState(r, OutcomeUnknown)
			changed++
		}
	}
	return changed
}

// Expire removes the claims that have reached the retention time, regardless
// of their state. It returns the number of removed claims.
func (t *Table) Expire(at time.Time) int {
	expired := 0
	for e := t.order.Front(); e != nil && at.Sub(recordOf(e).claimedAt) >= t.retention; e = t.order.Front() {
		t.remove(recordOf(e))
		expired++
	}
	return expired
}

func (t *Table) insert(r *Record) {
	t.claims[r.key] = t.order.PushBack(r)
	t.addUsage(r, 1)
	if r.state != Running {
		return
	}
	if t.running[r.holder.host] == nil {
		t.running[r.holder.host] = make(map[Key]*Record)
	}
	t.running[r.holder.host][r.key] = r
}

func (t *Table) remove(r *Record) {
	t.setState(r, r.state) // only removes it from the index of running claims
	t.addUsage(r, -1)
	t.order.Remove(t.claims[r.key])
	delete(t.claims, r.key)
}

// setState sets the state of a claim and removes it from the index of running
// claims.
func (t *Table) setState(r *Record, state State) {
	r.state = state
	claims := t.running[r.holder.host]
	delete(claims, r.key)
	if len(claims) == 0 {
		delete(t.running, r.holder.host)
	}
}

// addUsage adds the memory of a record to the usage of its team and the table
// if sign is 1, and subtracts it if sign is -1.
func (t *Table) addUsage(r *Record, sign int64) {
	size := r.size()
	t.total.records += sign
	t.total.bytes += sign * size
	u := t.teams[r.key.team]
	u.records += sign
	u.bytes += sign * size
	if u.records == 0 {
		delete(t.teams, r.key.team)
		return
	}
	t.teams[r.key.team] = u
}

// checkCapacity returns a *FullError if adding the records and bytes for the
// team would exceed a limit.
func (t *Table) checkCapacity(team ident.Team, records, bytes int64) error {
	u := t.teams[team]
	switch {
	case t.total.records+records > t.maxRecords:
		return &FullError{unit: "records", limit: t.maxRecords}
	case t.total.bytes+bytes > t.maxBytes:
		return &FullError{unit: "bytes", limit: t.maxBytes}
	case u.records+records > t.maxRecords/teamLimitDivisor:
		return &FullError{team: ident.Some(team), unit: "records", limit: t.maxRecords / teamLimitDivisor}
	case u.bytes+bytes > t.maxBytes/teamLimitDivisor:
		return &FullError{team: ident.Some(team), unit: "bytes", limit: t.maxBytes / teamLimitDivisor}
	}
	return nil
}
