package trial

import (
	"fmt"
	"math/rand"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/steer"
)

const (
	// headroom is the share of slots kept for the urgent class.
	headroom = 0.1
	// queueBound limits the waiting requests of a team in a class.
	queueBound = 400
	// ownerZone is the zone of the slot owner.
	ownerZone = 0
	// poolTick is the interval at which pools refuse what has come due.
	poolTick = 10 * time.Millisecond
)

func newPlacer(s *simulation, way Strategy, r *rand.Rand) placer {
	switch way {
	case StaticSplit:
		return newSplit(s)
	case OwnerFirstCome, OwnerSteer:
		o := &owner{pooled: pooled{simulation: s, firstCome: way == OwnerFirstCome}}
		o.reply = func(r *request) time.Duration { return hop(hostZone(r.host), ownerZone) }
		o.start(func(m *machine) int { return m.slots })
		return o
	}
	return newPrivate(s, r)
}

// private is selection by each entry host alone.
type private struct {
	simulation *simulation
	random     *rand.Rand
	services   [serviceCount][]*machine
	inFlight   [hostCount][targetCount]int
}

var _ placer = (*private)(nil)

func newPrivate(s *simulation, r *rand.Rand) *private {
	p := &private{simulation: s, random: r}
	for _, m := range s.machines {
		p.services[m.service] = append(p.services[m.service], m)
	}
	return p
}

func (p *private) arrive(r *request) {
	list := p.services[r.service]
	a, b := list[p.random.Intn(len(list))], list[p.random.Intn(len(list))]
	counts := &p.inFlight[r.host]
	if counts[b.index]*a.slots < counts[a.index]*b.slots {
		a = b
	}
	counts[a.index]++
	p.simulation.send(r, a)
}

func (p *private) done(r *request) { p.inFlight[r.host][r.target.index]-- }

// pooled gives out slots by a steer.Pool.
type pooled struct {
	simulation *simulation
	pool       *steer.Pool
	firstCome  bool
	waiting    map[uint64]*request
	machines   map[ident.Target]*machine
	// reply returns the delay of an answer to the entry host.
	reply func(r *request) time.Duration
}

func serviceName(i int) ident.Service { return ident.Service(fmt.Sprintf("service%d", i)) }

func zoneName(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone%d", i)) }

// start opens a pool with the given part of each target's slots.
func (p *pooled) start(part func(*machine) int) {
	p.pool = steer.New("region")
	p.waiting, p.machines = map[uint64]*request{}, map[ident.Target]*machine{}
	var services []steer.Service
	for i := range serviceCount {
		kept := headroom
		if p.firstCome {
			kept = 0
		}
		services = append(services, steer.NewService(serviceName(i), kept, 0))
	}
	p.pool.SetServices(p.time(), services)
	var targets []steer.Target
	for i, m := range p.simulation.machines {
		if n := part(m); n > 0 {
			id := ident.Target(fmt.Sprintf("%02d", i))
			p.machines[id] = m
			targets = append(targets, steer.NewTarget(id, serviceName(m.service), "", zoneName(m.zone), n, steer.StateLive))
		}
	}
	p.pool.SetTargets(p.time(), targets)
	p.pool.TryOpen(p.time())
	p.simulation.every(poolTick, func() { p.decide(p.pool.Tick(p.time())) })
}

func (p *pooled) time() time.Time { return time.Unix(0, 0).Add(p.simulation.now) }

func (p *pooled) id(r *request) steer.SlotRequestID {
	return steer.NewSlotRequestID(steer.NewHolder(ident.Host(fmt.Sprintf("host%d", r.host)), 1), r.number)
}

// ask asks the pool for a slot. In a first-come queue, all requests are of
// one team and class.
func (p *pooled) ask(r *request) {
	team, weight, name, bound := ident.Team(fmt.Sprintf("team%d", r.team)), teamShares[r.team], ident.Class("reads"), queueBound
	if r.urgent {
		name = "alerts"
	}
	if p.firstCome {
		team, weight, name, bound = "all", 1, "all", queueBound*len(teamShares)
	}
	class := steer.NewClass(name, r.urgent && !p.firstCome, bound, 0)
	deadline := time.Unix(0, 0).Add(r.deadline())
	a := steer.NewSlotRequest(p.id(r), serviceName(r.service), team, class, deadline,
		steer.WithWeight(weight), steer.WithZone(zoneName(hostZone(r.host))))
	p.waiting[r.number] = r
	p.decide([]steer.Decision{p.pool.Acquire(p.time(), a)})
}

func (p *pooled) decide(list []steer.Decision) {
	for _, d := range list {
		r := p.waiting[d.ID().Number()]
		switch d := d.(type) {
		case steer.Granted:
			delete(p.waiting, r.number)
			m := p.machines[d.Target()]
			p.simulation.after(p.reply(r), func() { p.simulation.send(r, m) })
		case steer.Refused:
			delete(p.waiting, r.number)
			p.simulation.result.refuse(r)
		}
	}
}

func (p *pooled) release(r *request) {
	result := steer.NewResult(steer.OutcomeOK, r.work)
	p.decide(p.pool.Release(p.time(), p.id(r), result))
}

// owner is one pool for all entry hosts, reached over the network.
type owner struct{ pooled }

var _ placer = (*owner)(nil)

func (o *owner) arrive(r *request) { o.simulation.after(o.reply(r), func() { o.ask(r) }) }

func (o *owner) done(r *request) { o.simulation.after(o.reply(r), func() { o.release(r) }) }

// split is one pool on each entry host with its part of the slots.
type split struct{ pools [hostCount]*pooled }

var _ placer = (*split)(nil)

// newSplit deals the slots of each service to the entry hosts in turn.
func newSplit(s *simulation) *split {
	var parts [hostCount]map[*machine]int
	for i := range parts {
		parts[i] = map[*machine]int{}
	}
	var next [serviceCount]int
	for _, m := range s.machines {
		for range m.slots {
			parts[next[m.service]%hostCount][m]++
			next[m.service]++
		}
	}
	p := &split{}
	for i := range p.pools {
		p.pools[i] = &pooled{
			simulation: s, reply: func(*request) time.Duration { return 0 },
		}
		p.pools[i].start(func(m *machine) int { return parts[i][m] })
	}
	return p
}

func (p *split) arrive(r *request) { p.pools[r.host].ask(r) }

func (p *split) done(r *request) { p.pools[r.host].release(r) }
