package codec

import (
	"fmt"
	"strings"
)

// documentSeparator is the line that separates the documents of a file.
const documentSeparator = "---"

// DecodeDocuments decodes the documents of a file, which are separated by
// lines of "---". If one of them is invalid, it returns no documents and an
// error with the number of that document, counted from 1.
func DecodeDocuments(data []byte) ([]SourceDocument, error) {
	var out []SourceDocument
	for i, text := range splitDocuments(string(data)) {
		document, err := DecodeDocument([]byte(text))
		if err != nil {
			return nil, fmt.Errorf("document %d: %w", i+1, err)
		}
		out = append(out, SourceDocument{document: document, source: text})
	}
	return out, nil
}

func splitDocuments(text string) []string {
	var out []string
	var current strings.Builder
	flush := func() {
		if strings.TrimSpace(current.String()) != "" {
			out = append(out, current.String())
		}
		current.Reset()
	}
	for line := range strings.Lines(text) {
		if strings.TrimRight(line, "\r\n ") == documentSeparator {
			flush()
			continue
		}
		current.WriteString(line)
	}
	flush()
	return out
}
