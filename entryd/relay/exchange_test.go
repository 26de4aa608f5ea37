package relay

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/poison"
	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
)

// oneRequest is the load of one request.
var oneRequest = choice.Load{Requests: 1, Reading: 10, Memory: 100}

// centre is a hub and its followers.
type centre struct {
	hub       *tables
	followers []*tables
	sequence  int64
}

func newCentre(name string, followers int) *centre {
	c := &centre{hub: newTables(Settings{Name: name + "-hub", DataCentre: name}, "1")}
	for i := range followers {
		c.followers = append(c.followers, newTables(Settings{Name: fmt.Sprint(name, "-", i), DataCentre: name}, "1"))
	}
	return c
}

// collect sends the followers' digests to the hub.
func (c *centre) collect(name string, now time.Time) {
	c.sequence++
	for i, f := range c.followers {
		m := f.digest(now, true)
		m.Daemon, m.Incarnation, m.DataCentre, m.Sequence, m.Follow = fmt.Sprint(name, "-", i), "1", name, c.sequence, true
		f.keepOwnPart(m)
		c.hub.observe(m, now.Add(time.Second), now)
	}
}

// sum returns the hub's sums.
func (c *centre) sum(name string, now time.Time) message {
	m := c.hub.sums(now, false, true)
	m.Daemon, m.Incarnation, m.DataCentre, m.Sum = name+"-hub", "1", name, true
	m.Totals = &totals{Daemons: len(c.followers) + 1}
	return m
}

// publish sends the hub's totals to its followers. Each decodes its own copy.
func (c *centre) publish(t *testing.T, name string, now time.Time) {
	t.Helper()
	m := c.hub.totals(now, false)
	m.Daemon, m.Incarnation, m.Totals = name+"-hub", "1", &totals{Daemons: 100}
	data := encode(&Daemon{}, m)
	for _, f := range c.followers {
		decoded, _, err := decodeDatagram(data)
		if err != nil {
			t.Fatal(err)
		}
		f.applyTotals(decoded, c.sequence, now.Add(time.Second), now)
	}
}

// TestLoadsReachAllCentres guards against a load that is missing at a follower of another data centre
// or counted twice, with more endpoints than fit into a message.
func TestLoadsReachAllCentres(t *testing.T) {
	const endpoints = 3 * maxLoadsPerMessage / 2
	now := time.Unix(1000, 0)
	a, b := newCentre("a", 3), newCentre("b", 2)
	for i := range endpoints {
		id := fmt.Sprint("engine-", i)
		a.followers[i%3].own[id] = a.followers[i%3].own[id].Plus(oneRequest)
		b.followers[0].own[id] = b.followers[0].own[id].Plus(oneRequest)
	}
	for range 4 {
		now = now.Add(100 * time.Millisecond)
		a.collect("a", now)
		b.collect("b", now)
		fromA, fromB := a.sum("a", now), b.sum("b", now)
		a.hub.applySum(fromB, now.Add(time.Second), now)
		b.hub.applySum(fromA, now.Add(time.Second), now)
		a.publish(t, "a", now)
		b.publish(t, "b", now)
	}
	check := func(name string, f *tables, want func(i int) int) {
		loads := f.peerLoads(now)
		wrong := 0
		for i := range endpoints {
			if loads[shortID(fmt.Sprint("engine-", i))].Requests != want(i) {
				wrong++
			}
		}
		if wrong > 0 {
			t.Errorf("%s: the loads of %d of %d endpoints are wrong", name, wrong, endpoints)
		}
	}
	check("a follower of the same data centre", a.followers[0], func(i int) int {
		if i%3 == 0 {
			return 1
		}
		return 2
	})
	check("a follower of the other data centre", b.followers[1], func(int) int { return 2 })
	check("the other hub", b.hub, func(int) int { return 2 })
}

