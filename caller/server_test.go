package caller

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestRequestsReadTogetherAtShutdown guards against a request that was read whole with
// the one before it and gets neither a response nor a refusal, because the server shuts
// down while the one before it is handled.
func TestRequestsReadTogetherAtShutdown(t *testing.T) {
	begun, released := make(chan struct{}, 2), make(chan struct{}, 2)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		<-released
		w.WriteHeader(http.StatusNoContent)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := NewLimits(1<<16, time.Minute, time.Minute, 0)
	server := Serve(listener, handler, limits, slog.New(slog.DiscardHandler))
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	request := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	if _, err := io.WriteString(conn, request+request); err != nil {
		t.Fatal(err)
	}
	<-begun
	ended := make(chan error, 1)
	go func() { ended <- server.Shutdown(t.Context()) }()
	<-server.Done()
	released <- struct{}{}
	released <- struct{}{}
	reader := bufio.NewReader(conn)
	for i := range 2 {
		r, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d of 2: %v", i+1, err)
		}
		_ = r.Body.Close()
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
