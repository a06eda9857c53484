package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// gate makes a target hold its responses until the test releases them.
type gate struct {
	mutex    sync.Mutex
	released map[string]chan struct{}
	// arrived receives the ID of each request that reaches the target.
	arrived chan string
	running int
	// most is the largest number of requests that ran at the same time.
	most int
}

func newGate() *gate {
	return &gate{released: map[string]chan struct{}{}, arrived: make(chan string, 1000)}
}

func (g *gate) of(id string) chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	c, ok := g.released[id]
	if !ok {
		c = make(chan struct{})
		g.released[id] = c
	}
	return c
}

func (g *gate) release(ids ...string) {
	for _, id := range ids {
		close(g.of(id))
	}
}

func (g *gate) count(n int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running += n
	g.most = max(g.most, g.running)
}

// respond is the script of the target.
func (g *gate) respond(_ int, r *http.Request) string {
	id := r.Header.Get("Id")
	g.count(1)
	g.arrived <- id
	<-g.of(id)
	g.count(-1)
	return targetResponse(r, 200, "body of "+id)
}

// pipeliningCaller sends requests without waiting for responses.
type pipeliningCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func newPipeliningCaller(t *testing.T, h *testHost) *pipeliningCaller {
	t.Helper()
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &pipeliningCaller{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

func get(path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: key\r\n\r\n", path, id)
}

func (c *pipeliningCaller) send(text ...string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, strings.Join(text, "")); err != nil {
		c.t.Fatal(err)
	}
}

// expect reads the responses to the requests with the given IDs, in order.
func (c *pipeliningCaller) expect(ids ...string) {
	c.t.Helper()
	for _, id := range ids {
		r, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			c.t.Fatalf("response to %s: %v", id, err)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || r.StatusCode != http.StatusOK || string(body) != "body of "+id {
			c.t.Fatalf("response to %s: status %d body %q error %v", id, r.StatusCode, body, err)
		}
	}
}

// expectEnd checks that the host closes the connection without further bytes.
func (c *pipeliningCaller) expectEnd() {
	c.t.Helper()
	if b, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		c.t.Errorf("after the last response: byte %q, error %v; want the end", b, err)
	}
}

// await waits until n requests have reached the target.
func (g *gate) await(n int) []string {
	var ids []string
	for range n {
		ids = append(ids, <-g.arrived)
	}
	return ids
}

