package codec

import (
	"fmt"
	"strings"
)

// documentSeparator stands on a line of its own between the documents of one
// file.
const documentSeparator = "---"

// DecodeDocuments reads the documents of one file, separated by lines of
// "---". The error names the number of the document at fault, counted from 1;
// nothing is returned then.
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
