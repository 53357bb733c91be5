package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// decoder decodes a YAML document into a struct. The library's own strict
// decoding stops at the first unknown key or type mismatch; decoder collects all
// of them, and records the position of each key so that validation failures
// can be reported with line and column.
type decoder struct {
	// positions maps a key's path to the position of its value or, for a
	// mapping, of the key itself.
	positions map[string]position
	// invalidPaths holds the paths that already have a decoding problem: a type
	// mismatch, an unknown key or an alias.
	invalidPaths map[string]bool
	problems     []Problem
}

type position struct {
	line   int
	column int
}

func newDecoder() *decoder {
	return &decoder{
		positions:    map[string]position{"": {line: 1, column: 1}},
		invalidPaths: make(map[string]bool),
	}
}

// decodeNode decodes node, which is at path, into target. A null leaves target
// unchanged, like a missing key.
func (d *decoder) decodeNode(node ast.Node, target reflect.Value, path string) {
	node = stripAnchorsAndTags(node)
	if _, ok := node.(*ast.NullNode); ok {
		return
	}
	if _, ok := node.(*ast.AliasNode); ok {
		d.addProblem(node, path, "aliases are not supported; write the value out")
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		// The key of a pointer is optional; nil means that it is absent.
		target.Set(reflect.New(target.Type().Elem()))
		d.decodeNode(node, target.Elem(), path)
	case reflect.Struct:
		d.decodeStruct(node, target, path)
	case reflect.Slice:
		d.decodeSlice(node, target, path)
	default:
		d.decodeScalar(node, target, path)
	}
}

func (d *decoder) decodeStruct(node ast.Node, target reflect.Value, path string) {
	entries, ok := node.(ast.MapNode)
	if !ok {
		d.addProblem(node, path, "must be a mapping of: "+strings.Join(yamlKeys(target.Type()), ", "))
		return
	}
	for iter := entries.MapRange(); iter.Next(); {
		d.decodeField(iter.KeyValue(), target, path)
	}
}

func (d *decoder) decodeField(entry *ast.MappingValueNode, target reflect.Value, path string) {
	key := entry.Key.GetToken().Value
	path = joinPath(path, key)
	field, ok := fieldByKey(target, key)
	if !ok {
		d.addProblem(entry.Key, path, "unknown key; known here: "+strings.Join(yamlKeys(target.Type()), ", "))
		return
	}
	d.recordPosition(path, entry.Value)
	if field.Kind() == reflect.Struct {
		d.recordPosition(path, entry.Key)
	}
	d.decodeNode(entry.Value, field, path)
}

func (d *decoder) decodeSlice(node ast.Node, target reflect.Value, path string) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addProblem(node, path, "must be a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(list.Values), len(list.Values)))
	for i, value := range list.Values {
		item := fmt.Sprintf("%s[%d]", path, i)
		d.recordPosition(item, value)
		d.decodeNode(value, target.Index(i), item)
	}
}

func (d *decoder) decodeScalar(node ast.Node, target reflect.Value, path string) {
	if _, ok := node.(ast.ScalarNode); !ok {
		d.addProblem(node, path, "must be "+describeType(target.Type()))
		return
	}
	if err := yaml.NodeToValue(node, target.Addr().Interface()); err != nil {
		d.addProblem(node, path, "must be "+describeType(target.Type()))
	}
}

func (d *decoder) recordPosition(path string, node ast.Node) {
	pos := node.GetToken().Position
	d.positions[path] = position{line: pos.Line, column: pos.Column}
}

func (d *decoder) addProblem(node ast.Node, path, reason string) {
	pos := node.GetToken().Position
	d.invalidPaths[path] = true
	d.problems = append(d.problems, Problem{Line: pos.Line, Column: pos.Column, Field: path, Reason: reason})
}

// positionOf returns the position of path or, if the file doesn't contain it, of
// the nearest enclosing key.
func (d *decoder) positionOf(path string) position {
	for path != "" {
		if pos, ok := d.positions[path]; ok {
			return pos
		}
		path = parentPath(path)
	}
	return d.positions[""]
}

// stripAnchorsAndTags returns the value inside any anchors and tags.
func stripAnchorsAndTags(node ast.Node) ast.Node {
	for {
		switch n := node.(type) {
		case *ast.AnchorNode:
			node = n.Value
		case *ast.TagNode:
			node = n.Value
		default:
			return node
		}
	}
}
