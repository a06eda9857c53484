package state

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// endedRetention is the time for which the incarnation of an ended process is
// remembered. A process that is cut off for longer has long lost its claims
// and its lease.
const endedRetention = 24 * time.Hour

// ended remembers the ended processes, so that none becomes a member again
// after its claims lapsed.
type ended struct {
	hosts map[ident.Host]EndedProcess
}

// EndedProcess is an ended process.
type EndedProcess struct {
	host        ident.Host
	incarnation ident.Incarnation
	at          time.Time
}

// NewEndedProcess returns an ended process for a snapshot.
func NewEndedProcess(host ident.Host, incarnation ident.Incarnation, at time.Time) EndedProcess {
	return EndedProcess{host: host, incarnation: incarnation, at: clean(at)}
}

// Host returns the host of the process.
func (e EndedProcess) Host() ident.Host { return e.host }

// Incarnation returns the number of the process.
func (e EndedProcess) Incarnation() ident.Incarnation { return e.incarnation }

// At returns the time at which the process was ended.
func (e EndedProcess) At() time.Time { return e.at }

func newEnded() *ended { return &ended{hosts: make(map[ident.Host]EndedProcess)} }

func (e *ended) last(host ident.Host) (ident.Incarnation, bool) {
	p, ok := e.hosts[host]
	return p.incarnation, ok
}

func (e *ended) add(host ident.Host, incarnation ident.Incarnation, at time.Time) {
	for h, p := range e.hosts {
		if at.Sub(p.at) >= endedRetention {
			delete(e.hosts, h)
		}
	}
	e.hosts[host] = EndedProcess{host: host, incarnation: incarnation, at: at}
}

func (e *ended) sorted() []EndedProcess {
	return slices.SortedFunc(maps.Values(e.hosts), func(a, b EndedProcess) int { return cmp.Compare(a.host, b.host) })
}
