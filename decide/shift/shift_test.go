package shift

import (
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
)

// TestRollouts guards against bad versions that are not rolled back, and against good ones that
// are not completed in time.
func TestRollouts(t *testing.T) {
	type rolloutCase struct {
		Name string `yaml:"Name"`
		Good int64  `yaml:"Good"`
		Bad  int64  `yaml:"Bad"`
		At   int    `yaml:"At"`
		Want Status `yaml:"Want"`
	}
	start := time.Unix(1000, 0)
	for _, c := range cases.Load[rolloutCase](t, "testdata/rollouts.yaml") {
		s := New("v2", start.Add(10*time.Second), start).WithOutcomes(c.Good, c.Bad)
		if got := s.Status(start.Add(time.Duration(c.At) * time.Second)); got != c.Want {
			t.Errorf("%s: got %s, want %s", c.Name, got, c.Want)
		}
	}
}

// TestExposure guards against a new version that gets more than a tenth of the requests, or any
// after it was stopped.
func TestExposure(t *testing.T) {
	start := time.Unix(1000, 0)
	s := New("v2", start.Add(10*time.Second), start)
	count := 0
	for i := range 1000 {
		if s.RouteToNew(float64(i) / 1000) {
			count++
		}
	}
	if count > 100 {
		t.Errorf("%d of 1000 requests go to the new version, want at most 100", count)
	}
	if s.WithOutcomes(0, 4).RouteToNew(0) {
		t.Error("a stopped version gets a request")
	}
}

// TestStopIsPermanent guards against a stopped version that gets requests again because late good
// answers lower its fraction of bad ones.
func TestStopIsPermanent(t *testing.T) {
	start := time.Unix(1000, 0)
	s := New("v2", start.Add(10*time.Second), start).WithOutcomes(2, 4).WithOutcomes(100, 4)
	if got := s.Status(start.Add(9 * time.Second)); got != RolledBack {
		t.Errorf("got %s after late good answers, want %s", got, RolledBack)
	}
}

// TestAgeFromPeers guards against a daemon that receives an order late and therefore completes it
// late.
func TestAgeFromPeers(t *testing.T) {
	start := time.Unix(1000, 0)
	late := start.Add(7 * time.Second)
	s := New("v2", late.Add(10*time.Second), late).WithAge(7*time.Second, late).WithOutcomes(10, 0)
	if got := s.Status(start.Add(7900 * time.Millisecond)); got != InProgress {
		t.Errorf("got %s before four fifths of the time, want InProgress", got)
	}
	if got := s.Status(start.Add(8 * time.Second)); got != Completed {
		t.Errorf("got %s at four fifths of the time, want %s", got, Completed)
	}
	if got := s.Age(late); got != 7*time.Second {
		t.Errorf("age %v, want 7 s", got)
	}
	if got := s.WithAge(time.Second, late).Age(late); got != 7*time.Second {
		t.Errorf("age %v after a lower age was received, want 7 s", got)
	}
}
