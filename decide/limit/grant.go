package limit

import "lentilstage.dev/decide/share"

type (
	// Claim holds an account's share, demand and cap, from which its grant is computed.
	Claim struct {
		Account string
		// Share is the guaranteed fraction of the capacity, from 0 to 1.
		Share float64
		// Demand is the number of requests in flight or queued over all daemons.
		Demand float64
		// Cap is the maximum of the grant; 0 means no cap.
		Cap float64
	}
)

// minWeight is the weight of an account without a share when unused capacity is lent.
const minWeight = 0.01

// Grant divides the capacity over accounts and returns a grant for each claim. Each account
// first gets its demand up to its share. The rest is lent in proportion to the shares: first
// to accounts with unmet demand, then as headroom to all, so that requests that arrive before
// the next digest can start. No grant exceeds its cap, and the sum does not exceed the
// capacity.
func Grant(capacity float64, claims []Claim) []float64 {
	total := 0.0
	for _, c := range claims {
		total += c.Share
	}
	scale := capacity / max(1, total)
	grants := make([]float64, len(claims))
	remaining := capacity
	for i, c := range claims {
		grants[i] = min(c.Demand, c.Share*scale, c.ceiling(capacity))
		remaining -= grants[i]
	}
	remaining = lend(grants, remaining, claims, func(c Claim) float64 { return min(c.Demand, c.ceiling(capacity)) })
	lend(grants, remaining, claims, func(c Claim) float64 { return c.ceiling(capacity) })
	return grants
}

// lend raises the grants in proportion to the shares, up to the given bounds, and returns the
// remaining capacity.
func lend(grants []float64, remaining float64, claims []Claim, bound func(Claim) float64) float64 {
	shared := make([]share.Claim, len(claims))
	for i, c := range claims {
		shared[i] = share.Claim{Weight: max(c.Share, minWeight), Bound: bound(c)}
	}
	return share.Fill(grants, remaining, shared)
}

func (c Claim) ceiling(capacity float64) float64 {
	if c.Cap > 0 {
		return min(c.Cap, capacity)
	}
	return capacity
}
