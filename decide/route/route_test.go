package route

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"pgregory.net/rapid"

	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"

	"lentilstage.dev/decide/cases"

	"lentilstage.dev/decide/search"
)

type (
	chooseCase struct {
		Name       string         `yaml:"Name"`
		Endpoints  []caseEndpoint `yaml:"Endpoints"`
		Request    string         `yaml:"Request"`
		Tried      []string       `yaml:"Tried"`
		Suspect    bool           `yaml:"Suspect"`
		Split      yaml.MapSlice  `yaml:"Split"`
		Prompt     int            `yaml:"Prompt"`
		DeadlineMs int            `yaml:"DeadlineMs"`
		Want       string         `yaml:"Want"`
		Result     Result         `yaml:"Result"`
	}

	caseEndpoint struct {
		Instance   string   `yaml:"Instance"`
		DataCentre string   `yaml:"DataCentre"`
		Versions   []string `yaml:"Versions"`
		Cached     int      `yaml:"Cached"`
		Queued     int      `yaml:"Queued"`
		Running    int      `yaml:"Running"`
		Leaving    bool     `yaml:"Leaving"`
		Avoided    bool     `yaml:"Avoided"`
		Suspects   int      `yaml:"Suspects"`
		PenaltyMs  int      `yaml:"PenaltyMs"`
		LateReport bool     `yaml:"LateReport"`
	}
)

var (
	start  = time.Unix(1_000_000, 0)
	delays = map[string]time.Duration{"a": 0, "b": time.Millisecond, "c": 2 * time.Millisecond}
)

// TestMain fixes the seed, so that each run gives the same result.
func TestMain(m *testing.M) { search.Main(m, 1) }

// TestChooseCases guards the rules of the choice against regressions, with one case for each rule.
func TestChooseCases(t *testing.T) {
	for _, c := range cases.Load[chooseCase](t, "testdata/choose.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			request := Request{
				ID: c.Request, Route: "r", PromptTokens: c.Prompt, Tried: c.Tried, Suspect: c.Suspect,
				Blocks: randomBlocks(1, c.Prompt/wire.BlockTokens),
			}
			for _, w := range c.Split {
				weight, _ := w.Value.(float64)
				if whole, ok := w.Value.(uint64); ok {
					weight = float64(whole)
				}
				request.Split = append(request.Split, table.WeightedVersion{Version: w.Key.(string), Weight: weight})
			}
			if c.DeadlineMs > 0 {
				request.FirstTokenDeadline = start.Add(time.Duration(c.DeadlineMs) * time.Millisecond)
			}
			var views []*View
			for _, e := range c.Endpoints {
				v := NewView(e.Instance, e.DataCentre, e.Versions...).WithLoad(wire.EngineLoad{
					Time: start, QueuedTokens: e.Queued, Running: e.Running, MaxRunning: 32, PrefillPerSecond: 8000,
				}).WithHealth(e.Avoided, time.Duration(e.PenaltyMs)*time.Millisecond).WithSuspects(e.Suspects)
				if e.LateReport {
					v = v.WithLoad(wire.EngineLoad{Time: start.Add(-time.Second), MaxRunning: 32, PrefillPerSecond: 8000})
				}
				v.index = v.index.WithBlocks(request.Blocks[:e.Cached])
				if e.Leaving {
					v = v.WithLeaving()
				}
				views = append(views, v)
			}
			got, reason, ok := NewChooser(WithDelays(delays)).Choose(request, views, start, rand.New(rand.NewPCG(1, 1)).Float64)
			if ok != (c.Want != "") || (ok && got.Instance != c.Want) || (!ok && reason.Result != c.Result) {
				t.Fatalf("chose %+v with reason %+v, want %q %q", got, reason, c.Want, c.Result)
			}
		})
	}
}

