package gate

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/intake"
)

type (
	// Conn is a caller's connection. net/http reads it in one goroutine at a time: heads and bodies in the one that
	// serves, and, while a complete request is served, in another one that only waits for the caller to leave.
	Conn struct {
		net.Conn
		gate   *Gate
		raw    syscall.RawConn
		holder *intake.Holder
		class  intake.Class

		acceptedAt time.Time
		phase      phase
		// buffer holds bytes from start to end that were read from the network and not yet by net/http, of which
		// it may have the next deliver ones: the rest of a complete head.
		buffer              []byte
		start, end, deliver int
		head                headScanner
		// filledFrom is the position of the bytes that were read last, at filledAt; those before it arrived at
		// filledBefore.
		filledFrom             int
		filledAt, filledBefore time.Time
		requests               int
		// reading is set while the account knows of an incomplete head.
		reading bool
		// begunAt is when the first byte of the present request was read.
		begunAt time.Time
		body    bodyState
		// readDeadline is the last one that was set, idleSince when the last response ended.
		readDeadline, idleSince time.Time

		writeDeadlineSetAt time.Time
		// writeDeadlineFixed is set if a handler has set the write deadline.
		writeDeadlineFixed bool
		// idle is set while the connection has no byte of a request.
		idle atomic.Bool
		// progressAt is when the caller last sent or read enough, and writingSince when the present write began, in
		// nanoseconds since acceptedAt; 0 for never.
		progressAt, writingSince atomic.Int64
		// stalledWriting is set while the account counts the connection as writing. The gate's mutex guards it.
		stalledWriting bool
		// shedReason is why the connection was shed; nil if it was not.
		shedReason atomic.Pointer[intake.Reason]
		closed     atomic.Bool
		// lingering is set once a handler has ended without having read the body.
		lingering atomic.Bool

		// waitLeft is kept here, so that no request allocates it; only the goroutine that waits for the caller to
		// leave calls it. aborted is set while net/http ends that wait.
		waitLeft func(fd uintptr) bool
		waitByte [1]byte
		aborted  atomic.Bool
	}

	// phase is the part of a request that net/http reads next.
	phase int

	// peekResult is what a look at a socket shows.
	peekResult int
)

const (
	headPhase phase = iota
	bodyPhase
	// servedPhase means that the request is complete.
	servedPhase
)

const (
	// nothingToRead, bytesToRead and closedByCaller are what a look at the socket may show.
	nothingToRead peekResult = iota
	bytesToRead
	closedByCaller
)

const (
	bufferBytes = 4 << 10
	// deadlineStep is the least change of a deadline that progress extends.
	deadlineStep = time.Second
	// maxWriteBytes is the largest part of a response that is written before its deadline is extended.
	maxWriteBytes = 64 << 10
	// waitingTime is the longest duration of a read that found its bytes waiting.
	waitingTime = time.Millisecond
	// lingerTime is how long the rest of a refused body is read after the response, so that the caller reads the
	// response before the connection is reset.
	lingerTime = 400 * time.Millisecond
	// abortPollInterval is the pause between two looks at a connection that has no socket, as in tests.
	abortPollInterval = 5 * time.Millisecond
	// retryAfter is the time in Retry-After of the gate's own refusals, in seconds.
	retryAfter = "0.500"
	// tcpCloseWait and tcpClose are states of a connection that the caller has closed or reset.
	tcpClose     = 7
	tcpCloseWait = 8
	tcpStateMask = 0xff
)

var (
	// ErrShed reports that the connection was shed to make room for others.
	ErrShed = eris.New("connection was shed")
	// ErrNoRoom reports that there is no room for a body.
	ErrNoRoom = eris.New("no room for the body")
	// ErrTooLarge reports that a body exceeds its limit.
	ErrTooLarge = eris.New("body exceeds the limit")

	errHeadRefused = errors.New("head refused")
	errBodyUnread  = errors.New("body is not read")
	errBeyondHead  = errors.New("read beyond the end of a head")

	buffers = sync.Pool{New: func() any { b := make([]byte, bufferBytes); return &b }}
)

func newConn(g *Gate, c net.Conn, class intake.Class) *Conn {
	now := time.Now()
	conn := &Conn{Conn: c, gate: g, class: class, acceptedAt: now, idleSince: now}
	conn.idle.Store(true)
	conn.buffer = *buffers.Get().(*[]byte)
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			conn.raw = raw
		}
	}
	conn.waitLeft = func(fd uintptr) bool { return peek(fd, conn.waitByte[:]) == closedByCaller }
	return conn
}

