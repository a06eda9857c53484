package node

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"strconv"
	"sync/atomic"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/bridge"
	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/link"
	"rhubarbrack/mesh"
	"rhubarbrack/meter"
	"rhubarbrack/quota"
	"rhubarbrack/reach"
	"rhubarbrack/relay"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// Decoder decodes a configuration from its source text.
type Decoder func(source []byte) (*scheme.Config, error)

// entryListener applies updates from the control hosts to the tasks of an entry
// host.
type entryListener struct {
	host      HostConfig
	decode    Decoder
	admission *relay.Admission
	front     *relay.Front
	ready     *atomic.Bool
}

var _ mesh.Listener = (*entryListener)(nil)

// SetConfig implements mesh.Listener.
func (e *entryListener) SetConfig(version uint64, source []byte) error {
	c, err := e.decode(source)
	if err != nil {
		return fmt.Errorf("configuration %d: %w", version, err)
	}
	e.admission.Configure(c)
	e.front.SetLimits(c.Limits())
	return nil
}

// SetEvacuated implements mesh.Listener.
func (e *entryListener) SetEvacuated(zones []ident.Zone) { e.admission.SetEvacuated(zones) }

// ZoneReturned implements mesh.Listener.
func (e *entryListener) ZoneReturned(zone ident.Zone, at time.Time) {
	e.admission.ZoneReturned(zone, at)
}

// SetTargets implements mesh.Listener.
func (e *entryListener) SetTargets(readAt time.Time, list []mesh.ListedTarget) {
	out := make([]spread.Target, 0, len(list))
	for _, l := range list {
		coldUntil := time.Time{}
		if l.ColdRemaining() > 0 {
			coldUntil = readAt.Add(l.ColdRemaining())
		}
		out = append(out, spread.NewTarget(l.ID(), l.Service(), l.Address(), l.Zone(), e.host.regions[l.Zone()],
			l.Slots(), l.IsDraining(), coldUntil, spread.WithStart(l.StartedAt())))
	}
	e.admission.SetTargets(out)
}

// SetEntryHosts implements mesh.Listener.
func (e *entryListener) SetEntryHosts(list []mesh.EntryHost) {
	if e.host.forwardPort == 0 {
		return
	}
	peers := make([]reach.Peer, 0, len(list))
	for _, h := range list {
		ip, _, err := net.SplitHostPort(h.Address())
		if err != nil {
			e.host.log.Warn("node: address of an entry host is invalid", "address", h.Address(), "error", err)
			continue
		}
		peers = append(peers, reach.NewPeer(net.JoinHostPort(ip, strconv.Itoa(e.host.forwardPort)), h.Region()))
	}
	e.admission.SetPeers(peers)
}

// SetHostCount implements mesh.Listener.
func (e *entryListener) SetHostCount(n int) { e.admission.SetHostCount(n) }

// Demand implements mesh.Listener.
func (e *entryListener) Demand(ctx context.Context) ([]quota.Demand, error) {
	list, err := e.admission.Demand(ctx)
	if err != nil {
		return nil, fmt.Errorf("entry host: %w", err)
	}
	return list, nil
}

// ApplyLeases implements mesh.Listener.
func (e *entryListener) ApplyLeases(leases []quota.Lease, nearLimit []ident.Team, until time.Time) {
	e.admission.ApplyLeases(leases, nearLimit, until)
}

// TargetStats implements mesh.Listener.
func (e *entryListener) TargetStats(ctx context.Context) ([]spread.TargetStats, error) {
	list, err := e.admission.TargetStats(ctx)
	if err != nil {
		return nil, fmt.Errorf("entry host: %w", err)
	}
	return list, nil
}

// ApplyRemoteStats implements mesh.Listener.
func (e *entryListener) ApplyRemoteStats(stats []spread.TargetStats) {
	e.admission.ApplyRemoteStats(stats)
}

