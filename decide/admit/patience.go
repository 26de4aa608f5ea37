package admit

import (
	"math"
	"time"
)

// Patience learns how much time callers usually leave for their requests, by a key such as the route and the client
// account, and tells by it how much of its time a request has spent already. A caller that was refused sends its request
// again with the same deadline: as far as the daemons are concerned it is another request, but it has less time left
// than others of its kind. Its zero value has learnt nothing.
type Patience struct {
	longest map[string]longest
}

// longest is a maximum that decays.
type longest struct {
	left time.Duration
	at   time.Time
}

const (
	// patienceTime is the time constant with which the longest time left decays, so that a lower one shows.
	patienceTime = 5 * time.Minute
	// maxPatienceKeys limits the keys.
	maxPatienceKeys = 4096
)

// Spent records the time that a request has left and returns which part of the usual time it has spent already.
func (p *Patience) Spent(key string, left time.Duration, now time.Time) float64 {
	l, known := p.longest[key]
	usual := time.Duration(float64(l.left) * math.Exp(-now.Sub(l.at).Seconds()/patienceTime.Seconds()))
	if left >= usual {
		if !known && len(p.longest) >= maxPatienceKeys || p.longest == nil {
			p.longest = map[string]longest{}
		}
		p.longest[key] = longest{left: left, at: now}
		return 0
	}
	return 1 - float64(left)/float64(usual)
}
