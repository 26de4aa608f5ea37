// Package suspect finds requests that crash the endpoints that run them, and keeps them from more.
//
// Such a request comes again with the same caller, path and body, at any daemon. All that a daemon
// sees is that its attempts break off without an answer, as those of many innocent requests do when
// an endpoint crashes or a connection is reset. So breaks are counted by request over all daemons,
// an answer clears the count, also that of other daemons, and a request with MaxBreaks of them is
// quarantined. An innocent one may get as many breaks while all endpoints are down, so that the first
// quarantine is short and on trial after it: an answer ends the suspicion, a break quarantines for long.
//
// # Usage
//
//	state := suspect.New()
//	state.Broke(key, now) or state.Answered(key, told > 0, now)
//	if state.Blocked(key, told, now) { ... refuse }
//	told := state.Tell(now)
//	state.HeardAnswer(key, at)
//
// The methods change the state in place; one owner calls them.
package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

type (
	// Key stands for a caller's request with its path and body.
	Key uint64

	// State is what a daemon has seen itself, and which requests are quarantined.
	State struct {
		breaks    map[Key]broken
		convicted map[Key]conviction
		// answered are the last own answers to requests that others suspect.
		answered  map[Key]time.Time
		expiredAt time.Time
	}

	// Told is what a daemon tells the others.
	Told struct {
		// Breaks counts the breaks of the newest suspects since their last answers.
		Breaks map[Key]int
		// Quarantined are the requests that are kept out, with their strikes.
		Quarantined map[Key]int
		// AnsweredMS are the ages of answers to requests that others suspect, in milliseconds.
		AnsweredMS map[Key]int64
	}

	// broken counts the breaks of a request since its last answer.
	broken struct {
		count int
		at    time.Time
	}

	// conviction is a request's quarantine, and the trial after it.
	conviction struct {
		// strikes counts the quarantines. Each daemon's ends at another moment: one that has ended
		// its own must not take what others still tell for a new one.
		strikes    int
		until      time.Time
		trialUntil time.Time
	}
)

const (
	// MaxBreaks quarantine a request; users ask that it be stopped after three crashes.
	MaxBreaks = 3
	// keepBreaks is how long a break counts.
	keepBreaks = 30 * time.Second
	// firstTime is how long a request is kept out at first, quarantineTime after a break on trial.
	firstTime      = 20 * time.Second
	quarantineTime = 10 * time.Minute
	expireInterval = 500 * time.Millisecond
	// maxTold bounds the requests that are told at once, maxKept those that are kept. A reset of
	// many connections breaks some hundred innocent requests.
	maxTold = 32
	maxKept = 1024
)

// New returns a state that knows of no request.
func New() *State {
	return &State{breaks: map[Key]broken{}, convicted: map[Key]conviction{}, answered: map[Key]time.Time{}}
}

// Broke notes that an attempt of the request broke off without an answer.
func (s *State) Broke(key Key, now time.Time) {
	s.expire(now)
	if c, known := s.convicted[key]; known && now.After(c.until) {
		s.Quarantine(key, c.strikes+1, now)
	}
	if _, known := s.breaks[key]; !known && len(s.breaks) >= maxKept {
		s.dropOldest()
	}
	b := s.breaks[key]
	s.breaks[key] = broken{count: b.count + 1, at: now}
}

// Answered notes that an endpoint has answered the request. One that other daemons suspect is told to
// them.
func (s *State) Answered(key Key, suspected bool, now time.Time) {
	delete(s.breaks, key)
	delete(s.convicted, key)
	if suspected && len(s.answered) < maxTold {
		s.answered[key] = now
	}
}

// HeardAnswer takes in an answer that another daemon has told.
func (s *State) HeardAnswer(key Key, at time.Time) {
	if b, known := s.breaks[key]; known && !b.at.After(at) {
		delete(s.breaks, key)
	}
}

// Blocked reports whether the request is quarantined, with the breaks that other daemons have told.
func (s *State) Blocked(key Key, told int, now time.Time) bool {
	s.expire(now)
	if _, known := s.convicted[key]; !known && s.breaks[key].count+told >= MaxBreaks {
		s.Quarantine(key, 1, now)
	}
	return !now.After(s.convicted[key].until)
}

// Quarantine keeps a request out for the given time in a row, unless that is known.
func (s *State) Quarantine(key Key, strikes int, now time.Time) {
	known := s.convicted[key]
	if strikes <= known.strikes || known.strikes == 0 && len(s.convicted) >= maxKept {
		return
	}
	length := firstTime
	if strikes > 1 {
		length = quarantineTime
	}
	until := now.Add(length)
	s.convicted[key] = conviction{strikes: strikes, until: until, trialUntil: until.Add(quarantineTime)}
}

// Tell returns what other daemons should know.
func (s *State) Tell(now time.Time) Told {
	s.expire(now)
	t := Told{Breaks: map[Key]int{}, Quarantined: map[Key]int{}, AnsweredMS: map[Key]int64{}}
	for _, key := range s.newest()[:min(maxTold, len(s.breaks))] {
		t.Breaks[key] = s.breaks[key].count
	}
	for key, c := range s.convicted {
		if len(t.Quarantined) < maxTold && !now.After(c.until) {
			t.Quarantined[key] = c.strikes
		}
	}
	for key, at := range s.answered {
		t.AnsweredMS[key] = now.Sub(at).Milliseconds()
	}
	return t
}

// dropOldest drops the suspect whose last break is the oldest.
func (s *State) dropOldest() {
	var oldest Key
	first := true
	for key, b := range s.breaks {
		if first || b.at.Before(s.breaks[oldest].at) {
			oldest, first = key, false
		}
	}
	delete(s.breaks, oldest)
}

// newest returns the suspects, the last that broke first.
func (s *State) newest() []Key {
	return slices.SortedFunc(maps.Keys(s.breaks), func(a, b Key) int {
		return cmp.Or(s.breaks[b].at.Compare(s.breaks[a].at), cmp.Compare(a, b))
	})
}

// expire drops what has ended, at most every expireInterval: it is asked for each request.
func (s *State) expire(now time.Time) {
	if age := now.Sub(s.expiredAt); age >= 0 && age < expireInterval {
		return
	}
	s.expiredAt = now
	maps.DeleteFunc(s.breaks, func(_ Key, b broken) bool { return now.Sub(b.at) > keepBreaks })
	maps.DeleteFunc(s.answered, func(_ Key, at time.Time) bool { return now.Sub(at) > keepBreaks })
	maps.DeleteFunc(s.convicted, func(_ Key, c conviction) bool { return now.After(c.trialUntil) })
}
