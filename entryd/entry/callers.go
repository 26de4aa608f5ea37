package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"lentilstage.dev/decide/intake"
)

type (
	// callers bounds the connections to this daemon and what it holds for them, by the decisions of decide/intake.
	// The HTTP library reads requests itself, so that entryd/gate, which serves net/http, can't be used.
	callers struct {
		limits intake.Limits
		logger logr.Logger
		count  func(name string)

		mutex   sync.Mutex
		account *intake.Account
		// notes holds when each kind of event was last logged.
		notes map[string]time.Time
	}

	boundedListener struct {
		net.Listener
		callers *callers
		class   intake.Class
	}

	// boundedConn is a connection of a caller or of another daemon. The goroutine that serves it reads and writes it;
	// another one may only abort it.
	boundedConn struct {
		net.Conn
		callers *callers
		holder  *intake.Holder
		class   intake.Class
		phase   connPhase
		// headSince is when the first byte of the present head arrived, headBytes the number of its bytes.
		headSince time.Time
		headBytes int64
		// bodyBytes counts the bytes of the present body, and marked is its value at the last mark of progress.
		bodyBytes, marked int64
		// unreadBody is set while a request has a body that no handler has read.
		unreadBody atomic.Bool
		// refused is set once the connection was refused without the library, which must write nothing after that.
		refused  bool
		deadline time.Time
		closed   atomic.Bool
	}

	connPhase int
)

const (
	idlePhase connPhase = iota
	headPhase
	bodyPhase
	// servedPhase lasts until the next read.
	servedPhase
)

const (
	// headFactor is the memory of a byte of a head. A head of 4 KB with 600 fields takes 98 KB.
	headFactor = 24
	// bodyCopies is how often a body is held while its request is decoded and handed over.
	bodyCopies = 4
	// headTimeout limits the time from the first byte of a head to its last.
	headTimeout = 10 * time.Second
	// lingerTime and lingerBytes limit what is read of a refused body, so that the caller reads the response before the
	// connection is reset.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 256 << 10
	// deadlineStep is the least change of a deadline that progress extends.
	deadlineStep = time.Second
	// sendBuffer is the size of a connection's send buffer. Without a limit, the kernel holds up to 4 MB of a response
	// that nobody reads.
	sendBuffer = 128 << 10
	// acceptPause follows a failure to accept because no descriptor is left.
	acceptPause  = 5 * time.Millisecond
	noteInterval = time.Second
	// noRoomResponse refuses a request whose head there is no room for. Nothing of it was handled.
	noRoomResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

var (
	errNoRoom       = errors.New("no room for the body")
	errBodyTooLarge = errors.New("body exceeds the limit")
)

func newCallers(b *Base, limits intake.Limits) *callers {
	return &callers{
		limits: limits, logger: b.Logger.WithName("callers"), account: intake.New(limits), notes: map[string]time.Time{},
		count: func(name string) { metrics.GetOrRegisterCounter("Callers."+name, b.Counters.registry).Inc(1) },
	}
}

// listen opens an address for callers or for other daemons.
func (a *callers) listen(address string, class intake.Class) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			// Accepted connections inherit the sizes. The kernel doubles them.
			failed = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, a.limits.SocketBufferBytes/2),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer/2))
		})
		return errors.Join(err, failed)
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &boundedListener{Listener: l, callers: a, class: class}, nil
}

// Accept returns the next connection that is admitted. A lack of descriptors does not end the listener, and with it
// the process.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
			l.callers.note("NotAccepted", "Error", err.Error())
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		if conn := l.callers.open(c, l.class); conn != nil {
			return conn, nil
		}
	}
}

// open admits a connection or closes it.
func (a *callers) open(c net.Conn, class intake.Class) *boundedConn {
	conn := &boundedConn{Conn: c, callers: a, class: class}
	address, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	a.mutex.Lock()
	holder, verdict := a.account.Open(class, address, time.Now())
	if verdict.Admitted {
		holder.Tag, conn.holder = conn, holder
	}
	a.mutex.Unlock()
	a.end(verdict.Shed)
	if !verdict.Admitted {
		_ = c.Close()
		a.note(string(verdict.Reason), "Address", address)
		return nil
	}
	return conn
}

