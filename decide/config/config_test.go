package config

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstage.dev/decide/search"
)

// searchVariable names the environment variable with the seed and count of a long search, such as
// "7,20000".
const searchVariable = "LENTILSTAGE_SEARCH"

// TestMain fixes the seed, so that each run of the tests gives the same result.
func TestMain(m *testing.M) { search.Main(m, 1) }

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// property returns a test of one random simulation, whose counts it adds to stats.
func property(injected mutation, stats map[string]int) func(*rapid.T) {
	return func(t *rapid.T) {
		size := rapid.IntRange(3, 5).Draw(t, "daemons")
		sim := newSimulation(t, size, rapid.Uint64().Draw(t, "seed"), injected)
		for range 3 {
			sim.now = sim.now.Add(time.Second)
			for _, name := range sim.names {
				sim.runCycle(sim.nodes[name])
			}
		}
		t.Repeat(sim.actions())
		if injected == noMutation {
			sim.checkConvergence()
		}
		for name, count := range sim.stats {
			stats[name] += count
		}
	}
}

// TestAcceptedTableIsServedByAll guards against a daemon that serves with an older table than one
// reported as accepted, against a table that goes back to an earlier offset, against edits that are
// lost without a report and against a recovered table that differs.
func TestAcceptedTableIsServedByAll(t *testing.T) {
	stats := map[string]int{}
	set("rapid.checks", "150")
	set("rapid.steps", "50")
	rapid.Check(t, property(noMutation, stats))
	t.Logf("%v", stats)
	for _, name := range []string{"accepted", "applied", "clashes", "copies", "restarts", "snapshots", "refusals", "serving: tail", "serving: peer", "serving: majority"} {
		if stats[name] == 0 {
			t.Errorf("no run reached %q", name)
		}
	}
}

// TestSearchAcceptedTable is the long search. It runs only with LENTILSTAGE_SEARCH=SEED,COUNT.
func TestSearchAcceptedTable(t *testing.T) {
	seed, count, ok := strings.Cut(os.Getenv(searchVariable), ",")
	if !ok {
		t.Skip("long search; set " + searchVariable + "=SEED,COUNT")
	}
	set("rapid.seed", seed)
	set("rapid.checks", count)
	set("rapid.steps", "100")
	stats := map[string]int{}
	rapid.Check(t, property(noMutation, stats))
	t.Logf("%v", stats)
}

// TestWeakenedRulesAreCaught guards against a search that does not detect the failures that the rules
// prevent: with any one rule disabled, the search must find a failure.
func TestWeakenedRulesAreCaught(t *testing.T) {
	for _, m := range []mutation{noMajority, noWait, silenceOnly, leaseFromReceipt, countRelayed} {
		t.Run(string(m), func(t *testing.T) {
			set("rapid.checks", "2000")
			set("rapid.steps", "50")
			set("rapid.shrinktime", "0s")
			found := failureOf(t, property(m, map[string]int{}))
			if !strings.Contains(found, "was accepted") {
				t.Errorf("found no daemon that serves with an older table: %s", found)
			}
			t.Log(found)
		})
	}
}

// TestRestartedDaemonForgetsItsConfirmation guards against a majority that counts a daemon that
// confirmed, restarted during a log outage and then fetched an older table from a peer. The random
// search does not find this case within 2,000 runs.
func TestRestartedDaemonForgetsItsConfirmation(t *testing.T) {
	if found := failureOf(t, func(t *rapid.T) { restartScenario(t, noRestartWait) }); !strings.Contains(found, "was accepted") {
		t.Errorf("without the wait the scenario found no daemon that serves with an older table: %s", found)
	}
	sim := restartScenario(t, noMutation)
	if sim.accepted != 0 {
		t.Error("the change was accepted without a majority")
	}
	sim.checkConvergence()
	if sim.accepted != 5 {
		t.Error("the change was not accepted after the log recovered")
	}
}

// restartScenario publishes a change at daemon 0. Daemon 1 confirms, restarts and queries 2, 3 and 4.
// Daemon 2 confirms after that. Daemons 1, 3 and 4 are then disconnected from 0 and 2.
func restartScenario(t fataler, injected mutation) *simulation {
	sim := newSimulation(t, 5, 1, injected)
	sim.tick(time.Second)
	sim.tick(time.Second)
	publisher, restarted := sim.nodes["entry-0"], sim.nodes["entry-1"]
	sim.operators[0].file = publisher.state.TableState().Table()
	sim.readsDown = true
	sim.connectOnly([]string{"entry-0", "entry-1", "log"}, []string{"entry-2", "entry-3", "entry-4"})
	request, _ := sim.nextChange(sim.operators[0], []int{0})
	sim.propose(publisher, request)
	sim.runCycle(publisher)
	if restarted.state.Next() != 5 {
		t.Fatalf("daemon 1 has not confirmed")
	}
	sim.start(restarted)
	sim.connectOnly([]string{"entry-1", "entry-2", "entry-3", "entry-4"})
	for range 12 {
		sim.tick(time.Second)
	}
	if restarted.state.Next() != 4 {
		t.Fatalf("daemon 1 has not fetched the table of a peer")
	}
	sim.connectOnly([]string{"entry-0", "entry-2"}, []string{"entry-1", "entry-3", "entry-4"})
	for range 15 {
		sim.tick(time.Second)
	}
	return sim
}

// TestClocksFurtherApartThanAssumed guards against a lease that compares a peer's deadline with the
// daemon's own clock: daemon 2 is disconnected from all but daemon 1, whose clock is 3 s ahead.
func TestClocksFurtherApartThanAssumed(t *testing.T) {
	if found := failureOf(t, func(t *rapid.T) { clockScenario(t, absoluteDeadline) }); !strings.Contains(found, "was accepted") {
		t.Errorf("with absolute deadlines the scenario found no daemon that serves with an older table: %s", found)
	}
	if sim := clockScenario(t, noMutation); sim.accepted != 5 {
		t.Error("the change was not accepted")
	}
}

// clockScenario publishes a change at daemon 0 while daemons 1 and 2 are disconnected from the others
// and from the log.
func clockScenario(t fataler, injected mutation) *simulation {
	sim := newSimulation(t, 5, 1, injected)
	for _, n := range sim.nodes {
		n.clockOffset = 0
		sim.start(n)
	}
	sim.nodes["entry-1"].clockOffset, sim.nodes["entry-2"].clockOffset = 1500*time.Millisecond, -1500*time.Millisecond
	sim.tick(time.Second)
	sim.tick(time.Second)
	publisher := sim.nodes["entry-0"]
	sim.operators[0].file = publisher.state.TableState().Table()
	sim.connectOnly([]string{"entry-0", "entry-3", "entry-4", "log"}, []string{"entry-1", "entry-2"})
	request, _ := sim.nextChange(sim.operators[0], []int{0})
	sim.propose(publisher, request)
	for range 30 {
		sim.tick(500 * time.Millisecond)
	}
	return sim
}

// failureOf runs a property and returns its failure message, or an empty string if it passes.
func failureOf(t *testing.T, property func(*rapid.T)) string {
	failure, _ := search.Falsify(t, property)
	return failure.Text
}
