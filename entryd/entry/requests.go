package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"

	"lentilstage.dev/decide/config"
	"lentilstage.dev/decide/health"
	"lentilstage.dev/decide/hold"
	"lentilstage.dev/decide/limit"
	"lentilstage.dev/decide/retry"
	"lentilstage.dev/decide/route"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/domain/value"
	"lentilstage.dev/wire/client"
	"lentilstage.dev/wire/wire"
)

type (
	// requests manages the model requests that this daemon serves.
	requests struct {
		base      *Base
		logger    logr.Logger
		control   *control
		members   *members
		peers     *peers
		endpoints *endpoints
		limits    *limits
		retries   *retries
		rollouts  *rollouts
		crashes   *crashes
		holder    *holder
		outbox    *outbox

		mu    sync.Mutex
		owned map[string]*ownedRequest
		// finished are the requests that have ended, oldest first.
		finished []*ownedRequest
		// workers tracks the goroutines that work for requests.
		workers sync.WaitGroup
	}
)

const (
	// answerRetention is how long a finished answer stays readable.
	answerRetention = 10 * time.Minute
	// endpointRetryInterval is the pause before the next attempt to choose an endpoint.
	endpointRetryInterval = 100 * time.Millisecond
	// cancelTimeout bounds the call that cancels an attempt at its engine.
	cancelTimeout = time.Second
)

var errShortStream = eris.Wrap(io.ErrUnexpectedEOF, "the stream ended without a finish reason")

func newRequests(i do.Injector) (*requests, error) {
	b := do.MustInvoke[*Base](i)
	r := &requests{
		base: b, logger: b.Logger.WithName("requests"),
		control: do.MustInvoke[*control](i), members: do.MustInvoke[*members](i),
		peers: do.MustInvoke[*peers](i), endpoints: do.MustInvoke[*endpoints](i),
		limits: do.MustInvoke[*limits](i), retries: do.MustInvoke[*retries](i),
		rollouts: do.MustInvoke[*rollouts](i), crashes: do.MustInvoke[*crashes](i),
		holder: do.MustInvoke[*holder](i),
		owned:  make(map[string]*ownedRequest),
	}
	r.outbox = newOutbox(r)
	r.crashes.refuse = r.endQuarantined
	return r, nil
}

// open admits and starts a new request, or returns the existing one with the same identifier and
// body. The permit is checked again after the request has waited for its admission.
func (r *requests) open(permit config.Permit, record wire.HeldRequest, chat wire.ChatRequest, startBy time.Time) (*ownedRequest, *codes.Refusal) {
	if existing, refusal := r.existing(record); existing != nil || refusal != nil {
		return existing, refusal
	}
	if refusal := r.crashes.refusal(record.Fingerprint); refusal != nil {
		return nil, refusal
	}
	r.retries.countRequest(record.Account)
	r.rollouts.countRequest(record.Route)
	refusal := r.limits.admit(limit.Request{
		ID: record.RequestID, Account: record.Account, Priority: record.Priority,
		Deadline: record.Deadline, StartBy: startBy,
	})
	if refusal != nil {
		return nil, refusal
	}
	admitted := r.base.Now()
	if refusal := r.control.checkPermit(permit); refusal != nil {
		r.limits.ended(record.Account, admitted)
		return nil, refusal
	}
	return r.startServing(record, chat)
}

// existing returns the request with the same identifier, if there is one, or a refusal if that
// request has another account or body.
func (r *requests) existing(record wire.HeldRequest) (*ownedRequest, *codes.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.existingLocked(record)
}

func (r *requests) existingLocked(record wire.HeldRequest) (*ownedRequest, *codes.Refusal) {
	found, ok := r.owned[record.RequestID]
	if !ok || found.ownedElsewhere() {
		return nil, nil
	}
	if found.account != record.Account || found.fingerprint != record.Fingerprint {
		return nil, codes.Refuse(codes.RequestIDReused, "request identifier %s was used with another body", record.RequestID)
	}
	return found, nil
}

