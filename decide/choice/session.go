package choice

import "github.com/cespare/xxhash/v2"

// session is a request with the candidates that matter for the parts of its prompt.
type session struct {
	request Request
	// home is the first candidate in the rendezvous order of the session. While none keeps its shared
	// parts, all daemons tend to send it there.
	home string
	// keeper is the candidate that keeps the most of the prompt; the zero value keeps nothing.
	keeper Candidate
}

const (
	// fetchMS is the time in milliseconds that a fetch takes besides its tokens.
	fetchMS = 2
	// leastFetch is the number of tokens from which a fetch is worth its time: reading them takes
	// three times as long.
	leastFetch = 250
	// movedPerMS tokens that are fetched, or read away from the session's home, weigh a millisecond
	// beside their time: bytes that are moved have a price, and so has memory that is used twice.
	movedPerMS = 100
)

func newSession(request Request, candidates []Candidate) session {
	s := session{request: request}
	if !request.Model {
		return s
	}
	for _, list := range [][]Candidate{candidates, request.Sources} {
		for _, c := range list {
			if c.Cached > s.keeper.Cached {
				s.keeper = c
			}
		}
	}
	if request.Session == "" {
		return s
	}
	var top uint64
	for _, c := range candidates {
		if score := xxhash.Sum64String(request.Session + "/" + c.ID); s.home == "" || score > top {
			s.home, top = c.ID, score
		}
	}
	return s
}

// readPrompt sets how much of the prompt a candidate reads and how much it fetches. It returns the time
// of the fetch, and what the place costs besides its time, both in milliseconds.
func (s session) readPrompt(c Candidate, p *Picked) (fetch, price float64) {
	p.Uncached = max(s.request.Prompt-c.Cached, 1)
	more := min(s.keeper.Cached, s.request.Prompt-1) - c.Cached
	if s.request.FetchPerMS > 0 && c.Version == s.keeper.Version && more >= leastFetch {
		p.Source, p.Fetched = s.keeper.ID, more
		p.Uncached -= more
		fetch = fetchMS + float64(more)/s.request.FetchPerMS
		price = float64(more) / movedPerMS
	}
	if unread := s.request.Shared - c.Cached - p.Fetched; unread > 0 && c.ID != s.home {
		price += float64(unread) / movedPerMS
	}
	return fetch, price
}
