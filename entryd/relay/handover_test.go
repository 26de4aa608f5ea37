package relay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lentilstage.dev/decide/assist"
	"lentilstage.dev/decide/cases"
	"lentilstage.dev/domain/setup"
)

type handOverCase struct {
	Name         string   `yaml:"Name"`
	Unrepeatable bool     `yaml:"Unrepeatable"`
	Attempts     int      `yaml:"Attempts"`
	Helpers      []string `yaml:"Helpers"`
	Status       int      `yaml:"Status"`
	Retry        bool     `yaml:"Retry"`
	Aborted      bool     `yaml:"Aborted"`
	Offers       int      `yaml:"Offers"`
}

// newStrandedDaemon returns a daemon that has lost its links, with a route and helpers at the addresses.
func newStrandedDaemon(t *testing.T, c handOverCase, helpers ...string) *Daemon {
	t.Helper()
	now := time.Now()
	d := newTestDaemon(t, &now)
	d.clock.now, d.random = time.Now, func() float64 { return 0 }
	d.budget = newBudget(Limits{RetryRatio: 0.2, RetryAllowance: 100, RetryWindow: 10 * time.Second})
	d.codec.ReadCall = func(r *http.Request, _ time.Time) (Call, error) {
		return Call{ID: r.Header.Get("Id"), Method: r.Method, Host: r.Host, Target: r.RequestURI, Path: r.URL.Path}, nil
	}
	d.codec.RefusalHeader = func(_ Call, retryAt, _ time.Time) http.Header {
		if retryAt.IsZero() {
			return nil
		}
		return http.Header{"Retry-After": {"1"}}
	}
	d.codec.HandOverHeader = func(header http.Header, _ AttemptInfo) http.Header { return header.Clone() }
	route := setup.Route{
		Name: "calls", Host: "test.example", Prefix: "/calls/", Kind: setup.Idempotent, Timeout: 2 * time.Second, MaxAttempts: 2,
		ServiceWeights: []setup.ServiceWeight{{Service: "pool", Weight: 1}},
	}
	if c.Unrepeatable {
		route.Kind = setup.Unrepeatable
	}
	if c.Attempts > 0 {
		route.MaxAttempts = c.Attempts
	}
	config, err := setup.New(1, []setup.Route{route}, nil, nil, setup.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	d.tables.applyConfig(config, Record{Key: "config"}, now)
	d.links.phase.Store(assist.Lost)
	for i, address := range helpers {
		name := fmt.Sprintf("helper-%d", i)
		d.links.helpers[name] = assist.Helper{Name: name, Address: address, DataCentre: "a", Config: 1, Room: 1, HeardAt: time.Now()}
	}
	return d
}

// startHelper starts a helper with one behaviour and returns its address.
func startHelper(t *testing.T, behaviour string, offers *atomic.Int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	if behaviour == "Nobody" {
		_ = listener.Close()
	}
	answer := func(status int, taken, more, body string, length int) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), handOverHeader, taken, more, length, body)
	}
	answers := map[string]string{
		"Answer":  answer(200, takenValue, "", "served", 6),
		"Break":   answer(200, takenValue, "", "ser", 6),
		"Decline": answer(503, declinedValue+" NoRoom", "", "", 0),
		"Refuse":  answer(503, takenValue, "Retry-After: 1\r\n", "", 0),
		"Stale":   "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				offers.Add(1)
				_, _ = io.WriteString(conn, answers[behaviour])
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// TestHandOverFailures guards against a request that runs twice, or whose caller is told something untrue, when a
// hand-over fails.
func TestHandOverFailures(t *testing.T) {
	for _, c := range cases.Load[handOverCase](t, "testdata/handovers.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			var offers atomic.Int64
			var addresses []string
			for _, behaviour := range c.Helpers {
				addresses = append(addresses, startHelper(t, behaviour, &offers))
			}
			d := newStrandedDaemon(t, c, addresses...)
			request := httptest.NewRequest(http.MethodPost, "http://test.example/calls/1", strings.NewReader("body"))
			request.Header.Set("Id", "1")
			recorder := httptest.NewRecorder()
			aborted := false
			func() {
				defer func() { aborted = recover() == http.ErrAbortHandler }()
				d.serveCaller(recorder, request)
			}()
			if recorder.Code != c.Status || aborted != c.Aborted || int(offers.Load()) != c.Offers {
				t.Errorf("status %d, aborted %v, %d offers; want %d, %v and %d", recorder.Code, aborted, offers.Load(), c.Status, c.Aborted, c.Offers)
			}
			if retry := recorder.Header().Get("Retry-After") != ""; retry != c.Retry {
				t.Errorf("the caller is told when to retry: %v, want %v", retry, c.Retry)
			}
			if recorder.Header().Get(handOverHeader) != "" {
				t.Error("the caller gets a header of the daemons")
			}
		})
	}
}