// TestPipelinedRequests guards against requests that wait for the one before
// them, responses in another order than the requests, and requests that run
// although they must not run early. The routes time out after an hour, so each
// case hangs if a request is not started when it should be.
func TestPipelinedRequests(t *testing.T) {
	cases := []struct {
		name string
		run  func(c *pipeliningCaller, g *gate)
	}{
		{"sent at once, finished in reverse", func(c *pipeliningCaller, g *gate) {
			c.send(get("/long/", "a"), get("/long/", "b"), get("/long/", "c"))
			g.await(3)
			g.release("c", "b", "a")
			c.expect("a", "b", "c")
		}},
		{"sent one after the other", func(c *pipeliningCaller, g *gate) {
			for _, id := range []string{"a", "b", "c"} {
				c.send(get("/long/", id))
				g.await(1)
			}
			g.release("b", "c", "a")
			c.expect("a", "b", "c")
		}},
		{"second one sent in halves", func(c *pipeliningCaller, g *gate) {
			text := get("/long/", "b")
			c.send(get("/long/", "a"), text[:20])
			g.await(1)
			c.send(text[20:])
			g.await(1)
			g.release("b", "a")
			c.expect("a", "b")
		}},
		{"second half after the first response", func(c *pipeliningCaller, g *gate) {
			text := get("/long/", "b")
			c.send(get("/long/", "a"), text[:20])
			g.await(1)
			g.release("a")
			c.expect("a")
			c.send(text[20:])
			g.await(1)
			g.release("b")
			c.expect("b")
		}},
		{"many rounds on one connection", func(c *pipeliningCaller, g *gate) {
			for i := range 20 {
				a, b := fmt.Sprintf("a%d", i), fmt.Sprintf("b%d", i)
				c.send(get("/long/", a), get("/long/", b))
				g.await(2)
				g.release(b, a)
				c.expect(a, b)
			}
		}},
		{"body behind a GET", func(c *pipeliningCaller, g *gate) {
			c.send(get("/long/", "a"), post("b"), get("/long/", "c"))
			if ids := g.await(1); ids[0] != "a" {
				t.Errorf("%s ran first", ids[0])
			}
			g.release("a")
			c.expect("a")
			g.await(1)
			g.release("b", "c")
			c.expect("b", "c")
		}},
		{"request that must not run twice behind a GET", func(c *pipeliningCaller, g *gate) {
			c.send(get("/long/", "a"), get("/once/", "b"))
			g.await(1)
			g.release("a")
			c.expect("a")
			g.await(1)
			g.release("b")
			c.expect("b")
		}},
		{"hundreds", func(c *pipeliningCaller, g *gate) {
			const n = 300
			var ids, texts []string
			for i := range n {
				ids = append(ids, fmt.Sprint(i))
				texts = append(texts, get("/long/", ids[i]))
			}
			written := make(chan error, 1)
			go func() {
				_, err := io.WriteString(c.conn, strings.Join(texts, ""))
				written <- err
			}()
			g.await(1 + maxEarlyRequests)
			g.release(ids...)
			c.expect(ids...)
			if err := <-written; err != nil {
				t.Error(err)
			}
			if g.most > 1+maxEarlyRequests {
				t.Errorf("%d requests of one connection ran at the same time", g.most)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := newGate()
			h := newTestHost(t, g.respond)
			tc.run(newPipeliningCaller(t, h), g)
		})
	}
}

// TestPipelineShutdown guards against a shutdown that closes a connection
// before the responses to requests that were passed on or read whole, and
// against passing on requests behind a response that closes the connection.
func TestPipelineShutdown(t *testing.T) {
	g := newGate()
	h := newTestHost(t, g.respond)
	three, draining := newPipeliningCaller(t, h), newPipeliningCaller(t, h)
	three.send(get("/long/", "a"), get("/long/", "b"), get("/long/", "c"))
	g.await(3)
	ended := make(chan error, 1)
	go func() { ended <- h.front.Shutdown(context.Background()) }()
	untilRefused(t, h.address)
	draining.send(get("/long/", "d"), get("/long/", "e"))
	if ids := g.await(1); ids[0] != "d" {
		t.Errorf("%s reached the target, want d", ids[0])
	}
	g.release("a", "b", "c", "d")
	three.expect("a", "b", "c")
	three.expectEnd()
	draining.expect("d")
	if ids := g.await(1); ids[0] != "e" {
		t.Errorf("%s reached the target, want e", ids[0])
	}
	// The host closes the connection behind e, which was read with d.
	draining.send(get("/long/", "f"))
	g.release("e")
	draining.expect("e")
	if _, err := draining.reader.ReadByte(); err == nil {
		t.Error("a response behind the one that closes the connection")
	}
	if err := <-ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
	if len(g.arrived) > 0 {
		t.Errorf("%s was passed on behind the response that closes the connection", <-g.arrived)
	}
}

// TestPipeliningCallerLeaves guards against requests that run on after their
// caller has closed the connection. The target never responds.
func TestPipeliningCallerLeaves(t *testing.T) {
	g := newGate()
	h := newTestHost(t, g.respond)
	c := newPipeliningCaller(t, h)
	c.send(get("/long/", "a"), get("/long/", "b"), get("/long/", "c"))
	g.await(3)
	if err := c.conn.Close(); err != nil {
		t.Fatal(err)
	}
	// The shutdown returns once no request is being handled.
	if err := h.front.Shutdown(context.Background()); err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// scriptedConn returns one text for each read once the test provides it.
type scriptedConn struct {
	net.Conn
	texts   chan string
	begun   chan struct{}
	readers atomic.Int32
	most    atomic.Int32
}

// Read implements net.Conn.
func (c *scriptedConn) Read(b []byte) (int, error) {
	c.most.Store(max(c.most.Load(), c.readers.Add(1)))
	defer c.readers.Add(-1)
	c.begun <- struct{}{}
	text, ok := <-c.texts
	if !ok {
		return 0, io.EOF
	}
	return copy(b, text), nil
}

// idleHandler answers nothing.
type idleHandler struct{}

var _ FrontHandler = idleHandler{}

func (idleHandler) IsRetryable(*http.Request) bool                  { return true }
func (idleHandler) ServeHTTP(http.ResponseWriter, *http.Request)    {}
func (idleHandler) RecordUnanswered(*http.Request, UnansweredCause) {}

// TestOneReader guards against a server and a pipeline that read the connection
// at the same time, which would exchange the order of its bytes. The server
// starts to read just before it handles a request.
func TestOneReader(t *testing.T) {
	c := &scriptedConn{texts: make(chan string), begun: make(chan struct{}, 10)}
	p := newPipeline(context.Background(), c, idleHandler{}, make(chan struct{}, 10), slog.New(slog.DiscardHandler))
	read := func(done chan<- string) {
		b := make([]byte, 1000)
		n, _ := p.read(b)
		done <- string(b[:n])
	}
	done := make(chan string, 1)
	go read(done)
	first := get("/a", "1") + get("/b", "2")
	c.texts <- first
	if got := <-done; got != first {
		t.Fatalf("the server read %q", got)
	}
	<-c.begun
	go read(done)
	<-c.begun
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(first)))
	if err != nil {
		t.Fatal(err)
	}
	p.begin(r, false)
	p.mu.Lock()
	isReading := p.isReading
	p.mu.Unlock()
	if isReading {
		t.Error("the pipeline reads while the server does")
	}
	third := get("/c", "3")
	c.texts <- third
	if got := <-done; got != third {
		t.Errorf("the server read %q, want the next request", got)
	}
	close(c.texts)
	<-p.ctx.Done()
	if c.most.Load() > 1 {
		t.Errorf("%d goroutines read at the same time", c.most.Load())
	}
}

