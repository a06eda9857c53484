package codec

import (
	"fmt"

	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// maxNesting bounds the nesting of lists and maps. Documents need four levels.
// The parser recurses once per level and its memory grows quadratically:
// 20,000 levels of "- [" took 2.4 GB.
const maxNesting = 16

// rejectedTokens describes the YAML features that documents must not use.
// Aliases and merge keys allow a short text to expand to a very large
// document. The other features are not needed.
var rejectedTokens = map[token.Type]string{
	token.AnchorType:     "no anchors",
	token.AliasType:      "no aliases",
	token.MergeKeyType:   "no merge keys",
	token.TagType:        "no tags",
	token.DirectiveType:  "no directives",
	token.MappingKeyType: "no explicit keys",
}

// scan checks a text before it is parsed. It returns a violation and false if
// the text is too long, too deeply nested or uses a rejected YAML feature.
func scan(data []byte, limit int) (Violation, bool) {
	if len(data) > limit {
		return Violation{line: 1, column: 1, value: fmt.Sprintf("%d bytes", len(data)),
			allowed: fmt.Sprintf("at most %d bytes", limit)}, false
	}
	flow, dashes, line, columns := 0, 0, 0, []int(nil)
	for _, t := range lexer.Tokenize(string(data)) {
		if allowed, rejected := rejectedTokens[t.Type]; rejected {
			return violationAt(t, allowed), false
		}
		if t.Position.Line != line {
			line, dashes = t.Position.Line, 0
			columns = pushIndent(columns, t.Position.Column)
		}
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			flow++
		case token.SequenceEndType, token.MappingEndType:
			flow--
		case token.SequenceEntryType:
			dashes++
		}
		if flow+dashes+len(columns) > maxNesting {
			return violationAt(t, fmt.Sprintf("at most %d levels of nesting", maxNesting)), false
		}
	}
	return Violation{}, true
}

// pushIndent returns the stack of the start columns of the open blocks after a
// line that starts at the given column.
func pushIndent(columns []int, column int) []int {
	for len(columns) > 0 && columns[len(columns)-1] >= column {
		columns = columns[:len(columns)-1]
	}
	return append(columns, column)
}

func violationAt(t *token.Token, allowed string) Violation {
	return Violation{line: t.Position.Line, column: t.Position.Column, value: truncate(t.Value), allowed: allowed}
}
