package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/reach"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
)

const (
	limitStep = 10 * time.Millisecond
	// limitAnswerTime is how long a target takes to answer, and limitHopTime how
	// long an answer is under way from one entry host to another.
	limitAnswerTime = 50 * time.Millisecond
	limitHopTime    = 20 * time.Millisecond
)

// limitHost is an entry host of a limitFleet: its admission controller and its
// heartbeats to the leader.
type limitHost struct {
	name       string
	controller *admit.Controller
	// until is when a host that is cut off from the leader is in contact again.
	until time.Time
	// isCutOff is set while the host has no path to the targets.
	isCutOff bool
}

// limitAnswer is the answer of a target to a request that a host has sent.
type limitAnswer struct {
	at     time.Time
	host   *limitHost
	target *limitTarget
	choice spread.Choice
	stated spread.RateLimit
	// handedOver is present if another host has handed the request over.
	handedOver ident.Option[limitHandover]
}

// limitHandover is a request that a host sends through a peer.
type limitHandover struct {
	host  *limitHost
	peer  reach.Peer
	began time.Time
}

// limitFleet simulates entry hosts, a leader and targets with rate limits. Hosts
// without a path to the targets hand their requests to the others.
type limitFleet struct {
	random   *rand.Rand
	registry *registry
	clock    *clock.Manual
	config   *scheme.Config
	list     []spread.Target
	listed   []ListedTarget
	hosts    []*limitHost
	targets  []*limitTarget
	// callers is the number of hosts that have callers, the first ones.
	callers int
	// answers are on their way to the hosts that have sent the requests, and
	// passedOn from these to the hosts that have handed them over.
	answers  []limitAnswer
	passedOn []limitAnswer
	// sent and handedOver count the requests that targets got.
	sent, handedOver int
}

