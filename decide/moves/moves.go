// Package moves decides the steps of version moves. A move shifts the traffic of a route step by step
// from an old version to a new one, and ends with the new version finished or rolled back.
//
// Every daemon calls Decide with the evidence that it has. The decision contains the step to
// propose, if one is due, and the share of the route's traffic that the daemon sends to the new
// version from now on. Decide is a pure function, so daemons with the same evidence come to the same
// decision.
//
// Two sequential tests compare the new version with the old one over the same period and route. They
// compare failures, slow first tokens, slow gaps between tokens and doubtful exclusions:
//
//   - The stop test rolls a version back. A good version, which is not worse than the old one in any
//     metric, is rolled back with a probability of at most MaxFalseRollbackRate over all steps,
//     metrics and evaluations of the test.
//   - The pass test lets a version finish. A bad version finishes with a probability of at most
//     MaxFalsePassRate. A version is bad if during the last step it is worse in a metric by at least
//     3 in 100 failures or doubtful exclusions, or 10 in 100 slow requests. Earlier steps to a share
//     above MaxShareByTime must rule out a gross difference: 15 in 100 failures or doubtful
//     exclusions, or 25 in 100 slow requests.
//
// Lost requests are left out of all comparisons only with proof from outside the version: a reclaim
// on the instance list or the loss of a data centre. Losses that are excluded by the daemons' own
// judgement (interrupted connections, crashes attributed to a request) are doubtful. They are
// compared between the versions like failures, since a good version has them as often as the old
// one. An exclusion never counts in favour of a version.
//
// # Usage
//
//	store = store.With(digestEntry)
//	decision := moves.Decide(moves.View{
//		Move: move, Route: route, Evidence: store.Evidence(move.Move, route.MoveTo),
//		Rate: requestsPerSecond, Alarm: alarmReason, Now: now,
//	})
//	if step, due := decision.Step.Get(); due && !now.Before(moves.ProposalTime(since, move, self, daemons)) {
//		// Append the step to the log.
//	}
//
// A daemon whose decision has Stop set keeps an alarm for the move and sends it to its peers. From
// then on it passes the alarm's reason in View.Alarm, since later evidence may lower the value of the
// test again.
package moves

import (
	"fmt"
	"time"

	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/domain/value"
)

type (
	// View is the input of a decision.
	View struct {
		// Move is the state of the move according to the log.
		Move table.MoveState
		// Route is the row that requests the move.
		Route table.Route
		// Evidence is the evidence of all daemons.
		Evidence Evidence
		// Rate is the route's traffic in requests per second over all daemons and versions.
		Rate float64
		// Alarm is the reason for which this daemon or a peer has stopped the version; empty
		// without an alarm.
		Alarm string
		Now   time.Time
	}

	// Decision is the result of Decide.
	Decision struct {
		// Step is the step to propose.
		Step value.Option[table.MoveStep]
		// LocalShare is the share of the traffic that the daemon sends to the new version from now
		// on.
		LocalShare float64
		// Stop says that the version is bad according to the evidence or an alarm.
		Stop bool
		// Reason explains the decision to operators in a sentence.
		Reason string
		// Numbers are the values behind the reason.
		Numbers []event.Number
	}
)

// Decide returns the next step of a move, if one is due, and the share to serve from now on.
func Decide(v View) Decision {
	switch v.Move.State {
	case table.Finished:
		return Decision{LocalShare: 1, Reason: v.Move.Reason}
	case table.TakenBack:
		return Decision{Reason: v.Move.Reason}
	}
	p := schedule{
		shares: Shares(v.Route.FirstShare), deadline: v.Route.MoveDeadline,
		rate: v.Rate, baseline: v.Evidence.Total().Old,
	}
	result := stopTest(v.Evidence, len(p.shares))
	bad := result.strength >= stopStrength
	decision := Decision{LocalShare: v.Move.Share, Numbers: v.numbers(result)}
	switch {
	case bad || v.Alarm != "":
		decision.Stop, decision.LocalShare = true, 0
		decision.Reason = v.Alarm
		if bad {
			decision.Reason = fmt.Sprintf("%.1f in 100 requests %s, against %.1f in 100 at the old version",
				100*result.newRate, result.metric.event, 100*result.oldRate)
		}
		return decision.withStep(v, table.TakenBack, 0)
	case !v.Now.Before(v.Route.MoveDeadline):
		decision.LocalShare = 0
		decision.Reason = "not enough evidence by the deadline: " + v.missingEvidence(p)
		return decision.withStep(v, table.TakenBack, 0)
	case !v.Now.Before(v.Route.MoveDeadline.Add(-maxClockSkew)):
		decision.Reason = "too late for a step up before the deadline"
		return decision
	case v.Move.Step == 0:
		decision.Reason = "the move starts"
		return decision.withStep(v, table.Moving, p.shares[0])
	}
	return v.advance(decision, p, result)
}

