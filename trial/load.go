package trial

import (
	"math/rand"
	"time"
)

const (
	hostCount    = 9
	targetCount  = 50
	serviceCount = 4
	zoneCount    = 3
	// zoneHop is the one-way delay between zones, localHop within one.
	zoneHop  = time.Millisecond
	localHop = 100 * time.Microsecond
	// meanWork is the mean time that a target works on a request.
	meanWork = 100 * time.Millisecond
	// baseLoad is the demand as a share of all slots before it doubles.
	baseLoad = 0.4
	// urgentShare is the share of requests in the urgent class.
	urgentShare = 0.05
	// patience is the deadline of a request, counted from its arrival.
	patience = 2 * time.Second
	// The demand doubles at doubling, when the noisy team starts to send
	// five times its share. Requests that arrive between measureFrom and
	// measureTo are measured.
	doubling    = 10 * time.Second
	measureFrom = 12 * time.Second
	measureTo   = 30 * time.Second
	// noisyTeam is the index of the team that exceeds its share, and
	// noisyFactor is by how much.
	noisyTeam   = 4
	noisyFactor = 5.0
)

// teamShares are the shares of the demand in percent. Two teams are large.
// They are also the weights of the teams.
var teamShares = [...]int{30, 25, 15, 10, 8, 6, 4, 2}

// request is one request of the workload.
type request struct {
	host    int
	service int
	team    int
	urgent  bool
	arrival time.Duration
	work    time.Duration
	target  *machine
	number  uint64
}

func (r *request) deadline() time.Duration { return r.arrival + patience }

// machine is a target that runs as many requests as it has slots and queues
// the rest in the order of their arrival.
type machine struct {
	index   int
	zone    int
	service int
	slots   int
	running int
	queue   []*request
	// over counts the arrivals that found all slots in use.
	over int
}

func newMachines(r *rand.Rand) []*machine {
	list := make([]*machine, targetCount)
	for i := range list {
		list[i] = &machine{index: i, zone: i % zoneCount, service: i % serviceCount, slots: 3 + r.Intn(4)}
	}
	return list
}

func hostZone(host int) int { return host % zoneCount }

func hop(a, b int) time.Duration {
	if a == b {
		return localHop
	}
	return zoneHop
}

// Workload names a workload.
type Workload string

// Workloads.
const (
	// Planned spreads requests over the services in proportion to their
	// slots, as a planner does that keeps load under capacity. Without the
	// noisy team every service has slots to spare.
	Planned Workload = "planned"
	// Uneven gives each service the same demand, so that the services with
	// fewer slots are overloaded by the teams within their shares.
	Uneven Workload = "uneven"
	// UrgentAlone is Planned without the requests of other classes.
	UrgentAlone Workload = "urgent-alone"
)

// source makes the arrivals of one trial.
type source struct {
	random    *rand.Rand
	demand    Workload
	perSecond float64
	// services holds the share of each service in the demand.
	services [serviceCount]float64
}

func newSource(r *rand.Rand, demand Workload, machines []*machine) *source {
	s := &source{random: r, demand: demand}
	slots := 0
	for _, m := range machines {
		slots += m.slots
	}
	s.perSecond = baseLoad * float64(slots) / meanWork.Seconds()
	for _, m := range machines {
		s.services[m.service] += float64(m.slots) / float64(slots)
	}
	if demand == Uneven {
		for i := range s.services {
			s.services[i] = 1.0 / serviceCount
		}
	}
	return s
}

// service draws a service by its share.
func (s *source) service() int {
	draw := s.random.Float64()
	for i, share := range s.services {
		if draw -= share; draw < 0 {
			return i
		}
	}
	return serviceCount - 1
}

// factor returns the demand of a team relative to its base at a time.
func factor(team int, now time.Duration) float64 {
	f := 1.0
	if now >= doubling {
		f = 2
		if team == noisyTeam {
			f *= noisyFactor
		}
	}
	return f
}

// peak is the greatest total factor, by which arrivals are thinned out.
func peak() float64 {
	return 2 + 2*(noisyFactor-1)*float64(teamShares[noisyTeam])/100
}

// next returns the time to the next candidate, and the candidate unless it is
// thinned out. The same numbers are drawn in each trial of a seed, so that
// all trials see the same requests.
func (s *source) next(now time.Duration) (time.Duration, *request) {
	wait := time.Duration(s.random.ExpFloat64() / (s.perSecond * peak()) * float64(time.Second))
	at := now + wait
	team, weight := s.team(at)
	r := &request{
		host: s.random.Intn(hostCount), service: s.service(), team: team,
		urgent: s.random.Float64() < urgentShare, arrival: at,
		work: time.Duration(s.random.ExpFloat64() * float64(meanWork)),
	}
	if s.random.Float64()*peak() >= weight || s.demand == UrgentAlone && !r.urgent {
		return wait, nil
	}
	return wait, r
}

// team draws a team by its demand and returns the total factor.
func (s *source) team(now time.Duration) (int, float64) {
	total := 0.0
	for i, share := range teamShares {
		total += float64(share) / 100 * factor(i, now)
	}
	draw := s.random.Float64() * total
	for i, share := range teamShares {
		draw -= float64(share) / 100 * factor(i, now)
		if draw < 0 {
			return i, total
		}
	}
	return len(teamShares) - 1, total
}
