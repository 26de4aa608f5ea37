package crash

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstage.dev/domain/table"

	"lentilstage.dev/decide/search"
)

var start = time.Unix(1_700_000_000, 0).UTC()

// TestMain fixes the seed of rapid, so that each run gives the same result.
func TestMain(m *testing.M) { search.Main(m, 20261204) }

func testRequest(name string) Request {
	return Request{RequestID: name, Fingerprint: name, Account: "counter", Scope: Scope{Route: "quote-draft", Step: 1}}
}

// parse returns the message for a line of a script.
func parse(fields []string) Message {
	switch fields[0] {
	case "crash":
		m := Crashed{ID: fields[1], Endpoint: fields[2], Version: fields[3], Moving: fields[4] == "moving", Now: start}
		for _, name := range fields[5:] {
			m.InFlight = append(m.InFlight, testRequest(name))
		}
		return m
	case "place":
		return Placed{Request: testRequest(fields[1]), Endpoint: fields[2]}
	case "end":
		return Ended{Request: testRequest(fields[1]), Endpoint: fields[2], Complete: fields[3] == "whole"}
	case "attributed":
		return Attributed{ID: fields[1], Fingerprint: fields[2]}
	}
	panic("unknown line " + strings.Join(fields, " "))
}

// format returns a command in the format of the scripts.
func format(command Command) string {
	flags := func(text string, parts ...any) string {
		for i := 0; i < len(parts); i += 2 {
			if parts[i].(bool) {
				text += " " + parts[i+1].(string)
			}
		}
		return text
	}
	switch c := command.(type) {
	case Charge:
		return flags("charge "+c.ID+" "+c.Version, c.Attributed, "again")
	case Attribute:
		return flags("attribute "+c.ID+" "+c.Version+" "+c.Fingerprint, c.Charged, "charged", c.Peer, "peer")
	case Retry:
		text := flags("retry "+c.RequestID+" avoid "+strings.Join(c.Avoid, ","), c.AvoidVersion != "", "not-at "+c.AvoidVersion)
		return flags(text, c.Isolated, "alone")
	case Quarantine:
		return fmt.Sprintf("quarantine %s %d", c.Entry.Fingerprint, c.Entry.Crashes)
	case Refuse:
		return "refuse " + c.RequestID
	}
	return fmt.Sprintf("%T", command)
}

// TestScript guards against attributions that differ from the rules in the package comment. In the script,
// a line with "=" is an expected command of the line before.
func TestScript(t *testing.T) {
	data, err := os.ReadFile("testdata/crashes.txt")
	if err != nil {
		t.Fatal(err)
	}
	state := New()
	var got, want []string
	var line string
	check := func() {
		if !slices.Equal(got, want) {
			t.Errorf("%s: commands %q, want %q", line, got, want)
		}
		got, want = nil, nil
	}
	for _, next := range strings.Split(string(data), "\n") {
		fields := strings.Fields(next)
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		if fields[0] == "=" {
			want = append(want, strings.Join(fields[1:], " "))
			continue
		}
		check()
		line = next
		if fields[0] == "candidates" {
			got = []string{strings.Join(state.Candidates(fields[1], strings.Split(fields[2], ",")), ",")}
			continue
		}
		var commands []Command
		state, commands = state.Update(parse(fields))
		for _, c := range commands {
			got = append(got, format(c))
		}
	}
	check()
}

