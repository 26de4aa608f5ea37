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

// searchVariable holds the seed and count of a long search, for instance "7,20000".
const searchVariable = "LENTILSTAGE_SEARCH"

// TestMain fixes the seed, so that each run of the tests gives the same verdict.
func TestMain(m *testing.M) { search.Main(m, 1) }

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// property runs one random world.
func property(weak weakness, stats map[string]int) func(*rapid.T) {
	return func(t *rapid.T) {
		size := rapid.IntRange(3, 5).Draw(t, "daemons")
		w := newWorld(t, size, rapid.Uint64().Draw(t, "seed"), weak)
		for range 3 {
			w.now = w.now.Add(time.Second)
			for _, name := range w.names {
				w.routine(w.nodes[name])
			}
		}
		t.Repeat(w.actions())
		if weak == sound {
			w.settle()
		}
		for name, count := range w.stats {
			stats[name] += count
		}
	}
}

// TestAcceptedTableIsServedByAll guards against a daemon that serves by an older table than
// one that an operator was told to be in force, against a table that goes back, against
// edits that are lost without a report and against a recovered table that differs.
func TestAcceptedTableIsServedByAll(t *testing.T) {
	stats := map[string]int{}
	set("rapid.checks", "150")
	set("rapid.steps", "50")
	rapid.Check(t, property(sound, stats))
	t.Logf("%v", stats)
	for _, name := range []string{"accepted", "applied", "clashes", "copies", "restarts", "snapshots", "refusals", "serving: tail", "serving: peer", "serving: majority"} {
		if stats[name] == 0 {
			t.Errorf("the runs had no case of %q", name)
		}
	}
}

// TestSearchAcceptedTable is the long search. It runs with LENTILSTAGE_SEARCH=SEED,COUNT.
func TestSearchAcceptedTable(t *testing.T) {
	seed, count, ok := strings.Cut(os.Getenv(searchVariable), ",")
	if !ok {
		t.Skip("long search; set " + searchVariable + "=SEED,COUNT")
	}
	set("rapid.seed", seed)
	set("rapid.checks", count)
	set("rapid.steps", "100")
	stats := map[string]int{}
	rapid.Check(t, property(sound, stats))
	t.Logf("%v", stats)
}

// TestWeakenedRulesAreCaught guards against a search that would not see the faults that the
// rules prevent: with one rule switched off it must find a failure.
func TestWeakenedRulesAreCaught(t *testing.T) {
	for _, weak := range []weakness{noMajority, noWait, silenceOnly, fromReceipt, relaysVote} {
		t.Run(string(weak), func(t *testing.T) {
			set("rapid.checks", "2000")
			set("rapid.steps", "50")
			set("rapid.shrinktime", "0s")
			found := failureOf(t, property(weak, map[string]int{}))
			if !strings.Contains(found, "was accepted") {
				t.Errorf("found no daemon that serves by an older table: %s", found)
			}
			t.Log(found)
		})
	}
}

// TestRestartedDaemonForgetsItsConfirmation guards against a majority that counts a daemon
// which has confirmed, was restarted during a log outage and took an older table from
// others. The random search does not find this case within 2,000 runs.
func TestRestartedDaemonForgetsItsConfirmation(t *testing.T) {
	if found := failureOf(t, func(t *rapid.T) { restartScript(t, noRestartWait) }); !strings.Contains(found, "was accepted") {
		t.Errorf("without the wait the script found no daemon that serves by an older table: %s", found)
	}
	w := restartScript(t, sound)
	if w.accepted != 0 {
		t.Error("the change was accepted without a majority")
	}
	w.settle()
	if w.accepted != 5 {
		t.Error("the change was not accepted after the log was back")
	}
}

// restartScript publishes at daemon 0. Daemon 1 confirms, is restarted and asks 2, 3 and 4.
// Daemon 2 confirms after that. Daemons 1, 3 and 4 are then cut off from 0 and 2.
func restartScript(t failer, weak weakness) *world {
	w := newWorld(t, 5, 1, weak)
	w.tick(time.Second)
	w.tick(time.Second)
	publisher, restarted := w.nodes["entry-0"], w.nodes["entry-1"]
	w.operators[0].file = publisher.state.Fold().Table()
	w.readsDown = true
	w.only([]string{"entry-0", "entry-1", "log"}, []string{"entry-2", "entry-3", "entry-4"})
	request, _ := w.edit(w.operators[0], []int{0})
	w.propose(publisher, request)
	w.routine(publisher)
	if restarted.state.Next() != 5 {
		t.Fatalf("daemon 1 has not confirmed")
	}
	w.boot(restarted)
	w.only([]string{"entry-1", "entry-2", "entry-3", "entry-4"})
	for range 12 {
		w.tick(time.Second)
	}
	if restarted.state.Next() != 4 {
		t.Fatalf("daemon 1 has not taken the table of the others")
	}
	w.only([]string{"entry-0", "entry-2"}, []string{"entry-1", "entry-3", "entry-4"})
	for range 15 {
		w.tick(time.Second)
	}
	return w
}

// TestClocksFurtherApartThanAssumed guards against a lease that compares another daemon's
// deadline with the own clock: daemon 2 is cut off with daemon 1, whose clock is 3 s ahead.
func TestClocksFurtherApartThanAssumed(t *testing.T) {
	if found := failureOf(t, func(t *rapid.T) { clockScript(t, absoluteTail) }); !strings.Contains(found, "was accepted") {
		t.Errorf("with absolute deadlines the script found no daemon that serves by an older table: %s", found)
	}
	if w := clockScript(t, sound); w.accepted != 5 {
		t.Error("the change was not accepted")
	}
}

func clockScript(t failer, weak weakness) *world {
	w := newWorld(t, 5, 1, weak)
	for _, n := range w.nodes {
		n.offset = 0
		w.boot(n)
	}
	w.nodes["entry-1"].offset, w.nodes["entry-2"].offset = 1500*time.Millisecond, -1500*time.Millisecond
	w.tick(time.Second)
	w.tick(time.Second)
	publisher := w.nodes["entry-0"]
	w.operators[0].file = publisher.state.Fold().Table()
	w.only([]string{"entry-0", "entry-3", "entry-4", "log"}, []string{"entry-1", "entry-2"})
	request, _ := w.edit(w.operators[0], []int{0})
	w.propose(publisher, request)
	for range 30 {
		w.tick(500 * time.Millisecond)
	}
	return w
}

// failureOf runs a property and returns its failure, or an empty text.
func failureOf(t *testing.T, property func(*rapid.T)) string {
	failure, _ := search.Falsify(t, property)
	return failure.Text
}