// startServing starts serving a new request or one that was taken over.
func (r *requests) startServing(record wire.HeldRequest, chat wire.ChatRequest) (*ownedRequest, *codes.Refusal) {
	r.mu.Lock()
	if found, refusal := r.existingLocked(record); found != nil || refusal != nil {
		r.mu.Unlock()
		return found, refusal
	}
	if !r.evictFinishedLocked() {
		r.mu.Unlock()
		return nil, codes.Refuse(codes.QueueFull, "this daemon already serves %d requests", r.base.Settings.MaxRequests).
			WithRetryAt(r.base.Now().Add(retryDelay))
	}
	ctx, cancel := context.WithDeadline(context.Background(), record.Deadline)
	started := &ownedRequest{
		requests: r, id: record.RequestID, account: record.Account, fingerprint: record.Fingerprint,
		route: record.Route, priority: record.Priority, deadline: record.Deadline, chat: chat,
		ctx: ctx, cancel: cancel, callers: make(map[int64]*callerQueue),
		attempts: make(map[ident.AttemptID]*activeAttempt), tried: value.NewSet[string](),
		failedHolders: make(map[string]time.Time), ended: make(chan struct{}), released: make(chan wire.HeldRequest, 1),
	}
	r.owned[record.RequestID] = started
	r.mu.Unlock()
	r.base.Counters.accepted.Inc(1)
	started.mu.Lock()
	owned, commands := hold.NewOwned(record, r.base.Settings.Name, ident.NewRecordID()[:8])
	started.owned = owned
	r.holder.update(hold.OwnershipAcquired{Record: owned.Record})
	started.execute(commands)
	started.endIfAcked()
	started.mu.Unlock()
	begun := r.base.Now()
	r.workers.Go(func() { r.supervise(started, begun) })
	return started, nil
}

// evictFinishedLocked evicts finished requests, oldest first, until another request fits. It
// returns false if there is no capacity even then.
func (r *requests) evictFinishedLocked() bool {
	for len(r.owned) >= r.base.Settings.MaxRequests && len(r.finished) > 0 {
		oldest := r.finished[0]
		r.finished = r.finished[1:]
		r.removeLocked(oldest)
	}
	return len(r.owned) < r.base.Settings.MaxRequests
}

// removeLocked removes a finished request.
func (r *requests) removeLocked(finished *ownedRequest) {
	if r.owned[finished.id] != finished {
		return
	}
	delete(r.owned, finished.id)
	r.holder.update(hold.OwnershipReleased{RequestID: finished.id})
}

// supervise waits for the end of a request, or aborts it at its deadline.
func (r *requests) supervise(owned *ownedRequest, begun time.Time) {
	select {
	case <-owned.ended:
	case <-owned.ctx.Done():
		owned.abort(codes.AnswerIncomplete)
		r.waitForEnd(owned)
	}
	r.mu.Lock()
	r.finished = append(r.finished, owned)
	r.mu.Unlock()
	r.limits.ended(owned.account, begun)
	record := owned.record()
	if record.Finish != "" {
		r.base.Counters.finished.Inc(1)
	} else {
		r.base.Counters.incomplete.Inc(1)
	}
	r.base.emit(event.Event{
		Kind: "RequestFinished", Request: owned.id, Account: owned.account, Route: owned.route,
		Reason:  cmp.Or(record.Finish, codes.Code(record.Refusal).Info().Name, "moved to another daemon"),
		Numbers: []event.Number{{Name: "Tokens", Value: float64(len(record.Tokens))}},
	})
}

// waitForEnd waits a short time for the holder to acknowledge the end, and then ends the request in
// any case.
func (r *requests) waitForEnd(owned *ownedRequest) {
	timer := time.NewTimer(4 * holdTimeout)
	defer timer.Stop()
	select {
	case <-owned.ended:
	case <-timer.C:
		owned.mu.Lock()
		owned.end()
		owned.mu.Unlock()
	}
}

// endQuarantined ends a request that has been quarantined.
func (r *requests) endQuarantined(id string) {
	r.mu.Lock()
	owned, ok := r.owned[id]
	r.mu.Unlock()
	if ok {
		owned.abort(codes.Quarantined)
	}
}

// find returns the account's request with the identifier, if this daemon serves it.
func (r *requests) find(account, id string) (*ownedRequest, bool) {
	r.mu.Lock()
	found, ok := r.owned[id]
	r.mu.Unlock()
	if !ok || found.account != account || found.ownedElsewhere() {
		return nil, false
	}
	return found, true
}

// count returns the number of requests on this daemon, including finished ones.
func (r *requests) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.owned)
}

// all returns the requests sorted by identifier.
func (r *requests) all() []*ownedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]*ownedRequest, 0, len(r.owned))
	for _, o := range r.owned {
		runs = append(runs, o)
	}
	slices.SortFunc(runs, func(a, b *ownedRequest) int { return cmp.Compare(a.id, b.id) })
	return runs
}

// sweep removes finished requests whose retention has ended.
func (r *requests) sweep() {
	now := r.base.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.finished) > 0 && now.After(r.finished[0].expiry()) {
		oldest := r.finished[0]
		r.finished = r.finished[1:]
		r.removeLocked(oldest)
	}
}

// handOverAll releases all requests in progress to the daemons to which their callers reconnect.
// The holders have every token that a caller has received.
func (r *requests) handOverAll() {
	for _, o := range r.all() {
		o.mu.Lock()
		active := !o.isEnded
		o.mu.Unlock()
		if active {
			o.release("")
		}
	}
}

