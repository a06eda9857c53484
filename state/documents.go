package state

import (
	"fmt"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
)

// maxDocuments bounds the number of documents of all kinds. The expected
// number in two years is a few hundred services and teams.
const maxDocuments = 20_000

// PutDocument creates a document or replaces an existing one.
type PutDocument struct {
	operatorBase
	document prof.Document
	source   string
}

var _ configCommand = PutDocument{}

// NewPutDocument returns a command that puts a document with its source text
// into force. An expected revision of zero means that the document must not
// exist.
func NewPutDocument(request ident.RequestID, expected ident.Revision, document prof.Document,
	source string) PutDocument {
	return PutDocument{operatorBase: operatorBase{request: request, expected: expected}, document: document, source: source}
}

// Kind returns "put-document".
func (p PutDocument) Kind() string { return "put-document" }

// Document returns the document.
func (p PutDocument) Document() prof.Document { return p.document }

// Source returns the source text of the document.
func (p PutDocument) Source() string { return p.source }

func (p PutDocument) stamp(at time.Time) Command { p.at = at; return p }

func (p PutDocument) canonicalText() string {
	return documentKey(p.document.Kind(), p.document.Name()) + "\n" + p.source
}

func (p PutDocument) apply(c *Config, revision ident.Revision) (*Config, Outcome) {
	key := documentKey(p.document.Kind(), p.document.Name())
	old, exists := c.documents.get(key)
	if conflict, ok := p.checkExpected(old.revision, old.source); !ok {
		return c, conflict
	}
	if !exists && c.documents.len() >= maxDocuments {
		return c, refuse(ReasonTooMany, "there are %d documents already", maxDocuments)
	}
	if reason, detail := c.checkReferences(p.document); reason != "" {
		return c, refuse(reason, "%s", detail)
	}
	next := *c
	next.documents = c.documents.set(key, Document{document: p.document, source: p.source, revision: revision})
	next.hosts = c.reindexHosts(old.document, p.document)
	return &next, accept(true)
}

// reindexHosts returns the host name index after one document is replaced.
func (c *Config) reindexHosts(old, current prof.Document) tree[string, ident.Service] {
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
	operatorBase
	kind prof.Kind
	name string
}

var _ configCommand = DeleteDocument{}

// NewDeleteDocument returns a command that deletes a document.
func NewDeleteDocument(request ident.RequestID, expected ident.Revision, kind prof.Kind,
	name string) DeleteDocument {
	return DeleteDocument{operatorBase: operatorBase{request: request, expected: expected}, kind: kind, name: name}
}

// Kind returns "delete-document".
func (d DeleteDocument) Kind() string { return "delete-document" }

// DocumentKind returns the kind of the document.
func (d DeleteDocument) DocumentKind() prof.Kind { return d.kind }

// DocumentName returns the name of the document.
func (d DeleteDocument) DocumentName() string { return d.name }

func (d DeleteDocument) stamp(at time.Time) Command { d.at = at; return d }

func (d DeleteDocument) canonicalText() string { return documentKey(d.kind, d.name) }

func (d DeleteDocument) apply(c *Config, _ ident.Revision) (*Config, Outcome) {
	key := documentKey(d.kind, d.name)
	old, exists := c.documents.get(key)
	if !exists {
		return c, refuse(ReasonUnknownDocument, "there is no %s %q", d.kind, d.name)
	}
	if conflict, ok := d.checkExpected(old.revision, old.source); !ok {
		return c, conflict
	}
	if referrer := c.findReferrer(old.document); referrer != "" {
		return c, refuse(ReasonInUse, "%s %q is used by %s", d.kind, d.name, referrer)
	}
	next := *c
	next.documents = c.documents.remove(key)
	next.hosts = c.reindexHosts(old.document, nil)
	next.shares = c.removeShares(old.document)
	return &next, accept(true)
}

// removeShares returns the shares without those of a deleted service, so that
// they do not apply to a later service with the same name.
func (c *Config) removeShares(document prof.Document) tree[string, Shares] {
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

// findReferrer describes an object that refers to the document, or returns the
// empty string if there is none.
func (c *Config) findReferrer(document prof.Document) string {
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
		return c.findTeamReferrer(d.Team())
	}
	return ""
}

func (c *Config) findTeamReferrer(team ident.Team) string {
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
