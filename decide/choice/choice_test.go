package choice

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"lentilstage.dev/decide/cases"
	"lentilstage.dev/decide/pace"
)

type (
	pick struct {
		Name       string               `yaml:"Name"`
		Model      bool                 `yaml:"Model"`
		Prompt     int                  `yaml:"Prompt"`
		Slots      int                  `yaml:"Slots"`
		Memory     int                  `yaml:"Memory"`
		Candidates map[string]candidate `yaml:"Candidates"`
		// Leaving are endpoints that receive no requests.
		Leaving map[string]candidate `yaml:"Leaving"`
		// Fetch is the number of tokens that engines fetch from each other per millisecond.
		Fetch float64 `yaml:"Fetch"`
		// Target is the time in milliseconds within which the answer should begin.
		Target float64 `yaml:"Target"`
		Want   string  `yaml:"Want"`
		// Source and Fetched are the expected fetch of the picked endpoint.
		Source  string `yaml:"Source"`
		Fetched int    `yaml:"Fetched"`
	}

	candidate struct {
		Requests int     `yaml:"Requests"`
		Reading  float64 `yaml:"Reading"`
		Held     float64 `yaml:"Held"`
		Cached   int     `yaml:"Cached"`
		Local    bool    `yaml:"Local"`
		Version  string  `yaml:"Version"`
		Penalty  float64 `yaml:"Penalty"`
		Speed    float64 `yaml:"Speed"`
	}
)

// TestPicks guards against requests that queue at a busy endpoint while another one would answer sooner.
func TestPicks(t *testing.T) {
	for _, p := range cases.Load[pick](t, "testdata/picks.yaml") {
		request := Request{
			Prompt: p.Prompt, Answer: 50, Model: p.Model, FetchPerMS: p.Fetch, Target: p.Target, Sources: p.candidates(p.Leaving),
		}
		picked, ok := Pick(request, p.candidates(p.Candidates), func() float64 { return 0 })
		if !ok || picked.Candidate.ID != p.Want || picked.Source != p.Source || picked.Fetched != p.Fetched {
			t.Errorf("%s: picked %q and fetched %d from %q, want %q and %d from %q", p.Name, picked.Candidate.ID,
				picked.Fetched, picked.Source, p.Want, p.Fetched, p.Source)
		}
	}
}

func (p pick) candidates(specs map[string]candidate) []Candidate {
	slots := p.Slots
	if slots == 0 {
		slots = 64
	}
	var list []Candidate
	for _, id := range slices.Sorted(maps.Keys(specs)) {
		c := specs[id]
		list = append(list, Candidate{
			ID: id, Version: c.Version, Slots: slots, Memory: p.Memory, Cached: c.Cached, Local: c.Local, Penalty: c.Penalty,
			Speed: c.Speed,
			Load:  Load{Requests: c.Requests, Reading: c.Reading, Memory: c.Held},
		})
	}
	return list
}

// TestPenaltyOfAllIsNoWait guards against requests that are refused for a predicted wait although all
// endpoints are idle: each of them had failed before, and none gets the request that would show that it
// answers again.
func TestPenaltyOfAllIsNoWait(t *testing.T) {
	for _, model := range []bool{true, false} {
		doubted := []Candidate{{ID: "a", Slots: 8, Penalty: 1000, Local: true}, {ID: "b", Slots: 8, Penalty: 1500, Local: true}}
		picked, _ := Pick(Request{Model: model, Prompt: 100, Answer: 10}, doubted, func() float64 { return 0 })
		if picked.Candidate.ID != "a" || picked.Wait > 100 {
			t.Errorf("model %v: picked %s with a predicted wait of %.0f ms at idle endpoints", model, picked.Candidate.ID, picked.Wait)
		}
		sound := append(doubted, Candidate{ID: "c", Slots: 8, Local: true, Load: Load{Requests: 4}})
		if picked, _ := Pick(Request{Model: model, Prompt: 100, Answer: 10}, sound, func() float64 { return 0 }); picked.Candidate.ID != "c" {
			t.Errorf("model %v: picked %s beside an endpoint without a penalty", model, picked.Candidate.ID)
		}
	}
}

// TestSessionsAgree guards against daemons that send one session to different engines, which would each
// compute its shared parts, and against one engine that receives many more sessions than the others.
func TestSessionsAgree(t *testing.T) {
	const (
		sessions = 600
		engines  = 12
	)
	var candidates []Candidate
	for i := range engines {
		candidates = append(candidates, Candidate{ID: fmt.Sprintf("engine-%d", i), Slots: 64})
	}
	counts := map[string]int{}
	for i := range sessions {
		request := Request{Session: fmt.Sprintf("session-%d", i), Prompt: 9000, Shared: 6300, Model: true}
		first, _ := Pick(request, candidates, func() float64 { return 0 })
		slices.Reverse(candidates)
		second, _ := Pick(request, candidates, func() float64 { return 0.99 })
		if first.Candidate.ID != second.Candidate.ID {
			t.Fatalf("session %d goes to %s and to %s", i, first.Candidate.ID, second.Candidate.ID)
		}
		counts[first.Candidate.ID]++
	}
	for id, count := range counts {
		if count > 2*sessions/engines {
			t.Errorf("%s receives %d of %d sessions", id, count, sessions)
		}
	}
}

