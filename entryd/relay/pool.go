package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/intake"
	"lentilstage.dev/wire/answer"
	"lentilstage.dev/wire/dial"
)

type (
	// pool holds idle connections to endpoints, by address. A connection carries one request at a
	// time. The pool itself never sends a request again.
	pool struct {
		mutex  sync.Mutex
		idle   map[string][]*endpointConn
		closed bool
		// limits has the number of connections, idle and in use, above which idle ones are closed, and the sizes of
		// their receive buffers.
		limits intake.Limits
		// open is the number of connections, including those being dialled.
		open atomic.Int64
		// connect opens a connection.
		connect Connect
	}

	// Connect opens a TCP connection to an address of the form host:port.
	Connect func(ctx context.Context, options dial.Options, address string) (net.Conn, error)

	// endpointConn is a connection to an endpoint.
	endpointConn struct {
		*answer.Conn
		reader  *answer.Reader
		address string
		// usableUntil is when the endpoint may close the idle connection, idleAt when it became idle.
		usableUntil time.Time
		idleAt      time.Time
		pool        *pool
		closed      atomic.Bool
	}
)

const (
	dialTimeout = 700 * time.Millisecond
	// defaultIdleTime is how long a connection is kept at most, and if the endpoint states no timeout.
	defaultIdleTime = 4 * time.Second
	// keepAliveMargin is subtracted from a stated timeout for the transit time of the next request.
	keepAliveMargin = 300 * time.Millisecond
	// maxIdlePerEndpoint limits the idle connections to one endpoint.
	maxIdlePerEndpoint = 16
)

var (
	// errConnUnusable means that an idle connection was closed or has bytes that belong to no request.
	errConnUnusable = errors.New("idle connection is not usable")
	// errContradiction means that a response says that the request has run and that it has not.
	errContradiction = eris.Wrap(answer.ErrMalformed, "response contradicts itself")
	// errJoined means that a response follows a part of an earlier one.
	errJoined = eris.Wrap(answer.ErrMalformed, "response follows a part of another one")
	// errVersion means that a response has an older version of HTTP than 1.1.
	errVersion = eris.Wrap(answer.ErrMalformed, "response has an old version of HTTP")
)

func newPool(limits intake.Limits) *pool {
	return &pool{idle: map[string][]*endpointConn{}, limits: limits, connect: connect}
}

func connect(ctx context.Context, options dial.Options, address string) (net.Conn, error) {
	return dial.New(options).DialContext(ctx, "tcp", address)
}

// count returns the number of connections.
func (p *pool) count() int { return int(p.open.Load()) }

// get returns a connection that has been idle for less than maxIdleTime, or a new one. The second
// result reports whether it was reused. An error means that nothing was sent.
func (p *pool) get(ctx context.Context, address string, maxIdleTime time.Duration) (*endpointConn, bool, error) {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now.Before(c.usableUntil) && now.Sub(c.idleAt) < maxIdleTime && c.checkIdle() == nil {
			return c, true, nil
		}
		_ = c.Close()
	}
	c, err := p.dial(ctx, address)
	return c, false, err
}

// dial opens a connection. If there are too many, it closes an idle one before. An error means that nothing was sent.
func (p *pool) dial(ctx context.Context, address string) (*endpointConn, error) {
	open := int(p.open.Add(1))
	if p.crowded(open) {
		p.closeOne()
	}
	buffer := p.limits.SocketBufferBytes
	if open > p.limits.RoomyEndpoints {
		buffer = p.limits.CrowdedEndpointBytes
	}
	conn, err := p.connect(ctx, dial.Options{Timeout: dialTimeout, ReceiveBuffer: buffer}, address)
	if err != nil {
		p.open.Add(-1)
		return nil, err
	}
	c := newEndpointConn(conn, address)
	c.pool = p
	return c, nil
}

// crowded reports whether a number of connections exceeds the limit; zero limits have none.
func (p *pool) crowded(open int) bool {
	return p.limits.EndpointConnections > 0 && open > p.limits.EndpointConnections
}

// closeOne closes an idle connection, if there is one.
func (p *pool) closeOne() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, idle := range p.idle {
		if len(idle) == 0 {
			continue
		}
		_ = idle[0].Close()
		p.idle[address] = idle[1:]
		return
	}
}

func (p *pool) pop(address string) *endpointConn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return c
}

// put keeps a connection whose response was read completely.
func (p *pool) put(c *endpointConn, header http.Header) {
	now := time.Now()
	c.idleAt = now
	c.usableUntil = now.Add(defaultIdleTime)
	if stated, ok := keepAliveTimeout(header); ok {
		c.usableUntil = now.Add(stated - keepAliveMargin)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.crowded(p.count()) || len(p.idle[c.address]) >= maxIdlePerEndpoint || !now.Before(c.usableUntil) {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// closeUnusable closes the connections that have been idle for so long that get would not return them. Those to an
// address that is gone would stay open otherwise: one in use while closeIdle is called is put back later.
func (p *pool) closeUnusable(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, idle := range p.idle {
		kept := slices.DeleteFunc(idle, func(c *endpointConn) bool {
			unusable := now.Sub(c.idleAt) >= defaultIdleTime || !now.Before(c.usableUntil)
			if unusable {
				_ = c.Close()
			}
			return unusable
		})
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, idle := range p.idle {
		for _, c := range idle {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

func newEndpointConn(conn net.Conn, address string) *endpointConn {
	c := answer.NewConn(conn)
	return &endpointConn{Conn: c, reader: answer.NewReader(c), address: address}
}

// Close closes the connection.
func (c *endpointConn) Close() error {
	if c.pool != nil && !c.closed.Swap(true) {
		c.pool.open.Add(-1)
	}
	return c.Conn.Close()
}

// checkIdle returns errConnUnusable unless the connection is open and has nothing to read.
func (c *endpointConn) checkIdle() error {
	if c.reader.Buffered() > 0 {
		return errConnUnusable
	}
	raw, err := c.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return nil
	}
	if err != nil {
		return err
	}
	var peekErr error
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return err
	}
	if errors.Is(peekErr, syscall.EAGAIN) {
		return nil
	}
	return errConnUnusable
}

// keepAliveTimeout returns the idle timeout that the endpoint states.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, text, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
