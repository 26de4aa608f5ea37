package relay

import (
	"context"
	"net/http"
	"time"

	"lentilstage.dev/decide/admit"
	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/health"
	"lentilstage.dev/decide/retry"
	"lentilstage.dev/decide/suspect"
	"lentilstage.dev/domain/setup"
)

type (
	// exchange is one request of a caller with its attempts.
	exchange struct {
		daemon  *Daemon
		writer  http.ResponseWriter
		request *http.Request

		call    Call
		config  *setup.Config
		route   setup.Route
		account setup.Account
		// cost is what the request has taken of its account's allowance.
		cost    float64
		service string
		arrived time.Time
		// deadline is when the request gets its final answer at the latest.
		deadline time.Time
		// tried are the endpoints to which the request was sent.
		tried map[string]bool
		// mayHaveRun says that an endpoint may have run the request.
		mayHaveRun bool
		// started says that the caller has got a part of the answer.
		started bool
		counted bool
		// lastEvent is the last event that the caller has got.
		lastEvent string
		// suspect is what the request is known by if it crashes endpoints.
		suspect suspect.Key
		// failure is an endpoint's own failure, for the case that no other attempt succeeds.
		failure *answer
	}

	// outcome says how an attempt ended.
	outcome string
)

const (
	// delivered: the caller has the whole answer.
	delivered outcome = "Delivered"
	// notSent: no byte reached the endpoint.
	notSent outcome = "NotSent"
	// notRun: the endpoint has not run the request and won't.
	notRun outcome = "NotRun"
	// failed: the endpoint ran the request and answered with a failure.
	failed outcome = "Failed"
	// broken: the answer did not come whole; the request may have run.
	broken outcome = "Broken"
	// stalled: the endpoint sent nothing in the time that another attempt needs.
	stalled outcome = "Stalled"
	// late: the request's deadline has passed.
	late outcome = "Late"
	// callerGone: the caller has closed the connection.
	callerGone outcome = "CallerGone"

	// comeBack is when a caller may return to a service without an endpoint to serve it.
	comeBack = 400 * time.Millisecond
	// maxDials bounds the connections that are tried for one request without a send.
	maxDials = 4
)

// serve sends the request to endpoints until it has its final answer.
func (x *exchange) serve() {
	d := x.daemon
	x.service = x.route.Pick(d.random())
	x.lastEvent = x.call.LastEvent
	x.logArrival()
	d.budget.arrived(x.service, x.arrived)
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	sends, dials := 0, 0
	for {
		endpoint, picked, placed, ok := x.place()
		if !ok {
			return
		}
		result := x.attempt(ctx, endpoint, picked, placed, sends)
		d.tables.end(placed)
		d.meters.count("Attempts." + string(result))
		x.tried[endpoint.ID] = true
		switch result {
		case delivered:
			d.meters.took("Answer.Milliseconds", d.clock.now().Sub(x.arrived))
			return
		case callerGone:
			x.log("Caller left.", "Endpoint", endpoint.ID, "Sends", sends+1)
			d.meters.count("Callers.Left")
			panic(http.ErrAbortHandler)
		case late:
			x.finish(late, "Deadline")
			return
		case notSent:
			if dials++; dials >= maxDials {
				x.finish(notSent, "Unreachable")
				return
			}
			continue
		case stalled:
			// The next attempt was granted before this one was given up.
			sends++
			continue
		default:
			sends++
		}
		if sends >= x.route.MaxAttempts || !x.again(result, sends) {
			x.finish(result, string(result))
			return
		}
	}
}

// place counts the request at an endpoint that can serve it in time. Without one it ends the
// request and returns false.
func (x *exchange) place() (setup.Endpoint, choice.Picked, *placement, bool) {
	d := x.daemon
	endpoint, picked, placed, ok := d.tables.place(wanted{
		service: x.service, call: x.call, target: x.route.Target, tried: x.tried,
		fits: func(p choice.Picked) bool { return x.weigh(p).Admitted },
	}, d.clock.now(), d.random)
	if !ok {
		x.finish(notSent, "NoEndpoint")
		return endpoint, picked, nil, false
	}
	if verdict := x.weigh(picked); !verdict.Admitted {
		d.tables.end(placed)
		x.overloaded(verdict, picked)
		return endpoint, picked, nil, false
	}
	return endpoint, picked, placed, true
}

