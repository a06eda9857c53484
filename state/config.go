package state

import (
	"strings"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
)

// Config holds the documents, keys, members, roles, shares, drains and
// suspects at one revision. It is immutable. The zero value is an empty
// configuration at revision 0.
type Config struct {
	revision  ident.Revision
	documents tree[string, Document]
	hosts     tree[string, ident.Service] // service by host name of a Host header
	keys      tree[ident.KeyID, Key]
	members   tree[ident.Host, Member]
	roles     tree[RoleName, Role]
	shares    tree[string, Shares]
	drains    tree[DrainID, Drain]
	suspects  tree[string, Suspect]
}

// NewConfig returns an empty configuration at revision 0.
func NewConfig() *Config { return &Config{} }

func documentKey(kind prof.Kind, name string) string { return string(kind) + "/" + name }

func sharesKey(service ident.Service, origin ident.Region) string {
	return string(service) + "/" + string(origin)
}

// Revision returns the revision of the latest change.
func (c *Config) Revision() ident.Revision { return c.revision }

// Document returns the document with the given kind and name, if it exists.
func (c *Config) Document(kind prof.Kind, name string) (Document, bool) {
	return c.documents.get(documentKey(kind, name))
}

// Documents returns all documents, sorted by kind and name.
func (c *Config) Documents() []Document { return c.documents.values() }

// Fleet returns the fleet document, if it exists.
func (c *Config) Fleet() (*prof.Fleet, bool) {
	return lookup[*prof.Fleet](c, prof.KindFleet, prof.FleetName)
}

// Profile returns the profile with the given name, if it exists.
func (c *Config) Profile(name string) (*prof.Profile, bool) {
	return lookup[*prof.Profile](c, prof.KindProfile, name)
}

// Team returns the team with the given name, if it exists.
func (c *Config) Team(name ident.Team) (*prof.Team, bool) {
	return lookup[*prof.Team](c, prof.KindTeam, string(name))
}

// Service returns the service with the given name, if it exists.
func (c *Config) Service(name ident.Service) (*prof.Service, bool) {
	return lookup[*prof.Service](c, prof.KindService, string(name))
}

// Teams returns all teams, sorted by name.
func (c *Config) Teams() []*prof.Team { return collect[*prof.Team](c) }

// Profiles returns all profiles, sorted by name.
func (c *Config) Profiles() []*prof.Profile { return collect[*prof.Profile](c) }

// Services returns all services, sorted by name.
func (c *Config) Services() []*prof.Service { return collect[*prof.Service](c) }

func lookup[T prof.Document](c *Config, kind prof.Kind, name string) (T, bool) {
	d, _ := c.Document(kind, name)
	out, ok := d.document.(T)
	return out, ok
}

func collect[T prof.Document](c *Config) []T {
	var out []T
	c.documents.each(func(_ string, d Document) bool {
		if v, ok := d.document.(T); ok {
			out = append(out, v)
		}
		return true
	})
	return out
}

// ServiceByHost returns the service that serves the host name of a Host
// header, if there is one. The header may include a port.
func (c *Config) ServiceByHost(host string) (*prof.Service, bool) {
	name, ok := c.hosts.get(HostName(host))
	if !ok {
		return nil, false
	}
	return c.Service(name)
}

// HostName returns the lower-case host name or IP address of a Host header,
// without the port and without the brackets of an IPv6 address.
func HostName(host string) string {
	host = strings.ToLower(host)
	if rest, ok := strings.CutPrefix(host, "["); ok {
		address, _, _ := strings.Cut(rest, "]")
		return address
	}
	if strings.Count(host, ":") == 1 {
		host, _, _ = strings.Cut(host, ":")
	}
	return strings.TrimSuffix(host, ".")
}

// Match returns the service and the route for the Host header, the method and
// the decoded path of a request. The service is nil if none serves the host.
func (c *Config) Match(host, method, path string) (*prof.Service, prof.Route, prof.Match) {
	service, ok := c.ServiceByHost(host)
	if !ok {
		return nil, prof.Route{}, prof.NoRoute
	}
	route, match := service.Match(method, path)
	return service, route, match
}

// Key returns the record of an issued key, if it exists. The record of a
// withdrawn key is retained for a limited time, so callers must check Valid.
func (c *Config) Key(id ident.KeyID) (Key, bool) { return c.keys.get(id) }

// Keys returns all retained keys, sorted by ID.
func (c *Config) Keys() []Key { return c.keys.values() }

// Member returns the member process on an entry host, if there is one.
func (c *Config) Member(host ident.Host) (Member, bool) { return c.members.get(host) }

// Members returns all members, sorted by host.
func (c *Config) Members() []Member { return c.members.values() }

// Role returns the latest assignment of a role, if it was ever assigned.
func (c *Config) Role(name RoleName) (Role, bool) { return c.roles.get(name) }

// Roles returns all roles, sorted by name.
func (c *Config) Roles() []Role { return c.roles.values() }

// Shares returns the distribution of a service's load from an origin region,
// if it has been set.
func (c *Config) Shares(service ident.Service, origin ident.Region) (Shares, bool) {
	return c.shares.get(sharesKey(service, origin))
}

// AllShares returns all distributions, sorted by service and origin.
func (c *Config) AllShares() []Shares { return c.shares.values() }

// Drain returns the drain with the given ID, if it is retained.
func (c *Config) Drain(id DrainID) (Drain, bool) { return c.drains.get(id) }

// Drains returns all retained drains, sorted by ID: planned ones, and those
// cancelled or ended within the retention time.
func (c *Config) Drains() []Drain { return c.drains.values() }

// Suspect returns the record of a request that crashed targets, if there is
// one. The record may have expired, so callers must check Until.
func (c *Config) Suspect(fingerprint ident.Fingerprint) (Suspect, bool) {
	return c.suspects.get(string(fingerprint[:]))
}

// Suspects returns all suspects, sorted by fingerprint.
func (c *Config) Suspects() []Suspect { return c.suspects.values() }
