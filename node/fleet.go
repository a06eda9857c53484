package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/rpc"
	"sync/atomic"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/agree"
	"rhubarbrack/board"
	"rhubarbrack/caller"
	"rhubarbrack/clock"
	"rhubarbrack/ctrl"
	"rhubarbrack/ident"
	"rhubarbrack/link"
	"rhubarbrack/mesh"
	"rhubarbrack/meter"
	"rhubarbrack/quota"
	"rhubarbrack/relay"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
	"rhubarbrack/store"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// HostConfig is where a process stands in a fleet that finds itself from seeds.
type HostConfig struct {
	host           ident.Host
	zone           ident.Zone
	region         ident.Region
	regions        map[ident.Zone]ident.Region
	ip             string
	peerPort       int
	seeds          []string
	metricsAddress string
	dataDirectory  string
	firstStart     bool
	gracePeriod    time.Duration
	descriptors    int
	linkRate       float64
	bounds         admit.Bounds
	clock          clock.Clock
	log            *slog.Logger
}

// NewHostConfig returns the place of a host. Processes of the fleet reach each
// other at peerPort; the seeds are the addresses of some control hosts there.
func NewHostConfig(
	host ident.Host, zone ident.Zone, regions map[ident.Zone]ident.Region, ip string, peerPort int, seeds []string,
	c clock.Clock, log *slog.Logger,
) HostConfig {
	return HostConfig{
		host: host, zone: zone, region: regions[zone], regions: regions, ip: ip, peerPort: peerPort, seeds: seeds,
		clock: c, log: log,
	}
}

// WithData sets the data directory of a control host and whether the whole
// system starts for the first time.
func (f HostConfig) WithData(directory string, firstStart bool) HostConfig {
	f.dataDirectory, f.firstStart = directory, firstStart
	return f
}

// WithBounds sets the limits that hold for all entry hosts together.
func (f HostConfig) WithBounds(b admit.Bounds) HostConfig {
	f.bounds = b
	return f
}

// WithGracePeriod sets how long a process may run after it was told to stop.
func (f HostConfig) WithGracePeriod(d time.Duration) HostConfig {
	f.gracePeriod = d
	return f
}

// WithDescriptors sets how many files and connections a process may have open.
func (f HostConfig) WithDescriptors(n int) HostConfig {
	f.descriptors = n
	return f
}

// WithLinkRate sets the bytes per second that the link of the host carries.
func (f HostConfig) WithLinkRate(rate float64) HostConfig {
	f.linkRate = rate
	return f
}

// WithMetrics sets the address at which counters and histograms are served.
func (f HostConfig) WithMetrics(address string) HostConfig {
	f.metricsAddress = address
	return f
}

func (f HostConfig) peerAddress() string { return net.JoinHostPort(f.ip, fmt.Sprint(f.peerPort)) }

// Endpoint is an HTTP interface of a process towards others.
type Endpoint struct {
	address string
	handler http.Handler
}

// NewEndpoint returns an interface at an address.
func NewEndpoint(address string, handler http.Handler) Endpoint {
	return Endpoint{address: address, handler: handler}
}

// endpointLimits suit calls of the platform and of operators.
var endpointLimits = caller.NewLimits(64<<10, 5*time.Second, 30*time.Second, 1024)

// serveEndpoints serves all endpoints, and the metrics where an address is
// set.
func (f HostConfig) serveEndpoints(ctx context.Context, list []Endpoint, metrics http.Handler) ([]*caller.Server, error) {
	if f.metricsAddress != "" {
		list = append(list, NewEndpoint(f.metricsAddress, metrics))
	}
	var servers []*caller.Server
	for _, e := range list {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", e.address)
		if err != nil {
			return servers, fmt.Errorf("listen at %s: %w", e.address, err)
		}
		servers = append(servers, caller.Serve(listener, e.handler, endpointLimits, f.log))
	}
	return servers, nil
}

