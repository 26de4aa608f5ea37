package relay

import (
	"context"
	"net/http"
	"time"

	"lentilstage.dev/decide/admit"
	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/health"
	"lentilstage.dev/decide/homes"
	"lentilstage.dev/decide/poison"
	"lentilstage.dev/decide/retry"
	"lentilstage.dev/decide/share"
	"lentilstage.dev/decide/suspect"
	"lentilstage.dev/domain/setup"
	"lentilstage.dev/entryd/gate"
)

type (
	// exchange is one request of a caller with its attempts.
	exchange struct {
		daemon *Daemon
		// conn is the caller's connection; nil for a server without a gate.
		conn    *gate.Conn
		writer  http.ResponseWriter
		request *http.Request

		call    Call
		config  *setup.Config
		route   setup.Route
		account setup.Account
		// cost is what the request has taken from its client account's allowance.
		cost    float64
		service string
		arrived time.Time
		// deadline is the latest time of the final response.
		deadline time.Time
		// standing is what the daemons know of the load of the service when the request arrives.
		standing standing
		// tried holds the endpoints to which the request was sent.
		tried map[string]bool
		// unreached holds those of them to which no connection opened, so that they have not got the request.
		unreached map[string]bool
		// reserved is the endpoint of the next attempt, if one was selected already.
		reserved *selection
		// silent is the endpoint that the last fail-over has left, until the request returns to it.
		silent string
		// returnGranted reports whether the retry budget has granted the return to it.
		returnGranted bool
		// handed describes the request if another daemon has handed it over; nil for one of an own caller.
		handed *handOver
		// sends is the number of times that the request was sent to an endpoint, or may have been.
		sends int
		// counted reports whether the retry budget has counted the request.
		counted bool
		// retryGranted reports whether the retry budget has granted that another daemon serves the request.
		retryGranted bool
		// mayHaveRun reports whether an endpoint may have run the request.
		mayHaveRun bool
		// responseStarted reports whether a part of the response was sent to the caller.
		responseStarted bool
		usageCounted    bool
		// lost is the last response that broke off before it began; nil if none did.
		lost *lostResponse
		// lastEvent is the last event that was sent to the caller.
		lastEvent string
		// positionUnknown reports whether an event without an identifier was sent to the caller, so that no
		// other endpoint can go on after it.
		positionUnknown bool
		// suspect identifies the request if it is sent again after it crashed endpoints.
		suspect suspect.Key
		// parts identifies the parts of the prompt that other requests may have too.
		parts []poison.Key
		// race is set while a copy of the request may run beside its first attempt; lane is then the attempt that
		// this exchange belongs to.
		race *race
		lane lane
		// failedResponse is an endpoint's own error response. It is forwarded if no other attempt
		// succeeds.
		failedResponse *bufferedResponse
	}

	// selection is an endpoint at which the request is counted.
	selection struct {
		endpoint setup.Endpoint
		picked   choice.Picked
		placed   *placement
	}

	// lostResponse is a response of which nothing arrived although the request was sent.
	lostResponse struct {
		address string
		// at is when the connection broke, as a time of day.
		at time.Time
	}

	// outcome is how an attempt ended.
	outcome string
)

const (
	// delivered: the complete response was sent to the caller.
	delivered outcome = "Delivered"
	// notSent: no byte reached the endpoint.
	notSent outcome = "NotSent"
	// notRun: the endpoint has not run the request and won't.
	notRun outcome = "NotRun"
	// failed: the endpoint ran the request and responded with an error.
	failed outcome = "Failed"
	// broken: the response is incomplete; the request may have run.
	broken outcome = "Broken"
	// stalled: the endpoint sent nothing within the stall timeout.
	stalled outcome = "Stalled"
	// deadlinePassed: the request's deadline has passed.
	deadlinePassed outcome = "Late"
	// superseded: another attempt of the request was answered first.
	superseded outcome = "Superseded"
	// callerGone: the caller has closed the connection.
	callerGone outcome = "CallerGone"

	// noEndpointRetry is the delay after which a caller may retry if no endpoint serves the request.
	noEndpointRetry = 400 * time.Millisecond
	// lostCheckTimeout limits the check whether an endpoint lives after it has broken a connection.
	lostCheckTimeout = 300 * time.Millisecond
	// maxDials limits the failed connections for one request.
	maxDials = 4
)

