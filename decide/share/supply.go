package share

import (
	"math"
	"time"
)

// Supply estimates the work per second that the endpoints of a service complete. Its zero value expects each endpoint to
// complete one second of work per second.
type Supply struct {
	// learned is the work per second that an endpoint completes beyond 1, as far as shortages have shown it.
	learned   float64
	updatedAt time.Time
}

const (
	// supplyTime is the time constant of what is learned in a shortage.
	supplyTime = time.Second
	// shortRefused is the part of the offered work from which refusals show that the endpoints are busy.
	shortRefused = 0.03
	// minSupply and maxSupply bound what an endpoint completes per second. The work of a request is an estimate.
	minSupply, maxSupply = 0.3, 1
)

// With returns the estimate after an observation of the work per second that callers have offered and that was refused,
// at ready endpoints of a total speed, in multiples of the usual one. While next to nothing is refused, the observation
// says nothing.
func (s Supply) With(offered, refused, endpoints float64, now time.Time) Supply {
	elapsed := now.Sub(s.updatedAt)
	s.updatedAt = now
	if endpoints <= 0 || offered <= 0 || refused < shortRefused*offered {
		return s
	}
	each := min(max((offered-refused)/endpoints, minSupply), maxSupply)
	s.learned += (each - 1 - s.learned) * (1 - math.Exp(-elapsed.Seconds()/supplyTime.Seconds()))
	return s
}

// Capacity returns the work per second that endpoints of a total speed complete.
func (s Supply) Capacity(endpoints float64) float64 { return (1 + s.learned) * endpoints }