// peek looks at a socket without blocking. A close behind bytes that were not read shows in the state of the
// connection only.
func peek(fd uintptr, buffer []byte) peekResult {
	n, _, err := syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return nothingToRead
	case err != nil || n == 0:
		return closedByCaller
	}
	info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if state := info & tcpStateMask; err == nil && (state == tcpCloseWait || state == tcpClose) {
		return closedByCaller
	}
	return bytesToRead
}

// Arrived returns when the first byte of the present request was read, or when the connection was accepted if the
// request was waiting then.
func (c *Conn) Arrived() time.Time { return c.begunAt }

// Left reports whether the caller has closed the connection. A caller that has only closed its sending side looks
// the same. It makes one system call, and another one if bytes of a further request are waiting.
func (c *Conn) Left() bool {
	if c.closed.Load() || c.shedReason.Load() != nil {
		return true
	}
	return c.look() == closedByCaller
}

func (c *Conn) look() peekResult {
	if c.raw == nil {
		return nothingToRead
	}
	var result peekResult
	var buffer [1]byte
	// The read lock of the connection may be held by the goroutine that waits for the caller to leave.
	if err := c.raw.Control(func(fd uintptr) { result = peek(fd, buffer[:]) }); err != nil {
		return closedByCaller
	}
	return result
}

// more reports whether bytes of a further request have arrived.
func (c *Conn) more() bool { return c.end-c.start-c.deliver > 0 || c.look() == bytesToRead }

// SetOwner assigns what the connection holds to a client account.
func (c *Conn) SetOwner(account string) {
	c.gate.update(func() { c.gate.account.SetOwner(c.holder, account) })
}

// HoldResponse asks for room for a response that is buffered. It sets the size, so 0 releases it.
func (c *Conn) HoldResponse(size int64) bool {
	now := time.Now()
	verdict := c.gate.reserve(func() intake.Verdict { return c.gate.account.Response(c.holder, size, now) })
	if !verdict.Admitted {
		c.gate.note(string(verdict.Reason), "Bytes", size)
	}
	return verdict.Admitted
}

// Read returns the next bytes of the present request. Once that is complete, it waits for the caller to leave.
func (c *Conn) Read(p []byte) (int, error) {
	switch c.phase {
	case headPhase:
		if c.deliver == 0 {
			if err := c.readHead(); err != nil {
				return 0, err
			}
		}
		n := copy(p, c.buffer[c.start:c.start+c.deliver])
		c.start, c.deliver = c.start+n, c.deliver-n
		if c.deliver == 0 {
			c.phase = servedPhase
			c.compact()
		}
		return n, nil
	case bodyPhase:
		return c.readBody(p)
	default:
		if len(p) > 1 {
			// Only the goroutine that waits for the caller to leave may read now, and it reads one byte.
			return 0, errBeyondHead
		}
		return 0, c.awaitLeft()
	}
}

