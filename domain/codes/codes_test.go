package codes

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestCodesDocumentListsEveryCode guards against a code that is missing from docs/CODES.md or
// described differently there.
func TestCodesDocumentListsEveryCode(t *testing.T) {
	document, err := os.ReadFile("../../docs/CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	for code, info := range All() {
		row := fmt.Sprintf("| %d | `%s` | %d | %s | %s |", code, info.Name, info.HTTPStatus, info.Outcome, info.Meaning)
		if !strings.Contains(string(document), row) {
			t.Errorf("docs/CODES.md has no row %s", row)
		}
	}
}
