package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"lentilstage.dev/decide/health"
	"lentilstage.dev/decide/place"
	"lentilstage.dev/decide/route"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/domain/value"
	"lentilstage.dev/wire/client"
	"lentilstage.dev/wire/wire"
)

type (
	// endpoints tracks the engines and plain services: load, cached prefixes, health and requests
	// in flight.
	endpoints struct {
		base    *Base
		logger  logr.Logger
		members *members
		control *control

		mu       sync.Mutex
		views    map[string]*route.View
		peers    *route.PeerDigests
		listed   map[string]wire.Instance
		health   health.Aggregate
		chooser  *route.Chooser
		inFlight map[string]int
		// evacuated are the evacuated data centres at the last reading of the list.
		evacuated []string
	}

	// target is the endpoint chosen for a request or call.
	target struct {
		Instance wire.Instance
		Version  string
		Fenced   bool
		// Predicted is the predicted time to the first token. It is set for models only.
		Predicted time.Duration
		// Place is where the attempt counts as evidence for a version move.
		Place evidencePlace
	}
)

const (
	// firstChunkLimit and idleLimit bound the silence on an engine's stream before the first event
	// and between events.
	firstChunkLimit = 10 * time.Second
	idleLimit       = 3 * time.Second
	// loadInterval is the pause between reads of an engine's load report and cache events.
	loadInterval = 500 * time.Millisecond
	// loadTimeout bounds one read of a load report or of cache events.
	loadTimeout = time.Second
	// loadReaders bounds the number of concurrent reads.
	loadReaders = 16
	// sameCentreDelay, sameRegionDelay and crossRegionDelay are the one-way network delays to an
	// endpoint in the same data centre, in the same region and in another region.
	sameCentreDelay  = 200 * time.Microsecond
	sameRegionDelay  = time.Millisecond
	crossRegionDelay = 40 * time.Millisecond
)

func newEndpoints(b *Base, m *members, c *control) *endpoints {
	return &endpoints{
		base:     b,
		logger:   b.Logger.WithName("endpoints"),
		members:  m,
		control:  c,
		views:    make(map[string]*route.View),
		peers:    route.NewPeerDigests(),
		listed:   make(map[string]wire.Instance),
		health:   health.New(health.DefaultSettings()),
		chooser:  route.NewChooser(),
		inFlight: make(map[string]int),
	}
}

// run keeps the endpoint views current until the context ends.
func (e *endpoints) run(ctx context.Context) error {
	return runEvery(ctx, loadInterval, func() {
		e.syncList()
		e.readLoads()
		e.updateHealth(health.Tick{Time: e.base.Now()})
	})
}

// syncList applies the instance list: new endpoints get a view, leaving ones get no new requests,
// and views of endpoints that are no longer listed are removed.
func (e *endpoints) syncList() {
	state := e.control.State()
	routes := state.Routes
	instances := append(e.members.withRole(wire.RoleEngine), e.members.withRole(wire.RolePlain)...)
	listing := health.Listing{Time: e.base.Now()}
	e.mu.Lock()
	defer e.mu.Unlock()
	listed := make(map[string]wire.Instance, len(instances))
	delays := make(map[string]time.Duration)
	for _, i := range instances {
		listed[i.ID] = i
		delays[i.DataCentre] = e.networkDelay(i)
		view, known := e.views[i.ID]
		if !known {
			view = route.NewView(i.ID, i.DataCentre, i.Versions...)
		}
		if i.State != wire.Live {
			e.views[i.ID] = view.WithLeaving()
			continue
		}
		e.views[i.ID] = view
		listing.Endpoints = append(listing.Endpoints, health.Member{
			Instance: i.ID, DataCentre: i.DataCentre, Routes: servedRoutes(routes, i.Versions),
		})
	}
	for id := range e.views {
		if _, ok := listed[id]; !ok {
			delete(e.views, id)
		}
	}
	e.listed = listed
	e.chooser = route.NewChooser(route.WithDelays(delays))
	e.updateHealthLocked(listing)
	e.emitEvacuations(state.EvacuatedCentres())
}

