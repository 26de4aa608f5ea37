package poison

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/domain/value"
)

type (
	// Evidence is what one or more daemons have recorded. Merge combines it; merging the same evidence
	// again has no effect.
	Evidence struct {
		Crashes     map[Key]PartCrashes
		Answers     map[Key]time.Time
		Quarantines map[Key]QuarantineRecord
	}

	// PartCrashes are the crashes of a part.
	PartCrashes struct {
		// Depth is the position of the part in the prompt, from 0.
		Depth int
		// At holds the time of the first attempt that each endpoint broke off.
		At map[Key]time.Time
	}

	// QuarantineRecord is a quarantine in force.
	QuarantineRecord struct {
		Since time.Time
		// FirstCrash is the time of the first crash that led to it. An answer after it ends the quarantine,
		// also if it is heard of late.
		FirstCrash time.Time
		// Probes is the number of requests that have tested the part.
		Probes int
	}

	// Report is the encoded form of Evidence, with ages in milliseconds instead of times, since the
	// clocks of daemons differ. Numbered fields keep it small.
	Report struct {
		Crashes     map[Key]CrashReport      `cbor:"1,keyasint,omitempty"`
		AnsweredMS  map[Key]int64            `cbor:"2,keyasint,omitempty"`
		Quarantines map[Key]QuarantineReport `cbor:"3,keyasint,omitempty"`
	}

	// CrashReport is the encoded form of PartCrashes.
	CrashReport struct {
		_     struct{} `cbor:",toarray"`
		Depth int
		AgeMS map[Key]int64
	}

	// QuarantineReport is the encoded form of QuarantineRecord.
	QuarantineReport struct {
		_       struct{} `cbor:",toarray"`
		AgeMS   int64
		FirstMS int64
		Probes  int
	}
)

const (
	// maxAnswers bounds the answers in the state, maxQuarantined the quarantines.
	maxAnswers     = 1024
	maxQuarantined = 256
	// maxReported bounds the entries of each kind in a report, so that it fits into a datagram beside
	// other content.
	maxReported = 64
	// maxAge bounds the ages in a report.
	maxAge = 24 * time.Hour
)

// ErrInvalidReport says that a report has a number that no daemon sends.
var ErrInvalidReport = eris.New("invalid report of crashing prompt parts")

func newEvidence() Evidence {
	return Evidence{Crashes: map[Key]PartCrashes{}, Answers: map[Key]time.Time{}, Quarantines: map[Key]QuarantineRecord{}}
}

// Merge returns the evidence of all.
func (e Evidence) Merge(others ...Evidence) Evidence {
	merged := e.clone()
	for _, other := range others {
		for part, crashes := range other.Crashes {
			for endpoint, at := range crashes.At {
				merged.addCrash(part, crashes.Depth, endpoint, at)
			}
		}
		for key, at := range other.Answers {
			merged.Answers[key] = value.Later(merged.Answers[key], at)
		}
		for part, q := range other.Quarantines {
			if known, ok := merged.Quarantines[part]; ok {
				q.Since, q.FirstCrash = value.Earlier(q.Since, known.Since), value.Earlier(q.FirstCrash, known.FirstCrash)
				q.Probes = max(q.Probes, known.Probes)
			}
			merged.Quarantines[part] = q
		}
	}
	merged.limit()
	return merged
}

// limit removes the oldest answers and quarantines beyond what is kept. The crashes are limited as they are
// added.
func (e Evidence) limit() {
	if len(e.Answers) > maxAnswers {
		for _, key := range newest(e.Answers)[maxAnswers:] {
			delete(e.Answers, key)
		}
	}
	if len(e.Quarantines) <= maxQuarantined {
		return
	}
	for _, part := range e.newestQuarantines()[maxQuarantined:] {
		delete(e.Quarantines, part)
	}
}

// newestQuarantines returns the quarantined parts, the newest first.
func (e Evidence) newestQuarantines() []Key {
	since := make(map[Key]time.Time, len(e.Quarantines))
	for part, q := range e.Quarantines {
		since[part] = q.Since
	}
	return newest(since)
}

