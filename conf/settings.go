package conf

import (
	"net/netip"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// Role is the role of a process.
type Role string

// The roles of a process.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Listener identifies a listener of a process by the clients that it serves.
type Listener string

// The listeners of a process.
const (
	Callers   Listener = "callers"
	Peers     Listener = "peers"
	Operators Listener = "operators"
	Metrics   Listener = "metrics"
)

// Listeners returns all listeners.
func Listeners() []Listener { return []Listener{Callers, Peers, Operators, Metrics} }

// ControlHost is the name and the peer address of a control host.
type ControlHost struct {
	host    ident.Host
	address netip.AddrPort
}

// NewControlHost returns a control host.
func NewControlHost(host ident.Host, address netip.AddrPort) ControlHost {
	return ControlHost{host: host, address: address}
}

// Host returns the name of the host.
func (c ControlHost) Host() ident.Host { return c.host }

// Address returns the address on which the host serves its peers.
func (c ControlHost) Address() netip.AddrPort { return c.address }

// TLSFiles holds the paths of the PEM files of a listener.
type TLSFiles struct {
	certificate, key, authorities string
}

// NewTLSFiles returns the paths of a certificate chain, of its private key and of
// the certificates of the authorities that sign the other side's certificate.
// Authorities is empty if the other side needs no certificate.
func NewTLSFiles(certificate, key, authorities string) TLSFiles {
	return TLSFiles{certificate: certificate, key: key, authorities: authorities}
}

// Certificate returns the path of the certificate chain.
func (f TLSFiles) Certificate() string { return f.certificate }

// Key returns the path of the private key.
func (f TLSFiles) Key() string { return f.key }

// Authorities returns the path of the trusted authorities, or "".
func (f TLSFiles) Authorities() string { return f.authorities }

// OperatorToken holds the name of an operator and the digest of the operator's
// token. The token itself is not stored.
type OperatorToken struct {
	name string
	hash [32]byte
}

// NewOperatorToken returns the token record of a named operator from the SHA-256
// digest of the token.
func NewOperatorToken(name string, hash [32]byte) OperatorToken {
	return OperatorToken{name: name, hash: hash}
}

// Name returns the name of the operator.
func (t OperatorToken) Name() string { return t.name }

// Hash returns the SHA-256 digest of the token.
func (t OperatorToken) Hash() [32]byte { return t.hash }

// Limits bounds the resources that the clients of a listener can use.
type Limits struct {
	headerBytes, connections int64
	bodyBytes                int64
	idleTime, headerTime     time.Duration
}

// LimitOption sets a limit.
type LimitOption func(*Limits)

// LimitHeaderBytes limits the size of the headers of a request.
func LimitHeaderBytes(bytes int64) LimitOption { return func(l *Limits) { l.headerBytes = bytes } }

// LimitBodyBytes limits the size of the body of a request. A service may set a
// lower limit.
func LimitBodyBytes(bytes int64) LimitOption { return func(l *Limits) { l.bodyBytes = bytes } }

// LimitConnections limits the number of open connections of a listener.
func LimitConnections(count int64) LimitOption { return func(l *Limits) { l.connections = count } }

// LimitIdleTime limits the time for which a connection may be idle.
func LimitIdleTime(d time.Duration) LimitOption { return func(l *Limits) { l.idleTime = d } }

// LimitHeaderTime limits the time in which the headers of a request must arrive.
func LimitHeaderTime(d time.Duration) LimitOption { return func(l *Limits) { l.headerTime = d } }

// NewLimits returns the default limits, changed by the options. The defaults are
// 32 KiB of headers, 64 MiB of body, 10,000 connections, 2 minutes of idle time
// and 10 seconds for the headers.
func NewLimits(options ...LimitOption) Limits {
	l := Limits{headerBytes: 32 << 10, bodyBytes: 64 << 20, connections: 10_000, idleTime: 2 * time.Minute, headerTime: 10 * time.Second}
	for _, o := range options {
		o(&l)
	}
	return l
}

// HeaderBytes returns the maximum size of the headers of a request.
func (l Limits) HeaderBytes() int64 { return l.headerBytes }

// BodyBytes returns the maximum size of the body of a request.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// Connections returns the maximum number of open connections of a listener.
func (l Limits) Connections() int64 { return l.connections }

// IdleTime returns the maximum idle time of a connection.
func (l Limits) IdleTime() time.Duration { return l.idleTime }

// HeaderTime returns the maximum time in which the headers of a request must
// arrive.
func (l Limits) HeaderTime() time.Duration { return l.headerTime }

// Settings holds the settings of one process. It is immutable and always valid.
type Settings struct {
	role             Role
	host             ident.Host
	zone             ident.Zone
	region           ident.Region
	dataDirectory    string
	listenAddresses  map[Listener]netip.AddrPort
	controlHosts     []ControlHost
	platformList     string
	tlsFiles         map[Listener]TLSFiles
	operatorTokens   []OperatorToken
	limits           Limits
	plainTextAllowed bool
	// replacement marks a control host that an operator has yet to add to a
	// running cluster.
	replacement bool
}

// Role returns the role of the process.
func (s *Settings) Role() Role { return s.role }

// Host returns the name of the host.
func (s *Settings) Host() ident.Host { return s.host }

// Zone returns the availability zone of the host.
func (s *Settings) Zone() ident.Zone { return s.zone }

// Region returns the region of the host.
func (s *Settings) Region() ident.Region { return s.region }

// DataDirectory returns the directory for stored data, or "". Only a control
// host needs one.
func (s *Settings) DataDirectory() string { return s.dataDirectory }

// ListenAddress returns the address of a listener, and false if the process does
// not have this listener.
func (s *Settings) ListenAddress(listener Listener) (netip.AddrPort, bool) {
	a, ok := s.listenAddresses[listener]
	return a, ok
}

// ControlHosts returns the configured control hosts. On a control host, the list
// includes the host itself unless IsReplacement is true.
func (s *Settings) ControlHosts() []ControlHost { return slices.Clone(s.controlHosts) }

// PlatformList returns the URL of the platform's host list, or "".
func (s *Settings) PlatformList() string { return s.platformList }

// IsReplacement reports whether the process is a control host that an operator
// has yet to add to a running cluster.
func (s *Settings) IsReplacement() bool { return s.replacement }

// TLSFiles returns the TLS files of a listener, and false if the listener uses
// plain text.
func (s *Settings) TLSFiles(listener Listener) (TLSFiles, bool) {
	f, ok := s.tlsFiles[listener]
	return f, ok
}

// OperatorTokens returns the operator tokens.
func (s *Settings) OperatorTokens() []OperatorToken { return slices.Clone(s.operatorTokens) }

// Limits returns the limits of the process.
func (s *Settings) Limits() Limits { return s.limits }

// PlainTextAllowed reports whether the settings allow plain text beyond the
// loopback interface.
func (s *Settings) PlainTextAllowed() bool { return s.plainTextAllowed }
