package trial

import (
	"fmt"
	"math/rand"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/steer"
)

const (
	// headroom is the share of slots reserved for the urgent class.
	headroom = 0.1
	// queueLength limits the queued requests of a team in a class.
	queueLength = 400
	// ownerZone is the zone of the slot owner.
	ownerZone = 0
	// poolTick is the interval at which pools refuse expired requests.
	poolTick = 10 * time.Millisecond
)

func newSelector(s *simulation, strategy Strategy, r *rand.Rand) selector {
	switch strategy {
	case StaticSplit:
		return newSplitPools(s)
	case OwnerFirstCome, OwnerSteer:
		o := &centralPool{poolClient: poolClient{simulation: s, firstCome: strategy == OwnerFirstCome}}
		o.replyDelay = func(r *request) time.Duration { return networkDelay(hostZone(r.host), ownerZone) }
		o.start(func(t *targetState) int { return t.slots })
		return o
	}
	return newTwoChoices(s, r)
}

// twoChoices implements PrivateTwoChoices: each entry host knows only its own
// requests in flight.
type twoChoices struct {
	simulation *simulation
	random     *rand.Rand
	services   [serviceCount][]*targetState
	inFlight   [hostCount][targetCount]int
}

var _ selector = (*twoChoices)(nil)

func newTwoChoices(s *simulation, r *rand.Rand) *twoChoices {
	p := &twoChoices{simulation: s, random: r}
	for _, t := range s.targets {
		p.services[t.service] = append(p.services[t.service], t)
	}
	return p
}

func (t *twoChoices) arrive(r *request) {
	list := t.services[r.service]
	a, b := list[t.random.Intn(len(list))], list[t.random.Intn(len(list))]
	counts := &t.inFlight[r.host]
	if counts[b.index]*a.slots < counts[a.index]*b.slots {
		a = b
	}
	counts[a.index]++
	t.simulation.send(r, a)
}

func (t *twoChoices) done(r *request) { t.inFlight[r.host][r.target.index]-- }

// poolClient assigns slots with a steer.Pool.
type poolClient struct {
	simulation *simulation
	pool       *steer.Pool
	firstCome  bool
	waiting    map[uint64]*request
	targets    map[ident.Target]*targetState
	// replyDelay returns the network delay between the pool and the entry host
	// of a request.
	replyDelay func(r *request) time.Duration
}

func serviceName(i int) ident.Service { return ident.Service(fmt.Sprintf("service%d", i)) }

func zoneName(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone%d", i)) }

// start opens a pool with the part of each target's slots that the function
// returns.
func (p *poolClient) start(part func(*targetState) int) {
	p.pool = steer.New("region")
	p.waiting, p.targets = map[uint64]*request{}, map[ident.Target]*targetState{}
	var services []steer.Service
	for i := range serviceCount {
		reserved := headroom
		if p.firstCome {
			reserved = 0
		}
		services = append(services, steer.NewService(serviceName(i), reserved, 0))
	}
	p.pool.SetServices(p.time(), services)
	var targets []steer.Target
	for i, t := range p.simulation.targets {
		if n := part(t); n > 0 {
			id := ident.Target(fmt.Sprintf("%02d", i))
			p.targets[id] = t
			targets = append(targets, steer.NewTarget(id, serviceName(t.service), "", zoneName(t.zone), n, steer.StateLive))
		}
	}
	p.pool.SetTargets(p.time(), targets)
	p.pool.TryOpen(p.time())
	p.simulation.repeat(poolTick, func() { p.decide(p.pool.Tick(p.time())) })
}

func (p *poolClient) time() time.Time { return time.Unix(0, 0).Add(p.simulation.now) }

func (p *poolClient) id(r *request) steer.SlotRequestID {
	return steer.NewSlotRequestID(steer.NewHolder(ident.Host(fmt.Sprintf("host%d", r.host)), 1), r.number)
}

// acquire requests a slot from the pool. In a first-come queue, all requests
// have the same team and class.
func (p *poolClient) acquire(r *request) {
	team, weight, name, length := ident.Team(fmt.Sprintf("team%d", r.team)), teamShares[r.team], ident.Class("reads"), queueLength
	if r.urgent {
		name = "alerts"
	}
	if p.firstCome {
		team, weight, name, length = "all", 1, "all", queueLength*len(teamShares)
	}
	class := steer.NewClass(name, r.urgent && !p.firstCome, length, 0)
	deadline := time.Unix(0, 0).Add(r.deadline())
	slotRequest := steer.NewSlotRequest(p.id(r), serviceName(r.service), team, class, deadline,
		steer.WithWeight(weight), steer.WithZone(zoneName(hostZone(r.host))))
	p.waiting[r.number] = r
	p.decide([]steer.Decision{p.pool.Acquire(p.time(), slotRequest)})
}

func (p *poolClient) decide(list []steer.Decision) {
	for _, d := range list {
		r := p.waiting[d.ID().Number()]
		switch d := d.(type) {
		case steer.Granted:
			delete(p.waiting, r.number)
			t := p.targets[d.Target()]
			p.simulation.schedule(p.replyDelay(r), func() { p.simulation.send(r, t) })
		case steer.Refused:
			delete(p.waiting, r.number)
			p.simulation.result.refuse(r)
		}
	}
}

func (p *poolClient) release(r *request) {
	result := steer.NewResult(steer.OutcomeOK, r.serviceTime)
	p.decide(p.pool.Release(p.time(), p.id(r), result))
}

// centralPool is one pool for all entry hosts, which they call over the network.
type centralPool struct{ poolClient }

var _ selector = (*centralPool)(nil)

func (p *centralPool) arrive(r *request) {
	p.simulation.schedule(p.replyDelay(r), func() { p.acquire(r) })
}

func (p *centralPool) done(r *request) {
	p.simulation.schedule(p.replyDelay(r), func() { p.release(r) })
}

// splitPools is one pool on each entry host with the host's part of the slots.
type splitPools struct{ pools [hostCount]*poolClient }

var _ selector = (*splitPools)(nil)

// newSplitPools assigns the slots of each service to the entry hosts round
// robin.
func newSplitPools(s *simulation) *splitPools {
	var parts [hostCount]map[*targetState]int
	for i := range parts {
		parts[i] = map[*targetState]int{}
	}
	var next [serviceCount]int
	for _, t := range s.targets {
		for range t.slots {
			parts[next[t.service]%hostCount][t]++
			next[t.service]++
		}
	}
	p := &splitPools{}
	for i := range p.pools {
		p.pools[i] = &poolClient{
			simulation: s, replyDelay: func(*request) time.Duration { return 0 },
		}
		p.pools[i].start(func(t *targetState) int { return parts[i][t] })
	}
	return p
}

func (p *splitPools) arrive(r *request) { p.pools[r.host].acquire(r) }

func (p *splitPools) done(r *request) { p.pools[r.host].release(r) }
