package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"rhubarbrack/tasks"
)

// copyingServer is a target that writes answers again, late: each request that
// reuses a connection first gets copies of the previous answer on that
// connection. It refuses some requests and runs the others.
type copyingServer struct {
	behaviour copyBehaviour
	listener  net.Listener
	conns     sync.WaitGroup
	done      <-chan struct{}

	mutex    sync.Mutex
	accepted int
	requests int
	ran      map[string]bool
}

type copyBehaviour struct {
	// refuses reports whether the request with the number, counted over all
	// connections from 1, is refused.
	refuses func(number int) bool
	// echoes makes the answers bear the attempt ID of their request.
	echoes bool
	// bodiless makes refusals end with their header.
	bodiless bool
	copies   int
	// edit changes a copy. It may be nil.
	edit func(answer string) string
	// due changes the answer to the second request of a connection, which ends with
	// it, so that no rest is waited for. It may be nil.
	due func(answer string) string
}

func startCopyingServer(t *testing.T, b copyBehaviour) *copyingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &copyingServer{behaviour: b, listener: listener, ran: make(map[string]bool)}
	s.done = tasks.Go(context.Background(), func(ctx context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mutex.Lock()
			s.accepted++
			s.mutex.Unlock()
			s.conns.Add(1)
			tasks.Go(ctx, func(context.Context) {
				defer s.conns.Done()
				s.serve(conn)
			})
		}
	})
	return s
}

// close must be called after the connections have been closed by the client.
func (s *copyingServer) close() {
	_ = s.listener.Close()
	<-s.done
	s.conns.Wait()
}

func (s *copyingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for previous := ""; ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := s.run(request)
		isLast := s.behaviour.due != nil && previous != ""
		if isLast {
			answer = s.behaviour.due(answer)
		}
		for range s.behaviour.copies {
			_, _ = io.WriteString(conn, previous)
		}
		// A copy precedes the body, as if the answer were early.
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		if isLast {
			return
		}
		previous = answer
		if s.behaviour.edit != nil {
			previous = s.behaviour.edit(answer)
		}
	}
}

// run refuses the request or records that it ran, and returns the answer.
func (s *copyingServer) run(r *http.Request) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.requests++
	echo := ""
	if id := r.Header.Get(HeaderAttempt); id != "" && s.behaviour.echoes {
		echo = HeaderAttempt + ": " + id + "\r\n"
	}
	if s.behaviour.refuses(s.requests) {
		body := "overload"
		if s.behaviour.bodiless {
			body = ""
		}
		return fmt.Sprintf("HTTP/1.1 503 Busy\r\n%sRhubarbrack-Outcome: not-run\r\nRetry-After: 7\r\nContent-Length: %d\r\n\r\n%s",
			echo, len(body), body)
	}
	s.ran[r.URL.Path] = true
	if r.Header.Get("Range") != "" {
		return "HTTP/1.1 206 Part\r\n" + echo + "ETag: \"a\"\r\nContent-Range: bytes 4-8/9\r\nContent-Length: 5\r\n\r\nefghi"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(r.URL.Path), r.URL.Path)
}

func (s *copyingServer) hasRun(path string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ran[path]
}

func firstRefused(number int) bool { return number == 1 }

func noneRefused(int) bool { return false }

// withoutAttempt removes the attempt ID from an answer.
func withoutAttempt(answer string) string {
	lines := strings.SplitAfter(answer, "\r\n")
	kept := ""
	for _, line := range lines {
		if !strings.HasPrefix(line, HeaderAttempt) {
			kept += line
		}
	}
	return kept
}

