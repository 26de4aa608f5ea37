package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lentilstage.dev/decide/claim"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"
)

var errLog = errors.New("log down")

type (
	// testLog is a log that can lose answers and can be unavailable.
	testLog struct {
		mu      sync.Mutex
		streams map[string][]wire.LogRecord
		appends int
		records int
		down    bool
		// lossPercent is the percentage of answers that are lost.
		lossPercent int
		rand        *rand.Rand
	}

	// testDaemons are several Claims that share one log and can call each other.
	testDaemons struct {
		log    *testLog
		claims []*Claims
	}
)

// checkLeaks fails the test if goroutines remain after all other cleanups. Call it first, because
// cleanups run in reverse order.
func checkLeaks(t *testing.T) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
}

func newTestDaemons(t *testing.T, count int, address string) *testDaemons {
	t.Helper()
	d := &testDaemons{log: &testLog{streams: map[string][]wire.LogRecord{}, rand: rand.New(rand.NewPCG(1, 2))}}
	names := map[string]int{}
	for i := range count {
		incarnation := ident.NewIncarnation()
		names[string(incarnation)] = i
		d.claims = append(d.claims, NewClaims(
			ClaimSettings{Process: fmt.Sprint(i), Incarnation: incarnation, Window: time.Hour, MaxCalls: 1000},
			ClaimDependencies{
				ReadLog: d.log.read, AppendLog: d.log.append, Now: time.Now, Emit: func(event.Event) {}, RecordRejected: func(string, error) {},
				Endpoint: func(wire.CallRequest) (string, string, bool, bool) { return address, "v1", true, address != "" },
				ForwardCall: func(ctx context.Context, incarnation string, request wire.CallRequest) (wire.CallReply, error) {
					return d.claims[names[incarnation]].Do(ctx, request), nil
				},
			}))
	}
	t.Cleanup(func() {
		for _, c := range d.claims {
			c.Close()
		}
	})
	return d
}

func (l *testLog) read(_ context.Context, stream string, from int64) (wire.LogPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || l.answerLost() {
		return wire.LogPage{}, errLog
	}
	records := l.streams[stream]
	page := wire.LogPage{Next: int64(len(records))}
	for _, r := range records[min(from, int64(len(records))):] {
		if len(page.Records) < 3 {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

func (l *testLog) append(_ context.Context, stream string, records []wire.LogPayload) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || l.answerLost() {
		return 0, errLog
	}
	first := int64(len(l.streams[stream]))
	for i, r := range records {
		l.streams[stream] = append(l.streams[stream], wire.LogRecord{
			Offset: first + int64(i), Time: time.Now(), ID: r.ID, Data: r.Data,
		})
	}
	l.appends++
	l.records += len(records)
	if l.answerLost() {
		return 0, errLog
	}
	return first, nil
}

func (l *testLog) answerLost() bool { return l.rand.IntN(100) < l.lossPercent }

func (l *testLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// countingService is an HTTP service that counts the calls of each key.
type countingService struct {
	mu    sync.Mutex
	calls map[string]int
	wait  time.Duration
}

func (c *countingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(c.wait)
	c.mu.Lock()
	c.calls[r.Header.Get(wire.HeaderIdempotencyKey)]++
	n := len(c.calls)
	c.mu.Unlock()
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "order %d", n)
}

func (c *countingService) count(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[key]
}

func startService(t *testing.T) (*countingService, string) {
	t.Helper()
	service := &countingService{calls: map[string]int{}}
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return service, strings.TrimPrefix(server.URL, "http://")
}

// closedAddress returns a loopback address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	return listener.Addr().String()
}

func order(key string, period time.Duration) wire.CallRequest {
	return wire.CallRequest{
		Account: "counter", Route: "order", Key: key, Path: "/orders", Method: http.MethodPost,
		Body: []byte(`{"Rolls":3}`), Deadline: time.Now().Add(period),
	}
}

// TestCallIsSentOnce guards against an HTTP library that resends a request. The endpoint closes
// each connection after it has read the request, either normally or with a reset.
func TestCallIsSentOnce(t *testing.T) {
	checkLeaks(t)
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s reset %t", method, reset), func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				var requests atomic.Int64
				served := make(chan struct{})
				go func() {
					defer close(served)
					for {
						connection, err := listener.Accept()
						if err != nil {
							return
						}
						if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
							requests.Add(1)
						}
						if reset {
							_ = connection.(*net.TCPConn).SetLinger(0)
						}
						_ = connection.Close()
					}
				}()
				d := newTestDaemons(t, 2, listener.Addr().String())
				request := order(ident.NewKey(), time.Second)
				request.Method = method
				first := d.claims[0].Do(t.Context(), request)
				again := d.claims[0].Do(t.Context(), request)
				other := d.claims[1].Do(t.Context(), request)
				_ = listener.Close()
				<-served
				if n := requests.Load(); n != 1 {
					t.Fatalf("the endpoint got %d requests, want 1", n)
				}
				for _, reply := range []wire.CallReply{first, again, other} {
					if !reply.Unknown {
						t.Errorf("reply is %+v, want an unknown outcome", reply)
					}
				}
			})
		}
	}
}