// ApplyLimits implements mesh.Listener.
func (e *entryListener) ApplyLimits(shares []spread.LimitShare) { e.admission.ApplyLimits(shares) }

// SuspectReports implements mesh.Listener.
func (e *entryListener) SuspectReports(ctx context.Context, since time.Time) ([]guard.Report, error) {
	list, err := e.admission.SuspectReports(ctx, since)
	if err != nil {
		return nil, fmt.Errorf("entry host: %w", err)
	}
	return list, nil
}

// MergeSuspects implements mesh.Listener.
func (e *entryListener) MergeSuspects(reports []guard.Report) { e.admission.MergeSuspects(reports) }

// targetBytes tells the mesh what targets have sent that nobody has read.
type targetBytes struct{ pool *link.Pool }

var _ mesh.Inbound = targetBytes{}

// Waiting implements mesh.Inbound.
func (b targetBytes) Waiting(ctx context.Context) (mesh.WaitingBytes, error) {
	u, err := b.pool.Unread(ctx)
	if err != nil {
		return mesh.WaitingBytes{}, fmt.Errorf("entry host: %w", err)
	}
	return mesh.NewWaitingBytes(u.Connections(), u.Bytes(), u.Most()), nil
}

// BecomeReady implements mesh.Listener.
func (e *entryListener) BecomeReady() { e.ready.Store(true) }

const (
	// callerDescriptorsPercent is the percentage of the file descriptors that
	// callers' connections may use. The rest is for connections to targets and
	// for the process itself.
	callerDescriptorsPercent = 60
	// peerDescriptorsPercent is the percentage that the connections of other
	// entry hosts may use.
	peerDescriptorsPercent = 15
)

// Dialect is the protocol of callers and targets.
type Dialect interface {
	relay.Dialect
	relay.StatementDecoder
}

// RunFleetEntry runs an entry host until ctx is cancelled and then stops it
// without aborting requests, as far as the grace period allows. It listens for
// callers at the given address. The function endpoints returns the endpoints to
// serve.
func RunFleetEntry(
	ctx context.Context, c HostConfig, callers string, dialect Dialect, decode Decoder,
	endpoints func(isReady func() bool, client *mesh.ControlClient) []Endpoint,
) error {
	c.log.Info("node: entry host starts", "host", c.host, "zone", c.zone, "callers", callers)
	system := tasks.NewSystem(c.log)
	defer system.Shutdown()
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	pool, err := link.StartPool(
		taskCtx, system, c.clock, link.WithLocalIP(net.ParseIP(c.ip)), link.WithReceiveBuffer(c.receiveBuffer()))
	if err != nil {
		return fmt.Errorf("entry host: %w", err)
	}
	admission, err := relay.StartAdmission(taskCtx, system, c.clock, c.log, c.newController(), pool, dialect)
	if err != nil {
		return fmt.Errorf("entry host: %w", err)
	}
	callerListener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", callers)
	if err != nil {
		return fmt.Errorf("entry host: listen for callers: %w", err)
	}
	hostMeter := meter.New()
	var ready atomic.Bool
	listener := &entryListener{host: c, decode: decode, admission: admission, ready: &ready}
	client, err := mesh.NewControlClient(taskCtx, system, c.clock, c.log, c.host, callers, c.zone, c.region, c.seeds,
		c.bounds.RateWindow(), listener, mesh.WithLinkRate(c.linkRate),
		mesh.WithClientMeter(hostMeter), mesh.WithInbound(targetBytes{pool: pool}),
		mesh.WithLinkDelay(pool), mesh.WithNeighbours(c.peerPort), mesh.WithClientDialer(c.dialer))
	if err != nil {
		return fmt.Errorf("entry host: %w", err)
	}
	peersDone, err := c.serveNeighbours(taskCtx, client)
	if err != nil {
		return fmt.Errorf("entry host: %w", err)
	}
	pacer, err := c.startPacer(taskCtx, system)
	if err != nil {
		return fmt.Errorf("entry host: %w", err)
	}
	peers, err := c.startPeerFront(taskCtx, system, admission, pool, dialect, hostMeter, relay.WithPacer(pacer))
	if err != nil {
		return fmt.Errorf("entry host: %w", err)
	}
	handler := relay.NewHandler(
		admission, pool, dialect, client, c.clock, c.log, hostMeter, relay.WithPacer(pacer), relay.WithPeers(bridge.Codec{}))
	front, err := relay.StartFront(
		taskCtx, system, callerListener, handler, c.descriptors*callerDescriptorsPercent/100, c.clock, c.log)
	if err != nil {
		return fmt.Errorf("entry host: %w", err)
	}
	listener.front = front
	client.Start(taskCtx)
	servers, err := c.serveEndpoints(ctx, endpoints(ready.Load, client), entryMetrics(admission, hostMeter))
	if err != nil {
		return fmt.Errorf("entry host: %w", err)
	}
	<-ctx.Done()
	c.log.Info("node: entry host stops", "host", c.host)
	ready.Store(false)
	client.SetReady(false)
	stopping{host: c, admission: admission, front: front, handler: handler, peers: peers, pacer: pacer}.drain(taskCtx)
	c.closeServers(servers)
	stop()
	<-peersDone
	c.log.Info("node: entry host stopped", "host", c.host)
	return nil
}

