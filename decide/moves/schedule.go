package moves

import (
	"math"
	"strconv"
	"time"

	"lentilstage.dev/domain/ident"
	"lentilstage.dev/domain/table"
)

type (
	// Estimate predicts whether a move can finish at a traffic rate.
	Estimate struct {
		// The move is feasible if a good version is expected to finish before the deadline.
		Feasible bool
		// FinishTime is when a good version is expected to finish; zero if never.
		FinishTime time.Time
		// Requests is the number of requests that the new version needs at the last step.
		Requests float64
	}

	// schedule contains the inputs for the timing of the steps of a move.
	schedule struct {
		shares   []float64
		deadline time.Time
		// rate is the route's traffic in requests per second.
		rate float64
		// baseline are the counts of the old version, from which its usual rates are computed.
		baseline Counts
	}
)

const (
	// MaxShareByTime is the greatest share that a step may reach without evidence, once its time is
	// over. Little traffic yields too little evidence at the first shares; at most this share is
	// then at risk.
	MaxShareByTime = table.MaxFirstShare
	// MaxSplitShare is the share of the last two steps. The rest of the traffic stays with the old
	// version, because the tests have nothing to compare with once all of it has moved.
	MaxSplitShare = 0.8
	// ProbeShare is the share to which daemons lower a higher one on a suspicion. It exposes fewer
	// requests, and each failure is stronger evidence, since most of the traffic is at the old
	// version.
	ProbeShare = 0.2
	// RankDelay is the time between the proposals of two daemons of adjacent ranks.
	RankDelay = 2 * time.Second

	// quarterShare and halfShare are the shares before MaxSplitShare. The number of requests needed
	// to distinguish a bad version from a slow route grows with share/(1-share), so versions that
	// are bad under load are detected sooner at these shares than at MaxSplitShare.
	quarterShare = 0.25
	halfShare    = 0.5
	// maxShareRatio is the maximum ratio of the shares of two consecutive steps up to quarterShare.
	maxShareRatio = 4
	// stepWeight, lastStepsWeight and reserveWeight are the weights of each step, of each of the
	// last two steps and of the reserve before the deadline. The time that is not required for
	// evidence is divided by them.
	stepWeight      = 1.0
	lastStepsWeight = 1.5
	reserveWeight   = 3.0
	// evidenceMargin covers the spread of the evidence around its mean.
	evidenceMargin = 1.5
	// maxClockSkew is the assumed maximum difference between the clocks of two daemons. A step up
	// that is proposed later than this before the deadline could be refused when the log is applied.
	maxClockSkew = time.Second
)

// Shares returns the shares of the steps of a move, from step 1. They rise by equal ratios of at most
// 4 from the first share to a quarter, then to a half and to MaxSplitShare. MaxSplitShare occurs
// twice, since the last step tests for a version that became bad during the step before. If the first
// share is not above 0, table.DefaultFirstShare is used.
func Shares(firstShare float64) []float64 {
	first := firstShare
	if !(first > 0) {
		first = table.DefaultFirstShare
	}
	first = min(first, table.MaxFirstShare)
	rises := math.Ceil(math.Log(quarterShare/first) / math.Log(maxShareRatio))
	ratio := math.Pow(quarterShare/first, 1/rises)
	shares := make([]float64, 0, int(rises)+4)
	for i := range int(rises) {
		shares = append(shares, first*math.Pow(ratio, float64(i)))
	}
	return append(shares, quarterShare, halfShare, MaxSplitShare, MaxSplitShare)
}

// ProposalTime returns when a daemon appends a step that has been due since the given time. The first
// daemon in the rendezvous order of the move's step appends it at once, each further one RankDelay
// after the one before. A daemon that is not in the list is ranked last.
func ProposalTime(since time.Time, move table.MoveState, self string, daemons []string) time.Time {
	key := move.Move + "/" + strconv.Itoa(move.Step)
	order := ident.RendezvousOrder(key, daemons)
	rank := len(order)
	for i, name := range order {
		if name == self {
			rank = i
			break
		}
	}
	return since.Add(time.Duration(rank) * RankDelay)
}

