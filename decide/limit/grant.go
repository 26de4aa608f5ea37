package limit

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
	// Each round raises at least one account to its bound or lends all remaining capacity.
	for range claims {
		weights := 0.0
		for i, c := range claims {
			if grants[i] < bound(c) {
				weights += max(c.Share, minWeight)
			}
		}
		if weights == 0 || remaining <= 0 {
			break
		}
		lent := 0.0
		for i, c := range claims {
			if headroom := bound(c) - grants[i]; headroom > 0 {
				increase := min(headroom, remaining*max(c.Share, minWeight)/weights)
				grants[i] += increase
				lent += increase
			}
		}
		remaining -= lent
	}
	return remaining
}

func (c Claim) ceiling(capacity float64) float64 {
	if c.Cap > 0 {
		return min(c.Cap, capacity)
	}
	return capacity
}
