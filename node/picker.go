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

// regionPicker selects the region of each request according to the planned
// shares. Every sequence of requests stays close to the shares.
type regionPicker struct {
	ref *tasks.Ref
}

var _ route.RegionPicker = (*regionPicker)(nil)

// startRegionPicker starts the task for requests received in the origin region.
func startRegionPicker(ctx context.Context, system *tasks.System, origin ident.Region) (*regionPicker, error) {
	t := &pickerTask{origin: origin, pickers: make(map[ident.Service]*shift.Picker)}
	ref, err := tasks.Spawn(ctx, system, "node-picker", t)
	if err != nil {
		return nil, fmt.Errorf("start region picker: %w", err)
	}
	return &regionPicker{ref: ref}, nil
}

// configChanged applies the shares of a new configuration.
func (p *regionPicker) configChanged(config *state.Config) { p.ref.Tell(config) }

// noRegionRetryAfter is the delay before a retry of a request without a planned
// region: shares are planned within seconds of the first target.
const noRegionRetryAfter = 2 * time.Second

// noRegionError is the refusal of a request whose service has no planned shares.
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

// Pick implements route.RegionPicker.
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

// pickerTask owns the pickers of all services.
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
		if picker, ok := p.pickers[m.service]; ok {
			m.reply.Send(picker.Pick())
		} else {
			m.reply.Send("")
		}
	}
}

// update applies the shares of a configuration. It updates existing pickers in
// place, so that they keep their accumulated credits.
func (p *pickerTask) update(config *state.Config) {
	for _, s := range config.Services() {
		planned, ok := config.Shares(s.Service(), p.origin)
		if !ok {
			delete(p.pickers, s.Service())
			continue
		}
		fractions := make(map[ident.Region]float64)
		for _, share := range planned.Shares() {
			fractions[share.Region()] = share.Fraction()
		}
		shares, err := shift.NewShares(fractions)
		if err != nil {
			continue
		}
		if picker, ok := p.pickers[s.Service()]; ok {
			picker.SetShares(shares)
		} else {
			p.pickers[s.Service()] = shift.NewPicker(shares)
		}
	}
}