// runAttempt sends the request to one endpoint and applies the chunks of its stream. It returns
// after the stream has ended and the backoff of the retry budget has passed.
func (r *requests) runAttempt(ctx context.Context, owned *ownedRequest, c hold.StartAttempt, failures int) {
	next, ready := owned.takeHandoff()
	if !ready {
		var ok bool
		if next.target, ok = r.chooseEndpoint(ctx, owned, c.Resume); !ok {
			return
		}
	}
	chosen := next.target
	owned.setAttemptTarget(c.Attempt, chosen)
	stats, err := r.stream(ctx, owned, c, next)
	r.base.Counters.recordStream(stats, err != nil)
	r.crashes.recordEnd(owned, chosen, err == nil)
	if stats.tokens > 0 {
		r.limits.chargeTokens(owned.account, stats.tokens)
	}
	if ctx.Err() != nil && err != nil {
		r.cancelAttempt(chosen, c.Attempt)
		return
	}
	avoid := r.reportAttempt(owned, chosen, stats, err)
	if err == nil {
		return
	}
	r.base.recordRejected(chosen.Instance.ID, err)
	r.base.emit(event.Event{
		Kind: "AttemptFailed", Request: owned.id, Route: owned.route,
		Version: chosen.Version, Endpoint: chosen.Instance.ID, Reason: err.Error(),
	})
	if stats.tokens > 0 {
		failures = 0
	}
	owned.mu.Lock()
	owned.tried = owned.tried.With(chosen.Instance.ID).With(avoid...)
	owned.failures = failures + 1
	owned.mu.Unlock()
	at, _ := r.retries.next(retry.Attempt{
		Request: owned.id, Account: owned.account, Number: failures + 1,
		Repeatable: true, Sent: true, Accepted: true,
	}, r.endpoints.isLeaving(chosen.Instance.ID))
	sleep(ctx, at.Sub(r.base.Now()))
}

// chooseEndpoint returns the endpoint of an attempt and emits the reason. It retries until an
// endpoint is available, because an accepted request is not abandoned before its deadline.
func (r *requests) chooseEndpoint(ctx context.Context, owned *ownedRequest, resume []string) (target, bool) {
	request := owned.routingRequest(resume)
	for ctx.Err() == nil {
		chosen, reason, ok := r.placeAttempt(owned, request)
		if ok {
			r.emitChoice(owned, chosen, reason)
			return chosen, true
		}
		owned.mu.Lock()
		retried := owned.tried.Len() > 0
		owned.tried = value.NewSet[string]()
		owned.mu.Unlock()
		if !retried {
			r.emitChoice(owned, chosen, reason)
			sleep(ctx, endpointRetryInterval)
		}
	}
	return target{}, false
}

// placeAttempt chooses an endpoint. If there are crash suspects, it also records the placement.
func (r *requests) placeAttempt(owned *ownedRequest, request route.Request) (target, route.Reason, bool) {
	state := r.control.State()
	split, at := r.rollouts.split(state, state.Routes[owned.route])
	request.Split, request.Tried = split, owned.triedEndpoints()
	if r.crashes.suspectCount() > 0 {
		// Without this lock, two suspects that are placed concurrently could get the same endpoint.
		r.crashes.placementMu.Lock()
		defer r.crashes.placementMu.Unlock()
		request.Tried = append(request.Tried, r.crashes.forbiddenEndpoints(owned.fingerprint, r.endpoints.engineNames())...)
	}
	chosen, reason, ok := r.endpoints.chooseEngine(state, request)
	if !ok {
		return target{}, reason, false
	}
	if reason.Result == route.Chosen {
		chosen.Place = at
	}
	r.crashes.recordPlacement(owned, chosen)
	return chosen, reason, true
}

// stream opens an attempt's stream and applies its chunks to the request.
func (r *requests) stream(ctx context.Context, owned *ownedRequest, c hold.StartAttempt, to handoff) (streamStats, error) {
	f := streamStats{started: r.base.Now(), resumed: len(c.Resume) > 0}
	r.base.Counters.attempts.Inc(1)
	chosen := to.target
	r.endpoints.beginRequest(chosen.Instance.ID)
	defer r.endpoints.endRequest(chosen.Instance.ID)
	chat := owned.chat
	chat.Model, chat.Stream, chat.Resume = chosen.Version, true, c.Resume
	r.base.emit(event.Event{
		Kind: "AttemptStarted", Request: owned.id, Account: owned.account,
		Route: owned.route, Version: chosen.Version, Endpoint: chosen.Instance.ID,
		Numbers: []event.Number{{Name: "Resumed", Value: float64(len(c.Resume))}},
	})
	stream, err := client.OpenStream(client.StreamRequest{
		Address: chosen.Instance.Address, RequestID: owned.id, AttemptID: string(c.Attempt),
		Priority: owned.priority, KVHandle: to.handle, Chat: chat,
		FirstEventTimeout: firstChunkLimit, IdleTimeout: idleLimit,
	})
	if err != nil {
		return f, err
	}
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	defer stream.Close()
	for {
		next, err := stream.Next()
		if errors.Is(err, io.EOF) || string(next.Data) == wire.StreamDone {
			err = errShortStream
		}
		if err != nil {
			return f, err
		}
		finished, err := owned.applyChunk(next.Data, &f)
		if err != nil || finished {
			return f, err
		}
	}
}

