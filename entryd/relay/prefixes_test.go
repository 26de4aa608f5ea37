package relay

import (
	"fmt"
	"testing"
	"time"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/domain/setup"
)

// promptOf returns a prompt of two shared parts and one of its own.
func promptOf(session, request string) []choice.Part {
	return []choice.Part{{ID: "common", Tokens: 2500}, {ID: session, Tokens: 3800}, {ID: request, Tokens: 2700}}
}

func (p prefixParts) count() int {
	count := 0
	for _, list := range p {
		count += len(list)
	}
	return count
}

// TestPromptsAreTold guards against daemons that don't know where the others have sent a session, so that
// its shared parts are read again at other engines.
func TestPromptsAreTold(t *testing.T) {
	now := time.Unix(1000, 0)
	one, other := newPrefixes(9*time.Second), newPrefixes(9*time.Second)
	one.place("engine-1", promptOf("session-1", "request-1"), now)
	other.heard(one.takeOwn(), now)
	next := shortParts(promptOf("session-1", "request-2"))
	if got := other.tokens(shortID("engine-1"), next, now); got != 6300 {
		t.Errorf("%d tokens are known to be kept, want 6300", got)
	}
	if got := other.tokens(shortID("engine-2"), next, now); got != 0 {
		t.Errorf("%d tokens are taken to be kept where none were sent", got)
	}
	if news := other.takeNews(); news.count() != 2 {
		t.Errorf("a hub tells %d parts to its followers, want 2", news.count())
	}
	one.place("engine-1", promptOf("session-1", "request-3"), now.Add(time.Second))
	if again := one.takeOwn(); again.count() != 0 {
		t.Errorf("%d parts are told again that others know", again.count())
	}
	if got := other.tokens(shortID("engine-1"), next, now.Add(10*time.Second)); got != 0 {
		t.Errorf("%d tokens are taken to be kept after their time", got)
	}
	one.drop("engine-1")
	if got := one.tokens(shortID("engine-1"), next, now.Add(time.Second)); got != 0 {
		t.Errorf("%d tokens are taken to be kept by an engine that has started again", got)
	}
}

// TestToldPromptsAreBounded guards against messages and tables that grow with the load.
func TestToldPromptsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newPrefixes(9 * time.Second)
	for i := range 3 * maxPrefixes {
		k.place("engine-1", promptOf(fmt.Sprint("session-", i), fmt.Sprint("request-", i)), now)
		now = now.Add(time.Millisecond)
		k.forget(now)
	}
	if got := k.takeOwn().count(); got > maxPrefixesTold {
		t.Errorf("%d parts are told at once", got)
	}
	// Parts that still count stay: at 2,000 new ones a second that is 18,000.
	if got := len(k.until); got > maxPrefixes+1 {
		t.Errorf("%d parts are remembered", got)
	}
}

// TestFetchNamesItsSource guards against a request that is told to fetch from nowhere or from the engine
// that gets it: the engine would read the whole prompt.
func TestFetchNamesItsSource(t *testing.T) {
	now := time.Unix(1000, 0)
	tables := newTables(Settings{Name: "entry-1", DataCentre: "a", Bounds: Bounds{CacheReuse: 9 * time.Second}}, "first")
	config, err := setup.New(1,
		[]setup.Route{{Name: "r", Host: "h", Prefix: "/", Shares: []setup.Share{{Service: "pool", Weight: 1}}}},
		[]setup.Service{{Name: "pool", Engine: &setup.Engine{Slots: 64, Memory: 400000, FetchPerMS: 400}}}, nil, setup.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	tables.configure(config, Record{Key: "config"}, now)
	for i := range 2 {
		id := fmt.Sprint("engine-", i+1)
		endpoint := setup.Endpoint{ID: id, Service: "pool", Address: "127.0.0.1:" + fmt.Sprint(i+1), DataCentre: "a", Slots: 64, State: setup.Ready}
		tables.put(Record{Key: id, Offset: int64(i + 1)}, endpoint, now)
	}
	other := newPrefixes(9 * time.Second)
	other.place("engine-1", promptOf("session-1", "request-1"), now)
	tables.heard(message{
		Daemon: "entry-2", Incarnation: "1", Prefixes: other.takeOwn(),
		Loads: map[uint32]load{shortID("engine-1"): {Requests: 9, Reading: 30000}},
	}, now)
	call := Call{PromptTokens: 9000, Parts: promptOf("session-1", "request-2")}
	endpoint, _, placed, ok := tables.place(wanted{service: "pool", call: call, target: time.Second}, now, func() float64 { return 0 })
	if !ok || endpoint.ID != "engine-2" || placed.source != "127.0.0.1:1" {
		t.Errorf("%s fetches from %q, want engine-2 from 127.0.0.1:1", endpoint.ID, placed.source)
	}
	if placed.load.Reading != 2700 {
		t.Errorf("%g tokens to read are counted, want 2700", placed.load.Reading)
	}
}
