package entry

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v2"

	"lentilstage.dev/decide/health"
	"lentilstage.dev/decide/retry"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/domain/value"
	"lentilstage.dev/wire/client"
	"lentilstage.dev/wire/wire"
)

// plainCall takes a call on a plain route. The path behind the route's name goes to the
// service as it is.
func (s *server) plainCall(c *fiber.Ctx) error {
	s.daemon.connections.Add(1)
	defer s.daemon.connections.Add(-1)
	s.base.Counters.calls.Inc(1)
	call, route, refusal := s.readCall(c)
	if refusal != nil {
		return sentNothing(refusal, c)
	}
	reply := s.daemon.call(call, route.Repeatable || isSafe(call.Method))
	if reply.Code != 0 {
		return replyRefusal(reply, s.base.Now())
	}
	if reply.Replayed {
		c.Set(wire.HeaderReplayed, "true")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(reply.Status).Send(reply.Body)
}

// readCall reads a plain call and checks whether it may be run here.
func (s *server) readCall(c *fiber.Ctx) (wire.CallRequest, table.Route, *codes.Refusal) {
	account := c.Locals(localAccount).(table.Account)
	call := wire.CallRequest{
		Account: account.Name, Key: c.Get(wire.HeaderIdempotencyKey),
		Method: c.Method(), Path: "/" + c.Params("*"), Body: append([]byte(nil), c.Body()...),
	}
	if query := string(c.Request().URI().QueryString()); query != "" {
		call.Path += "?" + query
	}
	if refusal := s.daemon.accepting(); refusal != nil {
		return call, table.Route{}, refusal
	}
	route, refusal := routeOf(s.daemon.control.State(), account, c.Params("route"), table.Plain)
	if refusal != nil {
		return call, route, refusal
	}
	call.Route = route.Name
	call.Deadline, refusal = s.deadline(c, defaultCallTime, maxCallTime)
	return call, route, refusal
}

// sentNothing returns the refusal of a call that was not tried. If the call has an
// idempotency key, an earlier attempt may have run, so the refusal must not say that it
// was not run.
func sentNothing(refusal *codes.Refusal, c *fiber.Ctx) *codes.Refusal {
	if c.Get(wire.HeaderIdempotencyKey) == "" || isSafe(c.Method()) {
		return refusal
	}
	next := refusal.WithOutcomeUnknown()
	next.Message += "; this attempt sent nothing; the same key may be used again"
	return next
}

// replyRefusal returns the refusal in a reply.
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

// isSafe reports whether the method is idempotent by its definition in HTTP.
func isSafe(method string) bool {
	return method == fiber.MethodGet || method == fiber.MethodHead
}

// callRepeatable sends a repeatable call, again at another endpoint after a failure as far
// as the retry budget goes.
func (d *Daemon) callRepeatable(call wire.CallRequest) wire.CallReply {
	return repeater{
		choose: func(tried value.Set[string]) (target, bool) {
			state := d.control.State()
			return d.endpoints.choosePlain(state, state.Routes[call.Route], tried)
		},
		send: d.sendCall,
		failed: func(chosen target, err error) {
			d.base.emit(event.Event{
				Kind: "CallFailed", Account: call.Account, Route: call.Route,
				Endpoint: chosen.Instance.ID, Reason: err.Error(),
			})
		},
		arrived: d.retries.arrived,
		next: func(attempt retry.Attempt, endpoint string) (time.Time, *codes.Refusal) {
			return d.retries.next(attempt, d.endpoints.isLeaving(endpoint))
		},
		now: d.base.Now,
	}.run(call)
}

// repeater runs a repeatable call over the effects that it needs.
type repeater struct {
	choose  func(tried value.Set[string]) (target, bool)
	send    func(call wire.CallRequest, chosen target) (wire.CallReply, error)
	failed  func(chosen target, err error)
	arrived func(account string)
	// next returns the time of the attempt after the one that failed at an endpoint, or the
	// refusal that ends the call.
	next func(attempt retry.Attempt, endpoint string) (time.Time, *codes.Refusal)
	now  func() time.Time
}

// run sends the call until it is answered or given up. The refusal says "not run" only if no
// attempt has opened a connection.
func (r repeater) run(call wire.CallRequest) wire.CallReply {
	r.arrived(call.Account)
	tried, sent := value.NewSet[string](), false
	for number := 1; ; number++ {
		chosen, ok := r.choose(tried)
		if !ok {
			refusal := codes.Refuse(codes.NoEndpoint, "no endpoint of route %s is ready", call.Route)
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
		r.failed(chosen, err)
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

// sendCall sends one call once to the endpoint.
func (d *Daemon) sendCall(call wire.CallRequest, chosen target) (wire.CallReply, error) {
	const perAttempt = 5 * time.Second
	d.endpoints.begin(chosen.Instance.ID)
	defer d.endpoints.end(chosen.Instance.ID)
	deadline := earlier(call.Deadline, d.base.Now().Add(perAttempt))
	status, body, err := client.Plain(deadline, chosen.Instance.Address, call.Method, call.Path, nil, call.Body)
	outcome := health.Outcome{
		Time: d.base.Now(), Instance: chosen.Instance.ID, Route: call.Route, Version: chosen.Version, Kind: health.Succeeded,
	}
	if err != nil {
		outcome.Kind = health.Unreachable
	}
	d.endpoints.tell(outcome)
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

// routeOf returns the account's route with the name, or a refusal.
func routeOf(state table.State, account table.Account, name string, kind table.Kind) (table.Route, *codes.Refusal) {
	route, ok := state.Routes[name]
	if !ok || route.Kind != kind || !route.Allows(account.Name) {
		return table.Route{}, codes.Refuse(codes.RouteUnknown, "account %s has no %s route %q", account.Name, kind, name)
	}
	return route, nil
}
