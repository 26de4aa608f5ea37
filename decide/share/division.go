package share

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

type (
	// Division divides the capacity of a service between client accounts while there is a shortage. Accounts are
	// identified by numbers.
	Division struct {
		// usual is the slow average of the work per second that each account offers, from which its weight follows.
		usual map[uint32]float64
		// startedAt is the time of the first update, updatedAt that of the last.
		startedAt, updatedAt time.Time
		// fractions holds the part of the offered work up to which the accounts above their share are admitted. It is
		// nil while there is no shortage.
		fractions map[uint32]float64
		// credit holds what each of these accounts has left of an admission.
		credit map[uint32]float64
		// phase is where the credit begins, so that the daemons don't all admit at the same request.
		phase float64
	}

	// Load is the work per second of a service over all daemons, in seconds of endpoint time.
	Load struct {
		// Offered is the work that each account asks for, Refused the part of all of it that is refused.
		Offered map[uint32]float64
		Refused float64
		// Capacity is the work that the endpoints complete.
		Capacity float64
	}

	// Standing is how a request stands in the division.
	Standing int
)

const (
	// Undivided: there is no shortage, or it is equal for all accounts.
	Undivided Standing = iota
	// Below: there is a shortage, and the account asks for no more than its share.
	Below
	// Within: the account asks for more than its share, and the request is in the part that it gets.
	Within
	// Beyond: the account asks for more than its share, and the request is in the part that it does not get.
	Beyond
)

const (
	// usualTime is the time constant of the accounts' usual work. shortTime is that in a shortage, in which an
	// account at several times its usual rate would otherwise raise its weight within seconds.
	usualTime = 30 * time.Second
	shortTime = 3 * time.Minute
	// minWeight is the least weight of an account, as a fraction of the mean weight: an account without a history has
	// a share too.
	minWeight = 0.25
	// minFraction of the part of all work that is served is the least part that is served of an account.
	minFraction = 0.35
	// unequalFraction of the part that most accounts get is the part up to which an account counts as above its
	// share. If all accounts are equally short, refusals by the queue alone are fair, and a division would only
	// refuse more of them: with 0.8 of the part of all work, twice as many requests were refused twice in bursts of
	// lsbench shortage as without a division.
	unequalFraction = 0.7
	// maxDebt is how many returning requests an account may have ahead of its share at a daemon.
	maxDebt = 2
)

// NewDivision returns a division without a shortage. phase is a number in [0, 1) that differs between daemons.
func NewDivision(phase float64) *Division {
	return &Division{usual: map[uint32]float64{}, credit: map[uint32]float64{}, phase: phase}
}

// Update takes up the present load and reports whether a shortage has begun or ended.
func (d *Division) Update(l Load, now time.Time) (changed bool) {
	offered := 0.0
	for _, rate := range l.Offered {
		offered += rate
	}
	wasShort := d.Short()
	short := offered > 0 && l.Refused >= shortRefused*offered
	d.updateUsual(l, short, now)
	if !short {
		d.fractions = nil
		clear(d.credit)
		return wasShort
	}
	d.divide(l, max(l.Capacity, offered-l.Refused), offered)
	return !wasShort
}

// updateUsual advances the slow averages. An account that is new counts as usual at once unless there is a shortage.
func (d *Division) updateUsual(l Load, short bool, now time.Time) {
	timeConstant := usualTime
	if short {
		timeConstant = shortTime
	}
	if d.startedAt.IsZero() {
		d.startedAt, d.updatedAt = now, now
	}
	// Until it has been measured for that long, the mean of what was measured is the best estimate.
	timeConstant = min(timeConstant, max(now.Sub(d.startedAt), meterTime))
	step := 1 - math.Exp(-max(0, now.Sub(d.updatedAt).Seconds())/timeConstant.Seconds())
	d.updatedAt = now
	for account, rate := range l.Offered {
		d.usual[account] += step * (rate - d.usual[account])
	}
	for account, usual := range d.usual {
		if _, offers := l.Offered[account]; !offers {
			if d.usual[account] = usual * (1 - step); d.usual[account] < minRate {
				delete(d.usual, account)
			}
		}
	}
}

// divide computes the fractions.
func (d *Division) divide(l Load, capacity, offered float64) {
	accounts := slices.Sorted(maps.Keys(l.Offered))
	mean := 0.0
	for _, account := range accounts {
		mean += d.usual[account] / float64(len(accounts))
	}
	claims, shares := make([]Claim, len(accounts)), make([]float64, len(accounts))
	for i, account := range accounts {
		claims[i] = Claim{Weight: max(d.usual[account], minWeight*mean, minRate), Bound: l.Offered[account]}
	}
	Fill(shares, capacity, claims)
	d.fractions = map[uint32]float64{}
	least := minFraction * min(1, capacity/offered)
	// Accounts that are as short as most need no division from each other.
	common := commonFraction(claims, shares)
	for i, account := range accounts {
		if fraction := shares[i] / l.Offered[account]; fraction < unequalFraction*common {
			d.fractions[account] = max(fraction, least)
		}
	}
	maps.DeleteFunc(d.credit, func(account uint32, _ float64) bool { _, above := d.fractions[account]; return !above })
}

// commonFraction returns the median of the parts that the claims get, by their weights.
func commonFraction(claims []Claim, shares []float64) float64 {
	order := make([]int, len(claims))
	weights := 0.0
	for i, c := range claims {
		order[i] = i
		weights += c.Weight
	}
	fraction := func(i int) float64 { return shares[i] / claims[i].Bound }
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(fraction(a), fraction(b)) })
	reached := 0.0
	for _, i := range order {
		if reached += claims[i].Weight; 2*reached >= weights {
			return fraction(i)
		}
	}
	return 0
}

// Short reports whether there is a shortage.
func (d *Division) Short() bool { return d.fractions != nil }

// Fraction returns the part of an account's offered work that is its share, at most 1.
func (d *Division) Fraction(account uint32) float64 {
	if fraction, above := d.fractions[account]; above {
		return fraction
	}
	return 1
}

// Above returns the number of accounts that ask for more than their share.
func (d *Division) Above() int { return len(d.fractions) }

// Take returns how the next request of an account stands. Of an account above its share, each daemon counts the same
// part of the requests as within it, whatever their size, and those first that were refused before.
func (d *Division) Take(account uint32, returns bool) Standing {
	if len(d.fractions) == 0 {
		return Undivided
	}
	fraction, above := d.fractions[account]
	if !above {
		return Below
	}
	credit, known := d.credit[account]
	if !known {
		credit = d.phase
	}
	if credit += fraction; credit >= 1 || returns && credit > 1-maxDebt {
		d.credit[account] = credit - 1
		return Within
	}
	d.credit[account] = credit
	return Beyond
}

// String returns the name of the standing.
func (s Standing) String() string {
	return [...]string{"Undivided", "Below", "Within", "Beyond"}[s]
}
