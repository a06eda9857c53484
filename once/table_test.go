package once

import (
	"errors"
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"rhubarbrack/ident"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

const seed = 20260301

func parameters(t *testing.T) *gopter.TestParameters {
	t.Helper()
	t.Logf("seed %d", seed)
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests = 300
	p.MaxSize = 200
	return p
}

// model applies random steps to a table and checks after each step that no
// request could be executed twice.
type model struct {
	table *Table
	now   time.Time

	// granted holds the time of the latest claim of each key that may have been
	// executed.
	granted map[Key]time.Time
}

func (m *model) step(r *rand.Rand) error {
	key := NewKey(ident.Team(fmt.Sprint("t", r.Intn(2))), ident.RequestID(fmt.Sprint("r", r.Intn(4))))
	holder := NewHolder(ident.Host(fmt.Sprint("h", r.Intn(2))), ident.Incarnation(1+r.Intn(2)), uint64(r.Intn(1000)))
	if e, ok := m.table.find(key); ok && r.Intn(2) == 0 {
		holder = e.holder
	}
	m.now = m.now.Add(time.Duration(r.Intn(120)) * time.Minute)
	switch r.Intn(6) {
	case 0, 1, 2:
		return m.claim(key, holder)
	case 3:
		resolutions := []Resolution{Ran(NewResult(200, nil, make([]byte, r.Intn(200)))), NotRun(), Unknown()}
		res := resolutions[r.Intn(len(resolutions))]
		if err := m.table.Resolve(key, holder, res); err == nil && res.Kind() == ResolutionNotRun {
			delete(m.granted, key)
		}
	case 4:
		m.table.MarkUnknown(holder.Host(), holder.Incarnation())
		for _, rec := range m.table.Records() {
			h := rec.Holder()
			if h.Host() == holder.Host() && h.Incarnation() <= holder.Incarnation() && rec.Status().State() == Running {
				return fmt.Errorf("claim %v is still running after its process ended", rec.Key())
			}
		}
	case 5:
		restored, err := Restore(m.table.Records(), WithMaxResultBytes(100))
		if err != nil {
			return fmt.Errorf("restore: %w", err)
		}
		if !reflect.DeepEqual(restored.Records(), m.table.Records()) || restored.Bytes() != m.table.Bytes() ||
			!reflect.DeepEqual(restored.running, m.table.running) || !reflect.DeepEqual(restored.teams, m.table.teams) {
			return errors.New("a restored table differs")
		}
		m.table = restored
	}
	return nil
}

func (m *model) claim(key Key, holder Holder) error {
	before, exists := m.table.find(key)
	sameHolder := exists && before.holder == holder
	status, err := m.table.Claim(m.now, key, ident.Fingerprint{1}, holder)
	if err != nil {
		return fmt.Errorf("claim: %w", err)
	}
	at, wasGranted := m.granted[key]
	if status.State() == Claimed && wasGranted && m.now.Sub(at) < DefaultRetention && !sameHolder {
		return fmt.Errorf("%v was claimed at %v and again at %v", key, at, m.now)
	}
	if status.State() == Claimed && !sameHolder {
		m.granted[key] = m.now
	}
	return nil
}

// checkAccounting compares the usage counters and the index of running claims
// with the records.
func (m *model) checkAccounting() error {
	var bytes int64
	running := 0
	for _, r := range m.table.Records() {
		bytes += r.size()
		if r.state == Running {
			running++
		}
	}
	indexed := 0
	for _, claims := range m.table.running {
		indexed += len(claims)
	}
	if bytes != m.table.Bytes() || running != indexed || int(m.table.total.records) != m.table.Len() {
		return fmt.Errorf("accounting: %d bytes of %d, %d running of %d", m.table.Bytes(), bytes, indexed, running)
	}
	return nil
}

// Guards against granting a claim twice, which would execute a non-idempotent
// request twice.
func TestNoSecondClaim(t *testing.T) {
	properties := gopter.NewProperties(parameters(t))
	properties.Property("a request id is granted once", prop.ForAll(func(seed int64, steps int) (bool, error) {
		m := &model{table: New(WithMaxResultBytes(100)), now: start, granted: make(map[Key]time.Time)}
		r := rand.New(rand.NewSource(seed))
		for range steps {
			if err := m.step(r); err != nil {
				return false, err
			}
			if err := m.checkAccounting(); err != nil {
				return false, err
			}
		}
		return true, nil
	}, gen.Int64(), gen.IntRange(1, 200)))
	properties.TestingRun(t)
}

// Guards against a wrong status for a retry, depending on how the first claim
// was resolved.
func TestClaimStatus(t *testing.T) {
	key, fingerprint := NewKey("bay", "r1"), ident.Fingerprint{1}
	first, other := NewHolder("h1", 1, 7), NewHolder("h2", 1, 3)
	result := NewResult(201, []Header{NewHeader("A", "b")}, []byte("ok"))
	cases := []struct {
		name  string
		after func(*Table) error
		claim Holder
		at    time.Duration
		want  ClaimStatus
	}{
		{"running", nil, other, time.Hour, NewClaimStatus(Running, Result{})},
		{"same attempt again", nil, first, time.Hour, NewClaimStatus(Claimed, Result{})},
		{"second request at the same host", nil, NewHolder("h1", 1, 8), time.Hour, NewClaimStatus(Running, Result{})},
		{"recorded", func(t *Table) error { return t.Resolve(key, first, Ran(result)) }, other, time.Hour, NewClaimStatus(Recorded, result)},
		{"too large", func(t *Table) error { return t.Resolve(key, first, Ran(NewResult(200, nil, make([]byte, 65)))) }, other, time.Hour,
			NewClaimStatus(Recorded, TooLarge(200))},
		{"not run", func(t *Table) error { return t.Resolve(key, first, NotRun()) }, other, time.Hour, NewClaimStatus(Claimed, Result{})},
		{"unknown", func(t *Table) error { return t.Resolve(key, first, Unknown()) }, other, time.Hour, NewClaimStatus(OutcomeUnknown, Result{})},
		{"process ended", func(t *Table) error { t.MarkUnknown("h1", 1); return nil }, first, time.Hour, NewClaimStatus(OutcomeUnknown, Result{})},
		{"earlier process ended", func(t *Table) error { t.MarkUnknown("h1", 0); return nil }, other, time.Hour, NewClaimStatus(Running, Result{})},
		{"late result after the process ended", func(t *Table) error { t.MarkUnknown("h1", 1); return t.Resolve(key, first, Ran(result)) },
			other, time.Hour, NewClaimStatus(Recorded, result)},
		{"before 24 h", nil, other, 24*time.Hour - 1, NewClaimStatus(Running, Result{})},
		{"after 24 h", nil, other, 24 * time.Hour, NewClaimStatus(Claimed, Result{})},
	}
	for _, c := range cases {
		table := New(WithMaxResultBytes(64))
		if _, err := table.Claim(start, key, fingerprint, first); err != nil {
			t.Fatal(err)
		}
		if c.after != nil {
			if err := c.after(table); err != nil {
				t.Errorf("%s: %v", c.name, err)
			}
		}
		got, err := table.Claim(start.Add(c.at), key, fingerprint, c.claim)
		if err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %v, %v, want %v", c.name, got, err, c.want)
		}
	}
}

