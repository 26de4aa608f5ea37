// Package shift decides whether the roll-out of a new version is completed or rolled back, on a
// platform that starts the new endpoints beside the old ones and stops either group at the end of
// the roll-out.
//
// The new version gets a small fraction of the requests until the end: it may start to fail late, and the fraction of
// requests that a bad version may get is limited, with those that it gets from its completion to the deadline. Its
// endpoints therefore never run together what all of them run once the old ones are gone. In the load test, the last
// part of the time, the requests go to so few of them that each runs that much.
//
// The new version is stopped once it has clearly more failed answers than a good version, or clearly more failed or
// slow ones than the old version.
//
// # Usage
//
//	state := shift.New("v2", deadline, now)
//	state = state.WithOutcomes(good, bad).WithEvidence(evidence)
//	first, count := state.Group(newEndpoints, now)
//	state, toNew := state.Route(shift.View{New: newEndpoints, ...}, now)
//	switch state.Status(now, writeTime) { case shift.Completed: ... }
//
// The state is a value; its methods return a changed copy.
package shift

import (
	"math"
	"time"
)

type (
	// Status is the status of a roll-out.
	Status string

	// State is one daemon's view of a roll-out.
	State struct {
		// Target is the new version.
		Target    string
		Deadline  time.Time
		startedAt time.Time
		good      int64
		bad       int64
		stopped   bool
		// strength is that of the evidence that the new version is worse, lostStrength that it loses more endpoints.
		strength     float64
		lostStrength float64
		// routed is the number of requests that this daemon has routed since the order, toNew those of them that went
		// to the new version.
		routed int64
		toNew  int64
		// daemons is the number of daemons that route requests.
		daemons int
	}

	// View is what a daemon sees when it routes a request.
	View struct {
		// New and Old are the numbers of endpoints of both versions.
		New, Old int
		// Load is the number of requests in flight at all endpoints of both versions, OldLoad that at those of the old
		// version, GroupLoad that at those of the group.
		Load, OldLoad, GroupLoad int
		// Daemons is the number of daemons that route requests.
		Daemons int
		// Random is a random number in [0, 1).
		Random float64
	}
)

const (
	// InProgress, Completed and RolledBack are the possible statuses of a roll-out.
	InProgress Status = "InProgress"
	Completed  Status = "Completed"
	RolledBack Status = "RolledBack"

	// maxNewFraction is the largest fraction of the requests that the new version gets before its completion. With all
	// those after it, it is a tenth of the requests until the deadline, the limit for a bad version.
	maxNewFraction = 0.05
	// maxAllowance is the number of requests that the new version may get beyond that, from all daemons: half of what the
	// limit leaves, since a stop takes time to reach all daemons.
	maxAllowance = 24
	// firstFraction is the fraction of the requests that the new version gets until it has minGood good answers or
	// has got the allowance, and lightFraction the one until the load test, which gets the rest.
	firstFraction = 0.08
	lightFraction = 0.03
	// maxAllowedFraction is the largest fraction of the requests that the allowance may be, and lightPart the part of it
	// that is used before the load test. The requests are counted from countedFrom of the time on.
	maxAllowedFraction = 0.5
	lightPart          = 0.6
	countedFrom        = 0.1
	// maxTestFraction is the largest fraction of the requests that the new version gets during the load test.
	maxTestFraction = 0.5
	// groupPeriods is the number of groups of endpoints that the load test takes in turn during the whole time.
	groupPeriods = 4
	// decisionFraction of the time before the deadline, but at least minDecisionTime, is left for writing the verdict.
	// A roll-out is never completed before earliestFraction of its time.
	decisionFraction = 0.05
	minDecisionTime  = 750 * time.Millisecond
	earliestFraction = 0.8
	// minGood is the number of good answers that a roll-out needs to complete.
	minGood = 10
	// maxBad is the number of bad answers that always stops a version; a stop is required after
	// 50. From minBad bad answers on, a version also stops if they are badFraction of all answers.
	maxBad      = 20
	minBad      = 4
	badFraction = 0.3
)

// New returns a roll-out that is ordered now and must end by the deadline.
func New(target string, deadline, now time.Time) State {
	return State{Target: target, Deadline: deadline, startedAt: now}
}

// Age returns the time since the order.
func (s State) Age(now time.Time) time.Duration { return now.Sub(s.startedAt) }

// WithAge returns the state of an order that is at least as old as the given age. A daemon that
// started after the order receives the age from its peers, and must not restart the period.
func (s State) WithAge(age time.Duration, now time.Time) State {
	startedAt := now.Add(-age)
	if !startedAt.Before(s.startedAt) {
		return s
	}
	earlier := s.startedAt.Sub(startedAt)
	s.startedAt, s.Deadline = startedAt, s.Deadline.Add(-earlier)
	return s
}

// Stop returns the state with the new version permanently stopped.
func (s State) Stop() State {
	s.stopped = true
	return s
}

// WithOutcomes returns the state with the numbers of good and bad answers of the new version so
// far. Once these stop a version, it stays stopped whatever answers follow, since the rollback may
// already have been reported.
func (s State) WithOutcomes(good, bad int64) State {
	s.good, s.bad = max(s.good, good), max(s.bad, bad)
	s.stopped = s.stopped || s.bad >= maxBad || Fails(s.good, s.bad)
	return s
}

// Fails reports whether so many answers are bad that no good version gives them.
func Fails(good, bad int64) bool {
	return bad >= minBad && float64(bad) >= badFraction*float64(good+bad)
}

