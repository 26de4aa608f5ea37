package relay

import (
	"math"
	"strconv"
	"time"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/homes"
	"lentilstage.dev/decide/quota"
	"lentilstage.dev/decide/roster"
	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
)

const (
	// limitsInterval is the pause between messages of one kind with limits. Each limit is sent while it is younger
	// than limitTTL, so that a lost message does not matter.
	limitsInterval = time.Second
	limitTTL       = 5 * time.Second
	// noLimit is the rate of a limit that has ended.
	noLimit = -1
	// limitBase is the base of the numbers in the quota keys of endpoints, which every digest has.
	limitBase = 36
	// limitReached means that an endpoint gets as many requests as it takes.
	limitReached roster.Reason = "LimitReached"
	// noRoom means that a brittle endpoint may have to turn the request away.
	noRoom roster.Reason = "NoRoom"

	// requestsLimit is the number of requests a second that an endpoint takes, rejectionsLimit that of requests which it
	// may have to turn away.
	requestsLimit   limitKind = ""
	rejectionsLimit limitKind = "/rejections"
	// rejectionsFraction of the rejections that an endpoint bears are risked: daemons send requests before they know of
	// each other's rejections.
	rejectionsFraction = 0.4
	// noRoomDelay is the time after which loads show whether a full endpoint has room again.
	noRoomDelay = 300 * time.Millisecond
)

type (
	// limitKind tells the limits of an endpoint apart. Each has an identifier of its own in messages and quota keys.
	limitKind string

	// statedLimit is what an endpoint has said of its limit.
	statedLimit struct {
		// rate is the number of requests a second; negative if the endpoint has named no limit.
		rate float64
		// saidAt is when a daemon has received that.
		saidAt time.Time
	}

	// limitReport is a statedLimit in a message.
	limitReport struct {
		_     struct{} `cbor:",toarray"`
		Rate  float32
		AgeMS int64
	}
)

// limitID returns the short identifier of a limit of an endpoint.
func limitID(endpoint string, kind limitKind) uint32 { return shortID(endpoint + string(kind)) }

// limitKey returns the quota key of an endpoint. The names of client accounts have no such first character.
func limitKey(endpoint string) string { return shortLimitKey(limitID(endpoint, requestsLimit)) }

func rejectionsKey(endpoint string) string { return shortLimitKey(limitID(endpoint, rejectionsLimit)) }

func shortLimitKey(id uint32) string { return "\x00" + strconv.FormatUint(uint64(id), limitBase) }

// recordLimit records a limit that an endpoint has for all daemons together, or that it names none, and reports whether
// that is news.
func (t *tables) recordLimit(endpoint setup.Endpoint, kind limitKind, limit value.Option[float64], now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current, known := t.endpoint(endpoint.ID)
	if !known || !current.SameProcess(endpoint) {
		return false
	}
	id := limitID(endpoint.ID, kind)
	rate, named := limit.Get()
	if !named {
		if _, everLimited := t.limits[id]; !everLimited {
			return false
		}
		rate = noLimit
	}
	stated := statedLimit{rate: rate, saidAt: now}
	t.ownLimits[id] = stated
	return t.applyLimit(id, stated, now)
}

// applyLimit applies what an endpoint has said to some daemon, unless something newer is known, and reports whether the
// limit has changed. The caller holds the lock.
func (t *tables) applyLimit(id uint32, stated statedLimit, now time.Time) bool {
	if last, known := t.limits[id]; known && !stated.saidAt.After(last.saidAt) {
		return false
	}
	t.limits[id] = stated
	key := shortLimitKey(id)
	before, limited := t.quota.Limit(key)
	t.setLimit(id, now)
	after, stillLimited := t.quota.Limit(key)
	return limited != stillLimited || before != after
}

