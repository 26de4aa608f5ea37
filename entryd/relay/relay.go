// Package relay serves callers whose requests are passed on unchanged to endpoints, on a
// platform that keeps the configuration, the endpoints' registrations and all lasting state
// in its log.
//
// The package decides nothing about how the platform spells things: a Codec translates
// requests, answers and records, a Store reaches the log and a Cloud the platform's API. All
// three are structs of functions that an adapter fills in.
//
// A daemon keeps no state that must outlive it. Its tables have one owner each:
//
//   - tables: configuration, endpoints, health, loads and allowances, under one lock that is
//     never held across I/O
//   - watch: the followers of the log, which feed the tables
//   - members, gossip, feed: the other daemons, the messages between them, and how fresh the
//     streams are that one daemon of a data centre reads for the others
//   - duty: the lease of the platform calls that one daemon at a time makes
//   - server, exchange, attempt, stream: the way of a request
//   - pool: the connections to endpoints
//
// # Usage
//
//	daemon, err := relay.New(settings, store, cloud, codec, relay.WithLogger(logger))
//	err = daemon.Run(ctx)
//
// Run returns after a graceful stop, which starts when the context ends.
package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"lentilstage.dev/domain/ident"
)

type (
	// Daemon serves callers on one machine.
	Daemon struct {
		settings    Settings
		store       Store
		cloud       Cloud
		codec       Codec
		logger      logr.Logger
		meters      *meters
		clock       clock
		random      func() float64
		incarnation string
		startedAt   time.Time

		tables  *tables
		pool    *pool
		gossip  *gossip
		feed    *feed
		members *members
		duty    *duty
		budget  *budget

		draining atomic.Bool
		// closing is set in the last part of draining, in which no request is taken.
		closing atomic.Bool
		// storeLost is set while the operators' stream can't be read.
		storeLost atomic.Bool
		// open counts the requests that are being served.
		open atomic.Int64
		// connections counts the callers' connections.
		connections atomic.Int64
		lastRequest atomic.Int64
	}

	// Option changes a new daemon.
	Option func(*Daemon)
)

const (
	// drainQuiet is how long no request must have come before a draining daemon stops. The
	// balancer takes a daemon out after two missed looks, a second apart.
	drainQuiet = 3 * time.Second
	// drainReserve is left of the grace time for closing what remains.
	drainReserve = 500 * time.Millisecond
	drainPause   = 50 * time.Millisecond
	// drainKeep is how long a draining daemon still takes requests: the balancer sends new
	// connections until it has missed two looks. After it idle connections are closed, and a
	// request that comes nevertheless is sent to another daemon, since the answer might not
	// be whole before the end.
	drainKeep = 2800 * time.Millisecond
	// headerTimeout bounds a caller's header, idleTimeout a connection without a request.
	headerTimeout = 10 * time.Second
	idleTimeout   = 5 * time.Minute
	maxHeader     = 64 << 10
)

// WithLogger sets the daemon's logger.
func WithLogger(logger logr.Logger) Option {
	return func(d *Daemon) { d.logger = logger }
}

// WithRandom sets the source of numbers from 0 up to but without 1.
func WithRandom(random func() float64) Option {
	return func(d *Daemon) { d.random = random }
}

// New returns a daemon that serves nothing yet. It returns ErrSettings for settings that
// can't be used.
func New(settings Settings, store Store, cloud Cloud, codec Codec, options ...Option) (*Daemon, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: settings, store: store, cloud: cloud, codec: codec,
		logger: logr.Discard(), meters: newMeters(), clock: newClock(), random: rand.Float64,
		incarnation: string(ident.NewIncarnation()),
	}
	for _, option := range options {
		option(d)
	}
	d.startedAt = d.clock.now()
	d.tables = newTables(settings, d.incarnation)
	d.pool = newPool()
	d.budget = newBudget(settings.Bounds)
	d.feed = newFeed(d.tables.rosterHash)
	d.members = newMembers(settings, d.incarnation)
	d.gossip = newGossip(d)
	d.duty = newDuty(d)
	return d, nil
}

