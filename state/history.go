package state

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
)

const (
	// maxVersions bounds the number of versions retained for each document.
	maxVersions = 50
	// maxHistoryBytes bounds the total size of the source texts retained for
	// each document, because a fleet with many client blocks is large. The
	// latest version is retained regardless of its size.
	maxHistoryBytes = 4 << 20
	// maxHistories bounds the number of documents with a history, including
	// deleted ones. When it is exceeded, the history of the deleted document
	// with the oldest deletion is evicted.
	maxHistories = 2 * maxDocuments
)

// Version is one version of a document.
type Version struct {
	revision ident.Revision
	at       time.Time
	source   string
	deleted  bool
	request  ident.RequestID
}

// NewVersion returns a version read from a snapshot.
func NewVersion(revision ident.Revision, at time.Time, source string, deleted bool,
	request ident.RequestID) Version {
	return Version{revision: revision, at: canonicalTime(at), source: source, deleted: deleted, request: request}
}

// Revision returns the revision at which the version took effect.
func (v Version) Revision() ident.Revision { return v.revision }

// At returns the time of the change.
func (v Version) At() time.Time { return v.at }

// Source returns the source text of the document. It is empty for a deletion.
func (v Version) Source() string { return v.source }

// Deleted reports whether the change deleted the document.
func (v Version) Deleted() bool { return v.deleted }

// Request returns the request ID of the operator's command.
func (v Version) Request() ident.RequestID { return v.request }

// History holds the retained versions of a document.
type History struct {
	kind     prof.Kind
	name     string
	versions []Version
}

// NewHistory returns a history read from a snapshot. The versions are ordered
// from oldest to newest.
func NewHistory(kind prof.Kind, name string, versions []Version) History {
	return History{kind: kind, name: name, versions: append([]Version(nil), versions...)}
}

// Kind returns the kind of the document.
func (h History) Kind() prof.Kind { return h.kind }

// Name returns the name of the document.
func (h History) Name() string { return h.name }

// Versions returns the versions, oldest first.
func (h History) Versions() []Version { return append([]Version(nil), h.versions...) }

// History returns the latest versions of a document, oldest first: at most 50,
// and fewer if their source texts are large. Deletions count as versions.
func (m *Machine) History(kind prof.Kind, name string) []Version {
	versions, _ := m.history.documents.get(documentKey(kind, name))
	return append([]Version(nil), versions...)
}

// history holds the versions of all documents by document key.
type history struct {
	documents tree[string, []Version]
}

func newHistory() *history { return &history{} }

func (h *history) add(key string, v Version) {
	old, exists := h.documents.get(key)
	if !exists && h.documents.len() >= maxHistories {
		h.evictDeleted()
	}
	h.documents = h.documents.set(key, trimVersions(append(append([]Version(nil), old...), v)))
}

// trimVersions returns the latest versions that are within the bounds.
func trimVersions(versions []Version) []Version {
	size, first := 0, len(versions)
	for first > 0 && len(versions)-first < maxVersions {
		size += len(versions[first-1].source)
		if size > maxHistoryBytes && first < len(versions) {
			break
		}
		first--
	}
	return versions[first:]
}

// evictDeleted removes the history of the deleted document with the oldest
// deletion.
func (h *history) evictDeleted() {
	oldest, minRevision := "", ident.Revision(0)
	h.documents.each(func(key string, versions []Version) bool {
		last := versions[len(versions)-1]
		if last.deleted && (oldest == "" || last.revision < minRevision) {
			oldest, minRevision = key, last.revision
		}
		return true
	})
	h.documents = h.documents.remove(oldest)
}

// source returns the source text of the version with the given revision, or
// the empty string if it is not retained.
func (h *history) source(key string, revision ident.Revision) string {
	versions, _ := h.documents.get(key)
	for _, v := range versions {
		if v.revision == revision {
			return v.source
		}
	}
	return ""
}
