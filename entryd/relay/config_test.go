package relay

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
)

type readCase struct {
	Name               string `yaml:"Name"`
	Listing            bool   `yaml:"Listing"`
	Records            int64  `yaml:"Records"`
	TookMilliseconds   int64  `yaml:"TookMilliseconds"`
	OldestMilliseconds int64  `yaml:"OldestMilliseconds"`
	MostMilliseconds   int64  `yaml:"MostMilliseconds"`
}

// TestLateReadIsNotRecent guards against daemons that rely on a read as if it showed the moment at which its answer was
// handled: a change that was confirmed after the read began is missed for as long as the answer took.
func TestLateReadIsNotRecent(t *testing.T) {
	for _, c := range cases.Load[readCase](t, "testdata/reads.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := newTestDaemon(t, &now)
			d.clock.boot = d.clock.now
			page := Page{End: value.Position{Offset: c.Records}}
			for offset := range c.Records {
				page.Records = append(page.Records, Record{Offset: offset, Key: "other"})
			}
			answer := func() (Page, error) {
				now = now.Add(time.Duration(c.TookMilliseconds) * time.Millisecond)
				return page, nil
			}
			d.store.Newest = func(context.Context, Stream) (Page, error) { return answer() }
			d.store.Read = func(context.Context, Stream, int64, time.Duration) (Page, error) { return answer() }
			s := &streamReader{daemon: d, stream: Operators, wait: operatorsWait, apply: func([]Record) {}, synced: !c.Listing}
			if err := s.readOnce(t.Context(), operatorsWait); err != nil {
				t.Fatal(err)
			}
			var told totals
			d.freshness.fillTotals(&told, true, now)
			if told.OperatorsAgeMS < c.OldestMilliseconds || told.OperatorsAgeMS > c.MostMilliseconds {
				t.Errorf("the daemon tells an age of %d ms, want %d to %d ms", told.OperatorsAgeMS, c.OldestMilliseconds, c.MostMilliseconds)
			}
		})
	}
}

// TestFailedReadIsRepeatedSoon guards against a follower that waits longer after one failed read than is left of the
// time in which a change must be in force.
func TestFailedReadIsRepeatedSoon(t *testing.T) {
	const limit = 450 * time.Millisecond
	now := time.Unix(1000, 0)
	d := newTestDaemon(t, &now)
	d.clock.now, d.startedAt = time.Now, time.Now().Add(-time.Minute)
	hub := message{Daemon: "entry-1", Incarnation: "1", DataCentre: "a", Speed: 2, TimeMS: time.Now().UnixMilli(), Totals: &totals{Daemons: 2}}
	d.gossip.handle(hub, 0, "127.0.0.1:9")
	d.freshness.recordOwnRead(Operators, value.Position{Offset: 5}, time.Now().Add(-time.Minute))
	d.freshness.hubReadAt[Operators] = time.Time{}
	ctx, cancel := context.WithCancel(t.Context())
	var reads []time.Time
	d.store.Read = func(_ context.Context, _ Stream, from int64, _ time.Duration) (Page, error) {
		if reads = append(reads, time.Now()); len(reads) == 1 {
			return Page{}, errors.New("the connection was lost")
		}
		cancel()
		return Page{End: value.Position{Offset: from}}, nil
	}
	s := &streamReader{daemon: d, stream: Operators, wait: operatorsWait, apply: func([]Record) {}, synced: true}
	if err := s.run(ctx); err != nil {
		t.Fatal(err)
	}
	if len(reads) != 2 || reads[1].Sub(reads[0]) > limit {
		t.Errorf("reads at %v, want a second one within %v of the failed one", reads, limit)
	}
}

// TestOutdatedConfigurationRefusesNothing guards against callers that are told that a route or a key does not exist by a
// daemon that knows of a newer configuration, which may have it.
func TestOutdatedConfigurationRefusesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newTestDaemon(t, &now)
	d.codec.ReadCall = func(r *http.Request, _ time.Time) (Call, error) {
		return Call{ID: "1", Method: r.Method, Host: r.Host, Path: r.URL.Path, Credential: r.Header.Get("Key")}, nil
	}
	d.codec.RefusalHeader = func(_ Call, retryAt, _ time.Time) http.Header {
		if retryAt.IsZero() {
			return nil
		}
		return http.Header{"Retry-After": {"1"}}
	}
	routes := []setup.Route{{
		Name: "known", Host: "test.example", Prefix: "/known/", Timeout: time.Second,
		ServiceWeights: []setup.ServiceWeight{{Service: "pool", Weight: 1}},
	}}
	config, err := setup.New(1, routes, nil, []setup.Account{{Name: "counter", Keys: []string{"key"}}}, setup.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	d.tables.applyConfig(config, Record{Key: "config"}, now)
	d.freshness.recordOwnRead(Operators, value.Position{Offset: 1}, now)
	expect := func(moment, path, key string, status int, retry bool) {
		t.Helper()
		request := httptest.NewRequest(http.MethodGet, "http://test.example"+path, nil)
		request.Header.Set("Key", key)
		recorder := httptest.NewRecorder()
		d.serveCaller(recorder, request)
		if recorder.Code != status || recorder.Header().Get("Retry-After") != "" != retry {
			t.Errorf("%s: %s is answered %d, Retry-After %q; want %d, a time to retry: %v", moment, path, recorder.Code, recorder.Header().Get("Retry-After"), status, retry)
		}
	}
	expect("with the newest version", "/added/x", "key", http.StatusNotFound, false)
	expect("with the newest version", "/known/x", "new", http.StatusUnauthorized, false)
	now = now.Add(time.Second)
	d.freshness.recordVersion(2, now)
	expect("with a newer version announced", "/added/x", "key", http.StatusServiceUnavailable, true)
	expect("with a newer version announced", "/known/x", "new", http.StatusServiceUnavailable, true)
	now = now.Add(time.Second)
	d.freshness.recordOwnRead(Operators, value.Position{Offset: 1}, now)
	expect("after a read that shows no newer version", "/added/x", "key", http.StatusNotFound, false)
	expect("after a read that shows no newer version", "/known/x", "new", http.StatusUnauthorized, false)
}
