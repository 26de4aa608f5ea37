// Package scale decides how many reclaimable and how many on-demand endpoints of a service to
// order in each data centre. The platform may reclaim the former, but not the latter.
//
// Reclaimable endpoints are cheaper, but all of those in a data centre may be reclaimed at a few
// seconds' notice, and sometimes no new ones are available anywhere for a while. The plan keeps
// on-demand endpoints for a part of the demand, so that some capacity remains if all reclaimable
// ones are lost while none can be ordered. It spreads reclaimable endpoints evenly over the data
// centres for the rest of the demand and for the loss of one data centre's reclaimable endpoints.
// If some were reclaimed and no replacements are available, the plan expects to lose the others
// too: it orders on-demand endpoints in place of all of them at once, and releases these when
// reclaimable ones are ready again.
//
// # Usage
//
//	demand = demand.With(work, now)
//	plan := scale.Make(scale.View{
//		Scaling: scaling, Ready: ready, DiscoveryComplete: true,
//		Demand: demand.Endpoints(), State: state, Now: now})
//	state = plan.State
//	for _, o := range plan.Orders {
//		if err := send(o); err != nil {
//			state = state.WithRefused(o, now)
//		} else {
//			state = state.WithSent(o, now)
//		}
//	}
//
// The package reads no clock. The demand and the state are immutable.
package scale

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lentilstage.dev/domain/setup"
)

type (
	// Kind is a data centre with either reclaimable or on-demand endpoints.
	Kind struct {
		DataCentre  string
		Reclaimable bool
	}

	// Order sets the total number of endpoints of a kind.
	Order struct {
		Kind
		Count int
	}

	// View is the input of a plan. Make doesn't modify it.
	View struct {
		Scaling setup.Scaling
		// Evacuated are the data centres that get no requests and no orders.
		Evacuated []string
		// Ready is the number of endpoints that accept requests, without those in evacuated data centres.
		Ready map[Kind]int
		// Speeds are the sums of the speeds of the ready endpoints, as multiples of the usual speed. It is nil if the
		// endpoints don't differ.
		Speeds map[Kind]float64
		// DiscoveryComplete says that there was enough time to discover all endpoints. Without it,
		// the plan has no orders.
		DiscoveryComplete bool
		// Demand is the number of endpoints of the usual speed that the requests keep fully busy. It is
		// negative while unknown.
		Demand float64
		// Hold is the time over which the initial fleet is reduced; 0 stands for fallTimeConstant.
		Hold  time.Duration
		State State
		Now   time.Time
	}

	// Plan has the orders to send and the state to keep.
	Plan struct {
		Orders []Order
		State  State
		// The targets are the number of all endpoints, the minimum number of on-demand ones, and
		// the number that on-demand endpoints and ready reclaimable ones must reach together.
		// On-demand endpoints replace missing reclaimable ones up to the latter.
		TargetTotal, TargetOnDemand, TargetFallback int
	}

	// State is the state that is kept from one plan to the next. It is immutable and its zero
	// value is empty.
	State struct {
		// initialFleet is the number of endpoints that existed before the demand was known.
		initialFleet int
		// demandKnownAt is when the demand was first known.
		demandKnownAt time.Time
		// targetTotal, targetOnDemand and targetFallback are the targets of the last plan.
		targetTotal, targetOnDemand, targetFallback int
		lastOrders                                  map[Kind]lastOrder
	}

	// lastOrder is the last order of a kind.
	lastOrder struct {
		// count is the number that was ordered, or neverOrdered.
		count  int
		sentAt time.Time
		// maxReady is the highest number of ready endpoints since the order.
		maxReady int
		// refusedUntil is the end of the backoff after a refused order.
		refusedUntil time.Time
	}
)

