package intake

import (
	"maps"
	"time"
)

type (
	// Senders bounds the bytes of datagrams that are decoded, by sender. Datagrams can't be refused; those beyond
	// the bound are dropped. Senders without a message that was accepted share one bound, so that a flood
	// with forged addresses costs no more than one of a single sender.
	Senders struct {
		accepted  map[string]*tokens
		strangers tokens
		prunedAt  time.Time
	}

	// tokens is a token bucket in bytes.
	tokens struct {
		level     float64
		updatedAt time.Time
	}
)

const (
	// datagramRate and datagramBurst bound a sender in bytes and bytes per second. At 390 daemons, a hub sends
	// another one 100 KB/s, and a burst of 600 KB if all endpoints are replaced at once.
	datagramRate  = 512 << 10
	datagramBurst = 1 << 20
	// maxSenders bounds the accepted senders; the design's largest fleet has 390 daemons.
	maxSenders = 4096
	// senderTTL is the time after which a sender is forgotten.
	senderTTL = 70 * time.Second
)

// NewSenders returns a state that knows no sender.
func NewSenders(now time.Time) *Senders {
	return &Senders{accepted: map[string]*tokens{}, strangers: tokens{level: datagramBurst, updatedAt: now}, prunedAt: now}
}

// Admit reports whether a datagram may be decoded.
func (s *Senders) Admit(sender string, size int, now time.Time) bool {
	if t, ok := s.accepted[sender]; ok {
		return t.take(size, now)
	}
	return s.strangers.take(size, now)
}

// Accept records that a message of a sender was accepted, which gives it a bound of its own.
func (s *Senders) Accept(sender string, now time.Time) {
	if now.Sub(s.prunedAt) > senderTTL {
		s.prunedAt = now
		maps.DeleteFunc(s.accepted, func(_ string, t *tokens) bool { return now.Sub(t.updatedAt) > senderTTL })
	}
	if _, ok := s.accepted[sender]; !ok && len(s.accepted) < maxSenders {
		s.accepted[sender] = &tokens{level: datagramBurst, updatedAt: now}
	}
}

func (t *tokens) take(size int, now time.Time) bool {
	if elapsed := now.Sub(t.updatedAt); elapsed > 0 {
		t.level = min(t.level+datagramRate*elapsed.Seconds(), datagramBurst)
		t.updatedAt = now
	}
	if t.level < float64(size) {
		return false
	}
	t.level -= float64(size)
	return true
}
