package relay

import (
	"strconv"
	"time"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/quota"
	"lentilstage.dev/decide/roster"
	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
)

const (
	// limitBase is the base of the numbers in the quota keys of endpoints, which every digest has.
	limitBase = 36
	// limitReached means that an endpoint gets as many requests as it takes.
	limitReached roster.Reason = "LimitReached"
)

// limitKey returns the quota key of an endpoint. The names of client accounts have no such first character.
func limitKey(endpoint string) string {
	return "\x00" + strconv.FormatUint(uint64(shortID(endpoint)), limitBase)
}

// recordLimit records how many requests a second an endpoint takes from all daemons together, or that it names no
// limit, and reports whether that is news.
func (t *tables) recordLimit(endpoint setup.Endpoint, limit value.Option[float64], now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current, known := t.endpoint(endpoint.ID)
	if !known || !current.SameProcess(endpoint) {
		return false
	}
	key := limitKey(endpoint.ID)
	before, limited := t.quota.Limit(key)
	rate, named := limit.Get()
	if !named {
		if limited {
			t.removeLimit(endpoint.ID)
		}
		return limited
	}
	t.quota.Update(quota.EndpointLimited{Key: key, Rate: rate, Now: now})
	after, stillLimited := t.quota.Limit(key)
	return limited != stillLimited || before != after
}

// removeLimit removes the limit of an endpoint with everything that was counted for it. The caller holds the lock.
func (t *tables) removeLimit(endpoint string) {
	key := limitKey(endpoint)
	t.quota.Update(quota.EndpointUnlimited{Key: key})
	delete(t.pastUsed, key)
	delete(t.pastUsedElsewhere, key)
}

// closedUntil returns until when an endpoint wants no request of this daemon: it rejects requests, or its limit is
// reached; zero if it takes one now. offered is the probability that it would get the request. The caller holds the
// lock.
func (t *tables) closedUntil(e setup.Endpoint, offered float64, now time.Time) (time.Time, roster.Reason) {
	if until := t.roster.RejectsUntil(e.ID); now.Before(until) {
		return until, roster.Rejecting
	}
	if d := t.quota.CheckEndpoint(limitKey(e.ID), offered, now); !d.Admitted {
		return d.RetryAt, limitReached
	}
	return time.Time{}, ""
}

// attraction returns the fraction of a service's requests that one of its endpoints may attract. The caller holds the
// lock.
func (t *tables) attraction(service string) float64 {
	count := 0
	for _, e := range t.endpoints {
		if e.Service == service && e.State == setup.Ready {
			count++
		}
	}
	return choice.Attraction(count)
}

// markSent records that the bytes of a placed call go to its endpoint.
func (t *tables) markSent(p *placement) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p.sent = true
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
		if e.Service != service || e.State != setup.Ready {
			continue
		}
		if limit, ok := t.quota.Limit(limitKey(e.ID)); ok {
			capacity = append(capacity, limit*seconds)
		}
	}
	return capacity
}
