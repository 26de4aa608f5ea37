// Package admit decides whether a request is sent to its endpoint or refused at once.
//
// Under overload every request that is sent delays all others there. A request whose wait
// would pass a part of its target is refused with the time at which room is expected, and a
// less urgent one is refused earlier, so that urgent ones still meet their target. The time
// that an engine needs for the request's own prompt doesn't count as waiting: long prompts
// are not refused for their length.
//
// # Usage
//
//	verdict := admit.Decide(admit.Request{Wait: picked.Wait, Own: own, Target: target, Left: left, Rank: 1}, now)
//	if !verdict.Admitted { ... refuse until verdict.RetryAt }
//
// The package has no state and no clock.
package admit

import "time"

type (
	// Request is what the decision needs to know.
	Request struct {
		// Wait is the predicted time to the first event or the answer, Own the part of it that
		// the request's own prompt takes.
		Wait, Own time.Duration
		Target    time.Duration
		// Left is the time until the request's deadline.
		Left time.Duration
		// Rank is the route's; 0 is the most urgent.
		Rank int
	}

	// Verdict is the answer.
	Verdict struct {
		Admitted bool
		// RetryAt is when room is expected.
		RetryAt time.Time
		// Limit is the longest queue with which the request would have been admitted.
		Limit time.Duration
	}
)

const (
	// leastRetry and mostRetry bound the time to come back. Callers keep to it up to a third
	// of the time they have left.
	leastRetry = 100 * time.Millisecond
	mostRetry  = 1200 * time.Millisecond
	// firstPart of the target is allowed for the whole wait of the most urgent requests; each
	// rank takes rankStep off. leastPart is allowed for the queue, however long the prompt.
	// What is admitted waits longer than predicted, by requests that come after it; on the
	// recorded loads of lsbench 0.5 served more in the worst 5 s than 0.6 to 0.95.
	firstPart = 0.5
	rankStep  = 0.05
	leastPart = 0.05
	// hopelessPart of the time left must be enough for the wait.
	hopelessPart = 0.9
)

// Decide admits the request or refuses it.
func Decide(r Request, now time.Time) Verdict {
	part := firstPart - rankStep*float64(r.Rank)
	v := Verdict{Limit: max(time.Duration(part*float64(r.Target))-r.Own, time.Duration(leastPart*float64(r.Target)))}
	queue := r.Wait - r.Own
	v.Admitted = queue <= v.Limit && float64(r.Wait) <= hopelessPart*float64(r.Left)
	if !v.Admitted {
		v.RetryAt = now.Add(min(max(queue-v.Limit/2, leastRetry), mostRetry, r.Left/3))
	}
	return v
}
