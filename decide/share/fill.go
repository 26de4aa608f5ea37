package share

// Claim is a claim on a limited amount.
type Claim struct {
	// Weight is the part of the claim in what is shared, in relation to the weights of the others.
	Weight float64
	// Bound is the most that the claim takes.
	Bound float64
}

// Fill raises grants in proportion to the weights of their claims up to their bounds, until the remaining amount is used
// up, and returns what is left of it. What a claim does not take goes to the others (water-filling): from grants of 0 the
// result is max-min fair.
func Fill(grants []float64, remaining float64, claims []Claim) float64 {
	// Each round raises at least one grant to its bound or uses up the remaining amount.
	for range claims {
		weights := 0.0
		for i, c := range claims {
			if grants[i] < c.Bound {
				weights += c.Weight
			}
		}
		if weights == 0 || remaining <= 0 {
			break
		}
		raised := 0.0
		for i, c := range claims {
			if headroom := c.Bound - grants[i]; headroom > 0 {
				increase := min(headroom, remaining*c.Weight/weights)
				grants[i] += increase
				raised += increase
			}
		}
		remaining -= raised
	}
	return remaining
}
