package homes

import (
	"testing"

	"lentilstage.dev/decide/cases"
)

type allowed struct {
	Name    string   `yaml:"Name"`
	Route   []string `yaml:"Route"`
	Account []string `yaml:"Account"`
	// Want are the data centres that may serve the request.
	Want []string `yaml:"Want"`
}

// TestAllow guards against a request that is served outside the regions of its route or of its account, or in a data
// centre whose region is not known.
func TestAllow(t *testing.T) {
	regions := New("a", "north", map[string]string{"b": "north", "c": "south", "odd": ""})
	for _, c := range cases.Load[allowed](t, "testdata/allowed.yaml") {
		want := map[string]bool{}
		for _, centre := range c.Want {
			want[centre] = true
		}
		for _, centre := range []string{"a", "b", "c", "odd", "unknown"} {
			if got := regions.Allow(Rule{Route: c.Route, Account: c.Account}, centre); got != want[centre] {
				t.Errorf("%s: data centre %s allowed: %v, want %v", c.Name, centre, got, want[centre])
			}
		}
	}
}