// advance completes the decision with the step after a running one if it is due and the evidence
// allows it.
func (v View) advance(decision Decision, p schedule, result stopResult) Decision {
	step := min(v.Move.Step, len(p.shares))
	if m, suspected := v.suspectedMetric(p).Get(); suspected {
		decision.LocalShare = min(v.Move.Share, ProbeShare)
		decision.Reason = fmt.Sprintf("more requests %s than usual; the share is lowered until the test decides", m.event)
		return decision
	}
	switch {
	case v.Now.Before(p.due(step, v.Move.StepTime)):
		decision.Reason = "the step's time is not over"
		return decision
	case result.strength >= holdStrength:
		decision.Reason = fmt.Sprintf("more requests %s than at the old version, without proof so far", result.metric.event)
		return decision
	}
	insufficient, lowest := passTestAll(v.stepEvidence(p, step), p.excludedDifference(step))
	decision.Numbers = append(decision.Numbers, event.Number{Name: "PassStrength", Value: lowest})
	if _, isInsufficient := insufficient.Get(); isInsufficient && !p.advancesByTime(step) {
		decision.Reason = v.missingEvidence(p)
		return decision
	}
	if step == len(p.shares) {
		decision.Reason = "the version is not worse than the old one"
		return decision.withStep(v, table.Finished, 1)
	}
	decision.Reason = fmt.Sprintf("step %d showed no fault", step)
	return decision.withStep(v, table.Moving, p.shares[step])
}

// suspectedMetric returns the metric in which the new version is suspected at the present step.
// Evidence at the lowered share that rules out a bad version clears the suspicion for the step.
func (v View) suspectedMetric(p schedule) value.Option[metric] {
	probe := v.Evidence.At(v.Move.Step, ProbeShare)
	suspected := detectSuspect(v.Evidence.At(v.Move.Step, v.Move.Share), probe, p.baseline)
	if _, ok := suspected.Get(); !ok || v.Move.Share <= ProbeShare {
		return value.None[metric]()
	}
	insufficient, _ := passTestAll(probe, func(m metric) float64 { return m.badDifference })
	if _, isInsufficient := insufficient.Get(); !isInsufficient {
		return value.None[metric]()
	}
	return suspected
}

// stepEvidence returns the evidence for the pass test of a step. At the last step it is that of the
// step alone, so that a version that is bad only at a high share or became bad late is detected.
// Before, it is all evidence.
func (v View) stepEvidence(p schedule, step int) StepEvidence {
	if step == len(p.shares) {
		return v.Evidence.At(step, v.Move.Share)
	}
	return v.Evidence.Total()
}

// missingEvidence describes the metric with insufficient evidence at the present step.
func (v View) missingEvidence(p schedule) string {
	step := min(max(v.Move.Step, 1), len(p.shares))
	evidence := v.stepEvidence(p, step)
	insufficient, lowest := passTestAll(evidence, p.excludedDifference(step))
	m, isInsufficient := insufficient.Get()
	if !isInsufficient {
		return fmt.Sprintf("step %d of %d was reached too late", v.Move.Step, len(p.shares))
	}
	return fmt.Sprintf("%d requests at step %d of %d, of which %d %s, do not rule out a bad version (strength %.2g of %g)",
		evidence.New.Requests, v.Move.Step, len(p.shares), m.events(evidence.New), m.event, lowest, passStrength)
}

// numbers returns the values behind a decision.
func (v View) numbers(result stopResult) []event.Number {
	total := v.Evidence.Total()
	return []event.Number{
		{Name: "Step", Value: float64(v.Move.Step)},
		{Name: "Share", Value: v.Move.Share},
		{Name: "RequestsPerSecond", Value: v.Rate},
		{Name: "NewRequests", Value: float64(total.New.Requests)},
		{Name: "OldRequests", Value: float64(total.Old.Requests)},
		{Name: "NewFailures", Value: float64(total.New.Failures)},
		{Name: "OldFailures", Value: float64(total.Old.Failures)},
		{Name: "NewReclaimed", Value: float64(total.New.Reclaimed)},
		{Name: "NewDoubtful", Value: float64(total.New.Doubtful)},
		{Name: "OldDoubtful", Value: float64(total.Old.Doubtful)},
		{Name: "StopStrength", Value: result.strength},
	}
}

// withStep returns the decision with a step that follows the present one.
func (d Decision) withStep(v View, state table.StepState, share float64) Decision {
	d.Step = value.Some(table.MoveStep{
		Move: v.Move.Move, Route: v.Move.Route, Version: v.Move.Version, FromStep: v.Move.Step,
		State: state, Share: share, NotAfter: v.Route.MoveDeadline, Reason: d.Reason,
	})
	return d
}