// TestUsageOfAllCentres guards against a lease holder that misses the counts of another data centre, or
// counts them twice when that data centre gets another hub.
func TestUsageOfAllCentres(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := newCentre("a", 2), newCentre("b", 3)
	window := a.hub.window(now)
	for _, f := range append(a.followers, b.followers...) {
		f.countUsage("counter", now)
	}
	for range 2 {
		a.collect("a", now)
		b.collect("b", now)
		a.hub.applySum(b.sum("b", now), now.Add(time.Second), now)
	}
	if got := a.hub.usageTotals(window)["counter"]; got != 5 {
		t.Errorf("%d requests, want 5", got)
	}
	successor := newCentre("b", 0)
	successor.followers = b.followers
	successor.collect("b", now)
	m := successor.sum("b", now)
	m.Daemon = "b-other"
	a.hub.applySum(m, now.Add(time.Second), now)
	if got := a.hub.usageTotals(window)["counter"]; got != 5 {
		t.Errorf("%d requests after a change of the hub, want 5", got)
	}
}

// TestSnapshotOfDifferences guards against a daemon that has missed one change and fetches all records
// to mend it, that keeps an endpoint which is gone, or that drops endpoints which the answer does not
// cover.
func TestSnapshotOfDifferences(t *testing.T) {
	now := time.Unix(1000, 0)
	sender, receiver := newTestDaemon(t, &now), newTestDaemon(t, &now)
	for i := range 300 {
		id := fmt.Sprint("engine-", i)
		if i != 7 {
			receiver.addEndpoint(id, int64(i+1))
		}
		if i != 8 {
			sender.addEndpoint(id, int64(i+1))
		}
	}
	sender.tables.applyListing(value.Position{Offset: 400}, nil, now.Add(-time.Hour))
	sender.tables.markOperatorsListed()
	for i := range 300 {
		if i != 8 {
			sender.addEndpoint(fmt.Sprint("engine-", i), int64(500+i))
		}
	}
	sender.freshness.recordOwnRead(Endpoints, value.Position{Offset: 900}, now)
	config, err := setup.New(1, nil, nil, nil, setup.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	sender.tables.applyConfig(config, Record{Key: "config"}, now)
	get := func(query string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		sender.serveControl(recorder, httptest.NewRequest(http.MethodGet, snapshotPath+query, nil))
		return recorder
	}
	var s snapshot
	if err := json.Unmarshal(get("?roster="+receiver.tables.hashes(now).encode()).Body.Bytes(), &s); err != nil {
		t.Fatal(err)
	}
	if len(s.Buckets) == 0 || len(s.Buckets) > 2 || len(s.Endpoints) > 60 {
		t.Errorf("%d records in the buckets %v, want those of one or two of %d buckets", len(s.Endpoints), s.Buckets, hashBuckets)
	}
	keys := receiver.tables.endpointsOutside(s)
	for _, r := range s.Endpoints {
		receiver.addEndpoint(r.Key, r.Offset)
		keys = append(keys, r.Key)
	}
	receiver.tables.applyListing(value.Position{Offset: s.End}, keys, now)
	if !receiver.knowsEndpoint("engine-7") || receiver.knowsEndpoint("engine-8") || !receiver.knowsEndpoint("engine-9") {
		t.Errorf("after the snapshot the receiver knows engine-7: %v, engine-8: %v, engine-9: %v; want all but engine-8",
			receiver.knowsEndpoint("engine-7"), receiver.knowsEndpoint("engine-8"), receiver.knowsEndpoint("engine-9"))
	}
	if got := receiver.tables.hashes(now); got != sender.tables.hashes(now) {
		t.Error("the endpoints still differ")
	}
	if got := get("?roster=x").Code; got != http.StatusBadRequest {
		t.Errorf("status %d for hashes that can't be decoded, want 400", got)
	}
}

// stalledWriter is the connection of a receiver that doesn't read until stall is closed.
type stalledWriter struct {
	*httptest.ResponseRecorder
	writing, stall chan struct{}
}

func (w stalledWriter) Write(data []byte) (int, error) {
	w.writing <- struct{}{}
	<-w.stall
	return w.ResponseRecorder.Write(data)
}

// TestSnapshotsAreLimited guards against a hub that exceeds its memory while it sends snapshots to all its
// followers at once.
func TestSnapshotsAreLimited(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newTestDaemon(t, &now)
	config, err := setup.New(1, nil, nil, nil, setup.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	d.tables.applyConfig(config, Record{Key: "config"}, now)
	d.tables.applyListing(value.Position{Offset: 1}, nil, now)
	d.tables.markOperatorsListed()
	writing, stall := make(chan struct{}), make(chan struct{})
	var sending sync.WaitGroup
	for range maxSnapshots {
		sending.Go(func() {
			w := stalledWriter{httptest.NewRecorder(), writing, stall}
			if d.serveControl(w, httptest.NewRequest(http.MethodGet, snapshotPath, nil)); w.Code != http.StatusOK {
				t.Errorf("status %d within the limit, want 200", w.Code)
			}
		})
	}
	for range maxSnapshots {
		<-writing
	}
	refused := httptest.NewRecorder()
	if d.serveControl(refused, httptest.NewRequest(http.MethodGet, snapshotPath, nil)); refused.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d beyond the limit, want 503", refused.Code)
	}
	close(stall)
	sending.Wait()
	after := httptest.NewRecorder()
	if d.serveControl(after, httptest.NewRequest(http.MethodGet, snapshotPath, nil)); after.Code != http.StatusOK {
		t.Errorf("status %d after the others have ended, want 200", after.Code)
	}
}

// FuzzDatagram guards against a datagram that stops the daemon: any process may send one.
func FuzzDatagram(f *testing.F) {
	now := time.Unix(1000, 0)
	hub := newTables(Settings{Name: "entry-1", DataCentre: "a"}, "1")
	m := hub.totals(now, true)
	m.Daemon, m.Incarnation, m.DataCentre, m.Totals = "entry-1", "1", "a", &totals{Daemons: 3}
	f.Add([]byte(encode(&Daemon{}, m)))
	m.Sum, m.DataCentre = true, "b"
	f.Add([]byte(encode(&Daemon{}, m)))
	f.Add([]byte(encode(&Daemon{}, message{Daemon: "entry-3", Digest: true, Follow: true, LoadsFrom: 7, LoadsTo: 3})))
	f.Add([]byte(encode(&Daemon{}, message{
		Daemon: "entry-3", Digest: true, Observed: speedTallies{1, 2, 3, 4, 5, 6}, Speeds: speedLogs{1, 2, 3, 4, 5}, SpeedsTo: math.MaxUint32,
	})))
	f.Add([]byte(encode(&Daemon{}, message{Daemon: "entry-3", Probe: true, Referrals: []referral{{Name: "x", SeenAgeMS: math.MinInt64}}})))
	f.Add([]byte(encode(&Daemon{}, message{Daemon: "entry-3", Digest: true, Poison: &poison.Report{
		Crashes:     map[poison.Key]poison.CrashReport{1: {Depth: 2, AgeMS: map[poison.Key]int64{7: 100}}},
		AnsweredMS:  map[poison.Key]int64{3: 5},
		Quarantines: map[poison.Key]poison.QuarantineReport{4: {AgeMS: 9, FirstMS: 12, Probes: math.MaxInt}},
	}})))
	f.Add([]byte(encode(&Daemon{}, message{Daemon: "entry-3", Digest: true, Evacuations: []Record{
		{Key: evacuationKey, Era: math.MinInt64, Offset: math.MaxInt64, Value: []byte("x")}, {Key: "other"}, {},
	}})))
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Unix(1000, 0)
		d := newTestDaemon(t, &now)
		d.codec.Evacuation = evacuationCodec
		if m, acknowledged, err := decodeDatagram(data); err == nil && len(m.Put)+len(m.Operators) == 0 {
			d.gossip.handle(m, acknowledged, "127.0.0.1:9")
			d.gossip.sendAll()
		}
	})
}
