package fleet

import (
	"cmp"
	"math"
	"slices"

	"lentilstage.dev/wire/wire"
)

type (
	// candidate is one held instance, or any number of new instances of a kind.
	candidate struct {
		kind  Kind
		price float64
		// effectivePrice is the price by which candidates are compared.
		effectivePrice float64
		held           *heldSlot
		// centre is the index of the data centre.
		centre int
	}

	// mix is a selection of instances for one version.
	mix struct {
		held []*heldSlot
		// newKinds has one element for each new instance, cheapest first.
		newKinds []Kind
		cost     float64
		// effectivePrice is the sum of the instances' effective prices.
		effectivePrice float64
		size           int
		// loss is the largest number of reclaimable instances in one data centre.
		loss int
	}

	// requirement is what a mix must satisfy.
	requirement struct {
		// size is the minimum number of instances. survivors is the minimum number that remains
		// after the loss of all reclaimable instances of any one data centre.
		size, survivors int
		// limit is the maximum number of instances; 0 means no limit.
		limit int
	}
)

// cheapestMix returns the cheapest mix that meets the requirement. If none does, it prefers the
// smallest shortage of survivors, then the smallest shortage of instances, then the lowest
// effective price.
//
// A mix in which no data centre has more than loss reclaimable instances needs survivors+loss
// instances. cheapestMix therefore builds the cheapest mix for each possible loss and compares
// them.
func cheapestMix(candidates []candidate, r requirement) mix {
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.effectivePrice, b.effectivePrice), compareHeldFirst(a, b), cmp.Compare(a.kind.DataCentre, b.kind.DataCentre), cmp.Compare(b.kind.Market, a.kind.Market))
	})
	centres := make(map[string]int)
	for n, c := range candidates {
		if _, known := centres[c.kind.DataCentre]; !known {
			centres[c.kind.DataCentre] = len(centres)
		}
		candidates[n].centre = centres[c.kind.DataCentre]
	}
	reclaimableByCentre := make([]int, len(centres))
	bestLoss := 0
	best := buildMix(candidates, r, 0, reclaimableByCentre, false)
	for loss := 1; loss <= max(r.survivors, r.size); loss++ {
		m := buildMix(candidates, r, loss, reclaimableByCentre, false)
		a, b := m.shortage(r), best.shortage(r)
		if cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1]), cmp.Compare(m.effectivePrice, best.effectivePrice)) < 0 {
			best, bestLoss = m, loss
		}
	}
	return buildMix(candidates, r, bestLoss, reclaimableByCentre, true)
}

// shortage returns the missing survivors and the missing instances.
func (m mix) shortage(r requirement) [2]int {
	return [2]int{max(r.survivors-(m.size-m.loss), 0), max(r.size-m.size, 0)}
}

// buildMix selects the cheapest candidates with at most loss reclaimable instances in each data
// centre. The candidates must be sorted by effective price. Without withInstances, the mix has
// only its totals, which suffice to compare it. reclaimableByCentre is scratch space with an
// element for each data centre.
func buildMix(candidates []candidate, r requirement, loss int, reclaimableByCentre []int, withInstances bool) mix {
	target := max(r.survivors+loss, r.size)
	if r.limit > 0 {
		target = min(target, r.limit)
	}
	clear(reclaimableByCentre)
	var m mix
	for _, c := range candidates {
		if m.size == target {
			break
		}
		count := target - m.size
		if c.kind.Market == wire.Reclaimable {
			count = min(count, loss-reclaimableByCentre[c.centre])
		}
		if c.held != nil {
			count = min(count, 1)
		}
		if count <= 0 {
			continue
		}
		if c.kind.Market == wire.Reclaimable {
			reclaimableByCentre[c.centre] += count
			m.loss = max(m.loss, reclaimableByCentre[c.centre])
		}
		m.size += count
		m.cost += c.price * float64(count)
		m.effectivePrice += c.effectivePrice * float64(count)
		switch {
		case !withInstances:
		case c.held != nil:
			m.held = append(m.held, c.held)
		default:
			m.newKinds = append(m.newKinds, slices.Repeat([]Kind{c.kind}, count)...)
		}
	}
	return m
}

// compareHeldFirst orders held instances before new ones, live instances before starting ones,
// and then by slot number.
func compareHeldFirst(a, b candidate) int {
	rank := func(c candidate) int {
		switch {
		case c.held == nil:
			return math.MaxInt
		case c.held.instance.State == wire.Live:
			return c.held.key.number
		default:
			return math.MaxInt/2 + c.held.key.number
		}
	}
	return cmp.Compare(rank(a), rank(b))
}

// interleave reorders the instances round-robin by kind, so that the first starts are spread over
// the data centres when only a few instances may start at a time.
func interleave(kinds []Kind) []Kind {
	rounds := make(map[Kind]int)
	type numbered struct {
		kind  Kind
		round int
	}
	list := make([]numbered, 0, len(kinds))
	for _, k := range kinds {
		list = append(list, numbered{kind: k, round: rounds[k]})
		rounds[k]++
	}
	slices.SortStableFunc(list, func(a, b numbered) int { return cmp.Compare(a.round, b.round) })
	result := make([]Kind, 0, len(list))
	for _, n := range list {
		result = append(result, n.kind)
	}
	return result
}
