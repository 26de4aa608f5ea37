package entry

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"
	"golang.org/x/sync/errgroup"

	"lentilstage.dev/decide/config"
	"lentilstage.dev/decide/intake"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

type (
	// Daemon is an entry daemon with all its parts.
	Daemon struct {
		base      *Base
		control   *control
		members   *members
		peers     *peers
		endpoints *endpoints
		limits    *limits
		retries   *retries
		rollouts  *rollouts
		crashes   *crashes
		requests  *requests
		holder    *holder
		locator   *locator
		claims    *Claims
		loader    *loader
		fleet     *fleetWorker
		server    *server

		draining atomic.Bool
		// connections counts caller requests that are queued or being answered. A stream may count
		// twice while it is being opened.
		connections atomic.Int64
		// forwarded counts the unrepeatable calls in progress for other daemons.
		forwarded    atomic.Int64
		callers      *callers
		listener     net.Listener
		peerListener net.Listener
	}
)

const (
	// handoverTimeout bounds the wait until callers have been notified of the handover.
	handoverTimeout = 2 * time.Second
	// drainPollInterval is the pause between checks for open connections.
	drainPollInterval = 20 * time.Millisecond
)

// New builds a daemon and opens its listeners. It returns an error if an address cannot be used.
func New(settings Settings, options ...Option) (*Daemon, error) {
	injector := do.New()
	do.ProvideValue(injector, newBase(settings, options))
	provideParts(injector)
	d, err := do.Invoke[*Daemon](injector)
	if err != nil {
		return nil, eris.Wrap(err, "build daemon")
	}
	d.members.describe = d.describe
	d.members.onUpdate = d.applyDigestUpdate
	d.members.onOwnEntry = d.rollouts.mergeEvidence
	d.members.onReply = d.control.applyPeerEntry
	d.claims = d.newClaims()
	d.server = newServer(d)
	if err := d.peers.server.RegisterName("Peer", &PeerService{daemon: d}); err != nil {
		return nil, eris.Wrap(err, "register peer service")
	}
	return d, d.listen()
}

// provideParts registers the constructor of each part.
func provideParts(injector do.Injector) {
	do.Provide(injector, func(i do.Injector) (*control, error) {
		return newControl(do.MustInvoke[*Base](i), do.MustInvoke[*members](i), do.MustInvoke[*peers](i)), nil
	})
	do.Provide(injector, func(i do.Injector) (*members, error) {
		return newMembers(do.MustInvoke[*Base](i), do.MustInvoke[*peers](i)), nil
	})
	do.Provide(injector, func(i do.Injector) (*peers, error) {
		return newPeers(do.MustInvoke[*Base](i)), nil
	})
	do.Provide(injector, func(i do.Injector) (*endpoints, error) {
		return newEndpoints(do.MustInvoke[*Base](i), do.MustInvoke[*members](i), do.MustInvoke[*control](i)), nil
	})
	do.Provide(injector, func(i do.Injector) (*limits, error) {
		return newLimits(do.MustInvoke[*Base](i), do.MustInvoke[*control](i), do.MustInvoke[*endpoints](i)), nil
	})
	do.Provide(injector, func(i do.Injector) (*retries, error) {
		return newRetries(do.MustInvoke[*Base](i)), nil
	})
	do.Provide(injector, func(i do.Injector) (*rollouts, error) {
		return newRollouts(do.MustInvoke[*Base](i), do.MustInvoke[*control](i), do.MustInvoke[*members](i)), nil
	})
	do.Provide(injector, func(i do.Injector) (*crashes, error) {
		return newCrashes(do.MustInvoke[*Base](i), do.MustInvoke[*control](i), do.MustInvoke[*members](i),
			do.MustInvoke[*peers](i), do.MustInvoke[*rollouts](i)), nil
	})
	do.Provide(injector, newRequests)
	do.Provide(injector, func(i do.Injector) (*holder, error) {
		return newHolder(do.MustInvoke[*Base](i)), nil
	})
	do.Provide(injector, func(i do.Injector) (*locator, error) {
		return &locator{
			base: do.MustInvoke[*Base](i), members: do.MustInvoke[*members](i),
			requests: do.MustInvoke[*requests](i), holder: do.MustInvoke[*holder](i),
		}, nil
	})
	do.Provide(injector, func(i do.Injector) (*loader, error) {
		return newLoader(do.MustInvoke[*Base](i), do.MustInvoke[*control](i), do.MustInvoke[*members](i), do.MustInvoke[*endpoints](i)), nil
	})
	do.Provide(injector, func(i do.Injector) (*fleetWorker, error) {
		return newFleetWorker(do.MustInvoke[*Base](i), do.MustInvoke[*control](i), do.MustInvoke[*members](i), do.MustInvoke[*endpoints](i)), nil
	})
	do.Provide(injector, func(i do.Injector) (*Daemon, error) {
		return &Daemon{
			base:      do.MustInvoke[*Base](i),
			control:   do.MustInvoke[*control](i),
			members:   do.MustInvoke[*members](i),
			peers:     do.MustInvoke[*peers](i),
			endpoints: do.MustInvoke[*endpoints](i),
			limits:    do.MustInvoke[*limits](i),
			retries:   do.MustInvoke[*retries](i),
			rollouts:  do.MustInvoke[*rollouts](i),
			crashes:   do.MustInvoke[*crashes](i),
			requests:  do.MustInvoke[*requests](i),
			holder:    do.MustInvoke[*holder](i),
			locator:   do.MustInvoke[*locator](i),
			loader:    do.MustInvoke[*loader](i),
			fleet:     do.MustInvoke[*fleetWorker](i),
		}, nil
	})
}

