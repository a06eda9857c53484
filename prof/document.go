package prof

// Kind is a kind of document.
type Kind string

// The kinds of documents.
const (
	KindFleet   Kind = "fleet"
	KindProfile Kind = "profile"
	KindTeam    Kind = "team"
	KindService Kind = "service"
)

// Kinds returns all kinds, ordered so that documents only refer to documents
// of earlier kinds.
func Kinds() []Kind { return []Kind{KindFleet, KindTeam, KindProfile, KindService} }

// Document is one of *Fleet, *Profile, *Team and *Service.
type Document interface {
	// Kind returns the kind of the document.
	Kind() Kind
	// Name returns the name of the document, unique within its kind.
	Name() string
}

var (
	_ Document = (*Fleet)(nil)
	_ Document = (*Profile)(nil)
	_ Document = (*Team)(nil)
	_ Document = (*Service)(nil)
)
