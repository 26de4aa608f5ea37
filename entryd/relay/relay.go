// Package relay forwards callers' requests unchanged to endpoints, on a platform that keeps the
// configuration, the endpoints' registrations and all durable state in its log.
//
// The package is independent of the platform's formats: a Codec translates requests, responses
// and records, a Store accesses the log and a Cloud the platform's API. All three are structs of
// functions that an adapter provides.
//
// A daemon keeps no durable state of its own. Its components are:
//
//   - tables: configuration, endpoints, health, loads and allowances, under one lock that is
//     never held across I/O
//   - watch: the readers of the log's streams, which update the tables
//   - members, gossip, digest, freshness: the other daemons, the messages between them, and the
//     age of the reads that one daemon, the reader, makes for the others
//   - demand: what callers ask of each service on all daemons, and the times at which refused callers return
//   - quarantine, poison: requests, and parts of prompts, that crash endpoints
//   - rollout, timing: roll-outs, and the comparison of the new version with the old one
//   - leader: the lease of the platform calls that only one daemon at a time may make
//   - server, exchange, attempt, stream: the path of a request
//   - hedge: copies of requests whose first attempt is slow
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
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"lentilstage.dev/decide/intake"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/domain/setup"
	"lentilstage.dev/entryd/gate"
)

type (
	// Daemon serves callers on one instance.
	Daemon struct {
		settings    Settings
		store       Store
		cloud       Cloud
		codec       Codec
		logger      logr.Logger
		meters      *meters
		clock       clock
		random      func() float64
		connect     Connect
		incarnation string
		startedAt   time.Time

		tables    *tables
		pool      *pool
		gate      *gate.Gate
		gossip    *gossip
		freshness *freshness
		members   *members
		leader    *leader
		budget    *budget
		links     *links
		// snapshots has an element for each snapshot that is being sent.
		snapshots chan struct{}

		draining atomic.Bool
		// closing is set in the last phase of draining, in which every request is refused.
		closing atomic.Bool
		// stopsAt is when a draining daemon ends all requests, in nanoseconds since its start; 0 if it does not
		// drain. The time of day may jump meanwhile.
		stopsAt atomic.Int64
		// leavesAt is when a leaving daemon stops using its part of what the daemons share, in nanoseconds since its
		// start; 0 if it does not leave.
		leavesAt atomic.Int64
		// ended is done once all requests must end; end does that.
		ended context.Context
		end   context.CancelFunc
		// era is the newest known era of the log; 0 if the log has not reported one.
		era atomic.Int64
		// logRestored is set once a new era of the log has begun in the lifetime of this process.
		logRestored atomic.Bool
		// membersRead is set once the daemons' records were read.
		membersRead atomic.Bool
		// findingsRead is set once the daemons' findings were read.
		findingsRead atomic.Bool
		// operatorsUnreachable is set while the operators' stream can't be read.
		operatorsUnreachable atomic.Bool
		// openRequests is the number of requests being served.
		openRequests atomic.Int64
		// lastRequest is when the last request arrived, in nanoseconds since the daemon's start.
		lastRequest atomic.Int64
		// limitsOf is the configuration whose limits the gate enforces.
		limitsOf atomic.Pointer[setup.Config]
	}

	// Option configures a new daemon.
	Option func(*Daemon)
)

const (
	// drainIdleTime is how long a draining daemon must be without requests before it stops. The
	// balancer removes a daemon after two failed health checks, a second apart.
	drainIdleTime = 3 * time.Second
	// drainReserve is the part of the grace period that is left for closing what remains.
	drainReserve = 500 * time.Millisecond
	// flushTime is the part of drainReserve in which responses that are complete reach their callers.
	flushTime         = 300 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// drainAcceptTime is how long a draining daemon still accepts requests: the balancer sends new
	// connections until two health checks have failed. After that, idle connections are closed and
	// requests are refused so that another daemon serves them, since a response might not be complete
	// before the stop.
	drainAcceptTime = 2800 * time.Millisecond
	// acceptFraction of the time until the stop is the longest time for which requests are accepted, so that a short
	// grace period leaves the last of them time to be answered.
	acceptFraction = 0.5
)

// WithLogger sets the daemon's logger.
func WithLogger(logger logr.Logger) Option {
	return func(d *Daemon) { d.logger = logger }
}

// WithRandom sets the source of random numbers in [0, 1).
func WithRandom(random func() float64) Option {
	return func(d *Daemon) { d.random = random }
}