const (
	// totalFactor is the target number of all endpoints as a multiple of the demand. After
	// the loss of a third of these endpoints, the rest still covers the demand and short bursts.
	totalFactor = 2.0
	// onDemandFactor is the minimum number of on-demand endpoints as a multiple of the demand.
	onDemandFactor = 0.6
	// fallbackFactor is the number of endpoints, as a multiple of the demand, that on-demand ones
	// maintain while reclaimable ones are missing.
	fallbackFactor = 1.2
	// minEndpoints is the minimum number of all endpoints, however low the demand.
	minEndpoints = 3
	// neverOrdered is the count of a kind that has not been ordered yet.
	neverOrdered = -1
	// refusalBackoff is the time after a refused order in which the kind is not ordered again.
	refusalBackoff = 3 * time.Second
	// retryMargin is the time after the backoff within which the order is sent again. Until then
	// the kind still counts as unavailable.
	retryMargin = time.Second
	// startupMargin is the time beyond the boot time after which an ordered endpoint that is not
	// ready counts as missing.
	startupMargin = 4 * time.Second
	// hysteresis is the fraction by which a target must fall before endpoints are released.
	hysteresis = 0.15
)

// Make returns the plan for a service.
func Make(v View) Plan {
	p := Plan{State: v.State}
	centres := slices.DeleteFunc(slices.Sorted(maps.Keys(v.Scaling.Prices)), func(c string) bool {
		return slices.Contains(v.Evacuated, c)
	})
	if len(centres) == 0 || v.Scaling.Max <= 0 {
		return p
	}
	p.setTargets(v, len(centres))
	if !v.DiscoveryComplete {
		return p
	}
	p.State = p.State.withMaxReady(v)
	v.State = p.State
	reclaimable := map[Kind]int{}
	v.placeReclaimable(centres, max(p.TargetTotal-p.TargetOnDemand, len(centres)), reclaimable)
	occupied := map[string]int{}
	usableReclaimable, reclaimableUnavailable := 0, v.reclaimableUnavailable()
	for _, c := range centres {
		kind := Kind{c, true}
		occupied[c] = v.Ready[kind]
		if !v.Now.Before(v.State.lastOrders[kind].refusedUntil) {
			occupied[c] = max(occupied[c], reclaimable[kind])
		}
		if !reclaimableUnavailable {
			usableReclaimable += v.capacity(kind, min(v.Ready[kind], reclaimable[kind]))
		}
	}
	want := v.placeOnDemand(centres, max(p.TargetOnDemand, p.TargetFallback-usableReclaimable), occupied)
	maps.Copy(want, reclaimable)
	for _, kind := range allKinds(centres) {
		if o, due := v.orderIfDue(kind, want[kind]); due {
			p.Orders = append(p.Orders, o)
		}
	}
	return p
}

// setTargets sets the targets of the plan and records them in its state.
func (p *Plan) setTargets(v View, centres int) {
	state := &p.State
	total, onDemandReady := 0, 0
	for kind, count := range v.Ready {
		total += count
		if !kind.Reclaimable {
			onDemandReady += count
		}
	}
	if !v.DiscoveryComplete || state.initialFleet == 0 {
		state.initialFleet = max(state.initialFleet, total)
	}
	// A daemon that takes over the planning knows neither the demand nor earlier orders, so it
	// keeps the present on-demand endpoints.
	state.initialFleet = max(state.initialFleet, onDemandReady)
	minTotal := max(v.Scaling.Min*centres, minEndpoints)
	// Until the demand is known, the initial fleet is assumed to match it. Afterwards the initial
	// fleet is reduced slowly: the first demand may be from a lull, and released endpoints take
	// their boot time to come back.
	demand := float64(state.initialFleet) / totalFactor
	if v.Demand >= 0 {
		if state.demandKnownAt.IsZero() {
			state.demandKnownAt = v.Now
		}
		hold := v.Hold
		if hold <= 0 {
			hold = fallTimeConstant
		}
		demand = max(v.Demand/v.MeanSpeed(), demand*math.Exp(-v.Now.Sub(state.demandKnownAt).Seconds()/hold.Seconds()))
	}
	scaled := func(factor float64) int { return int(math.Ceil(demand * factor)) }
	p.TargetTotal, p.TargetOnDemand, p.TargetFallback = scaled(totalFactor), scaled(onDemandFactor), scaled(fallbackFactor)
	if v.Demand < 0 && !v.reclaimableUnavailable() {
		// No part of the initial fleet is released before its replacement is ready.
		p.TargetFallback = state.initialFleet
	}
	p.TargetTotal, p.TargetFallback = max(p.TargetTotal, minTotal), max(p.TargetFallback, minTotal)
	p.TargetTotal, p.TargetOnDemand, p.TargetFallback = applyHysteresis(p.TargetTotal, state.targetTotal), applyHysteresis(p.TargetOnDemand, state.targetOnDemand), applyHysteresis(p.TargetFallback, state.targetFallback)
	state.targetTotal, state.targetOnDemand, state.targetFallback = p.TargetTotal, p.TargetOnDemand, p.TargetFallback
}

