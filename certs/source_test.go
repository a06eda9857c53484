package certs

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

func newAuthority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority(start)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func issue(t *testing.T, a *Authority, host ident.Host) KeyPair {
	t.Helper()
	p, err := a.Issue(host)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func newTestSource(t *testing.T, p KeyPair, c clock.Clock) *Source {
	t.Helper()
	s, err := p.Source(WithClock(c))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// handshake runs one handshake over a pipe. The client also reads one byte, since
// a TLS 1.3 client completes its handshake before it learns that the server
// rejected its certificate.
func handshake(server, client *tls.Config) (state tls.ConnectionState, serverErr, clientErr error) {
	serverConn, clientConn := net.Pipe()
	s, c := tls.Server(serverConn, server), tls.Client(clientConn, client)
	done := tasks.Go(context.Background(), func(context.Context) {
		if serverErr = s.Handshake(); serverErr == nil {
			_, serverErr = s.Write([]byte{1})
		}
		_ = serverConn.Close()
	})
	if clientErr = c.Handshake(); clientErr == nil {
		_, clientErr = c.Read(make([]byte, 1))
	}
	_ = clientConn.Close()
	<-done
	return s.ConnectionState(), serverErr, clientErr
}

// Guards against connections to a peer whose certificate is missing, expired, of
// another authority or of another host, and against TLS versions before 1.3.
func TestHandshake(t *testing.T) {
	trusted, foreign := newAuthority(t), newAuthority(t)
	now := clock.NewManual(start)
	later := clock.NewManual(start.Add(validity + time.Hour))
	server := newTestSource(t, issue(t, trusted, "control-1"), now)
	client := newTestSource(t, issue(t, trusted, "entry-1"), now)
	tls12 := client.ClientConfig("control-1")
	tls12.MinVersion, tls12.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	withoutCertificate := client.ClientConfig("control-1")
	withoutCertificate.GetClientCertificate = nil
	cases := []struct {
		name           string
		server, client *tls.Config
		wantServer     bool
		wantClient     bool
	}{
		{name: "both of the authority", server: server.ServerConfig(), client: client.ClientConfig("control-1"), wantServer: true, wantClient: true},
		{name: "server of another name", server: server.ServerConfig(), client: client.ClientConfig("control-2")},
		{name: "client without a name to compare", server: server.ServerConfig(), client: client.ClientConfig("")},
		{name: "server of a foreign authority", server: newTestSource(t, issue(t, foreign, "control-1"), now).ServerConfig(), client: client.ClientConfig("control-1")},
		{name: "client of a foreign authority", server: server.ServerConfig(), client: func() *tls.Config {
			c := client.ClientConfig("control-1")
			c.GetClientCertificate = newTestSource(t, issue(t, foreign, "entry-1"), now).ClientConfig("control-1").GetClientCertificate
			return c
		}()},
		{name: "client without certificate", server: server.ServerConfig(), client: withoutCertificate},
		{name: "TLS 1.2", server: server.ServerConfig(), client: tls12},
		{name: "expired for the client", server: server.ServerConfig(), client: newTestSource(t, issue(t, trusted, "entry-1"), later).ClientConfig("control-1")},
		{name: "expired for the server", server: newTestSource(t, issue(t, trusted, "control-1"), later).ServerConfig(), client: client.ClientConfig("control-1")},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			state, serverErr, clientErr := handshake(tc.server, tc.client)
			if (serverErr == nil) != tc.wantServer || (clientErr == nil) != tc.wantClient {
				t.Errorf("server %v, client %v; want success %v, %v", serverErr, clientErr, tc.wantServer, tc.wantClient)
			}
			if host, ok := PeerHost(state); tc.wantServer && (!ok || host != "entry-1") {
				t.Errorf("PeerHost = %q, %v; want entry-1", host, ok)
			}
		})
	}
}

// Guards against changed files that take effect only after a restart, and against
// invalid files that replace working certificates.
func TestReload(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	directory := t.TempDir()
	files, err := issue(t, first, "control-1").Write(directory, "control-1")
	if err != nil {
		t.Fatal(err)
	}
	c := clock.NewManual(start)
	server, err := Load(files, WithClock(c), WithCheckInterval(time.Second), WithLogger(discardLog()))
	if err != nil {
		t.Fatal(err)
	}
	serverConfig := server.ServerConfig()
	firstClient := newTestSource(t, issue(t, first, "entry-1"), c).ClientConfig("control-1")
	secondClient := newTestSource(t, issue(t, second, "entry-1"), c).ClientConfig("control-1")
	replace := func() error {
		_, err := issue(t, second, "control-1").Write(directory, "control-1")
		return err
	}
	steps := []struct {
		name               string
		change             func() error
		advance            time.Duration
		accepted, rejected *tls.Config
	}{
		{name: "at start", change: func() error { return nil }, accepted: firstClient, rejected: secondClient},
		{name: "broken file", change: func() error { return os.WriteFile(files.key, []byte("x"), 0o600) },
			advance: time.Second, accepted: firstClient, rejected: secondClient},
		{name: "new files before the check", change: replace, accepted: firstClient, rejected: secondClient},
		{name: "new files after the check", change: func() error { return nil }, advance: time.Second, accepted: secondClient, rejected: firstClient},
		{name: "file removed", change: func() error { return os.Remove(files.key) }, advance: time.Second, accepted: secondClient, rejected: firstClient},
	}
	for _, s := range steps {
		if err := s.change(); err != nil {
			t.Fatal(err)
		}
		c.Advance(s.advance)
		if _, _, err := handshake(serverConfig, s.accepted); err != nil {
			t.Errorf("%s: %v", s.name, err)
		}
		if _, _, err := handshake(serverConfig, s.rejected); !errors.Is(err, ErrPeerCertificate) {
			t.Errorf("%s: error %v of the other authority's client, want %v", s.name, err, ErrPeerCertificate)
		}
	}
}
