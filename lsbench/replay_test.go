package main

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// recordedLoads are parts of days on the bench, recorded with -verbose. They hold the loss of the
// reclaimable endpoints of a zone, a tenant's flood and kills of daemons.
var recordedLoads = []string{"testdata/tracewell-trouble-1.jsonl.gz", "testdata/rutenett-trouble-1.jsonl.gz"}

func loadOf(t *testing.T, path string) load {
	t.Helper()
	l, err := readLoad(path)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestDecisionsBeatBaselines guards against a change of the choice or the admission that serves a
// recorded load worse than a simple rule would, over the whole load or in its worst window.
func TestDecisionsBeatBaselines(t *testing.T) {
	for _, path := range recordedLoads {
		l := loadOf(t, path)
		own := summarize(l, replay(l, presentPolicy, 1))
		for _, p := range baselines {
			s := summarize(l, replay(l, p, 1))
			t.Logf("%s: %.3f in time, worst window %.3f; %s: %.3f, %.3f", path, own.inTime, own.worst, p.name, s.inTime, s.worst)
			if own.inTime <= s.inTime || own.worst <= s.worst {
				t.Errorf("%s: %s serves more in time", path, p.name)
			}
		}
	}
}

// TestToldPromptsSpareReading guards against daemons that don't know where the others have sent shared
// parts of prompts, and engines that read what another one keeps: on the recorded loads each of the
// two must spare reading, and must not cost answers in time.
func TestToldPromptsSpareReading(t *testing.T) {
	for _, path := range recordedLoads {
		l := loadOf(t, path)
		better := summarize(l, replay(l, presentPolicy, 1))
		for _, p := range promptPolicies {
			s := summarize(l, replay(l, p, 1))
			t.Logf("%s: %.0f thousand tokens read, %.3f in time; %s: %.0f, %.3f", path, better.read, better.inTime, p.name, s.read, s.inTime)
			if better.read >= s.read || better.inTime < s.inTime {
				t.Errorf("%s: %s reads less or serves more in time", path, p.name)
			}
			better = s
		}
	}
}

// TestModelIsNearTheRecord guards against a model from which nothing can be concluded: its times to
// the first event must be near those that the daemons measured on the same load, with the same
// decisions.
func TestModelIsNearTheRecord(t *testing.T) {
	// A third: the differences between policies that the model is used for are larger.
	const bound = 1.0 / 3
	for _, path := range recordedLoads {
		l := loadOf(t, path)
		median, tail := modelError(l, replay(l, recordPolicy, 1))
		t.Logf("%s: median %+.2f, 95th percentile %+.2f", path, median, tail)
		if math.Abs(median) > bound || math.Abs(tail) > bound {
			t.Errorf("%s: the model is off by %+.2f at the median and %+.2f at the 95th percentile", path, median, tail)
		}
	}
}

// TestReplayIsRepeatable guards against figures that can't be repeated with their seed.
func TestReplayIsRepeatable(t *testing.T) {
	l := loadOf(t, recordedLoads[0])
	l.Arrivals = l.Arrivals[:300]
	a, b := replay(l, presentPolicy, 7), replay(l, presentPolicy, 7)
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("arrival %d: %+v, then %+v", i, a[i], b[i])
		}
	}
}

// TestEngine guards against a model that reads kept parts again, forgets what a chunk costs, or
// runs more than fits.
func TestEngine(t *testing.T) {
	line := newTimeline()
	e := newEngine(line, engineShape{Slots: 1, Memory: 10_000, StepMS: 4, ReadPerMS: 50}, "engine-1", "a")
	var firsts []time.Duration
	for range 2 {
		e.send(&job{
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

// TestRecord guards against a load that misses requests or endpoints, or takes them from another
// service or time.
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
	shape := engineShape{Slots: 4, Memory: 1000, StepMS: 4, ReadPerMS: 50}
	l, err := record(strings.NewReader(log), shape, 1, 5)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "load.jsonl.gz")
	if err := writeLoad(path, l); err != nil {
		t.Fatal(err)
	}
	l = loadOf(t, path)
	want := arrival{At: 500, Daemon: "edge-a-1", Route: "spec", Prompt: 10, Target: 800, Left: 900, First: 200}
	if len(l.Arrivals) != 1 || l.Arrivals[0] != want {
		t.Errorf("arrivals %+v, want %+v", l.Arrivals, want)
	}
	if len(l.Changes) != 2 || !l.Changes[0].Ready || l.Changes[0].At != 0 || l.Changes[1].Ready || l.Changes[1].At != 800 {
		t.Errorf("changes %+v", l.Changes)
	}
}

// TestBadLoad guards against a file that is replayed though it is no load.
func TestBadLoad(t *testing.T) {
	plain := filepath.Join(t.TempDir(), "plain")
	if err := os.WriteFile(plain, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	empty := filepath.Join(t.TempDir(), "empty.gz")
	if err := writeLoad(empty, load{Engine: engineShape{Slots: 1, Memory: 1, StepMS: 1, ReadPerMS: 1}}); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{plain, empty} {
		if _, err := readLoad(path); !errors.Is(err, errLoad) {
			t.Errorf("%s: %v, want %v", path, err, errLoad)
		}
	}
}
