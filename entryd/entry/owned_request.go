package entry

import (
	"context"
	"strings"
	"sync"
	"time"

	"lentilstage.dev/decide/hold"
	"lentilstage.dev/decide/route"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/domain/value"
	"lentilstage.dev/wire/wire"
)

type (
	// ownedRequest is a model request that this daemon owns. It applies the decisions of
	// hold.Owned. Commands are executed under its lock, so that a caller receives their effects in
	// order; each command only starts a goroutine or fills a queue.
	ownedRequest struct {
		requests *requests
		// id, account, fingerprint, route, priority and deadline never change.
		id          string
		account     string
		fingerprint string
		route       string
		priority    int
		deadline    time.Time
		chat        wire.ChatRequest
		ctx         context.Context
		cancel      context.CancelFunc

		mu       sync.Mutex
		owned    hold.Owned
		callers  map[int64]*callerQueue
		nextID   int64
		attempts map[ident.AttemptID]*activeAttempt
		tried    value.Set[string]
		// failures counts the attempts since the last one that received a token.
		failures int
		// failedHolders are holders that failed, with the time until which they are skipped.
		failedHolders map[string]time.Time
		usage         wire.ChatUsage
		// nextHandoff is the endpoint that has the KV cache for the next attempt.
		nextHandoff *handoff
		// ended is closed once the request needs no more work on this daemon.
		ended     chan struct{}
		isEnded   bool
		expiresAt time.Time
		// released receives the record when another daemon takes the request over.
		released chan wire.HeldRequest
	}
)

// failedHolderBackoff is how long a failed holder is skipped.
const failedHolderBackoff = 5 * time.Second

// update applies a message to the request and executes the resulting commands.
func (o *ownedRequest) update(message hold.OwnerMessage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.updateLocked(message)
}

func (o *ownedRequest) updateLocked(message hold.OwnerMessage) {
	next, commands := o.owned.Update(message)
	o.owned = next
	o.execute(commands)
	o.endIfAcked()
}

// execute starts the effect of each command. The caller holds the lock.
func (o *ownedRequest) execute(commands []hold.OwnerCommand) {
	for _, command := range commands {
		if id, item, ok := itemFromCommand(command); ok {
			if queue, open := o.callers[id]; open {
				queue.put(item)
			}
			continue
		}
		switch c := command.(type) {
		case hold.ChooseHolder:
			o.chooseHolder(c.Exclude)
		case hold.SendHold:
			o.requests.sendHold(o, c.Record)
		case hold.SendProgress:
			o.requests.outbox.queueUpdate(o, c)
		case hold.StartAttempt:
			o.startAttempt(c)
		case hold.CancelAttempt:
			if a, ok := o.attempts[c.Attempt]; ok {
				a.cancel()
			}
		case hold.TransferRecord:
			o.released <- c.Record
		case hold.StoreCopy:
			o.requests.holder.hold(c.Record, true)
		case hold.Stop:
			o.requests.holder.update(hold.OwnershipReleased{RequestID: o.id})
			o.end()
		}
	}
}

// endIfAcked ends the request once the holder has acknowledged the whole answer or the refusal.
func (o *ownedRequest) endIfAcked() {
	if o.owned.EndAcked {
		o.end()
	}
}

// end stops the work for the request. The answer stays readable for answerRetention.
func (o *ownedRequest) end() {
	if o.isEnded {
		return
	}
	o.isEnded = true
	o.expiresAt = o.requests.base.Now().Add(answerRetention)
	o.cancel()
	close(o.ended)
}

// chooseHolder chooses the next holder, if another daemon is alive, and skips holders that failed
// recently.
func (o *ownedRequest) chooseHolder(failed string) {
	now := o.requests.base.Now()
	if failed != "" {
		o.failedHolders[failed] = now.Add(failedHolderBackoff)
	}
	for _, name := range hold.HolderOrder(o.id, o.requests.base.Settings.Name, o.requests.members.centres()) {
		if now.Before(o.failedHolders[name]) {
			continue
		}
		o.updateLocked(hold.HolderChosen{Holder: name})
		return
	}
	o.updateLocked(hold.NoHolder{})
	o.requests.outbox.markDirty(o)
}