// setLimit sets the limit of an endpoint to the lower one of what it has said and of what it tolerates while it is
// cold. The caller holds the lock.
func (t *tables) setLimit(id uint32, now time.Time) {
	key := shortLimitKey(id)
	stated, named := t.limits[id]
	named = named && stated.rate >= 0
	cold, isCold := t.coldLimits[id]
	switch {
	case named && t.rejectionIDs[id]:
		rate := rejectionsFraction * stated.rate
		t.quota.Update(quota.EndpointLimited{Key: key, Rate: rate, PerSecond: stated.rate, Full: true, Now: now})
	case isCold:
		rate := cold
		if named {
			rate = min(rate, stated.rate)
		}
		t.quota.Update(quota.EndpointLimited{Key: key, Rate: rate, PerSecond: rate*t.coldOverrun + t.coldTolerance, Now: now})
	case named:
		t.quota.Update(quota.EndpointLimited{Key: key, Rate: stated.rate, Now: now})
	default:
		t.quota.Update(quota.EndpointUnlimited{Key: key})
	}
}

// removeLimit removes the limit of an endpoint whose process has ended, with everything that was counted for it. What the
// process has said before has no effect any more. The caller holds the lock.
func (t *tables) removeLimit(endpoint string, now time.Time) {
	for _, kind := range []limitKind{requestsLimit, rejectionsLimit} {
		t.removeLimitID(limitID(endpoint, kind), now)
	}
}

func (t *tables) removeLimitID(id uint32, now time.Time) {
	delete(t.ownLimits, id)
	_, wasCold := t.coldLimits[id]
	if _, everLimited := t.limits[id]; !everLimited && !wasCold {
		return
	}
	delete(t.coldLimits, id)
	t.limits[id] = statedLimit{rate: noLimit, saidAt: now}
	key := shortLimitKey(id)
	t.quota.Update(quota.EndpointUnlimited{Key: key})
	delete(t.pastUsed, key)
	delete(t.pastUsedElsewhere, key)
}

// expireLimits removes what endpoints that are gone have said. The caller holds the lock.
func (t *tables) expireLimits(now time.Time) {
	for id, stated := range t.limits {
		if stated.rate < 0 && now.Sub(stated.saidAt) > 2*limitTTL {
			delete(t.limits, id)
		}
	}
}

// limitReports returns the limits that this daemon and some peers have heard of, for a message, if one is due since the
// last message of this kind. The caller holds the lock.
func (t *tables) limitReports(sentAt *time.Time, now time.Time, peers ...map[string]peerState) map[uint32]limitReport {
	if now.Sub(*sentAt) < limitsInterval {
		return nil
	}
	*sentAt = now
	newest := map[uint32]statedLimit{}
	add := func(id uint32, stated statedLimit) {
		if now.Sub(stated.saidAt) < limitTTL && stated.saidAt.After(newest[id].saidAt) {
			newest[id] = stated
		}
	}
	for id, stated := range t.ownLimits {
		add(id, stated)
	}
	for _, states := range peers {
		for _, p := range states {
			for id, stated := range p.limits {
				add(id, stated)
			}
		}
	}
	reports := make(map[uint32]limitReport, len(newest))
	for id, stated := range newest {
		reports[id] = limitReport{Rate: float32(stated.rate), AgeMS: ageMS(stated.saidAt, now)}
	}
	return reports
}

// applyLimits applies the limits in a message and returns them. The caller holds the lock.
func (t *tables) applyLimits(m message, now time.Time) map[uint32]statedLimit {
	limits := make(map[uint32]statedLimit, len(m.Limits))
	for id, r := range m.Limits {
		if math.IsNaN(float64(r.Rate)) || r.AgeMS < 0 {
			continue
		}
		limits[id] = statedLimit{rate: float64(r.Rate), saidAt: ago(r.AgeMS, now)}
		if t.shortIDs[id] || t.rejectionIDs[id] {
			t.applyLimit(id, limits[id], now)
		}
	}
	return limits
}

