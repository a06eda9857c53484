package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
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
	post := func(id string) string {
		return "POST /once/1 HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nKey: key\r\nContent-Length: 4\r\n\r\nbody"
	}
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
// before the responses to requests that were passed on, and against passing on
// requests behind a response that closes the connection.
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
