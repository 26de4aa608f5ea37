package choice

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// selection is a request with the candidates that are preferred for their prompt cache.
type selection struct {
	request Request
	// homeID is the first candidate in the rendezvous order of the session. All daemons prefer it as
	// long as no candidate has the shared parts in its cache.
	homeID string
	// cacheHolder is the endpoint with the most prompt tokens in its cache; the zero value has none.
	cacheHolder Candidate
	// commonPenalty is the lowest penalty of all candidates. It tells none of them from the others, and is
	// no part of the predicted wait: nothing waits at an endpoint because it is doubted.
	commonPenalty float64
}

const (
	// fetchOverheadMS is the fixed time of a fetch, in milliseconds.
	fetchOverheadMS = 2
	// minFetchGain is how many times longer the engine must take to compute tokens than to fetch them.
	minFetchGain = 2.4
	// movedTokensPerMS is the number of tokens that adds a millisecond to the cost, besides their time,
	// if they are fetched or are shared tokens computed away from the session's home engine: transfers
	// cost money, and a second copy uses cache memory.
	movedTokensPerMS = 100
)

func newSelection(request Request, candidates []Candidate) selection {
	s := selection{request: request, commonPenalty: candidates[0].Penalty}
	for _, c := range candidates {
		s.commonPenalty = min(s.commonPenalty, c.Penalty)
	}
	if !request.Model {
		return s
	}
	for _, list := range [][]Candidate{candidates, request.Sources} {
		for _, c := range list {
			if c.Cached > s.cacheHolder.Cached {
				s.cacheHolder = c
			}
		}
	}
	if request.Session == "" {
		return s
	}
	s.homeID = home(request.Session, candidates)
	return s
}

// home returns the first candidate in the rendezvous order of a session. A candidate is the first of as many sessions
// as its speed allows.
func home(session string, candidates []Candidate) string {
	differ := false
	for _, c := range candidates {
		differ = differ || c.Speed != candidates[0].Speed
	}
	var first string
	var highestScore uint64
	shortest := math.Inf(1)
	for _, c := range candidates {
		score := xxhash.Sum64String(session + "/" + c.ID)
		if !differ {
			if first == "" || score > highestScore {
				first, highestScore = c.ID, score
			}
			continue
		}
		// Exponentially distributed times with the speeds as rates: each candidate has the shortest one with a
		// probability proportional to its speed. The order of two candidates of the same speed is that of their scores.
		uniform := (float64(score>>11) + 0.5) / (1 << 53)
		if time := -math.Log(uniform) / c.speed(); first == "" || time < shortest {
			first, shortest = c.ID, time
		}
	}
	return first
}

// worthFetching reports whether an engine that computes a number of tokens per millisecond should fetch cached tokens
// from another one.
func (s selection) worthFetching(tokens int, prefillPerMS float64) bool {
	if s.request.FetchPerMS <= 0 || tokens <= 0 {
		return false
	}
	fetch := fetchOverheadMS + float64(tokens)/s.request.FetchPerMS
	return float64(tokens)/prefillPerMS >= minFetchGain*fetch
}

// planPrefill sets in p how many prompt tokens the candidate computes and how many it fetches. It
// returns the time of the fetch and the cost of moved tokens, both in milliseconds. p has the candidate's pace.
func (s selection) planPrefill(c Candidate, p *Picked) (fetch, transferCost float64) {
	p.Uncached = max(s.request.Prompt-c.Cached, 1)
	fetchable := min(s.cacheHolder.Cached, s.request.Prompt-1) - c.Cached
	if s.worthFetching(fetchable, p.pace.PrefillPerMS) && c.Version == s.cacheHolder.Version {
		p.Source, p.Fetched = s.cacheHolder.ID, fetchable
		p.Uncached -= fetchable
		fetch = fetchOverheadMS + float64(fetchable)/s.request.FetchPerMS
		transferCost = float64(fetchable) / movedTokensPerMS
	}
	if uncachedShared := s.request.Shared - c.Cached - p.Fetched; uncachedShared > 0 && c.ID != s.homeID {
		transferCost += float64(uncachedShared) / movedTokensPerMS
	}
	return fetch, transferCost
}
