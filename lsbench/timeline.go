package main

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type (
	// timeline is the event queue of a discrete-event simulation. It runs functions in the order of
	// their simulated time.
	timeline struct {
		now    time.Time
		order  int64
		events timedEvents
	}

	timedEvent struct {
		at    time.Time
		order int64
		run   func()
	}

	timedEvents []timedEvent

	// latencies is a histogram of durations with a precision of three significant digits.
	latencies struct {
		histogram *hdrhistogram.Histogram
	}
)

// modelStart is the simulated time at which every run starts.
var modelStart = time.Unix(1_000_000, 0)

func newTimeline() *timeline { return &timeline{now: modelStart} }

// after schedules a function to run when the given simulated time has passed.
func (l *timeline) after(wait time.Duration, run func()) {
	l.order++
	heap.Push(&l.events, timedEvent{at: l.now.Add(max(wait, 0)), order: l.order, run: run})
}

// every runs a function at a fixed period for as long as the simulation runs.
func (l *timeline) every(period time.Duration, run func()) {
	l.after(period, func() {
		run()
		l.every(period, run)
	})
}

// runUntil runs all events up to a simulated time since the start.
func (l *timeline) runUntil(end time.Duration) {
	for len(l.events) > 0 && !l.events[0].at.After(modelStart.Add(end)) {
		e := heap.Pop(&l.events).(timedEvent)
		l.now = e.at
		e.run()
	}
}

// elapsed returns the simulated time since the start.
func (l *timeline) elapsed() time.Duration { return l.now.Sub(modelStart) }

func (e timedEvents) Len() int { return len(e) }

func (e timedEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}

func (e timedEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event for container/heap.
func (e *timedEvents) Push(x any) { *e = append(*e, x.(timedEvent)) }

// Pop removes the last event for container/heap.
func (e *timedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newLatencies() latencies {
	return latencies{histogram: hdrhistogram.New(1, time.Hour.Microseconds(), 3)}
}

func (d latencies) record(t time.Duration) {
	_ = d.histogram.RecordValue(min(max(t.Microseconds(), 1), time.Hour.Microseconds()))
}

// percentile returns a percentile in milliseconds; p is from 0 to 100.
func (d latencies) percentile(p float64) float64 {
	return float64(d.histogram.ValueAtQuantile(p)) / 1000
}

// newRandom returns a random generator for one purpose of a seeded run. Separate generators keep
// the numbers for one purpose independent of how many are drawn for another.
func newRandom(seed uint64, purpose string, number int) *rand.Rand {
	mixed := uint64(number)
	for _, b := range []byte(purpose) {
		mixed = mixed*1099511628211 + uint64(b)
	}
	return rand.New(rand.NewPCG(seed, mixed))
}

// exponential returns an exponentially distributed wait with the given mean.
func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}
