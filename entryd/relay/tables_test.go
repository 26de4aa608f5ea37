package relay

import (
	"fmt"
	"testing"
	"time"

	"lentilstage.dev/decide/health"
	"lentilstage.dev/decide/homes"
	"lentilstage.dev/decide/roster"
	"lentilstage.dev/domain/setup"
)

// TestPlacementCountsWork guards against a placement that fails because of an uninitialised table,
// and against work that is missing from the capacity plan.
func TestPlacementCountsWork(t *testing.T) {
	now := time.Unix(1000, 0)
	tables := newTables(Settings{Name: "entry-1", DataCentre: "a", Limits: Limits{CacheReuseWindow: time.Second}}, "first")
	config, err := setup.New(1,
		[]setup.Route{{Name: "r", Host: "h", Prefix: "/", ServiceWeights: []setup.ServiceWeight{{Service: "pool", Weight: 1}}}},
		[]setup.Service{{Name: "pool", Engine: &setup.Engine{Slots: 4, KVCacheTokens: 100000}}}, nil, setup.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	tables.applyConfig(config, Record{Key: "config"}, now)
	endpoint := setup.Endpoint{ID: "e1", Service: "pool", Address: "127.0.0.1:1", DataCentre: "a", Slots: 4, State: setup.Ready, Reclaimable: true}
	tables.putEndpoint(Record{Key: "e1", Offset: 1}, endpoint, now)
	_, _, placed, ok := tables.place(placeRequest{service: "pool", call: Call{PromptTokens: 4000}, target: time.Second}, now, func() float64 { return 0 })
	if !ok {
		t.Fatal("no endpoint")
	}
	if load := tables.load("e1", tables.peerLoads(now)); load.Requests != 1 || load.Reading != 4000 {
		t.Errorf("load %+v, want 1 request and 4000 tokens to read", load)
	}
	tables.observe(message{Daemon: "entry-2", Incarnation: "1", Work: map[string]int64{"pool": 100}}, now.Add(time.Second), now)
	tables.observe(message{Daemon: "entry-2", Incarnation: "1", Work: map[string]int64{"pool": 600}, Used: map[string]int64{"a": 7}}, now.Add(time.Second), now)
	tables.observe(message{Daemon: "entry-2", Incarnation: "2"}, now.Add(time.Second), now)
	ready, work, _ := tables.serviceState("pool", now)
	if len(ready) != 1 || work < 0.6 || work > 0.7 {
		t.Errorf("ready endpoints %v with work of %.3f s, want one kind and 0.6 to 0.7 s", ready, work)
	}
	tables.release(placed)
	if load := tables.load("e1", tables.peerLoads(now)); load.Requests != 0 {
		t.Errorf("load %+v after the release, want none", load)
	}
}

// TestSnapshotKeepsNewerRecord guards against a snapshot with an outdated record of an endpoint that
// is leaving: a daemon that starts from it would send requests there.
func TestSnapshotKeepsNewerRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	tables := newTables(Settings{Name: "entry-1"}, "first")
	putEndpoint := func(offset int64, state setup.State, text string) {
		e := setup.Endpoint{ID: "e1", Service: "pool", Address: "127.0.0.1:1", Slots: 4, State: state}
		tables.putEndpoint(Record{Key: "e1", Offset: offset, Value: []byte(text)}, e, now)
	}
	putEndpoint(5, setup.Leaving, "leaving")
	putEndpoint(4, setup.Ready, "ready")
	if s := tables.snapshot(); len(s.Endpoints) != 1 || string(s.Endpoints[0].Value) != "leaving" {
		t.Errorf("snapshot %+v, want the newer record", s.Endpoints)
	}
}

// TestEndpointSlotsUpdate guards against an endpoint whose previous registration stays in use.
func TestEndpointSlotsUpdate(t *testing.T) {
	now := time.Unix(1000, 0)
	tables := newTables(Settings{Name: "entry-1"}, "first")
	for offset, slots := range []int{4, 8} {
		e := setup.Endpoint{ID: "e1", Service: "pool", Address: "127.0.0.1:1", Slots: slots, State: setup.Ready}
		tables.putEndpoint(Record{Key: "e1", Offset: int64(offset)}, e, now)
		tables.refresh(now)
		if known, ok := tables.endpoint("e1"); !ok || known.Slots != slots {
			t.Errorf("%d slots known, want %d", known.Slots, slots)
		}
	}
}

