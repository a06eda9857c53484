package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"rhubarbrack/tasks"
)

// unreliableServer counts the arrivals of each request. At random it responds,
// breaks off the connection or closes it while idle.
type unreliableServer struct {
	listener net.Listener
	mutex    sync.Mutex
	random   *rand.Rand
	arrivals map[string]int
	conns    sync.WaitGroup
	done     <-chan struct{}
}

func startUnreliableServer(t *testing.T, seed uint64) *unreliableServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &unreliableServer{listener: listener, random: rand.New(rand.NewPCG(seed, 0)), arrivals: make(map[string]int)}
	u.done = tasks.Go(context.Background(), func(ctx context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			tasks.Go(ctx, func(context.Context) {
				defer u.conns.Done()
				u.serve(conn)
			})
		}
	})
	return u
}

func (u *unreliableServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if fields := strings.Fields(line); len(fields) > 1 {
			u.mutex.Lock()
			u.arrivals[fields[1]]++
			u.mutex.Unlock()
		}
		if err != nil || !u.respond(conn, reader) {
			return
		}
	}
}

// respond reads the rest of the request and reports whether the connection
// stays open. Closing after a complete response races with the next request.
func (u *unreliableServer) respond(conn net.Conn, reader *bufio.Reader) bool {
	for body := false; ; {
		line, err := reader.ReadString('\n')
		if err != nil {
			return false
		}
		body = body || strings.HasPrefix(line, "Transfer-Encoding")
		if line == "\r\n" && !body {
			break
		}
		if line == "0\r\n" {
			body = false
		}
	}
	u.mutex.Lock()
	draw := u.random.IntN(10)
	u.mutex.Unlock()
	switch draw {
	case 0:
		return false
	case 1:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
		return false
	case 2:
		_, _ = io.WriteString(conn, "HTTP/1.1 503 No\r\nRhubarbrack-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd")
	return draw > 4
}

// Guards against a request that arrives although it was reported as not
// written, or that arrives twice, when connections are lost, closed while idle
// and cancelled at random times.
func TestDispatchHistory(t *testing.T) {
	const workers, requests = 8, 150
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			u := startUnreliableServer(t, seed)
			c := NewClient(WithIdleConns(2))
			outcomes := make([]map[string]Outcome, workers)
			var all sync.WaitGroup
			for w := range workers {
				outcomes[w] = make(map[string]Outcome)
				random := rand.New(rand.NewPCG(seed, uint64(w)+1))
				all.Go(func() {
					for i := range requests {
						path := fmt.Sprintf("/%d/%d", w, i)
						outcomes[w][path] = u.request(t, c, random, path)
					}
				})
			}
			all.Wait()
			c.Close()
			_ = u.listener.Close()
			<-u.done
			u.conns.Wait()
			counts := make(map[Outcome]int)
			for _, list := range outcomes {
				for path, outcome := range list {
					counts[outcome]++
					u.check(t, path, outcome)
				}
			}
			t.Logf("seed %d: %v", seed, counts)
			for _, o := range []Outcome{NotRun, Ran, Unknown, Crashed, Shed} {
				if counts[o] == 0 {
					t.Errorf("no request had the outcome %v, so the test does not cover it", o)
				}
			}
		})
	}
}

// request dispatches one request. A quarter of the requests are cancelled
// concurrently by another goroutine.
func (u *unreliableServer) request(t *testing.T, c *Client, random *rand.Rand, path string) Outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if random.IntN(4) == 0 {
		cancelled := tasks.Go(ctx, func(context.Context) { cancel() })
		defer func() { <-cancelled }()
	}
	method := []string{http.MethodGet, http.MethodPost}[random.IntN(2)]
	r, err := NewRequest(method, path, WithHeader(http.Header{"Idempotency-Key": {"k"}}))
	if err != nil {
		t.Error(err)
	}
	return c.Dispatch(ctx, u.listener.Addr().String(), r, &bufferConsumer{}).Outcome()
}

func (u *unreliableServer) check(t *testing.T, path string, o Outcome) {
	t.Helper()
	arrived := u.arrivals[path]
	switch {
	case arrived > 1:
		t.Errorf("%s arrived %d times", path, arrived)
	case o == NotRun && arrived > 0:
		t.Errorf("%s was reported as not run but arrived", path)
	case (o == Ran || o == Shed) && arrived != 1:
		t.Errorf("%s had the outcome %v but arrived %d times", path, o, arrived)
	}
}