func newLimitFleet(seed uint64, hosts, targets int) *limitFleet {
	manual := clock.NewManual(time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	f := &limitFleet{random: rand.New(rand.NewPCG(seed, 21)), clock: manual, config: limitConfig(), callers: hosts}
	for i := range targets {
		id := ident.Target(fmt.Sprintf("i-%d", i))
		f.targets = append(f.targets, newLimitTarget(id, manual.Now()))
		f.list = append(f.list, spread.NewTarget(id, "s", fmt.Sprintf("i:%d", 80+i), "z", "r", 1000, false, time.Time{}))
		f.listed = append(f.listed, NewListedTarget(id, "s", fmt.Sprintf("i:%d", 80+i), "z", 1000, false, 0))
	}
	f.replaceLeader()
	for i := range hosts {
		f.hosts = append(f.hosts, &limitHost{name: fmt.Sprint("h", i)})
	}
	for _, h := range f.hosts {
		f.restart(h)
	}
	return f
}

// replaceLeader starts a leader that has no reports of hosts yet.
func (f *limitFleet) replaceLeader() {
	log := slog.New(slog.DiscardHandler)
	f.registry = newRegistry(context.Background(), tasks.NewSystem(log), f.clock, log, "own:1", nil)
	f.registry.updateList(f.listed)
}

// limitConfig returns a configuration with a route with affinity and one without.
func limitConfig() *scheme.Config {
	services := []scheme.WeightedService{scheme.NewWeightedService("s", 1)}
	config, err := scheme.New(1, scheme.Limits{}, nil, []*scheme.Route{
		scheme.NewRoute("object", "h", "/object/", scheme.Retryable, services, 2*time.Second, 2, scheme.WithAffinity(true)),
		scheme.NewRoute("any", "h", "/any/", scheme.Retryable, services, 2*time.Second, 2),
	}, []scheme.Service{scheme.NewService("s", "/health", 1000, 0, 0)})
	if err != nil {
		panic(err)
	}
	return config
}

// restart replaces the process of a host, which knows no limits.
func (f *limitFleet) restart(h *limitHost) {
	bounds := admit.NewBounds(5*time.Second, 10*time.Second, 0.2, 1000, 1.5, 5)
	h.controller = admit.NewController("z", "r", bounds, spread.WithHost(ident.Host(h.name)))
	h.controller.UsePeers(reach.NewPeers(ident.Host(h.name), "r"))
	h.controller.Configure(f.config)
	h.controller.SetHostCount(len(f.hosts))
	h.controller.Table().Update(f.list)
	var peers []reach.Peer
	for _, other := range f.hosts {
		if other != h {
			peers = append(peers, reach.NewPeer(other.name, "r"))
		}
	}
	h.controller.SetPeers(peers)
}

// setLimit changes the limit that a target states.
func (f *limitFleet) setLimit(target int, limit spread.RateLimit) {
	f.targets[target].setLimit(f.clock.Now(), limit)
}

// cutOff takes the path to the targets from the given number of hosts, and gives
// it back to the others.
func (f *limitFleet) cutOff(hosts int) {
	for i, h := range f.hosts {
		h.isCutOff = i < hosts
	}
}

// run lets time pass with a demand in requests per second of all hosts.
func (f *limitFleet) run(d time.Duration, demand float64) {
	for end := f.clock.Now().Add(d); f.clock.Now().Before(end); f.clock.Advance(limitStep) {
		now := f.clock.Now()
		f.registry.confirmLeadership(now)
		f.deliverAnswers(now)
		for i, h := range f.hosts {
			for _, p := range h.controller.TakeProbes(now) {
				h.controller.RecordProbe(now, p.Target(), !h.isCutOff)
			}
			// The heartbeats of the hosts are spread over their interval.
			if (now.UnixMilli()/limitStep.Milliseconds()+int64(i))%int64(heartbeatInterval/limitStep) == 0 && now.After(h.until) {
				f.exchange(now, h)
			}
		}
		for n := demand * limitStep.Seconds(); n > 0; n-- {
			if f.random.Float64() < n {
				f.request(now, f.hosts[f.random.IntN(f.callers)])
			}
		}
	}
}

// exchange sends a heartbeat of a host and applies the reply.
func (f *limitFleet) exchange(now time.Time, h *limitHost) {
	record := testHeartbeat(h.name, true)
	record.ListTag = f.registry.list.tag
	for _, s := range h.controller.TargetStats(now) {
		record.Counts = append(record.Counts, newTargetStatsRecord(s))
	}
	shares, err := decodeLimits(f.registry.heartbeat(record).Limits, f.registry.list.targets)
	if err == nil {
		h.controller.Table().ApplyLimits(now, shares)
	}
}

// request makes a request at a host, on one of the routes.
func (f *limitFleet) request(now time.Time, h *limitHost) {
	path := "/object/"
	if f.random.IntN(4) == 0 {
		path = "/any/"
	}
	object := fmt.Sprint(f.random.IntN(50))
	d := h.controller.Admit(now, admit.NewRequest("q", "h", path, "", object, time.Second))
	f.carryOut(now, h, d, ident.None[limitHandover]())
}

// carryOut carries out a decision of a host and those that follow, and returns the
// last one.
func (f *limitFleet) carryOut(now time.Time, h *limitHost, d admit.Decision, handedOver ident.Option[limitHandover]) admit.Decision {
	for {
		if _, refused := d.Refused(); refused {
			return d
		}
		if peer, ok := d.Peer().Get(); ok {
			next, sent := f.forward(now, h, d, peer)
			if sent {
				return next
			}
			d = next
			continue
		}
		if !h.isCutOff {
			f.arrive(now, h, d.Choice(), handedOver)
			return d
		}
		h.controller.RecordResult(now, d.Choice(), spread.Unreachable, ident.None[spread.Load]())
		h.controller.RecordReach(now, d.Choice(), spread.Unreachable, true)
		d = h.controller.RetryUnreachable(now, d.State())
	}
}

// forward sends a request through a peer. It returns the next decision, and
// whether a target got the request.
func (f *limitFleet) forward(now time.Time, h *limitHost, d admit.Decision, peer reach.Peer) (admit.Decision, bool) {
	other := f.hosts[slices.IndexFunc(f.hosts, func(o *limitHost) bool { return o.name == peer.Address() })]
	r := admit.NewForwardedRequest("q", d.State().Terms(), time.Second)
	handover := limitHandover{host: h, peer: peer, began: now}
	end := f.carryOut(now, other, other.controller.Admit(now, r), ident.Some(handover))
	reason, refused := end.Refused()
	if !refused {
		return d, true
	}
	if reason == admit.NoTarget {
		h.controller.RecordPeer(now, peer, "s", now, reach.Unavailable)
		return h.controller.RetryPeer(now, d.State()), false
	}
	h.controller.RecordPeer(now, peer, "s", now, reach.Available)
	return d.WithPeerRefusal(reason, end.RetryAfter()), false
}

// arrive lets a target get a request.
func (f *limitFleet) arrive(now time.Time, h *limitHost, c spread.Choice, handedOver ident.Option[limitHandover]) {
	target := f.targets[slices.IndexFunc(f.targets, func(l *limitTarget) bool { return l.id == c.Target().ID() })]
	f.sent++
	if _, ok := handedOver.Get(); ok {
		f.handedOver++
	}
	target.arrive(now)
	f.answers = append(f.answers, limitAnswer{
		at: now.Add(limitAnswerTime), host: h, target: target, choice: c, stated: target.limit, handedOver: handedOver,
	})
}

func (f *limitFleet) deliverAnswers(now time.Time) {
	for len(f.answers) > 0 && !f.answers[0].at.After(now) {
		a := f.answers[0]
		f.answers = f.answers[1:]
		c := a.host.controller
		c.RecordResult(now, a.choice, spread.Served, ident.None[spread.Load]())
		c.RecordReach(now, a.choice, spread.Served, false)
		c.Table().Observe(now, a.choice, spread.NewStatement(spread.WithLimit(a.stated)))
		if _, ok := a.handedOver.Get(); ok {
			a.at = now.Add(limitHopTime)
			f.passedOn = append(f.passedOn, a)
		}
	}
	for len(f.passedOn) > 0 && !f.passedOn[0].at.After(now) {
		a := f.passedOn[0]
		f.passedOn = f.passedOn[1:]
		handover, _ := a.handedOver.Get()
		c := handover.host.controller
		c.RecordPeer(now, handover.peer, "s", handover.began, reach.Available)
		c.Table().ObserveForwarded(now, handover.began, a.target.id, 0, spread.NewStatement(spread.WithLimit(a.stated)))
	}
}
