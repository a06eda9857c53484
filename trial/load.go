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
	// crossZoneDelay is the one-way network delay between zones, and
	// sameZoneDelay within one.
	crossZoneDelay = time.Millisecond
	sameZoneDelay  = 100 * time.Microsecond
	// meanServiceTime is the mean time that a target takes to serve a request.
	meanServiceTime = 100 * time.Millisecond
	// baseLoad is the demand before it doubles, as a share of all slots.
	baseLoad = 0.4
	// urgentShare is the share of requests in the urgent class.
	urgentShare = 0.05
	// requestTimeout is the time from the arrival of a request to its deadline.
	requestTimeout = 2 * time.Second
	// The demand doubles at doublingTime, when the noisy team starts to send
	// five times its share. Requests that arrive between measureFrom and
	// measureTo are measured.
	doublingTime = 10 * time.Second
	measureFrom  = 12 * time.Second
	measureTo    = 30 * time.Second
	// noisyTeam is the index of the team that exceeds its share, and
	// noisyFactor the factor by which it does.
	noisyTeam   = 4
	noisyFactor = 5.0
)

// teamShares are the shares of the demand in percent. Two teams are large.
// They are also the weights of the teams.
var teamShares = [...]int{30, 25, 15, 10, 8, 6, 4, 2}

// request is one request of a simulation.
type request struct {
	host        int
	service     int
	team        int
	urgent      bool
	arrival     time.Duration
	serviceTime time.Duration
	target      *targetState
	number      uint64
}

func (r *request) deadline() time.Duration { return r.arrival + requestTimeout }

// targetState is the simulated state of a target, which runs as many requests as
// it has slots and queues the rest in the order of their arrival.
type targetState struct {
	index   int
	zone    int
	service int
	slots   int
	running int
	queue   []*request
	// oversubscribed counts the arrivals that found all slots in use.
	oversubscribed int
}

func newTargets(r *rand.Rand) []*targetState {
	list := make([]*targetState, targetCount)
	for i := range list {
		list[i] = &targetState{index: i, zone: i % zoneCount, service: i % serviceCount, slots: 3 + r.Intn(4)}
	}
	return list
}

func hostZone(host int) int { return host % zoneCount }

// networkDelay returns the one-way network delay between two zones.
func networkDelay(a, b int) time.Duration {
	if a == b {
		return sameZoneDelay
	}
	return crossZoneDelay
}

// Workload identifies how requests are divided among the services.
type Workload string

// Workloads.
const (
	// Planned divides requests among the services in proportion to their
	// slots, like a planner that keeps the load below the capacity. Without
	// the noisy team every service has free slots.
	Planned Workload = "planned"
	// Uneven gives each service the same demand, so that the services with
	// fewer slots are overloaded even by the teams within their shares.
	Uneven Workload = "uneven"
	// UrgentAlone is Planned without the requests of other classes.
	UrgentAlone Workload = "urgent-alone"
)

// loadGenerator generates the arrivals of one simulation.
type loadGenerator struct {
	random    *rand.Rand
	workload  Workload
	perSecond float64
	// services holds the share of each service in the demand.
	services [serviceCount]float64
}

func newLoadGenerator(r *rand.Rand, workload Workload, targets []*targetState) *loadGenerator {
	g := &loadGenerator{random: r, workload: workload}
	slots := 0
	for _, t := range targets {
		slots += t.slots
	}
	g.perSecond = baseLoad * float64(slots) / meanServiceTime.Seconds()
	for _, t := range targets {
		g.services[t.service] += float64(t.slots) / float64(slots)
	}
	if workload == Uneven {
		for i := range g.services {
			g.services[i] = 1.0 / serviceCount
		}
	}
	return g
}

// service draws a random service by its share.
func (g *loadGenerator) service() int {
	draw := g.random.Float64()
	for i, share := range g.services {
		if draw -= share; draw < 0 {
			return i
		}
	}
	return serviceCount - 1
}

// demandFactor returns the demand of a team at a time, relative to its base
// demand.
func demandFactor(team int, now time.Duration) float64 {
	f := 1.0
	if now >= doublingTime {
		f = 2
		if team == noisyTeam {
			f *= noisyFactor
		}
	}
	return f
}

// maxDemandFactor returns the greatest demand factor of all teams together.
// Candidate arrivals are generated at this factor and then thinned.
func maxDemandFactor() float64 {
	return 2 + 2*(noisyFactor-1)*float64(teamShares[noisyTeam])/100
}

// next returns the time to the next candidate arrival, and its request unless
// the candidate is thinned out. Each simulation with the same seed draws the
// same random numbers, so that all strategies get the same requests.
func (g *loadGenerator) next(now time.Duration) (time.Duration, *request) {
	wait := time.Duration(g.random.ExpFloat64() / (g.perSecond * maxDemandFactor()) * float64(time.Second))
	at := now + wait
	team, weight := g.team(at)
	r := &request{
		host: g.random.Intn(hostCount), service: g.service(), team: team,
		urgent: g.random.Float64() < urgentShare, arrival: at,
		serviceTime: time.Duration(g.random.ExpFloat64() * float64(meanServiceTime)),
	}
	if g.random.Float64()*maxDemandFactor() >= weight || g.workload == UrgentAlone && !r.urgent {
		return wait, nil
	}
	return wait, r
}

// team draws a random team by its demand and returns it with the demand factor
// of all teams together.
func (g *loadGenerator) team(now time.Duration) (int, float64) {
	total := 0.0
	for i, share := range teamShares {
		total += float64(share) / 100 * demandFactor(i, now)
	}
	draw := g.random.Float64() * total
	for i, share := range teamShares {
		draw -= float64(share) / 100 * demandFactor(i, now)
		if draw < 0 {
			return i, total
		}
	}
	return len(teamShares) - 1, total
}
