package main

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
	"lentilstage.dev/decide/choice"
)

type (
	// recordedPick is a choice of the daemons that recorded the loads.
	recordedPick struct {
		Name       string                       `yaml:"Name"`
		Session    string                       `yaml:"Session"`
		Prompt     int                          `yaml:"Prompt"`
		Shared     int                          `yaml:"Shared"`
		Candidates map[string]recordedCandidate `yaml:"Candidates"`
		Want       string                       `yaml:"Want"`
		// Uncached is the expected number of prompt tokens to read.
		Uncached int `yaml:"Uncached"`
	}

	recordedCandidate struct {
		Reading float64 `yaml:"Reading"`
		Cached  int     `yaml:"Cached"`
	}

	// firstTokens holds the expected times of the first tokens at an engine, in milliseconds.
	firstTokens struct {
		Name    string  `yaml:"Name"`
		FirstMS float64 `yaml:"FirstMS"`
		Prompts []int   `yaml:"Prompts"`
		// RemoveMS is when the engine is removed, 0 for never.
		RemoveMS float64   `yaml:"RemoveMS"`
		Want     []float64 `yaml:"Want"`
		// WantLost is the expected number of requests that are lost with the engine.
		WantLost int `yaml:"WantLost"`
	}
)

// recordedLoads are parts of benchmark days, recorded from the logs of daemons with -verbose. They
// contain the loss of the reclaimable endpoints of a data centre, a flood from a client account and
// killed daemons.
var recordedLoads = []string{"testdata/tracewell-trouble-1.jsonl.gz", "testdata/rutenett-trouble-1.jsonl.gz"}

func readTestLoad(t *testing.T, path string) load {
	t.Helper()
	l, err := readLoad(path)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestDecisionsBeatBaselines guards against a change of routing or admission with which a recorded
// load has fewer answers in time than with a simple policy, over the whole load or in its worst window.
func TestDecisionsBeatBaselines(t *testing.T) {
	for _, path := range recordedLoads {
		l := readTestLoad(t, path)
		own := summarize(l, replay(l, currentPolicy, 1))
		for _, p := range baselinePolicies {
			s := summarize(l, replay(l, p, 1))
			t.Logf("%s: %.3f in time, worst window %.3f; %s: %.3f, %.3f", path, own.inTime, own.worstWindow, p.name, s.inTime, s.worstWindow)
			if own.inTime <= s.inTime || own.worstWindow <= s.worstWindow {
				t.Errorf("%s: %s serves as many requests in time or more", path, p.name)
			}
		}
	}
}

// TestPublishedPrefixesReduceReading guards against daemons that ignore which prefixes the others have
// sent where, and against engines that read prompts that they could fetch. On the recorded loads each
// of publishing and fetching must reduce the tokens read without fewer answers in time.
func TestPublishedPrefixesReduceReading(t *testing.T) {
	for _, path := range recordedLoads {
		l := readTestLoad(t, path)
		better := summarize(l, replay(l, currentPolicy, 1))
		for _, p := range ablationPolicies {
			s := summarize(l, replay(l, p, 1))
			t.Logf("%s: %.0f thousand tokens read, %.3f in time; %s: %.0f, %.3f", path, better.readTokens, better.inTime, p.name, s.readTokens, s.inTime)
			if better.readTokens >= s.readTokens || better.inTime < s.inTime {
				t.Errorf("%s: %s does not read more tokens, or serves more requests in time", path, p.name)
			}
			better = s
		}
	}
}

// TestModelMatchesRecordedTimes guards against a model that is too inaccurate to compare policies. With
// the decisions of the recording, its times to the first event must be close to those that the
// daemons measured on the same load. Several seeds show that it is not close by chance.
func TestModelMatchesRecordedTimes(t *testing.T) {
	const (
		// The differences between policies for which the model is used are larger than a third.
		bound = 1.0 / 3
		seeds = 12
	)
	for _, path := range recordedLoads {
		l := readTestLoad(t, path)
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprintf("%s/%d", filepath.Base(path), seed), func(t *testing.T) {
				t.Parallel()
				median, tail := modelError(l, replay(l, recordedPolicy, seed))
				t.Logf("median %+.2f, 95th percentile %+.2f", median, tail)
				if math.Abs(median) > bound || math.Abs(tail) > bound {
					t.Errorf("relative error of the model: %+.2f at the median and %+.2f at the 95th percentile", median, tail)
				}
			})
		}
	}
}

// TestRecordedPicks guards against a replay of the recorded decisions that places requests by the present
// rules: it sends a session's requests to more endpoints than the daemons did, which then read its prefix
// more often, and the model's times are too long.
func TestRecordedPicks(t *testing.T) {
	for _, p := range cases.Load[recordedPick](t, "testdata/recorded_picks.yaml") {
		request := choice.Request{Session: p.Session, Prompt: p.Prompt, Shared: p.Shared, Answer: 50, Model: true, Target: 800}
		var candidates []choice.Candidate
		for _, id := range slices.Sorted(maps.Keys(p.Candidates)) {
			c := p.Candidates[id]
			candidates = append(candidates, choice.Candidate{
				ID: id, Slots: 64, Local: true, Cached: c.Cached, Load: choice.Load{Reading: c.Reading},
			})
		}
		picked, ok := recordedPolicy.pick(request, candidates, func() float64 { return 0 })
		if !ok || picked.Candidate.ID != p.Want || picked.Uncached != p.Uncached {
			t.Errorf("%s: picked %q with %d uncached tokens, want %q with %d", p.Name, picked.Candidate.ID, picked.Uncached, p.Want, p.Uncached)
		}
	}
}

