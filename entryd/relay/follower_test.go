package relay

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
)

// newTestDaemon returns a daemon that does not serve and whose clock shows *now.
func newTestDaemon(t *testing.T, now *time.Time) *Daemon {
	t.Helper()
	d, err := New(Settings{
		Name: "entry-2", DataCentre: "a", Listen: "127.0.0.1:1", ReadyListen: "127.0.0.1:2",
		Limits: Limits{GracePeriod: time.Second, LeaseDuration: time.Second, RetryWindow: time.Second},
	}, Store{}, Cloud{}, Codec{})
	if err != nil {
		t.Fatal(err)
	}
	d.clock.now = func() time.Time { return *now }
	return d
}

func (d *Daemon) addEndpoint(id string, offset int64) {
	now := d.clock.now()
	e := setup.Endpoint{ID: id, Service: "pool", Address: "127.0.0.1:1", Slots: 4, State: setup.Ready}
	d.tables.putEndpoint(Record{Key: id, Offset: offset, Value: []byte("{}")}, e, now)
}

func (d *Daemon) knowsEndpoint(id string) bool {
	d.tables.mutex.Lock()
	defer d.tables.mutex.Unlock()
	d.tables.refresh(d.clock.now())
	_, ok := d.tables.endpoint(id)
	return ok
}

// TestFollowerDropsEndpointsOnHubReads guards against a follower whose reads failed in an outage of
// the log and that keeps endpoints which are gone: while its hub reads for it, it makes no reads that
// could end the outage state.
func TestFollowerDropsEndpointsOnHubReads(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newTestDaemon(t, &now)
	d.addEndpoint("e1", 5)
	d.setEndpointsReachable(false)
	now = now.Add(5 * time.Second)
	hub := message{Daemon: "entry-1", Incarnation: "1", DataCentre: "a", Speed: 2, TimeMS: now.UnixMilli(), Totals: &totals{Daemons: 2, EndpointsNext: 9}}
	for range 4 {
		d.gossip.handle(hub, 0, "127.0.0.1:9")
		now = now.Add(300 * time.Millisecond)
	}
	// By now, registrations that expired in the outage would have been renewed.
	now = now.Add(2 * time.Second)
	d.gossip.handle(hub, 0, "127.0.0.1:9")
	d.tables.applyListing(value.Position{Offset: 9}, nil, now)
	d.tables.tick(now)
	if d.knowsEndpoint("e1") {
		t.Error("an endpoint that is gone is kept although the hub reads the log again")
	}
}

// TestNewHubReadsMissedChanges guards against a daemon that takes over as a hub, hears from the reader that
// the log was read just now, and relies on that although the reader sent the last change to the hub before:
// requests would go to a replica that has left until the difference is found.
func TestNewHubReadsMissedChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newTestDaemon(t, &now)
	d.addEndpoint("e1", 5)
	sum := message{
		Daemon: "entry-1", Incarnation: "1", DataCentre: "b", Speed: 2, TimeMS: now.UnixMilli(), Sum: true,
		Totals: &totals{Daemons: 1, EndpointsNext: 9},
	}
	d.gossip.handle(sum, 0, "127.0.0.1:9")
	d.gossip.handle(sum, 0, "127.0.0.1:9")
	if d.informed(Endpoints, now) {
		t.Error("the daemon relies on a read whose records it lacks")
	}
	sum.Totals.Roster = d.tables.rosterHash(now)
	d.gossip.handle(sum, 0, "127.0.0.1:9")
	if !d.informed(Endpoints, now) {
		t.Error("the daemon does not rely on a read whose records it has")
	}
}