// reported returns the keys that a report has room for.
func reported(keys []Key) []Key { return keys[:min(len(keys), maxReported)] }

// adds reports whether other evidence changes what follows from this one. Most reports repeat what is
// known, and a hub receives hundreds a second.
func (e Evidence) adds(other Evidence, now time.Time) bool {
	answered := func(key Key) time.Time { return value.Later(e.Answers[key], other.Answers[key]) }
	for part, crashes := range other.Crashes {
		known := e.Crashes[part].At
		for endpoint, at := range crashes.At {
			if _, recorded := known[endpoint]; !recorded && now.Sub(at) <= crashWindow &&
				at.After(answered(part)) && !at.Before(answered(endpoint)) && keeps(known, endpoint, at) {
				return true
			}
		}
	}
	for part, q := range other.Quarantines {
		known, ok := e.Quarantines[part]
		if !ok && !answered(part).After(q.FirstCrash) || ok && q.Probes > known.Probes {
			return true
		}
	}
	for part, crashes := range e.Crashes {
		if containsEntry(crashes.At, func(endpoint Key, at time.Time) bool {
			return !at.After(other.Answers[part]) || at.Before(other.Answers[endpoint])
		}) {
			return true
		}
	}
	for part, q := range e.Quarantines {
		if other.Answers[part].After(q.FirstCrash) {
			return true
		}
	}
	return false
}

// Report returns the encoded form. If there are too many entries, those that matter least are left out:
// the crashes of parts with the fewest, and the oldest answers and quarantines.
func (e Evidence) Report(now time.Time) Report {
	var r Report
	for _, part := range reported(e.mostCrashes()) {
		crashes := e.Crashes[part]
		report := CrashReport{Depth: crashes.Depth, AgeMS: make(map[Key]int64, len(crashes.At))}
		for endpoint, at := range crashes.At {
			report.AgeMS[endpoint] = ageMS(at, now)
		}
		if r.Crashes == nil {
			r.Crashes = map[Key]CrashReport{}
		}
		r.Crashes[part] = report
	}
	for _, key := range reported(newest(e.Answers)) {
		if r.AnsweredMS == nil {
			r.AnsweredMS = map[Key]int64{}
		}
		r.AnsweredMS[key] = ageMS(e.Answers[key], now)
	}
	for _, part := range reported(e.newestQuarantines()) {
		if r.Quarantines == nil {
			r.Quarantines = map[Key]QuarantineReport{}
		}
		q := e.Quarantines[part]
		r.Quarantines[part] = QuarantineReport{AgeMS: ageMS(q.Since, now), FirstMS: ageMS(q.FirstCrash, now), Probes: q.Probes}
	}
	return r
}

// Empty reports whether the report has no content.
func (r Report) Empty() bool { return len(r.Crashes)+len(r.AnsweredMS)+len(r.Quarantines) == 0 }

// Check returns ErrInvalidReport if the report has too many entries or a number out of range.
func (r Report) Check() error {
	if entries := max(len(r.Crashes), len(r.AnsweredMS), len(r.Quarantines)); entries > maxReported {
		return eris.Wrapf(ErrInvalidReport, "%d entries of one kind, at most %d", entries, maxReported)
	}
	valid := func(age int64) bool { return age >= 0 && age <= maxAge.Milliseconds() }
	for part, crashes := range r.Crashes {
		if crashes.Depth < 0 || crashes.Depth > math.MaxInt16 {
			return eris.Wrapf(ErrInvalidReport, "part %x at depth %d", part, crashes.Depth)
		}
		for endpoint, age := range crashes.AgeMS {
			if !valid(age) {
				return eris.Wrapf(ErrInvalidReport, "crash of endpoint %x %d ms ago", endpoint, age)
			}
		}
	}
	for key, age := range r.AnsweredMS {
		if !valid(age) {
			return eris.Wrapf(ErrInvalidReport, "answer of %x %d ms ago", key, age)
		}
	}
	for part, q := range r.Quarantines {
		if !valid(q.AgeMS) || !valid(q.FirstMS) || q.Probes < 0 {
			return eris.Wrapf(ErrInvalidReport, "quarantine of part %x %d ms ago, %d probes", part, q.AgeMS, q.Probes)
		}
	}
	return nil
}

