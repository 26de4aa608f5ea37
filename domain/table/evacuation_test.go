package table

import (
	"slices"
	"testing"
)

// TestEvacuationRows guards against an evacuation that another operator's edit ends unnoticed, that a snapshot or a file
// loses, or that has no effect.
func TestEvacuationRows(t *testing.T) {
	state := publish(t, NewState(), "order", []Edit{newSetEdit(DataCentre{Name: "pos-1", Evacuated: true})})
	if !state.Evacuated("pos-1") || state.Evacuated("pos-2") || !slices.Equal(state.EvacuatedCentres(), []string{"pos-1"}) {
		t.Errorf("evacuated are %v, want pos-1", state.EvacuatedCentres())
	}
	if _, outcome := state.Fold(state.Next, changeRecord("other", newSetEdit(DataCentre{Name: "pos-1"}))); outcome.Applied || len(outcome.Clashes) != 1 {
		t.Errorf("an operator who has not seen the order withdraws it: %+v", outcome)
	}
	text, err := state.Table().Format()
	if err != nil {
		t.Fatal(err)
	}
	file, problems := Parse(text)
	if len(problems) > 0 || len(state.Diff(file)) > 0 || !slices.Contains(file.DataCentres, state.DataCentres["pos-1"]) {
		t.Errorf("the file has %v (problems %v)", file.DataCentres, problems)
	}
	restored, _ := NewState().Fold(state.Next, Record{Kind: SnapshotRecord, ID: "s", Snapshot: &Snapshot{State: state}})
	if !restored.Evacuated("pos-1") {
		t.Error("a snapshot loses the order")
	}
	// A snapshot of an earlier release has no such rows.
	old := state
	old.DataCentres = nil
	old, outcome := old.Fold(old.Next, changeRecord("again", newSetEdit(DataCentre{Name: "pos-1", Evacuated: true})))
	if !outcome.Applied || !old.Evacuated("pos-1") {
		t.Errorf("order without earlier rows: %+v", outcome)
	}
	state = publish(t, state, "withdrawal", []Edit{{Row: RowKey{Sheet: DataCentres, Name: "pos-1"}, Base: state.DataCentres["pos-1"].Revision, Delete: true}})
	if state.Evacuated("pos-1") {
		t.Error("the deletion of the row does not end the evacuation")
	}
}
