package prof

import (
	"fmt"
	"math"
	"strings"
	"time"

	"rhubarbrack/ident"
)

// maxReportedFields bounds the number of fields in a ValidationError, so that
// its message is readable for a document with thousands of errors.
const maxReportedFields = 20

// FieldError reports an invalid field of a document.
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

// Value returns the invalid value as text.
func (e *FieldError) Value() string { return e.value }

// Allowed describes the values that the field accepts.
func (e *FieldError) Allowed() string { return e.allowed }

// Error returns a message with the path, the value and the allowed values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %q is not allowed: want %s", e.field, e.value, e.allowed)
}

// ValidationError lists the invalid fields of a document.
type ValidationError struct {
	kind   Kind
	name   string
	fields []*FieldError
}

// Kind returns the kind of the document.
func (e *ValidationError) Kind() Kind { return e.kind }

// Name returns the name of the document.
func (e *ValidationError) Name() string { return e.name }

// Fields returns at most the first 20 invalid fields.
func (e *ValidationError) Fields() []*FieldError { return append([]*FieldError(nil), e.fields...) }

// Error returns a message that lists the invalid fields.
func (e *ValidationError) Error() string {
	texts := make([]string, 0, len(e.fields))
	for _, f := range e.fields {
		texts = append(texts, f.Error())
	}
	return fmt.Sprintf("%s %q: %s", e.kind, e.name, strings.Join(texts, "; "))
}

// Unwrap returns the invalid fields, so that errors.As finds a *FieldError.
func (e *ValidationError) Unwrap() []error {
	out := make([]error, 0, len(e.fields))
	for _, f := range e.fields {
		out = append(out, f)
	}
	return out
}

const allowedName = "1 to 63 lower-case letters, digits, dots and inner hyphens"

// validator collects the invalid fields of a document.
type validator struct {
	fields []*FieldError
}

func (v *validator) add(field string, value any, allowed string) {
	if len(v.fields) < maxReportedFields {
		v.fields = append(v.fields, NewFieldError(field, value, allowed))
	}
}

func (v *validator) require(ok bool, field string, value any, allowed string) {
	if !ok {
		v.add(field, value, allowed)
	}
}

func (v *validator) checkName(field, name string) {
	v.require(ident.CheckName("field", name) == nil, field, name, allowedName)
}

func (v *validator) checkFraction(field string, value float64) {
	v.require(!math.IsNaN(value) && value >= 0 && value <= 1, field, value, "a number from 0 to 1")
}

func (v *validator) checkDuration(field string, value, minimum, maximum time.Duration) {
	v.require(value >= minimum && value <= maximum, field, value, fmt.Sprintf("a duration from %v to %v", minimum, maximum))
}

func (v *validator) checkCount(field string, value, minimum, maximum int64) {
	v.require(value >= minimum && value <= maximum, field, value, fmt.Sprintf("a whole number from %d to %d", minimum, maximum))
}

func (v *validator) checkUnique(seen ident.Set[string], field, value string) {
	v.require(!seen.Has(value), field, value, "a value that is not listed before")
	seen.Add(value)
}

func (v *validator) err(kind Kind, name string) error {
	if len(v.fields) == 0 {
		return nil
	}
	return &ValidationError{kind: kind, name: name, fields: v.fields}
}

// elementPath returns the path of a field of a list element, or of the element
// itself if field is empty.
func elementPath(list string, index int, field string) string {
	if field == "" {
		return fmt.Sprintf("%s[%d]", list, index)
	}
	return fmt.Sprintf("%s[%d].%s", list, index, field)
}
