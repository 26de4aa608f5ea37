package moves

import (
	"cmp"
	"maps"
	"slices"

	"lentilstage.dev/wire/wire"
)

type (
	// Counts are the summed counters of one side of a move, the new or the old version, in one step.
	Counts struct {
		// Requests is the number of ended requests without the excluded ones.
		Requests int64
		// Failures are attributed to the version. Crashes attributed to a request are not included.
		Failures int64
		// SlowFirst is the number of requests whose first token exceeded the route's target.
		SlowFirst int64
		// SlowGaps is the number of requests whose mean gap between tokens exceeded the route's target.
		SlowGaps int64
		// Reclaimed is the number of requests lost to a reclaim on the instance list or to the loss
		// of a data centre.
		Reclaimed int64
		// Doubtful is the number of interrupted connections and of crashes attributed to a request.
		// They are excluded only by the daemons' own judgement.
		Doubtful int64
	}

	// StepEvidence is the evidence of both sides from the same period, in which daemons served one
	// share during one step.
	StepEvidence struct {
		Step int
		// Share is the probability with which a request went to the new version.
		Share float64
		New   Counts
		Old   Counts
	}

	// Evidence is the evidence of a move. It has one entry for each step and share, in ascending
	// order.
	Evidence []StepEvidence

	// EvidenceStore keeps the newest evidence of each run of each daemon. It is immutable and its
	// zero value is empty.
	EvidenceStore struct {
		runs map[run]report
	}

	// run identifies one incarnation of one daemon.
	run struct {
		process     string
		incarnation string
	}

	// report is the evidence that a run has sent so far. The counters of a move, version, step and
	// share never decrease.
	report struct {
		sequence int64
		counters []wire.Evidence
	}
)

// MaxRuns is the maximum number of runs that a store keeps; further runs are ignored. At the target of
// 390 daemons, each of them can restart once during a move.
const MaxRuns = 1024

// With returns the store with a daemon's entry. An entry that is not newer than the last one of its
// run is ignored. A counter that is lower than before keeps its value, so that no count decreases.
func (b EvidenceStore) With(entry wire.DigestEntry) EvidenceStore {
	key := run{process: entry.Process, incarnation: entry.Incarnation}
	previous, known := b.runs[key]
	if known && entry.Sequence <= previous.sequence || !known && len(b.runs) >= MaxRuns {
		return b
	}
	if !known && len(entry.Evidence) == 0 {
		return b
	}
	counters := slices.Clone(previous.counters)
	for i, e := range entry.Evidence {
		// A daemon sends its counters in the same order, so the index is usually right.
		if i >= len(counters) || !sameKey(counters[i], e) {
			i = slices.IndexFunc(counters, func(kept wire.Evidence) bool { return sameKey(kept, e) })
		}
		if i < 0 {
			counters = append(counters, mergeCounters(wire.Evidence{}, e))
		} else {
			counters[i] = mergeCounters(counters[i], e)
		}
	}
	next := EvidenceStore{runs: make(map[run]report, len(b.runs)+1)}
	maps.Copy(next.runs, b.runs)
	next.runs[key] = report{sequence: entry.Sequence, counters: counters}
	return next
}

// RetainMoves returns the store with the evidence of the named moves only, without the runs that have
// no such evidence.
func (b EvidenceStore) RetainMoves(moves ...string) EvidenceStore {
	next := EvidenceStore{runs: make(map[run]report, len(b.runs))}
	for key, r := range b.runs {
		counters := slices.DeleteFunc(slices.Clone(r.counters), func(e wire.Evidence) bool {
			return !slices.Contains(moves, e.Move)
		})
		if len(counters) > 0 {
			next.runs[key] = report{sequence: r.sequence, counters: counters}
		}
	}
	return next
}

// Evidence returns the evidence of a move, summed over all runs. Every version except the new one
// counts as the old side. Requests that were not split between the versions, before the first step
// or after a local stop, are not included.
func (b EvidenceStore) Evidence(move, newVersion string) Evidence {
	type stepShare struct {
		step  int
		share float64
	}
	sums := make(map[stepShare]StepEvidence)
	for _, r := range b.runs {
		for _, e := range r.counters {
			if e.Move != move || e.Step < 1 || !(e.Share > 0 && e.Share <= 1) {
				continue
			}
			key := stepShare{step: e.Step, share: e.Share}
			s := sums[key]
			s.Step, s.Share = e.Step, e.Share
			if e.Version == newVersion {
				s.New = s.New.plus(countsOf(e))
			} else {
				s.Old = s.Old.plus(countsOf(e))
			}
			sums[key] = s
		}
	}
	return slices.SortedFunc(maps.Values(sums), func(a, b StepEvidence) int {
		return cmp.Or(cmp.Compare(a.Step, b.Step), cmp.Compare(a.Share, b.Share))
	})
}

// At returns the evidence of one step and share, without counts if there is none.
func (e Evidence) At(step int, share float64) StepEvidence {
	for _, s := range e {
		if s.Step == step && s.Share == share {
			return s
		}
	}
	return StepEvidence{Step: step, Share: share}
}

// Total returns the sum over all steps and shares.
func (e Evidence) Total() StepEvidence {
	var total StepEvidence
	for _, s := range e {
		total.New = total.New.plus(s.New)
		total.Old = total.Old.plus(s.Old)
	}
	return total
}

// plus returns the sum of both counts.
func (c Counts) plus(o Counts) Counts {
	return Counts{
		Requests:  c.Requests + o.Requests,
		Failures:  c.Failures + o.Failures,
		SlowFirst: c.SlowFirst + o.SlowFirst,
		SlowGaps:  c.SlowGaps + o.SlowGaps,
		Reclaimed: c.Reclaimed + o.Reclaimed,
		Doubtful:  c.Doubtful + o.Doubtful,
	}
}

// countsOf returns the counts of a daemon's counters. Both terms of each difference arrive in the same
// entry, but a faulty sender must not cause a negative count.
func countsOf(e wire.Evidence) Counts {
	doubtful := e.Interrupted + e.RequestCrashes
	return Counts{
		Requests:  e.Requests,
		Failures:  max(e.Failures-e.Excused, 0),
		SlowFirst: e.SlowFirst,
		SlowGaps:  e.SlowGaps,
		Reclaimed: max(e.Excluded-doubtful, 0),
		Doubtful:  doubtful,
	}
}

// sameKey reports whether both counters belong to the same move, version, step and share.
func sameKey(a, b wire.Evidence) bool {
	return a.Step == b.Step && a.Share == b.Share && a.Version == b.Version && a.Move == b.Move
}

// mergeCounters returns b with the higher value of each counter, at least 0.
func mergeCounters(a, b wire.Evidence) wire.Evidence {
	b.Requests = max(a.Requests, b.Requests, 0)
	b.Failures = max(a.Failures, b.Failures, 0)
	b.Excused = max(a.Excused, b.Excused, 0)
	b.Slow = max(a.Slow, b.Slow, 0)
	b.SlowFirst = max(a.SlowFirst, b.SlowFirst, 0)
	b.SlowGaps = max(a.SlowGaps, b.SlowGaps, 0)
	b.Excluded = max(a.Excluded, b.Excluded, 0)
	b.Interrupted = max(a.Interrupted, b.Interrupted, 0)
	b.RequestCrashes = max(a.RequestCrashes, b.RequestCrashes, 0)
	return b
}
