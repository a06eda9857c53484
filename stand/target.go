package stand

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/lister"
	"rhubarbrack/target"
	"rhubarbrack/tasks"
)

// Target is a stand-in of a target: an HTTP server with a fixed number of
// slots. Its behaviour is set by the options of StartTarget and can be changed
// by its methods.
type Target struct {
	settings settings
	system   *tasks.System
	task     *tasks.Ref
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{}

	mutex    sync.Mutex
	address  string
	server   *httpServer
	restarts sync.WaitGroup
	handlers sync.WaitGroup

	// The final runs and counts are set before done is closed.
	finalRuns  []Run
	finalStats Stats
}

// StartTarget starts a stand-in, which accepts requests when StartTarget returns.
// It stops when ctx ends or Close is called.
func StartTarget(ctx context.Context, system *tasks.System, options ...Option) (*Target, error) {
	s := newSettings(options)
	// The task outlives ctx, so that the last requests are recorded.
	task, err := tasks.Spawn(context.WithoutCancel(ctx), system, "stand-"+string(s.id), newTargetTask(s))
	if err != nil {
		return nil, fmt.Errorf("start stand-in %s: %w", s.id, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	t := &Target{settings: s, system: system, task: task, ctx: ctx, cancel: cancel,
		address: s.address, done: make(chan struct{})}
	if err := t.listen(); err != nil {
		cancel()
		task.Stop()
		<-task.Done()
		return nil, fmt.Errorf("start stand-in: %w", err)
	}
	go t.shutDown()
	return t, nil
}

// listen starts the HTTP server unless it is running. A restarted server uses
// the address of the first start.
func (t *Target) listen() error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.server != nil || t.ctx.Err() != nil {
		return nil
	}
	s, err := startHTTPServer(t.address, t.handler())
	if err != nil {
		return fmt.Errorf("stand-in %s: %w", t.settings.id, err)
	}
	t.server, t.address = s, s.address
	return nil
}

// closeServer closes the listener and all connections.
func (t *Target) closeServer() {
	t.mutex.Lock()
	s := t.server
	t.server = nil
	t.mutex.Unlock()
	if s != nil {
		s.close()
	}
}

// shutDown waits for the end of the context, closes the server and, after the
// last request, stores the final runs and counts.
func (t *Target) shutDown() {
	defer close(t.done)
	<-t.ctx.Done()
	t.closeServer()
	t.restarts.Wait()
	t.handlers.Wait()
	background := context.Background()
	// An error means that the task has panicked; the result is then empty.
	t.finalRuns, _ = tasks.Ask(background, t.task, func(r tasks.Reply[[]Run]) any { return runsRequest{reply: r} })
	t.finalStats, _ = tasks.Ask(background, t.task, func(r tasks.Reply[Stats]) any { return statsRequest{reply: r} })
	t.task.Stop()
	<-t.task.Done()
}

// Address returns the address in the form IP:PORT.
func (t *Target) Address() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.address
}

// ID returns the ID of the target.
func (t *Target) ID() ident.Target { return t.settings.id }

// ListEntry returns the entry of the target for the list of the platform.
func (t *Target) ListEntry(state lister.State) (lister.Target, error) {
	s := t.settings
	entry, err := lister.NewTarget(s.id, s.service, t.Address(), s.zone, s.region, s.slots, state)
	if err != nil {
		return lister.Target{}, fmt.Errorf("list entry of stand-in: %w", err)
	}
	return entry, nil
}

// Runs returns the recorded requests that occupied a slot, in the order of their
// admission. After Close, no request is running.
func (t *Target) Runs(ctx context.Context) ([]Run, error) {
	if t.isDone() {
		return t.finalRuns, nil
	}
	runs, err := tasks.Ask(ctx, t.task, func(r tasks.Reply[[]Run]) any { return runsRequest{reply: r} })
	if err != nil {
		return nil, fmt.Errorf("records of %s: %w", t.settings.id, err)
	}
	return runs, nil
}

