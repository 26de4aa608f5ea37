package relay

import (
	"testing"
	"time"

	"lentilstage.dev/decide/shift"
	"lentilstage.dev/decide/suspect"
)

// TestTotalsLeaveTheReceiverOut guards against a daemon that counts its own loads, use or answers
// twice, once by itself and once in what its hub tells.
func TestTotalsLeaveTheReceiverOut(t *testing.T) {
	now := time.Unix(1000, 0)
	hub := newTables(Settings{Name: "entry-1"}, "first")
	tell := func(name string, factor int64) {
		n := int(factor)
		hub.heard(message{
			Daemon: name, Incarnation: "1", Loads: map[uint32]load{7: {Requests: n, Reading: 10 * n, Memory: 100 * n}},
			Used: map[string]int64{"counter": factor}, Outcomes: map[string]outcomes{"pool": {Target: "v2", Good: factor, Bad: factor}},
		}, now)
	}
	tell("entry-2", 1)
	tell("entry-3", 2)
	m := hub.sums(now, false).without("entry-3")
	if got, want := m.Loads[7], (load{Requests: 1, Reading: 10, Memory: 100}); got != want {
		t.Errorf("loads %+v, want %+v", got, want)
	}
	if got := m.Used["counter"]; got != 1 {
		t.Errorf("used %d, want 1", got)
	}
	if got, want := m.Outcomes["pool"], (outcomes{Target: "v2", Good: 1, Bad: 1}); got != want {
		t.Errorf("outcomes %+v, want %+v", got, want)
	}
}

// TestNewHubTellsNoHistory guards against a hub that has just started and tells what the others have
// used since their start as if they used it now: their accounts would be refused for seconds.
func TestNewHubTellsNoHistory(t *testing.T) {
	now := time.Unix(1000, 0)
	hub := newTables(Settings{Name: "entry-1"}, "first")
	// A daemon that has used nothing tells none.
	hub.heard(message{Daemon: "entry-3", Incarnation: "1"}, now)
	used := func(daemon string, incarnation string, amount, ageMS int64) int64 {
		now = now.Add(200 * time.Millisecond)
		hub.heard(message{Daemon: daemon, Incarnation: incarnation, Used: map[string]int64{"counter": amount}, AgeMS: ageMS}, now)
		return hub.sums(now, false).without("entry-9").Used["counter"]
	}
	for i, step := range []struct {
		daemon, incarnation string
		amount, ageMS, want int64
	}{
		{"entry-2", "1", 1_000_000, 60_000, 0},
		{"entry-2", "1", 1_000_030, 60_200, 30},
		{"entry-3", "1", 50, 1_200, 80},
		{"entry-3", "1", 70, 1_400, 100},
		// A process that has started again begins its count anew, and the sum must not fall.
		{"entry-2", "2", 5, 300, 105},
	} {
		if got := used(step.daemon, step.incarnation, step.amount, step.ageMS); got != step.want {
			t.Errorf("step %d: the hub tells %d, want %d", i, got, step.want)
		}
	}
}

// TestNewHubPlansForPresentWork guards against a hub that takes all that the others have placed since
// their start, or while it did not hear them, for demand of this moment, and orders endpoints for it.
func TestNewHubPlansForPresentWork(t *testing.T) {
	now := time.Unix(1000, 0)
	hub := newTables(Settings{Name: "entry-1"}, "first")
	for i, step := range []struct {
		incarnation string
		pause       time.Duration
		placed      int64
		want        float64
	}{
		{"1", 0, 60_000, 0},
		{"1", 200 * time.Millisecond, 61_000, 1},
		{"1", 5 * time.Second, 90_000, 1},
		{"1", 200 * time.Millisecond, 91_500, 2.5},
		// A process that has started again begins its count anew, and the sum must not fall.
		{"2", 200 * time.Millisecond, 500, 2.5},
		{"2", 200 * time.Millisecond, 1_500, 3.5},
	} {
		now = now.Add(step.pause)
		hub.heard(message{Daemon: "entry-2", Incarnation: step.incarnation, Work: map[string]int64{"pool": step.placed}}, now)
		if _, got := hub.fleet("pool", now); got != step.want {
			t.Errorf("step %d: work of %g s, want %g", i, got, step.want)
		}
	}
}

