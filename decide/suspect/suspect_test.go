package suspect

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// TestCrashingRequestIsBlocked guards against a request that goes on crashing endpoints after three
// daemons have seen one crash each, and that comes again later.
func TestCrashingRequestIsBlocked(t *testing.T) {
	s := New()
	s.Broke(7, start)
	if s.Blocked(7, 1, start) {
		t.Error("blocked after two breaks")
	}
	if !s.Blocked(7, 2, start) {
		t.Error("not blocked after three breaks")
	}
	if !s.Blocked(7, 0, start.Add(firstTime)) {
		t.Error("not blocked when it comes again")
	}
	trial := start.Add(firstTime + time.Second)
	if s.Blocked(7, 2, trial) {
		t.Error("still blocked after the first time")
	}
	s.Broke(7, trial)
	if !s.Blocked(7, 0, trial.Add(5*time.Minute)) {
		t.Error("not blocked for long after a break on trial")
	}
	if s.Blocked(7, 0, trial.Add(time.Hour)) {
		t.Error("blocked an hour later")
	}
}

// TestOutageEndsSuspicion guards against an innocent request that is kept out for long, since its
// attempts broke off while all endpoints were down.
func TestOutageEndsSuspicion(t *testing.T) {
	s := New()
	for range MaxBreaks {
		s.Broke(7, start)
	}
	if !s.Blocked(7, 0, start) {
		t.Error("not blocked after three breaks")
	}
	trial := start.Add(firstTime + time.Second)
	s.Answered(7, false, start)
	s.Broke(7, trial)
	if s.Blocked(7, 0, trial) {
		t.Error("blocked for one break after an answer")
	}
}

// TestInnocentRequestIsNotBlocked guards against a request that is refused because its attempts broke
// off by chance: it was answered in between, or long ago.
func TestInnocentRequestIsNotBlocked(t *testing.T) {
	s := New()
	for range 5 {
		s.Broke(7, start)
		s.Broke(7, start)
		s.Answered(7, false, start)
	}
	if s.Blocked(7, 0, start) {
		t.Error("blocked though each second break was followed by an answer")
	}
	s.Broke(8, start)
	s.Broke(8, start)
	s.Broke(8, start.Add(time.Minute))
	if s.Blocked(8, 0, start.Add(time.Minute)) {
		t.Error("blocked for breaks of which two are a minute old")
	}
}

// TestEchoIsNoStrike guards against a quarantine that daemons tell each other for as long as one of
// them keeps it: the first to end its own would take what the others still tell for a break on trial.
func TestEchoIsNoStrike(t *testing.T) {
	first, second := New(), New()
	for range MaxBreaks {
		first.Broke(7, start)
	}
	first.Blocked(7, 0, start)
	tell := func(from, to *State, now time.Time) {
		for key, strikes := range from.Tell(now).Quarantined {
			to.Quarantine(key, strikes, now)
		}
	}
	tell(first, second, start.Add(400*time.Millisecond))
	ended := start.Add(firstTime + 200*time.Millisecond)
	if first.Blocked(7, 0, ended) || !second.Blocked(7, 0, ended) {
		t.Fatal("the second quarantine does not end after the first")
	}
	tell(second, first, ended)
	if first.Blocked(7, 0, ended) {
		t.Error("kept out again without another break")
	}
	// A break on trial is told as one.
	trial := start.Add(firstTime + time.Second)
	second.Broke(7, trial)
	tell(second, first, trial)
	if !first.Blocked(7, 0, trial.Add(quarantineTime/2)) {
		t.Error("not kept out for long after a break on trial at another daemon")
	}
}

// TestSuspectsAreBounded guards against memory and digests that grow with the connections that are
// reset.
func TestSuspectsAreBounded(t *testing.T) {
	s := New()
	for i := range 3 * maxKept {
		s.Broke(Key(i), start.Add(time.Duration(i)*time.Millisecond))
		s.Quarantine(Key(i), 1, start.Add(time.Duration(i)*time.Millisecond))
	}
	now := start.Add(3 * maxKept * time.Millisecond)
	told := s.Tell(now)
	if len(s.breaks) > maxKept || len(s.convicted) > maxKept || len(told.Breaks) != maxTold || len(told.Quarantined) != maxTold {
		t.Errorf("%d suspects, %d quarantined, %d and %d told", len(s.breaks), len(s.convicted), len(told.Breaks), len(told.Quarantined))
	}
	if told.Breaks[3*maxKept-1] != 1 {
		t.Error("the newest break is not told")
	}
}

// TestAnswerElsewhereEndsSuspicion guards against an innocent request that is kept out since its attempts
// broke off once at each of three daemons, though others have had answers to it in between.
func TestAnswerElsewhereEndsSuspicion(t *testing.T) {
	const key = 7
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	one, other := New(), New()
	one.Broke(key, at(1))
	other.Answered(key, one.Tell(at(2)).Breaks[key] > 0, at(2))
	hear := func(now time.Time) {
		for k, age := range other.Tell(now).AnsweredMS {
			one.HeardAnswer(k, now.Add(-time.Duration(age)*time.Millisecond))
		}
	}
	hear(at(3))
	if one.Blocked(key, MaxBreaks-1, at(3)) {
		t.Error("a break counts that an answer elsewhere has followed")
	}
	one.Broke(key, at(4))
	hear(at(5))
	if !one.Blocked(key, MaxBreaks-1, at(5)) {
		t.Error("an answer from before a break ends the suspicion")
	}
	if told := one.Tell(at(5)).AnsweredMS; len(told) != 0 {
		t.Errorf("%d answers are told by a daemon that has only heard of them", len(told))
	}
	if told := other.Tell(at(60)).AnsweredMS; len(told) != 0 {
		t.Errorf("%d answers are told long after they ended a suspicion", len(told))
	}
}