// TestReplayIsRepeatable guards against outcomes that differ between runs with the same seed.
func TestReplayIsRepeatable(t *testing.T) {
	l := readTestLoad(t, recordedLoads[0])
	l.Arrivals = l.Arrivals[:300]
	a, b := replay(l, currentPolicy, 7), replay(l, currentPolicy, 7)
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("arrival %d: %+v, then %+v", i, a[i], b[i])
		}
	}
}

// TestEngine guards against a model that reads cached prefixes again, omits the time to read a chunk, or
// runs more requests than it has slots.
func TestEngine(t *testing.T) {
	line := newTimeline()
	e := newEngine(line, engineSpec{Slots: 1, Memory: 10_000, StepMS: 4, ReadPerMS: 50}, "engine-1", "a")
	var firsts []time.Duration
	for range 2 {
		e.enqueue(&job{
			session: "s", prompt: 1000, shared: 900, answer: 1, onDone: func() {},
			onFirst: func() { firsts = append(firsts, line.elapsed()) },
		})
	}
	line.runUntil(time.Second)
	// Each step takes 4.02 ms; 1000 tokens take 20 ms more, and 100 of the second request 2 ms.
	want := []time.Duration{24020 * time.Microsecond, 30040 * time.Microsecond}
	if len(firsts) != 2 || firsts[0] != want[0] || firsts[1] != want[1] {
		t.Errorf("first tokens at %v, want %v", firsts, want)
	}
}

// TestFirstTokens guards against a model that omits the fixed part of the time to the first token, or that
// loses sight of a request whose engine is removed during it.
func TestFirstTokens(t *testing.T) {
	for _, c := range cases.Load[firstTokens](t, "testdata/first_tokens.yaml") {
		line := newTimeline()
		e := newEngine(line, engineSpec{Slots: 4, Memory: 10_000, StepMS: 4, ReadPerMS: 50, FirstMS: c.FirstMS}, "engine-1", "a")
		var firsts []float64
		for _, prompt := range c.Prompts {
			e.enqueue(&job{prompt: prompt, answer: 1, onDone: func() {}, onFirst: func() {
				firsts = append(firsts, float64(line.elapsed().Microseconds())/1000)
			}})
		}
		lost := 0
		if c.RemoveMS > 0 {
			line.after(fromMilliseconds(c.RemoveMS), func() { lost = len(e.remove()) })
		}
		line.runUntil(time.Second)
		if !slices.Equal(firsts, c.Want) || lost != c.WantLost {
			t.Errorf("%s: first tokens at %v ms and %d lost, want %v and %d", c.Name, firsts, lost, c.Want, c.WantLost)
		}
	}
}

// TestRecord guards against a recorded load that lacks requests or endpoints, or that includes those
// of another service or period.
func TestRecord(t *testing.T) {
	log := strings.Join([]string{
		`-3.0 edge-a-1 {"Message":"Endpoint changed.","Reason":"Joined","Endpoint":"e1","Service":"pool","DataCentre":"a"}`,
		`-2.9 edge-a-2 {"Message":"Endpoint changed.","Reason":"Joined","Endpoint":"e1","Service":"pool","DataCentre":"a"}`,
		`-2.9 edge-a-2 {"Message":"Endpoint changed.","Reason":"Joined","Endpoint":"x1","Service":"app","DataCentre":"a"}`,
		`what happened`,
		`1.5 edge-a-1 {"Message":"Admitted.","Request":"r1","Route":"spec","Service":"pool","Model":true,"Prompt":10,"Target":800,"Left":900}`,
		`1.6 edge-a-1 {"Message":"Admitted.","Request":"r2","Route":"order","Service":"app","Model":false}`,
		`1.7 edge-a-1 {"Message":"First event.","Request":"r1","AgeMilliseconds":200}`,
		`1.8 edge-a-2 {"Message":"Endpoint changed.","Reason":"Left","Endpoint":"e1","Service":"pool","DataCentre":"a"}`,
		`9.0 edge-a-1 {"Message":"Admitted.","Request":"r3","Service":"pool","Model":true}`,
	}, "\n")
	spec := engineSpec{Slots: 4, Memory: 1000, StepMS: 4, ReadPerMS: 50}
	l, err := record(strings.NewReader(log), spec, 1, 5)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "load.jsonl.gz")
	if err := writeLoad(path, l); err != nil {
		t.Fatal(err)
	}
	l = readTestLoad(t, path)
	want := arrival{At: 500, Daemon: "edge-a-1", Route: "spec", Prompt: 10, Target: 800, Left: 900, First: 200}
	if len(l.Arrivals) != 1 || l.Arrivals[0] != want {
		t.Errorf("arrivals %+v, want %+v", l.Arrivals, want)
	}
	if len(l.Changes) != 2 || !l.Changes[0].Ready || l.Changes[0].At != 0 || l.Changes[1].Ready || l.Changes[1].At != 800 {
		t.Errorf("changes %+v, want a join at 0 ms and a leave at 800 ms", l.Changes)
	}
}

// TestBadLoad guards against a replay of a file that is not a valid load.
func TestBadLoad(t *testing.T) {
	plain := filepath.Join(t.TempDir(), "plain")
	if err := os.WriteFile(plain, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	empty := filepath.Join(t.TempDir(), "empty.gz")
	if err := writeLoad(empty, load{Engine: engineSpec{Slots: 1, Memory: 1, StepMS: 1, ReadPerMS: 1}}); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{plain, empty} {
		if _, err := readLoad(path); !errors.Is(err, errLoad) {
			t.Errorf("%s: %v, want %v", path, err, errLoad)
		}
	}
}
