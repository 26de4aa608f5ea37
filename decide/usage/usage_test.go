package usage

import (
	"maps"
	"testing"
	"time"
)

// TestTotals guards against counts that are lost when a process ends, that are added twice by a
// repeated or late digest, or that are in the wrong window.
func TestTotals(t *testing.T) {
	const length = 5 * time.Second
	start := time.Unix(1000, 0)
	s := New("entry-1", "first", length)
	window := s.Window(start)
	s.Count("counter", start)
	s.Count("counter", start.Add(4900*time.Millisecond))
	s.Count("counter", start.Add(length))
	early := map[int64]Counts{window: {"counter": 1}}
	later := map[int64]Counts{window: {"counter": 3, "studio": 1}}
	s.Merge("entry-2", "first", later)
	s.Merge("entry-2", "first", early)
	s.Merge("entry-2", "first", later)
	s.Merge("entry-2", "second", map[int64]Counts{window: {"counter": 10}})
	if got, want := s.Totals(window), (Counts{"counter": 15, "studio": 1}); !maps.Equal(got, want) {
		t.Errorf("totals %v, want %v", got, want)
	}
	if got := s.Totals(window + 1)["counter"]; got != 1 {
		t.Errorf("%d requests in the next window, want 1", got)
	}
	if got := s.End(window); !got.Equal(start.Add(length)) {
		t.Errorf("window ends at %v, want the start plus the length of a window", got)
	}
}

// TestOldWindowsAreDropped guards against old counts that are kept forever.
func TestOldWindowsAreDropped(t *testing.T) {
	s := New("entry-1", "first", time.Second)
	for i := range 100 {
		s.Count("counter", time.Unix(int64(i), 0))
		s.Merge("entry-2", "first", map[int64]Counts{int64(i): {"counter": 1}})
	}
	for p, windows := range s.processes {
		if len(windows) > retainedWindows+1 {
			t.Errorf("%d windows of %s kept, want at most retainedWindows+1", len(windows), p.daemon)
		}
	}
}

// TestGroups guards against counts of another group that are added twice, and against counts of a
// process that has ended and that only the group's former hub had received.
func TestGroups(t *testing.T) {
	const length = 5 * time.Second
	start := time.Unix(1000, 0)
	s := New("entry-1", "first", length)
	window := s.Window(start)
	report := func(count int64) map[int64]Counts { return map[int64]Counts{window: {"counter": count}} }
	s.Count("counter", start)
	s.Merge("entry-2", "first", report(3))
	s.MergeGroup("b", report(20))
	s.MergeGroup("b", report(25))
	s.MergeGroup("b", report(20))
	s.MergeGroup("c", report(7))
	if got := s.Totals(window)["counter"]; got != 1+3+25+7 {
		t.Errorf("%d requests in all groups, want 36", got)
	}
	// The former hub of the own group had counted a process that has ended since.
	s.MergeGroup("", report(9))
	if got := s.OwnGroups()[window]["counter"]; got != 9 {
		t.Errorf("%d requests in the own group, want 9", got)
	}
	s.Merge("entry-2", "first", report(11))
	if got := s.OwnGroups()[window]["counter"]; got != 12 {
		t.Errorf("%d requests in the own group, want 12", got)
	}
}