// Evidence returns the content of a report that is received now.
func (r Report) Evidence(now time.Time) Evidence {
	e := newEvidence()
	ago := func(age int64) time.Time { return now.Add(-time.Duration(age) * time.Millisecond) }
	for part, crashes := range r.Crashes {
		for endpoint, age := range crashes.AgeMS {
			e.addCrash(part, crashes.Depth, endpoint, ago(age))
		}
	}
	for key, age := range r.AnsweredMS {
		e.Answers[key] = ago(age)
	}
	for part, q := range r.Quarantines {
		e.Quarantines[part] = QuarantineRecord{Since: ago(q.AgeMS), FirstCrash: ago(q.FirstMS), Probes: min(q.Probes, maxProbes)}
	}
	return e
}

// NextProbe returns when the quarantined part is to be tested next.
func (q QuarantineRecord) NextProbe() time.Time {
	wait := firstProbe
	total := wait
	for range min(q.Probes, maxProbes) {
		wait *= probeFactor
		total += wait
	}
	return q.Since.Add(total)
}

// first returns the time of the first crash.
func (c PartCrashes) first() time.Time { return earliest(c.At) }

// instants returns the number of crashes, where those at the same instant count as one.
func (c PartCrashes) instants() int {
	count := 0
	var counted time.Time
	for _, at := range slices.SortedFunc(maps.Values(c.At), time.Time.Compare) {
		if count == 0 || at.Sub(counted) > sameInstant {
			count, counted = count+1, at
		}
	}
	return count
}

// hasInstant reports whether a crash at the given time would count as one with a crash that is not later.
func (c PartCrashes) hasInstant(at time.Time) bool {
	return containsEntry(c.At, func(_ Key, other time.Time) bool { return !at.Before(other) && at.Sub(other) <= sameInstant })
}

// addCrash records the first attempt with the part that an endpoint broke off. Of more than maxCrashes,
// surplus is left out.
func (e Evidence) addCrash(part Key, depth int, endpoint Key, at time.Time) {
	crashes, known := e.Crashes[part]
	if !known && len(e.Crashes) >= maxSuspects {
		e.evict()
	}
	if first, recorded := crashes.At[endpoint]; recorded && !at.Before(first) {
		return
	}
	times := maps.Clone(crashes.At)
	if times == nil {
		times = map[Key]time.Time{}
	}
	times[endpoint] = at
	if len(times) > maxCrashes {
		delete(times, surplus(times))
	}
	e.Crashes[part] = PartCrashes{Depth: max(depth, crashes.Depth), At: times}
}

// surplus returns the endpoint whose crash is left out when there are too many: the oldest one at the same
// instant as an earlier one, or the oldest. If the oldest were left out always, a part that crashes many
// endpoints in a few bursts would never have crashes at MinCrashes instants.
func surplus(times map[Key]time.Time) Key {
	endpoints := slices.SortedFunc(maps.Keys(times), func(a, b Key) int {
		return cmp.Or(times[a].Compare(times[b]), cmp.Compare(a, b))
	})
	counted := times[endpoints[0]]
	for _, endpoint := range endpoints[1:] {
		if times[endpoint].Sub(counted) <= sameInstant {
			return endpoint
		}
		counted = times[endpoint]
	}
	return endpoints[0]
}

// keeps reports whether the crash of another endpoint would be kept beside the given ones.
func keeps(times map[Key]time.Time, endpoint Key, at time.Time) bool {
	if len(times) < maxCrashes {
		return true
	}
	all := maps.Clone(times)
	all[endpoint] = at
	return surplus(all) != endpoint
}