// countingHandler counts the requests that it is given, and lasts as long as
// their contexts.
type countingHandler struct{ begun chan struct{} }

var _ FrontHandler = countingHandler{}

func (countingHandler) IsRetryable(*http.Request) bool                  { return true }
func (countingHandler) RecordUnanswered(*http.Request, UnansweredCause) {}

func (h countingHandler) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	h.begun <- struct{}{}
	<-r.Context().Done()
}

// TestHostEarlyLimit guards against callers that occupy the memory of a host
// with responses which wait for their turn, and against slots that are not
// given back when a connection ends.
func TestHostEarlyLimit(t *testing.T) {
	const limit, connections = 3, 5
	slots := make(chan struct{}, limit)
	h := countingHandler{begun: make(chan struct{}, 100)}
	text := get("/a", "1") + get("/b", "2") + get("/c", "3")
	for range 3 {
		var pipelines []*pipeline
		var conns []*scriptedConn
		for range connections {
			c := &scriptedConn{texts: make(chan string, 1), begun: make(chan struct{}, 10)}
			c.texts <- text
			p := newPipeline(context.Background(), c, h, slots, slog.New(slog.DiscardHandler))
			if _, err := p.read(make([]byte, len(text))); err != nil {
				t.Fatal(err)
			}
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
			if err != nil {
				t.Fatal(err)
			}
			p.begin(r, false)
			pipelines, conns = append(pipelines, p), append(conns, c)
		}
		for range limit {
			<-h.begun
		}
		early := 0
		for _, p := range pipelines {
			p.mu.Lock()
			early += len(p.early)
			p.mu.Unlock()
			p.end()
		}
		if early != limit {
			t.Errorf("%d early requests, want %d", early, limit)
		}
		for _, c := range conns {
			close(c.texts)
		}
		// All slots come back.
		for range limit {
			slots <- struct{}{}
		}
		for range limit {
			<-slots
		}
	}
}

// TestEndSeenByServer guards against early requests that run on when the server,
// and not the pipeline, notices that the caller has left.
func TestEndSeenByServer(t *testing.T) {
	c := &scriptedConn{texts: make(chan string, 1), begun: make(chan struct{}, 10)}
	h := countingHandler{begun: make(chan struct{}, 10)}
	p := newPipeline(context.Background(), c, h, make(chan struct{}, 10), slog.New(slog.DiscardHandler))
	text := get("/a", "1") + get("/b", "2")
	c.texts <- text
	if _, err := p.read(make([]byte, len(text))); err != nil {
		t.Fatal(err)
	}
	<-c.begun
	ended := make(chan error, 1)
	go func() {
		_, err := p.read(make([]byte, 1))
		ended <- err
	}()
	<-c.begun
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	p.begin(r, false)
	<-h.begun
	close(c.texts)
	if err := <-ended; !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	if p.ctx.Err() == nil {
		t.Error("requests go on after the end of the connection")
	}
}
