package itest

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/client"
	"lentilstage.dev/wire/wire"
)

const (
	oldVersion = "catalogue-v1"
	newVersion = "catalogue-v2"
	movedRoute = "stock-question"
)

// movePlan is a cluster whose engines have both versions loaded.
func movePlan() plan {
	return plan{daemons: 3, engines: 4, engineArgs: []string{"-versions", oldVersion + "," + newVersion, "-step", "1ms", "-max-running", "64"}}
}

// startMove publishes a version move that must be over within the time.
func (c *cluster) startMove(within time.Duration) time.Time {
	c.t.Helper()
	view, err := c.view(c.daemons[0])
	if err != nil {
		c.t.Fatal(err)
	}
	wanted := view.State.Table()
	deadline := time.Now().Add(within)
	for i, r := range wanted.Routes {
		if r.Name == movedRoute {
			wanted.Routes[i].MoveTo = newVersion
			wanted.Routes[i].MoveDeadline = deadline
			wanted.Routes[i].FirstShare = 0.05
		}
	}
	c.publish(wanted)
	return deadline
}

// moveState returns the state of the move at a daemon.
func (c *cluster) moveState(daemon *process) table.MoveState {
	view, err := c.view(daemon)
	if err != nil {
		return table.MoveState{}
	}
	move, _ := view.State.MoveOf(view.State.Routes[movedRoute])
	return move
}

// traffic sends short questions from several callers until the returned function is called,
// also at the end of the test. It counts the answers that were not whole.
func (c *cluster) traffic(callers int) (*atomic.Int64, func()) {
	var failed atomic.Int64
	var running sync.WaitGroup
	stop := make(chan struct{})
	end := sync.OnceFunc(func() {
		close(stop)
		running.Wait()
	})
	c.t.Cleanup(end)
	for caller := range callers {
		running.Go(func() {
			random := rand.New(rand.NewPCG(callerSeed, uint64(caller)))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				address := c.addresses()[random.IntN(len(c.daemons))]
				if newChat([]string{address}, movedRoute, fmt.Sprintf("question %d of caller %d", n, caller), 3).run() != nil {
					failed.Add(1)
				}
			}
		})
	}
	return &failed, end
}

// servedBy returns the requests that all engines have taken for a version.
func (c *cluster) servedBy(version string) int {
	total := 0
	for _, e := range c.engines {
		counts := make(map[string]engineCount)
		c.admin(e, "GET", "/admin/counts", nil, &counts)
		total += counts[version].Requests
	}
	return total
}

// TestGoodVersionFinishes guards against a good version that is taken back or does not
// finish by its deadline.
func TestGoodVersionFinishes(t *testing.T) {
	c := newCluster(t, movePlan())
	failed, stop := c.traffic(24)
	c.startMove(60 * time.Second)
	waitFor(t, 65*time.Second, "the end of the move", func() bool {
		return c.moveState(c.daemons[1]).State != table.Moving
	})
	stop()
	if move := c.moveState(c.daemons[1]); move.State != table.Finished {
		t.Errorf("the move ended as %s: %s", move.State, move.Reason)
	}
	if failed.Load() > 0 {
		t.Errorf("%d answers were not whole", failed.Load())
	}
}

// TestBadVersionIsTakenBack guards against a bad version that keeps its traffic: one whose
// requests fail must be taken back, with a small share of the traffic until then and none
// after it, and no caller may notice.
func TestBadVersionIsTakenBack(t *testing.T) {
	c := newCluster(t, movePlan())
	for _, engine := range c.engines {
		c.admin(engine, "POST", "/admin/behaviours", json.RawMessage(`{"Behaviours": [{"Version": "catalogue-v2", "FailProbability": 0.3}]}`), nil)
	}
	failed, stop := c.traffic(24)
	c.startMove(60 * time.Second)
	waitFor(t, 65*time.Second, "the end of the move", func() bool {
		return c.moveState(c.daemons[1]).State != table.Moving
	})
	if move := c.moveState(c.daemons[1]); move.State != table.TakenBack {
		t.Errorf("the move ended as %s: %s", move.State, move.Reason)
	}
	waitFor(t, 5*time.Second, "all daemons to know", func() bool {
		for _, d := range c.daemons {
			if c.moveState(d).State != table.TakenBack {
				return false
			}
		}
		return true
	})
	before := c.servedBy(newVersion)
	old := c.servedBy(oldVersion)
	waitFor(t, 20*time.Second, "more traffic", func() bool { return c.servedBy(oldVersion) > old+200 })
	stop()
	if after := c.servedBy(newVersion); after > before {
		t.Errorf("the version got %d requests after it was taken back", after-before)
	}
	if share := float64(before) / float64(before+old); share > 0.2 {
		t.Errorf("the bad version got %.0f%% of the traffic", 100*share)
	}
	if failed.Load() > 0 {
		t.Errorf("%d answers were not whole", failed.Load())
	}
	t.Logf("the bad version got %d of %d requests", before, before+old)
}

// TestCrashingRequestIsStopped guards against a request that crashes every engine that
// runs it: it must be stopped after three crashes, refused at every daemon when it is sent
// again, and requests that ran beside it must be completed.
func TestCrashingRequestIsStopped(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 3, engines: 6, engineArgs: []string{"-step", "20ms"}})
	for _, engine := range c.engines {
		c.fault(engine, json.RawMessage(`{"Crash": "crashing text"}`))
	}
	innocent := make(chan []error, 1)
	go func() { innocent <- runAll(c, 12, 60) }()
	poisoned := newChat(c.addresses()[:1], "quote-draft", "a prompt with the crashing text", 20)
	err := poisoned.run()
	if refused, ok := err.(*refusedError); !ok || refused.refusal.Name != "Quarantined" {
		t.Errorf("the request ended with %v", err)
	}
	for _, address := range c.addresses() {
		again := newChat([]string{address}, "quote-draft", "a prompt with the crashing text", 20)
		err := again.run()
		if refused, ok := err.(*refusedError); !ok || refused.refusal.Name != "Quarantined" {
			t.Errorf("the resend at %s ended with %v", address, err)
		}
	}
	for _, err := range <-innocent {
		t.Error(err)
	}
	dead := 0
	for _, engine := range c.engines {
		select {
		case <-engine.Exited():
			dead++
		default:
		}
	}
	if dead > 3 {
		t.Errorf("the request crashed %d engines, want at most 3", dead)
	}
	t.Logf("the request crashed %d engines", dead)
}

// TestMovedVersionIsLoaded guards against a move to a version that no engine has loaded,
// and against an engine that takes the order of an earlier step afterwards.
func TestMovedVersionIsLoaded(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 3, engines: 3, engineArgs: []string{"-fenced", "-cold-start", "200ms"}})
	c.startMove(10 * time.Minute)
	var loaded *process
	waitFor(t, 20*time.Second, "an engine to load the version", func() bool {
		for _, e := range c.engines {
			var load wire.EngineLoad
			c.admin(e, "GET", "/load", nil, &load)
			if slices.Contains(load.Versions, newVersion) {
				loaded = e
				return true
			}
		}
		return false
	})
	order := wire.EngineOrder{FencingNumber: 0, Kind: wire.OrderUnload, Version: newVersion}
	if err := client.Call(soon(), "POST", loaded.address(), "/orders", nil, order, nil); err == nil {
		t.Error("the engine took an order with an old fencing number")
	}
}
