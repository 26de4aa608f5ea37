// Package scale decides how many endpoints of a service to order in each data centre, of
// those that may be taken away (reclaimable) and of those that may not (firm).
//
// Reclaimable endpoints cost a part of the full price, and all of a data centre's may go at
// a few seconds' notice, at times with none to be had anywhere for a while. The plan keeps
// firm endpoints for a part of the demand, so that something is left if all others go while
// nothing can be ordered, and holds reclaimable ones, spread evenly, for the rest and for the
// loss of one data centre's. Once some were taken away and none are to be had, the others are
// taken to go too: firm endpoints are ordered at once in place of all of them, and given up
// when reclaimable ones are back.
//
// # Usage
//
//	demand = demand.With(work, now)
//	plan := scale.Make(scale.View{Service: service, Centres: centres, Demand: demand.Endpoints(), Memory: memory, Now: now})
//	for _, o := range plan.Orders { ... }
//	memory = plan.Memory.WithSent(order, now) or plan.Memory.WithRefused(order, now)
//
// The package has no clock; Memory and Demand are immutable.
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
	// Kind is a kind of endpoint in a data centre.
	Kind struct {
		DataCentre  string
		Reclaimable bool
	}

	// Order sets the number of endpoints of a kind.
	Order struct {
		Kind
		Count int
	}

	// View is what a plan is made from. It is not changed.
	View struct {
		Scaling setup.Scaling
		// Ready counts the endpoints that take requests.
		Ready map[Kind]int
		// Settled says that all endpoints have had the time to be known.
		Settled bool
		// Demand is the number of endpoints that the requests keep fully busy. It is negative
		// while it is not known.
		Demand float64
		Memory Memory
		Now    time.Time
	}

	// Plan is the orders to send, with the memory to keep.
	Plan struct {
		Orders []Order
		Memory Memory
		// Held is the number of all endpoints that the plan aims at, Base that of firm ones, and
		// Firm that of all which firm ones make up for if reclaimable ones are missing.
		Held, Base, Firm int
	}

	// Memory is what was ordered, and the size of the fleet before the demand was known.
	Memory struct {
		first int
		// knownAt is when the demand was first known.
		knownAt time.Time
		// held, base and firm are the aims of the last plan.
		held, base, firm int
		ordered          map[Kind]placedOrder
	}

	placedOrder struct {
		count int
		at    time.Time
		// reached is the most endpoints that were ready since the order.
		reached int
		// refusedUntil is when the kind may be ordered again.
		refusedUntil time.Time
	}
)

const (
	// holdFactor times the demand is held while reclaimable endpoints are to be had: without
	// a third of them the demand is met, and short bursts are.
	holdFactor = 2.0
	// baseFactor times the demand is always firm.
	baseFactor = 0.6
	// firmFactor times the demand is kept up with firm endpoints while reclaimable ones are
	// not to be had.
	firmFactor = 1.2
	// leastEndpoints are held in all, however low the demand is.
	leastEndpoints = 3
	// unknownCount stands for a kind that was not ordered yet.
	unknownCount = -1
	// refusedPause follows a refused order.
	refusedPause = 3 * time.Second
	// dryMargin is the time in which the order after a refused one must have been sent.
	dryMargin = time.Second
	// lateMargin is how long after its boot time an ordered endpoint is taken not to come.
	lateMargin = 4 * time.Second
	// keepPart is the part by which the aim must be lower before endpoints are given up.
	keepPart = 0.15
)

// Make returns the plan for a service.
func Make(v View) Plan {
	p := Plan{Memory: v.Memory}
	centres := slices.Sorted(maps.Keys(v.Scaling.Prices))
	if len(centres) == 0 || v.Scaling.Max <= 0 {
		return p
	}
	p.aim(v, len(centres))
	if !v.Settled {
		return p
	}
	p.Memory = p.Memory.withReady(v)
	v.Memory = p.Memory
	reclaimable := map[Kind]int{}
	v.spread(centres, max(p.Held-p.Base, len(centres)), reclaimable)
	have := map[string]int{}
	carried, dry := 0, v.dry()
	for _, c := range centres {
		kind := Kind{c, true}
		have[c] = v.Ready[kind]
		if !v.Now.Before(v.Memory.ordered[kind].refusedUntil) {
			have[c] = max(have[c], reclaimable[kind])
		}
		if !dry {
			carried += min(v.Ready[kind], reclaimable[kind])
		}
	}
	want := v.fill(centres, max(p.Base, p.Firm-carried), have)
	maps.Copy(want, reclaimable)
	for _, kind := range kinds(centres) {
		if o, due := v.order(kind, want[kind]); due {
			p.Orders = append(p.Orders, o)
		}
	}
	return p
}

