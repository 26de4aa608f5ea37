package shift

import (
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
)

// TestRollouts guards against bad versions that stay, and good ones that are not completed in
// time.
func TestRollouts(t *testing.T) {
	type rolloutCase struct {
		Name string  `yaml:"Name"`
		Good int64   `yaml:"Good"`
		Bad  int64   `yaml:"Bad"`
		At   int     `yaml:"At"`
		Want Verdict `yaml:"Want"`
	}
	start := time.Unix(1000, 0)
	for _, c := range cases.Load[rolloutCase](t, "testdata/rollouts.yaml") {
		s := New("v2", start.Add(10*time.Second), start).WithOutcomes(c.Good, c.Bad)
		if got := s.Verdict(start.Add(time.Duration(c.At) * time.Second)); got != c.Want {
			t.Errorf("%s: %s, want %s", c.Name, got, c.Want)
		}
	}
}

// TestExposure guards against a new version that gets more than a tenth of the requests, or
// any after it was stopped.
func TestExposure(t *testing.T) {
	start := time.Unix(1000, 0)
	s := New("v2", start.Add(10*time.Second), start)
	count := 0
	for i := range 1000 {
		if s.ToNew(float64(i) / 1000) {
			count++
		}
	}
	if count > 100 {
		t.Errorf("%d of 1000 requests go to the new version", count)
	}
	if s.WithOutcomes(0, 4).ToNew(0) {
		t.Error("a stopped version gets a request")
	}
}

// TestStopIsForGood guards against a version that gets requests again after it was stopped, since
// good answers that come late lower the part of bad ones.
func TestStopIsForGood(t *testing.T) {
	start := time.Unix(1000, 0)
	s := New("v2", start.Add(10*time.Second), start).WithOutcomes(2, 4).WithOutcomes(100, 4)
	if got := s.Verdict(start.Add(9 * time.Second)); got != RolledBack {
		t.Errorf("%s after good answers that came late, want %s", got, RolledBack)
	}
}

// TestAgeOfOthers guards against a daemon that learns of an order late and ends it late.
func TestAgeOfOthers(t *testing.T) {
	start := time.Unix(1000, 0)
	late := start.Add(7 * time.Second)
	s := New("v2", late.Add(10*time.Second), late).WithAge(7*time.Second, late).WithOutcomes(10, 0)
	if got := s.Verdict(start.Add(7900 * time.Millisecond)); got != InProgress {
		t.Errorf("%s before four fifths of the time", got)
	}
	if got := s.Verdict(start.Add(8 * time.Second)); got != Completed {
		t.Errorf("%s at four fifths of the time, want %s", got, Completed)
	}
	if got := s.Age(late); got != 7*time.Second {
		t.Errorf("age %v, want 7 s", got)
	}
	if got := s.WithAge(time.Second, late).Age(late); got != 7*time.Second {
		t.Errorf("age %v after a younger one was told", got)
	}
}
