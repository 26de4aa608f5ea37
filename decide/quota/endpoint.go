package quota

import (
	"time"

	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
)

type (
	// EndpointLimited reports that an endpoint takes some requests a second from all daemons together. An
	// endpoint that names another number takes that one.
	EndpointLimited struct {
		// Key stands for the endpoint, and must differ from the name of any account.
		Key string
		// Rate is the number of requests a second, as the endpoint names it.
		Rate float64
		// PerSecond is the most requests that a cold endpoint may get in any one second; 0 for an endpoint that is not
		// cold. Its burst is smaller, since it crashes beyond that.
		PerSecond float64
		// Full states that the endpoint has used nothing before, so that its bucket is full at first.
		Full bool
		Now  time.Time
	}

	// EndpointUnlimited reports that an endpoint names no limit any more, or is gone.
	EndpointUnlimited struct {
		Key string
	}
)

const (
	// limitFraction of an endpoint's limit is used, since daemons admit requests before they know of each
	// other's.
	limitFraction = 0.9
	// An endpoint's burst is burstRequests plus the requests of burstTime. It is the range in which the daemons of a
	// large fleet take turns: the lower the level, the fewer of them may send a request before they hear of
	// each other's, which takes up to burstTime.
	burstRequests = 2
	burstTime     = 1500 * time.Millisecond
	// coldBurstFraction of what a cold endpoint may get in a second beyond its rate is its burst. The rest is left for
	// requests that daemons admit at once, and for those that were admitted earlier and are sent in the same second.
	coldBurstFraction = 0.3
	// coldOffered is how many times that callers are assumed to offer at first. Without it, the daemons leave each
	// other nothing in the first second: 62 of them sent 123 requests where 80 are allowed.
	coldOffered = 4
	// coldMargin times the burst of a cold endpoint, or the number of the other daemons if that is higher, is the most
	// that a daemon leaves to the others. Without it, two daemons offered 20 times as much use a fifth of the rate.
	coldMargin = 2
	// coldStartDelay is the time in which a daemon that knows of no other one sends nothing to a cold endpoint: it may
	// have started together with hundreds of others.
	coldStartDelay = time.Second
	// minLimit is the lowest limit in requests a second. An endpoint that takes none would get no request in
	// whose response it could name another limit.
	minLimit = 0.1
	// minTurnDelay is the shortest time after which a daemon that has to leave a request to others is told to come
	// back.
	minTurnDelay = 100 * time.Millisecond
	// maxLimit is the limit in requests a second from which an endpoint counts as unlimited.
	maxLimit = 1e6
)

// limitEndpoint sets the limit of an endpoint. A new bucket is empty: what the endpoint got before is not known.
func (s *State) limitEndpoint(m EndpointLimited) {
	if m.Rate >= maxLimit {
		s.Update(EndpointUnlimited{Key: m.Key})
		return
	}
	s.advance(m.Now)
	rate := limitFraction * max(m.Rate, minLimit)
	a := setup.Account{Name: m.Key, Rate: rate, Burst: burstRequests + rate*burstTime.Seconds()}
	if m.PerSecond > 0 {
		a.Burst = min(a.Burst, max(1, coldBurstFraction*(m.PerSecond-rate)))
	}
	b, known := s.accounts[m.Key]
	if !known {
		b = &bucket{ofEndpoint: true, updatedAt: m.Now}
		if m.PerSecond > 0 {
			// What callers offer is not known yet.
			_, daemons := s.countDaemons()
			b.offered, b.offeredAt = coldOffered*m.PerSecond*offeredWindow.Seconds()/daemons, m.Now
			if daemons == 1 {
				b.level = -rate * coldStartDelay.Seconds()
			}
		}
		s.accounts[m.Key] = b
	}
	if !known && m.Full {
		b.level = a.Burst
	}
	b.cold = m.PerSecond > 0
	b.account, b.level = a, min(b.level, a.Burst)
}

// CheckEndpoint decides whether an endpoint may get a request now. It deducts nothing. offered is the probability that
// the endpoint would get the request. An endpoint without a limit may get all requests.
func (s *State) CheckEndpoint(key string, offered float64, now time.Time) Decision {
	b, ok := s.accounts[key]
	if !ok {
		return Decision{Admitted: true}
	}
	b.recordOffered(offered, now)
	d := s.check(b, 1, now)
	if !d.Admitted {
		d.RetryAt = value.Later(d.RetryAt, now.Add(minTurnDelay))
	}
	return d
}

// CountEndpoint deducts a request to an endpoint, also one beyond its limit.
func (s *State) CountEndpoint(key string) {
	if b, ok := s.accounts[key]; ok {
		b.level--
		s.used[key]++
	}
}

// Limit returns the requests a second that an endpoint may get, and whether it has a limit.
func (s *State) Limit(key string) (float64, bool) {
	b, ok := s.accounts[key]
	if !ok {
		return 0, false
	}
	return b.account.Rate, true
}

func (EndpointLimited) message()   {}
func (EndpointUnlimited) message() {}
