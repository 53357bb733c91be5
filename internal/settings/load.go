package settings

import (
	"fmt"
	"os"
	"reflect"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// ErrUnreadable is returned if the settings file can't be read.
var ErrUnreadable = errors.New("settings file can't be read")

// LoadEntry reads and validates the settings file of an entry. The error
// is an InvalidError that lists every problem in the file, or wraps
// ErrUnreadable.
func LoadEntry(path string) (Entry, error) {
	return load[Entry](path)
}

// LoadAgent reads and validates the settings file of an agent. It returns the
// same errors as LoadEntry.
func LoadAgent(path string) (Agent, error) {
	return load[Agent](path)
}

func load[T any](path string) (T, error) {
	var settings T
	source, err := os.ReadFile(path)
	if err != nil {
		return settings, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	problems := decode(source, &settings)
	if len(problems) > 0 {
		sortProblems(problems)
		var empty T
		return empty, &InvalidError{File: path, Problems: problems}
	}
	return settings, nil
}

// decode decodes and validates source into target, a pointer to a struct, and
// returns every problem found.
func decode(source []byte, target any) []Problem {
	file, err := parser.ParseBytes(source, 0)
	if err != nil {
		return []Problem{syntaxProblem(err)}
	}
	body, problem := singleDocument(file)
	if problem != nil {
		return []Problem{*problem}
	}
	d := newDecoder()
	d.decodeNode(body, reflect.ValueOf(target).Elem(), "")
	d.validate(target)
	return d.problems
}

// singleDocument returns the body of the file's only YAML document, or a problem
// if the file has none or more than one.
func singleDocument(file *ast.File) (ast.Node, *Problem) {
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil {
			bodies = append(bodies, doc.Body)
		}
	}
	switch len(bodies) {
	case 0:
		return nil, &Problem{Line: 1, Column: 1, Reason: "the file holds no settings"}
	case 1:
		return bodies[0], nil
	default:
		pos := bodies[1].GetToken().Position
		return nil, &Problem{Line: pos.Line, Column: pos.Column, Reason: "the file holds a second document; keep one"}
	}
}

// syntaxProblem converts a parse error of the YAML library to a Problem.
func syntaxProblem(err error) Problem {
	var located yaml.Error
	if !errors.As(err, &located) {
		return Problem{Line: 1, Column: 1, Reason: err.Error()}
	}
	problem := Problem{Line: 1, Column: 1, Reason: located.GetMessage()}
	if tok := located.GetToken(); tok != nil {
		problem.Line = tok.Position.Line
		problem.Column = tok.Position.Column
	}
	return problem
}
