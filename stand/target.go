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
// slots. See the package's options for what it can be made to do.
type Target struct {
	settings settings
	system   *tasks.System
	desk     *tasks.Ref
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{}

	mutex    sync.Mutex
	address  string
	server   *server
	restarts sync.WaitGroup
	handlers sync.WaitGroup

	// The final records are set before done is closed.
	finalRuns    []Run
	finalFigures Stats
}

// StartTarget starts a stand-in that listens when it returns. It ends with
// ctx or by Close.
func StartTarget(ctx context.Context, system *tasks.System, options ...Option) (*Target, error) {
	s := newSettings(options)
	// The desk outlives ctx, so that the last requests are recorded.
	desk, err := tasks.Spawn(context.WithoutCancel(ctx), system, "stand-"+string(s.id), newDesk(s))
	if err != nil {
		return nil, fmt.Errorf("start stand-in %s: %w", s.id, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	t := &Target{settings: s, system: system, desk: desk, ctx: ctx, cancel: cancel,
		address: s.address, done: make(chan struct{})}
	if err := t.listen(); err != nil {
		cancel()
		desk.Stop()
		<-desk.Done()
		return nil, fmt.Errorf("start stand-in: %w", err)
	}
	go t.end()
	return t, nil
}

// listen starts the HTTP server at the address, which stays the same after
// the first start.
func (t *Target) listen() error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.server != nil || t.ctx.Err() != nil {
		return nil
	}
	s, err := startServer(t.address, t.handler())
	if err != nil {
		return fmt.Errorf("stand-in %s: %w", t.settings.id, err)
	}
	t.server, t.address = s, s.address
	return nil
}

// cut closes the listener and all connections.
func (t *Target) cut() {
	t.mutex.Lock()
	s := t.server
	t.server = nil
	t.mutex.Unlock()
	if s != nil {
		s.kill()
	}
}

func (t *Target) end() {
	defer close(t.done)
	<-t.ctx.Done()
	t.cut()
	t.restarts.Wait()
	t.handlers.Wait()
	background := context.Background()
	// Errors mean that the desk has panicked; the records are then empty.
	t.finalRuns, _ = tasks.Ask(background, t.desk, func(r tasks.Reply[[]Run]) any { return askRuns{reply: r} })
	t.finalFigures, _ = tasks.Ask(background, t.desk, func(r tasks.Reply[Stats]) any { return askFigures{reply: r} })
	t.desk.Stop()
	<-t.desk.Done()
}

// Address returns the address in the form IP:PORT.
func (t *Target) Address() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.address
}

// ID returns the name of the target.
func (t *Target) ID() ident.Target { return t.settings.id }

// ListEntry returns the target's entry for the platform's list.
func (t *Target) ListEntry(state lister.State) (lister.Target, error) {
	s := t.settings
	e, err := lister.NewTarget(s.id, s.service, t.Address(), s.zone, s.region, s.slots, state)
	if err != nil {
		return lister.Target{}, fmt.Errorf("entry of stand-in: %w", err)
	}
	return e, nil
}

// Runs returns the records of the requests that occupied a slot, in order. It
// can be called after Close; no request is then running.
func (t *Target) Runs(ctx context.Context) ([]Run, error) {
	if t.ended() {
		return t.finalRuns, nil
	}
	runs, err := tasks.Ask(ctx, t.desk, func(r tasks.Reply[[]Run]) any { return askRuns{reply: r} })
	if err != nil {
		return nil, fmt.Errorf("records of %s: %w", t.settings.id, err)
	}
	return runs, nil
}

// Stats returns the counts. It can be called after Close.
func (t *Target) Stats(ctx context.Context) (Stats, error) {
	if t.ended() {
		return t.finalFigures, nil
	}
	f, err := tasks.Ask(ctx, t.desk, func(r tasks.Reply[Stats]) any { return askFigures{reply: r} })
	if err != nil {
		return Stats{}, fmt.Errorf("figures of %s: %w", t.settings.id, err)
	}
	return f, nil
}

// enter counts one more user of the group, unless the target ends: its owner
// then waits for the group.
func (t *Target) enter(group *sync.WaitGroup) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.ctx.Err() != nil {
		return false
	}
	group.Add(1)
	return true
}

func (t *Target) ended() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// SetDraining sets whether the target reports itself as leaving and sheds
// every new request.
func (t *Target) SetDraining(on bool) { t.change(func(b *behaviour) { b.draining = on }) }

// SetReportLag makes health and load reports show the state of d ago, without
// stating their age.
func (t *Target) SetReportLag(d time.Duration) { t.change(func(b *behaviour) { b.lag = d }) }

// SetReportFault makes the health and load endpoints answer with an error
// status. Zero restores them.
func (t *Target) SetReportFault(status int) { t.change(func(b *behaviour) { b.fault = status }) }

// SetReportsSilent sets whether the health and load endpoints leave requests
// without answer.
func (t *Target) SetReportsSilent(on bool) { t.change(func(b *behaviour) { b.silent = on }) }

// OverrideReports makes the reports state another condition and another number of
// busy slots than the true ones. An empty state and a negative number restore
// the truth.
func (t *Target) OverrideReports(state target.State, busy int) {
	t.change(func(b *behaviour) { b.claimState, b.claimBusy = state, busy })
}

// InterruptDownloads makes the next downloads break off after the given numbers of
// body bytes, one number for each.
func (t *Target) InterruptDownloads(after ...int64) {
	t.change(func(b *behaviour) { b.cuts = append(b.cuts, after...) })
}

func (t *Target) change(apply func(*behaviour)) { t.desk.Tell(change{apply: apply}) }

// Crash closes the listener and cuts all connections at once.
func (t *Target) Crash() { t.crash(0, -1) }

func (t *Target) crash(number, index int) {
	t.desk.Tell(crash{number: number, index: index})
	t.cut()
	if t.settings.restartAfter <= 0 || !t.enter(&t.restarts) {
		return
	}
	tasks.Go(t.ctx, func(ctx context.Context) {
		defer t.restarts.Done()
		if clock.Sleep(ctx, t.settings.clock, t.settings.restartAfter) {
			// A port that is taken meanwhile leaves the target down.
			_ = t.Restart()
		}
	})
}

// Restart listens again after a crash, with a cold start. It does nothing
// while the target is up.
func (t *Target) Restart() error {
	t.desk.Tell(restart{})
	return t.listen()
}

// Close ends the target at once.
func (t *Target) Close() {
	t.cancel()
	<-t.done
}

// Done returns a channel that is closed when the target has ended.
func (t *Target) Done() <-chan struct{} { return t.done }

// server is an HTTP server on its own listener.
type server struct {
	address string
	http    *http.Server
	done    chan struct{}
}

func startServer(address string, h http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &server{address: listener.Addr().String(), done: make(chan struct{}),
		http: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return s, nil
}

// kill closes the listener and the connections and waits for the accept loop.
func (s *server) kill() {
	_ = s.http.Close()
	<-s.done
}