// serve sends the request to endpoints until it has a final response.
func (x *exchange) serve() {
	d := x.daemon
	x.service = x.route.PickService(d.random())
	x.lastEvent = x.call.LastEventID
	x.logArrival()
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	// At the end of a stop, the request gets an answer while its connection is still open.
	defer context.AfterFunc(d.ended, cancel)()
	defer x.releaseReserved()
	if x.handOverLost(ctx) {
		return
	}
	x.standing = d.tables.standing(x.demandKey(), x.waitsUntil(), x.arrived)
	x.countArrival()
	dials := 0
	for {
		next, ok := x.place(ctx)
		if !ok {
			return
		}
		x.countReturn(len(x.tried))
		x.tried[next.endpoint.ID] = true
		result, copies := x.attemptHedged(ctx, next, x.sends)
		x.sends += copies
		if x.responseStarted && (x.route.Kind != setup.Stream || x.positionUnknown) && result != delivered && result != callerGone {
			// Only a stream can go on at another endpoint, after an event that has an identifier.
			x.fail(result, string(result))
			return
		}
		switch result {
		case delivered:
			d.meters.observe("Answer.Milliseconds", d.clock.now().Sub(x.arrived))
			return
		case callerGone:
			x.log("Caller left.", "Endpoint", next.endpoint.ID, "Sends", x.sends+1, "MayHaveRun", x.mayHaveRun)
			d.meters.count("Callers.Left")
			x.returnCost()
			panic(http.ErrAbortHandler)
		case deadlinePassed:
			if d.ended.Err() != nil {
				x.fail(deadlinePassed, "Draining")
			} else {
				x.fail(deadlinePassed, "Deadline")
			}
			return
		case notSent:
			if copies == 0 {
				x.unreached[next.endpoint.ID] = true
			}
			if dials++; dials >= maxDials && !x.reserveSilent(notSent) {
				if !x.mayHandOver() || !x.handOver(ctx, "Unreachable") {
					x.fail(notSent, "Unreachable")
				}
				return
			}
			continue
		default:
			x.sends++
		}
		if !x.mayContinue(result, x.sends) {
			x.fail(result, string(result))
			return
		}
	}
}

// countArrival counts the request in the retry budget, unless the daemon that has handed it over did.
func (x *exchange) countArrival() {
	if x.handed == nil || !x.handed.Counted {
		x.daemon.budget.arrived(x.service, x.daemon.clock.now())
	}
	x.counted = true
}

// countReturn counts a request that was refused before and is now sent to its first endpoint.
func (x *exchange) countReturn(tried int) {
	if tried == 0 && x.standing.returned {
		x.daemon.meters.count("Retries.Kept")
	}
}

// mayContinue reports whether another attempt may follow one that has failed. After the last permitted send,
// the request may still return to an endpoint that a fail-over has left, since that is no further endpoint.
func (x *exchange) mayContinue(result outcome, sends int) bool {
	if x.reserved != nil || x.retryGranted {
		x.retryGranted = false
		return true
	}
	if sends < x.route.MaxAttempts && x.requestRetry(result, sends) {
		return true
	}
	if !x.reserveSilent(result) {
		return false
	}
	if x.returnGranted {
		return !x.retryBarred(result, sends)
	}
	_, granted := x.grantRetry(result, sends, 0)
	return granted
}

// place selects an endpoint that can serve the request in time and counts the request there. If there
// is none, it lets another daemon serve the request or ends it, and returns false.
func (x *exchange) place(ctx context.Context) (selection, bool) {
	if next, ok := x.takeReserved(); ok {
		return next, true
	}
	if x.handOverLost(ctx) {
		return selection{}, false
	}
	next, ok := x.selectEndpoint(x.responseStarted)
	if !ok {
		if x.reserveSilent(notSent) {
			return x.takeReserved()
		}
		if !x.mayHandOver() || !x.handOver(ctx, "NoEndpoint") {
			x.failWithoutEndpoint()
		}
		return next, false
	}
	if verdict := x.checkAdmission(next.picked, x.responseStarted); !verdict.Admitted {
		x.daemon.tables.release(next.placed)
		if x.reserveSilent(notSent) {
			return x.takeReserved()
		}
		if verdict.Stopping || !x.mayHandOver() || !x.handOver(ctx, "Overload") {
			x.refuseOverload(verdict, next)
		}
		return next, false
	}
	return next, true
}

