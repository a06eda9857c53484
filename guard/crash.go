package guard

import (
	"cmp"
	"time"

	"rhubarbrack/ident"
)

// Process is one process of a target. A target that starts again is another
// process, under the same or another ID.
type Process struct {
	target    ident.Target
	startedAt int64
}

// NewProcess returns the process of a target that started at the given time in
// Unix milliseconds, or 0 if that is unknown.
func NewProcess(target ident.Target, startedAt int64) Process {
	return Process{target: target, startedAt: startedAt}
}

// Target returns the ID of the target.
func (p Process) Target() ident.Target { return p.target }

// StartedAt returns when the process started, in Unix milliseconds, or 0.
func (p Process) StartedAt() int64 { return p.startedAt }

// Crash is the end of a process while it ran a request.
type Crash struct {
	process Process
	at      time.Time
}

// NewCrash returns the end of a process at a time.
func NewCrash(p Process, at time.Time) Crash { return Crash{process: p, at: at} }

// Process returns the process that ended.
func (c Crash) Process() Process { return c.process }

// At returns when the process ended.
func (c Crash) At() time.Time { return c.at }

func (c Crash) compare(other Crash) int {
	return cmp.Or(c.at.Compare(other.at), cmp.Compare(c.process.target, other.process.target),
		cmp.Compare(c.process.startedAt, other.process.startedAt))
}

// Report is what a host knows of one fingerprint.
type Report struct {
	fingerprint ident.Fingerprint
	crashes     []Crash
	clearedAt   time.Time
}

// NewReport returns a report of the crashes since the last known response, whose
// time is zero if there was none.
func NewReport(f ident.Fingerprint, crashes []Crash, clearedAt time.Time) Report {
	return Report{fingerprint: f, crashes: crashes, clearedAt: clearedAt}
}

// Fingerprint returns the fingerprint of the requests.
func (r Report) Fingerprint() ident.Fingerprint { return r.fingerprint }

// Crashes returns the crashes since the last response.
func (r Report) Crashes() []Crash { return r.crashes }

// ClearedAt returns when a target last responded, or the zero time.
func (r Report) ClearedAt() time.Time { return r.clearedAt }
