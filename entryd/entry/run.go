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
	// run is one owned model request: the decisions of hold.Owned and what carries them out.
	// Commands are carried out under its lock, so that a caller gets them in order; each
	// one only starts a goroutine or fills a queue.
	run struct {
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
		// failures counts the attempts since the last one that brought a token.
		failures int
		// lost are holders that failed, with the time until which they are passed over.
		lost  map[string]time.Time
		usage wire.ChatUsage
		// next is where the next attempt finds the KV cache of the last one.
		next *handoff
		// ended is closed once the request needs no more work here.
		ended    chan struct{}
		isEnded  bool
		keepTill time.Time
		// given gets the record when another daemon takes the request over.
		given chan wire.HeldRequest
	}
)

// holderAvoid is how long a holder that failed is passed over.
const holderAvoid = 5 * time.Second

// tell brings a message to the request and carries out its commands.
func (o *run) tell(message hold.OwnerMessage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tellLocked(message)
}

func (o *run) tellLocked(message hold.OwnerMessage) {
	next, commands := o.owned.Update(message)
	o.owned = next
	o.carryOut(commands)
	o.noteEnd()
}

// carryOut starts the effect of each command. The caller holds the lock.
func (o *run) carryOut(commands []hold.OwnerCommand) {
	for _, command := range commands {
		if id, item, ok := itemOf(command); ok {
			if queue, open := o.callers[id]; open {
				queue.put(item)
			}
			continue
		}
		switch c := command.(type) {
		case hold.ChooseHolder:
			o.chooseHolder(c.Not)
		case hold.SendHold:
			o.requests.sendHold(o, c.Record)
		case hold.SendProgress:
			o.requests.outbox.add(o, c)
		case hold.StartAttempt:
			o.startAttempt(c)
		case hold.CancelAttempt:
			if a, ok := o.attempts[c.Attempt]; ok {
				a.cancel()
			}
		case hold.GiveRecord:
			o.given <- c.Record
		case hold.KeepCopy:
			o.requests.holder.hold(c.Record, true)
		case hold.Stop:
			o.requests.holder.tell(hold.OwnedElsewhere{RequestID: o.id})
			o.end()
		}
	}
}

// noteEnd ends the run once the holder has the whole answer or the refusal.
func (o *run) noteEnd() {
	if o.owned.EndAcked {
		o.end()
	}
}

// end stops the work for the request. The answer stays readable for answerKeep.
func (o *run) end() {
	if o.isEnded {
		return
	}
	o.isEnded = true
	o.keepTill = o.requests.base.Now().Add(answerKeep)
	o.cancel()
	close(o.ended)
}

// chooseHolder names the next holder, if another daemon is alive.
func (o *run) chooseHolder(not string) {
	now := o.requests.base.Now()
	if not != "" {
		o.lost[not] = now.Add(holderAvoid)
	}
	for _, name := range hold.HolderOrder(o.id, o.requests.base.Settings.Name, o.requests.members.centres()) {
		if now.Before(o.lost[name]) {
			continue
		}
		o.tellLocked(hold.HolderChosen{Holder: name})
		return
	}
	o.tellLocked(hold.NoHolder{})
	o.requests.outbox.touch(o)
}

// startAttempt starts an attempt in a goroutine of its own.
func (o *run) startAttempt(c hold.StartAttempt) {
	ctx, cancel := context.WithCancel(o.ctx)
	o.attempts[c.Attempt] = &activeAttempt{cancel: cancel}
	failures := o.failures
	o.requests.running.Go(func() {
		defer cancel()
		o.requests.attempt(ctx, o, c, failures)
		o.mu.Lock()
		delete(o.attempts, c.Attempt)
		o.mu.Unlock()
		if ctx.Err() == nil {
			o.tell(hold.AttemptLost{Attempt: c.Attempt})
		}
	})
}

// join adds a caller whose copy of the answer ends at the position.
func (o *run) join(position hold.Position) (int64, *callerQueue) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nextID++
	queue := newCallerQueue()
	o.callers[o.nextID] = queue
	o.tellLocked(hold.CallerJoined{Caller: o.nextID, Position: position})
	return o.nextID, queue
}

// leave removes a caller.
func (o *run) leave(id int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.callers, id)
	o.tellLocked(hold.CallerLeft{Caller: id})
}

// record returns the request's record with the tokens that the holder has.
func (o *run) record() wire.HeldRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	record := o.owned.Record
	record.Tokens = record.Tokens[:o.owned.Acked]
	if !o.owned.EndAcked {
		record.Finish, record.Refusal = "", 0
	}
	return record
}

// covers reports whether the answer goes on from a caller's copy that ends at the position.
func (o *run) covers(position hold.Position) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owned.Covers(position)
}

// keepUntil returns the time until which the finished answer is kept.
func (o *run) keepUntil() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keepTill
}

// stopped reports whether another daemon owns the request now.
func (o *run) stopped() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owned.Stopped
}

// giveAway leaves the request to another daemon and returns its record.
func (o *run) giveAway(newOwner string) (wire.HeldRequest, bool) {
	o.tell(hold.GivenAway{NewOwner: newOwner})
	select {
	case record := <-o.given:
		return record, true
	default:
		return wire.HeldRequest{}, false
	}
}

// giveUp ends the request with a refusal, which the holder gets with the next batch.
func (o *run) giveUp(code codes.Code) {
	o.tell(hold.GivenUp{Code: code})
	o.requests.outbox.touch(o)
}

// addUsage counts the tokens that an attempt has computed.
func (o *run) addUsage(more wire.ChatUsage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.usage.PromptTokens = more.PromptTokens
	o.usage.CompletionTokens = more.CompletionTokens
	o.usage.CachedTokens += more.CachedTokens
	o.usage.ComputedTokens += more.ComputedTokens
}

// totalUsage returns the tokens of all attempts so far.
func (o *run) totalUsage() wire.ChatUsage {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.usage
}

// routing returns what the choice of an engine needs to know, but for the split and the
// endpoints to avoid. The tokens so far count as a part of the prompt, since the engine has
// to compute them too.
func (o *run) routing(resume []string) route.Request {
	prompt := o.chat.Prompt() + strings.Join(resume, "")
	return route.Request{
		ID: o.id, Route: o.route,
		PromptTokens: wire.CountTokens(prompt), Blocks: route.Blocks(wire.PrefixBlocks(prompt)),
	}
}

// triedNames returns the endpoints of failed attempts.
func (o *run) triedNames() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tried.Sorted()
}
