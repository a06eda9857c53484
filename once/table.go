package once

import (
	"container/list"
	"fmt"
	"time"

	"rhubarbrack/ident"
)

// Default limits. They must be equal on all hosts that apply the same
// commands, so they are constants and no settings.
const (
	// DefaultRetention is the time for which a claim is kept.
	DefaultRetention = 24 * time.Hour
	// DefaultMaxRecords bounds the claims of all teams.
	DefaultMaxRecords = 200_000
	// DefaultMaxBytes bounds the memory of all claims.
	DefaultMaxBytes = 256 << 20
	// DefaultMaxResultBytes bounds the headers and body of a recorded result.
	DefaultMaxResultBytes = 64 << 10
	// teamDivisor limits one team to this part of the table, so that a team
	// that floods the table leaves room for the others.
	teamDivisor = 4
)

// Table is the at-most-once table. It is not safe for concurrent use.
type Table struct {
	retention time.Duration
	records   int64
	bytes     int64
	body      int64
	claims    map[Key]*list.Element
	order     *list.List
	running   map[ident.Host]map[Key]*Record
	total     usage
	teams     map[ident.Team]usage
}

type usage struct {
	records, bytes int64
}

// Option sets a limit of a table.
type Option func(*Table)

// WithRetention sets the time for which a claim is kept.
func WithRetention(d time.Duration) Option { return func(t *Table) { t.retention = d } }

// WithMaxRecords bounds the number of claims. One team may hold a quarter.
func WithMaxRecords(records int64) Option { return func(t *Table) { t.records = records } }

// WithMaxBytes bounds the memory of claims in bytes. One team may hold a quarter.
func WithMaxBytes(bytes int64) Option { return func(t *Table) { t.bytes = bytes } }

// WithMaxResultBytes bounds the headers and body of a recorded result in bytes.
func WithMaxResultBytes(bytes int64) Option { return func(t *Table) { t.body = bytes } }

