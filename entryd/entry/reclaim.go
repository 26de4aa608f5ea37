package entry

import (
	"context"
	"time"

	"lentilstage.dev/decide/hold"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/client"
	"lentilstage.dev/wire/wire"
)

type (
	// activeAttempt is the state of an attempt in progress.
	activeAttempt struct {
		cancel  context.CancelFunc
		target  target
		firstAt time.Time
		tokens  int
		// moving is set while the attempt is being moved to another endpoint.
		moving bool
	}

	// handoff is the endpoint that has the KV cache for the next attempt of a request.
	handoff struct {
		target target
		handle string
	}
)

const (
	// reclaimInterval is the pause between checks for streams at leaving endpoints.
	reclaimInterval = 200 * time.Millisecond
	// kvTransferTimeout bounds the export and import of a KV cache together.
	kvTransferTimeout = 5 * time.Second
)

// moveStreams moves streams away from endpoints that are about to stop.
func (r *requests) moveStreams() {
	for _, owned := range r.all() {
		for attempt, departing := range owned.departing() {
			r.moveStream(owned, attempt, departing)
		}
	}
}

// departing returns the attempts at leaving endpoints that are not being moved yet.
func (o *ownedRequest) departing() map[ident.AttemptID]activeAttempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isEnded {
		return nil
	}
	found := make(map[ident.AttemptID]activeAttempt)
	for id, a := range o.attempts {
		if a.target.Instance.ID != "" && !a.moving && o.requests.endpoints.isLeaving(a.target.Instance.ID) {
			found[id] = *a
		}
	}
	return found
}

// moveStream decides how to move a stream off its endpoint and starts the move.
func (r *requests) moveStream(owned *ownedRequest, id ident.AttemptID, a activeAttempt) {
	now := r.base.Now()
	departure := owned.departure(a, now, r.members.leaveDeadline(a.target.Instance.ID))
	migration := hold.Migrate(departure)
	if migration == hold.StayToEnd || !owned.beginMove(id) {
		return
	}
	r.base.emit(event.Event{
		Kind: "StreamMoving", Request: owned.id, Account: owned.account, Route: owned.route,
		Endpoint: a.target.Instance.ID, Version: a.target.Version, Reason: string(migration),
		Numbers: []event.Number{
			{Name: "Context", Value: float64(departure.ContextTokens)},
			{Name: "LeftMs", Value: float64(departure.Deadline.Sub(now).Milliseconds())},
		},
	})
	r.workers.Go(func() {
		if migration == hold.MoveByExport {
			r.transferCache(owned, id, a)
		}
		// The next attempt starts before the old one is cancelled. Chunks of the old one are
		// ignored from here on.
		owned.update(hold.AttemptInterrupted{Attempt: id})
		a.cancel()
	})
}

// departure returns the input for the migration decision.
func (o *ownedRequest) departure(a activeAttempt, now, deadline time.Time) hold.Departure {
	o.mu.Lock()
	defer o.mu.Unlock()
	tokens := len(o.owned.Record.Tokens)
	tokenInterval := time.Duration(0)
	if a.tokens > 0 {
		tokenInterval = now.Sub(a.firstAt) / time.Duration(a.tokens)
	}
	return hold.Departure{
		Now: now, Deadline: deadline, Remaining: o.chat.TokenLimit() - tokens, TokenPeriod: tokenInterval,
		ContextTokens: wire.CountTokens(o.chat.Prompt()) + tokens,
	}
}

// beginMove marks an attempt as moving. It returns false if the attempt has ended or is already
// marked.
func (o *ownedRequest) beginMove(id ident.AttemptID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	a, ok := o.attempts[id]
	if !ok || a.moving {
		return false
	}
	a.moving = true
	return true
}

// transferCache moves the KV cache of an attempt to another endpoint. If any step fails, the next
// attempt computes the context again.
func (r *requests) transferCache(owned *ownedRequest, id ident.AttemptID, a activeAttempt) {
	if r.control.State().Evacuated(a.target.Instance.DataCentre) {
		// Nothing new may be sent there, not even the export; the next attempt computes the context again.
		return
	}
	deadline := r.base.Now().Add(kvTransferTimeout)
	cache, err := client.Engine{Address: a.target.Instance.Address}.Export(deadline, string(id))
	if err != nil {
		r.base.recordRejected(a.target.Instance.ID, err)
		r.logger.V(1).Info("KV export failed.", "instance", a.target.Instance.ID, "error", err.Error())
		return
	}
	state := r.control.State()
	split, _ := r.rollouts.split(state, state.Routes[owned.route])
	request := owned.routingRequest(nil)
	request.Split, request.Tried = split, append(owned.triedEndpoints(), a.target.Instance.ID)
	chosen, _, ok := r.endpoints.chooseEngine(state, request)
	if !ok || chosen.Version != a.target.Version {
		return
	}
	handle, err := client.Engine{Address: chosen.Instance.Address}.Import(deadline, cache)
	if err != nil {
		r.base.recordRejected(chosen.Instance.ID, err)
		r.logger.V(1).Info("KV import failed.", "instance", chosen.Instance.ID, "error", err.Error())
		return
	}
	owned.mu.Lock()
	chosen.Place = a.target.Place
	owned.nextHandoff = &handoff{target: chosen, handle: handle}
	owned.mu.Unlock()
}

// takeHandoff returns and clears the endpoint that has the KV cache for the next attempt.
func (o *ownedRequest) takeHandoff() (handoff, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.nextHandoff == nil {
		return handoff{}, false
	}
	nextHandoff := *o.nextHandoff
	o.nextHandoff = nil
	return nextHandoff, true
}

// setAttemptTarget records the endpoint of an attempt.
func (o *ownedRequest) setAttemptTarget(id ident.AttemptID, chosen target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a, ok := o.attempts[id]; ok {
		a.target = chosen
	}
}

// countToken records a token of an attempt. The first one sets firstAt and is not counted.
func (o *ownedRequest) countToken(id ident.AttemptID, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a, ok := o.attempts[id]; ok {
		if a.firstAt.IsZero() {
			a.firstAt = now
		} else {
			a.tokens++
		}
	}
}