// TestSessionsBySpeed guards against a slow engine that is the first for as many sessions as a fast one, and against
// sessions that move to another engine because all have the same speed instead of none.
func TestSessionsBySpeed(t *testing.T) {
	const sessions = 6000
	plain := make([]Candidate, 12)
	for i := range plain {
		plain[i] = Candidate{ID: fmt.Sprintf("engine-%d", i), Slots: 64}
	}
	equal, differing := slices.Clone(plain), slices.Clone(plain)
	speeds := []float64{0.6, 1, 1.6}
	for i := range plain {
		equal[i].Speed, differing[i].Speed = 1.3, speeds[i%len(speeds)]
	}
	counts := map[float64]float64{}
	moved := 0
	for i := range sessions {
		session := fmt.Sprintf("session-%d", i)
		first := home(session, plain)
		if got := home(session, equal); got != first {
			t.Fatalf("%s has the home %s among engines of equal speed, and %s among those of unknown speed", session, got, first)
		}
		at := slices.IndexFunc(differing, func(c Candidate) bool { return c.ID == home(session, differing) })
		counts[differing[at].Speed] += 1.0 / sessions
		if differing[at].ID != first {
			moved++
		}
	}
	for _, speed := range speeds {
		if want := speed / 3.2; counts[speed] < 0.9*want || counts[speed] > 1.1*want {
			t.Errorf("engines of speed %.1f are the home of %.3f of the sessions, want %.3f", speed, counts[speed], want)
		}
	}
	if moved > sessions/3 {
		t.Errorf("%d of %d sessions have moved", moved, sessions)
	}
}

// TestSlowPlainEndpointIsAdmitted guards against a request that is refused at an idle endpoint because its own time there
// counts as a queue.
func TestSlowPlainEndpointIsAdmitted(t *testing.T) {
	slow := []Candidate{{ID: "a", Slots: 6, Speed: 0.5, Local: true}}
	picked, _ := Pick(Request{Pace: pace.Estimate{PrefillPerMS: 40, PlainMS: 100}}, slow, func() float64 { return 0 })
	if picked.Wait != 100 || picked.Queue() != 0 {
		t.Errorf("a wait of %.0f ms, a queue of %.0f ms at an idle endpoint", picked.Wait, picked.Queue())
	}
}

// TestNoCandidate guards against a choice from an empty list.
func TestNoCandidate(t *testing.T) {
	if _, ok := Pick(Request{}, nil, func() float64 { return 0 }); ok {
		t.Error("picked an endpoint from an empty list")
	}
}

// TestDaemonsSpread guards against many daemons that send their requests to the same endpoint until the
// next digests, because all have the same loads.
func TestDaemonsSpread(t *testing.T) {
	const daemons, endpoints = 83, 140
	random := rand.New(rand.NewPCG(1, 2))
	var candidates []Candidate
	for i := range endpoints {
		candidates = append(candidates, Candidate{ID: fmt.Sprint(i), Slots: 12, Load: Load{Reading: float64(400 * i)}})
	}
	got := map[string]int{}
	for range daemons {
		picked, _ := Pick(Request{Prompt: 400, Answer: 50, Model: true, Target: 60_000}, candidates, random.Float64)
		got[picked.Candidate.ID]++
	}
	for id, count := range got {
		if count > daemons/8 {
			t.Errorf("%d of %d daemons chose endpoint %s", count, daemons, id)
		}
	}
}

// TestFreeEndpointIsFound guards against a wait at a busy endpoint while an endpoint outside the sample
// is free.
func TestFreeEndpointIsFound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var candidates []Candidate
	for i := range 50 {
		candidates = append(candidates, Candidate{ID: fmt.Sprint(i), Slots: 12, Load: Load{Reading: 40_000, Requests: 12}})
	}
	candidates[31].Load = Load{}
	for range 100 {
		picked, _ := Pick(Request{Prompt: 400, Answer: 50, Model: true, Target: 800}, candidates, random.Float64)
		if picked.Candidate.ID != "31" {
			t.Fatalf("chose endpoint %s with a queue of %.0f ms, want 31", picked.Candidate.ID, picked.Queue())
		}
	}
}
