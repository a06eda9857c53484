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

// Option sets a part of the settings.
type Option func(*Settings)

// WithLocation sets the availability zone and the region of the host.
func WithLocation(zone ident.Zone, region ident.Region) Option {
	return func(s *Settings) { s.zone, s.region = zone, region }
}

// WithDataDirectory sets the directory for files.
func WithDataDirectory(directory string) Option { return func(s *Settings) { s.data = directory } }

// WithListenAddress sets the address at which the process listens to a party.
func WithListenAddress(party Listener, address netip.AddrPort) Option {
	return func(s *Settings) { s.listen[party] = address }
}

// WithControlHosts adds control hosts.
func WithControlHosts(hosts ...ControlHost) Option {
	return func(s *Settings) { s.controls = append(s.controls, hosts...) }
}

// WithPlatformList sets the URL of the platform's host list.
func WithPlatformList(url string) Option { return func(s *Settings) { s.platform = url } }

// WithTLS sets the files for a listener.
func WithTLS(party Listener, files TLSFiles) Option { return func(s *Settings) { s.tls[party] = files } }

// WithOperatorTokens adds operators' tokens.
func WithOperatorTokens(tokens ...OperatorToken) Option {
	return func(s *Settings) { s.tokens = append(s.tokens, tokens...) }
}

// WithLimits sets the limits.
func WithLimits(limits Limits) Option { return func(s *Settings) { s.limits = limits } }

// WithReplacement marks a control host that takes the place of another one. It
// is not listed among the control hosts and takes part once an operator has
// added it.
func WithReplacement(on bool) Option { return func(s *Settings) { s.replacement = on } }

// WithPlainText allows plain text beyond the loopback interface.
func WithPlainText(allowed bool) Option { return func(s *Settings) { s.plainText = allowed } }

// New returns the settings of a process, or an error that holds one
// *prof.FieldError for each fault.
func New(role Role, host ident.Host, options ...Option) (*Settings, error) {
	s := &Settings{role: role, host: host, listen: make(map[Listener]netip.AddrPort),
		tls: make(map[Listener]TLSFiles), limits: NewLimits()}
	for _, o := range options {
		o(s)
	}
	var c checker
	c.require(role == RoleEntry || role == RoleControl, "role", role, "entry or control")
	c.name("host", string(host))
	c.name("zone", string(s.zone))
	c.name("region", string(s.region))
	s.checkListen(&c)
	s.checkTLS(&c)
	s.checkControls(&c)
	s.checkPlatform(&c)
	s.checkTokens(&c)
	s.checkLimits(&c)
	if role == RoleControl || s.data != "" {
		c.require(filepath.IsAbs(s.data), "data-directory", s.data, "an absolute path")
	}
	if len(c.faults) > 0 {
		return nil, fmt.Errorf("settings: %w", errors.Join(c.faults...))
	}
	return s, nil
}

type checker struct {
	faults []error
}

func (c *checker) require(ok bool, field string, value any, allowed string) {
	if !ok {
		c.faults = append(c.faults, prof.NewFieldError(field, value, allowed))
	}
}

func (c *checker) name(field, name string) {
	c.require(ident.CheckName("field", name) == nil, field, name,
		"1 to 63 lower-case letters, digits, dots and inner hyphens")
}

// needed returns the parties that a process of the role must listen to.
func (r Role) needed() []Listener {
	if r == RoleControl {
		return []Listener{Peers, Operators}
	}
	return []Listener{Callers, Peers}
}

func (s *Settings) checkListen(c *checker) {
	for _, party := range s.role.needed() {
		_, ok := s.listen[party]
		c.require(ok, "listen."+string(party), "", "an IP:port")
	}
	seen := make(map[netip.AddrPort]struct{}, len(s.listen))
	for _, party := range Listeners() {
		address, ok := s.listen[party]
		if !ok {
			continue
		}
		field := "listen." + string(party)
		c.require(address.IsValid() && !address.Addr().IsUnspecified(), field, address,
			"an IP:port that other hosts can reach, not the unspecified address")
		c.require(address.Port() != 0 || address.Addr().IsLoopback(), field, address,
			"a port from 1 to 65535, or 0 for any free port on the loopback interface")
		_, double := seen[address]
		c.require(!double || address.Port() == 0, field, address, "an address that no other listener has")
		seen[address] = struct{}{}
	}
}

