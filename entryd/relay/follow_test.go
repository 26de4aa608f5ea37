package relay

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"lentilstage.dev/domain/setup"
)

// newFollower returns a daemon that serves nothing, and a clock that stands still.
func newFollower(t *testing.T, now *time.Time) *Daemon {
	t.Helper()
	d, err := New(Settings{
		Name: "entry-2", DataCentre: "a", Listen: "127.0.0.1:1", ReadyListen: "127.0.0.1:2",
		Bounds: Bounds{Grace: time.Second, Lease: time.Second, RetryWindow: time.Second},
	}, Store{}, Cloud{}, Codec{})
	if err != nil {
		t.Fatal(err)
	}
	d.clock.now = func() time.Time { return *now }
	return d
}

func (d *Daemon) putEndpoint(id string, offset int64) {
	now := d.clock.now()
	e := setup.Endpoint{ID: id, Service: "pool", Address: "127.0.0.1:1", Slots: 4, State: setup.Ready}
	d.tables.put(Record{Key: id, Offset: offset, Value: []byte("{}")}, e, now)
}

func (d *Daemon) knowsEndpoint(id string) bool {
	d.tables.mutex.Lock()
	defer d.tables.mutex.Unlock()
	d.tables.refresh(d.clock.now())
	_, ok := d.tables.endpoint(id)
	return ok
}

// TestFollowerTrustsItsHubsReads guards against a daemon whose own reads failed in an outage of the log, and
// that keeps endpoints which have gone for as long as its hub reads for it: it makes no own reads then.
func TestFollowerTrustsItsHubsReads(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newFollower(t, &now)
	d.putEndpoint("e1", 5)
	d.endpointsUp(false)
	now = now.Add(5 * time.Second)
	hub := message{Daemon: "entry-1", Incarnation: "1", DataCentre: "a", Speed: 2, TimeMS: now.UnixMilli(), Totals: &totals{Daemons: 2, EndpointsNext: 9}}
	for range 4 {
		d.gossip.take(hub, "127.0.0.1:9")
		now = now.Add(300 * time.Millisecond)
	}
	// The registrations that lapsed in the outage are back by now.
	now = now.Add(2 * time.Second)
	d.gossip.take(hub, "127.0.0.1:9")
	d.tables.complete(9, nil, now)
	d.tables.elapsed(now)
	if d.knowsEndpoint("e1") {
		t.Error("an endpoint that has gone is kept after the hub's reads came back")
	}
}

// TestSnapshotTellsWhatIsGone guards against a snapshot whose end is that of the endpoints in it: the
// receiver keeps an endpoint that has gone if its record is newer than theirs.
func TestSnapshotTellsWhatIsGone(t *testing.T) {
	now := time.Unix(1000, 0)
	giver, receiver := newFollower(t, &now), newFollower(t, &now)
	for _, d := range []*Daemon{giver, receiver} {
		d.putEndpoint("e1", 5)
		d.putEndpoint("e2", 8)
	}
	giver.tables.drop(Record{Key: "e2", Offset: 9}, now)
	giver.tables.complete(10, []string{"e1"}, now)
	giver.feed.read(Endpoints, 10, now)
	// A daemon gives snapshots once it is ready.
	config, err := setup.New(1, nil, nil, nil, setup.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	giver.tables.configure(config, Record{Key: "config"}, now)
	answer := httptest.NewRecorder()
	giver.serveControl(answer, httptest.NewRequest("GET", snapshotPath, nil))
	var s snapshot
	if err := json.Unmarshal(answer.Body.Bytes(), &s); err != nil {
		t.Fatal(err)
	}
	receiver.tables.complete(s.End, []string{"e1"}, now)
	if receiver.knowsEndpoint("e2") || !receiver.knowsEndpoint("e1") {
		t.Errorf("after a snapshot up to %d the receiver knows e1: %v, e2: %v; want e1 alone", s.End, receiver.knowsEndpoint("e1"), receiver.knowsEndpoint("e2"))
	}
}
