package node

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/caller"
	"rhubarbrack/conf"
	"rhubarbrack/ctrl"
	"rhubarbrack/entry"
	"rhubarbrack/ident"
	"rhubarbrack/ledger"
	"rhubarbrack/lister"
	"rhubarbrack/meter"
	"rhubarbrack/oper"
	"rhubarbrack/route"
	"rhubarbrack/state"
	"rhubarbrack/target"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// errMembershipExpired means that the membership of the process expired while
// it could not reach the control hosts.
const errMembershipExpired = errors.ConstError("membership expired")

// RunEntry runs an entry host until ctx is cancelled, and then stops it without
// aborting requests: the host is removed from lookups, waits until cached
// lookup responses have expired, finishes requests in flight and releases its
// roles. A process that was disconnected for longer than its lease restarts
// under a new incarnation, since other hosts then hold its roles and claims.
func RunEntry(ctx context.Context, s *conf.Settings, opts ...Option) error {
	o := newOptions(opts)
	for {
		err := runIncarnation(ctx, s, o)
		if err == nil {
			return nil
		}
		if !errors.Is(err, errMembershipExpired) {
			return fmt.Errorf("entry host: %w", err)
		}
		o.log.Warn("node: entry host restarts under a new incarnation", "host", s.Host())
	}
}

func runIncarnation(ctx context.Context, s *conf.Settings, o options) error {
	e := &entryHost{settings: s, options: o, system: tasks.NewSystem(o.log)}
	defer e.system.Shutdown()
	// The tasks outlive ctx, so that requests in flight can finish.
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := e.openListeners(taskCtx); err != nil {
		e.closeListeners()
		return fmt.Errorf("open entry host: %w", err)
	}
	if err := e.start(taskCtx); err != nil {
		e.closeListeners()
		return fmt.Errorf("start entry host: %w", err)
	}
	o.ready()
	select {
	case <-ctx.Done():
		return e.stopPlanned(ctx, stop)
	case <-e.follower.Expired():
		e.shutdown(ctx, stop)
		return errMembershipExpired
	case <-e.criticalTaskEnded():
		stop()
		e.closeListeners()
		return fmt.Errorf("entry host %s: %w", s.Host(), ErrEnded)
	}
}

// entryHost holds the tasks and servers of one incarnation of an entry host.
type entryHost struct {
	settings  *conf.Settings
	options   options
	security  security
	system    *tasks.System
	listeners map[conf.Listener]net.Listener

	self         state.Member
	control      *ctrl.Client
	follower     *ctrl.Follower
	claims       *ctrl.Claims
	peers        *entry.Peers
	rateHolder   *entry.RateHolder
	rateOwners   *entry.RateOwners
	slotOwner    *entry.SlotOwner
	slotClient   *entry.SlotClient
	recorder     *ledger.Recorder
	picker       *regionPicker
	dispatcher   *dispatcherRef
	meter        *meter.Meter
	targets      *target.Client
	peersDone    <-chan struct{}
	servers      []*caller.Server
	callerServer *caller.Server
}

// openListeners opens the listeners. The member record needs their addresses,
// so it runs before the tasks start.
func (e *entryHost) openListeners(ctx context.Context) error {
	var err error
	if e.security, err = loadSecurity(e.settings, e.options); err != nil {
		return fmt.Errorf("certificates: %w", err)
	}
	e.listeners = make(map[conf.Listener]net.Listener)
	for _, name := range conf.Listeners() {
		l, err := listen(ctx, e.settings, name, e.security.listener(name))
		if err != nil {
			return fmt.Errorf("listeners: %w", err)
		}
		if l != nil {
			e.listeners[name] = l
		}
	}
	return nil
}

func (e *entryHost) closeListeners() {
	for _, l := range e.listeners {
		_ = l.Close()
	}
}

func (e *entryHost) start(ctx context.Context) error {
	s, o := e.settings, e.options
	incarnation := ident.Incarnation(o.clock.Now().UnixNano())
	e.self = state.NewMember(s.Host(), incarnation, s.Zone(), s.Region(),
		e.listeners[conf.Callers].Addr().String(), e.listeners[conf.Peers].Addr().String())
	e.meter = meter.New()
	e.targets = target.NewClient(target.WithClock(o.clock), target.WithLogger(o.log))
	for _, step := range []func(context.Context) error{e.startRatesAndSlots, e.startDispatcher, e.startControlTasks, e.startServers} {
		if err := step(ctx); err != nil {
			return fmt.Errorf("start entry host %s: %w", s.Host(), err)
		}
	}
	return nil
}

