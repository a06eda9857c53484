package state

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// endedRetention is how long the incarnation of an ended process is retained.
// The claims and the lease of a process that was partitioned for longer have
// expired.
const endedRetention = 24 * time.Hour

// endedProcesses holds the ended processes, so that none of them can rejoin
// after its running claims were marked as unknown.
type endedProcesses struct {
	hosts map[ident.Host]EndedProcess
}

// EndedProcess is a process that was removed from the membership by Expire.
type EndedProcess struct {
	host        ident.Host
	incarnation ident.Incarnation
	at          time.Time
}

// NewEndedProcess returns an ended process read from a snapshot.
func NewEndedProcess(host ident.Host, incarnation ident.Incarnation, at time.Time) EndedProcess {
	return EndedProcess{host: host, incarnation: incarnation, at: canonicalTime(at)}
}

// Host returns the host of the process.
func (e EndedProcess) Host() ident.Host { return e.host }

// Incarnation returns the incarnation of the process.
func (e EndedProcess) Incarnation() ident.Incarnation { return e.incarnation }

// At returns the time at which the process was expired.
func (e EndedProcess) At() time.Time { return e.at }

func newEndedProcesses() *endedProcesses {
	return &endedProcesses{hosts: make(map[ident.Host]EndedProcess)}
}

func (e *endedProcesses) lastIncarnation(host ident.Host) (ident.Incarnation, bool) {
	p, ok := e.hosts[host]
	return p.incarnation, ok
}

func (e *endedProcesses) add(host ident.Host, incarnation ident.Incarnation, at time.Time) {
	for h, p := range e.hosts {
		if at.Sub(p.at) >= endedRetention {
			delete(e.hosts, h)
		}
	}
	e.hosts[host] = EndedProcess{host: host, incarnation: incarnation, at: at}
}

func (e *endedProcesses) sorted() []EndedProcess {
	return slices.SortedFunc(maps.Values(e.hosts), func(a, b EndedProcess) int { return cmp.Compare(a.host, b.host) })
}
