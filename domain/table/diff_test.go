package table

import (
	"reflect"
	"testing"
)

// TestDiffKeepsOtherOperatorsChanges guards against a lost update. After an operator reads the
// table, others add, edit and delete rows. The operator then publishes the whole file with
// an edit of a different row, and only that edit may be published.
func TestDiffKeepsOtherOperatorsChanges(t *testing.T) {
	state := stateOf(t, account("a", 0.1), account("b", 0.1), account("c", 0.1), account("d", 0.1))
	file := readFile(t, state)

	otherTable := state.Table()
	otherTable.Accounts[1].Share = 0.2
	otherTable.Accounts = append(append([]Account{}, otherTable.Accounts[0], otherTable.Accounts[1], otherTable.Accounts[3]), account("new", 0.05))
	state = publish(t, state, "other", state.Diff(otherTable))

	file.Accounts[0].Share = 0.15
	edits := state.Diff(file)
	if len(edits) != 1 || edits[0].Row.Name != "a" {
		t.Fatalf("edits: %+v", edits)
	}
	state = publish(t, state, "own", edits)
	got := map[string]float64{}
	for _, a := range state.Table().Accounts {
		got[a.Name] = a.Share
	}
	if want := map[string]float64{"a": 0.15, "b": 0.2, "d": 0.1, "new": 0.05}; !reflect.DeepEqual(got, want) {
		t.Fatalf("shares %v, want %v", got, want)
	}
}

// TestDeletingEditedRowClashes guards against the silent deletion of a row that another
// operator has edited since the file was read.
func TestDeletingEditedRowClashes(t *testing.T) {
	state := stateOf(t, account("a", 0.1), account("b", 0.1))
	file := readFile(t, state)
	otherTable := state.Table()
	otherTable.Accounts[1].Share = 0.2
	state = publish(t, state, "other", state.Diff(otherTable))

	file.Accounts = file.Accounts[:1]
	_, outcome := state.Fold(state.Next, changeRecord("own", state.Diff(file)...))
	if outcome.Applied || len(outcome.Clashes) != 1 || string(outcome.Clashes[0].Wanted) != "null" {
		t.Fatalf("outcome %+v", outcome)
	}
}

// TestDiffOfHandWrittenFileDeletesNothing guards against the deletion of rows that were never
// listed in a hand-written file.
func TestDiffOfHandWrittenFileDeletesNothing(t *testing.T) {
	state := stateOf(t, account("a", 0.1), account("b", 0.1))
	file := Table{Accounts: []Account{account("c", 0.1)}}
	edits := state.Diff(file)
	if len(edits) != 1 || edits[0].Row.Name != "c" {
		t.Fatalf("edits: %+v", edits)
	}
	want := []RowKey{{Sheet: Accounts, Name: "a"}, {Sheet: Accounts, Name: "b"}}
	if got := state.Unlisted(file); !reflect.DeepEqual(got, want) {
		t.Fatalf("unlisted %v, want %v", got, want)
	}
}

// TestDiffOfCopiedRowDoesNotClash guards against a clash for a row that was copied within the
// file and still has the revision of the original row.
func TestDiffOfCopiedRowDoesNotClash(t *testing.T) {
	state := stateOf(t, account("a", 0.1))
	file := readFile(t, state)
	copied := file.Accounts[0]
	copied.Name, copied.KeyHashes = "copy", []string{oneHash}
	file.Accounts = append(file.Accounts, copied)
	publish(t, state, "own", state.Diff(file))
}

// TestEditsDependOnlyOnFile guards against a repeated publication that has the same identifier
// as the first one but different edits.
func TestEditsDependOnlyOnFile(t *testing.T) {
	state := stateOf(t, account("a", 0.1), account("b", 0.1))
	file := readFile(t, state)
	file.Accounts = file.Accounts[:1]
	file.Accounts[0].Share = 0.3
	first, ok := file.Edits()
	if !ok || !reflect.DeepEqual(first, state.Diff(file)) {
		t.Fatalf("edits %+v differ from the diff against the unchanged table", first)
	}
	if _, ok := (Table{}).Edits(); ok {
		t.Fatal("a file without base rows returned edits")
	}
}

// TestDiffIgnoresFormatting guards against edits that differ only in the notation of a value.
func TestDiffIgnoresFormatting(t *testing.T) {
	state := publish(t, NewState(), "first", []Edit{
		newSetEdit(Version{Name: "v1", Kind: Model, Weights: "w"}), newSetEdit(Version{Name: "v2", Kind: Model, Weights: "w"}),
		newSetEdit(Route{Name: "r", Kind: Model, Versions: []WeightedVersion{{Version: "v1", Weight: 1}}, MoveTo: "v2", MoveDeadline: noon}),
	})
	file := Table{Versions: state.Table().Versions, Routes: state.Table().Routes}
	file.Routes[0].Accounts = []string{}
	file.Routes[0].MoveDeadline = noon.In(eastOfUTC)
	if edits := state.Diff(file); len(edits) != 0 {
		t.Fatalf("edits: %+v", edits)
	}
}

// TestDuplicateRecordKeepsFirstOutcome guards against a repeated append that replaces the outcome
// of the first one, so that an applied change is reported to its operator as not applied.
func TestDuplicateRecordKeepsFirstOutcome(t *testing.T) {
	state := stateOf(t, account("a", 0.1))
	edited := state.Accounts["a"]
	edited.Share = 0.2
	record := changeRecord("twice", newSetEdit(edited))
	state = publish(t, state, "twice", record.Change.Edits)
	next, outcome := state.Fold(state.Next, record)
	if outcome.Applied {
		t.Fatalf("the duplicate was applied: %+v", outcome)
	}
	kept, ok := next.OutcomeOf("twice")
	if !ok || !kept.Applied {
		t.Fatalf("kept outcome: %+v", kept)
	}
}

func account(name string, share float64) Account {
	hash := zeroHash[:63-len(name)] + "1"
	for _, b := range []byte(name) {
		hash += string("0123456789abcdef"[b%16])
	}
	return Account{Name: name, Share: share, KeyHashes: []string{hash[:64]}}
}

func stateOf(t *testing.T, accounts ...Account) State {
	t.Helper()
	edits := make([]Edit, 0, len(accounts))
	for _, a := range accounts {
		edits = append(edits, newSetEdit(a))
	}
	return publish(t, NewState(), "first", edits)
}

// readFile formats the state's table as a file and parses it again.
func readFile(t *testing.T, state State) Table {
	t.Helper()
	text, err := state.Table().Format()
	if err != nil {
		t.Fatal(err)
	}
	file, problems := Parse(text)
	if len(problems) > 0 {
		t.Fatalf("%v\n%s", problems, text)
	}
	return file
}

func publish(t *testing.T, state State, id string, edits []Edit) State {
	t.Helper()
	next, outcome := state.Fold(state.Next, changeRecord(id, edits...))
	if !outcome.Applied {
		t.Fatalf("change %s: %+v", id, outcome)
	}
	return next
}
