package relay

import (
	"maps"
	"slices"
	"time"

	"lentilstage.dev/decide/choice"
)

type (
	// prefixTable records which engines have cached which parts of prompts, as far as this daemon has
	// sent them there or other daemons have reported it. It is guarded by the lock of tables.
	prefixTable struct {
		ttl       time.Duration
		expiresAt map[prefixKey]time.Time
		// ownPending holds the parts that this daemon has sent since its last digest, centrePending
		// those of its data centre since the last sums, and allPending those that any daemon has sent
		// since the last totals.
		ownPending, centrePending, allPending pendingParts
	}

	// prefixKey identifies a part of prompts at an engine, by short identifiers.
	prefixKey struct {
		endpoint, part uint32
	}

	// shortPart is a part of a prompt with its short identifier.
	shortPart struct {
		id     uint32
		tokens int
	}

	// prefixParts are the parts by engine, as messages contain them.
	prefixParts map[uint32][]uint32

	// pendingParts are parts for the next message. They are counted as they are added, since that
	// happens with the tables locked.
	pendingParts struct {
		parts prefixParts
		count int
	}
)

const (
	// maxPrefixes limits the parts in the table.
	maxPrefixes = 40000
	// maxPrefixesPerMessage limits the parts in one message, so that its size does not grow with the
	// load. Parts beyond it are not reported, so another engine may compute them again.
	maxPrefixesPerMessage = 200
	// resendFraction of a part's TTL must have passed before it is reported again for the same
	// engine.
	resendFraction = 0.5
)

func newPrefixTable(ttl time.Duration) *prefixTable {
	return &prefixTable{ttl: ttl, expiresAt: map[prefixKey]time.Time{}}
}

// place records that a prompt is sent to an engine. The last part belongs to this request only
// and is not reported.
func (t *prefixTable) place(endpoint string, parts []choice.Part, now time.Time) {
	id := shortID(endpoint)
	for i, p := range parts {
		key := prefixKey{id, shortID(p.ID)}
		left := t.expiresAt[key].Sub(now)
		t.expiresAt[key] = now.Add(t.ttl)
		if i < len(parts)-1 && float64(left) < (1-resendFraction)*float64(t.ttl) {
			t.ownPending.add(key)
			t.centrePending.add(key)
			t.allPending.add(key)
		}
	}
}

// observe adds the parts that another daemon has reported. A hub reports them to its followers, and
// those of its own data centre to the other hubs.
func (t *prefixTable) observe(parts prefixParts, ownCentre bool, now time.Time) {
	for endpoint, list := range parts {
		for _, part := range list {
			key := prefixKey{endpoint, part}
			t.expiresAt[key] = now.Add(t.ttl)
			t.allPending.add(key)
			if ownCentre {
				t.centrePending.add(key)
			}
		}
	}
}

// shortParts returns the parts of a prompt with their short identifiers.
func shortParts(parts []choice.Part) []shortPart {
	short := make([]shortPart, len(parts))
	for i, p := range parts {
		short[i] = shortPart{id: shortID(p.ID), tokens: p.Tokens}
	}
	return short
}

// tokens returns how many leading tokens of the prompt an engine has cached.
func (t *prefixTable) tokens(endpoint uint32, parts []shortPart, now time.Time) int {
	tokens := 0
	for _, p := range parts {
		if !now.Before(t.expiresAt[prefixKey{endpoint, p.id}]) {
			break
		}
		tokens += p.tokens
	}
	return tokens
}

// dropEndpoint removes the parts of an engine that is gone or has restarted.
func (t *prefixTable) dropEndpoint(endpoint string) {
	id := shortID(endpoint)
	maps.DeleteFunc(t.expiresAt, func(key prefixKey, _ time.Time) bool { return key.endpoint == id })
}

// drainOwn, drainCentre and drainAll return the pending parts and clear them.
func (t *prefixTable) drainOwn() prefixParts    { return t.ownPending.drain() }
func (t *prefixTable) drainCentre() prefixParts { return t.centrePending.drain() }
func (t *prefixTable) drainAll() prefixParts    { return t.allPending.drain() }

func (p *pendingParts) drain() prefixParts {
	drained := p.parts
	*p = pendingParts{}
	return drained
}

// add adds a part unless the limit is reached.
func (p *pendingParts) add(key prefixKey) {
	if p.count >= maxPrefixesPerMessage {
		return
	}
	if p.parts == nil {
		p.parts = prefixParts{}
	}
	p.parts[key.endpoint] = append(p.parts[key.endpoint], key.part)
	p.count++
}

// expire removes expired parts once the table exceeds its limit. If too many are left, those that
// expire first are removed too, a tenth of the limit more than needed, since the search is slow.
func (t *prefixTable) expire(now time.Time) {
	if len(t.expiresAt) <= maxPrefixes {
		return
	}
	maps.DeleteFunc(t.expiresAt, func(_ prefixKey, expiresAt time.Time) bool { return now.After(expiresAt) })
	if len(t.expiresAt) <= maxPrefixes {
		return
	}
	times := slices.SortedFunc(maps.Values(t.expiresAt), time.Time.Compare)
	cutoff := times[len(times)-maxPrefixes*9/10]
	maps.DeleteFunc(t.expiresAt, func(_ prefixKey, expiresAt time.Time) bool { return expiresAt.Before(cutoff) })
}