// MeanSpeed returns the mean speed of the ready endpoints, as a multiple of the usual speed. A new endpoint is expected to
// have it, and the targets are numbers of such endpoints.
func (v View) MeanSpeed() float64 {
	speeds, count := 0.0, 0
	for kind, ready := range v.Ready {
		speeds, count = speeds+v.Speeds[kind], count+ready
	}
	if v.Speeds == nil || count == 0 || speeds <= 0 {
		return 1
	}
	return speeds / float64(count)
}

// capacity returns the capacity of some ready endpoints of a kind as a number of endpoints of the mean speed.
func (v View) capacity(kind Kind, count int) int {
	if v.Speeds == nil || v.Ready[kind] == 0 {
		return count
	}
	return int(float64(count) * v.Speeds[kind] / float64(v.Ready[kind]) / v.MeanSpeed())
}

// Ordered returns the number of endpoints that are ready or ordered.
func (v View) Ordered() int {
	ordered := 0
	for _, kind := range allKinds(slices.Sorted(maps.Keys(v.Scaling.Prices))) {
		ordered += max(v.Ready[kind], v.State.lastOrders[kind].count)
	}
	return ordered
}

// reclaimableUnavailable reports whether an order of reclaimable endpoints was refused recently.
func (v View) reclaimableUnavailable() bool {
	for kind, o := range v.State.lastOrders {
		if kind.Reclaimable && v.Now.Before(o.refusedUntil.Add(retryMargin)) {
			return true
		}
	}
	return false
}

// withMaxReady returns the state with the present number of ready endpoints included in maxReady.
func (s State) withMaxReady(v View) State {
	for kind, o := range s.lastOrders {
		if ready := v.Ready[kind]; ready > o.maxReady {
			o.maxReady = ready
			s = s.withOrder(kind, o)
		}
	}
	return s
}

// applyHysteresis returns the next target, or the last one if the next is lower by at most one
// endpoint or by at most the hysteresis.
func applyHysteresis(next, last int) int {
	if next < last && float64(last-next) <= max(1, float64(last)*hysteresis) {
		return last
	}
	return next
}

// expected returns the number of endpoints of a kind that are ready or may still become ready
// after the last order.
func (v View) expected(kind Kind) int {
	last, known := v.State.lastOrders[kind]
	ready := v.Ready[kind]
	if !known || v.Now.Before(last.refusedUntil) || v.Now.Sub(last.sentAt) > v.Scaling.BootTime+startupMargin {
		return ready
	}
	return max(ready, last.count)
}

