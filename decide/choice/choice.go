// Package choice picks the endpoint of a request by the predicted time to its answer, based on the
// requests that this daemon and its peers have placed.
//
// It uses no load reports from endpoints: they are out of date when they arrive, and every daemon
// receives the same ones. A daemon knows its own requests exactly and its peers' requests from their
// digests.
//
// Prompt tokens that an engine has in its cache need not be computed again. Until some engine has a
// session's shared parts, the first engine in the rendezvous order of the session is preferred, so that
// all daemons send the session to the same engine as long as it is not much busier than the others.
//
// Endpoints may differ in speed. A wait is predicted with the candidate's own speed, and an engine is the first in the
// order of as many sessions as its speed allows.
//
// # Usage
//
//	picked, ok := choice.Pick(request, candidates, random)
//
// The package has no state and no clock.
package choice

import (
	"math"
	"slices"

	"lentilstage.dev/decide/pace"
)

type (
	// Part is a run of prompt tokens that requests may share.
	Part struct {
		ID     string
		Tokens int
	}

	// Request describes the request to place.
	Request struct {
		// Session is the key of the last shared part; empty without one.
		Session string
		// Prompt is the number of prompt tokens. Shared is the number of those in shared parts.
		Prompt, Shared int
		// Answer is the expected number of generated tokens.
		Answer int
		// Model is set if a language model engine runs the request.
		Model bool
		// FetchPerMS is the number of cached prompt tokens that an engine fetches from another one per
		// millisecond; 0 if engines can't fetch from each other.
		FetchPerMS float64
		// Sources are endpoints that receive no more requests but may have a part of the prompt cached.
		Sources []Candidate
		// Pace is the usual speed of the endpoints; the zero value stands for pace.Default.
		Pace pace.Estimate
		// Target is the time in milliseconds within which the answer should begin.
		Target float64
		// Admits reports whether a choice would be admitted; nil admits all. If the best candidate of the
		// sample is not admitted, all candidates are compared, so that no request is rejected while
		// another endpoint has capacity.
		Admits func(Picked) bool
	}

	// Load is the work in flight at an endpoint.
	Load struct {
		// Requests is the number of requests in flight.
		Requests int
		// Reading is the number of prompt tokens still to be computed.
		Reading float64
		// Memory is the number of tokens that the requests occupy in the cache.
		Memory float64
	}

	// Candidate is an endpoint that may receive the request.
	Candidate struct {
		ID         string
		Version    string
		DataCentre string
		Slots      int
		// Memory is the number of tokens that fit in the engine's cache; 0 if unknown.
		Memory int
		Load   Load
		// Cached is the number of the request's leading prompt tokens that the endpoint is expected to
		// have cached, from the recent placements of this daemon and its peers.
		Cached int
		// Local is set if the endpoint is in this daemon's data centre.
		Local bool
		// Penalty is added to the predicted wait, in milliseconds, as far as other candidates have less.
		Penalty float64
		// Speed is the endpoint's speed as a multiple of the usual one; 0 if the endpoints of the service don't differ.
		Speed float64
	}

	// Picked is the choice with its prediction.
	Picked struct {
		Candidate Candidate
		// Wait is the predicted time to the first event or the answer, in milliseconds.
		Wait float64
		// Uncached is the number of prompt tokens that the engine is expected to compute.
		Uncached int
		// Source is the endpoint from which the engine should fetch a cached part of the prompt, and
		// Fetched the expected number of its tokens. Source is empty if no fetch is worth its time.
		Source  string
		Fetched int
		// pace is the speed of the endpoint's engine.
		pace pace.Estimate
		// plainOwn is the time that a slow endpoint of a plain service takes longer than the usual one, in milliseconds.
		plainOwn float64
		// plainTime is the time that the endpoint of a plain service takes for the request, in milliseconds.
		plainTime float64
		// lateness is the time in milliseconds by which a slow engine's time for the request exceeds what the target allows.
		lateness float64
		// cost is the wait plus the cost of moved tokens, in milliseconds.
		cost float64
		// Answer is the time in milliseconds that the engine needs for the answer after the first token; 0 for a
		// plain service.
		Answer float64
		// HasCapacity is set if the endpoint has a free slot and enough cache memory.
		HasCapacity bool
	}
)

