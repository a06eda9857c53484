package mesh

import (
	"maps"
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

// totalsInterval is how long the totals of all reports are used before they
// are computed anew. It is short beside the interval of heartbeats.
const totalsInterval = 100 * time.Millisecond

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

// targetTotals adds up the reports on a target.
type targetTotals struct {
	all TargetStatsRecord
	// failingHosts is the number of hosts at which attempts failed.
	failingHosts int
}

func (t *targetTotals) add(record TargetStatsRecord) {
	t.all.Target = record.Target
	t.all.Running += record.Running
	t.all.Failed += record.Failed
	t.all.Served += record.Served
	if record.Failed > 0 {
		t.failingHosts++
	}
}

func (t *targetTotals) isFailing() bool {
	return t.all.Failed >= minFailedAttempts && t.failingHosts >= minFailedHosts
}

// statsTotals holds the sums of all reports on busy and on failing targets, in
// the order of a list, and the reports that were added up.
type statsTotals struct {
	at      time.Time
	tag     uint64
	records []TargetStatsRecord
	limits  []targetLimit
	reports map[ident.Host]statsReport
}

// totalStats adds up the reports that are not outdated.
func totalStats(now time.Time, list *listing, reports map[ident.Host]statsReport) *statsTotals {
	s := &statsTotals{at: now, tag: list.tag, reports: maps.Clone(reports), limits: totalLimits(list, reports)}
	totals := map[string]*targetTotals{}
	for _, report := range reports {
		for _, record := range report.stats {
			t, ok := totals[record.Target]
			if !ok {
				t = &targetTotals{}
				totals[record.Target] = t
			}
			t.add(record)
		}
	}
	for _, target := range list.targets {
		t, ok := totals[string(target.id)]
		if !ok || !t.isFailing() && float64(t.all.Running) < busyThreshold*float64(target.slots) {
			continue
		}
		record := t.all
		if !t.isFailing() {
			record.Failed, record.Served = 0, 0
		}
		s.records = append(s.records, record)
	}
	return s
}

// without returns the totals less the report of a host.
func (s *statsTotals) without(host ident.Host) []TargetStatsRecord {
	own := map[string]TargetStatsRecord{}
	for _, record := range s.reports[host].stats {
		own[record.Target] = record
	}
	list := make([]TargetStatsRecord, len(s.records))
	for i, record := range s.records {
		o := own[record.Target]
		record.Running -= o.Running
		if record.Failed > 0 {
			record.Failed, record.Served = record.Failed-o.Failed, record.Served-o.Served
		}
		list[i] = record
	}
	return list
}

// remoteStats returns the in-flight requests at busy targets and the results at
// failing targets, summed over all hosts except the one that they are sent to.
func (r *registry) remoteStats(now time.Time, exclude ident.Host) []TargetStatsRecord {
	if r.list == nil {
		return nil
	}
	if r.totals == nil || r.totals.tag != r.list.tag || now.Sub(r.totals.at) >= totalsInterval {
		maps.DeleteFunc(r.reports, func(_ ident.Host, report statsReport) bool { return now.Sub(report.at) > statsLifetime })
		r.totals = totalStats(now, r.list, r.reports)
	}
	return r.totals.without(exclude)
}
