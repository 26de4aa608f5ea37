package relay

import (
	"testing"
	"time"

	"lentilstage.dev/domain/setup"
)

// TestLeaveKeepsUse guards against a leaving daemon whose last counts are forgotten, so that its account may use them
// again, and against late messages that make it share the allowances again.
func TestLeaveKeepsUse(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newTestDaemon(t, &now)
	d.tables.config = &setup.Config{}
	const account = "counter"
	d.tables.applyConfig(&setup.Config{Version: 1, Accounts: map[string]setup.Account{account: {Name: account, Rate: 100, Burst: 100}}},
		Record{Key: "config"}, now)
	now = now.Add(10 * time.Second)
	digest := func(used int64, leaves ...leave) message {
		return message{
			Daemon: "entry-3", Incarnation: "old", DataCentre: "a", Digest: true, AgeMS: 60000,
			Used: map[string]int64{account: used}, Leaves: leaves,
		}
	}
	from := "127.0.0.1:9"
	d.gossip.handle(digest(1000), 0, from)
	now = now.Add(100 * time.Millisecond)
	d.gossip.handle(digest(1000, leave{Name: "entry-3", Incarnation: "old", InMS: 8000}), 0, from)
	if got := d.members.count(); got != 2 {
		t.Errorf("%d daemons while one leaves, want 2", got)
	}
	now = now.Add(100 * time.Millisecond)
	d.gossip.handle(digest(1080, leave{Name: "entry-3", Incarnation: "old"}), 0, from)
	if got := d.members.count(); got != 1 {
		t.Errorf("%d daemons after one has left, want 1", got)
	}
	if d.tables.takeAllowance(account, 60, now).Admitted {
		t.Error("what the daemon used last is not deducted")
	}
	// A message that was sent before, and a late one of another daemon's list.
	d.gossip.handle(digest(1080), 0, from)
	now = now.Add(2 * time.Second)
	if got := d.members.count(); got != 1 || d.tables.silentDaemons(now) != 0 {
		t.Errorf("%d daemons, %d silent after a late message; want 1 and 0", got, d.tables.silentDaemons(now))
	}
	if !d.tables.takeAllowance(account, 95, now).Admitted {
		t.Error("a part of the allowance is reserved for a daemon that has left")
	}
	next := digest(0)
	next.Incarnation = "successor"
	d.gossip.handle(next, 0, from)
	if got := d.members.count(); got != 2 {
		t.Errorf("%d daemons after one has started again, want 2", got)
	}
}

// TestLeftDataCentre guards against the reserved parts of a data centre whose last daemon has left.
func TestLeftDataCentre(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newTestDaemon(t, &now)
	sum := message{
		Daemon: "entry-9", Incarnation: "x", DataCentre: "b", Sum: true, AgeMS: 60000, Used: map[string]int64{},
		Totals: &totals{Daemons: 1},
	}
	d.gossip.handle(sum, 0, "127.0.0.1:9")
	now = now.Add(5 * time.Second)
	if got := d.tables.silentDaemons(now); got != 1 {
		t.Fatalf("%d silent daemons, want 1", got)
	}
	d.applyLeaves([]leave{{Name: "entry-9", Incarnation: "x"}}, now)
	if got := d.tables.silentDaemons(now); got != 0 || d.members.count() != 1 {
		t.Errorf("%d silent daemons of %d after the last one of a data centre has left, want 0 of 1", got, d.members.count())
	}
}
