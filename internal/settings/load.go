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

// ErrUnreadable: the settings file could not be read at all.
var ErrUnreadable = errors.New("settings file can't be read")

// LoadEntry reads and checks the settings of an entry's process. The error is
// an InvalidError with every problem of the file, or wraps ErrUnreadable.
func LoadEntry(path string) (Entry, error) {
	return load[Entry](path)
}

// LoadAgent reads and checks the settings of an agent's process, with the
// errors of LoadEntry.
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

// decode fills target, a pointer to a struct, and returns all that is wrong.
func decode(source []byte, target any) []Problem {
	file, err := parser.ParseBytes(source, 0)
	if err != nil {
		return []Problem{problemOf(err)}
	}
	body, problem := document(file)
	if problem != nil {
		return []Problem{*problem}
	}
	filler := newFiller()
	filler.fill(body, reflect.ValueOf(target).Elem(), "")
	filler.check(target)
	return filler.problems
}

// document returns the only document of a file.
func document(file *ast.File) (ast.Node, *Problem) {
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
		at := bodies[1].GetToken().Position
		return nil, &Problem{Line: at.Line, Column: at.Column, Reason: "the file holds a second document; keep one"}
	}
}

// problemOf turns an error of the YAML library into a Problem.
func problemOf(err error) Problem {
	var located yaml.Error
	if !errors.As(err, &located) {
		return Problem{Line: 1, Column: 1, Reason: err.Error()}
	}
	problem := Problem{Line: 1, Column: 1, Reason: located.GetMessage()}
	if tk := located.GetToken(); tk != nil {
		problem.Line = tk.Position.Line
		problem.Column = tk.Position.Column
	}
	return problem
}