// selectEndpoint selects an endpoint that was not tried and counts the request there. It may be called while
// the response is being read.
func (x *exchange) selectEndpoint(responseStarted bool) (selection, bool) {
	return x.selectFrom(placeRequest{
		tried: x.triedByAll(), fits: func(p choice.Picked) bool { return x.checkAdmission(p, responseStarted).Admitted },
	})
}

func (x *exchange) selectFrom(r placeRequest) (next selection, ok bool) {
	d := x.daemon
	r.service, r.call, r.target, r.account, r.homes = x.service, x.call, x.route.LatencyTarget, x.account.Name, x.homes()
	next.endpoint, next.picked, next.placed, ok = d.tables.place(r, d.clock.now(), d.random)
	return next, ok
}

// homes returns the regions in which the request may be served, by the configuration of this moment. If that has no such
// route any more, the lists at the arrival hold.
func (x *exchange) homes() homes.Rule {
	route, account := x.route, x.account
	if config := x.daemon.tables.currentConfig(); config != nil && config != x.config {
		if current, ok := config.Match(x.call.Host, x.call.Path); ok {
			route = current
		}
		if current, ok := config.Accounts[account.Name]; ok {
			account = current
		}
	}
	return homes.Rule{Route: route.AllowedRegions, Account: account.AllowedRegions}
}

// reserveSilent reserves the endpoint that the last fail-over has left if the request would otherwise fail
// with the outcome: the endpoint may have been sound and only silent.
func (x *exchange) reserveSilent(result outcome) bool {
	if x.silent == "" {
		return false
	}
	// Without a started response, the caller gets a failed endpoint's own response, and may itself retry one
	// that broke.
	if !x.responseStarted && (x.failedResponse != nil || result != notSent && result != notRun) {
		return false
	}
	next, ok := x.selectFrom(placeRequest{only: x.silent})
	if !ok {
		return false
	}
	x.log("Returning to a silent endpoint.", "Endpoint", x.silent, "After", result, "LastEvent", x.lastEvent)
	x.reserved, x.silent = &next, ""
	return true
}

func (x *exchange) takeReserved() (selection, bool) {
	if x.reserved == nil {
		return selection{}, false
	}
	next := *x.reserved
	x.reserved = nil
	return next, true
}

func (x *exchange) releaseReserved() {
	if next, ok := x.takeReserved(); ok {
		x.daemon.tables.release(next.placed)
	}
}

// failWithoutEndpoint ends a request that no endpoint can get. If all endpoints of the service reject requests,
// the caller is told when the first one takes them again.
func (x *exchange) failWithoutEndpoint() {
	now := x.daemon.clock.now()
	opensAt := x.daemon.tables.opensAt(x.service, x.homes(), now)
	if opensAt.IsZero() || x.responseStarted || x.failedResponse != nil || x.mayHaveRun {
		reason := "NoEndpoint"
		if why, barred := x.daemon.tables.barred(x.service, x.homes(), now); barred {
			reason = string(why)
		}
		x.fail(notSent, reason)
		return
	}
	x.refuse(http.StatusServiceUnavailable, "EndpointsReject",
		admit.RetryAt(opensAt, noEndpointRetry, x.waitsUntil().Sub(now), now), "OpensAt", opensAt)
}

// waitsUntil returns until when the caller waits for the answer. The route's timeout ends the request, not the
// caller's wait.
func (x *exchange) waitsUntil() time.Time {
	if x.call.Deadline.IsZero() {
		return x.deadline
	}
	return x.call.Deadline
}