// closedUntil returns until when an endpoint wants no request of this daemon: it rejects requests, or its limit is
// reached; zero if it takes one now. offered is the probability that it would get the request. The caller holds the
// lock.
func (t *tables) closedUntil(e setup.Endpoint, offered float64, now time.Time) (time.Time, roster.Reason) {
	if until := t.roster.RejectsUntil(e.ID); now.Before(until) {
		return until, roster.Rejecting
	}
	if len(t.limits)+len(t.coldLimits) == 0 {
		return time.Time{}, ""
	}
	if d := t.quota.CheckEndpoint(limitKey(e.ID), offered, now); !d.Admitted {
		return d.RetryAt, limitReached
	}
	return t.roomAt(e, offered, now)
}

// roomAt returns when a brittle endpoint may get a request again if it may have no room now; zero if it may get one. The
// caller holds the lock.
func (t *tables) roomAt(e setup.Endpoint, offered float64, now time.Time) (time.Time, roster.Reason) {
	key := rejectionsKey(e.ID)
	if _, brittle := t.quota.Limit(key); !brittle {
		return time.Time{}, ""
	}
	own, load := t.own[e.ID].Requests, t.load(e.ID, t.peerLoads(now)).Requests
	switch quota.RoomFor(e.Slots, load, own, t.slotShares[e.ID]) {
	case quota.Reserved:
		return time.Time{}, ""
	case quota.Full:
		return now.Add(noRoomDelay), noRoom
	case quota.Roomy:
		offered = 0
	case quota.Crowded:
	}
	if d := t.quota.CheckEndpoint(key, offered, now); !d.Admitted {
		return d.RetryAt, noRoom
	}
	return time.Time{}, ""
}

// shareSlots divides the slots of brittle endpoints between the daemons.
func (t *tables) shareSlots(self string, daemons []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.slotShares = map[string]int{}
	for _, e := range t.endpoints {
		if _, brittle := t.quota.Limit(rejectionsKey(e.ID)); brittle {
			t.slotShares[e.ID] = quota.SlotShare(e.Slots, e.ID, self, daemons)
		}
	}
}

// hasBrittle reports whether some endpoint bears a limited number of rejections.
func (t *tables) hasBrittle() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id := range t.limits {
		if t.rejectionIDs[id] && t.limits[id].rate >= 0 {
			return true
		}
	}
	return false
}

// countRejection counts a request that an endpoint has turned away. It matters for brittle endpoints only.
func (t *tables) countRejection(endpoint setup.Endpoint) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.quota.CountEndpoint(rejectionsKey(endpoint.ID))
}

// attraction returns the fraction of a service's requests that one of its endpoints may attract. The caller holds the
// lock.
func (t *tables) attraction(service string) float64 {
	if len(t.limits)+len(t.coldLimits) == 0 {
		return 0
	}
	count := 0
	for _, e := range t.endpoints {
		if e.Service == service && t.available(e) {
			count++
		}
	}
	return choice.Attraction(count)
}

// markSent records that the bytes of a placed call go to its endpoint. That one must not fetch from an endpoint whose
// data centre was evacuated meanwhile or is not allowed any more.
func (t *tables) markSent(p *placement, rule homes.Rule) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p.sent = true
	if t.evacuations.Evacuated(p.sourceCentre) || !t.regions.Allow(rule, p.sourceCentre) {
		p.source = ""
	}
}

// limitedCapacity returns the engine time per second of the requests that each limited endpoint of a service takes. The
// caller holds the lock.
func (t *tables) limitedCapacity(service string) []float64 {
	if t.placed[service] == 0 {
		return nil
	}
	seconds := t.work[service] / t.placed[service] / 1000
	var capacity []float64
	for _, e := range t.endpoints {
		if e.Service != service || !t.available(e) {
			continue
		}
		if limit, ok := t.quota.Limit(limitKey(e.ID)); ok {
			capacity = append(capacity, limit*seconds)
		}
	}
	return capacity
}
