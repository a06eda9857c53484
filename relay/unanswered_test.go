package relay

import (
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"rhubarbrack/scheme"
)

// post returns a request with a short body that must not run twice.
func post(id string) string {
	return "POST /once/1 HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nKey: key\r\nContent-Length: 4\r\n\r\nbody"
}

// TestUnansweredInLog guards against requests that were read whole and whose
// connection ends without a word about them. The target breaks the response to
// the first request off after some bytes of it.
func TestUnansweredInLog(t *testing.T) {
	cases := []struct {
		name string
		sent string
		want map[string]string
	}{
		{"one", get("/long/", "a"), map[string]string{"a": "broken-off"}},
		{"one that was handled behind it", get("/long/", "a") + get("/long/", "b"),
			map[string]string{"a": "broken-off", "b": "undelivered"}},
		{"one that was not begun behind it", get("/long/", "a") + post("b"),
			map[string]string{"a": "broken-off", "b": "not-begun"}},
		{"behind a body", post("a") + get("/long/", "b"), map[string]string{"a": "broken-off", "b": "not-begun"}},
		{"half of one behind it", get("/long/", "a") + post("b")[:70], map[string]string{"a": "broken-off"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			begun := make(chan struct{})
			_, address := startTestTarget(t, func(_ int, r *http.Request) string {
				if r.Header.Get("Id") == "b" {
					close(begun)
					return targetResponse(r, 200, "ok")
				}
				if c.want["b"] == "undelivered" {
					<-begun
				}
				return "!HTTP/1.1 200 x\r\nId: a\r\nStamp: s\r\nContent-Length: 1000000\r\n\r\nab"
			})
			records := make(logRecords, 100)
			h := newLoggedTestHost(t, address, slog.New(records))
			caller := newPipeliningCaller(t, h)
			caller.send(c.sent)
			// The connection has ended when the front end has no other ones.
			if _, err := io.Copy(io.Discard, caller.reader); err != nil {
				t.Fatal(err)
			}
			if err := h.front.Shutdown(t.Context()); err != nil {
				t.Fatal(err)
			}
			for len(records) > 0 {
				r := <-records
				if r["msg"] != "relay: request unanswered" {
					continue
				}
				if want := c.want[r["request"]]; r["cause"] != want {
					t.Errorf("log record %v, want cause %q", r, want)
				}
				delete(c.want, r["request"])
			}
			if len(c.want) > 0 {
				t.Errorf("no log record for %v", c.want)
			}
		})
	}
}

// TestAnsweredNotInLog guards against records of requests that were answered, or
// whose caller has left, as if the host had lost them.
func TestAnsweredNotInLog(t *testing.T) {
	cases := []struct {
		name  string
		sent  []string
		cause string
	}{
		{"kept connection", []string{get("/safe/", "a"), post("b"), get("/safe/", "c")}, ""},
		{"last request", []string{strings.Replace(post("a"), "Key", "Connection: close\r\nKey", 1)}, ""},
		{"caller leaves", []string{get("/long/", "leaves")}, "caller-left"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			arrived := make(chan struct{}, 10)
			_, address := startTestTarget(t, func(_ int, r *http.Request) string {
				arrived <- struct{}{}
				if r.Header.Get("Id") == "leaves" {
					<-t.Context().Done()
				}
				return targetResponse(r, 200, "body of "+r.Header.Get("Id"))
			})
			records := make(logRecords, 100)
			h := newLoggedTestHost(t, address, slog.New(records))
			h.front.SetLimits(scheme.NewLimits(1<<16, 1<<20, 0, 0))
			caller := newPipeliningCaller(t, h)
			for _, text := range c.sent {
				caller.send(text)
				<-arrived
				if c.cause == "" {
					caller.expect(strings.Split(text, "Id: ")[1][:1])
				}
			}
			if err := caller.conn.Close(); err != nil {
				t.Fatal(err)
			}
			if err := h.front.Shutdown(t.Context()); err != nil {
				t.Fatal(err)
			}
			found := ""
			for len(records) > 0 {
				if r := <-records; r["msg"] == "relay: request unanswered" {
					found += r["cause"]
				}
			}
			if found != c.cause {
				t.Errorf("causes %q in the log, want %q", found, c.cause)
			}
		})
	}
}

// chunked returns a request with a body in chunks.
func chunked(id string) string {
	return "POST /once/1 HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nKey: key\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"4\r\nbody\r\n0\r\n\r\n"
}

// lenient returns a request in a form that net/http reads and the scanner does
// not follow.
func lenient(id string) string {
	return strings.ReplaceAll(get("/safe/", id), "\r\n", "\n")
}
