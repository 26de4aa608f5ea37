package relay

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilstage.dev/decide/suspect"
)

// quarantineRetryDelay is the delay after which a caller may retry a quarantined request.
const quarantineRetryDelay = 20 * time.Second

// suspectKey identifies a request by its caller, path and body, so that it is recognised when
// it is sent again.
func suspectKey(c Call) suspect.Key {
	h := xxhash.New()
	for _, part := range []string{c.Credential, c.Host, c.Method, c.Target} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	for _, piece := range c.Body.AppendTo(nil) {
		_, _ = h.Write(piece)
	}
	return suspect.Key(h.Sum64())
}

// quarantined reports whether the request is in quarantine because it has crashed endpoints.
func (t *tables) quarantined(key suspect.Key, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.suspects.Blocked(key, t.peerBreaks(key), now)
}

// hasQuarantines reports whether a request or a part of prompts is quarantined.
func (t *tables) hasQuarantines(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.poison.HasQuarantines() || len(t.suspects.Quarantines(1, now)) > 0
}

// peerBreaks returns the number of a request's broken attempts that other daemons have reported. The
// caller holds the lock.
func (t *tables) peerBreaks(key suspect.Key) int {
	sum := 0
	for p := range t.reporters() {
		sum += p.breaks[key]
	}
	return sum
}

// recordAttempt records whether an endpoint has responded to a request or its attempt broke.
func (t *tables) recordAttempt(key suspect.Key, result outcome, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch result {
	case broken:
		t.suspects.RecordFailure(key, now)
	case delivered, failed:
		t.suspects.RecordAnswer(key, t.peerBreaks(key) > 0, now)
	default:
	}
}

// applySuspects applies the quarantines of other daemons and their responses to suspect requests. It
// returns the times of these responses. The caller holds the lock.
func (t *tables) applySuspects(m message, now time.Time) map[suspect.Key]time.Time {
	for key, count := range m.Quarantined {
		t.suspects.Quarantine(key, count, now)
	}
	responses := make(map[suspect.Key]time.Time, len(m.AnsweredMS))
	for key, age := range m.AnsweredMS {
		responses[key] = now.Add(-time.Duration(age) * time.Millisecond)
		t.suspects.MergeAnswer(key, responses[key])
	}
	return responses
}

// refuseQuarantined refuses a request in quarantine and reports whether it did.
func (x *exchange) refuseQuarantined() bool {
	now := x.daemon.clock.now()
	if !x.daemon.tables.quarantined(x.suspect, now) {
		return false
	}
	x.daemon.meters.count("Requests.Quarantined")
	x.refuse(http.StatusServiceUnavailable, "Quarantined", now.Add(quarantineRetryDelay))
	return true
}
