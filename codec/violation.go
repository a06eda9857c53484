package codec

import (
	"fmt"
	"strings"
)

// Violation is one place at which a YAML text is not valid.
type Violation struct {
	line, column int
	field        string
	value        string
	allowed      string
}

// Line returns the line, from 1.
func (f Violation) Line() int { return f.line }

// Column returns the column, from 1.
func (f Violation) Column() int { return f.column }

// Field returns the path of the field, empty when the text is no YAML.
func (f Violation) Field() string { return f.field }

// Value returns the refused value, cut when it is long.
func (f Violation) Value() string { return f.value }

// Allowed describes what is allowed.
func (f Violation) Allowed() string { return f.allowed }

// String returns the fault in one line.
func (f Violation) String() string {
	place := fmt.Sprintf("line %d, column %d", f.line, f.column)
	if f.field != "" {
		place += ": " + f.field
	}
	return fmt.Sprintf("%s: %q is not allowed: want %s", place, f.value, f.allowed)
}

// DocumentError lists the faults of a YAML text. Nothing of the text is
// applied.
type DocumentError struct {
	faults []Violation
}

// Violations returns the first faults in the order of the text, at most 20.
func (e *DocumentError) Violations() []Violation { return append([]Violation(nil), e.faults...) }

// Error lists the faults.
func (e *DocumentError) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "; ")
}

// maxFaults bounds the faults that one DocumentError lists.
const maxFaults = 20

// maxShown is the length in bytes above which a refused value is cut.
const maxShown = 80

func short(value string) string {
	value = strings.ToValidUTF8(value, "?")
	if len(value) <= maxShown {
		return value
	}
	return strings.ToValidUTF8(value[:maxShown], "") + "..."
}