// reserve asks the account for room and ends the connections that make it.
func (a *callers) reserve(ask func(now time.Time) intake.Verdict) bool {
	a.mutex.Lock()
	verdict := ask(time.Now())
	a.mutex.Unlock()
	a.end(verdict.Shed)
	if !verdict.Admitted {
		a.note(string(verdict.Reason))
	}
	return verdict.Admitted
}

// update changes the account.
func (a *callers) update(change func(now time.Time)) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	change(time.Now())
}

// end ends connections that were shed.
func (a *callers) end(list []intake.Shed) {
	for _, s := range list {
		_ = s.Holder.Tag.(*boundedConn).abort()
		a.note(string(s.Reason), "Phase", s.Phase.String())
	}
}

// note counts an event and logs it, at most once in noteInterval for each kind.
func (a *callers) note(event string, fields ...any) {
	a.count(event)
	now := time.Now()
	a.mutex.Lock()
	isDue := now.Sub(a.notes[event]) >= noteInterval
	if isDue {
		a.notes[event] = now
	}
	held := a.account.Held()
	a.mutex.Unlock()
	if isDue {
		a.logger.Info("Caller bounded.", append([]any{
			"Reason", event, "Connections", held.Connections[intake.Callers], "Peers", held.Connections[intake.Control],
			"HeadBytes", held.HeadBytes, "BodyBytes", held.BodyBytes,
		}, fields...)...)
	}
}

// Read reads from the caller. The first bytes after a response begin a request.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.class == intake.Control {
		return c.Conn.Read(p)
	}
	if c.phase == servedPhase {
		c.phase = idlePhase
		c.callers.update(func(now time.Time) { c.callers.account.Idle(c.holder, now) })
	}
	if err := c.extendDeadline(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.callers.note("ReadTimeout")
		}
		return n, err
	}
	if !c.record(int64(n)) {
		c.refused = true
		_, _ = io.WriteString(c.Conn, noRoomResponse)
		return 0, io.EOF
	}
	return n, err
}

// extendDeadline sets the deadline of the next read: none for an idle connection, a fixed one for a head, and one that
// each part of a body extends.
func (c *boundedConn) extendDeadline() error {
	deadline := time.Time{}
	switch c.phase {
	case headPhase:
		deadline = c.headSince.Add(headTimeout)
	case bodyPhase:
		deadline = time.Now().Add(c.callers.limits.ReadTimeout + deadlineStep)
		if deadline.Sub(c.deadline) < deadlineStep {
			return nil
		}
	default:
	}
	if deadline.Equal(c.deadline) {
		return nil
	}
	c.deadline = deadline
	return c.SetReadDeadline(deadline)
}

// record accounts for bytes of a request and reports whether there is room for them.
func (c *boundedConn) record(count int64) bool {
	account := c.callers.account
	switch c.phase {
	case bodyPhase:
		c.bodyBytes += count
		if c.bodyBytes-c.marked >= intake.ProgressBytes {
			c.marked = c.bodyBytes
			c.callers.update(func(now time.Time) { account.Progress(c.holder, now) })
		}
		return true
	case headPhase:
		c.headBytes += count
	default:
		c.phase, c.headSince, c.headBytes = headPhase, time.Now(), count
		c.callers.update(func(now time.Time) { account.Reading(c.holder, now) })
	}
	return c.callers.reserve(func(now time.Time) intake.Verdict {
		return account.Head(c.holder, c.headBytes*headFactor, now)
	})
}

// beginRequest records a complete head of the given size.
func (c *boundedConn) beginRequest(headBytes int, hasBody bool) {
	c.phase = servedPhase
	c.unreadBody.Store(hasBody)
	c.callers.update(func(now time.Time) {
		// A part of the body may have been read with the head and counted as such.
		if cost := int64(headBytes) * headFactor; cost < c.headBytes*headFactor {
			c.callers.account.Head(c.holder, cost, now)
		}
		// A request that was sent ahead follows without a read, which would release the body of the one before.
		c.callers.account.Body(c.holder, 0, now)
		c.callers.account.Serving(c.holder, now)
	})
}

