package hold

import (
	"maps"
	"slices"
	"time"

	"lentilstage.dev/wire/wire"
)

// maxSupersededCopies bounds the superseded copies of one request. A copy is added by a takeover
// whose new owner continued from a copy without some of the tokens that a caller had received.
const maxSupersededCopies = 3

// keepSuperseded keeps an outdated copy if a caller may still need it: the copy has tokens, and
// neither the current copy nor a superseded one starts with them. Superseded copies are the first
// to be evicted.
func (s *Store) keepSuperseded(outdated, current wire.HeldRequest, now time.Time) {
	s.dropCoveredCopies(current)
	covers := func(r wire.HeldRequest) bool { return Covers(r, endPosition(outdated)) }
	copies := s.superseded[outdated.RequestID]
	if len(outdated.Tokens) == 0 || covers(current) || slices.ContainsFunc(copies, covers) || s.bytes+size(outdated) > s.limits.MaxBytes {
		return
	}
	s.dropCoveredCopies(outdated)
	copies = s.superseded[outdated.RequestID]
	if len(copies) == maxSupersededCopies {
		s.bytes -= size(copies[0])
		copies = copies[1:]
	}
	outdated.Tokens, outdated.Branches = slices.Clone(outdated.Tokens), slices.Clone(outdated.Branches)
	outdated.KeepUntil = now.Add(s.limits.KeepPeriod)
	s.bytes += size(outdated)
	s.superseded[outdated.RequestID] = append(slices.Clone(copies), outdated)
}

// dropCoveredCopies drops the superseded copies whose tokens are a prefix of the record.
func (s *Store) dropCoveredCopies(record wire.HeldRequest) {
	s.dropSuperseded(record.RequestID, func(r wire.HeldRequest) bool {
		return r.Account == record.Account && Covers(record, endPosition(r))
	})
}

// dropSuperseded drops the superseded copies of a request for which the function returns true.
func (s *Store) dropSuperseded(id string, drop func(wire.HeldRequest) bool) {
	var kept []wire.HeldRequest
	for _, r := range s.superseded[id] {
		if drop(r) {
			s.bytes -= size(r)
			continue
		}
		kept = append(kept, r)
	}
	if s.superseded[id] = kept; len(kept) == 0 {
		delete(s.superseded, id)
	}
}

// matchAll selects every copy.
func matchAll(wire.HeldRequest) bool { return true }

// dropOldestSuperseded drops the superseded copies of the request whose first copy expires next. It
// returns false if the store has no superseded copies.
func (s *Store) dropOldestSuperseded() bool {
	ids := slices.Sorted(maps.Keys(s.superseded))
	if len(ids) == 0 {
		return false
	}
	s.dropSuperseded(slices.MinFunc(ids, func(a, b string) int {
		return s.superseded[a][0].KeepUntil.Compare(s.superseded[b][0].KeepUntil)
	}), matchAll)
	return true
}