// Guards against callers that reuse request IDs, teams that exceed their limit
// and resolutions by the wrong holder affecting other claims.
func TestRefusals(t *testing.T) {
	first := NewHolder("h1", 1, 1)
	claim := func(t *Table, team, id string) error {
		_, err := t.Claim(start, NewKey(ident.Team(team), ident.RequestID(id)), ident.Fingerprint{}, first)
		return err
	}
	cases := []struct {
		name string
		do   func(*Table) error
		want error
	}{
		{"other request under the id", func(t *Table) error {
			_, err := t.Claim(start, NewKey("bay", "r0"), ident.Fingerprint{9}, first)
			return err
		}, &MismatchError{key: NewKey("bay", "r0")}},
		{"team full", func(t *Table) error { return errors.Join(claim(t, "bay", "r1"), claim(t, "bay", "r2")) },
			&FullError{team: ident.Some(ident.Team("bay")), unit: "records", limit: 2}},
		{"table full", func(t *Table) error {
			var err error
			for i := range 8 {
				err = errors.Join(err, claim(t, fmt.Sprint("t", i), "r"))
			}
			return err
		}, &FullError{unit: "records", limit: 8}},
		{"other attempt resolves", func(t *Table) error { return t.Resolve(NewKey("bay", "r0"), NewHolder("h1", 1, 2), NotRun()) },
			&NotHeldError{key: NewKey("bay", "r0"), holder: NewHolder("h1", 1, 2)}},
		{"unknown claim resolved", func(t *Table) error { return t.Resolve(NewKey("bay", "r9"), first, NotRun()) },
			&NotHeldError{key: NewKey("bay", "r9"), holder: first}},
		{"recorded claim freed", func(t *Table) error {
			return errors.Join(t.Resolve(NewKey("bay", "r0"), first, Ran(TooLarge(200))), t.Resolve(NewKey("bay", "r0"), first, NotRun()))
		}, &NotHeldError{key: NewKey("bay", "r0"), holder: first}},
	}
	for _, c := range cases {
		table := New(WithMaxRecords(8))
		if err := claim(table, "bay", "r0"); err != nil {
			t.Fatal(err)
		}
		err := c.do(table)
		if err == nil || err.Error() != c.want.Error() && err.Error() != "claim: "+c.want.Error() {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
	}
}

// Guards against losing a claim when the table has no capacity for its result.
// The request was executed and must not be executed again.
func TestResultExceedsCapacity(t *testing.T) {
	table := New(WithMaxBytes(4 * 1000))
	holder := NewHolder("h1", 1, 1)
	for _, id := range []ident.RequestID{"r1", "r2"} {
		if _, err := table.Claim(start, NewKey("bay", id), ident.Fingerprint{}, holder); err != nil {
			t.Fatal(err)
		}
		if err := table.Resolve(NewKey("bay", id), holder, Ran(NewResult(200, nil, make([]byte, 100)))); err != nil {
			t.Fatal(err)
		}
	}
	if a, _ := table.Lookup(NewKey("bay", "r2")); a.State() != Recorded || !a.Result().IsTooLarge() {
		t.Errorf("got %+v, want a recorded result that is too large", a)
	}
	if table.Bytes() > 4*1000 {
		t.Errorf("got %d bytes, want at most 4000", table.Bytes())
	}
}
