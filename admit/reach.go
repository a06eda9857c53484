package admit

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/reach"
	"rhubarbrack/spread"
)

// RecordReach records what the result of an attempt, over a new connection or
// an earlier one, says of the path to the targets. It returns the services that
// got out of reach or within reach again.
func (c *Controller) RecordReach(now time.Time, choice spread.Choice, result spread.Result, newConnection bool) []reach.Change {
	target := choice.Target()
	switch result {
	case spread.Served, spread.Failed, spread.Full, spread.Foreign:
		return c.contacted(now, target.Service(), newConnection)
	case spread.Lost:
		if !newConnection {
			c.tracker.ConnectionLost(now, target.Service())
			return nil
		}
		return c.failed(now, target)
	case spread.Unreachable, spread.Silent:
		return c.failed(now, target)
	}
	return nil
}

// RecordProbe records whether a target has responded to a probe. It returns the
// services that got out of reach or within reach again.
func (c *Controller) RecordProbe(now time.Time, target spread.Target, responded bool) []reach.Change {
	if responded {
		return c.contacted(now, target.Service(), true)
	}
	return c.failed(now, target)
}

func (c *Controller) failed(now time.Time, target spread.Target) []reach.Change {
	return c.tracker.Failed(now, target.Service(), target.ID(), c.table.Targets(target.Service()))
}

// contacted records a response of a target. The targets that were paused while
// their service was out of reach get requests again.
func (c *Controller) contacted(now time.Time, service ident.Service, newConnection bool) []reach.Change {
	wasCutOff := c.tracker.IsCutOff(service)
	changes := c.tracker.Contacted(now, service, newConnection)
	if wasCutOff {
		c.table.Resume(service)
	}
	return changes
}

// Probe is a health check that shows whether a target can be reached.
type Probe struct {
	target spread.Target
	path   string
}

// Target returns the target.
func (p Probe) Target() spread.Target { return p.target }

// Path returns the path of the health check.
func (p Probe) Path() string { return p.path }

// NeedsProbes reports whether probes may be due soon.
func (c *Controller) NeedsProbes(now time.Time) bool { return c.tracker.IsSuspicious(now) }

// TakeProbes returns the probes that are due. Each of them must be passed to
// RecordProbe when it ends.
func (c *Controller) TakeProbes(now time.Time) []Probe {
	var probes []Probe
	for _, name := range c.tracker.TakeProbes(now) {
		target, ok := c.table.ProbeTarget(now, name)
		if c.config == nil || c.table.Targets(name) == 0 {
			c.tracker.Forget(name)
			continue
		}
		if service, known := c.config.Service(name); ok && known {
			probes = append(probes, Probe{target: target, path: service.HealthPath()})
		}
	}
	return probes
}