// TestOnlyDaemonsHandOver guards against callers who reach the control address and pass by the allowances, and against
// requests that go round over several daemons.
func TestOnlyDaemonsHandOver(t *testing.T) {
	const description = `{"Daemon":"entry-1","Incarnation":"1","Config":1}`
	for name, c := range map[string]struct {
		known       bool
		from        string
		description string
		reason      string
	}{
		"another program":                              {known: true, from: "127.0.0.1:99", description: `{"Daemon":"entry-1"}`, reason: "Stranger"},
		"an unknown daemon":                            {from: "127.0.0.1:99", description: description, reason: "Stranger"},
		"a daemon at another address":                  {known: true, from: "127.0.0.2:99", description: description, reason: "Stranger"},
		"an earlier process":                           {known: true, from: "127.0.0.1:99", description: strings.Replace(description, `"1"`, `"0"`, 1), reason: "Stranger"},
		"a daemon whose own links may be lost as well": {known: true, from: "127.0.0.1:99", description: description, reason: "LinksNotSound"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newStrandedDaemon(t, handOverCase{})
			d.tables.listed = true
			d.tables.markOperatorsListed()
			if c.known {
				d.gossip.handle(message{Daemon: "entry-1", Incarnation: "1", DataCentre: "a", Speed: 1, Control: "127.0.0.1:8"}, 0, "127.0.0.1:9")
			}
			request := httptest.NewRequest(http.MethodPost, handOverPath+"/calls/1", strings.NewReader("body"))
			request.RemoteAddr = c.from
			request.Header.Set(handOverHeader, c.description)
			recorder := httptest.NewRecorder()
			d.serveControl(recorder, request)
			if got, want := recorder.Header().Get(handOverHeader), declinedValue+" "+c.reason; got != want || recorder.Code != http.StatusServiceUnavailable {
				t.Errorf("status %d, %q; want %d, %q", recorder.Code, got, http.StatusServiceUnavailable, want)
			}
		})
	}
}

// TestUnreachedEndpointsStayOpenToTheHelper guards against a helper that passes over the endpoints which the first daemon
// has only failed to connect to.
func TestUnreachedEndpointsStayOpenToTheHelper(t *testing.T) {
	d := newStrandedDaemon(t, handOverCase{})
	x := &exchange{
		daemon: d, config: d.tables.currentConfig(), request: httptest.NewRequest(http.MethodPost, "http://test.example/calls/1", nil),
		tried: map[string]bool{"sent": true, "unreached": true}, unreached: map[string]bool{"unreached": true}, sends: 1,
	}
	header, err := x.handOverFields(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	var got handOver
	if err := json.Unmarshal([]byte(header.Get(handOverHeader)), &got); err != nil || len(got.Tried) != 1 || got.Tried[0] != "sent" || got.Sends != 1 {
		t.Errorf("%+v, error %v; want one send, to the endpoint \"sent\"", got, err)
	}
}

// TestHelperRefusalOfARequestThatMayHaveRun guards against a refusal that says "not run" although an endpoint has got the
// request from the first daemon.
func TestHelperRefusalOfARequestThatMayHaveRun(t *testing.T) {
	var offers atomic.Int64
	d := newStrandedDaemon(t, handOverCase{}, startHelper(t, "Refuse", &offers))
	request := httptest.NewRequest(http.MethodPost, "http://test.example/calls/1", nil)
	recorder := httptest.NewRecorder()
	x := &exchange{daemon: d, writer: recorder, request: request, arrived: time.Now(), sends: 1, mayHaveRun: true, tried: map[string]bool{}, unreached: map[string]bool{}}
	x.call, _ = d.codec.ReadCall(request, time.Now())
	x.config = d.tables.currentConfig()
	x.route, _ = x.config.Match(x.call.Host, x.call.Path)
	x.deadline = time.Now().Add(time.Second)
	if !x.handOver(t.Context(), "LinksLost") || recorder.Code != http.StatusBadGateway || offers.Load() != 1 {
		t.Errorf("status %d after %d offers, want %d after one", recorder.Code, offers.Load(), http.StatusBadGateway)
	}
}
