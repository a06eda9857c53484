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
	// ErrNoAuthority means that the authority file has no certificate.
	ErrNoAuthority = errors.ConstError("no certificate of an authority")
	// ErrPeerCertificate means that the certificate of the peer was rejected.
	ErrPeerCertificate = errors.ConstError("certificate of the peer refused")
)

// defaultCheckInterval limits how often the files are read, and thereby how soon
// changed files take effect.
const defaultCheckInterval = 5 * time.Second

// Files holds the paths of the PEM files of a Source.
type Files struct {
	certificate, key, authority string
}

// NewFiles returns the paths of a certificate chain, of its private key and of
// the authority's certificates. The authority is optional for a server, which
// then requires no client certificates, but not for a client.
func NewFiles(certificate, key, authority string) Files {
	return Files{certificate: certificate, key: key, authority: authority}
}

// Certificate returns the path of the certificate chain.
func (f Files) Certificate() string { return f.certificate }

// Key returns the path of the private key.
func (f Files) Key() string { return f.key }

// Authority returns the path of the authority's certificates, or "".
func (f Files) Authority() string { return f.authority }

// pemData holds the contents of the files.
type pemData struct {
	certificate, key, authority []byte
	// noAuthority is true if the files do not include an authority.
	noAuthority bool
}

func (f Files) read() (pemData, error) {
	var data pemData
	parts := []struct {
		path        string
		destination *[]byte
	}{{f.certificate, &data.certificate}, {f.key, &data.key}, {f.authority, &data.authority}}
	data.noAuthority = f.authority == ""
	for _, p := range parts {
		if p.path == "" && data.noAuthority {
			continue
		}
		content, err := os.ReadFile(p.path)
		if err != nil {
			return pemData{}, fmt.Errorf("read certificates: %w", err)
		}
		*p.destination = content
	}
	return data, nil
}

func (p pemData) equal(other pemData) bool {
	return bytes.Equal(p.certificate, other.certificate) && bytes.Equal(p.key, other.key) &&
		bytes.Equal(p.authority, other.authority)
}

// credentials is the parsed form of pemData. It is immutable.
type credentials struct {
	certificate *tls.Certificate
	// roots is nil if there is no authority.
	roots *x509.CertPool
}

// clientAuth returns the policy of a server for client certificates.
func (c credentials) clientAuth() tls.ClientAuthType {
	if c.roots == nil {
		return tls.NoClientCert
	}
	return tls.RequireAndVerifyClientCert
}

func (p pemData) parse() (credentials, error) {
	certificate, err := tls.X509KeyPair(p.certificate, p.key)
	if err != nil {
		return credentials{}, fmt.Errorf("parse certificate: %w", err)
	}
	if p.noAuthority {
		return credentials{certificate: &certificate}, nil
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(p.authority) {
		return credentials{}, fmt.Errorf("parse authority: %w", ErrNoAuthority)
	}
	return credentials{certificate: &certificate, roots: roots}, nil
}

// Source provides TLS configurations from certificate files and follows changes
// of the files. It is safe for concurrent use.
type Source struct {
	files    Files
	inMemory bool
	clock    clock.Clock
	log      *slog.Logger
	interval time.Duration

	// mutex guards the fields below.
	mutex     sync.Mutex
	lastCheck time.Time
	content   pemData
	current   credentials
	// reloadFailing is true while reloads fail, so that only the first failure
	// is logged.
	reloadFailing bool
}

// Option configures a Source.
type Option func(*Source)

// WithClock sets the clock that times the checks and decides whether certificates
// have expired. The default is the system clock.
func WithClock(c clock.Clock) Option { return func(s *Source) { s.clock = c } }

// WithLogger sets the destination of log lines. The default is slog.Default().
func WithLogger(l *slog.Logger) Option { return func(s *Source) { s.log = l } }

// WithCheckInterval sets the minimum time between two checks of the files. The
// default is 5 s.
func WithCheckInterval(d time.Duration) Option { return func(s *Source) { s.interval = d } }

// Load returns a source of the files. It fails if they cannot be read or parsed.
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

func newSource(content pemData, options []Option) (*Source, error) {
	current, err := content.parse()
	if err != nil {
		return nil, fmt.Errorf("check certificates: %w", err)
	}
	s := &Source{clock: clock.Wall(), log: slog.Default(), interval: defaultCheckInterval, content: content, current: current}
	for _, apply := range options {
		apply(s)
	}
	s.lastCheck = s.clock.Now()
	return s, nil
}

// Reload reads the files without waiting for the check interval. On an error, the
// previous certificates stay in use.
func (s *Source) Reload() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reload()
}

// reload implements Reload. The caller must hold the mutex.
func (s *Source) reload() error {
	s.lastCheck = s.clock.Now()
	if s.inMemory {
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
	s.log.Info("certs: reloaded certificates", "file", s.files.certificate)
	return nil
}

// currentCredentials returns the current certificates. It checks the files first
// if the check interval has passed.
func (s *Source) currentCredentials() credentials {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.clock.Now().Sub(s.lastCheck) < s.interval {
		return s.current
	}
	err := s.reload()
	if err != nil && !s.reloadFailing {
		s.log.Error("certs: failed to reload certificates, keeping the previous ones", "error", err)
	}
	s.reloadFailing = err != nil
	return s.current
}

// ServerConfig returns a TLS configuration for servers. It requires clients to
// present a certificate of the authority, if the source has an authority. The
// configuration follows changes of the files.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := s.currentCredentials()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{*current.certificate},
				ClientAuth:             current.clientAuth(),
				ClientCAs:              current.roots,
				SessionTicketsDisabled: true,
				Time:                   s.clock.Now,
			}, nil
		},
	}
}

// ClientConfig returns a TLS configuration for connections to a server, whose
// certificate must be valid for the server name. The configuration follows
// changes of the files.
func (s *Source) ClientConfig(serverName string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: serverName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.currentCredentials().certificate, nil
		},
		// The default verification would use a fixed set of roots. Skip it:
		// VerifyConnection verifies the server against the current authority.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return s.verifyServer(serverName, state) },
		Time:               s.clock.Now,
	}
}

// verifyServer verifies the certificate chain and the name of a server against the
// current authority.
func (s *Source) verifyServer(serverName string, state tls.ConnectionState) error {
	if serverName == "" {
		return fmt.Errorf("%w: no server name to verify", ErrPeerCertificate)
	}
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("%w: server %s sent no certificate", ErrPeerCertificate, serverName)
	}
	if s.currentCredentials().roots == nil {
		return fmt.Errorf("%w: no authority to verify server %s", ErrPeerCertificate, serverName)
	}
	options := x509.VerifyOptions{
		DNSName: serverName, Roots: s.currentCredentials().roots, Intermediates: x509.NewCertPool(), CurrentTime: s.clock.Now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return fmt.Errorf("%w: server %s: %w", ErrPeerCertificate, serverName, err)
	}
	return nil
}

// PeerHost returns the host of the peer: the first DNS name in its certificate.
// It returns false if the peer presented no certificate or one without names. The
// certificate must have been verified.
func PeerHost(state tls.ConnectionState) (ident.Host, bool) {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].DNSNames) == 0 {
		return "", false
	}
	return ident.Host(state.PeerCertificates[0].DNSNames[0]), true
}
