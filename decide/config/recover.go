package config

import (
	"slices"
	"time"

	"lentilstage.dev/domain/table"
	"lentilstage.dev/domain/value"
	"lentilstage.dev/wire/wire"
)

// applyRecords applies or buffers the records of a page.
func (s *State) applyRecords(records []wire.LogRecord) {
	s.buffered = slices.Clone(s.buffered)
	for _, r := range records {
		switch {
		case r.Offset < s.ReadOffset():
		case r.Offset == s.tableState.Next && len(s.buffered) == 0:
			s.applyRecord(r)
		default:
			s.bufferRecord(r)
		}
	}
}

// bufferRecord buffers a record that cannot be applied yet. A snapshot after which all records are
// buffered completes the recovery.
func (s *State) bufferRecord(r wire.LogRecord) {
	if r.Offset != s.ReadOffset() {
		s.buffered = nil
	}
	if len(s.buffered) >= maxBufferedRecords {
		s.buffered = s.buffered[1:]
	}
	s.buffered = append(s.buffered, r)
	record, err := table.DecodeRecord(r.Data)
	if err != nil || record.Kind != table.SnapshotRecord {
		return
	}
	snapshot := record.Snapshot.State
	if snapshot.Next < s.buffered[0].Offset || snapshot.Next > r.Offset {
		return
	}
	waiting := s.buffered
	s.tableState, s.buffered = snapshot.Normalized(), nil
	for _, w := range waiting {
		if w.Offset >= snapshot.Next {
			s.applyRecord(w)
		}
	}
}

// applyRecord applies the record that directly follows the table state.
func (s *State) applyRecord(r wire.LogRecord) {
	record, err := table.DecodeRecord(r.Data)
	if err != nil {
		// All daemons skip the same records, so that their table states stay equal.
		s.tableState = s.tableState.Skip(r.Offset)
		return
	}
	s.tableState, _ = s.tableState.Fold(r.Offset, record)
	switch {
	case record.Kind == table.SnapshotRecord:
		// A snapshot may reach the log long after its state was captured. Its writer had read the
		// tail within the lease before, so no record that must follow the snapshot is older.
		written := value.Earlier(record.Time, r.Time).Add(-s.rules.Lease)
		if !s.snapshotTimeKnown || written.After(s.snapshotTime) {
			s.snapshotTime, s.snapshotTimeKnown = written, true
		}
	case r.Offset == 0:
		s.snapshotTime, s.snapshotTimeKnown = r.Time, true
	}
}

// SnapshotDue reports whether this daemon should append a snapshot now. Rank is its position in the
// rendezvous order of the Control stream, from 0; attempted is the time of its last attempt. Rank 0
// writes when the newest snapshot is older than a third of the retention. Each further rank waits
// another RankDelay, so that a snapshot is also written if daemons fail.
func (s State) SnapshotDue(now time.Time, retention time.Duration, rank int, attempted time.Time) bool {
	if !s.ready || s.tableState.Next == 0 || !now.Before(s.tailDeadline) || len(s.buffered) > 0 {
		return false
	}
	due := s.snapshotTime.Add(time.Duration(rank) * s.rules.RankDelay)
	if s.snapshotTimeKnown {
		due = due.Add(retention / 3)
	}
	// After a lost response there must be time to read the record before the next attempt.
	return !now.Before(due) && !now.Before(attempted.Add(s.rules.RankDelay))
}

// Snapshot returns a snapshot record of the table state, to be appended when SnapshotDue is true.
func (s State) Snapshot(id string, now time.Time) table.Record {
	return table.Record{
		Kind: table.SnapshotRecord, ID: id, Time: now, Writer: s.self,
		Snapshot: &table.Snapshot{State: s.tableState},
	}
}