// beginBody records that a handler reads the body.
func (c *boundedConn) beginBody() {
	c.phase, c.bodyBytes, c.marked = bodyPhase, 0, 0
	c.callers.update(func(now time.Time) { c.callers.account.Reading(c.holder, now) })
}

// endBody records that the body was read.
func (c *boundedConn) endBody() {
	c.phase = servedPhase
	c.unreadBody.Store(false)
	c.callers.update(func(now time.Time) { c.callers.account.Serving(c.holder, now) })
}

// holdBody sets the memory of the body and reports whether there is room for it.
func (c *boundedConn) holdBody(size int64) bool {
	return c.callers.reserve(func(now time.Time) intake.Verdict { return c.callers.account.Body(c.holder, size, now) })
}

// trust records that another daemon has proved that it knows the secret.
func (c *boundedConn) trust() {
	c.callers.update(func(now time.Time) { c.callers.account.Serving(c.holder, now) })
}

// Write writes a part of a response within writeTimeout. The library's own write timeout covers a whole response and would cut off
// long streams. While it blocks, the connection may be shed.
func (c *boundedConn) Write(data []byte) (int, error) {
	if c.refused {
		return 0, net.ErrClosed
	}
	if c.class == intake.Control {
		return c.Conn.Write(data)
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	c.callers.update(func(now time.Time) { c.callers.account.Writing(c.holder, now) })
	n, err := c.Conn.Write(data)
	c.callers.update(func(now time.Time) { c.callers.account.Serving(c.holder, now) })
	return n, err
}

// Close closes the connection. If a body was not read, a part of it is read first.
func (c *boundedConn) Close() error {
	if !c.closed.Load() && c.unreadBody.Swap(false) {
		if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		c.callers.update(func(now time.Time) { c.callers.account.Reading(c.holder, now) })
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return c.abort()
}

// abort closes the connection at once.
func (c *boundedConn) abort() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	c.callers.update(func(time.Time) { c.callers.account.Close(c.holder) })
	return c.Conn.Close()
}

// readBody reads a body of at most limit bytes. length is negative if it is not known. It returns errBodyTooLarge, errNoRoom,
// os.ErrDeadlineExceeded if the caller makes no progress, or another error if it has left. conn may be nil.
func readBody(conn *boundedConn, source io.Reader, length, limit int) ([]byte, error) {
	if length > limit {
		return nil, errBodyTooLarge
	}
	reserve := func(size int) bool { return conn == nil || conn.holdBody(int64(size)) }
	if conn != nil {
		conn.beginBody()
	}
	var body []byte
	if length >= 0 {
		if !reserve(length) {
			return nil, errNoRoom
		}
		body = make([]byte, length)
		if _, err := io.ReadFull(source, body); err != nil {
			return nil, err
		}
	} else {
		part := make([]byte, 16<<10)
		for whole := false; !whole; {
			// append may double the memory.
			if !reserve(2 * (len(body) + len(part))) {
				return nil, errNoRoom
			}
			n, err := source.Read(part)
			if body = append(body, part[:n]...); len(body) > limit {
				return nil, errBodyTooLarge
			}
			if whole = errors.Is(err, io.EOF); err != nil && !whole {
				return nil, err
			}
		}
	}
	if conn != nil {
		conn.endBody()
	}
	if !reserve(bodyCopies * len(body)) {
		return nil, errNoRoom
	}
	return body, nil
}

// DescribeLimits describes the limits in one line.
func DescribeLimits(l intake.Limits) string {
	return fmt.Sprintf("connections: callers %d, peers %d; bytes: heads %d, bodies %d, receive buffer %d; times: stall %v, read %v",
		l.Connections[intake.Callers], l.Connections[intake.Control], l.HeadBytes, l.BodyBytes, l.SocketBufferBytes, l.StallTime, l.ReadTimeout)
}
