package target

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"rhubarbrack/tasks"
)

// Guards against a request that fails, or arrives twice or without its body,
// because the connection that it received from the pool is given up before the
// request is written.
func TestDispatchReplacesConnection(t *testing.T) {
	cases := []struct {
		name, body  string
		retired     bool
		wantReused  bool
		wantArrival string
	}{
		{name: "kept", wantReused: true, wantArrival: "/next "},
		{name: "given up", retired: true, wantArrival: "/next "},
		{name: "given up, with a body", body: "abc", retired: true, wantArrival: "/next abc"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			arrivals := make(chan string, 4)
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				arrivals <- r.URL.Path + " " + string(body)
			}))
			defer server.Close()
			c := NewClient()
			defer c.Close()
			address := server.Listener.Addr().String()
			first := c.newExchange(context.Background(), address, mustRequest(t, "GET", "/first"))
			defer first.close()
			// The response has no body, so the transport keeps the connection
			// while the exchange has not decided about it.
			if _, err := c.transport.RoundTrip(first.request); err != nil {
				t.Fatal(err)
			}
			<-arrivals
			results := make(chan Result, 1)
			tasks.Go(context.Background(), func(ctx context.Context) {
				r := mustRequest(t, "GET", "/next", WithBody(strings.NewReader(tc.body), int64(len(tc.body))))
				results <- c.Dispatch(ctx, address, r, &bufferConsumer{})
			})
			if tc.retired {
				first.retireConn()
			}
			first.releaseConn()
			got := <-results
			if got.Outcome() != Ran || got.Reused() != tc.wantReused {
				t.Fatalf("%v, %v, reused %v; want %v, reused %v", got.Outcome(), got.Err(), got.Reused(), Ran, tc.wantReused)
			}
			if arrived := <-arrivals; arrived != tc.wantArrival || len(arrivals) > 0 {
				t.Errorf("%q arrived and %d more, want only %q", arrived, len(arrivals), tc.wantArrival)
			}
		})
	}
}