// EstimateMove estimates whether a move to a good version that starts now can finish by its deadline.
// The rate is the route's traffic in requests per second. The baseline has the counts of the present
// version over any period; without counts its usual rates are taken as 0.
func EstimateMove(route table.Route, rate float64, baseline Counts, now time.Time) Estimate {
	p := schedule{shares: Shares(route.FirstShare), deadline: route.MoveDeadline, rate: rate, baseline: baseline}
	estimate := Estimate{Requests: p.requiredRequests(len(p.shares))}
	at := now
	for step := 1; step <= len(p.shares); step++ {
		required := p.requiredTime(step)
		if required >= p.deadline.Sub(at) {
			return estimate
		}
		due := p.due(step, at)
		if enough := at.Add(required); enough.After(due) {
			due = enough
		}
		at = due
	}
	estimate.FinishTime = at
	estimate.Feasible = at.Before(p.deadline)
	return estimate
}

// due returns the earliest end of a step that started at the given time. Each step gets the time that
// its evidence requires at the present traffic and a fraction of the remaining time.
func (p schedule) due(step int, start time.Time) time.Time {
	remaining := p.deadline.Sub(start)
	var totalRequired time.Duration
	weights := reserveWeight
	for s := step; s <= len(p.shares); s++ {
		totalRequired = saturatingAdd(totalRequired, p.requiredTime(s))
		weights += p.timeWeight(s)
	}
	required := p.requiredTime(step)
	fraction := p.timeWeight(step) / weights
	switch {
	case totalRequired <= remaining:
		return start.Add(required + time.Duration(float64(remaining-totalRequired)*fraction))
	case p.advancesByTime(step):
		return start.Add(time.Duration(float64(remaining) * fraction))
	default:
		// The evidence requires all the remaining time or more, so it alone decides.
		return start
	}
}

// advancesByTime reports whether the step after the given one may be taken without evidence once its
// time is over.
func (p schedule) advancesByTime(step int) bool {
	return step < len(p.shares) && p.shares[step] <= MaxShareByTime
}

// timeWeight returns the weight of a step in the division of the remaining time.
func (p schedule) timeWeight(step int) float64 {
	if step > len(p.shares)-2 {
		return lastStepsWeight
	}
	return stepWeight
}

// requiredTime returns the time in which a step collects its evidence at the present traffic, or the
// maximum duration if it never does.
func (p schedule) requiredTime(step int) time.Duration {
	if p.advancesByTime(step) {
		return 0
	}
	seconds := p.requiredRequests(step) / (p.rate * p.shares[step-1])
	if !(seconds < math.MaxInt64/float64(time.Second)) {
		return math.MaxInt64
	}
	return time.Duration(seconds * float64(time.Second))
}

// requiredRequests returns the number of requests after which a good version is expected to pass the
// test of a step.
func (p schedule) requiredRequests(step int) float64 {
	var highest float64
	for _, m := range metrics {
		baseline := m.rate(p.baseline)
		bad := min(wilsonLowerBound(m.events(p.baseline), m.trials(p.baseline))+p.excludedDifference(step)(m), 0.99)
		var growth float64
		for _, ratio := range passRatios {
			growth = max(growth, baseline*math.Log(ratio)+(1-baseline)*math.Log((1-ratio*bad)/(1-bad)))
		}
		highest = max(highest, evidenceMargin*math.Log(passStrength*float64(len(passRatios)))/growth)
	}
	return highest
}

// excludedDifference returns the difference of rates that the evidence of a step must rule out for
// each metric: the bad difference at the last step, the gross difference before.
func (p schedule) excludedDifference(step int) func(metric) float64 {
	if step >= len(p.shares) {
		return func(m metric) float64 { return m.badDifference }
	}
	return func(m metric) float64 { return m.grossDifference }
}

// saturatingAdd returns the sum of two positive durations, or the maximum duration on overflow.
func saturatingAdd(a, b time.Duration) time.Duration {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}