// checkTLS requires files for every listener that other hosts can reach,
// unless the settings allow plain text in words.
func (s *Settings) checkTLS(c *checker) {
	for _, party := range Listeners() {
		address, listens := s.listen[party]
		files, ok := s.tls[party]
		field := "tls." + string(party)
		if !ok {
			c.require(!listens || s.plainText || address.Addr().IsLoopback(), field, "",
				fmt.Sprintf("TLS files, as %v is not on the loopback interface, or plain-text: %s", address, plainTextAllowed))
			continue
		}
		c.require(listens, field, files.certificate, "a party that the process listens to")
		c.require(filepath.IsAbs(files.certificate), field+".certificate", files.certificate, "an absolute path")
		c.require(filepath.IsAbs(files.key), field+".key", files.key, "an absolute path")
		c.require(filepath.IsAbs(files.authorities) || (files.authorities == "" && party != Peers),
			field+".authorities", files.authorities, "an absolute path; peers need it, as they check each other")
	}
}

func (s *Settings) checkControls(c *checker) {
	c.require(len(s.controls) > 0, "control-hosts", "", "at least one control host")
	seen := ident.NewSet[ident.Host]()
	for i, h := range s.controls {
		field := fmt.Sprintf("control-hosts[%d]", i)
		c.name(field+".host", string(h.host))
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

func (s *Settings) checkPlatform(c *checker) {
	if s.platform == "" {
		c.require(s.role != RoleEntry, "platform-list", "", "a URL")
		return
	}
	u, err := url.Parse(s.platform)
	valid := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.User == nil
	c.require(valid, "platform-list", s.platform, "an http or https URL without a user")
	if !valid || u.Scheme == "https" || s.plainText {
		return
	}
	address, err := netip.ParseAddr(u.Hostname())
	c.require(err == nil && address.IsLoopback(), "platform-list", s.platform,
		"an https URL beyond the loopback interface, or plain-text: "+plainTextAllowed)
}

func (s *Settings) checkTokens(c *checker) {
	c.require(s.role != RoleControl || len(s.tokens) > 0, "operator-tokens", "", "at least one token")
	seen := ident.NewSet[string]()
	var hashes [][32]byte
	for i, t := range s.tokens {
		field := fmt.Sprintf("operator-tokens[%d]", i)
		c.name(field+".name", t.name)
		c.require(!seen.Has(t.name), field+".name", t.name, "a name that is not listed before")
		c.require(!slices.Contains(hashes, t.hash), field+".sha256", "", "a token that is not listed before")
		seen.Add(t.name)
		hashes = append(hashes, t.hash)
	}
}

func (s *Settings) checkLimits(c *checker) {
	for _, l := range []struct {
		field             string
		value, least, top int64
	}{
		{"limits.header-bytes", s.limits.header, 1 << 10, 16 << 20},
		{"limits.body-bytes", s.limits.body, 0, prof.MaxBodyBytes},
		{"limits.connections", s.limits.connections, 1, 1_000_000},
	} {
		c.require(l.value >= l.least && l.value <= l.top, l.field, l.value,
			fmt.Sprintf("a whole number from %d to %d", l.least, l.top))
	}
	for _, l := range []struct {
		field string
		value time.Duration
	}{
		{"limits.idle-time", s.limits.idle},
		{"limits.header-time", s.limits.headerTime},
	} {
		c.require(l.value >= 100*time.Millisecond && l.value <= time.Hour, l.field, l.value, "a duration from 100ms to 1h")
	}
}
