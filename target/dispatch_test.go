package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rhubarbrack/tasks"
)

// bufferConsumer is a response consumer that keeps the response.
type bufferConsumer struct {
	status int
	header http.Header
	bytes.Buffer
	startErr error
}

func (c *bufferConsumer) Start(status int, header http.Header) error {
	c.status, c.header = status, header
	return c.startErr
}

// rawServer responds to each request with a script that receives the number of
// the request, counted over all connections. It keeps the raw request heads.
type rawServer struct {
	address string
	heads   chan string
}

// startRawServer starts a server. The script does not read; it writes the
// response and reports whether the connection stays open.
func startRawServer(t *testing.T, script func(number int, conn net.Conn) bool) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{address: listener.Addr().String(), heads: make(chan string, 16)}
	done := tasks.Go(context.Background(), func(context.Context) {
		number := 0
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			for open := true; open; {
				head, err := readRequest(conn)
				if err != nil {
					break
				}
				number++
				s.heads <- head
				open = script(number, conn)
			}
			_ = conn.Close()
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return s
}

// readRequest reads a request head and the chunks that follow it, if any.
func readRequest(conn net.Conn) (string, error) {
	var got []byte
	one := make([]byte, 1)
	for end := []byte("\r\n\r\n"); !bytes.HasSuffix(got, end); {
		if _, err := conn.Read(one); err != nil {
			return "", err
		}
		got = append(got, one[0])
		if bytes.HasSuffix(got, []byte("chunked\r\n")) {
			end = []byte("\r\n0\r\n\r\n")
		}
	}
	return string(got), nil
}

func respond(text string, open bool) func(int, net.Conn) bool {
	return func(_ int, conn net.Conn) bool {
		_, _ = io.WriteString(conn, text)
		return open
	}
}

func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func mustRequest(t *testing.T, method, path string, options ...RequestOption) *Request {
	t.Helper()
	r, err := NewRequest(method, path, options...)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against an outcome that states more than is proven.
func TestDispatchOutcome(t *testing.T) {
	consumerErr := errors.New("caller disconnected")
	cases := []struct {
		name     string
		script   func(int, net.Conn) bool
		options  []RequestOption
		startErr error
		want     Outcome
		wantErr  error
		status   int
		body     string
	}{
		{name: "complete", script: respond("HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok", true),
			want: Ran, status: 201, body: "ok"},
		{name: "complete in chunks", script: respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true),
			want: Ran, status: 200, body: "ok"},
		{name: "no content", script: respond("HTTP/1.1 204 No Content\r\n\r\n", true), want: Ran, status: 204},
		{name: "closed before the response", script: respond("", false), want: Crashed, wantErr: ErrLost},
		{name: "closed within the head", script: respond("HTTP/1.1 200 OK\r\nConte", false), want: Unknown, wantErr: ErrLost},
		{name: "closed within the body", script: respond("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok", false),
			want: Unknown, wantErr: ErrIncomplete, status: 200, body: "ok"},
		{name: "closed within the chunks", script: respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false),
			want: Unknown, wantErr: ErrIncomplete, status: 200, body: "ok"},
		{name: "no delimiter", script: respond("HTTP/1.1 200 OK\r\n\r\nok", false),
			want: Unknown, wantErr: ErrUndelimited, status: 200, body: "ok"},
		{name: "switching protocols", script: respond("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", false),
			want: Unknown, wantErr: ErrLost, status: 101},
		{name: "shed", script: respond("HTTP/1.1 503 Busy\r\nRhubarbrack-Outcome: not-run\r\nContent-Length: 0\r\n\r\n", true),
			want: Shed, wantErr: ErrShed, status: 503},
		{name: "unavailable without the statement", script: respond("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", true),
			want: Ran, status: 503},
		{name: "statement with another status", script: respond("HTTP/1.1 500 No\r\nRhubarbrack-Outcome: not-run\r\nContent-Length: 0\r\n\r\n", true),
			want: Ran, status: 500},
		{name: "request body too short", script: respond("", true), options: []RequestOption{WithBody(strings.NewReader("ab"), 3)},
			want: Unknown, wantErr: ErrRequestBody},
		{name: "request body fails", script: respond("", true),
			options: []RequestOption{WithBody(io.MultiReader(strings.NewReader("ab"), failingReader{}), UnknownLength)},
			want:    Unknown, wantErr: io.ErrUnexpectedEOF},
		{name: "consumer fails", script: respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true), startErr: consumerErr,
			want: Unknown, wantErr: consumerErr, status: 200},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startRawServer(t, tc.script)
			c := NewClient()
			defer c.Close()
			consumer := &bufferConsumer{startErr: tc.startErr}
			got := c.Dispatch(context.Background(), s.address, mustRequest(t, "POST", "/x", tc.options...), consumer)
			if got.Outcome() != tc.want || !errors.Is(got.Err(), tc.wantErr) {
				t.Errorf("Dispatch = %v, %v; want %v, %v", got.Outcome(), got.Err(), tc.want, tc.wantErr)
			}
			if got.Status() != tc.status || consumer.String() != tc.body || got.Bytes() != int64(len(tc.body)) {
				t.Errorf("status %d, body %q, %d bytes; want %d, %q", got.Status(), consumer.String(), got.Bytes(), tc.status, tc.body)
			}
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against the outcome not-run without proof, and against its absence
// where nothing was written.
func TestDispatchNotRun(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	cases := []struct {
		name    string
		ctx     context.Context
		header  http.Header
		wantErr error
	}{
		{name: "dial refused", ctx: context.Background(), wantErr: ErrDial},
		{name: "cancelled before", ctx: cancelled, wantErr: context.Canceled},
		{name: "malformed header", ctx: context.Background(), header: http.Header{"X": {"a\nb"}}, wantErr: ErrMalformedRequest},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := NewClient()
			defer c.Close()
			r := mustRequest(t, "POST", "/x", WithHeader(tc.header))
			got := c.Dispatch(tc.ctx, closedAddress(t), r, &bufferConsumer{})
			if got.Outcome() != NotRun || !errors.Is(got.Err(), tc.wantErr) {
				t.Errorf("Dispatch = %v, %v; want %v, %v", got.Outcome(), got.Err(), NotRun, tc.wantErr)
			}
		})
	}
}

