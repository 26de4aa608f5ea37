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

// moveConfig returns a configuration whose engines have both versions loaded.
func moveConfig() clusterConfig {
	return clusterConfig{daemons: 3, engines: 4, engineArgs: []string{"-versions", oldVersion + "," + newVersion, "-step", "1ms", "-max-running", "64"}}
}

// startMove publishes a move to the new version and returns its deadline.
func (c *cluster) startMove(timeout time.Duration) time.Time {
	c.t.Helper()
	tableView, err := c.tableView(c.daemons[0])
	if err != nil {
		c.t.Fatal(err)
	}
	wanted := tableView.State.Table()
	deadline := time.Now().Add(timeout)
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

// moveState returns the state of the move in a daemon's table, or the zero value on an error.
func (c *cluster) moveState(daemon *process) table.MoveState {
	tableView, err := c.tableView(daemon)
	if err != nil {
		return table.MoveState{}
	}
	move, _ := tableView.State.MoveOf(tableView.State.Routes[movedRoute])
	return move
}

// startTraffic sends short requests from several callers until the returned function is called or the
// test ends. It counts the requests that failed.
func (c *cluster) startTraffic(callers int) (*atomic.Int64, func()) {
	var failed atomic.Int64
	var running sync.WaitGroup
	stop := make(chan struct{})
	stopTraffic := sync.OnceFunc(func() {
		close(stop)
		running.Wait()
	})
	c.t.Cleanup(stopTraffic)
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
	return &failed, stopTraffic
}

// requestCountOf returns the number of requests that all engines have received for a version.
func (c *cluster) requestCountOf(version string) int {
	total := 0
	for _, e := range c.engines {
		counts := make(map[string]engineCounts)
		c.callAdmin(e, "GET", "/admin/counts", nil, &counts)
		total += counts[version].Requests
	}
	return total
}

// TestGoodVersionFinishes guards against a move to a good version that is rolled back or does not finish
// by its deadline.
func TestGoodVersionFinishes(t *testing.T) {
	c := newCluster(t, moveConfig())
	failed, stop := c.startTraffic(24)
	c.startMove(60 * time.Second)
	waitFor(t, 65*time.Second, "the move to end", func() bool {
		return c.moveState(c.daemons[1]).State != table.Moving
	})
	stop()
	if move := c.moveState(c.daemons[1]); move.State != table.Finished {
		t.Errorf("the move ended as %s: %s", move.State, move.Reason)
	}
	if failed.Load() > 0 {
		t.Errorf("%d requests failed", failed.Load())
	}
}

// TestBadVersionIsRolledBack guards against a bad version that keeps its traffic. The move to a version
// whose requests fail must be rolled back. The version may get at most 20% of the traffic before the
// rollback and none after it, and no request of a caller may fail.
func TestBadVersionIsRolledBack(t *testing.T) {
	c := newCluster(t, moveConfig())
	for _, engine := range c.engines {
		c.callAdmin(engine, "POST", "/admin/behaviours", json.RawMessage(`{"Behaviours": [{"Version": "catalogue-v2", "FailProbability": 0.3}]}`), nil)
	}
	failed, stop := c.startTraffic(24)
	c.startMove(60 * time.Second)
	waitFor(t, 65*time.Second, "the move to end", func() bool {
		return c.moveState(c.daemons[1]).State != table.Moving
	})
	if move := c.moveState(c.daemons[1]); move.State != table.TakenBack {
		t.Errorf("the move ended as %s: %s", move.State, move.Reason)
	}
	waitFor(t, 5*time.Second, "all daemons to apply the rollback", func() bool {
		for _, d := range c.daemons {
			if c.moveState(d).State != table.TakenBack {
				return false
			}
		}
		return true
	})
	before := c.requestCountOf(newVersion)
	old := c.requestCountOf(oldVersion)
	waitFor(t, 20*time.Second, "more traffic", func() bool { return c.requestCountOf(oldVersion) > old+200 })
	stop()
	if after := c.requestCountOf(newVersion); after > before {
		t.Errorf("the bad version received %d requests after the rollback", after-before)
	}
	if share := float64(before) / float64(before+old); share > 0.2 {
		t.Errorf("the bad version received %.0f%% of the traffic, want at most 20%%", 100*share)
	}
	if failed.Load() > 0 {
		t.Errorf("%d requests failed", failed.Load())
	}
	t.Logf("the bad version received %d of %d requests", before, before+old)
}

// TestCrashingRequestIsQuarantined guards against a request that crashes every engine that runs it. The
// request must be quarantined after three crashes, every daemon must refuse it when it is sent again,
// and concurrent requests at the same engines must complete.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 3, engines: 6, engineArgs: []string{"-step", "20ms"}})
	for _, engine := range c.engines {
		c.setFaults(engine, json.RawMessage(`{"Crash": "crashing text"}`))
	}
	otherErrors := make(chan []error, 1)
	go func() { otherErrors <- runRequests(c, 12, 60) }()
	crashing := newChat(c.addresses()[:1], "quote-draft", "a prompt with the crashing text", 20)
	err := crashing.run()
	if refused, ok := err.(*refusedError); !ok || refused.refusal.Name != "Quarantined" {
		t.Errorf("the request ended with %v, want the refusal Quarantined", err)
	}
	for _, address := range c.addresses() {
		resent := newChat([]string{address}, "quote-draft", "a prompt with the crashing text", 20)
		err := resent.run()
		if refused, ok := err.(*refusedError); !ok || refused.refusal.Name != "Quarantined" {
			t.Errorf("the request sent again to %s ended with %v, want the refusal Quarantined", address, err)
		}
	}
	for _, err := range <-otherErrors {
		t.Error(err)
	}
	crashed := 0
	for _, engine := range c.engines {
		select {
		case <-engine.Exited():
			crashed++
		default:
		}
	}
	if crashed > 3 {
		t.Errorf("the request crashed %d engines, want at most 3", crashed)
	}
	t.Logf("the request crashed %d engines", crashed)
}

// TestMovedVersionIsLoaded guards against a move to a version that no engine loads, and against an
// engine that afterwards accepts an order with an earlier fencing number.
func TestMovedVersionIsLoaded(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 3, engines: 3, engineArgs: []string{"-fenced", "-cold-start", "200ms"}})
	c.startMove(10 * time.Minute)
	var loaded *process
	waitFor(t, 20*time.Second, "an engine to load the version", func() bool {
		for _, e := range c.engines {
			var load wire.EngineLoad
			c.callAdmin(e, "GET", "/load", nil, &load)
			if slices.Contains(load.Versions, newVersion) {
				loaded = e
				return true
			}
		}
		return false
	})
	order := wire.EngineOrder{FencingNumber: 0, Kind: wire.OrderUnload, Version: newVersion}
	if err := client.Call(callDeadline(), "POST", loaded.address(), "/orders", nil, order, nil); err == nil {
		t.Error("the engine accepted an order with an old fencing number")
	}
}
