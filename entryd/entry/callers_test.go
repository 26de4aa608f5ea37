package entry

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"lentilstage.dev/decide/intake"
	"lentilstage.dev/domain/conf"
)

// newTestCallers returns the account of an instance of 144 MB with few connections.
func newTestCallers(t *testing.T, connections int) *callers {
	t.Helper()
	limits, err := intake.Derive(intake.Instance{MemoryBytes: 144_000_000, Descriptors: 512}, intake.Overrides{Connections: connections})
	if err != nil {
		t.Fatal(err)
	}
	// The timers of newCounters start a goroutine for good, which tests of leaks would find.
	return newCallers(&Base{Logger: logr.Discard(), Counters: &counters{registry: metrics.NewRegistry()}}, limits)
}

// TestShortEncodedBody guards against a short body that decodes to a long one: a body of 1 MiB may decode to 1 GB.
func TestShortEncodedBody(t *testing.T) {
	var encoded bytes.Buffer
	w := gzip.NewWriter(&encoded)
	_, _ = io.CopyN(w, zeros{}, 64<<20)
	_ = w.Close()
	if _, err := decodeBody(encoded.Bytes(), "gzip", 1<<20); !errors.Is(err, errBodyTooLarge) {
		t.Errorf("error %v for %d bytes that decode to 64 MiB, want %v", err, encoded.Len(), errBodyTooLarge)
	}
	encoded.Reset()
	w = gzip.NewWriter(&encoded)
	_, _ = io.WriteString(w, `{"Item":"film"}`)
	_ = w.Close()
	if body, err := decodeBody(encoded.Bytes(), "identity, gzip", 1<<20); err != nil || string(body) != `{"Item":"film"}` {
		t.Errorf("body %q, error %v", body, err)
	}
	if _, err := decodeBody([]byte("x"), "unheard-of", 1<<20); err == nil {
		t.Error("a body with an unknown encoding was accepted")
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestReadBody guards against bodies beyond the limit, and against a chunked body that is cut and taken for a whole one.
func TestReadBody(t *testing.T) {
	const limit = 1 << 20
	for name, c := range map[string]struct {
		source io.Reader
		length int
		want   error
	}{
		"whole":              {strings.NewReader("body"), 4, nil},
		"whole in chunks":    {strings.NewReader("body"), -1, nil},
		"cut":                {strings.NewReader("bo"), 4, io.ErrUnexpectedEOF},
		"cut in a chunk":     {io.MultiReader(strings.NewReader("bo"), failing{io.ErrUnexpectedEOF}), -1, io.ErrUnexpectedEOF},
		"too long":           {zeros{}, limit + 1, errBodyTooLarge},
		"too long in chunks": {zeros{}, -1, errBodyTooLarge},
	} {
		body, err := readBody(nil, c.source, c.length, limit)
		if !errors.Is(err, c.want) || err == nil && string(body) != "body" {
			t.Errorf("%s: body %.10q, error %v; want error %v", name, body, err, c.want)
		}
	}
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

// fullListener fails as one without descriptors does before it accepts a connection.
type fullListener struct {
	failures int
	conns    chan net.Conn
}

func (l *fullListener) Accept() (net.Conn, error) {
	if l.failures--; l.failures >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *fullListener) Close() error   { return nil }
func (l *fullListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestAcceptWithoutDescriptors guards against a process that exits because no descriptor is left for a moment.
func TestAcceptWithoutDescriptors(t *testing.T) {
	inner := &fullListener{failures: 3, conns: make(chan net.Conn, 1)}
	l := &boundedListener{Listener: inner, callers: newTestCallers(t, 0), class: intake.Callers}
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	inner.conns <- near
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
}

// TestCrowdedConnections guards against more connections than the limit, and against an idle connection that keeps
// another caller out.
func TestCrowdedConnections(t *testing.T) {
	a := newTestCallers(t, intake.LeastConnections)
	var far []net.Conn
	for range 2 * intake.LeastConnections {
		near, other := net.Pipe()
		far = append(far, other)
		if a.open(near, intake.Callers) == nil {
			t.Fatal("a connection was refused while idle ones could be closed")
		}
	}
	if got := a.account.Held().Connections[intake.Callers]; got != intake.LeastConnections {
		t.Errorf("%d connections, want %d", got, intake.LeastConnections)
	}
	closed := 0
	for _, c := range far {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
			closed++
		}
		_ = c.Close()
	}
	if closed != intake.LeastConnections {
		t.Errorf("%d connections were closed, want %d", closed, intake.LeastConnections)
	}
}

// TestSmallLimits guards against limits that leave no room for a single request, and against an error that does not
// tell where to correct them.
func TestSmallLimits(t *testing.T) {
	const text = `Name: a
Region: r
DataCentre: d
Listen: 127.0.0.1:1
PeerListen: 127.0.0.1:2
Log: 127.0.0.1:3
List: 127.0.0.1:4
PeerSecret: 1234567890123456
MaxHeldMiB: 16
`
	_, err := conf.Parse[Settings]([]byte(text + "MemoryMB: 50\nMaxDescriptors: 100\nCallerBodyKiB: 1\n"))
	if err == nil {
		t.Fatal("the limits were accepted")
	}
	for _, want := range []string{"line 10: MemoryMB must be at least ", "line 11: MaxDescriptors must be at least 325, got 100", "line 12: CallerBodyKiB must be at least 4096"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the error %q lacks %q", err, want)
		}
	}
	settings, err := conf.Parse[Settings]([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	settings = settings.WithDefaults()
	settings.MemoryMB = settings.leastMemoryMB()
	limits, err := settings.CallerLimits()
	if err != nil || limits.BodyBytes < settings.leastBodyBytes() {
		t.Errorf("the smallest memory has room for %d bytes of bodies, want %d; error %v", limits.BodyBytes, settings.leastBodyBytes(), err)
	}
}