// emitEvacuations emits an event for each evacuation that has begun or ended. The caller holds the lock.
func (e *endpoints) emitEvacuations(evacuated []string) {
	before := e.evacuated
	e.evacuated = evacuated
	for _, centre := range value.NewSet(slices.Concat(before, evacuated)...).Sorted() {
		began, lasted := slices.Contains(evacuated, centre), slices.Contains(before, centre)
		if began == lasted {
			continue
		}
		concerned := 0
		for _, i := range e.listed {
			if i.DataCentre == centre {
				concerned++
			}
		}
		reason := "the evacuation has ended"
		if began {
			reason = "the evacuation has begun"
		}
		e.base.emit(event.Event{
			Kind: "Evacuation", Endpoint: centre, Reason: reason,
			Numbers: []event.Number{{Name: "Endpoints", Value: float64(concerned)}, {Name: "EvacuatedCentres", Value: float64(len(evacuated))}},
		})
	}
}

// networkDelay returns the network delay to an instance.
func (e *endpoints) networkDelay(i wire.Instance) time.Duration {
	switch {
	case i.DataCentre == e.base.Settings.DataCentre:
		return sameCentreDelay
	case i.Region == "" || i.Region == e.base.Settings.Region:
		return sameRegionDelay
	default:
		return crossRegionDelay
	}
}

// servedRoutes returns the routes that send part of their traffic to one of the versions.
func servedRoutes(routes map[string]table.Route, versions []string) []string {
	var served []string
	for name, r := range routes {
		serves := slices.Contains(versions, r.MoveTo) || slices.ContainsFunc(r.Versions, func(w table.WeightedVersion) bool {
			return slices.Contains(versions, w.Version)
		})
		if serves {
			served = append(served, name)
		}
	}
	slices.Sort(served)
	return served
}

// readLoads reads the load report and the cache events of every engine.
func (e *endpoints) readLoads() {
	var group errgroup.Group
	group.SetLimit(loadReaders)
	for _, i := range e.engines() {
		group.Go(func() error {
			e.readLoad(i)
			return nil
		})
	}
	_ = group.Wait()
}

// engineNames returns the identifiers of the listed engines.
func (e *endpoints) engineNames() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := make([]string, 0, len(e.listed))
	for id, i := range e.listed {
		if i.Role == wire.RoleEngine {
			names = append(names, id)
		}
	}
	slices.Sort(names)
	return names
}

// liveEngines returns the live engines outside evacuated data centres with the versions that they report.
func (e *endpoints) liveEngines() []place.Engine {
	state := e.control.State()
	e.mu.Lock()
	defer e.mu.Unlock()
	var engines []place.Engine
	for id, i := range e.listed {
		if i.Role == wire.RoleEngine && i.State == wire.Live && !state.Evacuated(i.DataCentre) {
			engines = append(engines, place.Engine{
				Instance: id, DataCentre: i.DataCentre, Class: i.Class, Versions: e.views[id].Versions,
			})
		}
	}
	return engines
}

// address returns the address of a listed endpoint.
func (e *endpoints) address(id string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i, ok := e.listed[id]
	return i.Address, ok
}

// engines returns the listed engines.
func (e *endpoints) engines() []wire.Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	var engines []wire.Instance
	for _, i := range e.listed {
		if i.Role == wire.RoleEngine {
			engines = append(engines, i)
		}
	}
	return engines
}

