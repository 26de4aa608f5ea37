// Package gate bounds what a net/http server holds for its callers.
//
// A Gate wraps the listeners and connections of any number of servers. It admits connections, heads and bodies by the
// decisions of decide/intake, closes connections that make no progress, and knows where each request on a connection
// begins: net/http gets a request's head only once it is complete and was admitted, and no byte of the next
// request before the response to this one was sent.
//
// # Usage
//
//	g := gate.New(gate.Options{Limits: limits, Logger: logger, Count: count})
//	server := &http.Server{Handler: handler}
//	g.Configure(server, intake.Callers)
//	listener, err := g.Listen(ctx, address, intake.Callers)
//	err = server.Serve(listener)
//
// In a handler:
//
//	conn := gate.FromContext(r.Context())        // nil without a gate
//	body, err := gate.ReadBody(r, limit, deadline) // in pieces, charged to the account
//	defer body.Release()
//	if conn.Left() { ... }
//
// A planned stop calls Drain, then CloseIdle, then Wait. It must not call the server's Shutdown or
// SetKeepAlivesEnabled, which drop requests that were read.
package gate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"lentilstage.dev/decide/intake"
)

type (
	// Options configure a gate.
	Options struct {
		Limits intake.Limits
		Logger logr.Logger
		// Count adds one to a counter; it may be nil.
		Count func(name string)
		// EchoHeader names a header of a request that the gate's own refusals repeat; empty for none.
		EchoHeader string
	}

	// Timeouts are the limits of a deployment's configuration for its callers. Zero fields stand for defaults.
	Timeouts struct {
		// Header limits the time from the first byte of a head to its last, Idle that of a connection without a
		// request.
		Header, Idle time.Duration
		// MaxHeaderBytes limits the size of a head.
		MaxHeaderBytes int
	}

	// Gate bounds what servers hold for their callers. All methods are safe for concurrent use.
	Gate struct {
		options  Options
		timeouts atomic.Pointer[Timeouts]
		draining atomic.Bool

		// mutex guards the fields below.
		mutex   sync.Mutex
		account *intake.Account
		conns   map[*Conn]struct{}
		sweptAt time.Time
		notes   map[string]*note
		// ending holds connections that were shed and may still send a refusal, in their order.
		ending []*Conn
	}

	// note limits the log lines about one kind of event.
	note struct {
		loggedAt time.Time
		skipped  int
	}

	listener struct {
		net.Listener
		gate  *Gate
		class intake.Class
	}

	contextKey struct{}
)

const (
	// DefaultHeaderTimeout, DefaultIdleTimeout and DefaultMaxHeaderBytes apply until a configuration is in force.
	DefaultHeaderTimeout  = 10 * time.Second
	DefaultIdleTimeout    = 5 * time.Minute
	DefaultMaxHeaderBytes = 64 << 10

	// headSlack is the size of a request line beyond the limit of the header.
	headSlack = 4 << 10
	// serverHeaderBytes is the limit of net/http, which never sees a head that exceeds the gate's.
	serverHeaderBytes = 8 << 20
	// sweepInterval is the shortest time between two looks at the progress of all connections.
	sweepInterval = 100 * time.Millisecond
	noteInterval  = time.Second
	// acceptPause follows a failure to accept because all descriptors are in use.
	acceptPause      = 5 * time.Millisecond
	waitPollInterval = 10 * time.Millisecond
	// maxEnding is the number of connections that were shed and may be open to send a refusal.
	maxEnding = 16
	// sendBuffer is the size of a caller's send buffer. Without a limit, the kernel holds up to 4 MB of a response
	// that nobody reads.
	sendBuffer = 128 << 10
)

// New returns a gate without connections.
func New(options Options) *Gate {
	if options.Count == nil {
		options.Count = func(string) {}
	}
	if options.Logger.GetSink() == nil {
		options.Logger = logr.Discard()
	}
	g := &Gate{
		options: options, account: intake.New(options.Limits), conns: map[*Conn]struct{}{}, notes: map[string]*note{},
	}
	g.account.BeforeShedding = g.sweep
	g.SetTimeouts(Timeouts{})
	return g
}

// SetTimeouts sets the limits of the configuration in force. They apply from the next request of a connection on.
func (g *Gate) SetTimeouts(t Timeouts) {
	if t.Header <= 0 {
		t.Header = DefaultHeaderTimeout
	}
	if t.Idle <= 0 {
		t.Idle = DefaultIdleTimeout
	}
	if t.MaxHeaderBytes <= 0 {
		t.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	g.timeouts.Store(&t)
}

// Limits returns the gate's limits.
func (g *Gate) Limits() intake.Limits { return g.options.Limits }

// Held returns how much is held at present.
func (g *Gate) Held() intake.Held {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.account.Held()
}

// Listen opens an address for a class of callers.
func (g *Gate) Listen(ctx context.Context, address string, class intake.Class) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			// Accepted connections inherit the sizes. The kernel doubles them.
			failed = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, g.options.Limits.SocketBufferBytes/2),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer/2))
		})
		return errors.Join(err, failed)
	}}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return g.Wrap(l, class), nil
}

// Wrap returns a listener that admits the connections of another one.
func (g *Gate) Wrap(l net.Listener, class intake.Class) net.Listener {
	return &listener{Listener: l, gate: g, class: class}
}