// newController returns the admission controller of an entry host.
func (c HostConfig) newController() *admit.Controller {
	controller := admit.NewController(c.zone, c.region, c.bounds, spread.WithHost(c.host), spread.WithDrainTime(c.drainTime))
	if c.hasSlowLink() {
		controller.SetLinkRate(relay.PacedRate(c.linkRate))
	}
	if c.forwardPort != 0 {
		controller.UsePeers(reach.NewPeers(c.host, c.region))
	}
	return controller
}

// serveNeighbours serves other entry hosts that are out of contact with the
// control hosts. The returned channel is closed after ctx has ended.
func (c HostConfig) serveNeighbours(ctx context.Context, client *mesh.ControlClient) (<-chan struct{}, error) {
	server := rpc.NewServer()
	if err := client.Register(ctx, server); err != nil {
		return nil, fmt.Errorf("serve neighbours: %w", err)
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.peerAddress())
	if err != nil {
		return nil, fmt.Errorf("listen for neighbours: %w", err)
	}
	return wire.Serve(ctx, listener, server), nil
}

// pacingThreshold is the link rate in bytes per second from which responses are
// not paced: a long response then delays others by a few milliseconds at most.
const pacingThreshold = 10e6

func (c HostConfig) hasSlowLink() bool { return c.linkRate > 0 && c.linkRate < pacingThreshold }

const (
	// receiveTime is how long what a target has sent ahead on one connection may
	// occupy the host's link. Ten long responses at once then delay the reply to a
	// heartbeat by half the interval of heartbeats.
	receiveTime = 20 * time.Millisecond
	// minReceiveBytes holds more than one packet, so that a target need not wait
	// for each packet to be read.
	minReceiveBytes = 4 << 10
)

// receiveBuffer returns the size of the receive buffer of a connection to a target
// or another entry host, or 0 for that of the operating system.
func (c HostConfig) receiveBuffer() int {
	if !c.hasSlowLink() {
		return 0
	}
	return max(minReceiveBytes, int(c.linkRate*receiveTime.Seconds()))
}

// startPacer starts the pacer of a slow link. It returns nil for a fast one.
func (c HostConfig) startPacer(ctx context.Context, system *tasks.System) (*relay.Pacer, error) {
	if !c.hasSlowLink() {
		return nil, nil
	}
	p, err := relay.StartPacer(ctx, system, c.clock, c.linkRate)
	if err != nil {
		return nil, fmt.Errorf("pace responses: %w", err)
	}
	return p, nil
}