// Guards against the late copy of an answer that is taken for the answer to the
// next request on its connection: a request that ran is then reported as shed,
// or a caller receives the response of another request.
func TestCopiedAnswer(t *testing.T) {
	const longBody = 8 << 20
	cases := []struct {
		name      string
		behaviour copyBehaviour
		// same sends the same request each time, resume resumes a download,
		// and long sends a body that does not fit into the socket buffers.
		same, resume, long bool
		want               []Outcome
	}{
		{name: "refusal, echoed", behaviour: copyBehaviour{refuses: firstRefused, echoes: true, copies: 1},
			want: []Outcome{Shed, Unknown, Ran}},
		{name: "refusal, not echoed", behaviour: copyBehaviour{refuses: firstRefused, copies: 1}, want: []Outcome{Shed, Ran}},
		{name: "refusal without body, echoed", behaviour: copyBehaviour{refuses: firstRefused, echoes: true, bodiless: true, copies: 1},
			want: []Outcome{Shed, Unknown, Ran}},
		{name: "refusal without body, not echoed", behaviour: copyBehaviour{refuses: firstRefused, bodiless: true, copies: 1},
			want: []Outcome{Shed, Ran}},
		{name: "refusal of the same request, echoed", behaviour: copyBehaviour{refuses: firstRefused, echoes: true, copies: 1},
			same: true, want: []Outcome{Shed, Unknown, Ran}},
		{name: "refusal of the same request, not echoed", behaviour: copyBehaviour{refuses: firstRefused, copies: 1},
			same: true, want: []Outcome{Shed, Ran}},
		{name: "refusal twice, echoed", behaviour: copyBehaviour{refuses: firstRefused, echoes: true, copies: 2},
			want: []Outcome{Shed, Unknown, Ran}},
		{name: "refusal twice, not echoed", behaviour: copyBehaviour{refuses: firstRefused, copies: 2}, want: []Outcome{Shed, Ran}},
		{name: "refusal whose copy bears no ID",
			behaviour: copyBehaviour{refuses: firstRefused, echoes: true, copies: 1, edit: withoutAttempt},
			want:      []Outcome{Shed, Unknown, Ran}},
		{name: "refusal before a long body is sent, echoed", behaviour: copyBehaviour{refuses: firstRefused, echoes: true, copies: 1},
			long: true, want: []Outcome{Shed, Unknown, Ran}},
		{name: "refusal before a long body is sent, not echoed", behaviour: copyBehaviour{refuses: firstRefused, copies: 1},
			long: true, want: []Outcome{Shed, Ran}},
		{name: "refusal of a resumption, echoed", behaviour: copyBehaviour{refuses: firstRefused, echoes: true, copies: 1},
			resume: true, want: []Outcome{Shed, Unknown, Ran}},
		{name: "refusal of a resumption, not echoed", behaviour: copyBehaviour{refuses: firstRefused, copies: 1},
			resume: true, want: []Outcome{Shed, Ran}},
		{name: "response, echoed", behaviour: copyBehaviour{refuses: noneRefused, echoes: true, copies: 1},
			want: []Outcome{Ran, Unknown, Ran}},
		{name: "response whose copy bears no ID",
			behaviour: copyBehaviour{refuses: noneRefused, echoes: true, copies: 1, edit: withoutAttempt},
			want:      []Outcome{Ran, Unknown, Ran}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startCopyingServer(t, tc.behaviour)
			c := NewClient(WithLogger(slog.New(slog.DiscardHandler)))
			defer s.close()
			defer c.Close()
			for i, want := range tc.want {
				path := fmt.Sprintf("/%d", i)
				if tc.same {
					path = "/same"
				}
				var options []RequestOption
				if tc.long {
					options = append(options, WithBody(strings.NewReader(strings.Repeat("x", longBody)), longBody))
				}
				r := mustRequest(t, "GET", path, options...)
				consumer := &bufferConsumer{}
				body := path
				var got Result
				if tc.resume {
					body = "efghi"
					got = c.Resume(context.Background(), s.listener.Addr().String(), r,
						PartialDownload{etag: `"a"`, next: 4, last: 8, total: 9}, consumer)
				} else {
					got = c.Dispatch(context.Background(), s.listener.Addr().String(), r, consumer)
				}
				if got.Outcome() != want {
					t.Errorf("request %d: %v, %v; want %v", i+1, got.Outcome(), got.Err(), want)
				}
				if got.Outcome() == Shed && s.hasRun(path) {
					t.Errorf("request %d ran and was reported as %v", i+1, got.Outcome())
				}
				if got.Outcome() != Shed && got.RetryAfter() != 0 {
					t.Errorf("request %d took the pause %v of another request", i+1, got.RetryAfter())
				}
				if got.Outcome() != Ran {
					body = ""
				}
				if consumer.String() != body || got.Started() != (body != "") {
					t.Errorf("request %d: body %q, started %v; want %q", i+1, consumer.String(), got.Started(), body)
				}
			}
		})
	}
}

