package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"rhubarbrack/tasks"
)

// copyingReports is a target that writes reports again, late: before the
// response to a request for a path, it writes the last report of copies[path] on
// that connection once more.
type copyingReports struct {
	copies   map[string]string
	listener net.Listener
	conns    sync.WaitGroup
	done     <-chan struct{}
	reports  reportServer
}

func startCopyingReports(t *testing.T, copies map[string]string) *copyingReports {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &copyingReports{copies: copies, listener: listener}
	s.done = tasks.Go(context.Background(), func(ctx context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			tasks.Go(ctx, func(context.Context) {
				defer s.conns.Done()
				s.serve(conn)
			})
		}
	})
	// It runs after the prober, which is started later, has ended.
	t.Cleanup(func() {
		_ = listener.Close()
		<-s.done
		s.conns.Wait()
	})
	return s
}

func (s *copyingReports) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for last := make(map[string]string); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		path := request.URL.Path
		body := *s.reports.health.Load()
		if path == PathLoad {
			body = *s.reports.load.Load()
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		_, _ = io.WriteString(conn, last[s.copies[path]]+answer)
		last[path] = answer
	}
}

// Guards against the late copy of a report that is taken for the next one: a
// target that leaves then looks ready, or a busy one idle.
func TestProberCopies(t *testing.T) {
	cases := []struct {
		name   string
		copies map[string]string
		// loaded and wantErr are those of each round.
		loaded  bool
		wantErr error
	}{
		{name: "none", loaded: true},
		{name: "health of the previous round", copies: map[string]string{PathHealth: PathHealth}, loaded: true},
		{name: "load of the previous round", copies: map[string]string{PathLoad: PathLoad}, loaded: true},
		{name: "load as health", copies: map[string]string{PathHealth: PathLoad}, loaded: true},
		{name: "health as load", copies: map[string]string{PathLoad: PathHealth}, wantErr: ErrMalformedReport},
	}
	rounds := []struct {
		health, load string
		state        State
		busy         int
	}{
		{health: `{"state":"ready"}`, load: `{"slots":4,"busy":0,"queued":0}`, state: Ready},
		{health: `{"state":"leaving"}`, load: `{"slots":4,"busy":3,"queued":1}`, state: Leaving, busy: 3},
		{health: `{"state":"ready"}`, load: `{"slots":4,"busy":2,"queued":0}`, state: Ready, busy: 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startCopyingReports(t, tc.copies)
			c := newNotifyingClock()
			listener := make(reportChannel, 1)
			p := startProber(t, c, listener)
			for i, r := range rounds {
				s.reports.set(r.health, r.load)
				if i == 0 {
					p.SetEndpoints([]Endpoint{NewEndpoint("target-1", s.listener.Addr().String())})
				} else {
					c.advance(time.Second)
				}
				got := <-listener
				state, _ := got.Health()
				if state != r.state || got.HealthAge(c.Now()) != 0 || !errors.Is(got.Err(), tc.wantErr) {
					t.Errorf("round %d: state %s, age %v, %v; want %s, 0, %v", i+1, state, got.HealthAge(c.Now()), got.Err(), r.state, tc.wantErr)
				}
				slots, busy, _, ok := got.Load()
				if ok != tc.loaded || ok && (slots != 4 || busy != r.busy) {
					t.Errorf("round %d: %d slots, %d busy, %v; want 4, %d, %v", i+1, slots, busy, ok, r.busy, tc.loaded)
				}
			}
		})
	}
}