// awaitLeft returns an error once the caller has left or the read was aborted. It consumes nothing.
func (c *Conn) awaitLeft() error {
	if c.raw == nil {
		// Without a socket, a close shows with the next read or write only.
		for !c.aborted.Load() && !c.closed.Load() {
			time.Sleep(abortPollInterval)
		}
		return os.ErrDeadlineExceeded
	}
	for {
		err := c.raw.Read(c.waitLeft)
		if err == nil {
			return io.EOF
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.aborted.Load() || c.shedReason.Load() != nil {
			return err
		}
		// The deadline was meant for the connection while it was idle.
		if err := c.Conn.SetReadDeadline(time.Time{}); err != nil || c.aborted.Load() {
			return errors.Join(err, os.ErrDeadlineExceeded)
		}
	}
}

// readHead reads until the buffer has a complete head, and asks for room for it.
func (c *Conn) readHead() error {
	limits := c.gate.timeouts.Load()
	if c.end > c.start {
		c.begin(c.filledBefore)
		if c.start >= c.filledFrom {
			c.begunAt = c.filledAt
		}
	}
	for {
		length, complete := c.head.scan(c.buffer[c.start:c.end])
		if length > limits.MaxHeaderBytes+headSlack || !complete && c.end-c.start > limits.MaxHeaderBytes+headSlack {
			c.gate.note("HeadTooLarge", "Limit", limits.MaxHeaderBytes)
			return c.refuse(http.StatusRequestHeaderFieldsTooLarge)
		}
		if complete {
			return c.admitHead(length)
		}
		if err := c.makeRoom(limits.MaxHeaderBytes + headSlack + 1); err != nil {
			return err
		}
		if err := c.fill(limits); err != nil {
			return err
		}
	}
}

// begin records the first byte of a request.
func (c *Conn) begin(at time.Time) {
	c.begunAt = at
	c.idle.Store(false)
}

// fill reads more bytes into the buffer.
func (c *Conn) fill(limits *Timeouts) error {
	empty := c.end == c.start
	deadline := c.begunAt.Add(limits.Header)
	if empty {
		deadline = c.idleSince.Add(limits.Idle)
	}
	if err := c.setReadDeadline(deadline); err != nil {
		return err
	}
	startedAt := time.Now()
	n, err := c.Conn.Read(c.buffer[c.end:])
	now := time.Now()
	if n > 0 {
		c.filledBefore, c.filledAt, c.filledFrom = c.filledAt, now, c.end
		c.end += n
		if empty {
			arrived := now
			if now.Sub(startedAt) < waitingTime {
				// The bytes were waiting, at most since the connection was accepted.
				if arrived = startedAt; c.requests == 0 {
					arrived = c.acceptedAt
				}
			}
			c.begin(arrived)
		}
		return nil
	}
	if c.shedReason.Load() != nil {
		return ErrShed
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if empty {
			c.gate.options.Count("Gate.IdleTimeout")
		} else {
			c.gate.note("HeaderTimeout", "Address", addressOf(c.Conn), "Bytes", c.end-c.start)
		}
	}
	return err
}

// makeRoom makes room for more bytes of a head of at most limit bytes. A head that fills more than the first
// buffer is charged.
func (c *Conn) makeRoom(limit int) error {
	if c.start > 0 {
		copy(c.buffer, c.buffer[c.start:c.end])
		c.filledFrom -= c.start
		c.start, c.end = 0, c.end-c.start
	}
	if c.end == 0 {
		return nil
	}
	now := time.Now()
	size := len(c.buffer)
	if c.end == size {
		size = min(2*size, limit)
	}
	verdict := c.gate.reserve(func() intake.Verdict {
		if !c.reading {
			// A head counts as stalled from its first byte on, or a few bytes a second would pass for progress.
			c.reading = true
			c.gate.account.Reading(c.holder, now)
		}
		if size == bufferBytes {
			return intake.Verdict{Admitted: true}
		}
		return c.gate.account.Head(c.holder, int64(size), now)
	})
	if !verdict.Admitted {
		c.gate.note(string(verdict.Reason), "Address", addressOf(c.Conn))
		return c.refuse(http.StatusServiceUnavailable)
	}
	if size > len(c.buffer) {
		larger := make([]byte, size)
		copy(larger, c.buffer[:c.end])
		c.releaseBuffer()
		c.buffer = larger
	}
	return nil
}

// admitHead asks for room for a complete head.
func (c *Conn) admitHead(length int) error {
	now := time.Now()
	cost := intake.HeadCost(int64(length), c.head.fields)
	verdict := c.gate.reserve(func() intake.Verdict {
		verdict := c.gate.account.Head(c.holder, cost, now)
		if verdict.Admitted {
			c.gate.account.Serving(c.holder, now)
		}
		return verdict
	})
	if !verdict.Admitted {
		c.gate.note(string(verdict.Reason), "Address", addressOf(c.Conn), "Fields", c.head.fields)
		return c.refuse(http.StatusServiceUnavailable)
	}
	c.deliver, c.head, c.reading = length, headScanner{}, false
	c.requests++
	return nil
}

// refuse answers a request that net/http has not seen. The connection then closes.
func (c *Conn) refuse(status int) error {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	if status == http.StatusServiceUnavailable {
		text += "Retry-After: " + retryAfter + "\r\n"
	}
	if name := c.gate.options.EchoHeader; name != "" {
		if value := headerValue(c.buffer[c.start:c.end], name); value != nil {
			text += name + ": " + string(value) + "\r\n"
		}
	}
	if _, err := c.Write([]byte(text + "\r\n")); err != nil {
		return err
	}
	return errHeadRefused
}

// compact returns to a small buffer once the bytes that are left fit into it.
func (c *Conn) compact() {
	if c.start == c.end {
		c.start, c.end, c.filledFrom = 0, 0, 0
	}
	if left := c.end - c.start; len(c.buffer) > bufferBytes && left <= bufferBytes {
		small := *buffers.Get().(*[]byte)
		copy(small, c.buffer[c.start:c.end])
		c.filledFrom -= c.start
		c.buffer, c.start, c.end = small, 0, left
	}
}

func (c *Conn) releaseBuffer() {
	if len(c.buffer) == bufferBytes {
		b := c.buffer
		buffers.Put(&b)
	}
}

// finishRequest records that the response was sent and that the connection stays open.
func (c *Conn) finishRequest() {
	c.phase, c.idleSince = headPhase, time.Now()
	c.body = bodyState{}
	if c.writeDeadlineFixed {
		c.writeDeadlineFixed, c.writeDeadlineSetAt = false, time.Time{}
	}
	if c.end == c.start {
		c.idle.Store(true)
	}
	c.progressAt.Store(0)
	c.gate.update(func() {
		c.stalledWriting = false
		c.gate.account.Idle(c.holder, c.idleSince)
	})
}

// Write sends a part of a response. Each part that is sent extends the deadline.
func (c *Conn) Write(p []byte) (int, error) {
	c.body.responded = true
	written := 0
	for {
		now := time.Now()
		if !c.writeDeadlineFixed && now.Sub(c.writeDeadlineSetAt) >= deadlineStep {
			c.writeDeadlineSetAt = now
			if err := c.Conn.SetWriteDeadline(now.Add(c.gate.options.Limits.WriteTimeout + deadlineStep)); err != nil {
				return written, err
			}
		}
		c.writingSince.Store(max(int64(now.Sub(c.acceptedAt)), 1))
		n, err := c.Conn.Write(p[written:min(len(p), written+maxWriteBytes)])
		c.writingSince.Store(0)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.gate.note("WriteTimeout", "Address", addressOf(c.Conn), "Bytes", written)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetReadDeadline sets a deadline of net/http or of a handler. Those of the gate replace it with the next head or body.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.aborted.Store(!at.IsZero() && at.Before(c.acceptedAt))
	return c.setReadDeadline(at)
}

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// SetWriteDeadline sets a deadline of a handler, which progress does not extend. It holds for the present request.
func (c *Conn) SetWriteDeadline(at time.Time) error {
	if at.IsZero() && !c.writeDeadlineFixed {
		// net/http clears the deadline after each response, also that of the gate.
		return nil
	}
	c.writeDeadlineSetAt = time.Time{}
	c.writeDeadlineFixed = !at.IsZero()
	return c.Conn.SetWriteDeadline(at)
}

func (c *Conn) setReadDeadline(at time.Time) error {
	if at.Equal(c.readDeadline) {
		return nil
	}
	c.readDeadline = at
	err := c.Conn.SetReadDeadline(at)
	if c.shedReason.Load() != nil {
		// The connection was shed meanwhile, which ends its reads.
		err = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// shed ends a connection to make room. A request whose body is being read is refused by its handler, and one that is read
// from an idle connection at this moment by the account, which has forgotten the connection. closed reports whether the
// connection is closed already.
func (c *Conn) shed(s intake.Shed) (closed bool) {
	c.shedReason.Store(&s.Reason)
	if (s.Phase == intake.Reading || s.Phase == intake.Idle) && !c.lingering.Load() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return false
	}
	_ = c.Close()
	return true
}

// closeIdle ends the wait for a further request. A request that is read at this moment is served.
func (c *Conn) closeIdle() {
	if c.idle.Load() && c.look() != bytesToRead {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// markProgress records that the caller has sent enough.
func (c *Conn) markProgress(now time.Time) { c.progressAt.Store(max(int64(now.Sub(c.acceptedAt)), 1)) }

// reportProgress tells the account of what the connection has recorded. The gate's mutex must be locked.
func (c *Conn) reportProgress(account *intake.Account) {
	if since := c.writingSince.Load(); since > 0 {
		if !c.stalledWriting {
			c.stalledWriting = true
			account.Writing(c.holder, c.acceptedAt.Add(time.Duration(since)))
		}
		return
	}
	if c.stalledWriting {
		c.stalledWriting = false
		account.Serving(c.holder, time.Now())
	}
	if at := c.progressAt.Swap(0); at > 0 {
		account.Progress(c.holder, c.acceptedAt.Add(time.Duration(at)))
	}
}

// shrinkBuffer bounds the bytes that the kernel holds for the connection.
func (c *Conn) shrinkBuffer(size int) {
	if c.raw == nil {
		return
	}
	// An error leaves the size of the listener.
	_ = c.raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size/2)
	})
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets the behaviour of Close, as for a net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Close closes the connection and releases all that is held for it.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	c.gate.mutex.Lock()
	c.gate.account.Close(c.holder)
	delete(c.gate.conns, c)
	c.gate.mutex.Unlock()
	return c.Conn.Close()
}
