package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/rpc"
	"time"

	"rhubarbrack/caller"
	"rhubarbrack/conf"
	"rhubarbrack/ctrl"
	"rhubarbrack/ident"
	"rhubarbrack/lister"
	"rhubarbrack/meter"
	"rhubarbrack/oper"
	"rhubarbrack/plan"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// transferTimeout limits the leadership transfer at a planned stop, and then
// the wait for open API calls.
const transferTimeout = 3 * time.Second

// RunControl runs a control host until ctx is cancelled or a required task
// fails. A planned stop transfers the leadership first.
func RunControl(ctx context.Context, s *conf.Settings, opts ...Option) error {
	o := newOptions(opts)
	security, err := loadSecurity(s, o)
	if err != nil {
		return fmt.Errorf("control host: %w", err)
	}
	peers, err := listen(ctx, s, conf.Peers, nil)
	if err != nil {
		return fmt.Errorf("control host: %w", err)
	}
	operators, err := listen(ctx, s, conf.Operators, security.listener(conf.Operators))
	if err != nil {
		_ = peers.Close()
		return fmt.Errorf("control host: %w", err)
	}
	metrics, err := listen(ctx, s, conf.Metrics, security.listener(conf.Metrics))
	if err != nil {
		_, _ = peers.Close(), operators.Close()
		return fmt.Errorf("control host: %w", err)
	}
	// The tasks outlive ctx, so that the leadership can be transferred.
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	system := tasks.NewSystem(o.log)
	defer system.Shutdown()
	c := &controlHost{settings: s, options: o, security: security, system: system}
	if err := c.start(taskCtx, peers, operators); err != nil {
		return fmt.Errorf("control host: %w", err)
	}
	c.startMetrics(metrics)
	o.ready()
	return c.wait(ctx, stop)
}

// controlHost holds the tasks and servers of a control host.
type controlHost struct {
	settings  *conf.Settings
	options   options
	security  security
	system    *tasks.System
	replica   *ctrl.Replica
	publisher *ctrl.ConfigPublisher
	leader    *ctrl.Leader
	peersDone <-chan struct{}
	api       *caller.Server
	metrics   *caller.Server
}

func (c *controlHost) start(ctx context.Context, peers, operators net.Listener) error {
	s, o := c.settings, c.options
	var err error
	c.leader, err = ctrl.StartLeader(ctx, c.system, plan.New(), o.clock, o.log)
	if err != nil {
		return fmt.Errorf("start control host: %w", err)
	}
	c.publisher, err = ctrl.StartConfigPublisher(ctx, c.system, c.leader)
	if err != nil {
		return fmt.Errorf("start control host: %w", err)
	}
	server := rpc.NewServer()
	c.replica, err = ctrl.StartReplica(ctx, c.system, server, s.Host(), s.DataDirectory(), ctrl.NewReplicatedState(c.publisher),
		ctrl.WithClock(o.clock), ctrl.WithLogger(o.log), ctrl.WithLeadershipObserver(c.leader),
		ctrl.WithInitialPeers(initialPeers(s)...), ctrl.WithWireOptions(c.security.dialOptions()...))
	if err != nil {
		return fmt.Errorf("start control host: %w", err)
	}
	c.leader.SetLog(c.replica)
	if err := ctrl.Register(ctx, server, c.replica, c.publisher, c.leader, o.clock); err != nil {
		return fmt.Errorf("start control host: %w", err)
	}
	c.peersDone = wire.Serve(ctx, peers, server, wire.WithTLS(c.security.servers[conf.Peers]))
	if url := s.PlatformList(); url != "" {
		_, err = lister.StartLister(ctx, c.system, url, c.leader, lister.WithClock(o.clock), lister.WithLogger(o.log))
		if err != nil {
			return fmt.Errorf("start control host: %w", err)
		}
	}
	return c.startAPI(ctx, operators)
}

func (c *controlHost) startAPI(ctx context.Context, listener net.Listener) error {
	if listener == nil {
		return nil
	}
	client, err := ctrl.StartClient(ctx, c.system, c.options.clock, controlPeers(c.settings), c.security.dialOptions()...)
	if err != nil {
		return fmt.Errorf("start API: %w", err)
	}
	c.api = caller.Serve(listener, oper.NewHandler(client, operatorTokens(c.settings)), serverLimits(c.settings), c.options.log)
	return nil
}

// startMetrics serves the state of the replica as gauges.
func (c *controlHost) startMetrics(listener net.Listener) {
	if listener == nil {
		return
	}
	c.metrics = serveHTTP(listener, replicaMetrics(c.replica, c.settings.Host(), meter.New()), c.settings, c.options)
}

// wait returns when ctx is cancelled and the host has stopped, or when the
// replica, the leader or the publisher has ended.
func (c *controlHost) wait(ctx context.Context, stop func()) error {
	select {
	case <-ctx.Done():
	case <-c.replica.Done():
		stop()
		return fmt.Errorf("control replica ended: %w", c.replica.Err())
	case <-c.leader.Done():
		stop()
		return fmt.Errorf("leader task: %w", ErrEnded)
	case <-c.publisher.Done():
		stop()
		return fmt.Errorf("config publisher task: %w", ErrEnded)
	}
	c.options.log.Info("node: control host stops", "host", c.settings.Host())
	transferLeadership(ctx, c.replica, c.settings.Host(), c.options.log)
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), transferTimeout)
	defer cancel()
	for _, server := range []*caller.Server{c.api, c.metrics} {
		if server == nil {
			continue
		}
		if err := server.Shutdown(shutdownCtx); err != nil {
			c.options.log.Warn("node: server closed with calls in flight", "error", err)
		}
	}
	stop()
	<-c.replica.Done()
	<-c.peersDone
	if err := c.replica.Err(); err != nil {
		return fmt.Errorf("stop control replica: %w", err)
	}
	return nil
}

// transferLeadership transfers the leadership to another control host, if this
// host is the leader and is not the only member.
func transferLeadership(ctx context.Context, replica *ctrl.Replica, host ident.Host, log *slog.Logger) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), transferTimeout)
	defer cancel()
	status, err := replica.Status(ctx)
	if err != nil || status.Leader() != host || len(status.Members()) < 2 {
		return
	}
	if err := replica.TransferLeadership(ctx, ""); err != nil {
		log.Warn("node: leadership transfer failed", "error", err)
	}
}

// initialPeers returns the hosts that bootstrap the cluster. It returns none for
// a replacement, which joins when it is added.
func initialPeers(s *conf.Settings) []ctrl.Peer {
	if s.IsReplacement() {
		return nil
	}
	return controlPeers(s)
}

func controlPeers(s *conf.Settings) []ctrl.Peer {
	var out []ctrl.Peer
	for _, h := range s.ControlHosts() {
		out = append(out, ctrl.NewPeer(h.Host(), h.Address().String()))
	}
	return out
}

func operatorTokens(s *conf.Settings) []oper.Token {
	var out []oper.Token
	for _, t := range s.OperatorTokens() {
		out = append(out, oper.NewToken(t.Name(), t.Hash()))
	}
	return out
}

func serverLimits(s *conf.Settings) caller.Limits {
	l := s.Limits()
	return caller.NewLimits(int(l.HeaderBytes()), l.HeaderTime(), l.IdleTime(), int(l.Connections()))
}

// serveHTTP serves a handler on a listener. It returns nil if the listener is
// nil.
func serveHTTP(listener net.Listener, handler http.Handler, s *conf.Settings, o options) *caller.Server {
	if listener == nil {
		return nil
	}
	return caller.Serve(listener, handler, serverLimits(s), o.log)
}