// speed returns the candidate's speed as a multiple of the usual one.
func (c Candidate) speed() float64 {
	if c.Speed == 0 {
		return 1
	}
	return c.Speed
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{Requests: l.Requests + o.Requests, Reading: l.Reading + o.Reading, Memory: l.Memory + o.Memory}
}

// Minus returns the difference of two loads.
func (l Load) Minus(o Load) Load {
	return l.Plus(Load{Requests: -o.Requests, Reading: -o.Reading, Memory: -o.Memory})
}

const (
	// runningRequestMS is the delay that each running request adds to the first token.
	runningRequestMS = 0.8
	// plainRequestMS is the usual time that a request to a plain service occupies a slot.
	plainRequestMS = 50
	// remotePenaltyMS is the penalty for another data centre: network delay and the price of traffic.
	remotePenaltyMS = 3
	// ownFraction is the fraction of the target that an engine of known speed may need for the request itself before it
	// is avoided for its slowness; all candidates are compared if those of the sample are all too slow. Within it,
	// engines are compared by their queues and the request's time at the usual speed: if each daemon sent each request
	// to the fastest engines, these would have the longest queues before the next digests.
	ownFraction = 0.3
	// nearBestMS is the range above the lowest cost within which the choice is random.
	nearBestMS = 8
	// sampleSize is the number of candidates that are sampled and compared. If all daemons compared
	// all candidates, they would choose the same one until the next digests: with 83 daemons, the
	// chosen endpoint had twice the load reported in the digests.
	sampleSize = 3
	// maxQueueFraction is the fraction of the target up to which a queue is accepted without comparing
	// all candidates.
	maxQueueFraction = 0.4
	// reservedMemoryFraction is the fraction of an engine's cache memory reserved for growing answers.
	reservedMemoryFraction = 0.1
)

// Pick returns the candidate with the lowest cost among a random sample, the endpoints that have a part
// of the prompt cached and the session's home engine. Near-equal candidates are chosen at random. If the
// queue of the chosen one is too long or it is not admitted, all candidates are compared. random returns
// a number in [0, 1). Pick returns false if there is no candidate.
func Pick(request Request, candidates []Candidate, random func() float64) (Picked, bool) {
	if len(candidates) == 0 {
		return Picked{}, false
	}
	if request.Pace == (pace.Estimate{}) {
		request.Pace = pace.Default
	}
	s := newSelection(request, candidates)
	sampled := sample(len(candidates), random)
	picked := s.cheapest(candidates, random, func(i int) bool {
		return slices.Contains(sampled[:], i) || candidates[i].ID == s.homeID || candidates[i].Cached > 0
	})
	if picked.lateness > 0 || picked.Queue() > maxQueueFraction*request.Target || request.Admits != nil && !request.Admits(picked) {
		picked = s.cheapest(candidates, random, func(int) bool { return true })
	}
	return picked, true
}

// Queue returns the predicted wait in milliseconds without the computation of the request's own prompt.
func (p Picked) Queue() float64 { return p.Wait - p.Own() }

// Running returns the part of the predicted wait, in milliseconds, that is due to the requests that run
// at the endpoint.
func (p Picked) Running() float64 {
	return runningRequestMS * float64(p.Candidate.Load.Requests) / p.Candidate.speed()
}

// Own returns the time in milliseconds that the engine needs for the request itself until its first
// token.
func (p Picked) Own() float64 {
	if p.pace.PrefillPerMS == 0 {
		return p.plainOwn
	}
	return p.pace.FirstMS + float64(p.Uncached)/p.pace.PrefillPerMS
}

// Response returns the predicted time in milliseconds until the first event or, from a plain service, the complete
// answer.
func (p Picked) Response() float64 { return p.Wait - p.plainOwn + p.plainTime }

