package lister

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/tasks"
)

const (
	// defaultInterval keeps the share of the list in the 2 s within which a
	// leaving target stops receiving work small.
	defaultInterval = 500 * time.Millisecond
	// defaultTimeout bounds one poll.
	defaultTimeout = 2 * time.Second
	// defaultListBytes holds about 100,000 targets.
	defaultListBytes = 16 << 20
	// drainBytes is the most that is read of an answer without a list so
	// that its connection can be used again.
	drainBytes = 4 << 10
)

// Listener receives the list after each poll, also after one that failed. Tell
// must not block; a task's mailbox is the usual sink.
type Listener interface {
	Tell(message any)
}

// Lister is the task that polls the platform. It tells its sink a List after
// each poll.
type Lister struct {
	ref  *tasks.Ref
	done chan struct{}
}

type settings struct {
	clock    clock.Clock
	log      *slog.Logger
	name     string
	interval time.Duration
	timeout  time.Duration
	limit    int64
}

// Option changes a default of StartLister.
type Option func(*settings)

// WithClock sets the clock. The default is the clock of the machine.
func WithClock(c clock.Clock) Option { return func(s *settings) { s.clock = c } }

// WithLog sets the log. The default is slog.Default.
func WithLog(l *slog.Logger) Option { return func(s *settings) { s.log = l } }

// WithName sets the name of the task. The default is "lister".
func WithName(name string) Option { return func(s *settings) { s.name = name } }

// WithInterval sets the time between polls. The default is 500 ms.
func WithInterval(d time.Duration) Option { return func(s *settings) { s.interval = d } }

// WithTimeout bounds one poll. The default is 2 s.
func WithTimeout(d time.Duration) Option { return func(s *settings) { s.timeout = d } }

// WithMaxListBytes bounds the size of the list. The default is 16 MiB.
func WithMaxListBytes(n int64) Option { return func(s *settings) { s.limit = n } }

// StartLister starts a task that polls url at once and then at each interval,
// one poll at a time, until ctx ends.
func StartLister(ctx context.Context, system *tasks.System, url string, sink Listener, options ...Option) (*Lister, error) {
	s := settings{
		clock: clock.Wall(), log: slog.Default(), name: "lister",
		interval: defaultInterval, timeout: defaultTimeout, limit: defaultListBytes,
	}
	for _, apply := range options {
		apply(&s)
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &poller{settings: s, url: url, sink: sink, ctx: ctx, cancel: cancel,
		client: newHTTPClient()}
	ref, err := tasks.Spawn(ctx, system, s.name, p)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start platform lister: %w", err)
	}
	p.ref = ref
	ref.Tell(pollDue{})
	ticks := tasks.Every(ctx, s.clock, s.interval, ref, pollDue{})
	l := &Lister{ref: ref, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		<-ref.Done()
		cancel()
		<-ticks
	}()
	return l, nil
}

// Stop ends the task.
func (l *Lister) Stop() { l.ref.Stop() }

// Done returns a channel that is closed when the task and its timer have
// ended.
func (l *Lister) Done() <-chan struct{} { return l.done }

// Err returns the panic that ended the task, or nil. It is valid once Done is
// closed.
func (l *Lister) Err() error { return l.ref.Err() }

// pollDue asks the poller for a poll.
type pollDue struct{}

// polled is the end of a poll.
type polled struct {
	asked     time.Time
	unchanged bool
	targets   []Target
	etag      string
	err       error
}

// poller is the state of the task.
type poller struct {
	settings
	url    string
	sink   Listener
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	ref    *tasks.Ref

	polling <-chan struct{}
	list    List
	etag    string
}

var (
	_ tasks.Task    = (*poller)(nil)
	_ tasks.Stopper = (*poller)(nil)
)

// Handle implements tasks.Task.
func (p *poller) Handle(message any) {
	switch m := message.(type) {
	case pollDue:
		p.start()
	case polled:
		p.finish(m)
	}
}

// Stop implements tasks.Stopper.
func (p *poller) Stop() {
	p.cancel()
	if p.polling != nil {
		<-p.polling
	}
	p.client.CloseIdleConnections()
}

// start begins a poll unless one is running.
func (p *poller) start() {
	if p.polling != nil {
		return
	}
	asked, etag := p.clock.Now(), p.etag
	p.polling = tasks.Go(p.ctx, func(ctx context.Context) {
		m := p.poll(ctx, etag)
		m.asked = asked
		p.ref.Tell(m)
	})
}

func (p *poller) finish(m polled) {
	p.polling = nil
	p.report(m.err)
	p.list.fault = m.err
	if m.err == nil {
		p.list.asked, p.list.received = m.asked, true
		if !m.unchanged {
			p.list.targets, p.etag = m.targets, m.etag
			p.list.changes++
		}
	}
	p.sink.Tell(p.list)
}

// report logs the change between failing and working polls.
func (p *poller) report(err error) {
	switch {
	case err != nil && p.list.fault == nil:
		p.log.Warn("lister: poll failed, the last list stays", "url", p.url, "error", err)
	case err == nil && p.list.fault != nil:
		p.log.Info("lister: polls work again", "url", p.url)
	}
}

// poll asks the platform once. It runs outside of the task.
func (p *poller) poll(ctx context.Context, etag string) polled {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return polled{err: fmt.Errorf("build request: %w", err)}
	}
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return polled{err: fmt.Errorf("ask platform: %w", err)}
	}
	defer func() { _ = response.Body.Close() }()
	return p.read(response, etag)
}

func (p *poller) read(response *http.Response, etag string) polled {
	switch {
	case response.StatusCode == http.StatusNotModified && etag != "":
		return polled{unchanged: true}
	case response.StatusCode != http.StatusOK:
		_, _ = io.CopyN(io.Discard, response.Body, drainBytes)
		return polled{err: fmt.Errorf("%w: status %d", ErrStatus, response.StatusCode)}
	}
	targets, err := Decode(response.Body, p.limit)
	if err != nil {
		return polled{err: fmt.Errorf("decode list: %w", err)}
	}
	return polled{targets: targets, etag: response.Header.Get("ETag")}
}

// newHTTPClient returns a client that follows no redirects: the list comes
// from the configured address only.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
