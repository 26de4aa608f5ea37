package entry

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v2"

	"lentilstage.dev/decide/config"
	"lentilstage.dev/decide/health"
	"lentilstage.dev/decide/retry"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/domain/value"
	"lentilstage.dev/wire/client"
	"lentilstage.dev/wire/wire"
)

// plainCall handles a call on a plain route. The path after the route's name is passed to the
// service unchanged.
func (s *server) plainCall(c *fiber.Ctx) error {
	s.daemon.connections.Add(1)
	defer s.daemon.connections.Add(-1)
	s.base.Counters.calls.Inc(1)
	call, permit, route, refusal := s.readCall(c)
	if refusal != nil {
		return untriedRefusal(refusal, c)
	}
	reply := s.daemon.call(call, permit, route.Repeatable || isSafe(call.Method))
	if reply.Code != 0 {
		return replyRefusal(reply, s.base.Now())
	}
	if reply.Replayed {
		c.Set(wire.HeaderReplayed, "true")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(reply.Status).Send(reply.Body)
}

// readCall parses a plain call and checks whether it may run.
func (s *server) readCall(c *fiber.Ctx) (wire.CallRequest, config.Permit, table.Route, *codes.Refusal) {
	permit := c.Locals(localPermit).(config.Permit)
	call := wire.CallRequest{
		Account: permit.Account, KeyHash: permit.KeyHash, Key: c.Get(wire.HeaderIdempotencyKey),
		Method: c.Method(), Path: "/" + c.Params("*"), Body: append([]byte(nil), c.Body()...),
	}
	if query := string(c.Request().URI().QueryString()); query != "" {
		call.Path += "?" + query
	}
	if refusal := s.daemon.checkAccepting(); refusal != nil {
		return call, permit, table.Route{}, refusal
	}
	permit, route, refusal := s.daemon.control.authorize(permit, c.Params("route"), table.Plain)
	if refusal != nil {
		return call, permit, route, refusal
	}
	call.Route = route.Name
	call.Deadline, refusal = s.deadline(c, defaultCallTimeout, maxCallTimeout)
	return call, permit, route, refusal
}

// untriedRefusal returns the refusal of a call that was not attempted. If the call has an
// idempotency key, an earlier attempt may have run, so the refusal must not say "not run".
func untriedRefusal(refusal *codes.Refusal, c *fiber.Ctx) *codes.Refusal {
	if c.Get(wire.HeaderIdempotencyKey) == "" || isSafe(c.Method()) {
		return refusal
	}
	next := refusal.WithOutcomeUnknown()
	next.Message += "; this attempt sent nothing; the same key may be used again"
	return next
}

// replyRefusal converts a reply with a code to a refusal.
func replyRefusal(reply wire.CallReply, now time.Time) *codes.Refusal {
	refusal := codes.Refuse(codes.Code(reply.Code), "%s", reply.Message)
	if reply.Unknown {
		refusal = refusal.WithOutcomeUnknown()
	} else {
		refusal.NotRun, refusal.Outcome = true, codes.NotRun
	}
	switch refusal.Code {
	case codes.KeyMissing, codes.KeyFormat, codes.KeyReused, codes.KeyInFuture, codes.KeyExpired, codes.ClaimGivenUp:
		return refusal
	}
	return refusal.WithRetryAt(now.Add(retryDelay))
}

// isSafe reports whether HTTP defines the method as safe.
func isSafe(method string) bool {
	return method == fiber.MethodGet || method == fiber.MethodHead
}

// callRepeatable sends a repeatable call. After a failure it retries at another endpoint as far as
// the retry budget allows.
func (d *Daemon) callRepeatable(call wire.CallRequest, permit config.Permit) wire.CallReply {
	return callRetrier{
		choose: func(tried value.Set[string]) (target, *codes.Refusal) {
			state, refusal := d.control.permittedState(permit)
			if refusal != nil {
				return target{}, refusal
			}
			chosen, ok := d.endpoints.choosePlain(state, state.Routes[call.Route], tried)
			if !ok {
				if refusal = d.checkEvacuation(state.Routes[call.Route]); refusal == nil {
					refusal = codes.Refuse(codes.NoEndpoint, "no endpoint of route %s is ready", call.Route)
				}
			}
			return chosen, refusal
		},
		send: d.sendCall,
		onFailure: func(chosen target, err error) {
			d.base.emit(event.Event{
				Kind: "CallFailed", Account: call.Account, Route: call.Route,
				Endpoint: chosen.Instance.ID, Reason: err.Error(),
			})
		},
		countRequest: d.retries.countRequest,
		next: func(attempt retry.Attempt, endpoint string) (time.Time, *codes.Refusal) {
			return d.retries.next(attempt, d.endpoints.isLeaving(endpoint))
		},
		now: d.base.Now,
	}.run(call)
}

// callRetrier runs a repeatable call through the functions that it is given.
type callRetrier struct {
	// choose returns the endpoint of the next attempt, or a refusal if there is none or the call may
	// no longer be sent.
	choose       func(tried value.Set[string]) (target, *codes.Refusal)
	send         func(call wire.CallRequest, chosen target) (wire.CallReply, error)
	onFailure    func(chosen target, err error)
	countRequest func(account string)
	// next returns the time of the next attempt after one has failed at the endpoint, or the
	// refusal that ends the call.
	next func(attempt retry.Attempt, endpoint string) (time.Time, *codes.Refusal)
	now  func() time.Time
}

// run sends the call until it is answered or the retries end. The refusal says "not run" only if no
// attempt has opened a connection.
func (r callRetrier) run(call wire.CallRequest) wire.CallReply {
	r.countRequest(call.Account)
	tried, sent := value.NewSet[string](), false
	for number := 1; ; number++ {
		chosen, refusal := r.choose(tried)
		if refusal != nil {
			if sent {
				refusal = refusal.WithOutcomeUnknown()
			}
			return refusalReply(refusal)
		}
		tried = tried.With(chosen.Instance.ID)
		reply, err := r.send(call, chosen)
		if err == nil {
			return reply
		}
		sent = sent || !client.NotSent(err)
		r.onFailure(chosen, err)
		at, refusal := r.next(retry.Attempt{
			Request: call.Path, Account: call.Account, Number: number, Repeatable: true, Sent: sent,
			LatestStart: call.Deadline,
		}, chosen.Instance.ID)
		if refusal != nil {
			return refusalReply(refusal)
		}
		sleep(context.Background(), at.Sub(r.now()))
	}
}

// sendCall sends the call to the endpoint once.
func (d *Daemon) sendCall(call wire.CallRequest, chosen target) (wire.CallReply, error) {
	const attemptTimeout = 5 * time.Second
	d.endpoints.beginRequest(chosen.Instance.ID)
	defer d.endpoints.endRequest(chosen.Instance.ID)
	deadline := earlier(call.Deadline, d.base.Now().Add(attemptTimeout))
	status, body, err := client.CallPlain(deadline, chosen.Instance.Address, call.Method, call.Path, nil, call.Body)
	outcome := health.Outcome{
		Time: d.base.Now(), Instance: chosen.Instance.ID, Route: call.Route, Version: chosen.Version, Kind: health.Succeeded,
	}
	if err != nil {
		outcome.Kind = health.Unreachable
		d.base.recordRejected(chosen.Instance.ID, err)
	}
	d.endpoints.updateHealth(outcome)
	if err != nil {
		return wire.CallReply{}, err
	}
	return wire.CallReply{Status: status, Body: body}, nil
}

func refusalReply(refusal *codes.Refusal) wire.CallReply {
	return wire.CallReply{
		Code: int(refusal.Code), Message: refusal.Message, Unknown: !refusal.NotRun,
	}
}