// Configure prepares a server for a listener of the gate. The server's handler must be set before.
func (g *Gate) Configure(server *http.Server, class intake.Class) {
	server.Handler = g.handler(server.Handler, class)
	server.ReadHeaderTimeout, server.ReadTimeout, server.WriteTimeout, server.IdleTimeout = 0, 0, 0, 0
	server.MaxHeaderBytes = serverHeaderBytes
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if conn, ok := c.(*Conn); ok {
			return context.WithValue(ctx, contextKey{}, conn)
		}
		return ctx
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok && state == http.StateIdle {
			conn.finishRequest()
		}
	}
}

// FromContext returns the connection of a request; nil if the server has no gate.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Accept returns the next connection that is admitted. It closes those that are refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			// The limits keep room for callers' connections; something else has used it up.
			l.gate.note("NoDescriptors", "Error", err.Error())
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		if conn := l.gate.open(c, l.class); conn != nil {
			return conn, nil
		}
	}
}

// open admits a connection or closes it.
func (g *Gate) open(c net.Conn, class intake.Class) *Conn {
	conn := newConn(g, c, class)
	now := conn.acceptedAt
	address := addressOf(c)
	g.mutex.Lock()
	holder, verdict := g.account.Open(class, address, now)
	crowded := false
	if verdict.Admitted {
		holder.Tag, conn.holder = conn, holder
		g.conns[conn] = struct{}{}
		crowded = len(g.conns) > g.options.Limits.RoomyConnections
	}
	g.mutex.Unlock()
	g.end(verdict.Shed)
	if !verdict.Admitted {
		_ = c.Close()
		g.note(string(verdict.Reason), "Address", address)
		return nil
	}
	if crowded {
		conn.shrinkBuffer(g.options.Limits.CrowdedBufferBytes)
	}
	return conn
}

// addressOf returns the IP address of the other end.
func addressOf(c net.Conn) string {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return c.RemoteAddr().String()
}

// reserve asks the account for room.
func (g *Gate) reserve(ask func() intake.Verdict) intake.Verdict {
	g.mutex.Lock()
	verdict := ask()
	g.mutex.Unlock()
	g.end(verdict.Shed)
	return verdict
}

// update changes the account.
func (g *Gate) update(change func()) {
	g.mutex.Lock()
	change()
	g.mutex.Unlock()
}

// sweep tells the account which connections make progress. Connections record that themselves, since room is
// rarely short. It does nothing if the last sweep is recent. The mutex must be locked.
func (g *Gate) sweep(now time.Time) {
	if now.Sub(g.sweptAt) < sweepInterval {
		return
	}
	g.sweptAt = now
	for c := range g.conns {
		c.reportProgress(g.account)
	}
}

// end ends the connections that were shed.
func (g *Gate) end(list []intake.Shed) {
	for _, s := range list {
		conn := s.Holder.Tag.(*Conn)
		if !conn.shed(s) {
			g.boundEnding(conn)
		}
		g.note(string(s.Reason), "Address", addressOf(conn.Conn), "Phase", s.Phase.String())
	}
}

// boundEnding closes the connections that were shed first once more than maxEnding are open: the account no longer counts
// them, and a busy instance would run out of descriptors.
func (g *Gate) boundEnding(conn *Conn) {
	g.mutex.Lock()
	g.ending = append(slices.DeleteFunc(g.ending, func(c *Conn) bool { return c.closed.Load() }), conn)
	var oldest *Conn
	if len(g.ending) > maxEnding {
		oldest = g.ending[0]
		g.ending = slices.Delete(g.ending, 0, 1)
	}
	g.mutex.Unlock()
	if oldest != nil {
		// Close waits until the descriptor is free.
		_ = oldest.Close()
	}
}

// note counts an event of the gate and logs it, at most once in noteInterval for each kind.
func (g *Gate) note(event string, fields ...any) {
	g.options.Count("Gate." + event)
	now := time.Now()
	g.mutex.Lock()
	n := g.notes[event]
	if n == nil {
		n = &note{}
		g.notes[event] = n
	}
	if now.Sub(n.loggedAt) < noteInterval {
		n.skipped++
		g.mutex.Unlock()
		return
	}
	skipped, held := n.skipped, g.account.Held()
	n.loggedAt, n.skipped = now, 0
	g.mutex.Unlock()
	g.options.Logger.Info("Caller bounded.", append([]any{
		"Reason", event, "Skipped", skipped, "Connections", held.Connections[intake.Callers],
		"HeadBytes", held.HeadBytes, "BodyBytes", held.BodyBytes, "ResponseBytes", held.ResponseBytes,
	}, fields...)...)
}

// Drain begins a planned stop: from now on a response announces that its connection closes, unless another request
// follows on it.
func (g *Gate) Drain() { g.draining.Store(true) }

// CloseIdle closes the connections that have no request and nothing to read.
func (g *Gate) CloseIdle() {
	for _, c := range g.list() {
		c.closeIdle()
	}
}

// Wait closes idle connections until all connections are closed or the context ends.
func (g *Gate) Wait(ctx context.Context) {
	for {
		g.CloseIdle()
		if len(g.list()) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(waitPollInterval):
		}
	}
}

func (g *Gate) list() []*Conn {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	list := make([]*Conn, 0, len(g.conns))
	for c := range g.conns {
		list = append(list, c)
	}
	return list
}
