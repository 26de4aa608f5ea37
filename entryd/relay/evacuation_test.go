package relay

import (
	"slices"
	"strings"
	"testing"
	"time"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/homes"
	"lentilstage.dev/decide/roster"
	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
)

// evacuationKey is the key prefix of the tests' evacuations.
const evacuationKey = "evacuation/"

// evacuationCodec decodes the keys of the tests' evacuations.
func evacuationCodec(key string) (string, error) {
	dataCentre, ok := strings.CutPrefix(key, evacuationKey)
	if !ok {
		return "", ErrOtherRecordKind
	}
	return dataCentre, nil
}

func evacuationOrder(dataCentre string, offset int64) Record {
	return Record{Key: evacuationKey + dataCentre, Era: 1, Offset: offset, Value: []byte("{}")}
}

// TestEvacuatedEndpointsGetNothing guards against each way by which a request could reach an evacuated data centre: a
// placement, the return to a silent endpoint, a source of cached tokens that was chosen before the order, and an order of
// endpoints there.
func TestEvacuatedEndpointsGetNothing(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	tables := newTables(Settings{Name: "entry-1"}, "first")
	config, err := setup.New(1, nil, []setup.Service{{Name: "pool", Engine: &setup.Engine{FetchTokensPerMS: 100}}}, nil, setup.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	tables.applyConfig(config, Record{Key: "config"}, now)
	endpoints := map[string]setup.Endpoint{}
	for i, id := range []string{"e1", "e2", "e3"} {
		e := setup.Endpoint{ID: id, Service: "pool", Address: "127.0.0.1:" + id[1:], DataCentre: "a", Slots: 4, State: setup.Ready}
		if id == "e3" {
			e.DataCentre = "b"
		}
		endpoints[id] = e
		tables.putEndpoint(Record{Key: id, Offset: int64(i)}, e, now)
	}
	call := Call{PromptTokens: 4000, Parts: []choice.Part{{ID: "shared", Tokens: 3900}, {ID: "own", Tokens: 100}}}
	tables.prefixTable.place("e1", call.Parts, now)
	sent := &placement{endpoint: "e3", source: endpoints["e1"].Address, sourceCentre: "a"}
	if changes := tables.recordEvacuation("a", evacuationOrder("a", 5), now); len(changes) != 1 || changes[0].ready != 2 || changes[0].readyElsewhere != 1 {
		t.Errorf("changes %+v, want one with 2 endpoints there and 1 elsewhere", changes)
	}
	tables.markSent(sent, homes.Rule{})
	if sent.source != "" {
		t.Errorf("the request is sent with %s as the source of cached tokens", sent.source)
	}
	for i := range 50 {
		random := func() float64 { return float64(i) / 50 }
		e, picked, placed, ok := tables.place(placeRequest{service: "pool", call: call, target: time.Second}, now, random)
		if !ok || e.ID != "e3" || picked.Source != "" {
			t.Fatalf("placed at %q with the source %q (found: %v), want e3 without a source", e.ID, picked.Source, ok)
		}
		tables.release(placed)
	}
	if e, _, _, ok := tables.place(placeRequest{service: "pool", call: call, only: "e1"}, now, func() float64 { return 0 }); ok {
		t.Errorf("the request returns to %s", e.ID)
	}
	if reason, rejects := tables.rejects(endpoints["e1"], now); !rejects || reason != inEvacuation {
		t.Errorf("a request may return to the silent endpoint e1 (reason %q)", reason)
	}
	if reason, withdrawn := tables.withdrawn(endpoints["e1"], homes.Rule{}, now); !withdrawn || reason != inEvacuation {
		t.Errorf("e1 may get a request that is being connected (reason %q)", reason)
	}
	tables.recordLeaving(endpoints["e1"])
	if found := tables.candidates(placeRequest{service: "pool", call: call}, now); len(found.leaving) > 0 {
		t.Errorf("%d leaving endpoints serve as sources", len(found.leaving))
	}
	if ready, _, _ := tables.serviceState("pool", now); len(ready) != 1 {
		t.Errorf("the capacity plan counts %v", ready)
	}
	if reason, barred := tables.barred("pool", homes.Rule{}, now); barred {
		t.Errorf("no endpoint counts as usable (%s) although one is left", reason)
	}
	tables.recordEvacuation("b", evacuationOrder("b", 6), now)
	if reason, _ := tables.barred("pool", homes.Rule{}, now); reason != inEvacuation || !tables.opensAt("pool", homes.Rule{}, now).IsZero() {
		t.Error("not all endpoints count as evacuated, or a time is promised at which one takes requests")
	}
}

// TestEvacuationsTravel guards against daemons that do not learn of an evacuation or of its withdrawal by digests,
// totals, sums or snapshots, and against an older record that undoes a newer one there.
func TestEvacuationsTravel(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	source := newTestDaemon(t, &now)
	source.codec.Evacuation = evacuationCodec
	source.applyOperatorRecords([]Record{evacuationOrder("a", 5), evacuationOrder("b", 6), {Key: evacuationKey + "c", Era: 1, Offset: 7}}, fromLog)
	source.applyOperatorListing(value.Position{Era: 1, Offset: 9}, []string{evacuationKey + "b"})
	messages := map[string][]Record{
		"digest": source.tables.digest(now, false).Evacuations, "sums": source.tables.sums(now, false, false).Evacuations,
		"totals": source.tables.totals(now, false).Evacuations, "snapshot": source.tables.snapshot().Operators,
	}
	for name, records := range messages {
		receiver := newTestDaemon(t, &now)
		receiver.codec.Evacuation = evacuationCodec
		receiver.applyOperatorRecords([]Record{evacuationOrder("a", 5)}, fromLog)
		m, err := decodeMessage(message{Daemon: "entry-1", Incarnation: "1", DataCentre: "a", TimeMS: now.UnixMilli(), Evacuations: records})
		if err != nil {
			t.Fatal(err)
		}
		receiver.gossip.handle(m, 0, "127.0.0.1:9")
		receiver.gossip.handle(message{
			Daemon: "entry-3", Incarnation: "1", DataCentre: "a", TimeMS: now.UnixMilli(),
			Evacuations: []Record{evacuationOrder("a", 5), {Key: evacuationKey + "b", Era: 1, Offset: 4}},
		}, 0, "127.0.0.1:8")
		if got := receiver.tables.evacuated(); !slices.Equal(got, []string{"b"}) {
			t.Errorf("%s: evacuated are %v, want b", name, got)
		}
	}
	if records := source.tables.digest(now, false).Evacuations; records != nil {
		t.Errorf("the next digest has %d evacuations again", len(records))
	}
}

// decodeMessage returns a message after its way through a datagram.
func decodeMessage(m message) (message, error) {
	decoded, _, err := decodeDatagram(encode(nil, m))
	return decoded, err
}

// TestEvacuationBeforeFirstRequest guards against a daemon that serves before it has read the operators' records: it would
// send requests to an evacuated data centre.
func TestEvacuationBeforeFirstRequest(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	d := newTestDaemon(t, &now)
	d.codec.Evacuation = evacuationCodec
	config, err := setup.New(1, nil, nil, nil, setup.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	// A hub forwards the newest configuration before the daemon's first read.
	d.tables.applyConfig(config, Record{Key: "config"}, now)
	d.tables.applyListing(value.Position{}, nil, now)
	if d.tables.ready() {
		t.Error("ready without the operators' records")
	}
	d.applyOperatorListing(value.Position{Era: 1, Offset: 3}, nil)
	if !d.tables.ready() {
		t.Error("not ready with the operators' records")
	}
}

// TestWithdrawalReason guards against log lines that name another reason than the evacuation.
func TestWithdrawalReason(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	tables := newTables(Settings{Name: "entry-1"}, "first")
	e := setup.Endpoint{ID: "e1", Service: "pool", DataCentre: "a", State: setup.Ready}
	tables.putEndpoint(Record{Key: "e1", Offset: 1}, e, now)
	tables.recordEvacuation("a", evacuationOrder("a", 5), now)
	tables.recordEvacuation("a", Record{Key: evacuationKey + "a", Era: 1, Offset: 6}, now)
	if reason, withdrawn := tables.withdrawn(e, homes.Rule{}, now); withdrawn {
		t.Errorf("the endpoint is out of use (%s) after the evacuation has ended", reason)
	}
	tables.recordRejection(e, now.Add(time.Second), now)
	if reason, _ := tables.withdrawn(e, homes.Rule{}, now); reason != roster.Rejecting {
		t.Errorf("reason %s, want %s", reason, roster.Rejecting)
	}
}
