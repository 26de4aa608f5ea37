package relay

import (
	"time"

	"lentilstage.dev/domain/setup"
)

const (
	// coldPenaltyFraction of a route's target is added to the predicted wait at a cold endpoint, so that it gets
	// requests only once warm ones are that busy.
	coldPenaltyFraction = 0.25
	// maxColdTime limits the time for which an endpoint is taken for cold. A longer one is taken for an error.
	maxColdTime = 10 * time.Minute
	// unknownColdTime is how long an endpoint that doesn't say whether it is cold is taken for cold before a
	// configuration is known.
	unknownColdTime = 20 * time.Second
)

type (
	// warmth is until when an endpoint is cold.
	warmth struct {
		warmAt time.Time
		// saidAt is when a daemon has received that, in a response or in a registration. registered reports whether the
		// last of it that arrived here was a registration.
		saidAt     time.Time
		registered bool
	}

	// coldReport is what an endpoint has said: for how long it is cold, and how long ago that was.
	coldReport struct {
		_      struct{} `cbor:",toarray"`
		LeftMS int64
		AgeMS  int64
	}
)

// registerWarmth takes up what a registration says. One that says that the endpoint is warm may have been written before
// a response said that it is cold, so that it ends only what a registration has said. isNew reports whether the process has not registered before. The caller holds the lock.
func (t *tables) registerWarmth(e setup.Endpoint, isNew bool, now time.Time) {
	id := shortID(e.ID)
	known := t.warmth[id]
	t.coldStale = true
	switch {
	case !e.WarmAt.IsZero():
		known = warmth{warmAt: e.WarmAt, saidAt: now, registered: true}
		if known.warmAt.Sub(now) > maxColdTime {
			known.warmAt = now.Add(maxColdTime)
		}
	case e.WarmthUnknown && isNew:
		known = warmth{warmAt: now.Add(unknownColdTime), registered: true}
		if t.config != nil {
			known.warmAt = now.Add(t.config.Services[e.Service].ColdTime)
		}
	case !e.WarmthUnknown && known.registered:
		known = warmth{warmAt: now, saidAt: now}
	default:
		return
	}
	t.warmth[id] = known
}

// recordWarmth records until when an endpoint is cold, as it has said in a response, and reports whether it was warm
// before and is cold now.
func (t *tables) recordWarmth(endpoint setup.Endpoint, warmAt, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refresh(now)
	current, known := t.endpoint(endpoint.ID)
	if !known || !current.SameProcess(endpoint) {
		return false
	}
	id := shortID(endpoint.ID)
	_, wasCold := t.coldLimits[id]
	if _, ok := t.warmth[id]; !ok && !now.Before(warmAt) {
		return false
	}
	if !t.applyWarmth(id, warmth{warmAt: warmAt, saidAt: now}, now) {
		return false
	}
	t.refresh(now)
	_, isCold := t.coldLimits[id]
	if isCold != wasCold {
		// The next message of each kind has it.
		t.digestCold, t.sumCold, t.totalCold = time.Time{}, time.Time{}, time.Time{}
	}
	return isCold && !wasCold
}

// applyWarmth applies what an endpoint has said to some daemon, unless something newer is known. It reports
// whether it did. The caller holds the lock.
func (t *tables) applyWarmth(id uint32, said warmth, now time.Time) bool {
	if !said.saidAt.After(t.warmth[id].saidAt) {
		return false
	}
	if said.warmAt.Sub(now) > maxColdTime {
		said.warmAt = now.Add(maxColdTime)
	}
	t.warmth[id], t.coldStale = said, true
	return true
}

// limitCold limits the endpoints that are cold, and ends the limits of those that no longer are. The caller holds the
// lock.
func (t *tables) limitCold(now time.Time) {
	t.coldStale = false
	if t.config == nil || len(t.warmth)+len(t.coldLimits) == 0 {
		return
	}
	for _, e := range t.endpoints {
		id := shortID(e.ID)
		rate := t.config.Services[e.Service].ColdRate
		before, limited := t.coldLimits[id]
		cold := rate > 0 && now.Before(t.warmth[id].warmAt)
		switch {
		case cold && (!limited || before != rate):
			t.coldLimits[id] = rate
			t.setLimit(id, now)
		case !cold && limited:
			delete(t.coldLimits, id)
			t.setLimit(id, now)
		}
	}
	for id, w := range t.warmth {
		// What was said is kept for a while, so that an older report does not count as news.
		if !now.Before(w.warmAt) && now.Sub(w.saidAt) > 2*limitTTL {
			delete(t.warmth, id)
		}
	}
}

// cold reports whether an endpoint is cold and limited for that. The caller holds the lock.
func (t *tables) cold(endpoint string) bool {
	if len(t.coldLimits) == 0 {
		return false
	}
	_, cold := t.coldLimits[shortID(endpoint)]
	return cold
}

// coldPenalty returns the time in milliseconds that is added to the predicted wait at an endpoint if it is cold. The caller
// holds the lock.
func (t *tables) coldPenalty(endpoint string, target time.Duration) float64 {
	if !t.cold(endpoint) {
		return 0
	}
	return coldPenaltyFraction * float64(target.Milliseconds())
}

// coldReports returns what endpoints have said in the last seconds, for a message, if one is due since the
// last message of this kind. The caller holds the lock.
func (t *tables) coldReports(sentAt *time.Time, now time.Time) map[uint32]coldReport {
	if now.Sub(*sentAt) < limitsInterval {
		return nil
	}
	*sentAt = now
	reports := map[uint32]coldReport{}
	for id, w := range t.warmth {
		if now.Sub(w.saidAt) < limitTTL {
			reports[id] = coldReport{LeftMS: max(w.warmAt.Sub(now).Milliseconds(), 0), AgeMS: ageMS(w.saidAt, now)}
		}
	}
	return reports
}

// applyCold applies the cold endpoints in a message. The caller holds the lock.
func (t *tables) applyCold(m message, now time.Time) {
	for id, r := range m.Cold {
		if r.AgeMS < 0 || r.LeftMS < 0 || r.LeftMS > maxColdTime.Milliseconds() || !t.shortIDs[id] {
			continue
		}
		wasCold := now.Before(t.warmth[id].warmAt)
		said := warmth{warmAt: now.Add(time.Duration(r.LeftMS) * time.Millisecond), saidAt: ago(r.AgeMS, now)}
		if t.applyWarmth(id, said, now) && now.Before(said.warmAt) != wasCold {
			// A hub passes the news on with its next messages.
			t.sumCold, t.totalCold = time.Time{}, time.Time{}
		}
	}
}

// coldEndpoints returns the number of endpoints that are limited because they are cold.
func (t *tables) coldEndpoints() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.coldLimits)
}
