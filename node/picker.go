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

// picker realises the planned shares: it selects the region of each request so
// that every run of requests follows the shares closely.
type picker struct {
	ref *tasks.Ref
}

var _ route.RegionPicker = (*picker)(nil)

// startPicker starts the task for requests that come in at a region.
func startPicker(ctx context.Context, system *tasks.System, origin ident.Region) (*picker, error) {
	t := &picking{origin: origin, sequences: make(map[ident.Service]*shift.Picker)}
	ref, err := tasks.Spawn(ctx, system, "node-picker", t)
	if err != nil {
		return nil, fmt.Errorf("start picker: %w", err)
	}
	return &picker{ref: ref}, nil
}

// configChanged passes the shares of a new configuration on.
func (p *picker) configChanged(config *state.Config) { p.ref.Tell(config) }

// planRetry is when a request without a planned region may come again: a plan
// is made within seconds of the first target.
const planRetry = 2 * time.Second

// noRegion refuses a request whose service has no shares yet.
type noRegion struct{ service ident.Service }

var _ route.Refusal = noRegion{}

// Error implements error.
func (n noRegion) Error() string { return fmt.Sprintf("service %s has no planned region", n.service) }

// Reason implements route.Refusal.
func (n noRegion) Reason() string { return "no-shares" }

// RetryAfter implements route.Refusal.
func (n noRegion) RetryAfter() time.Duration { return planRetry }

// Pick implements route.Regions.
func (p *picker) Pick(ctx context.Context, service ident.Service, _ ident.Class) (ident.Region, error) {
	region, err := tasks.Ask(ctx, p.ref, func(r tasks.Reply[ident.Region]) any {
		return pick{service: service, reply: r}
	})
	if err != nil {
		return "", fmt.Errorf("pick region: %w", err)
	}
	if region == "" {
		return "", noRegion{service: service}
	}
	return region, nil
}

type pick struct {
	service ident.Service
	reply   tasks.Reply[ident.Region]
}

// picking is the task behind picker.
type picking struct {
	origin    ident.Region
	sequences map[ident.Service]*shift.Picker
}

var _ tasks.Task = (*picking)(nil)

// Handle implements tasks.Task.
func (p *picking) Handle(message any) {
	switch m := message.(type) {
	case *state.Config:
		p.update(m)
	case pick:
		if q, ok := p.sequences[m.service]; ok {
			m.reply.Send(q.Pick())
		} else {
			m.reply.Send("")
		}
	}
}

// update keeps the sequences whose shares have not changed, so that their
// credits go on.
func (p *picking) update(config *state.Config) {
	for _, s := range config.Services() {
		planned, ok := config.Shares(s.Service(), p.origin)
		if !ok {
			delete(p.sequences, s.Service())
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
		if q, ok := p.sequences[s.Service()]; ok {
			q.SetShares(shares)
		} else {
			p.sequences[s.Service()] = shift.NewPicker(shares)
		}
	}
}
