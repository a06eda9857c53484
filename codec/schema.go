package codec

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// schemaChecker validates a YAML tree against the Go type that it is decoded
// into. The YAML library alone truncates 1.5 to 1 for an integer, accepts '5'
// as a number and accepts null for every type.
type schemaChecker struct {
	violations []Violation
}

func (c *schemaChecker) add(node ast.Node, field, allowed string) {
	if len(c.violations) >= maxViolations {
		return
	}
	line, column := position(node)
	c.violations = append(c.violations, Violation{line: line, column: column, field: field, value: displayValue(node), allowed: allowed})
}

func (c *schemaChecker) check(node ast.Node, t reflect.Type, field string) {
	switch t.Kind() {
	case reflect.Pointer:
		c.check(node, t.Elem(), field)
	case reflect.Struct:
		c.checkMap(node, t, field)
	case reflect.Slice:
		c.checkList(node, t, field)
	default:
		c.checkScalar(node, t, field)
	}
}

func (c *schemaChecker) checkMap(node ast.Node, t reflect.Type, field string) {
	entries, ok := mapEntries(node)
	if !ok {
		c.add(node, field, "a map with the fields "+strings.Join(fieldNames(t), ", "))
		return
	}
	for _, e := range entries {
		name := entryKey(e)
		ft, known := fieldType(t, name)
		if !known {
			c.add(e.Key, joinPath(field, name), "one of the fields "+strings.Join(fieldNames(t), ", "))
			continue
		}
		c.check(e.Value, ft, joinPath(field, name))
	}
}

func (c *schemaChecker) checkList(node ast.Node, t reflect.Type, field string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		c.add(node, field, "a list")
		return
	}
	for i, v := range sequence.Values {
		c.check(v, t.Elem(), fmt.Sprintf("%s[%d]", field, i))
	}
}

func (c *schemaChecker) checkScalar(node ast.Node, t reflect.Type, field string) {
	allowed, ok := "", false
	switch t.Kind() {
	case reflect.String:
		allowed = "a text, in quotes when it looks like something else"
		_, ok = node.(*ast.StringNode)
	case reflect.Bool:
		allowed = "true or false"
		_, ok = node.(*ast.BoolNode)
	case reflect.Int, reflect.Int64:
		allowed = "a whole number"
		_, ok = node.(*ast.IntegerNode)
	case reflect.Float64:
		allowed = "a number"
		ok = isNumber(node)
	}
	if !ok {
		c.add(node, field, allowed)
	}
}

// isNumber reports whether a node is a finite number. The library parses 1e-3,
// which is a number in YAML 1.2, as a string, but decodes it into a float.
func isNumber(node ast.Node) bool {
	switch n := node.(type) {
	case *ast.IntegerNode, *ast.FloatNode:
		return true
	case *ast.StringNode:
		_, err := strconv.ParseFloat(n.Value, 64)
		return err == nil && n.Token.Type == token.StringType && strings.Trim(n.Value, "0123456789.eE+-") == ""
	}
	return false
}

// mapEntries returns the entries of a map node, and false for other nodes.
func mapEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func entryKey(entry *ast.MappingValueNode) string {
	if s, ok := entry.Key.(*ast.StringNode); ok {
		return s.Value
	}
	return entry.Key.String()
}

func joinPath(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

// fieldNames returns the YAML names of the fields of a struct type.
func fieldNames(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		if name, ok := yamlName(t.Field(i)); ok {
			out = append(out, name)
		}
	}
	return out
}

func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if n, ok := yamlName(t.Field(i)); ok && n == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

// yamlName returns the YAML name of a struct field, and false if it has none.
func yamlName(f reflect.StructField) (string, bool) {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name, name != ""
}

// position returns the line and the column where a node starts.
func position(node ast.Node) (int, int) {
	if entries, ok := mapEntries(node); ok && len(entries) > 0 {
		node = entries[0].Key
	}
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 1, 1
	}
	p := node.GetToken().Position
	return p.Line, p.Column
}

// displayValue returns a description of a node's value for an error message.
func displayValue(node ast.Node) string {
	switch n := node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a map"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode:
		return truncate(n.Value)
	}
	return truncate(node.String())
}

// positionOfPath returns the line and the column of the value at a path such
// as "links[2].to", or of the longest prefix of the path that exists.
func positionOfPath(root ast.Node, path string) (int, int) {
	node := root
	for _, step := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		next := childNode(node, step)
		if next == nil {
			break
		}
		node = next
	}
	return position(node)
}

// childNode returns the list element or the map value that a path step
// selects, or nil if there is none.
func childNode(node ast.Node, step string) ast.Node {
	if list, ok := node.(*ast.SequenceNode); ok {
		if i, err := strconv.Atoi(step); err == nil && i >= 0 && i < len(list.Values) {
			return list.Values[i]
		}
		return nil
	}
	entries, _ := mapEntries(node)
	for _, e := range entries {
		if entryKey(e) == step {
			return e.Value
		}
	}
	return nil
}
