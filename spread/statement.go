package spread

import (
	"time"

	"rhubarbrack/ident"
)

// Statement is what a target says of itself in an answer.
type Statement struct {
	limit   RateLimit
	leaving bool
	pause   time.Duration
}

// StatementOption sets an optional part of a Statement.
type StatementOption func(*Statement)

// WithLimit states a rate limit.
func WithLimit(l RateLimit) StatementOption { return func(s *Statement) { s.limit = l } }

// WithLeaving states that the target's process is about to end.
func WithLeaving() StatementOption { return func(s *Statement) { s.leaving = true } }

// WithPause states that the target wants no requests of this host for the given
// time.
func WithPause(d time.Duration) StatementOption { return func(s *Statement) { s.pause = max(0, d) } }

// NewStatement returns a statement. Without options it says that the target has
// no rate limit, is not leaving, and wants no pause.
func NewStatement(options ...StatementOption) Statement {
	var s Statement
	for _, apply := range options {
		apply(&s)
	}
	return s
}

// Limit returns the rate limit.
func (s Statement) Limit() RateLimit { return s.limit }

// IsLeaving reports whether the target's process is about to end.
func (s Statement) IsLeaving() bool { return s.leaving }

// Pause returns how long the target wants no requests of this host.
func (s Statement) Pause() time.Duration { return s.pause }

// Change is a change in what a host knows of a target by its statements.
type Change string

// The changes.
const (
	LimitBegan     Change = "limit-began"
	LimitEnded     Change = "limit-ended"
	LeavingBegan   Change = "leaving"
	PauseRequested Change = "pause"
)

// Observe applies what a target stated in the answer to an attempt, and returns
// the changes.
func (t *Table) Observe(now time.Time, c Choice, statement Statement) []Change {
	s, ok := t.targets[c.target.id]
	if !ok || !s.isSameProcess(c.target) {
		t.observeUnlisted(now, c.target.process(), statement)
		return nil
	}
	return t.observe(now, now, s, statement)
}

// observe applies a statement of the given time.
func (t *Table) observe(now, statedAt time.Time, s *targetState, statement Statement) []Change {
	var changes []Change
	wasLimited := s.isLimited()
	t.applyLimit(now, statedAt, s, statement.limit)
	switch {
	case s.isLimited() && !wasLimited:
		changes = append(changes, LimitBegan)
	case wasLimited && !s.isLimited():
		changes = append(changes, LimitEnded)
	}
	return append(changes, s.applyStatement(now, statement)...)
}

// ObserveProbe applies what a target stated in the answer to a health check, and
// returns the changes. That it states no rate limit there ends none.
func (t *Table) ObserveProbe(now time.Time, target Target, statement Statement) []Change {
	s, ok := t.targets[target.id]
	if !ok || !s.isSameProcess(target) {
		t.observeUnlisted(now, target.process(), statement)
		return nil
	}
	return s.applyStatement(now, statement)
}

// applyStatement applies that a target leaves or wants a pause.
func (s *targetState) applyStatement(now time.Time, statement Statement) []Change {
	var changes []Change
	if statement.leaving && s.leavingSince.IsZero() {
		// A process that is leaving does not stay, whatever it says later.
		s.leavingSince = now
		changes = append(changes, LeavingBegan)
	}
	if statement.pause > 0 {
		s.pauseAskedUntil = laterOf(s.pauseAskedUntil, now.Add(statement.pause))
		changes = append(changes, PauseRequested)
	}
	return changes
}

// ObserveForwarded applies what a target's process stated in an answer that came
// through another host, and returns the changes. The statement is not older than
// the given time. A pause concerns only the host that has sent the request.
func (t *Table) ObserveForwarded(now, notBefore time.Time, id ident.Target, startedAt int64, statement Statement) []Change {
	s, ok := t.targets[id]
	if !ok || s.startedAt != startedAt {
		t.observeUnlisted(now, process{id: id, startedAt: startedAt}, statement)
		return nil
	}
	statement.pause = 0
	return t.observe(now, notBefore, s, statement)
}

// WithDrainTime sets for how long a target that is leaving may get requests after
// it said so. It gets them only if its service has no other target.
func WithDrainTime(d time.Duration) Option { return func(t *Table) { t.drainTime = d } }

// isLeaving reports whether a target has said that its process is about to end.
func (s *targetState) isLeaving() bool { return !s.leavingSince.IsZero() }

// admitsLeaving reports whether a target that is leaving may still get requests.
func (t *Table) admitsLeaving(now time.Time, s *targetState) bool {
	return now.Before(s.leavingSince.Add(t.drainTime))
}

// askedPause returns the time until the first target of a service that has asked
// for a pause takes requests again, or 0 if none has asked for one.
func (t *Table) askedPause(now time.Time, service ident.Service) time.Duration {
	least := time.Duration(0)
	for _, s := range t.services[service] {
		if s.draining || s.isLeaving() || t.evacuated[s.zone] {
			continue
		}
		if wait := s.pauseAskedUntil.Sub(now); wait > 0 && (least == 0 || wait < least) {
			least = wait
		}
	}
	return least
}
