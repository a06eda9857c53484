package state

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
)

const (
	// historyLength bounds the versions that are kept of each document.
	historyLength = 50
	// historyBytes bounds the source texts that are kept of each document, as
	// a fleet with many client blocks is large. The latest version is kept
	// whatever its size.
	historyBytes = 4 << 20
	// historyDocuments bounds the documents with a history, deleted ones
	// included. Beyond it, the deleted document that changed least recently is
	// forgotten.
	historyDocuments = 2 * maxDocuments
)

// Version is one version of a document.
type Version struct {
	revision ident.Revision
	at       time.Time
	source   string
	deleted  bool
	request  ident.RequestID
}

// NewVersion returns a version for a snapshot.
func NewVersion(revision ident.Revision, at time.Time, source string, deleted bool,
	request ident.RequestID) Version {
	return Version{revision: revision, at: clean(at), source: source, deleted: deleted, request: request}
}

// Revision returns the revision that put the version in force.
func (v Version) Revision() ident.Revision { return v.revision }

// At returns the time of the change.
func (v Version) At() time.Time { return v.at }

// Source returns the text of the document, empty for a deletion.
func (v Version) Source() string { return v.source }

// Deleted reports whether the change deleted the document.
func (v Version) Deleted() bool { return v.deleted }

// Request returns the request id of the operator's command.
func (v Version) Request() ident.RequestID { return v.request }

// History is the list of a document's versions.
type History struct {
	kind     prof.Kind
	name     string
	versions []Version
}

// NewHistory returns a history for a snapshot, oldest version first.
func NewHistory(kind prof.Kind, name string, versions []Version) History {
	return History{kind: kind, name: name, versions: append([]Version(nil), versions...)}
}

// Kind returns the kind of the document.
func (h History) Kind() prof.Kind { return h.kind }

// Name returns the name of the document.
func (h History) Name() string { return h.name }

// Versions returns the versions, oldest first.
func (h History) Versions() []Version { return append([]Version(nil), h.versions...) }

// History returns the last versions of a document, oldest first: at most 50,
// and fewer when their texts are large. Deletions are versions, too.
func (m *Machine) History(kind prof.Kind, name string) []Version {
	versions, _ := m.history.documents.get(documentKey(kind, name))
	return append([]Version(nil), versions...)
}

type history struct {
	documents tree[string, []Version]
}

func newHistory() *history { return &history{} }

func (h *history) add(key string, v Version) {
	old, exists := h.documents.get(key)
	if !exists && h.documents.len() >= historyDocuments {
		h.forget()
	}
	h.documents = h.documents.set(key, trim(append(append([]Version(nil), old...), v)))
}

// trim drops the oldest versions that exceed the bounds.
func trim(versions []Version) []Version {
	size, first := 0, len(versions)
	for first > 0 && len(versions)-first < historyLength {
		size += len(versions[first-1].source)
		if size > historyBytes && first < len(versions) {
			break
		}
		first--
	}
	return versions[first:]
}

// forget drops the deleted document that changed least recently.
func (h *history) forget() {
	oldest, least := "", ident.Revision(0)
	h.documents.each(func(key string, versions []Version) bool {
		last := versions[len(versions)-1]
		if last.deleted && (oldest == "" || last.revision < least) {
			oldest, least = key, last.revision
		}
		return true
	})
	h.documents = h.documents.remove(oldest)
}

func (h *history) source(key string, revision ident.Revision) string {
	versions, _ := h.documents.get(key)
	for _, v := range versions {
		if v.revision == revision {
			return v.source
		}
	}
	return ""
}
