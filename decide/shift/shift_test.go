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
