package ledger

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/route"
)

// Entry is one request and how it ended.
type Entry struct {
	id      ident.RequestID
	method  string
	path    string
	began   time.Time
	latency time.Duration
	result  route.Result
}

// NewEntry returns an entry.
func NewEntry(request route.Request, result route.Result, began time.Time, latency time.Duration) Entry {
	return Entry{
		id: request.ID(), method: request.Method(), path: request.Path(),
		began: began, latency: latency, result: result,
	}
}

// ID returns the id of the request.
func (e Entry) ID() ident.RequestID { return e.id }

// Method returns the method.
func (e Entry) Method() string { return e.method }

// Path returns the path.
func (e Entry) Path() string { return e.path }

// StartTime returns when the request came in.
func (e Entry) StartTime() time.Time { return e.began }

// Latency returns how long the request took.
func (e Entry) Latency() time.Duration { return e.latency }

// Result returns how the request ended, with the decisions on its way.
func (e Entry) Result() route.Result { return e.result }

// ring keeps the latest entries.
type ring struct {
	entries []Entry
	next    int
	byID    map[ident.RequestID]int
}

func newRing(size int) *ring {
	return &ring{entries: make([]Entry, size), byID: make(map[ident.RequestID]int, size)}
}

func (r *ring) add(e Entry) {
	delete(r.byID, r.entries[r.next].id)
	r.entries[r.next] = e
	r.byID[e.id] = r.next
	r.next = (r.next + 1) % len(r.entries)
}

func (r *ring) find(id ident.RequestID) (Entry, bool) {
	at, ok := r.byID[id]
	if !ok {
		return Entry{}, false
	}
	return r.entries[at], true
}