// TestCrashingRequest guards against a crashing request that is retried after MaxCrashes, against the
// quarantine of a harmless request, and against crashes that stay charged to a version that did not cause
// them. In this test, only the request "poison" crashes endpoints.
func TestCrashingRequest(t *testing.T) {
	endpoints := []string{"e0", "e1", "e2", "e3", "e4", "e5"}
	rapid.Check(t, func(t *rapid.T) {
		state := New()
		crashes, charged, retried := 0, 0, map[string]bool{}
		for {
			allowed := state.Candidates("poison", endpoints)
			if len(allowed) == 0 {
				t.Fatal("the crashing request has no candidate endpoint although no other suspect runs")
			}
			endpoint := rapid.SampledFrom(allowed).Draw(t, "endpoint")
			inFlight := []Request{testRequest("poison")}
			for i := range rapid.IntRange(0, 4).Draw(t, "others") {
				name := fmt.Sprint("innocent-", i)
				if slices.Contains(state.Candidates(name, []string{endpoint}), endpoint) && crashes < isolateAfter {
					inFlight = append(inFlight, testRequest(name))
				}
			}
			crashes++
			var commands []Command
			state, commands = state.Update(Crashed{ID: fmt.Sprint(crashes), Endpoint: endpoint, Version: "old", InFlight: inFlight, Now: start})
			over := false
			for _, c := range commands {
				switch c := c.(type) {
				case Charge:
					charged++
				case Attribute:
					if c.Charged {
						charged--
					}
				case Retry:
					retried[c.RequestID] = true
				case Quarantine:
					over = true
					if c.Entry.Fingerprint != "poison" {
						t.Fatalf("%s is quarantined", c.Entry.Fingerprint)
					}
				}
			}
			for _, r := range inFlight[1:] {
				if !retried[r.RequestID] {
					t.Fatalf("%s was in flight and is not retried", r.RequestID)
				}
			}
			if over != (crashes == MaxCrashes) {
				t.Fatalf("quarantined %t after %d crashes", over, crashes)
			}
			if over {
				break
			}
		}
		if charged != 0 {
			t.Fatalf("%d crashes that the request caused are charged to the version", charged)
		}
	})
}

// TestStateIsBounded guards against a state that grows without bound, keeps entries past their deadlines or
// is changed by a later update.
func TestStateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := New()
		now := start
		for i := range rapid.IntRange(1, 30).Draw(t, "crashes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "seconds")) * time.Second)
			inFlight := make([]Request, rapid.IntRange(0, 400).Draw(t, "in flight"))
			for j := range inFlight {
				inFlight[j] = testRequest(fmt.Sprint(i%7, "-", j))
			}
			before, known := state, state.Suspects()
			state, _ = state.Update(Crashed{ID: fmt.Sprint(i), Endpoint: fmt.Sprint("e", i), Version: "v", InFlight: inFlight, Now: now})
			state, _ = state.Update(Tick{Now: now})
			if before.Suspects() != known {
				t.Fatal("an update changed the state that it was given")
			}
			for fingerprint, x := range state.suspects {
				if !now.Before(x.deadline) || len(x.crashes) >= MaxCrashes {
					t.Fatalf("%s with %d crashes is still a suspect", fingerprint, len(x.crashes))
				}
			}
		}
		if len(state.suspects) > MaxSuspects || len(state.crashes) > MaxRecords || len(state.quarantined) > MaxQuarantined {
			t.Fatalf("%d suspects, %d crashes, %d quarantined", len(state.suspects), len(state.crashes), len(state.quarantined))
		}
		state, _ = state.Update(Tick{Now: now.Add(2 * time.Hour)})
		if len(state.suspects)+len(state.crashes)+len(state.quarantined) != 0 {
			t.Fatal("entries are kept past their deadlines")
		}
	})
}

// TestQuarantineOfPeer guards against a daemon that runs a request that a peer has quarantined, or
// rejects it after the deadline.
func TestQuarantineOfPeer(t *testing.T) {
	entry := table.Quarantine{Fingerprint: "a", Crashes: 3, Deadline: start.Add(time.Minute)}
	state, _ := New().Update(Quarantined{Entry: entry})
	if _, ok := state.QuarantineOf("a", start); !ok {
		t.Error("not quarantined before the deadline")
	}
	if _, ok := state.QuarantineOf("a", entry.Deadline); ok {
		t.Error("quarantined at the deadline")
	}
}