// startRatesAndSlots starts the owners and clients of rates and slots, and the
// server for peers.
func (e *entryHost) startRatesAndSlots(ctx context.Context) error {
	o := e.options
	var err error
	if e.control, err = ctrl.StartClient(ctx, e.system, o.clock, controlPeers(e.settings), e.security.dialOptions()...); err != nil {
		return fmt.Errorf("control client: %w", err)
	}
	if e.peers, err = entry.StartPeers(ctx, e.system, e.security.dialOptions()...); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	rateOptions := []entry.RateOption{entry.WithRateClock(o.clock), entry.WithRateLogger(o.log)}
	if e.rateHolder, err = entry.StartRateHolder(ctx, e.system, e.peers, e.self.Host(), e.self.Incarnation(), rateOptions...); err != nil {
		return fmt.Errorf("rate holder: %w", err)
	}
	if e.rateOwners, err = entry.StartRateOwners(ctx, e.system, e.peers, rateOptions...); err != nil {
		return fmt.Errorf("rate owners: %w", err)
	}
	server := rpc.NewServer()
	if err := entry.RegisterRates(server, e.rateOwners, e.rateHolder, rateOptions...); err != nil {
		return fmt.Errorf("rates: %w", err)
	}
	slotOptions := []entry.SlotOption{entry.WithSlotClock(o.clock), entry.WithSlotLogger(o.log)}
	if e.slotOwner, err = entry.StartSlotOwner(ctx, e.system, server, markReplicator{client: e.control}, slotOptions...); err != nil {
		return fmt.Errorf("slot owner: %w", err)
	}
	if e.slotClient, err = entry.StartSlotClient(ctx, e.system, e.peers, slotOptions...); err != nil {
		return fmt.Errorf("slot client: %w", err)
	}
	e.peers.ServeLocally(server)
	e.peersDone = wire.Serve(ctx, e.listeners[conf.Peers], server, wire.WithTLS(e.security.servers[conf.Peers]))
	return nil
}

// startDispatcher starts the region picker, the dispatcher, the prober and the
// reader of the platform list.
func (e *entryHost) startDispatcher(ctx context.Context) error {
	o := e.options
	var err error
	if e.picker, err = startRegionPicker(ctx, e.system, e.self.Region()); err != nil {
		return fmt.Errorf("region picker: %w", err)
	}
	e.dispatcher, err = startDispatcher(ctx, e.system, &dispatcher{
		control: e.control, clock: o.clock, self: e.self, ttl: o.lookupTTL, peers: e.peers, rateHolder: e.rateHolder,
		rateOwners: e.rateOwners, slotOwner: e.slotOwner, slotClient: e.slotClient, picker: e.picker,
	})
	if err != nil {
		return fmt.Errorf("dispatcher: %w", err)
	}
	prober, err := target.StartProber(ctx, e.system, e.dispatcher, target.WithProbeClock(o.clock), target.WithProbeLogger(o.log))
	if err != nil {
		return fmt.Errorf("prober: %w", err)
	}
	e.dispatcher.Tell(setProber{prober: prober})
	if url := e.settings.PlatformList(); url != "" {
		_, err = lister.StartLister(ctx, e.system, url, e.dispatcher, lister.WithClock(o.clock), lister.WithLogger(o.log))
		if err != nil {
			return fmt.Errorf("platform list: %w", err)
		}
	}
	return nil
}

// startControlTasks starts the tasks that follow and update the control hosts,
// and the request recorder.
func (e *entryHost) startControlTasks(ctx context.Context) error {
	o := e.options
	self := ctrl.NewSelf(e.self)
	var err error
	if e.claims, err = ctrl.StartClaims(ctx, e.system, e.control, self, o.log); err != nil {
		return fmt.Errorf("claims: %w", err)
	}
	e.follower, err = ctrl.StartFollower(ctx, e.system, e.control, self,
		ctrl.FollowClock(o.clock), ctrl.FollowLogger(o.log), ctrl.FollowListeners(e.dispatcher))
	if err != nil {
		return fmt.Errorf("follower: %w", err)
	}
	if e.recorder, err = ledger.Start(ctx, e.system, ledger.WithClock(o.clock), ledger.WithDemandReporter(e.follower)); err != nil {
		return fmt.Errorf("request recorder: %w", err)
	}
	return nil
}