// closeServers ends the endpoints.
func (f HostConfig) closeServers(servers []*caller.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			f.log.Info("node: endpoint closed with calls under way", "error", err)
		}
	}
}

// replicaName returns the name of this host in the replicated log. It belongs
// to the disk: a host whose disk is lost comes back under another name,
// because it must not vote for what it has forgotten.
func (f HostConfig) replicaName() (ident.Host, error) {
	name, known, err := store.Owner(f.dataDirectory, store.OS())
	if err != nil {
		return "", fmt.Errorf("name of the replica: %w", err)
	}
	if known {
		return name, nil
	}
	if f.firstStart && f.isSeed() {
		return ident.Host(f.peerAddress()), nil
	}
	var random [6]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", fmt.Errorf("name of the replica: %w", err)
	}
	return ident.Host(f.peerAddress() + "/" + hex.EncodeToString(random[:])), nil
}

func (f HostConfig) isSeed() bool {
	for _, s := range f.seeds {
		if s == f.peerAddress() {
			return true
		}
	}
	return false
}

// initialPeers returns the seeds when this host forms the cluster with them.
func (f HostConfig) initialPeers(name ident.Host) []ctrl.Peer {
	if name != ident.Host(f.peerAddress()) || !f.isSeed() {
		return nil
	}
	var list []ctrl.Peer
	for _, s := range f.seeds {
		list = append(list, ctrl.NewPeer(ident.Host(s), s))
	}
	return list
}

// electionTimeout is ten round trips between regions that are 20 ms apart. A
// fleet whose hosts all start again serves nothing before a leader is elected.
const electionTimeout = 400 * time.Millisecond

// listPollInterval is the time between two readings of the platform's list.
const listPollInterval = 500 * time.Millisecond

// faultPause is how long a control host waits after a fault, mostly of its
// disk, before it ends to be started again. A full disk stays full for
// seconds, and each start costs the other hosts a request to join.
const faultPause = 2 * time.Second

// RunFleetControl runs a control host until ctx ends or its disk fails. The
// endpoints are built around the host's part of the mesh.
func RunFleetControl(
	ctx context.Context, f HostConfig, lister mesh.Lister, endpoints func(*mesh.Control) []Endpoint,
) error {
	err := f.runControl(ctx, lister, endpoints)
	if err == nil {
		return nil
	}
	f.log.Error("node: control host ends after a pause", "host", f.host, "pause", faultPause.String(), "error", err)
	clock.Sleep(ctx, f.clock, faultPause)
	return err
}

