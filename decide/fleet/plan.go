package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

type (
	// heldSlot is a held instance with the slot and generation from its client token.
	heldSlot struct {
		key        slotKey
		generation int
		instance   wire.Instance
		price      float64
	}

	// planner builds one plan.
	planner struct {
		view  View
		state State
		held  map[slotKey]*heldSlot
		// orphans are our instances that no slot owns.
		orphans  []wire.Instance
		starting int
		plan     Plan
		// pendingEnds has the pending end of each instance ID in this plan.
		pendingEnds map[string]pendingEnd
		starts      []rankedStart
	}

	// rankedStart is a start order with its rank; a lower rank is more urgent.
	rankedStart struct {
		start Start
		rank  float64
	}
)

// Make returns the plan for a view. Equal views give equal plans.
func Make(view View) Plan {
	p := &planner{
		view:        view,
		state:       view.State.withoutExpired(view.Time),
		held:        make(map[slotKey]*heldSlot),
		pendingEnds: make(map[string]pendingEnd),
	}
	p.assignInstances()
	versions := slices.Clone(view.Versions)
	slices.SortFunc(versions, func(a, b VersionDemand) int { return cmp.Compare(a.Row.Name, b.Row.Name) })
	managed := make(map[string]bool)
	for _, v := range versions {
		if v.Row.Class != "" {
			managed[v.Row.Name] = true
			p.planVersion(v)
		}
	}
	for _, s := range p.sortedHeld() {
		if !managed[s.key.version] {
			p.orphans = append(p.orphans, s.instance)
		}
	}
	p.endOrphans()
	p.limitStarts()
	p.state.pendingEnds = p.pendingEnds
	p.state = p.state.withOnlyVersions(managed)
	p.plan.State = p.state
	return p.plan
}

// assignInstances assigns our instances to their slots or to the orphans. Leaving instances
// retire their generation.
func (p *planner) assignInstances() {
	instances := slices.Clone(p.view.Instances)
	slices.SortFunc(instances, func(a, b wire.Instance) int { return cmp.Compare(a.ID, b.ID) })
	for _, i := range instances {
		if i.Owner != p.view.Owner || p.view.Owner == "" {
			continue
		}
		price := p.priceOf(i)
		p.plan.CostPerHour += price
		key, generation, ok := parseClientToken(p.view.Owner, i.ClientToken)
		if i.State == wire.Leaving {
			if ok {
				p.state = p.state.withRetired(key, generation)
			}
			continue
		}
		if i.State == wire.Starting {
			p.starting++
		}
		if !ok {
			p.orphans = append(p.orphans, i)
			continue
		}
		s := &heldSlot{key: key, generation: generation, instance: i, price: price}
		if other := p.held[key]; other != nil {
			// The later generation was ordered after the cloud reported the earlier one as
			// leaving or ended.
			if other.generation > generation {
				s, other = other, s
			}
			p.orphans = append(p.orphans, other.instance)
		}
		p.held[key] = s
	}
	for _, s := range p.held {
		p.state = p.state.withRetired(s.key, s.generation-1)
	}
}

// priceOf returns the hourly price of an instance, or the current price of its kind if the list
// has none.
func (p *planner) priceOf(i wire.Instance) float64 {
	if i.PricePerHour > 0 {
		return i.PricePerHour
	}
	price, _ := p.price(Kind{DataCentre: i.DataCentre, Class: i.Class, Market: i.Market})
	return price
}

// price returns the hourly price of a kind, or false if the kind is not offered.
func (p *planner) price(k Kind) (float64, bool) {
	for _, offer := range p.view.Prices {
		if (Kind{offer.DataCentre, offer.Class, offer.Market}) == k {
			return offer.PerHour, true
		}
	}
	return 0, false
}

// sortedHeld returns the held slots, sorted by version and number.
func (p *planner) sortedHeld() []*heldSlot {
	all := make([]*heldSlot, 0, len(p.held))
	for _, s := range p.held {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *heldSlot) int {
		return cmp.Or(cmp.Compare(a.key.version, b.key.version), cmp.Compare(a.key.number, b.key.number))
	})
	return all
}