// checkAdmission decides whether the request may go to the selected endpoint, by its predicted wait.
func (x *exchange) checkAdmission(picked choice.Picked, responseStarted bool) admit.Decision {
	now := x.daemon.clock.now()
	if responseStarted {
		// A response that has started is always completed.
		return admit.Decision{Admitted: true}
	}
	return admit.Decide(admit.Request{
		Wait: milliseconds(picked.Wait), Own: milliseconds(picked.Own()),
		Target: x.route.LatencyTarget, Left: x.deadline.Sub(now), Rank: x.route.Priority,
		Answer: x.answerTime(picked), StopAt: x.daemon.stopTime(), Spent: x.standing.spent, Expected: x.standing.expected,
		Standing: x.standing.division, UrgentTarget: x.standing.urgentTarget,
	}, now)
}

// answerTime returns how long the answer may take after it has begun.
func (x *exchange) answerTime(picked choice.Picked) time.Duration {
	if x.engine() == nil {
		return x.route.LatencyTarget
	}
	return milliseconds(picked.Answer)
}

// refuseOverload refuses a request that no endpoint has the capacity to serve in time, or before the daemon stops.
func (x *exchange) refuseOverload(verdict admit.Decision, next selection) {
	if x.mayHaveRun || x.failedResponse != nil {
		x.fail(broken, overloadReason(verdict))
		return
	}
	fields := []any{
		"Predicted", int(next.picked.Wait), "Limit", verdict.Limit.Milliseconds(), "Load", next.picked.Candidate.Load.Requests,
	}
	retryAt := verdict.RetryAt
	if !verdict.Stopping {
		d := x.daemon
		promised := d.tables.refuse(x.demandKey(), admit.Return{
			Work: next.placed.work, Earliest: verdict.EarliestRetry, Deadline: x.waitsUntil(),
		}, d.random(), d.clock.now())
		retryAt = promised.RetryAt
		fields = append(fields, "Standing", x.standing.division, "Share", x.standing.share, "Returned", x.standing.returned, "Slot", promised.Slot, "Room", promised.Room,
			"Work", int(1000*next.placed.work), "Offered", promised.Offered, "Capacity", promised.Capacity, "Usual", promised.Usual)
		x.countOverload(promised.Room)
	}
	x.refuse(http.StatusServiceUnavailable, overloadReason(verdict), retryAt, fields...)
}

func overloadReason(verdict admit.Decision) string {
	if verdict.Stopping {
		return "Draining"
	}
	return "Overload"
}

// countOverload counts a refusal for overload by whether the request seems to have been refused before.
func (x *exchange) countOverload(room bool) {
	m := x.daemon.meters
	if x.standing.division != share.Undivided {
		m.count("Overload." + x.standing.division.String())
	}
	if x.standing.returned {
		m.count("Overload.Again")
	} else {
		m.count("Overload.First")
	}
	if room {
		m.count("Retries.Promised")
	} else {
		m.count("Retries.WithoutRoom")
	}
}

func milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}

// mayRepeat reports whether the request may be sent again although it may have run.
func (x *exchange) mayRepeat() bool { return x.route.Repeatable() }

// requestRetry requests another attempt from the retry budget and waits for its backoff.
func (x *exchange) requestRetry(result outcome, sends int) bool {
	at, granted := x.grantRetry(result, sends, 0)
	if granted {
		sleep(x.request.Context(), at.Sub(x.daemon.clock.now()))
	}
	return granted
}

// grantRetry requests another attempt, and extra ones after it, from the retry budget and returns the end of the
// backoff. It may be called while the response is being read, so it reads no field that changes then.
func (x *exchange) grantRetry(result outcome, sends, extra int) (time.Time, bool) {
	if x.retryBarred(result, sends) {
		return time.Time{}, false
	}
	d := x.daemon
	now := d.clock.now()
	command := d.budget.requestRetry(retry.Attempt{
		Request: x.call.ID, Account: x.service, Number: sends, Repeatable: x.mayRepeat(),
		Sent: result != notRun, Extra: extra, LatestStart: x.deadline,
	}, now, d.random())
	switch c := command.(type) {
	case retry.Retry:
		x.log("Retrying.", "After", result, "Sends", sends)
		return c.At, true
	case retry.GiveUp:
		x.log("Not retried.", "After", result, "Sends", sends, "Reason", c.Reason)
	}
	return time.Time{}, false
}