// TestSnapshotEndCoversGoneEndpoints guards against a snapshot whose End follows its own newest
// endpoint record: the receiver would keep an endpoint that is gone if its record is newer.
func TestSnapshotEndCoversGoneEndpoints(t *testing.T) {
	now := time.Unix(1000, 0)
	sender, receiver := newTestDaemon(t, &now), newTestDaemon(t, &now)
	for _, d := range []*Daemon{sender, receiver} {
		d.addEndpoint("e1", 5)
		d.addEndpoint("e2", 8)
	}
	sender.tables.deleteEndpoint(Record{Key: "e2", Offset: 9}, now)
	sender.tables.applyListing(value.Position{Offset: 10}, []string{"e1"}, now)
	sender.tables.markOperatorsListed()
	sender.freshness.recordOwnRead(Endpoints, value.Position{Offset: 10}, now)
	// A daemon sends snapshots only when it is ready.
	config, err := setup.New(1, nil, nil, nil, setup.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	sender.tables.applyConfig(config, Record{Key: "config"}, now)
	recorder := httptest.NewRecorder()
	sender.serveControl(recorder, httptest.NewRequest("GET", snapshotPath, nil))
	var s snapshot
	if err := json.Unmarshal(recorder.Body.Bytes(), &s); err != nil {
		t.Fatal(err)
	}
	receiver.tables.applyListing(value.Position{Offset: s.End}, []string{"e1"}, now)
	if receiver.knowsEndpoint("e2") || !receiver.knowsEndpoint("e1") {
		t.Errorf("after a snapshot with End %d the receiver knows e1: %v, e2: %v; want e1 alone", s.End, receiver.knowsEndpoint("e1"), receiver.knowsEndpoint("e2"))
	}
}

// TestSnapshotOmitsMissingEndpoints guards against requests to endpoints that are gone: a daemon that was cut off keeps
// them for the grace period after its own outage, and a snapshot of it brought them to daemons that were not.
func TestSnapshotOmitsMissingEndpoints(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newTestDaemon(t, &now)
	d.addEndpoint("e1", 5)
	d.addEndpoint("e2", 8)
	d.setEndpointsReachable(false)
	now = now.Add(5 * time.Second)
	d.setEndpointsReachable(true)
	d.tables.deleteEndpoint(Record{Key: "e2", Offset: 9}, now)
	if !d.knowsEndpoint("e2") {
		t.Fatal("the endpoint is not kept for the grace period")
	}
	if s := d.snapshot(); len(s.Endpoints) != 1 || s.Endpoints[0].Key != "e1" {
		t.Errorf("the snapshot has %v, want e1 alone", s.Endpoints)
	}
}

// TestHubWithoutLinkDropsGoneEndpoints guards against requests to endpoints that are gone (DRAIN): a hub that alone could
// not read the log for a moment took that for an outage of the log, kept endpoints whose registration had been removed
// for a grace period, and so did the followers that rely on it.
func TestHubWithoutLinkDropsGoneEndpoints(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start
	d := newTestDaemon(t, &now)
	d.addEndpoint("e1", 5)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	// peer sends a message of another daemon, whose last read was at a time.
	peer := func(seconds, read float64) {
		now = at(seconds)
		m := message{Daemon: "entry-3", Incarnation: "3", DataCentre: "b", Speed: 1, Digest: true, TimeMS: now.UnixMilli()}
		m.ReadAgeMS, m.OwnReadAgeMS = now.Sub(at(read)).Milliseconds(), now.Sub(at(read)).Milliseconds()
		d.gossip.handle(m, 0, "127.0.0.1:9")
	}
	d.setEndpointsReachable(true)
	peer(0.5, 0)
	peer(1.7, 1.6)
	peer(2.3, 1.6)
	now = at(2.4)
	d.setEndpointsReachable(false)
	peer(2.5, 1.6)
	now = at(2.7)
	d.setEndpointsReachable(true)
	d.tables.deleteEndpoint(Record{Key: "e1", Offset: 6}, now)
	d.tables.tick(now)
	if d.knowsEndpoint("e1") {
		t.Error("an endpoint that is gone is kept although another daemon has read the log in the meantime")
	}
}

// TestOutageOfAllDaemonsKeepsEndpoints guards against the removal of live endpoints whose registration has expired in an
// outage of the log: reads of other daemons before and after it are no sign that only this one could not read.
func TestOutageOfAllDaemonsKeepsEndpoints(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start
	d := newTestDaemon(t, &now)
	d.addEndpoint("e1", 5)
	d.setEndpointsReachable(true)
	for _, read := range []int{0, 0, 0, 4000} {
		now = now.Add(time.Second)
		age := now.Sub(start).Milliseconds() - int64(read)
		m := message{Daemon: "entry-3", Incarnation: "3", DataCentre: "b", Speed: 1, Digest: true, TimeMS: now.UnixMilli(), ReadAgeMS: age, OwnReadAgeMS: age}
		d.gossip.handle(m, 0, "127.0.0.1:9")
		d.setEndpointsReachable(false)
	}
	d.setEndpointsReachable(true)
	d.tables.deleteEndpoint(Record{Key: "e1", Offset: 6}, now)
	d.tables.tick(now.Add(1900 * time.Millisecond))
	if !d.knowsEndpoint("e1") {
		t.Error("an endpoint is removed before it could register again after an outage of the log")
	}
	now = now.Add(2100 * time.Millisecond)
	d.tables.tick(now)
	if d.knowsEndpoint("e1") {
		t.Error("an endpoint that has not registered again is kept")
	}
}