// listen opens the listeners for callers and for peers.
func (d *Daemon) listen() error {
	limits, err := d.base.Settings.CallerLimits()
	if err != nil {
		return err
	}
	d.callers = newCallers(d.base, limits)
	d.base.Logger.WithName("callers").Info("Limits.", "Limits", DescribeLimits(limits),
		"MemoryKnown", d.base.Settings.MemoryMB > 0, "DescriptorsKnown", d.base.Settings.MaxDescriptors > 0)
	if d.listener, err = d.callers.listen(d.base.Settings.Listen, intake.Callers); err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if d.peerListener, err = d.callers.listen(d.base.Settings.PeerListen, intake.Control); err != nil {
		_ = d.listener.Close()
		return eris.Wrap(err, "listen for peers")
	}
	return nil
}

// Address returns the address for callers and operators.
func (d *Daemon) Address() string { return d.listener.Addr().String() }

// PeerAddress returns the address for other daemons.
func (d *Daemon) PeerAddress() string { return d.peerListener.Addr().String() }

// Run serves until the context ends, then drains and stops all parts. It returns the first error
// that stopped a part early.
func (d *Daemon) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.Background())
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return d.control.run(running) })
	group.Go(func() error { return d.control.maintain(running) })
	group.Go(func() error { return runEvery(running, listInterval, d.members.refresh) })
	group.Go(func() error { return d.members.run(running) })
	if d.base.Settings.Cloud != "" {
		group.Go(func() error { return runEvery(running, listInterval, d.members.readNotices) })
	}
	if d.fleet.enabled() {
		group.Go(func() error { return d.fleet.run(running) })
	}
	group.Go(func() error { return d.endpoints.run(running) })
	group.Go(func() error { return d.limits.run(running) })
	group.Go(func() error { return d.rollouts.run(running) })
	group.Go(func() error { return d.loader.run(running) })
	group.Go(func() error { return d.requests.outbox.run(running) })
	group.Go(func() error { return runEvery(running, reclaimInterval, d.requests.moveStreams) })
	group.Go(func() error {
		return runEvery(running, time.Second, func() {
			d.requests.sweep()
			d.holder.expire()
			d.crashes.expire()
		})
	})
	group.Go(func() error { return d.peers.serve(running, d.peerListener) })
	group.Go(func() error { return d.server.serve(d.listener) })
	d.base.Logger.WithName("daemon").Info("Serving.", "callers", d.Address(), "peers", d.PeerAddress())
	select {
	case <-ctx.Done():
		d.drain()
	case <-running.Done():
	}
	stop()
	d.claims.Close()
	if err := d.server.app.ShutdownWithTimeout(time.Second); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return eris.Wrap(err, "stop server")
	}
	return group.Wait()
}

