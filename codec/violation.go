package codec

import (
	"fmt"
	"strings"
)

// Violation describes an invalid part of a YAML text.
type Violation struct {
	line, column int
	field        string
	value        string
	allowed      string
}

// Line returns the line, counted from 1.
func (v Violation) Line() int { return v.line }

// Column returns the column, counted from 1.
func (v Violation) Column() int { return v.column }

// Field returns the path of the field. It is empty if the text is not valid
// YAML.
func (v Violation) Field() string { return v.field }

// Value returns the invalid value, truncated if it is long.
func (v Violation) Value() string { return v.value }

// Allowed describes the allowed values.
func (v Violation) Allowed() string { return v.allowed }

// String returns a description of the violation in one line.
func (v Violation) String() string {
	location := fmt.Sprintf("line %d, column %d", v.line, v.column)
	if v.field != "" {
		location += ": " + v.field
	}
	return fmt.Sprintf("%s: %q is not allowed: want %s", location, v.value, v.allowed)
}

// DocumentError lists the violations in a YAML text. No part of such a text is
// applied.
type DocumentError struct {
	violations []Violation
}

// Violations returns at most the first 20 violations, in the order of the
// text.
func (e *DocumentError) Violations() []Violation { return append([]Violation(nil), e.violations...) }

// Error returns a message that lists the violations.
func (e *DocumentError) Error() string {
	lines := make([]string, 0, len(e.violations))
	for _, v := range e.violations {
		lines = append(lines, v.String())
	}
	return strings.Join(lines, "; ")
}

// maxViolations bounds the number of violations in a DocumentError.
const maxViolations = 20

// maxValueBytes is the length in bytes above which an invalid value is
// truncated.
const maxValueBytes = 80

// truncate returns the value in valid UTF-8, shortened to maxValueBytes.
func truncate(value string) string {
	value = strings.ToValidUTF8(value, "?")
	if len(value) <= maxValueBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueBytes], "") + "..."
}