// planVersion selects the instances of one version and adds its slots, starts and ends.
func (p *planner) planVersion(v VersionDemand) {
	row, s := v.Row, p.view.Settings
	needed := max(int(math.Ceil(v.Replicas-1e-9)), row.MinReplicas)
	if row.MaxReplicas > 0 {
		needed = min(needed, row.MaxReplicas)
	}
	required := requirement{size: needed, survivors: int(math.Ceil(s.Reserve*float64(needed) - 1e-9)), limit: row.MaxReplicas}
	var held []*heldSlot
	var candidates []candidate
	for _, h := range p.sortedHeld() {
		if h.key.version != row.Name {
			continue
		}
		held = append(held, h)
		if h.instance.Class == row.Class && withinBounds(row, h) && !p.stuck(h.instance) && !p.evacuated(h.instance.DataCentre) {
			candidates = append(candidates, candidate{kind: kindOf(h.instance), price: h.price, effectivePrice: h.price * s.HeldPriceFactor, held: h})
		}
	}
	refused, aboveLimit := 0, 0
	for _, offer := range p.view.Prices {
		k := Kind{offer.DataCentre, offer.Class, offer.Market}
		switch {
		case k.Class != row.Class || p.evacuated(k.DataCentre):
		case p.state.RefusedUntil(k).After(p.view.Time):
			refused++
		case row.MaxPrice > 0 && offer.PerHour > row.MaxPrice:
			aboveLimit++
		default:
			candidates = append(candidates, candidate{kind: k, price: offer.PerHour, effectivePrice: offer.PerHour})
		}
	}
	chosen := cheapestMix(candidates, required)
	summary := VersionPlan{
		Version: row.Name, Needed: needed, Planned: chosen.size, Held: len(chosen.held), LargestLoss: chosen.loss,
		ReserveMet: chosen.size-chosen.loss >= required.survivors && chosen.size >= required.size,
	}
	summary.Reason = fmt.Sprintf("demand of %.1f replicas and the bounds %d to %d need %d; %d instances keep %d of them if the data centre with %d reclaimable ones is lost; %d kinds are refused and %d are above the price limit",
		v.Replicas, row.MinReplicas, row.MaxReplicas, needed, chosen.size, chosen.size-chosen.loss, chosen.loss, refused, aboveLimit)
	summary.Numbers = []event.Number{
		{Name: "Demand", Value: v.Replicas},
		{Name: "Needed", Value: float64(needed)},
		{Name: "Planned", Value: float64(chosen.size)},
		{Name: "Held", Value: float64(len(chosen.held))},
		{Name: "LargestLoss", Value: float64(chosen.loss)},
		{Name: "RefusedKinds", Value: float64(refused)},
		{Name: "KindsAbovePrice", Value: float64(aboveLimit)},
		{Name: "PerHour", Value: chosen.cost},
	}
	p.plan.Versions = append(p.plan.Versions, summary)
	blocked := p.fillSlots(row, len(held), chosen, summary)
	p.endSurplus(v, held, chosen, summary, blocked)
}

// evacuated reports whether the instances of a data centre get no requests.
func (p *planner) evacuated(dataCentre string) bool {
	return slices.Contains(p.view.Evacuated, dataCentre)
}

// fillSlots adds the slots and start orders of a version. held is the number of its present
// instances. It reports whether some new instances got no slot because surplus instances still
// occupy the slots up to MaxReplicas.
func (p *planner) fillSlots(row table.Version, held int, chosen mix, summary VersionPlan) bool {
	for _, h := range chosen.held {
		p.addSlot(Slot{
			Version: row.Name, Number: h.key.number, Generation: h.generation, Kind: kindOf(h.instance),
			Instance: h.instance.ID, PricePerHour: h.price,
		})
	}
	number := 0
	for n, kind := range interleave(chosen.newKinds) {
		for number++; p.held[slotKey{row.Name, number}] != nil; number++ {
		}
		// Slot numbers are limited to MaxReplicas, so that daemons with different views can't
		// start more instances than that between them.
		if row.MaxReplicas > 0 && (number > row.MaxReplicas || held+n >= row.MaxReplicas) {
			return true
		}
		price, _ := p.price(kind)
		slot := p.addSlot(Slot{
			Version: row.Name, Number: number, Generation: p.state.retired[slotKey{row.Name, number}] + 1, Kind: kind, PricePerHour: price,
		})
		role := wire.RoleEngine
		if row.Kind == table.Plain {
			role = wire.RolePlain
		}
		p.starts = append(p.starts, rankedStart{
			rank: float64(len(chosen.held)+n) / float64(max(chosen.size, 1)),
			start: Start{
				Slot: slot,
				Order: wire.StartOrder{
					ClientToken: ClientToken(p.view.Owner, row.Name, number, slot.Generation), Owner: p.view.Owner, Role: role,
					DataCentre: kind.DataCentre, Class: kind.Class, Market: kind.Market, Version: row.Name,
				},
				Reason: fmt.Sprintf("slot %d of %d has no instance, and %s in %s costs %.2f per hour: %s",
					number, chosen.size, kind.Market, kind.DataCentre, price, summary.Reason),
				Numbers: append([]event.Number{
					{Name: "Slot", Value: float64(number)},
					{Name: "Generation", Value: float64(slot.Generation)},
					{Name: "PricePerHour", Value: price},
				}, summary.Numbers...),
			},
		})
	}
	return false
}

// addSlot adds a slot to the plan and returns it with its sender.
func (p *planner) addSlot(s Slot) Slot {
	s.Sender = sender(p.view.Owner, slotKey{s.Version, s.Number}, p.view.Daemons)
	p.plan.Slots = append(p.plan.Slots, s)
	p.plan.PlannedPerHour += s.PricePerHour
	return s
}

// sender returns the daemon that sends the orders of a slot.
func sender(owner string, key slotKey, daemons []string) string {
	order := ident.RendezvousOrder(ClientToken(owner, key.version, key.number, 0), daemons)
	if len(order) == 0 {
		return ""
	}
	return order[0]
}