func (e *endpoints) readLoad(i wire.Instance) {
	engine := client.Engine{Address: i.Address}
	load, err := engine.Load(e.base.Now().Add(loadTimeout))
	if err != nil {
		e.base.recordRejected(i.ID, err)
		e.logger.V(1).Info("Load read failed.", "instance", i.ID, "error", err.Error())
		return
	}
	e.updateHealth(health.Heartbeat{Time: e.base.Now(), Instance: i.ID})
	e.change(i.ID, func(v *route.View) *route.View { return v.WithLoad(load) })
	from := int64(0)
	e.change(i.ID, func(v *route.View) *route.View {
		from = v.PrefixIndex().Next()
		return v
	})
	events, err := engine.Events(e.base.Now().Add(loadTimeout), from)
	if err != nil {
		return
	}
	e.change(i.ID, func(v *route.View) *route.View { return v.WithEvents(events) })
}

// loads returns the newest load reports of the listed engines.
func (e *endpoints) loads() []wire.EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	var loads []wire.EngineLoad
	for id, v := range e.views {
		if e.listed[id].Role == wire.RoleEngine && !v.Load.Time.IsZero() {
			loads = append(loads, v.Load)
		}
	}
	return loads
}

// change replaces the view of an endpoint, if there is one.
func (e *endpoints) change(id string, change func(*route.View) *route.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if view, ok := e.views[id]; ok {
		e.views[id] = change(view)
	}
}

// updateHealth applies a message to the health aggregate and emits the resulting events.
func (e *endpoints) updateHealth(message health.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateHealthLocked(message)
}

func (e *endpoints) updateHealthLocked(message health.Message) {
	next, commands := e.health.Update(message)
	e.health = next
	for _, command := range commands {
		switch c := command.(type) {
		case health.Changed:
			e.base.emit(event.Event{Kind: "EndpointHealth", Endpoint: c.Instance, Reason: string(c.Status.State) + ": " + string(c.Reason), Numbers: c.Numbers})
		case health.DataCentreChanged:
			e.base.emit(event.Event{Kind: "DataCentreHealth", Endpoint: c.DataCentre, Reason: lostReason(c.Lost), Numbers: c.Numbers})
		}
	}
}

func lostReason(lost bool) string {
	if lost {
		return "the data centre counts as lost"
	}
	return "the data centre is back"
}

// chooseEngine returns the engine for one attempt of a model request, and the reason for the
// choice.
func (e *endpoints) chooseEngine(state table.State, request route.Request) (target, route.Reason, bool) {
	now := e.base.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	views := make([]*route.View, 0, len(e.views))
	for id, v := range e.views {
		if e.listed[id].Role != wire.RoleEngine || state.Evacuated(e.listed[id].DataCentre) {
			continue
		}
		// Copy the view only for an endpoint that is not healthy.
		if standing := e.health.Status(id); standing.Blocked() || standing.Penalty > 0 {
			v = v.WithHealth(standing.Blocked(), standing.Penalty)
		}
		views = append(views, v)
	}
	view, reason, ok := e.chooser.Choose(request, views, now, e.base.Random)
	if !ok {
		return target{}, reason, false
	}
	e.views[view.Instance] = e.views[view.Instance].WithPlacement(now, reason.Uncached, request.Blocks)
	e.updateHealthLocked(health.Sent{Time: now, Instance: view.Instance})
	return target{
		Instance: e.listed[view.Instance], Version: reason.Version,
		Fenced: state.Versions[reason.Version].Fenced, Predicted: reason.Predicted,
	}, reason, true
}

// choosePlain returns the plain service for one attempt of a call: the one with the fewest calls in
// flight among those that health does not block.
func (e *endpoints) choosePlain(state table.State, r table.Route, tried value.Set[string]) (target, bool) {
	split := state.Split(r, e.base.Now())
	draw := e.base.Random()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, version := range versionOrder(split, draw) {
		if found, ok := e.leastInFlight(state, version, tried); ok {
			e.updateHealthLocked(health.Sent{Time: e.base.Now(), Instance: found.ID})
			return target{Instance: found, Version: version, Fenced: state.Versions[version].Fenced}, true
		}
	}
	return target{}, false
}

