package moves

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"

	"lentilstage.dev/decide/search"
)

// decisionCase is one case of testdata/decisions.json. Times are in seconds since the start of a move
// with a deadline after 2,000 s, a first share of 0.01 and 4 requests per second.
type decisionCase struct {
	Name                 string
	State                table.StepState
	Step                 int
	Share                float64
	StepSeconds, Seconds int
	Evidence             Evidence
	Alarm                string
	WantState            table.StepState
	WantShare, WantLocal float64
	WantStop             bool
	WantReason           string
}

const deadlineSeconds = 2000

var start = time.Unix(1_700_000_000, 0).UTC()

// TestMain fixes the seed of rapid, so that every run has the same result.
func TestMain(m *testing.M) { search.Main(m, 20261204) }

func atSecond(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }

func testRoute() table.Route {
	return table.Route{
		Name: "stock-question", Revision: 7, MoveTo: "v2", FirstShare: 0.01, MoveDeadline: atSecond(deadlineSeconds),
		Versions: []table.WeightedVersion{{Version: "v1", Weight: 1}},
	}
}

// TestDecisions guards the rules for the steps of a move against regressions; each case names its rule.
func TestDecisions(t *testing.T) {
	data, err := os.ReadFile("testdata/decisions.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []decisionCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			route := testRoute()
			d := Decide(View{
				Move: table.MoveState{
					Move: route.MoveID(), Route: route.Name, Version: "v2",
					State: c.State, Step: c.Step, Share: c.Share, StepTime: atSecond(c.StepSeconds),
				},
				Route: route, Evidence: c.Evidence, Rate: 4, Alarm: c.Alarm, Now: atSecond(c.Seconds),
			})
			step, due := d.Step.Get()
			if due != (c.WantState != "") || step.State != c.WantState || math.Abs(step.Share-c.WantShare) > 0.001 {
				t.Errorf("proposes %+v, want %q with share %g", step, c.WantState, c.WantShare)
			}
			if d.LocalShare != c.WantLocal || d.Stop != c.WantStop || !strings.Contains(d.Reason, c.WantReason) {
				t.Errorf("local share %g, stop %t, reason %q", d.LocalShare, d.Stop, d.Reason)
			}
		})
	}
}

// drawCounts draws plausible counts of one side.
func drawCounts(t *rapid.T, label string) Counts {
	c := Counts{Requests: rapid.Int64Range(0, 2000).Draw(t, label)}
	c.Failures = rapid.Int64Range(0, c.Requests).Draw(t, label+" failures") / 8
	c.SlowFirst = rapid.Int64Range(0, c.Requests).Draw(t, label+" slow") / 4
	c.Doubtful = rapid.Int64Range(0, 20).Draw(t, label+" doubtful")
	return c
}

// TestDecideInvariants guards against a decision that raises the local share above that of the log,
// sends traffic to a version that is stopped or past its deadline, skips a step, or exceeds
// MaxShareByTime without evidence.
func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := testRoute()
		route.FirstShare = rapid.Float64Range(0, table.MaxFirstShare).Draw(t, "first share")
		shares := Shares(route.FirstShare)
		step := rapid.IntRange(0, len(shares)).Draw(t, "step")
		v := View{
			Route: route, Rate: rapid.Float64Range(0, 50).Draw(t, "rate"),
			Now:  atSecond(rapid.IntRange(0, deadlineSeconds+100).Draw(t, "now")),
			Move: table.MoveState{Move: route.MoveID(), Step: step, State: table.Moving, StepTime: start},
		}
		for i := range step {
			v.Move.Share = shares[i]
			v.Evidence = append(v.Evidence, StepEvidence{
				Step: i + 1, Share: shares[i], New: drawCounts(t, "new"), Old: drawCounts(t, "old"),
			})
		}
		d := Decide(v)
		next, due := d.Step.Get()
		pastDeadline := !v.Now.Before(route.MoveDeadline)
		rolledBack := due && next.State == table.TakenBack
		switch {
		case d.LocalShare > v.Move.Share || (d.Stop || pastDeadline) && d.LocalShare != 0:
			t.Fatalf("local share %g at share %g, stop %t, past deadline %t", d.LocalShare, v.Move.Share, d.Stop, pastDeadline)
		case rolledBack != (d.Stop || pastDeadline):
			t.Fatalf("proposes %+v with stop %t, past deadline %t", next, d.Stop, pastDeadline)
		case due && (next.FromStep != step || next.Move != v.Move.Move || next.Reason == ""):
			t.Fatalf("proposes %+v from step %d", next, step)
		case due && next.State == table.Moving && next.Share != shares[step]:
			t.Fatalf("proposes share %g, want %g", next.Share, shares[step])
		case due && !rolledBack && next.Share > MaxShareByTime && v.Evidence.Total().New.Requests < 10:
			t.Fatalf("proposes share %g on %d requests", next.Share, v.Evidence.Total().New.Requests)
		}
	})
}