// TestAnnouncedLeavingIsNoDivergence guards against a daemon that fetches the endpoints of its hub again and again
// because an endpoint has said to this daemon alone that it is leaving.
func TestAnnouncedLeavingIsNoDivergence(t *testing.T) {
	now := time.Unix(1000, 0)
	endpoint := setup.Endpoint{ID: "e1", Service: "pool", Address: "127.0.0.1:1", Slots: 4, State: setup.Ready}
	var told, other *tables
	for _, known := range []**tables{&told, &other} {
		*known = newTables(Settings{Name: "entry-1"}, "first")
		(*known).putEndpoint(Record{Key: "e1", Offset: 1}, endpoint, now)
	}
	if changes := told.recordLeaving(endpoint); len(changes) != 1 {
		t.Fatalf("changes %v, want one", changes)
	}
	if told.rosterHash(now) != other.rosterHash(now) || told.hashes(now) != other.hashes(now) {
		t.Error("the hashes of the endpoints differ")
	}
	if e, ok := told.endpoint("e1"); !ok || e.State != setup.Leaving {
		t.Errorf("endpoint %+v, want one that is leaving", e)
	}
}

// TestRejectingOldVersionKeepsItsShare guards against a roll-out whose new version gets all requests because the
// endpoints of the old version reject some for a while, and against unhealthy endpoints that are used although they
// reject requests.
func TestRejectingOldVersionKeepsItsShare(t *testing.T) {
	now := time.Unix(1000, 0)
	tables := newTables(Settings{Name: "entry-1"}, "first")
	config, err := setup.New(1, nil, []setup.Service{{Name: "pool"}}, nil, setup.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	tables.applyConfig(config, Record{Key: "config"}, now)
	tables.startRollout(Rollout{Service: "pool", Target: "v2", TimeLimit: time.Minute}, Record{Key: "rollout", Offset: 2}, now)
	endpoints := map[string]setup.Endpoint{}
	for i, version := range []string{"v1", "v1", "v2"} {
		id := fmt.Sprint("e", i+1)
		endpoints[id] = setup.Endpoint{ID: id, Service: "pool", Address: "127.0.0.1:1", Version: version, Slots: 4, State: setup.Ready}
		tables.putEndpoint(Record{Key: id, Offset: int64(i + 1)}, endpoints[id], now)
	}
	place := func(random float64) string {
		e, _, placed, ok := tables.place(placeRequest{service: "pool", target: time.Second}, now, func() float64 { return random })
		if !ok {
			return ""
		}
		tables.release(placed)
		return e.ID
	}
	const toOld, toNew = 0.99, 0.0
	tables.recordRejection(endpoints["e1"], now.Add(time.Second), now)
	if got := place(toOld); got != "e2" {
		t.Errorf("placed at %q, want the endpoint of the old version that takes requests", got)
	}
	for range 3 {
		tables.recordHealth(endpoints["e1"], health.Unreachable, 0, 0, now)
	}
	tables.recordRejection(endpoints["e2"], now.Add(2*time.Second), now)
	if got := place(toOld); got != "" {
		t.Errorf("placed at %q while the endpoints of the old version reject requests, want nowhere", got)
	}
	if got := place(toNew); got != "e3" {
		t.Errorf("placed at %q, want the new version", got)
	}
	if opensAt := tables.opensAt("pool", homes.Rule{}, now); !opensAt.IsZero() {
		t.Errorf("the service takes requests at %v although the new version takes them now", opensAt)
	}
	tables.recordRejection(endpoints["e3"], now.Add(3*time.Second), now)
	if opensAt := tables.opensAt("pool", homes.Rule{}, now); !opensAt.Equal(now.Add(time.Second)) {
		t.Errorf("the service takes requests at %v, want the first endpoint's time", opensAt)
	}
}

// TestRejectionsAreCheap guards against rejections that make a daemon hash all endpoints again: with hundreds of
// endpoints that reject requests, this would take most of its time.
func TestRejectionsAreCheap(t *testing.T) {
	now := time.Unix(1000, 0)
	tables := newTables(Settings{Name: "entry-1"}, "first")
	endpoint := setup.Endpoint{ID: "e1", Service: "pool", Address: "127.0.0.1:1", Slots: 4, State: setup.Ready}
	tables.putEndpoint(Record{Key: "e1", Offset: 1}, endpoint, now)
	tables.refresh(now)
	if !tables.recordRejection(endpoint, now.Add(time.Second), now) {
		t.Error("the rejection is no change")
	}
	if reason, rejects := tables.rejects(endpoint, now); !rejects || reason != roster.Rejecting {
		t.Errorf("rejects: %v (%s) after the rejection", rejects, reason)
	}
	if tables.stale {
		t.Error("the rejection makes the derived tables out of date")
	}
}
