package trial

import (
	"math/rand"
	"time"
)

// selector selects the targets of requests. Its implementations are the
// strategies that are compared.
type selector interface {
	// arrive handles a new request at its entry host. Each request is finally
	// sent or refused.
	arrive(r *request)
	// done handles the end of a request at its entry host.
	done(r *request)
}

// Strategy identifies how requests are assigned to slots.
type Strategy string

// Strategies that are compared.
const (
	// PrivateTwoChoices is the power of two choices: each entry host sends a
	// request to the less loaded of two random targets, by the host's own
	// requests in flight.
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

// simulation is the state of one simulation.
type simulation struct {
	timeline
	targets   []*targetState
	selector  selector
	generator *loadGenerator
	result    *Result
	number    uint64
}

// Run simulates a strategy under a workload.
func Run(strategy Strategy, workload Workload, seed int64) *Result {
	targets := newTargets(rand.New(rand.NewSource(seed)))
	s := &simulation{targets: targets, result: newResult()}
	s.generator = newLoadGenerator(rand.New(rand.NewSource(seed+1)), workload, targets)
	s.selector = newSelector(s, strategy, rand.New(rand.NewSource(seed+2)))
	s.scheduleArrival()
	s.runUntil(measureTo + 3*requestTimeout)
	s.result.finalise(targets)
	return s.result
}

// scheduleArrival schedules the next arrival, which schedules the one after it.
func (s *simulation) scheduleArrival() {
	wait, r := s.generator.next(s.now)
	s.schedule(wait, func() {
		if s.now > measureTo {
			return
		}
		if r != nil {
			s.number++
			r.number = s.number
			s.selector.arrive(r)
		}
		s.scheduleArrival()
	})
}

// send sends a request from its entry host to a target.
func (s *simulation) send(r *request, t *targetState) {
	r.target = t
	s.schedule(networkDelay(hostZone(r.host), t.zone), func() { s.enqueue(t, r) })
}

// enqueue adds a request to the queue of a target and starts it if a slot is
// free.
func (s *simulation) enqueue(t *targetState, r *request) {
	if t.running+len(t.queue) >= t.slots {
		t.oversubscribed++
	}
	t.queue = append(t.queue, r)
	s.startQueued(t)
}

// startQueued starts queued requests in free slots. It drops a request whose
// deadline has passed, because targets respect deadlines.
func (s *simulation) startQueued(t *targetState) {
	for len(t.queue) > 0 && t.running < t.slots {
		r := t.queue[0]
		t.queue = t.queue[1:]
		if s.now >= r.deadline() {
			s.result.refuse(r)
			s.notifyDone(r)
			continue
		}
		t.running++
		s.schedule(r.serviceTime, func() {
			t.running--
			s.schedule(networkDelay(hostZone(r.host), t.zone), func() { s.result.serve(r, s.now) })
			s.notifyDone(r)
			s.startQueued(t)
		})
	}
}

// notifyDone notifies the entry host that a request has ended at its target.
func (s *simulation) notifyDone(r *request) {
	s.schedule(networkDelay(hostZone(r.host), r.target.zone), func() { s.selector.done(r) })
}

// repeat runs an action at a fixed interval until the end of the simulation.
func (s *simulation) repeat(interval time.Duration, action func()) {
	s.schedule(interval, func() {
		action()
		s.repeat(interval, action)
	})
}
