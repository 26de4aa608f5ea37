package relay

import (
	"fmt"
	"math"
	"testing"
	"time"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/domain/setup"
)

// promptParts returns a prompt of two shared parts and one that belongs to the request only.
func promptParts(session, request string) []choice.Part {
	return []choice.Part{{ID: "common", Tokens: 2500}, {ID: session, Tokens: 3800}, {ID: request, Tokens: 2700}}
}

func (p prefixParts) count() int {
	count := 0
	for _, list := range p {
		count += len(list)
	}
	return count
}

// TestPrefixesAreShared guards against daemons that don't know where the others have sent a session,
// so that other engines compute its shared parts again.
func TestPrefixesAreShared(t *testing.T) {
	now := time.Unix(1000, 0)
	one, other := newPrefixTable(9*time.Second), newPrefixTable(9*time.Second)
	one.place("engine-1", promptParts("session-1", "request-1"), now)
	other.observe(one.drainOwn(), true, now)
	next := shortParts(promptParts("session-1", "request-2"))
	if got := other.tokens(shortID("engine-1"), next, now); got != 6300 {
		t.Errorf("%d tokens count as cached, want 6300", got)
	}
	if got := other.tokens(shortID("engine-2"), next, now); got != 0 {
		t.Errorf("%d tokens count as cached at an engine without requests", got)
	}
	if pending := other.drainAll(); pending.count() != 2 {
		t.Errorf("a hub reports %d parts to its followers, want 2", pending.count())
	}
	one.place("engine-1", promptParts("session-1", "request-3"), now.Add(time.Second))
	if again := one.drainOwn(); again.count() != 0 {
		t.Errorf("%d parts are reported again that others know", again.count())
	}
	if got := other.tokens(shortID("engine-1"), next, now.Add(10*time.Second)); got != 0 {
		t.Errorf("%d tokens count as cached after their expiry", got)
	}
	one.dropEndpoint("engine-1")
	if got := one.tokens(shortID("engine-1"), next, now.Add(time.Second)); got != 0 {
		t.Errorf("%d tokens count as cached at a restarted engine", got)
	}
}

// TestPrefixesAreBounded guards against messages and tables that grow with the load.
func TestPrefixesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newPrefixTable(9 * time.Second)
	for i := range 3 * maxPrefixes {
		k.place("engine-1", promptParts(fmt.Sprint("session-", i), fmt.Sprint("request-", i)), now)
		now = now.Add(time.Millisecond)
		k.expire(now)
	}
	if got := k.drainOwn().count(); got > maxPrefixesPerMessage {
		t.Errorf("%d parts are in one message", got)
	}
	// Parts that have not expired are kept: at 2,000 new ones a second that is 18,000.
	if got := len(k.expiresAt); got > maxPrefixes+1 {
		t.Errorf("%d parts are in the table", got)
	}
	// At a higher rate more than the limit is alive, and the parts that expire first are dropped.
	for i := range 2 * maxPrefixes {
		k.place("engine-2", promptParts(fmt.Sprint("burst-", i), fmt.Sprint("request-", i)), now)
		now = now.Add(10 * time.Microsecond)
		k.expire(now)
	}
	if got := len(k.expiresAt); got > maxPrefixes+1 {
		t.Errorf("%d parts are in the table during a burst", got)
	}
	last := promptParts(fmt.Sprint("burst-", 2*maxPrefixes-1), "request")
	if got := k.tokens(shortID("engine-2"), shortParts(last), now); got == 0 {
		t.Error("the newest part was dropped")
	}
}

// TestFetchSource guards against a request without a source to fetch from, or with the receiving
// engine as the source: the engine would compute the complete prompt.
func TestFetchSource(t *testing.T) {
	now := time.Unix(1000, 0)
	tables := newTables(Settings{Name: "entry-1", DataCentre: "a", Limits: Limits{CacheReuseWindow: 9 * time.Second}}, "first")
	config, err := setup.New(1,
		[]setup.Route{{Name: "r", Host: "h", Prefix: "/", ServiceWeights: []setup.ServiceWeight{{Service: "pool", Weight: 1}}}},
		[]setup.Service{{Name: "pool", Engine: &setup.Engine{Slots: 64, KVCacheTokens: 400000, FetchTokensPerMS: 400}}}, nil, setup.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	tables.applyConfig(config, Record{Key: "config"}, now)
	for i := range 2 {
		id := fmt.Sprint("engine-", i+1)
		endpoint := setup.Endpoint{ID: id, Service: "pool", Address: "127.0.0.1:" + fmt.Sprint(i+1), DataCentre: "a", Slots: 64, State: setup.Ready}
		tables.putEndpoint(Record{Key: id, Offset: int64(i + 1)}, endpoint, now)
	}
	other := newPrefixTable(9 * time.Second)
	other.place("engine-1", promptParts("session-1", "request-1"), now)
	tables.observe(message{
		Daemon: "entry-2", Incarnation: "1", Prefixes: other.drainOwn(),
		Loads: map[uint32]load{shortID("engine-1"): {Requests: 9, Reading: 30000}}, LoadsTo: math.MaxUint32,
	}, now.Add(time.Second), now)
	call := Call{PromptTokens: 9000, Parts: promptParts("session-1", "request-2")}
	endpoint, _, placed, ok := tables.place(placeRequest{service: "pool", call: call, target: time.Second}, now, func() float64 { return 0 })
	if !ok || endpoint.ID != "engine-2" || placed.source != "127.0.0.1:1" {
		t.Errorf("%s fetches from %q, want engine-2 and 127.0.0.1:1", endpoint.ID, placed.source)
	}
	if placed.load.Reading != 2700 {
		t.Errorf("load of %g tokens to read, want 2700", placed.load.Reading)
	}
}
