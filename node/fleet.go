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
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/agree"
	"rhubarbrack/board"
	"rhubarbrack/caller"
	"rhubarbrack/clock"
	"rhubarbrack/ctrl"
	"rhubarbrack/ident"
	"rhubarbrack/mesh"
	"rhubarbrack/meter"
	"rhubarbrack/quorum"
	"rhubarbrack/store"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// HostConfig configures a host of a fleet whose hosts find each other through
// seed addresses.
type HostConfig struct {
	host           ident.Host
	zone           ident.Zone
	region         ident.Region
	regions        map[ident.Zone]ident.Region
	ip             string
	peerPort       int
	forwardPort    int
	seeds          []string
	metricsAddress string
	dataDirectory  string
	firstStart     bool
	tolerance      int
	gracePeriod    time.Duration
	drainTime      time.Duration
	descriptors    int
	linkRate       float64
	dialer         wire.Dialer
	bounds         admit.Bounds
	clock          clock.Clock
	log            *slog.Logger
}

// NewHostConfig returns the configuration of a host. Hosts of the fleet connect
// to each other at peerPort; the seeds are the peer addresses of some control
// hosts.
func NewHostConfig(
	host ident.Host, zone ident.Zone, regions map[ident.Zone]ident.Region, ip string, peerPort int, seeds []string,
	c clock.Clock, log *slog.Logger,
) HostConfig {
	return HostConfig{
		host: host, zone: zone, region: regions[zone], regions: regions, ip: ip, peerPort: peerPort, seeds: seeds,
		tolerance: quorum.DefaultTolerance, clock: c, log: log, dialer: &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}},
	}
}

// WithDialer sets how connections to other hosts of the fleet are opened. By
// default they are opened from the host's own address, so that the others see it.
func (c HostConfig) WithDialer(d wire.Dialer) HostConfig {
	c.dialer = d
	return c
}

// WithData sets the data directory of a control host and whether this is the
// first start of the whole system.
func (c HostConfig) WithData(directory string, firstStart bool) HostConfig {
	c.dataDirectory, c.firstStart = directory, firstStart
	return c
}

// WithTolerance sets how many control hosts may be lost at the same time.
func (c HostConfig) WithTolerance(hosts int) HostConfig {
	c.tolerance = hosts
	return c
}

// WithBounds sets the limits that all entry hosts share.
func (c HostConfig) WithBounds(b admit.Bounds) HostConfig {
	c.bounds = b
	return c
}

// WithGracePeriod sets how long a process may run after a stop was requested.
func (c HostConfig) WithGracePeriod(d time.Duration) HostConfig {
	c.gracePeriod = d
	return c
}

// WithForwarding sets the port at which entry hosts take requests from each other.
// Without it, a host that reaches no targets cannot use those of others.
func (c HostConfig) WithForwarding(port int) HostConfig {
	c.forwardPort = port
	return c
}

// WithDrainTime sets for how long a target may get requests after it has said
// that its process is about to end.
func (c HostConfig) WithDrainTime(d time.Duration) HostConfig {
	c.drainTime = d
	return c
}

// WithDescriptors sets the maximum number of open file descriptors.
func (c HostConfig) WithDescriptors(n int) HostConfig {
	c.descriptors = n
	return c
}

// WithLinkRate sets the capacity of the host's network link in bytes per second.
func (c HostConfig) WithLinkRate(rate float64) HostConfig {
	c.linkRate = rate
	return c
}

// WithMetrics sets the address at which metrics are served.
func (c HostConfig) WithMetrics(address string) HostConfig {
	c.metricsAddress = address
	return c
}

func (c HostConfig) peerAddress() string { return net.JoinHostPort(c.ip, fmt.Sprint(c.peerPort)) }

// Endpoint is an HTTP handler and the address at which it is served.
type Endpoint struct {
	address string
	handler http.Handler
}

// NewEndpoint returns an endpoint that serves the handler at the address.
func NewEndpoint(address string, handler http.Handler) Endpoint {
	return Endpoint{address: address, handler: handler}
}

// endpointLimits apply to calls of the platform and of operators.
var endpointLimits = caller.NewLimits(64<<10, 5*time.Second, 30*time.Second, 1024)

// serveEndpoints serves all endpoints, and the metrics if their address is set.
// On error it returns the servers that were already started.
func (c HostConfig) serveEndpoints(ctx context.Context, list []Endpoint, metrics http.Handler) ([]*caller.Server, error) {
	if c.metricsAddress != "" {
		list = append(list, NewEndpoint(c.metricsAddress, metrics))
	}
	var servers []*caller.Server
	for _, e := range list {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", e.address)
		if err != nil {
			return servers, fmt.Errorf("listen at %s: %w", e.address, err)
		}
		servers = append(servers, caller.Serve(listener, e.handler, endpointLimits, c.log))
	}
	return servers, nil
}

// closeServers shuts the endpoints down.
func (c HostConfig) closeServers(servers []*caller.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			c.log.Info("node: endpoint closed with calls in flight", "error", err)
		}
	}
}

