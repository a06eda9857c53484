package node

import (
	"context"
	"fmt"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/route"
	"rhubarbrack/shift"
	"rhubarbrack/state"
	"rhubarbrack/tasks"
)

// regionPicker realises the planned shares: it selects the region of each request so
// that every run of requests follows the shares closely.
type regionPicker struct {
	ref *tasks.Ref
}

var _ route.RegionPicker = (*regionPicker)(nil)

// startRegionPicker starts the task for requests that come in at a region.
func startRegionPicker(ctx context.Context, system *tasks.System, origin ident.Region) (*regionPicker, error) {
	t := &pickerTask{origin: origin, pickers: make(map[ident.Service]*shift.Picker)}
	ref, err := tasks.Spawn(ctx, system, "node-picker", t)
	if err != nil {
		return nil, fmt.Errorf("start picker: %w", err)
	}
	return &regionPicker{ref: ref}, nil
}

// configChanged passes the shares of a new configuration on.
func (p *regionPicker) configChanged(config *state.Config) { p.ref.Tell(config) }

// noRegionRetryAfter is when a request without a planned region may come again: a plan
// is made within seconds of the first target.
const noRegionRetryAfter = 2 * time.Second

// noRegionError refuses a request whose service has no shares yet.
type noRegionError struct{ service ident.Service }

var _ route.Refusal = noRegionError{}

// Error implements error.
func (n noRegionError) Error() string {
	return fmt.Sprintf("service %s has no planned region", n.service)
}

// Reason implements route.Refusal.
func (n noRegionError) Reason() string { return "no-shares" }

// RetryAfter implements route.Refusal.
func (n noRegionError) RetryAfter() time.Duration { return noRegionRetryAfter }

// Pick implements route.Regions.
func (p *regionPicker) Pick(ctx context.Context, service ident.Service, _ ident.Class) (ident.Region, error) {
	region, err := tasks.Ask(ctx, p.ref, func(r tasks.Reply[ident.Region]) any {
		return pickRequest{service: service, reply: r}
	})
	if err != nil {
		return "", fmt.Errorf("pick region: %w", err)
	}
	if region == "" {
		return "", noRegionError{service: service}
	}
	return region, nil
}

type pickRequest struct {
	service ident.Service
	reply   tasks.Reply[ident.Region]
}

// pickerTask is the task behind picker.
type pickerTask struct {
	origin  ident.Region
	pickers map[ident.Service]*shift.Picker
}

var _ tasks.Task = (*pickerTask)(nil)

// Handle implements tasks.Task.
func (p *pickerTask) Handle(message any) {
	switch m := message.(type) {
	case *state.Config:
		p.update(m)
	case pickRequest:
		if q, ok := p.pickers[m.service]; ok {
			m.reply.Send(q.Pick())
		} else {
			m.reply.Send("")
		}
	}
}

// update keeps the sequences whose shares have not changed, so that their
// credits go on.
func (p *pickerTask) update(config *state.Config) {
	for _, s := range config.Services() {
		planned, ok := config.Shares(s.Service(), p.origin)
		if !ok {
			delete(p.pickers, s.Service())
			continue
		}
		parts := make(map[ident.Region]float64)
		for _, part := range planned.Shares() {
			parts[part.Region()] = part.Fraction()
		}
		shares, err := shift.NewShares(parts)
		if err != nil {
			continue
		}
		if q, ok := p.pickers[s.Service()]; ok {
			q.SetShares(shares)
		} else {
			p.pickers[s.Service()] = shift.NewPicker(shares)
		}
	}
}
