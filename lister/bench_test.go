package lister

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"rhubarbrack/tally"
	"rhubarbrack/tasks"
)

// pollNotifier is a Listener that signals the end of each poll to a benchmark.
type pollNotifier chan struct{}

func (p pollNotifier) Tell(any) { p <- struct{}{} }

// BenchmarkPollBytes measures the bytes on the wire of one poll, if the list is
// unchanged (304 by its entity tag) and if it is sent in full.
func BenchmarkPollBytes(b *testing.B) {
	for _, changed := range []bool{false, true} {
		for _, n := range []int{50, 630, 2520} {
			b.Run(fmt.Sprintf("changed=%v/targets=%d", changed, n), func(b *testing.B) {
				var record ListRecord
				for i := range n {
					record.Hosts = append(record.Hosts, TargetRecord{ID: fmt.Sprintf("target-%04d", i), Service: "bells",
						Address: fmt.Sprintf("10.%d.%d.1:8080", i>>8, i&255), Zone: "zone-001", Region: "region-01", Slots: 4, State: string(Live)})
				}
				list, err := json.Marshal(record)
				if err != nil {
					b.Fatal(err)
				}
				var served atomic.Int64
				server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					tag := `"1"`
					if changed {
						tag = fmt.Sprintf("%q", fmt.Sprint(served.Add(1)))
					}
					w.Header().Set("ETag", tag)
					if r.Header.Get("If-None-Match") == tag {
						w.WriteHeader(http.StatusNotModified)
						return
					}
					_, _ = w.Write(list)
				}))
				t := tally.New(server.Listener)
				server.Listener = t
				server.Start()
				defer server.Close()
				system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
				defer system.Shutdown()
				polled := make(pollNotifier)
				l, err := StartLister(b.Context(), system, server.URL, polled, WithInterval(time.Millisecond))
				if err != nil {
					b.Fatal(err)
				}
				<-polled
				before, polls := t.BytesReceived()+t.BytesSent(), 0
				for b.Loop() {
					<-polled
					polls++
				}
				b.ReportMetric(float64(t.BytesReceived()+t.BytesSent()-before)/float64(polls), "poll-bytes")
				l.Stop()
				for stopped := false; !stopped; {
					select {
					case <-polled:
					case <-l.Done():
						stopped = true
					}
				}
			})
		}
	}
}