// replicaName returns the name of this host in the replicated log. The name is
// bound to the data directory: a host that lost its disk restarts under a new
// name, because it must not vote under a name whose earlier votes it has lost.
func (c HostConfig) replicaName() (ident.Host, error) {
	name, known, err := store.Owner(c.dataDirectory, store.OS())
	if err != nil {
		return "", fmt.Errorf("name of the replica: %w", err)
	}
	if known {
		return name, nil
	}
	if c.firstStart && c.isSeed() {
		return ident.Host(c.peerAddress()), nil
	}
	var random [6]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", fmt.Errorf("name of the replica: %w", err)
	}
	return ident.Host(c.peerAddress() + "/" + hex.EncodeToString(random[:])), nil
}

func (c HostConfig) isSeed() bool {
	for _, s := range c.seeds {
		if s == c.peerAddress() {
			return true
		}
	}
	return false
}

// initialPeers returns the seeds if this host bootstraps the cluster, and none
// otherwise.
func (c HostConfig) initialPeers(name ident.Host) []ctrl.Peer {
	if name != ident.Host(c.peerAddress()) || !c.isSeed() {
		return nil
	}
	var list []ctrl.Peer
	for _, s := range c.seeds {
		list = append(list, ctrl.NewPeer(ident.Host(s), s))
	}
	return list
}

// electionTimeout is ten round trips between regions with a one-way delay of
// 20 ms. It is short because a fleet whose hosts have all restarted cannot serve
// until a leader is elected.
const electionTimeout = 400 * time.Millisecond

// listPollInterval is the time between two reads of the platform list.
const listPollInterval = 500 * time.Millisecond

// faultPause is how long a control host waits after a fault, usually of its disk,
// before it exits and is restarted. A full disk stays full for seconds, and each
// restart costs the other hosts a join request.
const faultPause = 2 * time.Second

// RunFleetControl runs a control host until ctx is cancelled or its replica
// fails. The function endpoints returns the endpoints to serve.
func RunFleetControl(
	ctx context.Context, c HostConfig, lister mesh.Lister, endpoints func(*mesh.Control) []Endpoint,
) error {
	err := c.runControl(ctx, lister, endpoints)
	if err == nil {
		return nil
	}
	c.log.Error("node: control host failed and exits after a pause", "host", c.host, "pause", faultPause.String(), "error", err)
	clock.Sleep(ctx, c.clock, faultPause)
	return err
}

func (c HostConfig) runControl(
	ctx context.Context, lister mesh.Lister, endpoints func(*mesh.Control) []Endpoint,
) error {
	c.log.Info("node: control host starts", "host", c.host, "zone", c.zone, "first-start", c.firstStart,
		"tolerance", c.tolerance)
	name, err := c.replicaName()
	if err != nil {
		return fmt.Errorf("control host: %w", err)
	}
	system := tasks.NewSystem(c.log)
	defer system.Shutdown()
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	hostMeter := meter.New()
	control, err := mesh.Start(taskCtx, system, c.clock, c.log, name, c.peerAddress(), c.seeds,
		mesh.WithMeter(hostMeter), mesh.WithRegion(c.region), mesh.WithDialer(c.dialer),
		mesh.WithTolerance(c.tolerance))
	if err != nil {
		return fmt.Errorf("control host: %w", err)
	}
	server := rpc.NewServer()
	replica, err := ctrl.StartReplica(taskCtx, system, server, name, c.dataDirectory, board.New(control.Publish, board.WithLogger(c.log)),
		ctrl.WithClock(c.clock), ctrl.WithLogger(c.log), ctrl.WithInitialPeers(c.initialPeers(name)...),
		ctrl.WithWireOptions(wire.WithDialer(c.dialer)), ctrl.WithNodeOptions(agree.WithElectionTimeout(electionTimeout)))
	if err != nil {
		return fmt.Errorf("control host: %w", err)
	}
	if err := control.Register(taskCtx, server, replica); err != nil {
		return fmt.Errorf("control host: %w", err)
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.peerAddress())
	if err != nil {
		return fmt.Errorf("control host: listen for peers: %w", err)
	}
	peersDone := wire.Serve(taskCtx, listener, server)
	membershipDone := tasks.Go(taskCtx, control.MaintainMembership)
	pollDone := tasks.Go(taskCtx, func(ctx context.Context) { control.PollList(ctx, lister, listPollInterval) })
	servers, err := c.serveEndpoints(ctx, endpoints(control), replicaMetrics(replica, name, hostMeter))
	if err == nil {
		select {
		case <-ctx.Done():
			c.log.Info("node: control host stops", "host", c.host)
			transferLeadership(ctx, replica, name, c.log)
			control.Leave(context.WithoutCancel(ctx))
		case <-replica.Done():
			err = fmt.Errorf("replica ended: %w", replica.Err())
		}
	}
	c.closeServers(servers)
	stop()
	<-replica.Done()
	<-peersDone
	<-membershipDone
	<-pollDone
	if err != nil {
		return fmt.Errorf("control host %s: %w", c.host, err)
	}
	return nil
}
