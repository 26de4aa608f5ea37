// Package conf loads and validates YAML settings files.
//
// # Usage
//
//	settings, err := conf.Load[Settings]("entry.yaml")
//
// A settings type implements Checker. An unknown field is an error that gives its line, so
// that a misspelt setting is not silently ignored.
package conf

import (
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

type (
	// Checker is a settings type that validates its own values.
	Checker interface {
		// Check returns an error that lists each invalid setting with the reason.
		Check() error
	}

	// FieldChecker is a settings type that names the fields which are invalid, so that their lines can be given.
	FieldChecker interface {
		CheckFields() []FieldProblem
	}

	// FieldProblem is what is wrong with a field.
	FieldProblem struct {
		Field, Text string
	}
)

// ErrFields reports invalid fields with their lines.
var ErrFields = eris.New("invalid settings")

// Load reads and validates the settings file at the path. The error gives the file and, for
// malformed YAML or an unknown field, the line.
func Load[T Checker](path string) (T, error) {
	var zero T
	data, err := os.ReadFile(path)
	if err != nil {
		return zero, eris.Wrap(err, "read settings")
	}
	settings, err := Parse[T](data)
	if err != nil {
		return zero, eris.Wrapf(err, "settings %s", path)
	}
	return settings, nil
}

// Parse decodes and validates settings from YAML text.
func Parse[T Checker](data []byte) (T, error) {
	var settings T
	if err := yaml.UnmarshalWithOptions(data, &settings, yaml.Strict()); err != nil {
		return settings, eris.New(yaml.FormatError(err, false, true))
	}
	if checker, ok := any(settings).(FieldChecker); ok {
		var problems []string
		for _, p := range checker.CheckFields() {
			problems = append(problems, fmt.Sprintf("line %d: %s %s", lineOf(data, p.Field), p.Field, p.Text))
		}
		if len(problems) > 0 {
			return settings, eris.Wrap(ErrFields, strings.Join(problems, "; "))
		}
	}
	if err := settings.Check(); err != nil {
		return settings, err
	}
	return settings, nil
}

// lineOf returns the number of the line that sets a field of the top level; 0 if there is none.
func lineOf(data []byte, field string) int {
	for i, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, field+":") {
			return i + 1
		}
	}
	return 0
}
