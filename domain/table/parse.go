package table

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

type (
	// Problem is a validation error of a table, located by row, column and line.
	Problem struct {
		Row    RowKey `json:"Row"`
		Column string `json:"Column"`
		// Line is the line in the file, or 0 if unknown.
		Line    int    `json:"Line,omitempty"`
		Message string `json:"Message"`
	}

	// Problems is an error that lists all problems of a table.
	Problems []Problem
)

// String formats the problem as one line.
func (p Problem) String() string {
	location := p.Row.String()
	if p.Column != "" {
		location += ", column " + p.Column
	}
	if p.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", p.Line, location, p.Message)
	}
	return location + ": " + p.Message
}

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Parse decodes a table from YAML text and validates it. The problems include line numbers.
func Parse(text []byte) (Table, Problems) {
	var parsed Table
	if err := yaml.UnmarshalWithOptions(text, &parsed, yaml.Strict()); err != nil {
		return Table{}, Problems{{Message: yaml.FormatError(err, false, true)}}
	}
	problems := parsed.Check()
	if len(problems) == 0 {
		return parsed, nil
	}
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return Table{}, problems
	}
	return Table{}, problems.addLines(parsed, file)
}

// Format encodes the table as YAML text for Parse.
func (t Table) Format() ([]byte, error) {
	return yaml.MarshalWithOptions(t, yaml.IndentSequence(true))
}

// addLines returns the problems with their lines: that of the column, or else of the row.
func (p Problems) addLines(parsed Table, file *ast.File) Problems {
	located := make(Problems, 0, len(p))
	for _, problem := range p {
		problem.Line = findLine(file, rowPath(parsed, problem.Row), problem.Column)
		located = append(located, problem)
	}
	return located
}

// rowPath returns the YAML path of the last row with the key, so that a duplicate row is
// reported at its later position.
func rowPath(parsed Table, key RowKey) string {
	index := -1
	for i, row := range parsed.rowsOf(key.Sheet) {
		if row.Key() == key {
			index = i
		}
	}
	return fmt.Sprintf("$.%s[%d]", key.Sheet, index)
}

// findLine returns the line of a row's column. It falls back to the line of the row, and to 0
// if the row is not found either.
func findLine(file *ast.File, path, column string) int {
	for _, candidate := range []string{path + "." + column, path} {
		query, err := yaml.PathString(candidate)
		if err != nil {
			continue
		}
		node, err := query.FilterFile(file)
		if err != nil || node == nil {
			continue
		}
		if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
			return mapping.Values[0].Key.GetToken().Position.Line
		}
		return node.GetToken().Position.Line
	}
	return 0
}