// New returns an empty table.
func New(options ...Option) *Table {
	t := &Table{
		retention: DefaultRetention, records: DefaultMaxRecords, bytes: DefaultMaxBytes, body: DefaultMaxResultBytes,
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

// Restore returns a table with the given records, which must be in the order
// that Records returned.
func Restore(records []Record, options ...Option) (*Table, error) {
	t := New(options...)
	for i := range records {
		r := records[i]
		if _, double := t.claims[r.key]; double {
			return nil, fmt.Errorf("restore claims: request id %q of team %q occurs twice", r.key.request, r.key.team)
		}
		if r.state != Running && r.state != Recorded && r.state != OutcomeUnknown {
			return nil, fmt.Errorf("restore claims: state %d of request id %q", r.state, r.key.request)
		}
		if i > 0 && r.claimed.Before(records[i-1].claimed) {
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

// Bytes returns the memory of the claims by the table's own accounts.
func (t *Table) Bytes() int64 { return t.total.bytes }

// Claim claims a request id for the holder at the given time; a time before
// that of the latest claim counts as the latter. The answer is Claimed when the holder
// may run the request; otherwise it is what is known of the first request
// with this id. A claim that the same holder makes again with the same
// attempt number while it is running is Claimed again. Errors are
// *MismatchError and *FullError; the request must not be run then.
func (t *Table) Claim(at time.Time, key Key, fingerprint ident.Fingerprint, holder Holder) (ClaimStatus, error) {
	t.Expire(at)
	if r, ok := t.find(key); ok {
		return r.answerTo(fingerprint, holder)
	}
	if last := t.order.Back(); last != nil && at.Before(recordOf(last).claimed) {
		at = recordOf(last).claimed
	}
	r := &Record{key: key, fingerprint: fingerprint, holder: holder, claimed: at, state: Running}
	if err := t.room(key.team, 1, r.size()); err != nil {
		return ClaimStatus{}, fmt.Errorf("claim: %w", err)
	}
	t.insert(r)
	return ClaimStatus{state: Claimed}, nil
}

func (r *Record) answerTo(fingerprint ident.Fingerprint, holder Holder) (ClaimStatus, error) {
	if r.fingerprint != fingerprint {
		return ClaimStatus{}, &MismatchError{key: r.key}
	}
	if r.state == Running && r.holder == holder {
		return ClaimStatus{state: Claimed}, nil
	}
	return r.Status(), nil
}

// Lookup returns what is known of a request id, if anything.
func (t *Table) Lookup(key Key) (ClaimStatus, bool) {
	r, ok := t.find(key)
	if !ok {
		return ClaimStatus{}, false
	}
	return r.Status(), true
}

// Resolve ends a claim. The holder must be the one of the claim. A claim that
// lapsed to unknown may still be resolved by its holder, whose report is more
// exact; a recorded result never changes. The same resolution may be made
// again. A result above the body limit, or one for which the table has no
// room, is kept as too large. The error is a *NotHeldError.
func (t *Table) Resolve(key Key, holder Holder, resolution Resolution) error {
	r, ok := t.find(key)
	if !ok || r.holder != holder {
		return &NotHeldError{key: key, holder: holder}
	}
	if r.state == Recorded {
		if resolution.ending == ResolutionRan {
			return nil
		}
		return &NotHeldError{key: key, holder: holder}
	}
	switch resolution.ending {
	case ResolutionRan:
		t.record(r, resolution.result)
	case ResolutionNotRun:
		t.remove(r)
	case ResolutionUnknown:
		t.settle(r, OutcomeUnknown)
	default:
		return fmt.Errorf("resolve request id %q: ending %d", key.request, resolution.ending)
	}
	return nil
}

func (t *Table) record(r *Record, result Result) {
	if size := result.Size(); size > t.body || t.room(r.key.team, 0, size) != nil {
		result = TooLarge(result.status)
	}
	t.settle(r, Recorded)
	t.account(r, -1)
	r.result = result
	t.account(r, 1)
}

// MarkUnknown turns the running claims of a host's process into unknown, those of
// the given incarnation and of earlier ones. It returns their number.
func (t *Table) MarkUnknown(host ident.Host, incarnation ident.Incarnation) int {
	lapsed := 0
	for _, r := range t.running[host] {
		if r.holder.incarnation <= incarnation {
			t.settle(r, OutcomeUnknown)
			lapsed++
		}
	}
	return lapsed
}

// Expire forgets the claims that are older than the retention at the given
// time, whatever their state. It returns their number.
func (t *Table) Expire(at time.Time) int {
	expired := 0
	for e := t.order.Front(); e != nil && at.Sub(recordOf(e).claimed) >= t.retention; e = t.order.Front() {
		t.remove(recordOf(e))
		expired++
	}
	return expired
}

func (t *Table) insert(r *Record) {
	t.claims[r.key] = t.order.PushBack(r)
	t.account(r, 1)
	if r.state != Running {
		return
	}
	if t.running[r.holder.host] == nil {
		t.running[r.holder.host] = make(map[Key]*Record)
	}
	t.running[r.holder.host][r.key] = r
}

func (t *Table) remove(r *Record) {
	t.settle(r, r.state)
	t.account(r, -1)
	t.order.Remove(t.claims[r.key])
	delete(t.claims, r.key)
}

func (t *Table) settle(r *Record, state State) {
	r.state = state
	claims := t.running[r.holder.host]
	delete(claims, r.key)
	if len(claims) == 0 {
		delete(t.running, r.holder.host)
	}
}

func (t *Table) account(r *Record, sign int64) {
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

// room returns a *FullError unless the team may add the records and bytes.
func (t *Table) room(team ident.Team, records, bytes int64) error {
	u := t.teams[team]
	switch {
	case t.total.records+records > t.records:
		return &FullError{unit: "records", limit: t.records}
	case t.total.bytes+bytes > t.bytes:
		return &FullError{unit: "bytes", limit: t.bytes}
	case u.records+records > t.records/teamDivisor:
		return &FullError{team: ident.Some(team), unit: "records", limit: t.records / teamDivisor}
	case u.bytes+bytes > t.bytes/teamDivisor:
		return &FullError{team: ident.Some(team), unit: "bytes", limit: t.bytes / teamDivisor}
	}
	return nil
}
