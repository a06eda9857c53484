package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/rpc"
	"path/filepath"
	"testing"
	"time"

	"rhubarbrack/addrs"
	"rhubarbrack/agree"
	"rhubarbrack/board"
	"rhubarbrack/clock"
	"rhubarbrack/ctrl"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

// testTimeout bounds the wait for a condition that the cluster must reach.
const testTimeout = time.Minute

// controlHost is a control host with a listener, a disk and its own tasks.
type controlHost struct {
	address   string
	name      ident.Host
	directory string
	replica   *ctrl.Replica
	control   *Control
	// proxy passes calls of other hosts on, if the cluster has proxies.
	proxy *holdingProxy
	stop  func()
}

// controlCluster runs control hosts on loopback, which maintain the membership
// of their log by themselves.
type controlCluster struct {
	t       *testing.T
	ctx     context.Context
	hosts   map[string]*controlHost
	options []Option
	// replicaOptions apply to the replicas of all hosts.
	replicaOptions []ctrl.ReplicaOption
	// heldMethod is the method of which the proxies of the hosts hold calls back. If
	// it is empty, there are no proxies.
	heldMethod string
}

func newControlCluster(t *testing.T, names ...string) *controlCluster {
	t.Helper()
	addresses, err := addrs.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	// The directory is removed after the hosts have stopped, because it is created
	// before their cleanup is registered.
	disks := t.TempDir()
	cluster := &controlCluster{t: t, ctx: ctx, hosts: map[string]*controlHost{}}
	t.Cleanup(func() {
		for _, h := range cluster.hosts {
			cluster.stop(h)
		}
		cancel()
		_ = addresses.Release()
	})
	for _, name := range names {
		address, err := addresses.Next()
		if err != nil {
			t.Fatal(err)
		}
		cluster.hosts[name] = &controlHost{address: address, name: ident.Host(address), directory: filepath.Join(disks, name)}
	}
	return cluster
}

// start starts a host that knows the given seeds. The initial hosts bootstrap
// the log if their disks are empty.
func (cluster *controlCluster) start(name string, seeds, initial []string) *controlHost {
	cluster.t.Helper()
	h := cluster.hosts[name]
	log := slog.New(slog.DiscardHandler)
	system := tasks.NewSystem(log)
	ctx, cancel := context.WithCancel(cluster.ctx)
	control, err := Start(ctx, system, clock.Wall(), log, h.name, h.address, cluster.addresses(seeds), cluster.options...)
	if err != nil {
		cluster.t.Fatal(err)
	}
	var peers []ctrl.Peer
	for _, a := range cluster.addresses(initial) {
		peers = append(peers, ctrl.NewPeer(ident.Host(a), a))
	}
	server := rpc.NewServer()
	options := append([]ctrl.ReplicaOption{
		ctrl.WithLogger(log), ctrl.WithInitialPeers(peers...), ctrl.WithNodeOptions(agree.WithElectionTimeout(200 * time.Millisecond)),
	}, cluster.replicaOptions...)
	replica, err := ctrl.StartReplica(ctx, system, server, h.name, h.directory, board.New(control.Publish), options...)
	if err != nil {
		cluster.t.Fatal(err)
	}
	if err := control.Register(ctx, server, replica); err != nil {
		cluster.t.Fatal(err)
	}
	served := wire.Serve(ctx, cluster.listen(h), server)
	maintained := tasks.Go(ctx, control.MaintainMembership)
	h.replica, h.control = replica, control
	h.stop = func() {
		cancel()
		<-replica.Done()
		<-served
		<-maintained
		system.Shutdown()
	}
	return h
}

// listen returns the listener of a host, which is behind a proxy if the cluster has
// proxies.
func (cluster *controlCluster) listen(h *controlHost) net.Listener {
	address := h.address
	if cluster.heldMethod != "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		cluster.t.Fatal(err)
	}
	if cluster.heldMethod != "" {
		h.proxy = startHoldingProxy(cluster.t, h.address, listener.Addr().String(), cluster.heldMethod)
	}
	return listener
}

func (cluster *controlCluster) stop(h *controlHost) {
	if h.stop != nil {
		h.stop()
		h.stop = nil
	}
}

func (cluster *controlCluster) addresses(names []string) []string {
	var list []string
	for _, n := range names {
		list = append(list, cluster.hosts[n].address)
	}
	return list
}

// waitUntil waits until the condition holds.
func (cluster *controlCluster) waitUntil(what string, condition func() bool) {
	cluster.t.Helper()
	for !condition() {
		if !clock.Sleep(cluster.ctx, clock.Wall(), 10*time.Millisecond) {
			cluster.t.Fatalf("not reached: %s", what)
		}
	}
}

// leader returns the host that leads, and its status.
func (cluster *controlCluster) leader() (*controlHost, ctrl.Status) {
	for _, h := range cluster.hosts {
		if h.stop == nil {
			continue
		}
		if s, err := h.replica.Status(cluster.ctx); err == nil && s.Role() == agree.Leader {
			return h, s
		}
	}
	return nil, ctrl.Status{}
}

// waitForVoters waits until the voters are exactly those with the given names.
func (cluster *controlCluster) waitForVoters(names ...string) {
	cluster.t.Helper()
	cluster.waitUntil(fmt.Sprint("voters ", names), func() bool {
		_, s := cluster.leader()
		voters := map[string]bool{}
		for _, m := range s.Members() {
			if m.Member().IsVoter() {
				voters[m.Member().Address()] = true
			}
		}
		for _, a := range cluster.addresses(names) {
			if !voters[a] {
				return false
			}
		}
		return len(voters) == len(names)
	})
}

// waitForExpiredRequests waits until the leader holds no join request, since it
// would add the host again by itself.
func (cluster *controlCluster) waitForExpiredRequests() {
	cluster.t.Helper()
	cluster.waitUntil("no join request", func() bool {
		h, _ := cluster.leader()
		if h == nil {
			return false
		}
		requests, err := tasks.Ask(cluster.ctx, h.control.ref, func(r tasks.Reply[memberRequests]) any {
			return getMemberRequests{reply: r}
		})
		return err == nil && len(requests.joiners) == 0
	})
}

// remove removes a member through the leader.
func (cluster *controlCluster) remove(name string) {
	cluster.t.Helper()
	cluster.waitUntil("removal of "+name, func() bool {
		h, _ := cluster.leader()
		return h != nil && h.replica.RemoveMember(cluster.ctx, cluster.hosts[name].name) == nil
	})
}

// lead transfers the leadership to a host.
func (cluster *controlCluster) lead(name string) {
	cluster.t.Helper()
	cluster.waitUntil("leadership of "+name, func() bool {
		h, _ := cluster.leader()
		if h != nil && h != cluster.hosts[name] {
			_ = h.replica.TransferLeadership(cluster.ctx, cluster.hosts[name].name)
		}
		return h == cluster.hosts[name]
	})
}
