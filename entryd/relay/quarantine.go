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
	told := 0
	for p := range t.tellers() {
		told += p.breaks[key]
	}
	return t.suspects.Blocked(key, told, now)
}

// attempted notes whether an endpoint has answered a request or its attempt broke off.
func (t *tables) attempted(key suspect.Key, result outcome, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch result {
	case broken:
		t.suspects.Broke(key, now)
	case delivered, failed:
		t.suspects.Answered(key)
	default:
	}
}

// quarantine takes in what other daemons keep out. The tables are locked.
func (t *tables) quarantine(told map[suspect.Key]int, now time.Time) {
	for key, strikes := range told {
		t.suspects.Quarantine(key, strikes, now)
	}
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
