package config

import (
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/table"
)

type (
	permitScript struct {
		Name  string       `yaml:"Name"`
		Steps []permitStep `yaml:"Steps"`
	}

	permitStep struct {
		// Account, Key, Route and LeaseMs set a new table and the rest of the lease.
		Account string `yaml:"Account"`
		Key     string `yaml:"Key"`
		Route   string `yaml:"Route"`
		LeaseMs int    `yaml:"LeaseMs"`
		WaitMs  int    `yaml:"WaitMs"`
		// Authenticate, Authorize and Forwarded hold the caller's key.
		Authenticate string `yaml:"Authenticate"`
		Authorize    string `yaml:"Authorize"`
		Forwarded    string `yaml:"Forwarded"`
		Check        bool   `yaml:"Check"`
		Want         string `yaml:"Want"`
	}
)

// TestPermits guards against a request that is served because its key or route was found in one table
// and the serving lease was checked with another, later one.
func TestPermits(t *testing.T) {
	for _, c := range cases.Load[permitScript](t, "testdata/permits.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			state := New("self", DefaultRules, now)
			state.ready = true
			var permit Permit
			for i, step := range c.Steps {
				now = now.Add(time.Duration(step.WaitMs) * time.Millisecond)
				var refusal *codes.Refusal
				switch {
				case step.Account != "":
					state.tableState.Next++
					state.tableState.Accounts = map[string]table.Account{step.Account: {Name: step.Account, KeyHashes: []string{step.Key}}}
					state.tableState.Routes = map[string]table.Route{step.Route: {Name: step.Route, Kind: table.Plain}}
					state.tailDeadline = now.Add(time.Duration(step.LeaseMs) * time.Millisecond)
				case step.Authenticate != "":
					permit, refusal = state.Authenticate(now, step.Authenticate)
				case step.Authorize != "":
					if permit.KeyHash == "" {
						permit, refusal = state.Authenticate(now, step.Authorize)
					}
					if refusal == nil {
						permit, _, refusal = state.Authorize(now, permit, step.Route, table.Plain)
					}
				case step.Forwarded != "":
					refusal = state.CheckPermit(now, NewPermit(step.Forwarded, "studio", step.Route, table.Plain))
				case step.Check:
					refusal = state.CheckPermit(now, permit)
				}
				got := "OK"
				if refusal != nil {
					got = refusal.Code.Info().Name
				}
				if step.Want != "" && got != step.Want {
					t.Errorf("step %d: %s, want %s", i, got, step.Want)
				}
			}
		})
	}
}