// WithEvidence returns the state with what daemons have seen of both versions so far. Strong evidence that
// the new version is worse stops it for good.
func (s State) WithEvidence(e Evidence) State {
	s.strength, _ = e.Strength()
	s.stopped = s.stopped || s.strength >= stopStrength
	return s
}

// WithLost returns the state with the endpoints of both versions that are lost now. share is the new version's share of
// the endpoints. A version that clearly loses more of them is stopped for good.
func (s State) WithLost(lostNew, lostOld Lost, share float64) State {
	s.lostStrength = lostStrength(lostNew, lostOld, share)
	s.stopped = s.stopped || s.lostStrength >= lostStopStrength
	return s
}

// Stopped reports whether the new version must not get any more requests.
func (s State) Stopped() bool { return s.stopped }

// elapsed returns the part of the time that has passed, from 0 to 1.
func (s State) elapsed(now time.Time) float64 {
	length := s.Deadline.Sub(s.startedAt)
	if length <= 0 {
		return 1
	}
	return min(max(float64(now.Sub(s.startedAt))/float64(length), 0), 1)
}

// groupSize returns the number of endpoints among n that run as much with maxNewFraction of the requests as each of
// them would with all.
func groupSize(n int) int { return max(1, int(maxNewFraction*float64(n))) }

// TestsLoad reports whether the new version with n endpoints is in its load test. The test takes the last part of the
// time, as long as the requests suffice that lightFraction has left.
func (s State) TestsLoad(n int, now time.Time) bool {
	if n == 0 || s.good < minGood {
		return false
	}
	length := (maxNewFraction - lightFraction + (1-lightPart)*s.allowedFraction(now)) / testFraction(n)
	return s.elapsed(now) >= 1-decisionFraction-length
}

// testFraction returns the fraction of the requests that keeps up the load of a group of n endpoints.
func testFraction(n int) float64 { return min(float64(groupSize(n))/float64(n), maxTestFraction) }

// Group returns which of n endpoints of the new version get requests now: count of them, from the index first on and
// round. The load test takes them in turn, since endpoints of one version differ.
func (s State) Group(n int, now time.Time) (first, count int) {
	if !s.TestsLoad(n, now) {
		return 0, n
	}
	count = groupSize(n)
	return int(groupPeriods*s.elapsed(now)) * count % n, count
}

// LoadRatio returns by how much the load that an endpoint of the new version runs in the load test may exceed that of
// one of the old version, at least 1. There may be fewer new endpoints than old ones, and the time of an answer grows
// with the load in any version, at most in proportion.
func (v View) LoadRatio() float64 {
	if v.OldLoad <= 0 || v.New <= 0 {
		return 1
	}
	return max(1, float64(v.Load)/float64(v.New)/(float64(v.OldLoad)/float64(v.Old)))
}

// Route counts a request and reports whether it goes to the new version.
func (s State) Route(v View, now time.Time) (next State, toNew bool) {
	s.routed++
	s.daemons = v.Daemons
	if v.New == 0 || s.Stopped() || float64(s.toNew) >= maxNewFraction*float64(s.routed)+s.allowance() {
		return s, false
	}
	if s.TestsLoad(v.New, now) {
		load := max(math.Ceil(float64(v.Load*groupSize(v.New))/float64(v.New)), 1)
		toNew = float64(v.GroupLoad) < load && v.Random < testFraction(v.New)
	} else {
		toNew = v.Random < s.fraction(now)
	}
	if toNew {
		s.toNew++
	}
	return s, toNew
}

// fraction returns the fraction of the requests that goes to the new version outside the load test.
func (s State) fraction(now time.Time) float64 {
	if s.good < minGood && float64(s.toNew) < s.allowance() {
		return firstFraction + s.allowedFraction(now)
	}
	return lightFraction + lightPart*s.allowedFraction(now)
}

// allowance returns this daemon's part of maxAllowance.
func (s State) allowance() float64 { return maxAllowance / float64(max(s.daemons, 1)) }

// allowedFraction returns the allowance as a fraction of the requests that this daemon routes until the deadline at the
// rate so far. It is small but for services with few requests.
func (s State) allowedFraction(now time.Time) float64 {
	elapsed := s.elapsed(now)
	if elapsed < countedFrom || s.routed == 0 {
		return 0
	}
	return min(s.allowance()*elapsed/float64(s.routed), maxAllowedFraction)
}

// decisionAt returns when the roll-out can complete, if writing the verdict takes the given time.
func (s State) decisionAt(writeTime time.Duration) time.Time {
	length := s.Deadline.Sub(s.startedAt)
	left := max(time.Duration(decisionFraction*float64(length)), minDecisionTime, writeTime)
	earliest := s.startedAt.Add(time.Duration(earliestFraction * float64(length)))
	if at := s.Deadline.Add(-left); at.After(earliest) {
		return at
	}
	return earliest
}

// Status returns the status of the roll-out, if writing it takes the given time. A roll-out without minGood good answers
// by its deadline is rolled back, since nothing shows that the version is good, and so is one that is likely worse than
// the old version.
func (s State) Status(now time.Time, writeTime time.Duration) Status {
	switch {
	case s.Stopped():
		return RolledBack
	case now.Before(s.decisionAt(writeTime)):
		return InProgress
	case s.good >= minGood && s.strength < holdStrength && s.lostStrength < holdStrength:
		return Completed
	case now.Before(s.Deadline):
		return InProgress
	}
	return RolledBack
}
