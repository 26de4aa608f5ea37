// Package choice picks the endpoint of a request by the predicted time to its answer, from
// what this daemon and its peers have placed.
//
// Nothing is asked of the endpoints: load reports are late when they arrive, and every
// daemon reads the same ones. A daemon knows its own requests exactly and its peers' from
// their digests.
//
// The parts of a prompt that an engine keeps need not be read again. The engine that is
// first in the rendezvous order of a request's session is taken to keep the shared parts, so
// that all daemons send a session to the same engine as long as it is not much busier than
// the others.
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
)

type (
	// Part is a run of prompt tokens that requests may share.
	Part struct {
		ID     string
		Tokens int
	}

	// Request is what the choice needs to know.
	Request struct {
		// Session is the key of the last shared part; empty without one.
		Session string
		// Prompt is the number of prompt tokens, Shared how many of them are in shared parts.
		Prompt, Shared int
		// Answer is the expected number of generated tokens.
		Answer int
		// Model says that an engine runs the request.
		Model bool
		// FetchPerMS is the number of prompt tokens that an engine gets from another one in a
		// millisecond; 0 if engines don't give each other what they keep.
		FetchPerMS float64
		// Sources are endpoints that get no more requests and may still keep a part of the prompt.
		Sources []Candidate
		// Target is the time in milliseconds within which the answer should begin.
		Target float64
		// Fits reports whether a choice is admitted. If one of the few that are compared first is
		// not, all are compared, so that none is refused while another endpoint has room.
		Fits func(Picked) bool
	}

	// Load is what runs at an endpoint.
	Load struct {
		// Requests counts requests sent and not ended.
		Requests int
		// Reading is the number of prompt tokens that are still to be read.
		Reading float64
		// Memory is the number of tokens that the requests keep.
		Memory float64
	}

	// Candidate is an endpoint that may get the request.
	Candidate struct {
		ID         string
		Version    string
		DataCentre string
		Slots      int
		// Memory is the number of tokens that the engine can keep; 0 if unknown.
		Memory int
		Load   Load
		// Cached is the number of the request's leading prompt tokens that the endpoint keeps, as far
		// as daemons have told where they have sent them lately.
		Cached int
		// Local says that the endpoint is in this daemon's data centre.
		Local bool
		// Penalty is added to the prediction, in milliseconds.
		Penalty float64
	}

	// Picked is the choice with its prediction.
	Picked struct {
		Candidate Candidate
		// Wait is the predicted time to the first event or the answer, in milliseconds.
		Wait float64
		// Uncached is the number of prompt tokens that the engine is expected to read.
		Uncached int
		// Source is the endpoint from which the engine should fetch a part of the prompt, Fetched the
		// number of tokens that are expected from there. It is empty if nothing is worth it.
		Source  string
		Fetched int
		// cost is the wait with what the place costs besides, in milliseconds.
		cost float64
		// Free says that the endpoint has a free slot.
		Free bool
	}
)

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{Requests: l.Requests + o.Requests, Reading: l.Reading + o.Reading, Memory: l.Memory + o.Memory}
}

// Minus returns the load without another one.
func (l Load) Minus(o Load) Load {
	return l.Plus(Load{Requests: -o.Requests, Reading: -o.Reading, Memory: -o.Memory})
}

const (
	// ReadPerMS is the prompt tokens that an engine reads in a millisecond beside running
	// requests; users state 44 and 50 for an idle one.
	ReadPerMS = 40
	// runningMS is the delay that each running request adds to a first token.
	runningMS = 0.8
	// plainMS is the usual time of a plain request in a slot.
	plainMS = 50
	// AnswerTokenMS is the usual time between two tokens of one request.
	AnswerTokenMS = 8
	// remoteMS is a penalty for another data centre: the way there and the price of bytes.
	remoteMS = 3
	// nearMS is how much worse than the best a random choice may be.
	nearMS = 8
	// drawnCount candidates are drawn and compared. Daemons that compare all choose the same one
	// until the next digests: with 83 daemons the endpoint chosen had twice the load that the
	// digests told.
	drawnCount = 3
	// enoughPart of the target is a queue for which the others need not be compared.
	enoughPart = 0.4
	// reservedMemory is the part of an engine's memory that is left for growing answers.
	reservedMemory = 0.1
)

// Pick returns the candidate with the least predicted wait of a few that are drawn, of those that
// keep a part of the prompt and of the session's own, at random among the nearly best. If that is
// not good enough, all are compared. It returns false without a candidate.
func Pick(request Request, candidates []Candidate, random func() float64) (Picked, bool) {
	if len(candidates) == 0 {
		return Picked{}, false
	}
	s := newSession(request, candidates)
	drawn := draw(len(candidates), random)
	picked := s.least(candidates, random, func(i int) bool {
		return slices.Contains(drawn[:], i) || candidates[i].ID == s.home || candidates[i].Cached > 0
	})
	if picked.Queue() > enoughPart*request.Target || request.Fits != nil && !request.Fits(picked) {
		picked = s.least(candidates, random, func(int) bool { return true })
	}
	return picked, true
}

// Queue returns the part of the wait that the request's own prompt does not take, in milliseconds.
func (p Picked) Queue() float64 { return p.Wait - p.Own() }

// Own returns the time in milliseconds that the engine needs for the request's own prompt.
func (p Picked) Own() float64 { return float64(p.Uncached) / ReadPerMS }

// draw returns positions below count at random. Some may be equal.
func draw(count int, random func() float64) [drawnCount]int {
	var drawn [drawnCount]int
	start, step := int(random()*float64(count)), 1+int(random()*float64(count-1))
	for i := range drawn {
		drawn[i] = (start + i*step) % count
	}
	return drawn
}

// least returns the candidate with the least cost of those that the function takes.
func (s session) least(candidates []Candidate, random func() float64, takes func(i int) bool) Picked {
	picks := make([]Picked, 0, len(candidates))
	best := math.Inf(1)
	for i, c := range candidates {
		if !takes(i) {
			continue
		}
		p := s.predict(c)
		picks = append(picks, p)
		best = min(best, p.cost)
	}
	near := picks[:0]
	for _, p := range picks {
		if p.cost <= best+nearMS {
			near = append(near, p)
		}
	}
	return near[min(int(random()*float64(len(near))), len(near)-1)]
}

func (s session) predict(c Candidate) Picked {
	request := s.request
	p := Picked{Candidate: c, Free: c.Slots == 0 || c.Load.Requests < c.Slots}
	wait := c.Penalty
	if !c.Local {
		wait += remoteMS
	}
	over := max(0, c.Load.Requests+1-c.Slots)
	if !request.Model {
		wait += plainMS * float64(c.Load.Requests) / float64(max(c.Slots, 1))
		wait += plainMS * float64(over) / float64(max(c.Slots, 1))
		p.Wait, p.cost = wait, wait
		return p
	}
	fetch, price := s.readPrompt(c, &p)
	wait += fetch
	wait += (c.Load.Reading + float64(p.Uncached)) / ReadPerMS
	wait += runningMS * float64(c.Load.Requests)
	if over > 0 && c.Slots > 0 {
		wait += AnswerTokenMS * float64(request.Answer) * float64(over) / float64(c.Slots)
	}
	if c.Memory > 0 {
		room := float64(c.Memory)*(1-reservedMemory) - c.Load.Memory - float64(request.Prompt+request.Answer)
		if room < 0 {
			p.Free = false
			wait += -room / ReadPerMS
		}
	}
	p.Wait, p.cost = wait, wait+price
	return p
}
