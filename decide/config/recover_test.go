package config

import (
	"fmt"
	"testing"
	"time"

	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

// TestSnapshotFollowsRank guards against a table that expires from the log: each rank must write a
// snapshot after its delay if the lower ranks do not, and a snapshot that reached the log long after
// it was captured must not count as new.
func TestSnapshotFollowsRank(t *testing.T) {
	sim := newSimulation(t, 3, 1, noMutation)
	read := func(s State, at time.Duration) State {
		page := wire.LogPage{Records: sim.records[min(s.ReadOffset(), int64(len(sim.records))):], Next: int64(len(sim.records))}
		return s.Update(Page{Page: page, Sent: epoch.Add(at)})
	}
	due := func(s State, at time.Duration, rank int) bool {
		return s.SnapshotDue(epoch.Add(at), testRetention, rank, time.Time{})
	}
	s := read(New("entry-0", DefaultRules, epoch), 15*time.Second)
	for _, c := range []struct {
		at   time.Duration
		rank int
		want bool
	}{
		{19 * time.Second, 0, false},
		{20 * time.Second, 0, true},
		{20 * time.Second, 1, false},
		{22 * time.Second, 1, true},
		{23 * time.Second, 2, false},
		{24 * time.Second, 2, true},
		{25 * time.Second, 2, false}, // The lease of the last tail read has expired.
	} {
		if got := due(s, c.at, c.rank); got != c.want {
			t.Errorf("SnapshotDue after %s at rank %d = %t, want %t", c.at, c.rank, got, c.want)
		}
	}
	if s.SnapshotDue(epoch.Add(21*time.Second), testRetention, 0, epoch.Add(20*time.Second)) {
		t.Error("snapshot due again 1 s after an attempt")
	}

	sim.now = epoch.Add(50 * time.Second)
	sim.appendRecord(s.Snapshot("late", epoch.Add(20*time.Second)))
	if s = read(s, 50*time.Second); !due(s, 51*time.Second, 0) {
		t.Error("no snapshot due, although the newest one was captured 30 s before it reached the log")
	}
	sim.appendRecord(s.Snapshot("new", sim.now))
	if s = read(s, 50*time.Second); due(s, 51*time.Second, 0) || due(s, 59*time.Second, 0) {
		t.Error("snapshot due after a new snapshot")
	}
}

// TestRecoveryNeedsAllRecords guards against a recovery from a snapshot whose following records have
// expired, and against a daemon that reports ready after reading only a part of the log.
func TestRecoveryNeedsAllRecords(t *testing.T) {
	sim := newSimulation(t, 3, 1, noMutation)
	early := sim.states[2]
	snapshot := table.Record{Kind: table.SnapshotRecord, ID: "s", Time: epoch, Snapshot: &table.Snapshot{State: early}}
	sim.appendRecord(snapshot)
	page := func(first, last int64) Page {
		return Page{Page: wire.LogPage{Records: sim.records[first:last], Oldest: first, Next: 5}, Sent: epoch}
	}
	lacking := New("entry-0", DefaultRules, epoch).Update(page(3, 5))
	if lacking.Ready() || lacking.Next() != 0 {
		t.Errorf("recovered without record 2, at offset %d", lacking.Next())
	}
	part := New("entry-0", DefaultRules, epoch).Update(page(2, 4))
	if part.Ready() || part.Next() != 0 {
		t.Errorf("ready with a part of the log, at offset %d", part.Next())
	}
	whole := part.Update(Page{Page: wire.LogPage{Records: sim.records[4:], Oldest: 2, Next: 5}, Sent: epoch})
	if !whole.Ready() || encode(whole.TableState()) != encode(sim.states[5]) {
		t.Errorf("the recovered state differs: %s", encode(whole.TableState()))
	}
	partial := New("entry-0", DefaultRules, epoch).Update(Page{Page: wire.LogPage{Records: sim.records[:2], Next: 5}, Sent: epoch})
	if partial.Ready() || partial.Next() != 0 {
		t.Errorf("ready with the first records only, at offset %d", partial.Next())
	}
}

// TestAskReachesAMajorityAtTarget guards against daemons that reject requests during a log outage
// because they query too few peers within a lease, and against more than 27 queries per second.
func TestAskReachesAMajorityAtTarget(t *testing.T) {
	for _, size := range []int{3, 9, 390} {
		var names []string
		for i := range size {
			names = append(names, fmt.Sprintf("entry-%d", i))
		}
		s := New("entry-0", DefaultRules, epoch).Update(Listed{Names: names})
		s = s.Update(Page{Page: wire.LogPage{}, Sent: epoch})
		most := 0
		for second := range 60 {
			now := epoch.Add(time.Duration(second) * time.Second)
			asked := s.PeersToQuery(now)
			most = max(most, len(asked))
			for _, name := range asked {
				s = s.Update(PeerReport{Entry: wire.DigestEntry{Process: name, Next: 1}, Sent: now})
			}
			if second == 0 {
				// The table state is at the offset that the peers report.
				s.tableState = s.tableState.Skip(0)
			}
			if serving, reason := s.Serving(now); !serving && second > 10 {
				t.Fatalf("%d daemons, not serving after %d s: %s", size, second, reason)
			}
		}
		if most > 27 {
			t.Errorf("%d daemons: %d queried per second, want at most 27", size, most)
		}
	}
}
