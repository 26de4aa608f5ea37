package relay

import (
	"testing"
	"time"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/homes"
	"lentilstage.dev/domain/setup"
)

// TestPlacementStaysHome guards against a placement, a return to a silent endpoint, a source of cached tokens or a send outside
// the regions that a request may use, and against a promise of a time at which only endpoints outside take requests.
func TestPlacementStaysHome(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	tables := newTables(Settings{Name: "entry-1", DataCentre: "a", Region: "north", Regions: map[string]string{"b": "south"}}, "first")
	config, err := setup.New(1, nil, []setup.Service{{Name: "pool", Engine: &setup.Engine{FetchTokensPerMS: 100}}}, nil, setup.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	tables.applyConfig(config, Record{Key: "config"}, now)
	endpoints := map[string]setup.Endpoint{}
	for i, centre := range []string{"a", "a", "b", "unknown"} {
		e := setup.Endpoint{ID: "e" + string(rune('1'+i)), Service: "pool", Address: "127.0.0.1:1", DataCentre: centre, Slots: 4, State: setup.Ready}
		endpoints[e.ID] = e
		tables.putEndpoint(Record{Key: e.ID, Offset: int64(i)}, e, now)
	}
	call := Call{PromptTokens: 4000, Parts: []choice.Part{{ID: "shared", Tokens: 3900}, {ID: "own", Tokens: 100}}}
	tables.prefixTable.place("e1", call.Parts, now)
	south := homes.Rule{Route: []string{"south"}}
	for i := range 50 {
		random := func() float64 { return float64(i) / 50 }
		e, picked, placed, ok := tables.place(placeRequest{service: "pool", call: call, homes: south, target: time.Second}, now, random)
		if !ok || e.ID != "e3" || picked.Source != "" {
			t.Fatalf("placed at %q with the source %q (found: %v), want e3 without a source", e.ID, picked.Source, ok)
		}
		tables.release(placed)
	}
	if e, _, _, ok := tables.place(placeRequest{service: "pool", call: call, homes: south, only: "e1"}, now, func() float64 { return 0 }); ok {
		t.Errorf("the request returns to %s", e.ID)
	}
	sent := &placement{endpoint: "e3", source: endpoints["e1"].Address, sourceCentre: "a"}
	if tables.markSent(sent, south); sent.source != "" {
		t.Errorf("the request is sent with the source %s", sent.source)
	}
	if reason, withdrawn := tables.withdrawn(endpoints["e1"], south, now); !withdrawn || reason != outsideHomes {
		t.Errorf("e1 may get a request that is being connected (reason %q)", reason)
	}
	nowhere := homes.Rule{Route: []string{"south"}, Account: []string{"north"}}
	if reason, barred := tables.barred("pool", nowhere, now); !barred || reason != outsideHomes {
		t.Errorf("a request without a home has the reason %q", reason)
	}
	tables.recordRejection(endpoints["e3"], now.Add(time.Minute), now)
	if opensAt := tables.opensAt("pool", south, now); !opensAt.Equal(now.Add(time.Minute)) {
		t.Errorf("the request may come back at %v, want the time of the endpoint at home", opensAt)
	}
}
