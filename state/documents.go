package state

import (
	"fmt"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
)

// maxDocuments bounds the documents of all kinds. Two years from now some
// hundred services and teams are expected.
const maxDocuments = 20_000

// PutDocument creates or replaces a document.
type PutDocument struct {
	operator
	document prof.Document
	source   string
}

var _ configCommand = PutDocument{}

// NewPutDocument returns the command that puts a document with its source
// text in force. The expected revision is zero when it must not exist.
func NewPutDocument(request ident.RequestID, expected ident.Revision, document prof.Document,
	source string) PutDocument {
	return PutDocument{operator: operator{request: request, expected: expected}, document: document, source: source}
}

// Kind returns "put-document".
func (p PutDocument) Kind() string { return "put-document" }

// Document returns the document.
func (p PutDocument) Document() prof.Document { return p.document }

// Source returns the text of the document.
func (p PutDocument) Source() string { return p.source }

func (p PutDocument) stamp(at time.Time) Command { p.at = at; return p }

func (p PutDocument) text() string {
	return documentKey(p.document.Kind(), p.document.Name()) + "\n" + p.source
}

func (p PutDocument) apply(c *Config, revision ident.Revision) (*Config, Outcome) {
	key := documentKey(p.document.Kind(), p.document.Name())
	old, exists := c.documents.get(key)
	if conflict, ok := p.check(old.revision, old.source); !ok {
		return c, conflict
	}
	if !exists && c.documents.len() >= maxDocuments {
		return c, refuse(ReasonTooMany, "there are %d documents already", maxDocuments)
	}
	if reason, detail := c.checkPut(p.document); reason != "" {
		return c, refuse(reason, "%s", detail)
	}
	next := *c
	next.documents = c.documents.set(key, Document{document: p.document, source: p.source, revision: revision})
	next.hosts = c.hostsWith(old.document, p.document)
	return &next, accept(true)
}

// hostsWith returns the index of host names after one document was replaced.
func (c *Config) hostsWith(old, current prof.Document) tree[string, ident.Service] {
	hosts := c.hosts
	if s, ok := old.(*prof.Service); ok {
		for _, h := range s.Hosts() {
			hosts = hosts.remove(h)
		}
	}
	if s, ok := current.(*prof.Service); ok {
		for _, h := range s.Hosts() {
			hosts = hosts.set(h, s.Service())
		}
	}
	return hosts
}

// DeleteDocument deletes a document.
type DeleteDocument struct {
	operator
	kind prof.Kind
	name string
}

var _ configCommand = DeleteDocument{}

// NewDeleteDocument returns the command that deletes a document.
func NewDeleteDocument(request ident.RequestID, expected ident.Revision, kind prof.Kind,
	name string) DeleteDocument {
	return DeleteDocument{operator: operator{request: request, expected: expected}, kind: kind, name: name}
}

// Kind returns "delete-document".
func (d DeleteDocument) Kind() string { return "delete-document" }

// DocumentKind returns the kind of the document.
func (d DeleteDocument) DocumentKind() prof.Kind { return d.kind }

// DocumentName returns the name of the document.
func (d DeleteDocument) DocumentName() string { return d.name }

func (d DeleteDocument) stamp(at time.Time) Command { d.at = at; return d }

func (d DeleteDocument) text() string { return documentKey(d.kind, d.name) }

func (d DeleteDocument) apply(c *Config, _ ident.Revision) (*Config, Outcome) {
	key := documentKey(d.kind, d.name)
	old, exists := c.documents.get(key)
	if !exists {
		return c, refuse(ReasonUnknownDocument, "there is no %s %q", d.kind, d.name)
	}
	if conflict, ok := d.check(old.revision, old.source); !ok {
		return c, conflict
	}
	if user := c.userOf(old.document); user != "" {
		return c, refuse(ReasonInUse, "%s %q is used by %s", d.kind, d.name, user)
	}
	next := *c
	next.documents = c.documents.remove(key)
	next.hosts = c.hostsWith(old.document, nil)
	next.shares = c.sharesWithout(old.document)
	return &next, accept(true)
}

// sharesWithout drops the shares of a deleted service, so that a later service
// of the same name starts without them.
func (c *Config) sharesWithout(document prof.Document) tree[string, Shares] {
	shares := c.shares
	if s, ok := document.(*prof.Service); ok {
		for _, sh := range c.AllShares() {
			if sh.service == s.Service() {
				shares = shares.remove(sharesKey(sh.service, sh.origin))
			}
		}
	}
	return shares
}

// userOf names what needs the document, or returns "".
func (c *Config) userOf(document prof.Document) string {
	switch d := document.(type) {
	case *prof.Fleet:
		if profiles := c.Profiles(); len(profiles) > 0 {
			return fmt.Sprintf("profile %q", profiles[0].Name())
		}
	case *prof.Profile:
		for _, s := range c.Services() {
			if s.Profile() == d.Name() {
				return fmt.Sprintf("service %q", s.Name())
			}
		}
	case *prof.Team:
		return c.userOfTeam(d.Team())
	}
	return ""
}

func (c *Config) userOfTeam(team ident.Team) string {
	for _, p := range c.Profiles() {
		for _, t := range p.TeamPolicies() {
			if t.Team() == team {
				return fmt.Sprintf("profile %q", p.Name())
			}
		}
	}
	for _, k := range c.Keys() {
		if k.team == team && k.Valid() {
			return fmt.Sprintf("key %q", k.id)
		}
	}
	return ""
}
