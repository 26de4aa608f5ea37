// Package cases loads the cases of table-driven tests from YAML files.
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

// Load returns the cases in a YAML file. The test fails immediately if the file can't be read or has
// fields that T doesn't have.
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
