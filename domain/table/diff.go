package table

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// sheets lists the sheets in the order in which edits are returned.
var sheets = []Sheet{Accounts, Versions, Routes, DataCentres}

// Edits returns the edits that the operator made to the file since it was read, ordered by
// sheet and row. It returns false for a file that was written without base rows. The result
// depends only on the file, so that publishing it twice yields the same change.
func (t Table) Edits() ([]Edit, bool) {
	if t.Base == nil {
		return nil, false
	}
	var edits []Edit
	for _, sheet := range sheets {
		listed := make(map[string]bool)
		for _, row := range t.rowsOf(sheet) {
			key := row.Key().String()
			listed[key] = true
			if base, inBase := t.Base[key]; !inBase || base.Hash != rowHash(row) {
				edit := newSetEdit(row)
				// A row that was copied within the file still has the revision of the original row.
				edit.Base = base.Revision
				edits = append(edits, edit)
			}
		}
		for _, key := range sortedKeys(t.Base) {
			if row, ok := parseRowKey(key); ok && row.Sheet == sheet && !listed[key] {
				edits = append(edits, Edit{Row: row, Base: t.Base[key].Revision, Delete: true})
			}
		}
	}
	return edits, true
}

// Diff returns the operator's edits to the file that are not yet in the state's table. Changes
// by other operators since the file was read are kept.
//
// In a file without base rows, each row that differs is an edit based on its Revision field.
// No row is deleted, since such a file doesn't show whether the operator has seen the row.
func (s State) Diff(desired Table) []Edit {
	fileEdits, ok := desired.Edits()
	if !ok {
		for _, sheet := range sheets {
			for _, row := range desired.rowsOf(sheet) {
				fileEdits = append(fileEdits, newSetEdit(row))
			}
		}
	}
	var edits []Edit
	for _, edit := range fileEdits {
		current, _ := s.row(edit.Row)
		row := edit.desired()
		if (current == nil) != (row == nil) || (row != nil && !equalRows(current, row)) {
			edits = append(edits, edit)
		}
	}
	return edits
}

// Unlisted returns the keys of the state's rows that are missing from a file without base rows.
// Diff keeps these rows.
func (s State) Unlisted(desired Table) []RowKey {
	if desired.Base != nil {
		return nil
	}
	var keys []RowKey
	for _, sheet := range sheets {
		listed := make(map[RowKey]bool)
		for _, row := range desired.rowsOf(sheet) {
			listed[row.Key()] = true
		}
		for _, row := range s.rows().rowsOf(sheet) {
			if !listed[row.Key()] {
				keys = append(keys, row.Key())
			}
		}
	}
	return keys
}

func newSetEdit(row Row) Edit {
	edit := Edit{Row: row.Key(), Base: row.Base()}
	switch r := row.(type) {
	case Account:
		edit.Account = &r
	case Version:
		edit.Version = &r
	case Route:
		edit.Route = &r
	case DataCentre:
		edit.DataCentre = &r
	}
	return edit
}

// equalRows reports whether two rows are equal apart from their revisions.
func equalRows(a, b Row) bool { return canonicalRow(a) == canonicalRow(b) }

// rowHash returns the hash of a row without its revision.
func rowHash(row Row) string { return fmt.Sprintf("%016x", xxhash.Sum64String(canonicalRow(row))) }

// canonicalRow returns a canonical JSON form of a row for comparison: without the revision,
// with times in UTC, and with an empty list encoded like a missing one.
func canonicalRow(row Row) string {
	switch r := row.(type) {
	case Account:
		r.Revision = 0
		r.KeyHashes = append([]string(nil), r.KeyHashes...)
		return string(mustJSON(r))
	case Version:
		r.Revision = 0
		return string(mustJSON(r))
	case Route:
		r.Revision = 0
		r.Accounts = append([]string(nil), r.Accounts...)
		r.Versions = append([]WeightedVersion(nil), r.Versions...)
		r.MoveDeadline = r.MoveDeadline.UTC()
		return string(mustJSON(r))
	case DataCentre:
		r.Revision = 0
		return string(mustJSON(r))
	}
	return ""
}
