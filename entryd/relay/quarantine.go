package relay

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilstage.dev/decide/suspect"
)

// quarantineRetry is when a caller may come back with a request that is kept out.
const quarantineRetry = 20 * time.Second

// suspectKey returns what a request that crashes endpoints is known by when it comes again: its
// caller, path and body.
func suspectKey(c Call) suspect.Key {
	h := xxhash.New()
	for _, part := range []string{c.Key, c.Host, c.Method, c.Target} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return suspect.Key(h.Sum64())
}

// kept reports whether the request is kept out because it has crashed endpoints.
func (t *tables) kept(key suspect.Key, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.suspects.Blocked(key, t.breaksElsewhere(key), now)
}

// breaksElsewhere returns the breaks of a request that other daemons have told. The tables are locked.
func (t *tables) breaksElsewhere(key suspect.Key) int {
	told := 0
	for p := range t.tellers() {
		told += p.breaks[key]
	}
	return told
}

// attempted notes whether an endpoint has answered a request or its attempt broke off.
func (t *tables) attempted(key suspect.Key, result outcome, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch result {
	case broken:
		t.suspects.Broke(key, now)
	case delivered, failed:
		t.suspects.Answered(key, t.breaksElsewhere(key) > 0, now)
	default:
	}
}

// hearSuspects takes in what other daemons keep out, and which suspects they have had answers to. It
// returns the times of these answers. The tables are locked.
func (t *tables) hearSuspects(m message, now time.Time) map[suspect.Key]time.Time {
	for key, strikes := range m.Quarantined {
		t.suspects.Quarantine(key, strikes, now)
	}
	answered := make(map[suspect.Key]time.Time, len(m.AnsweredMS))
	for key, age := range m.AnsweredMS {
		answered[key] = now.Add(-time.Duration(age) * time.Millisecond)
		t.suspects.HeardAnswer(key, answered[key])
	}
	return answered
}

// keepOut refuses a request that has crashed endpoints and reports whether it did.
func (x *exchange) keepOut() bool {
	now := x.daemon.clock.now()
	if !x.daemon.tables.kept(x.suspect, now) {
		return false
	}
	x.daemon.meters.count("Requests.Quarantined")
	x.refuse(http.StatusServiceUnavailable, "Quarantined", now.Add(quarantineRetry))
	return true
}
