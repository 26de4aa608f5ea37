package retry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstage.dev/decide/cases"

	"lentilstage.dev/decide/search"
)

var start = time.Unix(1_000_000, 0)

// TestMain fixes the seed, so that each run gives the same result.
func TestMain(m *testing.M) { search.Main(m, 1) }

// TestEndedCases checks an example of each rule for the end of an attempt.
func TestEndedCases(t *testing.T) {
	type endedCase struct {
		Name          string `yaml:"Name"`
		Requests      int    `yaml:"Requests"`
		Retries       int    `yaml:"Retries"`
		OtherRequests int    `yaml:"OtherRequests"`
		OtherRetries  int    `yaml:"OtherRetries"`
		Number        int    `yaml:"Number"`
		Repeatable    bool   `yaml:"Repeatable"`
		Sent          bool   `yaml:"Sent"`
		Accepted      bool   `yaml:"Accepted"`
		Extra         int    `yaml:"Extra"`
		Reclaimed     bool   `yaml:"Reclaimed"`
		LeftMs        int    `yaml:"LeftMs"`
		Want          string `yaml:"Want"`
		NotRun        bool   `yaml:"NotRun"`
	}
	for _, c := range cases.Load[endedCase](t, "testdata/ended.yaml") {
		budget := New(DefaultSettings())
		for account, requests := range map[string]int{"a": c.Requests, "b": c.OtherRequests} {
			for range requests {
				budget, _ = budget.Update(Arrived{Time: start, Account: account})
			}
		}
		for account, retries := range map[string]int{"a": c.Retries, "b": c.OtherRetries} {
			for range retries {
				budget.spend(account, 1, start)
			}
		}
		attempt := Attempt{Request: "x", Account: "a", Number: c.Number, Repeatable: c.Repeatable, Sent: c.Sent, Accepted: c.Accepted, Extra: c.Extra}
		if c.LeftMs > 0 {
			attempt.LatestStart = start.Add(time.Duration(c.LeftMs) * time.Millisecond)
		}
		_, commands := budget.Update(Ended{Time: start, Attempt: attempt, Reclaimed: c.Reclaimed, Random: 0.5})
		switch got := commands[0].(type) {
		case Retry:
			if c.Want != "Retry" {
				t.Errorf("%s: retried, want %s", c.Name, c.Want)
			}
		case GiveUp:
			if string(got.Reason) != c.Want || got.Refusal.NotRun != c.NotRun {
				t.Errorf("%s: unexpectedly given up for %s with NotRun %v", c.Name, got.Reason, got.Refusal.NotRun)
			}
		}
	}
}

// TestBudgetAgainstHistory guards against more retries and hedges in any window than a tenth of
// its requests, against hedges of calls that are not repeatable, and against a budget that refuses
// retries that the history allows.
func TestBudgetAgainstHistory(t *testing.T) {
	settings := DefaultSettings()
	slotTime := settings.Window / windowSlots
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			slot    int64
			account string
			retry   bool
		}
		var history []entry
		now := start
		budget := New(settings)
		allowed := func(account string) bool {
			requests, retries := 0, 0
			for _, e := range history {
				if e.slot > now.UnixNano()/int64(slotTime)-windowSlots && (account == "" || e.account == account) {
					if e.retry {
						retries++
					} else {
						requests++
					}
				}
			}
			return float64(retries+1) <= max(float64(settings.MinRetries), settings.BudgetFraction*float64(requests))
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pass")) * time.Millisecond)
			account := fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "account"))
			record := func(retry bool) {
				history = append(history, entry{now.UnixNano() / int64(slotTime), account, retry})
			}
			attempt := Attempt{Account: account, Number: 1, Repeatable: rapid.Bool().Draw(t, "repeatable")}
			want := allowed(account) && allowed("")
			var commands []Command
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				for range rapid.IntRange(1, 40).Draw(t, "requests") {
					budget, _ = budget.Update(Arrived{Time: now, Account: account})
					record(false)
				}
				continue
			case 1:
				budget, commands = budget.Update(Ended{Time: now, Attempt: attempt, Random: rapid.Float64Range(0, 0.999).Draw(t, "random")})
				again, ok := commands[0].(Retry)
				if ok != want {
					t.Fatalf("retried is %v, want %v", ok, want)
				}
				wait := again.At.Sub(now)
				if ok && (wait < settings.FirstDelay/2 || wait > settings.FirstDelay*3/2) {
					t.Fatalf("backoff of %s, want 0.5 to 1.5 times FirstDelay", wait)
				}
			default:
				budget, commands = budget.Update(Delayed{Time: now, Attempt: attempt, HedgeAt: now})
				if want = want && attempt.Repeatable; want != (len(commands) == 1) {
					t.Fatalf("commands %v, want a hedge: %v", commands, want)
				}
			}
			if want {
				record(true)
			}
		}
	})
}
