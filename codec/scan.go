package codec

import (
	"fmt"

	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// maxNesting bounds the nesting of lists and maps. Documents need four levels.
// The parser recurses once per level with quadratic memory: 20,000 levels of
// "- [" took 2.4 GB.
const maxNesting = 16

// refusedTokens are parts of YAML that documents do not need. Aliases and
// merge keys let a short text stand for a very long one.
var refusedTokens = map[token.Type]string{
	token.AnchorType:     "no anchors",
	token.AliasType:      "no aliases",
	token.MergeKeyType:   "no merge keys",
	token.TagType:        "no tags",
	token.DirectiveType:  "no directives",
	token.MappingKeyType: "no explicit keys",
}

// scan refuses texts that are too long or too deep for the parser, or use
// parts of YAML that are not allowed.
func scan(data []byte, limit int) (Violation, bool) {
	if len(data) > limit {
		return Violation{line: 1, column: 1, value: fmt.Sprintf("%d bytes", len(data)),
			allowed: fmt.Sprintf("at most %d bytes", limit)}, false
	}
	flow, dashes, line, columns := 0, 0, 0, []int(nil)
	for _, t := range lexer.Tokenize(string(data)) {
		if what, refused := refusedTokens[t.Type]; refused {
			return faultAt(t, what), false
		}
		if t.Position.Line != line {
			line, dashes = t.Position.Line, 0
			columns = indent(columns, t.Position.Column)
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
			return faultAt(t, fmt.Sprintf("at most %d levels of nesting", maxNesting)), false
		}
	}
	return Violation{}, true
}

// indent returns the stack of the columns at which the open blocks start,
// after a line that starts at the given column.
func indent(columns []int, column int) []int {
	for len(columns) > 0 && columns[len(columns)-1] >= column {
		columns = columns[:len(columns)-1]
	}
	return append(columns, column)
}

func faultAt(t *token.Token, allowed string) Violation {
	return Violation{line: t.Position.Line, column: t.Position.Column, value: short(t.Value), allowed: allowed}
}