// applyChunk applies one chunk to the request. It reports whether the stream has ended.
func (o *ownedRequest) applyChunk(data []byte, f *streamStats) (bool, error) {
	var chunk wire.ChatChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return false, eris.Wrap(err, "decode chunk")
	}
	if len(chunk.Choices) == 0 {
		return false, nil
	}
	attempt := ident.AttemptID(chunk.ID)
	choice := chunk.Choices[0]
	if choice.Delta.Content != "" {
		o.update(hold.Chunk{Attempt: attempt, Offset: chunk.Offset, Token: choice.Delta.Content})
		now := o.requests.base.Now()
		o.countToken(attempt, now)
		f.addToken(now)
	}
	if chunk.Usage != nil {
		o.addUsage(*chunk.Usage)
		if f.resumed {
			o.requests.base.Counters.recomputed.Inc(int64(chunk.Usage.ComputedTokens))
		}
	}
	if choice.FinishReason != nil {
		o.update(hold.AttemptFinished{Attempt: attempt, Tokens: chunk.Offset, Reason: *choice.FinishReason})
	}
	o.requests.outbox.markDirty(o)
	return choice.FinishReason != nil, nil
}

// cancelAttempt cancels an attempt at its engine. A failed call does no harm, because the engine
// also sees the closed connection.
func (r *requests) cancelAttempt(chosen target, attempt ident.AttemptID) {
	err := client.Engine{Address: chosen.Instance.Address}.Cancel(r.base.Now().Add(cancelTimeout), string(attempt))
	if err != nil {
		r.logger.V(1).Info("Cancel failed.", "instance", chosen.Instance.ID, "error", err.Error())
	}
}

// emitChoice emits the reason for the choice of an endpoint.
func (r *requests) emitChoice(owned *ownedRequest, chosen target, reason route.Reason) {
	r.base.emit(event.Event{
		Kind: "EndpointChosen", Request: owned.id, Account: owned.account,
		Route: owned.route, Version: reason.Version, Endpoint: chosen.Instance.ID,
		Reason: string(reason.Result), Numbers: reason.Numbers,
	})
}

// reportAttempt reports the result of an attempt to health, version moves and crash attribution. It
// returns further endpoints that the request should avoid. A failure at a leaving endpoint counts
// against neither the endpoint nor its version, because a reclaim is not their fault.
func (r *requests) reportAttempt(owned *ownedRequest, chosen target, f streamStats, err error) []string {
	if err != nil && r.endpoints.isLeaving(chosen.Instance.ID) {
		r.rollouts.recordAttempt(chosen.Place, chosen.Version, attemptResult{Reclaimed: true})
		return nil
	}
	var status *client.StatusError
	kind := health.Succeeded
	var avoid []string
	switch {
	case err == nil:
		r.rollouts.recordAttempt(chosen.Place, chosen.Version, f.attemptResult(r.control.State().Routes[owned.route]))
	case errors.As(err, &status):
		kind = health.Failed
		r.rollouts.recordAttempt(chosen.Place, chosen.Version, attemptResult{Failed: status.Status >= 500})
	case errors.Is(err, client.ErrNotConnected):
		// The request was never in flight at the endpoint, so it cannot have caused a crash.
		kind = health.Unreachable
		r.rollouts.recordAttempt(chosen.Place, chosen.Version, attemptResult{Interrupted: true})
	default:
		kind = health.Unreachable
		decision, crashed := r.crashes.reportInterrupted(owned, chosen)
		if !crashed {
			r.rollouts.recordAttempt(chosen.Place, chosen.Version, attemptResult{Interrupted: true})
		}
		avoid = decision.Avoid
	}
	r.endpoints.updateHealth(health.Outcome{
		Time: r.base.Now(), Instance: chosen.Instance.ID, Route: owned.route, Version: chosen.Version,
		Kind: kind, Predicted: chosen.Predicted, Actual: f.firstToken(),
	})
	return avoid
}
