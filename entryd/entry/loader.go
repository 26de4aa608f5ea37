package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lentilstage.dev/decide/place"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/client"
	"lentilstage.dev/wire/wire"
)

type (
	// loader orders engines to load the versions that routes use or move to.
	loader struct {
		base      *Base
		logger    logr.Logger
		control   *control
		members   *members
		endpoints *endpoints

		mu sync.Mutex
		// ordered is the time until which an order counts as pending.
		ordered map[loadOrder]time.Time
	}

	// loadOrder identifies an order by engine and version.
	loadOrder struct {
		instance string
		version  string
	}
)

const (
	// loaderInterval is the pause between checks of the versions.
	loaderInterval = 2 * time.Second
	// orderTimeout bounds the call that sends an order.
	orderTimeout = 3 * time.Second
	// loadOrderExpiry is how long a version may take to load before it is ordered again.
	loadOrderExpiry = 2 * time.Minute
)

func newLoader(b *Base, c *control, m *members, e *endpoints) *loader {
	return &loader{
		base: b, logger: b.Logger.WithName("loader"), control: c, members: m, endpoints: e,
		ordered: make(map[loadOrder]time.Time),
	}
}

// run sends the orders that are due until the context ends.
func (l *loader) run(ctx context.Context) error {
	return runEvery(ctx, loaderInterval, l.orderVersions)
}

// orderVersions orders the versions for which this daemon is first in rendezvous order. If another
// daemon has a different view and sends the same order, the duplicate does no harm.
func (l *loader) orderVersions() {
	state := l.control.State()
	daemons := slices.Collect(maps.Keys(l.members.centres()))
	for version, share := range wantedShares(state, l.base.Now()) {
		row, ok := state.Versions[version]
		if !ok || row.Kind != table.Model || ident.RendezvousOrder("Load/"+version, daemons)[0] != l.base.Settings.Name {
			continue
		}
		l.orderVersion(state, row, share)
	}
}

// wantedShares returns the largest share of each version across all routes.
func wantedShares(state table.State, now time.Time) map[string]float64 {
	shares := make(map[string]float64)
	for _, r := range state.Routes {
		for _, part := range state.Split(r, now) {
			shares[part.Version] = max(shares[part.Version], part.Weight)
		}
		if move, moving := state.MoveOf(r); moving && move.State == table.Moving && now.Before(r.MoveDeadline) {
			shares[r.MoveTo] = max(shares[r.MoveTo], move.Share)
		}
	}
	return shares
}

// orderVersion sends the load orders for one version.
func (l *loader) orderVersion(state table.State, row table.Version, share float64) {
	now := l.base.Now()
	engines := l.engines(row.Name)
	targets := place.Targets(place.Inputs{
		Version: row, Wanted: place.Wanted(row, share, len(engines)), Engines: engines, Now: now,
	})
	for _, instance := range targets {
		l.mu.Lock()
		l.ordered[loadOrder{instance, row.Name}] = now.Add(loadOrderExpiry)
		l.mu.Unlock()
		go l.sendOrder(instance, wire.EngineOrder{
			FencingNumber: fencingNumber(state, row), Kind: wire.OrderLoad, Version: row.Name, Weights: row.Weights,
		})
	}
}

// engines returns the live engines with the pending orders of the version.
func (l *loader) engines(version string) []place.Engine {
	l.mu.Lock()
	defer l.mu.Unlock()
	var engines []place.Engine
	for _, e := range l.endpoints.liveEngines() {
		e.OrderedUntil = l.ordered[loadOrder{e.Instance, version}]
		engines = append(engines, e)
	}
	return engines
}

// fencingNumber returns the fencing number of a load order: the offset of the latest record that
// requires the version. That is either a step of a move to it or a change of its row.
func fencingNumber(state table.State, row table.Version) int64 {
	number := row.Revision
	for _, m := range state.Moves {
		if m.Version == row.Name {
			number = max(number, m.Offset+1)
		}
	}
	return number
}

// sendOrder sends one order and emits its outcome.
func (l *loader) sendOrder(instance string, order wire.EngineOrder) {
	address, ok := l.endpoints.address(instance)
	if !ok {
		return
	}
	reason := "taken"
	ordered, err := client.Engine{Address: address}.Order(l.base.Now().Add(orderTimeout), order)
	switch {
	case err != nil:
		l.base.recordRejected(instance, err)
		reason = err.Error()
	case !ordered.Accepted:
		reason = ordered.Reason
	}
	if reason != "taken" {
		// The order may be sent again at the next check.
		l.mu.Lock()
		delete(l.ordered, loadOrder{instance, order.Version})
		l.mu.Unlock()
	}
	l.base.emit(event.Event{
		Kind: "LoadOrdered", Endpoint: instance, Version: order.Version, Reason: reason,
		Numbers: []event.Number{{Name: "FencingNumber", Value: float64(order.FencingNumber)}},
	})
	l.logger.Info("Ordered an engine to load a version.", "instance", instance, "version", order.Version, "result", reason)
}