// startServers starts the servers for callers, operators and metrics.
func (e *entryHost) startServers(context.Context) error {
	s, o := e.settings, e.options
	router := route.New(e.follower, rateLimiter{holder: e.rateHolder}, e.picker, slotAcquirer{client: e.slotClient}, e.claims, e.recorder,
		route.WithClock(o.clock))
	handler := caller.NewHandler(e.self.Host(), e.self.Incarnation(), e.follower, router, e.dispatcher, e.targets, e,
		caller.WithClock(o.clock), caller.WithMaxBodyBytes(s.Limits().BodyBytes()))
	e.callerServer = serveHTTP(e.listeners[conf.Callers], handler, s, o)
	e.servers = append(e.servers, e.callerServer)
	if l := e.listeners[conf.Operators]; l != nil {
		e.servers = append(e.servers, serveHTTP(l, oper.NewExplainHandler(e.recorder, operatorTokens(s)), s, o))
	}
	if l := e.listeners[conf.Metrics]; l != nil {
		e.servers = append(e.servers, serveHTTP(l, e.meter.Handler(), s, o))
	}
	return nil
}

// Record implements caller.Recorder.
func (e *entryHost) Record(request route.Request, result route.Result, startedAt time.Time, latency time.Duration) {
	e.recorder.Record(request, result, startedAt, latency)
	e.meter.Observe("request", result.Team(), result.Class(), latency)
	if result.Outcome() != route.Ran {
		e.meter.Refuse(result.Team(), result.Class(), string(result.Reason()))
	}
}

// criticalTaskEnded returns a channel that is closed when a task or server that
// the host cannot run without has ended.
func (e *entryHost) criticalTaskEnded() <-chan struct{} {
	done := make(chan struct{})
	tasksDone := []<-chan struct{}{
		e.follower.Done(), e.claims.Done(), e.rateHolder.Done(), e.rateOwners.Done(), e.slotOwner.Done(),
		e.slotClient.Done(), e.recorder.Done(), e.dispatcher.ref.Done(), e.picker.ref.Done(), e.callerServer.Done(),
	}
	first := make(chan struct{}, len(tasksDone))
	for _, taskDone := range tasksDone {
		go func() {
			<-taskDone
			first <- struct{}{}
		}()
	}
	go func() {
		<-first
		close(done)
	}()
	return done
}

// stopPlanned announces that the host is leaving, waits until callers no longer
// use cached lookups that list it, and shuts it down.
func (e *entryHost) stopPlanned(ctx context.Context, stop func()) error {
	o := e.options
	o.log.Info("node: entry host is leaving", "host", e.self.Host())
	e.follower.Leave()
	ctx = context.WithoutCancel(ctx)
	// Callers cache lookup responses for lookupTTL.
	timer := o.clock.NewTimer(o.lookupTTL + lookupUpdateMargin)
	<-timer.C()
	e.shutdown(ctx, stop)
	o.log.Info("node: entry host stopped", "host", e.self.Host())
	return nil
}

const (
	// lookupUpdateMargin is the time within which all entry hosts remove a
	// leaving host from their lookup responses.
	lookupUpdateMargin = time.Second
	// handoverTimeout limits the return of rate tokens and the proposal that ends
	// the membership.
	handoverTimeout = 2 * time.Second
)

// shutdown finishes requests, returns rate tokens, ends the membership and stops
// the tasks.
func (e *entryHost) shutdown(ctx context.Context, stop func()) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.options.shutdownTimeout)
	defer cancel()
	for _, s := range e.servers {
		if err := s.Shutdown(ctx); err != nil {
			e.options.log.Warn("node: server closed with requests in flight", "error", err)
		}
	}
	handoverCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := e.rateHolder.Release(handoverCtx); err != nil {
		e.options.log.Debug("node: rate tokens were not returned", "error", err)
	}
	if _, err := e.control.Propose(handoverCtx, state.NewExpire(e.self.Host(), e.self.Incarnation())); err != nil {
		e.options.log.Debug("node: membership could not be ended", "error", err)
	}
	stop()
	<-e.peersDone
	e.targets.Close()
}