// WithConnect sets how connections to endpoints are opened.
func WithConnect(connect Connect) Option {
	return func(d *Daemon) { d.connect = connect }
}

// New returns a daemon that does not serve yet. It returns ErrInvalidSettings for invalid settings.
func New(settings Settings, store Store, cloud Cloud, codec Codec, options ...Option) (*Daemon, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: settings, codec: codec,
		logger: logr.Discard(), meters: newMeters(), clock: newClock(), random: rand.Float64, connect: connect,
		incarnation: string(ident.NewIncarnation()),
	}
	for _, option := range options {
		option(d)
	}
	d.store, d.cloud = d.observedStore(store), d.observedCloud(cloud)
	d.startedAt = d.clock.now()
	d.ended, d.end = context.WithCancel(context.Background())
	d.tables = newTables(settings, d.incarnation)
	limits, err := intake.Derive(settings.Instance, settings.Intake)
	if err != nil {
		return nil, err
	}
	d.gate = gate.New(gate.Options{
		Limits: limits, Logger: d.logger.WithName("gate"), Count: d.meters.count, EchoHeader: codec.CallIDHeader,
	})
	d.pool = newPool(limits)
	d.pool.connect = d.connect
	d.budget = newBudget(settings.Limits)
	d.snapshots = make(chan struct{}, maxSnapshots)
	d.freshness = newFreshness(d.tables.rosterHash)
	d.members = newMembers(settings, d.incarnation)
	d.gossip = newGossip(d)
	d.leader = newLeader(d)
	d.links = newLinks(d)
	d.tables.failingTo = d.links.failingTo
	return d, nil
}

// Run serves until the context ends, then drains and stops all components. It returns the first error
// that ended a component early.
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
	group.Go(func() error { return d.maintainMembers(running) })
	group.Go(func() error { return d.leader.run(running) })
	group.Go(func() error { return d.tickTables(running) })
	group.Go(func() error { return d.syncFromPeers(running) })
	group.Go(func() error { return d.links.run(running) })
	d.logger.WithName("daemon").Info("Started.", "Name", d.settings.Name, "Incarnation", d.incarnation,
		"Address", d.settings.Listen, "Bootstrap", d.settings.Bootstrap)
	d.logLimits()
	select {
	case <-ctx.Done():
		d.drain()
	case <-running.Done():
	}
	stop()
	for _, s := range servers {
		_ = s.Close()
	}
	d.pool.close()
	d.logger.WithName("daemon").Info("Stopped.", "Open", d.openRequests.Load())
	return group.Wait()
}