// Guards against a connection that another request takes from the pool before
// the exchange that received a refusal on it has given it up.
func TestCopiedRefusalUnderLoad(t *testing.T) {
	const workers, requests = 16, 100
	cases := []struct {
		name   string
		seed   uint64
		echoes bool
		// outcomes are those that may occur.
		outcomes []Outcome
	}{
		{name: "not echoed", seed: 1, outcomes: []Outcome{Ran, Shed}},
		{name: "echoed", seed: 2, echoes: true, outcomes: []Outcome{Ran, Shed, Unknown}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(tc.seed, 0))
			s := startCopyingServer(t, copyBehaviour{
				refuses: func(int) bool { return random.IntN(2) == 0 }, echoes: tc.echoes, bodiless: true, copies: 1,
				// Only refusals are copied.
				edit: func(answer string) string {
					if strings.Contains(answer, OutcomeNotRun) {
						return answer
					}
					return ""
				},
			})
			c := NewClient(WithLogger(slog.New(slog.DiscardHandler)))
			counts := make([]map[Outcome]int, workers)
			var all sync.WaitGroup
			for w := range workers {
				counts[w] = make(map[Outcome]int)
				all.Go(func() {
					for i := range requests {
						path := fmt.Sprintf("/%d/%d", w, i)
						consumer := &bufferConsumer{}
						got := c.Dispatch(context.Background(), s.listener.Addr().String(), mustRequest(t, "GET", path), consumer)
						counts[w][got.Outcome()]++
						if ran := s.hasRun(path); got.Outcome() == Shed && ran || got.Outcome() == Ran && consumer.String() != path {
							t.Errorf("%s: %v, ran %v, body %q", path, got.Outcome(), ran, consumer.String())
						}
					}
				})
			}
			all.Wait()
			c.Close()
			s.close()
			total, allowed := make(map[Outcome]int), 0
			for _, list := range counts {
				for o, n := range list {
					total[o] += n
				}
			}
			for _, o := range tc.outcomes {
				allowed += total[o]
			}
			if allowed != workers*requests {
				t.Errorf("outcomes %v, want only %v", total, tc.outcomes)
			}
			t.Logf("seed %d: %v", tc.seed, total)
		})
	}
}

// Guards against a new connection for each refusal of a full target that repeats
// the attempt ID, and against a kept connection after a refusal of one that does
// not.
func TestConnectionsOfRefusals(t *testing.T) {
	const requests = 10
	cases := []struct {
		name      string
		behaviour copyBehaviour
		want      int
	}{
		{name: "echoed", behaviour: copyBehaviour{echoes: true}, want: 1},
		{name: "echoed, without body", behaviour: copyBehaviour{echoes: true, bodiless: true}, want: 1},
		{name: "not echoed", want: requests},
		{name: "not echoed, without body", behaviour: copyBehaviour{bodiless: true}, want: requests},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tc.behaviour.refuses = func(int) bool { return true }
			s := startCopyingServer(t, tc.behaviour)
			c := NewClient()
			for range requests {
				got := c.Dispatch(context.Background(), s.listener.Addr().String(), mustRequest(t, "GET", "/x"), &bufferConsumer{})
				if got.Outcome() != Shed {
					t.Errorf("%v, %v; want %v", got.Outcome(), got.Err(), Shed)
				}
			}
			c.Close()
			s.close()
			if s.accepted != tc.want {
				t.Errorf("%d connections for %d refusals, want %d", s.accepted, requests, tc.want)
			}
		})
	}
}
