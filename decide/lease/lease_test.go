package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstage.dev/decide/search"
)

// world is an oracle: a log with conditional appends, and daemons that act, pause and end at
// any moment.
type (
	world struct {
		now     time.Time
		records []Record
		daemons []*daemon
		acts    []act
		delayed []delayedAppend
	}

	daemon struct {
		name        string
		incarnation int
		state       State
		pausedUntil time.Time
	}

	act struct {
		at     time.Time
		holder string
		fence  int64
	}

	// delayedAppend is an append without an answer that may still be carried out.
	delayedAppend struct {
		at     time.Time
		action Append
	}
)

const length = 3 * time.Second

// TestMain fixes the seed, so that each run of the tests gives the same verdict.
func TestMain(m *testing.M) { search.Main(m, 1) }

// TestLeaseSearch guards against two holders that act by turns within a lease, against a
// fencing number that two daemons send, and against one that falls. Daemons pause at any
// point between reading and appending, appends are lost or carried out late, and processes
// end and start again.
func TestLeaseSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.Unix(1000, 0)}
		for i := range rapid.IntRange(2, 5).Draw(t, "daemons") {
			w.daemons = append(w.daemons, newDaemon(fmt.Sprintf("entry-%d", i), 1))
		}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			w.step(t)
		}
		w.check(t)
	})
}

func newDaemon(name string, incarnation int) *daemon {
	return &daemon{name: name, incarnation: incarnation, state: New(name, fmt.Sprint(incarnation), length)}
}

func (w *world) step(t *rapid.T) {
	var waiting []delayedAppend
	for _, d := range w.delayed {
		if d.at.After(w.now) {
			waiting = append(waiting, d)
			continue
		}
		w.append(d.action)
	}
	w.delayed = waiting
	i := rapid.IntRange(0, len(w.daemons)-1).Draw(t, "daemon")
	d := w.daemons[i]
	if w.now.Before(d.pausedUntil) {
		return
	}
	switch rapid.IntRange(0, 19).Draw(t, "event") {
	case 0:
		d.pausedUntil = w.now.Add(time.Duration(rapid.IntRange(100, 8000).Draw(t, "pause")) * time.Millisecond)
	case 1:
		w.daemons[i] = newDaemon(d.name, d.incarnation+1)
	default:
		w.act(t, d)
	}
}

// act lets a daemon make its next step, and a call if it holds the duty.
func (w *world) act(t *rapid.T, d *daemon) {
	switch a := d.state.Next(w.now).(type) {
	case Read:
		var record Record
		if len(w.records) > 0 {
			record = w.records[len(w.records)-1]
		}
		d.state = d.state.WithRead(record, int64(len(w.records)), w.now)
	case Append:
		sentAt := w.now
		switch rapid.IntRange(0, 9).Draw(t, "answer") {
		case 0:
			// The append is carried out and its answer is lost.
			w.append(a)
			d.state = d.state.WithUnknown(w.now)
		case 1:
			// The append has no answer and is carried out later, if its condition still holds.
			late := time.Duration(rapid.IntRange(1, 6000).Draw(t, "late")) * time.Millisecond
			w.delayed = append(w.delayed, delayedAppend{at: w.now.Add(late), action: a})
			d.state = d.state.WithUnknown(w.now)
		default:
			if !w.append(a) {
				d.state = d.state.WithUnknown(w.now)
				break
			}
			// The answer takes time, in which the lease already runs.
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "answerMS")) * time.Millisecond)
			d.state = d.state.WithAppended(a, int64(len(w.records)), sentAt)
		}
	}
	if fence, ok := d.state.Holding(w.now); ok {
		w.acts = append(w.acts, act{at: w.now, holder: d.name, fence: fence})
	}
}

func (w *world) append(a Append) bool {
	if a.At != int64(len(w.records)) {
		return false
	}
	w.records = append(w.records, a.Record)
	return true
}

func (w *world) check(t *rapid.T) {
	holders := map[int64]string{}
	for i, a := range w.acts {
		if holder, ok := holders[a.fence]; ok && holder != a.holder {
			t.Fatalf("%s and %s both send fence %d", holder, a.holder, a.fence)
		}
		holders[a.fence] = a.holder
		if i > 0 && a.fence < w.acts[i-1].fence {
			t.Fatalf("fence falls from %d of %s to %d of %s", w.acts[i-1].fence, w.acts[i-1].holder, a.fence, a.holder)
		}
		// A, B, A within a lease.
		other := false
		for j := i - 1; j >= 0 && a.at.Sub(w.acts[j].at) < length; j-- {
			if w.acts[j].holder != a.holder {
				other = true
			} else if other {
				t.Fatalf("%s acts again within a lease of another holder", a.holder)
			}
		}
	}
}

// TestSomeoneHolds guards against a duty that no one takes while the log answers.
func TestSomeoneHolds(t *testing.T) {
	w := &world{now: time.Unix(1000, 0)}
	d := newDaemon("entry-1", 1)
	end := w.now.Add(20 * time.Second)
	w.records = []Record{{Holder: "entry-2", Incarnation: "1", Fence: 1}}
	for w.now.Before(end) {
		switch a := d.state.Next(w.now).(type) {
		case Read:
			d.state = d.state.WithRead(w.records[len(w.records)-1], int64(len(w.records)), w.now)
		case Append:
			if !w.append(a) {
				t.Fatal("append conflicts though no one else appends")
			}
			d.state = d.state.WithAppended(a, int64(len(w.records)), w.now)
		}
		if _, ok := d.state.Holding(w.now); ok {
			return
		}
		w.now = w.now.Add(200 * time.Millisecond)
	}
	t.Fatal("a duty whose holder is gone is not taken over in 20 s")
}

// TestPauseAfterFailure guards against a daemon that calls the platform as fast as it can
// while the platform refuses its calls.
func TestPauseAfterFailure(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New("entry-1", "1", length).WithUnknown(now)
	if action := s.Next(now.Add(100 * time.Millisecond)); action != nil {
		t.Errorf("%T right after a failure", action)
	}
	if _, ok := s.Next(now.Add(500 * time.Millisecond)).(Read); !ok {
		t.Error("no read half a second after a failure")
	}
}