// TestChooseIsNearTheBest guards against the choice of an endpoint that is excluded, infeasible or more
// than 5% above the lowest predicted time, and against one near-best endpoint receiving all requests.
func TestChooseIsNearTheBest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chooser := NewChooser(WithDelays(delays))
		request := Request{ID: "x", Split: []table.WeightedVersion{{Version: "v1", Weight: 1}}, PromptTokens: 320}
		request.Blocks = randomBlocks(3, 20)
		if rapid.Bool().Draw(t, "deadline") {
			request.FirstTokenDeadline = start.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "left")) * time.Millisecond)
		}
		var views []*View
		least := math.Inf(1)
		predicted := map[string]float64{}
		for i := range rapid.IntRange(0, 12).Draw(t, "endpoints") {
			v := NewView(fmt.Sprint(i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "dc"), "v1")
			v = v.WithLoad(wire.EngineLoad{
				Time: start, PrefillPerSecond: 8000, MaxRunning: 16,
				QueuedTokens: rapid.IntRange(0, 3000).Draw(t, "queued"), Running: rapid.IntRange(0, 20).Draw(t, "running"),
			}).WithHealth(rapid.IntRange(0, 4).Draw(t, "avoided") == 0, 0)
			v = v.WithPlacement(start, 0, request.Blocks[:rapid.IntRange(0, 20).Draw(t, "cached")])
			views = append(views, v)
			if seconds := chooser.predict(request, v, start, math.Inf(1)).seconds; !v.Avoided {
				predicted[v.Instance] = seconds
				least = min(least, seconds)
			}
		}
		left := math.Inf(1)
		if !request.FirstTokenDeadline.IsZero() {
			left = request.FirstTokenDeadline.Sub(start).Seconds()
		}
		random := rand.New(rand.NewPCG(2, 2))
		seen := map[string]bool{}
		for range 400 {
			choice, _, ok := chooser.Choose(request, views, start, random.Float64)
			if ok != (least <= left && len(predicted) > 0) {
				t.Fatalf("ok is %v, the lowest prediction is %g s and %g s remain", ok, least, left)
			}
			if !ok {
				return
			}
			seconds, candidate := predicted[choice.Instance]
			if !candidate || seconds > left || seconds > least*1.05 {
				t.Fatalf("chose %s with %g s, the lowest prediction is %g s and %g s remain", choice.Instance, seconds, least, left)
			}
			seen[choice.Instance] = true
		}
		for instance, seconds := range predicted {
			if seconds < min(least*1.05, left) && !seen[instance] {
				t.Fatalf("%s was never chosen in 400 tries although it is within 5%%", instance)
			}
		}
	})
}

// TestIndexAgainstMap compares the prefix index with a plain map. It guards against reporting blocks
// that were evicted or never stored, against losing new blocks, and against a wrong length or trust.
func TestIndexAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index, oracle, sequence := NewIndex(), map[Block]bool{}, int64(1)
		for range rapid.IntRange(1, 40).Draw(t, "batches") {
			before, beforeLen := index, index.Len()
			var batch wire.CacheEvents
			gap := rapid.IntRange(0, 9).Draw(t, "gap") == 0
			for range rapid.IntRange(1, 12).Draw(t, "events") {
				if gap {
					sequence += 3
					gap = false
				}
				block := randomBlocks(uint64(rapid.IntRange(1, 30).Draw(t, "block")), 1)[0]
				kind := rapid.SampledFrom([]wire.CacheEventKind{wire.CacheStored, wire.CacheEvicted}).Draw(t, "kind")
				batch.Events = append(batch.Events, wire.CacheEvent{Sequence: sequence, Kind: kind, Block: formatBlock(block)})
				oracle[block] = kind == wire.CacheStored
				sequence++
			}
			batch.Next = sequence
			index = index.WithEvents(batch)
			// Applying the same batch again has no effect.
			if again := index.WithEvents(batch); again.Len() != index.Len() || again.Trust() != index.Trust() {
				t.Fatalf("a repeated batch changed the index")
			}
			if before.Len() != beforeLen {
				t.Fatalf("the earlier index changed")
			}
			stored := 0
			for block, want := range oracle {
				if want {
					stored++
				}
				if got := index.Cached([]Block{block}) == 1; got != want {
					t.Fatalf("block %x cached is %v, want %v", block, got, want)
				}
			}
			if index.Len() != stored || index.Trust() < 0 || index.Trust() > 1 {
				t.Fatalf("length %d, want %d; trust %g", index.Len(), stored, index.Trust())
			}
		}
	})
}

// TestLostStoredEventsDoNotCutAPrefix guards against counting a prefix as uncached from the first block
// whose event was lost: with 5% of events lost, most long prefixes contain one.
func TestLostStoredEventsDoNotCutAPrefix(t *testing.T) {
	blocks := randomBlocks(5, 200)
	for _, c := range []struct{ from, to, want int }{
		{0, 0, 150}, {0, 1, 150}, {10, 11, 150}, {40, 70, 150}, {149, 150, 149}, {0, 150, 0},
	} {
		var batch wire.CacheEvents
		for i, b := range blocks[:150] {
			if i < c.from || i >= c.to {
				batch.Events = append(batch.Events, wire.CacheEvent{Sequence: int64(i), Kind: wire.CacheStored, Block: formatBlock(b)})
			}
		}
		if got := NewIndex().WithEvents(batch).Cached(blocks); got != c.want {
			t.Errorf("events %d to %d lost: %d blocks count as cached, want %d", c.from, c.to, got, c.want)
		}
	}
}

