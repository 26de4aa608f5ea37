package relay

import (
	"maps"
	"time"

	"lentilstage.dev/decide/shift"
	"lentilstage.dev/domain/setup"
)

type (
	// timingKey identifies the answers whose times are compared: those of a route, in a property.
	timingKey struct {
		route    string
		property shift.Property
	}

	// timing is a time of an answer.
	timing struct {
		route    string
		endpoint setup.Endpoint
		property shift.Property
		// value is the time: for shift.SlowFirst as a multiple of the prediction, if there is one.
		value float64
		// unfinished is set if the answer had not come by then. Such a time only tells that the answer is
		// slow, if it is.
		unfinished bool
	}
)

const (
	// paceEvents is the number of events after the first whose mean pause is the pace of a stream, so that
	// a slow version shows long before its streams end.
	paceEvents = 4
	// minPredictionMS is the shortest prediction that a time is compared with.
	minPredictionMS = 20
)

// recordTiming compares a time of an answer with those of the old version, in a roll-out, and adds it to
// them if it is one. Times of an endpoint that is still warming up are left out.
func (t *tables) recordTiming(m timing, now time.Time) {
	if now.Before(m.endpoint.WarmAt) {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	key := timingKey{m.route, m.property}
	reference := t.timings[key]
	r, rolling := t.rollouts[m.endpoint.Service]
	rolling = rolling && !r.ended()
	isNew := rolling && m.endpoint.Version == r.state.Target
	value := m.value
	if isNew && r.state.TestsLoad(r.newEndpoints, now) && r.loadRatio > 1 {
		value /= r.loadRatio
	}
	slow, counts := reference.Judge(value, m.unfinished)
	switch {
	case rolling && m.unfinished && counts:
		r.countUnanswered(m.endpoint, shift.Unanswered{First: 1})
	case rolling && counts:
		r.countAnswered(m.endpoint, now)
		r.addTrial(m.property, isNew, slow, now)
		t.mergeOutcomes(r, now)
	}
	if !isNew && !m.unfinished {
		t.timings[key] = reference.With(m.value)
	}
}

// pruneTimings removes the times of routes that the configuration no longer has. The caller holds the lock.
func (t *tables) pruneTimings() {
	routes := map[string]bool{}
	for _, r := range t.config.Routes {
		routes[r.Name] = true
	}
	maps.DeleteFunc(t.timings, func(key timingKey, _ shift.Reference) bool { return !routes[key.route] })
}

// firstEventTiming returns the time to the first event of an attempt, or that of the answer of a plain
// service.
func (a *attempt) firstEventTiming(now time.Time, unfinished bool) timing {
	value := float64(now.Sub(a.sentAt).Milliseconds())
	if a.x.engine() != nil {
		value /= max(a.picked.Wait, minPredictionMS)
	}
	return timing{route: a.x.route.Name, endpoint: a.endpoint, property: shift.SlowFirst, value: value, unfinished: unfinished}
}

// paceTiming returns the mean pause between the first events of a stream, in milliseconds.
func (a *attempt) paceTiming(firstAt, now time.Time, pauses int) timing {
	return timing{
		route: a.x.route.Name, endpoint: a.endpoint, property: shift.SlowPace,
		value: float64(now.Sub(firstAt).Microseconds()) / float64(pauses) / 1000,
	}
}

// recordUnanswered records an attempt that ended before its answer began, since the caller or this daemon
// did not wait longer.
func (a *attempt) recordUnanswered(result outcome, now time.Time) {
	switch result {
	case callerGone, stalled, deadlinePassed, superseded:
		if !a.began {
			a.x.daemon.tables.recordTiming(a.firstEventTiming(now, true), now)
		}
	default:
	}
}
