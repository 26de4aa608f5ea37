package gate

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"lentilstage.dev/decide/intake"
)

// testbed is a server behind a gate.
type testbed struct {
	t       *testing.T
	gate    *Gate
	server  *http.Server
	address string
}

func newTestbed(t *testing.T, limits intake.Limits, handler http.HandlerFunc) *testbed {
	t.Helper()
	b := &testbed{t: t, gate: New(Options{Limits: limits, Logger: logr.Discard(), EchoHeader: "Call-Id"})}
	b.server = &http.Server{Handler: handler}
	b.gate.Configure(b.server, intake.Callers)
	l, err := b.gate.Listen(context.Background(), "127.0.0.1:0", intake.Callers)
	if err != nil {
		t.Fatal(err)
	}
	b.address = l.Addr().String()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := b.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		_ = b.server.Close()
		<-done
	})
	return b
}

func testLimits(t *testing.T) intake.Limits {
	t.Helper()
	l, err := intake.Derive(intake.Instance{}, intake.Overrides{})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (b *testbed) dial() net.Conn {
	b.t.Helper()
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func (b *testbed) write(c net.Conn, text string) {
	b.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		b.t.Fatal(err)
	}
}

// response reads a response and its body.
func (b *testbed) response(r *bufio.Reader) (*http.Response, string) {
	b.t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	return response, string(body)
}

// echo responds with the path and the size of the body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, read, err := ReadBody(r, 8<<20, time.Now().Add(5*time.Second))
	if err != nil {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer body.Release()
	_, _ = fmt.Fprintf(w, "%s %d", r.URL.Path, read)
}

// TestRequests guards against a head or a body that is cut off or gets bytes of the next request: of any size, with a
// length or in chunks, pipelined, and in any pieces.
func TestRequests(t *testing.T) {
	b := newTestbed(t, testLimits(t), echo)
	var text strings.Builder
	var want []string
	for i, size := range []int{0, 1, 4095, 4096, 4097, 70_000, 300_000, 0, 5} {
		body := strings.Repeat("b", size)
		fmt.Fprintf(&text, "POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", i, size, body)
		want = append(want, fmt.Sprintf("/%d %d", i, size))
		fmt.Fprintf(&text, "POST /c%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", i)
		for rest := body; rest != ""; {
			n := min(len(rest), 6000)
			fmt.Fprintf(&text, "%x;extension=1\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		text.WriteString("0\r\nTrailer: x\r\n\r\n")
		want = append(want, fmt.Sprintf("/c%d %d", i, size))
		fmt.Fprintf(&text, "GET /g%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
		want = append(want, fmt.Sprintf("/g%d 0", i))
	}
	for _, step := range []int{1 << 20, 1000, 4096, 4097, 7} {
		c := b.dial()
		go func() {
			for rest := text.String(); rest != ""; {
				n := min(len(rest), step)
				if _, err := io.WriteString(c, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		reader := bufio.NewReader(c)
		for _, expected := range want {
			if _, got := b.response(reader); got != expected {
				t.Fatalf("step %d: got %q, want %q", step, got, expected)
			}
		}
	}
}

// TestPipelinedAtStop guards against requests that were read and get no response when a server drains.
func TestPipelinedAtStop(t *testing.T) {
	started := make(chan struct{}, 10)
	b := newTestbed(t, testLimits(t), func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		time.Sleep(50 * time.Millisecond)
		echo(w, r)
	})
	idle := b.dial()
	c := b.dial()
	b.write(c, strings.Repeat("GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 8))
	reader := bufio.NewReader(c)
	<-started
	b.gate.Drain()
	b.gate.CloseIdle()
	for i := range 8 {
		response, _ := b.response(reader)
		if response.StatusCode != http.StatusOK || response.Close != (i == 7) {
			t.Fatalf("response %d: %d, close %t", i, response.StatusCode, response.Close)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	b.gate.Wait(ctx)
	if ctx.Err() != nil {
		t.Error("connections are still open")
	}
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v", err)
	}
	if held := b.gate.Held(); held != (intake.Held{}) {
		t.Errorf("still held: %+v", held)
	}
}

// TestCallerLeaves guards against a request that goes on after its caller has left, also if bytes of a further request
// hide the end of the connection. A caller that only closes its sending side looks the same as one that has left, so
// its request is dropped too.
func TestCallerLeaves(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"closed": func(c *net.TCPConn) error { return c.Close() },
		"reset":  func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
		"half":   func(c *net.TCPConn) error { return c.CloseWrite() },
	} {
		for _, further := range []string{"", "GET /next HTTP/1.1\r\n", strings.Repeat("x", 20_000)} {
			started, left := make(chan struct{}), make(chan bool, 1)
			b := newTestbed(t, testLimits(t), func(_ http.ResponseWriter, r *http.Request) {
				c := FromContext(r.Context())
				if c.Left() {
					t.Errorf("%s: left before", name)
				}
				close(started)
				select {
				case <-r.Context().Done():
				case <-time.After(5 * time.Second):
				}
				left <- c.Left() && r.Context().Err() != nil
			})
			c := b.dial()
			b.write(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+further)
			<-started
			if err := leave(c.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			if !<-left {
				t.Errorf("%s with %d further bytes: not noticed", name, len(further))
			}
		}
	}
}

// TestUnreadBody guards against a handler that does not want the body and whose response waits for it.
func TestUnreadBody(t *testing.T) {
	b := newTestbed(t, testLimits(t), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	for _, framing := range []string{"Content-Length: 1000", "Content-Length: 4000000", "Transfer-Encoding: chunked"} {
		c := b.dial()
		startedAt := time.Now()
		b.write(c, "POST / HTTP/1.1\r\nHost: h\r\n"+framing+"\r\n\r\nabc")
		response, _ := b.response(bufio.NewReader(c))
		if response.StatusCode != http.StatusNotFound || !response.Close {
			t.Errorf("%s: %d, close %t", framing, response.StatusCode, response.Close)
		}
		if _, err := io.Copy(io.Discard, c); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Errorf("%s: %v", framing, err)
		}
		if elapsed := time.Since(startedAt); elapsed > 3*time.Second {
			t.Errorf("%s: connection was open for %v", framing, elapsed)
		}
	}
}

// TestHeads guards against a head of the largest size and very many fields that is refused although nothing else is
// held, against heads beyond the limit, and against those that no room is left for.
func TestHeads(t *testing.T) {
	limits := testLimits(t)
	limits.HeadBytes = intake.LargestHeadCost(intake.LargestHeadBytes)
	release := make(chan struct{})
	b := newTestbed(t, limits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			<-release
		}
		w.WriteHeader(http.StatusNoContent)
	})
	b.gate.SetTimeouts(Timeouts{MaxHeaderBytes: intake.LargestHeadBytes})
	fields := func(count int) string {
		var text strings.Builder
		for range count {
			text.WriteString("a:\r\n")
		}
		return text.String()
	}
	many := "Call-Id: 7\r\n" + fields((intake.LargestHeadBytes-100)/4)
	for _, c := range []struct {
		name, head string
		status     int
	}{
		{"many fields", "GET / HTTP/1.1\r\nHost: h\r\n" + many, http.StatusNoContent},
		{"one long field", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 16000) + "\r\n", http.StatusNoContent},
		{"too large", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: "+strings.Repeat("x", 1000)+"\r\n", 30), http.StatusRequestHeaderFieldsTooLarge},
	} {
		for b.gate.Held().HeadBytes > 0 {
			time.Sleep(time.Millisecond)
		}
		conn := b.dial()
		b.write(conn, c.head+"\r\n")
		if response, _ := b.response(bufio.NewReader(conn)); response.StatusCode != c.status {
			t.Errorf("%s: status %d, want %d", c.name, response.StatusCode, c.status)
		}
	}
	for b.gate.Held().HeadBytes > 0 {
		time.Sleep(time.Millisecond)
	}
	held := b.dial()
	b.write(held, "GET /hold HTTP/1.1\r\nHost: h\r\n"+many+"\r\n")
	for b.gate.Held().HeadBytes < limits.HeadBytes/2 {
		time.Sleep(time.Millisecond)
	}
	c := b.dial()
	b.write(c, "GET / HTTP/1.1\r\nHost: h\r\n"+many+"\r\n")
	response, _ := b.response(bufio.NewReader(c))
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || response.Header.Get("Call-Id") != "7" {
		t.Errorf("no room: %d %v", response.StatusCode, response.Header)
	}
	close(release)
	if response, _ := b.response(bufio.NewReader(held)); response.StatusCode != http.StatusNoContent {
		t.Errorf("held request: status %d", response.StatusCode)
	}
}

// TestBodies guards against bodies beyond the account's limit, and against bodies that stop just short of their end and keep
// others out.
func TestBodies(t *testing.T) {
	limits := testLimits(t)
	limits.BodyBytes, limits.StallTime = 4<<20, 200*time.Millisecond
	b := newTestbed(t, limits, echo)
	post := func(size, sent int) net.Conn {
		c := b.dial()
		b.write(c, fmt.Sprintf("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", sent)))
		return c
	}
	first := post(3<<20, 3<<20-1)
	second := post(1<<20, 1<<20-1)
	for b.gate.Held().BodyBytes < 4<<20 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * limits.StallTime)
	third := post(4<<20, 4<<20)
	if _, got := b.response(bufio.NewReader(third)); got != fmt.Sprintf("/p %d", 4<<20) {
		t.Errorf("complete body: %q", got)
	}
	for _, c := range []net.Conn{first, second} {
		if response, _ := b.response(bufio.NewReader(c)); response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("stalled body: status %d", response.StatusCode)
		}
	}
	for b.gate.Held().BodyBytes > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestConnections guards against an address that uses up all connections, and against one that is closed although
// it makes progress.
func TestConnections(t *testing.T) {
	limits := testLimits(t)
	limits.Connections[intake.Callers], limits.StallTime = 20, 200*time.Millisecond
	b := newTestbed(t, limits, echo)
	for range 50 {
		b.dial()
	}
	stalled := b.dial()
	b.write(stalled, "GET /")
	c := b.dial()
	b.write(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, got := b.response(bufio.NewReader(c)); got != "/x 0" {
		t.Errorf("got %q", got)
	}
	if open := b.gate.Held().Connections[intake.Callers]; open > 20 {
		t.Errorf("%d connections are open", open)
	}
}

// TestRefusedBodiesGiveWay guards against refused requests whose connections linger, with unread bodies, and keep
// others out.
func TestRefusedBodiesGiveWay(t *testing.T) {
	limits := testLimits(t)
	limits.Connections[intake.Callers] = 20
	b := newTestbed(t, limits, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	for range 100 {
		c := b.dial()
		b.write(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\nabc")
		if response, _ := b.response(bufio.NewReader(c)); response.StatusCode != http.StatusNotFound {
			t.Fatalf("status %d", response.StatusCode)
		}
	}
}

// TestShedConnectionsEnd guards against connections that were shed and stay open: the account no longer counts them, so
// that the process would run out of descriptors.
func TestShedConnectionsEnd(t *testing.T) {
	limits := testLimits(t)
	// closing is the number of connections that may be in the middle of their close.
	const closing = 10
	limits.Connections[intake.Callers], limits.StallTime = 20, time.Millisecond
	b := newTestbed(t, limits, echo)
	for i := range 200 {
		b.write(b.dial(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\nabc")
		time.Sleep(2 * time.Millisecond)
		if open := len(b.gate.list()); open > 20+maxEnding+closing {
			t.Fatalf("%d connections are open after %d", open, i+1)
		}
	}
}

// TestSlowReader guards against a caller that sends requests and reads no responses: neither its requests nor its
// responses may pile up, and its connection ends.
func TestSlowReader(t *testing.T) {
	limits := testLimits(t)
	limits.WriteTimeout = 300 * time.Millisecond
	var served atomic.Int64
	b := newTestbed(t, limits, func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		_, _ = w.Write(make([]byte, 100_000))
	})
	c := b.dial()
	request := strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 100)
	var err error
	for err == nil {
		_, err = io.WriteString(c, request)
	}
	if n := served.Load(); n > 100 {
		t.Errorf("%d requests were served", n)
	}
	for b.gate.Held() != (intake.Held{}) {
		time.Sleep(time.Millisecond)
	}
}

// TestTimeouts guards against heads and bodies that never end, and against an idle connection that is closed early.
func TestTimeouts(t *testing.T) {
	limits := testLimits(t)
	limits.ReadTimeout = 100 * time.Millisecond
	b := newTestbed(t, limits, echo)
	b.gate.SetTimeouts(Timeouts{Header: 200 * time.Millisecond, Idle: 2 * time.Second})
	for _, text := range []string{"", "G", "GET / HTTP/1.1\r\nHost: h\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345"} {
		c := b.dial()
		b.write(c, text)
		if _, err := io.Copy(io.Discard, c); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Errorf("%q: %v", text, err)
		}
	}
	c := b.dial()
	reader := bufio.NewReader(c)
	for range 3 {
		b.write(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		b.response(reader)
		time.Sleep(1200 * time.Millisecond)
	}
}
