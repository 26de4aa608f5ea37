// Package share measures what client accounts ask of a service and divides its capacity between them in a shortage.
//
// When callers ask for more than the endpoints complete, whoever sends most would get most: an account at several times
// its usual rate takes the capacity of all others. In a shortage, each account gets the capacity that it asks for up to
// its share, and what it leaves goes to the others (max-min fairness). Every daemon computes the same division from what
// all daemons report, and admits the same fraction of an account's requests, so that no central counter is needed.
//
// # Usage
//
//	meter := share.NewMeter()
//	meter.Add("counter", 0.04, now)
//	rates := meter.Rates(now)
//
// The methods change the state in place and are not safe for concurrent use.
package share

import (
	"math"
	"time"
)

type (
	// Meter measures the work per second that each account offers, as decaying averages.
	Meter struct {
		rates map[string]rate
	}

	// rate is a decaying average of work per second.
	rate struct {
		value     float64
		updatedAt time.Time
	}
)

const (
	// meterTime is the time constant of the averages. A shorter one would follow the random arrivals of a small
	// daemon, a longer one would notice a burst of three seconds when it is half over.
	meterTime = time.Second
	// minRate is the rate in endpoint seconds a second below which an account is left out.
	minRate = 0.0005
)

// NewMeter returns a meter that has measured nothing.
func NewMeter() *Meter { return &Meter{rates: map[string]rate{}} }

// Add counts work that an account has offered.
func (m *Meter) Add(account string, work float64, now time.Time) {
	r := rate{value: m.rates[account].at(now), updatedAt: now}
	r.value += work / meterTime.Seconds()
	m.rates[account] = r
}

// Rates returns the work per second of each account and drops accounts that have offered nothing for long.
func (m *Meter) Rates(now time.Time) map[string]float64 {
	rates := make(map[string]float64, len(m.rates))
	for account, r := range m.rates {
		if value := r.at(now); value >= minRate {
			rates[account] = value
		} else {
			delete(m.rates, account)
		}
	}
	return rates
}

func (r rate) at(now time.Time) float64 {
	return r.value * math.Exp(-max(0, now.Sub(r.updatedAt).Seconds())/meterTime.Seconds())
}