// TestIndexTrustAndBound guards against full trust in an index that missed evictions, against trust
// that never recovers, and against more blocks than the bound.
func TestIndexTrustAndBound(t *testing.T) {
	blocks := randomBlocks(9, 3*MaxBlocks)
	index := NewIndex().WithBlocks(blocks)
	if index.Len() > MaxBlocks || index.Len() < MaxBlocks*95/100 {
		t.Fatalf("the index holds %d blocks, the bound is %d", index.Len(), MaxBlocks)
	}
	stored := func(from int64, count int) (batch wire.CacheEvents) {
		for i := range int64(count) {
			batch.Events = append(batch.Events, wire.CacheEvent{Sequence: from + i, Kind: wire.CacheStored, Block: "ff"})
		}
		batch.Next = from + int64(count)
		return batch
	}
	index = index.WithEvents(stored(1, 1)).WithEvents(stored(2+int64(index.Len()), 1))
	if trust := index.Trust(); trust < 0.45 || trust > 0.55 {
		t.Fatalf("trust is %g after as many missing events as blocks, want about 0.5", trust)
	}
	if trust := index.WithEvents(stored(index.Next(), 20)).Trust(); trust > 0.6 {
		t.Fatalf("trust is %g after 20 new events", trust)
	}
	index = index.WithEvents(stored(index.Next(), trustRecoveryEvents))
	if index.Trust() != 1 {
		t.Fatalf("trust is %g after %d new events", index.Trust(), trustRecoveryEvents)
	}
	if index = index.WithEvents(stored(1, 1)); index.Len() != 1 {
		t.Fatalf("the index holds %d blocks after the engine restarted, want 1", index.Len())
	}
}

// TestPredictedQueueAgainstReplay guards the predicted queue against counting placements that the load
// report already covers, and against dropping those that it can't cover yet.
func TestPredictedQueueAgainstReplay(t *testing.T) {
	type arrival struct {
		at     int
		tokens int
	}
	rapid.Check(t, func(t *rapid.T) {
		view := NewView("x", "a", "v1")
		report, queued, now := 0, 0, 0
		var own []arrival
		peers, digests := map[string]arrival{}, map[string]int{}
		seen := NewPeerDigests()
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.IntRange(0, 300).Draw(t, "pass")
			tokens := rapid.IntRange(1, 2000).Draw(t, "tokens")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				report, queued = max(report, now-rapid.IntRange(0, 1000).Draw(t, "lag")), tokens
				view = view.WithLoad(wire.EngineLoad{Time: at(report), QueuedTokens: queued, PrefillPerSecond: 1000})
				own = slices.DeleteFunc(own, func(a arrival) bool { return a.at <= report })
				maps.DeleteFunc(peers, func(_ string, a arrival) bool { return a.at <= report })
			case 1:
				view = view.WithPlacement(at(now), tokens, nil)
				own = append(own, arrival{now, tokens})
			default:
				process := rapid.SampledFrom([]string{"p1", "p2"}).Draw(t, "peer")
				seen = seen.WithTime(process, at(now))
				view = view.WithDigest(seen, process, wire.Placement{Requests: 1, Tokens: tokens})
				digests[process] = now
				delete(peers, process)
				if now > report {
					peers[process] = arrival{now, tokens}
				}
			}
			if view.Load.PrefillPerSecond == 0 {
				continue
			}
			// A peer is assumed to have made the same placement if its last digest is older.
			all := slices.Collect(maps.Values(peers))
			for _, a := range own {
				tokens := a.tokens
				for _, digest := range digests {
					if digest < a.at {
						tokens += a.tokens
					}
				}
				all = append(all, arrival{a.at, tokens})
			}
			slices.SortFunc(all, func(a, b arrival) int { return a.at - b.at })
			waiting, last, sum := float64(queued), report, 0
			for _, a := range all {
				waiting = max(0, waiting-float64(a.at-last)) + float64(a.tokens)
				last = a.at
			}
			for _, a := range own {
				sum += a.tokens
			}
			waiting = max(0, waiting-float64(now-last))
			if got := view.PredictedQueue(at(now)); math.Abs(got-waiting) > 1e-6 {
				t.Fatalf("%g tokens are queued, want %g", got, waiting)
			}
			if got := view.Placement().Tokens; got != sum {
				t.Fatalf("own placements have %d tokens, want %d", got, sum)
			}
		}
	})
}

