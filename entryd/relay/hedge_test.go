package relay

import (
	"testing"
	"time"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/health"
	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
)

// TestCopiesAvoidEndpoints guards against copies to endpoints that are unhealthy, cold, limited, rejecting, leaving or that
// had the request, and against a choice that is not taken but counts as load or against a limit.
func TestCopiesAvoidEndpoints(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	tables := newTables(Settings{Name: "entry-1", DataCentre: "a", Limits: Limits{ColdOverrun: 1.5, ColdTolerance: 5}}, "1")
	tables.config = &setup.Config{Services: map[string]setup.Service{"pool": {ColdRate: 100}}}
	ids := []string{"tried", "unhealthy", "cold", "limited", "rejecting", "leaving", "sound"}
	endpoints := map[string]setup.Endpoint{}
	for i, id := range ids {
		e := setup.Endpoint{ID: id, Service: "pool", Address: id, DataCentre: "a", Slots: 4, State: setup.Ready, StartedAtMS: 1}
		endpoints[id] = e
		tables.putEndpoint(Record{Key: id, Offset: int64(i + 1)}, e, now)
	}
	tables.refresh(now)
	for range 3 {
		tables.recordHealth(endpoints["unhealthy"], health.Failed, 0, 0, now)
	}
	tables.recordWarmth(endpoints["cold"], now.Add(time.Minute), now)
	tables.recordLimit(endpoints["limited"], requestsLimit, value.Some(1000.0), now)
	tables.recordRejection(endpoints["rejecting"], now.Add(time.Minute), now)
	tables.recordLeaving(endpoints["leaving"])
	now = now.Add(2 * time.Second)
	others := map[string]bool{"tried": true, "sound": true}
	if e, _, _, ok := tables.place(placeRequest{service: "pool", target: time.Second, tried: others, copy: true}, now, func() float64 { return 0 }); ok {
		t.Errorf("the copy goes to %q", e.ID)
	}
	first := map[string]bool{}
	for range 2 {
		// Each of them may get a first attempt.
		e, _, placed, ok := tables.place(placeRequest{service: "pool", target: time.Second, tried: others}, now, func() float64 { return 0 })
		if !ok {
			break
		}
		tables.release(placed)
		others[e.ID], first[e.ID] = true, true
	}
	if !first["cold"] || !first["limited"] {
		t.Errorf("first attempts go to %v, want the cold and the limited endpoint", first)
	}
	for i := range 50 {
		random := func() float64 { return float64(i) / 50 }
		r := placeRequest{service: "pool", target: time.Second, tried: map[string]bool{"tried": true}, copy: true}
		e, _, placed, ok := tables.place(r, now, random)
		if !ok || e.ID != "sound" {
			t.Fatalf("the copy goes to %q (found: %v), want the sound endpoint", e.ID, ok)
		}
		tables.release(placed)
		r.accepts = func(choice.Picked) bool { return false }
		if e, _, _, ok := tables.place(r, now, random); ok || len(tables.own) > 0 {
			t.Fatalf("a choice that was not taken counts at %q: %v", e.ID, tables.own)
		}
	}
}

// TestOvertakenIsNoFailure guards against a roll-out that is taken back, and an endpoint that is avoided, because copies
// answered before the attempts there.
func TestOvertakenIsNoFailure(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	tables := newTables(Settings{Name: "entry-1", DataCentre: "a"}, "1")
	tables.startRollout(Rollout{Service: "pool", Target: "v2", TimeLimit: time.Minute}, Record{Key: "pool", Offset: 5}, now)
	r := tables.rollouts["pool"]
	r.comparing = true
	e := setup.Endpoint{ID: "e1", Service: "pool", Version: "v2", DataCentre: "a", State: setup.Ready}
	tables.putEndpoint(Record{Key: "e1", Offset: 1}, e, now)
	tables.refresh(now)
	for range 20 {
		tables.recordHealth(e, health.Overtaken, time.Second, 1500*time.Millisecond, now)
	}
	if got := tables.health.Status("e1").State; got != health.Healthy {
		t.Errorf("the endpoint is %s", got)
	}
	if r.good+r.bad != 0 {
		t.Errorf("%d good and %d bad outcomes of the version, want none", r.good, r.bad)
	}
	tables.recordHealth(e, health.Failed, time.Second, time.Second, now)
	if r.bad != 1 {
		t.Errorf("%d bad outcomes after a failure, want 1", r.bad)
	}
}
