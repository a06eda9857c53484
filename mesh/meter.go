package mesh

import (
	"context"
	"fmt"
	"time"

	"rhubarbrack/ident"
)

// Meter records metrics of a control host.
type Meter interface {
	Count(name string, team ident.Team, class ident.Class, n int64)
	Observe(name string, team ident.Team, class ident.Class, d time.Duration)
}

// noMeter discards all metrics.
type noMeter struct{}

func (noMeter) Count(string, ident.Team, ident.Class, int64)           {}
func (noMeter) Observe(string, ident.Team, ident.Class, time.Duration) {}

// timed runs a call, counts its result under the given name, and records the
// latency if it succeeds.
func (c *Control) timed(ctx context.Context, name string, call func(context.Context) error) error {
	began := c.clock.Now()
	err := call(ctx)
	if err != nil {
		c.meter.Count(name+"-failed", "", "", 1)
		return fmt.Errorf("%s: %w", name, err)
	}
	c.meter.Count(name, "", "", 1)
	c.meter.Observe(name, "", "", c.clock.Now().Sub(began))
	return nil
}
