package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// filler fills a struct from a YAML document. The library's own strict decoding
// stops at the first unknown key or wrong type; filler collects all of them,
// and remembers where each key stands so that the later checks of the values
// can be reported at their position.
type filler struct {
	// positions maps a key's path to where its value (or, for a mapping, its
	// key) stands.
	positions map[string]position
	// mistyped holds the paths whose values don't fit their type.
	mistyped map[string]bool
	problems []Problem
}

type position struct {
	line   int
	column int
}

func newFiller() *filler {
	return &filler{
		positions: map[string]position{"": {line: 1, column: 1}},
		mistyped:  make(map[string]bool),
	}
}

func (f *filler) fill(node ast.Node, target reflect.Value, path string) {
	node = unwrap(node)
	if _, ok := node.(*ast.NullNode); ok {
		return
	}
	if _, ok := node.(*ast.AliasNode); ok {
		f.wrong(node, path, "aliases are not supported; write the value out")
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		f.fillStruct(node, target, path)
	case reflect.Slice:
		f.fillSlice(node, target, path)
	default:
		f.fillScalar(node, target, path)
	}
}

func (f *filler) fillStruct(node ast.Node, target reflect.Value, path string) {
	entries, ok := node.(ast.MapNode)
	if !ok {
		f.wrong(node, path, "must be a mapping of: "+strings.Join(keysOf(target.Type()), ", "))
		return
	}
	for iter := entries.MapRange(); iter.Next(); {
		f.fillField(iter.KeyValue(), target, path)
	}
}

func (f *filler) fillField(entry *ast.MappingValueNode, target reflect.Value, path string) {
	key := entry.Key.GetToken().Value
	path = join(path, key)
	field, ok := fieldByKey(target, key)
	if !ok {
		f.wrong(entry.Key, path, "unknown key; known here: "+strings.Join(keysOf(target.Type()), ", "))
		return
	}
	f.remember(path, entry.Value)
	if field.Kind() == reflect.Struct {
		f.remember(path, entry.Key)
	}
	f.fill(entry.Value, field, path)
}

func (f *filler) fillSlice(node ast.Node, target reflect.Value, path string) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		f.wrong(node, path, "must be a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(list.Values), len(list.Values)))
	for i, value := range list.Values {
		item := fmt.Sprintf("%s[%d]", path, i)
		f.remember(item, value)
		f.fill(value, target.Index(i), item)
	}
}

func (f *filler) fillScalar(node ast.Node, target reflect.Value, path string) {
	if _, ok := node.(ast.ScalarNode); !ok {
		f.wrong(node, path, "must be "+nameOf(target.Type()))
		return
	}
	if err := yaml.NodeToValue(node, target.Addr().Interface()); err != nil {
		f.wrong(node, path, "must be "+nameOf(target.Type()))
	}
}

func (f *filler) remember(path string, node ast.Node) {
	at := node.GetToken().Position
	f.positions[path] = position{line: at.Line, column: at.Column}
}

func (f *filler) wrong(node ast.Node, path, reason string) {
	at := node.GetToken().Position
	f.mistyped[path] = true
	f.problems = append(f.problems, Problem{Line: at.Line, Column: at.Column, Field: path, Reason: reason})
}

// find returns where path stands, or else the nearest key above it.
func (f *filler) find(path string) position {
	for path != "" {
		if at, ok := f.positions[path]; ok {
			return at
		}
		path = parentOf(path)
	}
	return f.positions[""]
}

func unwrap(node ast.Node) ast.Node {
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