// versionOrder returns the versions of a split with the randomly drawn version first.
func versionOrder(split []table.WeightedVersion, draw float64) []string {
	var order []string
	drawn := -1
	for i, part := range split {
		order = append(order, part.Version)
		if drawn < 0 && draw < part.Weight {
			drawn = i
		}
		draw -= part.Weight
	}
	if drawn > 0 {
		order[0], order[drawn] = order[drawn], order[0]
	}
	return order
}

// leastInFlight returns the live plain service of the version outside evacuated data centres with the fewest calls in flight. The
// caller holds the lock.
func (e *endpoints) leastInFlight(state table.State, version string, tried value.Set[string]) (wire.Instance, bool) {
	best, found := wire.Instance{}, false
	for id, i := range e.listed {
		usable := i.Role == wire.RolePlain && i.State == wire.Live && slices.Contains(i.Versions, version) &&
			!tried.Has(id) && !e.health.Status(id).Blocked() && !state.Evacuated(i.DataCentre)
		if !usable {
			continue
		}
		less := e.inFlight[id] < e.inFlight[best.ID] || (e.inFlight[id] == e.inFlight[best.ID] && id < best.ID)
		if !found || less {
			best, found = i, true
		}
	}
	return best, found
}

// allEvacuated reports whether the route has live endpoints, and all of them are in evacuated data centres.
func (e *endpoints) allEvacuated(state table.State, r table.Route) bool {
	if len(state.EvacuatedCentres()) == 0 {
		return false
	}
	routes := map[string]table.Route{r.Name: r}
	e.mu.Lock()
	defer e.mu.Unlock()
	serving := 0
	for _, i := range e.listed {
		if i.State != wire.Live || len(servedRoutes(routes, i.Versions)) == 0 {
			continue
		}
		if !state.Evacuated(i.DataCentre) {
			return false
		}
		serving++
	}
	return serving > 0
}

// beginRequest and endRequest count the requests in flight at an instance.
func (e *endpoints) beginRequest(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight[id]++
}

func (e *endpoints) endRequest(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inFlight[id]--; e.inFlight[id] <= 0 {
		delete(e.inFlight, id)
	}
}

// isLeaving reports whether the instance is leaving or no longer listed.
func (e *endpoints) isLeaving(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	view, ok := e.views[id]
	return !ok || view.Leaving
}

// placements returns this daemon's placements for its digest.
func (e *endpoints) placements() []wire.Placement {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []wire.Placement
	for _, v := range e.views {
		if p := v.Placement(); p.Requests > 0 {
			all = append(all, p)
		}
	}
	return all
}

// setPeerPlacements applies the placements from a peer's digest that was just received.
func (e *endpoints) setPeerPlacements(process string, placements []wire.Placement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers = e.peers.WithTime(process, e.base.Now())
	byInstance := make(map[string]wire.Placement, len(placements))
	for _, p := range placements {
		byInstance[p.Instance] = p
	}
	for id, view := range e.views {
		placement, listed := byInstance[id]
		if !listed {
			placement = wire.Placement{Instance: id}
		}
		if listed || view.Placement().Requests > 0 {
			e.views[id] = view.WithDigest(e.peers, process, placement)
		}
	}
}

// removePeer removes the assumed placements of a dead daemon.
func (e *endpoints) removePeer(process string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers = e.peers.WithoutPeer(process)
}

// status returns the endpoint view for the operators.
func (e *endpoints) status() []wire.EndpointStatus {
	var result []wire.EndpointStatus
	instances := append(e.members.withRole(wire.RoleEngine), e.members.withRole(wire.RolePlain)...)
	state := e.control.State()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, i := range instances {
		result = append(result, wire.EndpointStatus{
			Instance: i.ID, DataCentre: i.DataCentre, Versions: i.Versions,
			State: string(i.State), InFlight: e.inFlight[i.ID],
			Reason: string(e.health.Status(i.ID).State), Evacuated: state.Evacuated(i.DataCentre),
		})
	}
	return result
}
