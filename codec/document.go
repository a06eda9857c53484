package codec

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"

	"rhubarbrack/prof"
)

// MaxDocumentBytes bounds the source text of a document. A fleet with 100,000
// client blocks fits.
const MaxDocumentBytes = 4 << 20

// DecodeDocument decodes a YAML document. The field "kind" selects its type.
// The error is a *DocumentError.
func DecodeDocument(data []byte) (prof.Document, error) {
	parsed, err := parseYAML(data, MaxDocumentBytes)
	if err != nil {
		return nil, fmt.Errorf("decode document: %w", err)
	}
	kind := ""
	if node := childNode(parsed.root, "kind"); node != nil {
		kind = displayValue(node)
	}
	record, ok := newDocumentRecord(kind)
	if !ok {
		allowed := make([]string, 0, len(prof.Kinds()))
		for _, k := range prof.Kinds() {
			allowed = append(allowed, string(k))
		}
		err := prof.NewFieldError("kind", kind, "one of "+strings.Join(allowed, ", "))
		return nil, fmt.Errorf("decode document: %w", parsed.WithPositions(err))
	}
	if err := parsed.read(record); err != nil {
		return nil, fmt.Errorf("decode %s: %w", kind, err)
	}
	document, err := record.document()
	if err != nil {
		return nil, fmt.Errorf("decode %s: %w", kind, parsed.WithPositions(err))
	}
	return document, nil
}

// EncodeDocument encodes a document as YAML. DecodeDocument returns an equal
// document for the result.
func EncodeDocument(document prof.Document) ([]byte, error) {
	record, err := documentRecordOf(document)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	data, err := yaml.MarshalWithOptions(record, yaml.IndentSequence(true))
	if err != nil {
		return nil, fmt.Errorf("encode %s %q: %w", document.Kind(), document.Name(), err)
	}
	return data, nil
}