// TestOwnPlacementsAreBounded guards against growth while an endpoint sends no load reports.
func TestOwnPlacementsAreBounded(t *testing.T) {
	view := NewView("x", "a", "v1")
	for i := range 1000 {
		view = view.WithPlacement(start.Add(time.Duration(i)*time.Millisecond), 10, nil)
	}
	if got := view.Placement(); len(view.own) > maxOwnPlacements || got.Requests != 1000 || got.Tokens != 10000 {
		t.Fatalf("the view has %d entries with the sum %+v", len(view.own), got)
	}
}

// TestDrawVersionFollowsTheSplit guards against draws that miss the split's shares, and against requests
// that leave a version although its share grew.
func TestDrawVersionFollowsTheSplit(t *testing.T) {
	split := func(share float64) []table.WeightedVersion {
		return []table.WeightedVersion{{Version: "old", Weight: 1 - share}, {Version: "new", Weight: share}}
	}
	for _, share := range []float64{0, 0.01, 0.3, 1} {
		fresh, moved := 0, 0
		const requests = 20000
		for i := range requests {
			id := fmt.Sprint("request-", i)
			version := DrawVersion(id, "r", split(share))
			if version == "new" {
				fresh++
				if DrawVersion(id, "r", split(min(1, share*2))) != "new" {
					moved++
				}
			}
		}
		if got := float64(fresh) / requests; math.Abs(got-share) > 0.01 || moved > 0 {
			t.Fatalf("share %g: drawn %g, %d requests left the version when its share grew", share, got, moved)
		}
	}
}

// TestMemoryOfViews guards the daemon's memory limit of 32 MB, of which 600 full views may take 12 MB.
func TestMemoryOfViews(t *testing.T) {
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	var views []*View
	for i := range 600 {
		view := NewView(fmt.Sprint("endpoint-", i), "a", "v1")
		views = append(views, view.WithPlacement(start, 100, randomBlocks(uint64(i), MaxBlocks)))
	}
	if grown := int64(heap()) - int64(before); grown > 12<<20 {
		t.Errorf("600 views take %d bytes", grown)
	} else {
		t.Logf("600 views take %d bytes", grown)
	}
	runtime.KeepAlive(views)
}

func BenchmarkChoose600(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	request := Request{ID: "x", Split: []table.WeightedVersion{{Version: "v1", Weight: 1}}, PromptTokens: 1600}
	request.Blocks = randomBlocks(3, 100)
	var views []*View
	for i := range 600 {
		v := NewView(fmt.Sprint("endpoint-", i), []string{"a", "b", "c"}[i%3], "v1").WithLoad(wire.EngineLoad{
			Time: start, PrefillPerSecond: 8000, MaxRunning: 32, Running: random.IntN(32), QueuedTokens: random.IntN(3000),
		})
		v.index = v.index.WithBlocks(randomBlocks(uint64(i), 2000))
		v.index = v.index.WithBlocks(request.Blocks[:random.IntN(100)])
		views = append(views, v)
	}
	chooser := NewChooser(WithDelays(delays))
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := chooser.Choose(request, views, start, random.Float64); !ok {
			b.Fatal("no choice")
		}
	}
}

func BenchmarkCacheEvents(b *testing.B) {
	index := NewIndex().WithBlocks(randomBlocks(1, MaxBlocks))
	var batch wire.CacheEvents
	for i, block := range randomBlocks(2, 200) {
		batch.Events = append(batch.Events, wire.CacheEvent{Sequence: int64(i), Kind: wire.CacheStored, Block: formatBlock(block)})
	}
	batch.Next = 200
	b.ReportAllocs()
	for b.Loop() {
		index.WithEvents(batch)
	}
}

func randomBlocks(seed uint64, count int) []Block {
	random := rand.New(rand.NewPCG(seed, 7))
	blocks := make([]Block, count)
	for i := range blocks {
		blocks[i] = Block(random.Uint64())
	}
	return blocks
}

func formatBlock(b Block) string { return fmt.Sprintf("%x", uint64(b)) }
