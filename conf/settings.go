package conf

import (
	"net/netip"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// Role says what a process does.
type Role string

// The roles of a process.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Listener names a party that a process listens to.
type Listener string

// The parties that a process listens to.
const (
	Callers   Listener = "callers"
	Peers     Listener = "peers"
	Operators Listener = "operators"
	Metrics   Listener = "metrics"
)

// Listeners returns all parties.
func Listeners() []Listener { return []Listener{Callers, Peers, Operators, Metrics} }

// ControlHost is a control host and the address at which peers reach it.
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

// Address returns the address at which peers reach the host.
func (c ControlHost) Address() netip.AddrPort { return c.address }

// TLSFiles are the paths of PEM files for TLS.
type TLSFiles struct {
	certificate, key, authorities string
}

// NewTLSFiles returns the paths of a certificate chain, its private key and the
// authorities that sign the other side's certificates. The last is empty when
// the other side needs no certificate.
func NewTLSFiles(certificate, key, authorities string) TLSFiles {
	return TLSFiles{certificate: certificate, key: key, authorities: authorities}
}

// Certificate returns the path of the certificate chain.
func (f TLSFiles) Certificate() string { return f.certificate }

// Key returns the path of the private key.
func (f TLSFiles) Key() string { return f.key }

// Authorities returns the path of the trusted authorities, or "".
func (f TLSFiles) Authorities() string { return f.authorities }

// OperatorToken is an operator's token, of which only the digest is kept.
type OperatorToken struct {
	name string
	hash [32]byte
}

// NewOperatorToken returns the token of a named operator with its SHA-256 digest.
func NewOperatorToken(name string, hash [32]byte) OperatorToken { return OperatorToken{name: name, hash: hash} }

// Name returns the name of the operator.
func (t OperatorToken) Name() string { return t.name }

// Hash returns the SHA-256 digest of the token.
func (t OperatorToken) Hash() [32]byte { return t.hash }

// Limits bound what one peer can use up.
type Limits struct {
	header, connections int64
	body                int64
	idle, headerTime    time.Duration
}

// LimitOption sets a limit.
type LimitOption func(*Limits)

// LimitHeaderBytes bounds the bytes of a request's headers.
func LimitHeaderBytes(bytes int64) LimitOption { return func(l *Limits) { l.header = bytes } }

// LimitBodyBytes bounds the bytes of a request's body. A service may set less.
func LimitBodyBytes(bytes int64) LimitOption { return func(l *Limits) { l.body = bytes } }

// LimitConnections bounds the open connections of a listener.
func LimitConnections(count int64) LimitOption { return func(l *Limits) { l.connections = count } }

// LimitIdleTime bounds the time for which a connection may be idle.
func LimitIdleTime(d time.Duration) LimitOption { return func(l *Limits) { l.idle = d } }

// LimitHeaderTime bounds the time in which a request's headers must arrive.
func LimitHeaderTime(d time.Duration) LimitOption { return func(l *Limits) { l.headerTime = d } }

// NewLimits returns the default limits with changes: headers 32 KiB, bodies
// 64 MiB, 10,000 connections, 2 minutes idle, 10 seconds for headers.
func NewLimits(options ...LimitOption) Limits {
	l := Limits{header: 32 << 10, body: 64 << 20, connections: 10_000, idle: 2 * time.Minute, headerTime: 10 * time.Second}
	for _, o := range options {
		o(&l)
	}
	return l
}

// HeaderBytes returns the bound on the bytes of a request's headers.
func (l Limits) HeaderBytes() int64 { return l.header }

// BodyBytes returns the bound on the bytes of a request's body.
func (l Limits) BodyBytes() int64 { return l.body }

// Connections returns the bound on the open connections of a listener.
func (l Limits) Connections() int64 { return l.connections }

// IdleTime returns the bound on the idle time of a connection.
func (l Limits) IdleTime() time.Duration { return l.idle }

// HeaderTime returns the bound on the time in which headers must arrive.
func (l Limits) HeaderTime() time.Duration { return l.headerTime }

// Settings are the settings of one process. They are immutable and valid.
type Settings struct {
	role      Role
	host      ident.Host
	zone      ident.Zone
	region    ident.Region
	data      string
	listen    map[Listener]netip.AddrPort
	controls  []ControlHost
	platform  string
	tls       map[Listener]TLSFiles
	tokens    []OperatorToken
	limits    Limits
	plainText bool
	// replacement is true for a control host that waits to be added.
	replacement bool
}

// Role returns what the process does.
func (s *Settings) Role() Role { return s.role }

// Host returns the name of the host.
func (s *Settings) Host() ident.Host { return s.host }

// Zone returns the availability zone of the host.
func (s *Settings) Zone() ident.Zone { return s.zone }

// Region returns the region of the host.
func (s *Settings) Region() ident.Region { return s.region }

// DataDirectory returns the directory for files, empty on an entry host.
func (s *Settings) DataDirectory() string { return s.data }

// ListenAddress returns the address at which the process listens to a party, if it
// does.
func (s *Settings) ListenAddress(party Listener) (netip.AddrPort, bool) {
	a, ok := s.listen[party]
	return a, ok
}

// ControlHosts returns all control hosts. On a control host, it is one of
// them.
func (s *Settings) ControlHosts() []ControlHost { return slices.Clone(s.controls) }

// PlatformList returns the URL of the platform's host list, or "".
func (s *Settings) PlatformList() string { return s.platform }

// IsReplacement reports whether the control host waits to be added to a running
// cluster.
func (s *Settings) IsReplacement() bool { return s.replacement }

// TLSFiles returns the files for a listener. Without files it speaks plain text.
func (s *Settings) TLSFiles(party Listener) (TLSFiles, bool) {
	f, ok := s.tls[party]
	return f, ok
}

// OperatorTokens returns the operators' tokens.
func (s *Settings) OperatorTokens() []OperatorToken { return slices.Clone(s.tokens) }

// Limits returns the limits of the process.
func (s *Settings) Limits() Limits { return s.limits }

// PlainTextAllowed reports whether the settings allow plain text beyond the
// loopback interface.
func (s *Settings) PlainTextAllowed() bool { return s.plainText }
