package vacate

import (
	"fmt"
	"slices"
	"testing"

	"lentilstage.dev/decide/cases"
	"lentilstage.dev/domain/value"
)

type (
	script struct {
		Name  string `yaml:"Name"`
		Steps []step `yaml:"Steps"`
		// End are the data centres that are evacuated after the last step.
		End []string `yaml:"End"`
	}

	// step is a record of one data centre, or a full read up to Offset.
	step struct {
		Order    string   `yaml:"Order"`
		Withdraw string   `yaml:"Withdraw"`
		List     []string `yaml:"List"`
		Era      int64    `yaml:"Era"`
		Offset   int64    `yaml:"Offset"`
		Want     []string `yaml:"Want"`
	}
)

// TestEvacuations guards against an evacuation that an older record or an older read of the log ends, that a restored
// log loses, or that lasts after its withdrawal.
func TestEvacuations(t *testing.T) {
	for _, s := range cases.Load[script](t, "testdata/steps.yaml") {
		t.Run(s.Name, func(t *testing.T) { s.run(t) })
	}
}

func (s script) run(t *testing.T) {
	var state State
	for i, step := range s.Steps {
		var changes []Change
		state, changes = state.Update(step.message())
		var got []string
		for _, c := range changes {
			got = append(got, fmt.Sprint(c.DataCentre, " ", c.Reason))
		}
		if !slices.Equal(got, step.Want) {
			t.Errorf("step %d: changes %v, want %v", i, got, step.Want)
		}
	}
	if got := state.InForce(); !slices.Equal(got, s.End) {
		t.Errorf("evacuated are %v, want %v", got, s.End)
	}
	// A daemon that hears all records of this one must know the same.
	var other State
	for _, r := range state.Records() {
		other, _ = other.Update(r)
	}
	if got := other.InForce(); !slices.Equal(got, s.End) {
		t.Errorf("a new daemon takes %v for evacuated, want %v", got, s.End)
	}
}

func (s step) message() Message {
	position := value.Position{Era: max(s.Era, 1), Offset: s.Offset}
	switch {
	case s.Order != "":
		return Recorded{DataCentre: s.Order, Position: position, Evacuated: true}
	case s.Withdraw != "":
		return Recorded{DataCentre: s.Withdraw, Position: position}
	}
	return Listed{End: position, DataCentres: s.List}
}

// TestManyWithdrawals guards against memory that grows with each name that operators withdraw, and against orders that
// are discarded with them.
func TestManyWithdrawals(t *testing.T) {
	state, _ := State{}.Update(Recorded{DataCentre: "kept", Position: value.Position{Era: 1, Offset: 1}, Evacuated: true})
	for i := range 10 * maxEntries {
		state, _ = state.Update(Recorded{DataCentre: fmt.Sprint("centre-", i), Position: value.Position{Era: 1, Offset: int64(i + 2)}})
	}
	if got := len(state.Records()); got > maxEntries || !state.Evacuated("kept") {
		t.Errorf("%d entries, want at most %d; the order in force is kept: %v", got, maxEntries, state.Evacuated("kept"))
	}
}