// evict removes the part whose crashes are the oldest among those with the fewest. It is called for each part of a
// request that has crashed an endpoint, so that it looks at each crash once.
func (e Evidence) evict() {
	var least Key
	var leastCount int
	var leastFirst time.Time
	found := false
	for part, crashes := range e.Crashes {
		count, first := len(crashes.At), earliest(crashes.At)
		if !found || cmp.Or(cmp.Compare(count, leastCount), first.Compare(leastFirst), cmp.Compare(part, least)) < 0 {
			least, leastCount, leastFirst, found = part, count, first, true
		}
	}
	delete(e.Crashes, least)
}

// expireQuarantines removes the quarantines that answers or their age have ended.
func (e Evidence) expireQuarantines(now time.Time) {
	maps.DeleteFunc(e.Quarantines, func(part Key, q QuarantineRecord) bool {
		return e.Answers[part].After(q.FirstCrash) || now.Sub(q.Since) > quarantineTime
	})
}

// expire removes what the answers in all that is known have voided, and what is too old. Crashes of a
// quarantined part are kept, as they tell which other parts they explain.
func (e Evidence) expire(known Evidence, now time.Time) {
	for part, crashes := range e.Crashes {
		_, quarantined := known.Quarantines[part]
		voided := func(endpoint Key, at time.Time) bool {
			return !at.After(known.Answers[part]) || at.Before(known.Answers[endpoint]) || !quarantined && now.Sub(at) > crashWindow
		}
		if !containsEntry(crashes.At, voided) {
			continue
		}
		times := maps.Clone(crashes.At)
		maps.DeleteFunc(times, voided)
		crashes.At = times
		if e.Crashes[part] = crashes; len(times) == 0 {
			delete(e.Crashes, part)
		}
	}
	maps.DeleteFunc(e.Answers, func(_ Key, at time.Time) bool { return now.Sub(at) > crashWindow })
}

// concerns reports whether the part is suspected or quarantined.
func (e Evidence) concerns(part Key) bool {
	_, suspected := e.Crashes[part]
	_, quarantined := e.Quarantines[part]
	return suspected || quarantined
}

// hasEndpoint reports whether a crash of the endpoint is recorded.
func (e Evidence) hasEndpoint(endpoint Key) bool {
	for _, crashes := range e.Crashes {
		if _, ok := crashes.At[endpoint]; ok {
			return true
		}
	}
	return false
}

func (e Evidence) empty() bool { return len(e.Crashes)+len(e.Answers)+len(e.Quarantines) == 0 }

// clone returns a copy whose maps may be changed. The crashes of a part are shared.
func (e Evidence) clone() Evidence {
	c := newEvidence()
	maps.Copy(c.Crashes, e.Crashes)
	maps.Copy(c.Answers, e.Answers)
	maps.Copy(c.Quarantines, e.Quarantines)
	return c
}

// mostCrashes returns the suspected parts, those with the most crashes first.
func (e Evidence) mostCrashes() []Key {
	return slices.SortedFunc(maps.Keys(e.Crashes), func(a, b Key) int {
		return cmp.Or(cmp.Compare(len(e.Crashes[b].At), len(e.Crashes[a].At)), cmp.Compare(a, b))
	})
}

// newest returns the keys, those with the latest times first.
func newest(times map[Key]time.Time) []Key {
	return slices.SortedFunc(maps.Keys(times), func(a, b Key) int {
		return cmp.Or(times[b].Compare(times[a]), cmp.Compare(a, b))
	})
}

// earliest returns the earliest of the times; zero if there is none.
func earliest(times map[Key]time.Time) time.Time {
	var first time.Time
	found := false
	for _, at := range times {
		if !found || at.Before(first) {
			first, found = at, true
		}
	}
	return first
}

func containsEntry(times map[Key]time.Time, matches func(Key, time.Time) bool) bool {
	for key, at := range times {
		if matches(key, at) {
			return true
		}
	}
	return false
}

// ageMS returns the age of a time in milliseconds, from 0 to maxAge.
func ageMS(at, now time.Time) int64 {
	return min(max(now.Sub(at), 0), maxAge).Milliseconds()
}
