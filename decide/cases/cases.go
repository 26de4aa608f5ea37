// Package cases reads the data files of scripted tests.
//
// # Usage
//
//	for _, c := range cases.Load[step](t, "testdata/steps.yaml") { ... }
package cases

import (
	"os"
	"testing"

	"github.com/goccy/go-yaml"
)

// Load returns the cases of a YAML file. It ends the test if the file can't be read or has
// names that a case doesn't.
func Load[T any](t *testing.T, path string) []T {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var list []T
	if err := yaml.UnmarshalWithOptions(text, &list, yaml.Strict()); err != nil {
		t.Fatal(err)
	}
	return list
}
