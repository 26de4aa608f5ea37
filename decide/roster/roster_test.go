package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
)

type (
	script struct {
		Name  string   `yaml:"Name"`
		Steps []step   `yaml:"Steps"`
		End   []string `yaml:"End"`
		// RejectsUntil holds the time in seconds of each endpoint that has rejected requests.
		RejectsUntil map[string]float64 `yaml:"RejectsUntil"`
	}

	step struct {
		// At is the time of the step in seconds.
		At       float64 `yaml:"At"`
		Put      string  `yaml:"Put"`
		Drop     string  `yaml:"Drop"`
		Announce string  `yaml:"Announce"`
		Reject   string  `yaml:"Reject"`
		// Until is the time in seconds until which an endpoint wants no requests.
		Until    float64  `yaml:"Until"`
		List     []string `yaml:"List"`
		Offset   int64    `yaml:"Offset"`
		Era      int64    `yaml:"Era"`
		Sequence int64    `yaml:"Sequence"`
		End      int64    `yaml:"End"`
		State    string   `yaml:"State"`
		Born     int64    `yaml:"Born"`
		Lost     bool     `yaml:"Lost"`
		Returned bool     `yaml:"Returned"`
		// Read is the time in seconds of a read by another daemon, which names Since as the start of the reads
		// without an interruption.
		Read    *float64 `yaml:"Read"`
		Since   *float64 `yaml:"Since"`
		Elapsed bool     `yaml:"Elapsed"`
		Want    []string `yaml:"Want"`
	}
)

// TestSteps guards against endpoints that remain registered after they have left, and against the
// removal of live endpoints by an outage of the log or a stale read.
func TestSteps(t *testing.T) {
	for _, s := range cases.Load[script](t, "testdata/steps.yaml") {
		t.Run(s.Name, func(t *testing.T) { s.run(t) })
	}
}

func (s script) run(t *testing.T) {
	state := New(0)
	for i, step := range s.Steps {
		var changes []Change
		state, changes = state.Update(step.message())
		var got []string
		for _, c := range changes {
			got = append(got, fmt.Sprint(c.Endpoint.ID, " ", c.Reason))
		}
		if !slices.Equal(got, step.Want) {
			t.Errorf("step %d: changes = %v, want %v", i, got, step.Want)
		}
	}
	var end []string
	for _, e := range state.Endpoints() {
		end = append(end, fmt.Sprint(e.ID, " ", e.State))
	}
	if !slices.Equal(end, s.End) {
		t.Errorf("endpoints = %v, want %v", end, s.End)
	}
	for _, e := range state.Endpoints() {
		var want time.Time
		if until, ok := s.RejectsUntil[e.ID]; ok {
			want = at(until)
		}
		if got := state.RejectsUntil(e.ID); !got.Equal(want) {
			t.Errorf("%s rejects until %v, want %v", e.ID, got, want)
		}
	}
}

// at returns a time of a script, which is in seconds.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func (s step) message() Message {
	now, position := at(s.At), value.Position{Era: s.Era, Offset: s.Offset}
	switch {
	case s.Put != "":
		state := setup.Ready
		if s.State != "" {
			state = setup.State(s.State)
		}
		return Put{Position: position, Now: now, Endpoint: setup.Endpoint{ID: s.Put, State: state, StartedAtMS: s.Born, Sequence: s.Sequence}}
	case s.Drop != "":
		return Deleted{Position: position, ID: s.Drop, Now: now}
	case s.Announce != "":
		return LeavingAnnounced{Endpoint: setup.Endpoint{ID: s.Announce, StartedAtMS: s.Born}}
	case s.Reject != "":
		return Rejected{Endpoint: setup.Endpoint{ID: s.Reject, StartedAtMS: s.Born}, Until: at(s.Until), Now: now}
	case s.Lost:
		return LogLost{Now: now}
	case s.Returned:
		return LogRecovered{Now: now}
	case s.Read != nil:
		m := LogRead{Since: at(*s.Read), At: at(*s.Read)}
		if s.Since != nil {
			m.Since = at(*s.Since)
		}
		return m
	case s.Elapsed:
		return Tick{Now: now}
	}
	return Listed{End: value.Position{Era: s.Era, Offset: s.End}, IDs: s.List, Now: now}
}

// TestManyRemovedEndpoints guards against an endpoint that is back in use after a late record (DRAIN), since the records
// of all removed endpoints were dropped together once there were too many.
func TestManyRemovedEndpoints(t *testing.T) {
	state := New(0)
	endpoint := func(i int) setup.Endpoint {
		return setup.Endpoint{ID: fmt.Sprint("e", i), State: setup.Ready, StartedAtMS: 5, Sequence: 2}
	}
	position := int64(0)
	next := func() value.Position {
		position++
		return value.Position{Offset: position}
	}
	const count = maxDeleted + 100
	for i := range count {
		now := at(float64(i))
		state, _ = state.Update(Put{Position: next(), Endpoint: endpoint(i), Now: now})
		state, _ = state.Update(Deleted{Position: next(), ID: endpoint(i).ID, Now: now})
		state, _ = state.Update(Tick{Now: now})
	}
	if kept := len(state.entries); kept > maxDeleted {
		t.Errorf("%d removed endpoints are kept, %d at most", kept, maxDeleted)
	}
	for i := count - maxDeleted/2; i < count; i++ {
		late := endpoint(i)
		late.Sequence = 1
		var changes []Change
		if state, changes = state.Update(Put{Position: next(), Endpoint: late, Now: at(count)}); len(changes) > 0 {
			t.Fatalf("a late record of endpoint %d of %d has the effect %v", i, count, changes)
		}
	}
}
