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

// polls passes the end of each poll to a benchmark.
type polls chan struct{}

func (p polls) Tell(any) { p <- struct{}{} }

// Reports the bytes of one poll of the platform's list, whose answer has an
// entity tag, and of the list itself.
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
				ended := make(polls)
				l, err := StartLister(b.Context(), system, server.URL, ended, WithInterval(time.Millisecond))
				if err != nil {
					b.Fatal(err)
				}
				<-ended
				first, done := t.BytesReceived()+t.BytesSent(), 0
				for b.Loop() {
					<-ended
					done++
				}
				b.ReportMetric(float64(t.BytesReceived()+t.BytesSent()-first)/float64(done), "poll-bytes")
				l.Stop()
				for stopped := false; !stopped; {
					select {
					case <-ended:
					case <-l.Done():
						stopped = true
					}
				}
			})
		}
	}
}
