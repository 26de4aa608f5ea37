package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstage.dev/decide/search"
	"lentilstage.dev/domain/value"
)

type (
	// simulation models a log with conditional appends, and daemons that act, pause and restart at
	// any time. It records the actions of the holders and checks them at the end.
	simulation struct {
		now     time.Time
		records []Record
		// era rises when the log is restored from a copy, of which copied is the length.
		era      int64
		copied   int
		restores bool
		daemons  []*daemon
		actions  []act
		delayed  []delayedAppend
	}

	daemon struct {
		name        string
		incarnation int
		state       State
		pausedUntil time.Time
	}

	// act is one action of a daemon as the holder of the lease.
	act struct {
		at     time.Time
		holder string
		fence  int64
	}

	// delayedAppend is an append without a response that may still reach the log.
	delayedAppend struct {
		at     time.Time
		action Append
	}
)

const testLease = 3 * time.Second

// TestMain fixes the seed, so that each run of the tests gives the same result.
func TestMain(m *testing.M) { search.Main(m, 1) }

// TestLeaseSearch guards against two holders that alternate within one lease, against two daemons that
// send the same fencing number, and against a fencing number that decreases. Daemons pause at any point
// between reading and appending, appends are lost or delayed, and processes restart.
func TestLeaseSearch(t *testing.T) { searchLease(t, false) }

// TestRestoredLogSearch guards against the same failures while the log is restored from copies: the record of
// the holder is lost, a former holder is named again, and an append without a response is applied at an offset
// that was given out again.
func TestRestoredLogSearch(t *testing.T) { searchLease(t, true) }

func searchLease(t *testing.T, restores bool) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: time.Unix(1000, 0), restores: restores}
		for i := range rapid.IntRange(2, 5).Draw(t, "daemons") {
			s.daemons = append(s.daemons, newDaemon(fmt.Sprintf("entry-%d", i), 1))
		}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			s.runEvent(t)
		}
		s.checkActions(t)
	})
}

func newDaemon(name string, incarnation int) *daemon {
	return &daemon{name: name, incarnation: incarnation, state: New(name, fmt.Sprint(incarnation), testLease)}
}

func (s *simulation) runEvent(t *rapid.T) {
	var waiting []delayedAppend
	for _, d := range s.delayed {
		if d.at.After(s.now) {
			waiting = append(waiting, d)
			continue
		}
		s.append(d.action)
	}
	s.delayed = waiting
	i := rapid.IntRange(0, len(s.daemons)-1).Draw(t, "daemon")
	d := s.daemons[i]
	if s.now.Before(d.pausedUntil) {
		return
	}
	switch rapid.IntRange(0, 23).Draw(t, "event") {
	case 20:
		if s.restores {
			s.copied = len(s.records)
		}
	case 21:
		// A copy without any record is left out: a daemon that starts cannot tell it from a new log.
		if s.restores && s.copied > 0 {
			s.records, s.era = s.records[:s.copied:s.copied], s.era+1
		}
	case 0:
		d.pausedUntil = s.now.Add(time.Duration(rapid.IntRange(100, 8000).Draw(t, "pause")) * time.Millisecond)
	case 1:
		s.daemons[i] = newDaemon(d.name, d.incarnation+1)
	default:
		s.act(t, d)
	}
}

// act runs a daemon's next action, and records an act if it holds the lease.
func (s *simulation) act(t *rapid.T, d *daemon) {
	switch a := d.state.Next(s.now).(type) {
	case Read:
		var record Record
		if len(s.records) > 0 {
			record = s.records[len(s.records)-1]
		}
		d.state = d.state.WithRead(record, s.end(), s.now)
	case Append:
		sentAt := s.now
		switch rapid.IntRange(0, 9).Draw(t, "answer") {
		case 0:
			// The append succeeds and its response is lost.
			s.append(a)
			d.state = d.state.WithFailure(s.now)
		case 1:
			// The append gets no response and is applied later if its condition still holds.
			late := time.Duration(rapid.IntRange(1, 6000).Draw(t, "late")) * time.Millisecond
			s.delayed = append(s.delayed, delayedAppend{at: s.now.Add(late), action: a})
			d.state = d.state.WithFailure(s.now)
		default:
			if !s.append(a) {
				d.state = d.state.WithFailure(s.now)
				break
			}
			// The lease already runs while the response is in flight.
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "answerMS")) * time.Millisecond)
			d.state = d.state.WithAppended(a, s.end(), sentAt)
		}
	}
	if fence, ok := d.state.Holding(s.now); ok {
		s.actions = append(s.actions, act{at: s.now, holder: d.name, fence: fence})
	}
}

// end returns the position after the log's last record.
func (s *simulation) end() value.Position {
	return value.Position{Era: s.era, Offset: int64(len(s.records))}
}

func (s *simulation) append(a Append) bool {
	if a.At != int64(len(s.records)) {
		return false
	}
	s.records = append(s.records, a.Record)
	return true
}

func (s *simulation) checkActions(t *rapid.T) {
	holders := map[int64]string{}
	for i, a := range s.actions {
		if holder, ok := holders[a.fence]; ok && holder != a.holder {
			t.Fatalf("%s and %s both sent fencing number %d", holder, a.holder, a.fence)
		}
		holders[a.fence] = a.holder
		if i > 0 && a.fence < s.actions[i-1].fence {
			t.Fatalf("fencing number decreased from %d of %s to %d of %s", s.actions[i-1].fence, s.actions[i-1].holder, a.fence, a.holder)
		}
		// Detect the sequence A, B, A within one lease.
		interleaved := false
		for j := i - 1; j >= 0 && a.at.Sub(s.actions[j].at) < testLease; j-- {
			if s.actions[j].holder != a.holder {
				interleaved = true
			} else if interleaved {
				t.Fatalf("%s acted again within one lease of another holder's action", a.holder)
			}
		}
	}
}

// TestTakeoverFromDeadHolder guards against a lease that nobody takes over although the log is
// available.
func TestTakeoverFromDeadHolder(t *testing.T) {
	s := &simulation{now: time.Unix(1000, 0)}
	d := newDaemon("entry-1", 1)
	end := s.now.Add(20 * time.Second)
	s.records = []Record{{Holder: "entry-2", Incarnation: "1", Fence: 1}}
	for s.now.Before(end) {
		switch a := d.state.Next(s.now).(type) {
		case Read:
			d.state = d.state.WithRead(s.records[len(s.records)-1], s.end(), s.now)
		case Append:
			if !s.append(a) {
				t.Fatal("append conflicts without another writer")
			}
			d.state = d.state.WithAppended(a, s.end(), s.now)
		}
		if _, ok := d.state.Holding(s.now); ok {
			return
		}
		s.now = s.now.Add(200 * time.Millisecond)
	}
	t.Fatal("lease of a dead holder was not taken over within 20 s")
}

// TestBackoffAfterFailure guards against a daemon that retries without a pause while the platform
// rejects its calls.
func TestBackoffAfterFailure(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New("entry-1", "1", testLease).WithFailure(now)
	if action := s.Next(now.Add(100 * time.Millisecond)); action != nil {
		t.Errorf("action %T 100 ms after a failure, want none", action)
	}
	if _, ok := s.Next(now.Add(500 * time.Millisecond)).(Read); !ok {
		t.Error("no read 500 ms after a failure")
	}
}
