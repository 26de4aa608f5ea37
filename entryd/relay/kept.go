package relay

import (
	"maps"
	"time"

	"lentilstage.dev/decide/choice"
)

type (
	// kept is which engines keep which parts of prompts, as far as this daemon has placed them there
	// or has been told. It belongs to the tables.
	kept struct {
		lasts time.Duration
		until map[keptKey]time.Time
		// own are the parts that this daemon has placed since it told the hubs, and news those that any
		// daemon has placed since this one told its followers.
		own, news keptParts
	}

	// keptKey is a part of prompts at an engine, by short identifiers.
	keptKey struct {
		endpoint, part uint32
	}

	// shortPart is a part of a prompt by its short identifier.
	shortPart struct {
		id     uint32
		tokens int
	}

	// keptParts are parts by engine, as messages tell them.
	keptParts map[uint32][]uint32
)

const (
	// maxKept bounds the remembered parts.
	maxKept = 40000
	// maxKeptTold bounds the parts in one message, so that its size does not grow with the load. What
	// is left out is not told: the parts are then read again somewhere.
	maxKeptTold = 200
	// tellAgainPart of the time for which a part counts as kept must have passed before it is told
	// again for the same engine.
	tellAgainPart = 0.5
)

func newKept(lasts time.Duration) *kept {
	return &kept{lasts: lasts, until: map[keptKey]time.Time{}, own: keptParts{}, news: keptParts{}}
}

// place notes that a prompt is sent to an engine. The last part belongs to one request only and is not
// told.
func (k *kept) place(endpoint string, parts []choice.Part, now time.Time) {
	id := shortID(endpoint)
	for i, p := range parts {
		key := keptKey{id, shortID(p.ID)}
		left := k.until[key].Sub(now)
		k.until[key] = now.Add(k.lasts)
		if i < len(parts)-1 && float64(left) < (1-tellAgainPart)*float64(k.lasts) {
			k.own.add(key)
			k.news.add(key)
		}
	}
}

// heard takes in what another daemon has told. A hub tells it to its followers.
func (k *kept) heard(parts keptParts, now time.Time) {
	for endpoint, list := range parts {
		for _, part := range list {
			key := keptKey{endpoint, part}
			k.until[key] = now.Add(k.lasts)
			k.news.add(key)
		}
	}
}

// shortParts returns the parts of a prompt by their short identifiers.
func shortParts(parts []choice.Part) []shortPart {
	short := make([]shortPart, len(parts))
	for i, p := range parts {
		short[i] = shortPart{id: shortID(p.ID), tokens: p.Tokens}
	}
	return short
}

// tokens returns how many leading prompt tokens an engine keeps.
func (k *kept) tokens(endpoint uint32, parts []shortPart, now time.Time) int {
	tokens := 0
	for _, p := range parts {
		if !now.Before(k.until[keptKey{endpoint, p.id}]) {
			break
		}
		tokens += p.tokens
	}
	return tokens
}

// drop forgets what an engine kept that is gone or has started again.
func (k *kept) drop(endpoint string) {
	id := shortID(endpoint)
	maps.DeleteFunc(k.until, func(key keptKey, _ time.Time) bool { return key.endpoint == id })
}

// takeOwn and takeNews return what is to be told, and start anew.
func (k *kept) takeOwn() keptParts  { return take(&k.own) }
func (k *kept) takeNews() keptParts { return take(&k.news) }

func take(parts *keptParts) keptParts {
	taken := *parts
	*parts = keptParts{}
	return taken
}

// forget drops what no longer counts once there is too much.
func (k *kept) forget(now time.Time) {
	if len(k.until) > maxKept {
		maps.DeleteFunc(k.until, func(_ keptKey, until time.Time) bool { return now.After(until) })
	}
}

// add adds a part unless there are enough.
func (p keptParts) add(key keptKey) {
	if p.count() < maxKeptTold {
		p[key.endpoint] = append(p[key.endpoint], key.part)
	}
}

func (p keptParts) count() int {
	count := 0
	for _, list := range p {
		count += len(list)
	}
	return count
}
