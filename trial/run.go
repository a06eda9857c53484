package trial

import (
	"math/rand"
	"time"
)

// placer decides where requests run. The implementations are the ways that
// are compared.
type placer interface {
	// arrive takes a request at its entry host. It ends in send or refuse.
	arrive(r *request)
	// done takes the end of a request at its entry host.
	done(r *request)
}

// Strategy names a way to give out slots.
type Strategy string

// Ways that are compared.
const (
	// PrivateTwoChoices lets each entry host send a request to the less
	// loaded of two random targets, by its own requests in flight.
	PrivateTwoChoices Strategy = "private-two-choices"
	// StaticSplit gives each entry host a fixed part of the slots, with the
	// queues of package steer.
	StaticSplit Strategy = "static-split"
	// OwnerFirstCome has one owner with a single first-come queue for each
	// service.
	OwnerFirstCome Strategy = "owner-first-come"
	// OwnerSteer has one owner with the classes and the deficit round robin
	// of package steer.
	OwnerSteer Strategy = "owner-steer"
)

// simulation is the state of one trial.
type simulation struct {
	timeline
	machines []*machine
	placer   placer
	source   *source
	result   *Result
	number   uint64
}

// Run runs one trial.
func Run(way Strategy, demand Workload, seed int64) *Result {
	machines := newMachines(rand.New(rand.NewSource(seed)))
	s := &simulation{machines: machines, result: newResult()}
	s.source = newSource(rand.New(rand.NewSource(seed+1)), demand, machines)
	s.placer = newPlacer(s, way, rand.New(rand.NewSource(seed+2)))
	s.arrivals()
	s.runUntil(measureTo + 3*patience)
	s.result.finish(machines)
	return s.result
}

// arrivals plans the next arrival, which plans the one after it.
func (s *simulation) arrivals() {
	wait, r := s.source.next(s.now)
	s.after(wait, func() {
		if s.now > measureTo {
			return
		}
		if r != nil {
			s.number++
			r.number = s.number
			s.placer.arrive(r)
		}
		s.arrivals()
	})
}

// send carries a request from its entry host to a target.
func (s *simulation) send(r *request, m *machine) {
	r.target = m
	s.after(hop(hostZone(r.host), m.zone), func() { s.accept(m, r) })
}

func (s *simulation) accept(m *machine, r *request) {
	if m.running+len(m.queue) >= m.slots {
		m.over++
	}
	m.queue = append(m.queue, r)
	s.work(m)
}

// work starts queued requests in free slots. A request whose deadline has
// passed is dropped: targets accept deadlines.
func (s *simulation) work(m *machine) {
	for len(m.queue) > 0 && m.running < m.slots {
		r := m.queue[0]
		m.queue = m.queue[1:]
		if s.now >= r.deadline() {
			s.result.refuse(r)
			s.back(r)
			continue
		}
		m.running++
		s.after(r.work, func() {
			m.running--
			s.after(hop(hostZone(r.host), m.zone), func() { s.result.serve(r, s.now) })
			s.back(r)
			s.work(m)
		})
	}
}

// back tells the entry host that a request has left its target.
func (s *simulation) back(r *request) {
	s.after(hop(hostZone(r.host), r.target.zone), func() { s.placer.done(r) })
}

// every repeats an action until the end of the trial.
func (s *simulation) every(interval time.Duration, action func()) {
	s.after(interval, func() {
		action()
		s.every(interval, action)
	})
}
