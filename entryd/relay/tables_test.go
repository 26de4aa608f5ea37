package relay

import (
	"testing"
	"time"

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
	ready, work := tables.serviceState("pool", now)
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
