package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// Handle implements tasks.Task.
func (t *prober) Handle(message any) {
	switch m := message.(type) {
	case roundDue:
		for id := range t.entries {
			t.enqueue(id)
		}
	case setEndpoints:
		t.replace(m.endpoints)
	case probed:
		t.finish(m)
	}
	t.start()
}

// Stop implements tasks.Stopper.
func (t *prober) Stop() {
	t.cancel()
	t.work.Wait()
	t.client.CloseIdleConnections()
}

// replace keeps what is known of the targets that stay at their address.
func (t *prober) replace(endpoints []Endpoint) {
	next := make(map[ident.Target]*entry, len(endpoints))
	for _, e := range endpoints {
		if old, ok := t.entries[e.target]; ok && old.report.endpoint == e {
			next[e.target] = old
			continue
		}
		next[e.target] = &entry{report: Report{endpoint: e}}
	}
	t.entries = next
	t.queue = t.queue[:0]
	for id, e := range t.entries {
		if e.waiting {
			t.queue = append(t.queue, id)
		} else if e.report.healthAt.IsZero() {
			t.enqueue(id)
		}
	}
}

func (t *prober) enqueue(id ident.Target) {
	e := t.entries[id]
	if e.waiting || e.running {
		return
	}
	e.waiting = true
	t.queue = append(t.queue, id)
}

// start begins waiting probes up to the bound.
func (t *prober) start() {
	for t.running < t.parallel && len(t.queue) > 0 {
		e := t.entries[t.queue[0]]
		t.queue = t.queue[1:]
		e.waiting, e.running = false, true
		t.running++
		t.work.Add(1)
		endpoint, asked := e.report.endpoint, t.clock.Now()
		tasks.Go(t.ctx, func(ctx context.Context) {
			defer t.work.Done()
			m := t.probe(ctx, endpoint)
			m.asked = asked
			t.ref.Tell(m)
		})
	}
}

// finish takes over what a probe received, unless the target has left the
// list or moved to another address meanwhile.
func (t *prober) finish(m probed) {
	t.running--
	e, ok := t.entries[m.endpoint.target]
	if !ok || e.report.endpoint != m.endpoint {
		return
	}
	e.running = false
	t.note(e.report.fault, m)
	e.report.fault = m.err
	if health, ok := m.health.Get(); ok {
		e.report.state, e.report.healthAt = health.State, m.asked
	}
	if load, ok := m.load.Get(); ok {
		e.report.load = load
		e.report.loadAt = m.asked.Add(-time.Duration(load.AgeMillis) * time.Millisecond)
	}
	t.sink.Tell(e.report)
}

// note logs the change between failing and working probes.
func (t *prober) note(before error, m probed) {
	switch {
	case m.err != nil && before == nil:
		t.log.Warn("target: probe failed", "target", m.endpoint.target, "error", m.err)
	case m.err == nil && before != nil:
		t.log.Info("target: probes work again", "target", m.endpoint.target)
	}
}

// probe asks for health and load. It runs outside of the task.
func (t *prober) probe(ctx context.Context, e Endpoint) probed {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	m := probed{endpoint: e}
	var health HealthRecord
	if m.err = t.get(ctx, e, PathHealth, &health); m.err == nil {
		m.err = health.check()
	}
	if m.err != nil {
		m.err = fmt.Errorf("health: %w", m.err)
		return m
	}
	m.health = ident.Some(health)
	var load LoadRecord
	if m.err = t.get(ctx, e, PathLoad, &load); m.err == nil {
		m.err = load.check()
	}
	if m.err != nil {
		m.err = fmt.Errorf("load: %w", m.err)
		return m
	}
	m.load = ident.Some(load)
	return m
}

// get reads one bounded report. Unknown fields are left out, so that targets
// can report more.
func (t *prober) get(ctx context.Context, e Endpoint, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.address+path, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	response, err := t.client.Do(request)
	if err != nil {
		return fmt.Errorf("ask: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, reportBytes+1))
	switch {
	case err != nil:
		return fmt.Errorf("read: %w", err)
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("%w: status %d", ErrMalformedReport, response.StatusCode)
	case len(body) > reportBytes:
		return fmt.Errorf("%w: more than %d bytes", ErrMalformedReport, reportBytes)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedReport, err)
	}
	return nil
}

func (h HealthRecord) check() error {
	switch h.State {
	case Starting, Ready, Leaving, Broken:
		return nil
	}
	return fmt.Errorf("%w: state %q", ErrMalformedReport, h.State)
}

func (l LoadRecord) check() error {
	for _, n := range []int64{int64(l.Slots), int64(l.Busy), int64(l.Queued), l.AgeMillis} {
		if n < 0 || n > maxReported {
			return fmt.Errorf("%w: number %d", ErrMalformedReport, n)
		}
	}
	return nil
}
