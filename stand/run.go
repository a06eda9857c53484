package stand

import (
	"net/http"
	"time"
)

// RunStatus tells how a Target finished a request.
type RunStatus string

// The ends of a request.
const (
	// Running means that the request has not ended.
	Running RunStatus = "running"
	// Done means that the answer was handed to the connection.
	Done RunStatus = "done"
	// Cancelled means that the caller's connection ended first.
	Cancelled RunStatus = "cancelled"
	// Expired means that the deadline of the request passed first.
	Expired RunStatus = "expired"
	// Crashed means that the request ended the target.
	Crashed RunStatus = "crashed"
)

// Run is the record of one request that occupied a slot.
type Run struct {
	number  int
	method  string
	path    string
	header  http.Header
	body    int64
	started time.Time
	ended   time.Time
	end     RunStatus
}

// Number counts the requests of a target from one.
func (r Run) Number() int { return r.number }

// Method returns the HTTP method.
func (r Run) Method() string { return r.method }

// Path returns the path with its query.
func (r Run) Path() string { return r.path }

// Header returns the header as it was received. It must not be changed.
func (r Run) Header() http.Header { return r.header }

// IdempotencyKey returns the id that the caller chose, or an empty string.
func (r Run) IdempotencyKey() string { return r.header.Get("Idempotency-Key") }

// BodyBytes returns the size of the request body.
func (r Run) BodyBytes() int64 { return r.body }

// StartedAt returns when the request got its slot.
func (r Run) StartedAt() time.Time { return r.started }

// EndedAt returns when the request left its slot.
func (r Run) EndedAt() time.Time { return r.ended }

// Status returns how the request ended.
func (r Run) Status() RunStatus { return r.end }

// Stats are the counts of a Target since it was first started.
type Stats struct {
	ran      int
	shed     int
	crashes  int
	keysSeen int
	busy     int
	queued   int
	peak     int
	unsaved  int
}

// Ran returns the number of requests that occupied a slot.
func (f Stats) Ran() int { return f.ran }

// Shed returns the number of requests refused as not run.
func (f Stats) Shed() int { return f.shed }

// Crashes returns the number of crashes.
func (f Stats) Crashes() int { return f.crashes }

// KeysSeen returns the number of requests, also shed ones, that came with an
// Authorization header. It must stay zero.
func (f Stats) KeysSeen() int { return f.keysSeen }

// Busy returns the number of occupied slots.
func (f Stats) Busy() int { return f.busy }

// Queued returns the number of requests that wait for a slot.
func (f Stats) Queued() int { return f.queued }

// Unrecorded returns the number of requests that ran beyond the bound of the
// records.
func (f Stats) Unrecorded() int { return f.unsaved }

// Peak returns the greatest number of requests that were busy or queued.
func (f Stats) Peak() int { return f.peak }

// Duplicates returns the idempotency keys that ran more than once on the
// given targets together, with their counts.
func Duplicates(runs ...[]Run) map[string]int {
	counts := make(map[string]int)
	for _, list := range runs {
		for _, r := range list {
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
