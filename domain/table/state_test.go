package table

import (
	"testing"
	"time"
)

// TestFoldRejectsLaterOfTwoConcurrentEdits guards against a lost update. Two operators edit
// a row from the same revision, and the second record must not overwrite the first.
func TestFoldRejectsLaterOfTwoConcurrentEdits(t *testing.T) {
	account := Account{Name: "counter", Share: 0.2, KeyHashes: []string{zeroHash}}
	state, outcome := NewState().Fold(0, changeRecord("one", newSetEdit(account)))
	if !outcome.Applied {
		t.Fatalf("first change was not applied: %+v", outcome)
	}
	first, second := state.Accounts["counter"], state.Accounts["counter"]
	first.Share, second.Share = 0.3, 0.4
	state, _ = state.Fold(1, changeRecord("two", newSetEdit(first)))
	state, outcome = state.Fold(2, changeRecord("three", newSetEdit(second)))
	if outcome.Applied || len(outcome.Clashes) != 1 {
		t.Fatalf("concurrent change: %+v", outcome)
	}
	if got := state.Accounts["counter"].Share; got != 0.3 {
		t.Fatalf("share is %g, want that of the first change in log order", got)
	}
}

// TestFoldRejectsGap guards against a state that advances its offset past missing records. The
// daemon would serve an old table and confirm the new one.
func TestFoldRejectsGap(t *testing.T) {
	full := stateOf(t, account("a", 0.1))
	edited := full.Accounts["a"]
	edited.Share = 0.2
	full = publish(t, full, "second", []Edit{newSetEdit(edited)})

	incomplete, outcome := NewState().Fold(1, changeRecord("late", newSetEdit(account("b", 0.1))))
	if outcome.Applied || incomplete.Next != 0 {
		t.Fatalf("folded across a gap: %+v", incomplete)
	}
	snapshot := Record{Kind: SnapshotRecord, ID: "s", Snapshot: &Snapshot{State: full}}
	if incomplete, outcome = incomplete.Fold(3, snapshot); outcome.Applied || incomplete.Next != 0 {
		t.Fatalf("applied a snapshot whose state ends before its own offset: %+v", incomplete)
	}
	if restored, outcome := NewState().Fold(2, snapshot); !outcome.Applied || restored.Next != 3 || restored.Accounts["a"].Share != 0.2 {
		t.Fatalf("rejected a snapshot whose state ends at its own offset: %+v", outcome)
	}
	if ahead, outcome := stateOf(t, account("a", 0.1)).Fold(1, snapshot); outcome.Applied || ahead.Next != 2 {
		t.Fatalf("applied a snapshot whose state ends after its own offset: %+v", outcome)
	}
}

const (
	zeroHash = "0000000000000000000000000000000000000000000000000000000000000000"
	oneHash  = "1111111111111111111111111111111111111111111111111111111111111111"
)

var (
	noon      = time.Date(2099, 1, 1, 12, 0, 0, 0, time.UTC)
	eastOfUTC = time.FixedZone("east", 7200)
)

func changeRecord(id string, edits ...Edit) Record {
	return Record{Kind: ChangeRecord, ID: id, Time: time.Unix(0, 0), Change: &Change{Edits: edits}}
}
