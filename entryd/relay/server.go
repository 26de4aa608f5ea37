package relay

import (
	"errors"
	"net/http"
	"time"

	"lentilstage.dev/decide/admit"
	"lentilstage.dev/domain/setup"
	"lentilstage.dev/entryd/gate"
)

const (
	// defaultMaxBodyBytes limits a request's body if the configuration states no limit.
	defaultMaxBodyBytes = 4 << 20
	// noConfigRetryDelay is the delay after which a caller may retry at a daemon without a
	// configuration, or without the newest one.
	noConfigRetryDelay = 300 * time.Millisecond
	// noRoomRetryDelay is the delay after which a caller may retry a request for whose body there was no room.
	noRoomRetryDelay = 500 * time.Millisecond
)

// serveReady answers the balancer's health checks.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.draining.Load() || !d.tables.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveCaller serves one request of a caller.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) { d.serveRequest(w, r, nil) }

// serveRequest serves one request of a caller, or of another daemon's caller if handed describes it.
func (d *Daemon) serveRequest(w http.ResponseWriter, r *http.Request, handed *handOver) {
	d.openRequests.Add(1)
	defer d.openRequests.Add(-1)
	now := d.clock.now()
	d.lastRequest.Store(int64(d.age(now)))
	conn := gate.FromContext(r.Context())
	if conn != nil {
		// The request may have waited since, for the processor or behind another one on its connection.
		now = conn.Arrived()
	}
	// The endpoint's header is forwarded unchanged; the server must add nothing to it.
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	d.meters.count("Requests.Received")
	call, err := d.codec.ReadCall(r, now)
	x := &exchange{daemon: d, conn: conn, writer: w, request: r, call: call, arrived: now, tried: map[string]bool{}, unreached: map[string]bool{}, handed: handed}
	if handed != nil {
		x.sends, x.mayHaveRun = handed.Sends, handed.Sends > 0
		for _, id := range handed.Tried {
			x.tried[id] = true
		}
	}
	defer func() { x.call.Body.Release() }()
	if err != nil {
		x.refuse(http.StatusBadRequest, "Malformed", time.Time{}, "Error", err.Error())
		return
	}
	if x.admit() {
		x.serve()
	}
}

// admit finds the request's route and client account, reads its body and takes its cost from the
// allowance. If one of these steps fails, it refuses the request and returns false.
func (x *exchange) admit() bool {
	d := x.daemon
	x.config = d.tables.currentConfig()
	if x.config == nil {
		x.refuse(http.StatusServiceUnavailable, "NoConfiguration", x.arrived.Add(noConfigRetryDelay))
		return false
	}
	var ok bool
	if x.route, ok = x.config.Match(x.call.Host, x.call.Path); !ok {
		x.refuseUnknown(http.StatusNotFound, "NoRoute", "Path", x.call.Path)
		return false
	}
	if x.config.HasAccounts() && !x.route.Public {
		if x.account, ok = x.config.AccountByKey(x.call.Credential); !ok {
			x.refuseUnknown(http.StatusUnauthorized, "UnknownKey")
			return false
		}
	} else {
		x.account = setup.Account{Priority: -1}
	}
	x.deadline = x.arrived.Add(x.route.Timeout)
	if !x.call.Deadline.IsZero() && x.call.Deadline.Before(x.deadline) {
		x.deadline = x.call.Deadline
	}
	if !d.clock.now().Before(x.deadline) {
		x.refuse(http.StatusServiceUnavailable, "Late", time.Time{})
		return false
	}
	if x.conn != nil && x.account.Name != "" && x.request.ContentLength != 0 {
		x.conn.SetOwner(x.account.Name)
	}
	if !x.readBody() {
		return false
	}
	x.suspect, x.parts = suspectKey(x.call), partKeys(x.call.Parts)
	if x.refuseQuarantined() || x.refusePoisoned() {
		return false
	}
	now := d.clock.now()
	cost := x.account.Cost(x.call.PromptTokens + x.call.AnswerTokens)
	if d.closing.Load() {
		x.refuse(http.StatusServiceUnavailable, "Draining", now.Add(admit.StopRetryDelay))
		return false
	}
	if x.handed != nil {
		// The daemon that has handed the request over has taken its cost.
		return true
	}
	verdict := d.tables.takeAllowance(x.account.Name, cost, now)
	if !verdict.Admitted {
		x.refuse(http.StatusTooManyRequests, "OverAllowance", verdict.RetryAt, "Cost", cost, "Level", verdict.Level)
		return false
	}
	x.cost = cost
	return true
}

