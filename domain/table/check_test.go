package table

import (
	"fmt"
	"testing"
)

// TestProblemsAreReportedOnce guards against a table whose one problem is reported several times: the
// report is limited, so that repetitions hide other problems.
func TestProblemsAreReportedOnce(t *testing.T) {
	accounts := make([]Account, 0, 6)
	for i := range 6 {
		accounts = append(accounts, Account{Name: fmt.Sprint("account-", i), Share: 0.4, KeyHashes: []string{fmt.Sprintf("%064d", i)}})
	}
	var c checker
	c.checkAccounts(accounts)
	if len(c.problems) != 1 {
		t.Errorf("%d problems are reported, want 1: %+v", len(c.problems), c.problems)
	}
}
