package relay

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/hubs"
	"lentilstage.dev/decide/pace"
	"lentilstage.dev/decide/scale"
	"lentilstage.dev/domain/setup"
)

// speedStep is the pause between digests in TestSpeedsAreShared.
const speedStep = 250 * time.Millisecond

// newSpeedTables returns tables of a daemon with engines that started at a time.
func newSpeedTables(name, centre string, engines int, startedAtMS int64, now time.Time) *tables {
	t := newTables(Settings{Name: name, DataCentre: centre}, "first")
	for i := range engines {
		e := speedEndpoint(i, startedAtMS)
		t.putEndpoint(Record{Key: e.ID, Offset: 1 + startedAtMS}, e, now)
	}
	t.updateSpeeds(now)
	return t
}

func speedEndpoint(i int, startedAtMS int64) setup.Endpoint {
	return setup.Endpoint{
		ID: fmt.Sprintf("e%d", i), Service: "pool", Address: "127.0.0.1:1", Slots: 16, State: setup.Ready, StartedAtMS: startedAtMS,
	}
}

// throughWire returns a message as its receiver decodes it.
func throughWire(t *testing.T, m message) message {
	t.Helper()
	m.Daemon = "sender"
	body, err := cbor.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	decoded, _, err := decodeDatagram(append(make([]byte, acknowledgementBytes), body...))
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// TestSpeedsAreShared guards against daemons that use different speeds, since each sees an engine every ten seconds only,
// and against the speed of an ended process that is used for the next one.
func TestSpeedsAreShared(t *testing.T) {
	const engines, followers = 150, 5
	now := time.Unix(1000, 0)
	hub := newSpeedTables("hub", "a", engines, 1, now)
	otherHub := newSpeedTables("other", "b", engines, 1, now)
	var daemons []*tables
	for i := range followers {
		d := newSpeedTables(fmt.Sprintf("d%d", i), "a", engines, 1, now)
		d.followsHub, d.hub = true, "hub"
		daemons = append(daemons, d)
	}
	logs := []float64{math.Log(0.6), 0, math.Log(1.6)}
	sequence, totalBytes, digestBytes := int64(0), 0, 0
	for range 80 {
		now = now.Add(speedStep)
		for i, d := range daemons {
			for e := i; e < engines; e += followers {
				d.speeds.record(speedEndpoint(e, 1))(logs[e%3], true)
			}
			m := d.digest(now, false)
			sequence++
			m.Sequence, digestBytes = sequence, max(digestBytes, len(m.Observed))
			m = throughWire(t, m)
			m.Daemon = fmt.Sprintf("d%d", i)
			hub.observe(m, now.Add(time.Second), now)
		}
		sum := throughWire(t, hub.sums(now, false, false))
		sum.DataCentre, sum.Totals = "a", &totals{}
		otherHub.applySum(sum, now.Add(time.Second), now)
		hub.updateSpeeds(now)
		otherHub.updateSpeeds(now)
		m := hub.totals(now, false)
		totalBytes = max(totalBytes, len(m.Speeds))
		m = throughWire(t, m)
		m.Daemon, m.Totals = "hub", &totals{Daemons: followers + 1}
		for _, d := range daemons {
			d.applyTotals(m, 0, now.Add(time.Second), now)
			d.updateSpeeds(now)
		}
	}
	for name, d := range map[string]*tables{"hub": hub, "other hub": otherHub, "follower": daemons[2]} {
		for e := range 3 {
			got, want := d.speeds.factor(speedEndpoint(e, 1)), []float64{0.6, 1, 1.6}[e]
			if math.Abs(got-want) > 0.08*want {
				t.Errorf("%s: speed of engine %d is %.2f, want %.2f", name, e, got, want)
			}
		}
	}
	if totalBytes != maxSpeedsPerMessage*logBytes || digestBytes != engines/followers*tallyBytes {
		t.Errorf("%d bytes of speeds in totals, %d of observations in digests", totalBytes, digestBytes)
	}
	restarted := speedEndpoint(0, 2)
	for _, d := range []*tables{hub, daemons[2]} {
		d.putEndpoint(Record{Key: restarted.ID, Offset: 10}, restarted, now)
		d.refresh(now)
		if got := d.speeds.factor(restarted); got != 1 {
			t.Errorf("speed %.2f after the restart, want 1", got)
		}
	}
	// What is observed of the ended process arrives late.
	daemons[0].speeds.record(speedEndpoint(0, 1))(logs[0], true)
	hub.observe(throughWire(t, daemons[0].digest(now, false)), now.Add(time.Second), now)
	if _, known := hub.speeds.estimates.Compare(hub.speeds.services["pool"], true, now).Logs[speedKey(restarted)]; known {
		t.Error("the speed of the next process is known from the ended one")
	}
}

// TestNewHubKeepsSpeeds guards against a new hub that knows no speeds until it has observed all endpoints again, and against
// a former hub without speeds until the totals of the new one have covered all endpoints.
func TestNewHubKeepsSpeeds(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newSpeedTables("d", "a", 9, 1, now)
	d.followsHub = true
	m := message{SpeedsTo: math.MaxUint32}
	for i := range 9 {
		m.Speeds = append(m.Speeds, encodeLog(speedKey(speedEndpoint(i, 1)), []float64{-0.5, 0, 0.5}[i%3])...)
	}
	d.speeds.applyHub(m)
	now = now.Add(time.Second)
	d.updateSpeeds(now)
	if got := d.speeds.factor(speedEndpoint(0, 1)); math.Abs(got-0.61) > 0.02 {
		t.Fatalf("speed %.2f at the follower, want 0.61", got)
	}
	d.becomeHub(func() []hubs.Report { return nil }, now)
	now = now.Add(time.Second)
	d.updateSpeeds(now)
	if got := d.speeds.factor(speedEndpoint(0, 1)); math.Abs(got-0.61) > 0.06 {
		t.Errorf("speed %.2f at the new hub, want 0.61", got)
	}
	d.followsHub = true
	now = now.Add(time.Second)
	d.updateSpeeds(now)
	if got := d.speeds.factor(speedEndpoint(0, 1)); math.Abs(got-0.61) > 0.06 {
		t.Errorf("speed %.2f at the former hub, want 0.61", got)
	}
}

// TestSpeedsOfARange guards against speeds that stay after a hub no longer tells them, and against those that are
// lost since a message covers a part of the endpoints only, or none, from a hub of an earlier build.
func TestSpeedsOfARange(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newSpeedTables("d", "a", 9, 1, now)
	var keys []uint32
	for i := range 9 {
		keys = append(keys, speedKey(speedEndpoint(i, 1)))
	}
	tell := func(from, to uint32, told ...uint32) int {
		m := message{SpeedsFrom: from, SpeedsTo: to}
		for _, key := range told {
			m.Speeds = append(m.Speeds, encodeLog(key, -0.5)...)
		}
		d.speeds.applyHub(m)
		return len(d.speeds.heard)
	}
	for i, step := range []struct{ got, want int }{
		{tell(0, math.MaxUint32, keys...), 9},
		{tell(0, 0), 9},
		{tell(keys[3], keys[3]), 8},
		{tell(keys[4], keys[4], keys[4]), 8},
		{tell(0, math.MaxUint32), 0},
		{tell(0, math.MaxUint32, 12345), 0},
	} {
		if step.got != step.want {
			t.Errorf("step %d: %d speeds, want %d", i, step.got, step.want)
		}
	}
}

// TestMalformedSpeedsAreRejected guards against broken messages that set speeds far from any true one, or make a daemon
// panic.
func TestMalformedSpeedsAreRejected(t *testing.T) {
	for name, m := range map[string]message{
		"cut observation":      {Observed: speedTallies{1, 2, 3, 4, 5}},
		"no count":             {Observed: speedTallies{1, 2, 3, 4, 5, 0}},
		"mean out of range":    {Observed: speedTallies{1, 2, 3, 4, 0x80, 9}},
		"too many":             {Observed: make(speedTallies, (maxTalliesPerMessage+1)*tallyBytes)},
		"cut speed":            {Speeds: speedLogs{1, 2, 3, 4}, SpeedsTo: math.MaxUint32},
		"speed out of range":   {Speeds: speedLogs{1, 2, 3, 4, 0x7f}, SpeedsTo: math.MaxUint32},
		"key out of range":     {Speeds: speedLogs{1, 2, 3, 4, 5}, SpeedsTo: 7},
		"range upside down":    {SpeedsFrom: 8, SpeedsTo: 7},
		"too many speeds":      {Speeds: make(speedLogs, (maxSpeedsPerMessage+1)*logBytes), SpeedsTo: math.MaxUint32},
		"speeds without range": {Speeds: speedLogs{1, 2, 3, 4, 5}},
	} {
		m.Daemon = "sender"
		body, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := decodeDatagram(append(make([]byte, acknowledgementBytes), body...)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// TestEarlierBuildReadsSpeeds guards against a daemon of an earlier build that can't read messages with speeds.
func TestEarlierBuildReadsSpeeds(t *testing.T) {
	body, err := cbor.Marshal(message{
		Daemon: "hub", Observed: speedTallies{1, 2, 3, 4, 5, 6}, Speeds: speedLogs{1, 2, 3, 4, 5}, SpeedsTo: math.MaxUint32, AgeMS: 7,
	})
	if err != nil {
		t.Fatal(err)
	}
	var earlier struct {
		Daemon string           `cbor:"1,keyasint"`
		AgeMS  int64            `cbor:"20,keyasint"`
		Loads  map[uint32]load  `cbor:"8,keyasint,omitempty"`
		Used   map[string]int64 `cbor:"9,keyasint,omitempty"`
	}
	if err := cbor.Unmarshal(body, &earlier); err != nil || earlier.Daemon != "hub" || earlier.AgeMS != 7 {
		t.Errorf("read %+v with error %v", earlier, err)
	}
}

// TestBusyPlainEndpointTellsNoSpeed guards against an endpoint that looks slow since requests queue there.
func TestBusyPlainEndpointTellsNoSpeed(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newSpeedTables("d", "a", 2, 1, now)
	e := speedEndpoint(0, 1)
	for i := range 40 {
		d.recordPlain(e, choice.Picked{Candidate: choice.Candidate{Slots: 6, Load: choice.Load{Requests: 6 * (i % 2)}}},
			time.Duration(20+200*(i%2))*time.Millisecond)
	}
	if got := d.speeds.own[speedKey(e)]; got.Count == 0 || math.Abs(got.Mean()) > pace.LogStep {
		t.Errorf("observed %d speeds with a mean logarithm of %.2f, want some of 0", got.Count, got.Mean())
	}
}

// TestKindSpeeds guards against capacity that counts slow endpoints as usual ones, and against a new endpoint that counts
// as one of the usual speed among faster ones.
func TestKindSpeeds(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newSpeedTables("d", "a", 4, 1, now)
	if got := d.kindSpeeds("pool", now); got != nil {
		t.Errorf("speeds %v of endpoints that don't differ", got)
	}
	d.followsHub = true
	m := message{SpeedsTo: math.MaxUint32}
	for i, logarithm := range []float64{-0.5, 0.5, 0.5} {
		m.Speeds = append(m.Speeds, encodeLog(speedKey(speedEndpoint(i, 1)), logarithm)...)
	}
	d.speeds.applyHub(m)
	now = now.Add(time.Second)
	d.updateSpeeds(now)
	known := math.Exp(-0.5) + 2*math.Exp(0.5)
	if got, want := d.kindSpeeds("pool", now)[scale.Kind{}], known*4/3; math.Abs(got-want) > 1e-6 {
		t.Errorf("the speeds add up to %.3f, want %.3f", got, want)
	}
}

// TestFailingEndpointIsNotFast guards against an endpoint that looks fast since it refuses requests or ends its streams
// early, and would get most of the requests.
func TestFailingEndpointIsNotFast(t *testing.T) {
	const stream = "data: a\n\ndata: b\n\ndata: c\n\n"
	for name, c := range map[string]struct {
		status     int
		body       string
		incomplete bool
		engine     *setup.Engine
		want       bool
	}{
		"whole response":           {status: http.StatusOK, body: "ok", want: true},
		"not found":                {status: http.StatusNotFound, body: "no"},
		"failure":                  {status: http.StatusInternalServerError, body: "no"},
		"incomplete response":      {status: http.StatusOK, body: "ok", incomplete: true},
		"whole stream":             {status: http.StatusOK, body: stream, engine: &setup.Engine{EventTokens: 5}, want: true},
		"incomplete stream":        {status: http.StatusOK, body: stream, incomplete: true, engine: &setup.Engine{EventTokens: 5}},
		"stream of a single event": {status: http.StatusOK, body: "data: a\n\n", engine: &setup.Engine{EventTokens: 5}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			d := newTestDaemon(t, &now)
			e := speedEndpoint(0, 1)
			d.tables.putEndpoint(Record{Key: e.ID, Offset: 5, Value: []byte("{}")}, e, now)
			d.tables.updateSpeeds(now)
			for i := range 400 {
				tokens := 100 << (i % 6)
				d.tables.pace("pool").RecordFirst(pace.First{Tokens: tokens, Wait: time.Duration(tokens) * 20 * time.Microsecond})
				d.tables.pace("pool").RecordAnswer(pace.Answer{Tokens: 100, Took: time.Second})
				d.tables.pace("pool").RecordPlain(pace.Plain{Took: 20 * time.Millisecond})
			}
			config, err := setup.New(1, []setup.Route{{Name: "r", Host: "h", Prefix: "/", ServiceWeights: []setup.ServiceWeight{{Service: "pool", Weight: 1}}}},
				[]setup.Service{{Name: "pool", Engine: c.engine}}, nil, setup.Limits{})
			if err != nil {
				t.Fatal(err)
			}
			x := &exchange{
				daemon: d, request: httptest.NewRequest(http.MethodPost, "/", nil), writer: httptest.NewRecorder(), config: config,
				service: "pool", deadline: now.Add(time.Second), arrived: now, route: setup.Route{Name: "r", Kind: setup.Idempotent},
			}
			a := &attempt{
				x: x, ctx: t.Context(), sentAt: now.Add(-time.Millisecond),
				selection: selection{endpoint: e, picked: choice.Picked{Candidate: choice.Candidate{Slots: 16}, Uncached: 1000}, placed: &placement{endpoint: e.ID}},
			}
			response := &http.Response{StatusCode: c.status, ContentLength: int64(len(c.body)), Header: http.Header{}}
			body := io.Reader(strings.NewReader(c.body))
			if c.incomplete {
				response.ContentLength++
				body = io.MultiReader(body, iotest.ErrReader(io.ErrUnexpectedEOF))
			}
			response.Body = io.NopCloser(body)
			if c.engine == nil {
				_, _ = a.forward(response)
			} else {
				_, _ = a.forwardStream(response)
			}
			if got := d.tables.speeds.own[speedKey(e)].Count; got > 0 != c.want {
				t.Errorf("%d observations of the speed", got)
			}
		})
	}
}