// Stats returns the counts. It can be called after Close too.
func (t *Target) Stats(ctx context.Context) (Stats, error) {
	if t.isDone() {
		return t.finalStats, nil
	}
	stats, err := tasks.Ask(ctx, t.task, func(r tasks.Reply[Stats]) any { return statsRequest{reply: r} })
	if err != nil {
		return Stats{}, fmt.Errorf("figures of %s: %w", t.settings.id, err)
	}
	return stats, nil
}

// addTo adds one to the group unless the target is stopping, because shutDown
// may then already be waiting for the group. It reports whether it did.
func (t *Target) addTo(group *sync.WaitGroup) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.ctx.Err() != nil {
		return false
	}
	group.Add(1)
	return true
}

func (t *Target) isDone() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// SetDraining sets whether the target reports itself as leaving and sheds
// every new request.
func (t *Target) SetDraining(on bool) { t.changeBehaviour(func(b *behaviour) { b.draining = on }) }

// SetReportLag makes health and load reports state the values of d ago, without
// stating their age.
func (t *Target) SetReportLag(d time.Duration) {
	t.changeBehaviour(func(b *behaviour) { b.reportLag = d })
}

// SetReportFault makes the health and load endpoints respond with an error
// status. Zero restores them.
func (t *Target) SetReportFault(status int) {
	t.changeBehaviour(func(b *behaviour) { b.reportFault = status })
}

// SetReportsSilent sets whether the health and load endpoints leave requests
// without a response.
func (t *Target) SetReportsSilent(on bool) {
	t.changeBehaviour(func(b *behaviour) { b.reportsSilent = on })
}

// OverrideReports makes the reports contain the given state and number of busy
// slots instead of the actual ones. An empty state and a negative number restore
// the actual values.
func (t *Target) OverrideReports(state target.State, busy int) {
	t.changeBehaviour(func(b *behaviour) { b.stateOverride, b.busyOverride = state, busy })
}

// InterruptDownloads makes the next downloads, one for each number, end early
// after the given numbers of body bytes.
func (t *Target) InterruptDownloads(after ...int64) {
	t.changeBehaviour(func(b *behaviour) { b.interruptions = append(b.interruptions, after...) })
}

func (t *Target) changeBehaviour(apply func(*behaviour)) { t.task.Tell(behaviourChange{apply: apply}) }

// Crash closes the listener and all connections immediately.
func (t *Target) Crash() { t.crash(0, -1) }

func (t *Target) crash(number, index int) {
	t.task.Tell(crashNotice{number: number, index: index})
	t.closeServer()
	if t.settings.restartAfter <= 0 || !t.addTo(&t.restarts) {
		return
	}
	tasks.Go(t.ctx, func(ctx context.Context) {
		defer t.restarts.Done()
		if clock.Sleep(ctx, t.settings.clock, t.settings.restartAfter) {
			// If the port has been taken meanwhile, the target stays down.
			_ = t.Restart()
		}
	})
}

// Restart makes the target accept requests again after a crash, with a cold
// start. While the target is up, it only begins a cold start.
func (t *Target) Restart() error {
	t.task.Tell(restartNotice{})
	return t.listen()
}

// Close stops the target immediately and waits until it has stopped.
func (t *Target) Close() {
	t.cancel()
	<-t.done
}

// Done returns a channel that is closed when the target has stopped.
func (t *Target) Done() <-chan struct{} { return t.done }

// httpServer is an HTTP server with its own listener.
type httpServer struct {
	address string
	http    *http.Server
	done    chan struct{}
}

func startHTTPServer(address string, handler http.Handler) (*httpServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &httpServer{address: listener.Addr().String(), done: make(chan struct{}),
		http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return s, nil
}

// close closes the listener and the connections and waits for the accept loop.
func (s *httpServer) close() {
	_ = s.http.Close()
	<-s.done
}
