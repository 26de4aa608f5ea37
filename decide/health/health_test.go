package health

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstage.dev/decide/search"
)

// script runs the lines of a test file against an aggregate.
type script struct {
	aggregate  Aggregate
	now        time.Time
	members    []Member
	silenced   map[string]bool
	attributed map[string]int
}

// TestMain fixes the seed, so that each run gives the same result.
func TestMain(m *testing.M) { search.Main(m, 1) }

// TestScripts runs the scripts in testdata. They cover avoidance and recovery, the bound of a third, the
// attribution of failures to data centres, and endpoints that start again under their names.
func TestScripts(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("no scripts")
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s := newScript()
			for i, line := range strings.Split(string(data), "\n") {
				if line == "" || strings.HasPrefix(line, "#") {
					continue
				}
				if problem := s.run(strings.Fields(line)); problem != "" {
					t.Fatalf("line %d, %q: %s", i+1, line, problem)
				}
			}
		})
	}
}

func newScript() *script {
	return &script{
		aggregate: New(DefaultSettings()), now: time.Unix(1000, 0), silenced: map[string]bool{}, attributed: map[string]int{},
	}
}

func (s *script) update(m Message) {
	aggregate, commands := s.aggregate.Update(m)
	s.aggregate = aggregate
	for _, c := range commands {
		if attribution, ok := c.(Attributed); ok {
			s.attributed[attribution.Instance+" "+string(attribution.Cause)] += attribution.Failures
		}
	}
}

func (s *script) outcomes(instance string, kind OutcomeKind, count int, actual time.Duration) {
	for range count {
		s.update(Outcome{
			Time: s.now, Instance: instance, Route: "r", Version: "v", Kind: kind, Predicted: 100 * time.Millisecond, Actual: actual,
		})
	}
}

func (s *script) pass(seconds int) {
	for range seconds {
		s.now = s.now.Add(time.Second)
		for _, m := range s.members {
			if !s.silenced[m.Instance] {
				s.update(Heartbeat{Time: s.now, Instance: m.Instance})
			}
		}
		s.update(Tick{Time: s.now})
	}
}

func (s *script) run(words []string) string {
	count := 1
	if n, err := strconv.Atoi(words[len(words)-1]); err == nil {
		count = n
	}
	equal := func(got, want any) string {
		if fmt.Sprint(got) != fmt.Sprint(want) {
			return fmt.Sprintf("got %v", got)
		}
		return ""
	}
	switch words[0] {
	case "list":
		s.members = nil
		for _, w := range words[1:] {
			dataCentre, instance, _ := strings.Cut(w, ":")
			instance, incarnation, _ := strings.Cut(instance, "@")
			started, _ := strconv.ParseInt(incarnation, 10, 64)
			s.members = append(s.members, Member{Instance: instance, DataCentre: dataCentre, Routes: []string{"r"}, Incarnation: started})
		}
		s.update(Listing{Time: s.now, Endpoints: s.members})
	case "outcome":
		s.outcomes(words[1], OutcomeKind(words[2]), count, time.Millisecond)
	case "slow":
		s.outcomes(words[1], Succeeded, count, time.Second)
	case "overtaken":
		s.outcomes(words[1], Overtaken, count, time.Second)
	case "slow-all":
		for range count {
			for _, m := range s.members {
				s.outcomes(m.Instance, Succeeded, 1, time.Second)
			}
		}
	case "sent":
		for range count {
			s.update(Sent{Time: s.now, Instance: words[1]})
		}
	case "pass":
		seconds, _ := time.ParseDuration(words[1])
		s.pass(int(seconds.Seconds()))
	case "silence":
		s.silenced[words[1]] = true
	case "resume":
		s.silenced[words[1]] = false
	case "want":
		return equal(s.aggregate.Status(words[1]).State, words[2])
	case "blocked":
		return equal(s.aggregate.Status(words[1]).Blocked(), words[2])
	case "lost":
		return equal(s.aggregate.Lost(words[1]), words[2])
	case "attributed":
		key := words[1] + " " + words[2]
		got := s.attributed[key]
		delete(s.attributed, key)
		return equal(got, count)
	default:
		return "unknown command"
	}
	return ""
}

// TestBoundAndRecovery guards against more than a third of a route's endpoints out of rotation at once,
// against failures that are never attributed or attributed twice, and against endpoints that stay out of
// rotation although they answer again.
func TestBoundAndRecovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScript()
		failures := 0
		relist := func() {
			s.members = nil
			for i := range rapid.IntRange(1, 12).Draw(t, "listed") {
				routes := []string{"r"}
				if i%2 == 0 {
					routes = append(routes, "q")
				}
				s.members = append(s.members, Member{Instance: fmt.Sprint(i), DataCentre: fmt.Sprint(i % 3), Routes: routes})
			}
			s.update(Listing{Time: s.now, Endpoints: s.members})
		}
		relist()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			instance := fmt.Sprint(rapid.IntRange(0, len(s.members)-1).Draw(t, "instance"))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				relist()
			case 1:
				s.silenced[instance] = !s.silenced[instance]
			case 2, 3, 4:
				s.pass(rapid.IntRange(1, 8).Draw(t, "pass"))
			case 5:
				s.outcomes(instance, Succeeded, 6, time.Second)
			default:
				kind := rapid.SampledFrom([]OutcomeKind{Failed, Unreachable, TimedOut}).Draw(t, "kind")
				count := rapid.IntRange(1, 4).Draw(t, "count")
				s.outcomes(instance, kind, count, 0)
				failures += count
			}
			for _, route := range []string{"r", "q"} {
				listed, out := 0, 0
				for _, m := range s.members {
					if len(m.Routes) == 2 || route == "r" {
						listed++
						if state := s.aggregate.Status(m.Instance).State; state == Avoided || state == Probing {
							out++
						}
					}
				}
				if out*3 > listed {
					t.Fatalf("%d of %d endpoints of route %s are out of rotation", out, listed, route)
				}
			}
		}
		s.silenced = map[string]bool{}
		for range 60 {
			s.pass(2)
			for _, m := range s.members {
				if !s.aggregate.Status(m.Instance).Blocked() {
					s.update(Sent{Time: s.now, Instance: m.Instance})
					s.outcomes(m.Instance, Succeeded, 1, time.Millisecond)
				}
			}
		}
		attributedFailures := 0
		for _, n := range s.attributed {
			attributedFailures += n
		}
		if attributedFailures != failures {
			t.Fatalf("%d failures are attributed, want %d", attributedFailures, failures)
		}
		for _, m := range s.members {
			if state := s.aggregate.Status(m.Instance).State; state != Healthy {
				t.Fatalf("endpoint %s is %s after two minutes of answers", m.Instance, state)
			}
		}
	})
}

// BenchmarkTick600 measures a tick with 600 endpoints, of which more are silent than may be avoided.
func BenchmarkTick600(b *testing.B) {
	s := newScript()
	for i := range 600 {
		s.members = append(s.members, Member{Instance: fmt.Sprint("endpoint-", i), DataCentre: fmt.Sprint(i % 4), Routes: []string{"r", "q"}})
		s.silenced[s.members[i].Instance] = i%12 < 5
	}
	s.update(Listing{Time: s.now, Endpoints: s.members})
	s.pass(10)
	b.ReportAllocs()
	for b.Loop() {
		s.update(Tick{Time: s.now})
	}
}
