package mesh

import (
	"time"

	"rhubarbrack/ident"
)

// statsReport is the latest stats report of an entry host.
type statsReport struct {
	at    time.Time
	stats []TargetStatsRecord
}

// statsLifetime is how long a stats report is taken into account.
const statsLifetime = time.Second

// busyThreshold is the share of its slots in use from which a target's load is
// reported to entry hosts. Each host estimates the load of less busy targets
// by itself.
const busyThreshold = 0.4

const (
	// minFailedAttempts is the number of failed attempts of all hosts from
	// which a target counts as failing. Single failures are normal.
	minFailedAttempts = 3
	// minFailedHosts is the number of hosts that must have seen failures: a
	// single host may have lost its own connectivity to the target.
	minFailedHosts = 2
)

// targetTotals adds up the reports on a target. own is the report of the host
// that the totals are sent to.
type targetTotals struct {
	all TargetStatsRecord
	own TargetStatsRecord
	// failingHosts is the number of hosts at which attempts failed.
	failingHosts int
}

// remoteStats returns the in-flight requests at busy targets and the results at
// failing targets, summed over all hosts except the one that they are sent to.
func (r *registry) remoteStats(now time.Time, exclude ident.Host) []TargetStatsRecord {
	if r.list == nil {
		return nil
	}
	totals := map[string]*targetTotals{}
	for host, report := range r.reports {
		if now.Sub(report.at) > statsLifetime {
			delete(r.reports, host)
			continue
		}
		for _, record := range report.stats {
			t, ok := totals[record.Target]
			if !ok {
				t = &targetTotals{}
				totals[record.Target] = t
			}
			t.add(record, host == exclude)
		}
	}
	var list []TargetStatsRecord
	for _, t := range r.list.targets {
		s, ok := totals[string(t.id)]
		if !ok {
			continue
		}
		record := TargetStatsRecord{Target: string(t.id), Running: s.all.Running - s.own.Running}
		fails := s.all.Failed >= minFailedAttempts && s.failingHosts >= minFailedHosts
		if fails {
			record.Failed, record.Served = s.all.Failed-s.own.Failed, s.all.Served-s.own.Served
		}
		if fails || float64(s.all.Running) >= busyThreshold*float64(t.slots) {
			list = append(list, record)
		}
	}
	return list
}

func (t *targetTotals) add(record TargetStatsRecord, own bool) {
	t.all.Running += record.Running
	t.all.Failed += record.Failed
	t.all.Served += record.Served
	if record.Failed > 0 {
		t.failingHosts++
	}
	if own {
		t.own = record
	}
}
