package codec

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"rhubarbrack/prof"
)

// ParsedYAML is a parsed YAML text. It provides the line and the column for
// errors that are found after parsing.
type ParsedYAML struct {
	root ast.Node
}

// byteOrderMark is written by some editors at the start of a text. YAML allows
// it, but the library treats it as part of the first key.
const byteOrderMark = "\xef\xbb\xbf"

// ReadYAML decodes a YAML document of at most limit bytes into a record, which
// is a pointer to a struct with yaml tags. It is stricter than YAML: each
// field must be known, occur only once and have the type of the struct field.
// Numbers are not truncated, and null, anchors, aliases, tags and merge keys
// are rejected. The error is a *DocumentError, and the record must not be used
// then.
func ReadYAML(data []byte, limit int, record any) (*ParsedYAML, error) {
	p, err := parseYAML(data, limit)
	if err != nil {
		return nil, fmt.Errorf("parse: %w", err)
	}
	if err := p.read(record); err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	return p, nil
}

func parseYAML(data []byte, limit int) (p *ParsedYAML, err error) {
	// A text that makes the library panic is rejected like any other invalid
	// text, so that an operator's input cannot crash the process.
	defer func() {
		if r := recover(); r != nil {
			p, err = nil, &DocumentError{violations: []Violation{{line: 1, column: 1, allowed: "YAML that can be parsed"}}}
		}
	}()
	data = bytes.TrimPrefix(data, []byte(byteOrderMark))
	if violation, ok := scan(data, limit); !ok {
		return nil, &DocumentError{violations: []Violation{violation}}
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, syntaxError(err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, &DocumentError{violations: []Violation{{line: 1, column: 1, allowed: "exactly one YAML document"}}}
	}
	return &ParsedYAML{root: file.Docs[0].Body}, nil
}

// read validates the text against the type of the record and decodes it into
// the record.
func (p *ParsedYAML) read(record any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = &DocumentError{violations: []Violation{{line: 1, column: 1, allowed: "YAML that can be decoded"}}}
		}
	}()
	var c schemaChecker
	c.check(p.root, reflect.TypeOf(record).Elem(), "")
	if len(c.violations) > 0 {
		return &DocumentError{violations: c.violations}
	}
	if err := yaml.NodeToValue(p.root, record, yaml.Strict()); err != nil {
		return syntaxError(err)
	}
	return nil
}

// syntaxError converts an error of the YAML library to a *DocumentError.
func syntaxError(err error) error {
	violation := Violation{line: 1, column: 1, allowed: "valid YAML"}
	var e yaml.Error
	if errors.As(err, &e) {
		violation.allowed = "valid YAML: " + e.GetMessage()
		if t := e.GetToken(); t != nil && t.Position != nil {
			violation.line, violation.column, violation.value = t.Position.Line, t.Position.Column, truncate(t.Value)
		}
	}
	return &DocumentError{violations: []Violation{violation}}
}

// WithPositions returns a *DocumentError that adds the line and the column to
// each *prof.FieldError in the tree of an error. It returns an error without
// such values unchanged.
func (p *ParsedYAML) WithPositions(err error) error {
	fields := fieldErrors(err)
	if len(fields) == 0 {
		return err
	}
	violations := make([]Violation, 0, len(fields))
	for _, f := range fields[:min(len(fields), maxViolations)] {
		line, column := positionOfPath(p.root, f.Field())
		violations = append(violations, Violation{line: line, column: column, field: f.Field(), value: truncate(f.Value()),
			allowed: f.Allowed()})
	}
	return &DocumentError{violations: violations}
}

// fieldErrors returns the *prof.FieldError values in the tree of an error.
func fieldErrors(err error) []*prof.FieldError {
	switch e := err.(type) { //nolint:errorlint // the switch walks the tree itself
	case *prof.FieldError:
		return []*prof.FieldError{e}
	case interface{ Unwrap() error }:
		return fieldErrors(e.Unwrap())
	case interface{ Unwrap() []error }:
		var out []*prof.FieldError
		for _, inner := range e.Unwrap() {
			out = append(out, fieldErrors(inner)...)
		}
		return out
	}
	return nil
}
