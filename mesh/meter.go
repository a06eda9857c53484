package mesh

import (
	"context"
	"fmt"
	"time"

	"rhubarbrack/ident"
)

// Meter counts what a control host does.
type Meter interface {
	Count(name string, team ident.Team, class ident.Class, n int64)
	Observe(name string, team ident.Team, class ident.Class, d time.Duration)
}

// noMeter drops all figures.
type noMeter struct{}

func (noMeter) Count(string, ident.Team, ident.Class, int64)           {}
func (noMeter) Observe(string, ident.Team, ident.Class, time.Duration) {}

// timed carries out an order or a reading of the list, counts its outcome and
// notes the time of each that succeeds.
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
