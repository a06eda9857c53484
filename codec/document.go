package codec

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"

	"rhubarbrack/prof"
)

// MaxDocumentBytes bounds the text of a document in bytes. A fleet with 100,000
// client blocks fits.
const MaxDocumentBytes = 4 << 20

// DecodeDocument reads a document from YAML. The field "kind" selects the
// kind. The error is a *DocumentError.
func DecodeDocument(data []byte) (prof.Document, error) {
	s, err := parseYAML(data, MaxDocumentBytes)
	if err != nil {
		return nil, fmt.Errorf("decode document: %w", err)
	}
	kind := ""
	if node := child(s.root, "kind"); node != nil {
		kind = shown(node)
	}
	record, ok := newDocumentRecord(kind)
	if !ok {
		allowed := make([]string, 0, len(prof.Kinds()))
		for _, k := range prof.Kinds() {
			allowed = append(allowed, string(k))
		}
		err := prof.NewFieldError("kind", kind, "one of "+strings.Join(allowed, ", "))
		return nil, fmt.Errorf("decode document: %w", s.WithPositions(err))
	}
	if err := s.read(record); err != nil {
		return nil, fmt.Errorf("decode %s: %w", kind, err)
	}
	document, err := record.document()
	if err != nil {
		return nil, fmt.Errorf("decode %s: %w", kind, s.WithPositions(err))
	}
	return document, nil
}

// EncodeDocument returns the YAML text of a document. DecodeDocument gives an
// equal document back.
func EncodeDocument(document prof.Document) ([]byte, error) {
	record, err := recordOf(document)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	data, err := yaml.MarshalWithOptions(record, yaml.IndentSequence(true))
	if err != nil {
		return nil, fmt.Errorf("encode %s %q: %w", document.Kind(), document.Name(), err)
	}
	return data, nil
}