// startAttempt starts an attempt in its own goroutine.
func (o *ownedRequest) startAttempt(c hold.StartAttempt) {
	ctx, cancel := context.WithCancel(o.ctx)
	o.attempts[c.Attempt] = &activeAttempt{cancel: cancel}
	failures := o.failures
	o.requests.workers.Go(func() {
		defer cancel()
		o.requests.runAttempt(ctx, o, c, failures)
		o.mu.Lock()
		delete(o.attempts, c.Attempt)
		o.mu.Unlock()
		if ctx.Err() == nil {
			o.update(hold.AttemptInterrupted{Attempt: c.Attempt})
		}
	})
}

// addCaller adds a caller whose copy of the answer ends at the position.
func (o *ownedRequest) addCaller(position hold.Position) (int64, *callerQueue) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nextID++
	queue := newCallerQueue()
	o.callers[o.nextID] = queue
	o.updateLocked(hold.CallerJoined{Caller: o.nextID, Position: position})
	return o.nextID, queue
}

// removeCaller removes a caller.
func (o *ownedRequest) removeCaller(id int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.callers, id)
	o.updateLocked(hold.CallerLeft{Caller: id})
}

// record returns the request's record with the tokens that the holder has acknowledged.
func (o *ownedRequest) record() wire.HeldRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	record := o.owned.Record
	record.Tokens = record.Tokens[:o.owned.AckedTokens]
	if !o.owned.EndAcked {
		record.Finish, record.Refusal = "", 0
	}
	return record
}

// covers reports whether the answer can continue a caller's copy that ends at the position.
func (o *ownedRequest) covers(position hold.Position) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owned.Covers(position)
}

// expiry returns the time until which the finished answer is kept.
func (o *ownedRequest) expiry() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.expiresAt
}

// ownedElsewhere reports whether another daemon owns the request now.
func (o *ownedRequest) ownedElsewhere() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owned.Stopped
}

// release releases the request to another daemon and returns its record.
func (o *ownedRequest) release(newOwner string) (wire.HeldRequest, bool) {
	o.update(hold.TransferRequested{NewOwner: newOwner})
	select {
	case record := <-o.released:
		return record, true
	default:
		return wire.HeldRequest{}, false
	}
}

// abort ends the request with a refusal. The holder gets the refusal with the next batch.
func (o *ownedRequest) abort(code codes.Code) {
	o.update(hold.RequestRefused{Code: code})
	o.requests.outbox.markDirty(o)
}

// addUsage adds the token usage of an attempt.
func (o *ownedRequest) addUsage(more wire.ChatUsage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.usage.PromptTokens = more.PromptTokens
	o.usage.CompletionTokens = more.CompletionTokens
	o.usage.CachedTokens += more.CachedTokens
	o.usage.ComputedTokens += more.ComputedTokens
}

// totalUsage returns the token usage of all attempts so far.
func (o *ownedRequest) totalUsage() wire.ChatUsage {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.usage
}

// routingRequest returns the input for the choice of an engine, without the split and the endpoints
// to avoid. The tokens generated so far count as part of the prompt, because the engine has to
// compute them too.
func (o *ownedRequest) routingRequest(resume []string) route.Request {
	prompt := o.chat.Prompt() + strings.Join(resume, "")
	return route.Request{
		ID: o.id, Route: o.route,
		PromptTokens: wire.CountTokens(prompt), Blocks: route.Blocks(wire.PrefixBlocks(prompt)),
	}
}

// triedEndpoints returns the endpoints of failed attempts.
func (o *ownedRequest) triedEndpoints() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tried.Sorted()
}
