package stand

import (
	"net/http"
	"time"
)

// RunStatus states whether and how a Target finished a request.
type RunStatus string

// The statuses of a run.
const (
	// Running means that the request still occupies its slot.
	Running RunStatus = "running"
	// Done means that the response was passed to the connection.
	Done RunStatus = "done"
	// Cancelled means that the connection of the caller was closed first.
	Cancelled RunStatus = "cancelled"
	// Expired means that the deadline of the request passed first.
	Expired RunStatus = "expired"
	// Crashed means that the request crashed the target.
	Crashed RunStatus = "crashed"
)

// Run is the record of one request that occupied a slot.
type Run struct {
	number    int
	method    string
	path      string
	header    http.Header
	bodyBytes int64
	started   time.Time
	ended     time.Time
	status    RunStatus
}

// Number returns the number of the run. The runs of a target are numbered from
// 1.
func (r Run) Number() int { return r.number }

// Method returns the HTTP method.
func (r Run) Method() string { return r.method }

// Path returns the path with its query.
func (r Run) Path() string { return r.path }

// Header returns the header as it was received. It must not be changed.
func (r Run) Header() http.Header { return r.header }

// IdempotencyKey returns the value of the Idempotency-Key header, or an empty
// string.
func (r Run) IdempotencyKey() string { return r.header.Get("Idempotency-Key") }

// BodyBytes returns the size of the request body.
func (r Run) BodyBytes() int64 { return r.bodyBytes }

// StartedAt returns the time at which the request was admitted to its slot.
func (r Run) StartedAt() time.Time { return r.started }

// EndedAt returns the time at which the request released its slot, or at which
// it crashed the target. It is zero while the request is running.
func (r Run) EndedAt() time.Time { return r.ended }

// Status returns how the request ended.
func (r Run) Status() RunStatus { return r.status }

// Stats are the counts of a Target since it was first started.
type Stats struct {
	ran        int
	shed       int
	crashes    int
	keysSeen   int
	busy       int
	queued     int
	peak       int
	unrecorded int
}

// Ran returns the number of requests that occupied a slot.
func (s Stats) Ran() int { return s.ran }

// Shed returns the number of requests refused as not run.
func (s Stats) Shed() int { return s.shed }

// Crashes returns the number of crashes.
func (s Stats) Crashes() int { return s.crashes }

// KeysSeen returns the number of requests, including shed ones, that had an
// Authorization header. It must stay zero, because API keys must not be
// forwarded to targets.
func (s Stats) KeysSeen() int { return s.keysSeen }

// Busy returns the number of occupied slots.
func (s Stats) Busy() int { return s.busy }

// Queued returns the number of requests that wait for a slot.
func (s Stats) Queued() int { return s.queued }

// Unrecorded returns the number of requests that ran but were not recorded,
// because the maximum number of recorded runs was reached.
func (s Stats) Unrecorded() int { return s.unrecorded }

// Peak returns the highest number of requests that were running or queued at
// the same time.
func (s Stats) Peak() int { return s.peak }

// Duplicates returns the idempotency keys that occur in more than one of the
// runs of all given targets, with the number of runs.
func Duplicates(runs ...[]Run) map[string]int {
	counts := make(map[string]int)
	for _, targetRuns := range runs {
		for _, r := range targetRuns {
			if key := r.IdempotencyKey(); key != "" {
				counts[key]++
			}
		}
	}
	for key, n := range counts {
		if n < 2 {
			delete(counts, key)
		}
	}
	return counts
}
