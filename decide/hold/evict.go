package hold

import "lentilstage.dev/wire/wire"

// evict drops superseded copies and then, for a new record, finished records, the oldest first,
// until the added bytes fit or nothing is left to drop. Records in progress are never evicted,
// since a takeover needs the copy to continue the caller's answer.
func (s *Store) evict(addedBytes int, isNew bool) {
	for s.bytes+addedBytes > s.limits.MaxBytes && s.dropOldestSuperseded() {
	}
	if !isNew {
		return
	}
	for len(s.finishedIDs) > 0 && (s.bytes+addedBytes > s.limits.MaxBytes || len(s.records) >= s.limits.MaxRecords) {
		id := s.finishedIDs[0]
		s.finishedIDs = s.finishedIDs[1:]
		if record, ok := s.records[id]; ok && ended(record) {
			s.remove(id)
		}
	}
}

// remove drops all copies of a request.
func (s *Store) remove(id string) {
	s.bytes -= size(s.records[id])
	delete(s.records, id)
	s.dropSuperseded(id, matchAll)
}

// queueFinished appends a record that has just ended to the eviction queue.
func (s *Store) queueFinished(previous, record wire.HeldRequest) {
	if ended(record) && !ended(previous) {
		s.finishedIDs = append(s.finishedIDs, record.RequestID)
	}
}
