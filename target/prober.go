package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/intact"
	"rhubarbrack/tasks"
)

// Handle implements tasks.Task.
func (t *proberTask) Handle(message any) {
	switch m := message.(type) {
	case roundDue:
		for id := range t.targets {
			t.enqueue(id)
		}
	case setEndpoints:
		t.replace(m.endpoints)
	case probeDone:
		t.finish(m)
	}
	t.startQueued()
}

// Stop implements tasks.Stopper.
func (t *proberTask) Stop() {
	t.cancel()
	t.probes.Wait()
}

// replace sets the targets. It keeps the state of targets whose address is
// unchanged.
func (t *proberTask) replace(endpoints []Endpoint) {
	next := make(map[ident.Target]*targetState, len(endpoints))
	for _, e := range endpoints {
		if old, ok := t.targets[e.target]; ok && old.report.endpoint == e {
			next[e.target] = old
			continue
		}
		next[e.target] = &targetState{report: Report{endpoint: e}}
	}
	t.targets = next
	t.queue = t.queue[:0]
	for id, s := range t.targets {
		if s.queued {
			t.queue = append(t.queue, id)
		} else if s.report.healthAt.IsZero() {
			t.enqueue(id)
		}
	}
}

func (t *proberTask) enqueue(id ident.Target) {
	s := t.targets[id]
	if s.queued || s.probing {
		return
	}
	s.queued = true
	t.queue = append(t.queue, id)
}

// startQueued starts queued probes up to the limit.
func (t *proberTask) startQueued() {
	for t.running < t.parallel && len(t.queue) > 0 {
		s := t.targets[t.queue[0]]
		t.queue = t.queue[1:]
		s.queued, s.probing = false, true
		t.running++
		t.probes.Add(1)
		endpoint, startedAt := s.report.endpoint, t.clock.Now()
		tasks.Go(t.ctx, func(ctx context.Context) {
			defer t.probes.Done()
			m := t.probe(ctx, endpoint)
			m.startedAt = startedAt
			t.ref.Tell(m)
		})
	}
}

// finish stores the result of a probe, unless the target was removed or moved
// to another address in the meantime.
func (t *proberTask) finish(m probeDone) {
	t.running--
	s, ok := t.targets[m.endpoint.target]
	if !ok || s.report.endpoint != m.endpoint {
		return
	}
	s.probing = false
	t.logChange(s.report.err, m)
	s.report.err = m.err
	if health, ok := m.health.Get(); ok {
		s.report.state, s.report.healthAt = health.State, m.startedAt
	}
	if load, ok := m.load.Get(); ok {
		s.report.load = load
		s.report.loadAt = m.startedAt.Add(-time.Duration(load.AgeMillis) * time.Millisecond)
	}
	t.listener.Tell(s.report)
}

// logChange logs when the probes of a target start to fail or recover.
func (t *proberTask) logChange(before error, m probeDone) {
	switch {
	case m.err != nil && before == nil:
		t.log.Warn("target: probe failed", "target", m.endpoint.target, "error", m.err)
	case m.err == nil && before != nil:
		t.log.Info("target: probe recovered", "target", m.endpoint.target)
	}
}

// probe requests health and load over a connection of its own, so that a target
// cannot write the report of an earlier probe again. It runs outside the task.
func (t *proberTask) probe(ctx context.Context, e Endpoint) probeDone {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	client := newProbeClient()
	defer client.CloseIdleConnections()
	m := probeDone{endpoint: e}
	health, err := fetchHealth(ctx, client, e)
	if err != nil {
		m.err = fmt.Errorf("health: %w", err)
		return m
	}
	m.health = ident.Some(health)
	load, err := fetchLoad(ctx, client, e)
	if err != nil {
		m.err = fmt.Errorf("load: %w", err)
		return m
	}
	m.load = ident.Some(load)
	return m
}

func fetchHealth(ctx context.Context, client *http.Client, e Endpoint) (HealthRecord, error) {
	var health HealthRecord
	if err := fetchReport(ctx, client, e, PathHealth, &health); err != nil {
		return HealthRecord{}, fmt.Errorf("fetch report: %w", err)
	}
	return health, health.validate()
}

// fetchLoad reads the load. Without its slots it could be the copy of a health
// report.
func fetchLoad(ctx context.Context, client *http.Client, e Endpoint) (LoadRecord, error) {
	var load struct {
		LoadRecord
		Slots *int `json:"slots"`
	}
	if err := fetchReport(ctx, client, e, PathLoad, &load); err != nil {
		return LoadRecord{}, fmt.Errorf("fetch report: %w", err)
	}
	if load.Slots == nil {
		return LoadRecord{}, fmt.Errorf("%w: no slots", ErrMalformedReport)
	}
	load.LoadRecord.Slots = *load.Slots
	return load.LoadRecord, load.validate()
}

// newProbeClient returns a client that keeps a connection between the requests
// of one probe.
func newProbeClient() *http.Client {
	return &http.Client{
		Transport:     intact.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: defaultHeaderBytes}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// fetchReport reads one report of limited size. Unknown fields are ignored, so
// that targets can report more.
func fetchReport(ctx context.Context, client *http.Client, e Endpoint, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.address+path, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes+1))
	switch {
	case err != nil:
		return fmt.Errorf("read response: %w", err)
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("%w: status %d", ErrMalformedReport, response.StatusCode)
	case len(body) > maxReportBytes:
		return fmt.Errorf("%w: more than %d bytes", ErrMalformedReport, maxReportBytes)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedReport, err)
	}
	return nil
}

func (h HealthRecord) validate() error {
	switch h.State {
	case Starting, Ready, Leaving, Broken:
		return nil
	}
	return fmt.Errorf("%w: state %q", ErrMalformedReport, h.State)
}

func (l LoadRecord) validate() error {
	for _, n := range []int64{int64(l.Slots), int64(l.Busy), int64(l.Queued), l.AgeMillis} {
		if n < 0 || n > maxReportedValue {
			return fmt.Errorf("%w: number %d", ErrMalformedReport, n)
		}
	}
	return nil
}
