package hubs

import (
	"testing"
	"time"
)

// TestLateLeave guards against late announcements and messages of a process that has left: they must not
// bring it back, remove a process that has started under its name, or delay its end.
func TestLateLeave(t *testing.T) {
	now := time.Unix(1000, 0)
	member := func(name, incarnation string) Member {
		return Member{Name: name, DataCentre: "centre-0", Speed: 1, Incarnation: incarnation}
	}
	s := New(member("entry-0", "1"))
	old, current := Report{Member: member("entry-1", "old")}, Report{Member: member("entry-1", "new")}
	s.Observe(old, now)
	check := func(what string, want int) {
		t.Helper()
		s.Departures(now)
		if got := s.Count(); got != want {
			t.Errorf("%s: %d daemons, want %d", what, got, want)
		}
	}
	s.Leave(Leave{Name: "entry-1", Incarnation: "old", At: now.Add(8 * time.Second)}, now)
	check("a daemon that still uses its part", 2)
	s.Leave(Leave{Name: "entry-1", Incarnation: "old", At: now}, now)
	check("a daemon that has left", 1)
	now = now.Add(100 * time.Millisecond)
	s.Leave(Leave{Name: "entry-1", Incarnation: "old", At: now.Add(8 * time.Second)}, now)
	s.Observe(old, now)
	s.List(old.Member, now)
	s.Refer(Report{Member: old.Member, SeenAt: now}, now)
	check("late messages and records of the old process", 1)
	s.Observe(current, now)
	check("a new process of the same name", 2)
	s.Leave(Leave{Name: "entry-1", Incarnation: "old", At: now.Add(-time.Second)}, now)
	check("a late leave of the old process", 2)
	if r, _ := s.Member("entry-1"); r.Incarnation != "new" || r.Leaving {
		t.Errorf("the new process is %+v, want one that does not leave", r)
	}
	s.List(member("entry-2", "a"), now)
	s.Leave(Leave{Name: "entry-2", Incarnation: "b", At: now}, now)
	check("a daemon of which only an earlier record is known", 2)
	s.Leave(Leave{Name: "entry-0", Incarnation: "1", At: now}, now)
	check("a leave of this daemon that it has not announced", 2)
}
