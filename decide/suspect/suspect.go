// Package suspect detects requests that crash the endpoints that run them, and quarantines them.
//
// Such a request is retried with the same caller, path and body, at any daemon. A daemon only sees that
// its attempts fail, that is, end without an answer. Attempts of other requests fail in the same way when
// an endpoint crashes or a connection is reset. So the daemons together count the failures of each
// request, an answer resets the count at all daemons, and a request with MaxFailures failures is
// quarantined. A harmless request may reach that count while all endpoints are down. Therefore the first
// quarantine is short and is followed by a probation: an answer ends the suspicion, and a failure
// starts a long quarantine.
//
// # Usage
//
//	state := suspect.New()
//	state.RecordFailure(key, now) or state.RecordAnswer(key, peerFailures > 0, now)
//	if state.Blocked(key, peerFailures, now) { ... reject }
//	report := state.NewReport(now)
//	state.MergeAnswer(key, at)
//
// The methods change the state in place and must not be called concurrently.
package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

type (
	// Key identifies a caller's request by its path and body.
	Key uint64

	// State holds the failures and answers at this daemon, and the quarantined requests.
	State struct {
		failures    map[Key]failureCount
		quarantines map[Key]quarantine
		// answers holds the times of this daemon's answers to requests that peers suspect.
		answers    map[Key]time.Time
		lastExpiry time.Time
	}

	// Report is a daemon's report to its peers.
	Report struct {
		// Breaks counts the failures of the newest suspects since their last answers.
		Breaks map[Key]int
		// Quarantined holds the quarantined requests and the round of each quarantine.
		Quarantined map[Key]int
		// AnsweredMS holds the ages of answers to requests that peers suspect, in milliseconds.
		AnsweredMS map[Key]int64
	}

	// Record is a quarantine that outlasts its daemon.
	Record struct {
		// Round counts the quarantines of the request, Until is when the present one ends.
		Round int
		Until time.Time
	}

	// failureCount counts the failures of a request since its last answer. at is the time of the last one.
	failureCount struct {
		count int
		at    time.Time
	}

	// quarantine is a request's quarantine and the probation after it.
	quarantine struct {
		// round counts the quarantines of the request. A quarantine ends at a different time at each
		// daemon. With the round, a daemon whose quarantine has ended does not mistake a peer's report of
		// the same quarantine for a new one.
		round          int
		until          time.Time
		probationUntil time.Time
	}
)

const (
	// MaxFailures is the number of failures that quarantine a request. It is a requirement that a request
	// is stopped after three crashes.
	MaxFailures = 3
	// failureWindow is the time for which a failure counts.
	failureWindow = 30 * time.Second
	// firstQuarantine is the length of the first quarantine, longQuarantine that of one after a failure on
	// probation, and of the probation itself.
	firstQuarantine = 20 * time.Second
	longQuarantine  = 10 * time.Minute
	expireInterval  = 500 * time.Millisecond
	// maxReported bounds the requests in one report, and maxTracked those in the state. A reset of many
	// connections makes several hundred harmless requests fail.
	maxReported = 32
	maxTracked  = 1024
)

// New returns an empty state.
func New() *State {
	return &State{failures: map[Key]failureCount{}, quarantines: map[Key]quarantine{}, answers: map[Key]time.Time{}}
}

// RecordFailure records that an attempt of the request failed, that is, ended without an answer.
func (s *State) RecordFailure(key Key, now time.Time) {
	s.expire(now)
	if c, known := s.quarantines[key]; known && now.After(c.until) {
		s.Quarantine(key, c.round+1, now)
	}
	if _, known := s.failures[key]; !known && len(s.failures) >= maxTracked {
		s.evictOldest()
	}
	b := s.failures[key]
	s.failures[key] = failureCount{count: b.count + 1, at: now}
}

// RecordAnswer records that an endpoint answered the request. If peers suspect the request (suspected), the
// answer is reported to them.
func (s *State) RecordAnswer(key Key, suspected bool, now time.Time) {
	delete(s.failures, key)
	delete(s.quarantines, key)
	if suspected && len(s.answers) < maxReported {
		s.answers[key] = now
	}
}

// MergeAnswer merges an answer that a peer has reported. One from before the last failure is ignored.
func (s *State) MergeAnswer(key Key, at time.Time) {
	if b, known := s.failures[key]; known && !b.at.After(at) {
		delete(s.failures, key)
	}
}

