package relay

import (
	"maps"
	"time"

	"lentilstage.dev/decide/choice"
)

type (
	// prefixes are which engines keep which parts of prompts, as far as this daemon has placed them there
	// or has been told. It belongs to the tables.
	prefixes struct {
		lasts time.Duration
		until map[prefixKey]time.Time
		// own are the parts that this daemon has placed since it told the hubs, and news those that any
		// daemon has placed since this one told its followers.
		own, news untold
	}

	// prefixKey is a part of prompts at an engine, by short identifiers.
	prefixKey struct {
		endpoint, part uint32
	}

	// shortPart is a part of a prompt by its short identifier.
	shortPart struct {
		id     uint32
		tokens int
	}

	// prefixParts are parts by engine, as messages tell them.
	prefixParts map[uint32][]uint32

	// untold are parts for the next message. Their number is kept, since parts are added with the
	// tables locked.
	untold struct {
		parts prefixParts
		count int
	}
)

const (
	// maxPrefixes bounds the remembered parts.
	maxPrefixes = 40000
	// maxPrefixesTold bounds the parts in one message, so that its size does not grow with the load. What
	// is left out is not told: the parts are then read again somewhere.
	maxPrefixesTold = 200
	// tellAgainPart of the time for which a part counts as kept must have passed before it is told
	// again for the same engine.
	tellAgainPart = 0.5
)

func newPrefixes(lasts time.Duration) *prefixes {
	return &prefixes{lasts: lasts, until: map[prefixKey]time.Time{}}
}

// place notes that a prompt is sent to an engine. The last part belongs to one request only and is not
// told.
func (k *prefixes) place(endpoint string, parts []choice.Part, now time.Time) {
	id := shortID(endpoint)
	for i, p := range parts {
		key := prefixKey{id, shortID(p.ID)}
		left := k.until[key].Sub(now)
		k.until[key] = now.Add(k.lasts)
		if i < len(parts)-1 && float64(left) < (1-tellAgainPart)*float64(k.lasts) {
			k.own.add(key)
			k.news.add(key)
		}
	}
}

// heard takes in what another daemon has told. A hub tells it to its followers.
func (k *prefixes) heard(parts prefixParts, now time.Time) {
	for endpoint, list := range parts {
		for _, part := range list {
			key := prefixKey{endpoint, part}
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
func (k *prefixes) tokens(endpoint uint32, parts []shortPart, now time.Time) int {
	tokens := 0
	for _, p := range parts {
		if !now.Before(k.until[prefixKey{endpoint, p.id}]) {
			break
		}
		tokens += p.tokens
	}
	return tokens
}

// drop forgets what an engine kept that is gone or has started again.
func (k *prefixes) drop(endpoint string) {
	id := shortID(endpoint)
	maps.DeleteFunc(k.until, func(key prefixKey, _ time.Time) bool { return key.endpoint == id })
}

// takeOwn and takeNews return what is to be told, and start anew.
func (k *prefixes) takeOwn() prefixParts  { return k.own.take() }
func (k *prefixes) takeNews() prefixParts { return k.news.take() }

func (u *untold) take() prefixParts {
	taken := u.parts
	*u = untold{}
	return taken
}

// add adds a part unless there are enough.
func (u *untold) add(key prefixKey) {
	if u.count >= maxPrefixesTold {
		return
	}
	if u.parts == nil {
		u.parts = prefixParts{}
	}
	u.parts[key.endpoint] = append(u.parts[key.endpoint], key.part)
	u.count++
}

// forget drops what no longer counts once there is too much.
func (k *prefixes) forget(now time.Time) {
	if len(k.until) > maxPrefixes {
		maps.DeleteFunc(k.until, func(_ prefixKey, until time.Time) bool { return now.After(until) })
	}
}
