package intact

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"rhubarbrack/script"
)

// startServer starts a server that answers the first request with one text, and the
// others with another one, behind which it ends the connection. It returns its address.
func startServer(t *testing.T, first, others string) string {
	t.Helper()
	var requests atomic.Int64
	address, err := script.Start(t.Context(), script.OnRequests(func(c *net.TCPConn, _ *http.Request) bool {
		text, isFirst := others, requests.Add(1) == 1
		if isFirst {
			text = first
		}
		_, err := io.WriteString(c, text)
		return isFirst && err == nil
	}))
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// fetch requests a body.
func fetch(client *http.Client, url string) (string, error) {
	r, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	return string(body), err
}

// TestTransport guards against a malformed header that is accepted on a connection
// that has carried an earlier response.
func TestTransport(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	cases := []struct {
		name, text string
		malformed  bool
	}{
		{"sound", sound, false},
		{"until the end of the connection", "HTTP/1.1 200 OK\r\n\r\nok", false},
		{"interim response before", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + sound, false},
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", true},
		{"blank in a name", "HTTP/1.1 200 OK\r\nFoo Bar: x\r\nContent-Length: 2\r\n\r\nok", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url := "http://" + startServer(t, sound, c.text)
			client := &http.Client{Transport: NewTransport(&http.Transport{})}
			t.Cleanup(client.CloseIdleConnections)
			if body, err := fetch(client, url); err != nil || body != "ok" {
				t.Fatalf("first response: body %q, error %v", body, err)
			}
			body, err := fetch(client, url)
			if errors.Is(err, ErrMalformed) != c.malformed || !c.malformed && (err != nil || body != "ok") {
				t.Errorf("body %q, error %v, want malformed %v", body, err, c.malformed)
			}
		})
	}
}

// TestTransportWithTLS guards against a server that is reached over TLS and whose
// responses are rejected, or whose certificate is not verified.
func TestTransportWithTLS(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	t.Cleanup(server.Close)
	trusted := server.Client().Transport.(*http.Transport).TLSClientConfig
	cases := []struct {
		name      string
		transport *http.Transport
		fails     bool
	}{
		{"trusted", &http.Transport{TLSClientConfig: trusted}, false},
		{"not trusted", &http.Transport{}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := &http.Client{Transport: NewTransport(c.transport)}
			t.Cleanup(client.CloseIdleConnections)
			if body, err := fetch(client, server.URL); (err != nil) != c.fails || !c.fails && body != "ok" {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}