// retryBarred reports whether the request may crash another endpoint.
func (x *exchange) retryBarred(result outcome, sends int) bool {
	if x.daemon.tables.quarantined(x.suspect, x.daemon.clock.now()) {
		return true
	}
	if v, rejected := x.partRejected(); rejected {
		x.log("Not retried.", append([]any{"After", result, "Sends", sends, "Reason", "PartQuarantined"}, x.partFields(v.Part)...)...)
		return true
	}
	return false
}

// fail ends a request without a complete response.
func (x *exchange) fail(result outcome, reason string) {
	now := x.daemon.clock.now()
	switch {
	case x.responseStarted:
		x.log("Response aborted.", "Reason", reason, "LastEvent", x.lastEvent)
		x.daemon.meters.count("Answers.BrokenOff")
		x.abort()
	case x.failedResponse != nil:
		x.log("Failure forwarded.", "Status", x.failedResponse.status, "Reason", reason)
		x.failedResponse.write(x.writer)
	case !x.mayHaveRun:
		x.refuse(http.StatusServiceUnavailable, reason, now.Add(noEndpointRetry))
	case result == deadlinePassed:
		x.refuse(http.StatusGatewayTimeout, reason, time.Time{})
	default:
		x.refuse(http.StatusBadGateway, reason, time.Time{})
	}
	x.countLostResponse()
}

// countLostResponse counts a request whose response was lost for the usage report if the endpoint still accepts
// connections: its process lives and has most likely run the request. Of those at an endpoint that has crashed, most
// were still waiting.
func (x *exchange) countLostResponse() {
	d := x.daemon
	if x.lost == nil || x.usageCounted || x.account.Name == "" {
		return
	}
	// The caller does not wait for the check.
	_ = http.NewResponseController(x.writer).Flush()
	ctx, cancel := context.WithTimeout(d.ended, lostCheckTimeout)
	defer cancel()
	c, err := d.pool.dial(ctx, x.lost.address)
	if err != nil {
		x.log("Not counted.", "Reason", "EndpointUnreachable", "Error", err.Error())
		return
	}
	d.pool.put(c, http.Header{})
	x.usageCounted = true
	d.tables.countUsage(x.account.Name, x.lost.at)
	x.log("Counted without a response.")
}

// abort breaks off a response that has begun, so that the caller notices.
func (x *exchange) abort() {
	if !x.request.ProtoAtLeast(1, 1) {
		// Without chunks, the end of the connection is that of the response. Only a reset is an error.
		if conn, _, err := http.NewResponseController(x.writer).Hijack(); err == nil {
			if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// recordHealth records the outcome of an attempt for the endpoint's health and logs a change of its
// state.
func (x *exchange) recordHealth(endpoint setup.Endpoint, kind health.OutcomeKind, picked choice.Picked, sentAt time.Time) {
	now := x.daemon.clock.now()
	for _, c := range x.daemon.tables.recordHealth(endpoint, kind, milliseconds(picked.Wait), now.Sub(sentAt), now) {
		if changed, ok := c.(health.Changed); ok {
			x.daemon.logger.WithName("health").Info("Health changed.", "Endpoint", changed.Instance,
				"State", changed.Status.State, "Reason", changed.Reason, "AvoidUntil", changed.Status.AvoidUntil)
		}
	}
}

// enginePriority ranks the request for an engine's queue, from 0 for the most urgent to 9. The client
// account's rank takes precedence over the route's.
func (x *exchange) enginePriority() int {
	const (
		accountStep = 3
		leastUrgent = 9
	)
	rank := x.route.Priority
	if x.account.Priority >= 0 {
		rank += x.account.Priority * accountStep
	}
	return min(rank, leastUrgent)
}

// countUsage counts the request for the usage report, once.
func (x *exchange) countUsage() {
	if x.usageCounted || x.account.Name == "" {
		return
	}
	x.usageCounted = true
	if x.race != nil && !x.race.usageCounted.CompareAndSwap(false, true) {
		return
	}
	x.daemon.tables.countUsage(x.account.Name, x.daemon.clock.wallNow())
}