// TestReplayAtAnotherDaemon guards against a retry that runs the call again or gets a different
// answer, both while the first call is in progress and after it.
func TestReplayAtAnotherDaemon(t *testing.T) {
	checkLeaks(t)
	service, address := startService(t)
	service.wait = 100 * time.Millisecond
	d := newTestDaemons(t, 2, address)
	request := order(ident.NewKey(), 20*time.Second)
	replies := make(chan wire.CallReply, 4)
	for i := range 4 {
		go func() { replies <- d.claims[i%2].Do(t.Context(), request) }()
	}
	first := <-replies
	for range 3 {
		if reply := <-replies; reply.Code != 0 || string(reply.Body) != string(first.Body) {
			t.Errorf("reply is %+v, want the same answer as %+v", reply, first)
		}
	}
	if reply := d.claims[1].Do(t.Context(), request); !reply.Replayed || string(reply.Body) != "order 1" {
		t.Errorf("reply is %+v, want the stored answer", reply)
	}
	request.Body = []byte(`{"Rolls":30}`)
	if reply := d.claims[1].Do(t.Context(), request); reply.Code != int(codes.KeyReused) {
		t.Errorf("reply is %+v, want KeyReused", reply)
	}
	if n := service.count(request.Key); n != 1 {
		t.Errorf("the service ran the call %d times, want once", n)
	}
}

// TestCallerJoinsEndingCall guards against a caller that joins a call at the moment of its end and
// never gets a reply.
func TestCallerJoinsEndingCall(t *testing.T) {
	checkLeaks(t)
	_, address := startService(t)
	d := newTestDaemons(t, 1, address)
	var group sync.WaitGroup
	for range 30 {
		request := order(ident.NewKey(), 10*time.Second)
		for range 8 {
			group.Go(func() {
				for range 30 {
					if reply := d.claims[0].Do(context.Background(), request); reply.Code != 0 {
						t.Errorf("reply is %+v, want the answer", reply)
					}
				}
			})
		}
	}
	group.Wait()
}

// TestRefusedConnectionIsNotRun guards against a "not run" reply without a record, and against an
// outcome that stays unknown although nothing can have been sent.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	checkLeaks(t)
	d := newTestDaemons(t, 2, closedAddress(t))
	request := order(ident.NewKey(), 20*time.Second)
	for _, c := range d.claims {
		if reply := c.Do(t.Context(), request); !claim.GuaranteesNotRun(reply) {
			t.Errorf("reply is %+v, want not run", reply)
		}
	}
}