// listen opens the daemon's addresses and serves them.
func (d *Daemon) listen(ctx context.Context, group *errgroup.Group) ([]*http.Server, error) {
	type entry struct {
		handler http.HandlerFunc
		class   intake.Class
	}
	entries := map[string]entry{
		d.settings.Listen:        {d.serveCaller, intake.Callers},
		d.settings.ReadyListen:   {d.serveReady, intake.Ready},
		d.settings.ControlListen: {d.serveControl, intake.Control},
		d.settings.MetricsListen: {d.serveMetrics, intake.Metrics},
	}
	var servers []*http.Server
	for address, e := range entries {
		if address == "" {
			continue
		}
		listener, err := d.gate.Listen(ctx, address, e.class)
		if err != nil {
			for _, s := range servers {
				_ = s.Close()
			}
			return nil, eris.Wrapf(err, "listen at %s", address)
		}
		server := &http.Server{
			Handler: e.handler, ErrorLog: errorLog(d.logger), BaseContext: func(net.Listener) context.Context { return ctx },
			// Callers get a success from an endpoint only.
			DisableGeneralOptionsHandler: true,
		}
		d.gate.Configure(server, e.class)
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

// logLimits logs what is held for callers at most.
func (d *Daemon) logLimits() {
	logger := d.logger.WithName("gate")
	logger.Info("Derived limits.", "MemoryBytes", d.settings.Instance.MemoryBytes, "Descriptors", d.settings.Instance.Descriptors,
		"Limits", d.gate.Limits().String())
	if d.settings.Instance.MemoryBytes == 0 || d.settings.Instance.Descriptors == 0 {
		logger.Info("Instance not known, defaults apply.", "MemoryBytes", int64(intake.DefaultMemoryBytes), "Descriptors", intake.DefaultDescriptors)
	}
}

// applyCallerLimits takes the limits for callers from the configuration in force.
func (d *Daemon) applyCallerLimits() {
	config := d.tables.currentConfig()
	if config == nil || d.limitsOf.Swap(config) == config {
		return
	}
	l := config.Limits
	d.gate.SetTimeouts(gate.Timeouts{Header: l.HeaderTimeout, Idle: l.IdleTimeout, MaxHeaderBytes: l.MaxHeaderBytes})
	d.logger.WithName("gate").Info("Limits for callers.", "Config", config.Version, "MaxHeaderBytes", l.MaxHeaderBytes,
		"MaxBodyBytes", l.MaxBodyBytes, "HeaderTimeout", l.HeaderTimeout, "IdleTimeout", l.IdleTimeout)
	if room := d.gate.Limits(); l.MaxBodyBytes > room.BodyBytes || intake.LargestHeadCost(int64(l.MaxHeaderBytes)) > room.HeadBytes {
		d.logger.WithName("gate").Info("No room for the largest request.", "Config", config.Version,
			"BodyBytes", room.BodyBytes, "HeadBytes", room.HeadBytes)
	}
}

// drain reports not ready to the balancer, goes on serving requests, and waits until callers have
// left or the grace period is nearly over.
func (d *Daemon) drain() {
	d.draining.Store(true)
	d.gate.Drain()
	now := d.clock.now()
	d.lastRequest.Store(int64(d.age(now)))
	deadline := now.Add(d.settings.Limits.GracePeriod - drainReserve)
	d.stopsAt.Store(int64(deadline.Sub(d.startedAt)))
	acceptUntil := now.Add(min(drainAcceptTime, time.Duration(acceptFraction*float64(deadline.Sub(now)))))
	d.logger.WithName("daemon").Info("Draining.", "Open", d.openRequests.Load(), "Connections", d.gate.Held().Connections[intake.Callers], "Until", deadline)
	d.leader.resign()
	d.announceLeave(deadline)
	hasLeft := false
	for d.clock.now().Before(deadline) {
		if !d.closing.Load() && d.clock.now().After(acceptUntil) {
			d.closing.Store(true)
			d.gate.CloseIdle()
		}
		if !hasLeft && d.closing.Load() && d.openRequests.Load() == 0 {
			// Every later request is refused.
			hasLeft = true
			d.announceLeave(d.clock.now())
		}
		if d.openRequests.Load() == 0 && d.quietTime() > drainIdleTime {
			break
		}
		time.Sleep(drainPollInterval)
	}
	if open := d.openRequests.Load(); open > 0 {
		d.logger.WithName("daemon").Info("Ending requests.", "Open", open)
	}
	d.end()
	// From here on no request uses anything.
	var announcing sync.WaitGroup
	announcing.Go(func() { d.announceLeave(d.clock.now()) })
	// A request is no longer counted as open once its handler has returned, but its response is flushed after that, and
	// requests may follow it on its connection.
	ctx, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	d.gate.Wait(ctx)
	announcing.Wait()
}

// quietTime returns the time since the last request arrived. Steps of the time of day don't affect it.
func (d *Daemon) quietTime() time.Duration {
	return d.age(d.clock.now()) - time.Duration(d.lastRequest.Load())
}

// stopTime returns when a draining daemon ends all requests; zero if it is not draining.
func (d *Daemon) stopTime() time.Time {
	if at := d.stopsAt.Load(); at != 0 {
		return d.startedAt.Add(time.Duration(at))
	}
	return time.Time{}
}

// age returns the time since this process's start.
func (d *Daemon) age(now time.Time) time.Duration { return now.Sub(d.startedAt) }

// tickTables expires time-dependent state of the tables and resizes the retry budget.
func (d *Daemon) tickTables(ctx context.Context) error {
	return every(ctx, tickInterval, func() {
		d.tables.setFleet(d.members.count(), d.clock.wallNow().Sub(d.clock.now()))
		d.publishChanges(d.tables.tick(d.clock.now()))
		if d.tables.hasBrittle() {
			d.tables.shareSlots(d.settings.Name, d.members.names())
		}
		d.logPoison()
		d.logDemand()
		d.logRollouts()
		d.removeDeparted(d.clock.now())
		d.logSpeeds()
		d.meters.setGauge("Endpoints.ColdNow", int64(d.tables.coldEndpoints()))
		d.pool.closeUnusable(time.Now())
		d.applyCallerLimits()
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

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
