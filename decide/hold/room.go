package hold

import "lentilstage.dev/wire/wire"

// makeRoom drops former copies and then finished records, the oldest first, until a record of
// the size fits or none is left. Records in progress are never dropped: their callers rely on
// the copy.
func (s *Store) makeRoom(added int, isNew bool) {
	for s.bytes+added > s.limits.MaxBytes && s.dropOldestFormer() {
	}
	if !isNew {
		return
	}
	for len(s.finished) > 0 && (s.bytes+added > s.limits.MaxBytes || len(s.records) >= s.limits.MaxRecords) {
		id := s.finished[0]
		s.finished = s.finished[1:]
		if record, ok := s.records[id]; ok && ended(record) {
			s.remove(id)
		}
	}
}

// remove drops all copies of a request.
func (s *Store) remove(id string) {
	s.bytes -= size(s.records[id])
	delete(s.records, id)
	s.dropFormer(id, all)
}

// noteFinished queues a record that has just ended, as the next to make room.
func (s *Store) noteFinished(known, record wire.HeldRequest) {
	if ended(record) && !ended(known) {
		s.finished = append(s.finished, record.RequestID)
	}
}