// Guards against the transport's own retry: the server reads a request from a
// reused connection and closes it. The request must not arrive a second time.
func TestDispatchNeverRetries(t *testing.T) {
	cases := []struct {
		method  string
		options []RequestOption
	}{
		{method: "GET"},
		{method: "HEAD"},
		{method: "OPTIONS"},
		{method: "DELETE"},
		{method: "POST", options: []RequestOption{WithHeader(http.Header{"Idempotency-Key": {"k"}})}},
		{method: "POST", options: []RequestOption{WithHeader(http.Header{"X-Idempotency-Key": {"k"}})}},
		{method: "PUT", options: []RequestOption{WithHeader(http.Header{"Idempotency-Key": {"k"}}), WithBody(strings.NewReader("abc"), 3)}},
	}
	for i, tc := range cases {
		t.Run(fmt.Sprintf("%d %s", i, tc.method), func(t *testing.T) {
			s := startRawServer(t, func(number int, conn net.Conn) bool {
				if number == 2 {
					return false
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return true
			})
			c := NewClient()
			defer c.Close()
			ctx := context.Background()
			if first := c.Dispatch(ctx, s.address, mustRequest(t, "GET", "/warm"), &bufferConsumer{}); first.Outcome() != Ran {
				t.Fatalf("first request: %v, %v", first.Outcome(), first.Err())
			}
			got := c.Dispatch(ctx, s.address, mustRequest(t, tc.method, "/x", tc.options...), &bufferConsumer{})
			if !got.Reused() || got.Outcome() != Crashed {
				t.Errorf("reused %v, %v, %v; want a reused connection and %v", got.Reused(), got.Outcome(), got.Err(), Crashed)
			}
			c.Dispatch(ctx, s.address, mustRequest(t, "GET", "/last"), &bufferConsumer{})
			var paths []string
			for range 3 {
				paths = append(paths, strings.Fields(<-s.heads)[1])
			}
			if want := "/warm /x /last"; strings.Join(paths, " ") != want {
				t.Errorf("server received %v, want %s", paths, want)
			}
		})
	}
}

// Guards against sending a non-idempotent request on a connection that the
// target may be closing.
func TestDispatchConnection(t *testing.T) {
	cases := []struct {
		name    string
		options []RequestOption
		reused  bool
	}{
		{name: "by default", reused: true},
		{name: "fresh", options: []RequestOption{WithFreshConnection()}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			defer server.Close()
			c := NewClient()
			defer c.Close()
			for i, options := range [][]RequestOption{nil, tc.options, nil} {
				got := c.Dispatch(context.Background(), server.Listener.Addr().String(), mustRequest(t, "POST", "/x", options...), &bufferConsumer{})
				want := i == 2 || i == 1 && tc.reused
				if got.Outcome() != Ran || got.Reused() != want {
					t.Errorf("request %d: %v, %v, reused %v; want reused %v", i+1, got.Outcome(), got.Err(), got.Reused(), want)
				}
			}
		})
	}
}

