package entry

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/fleet"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/client"
	"lentilstage.dev/wire/wire"
)

// TestFleetSettings guards against a worker without a cloud API and against an owner tag that makes
// client tokens ambiguous.
func TestFleetSettings(t *testing.T) {
	good := Settings{
		Name: "entry-0", Region: "r", DataCentre: "dc-0", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", Log: "127.0.0.1:1",
		List: "127.0.0.1:2", Cloud: "127.0.0.1:3", PeerSecret: "0123456789abcdef", Fleet: true,
	}
	for want, change := range map[string]func(*Settings){
		"":                               func(*Settings) {},
		"Fleet needs Cloud":              func(s *Settings) { s.Cloud = "" },
		"FleetOwner has a '/'":           func(s *Settings) { s.FleetOwner = "a/b" },
		"FleetReservePercent 101":        func(s *Settings) { s.FleetReservePercent = 101 },
		"FleetIntervalMilliseconds 5 is": func(s *Settings) { s.FleetIntervalMilliseconds = 5 },
	} {
		s := good
		change(&s)
		err := s.Check()
		if (err == nil) != (want == "") || (err != nil && !strings.Contains(err.Error(), want)) {
			t.Errorf("want an error that contains %q (none if empty), got %v", want, err)
		}
	}
}

// TestFleetOutcomes guards against a lost order that is repeated with another token, against a
// refused kind that is ordered again at once, and against a daemon without memory that spends a
// whole interval on each used-up generation.
func TestFleetOutcomes(t *testing.T) {
	const usedGenerations = 5
	now := time.Unix(1_000_000, 0)
	var tokens, centres []string
	failure := eris.New("connection closed")
	b := newBase(Settings{Name: "entry-0", Fleet: true, Cloud: "127.0.0.1:3"}, []Option{WithClock(func() time.Time { return now })})
	w := newFleetWorker(b, newControl(b, newMembers(b, newPeers(b)), newPeers(b)), newMembers(b, newPeers(b)), nil)
	w.samples = func() []fleet.LoadSample { return nil }
	w.versions = func() ([]table.Version, bool) {
		return []table.Version{{Name: "v1", Kind: table.Model, Class: "gpu", MinReplicas: 1}}, true
	}
	w.daemons = func() []string { return []string{"entry-0"} }
	w.listInstances = func(time.Time) (wire.InstanceList, error) { return wire.InstanceList{}, nil }
	w.readPrices = func(time.Time) (wire.Prices, error) {
		return wire.Prices{Prices: []wire.Price{
			{DataCentre: "a", Class: "gpu", Market: wire.OnDemand, PerHour: 1},
			{DataCentre: "b", Class: "gpu", Market: wire.OnDemand, PerHour: 2},
		}}, nil
	}
	w.start = func(_ time.Time, order wire.StartOrder) (wire.Instance, error) {
		tokens, centres = append(tokens, order.ClientToken), append(centres, order.DataCentre)
		state := wire.Starting
		if len(tokens) > 2 && len(tokens) <= 2+usedGenerations {
			state = wire.Leaving
		}
		return wire.Instance{ID: "i", ClientToken: order.ClientToken, State: state}, failure
	}
	w.planOnce(t.Context())
	failure = &client.StatusError{Status: 503}
	w.planOnce(t.Context())
	failure = nil
	plans := 1
	for w.planOnce(t.Context()) {
		plans++
	}
	want := []string{"lentilstage/v1/1/1", "lentilstage/v1/1/1"}
	for n := range usedGenerations + 1 {
		want = append(want, fleet.ClientToken("lentilstage", "v1", 1, n+1))
	}
	if !slices.Equal(tokens, want) || plans != usedGenerations+1 {
		t.Errorf("ordered %v in %d plans, want %v", tokens, plans, want)
	}
	if !slices.Equal(centres[:3], []string{"a", "a", "b"}) {
		t.Errorf("ordered in data centres %v, want a, a, b: a lost order is repeated, a refused kind is excluded", centres)
	}
}
