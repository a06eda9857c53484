package conf

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"path/filepath"
	"slices"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
)

// Option sets one of the settings.
type Option func(*Settings)

// WithLocation sets the availability zone and the region of the host.
func WithLocation(zone ident.Zone, region ident.Region) Option {
	return func(s *Settings) { s.zone, s.region = zone, region }
}

// WithDataDirectory sets the directory for stored data.
func WithDataDirectory(directory string) Option {
	return func(s *Settings) { s.dataDirectory = directory }
}

// WithListenAddress sets the address of a listener.
func WithListenAddress(listener Listener, address netip.AddrPort) Option {
	return func(s *Settings) { s.listenAddresses[listener] = address }
}

// WithControlHosts adds control hosts.
func WithControlHosts(hosts ...ControlHost) Option {
	return func(s *Settings) { s.controlHosts = append(s.controlHosts, hosts...) }
}

// WithPlatformList sets the URL of the platform's host list.
func WithPlatformList(url string) Option { return func(s *Settings) { s.platformList = url } }

// WithTLS sets the TLS files of a listener.
func WithTLS(listener Listener, files TLSFiles) Option {
	return func(s *Settings) { s.tlsFiles[listener] = files }
}

// WithOperatorTokens adds operator tokens.
func WithOperatorTokens(tokens ...OperatorToken) Option {
	return func(s *Settings) { s.operatorTokens = append(s.operatorTokens, tokens...) }
}

// WithLimits sets the limits.
func WithLimits(limits Limits) Option { return func(s *Settings) { s.limits = limits } }

// WithReplacement marks a control host that replaces another one. It must not be
// among the listed control hosts, and joins the cluster when an operator adds it.
func WithReplacement(replacement bool) Option {
	return func(s *Settings) { s.replacement = replacement }
}

// WithPlainText sets whether listeners and the platform list may use plain text
// beyond the loopback interface.
func WithPlainText(allowed bool) Option { return func(s *Settings) { s.plainTextAllowed = allowed } }

// New returns the settings of a process. If they are invalid, it returns an error
// that joins a *prof.FieldError for each invalid field.
func New(role Role, host ident.Host, options ...Option) (*Settings, error) {
	s := &Settings{role: role, host: host, listenAddresses: make(map[Listener]netip.AddrPort),
		tlsFiles: make(map[Listener]TLSFiles), limits: NewLimits()}
	for _, o := range options {
		o(s)
	}
	var c checker
	c.require(role == RoleEntry || role == RoleControl, "role", role, "entry or control")
	c.requireName("host", string(host))
	c.requireName("zone", string(s.zone))
	c.requireName("region", string(s.region))
	s.checkListeners(&c)
	s.checkTLS(&c)
	s.checkControlHosts(&c)
	s.checkPlatformList(&c)
	s.checkOperatorTokens(&c)
	s.checkLimits(&c)
	if role == RoleControl || s.dataDirectory != "" {
		c.require(filepath.IsAbs(s.dataDirectory), "data-directory", s.dataDirectory, "an absolute path")
	}
	if len(c.errs) > 0 {
		return nil, fmt.Errorf("settings: %w", errors.Join(c.errs...))
	}
	return s, nil
}

// checker collects the errors of invalid fields.
type checker struct {
	errs []error
}

// require adds an error for the field unless ok is true. The argument allowed
// describes the values that the field accepts.
func (c *checker) require(ok bool, field string, value any, allowed string) {
	if !ok {
		c.errs = append(c.errs, prof.NewFieldError(field, value, allowed))
	}
}

func (c *checker) requireName(field, name string) {
	c.require(ident.CheckName("field", name) == nil, field, name,
		"1 to 63 lower-case letters, digits, dots and inner hyphens")
}

// requiredListeners returns the listeners that a process of the role must have.
func (r Role) requiredListeners() []Listener {
	if r == RoleControl {
		return []Listener{Peers, Operators}
	}
	return []Listener{Callers, Peers}
}

func (s *Settings) checkListeners(c *checker) {
	for _, listener := range s.role.requiredListeners() {
		_, ok := s.listenAddresses[listener]
		c.require(ok, "listen."+string(listener), "", "an IP:port")
	}
	seen := make(map[netip.AddrPort]struct{}, len(s.listenAddresses))
	for _, listener := range Listeners() {
		address, ok := s.listenAddresses[listener]
		if !ok {
			continue
		}
		field := "listen." + string(listener)
		c.require(address.IsValid() && !address.Addr().IsUnspecified(), field, address,
			"an IP:port that other hosts can reach, not the unspecified address")
		c.require(address.Port() != 0 || address.Addr().IsLoopback(), field, address,
			"a port from 1 to 65535, or 0 for any free port on the loopback interface")
		_, duplicate := seen[address]
		c.require(!duplicate || address.Port() == 0, field, address, "an address that no other listener has")
		seen[address] = struct{}{}
	}
}