// closableBody is a body that cannot be read after it has been closed.
type closableBody struct {
	io.Reader
}

func (c *closableBody) Close() error {
	c.Reader = failingReader{}
	return nil
}

// Guards against a retried request that arrives at the second target without
// its body or with only a part of it.
func TestDispatchRetry(t *testing.T) {
	cases := []struct {
		name    string
		first   func(t *testing.T) string
		outcome Outcome
		retry   Outcome
		wantErr error
		want    string
	}{
		{name: "after a failed dial", first: closedAddress, outcome: NotRun, retry: Ran, want: "abc"},
		{name: "after a crash", outcome: Crashed, retry: NotRun, wantErr: ErrBodyConsumed, first: func(t *testing.T) string {
			return startRawServer(t, respond("", false)).address
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			received := make(chan string, 1)
			second := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				received <- string(body)
			}))
			defer second.Close()
			c := NewClient()
			defer c.Close()
			r := mustRequest(t, "POST", "/x", WithBody(&closableBody{Reader: strings.NewReader("abc")}, 3))
			if got := c.Dispatch(context.Background(), tc.first(t), r, &bufferConsumer{}); got.Outcome() != tc.outcome {
				t.Fatalf("first target: %v, %v; want %v", got.Outcome(), got.Err(), tc.outcome)
			}
			got := c.Dispatch(context.Background(), second.Listener.Addr().String(), r, &bufferConsumer{})
			if got.Outcome() != tc.retry || !errors.Is(got.Err(), tc.wantErr) {
				t.Errorf("second target: %v, %v; want %v, %v", got.Outcome(), got.Err(), tc.retry, tc.wantErr)
			}
			if tc.want != "" && <-received != tc.want {
				t.Errorf("the second target did not receive %q", tc.want)
			}
			if len(received) != 0 {
				t.Errorf("the second target received %q", <-received)
			}
		})
	}
}

// Guards against keys, hop-by-hop headers and callers' deadlines that reach a
// target, and against a missing deadline.
func TestDispatchHeader(t *testing.T) {
	s := startRawServer(t, respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: X-Hop\r\nX-Hop: 1\r\nRhubarbrack-Outcome: ran\r\nX-Kept: 1\r\n\r\n", true))
	c := NewClient()
	defer c.Close()
	deadline := time.Date(2100, 1, 2, 3, 4, 5, 678, time.UTC)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	r := mustRequest(t, "GET", "/a%2Fb?c=d", WithHost("pattern.example"), WithRequestID("r-1"), WithHeader(http.Header{
		"Authorization": {"Bearer secret"}, "Connection": {"x-one, close"}, "X-One": {"1"}, "Te": {"trailers"},
		"Proxy-Authorization": {"secret"}, "Rhubarbrack-Deadline": {"2000-01-01T00:00:00Z"}, "Idempotency-Key": {"k"},
		"Rhubarbrack-Request": {"forged"}, "Rhubarbrack-Reason": {"forged"}, "Rhubarbrack-Attempt": {"forged"},
	}))
	consumer := &bufferConsumer{}
	if got := c.Dispatch(ctx, s.address, r, consumer); got.Outcome() != Ran {
		t.Fatalf("Dispatch = %v, %v", got.Outcome(), got.Err())
	}
	want := "GET /a%2Fb?c=d HTTP/1.1\r\nHost: pattern.example\r\nIdempotency-Key: k\r\nRhubarbrack-Attempt: " + c.attempts.at(1) + "\r\n" +
		"Rhubarbrack-Deadline: 2100-01-02T03:04:05.000000678Z\r\nRhubarbrack-Request: r-1\r\n\r\n"
	if head := <-s.heads; head != want {
		t.Errorf("head %q, want %q", head, want)
	}
	if len(consumer.header) != 2 || consumer.header.Get("X-Kept") != "1" {
		t.Errorf("response header %v, want X-Kept and Content-Length", consumer.header)
	}
}

// Guards against a cancellation that does not reach the target.
func TestDispatchCancellation(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	closed := make(chan error, 1)
	s := startRawServer(t, func(_ int, conn net.Conn) bool {
		cancel()
		_, err := conn.Read(make([]byte, 1))
		closed <- err
		return false
	})
	c := NewClient()
	defer c.Close()
	got := c.Dispatch(ctx, s.address, mustRequest(t, "GET", "/x"), &bufferConsumer{})
	if got.Outcome() != Unknown || !errors.Is(got.Err(), context.Canceled) {
		t.Errorf("Dispatch = %v, %v; want %v and %v", got.Outcome(), got.Err(), Unknown, context.Canceled)
	}
	if err := <-closed; err == nil {
		t.Error("the connection stayed open after the cancellation")
	}
}