// drain refuses new requests and waits for those in progress until the drain deadline. The
// remaining requests are then handed over to their holders.
func (d *Daemon) drain() {
	logger := d.base.Logger.WithName("daemon")
	d.draining.Store(true)
	logger.Info("Draining.", "requests", d.requests.count(), "connections", d.connections.Load(),
		"forwarded", d.forwarded.Load(), "calls", d.claims.Unfinished())
	deadline := d.base.Now().Add(time.Duration(d.base.Settings.DrainSeconds) * time.Second)
	d.awaitIdle(deadline)
	if !d.idle() {
		logger.Info("Drain deadline passed; handing over.", "connections", d.connections.Load(),
			"forwarded", d.forwarded.Load(), "calls", d.claims.Unfinished())
		d.requests.handOverAll()
		d.awaitIdle(d.base.Now().Add(handoverTimeout))
	}
}

// idle reports whether no caller and no other daemon waits for this daemon.
func (d *Daemon) idle() bool {
	return d.connections.Load() == 0 && d.forwarded.Load() == 0 && d.claims.Unfinished() == 0
}

// awaitIdle waits until the daemon is idle or the deadline passes.
func (d *Daemon) awaitIdle(deadline time.Time) {
	for !d.idle() && d.base.Now().Before(deadline) {
		sleep(context.Background(), drainPollInterval)
	}
}

// supersede ends a request that its caller has replaced, on whichever daemon serves it.
func (d *Daemon) supersede(account, id string) {
	if owned, ok := d.requests.find(account, id); ok {
		owned.abort(codes.Superseded)
		return
	}
	request := wire.LookupRequest{RequestID: id, Account: account}
	for _, name := range d.locator.lookupTargets(id) {
		d.requests.workers.Go(func() {
			var reply wire.LookupReply
			_ = d.requests.callPeerWithin(lookupTimeout, name, "Cancel", request, &reply)
		})
	}
}

// checkAccepting returns a refusal if the daemon accepts no new requests, or nil.
func (d *Daemon) checkAccepting() *codes.Refusal {
	soon := d.base.Now().Add(retryDelay)
	if d.draining.Load() {
		return codes.Refuse(codes.Draining, "daemon %s is shutting down", d.base.Settings.Name).WithRetryAt(soon)
	}
	return d.control.checkServing()
}

// checkHolderAvailable returns a refusal if no other daemon can hold a copy of a model request, or
// nil. Every accepted request needs such a copy.
func (d *Daemon) checkHolderAvailable() *codes.Refusal {
	if len(d.members.centres()) > 1 {
		return nil
	}
	return codes.Refuse(codes.NoHolder, "daemon %s sees no other live daemon", d.base.Settings.Name).
		WithRetryAt(d.base.Now().Add(retryDelay))
}

// checkEvacuation returns a refusal if all endpoints of a route are in evacuated data centres, or nil.
func (d *Daemon) checkEvacuation(r table.Route) *codes.Refusal {
	if !d.endpoints.allEvacuated(d.control.State(), r) {
		return nil
	}
	return codes.Refuse(codes.NoEndpoint, "all endpoints of route %s are in evacuated data centres", r.Name).
		WithRetryAt(d.base.Now().Add(retryDelay))
}

// call runs a plain call.
func (d *Daemon) call(call wire.CallRequest, permit config.Permit, repeatable bool) wire.CallReply {
	if repeatable {
		return d.callRepeatable(call, permit)
	}
	return d.callOnce(call, permit)
}
