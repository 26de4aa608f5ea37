// Package admit decides whether a request is sent to its endpoint or refused at once.
//
// Under overload, every request that is sent delays all others at its endpoint. A request whose
// predicted wait exceeds a fraction of its target is refused with the time at which capacity is
// expected. Less urgent requests are refused at shorter waits, so that urgent ones still meet
// their target. The time that an engine needs for the request's own prompt doesn't count as
// queueing, so that long prompts are not refused for their length.
//
// A daemon that stops refuses what it could not answer completely before: another daemon can.
//
// # Usage
//
//	decision := admit.Decide(
//		admit.Request{Wait: picked.Wait, Own: own, Target: target, Left: left, Rank: 1}, now)
//	if !decision.Admitted { ... refuse until decision.RetryAt }
//
// The package has no state and no clock.
package admit

import (
	"time"

	"lentilstage.dev/decide/share"
)

type (
	// Request describes a request to be admitted.
	Request struct {
		// Wait is the predicted time to the first event or the answer. Own is the portion of it
		// that the engine needs for the request's own prompt.
		Wait, Own time.Duration
		// Target is the longest acceptable time to the first event or the answer.
		Target time.Duration
		// Left is the time until the request's deadline.
		Left time.Duration
		// Rank is the rank of the request's route; 0 is the most urgent.
		Rank int
		// Answer is the time from the first event to the end of the answer. StopAt is when the daemon stops;
		// zero if it does not.
		Answer time.Duration
		StopAt time.Time
		// Spent is the part of its usual time that the request had spent when it arrived. A larger part tells that it
		// was refused before.
		Spent float64
		// Expected is the engine time of requests that were refused and told to return about now.
		Expected time.Duration
		// Standing is how the request stands in the division of a scarce capacity between accounts.
		Standing share.Standing
		// UrgentTarget is the lowest target of more urgent requests to the service in a shortage; 0 if there are none.
		UrgentTarget time.Duration
	}

	// Decision is the result of Decide.
	Decision struct {
		Admitted bool
		// Stopping reports that the answer could not be complete before the daemon stops.
		Stopping bool
		// RetryAt is the time at which capacity is expected, or at which another daemon can be tried. It is
		// zero for admitted requests.
		RetryAt time.Time
		// EarliestRetry is the time by which the queue has become short enough if no other request is added to it;
		// zero for admitted requests. It may be later than the caller can wait.
		EarliestRetry time.Time
		// Limit is the longest queueing time at which the request is admitted.
		Limit time.Duration
	}
)

const (
	// minRetryDelay and maxRetryDelay bound the time until a refused request is to be retried.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
	// waitFraction is the fraction of the target that the wait of the most urgent requests may
	// take; each rank reduces it by rankFraction. minQueueFraction is the fraction that queueing
	// may always take, however long the prompt is. Admitted requests wait longer than predicted
	// because of requests that arrive after them: on the recorded loads of lsbench, 0.5 served
	// more requests in the worst 5 s than 0.6 to 0.95.
	waitFraction     = 0.5
	rankFraction     = 0.05
	minQueueFraction = 0.05
	// returnSpent is the part of the usual time from which a request counts as one that returns: the times that
	// callers leave for their first attempts differ by up to 0.15. Its wait may take returnFraction of the target
	// more, since a second refusal costs more than a first one.
	returnSpent    = 0.17
	returnFraction = 0.4
	// expectedFraction of the target is the most by which the work of returning requests reduces the limit of
	// others.
	expectedFraction = 0.2
	// In a shortage, the limit of requests beyond their account's share is lower by beyondFraction of the target, so
	// that they are admitted only while there is capacity that no other account asks for. That of accounts that ask
	// for no more than their share is higher by belowFraction.
	beyondFraction = 0.35
	belowFraction  = 0.05
	// patienceDivisor divides the time until the deadline: for longer than the result, callers don't wait
	// before they retry.
	patienceDivisor = 3
	// StopRetryDelay is the time until a request that a stopping daemon refuses is to be sent to another one.
	StopRetryDelay = 20 * time.Millisecond
	// deadlineFraction is the fraction of the time until the deadline that the wait may take.
	deadlineFraction = 0.9
)

// Decide admits or refuses a request.
func Decide(r Request, now time.Time) Decision {
	if !r.StopAt.IsZero() && now.Add(r.Wait+r.Answer).After(r.StopAt) {
		return Decision{Stopping: true, RetryAt: now.Add(StopRetryDelay)}
	}
	fraction := waitFraction - rankFraction*float64(r.Rank)
	switch {
	case r.Standing == share.Beyond:
		fraction -= beyondFraction
	case r.Returns():
		fraction += returnFraction
	default:
		fraction -= min(float64(r.Expected)/float64(r.Target), expectedFraction)
	}
	if r.Standing == share.Below {
		fraction += belowFraction
	}
	v := Decision{Limit: max(time.Duration(fraction*float64(r.Target))-r.Own, time.Duration(minQueueFraction*float64(r.Target)))}
	if r.UrgentTarget > 0 {
		// With a longer target, it would be admitted to longer queues than the more urgent ones.
		v.Limit = min(v.Limit, time.Duration(max(fraction, minQueueFraction)*float64(r.UrgentTarget)))
	}
	queue := r.Wait - r.Own
	v.Admitted = queue <= v.Limit && float64(r.Wait) <= deadlineFraction*float64(r.Left)
	if !v.Admitted {
		v.EarliestRetry = now.Add(max(queue-v.Limit/2, minRetryDelay))
		v.RetryAt = now.Add(min(max(queue-v.Limit/2, minRetryDelay), maxRetryDelay, r.Left/patienceDivisor))
	}
	return v
}

// Returns reports whether the request seems to have been refused before.
func (r Request) Returns() bool { return r.Spent >= returnSpent }

// RetryAt returns when the caller may retry a request to a service whose endpoints all reject this daemon's
// requests until a time. A caller that can't wait that long should try another daemon, whose requests they may
// take, after otherwise.
func RetryAt(opensAt time.Time, otherwise, left time.Duration, now time.Time) time.Time {
	if opensAt.Sub(now) > left/patienceDivisor {
		return now.Add(otherwise)
	}
	return opensAt
}
