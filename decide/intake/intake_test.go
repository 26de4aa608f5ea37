package intake

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstage.dev/decide/cases"
	"lentilstage.dev/decide/search"
)

type (
	// script is a sequence of steps with small limits: 4 connections, 100 bytes of each kind, a stall time of 500 ms.
	script struct {
		Name  string `yaml:"Name"`
		Steps []step `yaml:"Steps"`
	}

	step struct {
		// At is the time in milliseconds.
		At   int    `yaml:"At"`
		Do   string `yaml:"Do"`
		Conn string `yaml:"Conn"`
		// From is the address of a new connection, or the account.
		From string `yaml:"From"`
		Size int64  `yaml:"Size"`
		// Refused is the reason of the expected refusal, Shed the expected connections with their reasons.
		Refused Reason   `yaml:"Refused"`
		Shed    []string `yaml:"Shed"`
	}

	derivation struct {
		Name        string `yaml:"Name"`
		MemoryMB    int64  `yaml:"MemoryMB"`
		Descriptors int    `yaml:"Descriptors"`
		Connections int    `yaml:"Connections"`
		Body        int64  `yaml:"Body"`
		// Error is a part of the expected error, Limits a part of the expected limits.
		Error  string `yaml:"Error"`
		Limits string `yaml:"Limits"`
	}
)

// TestMain fixes the seed, so that each run of the tests gives the same result.
func TestMain(m *testing.M) { search.Main(m, 1) }

func smallLimits() Limits {
	return Limits{
		Connections: [classCount]int{4, 2, 2, 2}, HeadBytes: 100, BodyBytes: 100, ResponseBytes: 100, StallTime: 500 * time.Millisecond,
	}
}

// TestScripts guards against a wrong choice of what is refused and what is shed.
func TestScripts(t *testing.T) {
	for _, c := range cases.Load[script](t, "testdata/scripts.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			a, holders := New(smallLimits()), map[string]*Holder{}
			for i, s := range c.Steps {
				verdict := play(a, holders, s)
				var shed []string
				for _, v := range verdict.Shed {
					shed = append(shed, v.Holder.Tag.(string)+" "+string(v.Reason))
				}
				if verdict.Reason != s.Refused || verdict.Admitted != (s.Refused == "") || !slices.Equal(shed, s.Shed) {
					t.Fatalf("step %d, %s %s: admitted %t, reason %q, shed %v", i+1, s.Do, s.Conn, verdict.Admitted, verdict.Reason, shed)
				}
			}
		})
	}
}

func play(a *Account, holders map[string]*Holder, s step) Verdict {
	now := time.Unix(0, 0).Add(time.Duration(s.At) * time.Millisecond)
	h := holders[s.Conn]
	switch s.Do {
	case "open", "open-control":
		class := Callers
		if s.Do == "open-control" {
			class = Control
		}
		opened, verdict := a.Open(class, s.From, now)
		if opened != nil {
			opened.Tag = s.Conn
			holders[s.Conn] = opened
		}
		return verdict
	case "head":
		return a.Head(h, s.Size, now)
	case "body":
		return a.Body(h, s.Size, now)
	case "response":
		return a.Response(h, s.Size, now)
	case "owner":
		a.SetOwner(h, s.From)
	case "idle":
		a.Idle(h, now)
	case "reading":
		a.Reading(h, now)
	case "serving":
		a.Serving(h, now)
	case "writing":
		a.Writing(h, now)
	case "progress":
		a.Progress(h, now)
	case "close":
		a.Close(h)
	default:
		panic("unknown step " + s.Do)
	}
	return Verdict{Admitted: true}
}

// TestDerivation guards against limits that leave no room for a single request, and errors that do not name the
// smallest value that would do.
func TestDerivation(t *testing.T) {
	for _, c := range cases.Load[derivation](t, "testdata/derivations.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			l, err := Derive(Instance{MemoryBytes: c.MemoryMB * mega, Descriptors: c.Descriptors}, Overrides{Connections: c.Connections, BodyBytes: c.Body})
			if c.Error != "" {
				if err == nil || !strings.Contains(err.Error(), c.Error) {
					t.Fatalf("error %v", err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(l.String(), c.Limits) {
				t.Errorf("limits: %s", l)
			}
		})
	}
}

// TestInvariants guards against grants beyond a limit, against a sum that differs from what the connections hold, and
// against a single request that is refused although nothing else is held, on instances of any size in use.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instance := Instance{MemoryBytes: 144 * mega, Descriptors: 3075}
		if rapid.Bool().Draw(t, "other") {
			instance.MemoryBytes = rapid.Int64Range(LeastMemory(), 536*mega).Draw(t, "memory")
			instance.Descriptors = rapid.IntRange(LeastDescriptors(), 10250).Draw(t, "descriptors")
		}
		l, err := Derive(instance, Overrides{})
		if err != nil {
			t.Fatal(err)
		}
		l.Connections[Callers] = min(l.Connections[Callers], rapid.IntRange(1, 20).Draw(t, "connections"))
		a, now, open := New(l), time.Unix(0, 0), []*Holder{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			act(t, a, &open, now)
			check(t, a, open)
		}
		for _, h := range open {
			a.Close(h)
		}
		if len(a.owners) != 0 || a.Held() != (Held{}) {
			t.Fatalf("held after all have closed: %+v, %d owners", a.Held(), len(a.owners))
		}
		h, verdict := a.Open(Callers, "x", now)
		if !verdict.Admitted || !a.Head(h, LargestHeadCost(LargestHeadBytes), now).Admitted || !a.Body(h, LargestBodyBytes, now).Admitted {
			t.Fatal("a single request is refused")
		}
	})
}

// act takes a random step with a random connection.
func act(t *rapid.T, a *Account, open *[]*Holder, now time.Time) {
	addresses := []string{"a", "b", "c"}
	if len(*open) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
		h, verdict := a.Open(Callers, rapid.SampledFrom(addresses).Draw(t, "address"), now)
		if verdict.Admitted {
			*open = append(*open, h)
		}
	}
	if len(*open) == 0 {
		return
	}
	h := rapid.SampledFrom(*open).Draw(t, "connection")
	size := rapid.Int64Range(0, LargestBodyBytes).Draw(t, "size")
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0, 1:
		a.Reading(h, now)
		a.Head(h, size, now)
	case 2, 3:
		a.Reading(h, now)
		a.Body(h, size, now)
	case 4:
		a.Response(h, size, now)
	case 5:
		a.Serving(h, now)
	case 6:
		a.Writing(h, now)
	case 7:
		a.Idle(h, now)
	case 8:
		a.SetOwner(h, rapid.SampledFrom(addresses).Draw(t, "account"))
	case 9:
		a.Close(h)
	}
	*open = slices.DeleteFunc(*open, func(h *Holder) bool { return h.closed })
}

// check compares the account with its connections and its limits.
func check(t *rapid.T, a *Account, open []*Holder) {
	var used [loadCount]int64
	for _, h := range open {
		for kind, amount := range h.used {
			used[kind] += amount
		}
	}
	held, l := a.Held(), a.limits
	if used != a.used || held.Connections[Callers] != len(open) {
		t.Fatalf("account %+v, connections hold %v in %d", held, used, len(open))
	}
	if held.Connections[Callers] > l.Connections[Callers] || held.HeadBytes > l.HeadBytes || held.BodyBytes > l.BodyBytes || held.ResponseBytes > l.ResponseBytes {
		t.Fatalf("account %+v exceeds %s", held, l)
	}
}