// refuseUnknown refuses a request whose route or key the configuration does not have. If a newer version is known and
// missing here, that one may have it, and the caller is asked to retry.
func (x *exchange) refuseUnknown(status int, reason string, fields ...any) {
	fields = append(x.configFields(), fields...)
	if x.daemon.freshness.outdated(x.config.Version) {
		x.refuse(http.StatusServiceUnavailable, "ConfigurationOutdated", x.arrived.Add(noConfigRetryDelay), append(fields, "Lacks", reason)...)
		return
	}
	x.refuse(status, reason, time.Time{}, fields...)
}

// configFields returns the log fields that tell how current the configuration is by which a request is refused: who read
// it last, how long ago, and the newest version that a daemon has reported.
func (x *exchange) configFields() []any {
	d := x.daemon
	now := d.clock.now()
	hub, isHub := d.members.currentHub(now)
	readAt, own := d.freshness.lastRead(Operators, isHub)
	reader := hub.Name
	if isHub {
		other, _ := d.members.reader(now)
		reader = other.Name
	}
	if own {
		reader = d.settings.Name
	}
	return []any{"ReadBy", reader, "ReadMilliseconds", ageMS(readAt, now), "Announced", d.freshness.announced()}
}

// readBody reads the request's body by the request's deadline. It returns false if the body is too
// large or too slow, and aborts the request if the caller has left.
func (x *exchange) readBody() bool {
	limit := int64(defaultMaxBodyBytes)
	if x.config.Limits.MaxBodyBytes > 0 {
		limit = x.config.Limits.MaxBodyBytes
	}
	body, read, err := gate.ReadBody(x.request, limit, time.Now().Add(x.deadline.Sub(x.daemon.clock.now())))
	switch {
	case errors.Is(err, gate.ErrNoRoom) || errors.Is(err, gate.ErrShed):
		x.refuse(http.StatusServiceUnavailable, "NoBodyRoom", x.daemon.clock.now().Add(noRoomRetryDelay), "Read", read)
		return false
	case gate.IsTimeout(err):
		x.refuse(http.StatusRequestTimeout, "BodyTooSlow", time.Time{}, "Read", read)
		return false
	case errors.Is(err, gate.ErrTooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, "BodyTooLarge", time.Time{}, "Limit", limit)
		return false
	case err != nil:
		x.log("Caller left.", "Reason", "BodyNotRead", "Error", err.Error())
		panic(http.ErrAbortHandler)
	}
	x.call.Body = body
	return true
}

// refuse ends a request with a response of the daemon's own. Status codes 429 and 503 mean that the
// request has not run.
func (x *exchange) refuse(status int, reason string, retryAt time.Time, fields ...any) {
	d := x.daemon
	now := d.clock.now()
	if x.cost > 0 && !x.mayHaveRun {
		d.tables.returnAllowance(x.account.Name, x.cost)
	}
	for name, values := range d.codec.RefusalHeader(x.call, retryAt, now) {
		x.writer.Header()[name] = values
	}
	x.writer.Header().Set("Content-Length", "0")
	x.writer.WriteHeader(status)
	d.meters.count("Refused." + reason)
	d.meters.observe("Refusal.Milliseconds", now.Sub(x.arrived))
	x.log("Refused.", append([]any{"Status", status, "Reason", reason, "RetryAt", retryAt, "MayHaveRun", x.mayHaveRun}, fields...)...)
}

// log writes a line about the request.
func (x *exchange) log(message string, fields ...any) {
	version := int64(0)
	if x.config != nil {
		version = x.config.Version
	}
	x.daemon.logger.WithName("request").Info(message, append([]any{
		"Request", x.call.ID, "Route", x.route.Name, "Account", x.account.Name, "Config", version,
		"AgeMilliseconds", x.daemon.clock.now().Sub(x.arrived).Milliseconds(),
	}, fields...)...)
}

// logArrival logs the inputs of the decisions about the request, from which lsbench record builds a
// load.
func (x *exchange) logArrival() {
	if !x.daemon.logger.V(1).Enabled() {
		return
	}
	request := choiceRequest(x.config, x.service, x.call)
	x.daemon.logger.WithName("request").V(1).Info("Admitted.", "Request", x.call.ID, "Route", x.route.Name,
		"Service", x.service, "Model", request.Model, "Prompt", request.Prompt, "Shared", request.Shared,
		"Answer", request.Answer, "Session", request.Session, "Target", x.route.LatencyTarget.Milliseconds(),
		"Left", x.deadline.Sub(x.arrived).Milliseconds(), "Rank", x.route.Priority)
}
