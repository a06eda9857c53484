package admit

import (
	"time"

	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/spread"
)

// Check finds out whether the process of a target has ended: it has if new
// connections to it are refused while a reference target accepts them.
type Check struct {
	target     spread.Target
	references []spread.Target
}

// maxReferences is the number of reference targets of a check. Several are needed,
// because one request may have ended the processes of some of them too.
const maxReferences = 3

// Target returns the target whose process may have ended.
func (c Check) Target() spread.Target { return c.target }

// References returns targets that show whether this host reaches targets at all.
func (c Check) References() []spread.Target { return c.references }

// Suspicion is a request during which processes have ended.
type Suspicion struct {
	fingerprint ident.Fingerprint
	crashes     int
	verdict     guard.Verdict
}

// Fingerprint returns the fingerprint of the request.
func (s Suspicion) Fingerprint() ident.Fingerprint { return s.fingerprint }

// Crashes returns the number of processes that have ended since the last response.
func (s Suspicion) Crashes() int { return s.crashes }

// IsRefused reports whether the request is refused from now on.
func (s Suspicion) IsRefused() bool { return s.verdict == guard.Refused }

func processOf(t spread.Target) guard.Process { return guard.NewProcess(t.ID(), t.StartedAt()) }

// RecordLoss records a request whose connection to its target broke before a
// response. It returns the check that the caller must make, if one is due, and
// pass to RecordCheck.
func (c *Controller) RecordLoss(now time.Time, choice spread.Choice, f ident.Fingerprint) (Check, bool) {
	target := choice.Target()
	p := processOf(target)
	switch c.losses.Record(now, f, p) {
	case guard.ProcessEnded:
		c.suspects.RecordCrash(now, f, guard.NewCrash(p, now))
	case guard.CheckDue:
		if references := c.table.References(now, target, maxReferences); len(references) > 0 {
			return Check{target: target, references: references}, true
		}
		c.losses.Checked(now, p, false)
	}
	return Check{}, false
}

// RecordCheck records the result of a check. It returns the requests that the
// process was running when it ended.
func (c *Controller) RecordCheck(now time.Time, target spread.Target, hasEnded bool) []Suspicion {
	p := processOf(target)
	var list []Suspicion
	for _, loss := range c.losses.Checked(now, p, hasEnded) {
		n := c.suspects.RecordCrash(now, loss.Fingerprint(), guard.NewCrash(p, loss.At()))
		verdict, _ := c.suspects.Verdict(now, loss.Fingerprint())
		list = append(list, Suspicion{fingerprint: loss.Fingerprint(), crashes: n, verdict: verdict})
	}
	return list
}

// RecordResponse records that a target has responded to a request, which shows
// that the request does not crash targets.
func (c *Controller) RecordResponse(now time.Time, f ident.Fingerprint) {
	c.losses.Forget(f)
	c.suspects.RecordResponse(now, f)
}

// Suspected returns the fingerprints for which Confirm and RecordResponse need to
// be called.
func (c *Controller) Suspected() map[ident.Fingerprint]bool {
	list := c.suspects.Suspected()
	for _, f := range c.losses.Waiting() {
		list[f] = true
	}
	return list
}

// SuspectReports returns what has changed since a time about requests that may
// crash targets, for other hosts.
func (c *Controller) SuspectReports(now, since time.Time) []guard.Report {
	c.suspects.Expire(now)
	return c.suspects.Reports(since)
}

// MergeSuspects applies what other hosts have reported.
func (c *Controller) MergeSuspects(now time.Time, reports []guard.Report) {
	c.suspects.Merge(now, reports)
}

// ConfirmRequest decides whether a request that may have crashed targets is still
// sent to the chosen target. Nothing was sent.
func (c *Controller) ConfirmRequest(now time.Time, d Decision, f ident.Fingerprint) Decision {
	verdict, until := c.suspects.Verdict(now, f)
	switch verdict {
	case guard.SingleAttempt:
		d.state.isSuspected = true
	case guard.Refused:
		if d.choice.IsFound() {
			c.table.RecordResult(now, d.choice, spread.Abandoned, ident.None[spread.Load]())
			d.state.attempts--
		}
		return Decision{state: d.state, choice: d.choice, reason: Crashing, retryAfter: until.Sub(now)}
	}
	return d
}
