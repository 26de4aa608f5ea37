package entry

import (
	"testing"
	"time"

	"lentilstage.dev/decide/route"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/domain/value"
	"lentilstage.dev/wire/wire"
)

// TestEvacuatedEndpointsAreNotChosen guards against requests, calls and load orders to endpoints of an evacuated data centre.
func TestEvacuatedEndpointsAreNotChosen(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := newBase(Settings{Name: "entry-0", DataCentre: "pos-1"}, []Option{WithClock(func() time.Time { return now })})
	members := newMembers(b, newPeers(b))
	control := newControl(b, members, newPeers(b))
	e := newEndpoints(b, members, control)
	for _, i := range []wire.Instance{
		{ID: "engine-1", DataCentre: "pos-1", Role: wire.RoleEngine, State: wire.Live, Versions: []string{"v1"}},
		{ID: "desk-1", DataCentre: "pos-1", Role: wire.RolePlain, State: wire.Live, Versions: []string{"v2"}},
	} {
		e.listed[i.ID] = i
		e.views[i.ID] = route.NewView(i.ID, i.DataCentre, i.Versions...)
	}
	chosen := func(state table.State) (engine, plain bool) {
		_, _, engine = e.chooseEngine(state, route.Request{Split: []table.WeightedVersion{{Version: "v1", Weight: 1}}})
		_, plain = e.choosePlain(state, table.Route{Versions: []table.WeightedVersion{{Version: "v2", Weight: 1}}}, value.NewSet[string]())
		return engine, plain
	}
	state := table.NewState()
	if engine, plain := chosen(state); !engine || !plain {
		t.Fatalf("engine chosen: %v, plain service chosen: %v, want both", engine, plain)
	}
	state.DataCentres = map[string]table.DataCentre{"pos-1": {Name: "pos-1", Evacuated: true}}
	if engine, plain := chosen(state); engine || plain {
		t.Errorf("engine chosen: %v, plain service chosen: %v, want none", engine, plain)
	}
	served := table.Route{Name: "chat", Versions: []table.WeightedVersion{{Version: "v1", Weight: 1}}}
	if !e.allEvacuated(state, served) {
		t.Error("a request waits although all endpoints of its route are evacuated")
	}
	unserved := table.Route{Name: "draft", Versions: []table.WeightedVersion{{Version: "v9", Weight: 1}}}
	if e.allEvacuated(state, unserved) || e.allEvacuated(table.NewState(), served) {
		t.Error("a route counts as evacuated that has no endpoint, or none there")
	}
	e.listed["engine-2"] = wire.Instance{ID: "engine-2", DataCentre: "pos-2", Role: wire.RoleEngine, State: wire.Live, Versions: []string{"v1"}}
	if e.allEvacuated(state, served) {
		t.Error("a request is refused although an endpoint is left")
	}
}
