package place

import (
	"maps"
	"slices"
	"testing"
	"time"

	"lentilstage.dev/domain/table"

	"lentilstage.dev/decide/cases"
)

// TestTargets guards against a version that receives traffic before an engine has loaded it, against
// orders beyond the row's bounds, and against repeated orders while one is pending.
func TestTargets(t *testing.T) {
	type targetsCase struct {
		Name        string              `yaml:"Name"`
		Share       float64             `yaml:"Share"`
		MaxReplicas int                 `yaml:"MaxReplicas"`
		Ordered     []string            `yaml:"Ordered"`
		Engines     map[string][]string `yaml:"Engines"`
		Want        []string            `yaml:"Want"`
	}
	now := time.Unix(1000, 0)
	for _, c := range cases.Load[targetsCase](t, "testdata/targets.yaml") {
		var engines []Engine
		for _, name := range slices.Sorted(maps.Keys(c.Engines)) {
			e := Engine{Instance: name, DataCentre: name[:1], Versions: c.Engines[name]}
			if slices.Contains(c.Ordered, name) {
				e.OrderedUntil = now.Add(time.Minute)
			}
			engines = append(engines, e)
		}
		row := table.Version{Name: "v2", MaxReplicas: c.MaxReplicas}
		got := Targets(Inputs{Version: row, Wanted: Wanted(row, c.Share, len(engines)), Engines: engines, Now: now})
		if !slices.Equal(got, c.Want) {
			t.Errorf("%s: got %v, want %v", c.Name, got, c.Want)
		}
	}
}
