package mesh

import (
	"context"
	"time"

	"rhubarbrack/guard"
	"rhubarbrack/ident"
)

// suspectResendTime is for how long a change about requests that may crash
// targets is sent with each heartbeat, because a heartbeat may be lost.
const suspectResendTime = 3 * time.Second

// The records about requests that may crash targets, see guard.Report. A time is
// sent as its age, since clocks differ.
type (
	// SuspectRecord holds the processes that ended while they ran a request
	// with the fingerprint. ClearedAge is negative if there was no response.
	SuspectRecord struct {
		Fingerprint [32]byte
		Crashes     []CrashRecord
		ClearedAge  time.Duration
	}
	// CrashRecord is the end of a process that started at a time in Unix
	// milliseconds.
	CrashRecord struct {
		Target  string
		Started int64
		Age     time.Duration
	}
)

func newSuspectRecords(now time.Time, reports []guard.Report) []SuspectRecord {
	var records []SuspectRecord
	for _, r := range reports {
		record := SuspectRecord{Fingerprint: r.Fingerprint(), ClearedAge: -1}
		if !r.ClearedAt().IsZero() {
			record.ClearedAge = max(0, now.Sub(r.ClearedAt()))
		}
		for _, c := range r.Crashes() {
			record.Crashes = append(record.Crashes, CrashRecord{
				Target: string(c.Process().Target()), Started: c.Process().StartedAt(), Age: now.Sub(c.At()),
			})
		}
		records = append(records, record)
	}
	return records
}

func suspectReports(now time.Time, records []SuspectRecord) []guard.Report {
	var reports []guard.Report
	for _, r := range records {
		var clearedAt time.Time
		if r.ClearedAge >= 0 {
			clearedAt = now.Add(-r.ClearedAge)
		}
		var crashes []guard.Crash
		for _, c := range r.Crashes {
			crashes = append(crashes, guard.NewCrash(guard.NewProcess(ident.Target(c.Target), c.Started), now.Add(-c.Age)))
		}
		reports = append(reports, guard.NewReport(r.Fingerprint, crashes, clearedAt))
	}
	return reports
}

// addSuspects adds what this host has learned lately of requests that may crash
// targets to a heartbeat for the leader, or all that it knows if that leader has
// not been told yet.
func (t *controlClientTask) addSuspects(ctx context.Context, heartbeat *HeartbeatRecord, isTold bool, now time.Time) {
	since := time.Time{}
	if isTold {
		since = now.Add(-suspectResendTime)
	}
	reports, err := t.listener.SuspectReports(ctx, since)
	if err != nil {
		t.log.Warn("mesh: heartbeat without suspected requests", "error", err)
	}
	heartbeat.Suspects = newSuspectRecords(now, reports)
}

// applySuspects applies what a reply of the leader says about requests that may
// crash targets.
func (t *controlClientTask) applySuspects(m heartbeatDone) {
	m.peer.isTold = m.peer.isTold || m.toLeader
	if m.record.SuspectsTag == m.peer.suspectsTag {
		return
	}
	if m.record.SuspectsTag == 0 {
		// The leader has started again and knows nothing.
		m.peer.isTold = false
	}
	m.peer.suspectsTag = m.record.SuspectsTag
	t.listener.MergeSuspects(suspectReports(m.sent, m.record.Suspects))
}

// addSuspects merges what an entry host has reported and adds what the host does
// not have yet to the reply.
func (r *registry) addSuspects(now time.Time, reply HeartbeatReplyRecord, record HeartbeatRecord) HeartbeatReplyRecord {
	r.suspects.Merge(now, suspectReports(now, record.Suspects))
	r.suspects.Expire(now)
	reply.SuspectsTag = r.suspects.Tag()
	if reply.SuspectsTag != record.SuspectsTag {
		reply.Suspects = newSuspectRecords(now, r.suspects.Reports(time.Time{}))
	}
	return reply
}
