package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lentilstage.dev/decide/intake"
	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
)

type (
	// slowListener accepts connections that delay each write, as those of a busy instance.
	slowListener struct{ net.Listener }
	slowConn     struct{ net.Conn }
)

// writeDelay is longer than the pause in which a daemon checks for open requests.
const writeDelay = 2 * drainPollInterval

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn}, err
}

func (c slowConn) Write(data []byte) (int, error) {
	time.Sleep(writeDelay)
	return c.Conn.Write(data)
}

// unavailableStore returns a log that rejects all records.
func unavailableStore() Store {
	return Store{Append: func(context.Context, Stream, int64, string, []byte) (value.Position, error) {
		return value.Position{}, ErrUnavailable
	}}
}

// TestDrainFlushesLastResponse guards against a planned stop that closes the connections while the last
// response is in its buffer: its caller gets neither an answer nor a refusal.
func TestDrainFlushesLastResponse(t *testing.T) {
	t.Parallel()
	now := time.Now()
	d := newTestDaemon(t, &now)
	d.clock.now = time.Now
	d.settings.Limits.GracePeriod = 2 * drainIdleTime
	d.store = unavailableStore()
	received, answer := make(chan struct{}), make(chan struct{})
	d.codec.ReadCall = func(*http.Request, time.Time) (Call, error) {
		close(received)
		<-answer
		return Call{}, errors.New("malformed")
	}
	d.codec.RefusalHeader = func(Call, time.Time, time.Time) http.Header { return nil }
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(d.serveCaller)}
	d.gate.Configure(server, intake.Callers)
	go func() { _ = server.Serve(d.gate.Wrap(slowListener{listener}, intake.Callers)) }()
	done := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		done <- err
	}()
	<-received
	time.AfterFunc(drainIdleTime+drainIdleTime/10, func() { close(answer) })
	d.drain()
	_ = server.Close()
	if err := <-done; err != nil {
		t.Errorf("no complete response: %v", err)
	}
}

// TestQuietTimeIgnoresTimeOfDay guards against a drain that ends early because the time of day steps forwards: the time
// of the last request must be one since the daemon's start, which has a monotonic reading.
func TestQuietTimeIgnoresTimeOfDay(t *testing.T) {
	now := time.Now()
	d := newTestDaemon(t, &now)
	d.startedAt = now
	d.codec.ReadCall = func(*http.Request, time.Time) (Call, error) { return Call{}, errors.New("malformed") }
	d.codec.RefusalHeader = func(Call, time.Time, time.Time) http.Header { return nil }
	now = now.Add(time.Second)
	d.serveCaller(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	if got := time.Duration(d.lastRequest.Load()); got != time.Second {
		t.Errorf("the last request arrived %v after the start, want 1 s", got)
	}
	now = now.Add(2 * time.Second)
	if got := d.quietTime(); got != 2*time.Second {
		t.Errorf("quiet for %v, want 2 s", got)
	}
}

// TestWithdrawnEndpointGetsNoBytes guards against a request to an endpoint that was taken out of use while the request
// was being connected (DRAIN).
func TestWithdrawnEndpointGetsNoBytes(t *testing.T) {
	t.Parallel()
	for name, withdraw := range map[string]func(d *Daemon, e setup.Endpoint, now time.Time){
		"it registers that it leaves": func(d *Daemon, e setup.Endpoint, now time.Time) {
			e.State, e.Sequence = setup.Leaving, 2
			d.tables.putEndpoint(Record{Key: e.ID, Offset: 6, Value: []byte("{}")}, e, now)
		},
		"it says that it leaves": func(d *Daemon, e setup.Endpoint, _ time.Time) { d.tables.recordLeaving(e) },
		"its registration is removed": func(d *Daemon, e setup.Endpoint, now time.Time) {
			d.tables.deleteEndpoint(Record{Key: e.ID, Offset: 6}, now)
		},
		"another process registers": func(d *Daemon, e setup.Endpoint, now time.Time) {
			e.StartedAtMS = 9
			d.tables.putEndpoint(Record{Key: e.ID, Offset: 6, Value: []byte("{}")}, e, now)
		},
		"its data centre is evacuated": func(d *Daemon, e setup.Endpoint, now time.Time) {
			d.tables.recordEvacuation(e.DataCentre, Record{Key: evacuationKey + e.DataCentre, Offset: 1, Value: []byte("{}")}, now)
		},
		"it rejects requests": func(d *Daemon, e setup.Endpoint, now time.Time) {
			d.tables.recordRejection(e, now.Add(time.Minute), now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			received := make(chan int, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					// The listener was closed first.
					received <- 0
					return
				}
				data, _ := io.ReadAll(io.LimitReader(conn, 1))
				_ = conn.Close()
				received <- len(data)
			}()
			now := time.Now()
			d := newTestDaemon(t, &now)
			d.codec.RequestHeader = func(Call, AttemptInfo) http.Header { return http.Header{} }
			e := setup.Endpoint{ID: "e1", Service: "pool", Address: listener.Addr().String(), Slots: 4, State: setup.Ready, Sequence: 1}
			d.tables.putEndpoint(Record{Key: "e1", Offset: 5, Value: []byte("{}")}, e, now)
			withdraw(d, e, now)
			x := &exchange{daemon: d, request: httptest.NewRequest(http.MethodPost, "/pool/", nil), deadline: now.Add(time.Second), arrived: now}
			result := x.attempt(t.Context(), selection{endpoint: e, placed: &placement{endpoint: "e1"}}, 0)
			_ = listener.Close()
			if got := <-received; result != notSent || got > 0 {
				t.Errorf("outcome %s and %d bytes received, want %s and none", result, got, notSent)
			}
		})
	}
}
