package suspect

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// TestCrashingRequestIsBlocked guards against a request that continues to crash endpoints after three
// daemons have recorded one crash each, and against its return after the quarantine.
func TestCrashingRequestIsBlocked(t *testing.T) {
	s := New()
	s.RecordFailure(7, start)
	if s.Blocked(7, 1, start) {
		t.Error("blocked after two failures")
	}
	if !s.Blocked(7, 2, start) {
		t.Error("not blocked after three failures")
	}
	if !s.Blocked(7, 0, start.Add(firstQuarantine)) {
		t.Error("not blocked when it is retried in the first quarantine")
	}
	probation := start.Add(firstQuarantine + time.Second)
	if s.Blocked(7, 2, probation) {
		t.Error("blocked after the first quarantine")
	}
	s.RecordFailure(7, probation)
	if !s.Blocked(7, 0, probation.Add(5*time.Minute)) {
		t.Error("not blocked five minutes after a failure on probation")
	}
	if s.Blocked(7, 0, probation.Add(time.Hour)) {
		t.Error("blocked an hour later")
	}
}

// TestOutageEndsSuspicion guards against a long quarantine of a harmless request whose attempts failed
// while all endpoints were down.
func TestOutageEndsSuspicion(t *testing.T) {
	s := New()
	for range MaxFailures {
		s.RecordFailure(7, start)
	}
	if !s.Blocked(7, 0, start) {
		t.Error("not blocked after three failures")
	}
	probation := start.Add(firstQuarantine + time.Second)
	s.RecordAnswer(7, false, start)
	s.RecordFailure(7, probation)
	if s.Blocked(7, 0, probation) {
		t.Error("blocked for one failure after an answer")
	}
}

// TestInnocentRequestIsNotBlocked guards against blocking a request whose attempts failed by chance: it
// was answered in between, or the failures are far apart.
func TestInnocentRequestIsNotBlocked(t *testing.T) {
	s := New()
	for range 5 {
		s.RecordFailure(7, start)
		s.RecordFailure(7, start)
		s.RecordAnswer(7, false, start)
	}
	if s.Blocked(7, 0, start) {
		t.Error("blocked although every second failure was followed by an answer")
	}
	s.RecordFailure(8, start)
	s.RecordFailure(8, start)
	s.RecordFailure(8, start.Add(time.Minute))
	if s.Blocked(8, 0, start.Add(time.Minute)) {
		t.Error("blocked for three failures of which two are a minute old")
	}
}

// TestRepeatedReportIsNoFailure guards against a quarantine that never ends: the first daemon whose
// quarantine has ended would take the reports of the others for a failure on probation, and start again.
func TestRepeatedReportIsNoFailure(t *testing.T) {
	first, second := New(), New()
	for range MaxFailures {
		first.RecordFailure(7, start)
	}
	first.Blocked(7, 0, start)
	send := func(from, to *State, now time.Time) {
		for key, round := range from.NewReport(now).Quarantined {
			to.Quarantine(key, round, now)
		}
	}
	send(first, second, start.Add(400*time.Millisecond))
	ended := start.Add(firstQuarantine + 200*time.Millisecond)
	if first.Blocked(7, 0, ended) || !second.Blocked(7, 0, ended) {
		t.Fatal("the quarantine at the second daemon does not end after the one at the first")
	}
	send(second, first, ended)
	if first.Blocked(7, 0, ended) {
		t.Error("quarantined again without another failure")
	}
	// A failure on probation starts a new round at the other daemon too.
	probation := start.Add(firstQuarantine + time.Second)
	second.RecordFailure(7, probation)
	send(second, first, probation)
	if !first.Blocked(7, 0, probation.Add(longQuarantine/2)) {
		t.Error("no long quarantine after a failure on probation at another daemon")
	}
}

// TestSuspectsAreBounded guards against memory and reports that grow with the number of reset connections.
func TestSuspectsAreBounded(t *testing.T) {
	s := New()
	for i := range 3 * maxTracked {
		s.RecordFailure(Key(i), start.Add(time.Duration(i)*time.Millisecond))
		s.Quarantine(Key(i), 1, start.Add(time.Duration(i)*time.Millisecond))
	}
	now := start.Add(3 * maxTracked * time.Millisecond)
	report := s.NewReport(now)
	if len(s.failures) > maxTracked || len(s.quarantines) > maxTracked || len(report.Breaks) != maxReported || len(report.Quarantined) != maxReported {
		t.Errorf("%d suspects, %d quarantined, %d and %d reported", len(s.failures), len(s.quarantines), len(report.Breaks), len(report.Quarantined))
	}
	if report.Breaks[3*maxTracked-1] != 1 {
		t.Error("the newest failure is not reported")
	}
}

// TestAnswerElsewhereEndsSuspicion guards against a quarantine of a harmless request whose attempts failed
// once at each of three daemons, although other daemons received answers in between.
func TestAnswerElsewhereEndsSuspicion(t *testing.T) {
	const key = 7
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	first, second := New(), New()
	first.RecordFailure(key, at(1))
	second.RecordAnswer(key, first.NewReport(at(2)).Breaks[key] > 0, at(2))
	merge := func(now time.Time) {
		for k, age := range second.NewReport(now).AnsweredMS {
			first.MergeAnswer(k, now.Add(-time.Duration(age)*time.Millisecond))
		}
	}
	merge(at(3))
	if first.Blocked(key, MaxFailures-1, at(3)) {
		t.Error("a failure counts although a peer received an answer after it")
	}
	first.RecordFailure(key, at(4))
	merge(at(5))
	if !first.Blocked(key, MaxFailures-1, at(5)) {
		t.Error("an answer from before a failure resets the count")
	}
	if report := first.NewReport(at(5)).AnsweredMS; len(report) != 0 {
		t.Errorf("a daemon reports %d answers that it only received from a peer", len(report))
	}
	if report := second.NewReport(at(60)).AnsweredMS; len(report) != 0 {
		t.Errorf("%d answers are reported after the failure window", len(report))
	}
}