// weigh decides whether the request may go to the endpoint with the least wait.
func (x *exchange) weigh(picked choice.Picked) admit.Verdict {
	now := x.daemon.clock.now()
	if x.started {
		// What has begun is finished.
		return admit.Verdict{Admitted: true}
	}
	return admit.Decide(admit.Request{
		Wait: milliseconds(picked.Wait), Own: milliseconds(picked.Own()),
		Target: x.route.Target, Left: x.deadline.Sub(now), Rank: x.route.Priority,
	}, now)
}

// overloaded refuses a request for which no endpoint has room in time.
func (x *exchange) overloaded(verdict admit.Verdict, picked choice.Picked) {
	if x.mayHaveRun || x.failure != nil {
		x.finish(broken, "Overload")
		return
	}
	x.refuse(http.StatusServiceUnavailable, "Overload", verdict.RetryAt, "Predicted", int(picked.Wait),
		"Limit", verdict.Limit.Milliseconds(), "Load", picked.Candidate.Load.Requests)
}

func milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}

// mayRepeat reports whether the request may be sent again although it may have run.
func (x *exchange) mayRepeat() bool { return x.route.Repeatable() }

// again asks the shared budget whether another attempt may follow. It may be called while the
// answer is being read, and reads nothing of the request that changes then.
func (x *exchange) again(result outcome, sends int) bool {
	d := x.daemon
	now := d.clock.now()
	if d.tables.kept(x.suspect, now) {
		return false
	}
	command := d.budget.again(retry.Attempt{
		Request: x.call.ID, Account: x.service, Number: sends, Repeatable: x.mayRepeat(),
		Sent: result != notRun, LatestStart: x.deadline,
	}, now, d.random())
	switch c := command.(type) {
	case retry.Again:
		x.log("Sending again.", "After", result, "Sends", sends)
		pause(x.request.Context(), c.At.Sub(now))
		return true
	case retry.GiveUp:
		x.log("Not sent again.", "After", result, "Sends", sends, "Reason", c.Reason)
	}
	return false
}

// finish ends a request without a whole answer.
func (x *exchange) finish(result outcome, reason string) {
	now := x.daemon.clock.now()
	switch {
	case x.started:
		x.log("Answer broken off.", "Reason", reason, "LastEvent", x.lastEvent)
		x.daemon.meters.count("Answers.BrokenOff")
		panic(http.ErrAbortHandler)
	case x.failure != nil:
		x.log("Failure passed on.", "Status", x.failure.status, "Reason", reason)
		x.failure.write(x.writer)
	case !x.mayHaveRun:
		x.refuse(http.StatusServiceUnavailable, reason, now.Add(comeBack))
	case result == late:
		x.refuse(http.StatusGatewayTimeout, reason, time.Time{})
	default:
		x.refuse(http.StatusBadGateway, reason, time.Time{})
	}
}

// judge tells the health judgement how an attempt at the endpoint ended.
func (x *exchange) judge(endpoint setup.Endpoint, kind health.OutcomeKind, picked choice.Picked, sentAt time.Time) {
	now := x.daemon.clock.now()
	for _, c := range x.daemon.tables.judge(endpoint, kind, milliseconds(picked.Wait), now.Sub(sentAt), now) {
		if changed, ok := c.(health.Changed); ok {
			x.daemon.logger.WithName("health").Info("Standing changed.", "Endpoint", changed.Instance,
				"State", changed.Standing.State, "Reason", changed.Reason, "AvoidUntil", changed.Standing.AvoidUntil)
		}
	}
}

// priority ranks the request for an engine's queue, from 0 for the most urgent to 9. An
// account's rank goes before the route's.
func (x *exchange) priority() int {
	const (
		accountStep = 3
		lowest      = 9
	)
	rank := x.route.Priority
	if x.account.Priority >= 0 {
		rank += x.account.Priority * accountStep
	}
	return min(rank, lowest)
}

// began counts the request for the usage report, once.
func (x *exchange) began() {
	if x.counted || x.account.Name == "" {
		return
	}
	x.counted = true
	x.daemon.tables.began(x.account.Name, x.daemon.clock.trueNow())
}