// TestRolloutIsShared guards against a daemon that starts late and begins an order's time anew, sends
// requests to a version that another one has stopped, or tells another verdict after a final one.
func TestRolloutIsShared(t *testing.T) {
	now := time.Unix(1000, 0)
	order := Rollout{Service: "pool", Target: "v2", Length: 10 * time.Second}
	late := func(o outcomes) *rollout {
		d := newTables(Settings{Name: "entry-2"}, "first")
		d.rollOut(order, Record{Key: "pool", Offset: 5}, now)
		d.heard(message{Daemon: "entry-1", Incarnation: "1", Outcomes: map[string]outcomes{"pool": o}}, now)
		d.verdicts(now)
		return d.rollouts["pool"]
	}
	if r := late(outcomes{Target: "v2", Good: 10, AgeMS: 8000}); r.state.Verdict(now) != shift.Completed {
		t.Errorf("%s at the age that another daemon tells, want %s", r.state.Verdict(now), shift.Completed)
	}
	if r := late(outcomes{Target: "v2", Stopped: true}); r.state.ToNew(0) {
		t.Error("a request goes to a version that another daemon has stopped")
	}
	d := newTables(Settings{Name: "entry-3"}, "first")
	d.rollOut(order, Record{Key: "pool", Offset: 5}, now)
	d.heard(message{Daemon: "entry-1", Incarnation: "1", Outcomes: map[string]outcomes{"pool": {Target: "v2", Ended: shift.RolledBack}}}, now)
	if changed := d.verdicts(now); len(changed) != 0 || d.rollouts["pool"].state.ToNew(0) {
		t.Errorf("verdicts %v after a final one was told", changed)
	}
	if d.rollOut(Rollout{Service: "pool", Target: "v1"}, Record{Key: "pool", Offset: 4}, now) {
		t.Error("an older order replaces a newer one")
	}
	if got := d.snapshot().Operators; len(got) != 1 || got[0].Key != "pool" {
		t.Errorf("snapshot has %v, want the order", got)
	}
}

// TestOldHubCountsOnce guards against a daemon that was a hub, follows another one now, and counts what
// it was told then beside what its hub tells of the same daemons.
func TestOldHubCountsOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newTables(Settings{Name: "entry-1"}, "first")
	d.rollOut(Rollout{Service: "pool", Target: "v2", Length: 10 * time.Second}, Record{Key: "pool", Offset: 5}, now)
	told := message{
		Daemon: "entry-2", Incarnation: "1", Breaks: map[suspect.Key]int{7: 2},
		Outcomes: map[string]outcomes{"pool": {Target: "v2", Good: 2, Bad: 2}},
	}
	d.heard(told, now)
	told.Daemon, told.Totals = "entry-3", &totals{Daemons: 3}
	d.heardTotals(told, now)
	d.verdicts(now)
	if d.rollouts["pool"].state.Stopped() {
		t.Error("two bad answers stop the new version")
	}
	if d.kept(7, now) {
		t.Error("two breaks keep a request out")
	}
}

// TestAnswersReachFollowers guards against a follower that goes on to suspect a request which another
// daemon has had an answer to, since the hub does not tell of it.
func TestAnswersReachFollowers(t *testing.T) {
	now := time.Unix(1000, 0)
	hub, follower := newTables(Settings{Name: "entry-1"}, "first"), newTables(Settings{Name: "entry-2"}, "first")
	follower.attempted(7, broken, now)
	now = now.Add(time.Second)
	hub.heard(message{Daemon: "entry-3", Incarnation: "1", AnsweredMS: map[suspect.Key]int64{7: 200}}, now)
	told := hub.sums(now, false).without("entry-2")
	told.Daemon, told.Totals = "entry-1", &totals{Daemons: 3}
	follower.heardTotals(told, now)
	if got := follower.digest(now).Breaks[7]; got != 0 {
		t.Errorf("%d breaks are told of a request that was answered after them", got)
	}
}