// endSurplus ends the instances that the plan does not use once the grace time is over. Those
// within the bounds of the row are kept until all planned instances are live. blocked says that
// new instances lack a slot.
func (p *planner) endSurplus(v VersionDemand, held []*heldSlot, chosen mix, summary VersionPlan, blocked bool) {
	live, used := 0, make(map[slotKey]bool)
	for _, h := range chosen.held {
		used[h.key] = true
		if h.instance.State == wire.Live {
			live++
		}
	}
	replaced := v.CoversWindow && live >= chosen.size
	// If surplus instances occupy the slots of their replacements, one slot is freed at a time,
	// but never that of the only instance.
	swap := v.CoversWindow && blocked && live == len(chosen.held) && len(held) > 1
	for _, h := range slices.Backward(held) {
		// Instances of an evacuated data centre are kept, since the evacuation may end.
		if used[h.key] || p.evacuated(h.instance.DataCentre) {
			continue
		}
		numbers := append([]event.Number{{Name: "Live", Value: float64(live)}, {Name: "PricePerHour", Value: h.price}}, summary.Numbers...)
		if p.stuck(h.instance) {
			p.endWhenDue(h.instance, v.Row.Name, Stuck, 0, fmt.Sprintf("it has been starting for %.0f s; a start takes %.0f s",
				p.view.Time.Sub(h.instance.Started).Seconds(), p.view.Settings.StartTime.Seconds()), numbers)
			continue
		}
		deadline := p.schedulePendingEnd(h.instance, Surplus, p.view.Settings.Grace)
		if p.view.Time.Before(deadline) || (!replaced && !swap && withinBounds(v.Row, h)) {
			continue
		}
		if !replaced && withinBounds(v.Row, h) {
			swap = false
		}
		p.endWhenDue(h.instance, v.Row.Name, Surplus, p.view.Settings.Grace,
			fmt.Sprintf("slot %d at %.2f per hour is surplus with %d of %d planned instances live: %s", h.key.number, h.price, live, chosen.size, summary.Reason), numbers)
	}
}

// withinBounds reports whether a held instance is within the price limit and the replica limit of
// the row.
func withinBounds(row table.Version, h *heldSlot) bool {
	return (row.MaxPrice <= 0 || h.price <= row.MaxPrice) && (row.MaxReplicas <= 0 || h.key.number <= row.MaxReplicas)
}

// stuck reports whether an instance has been starting for more than stuckStarts StartTimes.
func (p *planner) stuck(i wire.Instance) bool {
	s := p.view.Settings
	return i.State == wire.Starting && s.StartTime > 0 && !i.Started.IsZero() && p.view.Time.Sub(i.Started) > stuckStarts*s.StartTime
}

// endOrphans ends the orphans that have had no slot for OrphanAfter.
func (p *planner) endOrphans() {
	for _, i := range p.orphans {
		p.endWhenDue(i, firstOrEmpty(i.Versions), Orphan, p.view.Settings.OrphanAfter,
			fmt.Sprintf("no slot has owned it for %.0f s; its token is %q", p.view.Settings.OrphanAfter.Seconds(), i.ClientToken),
			[]event.Number{{Name: "PricePerHour", Value: p.priceOf(i)}})
	}
}

// schedulePendingEnd records the time from which the instance may be ended, and returns it. A
// time that was recorded for the same cause in an earlier plan is kept.
func (p *planner) schedulePendingEnd(i wire.Instance, cause Cause, after time.Duration) time.Time {
	pending, known := p.state.pendingEnds[i.ID]
	if !known || pending.cause != cause {
		pending = pendingEnd{cause: cause, deadline: p.view.Time.Add(after)}
	}
	p.pendingEnds[i.ID] = pending
	return pending.deadline
}

// endWhenDue adds an end order for an instance whose pending end is due.
func (p *planner) endWhenDue(i wire.Instance, version string, cause Cause, after time.Duration, reason string, numbers []event.Number) {
	if p.view.Time.Before(p.schedulePendingEnd(i, cause, after)) {
		return
	}
	key, _, ok := parseClientToken(p.view.Owner, i.ClientToken)
	if !ok {
		key = slotKey{version: i.ID}
	}
	p.plan.Ends = append(p.plan.Ends, End{
		Order: wire.EndOrder{ID: i.ID}, Version: version, Cause: cause, Sender: sender(p.view.Owner, key, p.view.Daemons),
		Reason: reason, Numbers: numbers,
	})
}

// limitStarts adds the most urgent starts to the plan, up to MaxStarting starting instances. A
// start is more urgent the smaller the fraction of its version's plan that precedes it.
func (p *planner) limitStarts() {
	slices.SortStableFunc(p.starts, func(a, b rankedStart) int { return cmp.Compare(a.rank, b.rank) })
	if limit := p.view.Settings.MaxStarting; limit > 0 {
		p.starts = p.starts[:min(len(p.starts), max(limit-p.starting, 0))]
	}
	for _, s := range p.starts {
		p.plan.Starts = append(p.plan.Starts, s.start)
	}
}

func kindOf(i wire.Instance) Kind {
	return Kind{DataCentre: i.DataCentre, Class: i.Class, Market: i.Market}
}

func firstOrEmpty(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}
