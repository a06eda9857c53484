package certs

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
)

// Errors of this package, found with errors.Is.
const (
	// ErrNoAuthority means that no certificate of an authority was found.
	ErrNoAuthority = errors.ConstError("no certificate of an authority")
	// ErrPeerCertificate means that the other side's certificate was refused.
	ErrPeerCertificate = errors.ConstError("certificate of the peer refused")
)

// defaultCheckInterval bounds the delay until changed files take effect, and
// the number of file reads.
const defaultCheckInterval = 5 * time.Second

// Files names the PEM files of a process.
type Files struct {
	certificate, key, authority string
}

// NewFiles returns the paths of the certificate (with its intermediates), of
// its key and of the authority's certificates. A server without a file of
// authorities accepts clients without certificates; a client needs one.
func NewFiles(certificate, key, authority string) Files {
	return Files{certificate: certificate, key: key, authority: authority}
}

// Certificate returns the path of the certificate.
func (f Files) Certificate() string { return f.certificate }

// Key returns the path of the key.
func (f Files) Key() string { return f.key }

// Authority returns the path of the authority's certificates, or nothing.
func (f Files) Authority() string { return f.authority }

// material is the content of the files.
type material struct {
	certificate, key, authority []byte
	// anonymous is true when no file of authorities is named.
	anonymous bool
}

func (f Files) read() (material, error) {
	var m material
	parts := []struct {
		path string
		into *[]byte
	}{{f.certificate, &m.certificate}, {f.key, &m.key}, {f.authority, &m.authority}}
	m.anonymous = f.authority == ""
	for _, p := range parts {
		if p.path == "" && m.anonymous {
			continue
		}
		content, err := os.ReadFile(p.path)
		if err != nil {
			return material{}, fmt.Errorf("read certificates: %w", err)
		}
		*p.into = content
	}
	return m, nil
}

func (m material) equal(other material) bool {
	return bytes.Equal(m.certificate, other.certificate) && bytes.Equal(m.key, other.key) &&
		bytes.Equal(m.authority, other.authority)
}

// identity is parsed material. It is immutable.
type identity struct {
	pair *tls.Certificate
	// roots is nil when clients need no certificate.
	roots *x509.CertPool
}

// clientAuth returns what a server asks of clients.
func (i identity) clientAuth() tls.ClientAuthType {
	if i.roots == nil {
		return tls.NoClientCert
	}
	return tls.RequireAndVerifyClientCert
}

func (m material) parse() (identity, error) {
	pair, err := tls.X509KeyPair(m.certificate, m.key)
	if err != nil {
		return identity{}, fmt.Errorf("parse certificate: %w", err)
	}
	if m.anonymous {
		return identity{pair: &pair}, nil
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(m.authority) {
		return identity{}, fmt.Errorf("parse authority: %w", ErrNoAuthority)
	}
	return identity{pair: &pair, roots: roots}, nil
}

// Source holds the certificates in force. It is safe for concurrent use.
type Source struct {
	files    Files
	fixed    bool
	clock    clock.Clock
	log      *slog.Logger
	interval time.Duration

	mutex   sync.Mutex
	checked time.Time
	content material
	current identity
	failing bool
}

// Option changes a default of Load.
type Option func(*Source)

// WithClock sets the clock, which also decides whether certificates have
// expired. The default is the clock of the machine.
func WithClock(c clock.Clock) Option { return func(s *Source) { s.clock = c } }

// WithLogger sets the log. The default is slog.Default.
func WithLogger(l *slog.Logger) Option { return func(s *Source) { s.log = l } }

// WithCheckInterval sets the least time between two checks of the files. The
// default is 5 s.
func WithCheckInterval(d time.Duration) Option { return func(s *Source) { s.interval = d } }

// Load returns a source of the files, which must be valid now.
func Load(files Files, options ...Option) (*Source, error) {
	content, err := files.read()
	if err != nil {
		return nil, fmt.Errorf("load certificates: %w", err)
	}
	s, err := newSource(content, options)
	if err != nil {
		return nil, fmt.Errorf("load certificates: %w", err)
	}
	s.files = files
	return s, nil
}

func newSource(content material, options []Option) (*Source, error) {
	current, err := content.parse()
	if err != nil {
		return nil, fmt.Errorf("check certificates: %w", err)
	}
	s := &Source{clock: clock.Wall(), log: slog.Default(), interval: defaultCheckInterval, content: content, current: current}
	for _, apply := range options {
		apply(s)
	}
	s.checked = s.clock.Now()
	return s, nil
}

// Reload reads the files now. On an error, the last good certificates stay in
// force.
func (s *Source) Reload() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reload()
}

// reload requires the mutex.
func (s *Source) reload() error {
	s.checked = s.clock.Now()
	if s.fixed {
		return nil
	}
	content, err := s.files.read()
	if err != nil {
		return fmt.Errorf("reload certificates: %w", err)
	}
	if content.equal(s.content) {
		return nil
	}
	current, err := content.parse()
	if err != nil {
		return fmt.Errorf("reload certificates: %w", err)
	}
	s.content, s.current = content, current
	s.log.Info("certs: new certificates in force", "file", s.files.certificate)
	return nil
}

// identity returns the certificates in force, after a check of the files when
// one is due.
func (s *Source) identity() identity {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.clock.Now().Sub(s.checked) < s.interval {
		return s.current
	}
	err := s.reload()
	if err != nil && !s.failing {
		s.log.Error("certs: files cannot be used, the last certificates stay", "error", err)
	}
	s.failing = err != nil
	return s.current
}

// ServerConfig returns settings that require a certificate of the authority from
// each client. Without a file of authorities, clients need none.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := s.identity()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{*now.pair},
				ClientAuth:             now.clientAuth(),
				ClientCAs:              now.roots,
				SessionTicketsDisabled: true,
				Time:                   s.clock.Now,
			}, nil
		},
	}
}

// ClientConfig returns settings for connections to the server with the given name,
// which its certificate must bear. The settings can be kept; they follow the
// files.
func (s *Source) ClientConfig(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: name,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.identity().pair, nil
		},
		// The usual verification uses the authority of the time when the
		// settings were made. VerifyConnection replaces it by the one in
		// force.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return s.verifyServer(name, state) },
		Time:               s.clock.Now,
	}
}

func (s *Source) verifyServer(name string, state tls.ConnectionState) error {
	if name == "" {
		return fmt.Errorf("%w: no name to compare with", ErrPeerCertificate)
	}
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("%w: server %s sent none", ErrPeerCertificate, name)
	}
	if s.identity().roots == nil {
		return fmt.Errorf("%w: no authority to check server %s", ErrPeerCertificate, name)
	}
	options := x509.VerifyOptions{
		DNSName: name, Roots: s.identity().roots, Intermediates: x509.NewCertPool(), CurrentTime: s.clock.Now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return fmt.Errorf("%w: server %s: %w", ErrPeerCertificate, name, err)
	}
	return nil
}

// PeerHost returns the host that a verified certificate of the other side names
// first.
func PeerHost(state tls.ConnectionState) (ident.Host, bool) {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].DNSNames) == 0 {
		return "", false
	}
	return ident.Host(state.PeerCertificates[0].DNSNames[0]), true
}
