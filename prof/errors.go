package prof

import (
	"fmt"
	"math"
	"strings"
	"time"

	"rhubarbrack/ident"
)

// maxReported bounds the fields that one ValidationError lists, so that a
// document of many thousand faults gives a readable answer.
const maxReported = 20

// FieldError tells what is wrong with one field of a document.
type FieldError struct {
	field   string
	value   string
	allowed string
}

// NewFieldError returns an error for the field at the given path.
func NewFieldError(field string, value any, allowed string) *FieldError {
	return &FieldError{field: field, value: fmt.Sprint(value), allowed: allowed}
}

// Field returns the path of the field, such as "links[2].to".
func (e *FieldError) Field() string { return e.field }

// Value returns the refused value as text.
func (e *FieldError) Value() string { return e.value }

// Allowed describes the values that the field accepts.
func (e *FieldError) Allowed() string { return e.allowed }

// Error returns the field, the value and what is allowed.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %q is not allowed: want %s", e.field, e.value, e.allowed)
}

// ValidationError lists the fields that keep a document from being valid.
type ValidationError struct {
	kind   Kind
	name   string
	fields []*FieldError
}

// Kind returns the kind of the refused document.
func (e *ValidationError) Kind() Kind { return e.kind }

// Name returns the name of the refused document.
func (e *ValidationError) Name() string { return e.name }

// Fields returns the first faults, at most 20.
func (e *ValidationError) Fields() []*FieldError { return append([]*FieldError(nil), e.fields...) }

// Error lists all faults.
func (e *ValidationError) Error() string {
	texts := make([]string, 0, len(e.fields))
	for _, f := range e.fields {
		texts = append(texts, f.Error())
	}
	return fmt.Sprintf("%s %q: %s", e.kind, e.name, strings.Join(texts, "; "))
}

// Unwrap returns the faults, so that errors.As finds a *FieldError.
func (e *ValidationError) Unwrap() []error {
	out := make([]error, 0, len(e.fields))
	for _, f := range e.fields {
		out = append(out, f)
	}
	return out
}

const allowedName = "1 to 63 lower-case letters, digits, dots and inner hyphens"

// checker collects the faults of one document.
type checker struct {
	fields []*FieldError
}

func (c *checker) add(field string, value any, allowed string) {
	if len(c.fields) < maxReported {
		c.fields = append(c.fields, NewFieldError(field, value, allowed))
	}
}

func (c *checker) require(ok bool, field string, value any, allowed string) {
	if !ok {
		c.add(field, value, allowed)
	}
}

func (c *checker) name(field, name string) {
	c.require(ident.CheckName("field", name) == nil, field, name, allowedName)
}

func (c *checker) share(field string, value float64) {
	c.require(!math.IsNaN(value) && value >= 0 && value <= 1, field, value, "a number from 0 to 1")
}

func (c *checker) duration(field string, value, least, most time.Duration) {
	c.require(value >= least && value <= most, field, value, fmt.Sprintf("a duration from %v to %v", least, most))
}

func (c *checker) count(field string, value, least, most int64) {
	c.require(value >= least && value <= most, field, value, fmt.Sprintf("a whole number from %d to %d", least, most))
}

func (c *checker) unique(seen ident.Set[string], field, value string) {
	c.require(!seen.Has(value), field, value, "a value that is not listed before")
	seen.Add(value)
}

func (c *checker) err(kind Kind, name string) error {
	if len(c.fields) == 0 {
		return nil
	}
	return &ValidationError{kind: kind, name: name, fields: c.fields}
}

func element(list string, index int, field string) string {
	if field == "" {
		return fmt.Sprintf("%s[%d]", list, index)
	}
	return fmt.Sprintf("%s[%d].%s", list, index, field)
}
