package ledger

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/route"
)

// Entry is the record of a request and its result.
type Entry struct {
	id        ident.RequestID
	method    string
	path      string
	startTime time.Time
	latency   time.Duration
	result    route.Result
}

// NewEntry returns the entry of a request with the time of its arrival and its
// duration.
func NewEntry(request route.Request, result route.Result, startTime time.Time, latency time.Duration) Entry {
	return Entry{
		id: request.ID(), method: request.Method(), path: request.Path(),
		startTime: startTime, latency: latency, result: result,
	}
}

// ID returns the ID of the request.
func (e Entry) ID() ident.RequestID { return e.id }

// Method returns the HTTP method of the request.
func (e Entry) Method() string { return e.method }

// Path returns the path of the request.
func (e Entry) Path() string { return e.path }

// StartTime returns the time at which the request arrived.
func (e Entry) StartTime() time.Time { return e.startTime }

// Latency returns the duration of the request.
func (e Entry) Latency() time.Duration { return e.latency }

// Result returns the result of the request with the decisions that led to it.
func (e Entry) Result() route.Result { return e.result }

// entryRing is a ring buffer of the latest entries, indexed by request ID.
type entryRing struct {
	entries []Entry
	next    int
	byID    map[ident.RequestID]int
}

func newEntryRing(capacity int) *entryRing {
	return &entryRing{entries: make([]Entry, capacity), byID: make(map[ident.RequestID]int, capacity)}
}

func (r *entryRing) add(e Entry) {
	delete(r.byID, r.entries[r.next].id)
	r.entries[r.next] = e
	r.byID[e.id] = r.next
	r.next = (r.next + 1) % len(r.entries)
}

func (r *entryRing) find(id ident.RequestID) (Entry, bool) {
	index, ok := r.byID[id]
	if !ok {
		return Entry{}, false
	}
	return r.entries[index], true
}
