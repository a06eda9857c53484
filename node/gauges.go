package node

import (
	"net/http"

	"rhubarbrack/ctrl"
	"rhubarbrack/ident"
	"rhubarbrack/meter"
	"rhubarbrack/relay"
)

// entryMetrics returns a handler that serves the metrics of a meter. It updates the
// gauges of the accepted requests at each request.
func entryMetrics(admission *relay.Admission, m *meter.Meter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if work, err := admission.Work(r.Context()); err == nil {
			m.SetGauge("accepted-requests", int64(work.Requests()))
			m.SetGauge("accepted-begun", int64(work.Begun()))
			m.SetGauge("accepted-bytes", work.Bytes())
		}
		m.Handler().ServeHTTP(w, r)
	})
}

// replicaMetrics returns a handler that serves the metrics of a meter. It updates
// the gauges of the host's replica at each request.
func replicaMetrics(replica *ctrl.Replica, host ident.Host, m *meter.Meter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if status, err := replica.Status(r.Context()); err == nil {
			m.SetGauge("term", int64(status.Term()))
			m.SetGauge("revision-committed", int64(status.CommitRevision()))
			m.SetGauge("revision-applied", int64(status.AppliedRevision()))
			m.SetGauge("revision-snapshot", int64(status.SnapshotRevision()))
			m.SetGauge("log-entries", int64(status.LogEntries()))
			m.SetGauge("log-bytes", int64(status.LogBytes()))
			m.SetGauge("control-hosts", int64(len(status.Members())))
			voters := int64(0)
			for _, member := range status.Members() {
				if member.Member().IsVoter() {
					voters++
				}
			}
			m.SetGauge("control-voters", voters)
			isLeader := int64(0)
			if status.Leader() == host {
				isLeader = 1
			}
			m.SetGauge("leads", isLeader)
		}
		m.Handler().ServeHTTP(w, r)
	})
}
