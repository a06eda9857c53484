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

func quietLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

func authority(t *testing.T) *Authority {
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

func source(t *testing.T, p KeyPair, c clock.Clock) *Source {
	t.Helper()
	s, err := p.Source(WithClock(c))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// shake runs one handshake over a pipe. The client also reads one byte: with
// TLS 1.3, it learns of a refusal only after its own part.
func shake(server, client *tls.Config) (state tls.ConnectionState, serverErr, clientErr error) {
	near, far := net.Pipe()
	s, c := tls.Server(near, server), tls.Client(far, client)
	done := tasks.Go(context.Background(), func(context.Context) {
		if serverErr = s.Handshake(); serverErr == nil {
			_, serverErr = s.Write([]byte{1})
		}
		_ = near.Close()
	})
	if clientErr = c.Handshake(); clientErr == nil {
		_, clientErr = c.Read(make([]byte, 1))
	}
	_ = far.Close()
	<-done
	return s.ConnectionState(), serverErr, clientErr
}

// Guards against connections that one side did not prove.
func TestHandshake(t *testing.T) {
	ours, foreign := authority(t), authority(t)
	now := clock.NewManual(start)
	later := clock.NewManual(start.Add(validFor + time.Hour))
	server := source(t, issue(t, ours, "control-1"), now)
	client := source(t, issue(t, ours, "entry-1"), now)
	old := client.ClientConfig("control-1")
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	bare := client.ClientConfig("control-1")
	bare.GetClientCertificate = nil
	cases := []struct {
		name           string
		server, client *tls.Config
		wantServer     bool
		wantClient     bool
	}{
		{name: "both of the authority", server: server.ServerConfig(), client: client.ClientConfig("control-1"), wantServer: true, wantClient: true},
		{name: "server of another name", server: server.ServerConfig(), client: client.ClientConfig("control-2")},
		{name: "client without a name to compare", server: server.ServerConfig(), client: client.ClientConfig("")},
		{name: "server of a foreign authority", server: source(t, issue(t, foreign, "control-1"), now).ServerConfig(), client: client.ClientConfig("control-1")},
		{name: "client of a foreign authority", server: server.ServerConfig(), client: func() *tls.Config {
			c := client.ClientConfig("control-1")
			c.GetClientCertificate = source(t, issue(t, foreign, "entry-1"), now).ClientConfig("control-1").GetClientCertificate
			return c
		}()},
		{name: "client without certificate", server: server.ServerConfig(), client: bare},
		{name: "TLS 1.2", server: server.ServerConfig(), client: old},
		{name: "expired for the client", server: server.ServerConfig(), client: source(t, issue(t, ours, "entry-1"), later).ClientConfig("control-1")},
		{name: "expired for the server", server: source(t, issue(t, ours, "control-1"), later).ServerConfig(), client: client.ClientConfig("control-1")},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			state, serverErr, clientErr := shake(tc.server, tc.client)
			if (serverErr == nil) != tc.wantServer || (clientErr == nil) != tc.wantClient {
				t.Errorf("server %v, client %v; want success %v, %v", serverErr, clientErr, tc.wantServer, tc.wantClient)
			}
			if host, ok := PeerHost(state); tc.wantServer && (!ok || host != "entry-1") {
				t.Errorf("Peer = %q, %v; want entry-1", host, ok)
			}
		})
	}
}

// Guards against new files that need a restart, and against broken files that
// put working certificates out of force.
func TestReload(t *testing.T) {
	first, second := authority(t), authority(t)
	directory := t.TempDir()
	files, err := issue(t, first, "control-1").Write(directory, "control-1")
	if err != nil {
		t.Fatal(err)
	}
	c := clock.NewManual(start)
	server, err := Load(files, WithClock(c), WithCheckInterval(time.Second), WithLogger(quietLog()))
	if err != nil {
		t.Fatal(err)
	}
	settings := server.ServerConfig()
	before := source(t, issue(t, first, "entry-1"), c).ClientConfig("control-1")
	after := source(t, issue(t, second, "entry-1"), c).ClientConfig("control-1")
	replace := func() error {
		_, err := issue(t, second, "control-1").Write(directory, "control-1")
		return err
	}
	steps := []struct {
		name       string
		change     func() error
		advance    time.Duration
		want, deny *tls.Config
	}{
		{name: "at start", change: func() error { return nil }, want: before, deny: after},
		{name: "broken file", change: func() error { return os.WriteFile(files.key, []byte("x"), 0o600) },
			advance: time.Second, want: before, deny: after},
		{name: "new files before the check", change: replace, want: before, deny: after},
		{name: "new files after the check", change: func() error { return nil }, advance: time.Second, want: after, deny: before},
		{name: "file removed", change: func() error { return os.Remove(files.key) }, advance: time.Second, want: after, deny: before},
	}
	for _, s := range steps {
		if err := s.change(); err != nil {
			t.Fatal(err)
		}
		c.Advance(s.advance)
		if _, _, err := shake(settings, s.want); err != nil {
			t.Errorf("%s: %v", s.name, err)
		}
		if _, _, err := shake(settings, s.deny); !errors.Is(err, ErrPeerCertificate) {
			t.Errorf("%s: error %v of the other authority's client, want %v", s.name, err, ErrPeerCertificate)
		}
	}
}