// TestEvidenceSumsRuns guards against negative or double counts when digests are repeated or reordered,
// for example through peers, and when daemons restart with counters from 0. The expected result is the
// sum of the last counters of each run.
func TestEvidenceSumsRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type sent struct {
			entry wire.DigestEntry
			last  bool
		}
		var all []sent
		var want Counts
		for r := range rapid.IntRange(1, 6).Draw(t, "runs") {
			e := wire.Evidence{Move: "m", Version: "v2", Step: 1, Share: 0.1}
			count := rapid.IntRange(1, 5).Draw(t, "digests")
			for i := range count {
				e.Requests += rapid.Int64Range(0, 9).Draw(t, "requests")
				e.Failures += rapid.Int64Range(0, 9).Draw(t, "failures")
				e.Excused += rapid.Int64Range(0, e.Failures-e.Excused).Draw(t, "excused")
				all = append(all, sent{last: i == count-1, entry: wire.DigestEntry{
					Process: fmt.Sprint("entry-", r/2), Incarnation: fmt.Sprint(r), Sequence: int64(i) + 1,
					Evidence: []wire.Evidence{e},
				}})
			}
			want = want.plus(Counts{Requests: e.Requests, Failures: e.Failures - e.Excused})
		}
		var store EvidenceStore
		for _, s := range rapid.Permutation(append(slices.Clone(all), all...)).Draw(t, "order") {
			s.entry.Evidence = append(s.entry.Evidence, wire.Evidence{Move: "m", Version: "v2", Step: 1, Share: 0.1, Requests: -5})
			store = store.With(s.entry)
		}
		if got := store.Evidence("m", "v2").Total().New; got != want {
			t.Fatalf("book has the counts %+v, want %+v", got, want)
		}
		if rest := store.RetainMoves("other"); len(rest.runs) != 0 {
			t.Fatalf("%d runs remain after the removal of their move", len(rest.runs))
		}
	})
}

// simulate draws the evidence of a move and calls stop after every fifth request, until stop returns
// true or all steps are over. It reports whether stop returned true.
func simulate(r *rand.Rand, requestsPerStep int, oldRate, newRate float64, stop func(Evidence) bool) bool {
	shares := Shares(0.01)
	var evidence Evidence
	for i, share := range shares {
		evidence = append(evidence, StepEvidence{Step: i + 1, Share: share})
		s := &evidence[i]
		for n := range requestsPerStep {
			if r.Float64() < share {
				s.New.Requests++
				s.New.Failures += boolCount(r.Float64() < newRate)
			} else {
				s.Old.Requests++
				s.Old.Failures += boolCount(r.Float64() < oldRate)
			}
			if n%5 == 0 && stop(evidence) {
				return true
			}
		}
	}
	return false
}

func boolCount(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// TestErrorRates guards against tests that exceed their maximum error rates when they are evaluated
// continuously. It compares these with the fraction of simulated moves that end wrongly.
func TestErrorRates(t *testing.T) {
	const trials, perStep = 600, 600
	r := rand.New(rand.NewPCG(1, 2))
	for _, rate := range []float64{0.005, 0.05, 0.3} {
		stopped, passed := 0, 0
		for range trials {
			if simulate(r, perStep, rate, rate, func(e Evidence) bool { return stopTest(e, 7).strength >= stopStrength }) {
				stopped++
			}
			if simulate(r, perStep, rate, rate+0.03, func(e Evidence) bool {
				return len(e) == 7 && passTest(metrics[0], e.At(7, MaxSplitShare), 0.03) >= passStrength
			}) {
				passed++
			}
		}
		t.Logf("rate %g: %d of %d good versions stopped, %d of %d bad ones passed", rate, stopped, trials, passed, trials)
		if float64(stopped) > MaxFalseRollbackRate*trials || float64(passed) > MaxFalsePassRate*trials {
			t.Errorf("rate %g: %d of %d good versions stopped, %d bad ones passed", rate, stopped, trials, passed)
		}
	}
}

// TestFeasible guards against an estimate that turns infeasible with more traffic or more time, and
// against one that calls a move feasible although the evidence comes too late at that rate.
func TestFeasible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := testRoute()
		rate := rapid.Float64Range(0, 5).Draw(t, "rate")
		now := atSecond(rapid.IntRange(0, deadlineSeconds).Draw(t, "now"))
		usual := Counts{Requests: 10_000, Failures: 50, SlowFirst: 200, SlowGaps: 200}
		e := EstimateMove(route, rate, usual, now)
		if e.Feasible && !(EstimateMove(route, 2*rate, usual, now).Feasible && EstimateMove(route, rate, usual, start).Feasible) {
			t.Fatalf("%+v at %g requests/s, but infeasible with more traffic or time", e, rate)
		}
		if e.Feasible != (!e.FinishTime.IsZero() && e.FinishTime.Before(route.MoveDeadline)) {
			t.Fatalf("inconsistent estimate %+v", e)
		}
		if e.Feasible && rate*MaxSplitShare*route.MoveDeadline.Sub(now).Seconds() < e.Requests {
			t.Fatalf("feasible at %g requests/s with fewer than %g requests", rate, e.Requests)
		}
	})
}

// TestProposalTimesDiffer guards against two daemons that propose the same step at the same time.
func TestProposalTimesDiffer(t *testing.T) {
	daemons := []string{"entry-0", "entry-1", "entry-2"}
	times := map[time.Duration]bool{}
	for _, d := range append(daemons, "unlisted") {
		times[ProposalTime(start, table.MoveState{Move: "m", Step: 2}, d, daemons).Sub(start)] = true
	}
	for rank := range 4 {
		if !times[time.Duration(rank)*RankDelay] {
			t.Errorf("no daemon proposes after %d rank delays: %v", rank, times)
		}
	}
}