// TestHeadAloneIsNoAnswer guards against a service that stops after the head of its answer: the caller would
// get an empty answer as a whole one, and every later call with the key too.
func TestHeadAloneIsNoAnswer(t *testing.T) {
	checkLeaks(t)
	var runs atomic.Int32
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")
		_ = conn.Close()
	}))
	t.Cleanup(service.Close)
	d := newTestDaemons(t, 1, strings.TrimPrefix(service.URL, "http://"))
	if reply := d.claims[0].Do(t.Context(), order(ident.NewKey(), 3*time.Second)); reply.Code == 0 || !reply.Unknown {
		t.Errorf("reply is %+v, want an unknown outcome", reply)
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("the service ran the call %d times, want once", n)
	}
}

// TestLogDownSendsNothing guards against a call that is sent without a claim, and against a "not
// run" reply that becomes false when the same key is used again.
func TestLogDownSendsNothing(t *testing.T) {
	checkLeaks(t)
	service, address := startService(t)
	d := newTestDaemons(t, 1, address)
	d.log.setDown(true)
	request := order(ident.NewKey(), 20*time.Second)
	reply := d.claims[0].Do(t.Context(), request)
	if !reply.Unknown || !strings.Contains(reply.Message, "sent nothing") || service.count(request.Key) != 0 {
		t.Fatalf("reply is %+v after %d runs, want an unknown outcome that says \"sent nothing\" and no run", reply, service.count(request.Key))
	}
	d.log.setDown(false)
	if reply := d.claims[0].Do(t.Context(), request); reply.Code != 0 {
		t.Fatalf("reply is %+v, want the answer", reply)
	}
}

// TestAppendsAreShared guards against one append per record, which would exceed the append rate of
// the log.
func TestAppendsAreShared(t *testing.T) {
	checkLeaks(t)
	_, address := startService(t)
	d := newTestDaemons(t, 1, address)
	var keys []string
	for stream := ClaimStream("counter", ident.NewKey()); len(keys) < 20; {
		if key := ident.NewKey(); ClaimStream("counter", key) == stream {
			keys = append(keys, key)
		}
	}
	var group sync.WaitGroup
	for _, key := range keys {
		group.Go(func() {
			if reply := d.claims[0].Do(t.Context(), order(key, 20*time.Second)); reply.Code != 0 {
				t.Errorf("reply is %+v, want the answer", reply)
			}
		})
	}
	group.Wait()
	d.log.mu.Lock()
	defer d.log.mu.Unlock()
	if d.log.appends*2 > d.log.records {
		t.Errorf("%d records took %d appends, want at most half as many appends as records", d.log.records, d.log.appends)
	}
}

// TestFaultyLogRunsEachCallOnce guards against a second run and a false "not run" reply when
// several daemons get the same keys at the same time and the log loses answers.
func TestFaultyLogRunsEachCallOnce(t *testing.T) {
	checkLeaks(t)
	service, address := startService(t)
	d := newTestDaemons(t, 4, address)
	d.log.lossPercent = 15
	notRun := map[string]bool{}
	var mu sync.Mutex
	var group sync.WaitGroup
	answers := 0
	for range 40 {
		request := order(ident.NewKey(), 3*time.Second)
		for _, c := range d.claims {
			group.Go(func() {
				for range 2 {
					reply := c.Do(context.Background(), request)
					mu.Lock()
					notRun[request.Key] = notRun[request.Key] || claim.GuaranteesNotRun(reply)
					if reply.Code == 0 {
						answers++
					}
					mu.Unlock()
				}
			})
		}
	}
	group.Wait()
	for key, saidNotRun := range notRun {
		if n := service.count(key); n > 1 || saidNotRun && n > 0 {
			t.Errorf("key %s ran %d times, want at most once and never after a \"not run\" reply; replied \"not run\": %t", key, n, saidNotRun)
		}
	}
	if answers == 0 {
		t.Error("no call was answered, want at least one")
	}
	t.Logf("%d of 320 calls were answered, %d keys were run", answers, len(service.calls))
}