// checkTLS requires TLS files for every listener that other hosts can reach,
// unless the settings explicitly allow plain text.
func (s *Settings) checkTLS(c *checker) {
	for _, listener := range Listeners() {
		address, listens := s.listenAddresses[listener]
		files, ok := s.tlsFiles[listener]
		field := "tls." + string(listener)
		if !ok {
			c.require(!listens || s.plainTextAllowed || address.Addr().IsLoopback(), field, "",
				fmt.Sprintf("TLS files, as %v is not on the loopback interface, or plain-text: %s", address, plainTextValueAllowed))
			continue
		}
		c.require(listens, field, files.certificate, "a party that the process listens to")
		c.require(filepath.IsAbs(files.certificate), field+".certificate", files.certificate, "an absolute path")
		c.require(filepath.IsAbs(files.key), field+".key", files.key, "an absolute path")
		c.require(filepath.IsAbs(files.authorities) || (files.authorities == "" && listener != Peers),
			field+".authorities", files.authorities, "an absolute path; peers need it, as they check each other")
	}
}

func (s *Settings) checkControlHosts(c *checker) {
	c.require(len(s.controlHosts) > 0, "control-hosts", "", "at least one control host")
	seen := ident.NewSet[ident.Host]()
	for i, h := range s.controlHosts {
		field := fmt.Sprintf("control-hosts[%d]", i)
		c.requireName(field+".host", string(h.host))
		c.require(!seen.Has(h.host), field+".host", h.host, "a host that is not listed before")
		seen.Add(h.host)
		c.require(h.address.IsValid() && !h.address.Addr().IsUnspecified() && h.address.Port() != 0,
			field+".address", h.address, "an IP:port")
	}
	c.require(s.role != RoleControl || s.replacement || seen.Has(s.host), "control-hosts", s.host,
		"a list that holds this host, or replacement: true")
	c.require(!s.replacement || s.role == RoleControl && !seen.Has(s.host), "replacement", s.replacement,
		"true only for a control host that the list of control hosts does not hold")
}

func (s *Settings) checkPlatformList(c *checker) {
	if s.platformList == "" {
		c.require(s.role != RoleEntry, "platform-list", "", "a URL")
		return
	}
	u, err := url.Parse(s.platformList)
	valid := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.User == nil
	c.require(valid, "platform-list", s.platformList, "an http or https URL without a user")
	if !valid || u.Scheme == "https" || s.plainTextAllowed {
		return
	}
	address, err := netip.ParseAddr(u.Hostname())
	c.require(err == nil && address.IsLoopback(), "platform-list", s.platformList,
		"an https URL beyond the loopback interface, or plain-text: "+plainTextValueAllowed)
}

func (s *Settings) checkOperatorTokens(c *checker) {
	c.require(s.role != RoleControl || len(s.operatorTokens) > 0, "operator-tokens", "", "at least one token")
	seen := ident.NewSet[string]()
	var hashes [][32]byte
	for i, t := range s.operatorTokens {
		field := fmt.Sprintf("operator-tokens[%d]", i)
		c.requireName(field+".name", t.name)
		c.require(!seen.Has(t.name), field+".name", t.name, "a name that is not listed before")
		c.require(!slices.Contains(hashes, t.hash), field+".sha256", "", "a token that is not listed before")
		seen.Add(t.name)
		hashes = append(hashes, t.hash)
	}
}

func (s *Settings) checkLimits(c *checker) {
	for _, l := range []struct {
		field                   string
		value, minimum, maximum int64
	}{
		{"limits.header-bytes", s.limits.headerBytes, 1 << 10, 16 << 20},
		{"limits.body-bytes", s.limits.bodyBytes, 0, prof.MaxBodyBytes},
		{"limits.connections", s.limits.connections, 1, 1_000_000},
	} {
		c.require(l.value >= l.minimum && l.value <= l.maximum, l.field, l.value,
			fmt.Sprintf("a whole number from %d to %d", l.minimum, l.maximum))
	}
	for _, l := range []struct {
		field string
		value time.Duration
	}{
		{"limits.idle-time", s.limits.idleTime},
		{"limits.header-time", s.limits.headerTime},
	} {
		c.require(l.value >= 100*time.Millisecond && l.value <= time.Hour, l.field, l.value, "a duration from 100ms to 1h")
	}
}