// aim sets the numbers that the plan aims at.
func (p *Plan) aim(v View, centres int) {
	m := &p.Memory
	total, firmReady := 0, 0
	for kind, count := range v.Ready {
		total += count
		if !kind.Reclaimable {
			firmReady += count
		}
	}
	if !v.Settled || m.first == 0 {
		m.first = max(m.first, total)
	}
	// A daemon that takes the duty over knows neither the demand nor what was ordered; it
	// keeps what is there.
	m.first = max(m.first, firmReady)
	least := max(v.Scaling.Min*centres, leastEndpoints)
	// The first fleet is taken to suit the demand until it is known, and is left slowly: a first
	// look may fall in a lull, and what is given up takes its boot time to come back.
	demand := float64(m.first) / holdFactor
	if v.Demand >= 0 {
		if m.knownAt.IsZero() {
			m.knownAt = v.Now
		}
		demand = max(v.Demand, demand*math.Exp(-v.Now.Sub(m.knownAt).Seconds()/fallTime.Seconds()))
	}
	times := func(factor float64) int { return int(math.Ceil(demand * factor)) }
	p.Held, p.Base, p.Firm = times(holdFactor), times(baseFactor), times(firmFactor)
	if v.Demand < 0 && !v.dry() {
		// Nothing of the first fleet is given up before its replacement is there.
		p.Firm = m.first
	}
	p.Held, p.Firm = max(p.Held, least), max(p.Firm, least)
	p.Held, p.Base, p.Firm = keep(p.Held, m.held), keep(p.Base, m.base), keep(p.Firm, m.firm)
	m.held, m.base, m.firm = p.Held, p.Base, p.Firm
}

// dry reports whether reclaimable endpoints were not to be had lately.
func (v View) dry() bool {
	for kind, o := range v.Memory.ordered {
		if kind.Reclaimable && v.Now.Before(o.refusedUntil.Add(dryMargin)) {
			return true
		}
	}
	return false
}

// withReady returns the memory with what is ready now.
func (m Memory) withReady(v View) Memory {
	for kind, o := range m.ordered {
		if ready := v.Ready[kind]; ready > o.reached {
			o.reached = ready
			m = m.with(kind, o)
		}
	}
	return m
}

// keep returns the last number unless the new one is greater or clearly lower.
func keep(next, last int) int {
	if next < last && float64(last-next) <= max(1, float64(last)*keepPart) {
		return last
	}
	return next
}

// expected returns how many endpoints of a kind are there or were ordered and may still come.
func (v View) expected(kind Kind) int {
	last, known := v.Memory.ordered[kind]
	ready := v.Ready[kind]
	if !known || v.Now.Before(last.refusedUntil) || v.Now.Sub(last.at) > v.Scaling.BootTime+lateMargin {
		return ready
	}
	return max(ready, last.count)
}

// spread distributes reclaimable endpoints evenly, as far as the bounds allow.
func (v View) spread(centres []string, count int, want map[Kind]int) {
	for left := count; left > 0; {
		given := 0
		for _, c := range v.byPrice(centres) {
			kind := Kind{c, true}
			// Those that are there have their room.
			if room := v.Scaling.Max - v.expected(Kind{c, false}); left > 0 && want[kind] < max(room, v.Ready[kind]) {
				want[kind]++
				left--
				given++
			}
		}
		if given == 0 {
			return
		}
	}
}

// fill distributes firm endpoints. Those that are there stay where they are; more go to the
// cheapest data centres that have room beside the given numbers of others, and fewer leave the
// dearest ones.
func (v View) fill(centres []string, count int, others map[string]int) map[Kind]int {
	want := map[Kind]int{}
	sorted := v.byPrice(centres)
	for _, c := range sorted {
		kind := Kind{c, false}
		want[kind] = min(v.expected(kind), max(v.Ready[kind], v.Scaling.Max-others[c]))
		count -= want[kind]
	}
	for _, c := range sorted {
		more := max(0, min(count, v.Scaling.Max-others[c]-want[Kind{c, false}]))
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

func (v View) byPrice(centres []string) []string {
	sorted := slices.Clone(centres)
	slices.SortStableFunc(sorted, func(a, b string) int {
		return cmp.Compare(v.Scaling.Prices[a], v.Scaling.Prices[b])
	})
	return sorted
}

// order returns an order for a kind if one is due: another number is wanted than was ordered, or
// fewer are there.
func (v View) order(kind Kind, want int) (Order, bool) {
	o := Order{Kind: kind, Count: want}
	last, known := v.Memory.ordered[kind]
	known = known && last.count >= 0
	if !known {
		// Before the first order the endpoints that are there are taken as ordered.
		last.count = v.Ready[kind]
	}
	switch {
	case v.Now.Before(last.refusedUntil):
		return o, false
	case want != last.count:
		return o, true
	case known && v.Ready[kind] < want && v.Now.Sub(last.at) > v.Scaling.BootTime+lateMargin:
		return o, true
	case known && v.Ready[kind] < min(want, last.reached):
		// Endpoints that were there have gone.
		return o, true
	}
	return o, false
}

// WithSent returns the memory after an order that the platform has taken.
func (m Memory) WithSent(o Order, now time.Time) Memory {
	return m.with(o.Kind, placedOrder{count: o.Count, at: now})
}

// WithRefused returns the memory after an order that can't be met or had no answer.
func (m Memory) WithRefused(o Order, now time.Time) Memory {
	last, known := m.ordered[o.Kind]
	if !known {
		last.count = unknownCount
	}
	last.refusedUntil = now.Add(refusedPause)
	return m.with(o.Kind, last)
}

func (m Memory) with(kind Kind, o placedOrder) Memory {
	ordered := maps.Clone(m.ordered)
	if ordered == nil {
		ordered = map[Kind]placedOrder{}
	}
	ordered[kind] = o
	m.ordered = ordered
	return m
}

func kinds(centres []string) []Kind {
	var all []Kind
	for _, c := range centres {
		all = append(all, Kind{c, true}, Kind{c, false})
	}
	return all
}