// Blocked reports whether the request is quarantined. It quarantines the request first if the failures
// here and those that peers have reported (peerFailures) reach MaxFailures.
func (s *State) Blocked(key Key, peerFailures int, now time.Time) bool {
	s.expire(now)
	if _, known := s.quarantines[key]; !known && s.failures[key].count+peerFailures >= MaxFailures {
		s.Quarantine(key, 1, now)
	}
	return !now.After(s.quarantines[key].until)
}

// Quarantine starts the given round of quarantine for a request, unless that round has begun already.
func (s *State) Quarantine(key Key, round int, now time.Time) {
	current := s.quarantines[key]
	if round <= current.round || current.round == 0 && len(s.quarantines) >= maxTracked {
		return
	}
	length := firstQuarantine
	if round > 1 {
		length = longQuarantine
	}
	until := now.Add(length)
	s.quarantines[key] = quarantine{round: round, until: until, probationUntil: until.Add(longQuarantine)}
}

// Quarantines returns up to count of the quarantines whose probation has not ended, the last ones to end first.
func (s *State) Quarantines(count int, now time.Time) map[Key]Record {
	s.expire(now)
	keys := slices.SortedFunc(maps.Keys(s.quarantines), func(a, b Key) int {
		return cmp.Or(s.quarantines[b].until.Compare(s.quarantines[a].until), cmp.Compare(a, b))
	})
	records := map[Key]Record{}
	for _, key := range keys[:min(count, len(keys))] {
		records[key] = Record{Round: s.quarantines[key].round, Until: s.quarantines[key].until}
	}
	return records
}

// Restore takes up a quarantine that was recorded before this daemon started, unless a later one is known. It ends when
// it would have ended, at the latest after longQuarantine.
func (s *State) Restore(key Key, r Record, now time.Time) {
	until := r.Until
	if latest := now.Add(longQuarantine); until.After(latest) {
		until = latest
	}
	probation := until.Add(longQuarantine)
	if r.Round < 1 || r.Round <= s.quarantines[key].round || !probation.After(now) || len(s.quarantines) >= maxTracked {
		return
	}
	s.quarantines[key] = quarantine{round: r.Round, until: until, probationUntil: probation}
}

// NewReport returns the report for this daemon's peers.
func (s *State) NewReport(now time.Time) Report {
	s.expire(now)
	t := Report{Breaks: map[Key]int{}, Quarantined: map[Key]int{}, AnsweredMS: map[Key]int64{}}
	for _, key := range s.newestFirst()[:min(maxReported, len(s.failures))] {
		t.Breaks[key] = s.failures[key].count
	}
	for key, c := range s.quarantines {
		if len(t.Quarantined) < maxReported && !now.After(c.until) {
			t.Quarantined[key] = c.round
		}
	}
	for key, at := range s.answers {
		t.AnsweredMS[key] = now.Sub(at).Milliseconds()
	}
	return t
}

// evictOldest removes the suspect whose last failure is the oldest.
func (s *State) evictOldest() {
	var oldest Key
	first := true
	for key, b := range s.failures {
		if first || b.at.Before(s.failures[oldest].at) {
			oldest, first = key, false
		}
	}
	delete(s.failures, oldest)
}

// newestFirst returns the suspects in the order of their last failures, the newest first.
func (s *State) newestFirst() []Key {
	return slices.SortedFunc(maps.Keys(s.failures), func(a, b Key) int {
		return cmp.Or(s.failures[b].at.Compare(s.failures[a].at), cmp.Compare(a, b))
	})
}

// expire removes expired entries. It is called for each request, and scans at most once in expireInterval.
func (s *State) expire(now time.Time) {
	if age := now.Sub(s.lastExpiry); age >= 0 && age < expireInterval {
		return
	}
	s.lastExpiry = now
	maps.DeleteFunc(s.failures, func(_ Key, b failureCount) bool { return now.Sub(b.at) > failureWindow })
	maps.DeleteFunc(s.answers, func(_ Key, at time.Time) bool { return now.Sub(at) > failureWindow })
	maps.DeleteFunc(s.quarantines, func(_ Key, c quarantine) bool { return now.After(c.probationUntil) })
}