// Extra returns the part of the predicted wait, in milliseconds, that was learnt from earlier predictions.
func (p Picked) Extra() float64 {
	if p.Candidate.Speed == 0 {
		return 0
	}
	return p.pace.ExtraMS
}

// Attraction returns the fraction of a service's requests that one of its endpoints gets at most while it is the least
// loaded one.
func Attraction(endpoints int) float64 {
	return min(1, sampleSize/float64(max(endpoints, 1)))
}

// sample returns random positions below count, possibly with repeats.
func sample(count int, random func() float64) [sampleSize]int {
	var sampled [sampleSize]int
	start, step := int(random()*float64(count)), 1+int(random()*float64(count-1))
	for i := range sampled {
		sampled[i] = (start + i*step) % count
	}
	return sampled
}

// cheapest returns a random one of the candidates within nearBestMS of the lowest cost, among those for
// which include returns true.
func (s selection) cheapest(candidates []Candidate, random func() float64, include func(i int) bool) Picked {
	picks := make([]Picked, 0, len(candidates))
	best := math.Inf(1)
	for i, c := range candidates {
		if !include(i) {
			continue
		}
		p := s.predict(c)
		picks = append(picks, p)
		best = min(best, p.cost)
	}
	near := picks[:0]
	for _, p := range picks {
		if p.cost <= best+nearBestMS {
			near = append(near, p)
		}
	}
	return near[min(int(random()*float64(len(near))), len(near)-1)]
}

// plainMS returns the usual time that a request to a plain service occupies a slot.
func (r Request) plainMS(c Candidate) float64 {
	if c.Speed == 0 || r.Pace.PlainMS == 0 {
		return plainRequestMS
	}
	return r.Pace.PlainMS
}

// predict returns the predicted wait and cost of the request at a candidate.
func (s selection) predict(c Candidate) Picked {
	request := s.request
	p := Picked{Candidate: c, HasCapacity: c.Slots == 0 || c.Load.Requests < c.Slots}
	wait := c.Penalty - s.commonPenalty
	if !c.Local {
		wait += remotePenaltyMS
	}
	excess := max(0, c.Load.Requests+1-c.Slots)
	if !request.Model {
		usual := request.plainMS(c)
		own := usual / c.speed()
		wait += own * float64(c.Load.Requests) / float64(max(c.Slots, 1))
		wait += own * float64(excess) / float64(max(c.Slots, 1))
		// The time of the request itself counts as far as it differs from the usual one. A shorter one is no
		// reason to admit the request behind others.
		p.plainOwn = max(own-usual, 0)
		p.plainTime = own
		if c.Speed == 0 && request.Pace.PlainMS > 0 {
			p.plainTime = request.Pace.PlainMS
		}
		p.Wait, p.cost = wait+p.plainOwn, wait+own-usual
		return p
	}
	p.pace = request.Pace.At(c.Speed)
	p.Answer = p.pace.TokenMS * float64(request.Answer)
	fetch, transferCost := s.planPrefill(c, &p)
	wait += fetch
	wait += c.Load.Reading/p.pace.PrefillPerMS + p.Own()
	wait += p.Running()
	if excess > 0 && c.Slots > 0 {
		wait += p.pace.TokenMS * float64(request.Answer) * float64(excess) / float64(c.Slots)
	}
	if c.Memory > 0 {
		headroom := float64(c.Memory)*(1-reservedMemoryFraction) - c.Load.Memory - float64(request.Prompt+request.Answer)
		if headroom < 0 {
			p.HasCapacity = false
			wait += -headroom / p.pace.PrefillPerMS
		}
	}
	p.Wait, p.cost = wait, wait+transferCost
	if c.Speed > 0 {
		usual := request.Pace.FirstMS + float64(p.Uncached)/request.Pace.PrefillPerMS
		p.lateness = max(0, usual/c.Speed-max(usual, ownFraction*request.Target))
		p.cost += usual - p.Own() + p.lateness
	}
	return p
}