func (f HostConfig) runControl(
	ctx context.Context, lister mesh.Lister, endpoints func(*mesh.Control) []Endpoint,
) error {
	f.log.Info("node: control host starts", "host", f.host, "zone", f.zone, "first-start", f.firstStart)
	name, err := f.replicaName()
	if err != nil {
		return fmt.Errorf("control host: %w", err)
	}
	system := tasks.NewSystem(f.log)
	defer system.Shutdown()
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	gauges := meter.New()
	control, err := mesh.Start(inner, system, f.clock, f.log, name, f.peerAddress(), f.seeds, mesh.WithMeter(gauges))
	if err != nil {
		return fmt.Errorf("control host: %w", err)
	}
	server := rpc.NewServer()
	replica, err := ctrl.StartReplica(inner, system, server, name, f.dataDirectory, board.New(control.Publish),
		ctrl.WithClock(f.clock), ctrl.WithLogger(f.log), ctrl.WithInitialPeers(f.initialPeers(name)...),
		ctrl.WithNodeOptions(agree.WithElectionTimeout(electionTimeout)))
	if err != nil {
		return fmt.Errorf("control host: %w", err)
	}
	if err := control.Register(inner, server, replica); err != nil {
		return fmt.Errorf("control host: %w", err)
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", f.peerAddress())
	if err != nil {
		return fmt.Errorf("control host: listen for peers: %w", err)
	}
	served := wire.Serve(inner, listener, server)
	kept := tasks.Go(inner, control.MaintainMembership)
	read := tasks.Go(inner, func(ctx context.Context) { control.PollList(ctx, lister, listPollInterval) })
	servers, err := f.serveEndpoints(ctx, endpoints(control), replicaMetrics(replica, name, gauges))
	if err == nil {
		select {
		case <-ctx.Done():
			f.log.Info("node: control host stops", "host", f.host)
			transferLeadership(ctx, replica, name, f.log)
		case <-replica.Done():
			err = fmt.Errorf("replica ended: %w", replica.Err())
		}
	}
	f.closeServers(servers)
	stop()
	<-replica.Done()
	<-served
	<-kept
	<-read
	if err != nil {
		return fmt.Errorf("control host %s: %w", f.host, err)
	}
	return nil
}

// Decoder reads a configuration from its source text.
type Decoder func(source []byte) (*scheme.Config, error)

// entryListener passes what an entry host learns on to its parts.
type entryListener struct {
	host      HostConfig
	decode    Decoder
	admission *relay.Admission
	front     *relay.Front
	config    *scheme.Config
	ready     *atomic.Bool
}

var _ mesh.Listener = (*entryListener)(nil)

// SetDesiredState implements mesh.Sink.
func (s *entryListener) SetDesiredState(_ ident.Revision, l scheme.DesiredState) error {
	if len(l.Source()) > 0 && (s.config == nil || s.config.Version() != l.Version()) {
		c, err := s.decode(l.Source())
		if err != nil {
			return fmt.Errorf("configuration %d: %w", l.Version(), err)
		}
		s.config = c
		s.admission.Configure(c)
		s.front.SetLimits(c.Limits())
	}
	s.admission.SetEvacuated(l.Evacuated())
	return nil
}

// SetTargets implements mesh.Sink.
func (s *entryListener) SetTargets(read time.Time, list []mesh.ListedTarget) {
	out := make([]spread.Target, 0, len(list))
	for _, l := range list {
		cold := time.Time{}
		if l.ColdRemaining() > 0 {
			cold = read.Add(l.ColdRemaining())
		}
		out = append(out, spread.NewTarget(l.ID(), l.Service(), l.Address(), l.Zone(), s.host.regions[l.Zone()],
			l.Slots(), l.IsDraining(), cold))
	}
	s.admission.SetTargets(out)
}

// SetHostCount implements mesh.Sink.
func (s *entryListener) SetHostCount(n int) { s.admission.SetHostCount(n) }

// Demand implements mesh.Sink.
func (s *entryListener) Demand(ctx context.Context) ([]quota.Demand, error) {
	list, err := s.admission.Demand(ctx)
	if err != nil {
		return nil, fmt.Errorf("entry host: %w", err)
	}
	return list, nil
}

// ApplyLeases implements mesh.Sink.
func (s *entryListener) ApplyLeases(shares []quota.Lease, tight []ident.Team, until time.Time) {
	s.admission.ApplyLeases(shares, tight, until)
}

// TargetStats implements mesh.Sink.
func (s *entryListener) TargetStats(ctx context.Context) ([]spread.TargetStats, error) {
	list, err := s.admission.TargetStats(ctx)
	if err != nil {
		return nil, fmt.Errorf("entry host: %w", err)
	}
	return list, nil
}

// ApplyRemoteStats implements mesh.Sink.
func (s *entryListener) ApplyRemoteStats(counts []spread.TargetStats) {
	s.admission.ApplyRemoteStats(counts)
}

// BecomeReady implements mesh.Sink.
func (s *entryListener) BecomeReady() { s.ready.Store(true) }

const (
	// callerDescriptorsPercent is the part of the descriptors that callers' connections
	// may use. The rest is for targets and the process itself.
	callerDescriptorsPercent = 60
	// lookupExpiryTime is how long a leaving entry host still takes new connections:
	// callers use the answers of look-ups for their time to live and some a
	// little longer.
	lookupExpiryTime = 2500 * time.Millisecond
	// stopMargin is how long before the end of the grace the process ends.
	stopMargin = 500 * time.Millisecond
)

// RunFleetEntry runs an entry host until ctx ends and then stops it without
// cutting requests. Callers reach it at the given address. The endpoints are
// built around a function that tells whether the host is ready.
func RunFleetEntry(
	ctx context.Context, f HostConfig, callers string, dialect relay.Dialect, decode Decoder,
	endpoints func(isReady func() bool, f *mesh.ControlClient) []Endpoint,
) error {
	f.log.Info("node: entry host starts", "host", f.host, "zone", f.zone, "callers", callers)
	system := tasks.NewSystem(f.log)
	defer system.Shutdown()
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	pool, err := link.StartPool(inner, system, f.clock)
	if err != nil {
		return fmt.Errorf("entry host: %w", err)
	}
	desk, err := relay.StartAdmission(inner, system, f.clock, admit.NewController(f.zone, f.region, f.bounds), pool)
	if err != nil {
		return fmt.Errorf("entry host: %w", err)
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", callers)
	if err != nil {
		return fmt.Errorf("entry host: listen for callers: %w", err)
	}
	gauges := meter.New()
	var ready atomic.Bool
	sink := &entryListener{host: f, decode: decode, admission: desk, ready: &ready}
	follower, err := mesh.NewControlClient(inner, system, f.clock, f.log, f.host, callers, f.zone, f.region, f.seeds,
		f.bounds.RateWindow(), sink)
	if err != nil {
		return fmt.Errorf("entry host: %w", err)
	}
	options, err := f.pacingOptions(inner, system)
	if err != nil {
		return fmt.Errorf("entry host: %w", err)
	}
	handler := relay.NewHandler(desk, pool, dialect, follower, f.clock, f.log, gauges, options...)
	front, err := relay.StartFront(
		inner, system, listener, handler, f.descriptors*callerDescriptorsPercent/100, f.clock, f.log)
	if err != nil {
		return fmt.Errorf("entry host: %w", err)
	}
	sink.front = front
	follower.Start(inner)
	servers, err := f.serveEndpoints(ctx, endpoints(ready.Load, follower), gauges.Handler())
	if err != nil {
		return fmt.Errorf("entry host: %w", err)
	}
	<-ctx.Done()
	f.log.Info("node: entry host stops", "host", f.host)
	ready.Store(false)
	follower.SetReady(false)
	front.Drain()
	leave := min(lookupExpiryTime, f.gracePeriod/2)
	f.sleep(leave)
	handler.Stop()
	closing, cancel := context.WithTimeout(inner, max(f.gracePeriod-leave-stopMargin, stopMargin))
	defer cancel()
	if err := front.Shutdown(closing); err != nil {
		f.log.Warn("node: requests were cut at the end of the grace", "error", err)
	}
	f.closeServers(servers)
	f.log.Info("node: entry host stopped", "host", f.host)
	return nil
}

// pacingThreshold is the bytes per second from which a link needs no pacing: a long
// answer then holds up others for a few milliseconds only.
const pacingThreshold = 10e6

// pacingOptions returns the options of a handler on a slow link.
func (f HostConfig) pacingOptions(ctx context.Context, system *tasks.System) ([]relay.HandlerOption, error) {
	if f.linkRate <= 0 || f.linkRate >= pacingThreshold {
		return nil, nil
	}
	p, err := relay.StartPacer(ctx, system, f.clock, f.linkRate)
	if err != nil {
		return nil, fmt.Errorf("pace answers: %w", err)
	}
	return []relay.HandlerOption{relay.WithPacer(p)}, nil
}

func (f HostConfig) sleep(d time.Duration) { <-f.clock.NewTimer(d).C() }
