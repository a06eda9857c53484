package codec

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// shapeChecker compares a YAML tree with the type that it is to be decoded
// into. The library alone cuts 1.5 to 1 for an integer, takes '5' for a
// number and null for anything.
type shapeChecker struct {
	faults []Violation
}

func (c *shapeChecker) add(node ast.Node, field, allowed string) {
	if len(c.faults) >= maxFaults {
		return
	}
	line, column := position(node)
	c.faults = append(c.faults, Violation{line: line, column: column, field: field, value: shown(node), allowed: allowed})
}

func (c *shapeChecker) check(node ast.Node, t reflect.Type, field string) {
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

func (c *shapeChecker) checkMap(node ast.Node, t reflect.Type, field string) {
	entries, ok := mapEntries(node)
	if !ok {
		c.add(node, field, "a map with the fields "+strings.Join(fieldNames(t), ", "))
		return
	}
	for _, e := range entries {
		name := keyOf(e)
		ft, known := fieldType(t, name)
		if !known {
			c.add(e.Key, join(field, name), "one of the fields "+strings.Join(fieldNames(t), ", "))
			continue
		}
		c.check(e.Value, ft, join(field, name))
	}
}

func (c *shapeChecker) checkList(node ast.Node, t reflect.Type, field string) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		c.add(node, field, "a list")
		return
	}
	for i, v := range list.Values {
		c.check(v, t.Elem(), fmt.Sprintf("%s[%d]", field, i))
	}
}

func (c *shapeChecker) checkScalar(node ast.Node, t reflect.Type, field string) {
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

// isNumber reports whether a node is a finite number. The library takes 1e-3,
// a number in YAML 1.2, for a text but decodes it into a number.
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

func mapEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func keyOf(entry *ast.MappingValueNode) string {
	if s, ok := entry.Key.(*ast.StringNode); ok {
		return s.Value
	}
	return entry.Key.String()
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

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

func yamlName(f reflect.StructField) (string, bool) {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name, name != ""
}

// position returns the line and column at which a node starts.
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

// shown returns the value of a node for an error message.
func shown(node ast.Node) string {
	switch n := node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a map"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode:
		return short(n.Value)
	}
	return short(node.String())
}

// locate returns the line and column of the value at a path such as
// "links[2].to", or of the deepest part of the path that exists.
func locate(root ast.Node, path string) (int, int) {
	node := root
	for _, step := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		next := child(node, step)
		if next == nil {
			break
		}
		node = next
	}
	return position(node)
}

func child(node ast.Node, step string) ast.Node {
	if list, ok := node.(*ast.SequenceNode); ok {
		if i, err := strconv.Atoi(step); err == nil && i >= 0 && i < len(list.Values) {
			return list.Values[i]
		}
		return nil
	}
	entries, _ := mapEntries(node)
	for _, e := range entries {
		if keyOf(e) == step {
			return e.Value
		}
	}
	return nil
}
