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

// ParsedYAML is a YAML text that has been read, by which faults found later are
// given their line and column.
type ParsedYAML struct {
	root ast.Node
}

// byteOrderMark starts the texts of some editors. YAML allows it; the library
// takes it for a part of the first key.
const byteOrderMark = "\xef\xbb\xbf"

// ReadYAML reads one YAML document of at most limit bytes into a record, a
// pointer to a struct with yaml tags. It is stricter than YAML: a field must
// be known, occur once and have the type of the record's field; numbers are
// not cut, and null, anchors, aliases, tags and merge keys are refused. The
// error is a *DocumentError, and the record must not be used then.
func ReadYAML(data []byte, limit int, record any) (*ParsedYAML, error) {
	s, err := parseYAML(data, limit)
	if err != nil {
		return nil, fmt.Errorf("parse: %w", err)
	}
	if err := s.read(record); err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	return s, nil
}

func parseYAML(data []byte, limit int) (s *ParsedYAML, err error) {
	// A text on which the library panics is refused like any other that cannot
	// be read, as one operator's text must not end the process.
	defer func() {
		if r := recover(); r != nil {
			s, err = nil, &DocumentError{faults: []Violation{{line: 1, column: 1, allowed: "YAML that can be parsed"}}}
		}
	}()
	data = bytes.TrimPrefix(data, []byte(byteOrderMark))
	if fault, ok := scan(data, limit); !ok {
		return nil, &DocumentError{faults: []Violation{fault}}
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, syntaxError(err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, &DocumentError{faults: []Violation{{line: 1, column: 1, allowed: "exactly one YAML document"}}}
	}
	return &ParsedYAML{root: file.Docs[0].Body}, nil
}

// read checks the text against the type of the record and fills the record.
func (s *ParsedYAML) read(record any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = &DocumentError{faults: []Violation{{line: 1, column: 1, allowed: "YAML that can be decoded"}}}
		}
	}()
	var c shapeChecker
	c.check(s.root, reflect.TypeOf(record).Elem(), "")
	if len(c.faults) > 0 {
		return &DocumentError{faults: c.faults}
	}
	if err := yaml.NodeToValue(s.root, record, yaml.Strict()); err != nil {
		return syntaxError(err)
	}
	return nil
}

// syntaxError turns an error of the YAML library into a *DocumentError.
func syntaxError(err error) error {
	fault := Violation{line: 1, column: 1, allowed: "valid YAML"}
	var e yaml.Error
	if errors.As(err, &e) {
		fault.allowed = "valid YAML: " + e.GetMessage()
		if t := e.GetToken(); t != nil && t.Position != nil {
			fault.line, fault.column, fault.value = t.Position.Line, t.Position.Column, short(t.Value)
		}
	}
	return &DocumentError{faults: []Violation{fault}}
}

// WithPositions gives the *prof.FieldError values in an error their lines and
// columns and returns them as a *DocumentError. An error without such values
// is returned unchanged.
func (s *ParsedYAML) WithPositions(err error) error {
	fields := fieldErrors(err)
	if len(fields) == 0 {
		return err
	}
	faults := make([]Violation, 0, len(fields))
	for _, f := range fields[:min(len(fields), maxFaults)] {
		line, column := locate(s.root, f.Field())
		faults = append(faults, Violation{line: line, column: column, field: f.Field(), value: short(f.Value()),
			allowed: f.Allowed()})
	}
	return &DocumentError{faults: faults}
}

// fieldErrors collects the field errors in the tree of an error.
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