// placeReclaimable adds reclaimable endpoints to want, evenly over the data centres, as far as
// the maximum of each data centre allows.
func (v View) placeReclaimable(centres []string, count int, want map[Kind]int) {
	for remaining := count; remaining > 0; {
		placed := 0
		for _, c := range v.sortedByPrice(centres) {
			kind := Kind{c, true}
			// Ready reclaimable endpoints keep their capacity.
			if capacity := v.Scaling.Max - v.expected(Kind{c, false}); remaining > 0 && want[kind] < max(capacity, v.Ready[kind]) {
				want[kind]++
				remaining--
				placed++
			}
		}
		if placed == 0 {
			return
		}
	}
}

// placeOnDemand distributes on-demand endpoints and returns their number by kind. Present ones
// stay where they are. Additional ones go to the cheapest data centres that have capacity beside
// the given reclaimable endpoints; excess ones are removed from the most expensive data centres.
func (v View) placeOnDemand(centres []string, count int, reclaimable map[string]int) map[Kind]int {
	want := map[Kind]int{}
	sorted := v.sortedByPrice(centres)
	for _, c := range sorted {
		kind := Kind{c, false}
		want[kind] = min(v.expected(kind), max(v.Ready[kind], v.Scaling.Max-reclaimable[c]))
		count -= want[kind]
	}
	for _, c := range sorted {
		more := max(0, min(count, v.Scaling.Max-reclaimable[c]-want[Kind{c, false}]))
		want[Kind{c, false}] += more
		count -= more
	}
	slices.Reverse(sorted)
	for _, c := range sorted {
		fewer := max(0, min(-count, want[Kind{c, false}]))
		want[Kind{c, false}] -= fewer
		count += fewer
	}
	return want
}

// sortedByPrice returns the data centres, cheapest first.
func (v View) sortedByPrice(centres []string) []string {
	sorted := slices.Clone(centres)
	slices.SortStableFunc(sorted, func(a, b string) int {
		return cmp.Compare(v.Scaling.Prices[a], v.Scaling.Prices[b])
	})
	return sorted
}

// orderIfDue returns an order for a kind if one is due: if the wanted number differs from the
// lastOrders one, if ordered endpoints did not become ready in time, or if ready ones were lost.
func (v View) orderIfDue(kind Kind, want int) (Order, bool) {
	o := Order{Kind: kind, Count: want}
	last, known := v.State.lastOrders[kind]
	known = known && last.count >= 0
	if !known {
		// Before the first order, the ready endpoints count as ordered.
		last.count = v.Ready[kind]
	}
	switch {
	case v.Now.Before(last.refusedUntil):
		return o, false
	case want != last.count:
		return o, true
	case known && v.Ready[kind] < want && v.Now.Sub(last.sentAt) > v.Scaling.BootTime+startupMargin:
		return o, true
	case known && v.Ready[kind] < min(want, last.maxReady):
		// Endpoints that were ready have been lost.
		return o, true
	}
	return o, false
}

// WithSent returns the state after the platform accepted an order.
func (s State) WithSent(o Order, now time.Time) State {
	return s.withOrder(o.Kind, lastOrder{count: o.Count, sentAt: now})
}

// WithRefused returns the state after an order that the platform refused or did not answer.
func (s State) WithRefused(o Order, now time.Time) State {
	last, known := s.lastOrders[o.Kind]
	if !known {
		last.count = neverOrdered
	}
	last.refusedUntil = now.Add(refusalBackoff)
	return s.withOrder(o.Kind, last)
}

// withOrder returns the state with the last order of a kind replaced.
func (s State) withOrder(kind Kind, o lastOrder) State {
	lastOrders := maps.Clone(s.lastOrders)
	if lastOrders == nil {
		lastOrders = map[Kind]lastOrder{}
	}
	lastOrders[kind] = o
	s.lastOrders = lastOrders
	return s
}

// allKinds returns the reclaimable and the on-demand kind of each data centre.
func allKinds(centres []string) []Kind {
	var all []Kind
	for _, c := range centres {
		all = append(all, Kind{c, true}, Kind{c, false})
	}
	return all
}
