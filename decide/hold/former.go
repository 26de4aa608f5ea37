package hold

import (
	"maps"
	"slices"
	"time"

	"lentilstage.dev/wire/wire"
)

// maxFormer bounds the former copies of one request. Each takes a takeover whose new owner went
// on from a copy that lacked tokens which a caller had.
const maxFormer = 3

// displace keeps a copy that has lost its rank to another one, if a caller may need it: it has
// tokens, and neither the present copy nor another former one starts with them. Former copies
// are the first to make room.
func (s *Store) displace(lost, present wire.HeldRequest, now time.Time) {
	s.dropCovered(present)
	covers := func(r wire.HeldRequest) bool { return Covers(r, end(lost)) }
	formers := s.former[lost.RequestID]
	if len(lost.Tokens) == 0 || covers(present) || slices.ContainsFunc(formers, covers) || s.bytes+size(lost) > s.limits.MaxBytes {
		return
	}
	s.dropCovered(lost)
	formers = s.former[lost.RequestID]
	if len(formers) == maxFormer {
		s.bytes -= size(formers[0])
		formers = formers[1:]
	}
	lost.Tokens, lost.Branches = slices.Clone(lost.Tokens), slices.Clone(lost.Branches)
	lost.KeepUntil = now.Add(s.limits.KeepPeriod)
	s.bytes += size(lost)
	s.former[lost.RequestID] = append(slices.Clone(formers), lost)
}

// dropCovered drops the former copies that the record starts with.
func (s *Store) dropCovered(record wire.HeldRequest) {
	s.dropFormer(record.RequestID, func(r wire.HeldRequest) bool {
		return r.Account == record.Account && Covers(record, end(r))
	})
}

// dropFormer drops the former copies of a request that the function names.
func (s *Store) dropFormer(id string, unneeded func(wire.HeldRequest) bool) {
	var kept []wire.HeldRequest
	for _, r := range s.former[id] {
		if unneeded(r) {
			s.bytes -= size(r)
			continue
		}
		kept = append(kept, r)
	}
	if s.former[id] = kept; len(kept) == 0 {
		delete(s.former, id)
	}
}

func all(wire.HeldRequest) bool { return true }

// dropOldestFormer drops the former copies of the request whose copy has waited longest. It
// reports whether there was one.
func (s *Store) dropOldestFormer() bool {
	ids := slices.Sorted(maps.Keys(s.former))
	if len(ids) == 0 {
		return false
	}
	s.dropFormer(slices.MinFunc(ids, func(a, b string) int {
		return s.former[a][0].KeepUntil.Compare(s.former[b][0].KeepUntil)
	}), all)
	return true
}
