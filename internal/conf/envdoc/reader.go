package envdoc

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

const yamlTag = "yaml"

// reader decodes YAML nodes into Go values and collects every problem with its line and path. Keys are matched by the
// yaml tags of struct fields. lines holds the line of each value that the document contains.
type reader struct {
	lines    map[Path]int
	problems Problems
}

// nearestLine returns the line of a path, or of its nearest parent that the document contains, or 0.
func (r *reader) nearestLine(path Path) int {
	for path != "" {
		if line, ok := r.lines[path]; ok {
			return line
		}
		path = path.parent()
	}
	return 0
}

// addProblem adds a problem at the line of the node.
func (r *reader) addProblem(n ast.Node, path Path, allowed, format string, args ...any) {
	r.problems = append(r.problems, Problem{
		Line: startLine(n), Path: path, Reason: fmt.Sprintf(format, args...), Allowed: allowed,
	})
}

// read decodes a node into the value, by the value's type: an amount with a unit, a struct, a slice or a scalar.
func (r *reader) read(n ast.Node, into reflect.Value, path Path) {
	if line := startLine(n); line > 0 {
		if _, known := r.lines[path]; !known {
			r.lines[path] = line
		}
	}
	switch into.Interface().(type) {
	case time.Duration:
		readUnit(r, n, into, path, ParseDuration, "a duration with a unit, as in 500ms, 30s, 10m or 8h")
		return
	case types.MilliCores:
		readUnit(r, n, into, path, ParseCores, "cores, as in 2 or 2.5, or thousandths of a core, as in 2500m")
		return
	case types.MiB:
		readUnit(r, n, into, path, ParseMemory, "memory with a unit, as in 512MiB or 16GiB")
		return
	case types.Bytes:
		readUnit(r, n, into, path, ParseBytes, "bytes with a unit, as in 64KiB or 1MiB")
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		r.readStruct(n, into, path)
	case reflect.Slice:
		r.readSlice(n, into, path)
	default:
		r.readScalar(n, into, path)
	}
}

func (r *reader) readStruct(n ast.Node, into reflect.Value, path Path) {
	pairs, ok := pairsOf(n)
	if !ok {
		r.addProblem(n, path, "keys "+strings.Join(yamlKeys(into.Type()), ", "), "this must be a mapping")
		return
	}
	seen := make(map[string]bool)
	for _, pair := range pairs {
		key := pair.Key.GetToken().Value
		at := path.Key(key)
		field, known := fieldByKey(into, key)
		switch {
		case !known:
			r.addProblem(pair.Key, at, strings.Join(yamlKeys(into.Type()), ", "), "unknown key %q", key)
		case seen[key]:
			r.addProblem(pair.Key, at, "each key once", "key %q stands twice", key)
		default:
			r.lines[at] = startLine(pair.Key)
			r.read(pair.Value, field, at)
		}
		seen[key] = true
	}
}

func (r *reader) readSlice(n ast.Node, into reflect.Value, path Path) {
	if _, empty := n.(*ast.NullNode); empty {
		return
	}
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		r.addProblem(n, path, "a list, each element after a dash", "this must be a list")
		return
	}
	out := reflect.MakeSlice(into.Type(), len(list.Values), len(list.Values))
	for i, element := range list.Values {
		r.read(element, out.Index(i), path.Index(i))
	}
	into.Set(out)
}

func (r *reader) readScalar(n ast.Node, into reflect.Value, path Path) {
	switch into.Kind() {
	case reflect.String:
		text, ok := textOf(n)
		if !ok {
			r.addProblem(n, path, "text; put a number or a truth value in quotes", "this must be text")
			return
		}
		into.SetString(text)
	case reflect.Int, reflect.Int64:
		number, ok := n.(*ast.IntegerNode)
		if !ok {
			r.addProblem(n, path, "a whole number without a unit", "this must be a whole number")
			return
		}
		r.setInt(number, into, path)
	case reflect.Bool:
		boolean, ok := n.(*ast.BoolNode)
		if !ok {
			r.addProblem(n, path, "true or false", "this must be true or false")
			return
		}
		into.SetBool(boolean.Value)
	default:
		r.addProblem(n, path, "nothing", "values of this type can't be read")
	}
}

func (r *reader) setInt(n *ast.IntegerNode, into reflect.Value, path Path) {
	value, err := strconv.ParseInt(n.GetToken().Value, 10, 32)
	if err != nil {
		r.addProblem(n, path, "a decimal number within 32 bits", "%s can't be read", n.GetToken().Value)
		return
	}
	into.SetInt(value)
}

// readUnit decodes an amount with a unit, using the parse function of its type.
func readUnit[T ~int64](r *reader, n ast.Node, into reflect.Value, path Path, parse func(string) (T, error),
	allowed string,
) {
	text, ok := scalarOf(n)
	if !ok {
		r.addProblem(n, path, allowed, "this must be an amount")
		return
	}
	value, err := parse(text)
	if err != nil {
		r.addProblem(n, path, allowed, "%v", err)
		return
	}
	into.SetInt(int64(value))
}

// pairsOf returns the key-value pairs of a mapping, or false for any other node. An empty value is a mapping without
// pairs.
func pairsOf(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	case *ast.NullNode:
		return nil, true
	default:
		return nil, false
	}
}

// textOf returns the value of a string node.
func textOf(n ast.Node) (string, bool) {
	switch s := n.(type) {
	case *ast.StringNode:
		return s.Value, true
	case *ast.LiteralNode:
		return s.Value.Value, true
	default:
		return "", false
	}
}

// scalarOf returns the text of a string or number as it stands in the document.
func scalarOf(n ast.Node) (string, bool) {
	switch s := n.(type) {
	case *ast.StringNode:
		return s.Value, true
	case *ast.IntegerNode, *ast.FloatNode:
		return s.GetToken().Value, true
	default:
		return "", false
	}
}

// startLine returns the line on which a node starts, or 0 if it is not known.
func startLine(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}

// fieldByKey returns the field of a struct whose yaml tag is the key.
func fieldByKey(v reflect.Value, key string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get(yamlTag) == key {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// yamlKeys returns the yaml tags of a struct's fields.
func yamlKeys(t reflect.Type) []string {
	out := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		out = append(out, t.Field(i).Tag.Get(yamlTag))
	}
	return out
}