// Run serves until the context ends, then drains and stops every part. It returns the first
// fault that ended a part early.
func (d *Daemon) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.Background())
	defer stop()
	group, running := errgroup.WithContext(running)
	servers, err := d.listen(running, group)
	if err != nil {
		return err
	}
	group.Go(func() error { return d.watchOperators(running) })
	group.Go(func() error { return d.watchEndpoints(running) })
	group.Go(func() error { return d.gossip.run(running) })
	group.Go(func() error { return d.keepMembers(running) })
	group.Go(func() error { return d.duty.run(running) })
	group.Go(func() error { return d.keepTables(running) })
	group.Go(func() error { return d.catchUp(running) })
	d.logger.WithName("daemon").Info("Started.", "Name", d.settings.Name, "Incarnation", d.incarnation,
		"Address", d.settings.Listen, "Bootstrap", d.settings.Bootstrap)
	select {
	case <-ctx.Done():
		d.drain(servers)
	case <-running.Done():
	}
	stop()
	for _, s := range servers {
		_ = s.Close()
	}
	d.pool.close()
	d.logger.WithName("daemon").Info("Stopped.", "Open", d.open.Load())
	return group.Wait()
}

// listen opens the daemon's addresses and serves them.
func (d *Daemon) listen(ctx context.Context, group *errgroup.Group) ([]*http.Server, error) {
	handlers := map[string]http.Handler{
		d.settings.Listen:        http.HandlerFunc(d.serveCaller),
		d.settings.ReadyListen:   http.HandlerFunc(d.serveReady),
		d.settings.ControlListen: http.HandlerFunc(d.serveControl),
		d.settings.MetricsListen: http.HandlerFunc(d.serveMetrics),
	}
	var servers []*http.Server
	for address, handler := range handlers {
		if address == "" {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, s := range servers {
				_ = s.Close()
			}
			return nil, eris.Wrapf(err, "listen at %s", address)
		}
		server := &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
			ErrorLog: errorLog(d.logger), ConnState: d.countConnections(address == d.settings.Listen),
			BaseContext: func(net.Listener) context.Context { return ctx },
		}
		servers = append(servers, server)
		group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return eris.Wrapf(err, "serve %s", address)
			}
			return nil
		})
	}
	return servers, nil
}

// countConnections returns a hook that counts the callers' open connections.
func (d *Daemon) countConnections(callers bool) func(net.Conn, http.ConnState) {
	if !callers {
		return nil
	}
	return func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			d.connections.Add(1)
		case http.StateClosed, http.StateHijacked:
			d.connections.Add(-1)
		default:
		}
	}
}

// drain tells the balancer to send no more connections, answers what still comes and waits
// until callers have left or the grace time is nearly over.
func (d *Daemon) drain(servers []*http.Server) {
	d.draining.Store(true)
	now := d.clock.now()
	d.lastRequest.Store(now.UnixNano())
	deadline := now.Add(d.settings.Bounds.Grace - drainReserve)
	d.logger.WithName("daemon").Info("Draining.", "Open", d.open.Load(), "Connections", d.connections.Load(), "Until", deadline)
	d.duty.resign()
	for d.clock.now().Before(deadline) {
		if !d.closing.Load() && d.clock.now().Sub(now) > drainKeep {
			d.closing.Store(true)
			for _, s := range servers {
				s.SetKeepAlivesEnabled(false)
			}
		}
		quietSince := time.Unix(0, d.lastRequest.Load())
		if d.open.Load() == 0 && d.clock.now().Sub(quietSince) > drainQuiet {
			break
		}
		time.Sleep(drainPause)
	}
}

// age returns the time since this process's start.
func (d *Daemon) age(now time.Time) time.Duration { return now.Sub(d.startedAt) }

// keepTables lets time pass in the tables.
func (d *Daemon) keepTables(ctx context.Context) error {
	return every(ctx, tickInterval, func() {
		d.changed(d.tables.elapsed(d.clock.now()))
		d.budget.resize(d.members.count())
	})
}

// every calls the function at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, call func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			call()
		}
	}
}

// pause waits for a time or until the context ends.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
