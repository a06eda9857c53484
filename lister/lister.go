package lister

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/intact"
	"rhubarbrack/tasks"
)

const (
	// defaultInterval uses a small part of the 2 s within which a leaving target
	// must stop receiving requests.
	defaultInterval = 500 * time.Millisecond
	// defaultTimeout limits the duration of one poll.
	defaultTimeout = 2 * time.Second
	// defaultMaxListBytes is enough for about 100,000 targets.
	defaultMaxListBytes = 16 << 20
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 64 << 10
	// maxDrainBytes limits how much of an error response is read so that its
	// connection can be reused.
	maxDrainBytes = 4 << 10
)

// Listener receives a List after each poll, including failed polls. Tell must not
// block. It is usually the mailbox of a task.
type Listener interface {
	Tell(message any)
}

// Lister is the task that polls the platform. It passes a List to its listener
// after each poll.
type Lister struct {
	ref  *tasks.Ref
	done chan struct{}
}

type settings struct {
	clock        clock.Clock
	log          *slog.Logger
	name         string
	interval     time.Duration
	timeout      time.Duration
	maxListBytes int64
}

// Option changes a default of StartLister.
type Option func(*settings)

// WithClock sets the clock. The default is the system clock.
func WithClock(c clock.Clock) Option { return func(s *settings) { s.clock = c } }

// WithLogger sets the logger. The default is slog.Default.
func WithLogger(l *slog.Logger) Option { return func(s *settings) { s.log = l } }

// WithName sets the name of the task. The default is "lister".
func WithName(name string) Option { return func(s *settings) { s.name = name } }

// WithInterval sets the time between polls. The default is 500 ms.
func WithInterval(d time.Duration) Option { return func(s *settings) { s.interval = d } }

// WithTimeout limits the duration of one poll. The default is 2 s.
func WithTimeout(d time.Duration) Option { return func(s *settings) { s.timeout = d } }

// WithMaxListBytes limits the size of the list. The default is 16 MiB.
func WithMaxListBytes(n int64) Option { return func(s *settings) { s.maxListBytes = n } }

// StartLister starts a task that polls url immediately and then at each interval
// until ctx ends. Polls do not overlap: an interval is skipped while a poll is in
// flight.
func StartLister(ctx context.Context, system *tasks.System, url string, listener Listener, options ...Option) (*Lister, error) {
	s := settings{
		clock: clock.Wall(), log: slog.Default(), name: "lister",
		interval: defaultInterval, timeout: defaultTimeout, maxListBytes: defaultMaxListBytes,
	}
	for _, apply := range options {
		apply(&s)
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &poller{settings: s, url: url, listener: listener, ctx: ctx, cancel: cancel,
		client: newHTTPClient()}
	ref, err := tasks.Spawn(ctx, system, s.name, p)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start platform lister: %w", err)
	}
	p.ref = ref
	ref.Tell(pollDue{})
	tickerDone := tasks.Every(ctx, s.clock, s.interval, ref, pollDue{})
	l := &Lister{ref: ref, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		<-ref.Done()
		cancel()
		<-tickerDone
	}()
	return l, nil
}

// Stop stops the task without waiting for its end; see Done.
func (l *Lister) Stop() { l.ref.Stop() }

// Done returns a channel that is closed when the task and its timer have
// ended.
func (l *Lister) Done() <-chan struct{} { return l.done }

// Err returns the panic that ended the task, or nil. It is valid once Done is
// closed.
func (l *Lister) Err() error { return l.ref.Err() }

// pollDue tells the poller to start a poll.
type pollDue struct{}

// pollResult is the result of a poll.
type pollResult struct {
	requestedAt time.Time
	notModified bool
	targets     []Target
	etag        string
	err         error
}

// poller is the state of the task. pollDone is closed when the poll in flight
// ends, and nil if there is none.
type poller struct {
	settings
	url      string
	listener Listener
	client   *http.Client
	ctx      context.Context
	cancel   context.CancelFunc
	ref      *tasks.Ref

	pollDone <-chan struct{}
	list     List
	etag     string
}

var (
	_ tasks.Task    = (*poller)(nil)
	_ tasks.Stopper = (*poller)(nil)
)

// Handle implements tasks.Task.
func (p *poller) Handle(message any) {
	switch m := message.(type) {
	case pollDue:
		p.startPoll()
	case pollResult:
		p.finishPoll(m)
	}
}

// Stop implements tasks.Stopper.
func (p *poller) Stop() {
	p.cancel()
	if p.pollDone != nil {
		<-p.pollDone
	}
	p.client.CloseIdleConnections()
}

// startPoll starts a poll unless one is in flight.
func (p *poller) startPoll() {
	if p.pollDone != nil {
		return
	}
	requestedAt, etag := p.clock.Now(), p.etag
	p.pollDone = tasks.Go(p.ctx, func(ctx context.Context) {
		m := p.poll(ctx, etag)
		m.requestedAt = requestedAt
		p.ref.Tell(m)
	})
}

// finishPoll updates the list with the result of a poll and passes it to the
// listener.
func (p *poller) finishPoll(m pollResult) {
	p.pollDone = nil
	p.logTransition(m.err)
	p.list.pollErr = m.err
	if m.err == nil {
		p.list.requestedAt, p.list.received = m.requestedAt, true
		if !m.notModified {
			p.list.targets, p.etag = m.targets, m.etag
			p.list.changes++
		}
	}
	p.listener.Tell(p.list)
}

// logTransition logs when polls start to fail and when they succeed again.
func (p *poller) logTransition(err error) {
	switch {
	case err != nil && p.list.pollErr == nil:
		p.log.Warn("lister: poll failed, keeping the last list", "url", p.url, "error", err)
	case err == nil && p.list.pollErr != nil:
		p.log.Info("lister: polls succeed again", "url", p.url)
	}
}

// poll requests the list once. It runs in its own goroutine, outside the task.
func (p *poller) poll(ctx context.Context, etag string) pollResult {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return pollResult{err: fmt.Errorf("build request: %w", err)}
	}
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return pollResult{err: fmt.Errorf("send request: %w", err)}
	}
	defer func() { _ = response.Body.Close() }()
	return p.readResponse(response, etag)
}

func (p *poller) readResponse(response *http.Response, etag string) pollResult {
	switch {
	case response.StatusCode == http.StatusNotModified && etag != "":
		return pollResult{notModified: true}
	case response.StatusCode != http.StatusOK:
		_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
		return pollResult{err: fmt.Errorf("%w: status %d", ErrStatus, response.StatusCode)}
	}
	targets, err := Decode(response.Body, p.maxListBytes)
	if err != nil {
		return pollResult{err: fmt.Errorf("decode list: %w", err)}
	}
	return pollResult{targets: targets, etag: response.Header.Get("ETag")}
}

// newHTTPClient returns a client that does not follow redirects, so that the list
// can come only from the configured address.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport:     intact.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxHeaderBytes}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
