package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type (
	// pool keeps idle connections to endpoints, by address. A connection carries one request
	// at a time, and nothing is ever sent again by the pool itself.
	pool struct {
		mutex  sync.Mutex
		idle   map[string][]*channel
		closed bool
	}

	// channel is a connection to an endpoint.
	channel struct {
		net.Conn
		reader  *bufio.Reader
		address string
		// usableUntil is when the endpoint may close the idle connection, idleAt when it became
		// idle.
		usableUntil time.Time
		idleAt      time.Time
	}
)

const (
	dialTimeout = 700 * time.Millisecond
	// keptIdle is how long a connection is kept if the endpoint states no time.
	keptIdle = 4 * time.Second
	// keepAliveMargin is left of a stated time for the way of the next request.
	keepAliveMargin = 300 * time.Millisecond
	// maxIdle bounds the idle connections of one endpoint.
	maxIdle     = 16
	readerBytes = 4096
)

// errUnsolicited says that an idle connection was closed or has bytes that belong to no
// request.
var errUnsolicited = errors.New("idle connection is not usable")

func newPool() *pool { return &pool{idle: map[string][]*channel{}} }

// get returns an idle connection that has been idle for less than the given time, or a new
// one. An error means that nothing was sent.
func (p *pool) get(ctx context.Context, address string, longest time.Duration) (*channel, bool, error) {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now.Before(c.usableUntil) && now.Sub(c.idleAt) < longest && c.quiet() == nil {
			return c, true, nil
		}
		_ = c.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, err
	}
	return &channel{Conn: conn, reader: bufio.NewReaderSize(conn, readerBytes), address: address}, false, nil
}

func (p *pool) pop(address string) *channel {
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

// put keeps a connection whose answer was read to its end.
func (p *pool) put(c *channel, header http.Header) {
	now := time.Now()
	c.idleAt = now
	c.usableUntil = now.Add(keptIdle)
	if stated, ok := keepAlive(header); ok {
		c.usableUntil = now.Add(stated - keepAliveMargin)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || len(p.idle[c.address]) >= maxIdle || !now.Before(c.usableUntil) {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// forget closes the idle connections to an address.
func (p *pool) forget(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
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

// quiet returns errUnsolicited unless the connection is open and has nothing to read.
func (c *channel) quiet() error {
	if c.reader.Buffered() > 0 {
		return errUnsolicited
	}
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var seen error
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, seen = syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return err
	}
	if errors.Is(seen, syscall.EAGAIN) {
		return nil
	}
	return errUnsolicited
}

// keepAlive returns the idle time that the endpoint states.
func keepAlive(header http.Header) (time.Duration, bool) {
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
