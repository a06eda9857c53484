package state

import (
	"strings"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
)

// Config is the configuration, the membership, the roles, the shares, the
// drains and the suspects at one revision. It is immutable. The zero value
// and NewConfig are empty.
type Config struct {
	revision  ident.Revision
	documents tree[string, Document]
	hosts     tree[string, ident.Service]
	keys      tree[ident.KeyID, Key]
	members   tree[ident.Host, Member]
	roles     tree[RoleName, Role]
	shares    tree[string, Shares]
	drains    tree[DrainID, Drain]
	suspects  tree[string, Suspect]
}

// NewConfig returns the empty configuration at revision 0.
func NewConfig() *Config { return &Config{} }

func documentKey(kind prof.Kind, name string) string { return string(kind) + "/" + name }

func sharesKey(service ident.Service, origin ident.Region) string {
	return string(service) + "/" + string(origin)
}

// Revision returns the revision of the latest change.
func (c *Config) Revision() ident.Revision { return c.revision }

// Document returns the document of that kind and name, if it exists.
func (c *Config) Document(kind prof.Kind, name string) (Document, bool) {
	return c.documents.get(documentKey(kind, name))
}

// Documents returns all documents in ascending order of kind and name.
func (c *Config) Documents() []Document { return c.documents.values() }

// Fleet returns the fleet, if it exists.
func (c *Config) Fleet() (*prof.Fleet, bool) {
	return lookup[*prof.Fleet](c, prof.KindFleet, prof.FleetName)
}

// Profile returns the profile of that name, if it exists.
func (c *Config) Profile(name string) (*prof.Profile, bool) {
	return lookup[*prof.Profile](c, prof.KindProfile, name)
}

// Team returns the team of that name, if it exists.
func (c *Config) Team(name ident.Team) (*prof.Team, bool) {
	return lookup[*prof.Team](c, prof.KindTeam, string(name))
}

// Service returns the service of that name, if it exists.
func (c *Config) Service(name ident.Service) (*prof.Service, bool) {
	return lookup[*prof.Service](c, prof.KindService, string(name))
}

// Teams returns all teams in ascending order of their names.
func (c *Config) Teams() []*prof.Team { return collect[*prof.Team](c) }

// Profiles returns all profiles in ascending order of their names.
func (c *Config) Profiles() []*prof.Profile { return collect[*prof.Profile](c) }

// Services returns all services in ascending order of their names.
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

// ServiceByHost returns the service that answers to a Host header, with or
// without a port, if there is one.
func (c *Config) ServiceByHost(host string) (*prof.Service, bool) {
	name, ok := c.hosts.get(HostName(host))
	if !ok {
		return nil, false
	}
	return c.Service(name)
}

// HostName returns the lower-case name or address of a Host header without
// its port and without brackets.
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

// Match returns the service and the route for a request's Host header, method
// and decoded path. The service is nil when no service answers to the host.
func (c *Config) Match(host, method, path string) (*prof.Service, prof.Route, prof.Match) {
	service, ok := c.ServiceByHost(host)
	if !ok {
		return nil, prof.Route{}, prof.NoRoute
	}
	route, match := service.Match(method, path)
	return service, route, match
}

// Key returns the record of an issued key, if it exists. A withdrawn key
// stays on record for a while, so the caller checks Valid.
func (c *Config) Key(id ident.KeyID) (Key, bool) { return c.keys.get(id) }

// Keys returns all keys on record in ascending order of their ids.
func (c *Config) Keys() []Key { return c.keys.values() }

// Member returns the process of an entry host, if it has one.
func (c *Config) Member(host ident.Host) (Member, bool) { return c.members.get(host) }

// Members returns all members in ascending order of their hosts.
func (c *Config) Members() []Member { return c.members.values() }

// Role returns the latest assignment of a role, if there was one.
func (c *Config) Role(name RoleName) (Role, bool) { return c.roles.get(name) }

// Roles returns all roles in ascending order of their names.
func (c *Config) Roles() []Role { return c.roles.values() }

// Shares returns the distribution of a service's load from an origin region,
// if one has been set.
func (c *Config) Shares(service ident.Service, origin ident.Region) (Shares, bool) {
	return c.shares.get(sharesKey(service, origin))
}

// AllShares returns all distributions in ascending order of service and
// origin.
func (c *Config) AllShares() []Shares { return c.shares.values() }

// Drain returns the drain of that id, if it is on record.
func (c *Config) Drain(id DrainID) (Drain, bool) { return c.drains.get(id) }

// Drains returns the drains on record in ascending order of their ids:
// planned, cancelled and those that ended within the last day.
func (c *Config) Drains() []Drain { return c.drains.values() }

// Suspect returns the suspicion against a request, if there is one. The
// caller compares its end with the time.
func (c *Config) Suspect(fingerprint ident.Fingerprint) (Suspect, bool) {
	return c.suspects.get(string(fingerprint[:]))
}

// Suspects returns all suspects in ascending order of their fingerprints.
func (c *Config) Suspects() []Suspect { return c.suspects.values() }
