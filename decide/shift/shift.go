// Package shift decides a roll-out of a new version on a platform that starts the new
// endpoints beside the old ones and stops one of the two once the roll-out has ended.
//
// A small part of the requests goes to the new version until the end, since a version may
// turn bad late and the part of requests that a bad one gets is bounded. Answers that fail
// count against it; it is stopped once they are clearly more than a good version has.
//
// # Usage
//
//	state := shift.New("v2", deadline, now)
//	state = state.WithOutcomes(good, bad)
//	if state.ToNew(random) { ... }
//	switch state.Verdict(now) { case shift.Completed: ... }
//
// The state is immutable.
package shift

import "time"

type (
	// Verdict is how a roll-out stands.
	Verdict string

	// State is one roll-out as a daemon knows it.
	State struct {
		Target   string
		Deadline time.Time
		decideAt time.Time
		began    time.Time
		good     int64
		bad      int64
		stopped  bool
	}
)

const (
	// InProgress, Completed and RolledBack are the verdicts.
	InProgress Verdict = "InProgress"
	Completed  Verdict = "Completed"
	RolledBack Verdict = "RolledBack"

	// newPart of the requests goes to the new version; users allow a tenth in all.
	newPart = 0.08
	// decidePart of the time must pass before a version is taken as good.
	decidePart = 0.8
	// leastGood answers are needed for that.
	leastGood = 10
	// mostBad answers always stop a version; users ask for a stop after 50. Fewer do if they
	// are badPart of all.
	mostBad  = 20
	leastBad = 4
	badPart  = 0.3
)

// New returns a roll-out that was ordered at a time and must have ended by the deadline.
func New(target string, deadline, now time.Time) State {
	wait := time.Duration(decidePart * float64(deadline.Sub(now)))
	return State{Target: target, Deadline: deadline, decideAt: now.Add(wait), began: now}
}

// Age returns the time since the order.
func (s State) Age(now time.Time) time.Duration { return now.Sub(s.began) }

// WithAge returns the state of an order that is at least so old. A daemon that has started after
// the order learns its age from others, and must not begin the time anew.
func (s State) WithAge(age time.Duration, now time.Time) State {
	began := now.Add(-age)
	if !began.Before(s.began) {
		return s
	}
	earlier := s.began.Sub(began)
	s.began, s.decideAt, s.Deadline = began, s.decideAt.Add(-earlier), s.Deadline.Add(-earlier)
	return s
}

// Stop returns the state with the new version stopped for good.
func (s State) Stop() State {
	s.stopped = true
	return s
}

// WithOutcomes returns the state with the good and bad answers of the new version so far. A
// version that they stop stays stopped, whatever comes later: the verdict may have been told.
func (s State) WithOutcomes(good, bad int64) State {
	s.good, s.bad = max(s.good, good), max(s.bad, bad)
	tooMany := s.bad >= leastBad && float64(s.bad) >= badPart*float64(s.good+s.bad)
	s.stopped = s.stopped || s.bad >= mostBad || tooMany
	return s
}

// Stopped reports whether the new version must get no more requests.
func (s State) Stopped() bool { return s.stopped }

// ToNew reports whether a request goes to the new version, by a number from 0 up to but
// without 1.
func (s State) ToNew(random float64) bool { return !s.Stopped() && random < newPart }

// Verdict returns how the roll-out stands. One without enough answers by its deadline is
// taken back, since nothing shows that the version is good.
func (s State) Verdict(now time.Time) Verdict {
	switch {
	case s.Stopped():
		return RolledBack
	case now.Before(s.decideAt):
		return InProgress
	case s.good >= leastGood:
		return Completed
	case now.Before(s.Deadline):
		return InProgress
	}
	return RolledBack
}
