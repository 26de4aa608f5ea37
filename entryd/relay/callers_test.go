package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lentilstage.dev/decide/intake"
	"lentilstage.dev/domain/setup"
	"lentilstage.dev/entryd/gate"
)

// TestCallerThatLeftGetsNoSend guards against a request that is sent to an endpoint although its caller has closed the
// connection. The goroutine that waits for the close may be late if processor time is short, so the request's own context is
// kept open here.
func TestCallerThatLeftGetsNoSend(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
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
	results := make(chan outcome, 1)
	address := serveGate(t, d, func(w http.ResponseWriter, r *http.Request) {
		conn := gate.FromContext(r.Context())
		for !conn.Left() {
			time.Sleep(time.Millisecond)
		}
		x := &exchange{
			daemon: d, conn: conn, writer: w, request: r.WithContext(context.WithoutCancel(r.Context())),
			deadline: now.Add(time.Second), arrived: now,
		}
		results <- x.attempt(x.request.Context(), selection{endpoint: e, placed: &placement{endpoint: "e1"}}, 0)
	})
	caller, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(caller, "POST /order HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\nGET /next"); err != nil {
		t.Fatal(err)
	}
	_ = caller.Close()
	result := <-results
	_ = listener.Close()
	if got := <-received; result != callerGone || got > 0 {
		t.Errorf("outcome %s and %d bytes received, want %s and none", result, got, callerGone)
	}
}

// serveGate serves a handler behind the daemon's gate and returns its address.
func serveGate(t *testing.T, d *Daemon, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := d.gate.Listen(t.Context(), "127.0.0.1:0", intake.Callers)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	d.gate.Configure(server, intake.Callers)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// TestBufferedResponses guards against responses that lose or add bytes as their buffer grows, and against a response that is
// cut off and taken for a complete one.
func TestBufferedResponses(t *testing.T) {
	t.Parallel()
	for _, size := range []int{0, 1, firstBufferBytes - 1, firstBufferBytes, firstBufferBytes + 1, 200_000, maxBufferedBytes - 1, maxBufferedBytes, maxBufferedBytes + 1, 3_000_000} {
		content := bytes.Repeat([]byte("abc"), size/3+1)[:size]
		for name, length := range map[string]int64{"length": int64(size), "chunks": -1} {
			response := &http.Response{ContentLength: length, Body: io.NopCloser(bytes.NewReader(content))}
			body, whole, err := (&attempt{x: &exchange{}}).bufferResponse(response)
			if err != nil {
				t.Fatal(err)
			}
			rest, _ := io.ReadAll(response.Body)
			if !bytes.Equal(append(body, rest...), content) || whole && len(rest) > 0 {
				t.Errorf("%s, %d bytes: %d buffered, whole %t, %d left", name, size, len(body), whole, len(rest))
			}
			if !whole && size < maxBufferedBytes {
				t.Errorf("%s, %d bytes: not buffered", name, size)
			}
		}
	}
	cut := &http.Response{ContentLength: -1, Body: io.NopCloser(io.MultiReader(strings.NewReader("abc"), errorReader{io.ErrUnexpectedEOF}))}
	if body, whole, err := (&attempt{x: &exchange{}}).bufferResponse(cut); err == nil || whole {
		t.Errorf("cut off: %q, whole %t", body, whole)
	}
}

// errorReader returns an error.
type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }
