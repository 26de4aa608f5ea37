package choice

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"lentilstage.dev/decide/cases"
)

type (
	pick struct {
		Name       string               `yaml:"Name"`
		Model      bool                 `yaml:"Model"`
		Prompt     int                  `yaml:"Prompt"`
		Slots      int                  `yaml:"Slots"`
		Memory     int                  `yaml:"Memory"`
		Candidates map[string]candidate `yaml:"Candidates"`
		// Leaving are endpoints that get no requests.
		Leaving map[string]candidate `yaml:"Leaving"`
		// Fetch is the tokens that engines give each other in a millisecond.
		Fetch float64 `yaml:"Fetch"`
		Want  string  `yaml:"Want"`
		// Source and Fetched are what the picked one should fetch.
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
	}
)

// TestPicks guards against requests that queue at a busy endpoint while another one would
// answer sooner.
func TestPicks(t *testing.T) {
	for _, p := range cases.Load[pick](t, "testdata/picks.yaml") {
		request := Request{
			Prompt: p.Prompt, Answer: 50, Model: p.Model, FetchPerMS: p.Fetch, Sources: p.candidates(p.Leaving),
		}
		picked, ok := Pick(request, p.candidates(p.Candidates), func() float64 { return 0 })
		if !ok || picked.Candidate.ID != p.Want || picked.Source != p.Source || picked.Fetched != p.Fetched {
			t.Errorf("%s: picked %q and fetched %d from %q, want %q and %d from %q", p.Name, picked.Candidate.ID,
				picked.Fetched, picked.Source, p.Want, p.Fetched, p.Source)
		}
	}
}

func (p pick) candidates(stated map[string]candidate) []Candidate {
	slots := p.Slots
	if slots == 0 {
		slots = 64
	}
	var list []Candidate
	for _, id := range slices.Sorted(maps.Keys(stated)) {
		c := stated[id]
		list = append(list, Candidate{
			ID: id, Version: c.Version, Slots: slots, Memory: p.Memory, Cached: c.Cached, Local: c.Local, Penalty: c.Penalty,
			Load: Load{Requests: c.Requests, Reading: c.Reading, Memory: c.Held},
		})
	}
	return list
}

// TestSessionsAgree guards against daemons that send one session to different engines, which
// then all read its shared parts, and against one engine that gets many more sessions than
// others.
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
		one, _ := Pick(request, candidates, func() float64 { return 0 })
		slices.Reverse(candidates)
		other, _ := Pick(request, candidates, func() float64 { return 0.99 })
		if one.Candidate.ID != other.Candidate.ID {
			t.Fatalf("session %d goes to %s and to %s", i, one.Candidate.ID, other.Candidate.ID)
		}
		counts[one.Candidate.ID]++
	}
	for id, count := range counts {
		if count > 2*sessions/engines {
			t.Errorf("%s gets %d of %d sessions", id, count, sessions)
		}
	}
}

// TestNoCandidate guards against a choice out of nothing.
func TestNoCandidate(t *testing.T) {
	if _, ok := Pick(Request{}, nil, func() float64 { return 0 }); ok {
		t.Error("picked an endpoint out of none")
	}
}

// TestDaemonsSpread guards against many daemons that send their requests to the same endpoint until
// the next digests, since all know the same loads.
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

// TestRoomIsFound guards against a wait for a busy endpoint while another one that was not drawn
// has room.
func TestRoomIsFound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var candidates []Candidate
	for i := range 50 {
		candidates = append(candidates, Candidate{ID: fmt.Sprint(i), Slots: 12, Load: Load{Reading: 40_000, Requests: 12}})
	}
	candidates[31].Load = Load{}
	for range 100 {
		picked, _ := Pick(Request{Prompt: 400, Answer: 50, Model: true, Target: 800}, candidates, random.Float64)
		if picked.Candidate.ID != "31" {
			t.Fatalf("endpoint %s is chosen, with a queue of %.0f ms", picked.Candidate.ID, picked.Queue())
		}
	}
}
