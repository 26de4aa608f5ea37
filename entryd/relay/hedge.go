package relay

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/retry"
	"lentilstage.dev/domain/setup"
)

type (
	// race is the first attempt of a request and the copy that may run beside it. The one that has the response first
	// claims it; only that one writes to the caller. The other is cancelled.
	race struct {
		daemon *Daemon
		// copy is the request as its second attempt sees it. It is made before the first attempt begins, so that the
		// attempts share no fields that they change.
		copy     *exchange
		contexts [2]context.Context
		cancels  [2]context.CancelFunc
		// copyEnded is closed after copyResult is set.
		copyEnded    chan struct{}
		copyResult   outcome
		usageCounted atomic.Bool

		mutex sync.Mutex
		timer *time.Timer
		// late reports whether the first attempt has exceeded its prediction, copied whether a copy was sent.
		late, copied bool
		// winner is the attempt that has claimed the response, if claimed is set.
		claimed bool
		winner  lane
		// ended reports which attempts have ended, held how many bytes of responses they buffer.
		ended [2]bool
		held  [2]int64
	}

	// lane tells the attempts of a race apart.
	lane int
)

const (
	firstLane lane = iota
	copyLane

	// minHedgePause is the shortest pause between two decisions about a copy of the same attempt. The predicted wait
	// at the other endpoint changes with its load.
	minHedgePause = 10 * time.Millisecond
)

const (
	// noGain, noOther, tooLate and barred are reasons why no copy is sent, in addition to those of the budget.
	noGain  retry.Reason = "NoGain"
	noOther retry.Reason = "NoEndpoint"
	tooLate retry.Reason = "TooLate"
	barred  retry.Reason = "Quarantined"
)

// mayHedge reports whether the next attempt may get a copy: only the first one of a request that may be repeated, and
// only if the operator permits copies.
func (x *exchange) mayHedge(sends int) bool {
	return x.daemon.settings.Limits.HedgeShare > 0 && sends == 0 && x.mayRepeat() && !x.responseStarted &&
		x.route.MaxAttempts > 1 && x.route.LatencyTarget > 0
}

// attemptHedged sends the request to an endpoint, and a copy to another one if that is worth its cost. It returns the
// outcome of both together and the number of copies that were sent.
func (x *exchange) attemptHedged(ctx context.Context, next selection, sends int) (outcome, int) {
	if !x.mayHedge(sends) {
		return x.attemptCounted(ctx, next, sends), 0
	}
	r := &race{daemon: x.daemon, copyEnded: make(chan struct{})}
	both, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range r.contexts {
		r.contexts[i], r.cancels[i] = context.WithCancel(both)
	}
	x.race = r
	defer func() { x.race = nil }()
	second := *x
	second.lane, second.tried = copyLane, maps.Clone(x.tried)
	r.copy = &second
	return r.join(x, x.attemptCounted(r.contexts[firstLane], next, sends))
}

// attemptCounted makes an attempt and releases its load.
func (x *exchange) attemptCounted(ctx context.Context, next selection, sends int) outcome {
	result := x.attempt(ctx, next, sends)
	x.daemon.tables.release(next.placed)
	x.daemon.meters.count("Attempts." + string(result))
	return result
}

// watch considers a copy of the first attempt once it is late.
func (r *race) watch(a *attempt) {
	if a.x.lane != firstLane {
		return
	}
	progress := retry.Progress{
		ArrivedAt: a.x.arrived, SentAt: a.sentAt, Predicted: milliseconds(a.picked.Response()), Target: a.x.route.LatencyTarget,
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.timer = time.AfterFunc(progress.LateAt().Sub(r.daemon.clock.now()), func() {
		a.silence.whileOpen(func() { r.consider(a, progress) })
	})
}

// consider sends a copy of the first attempt if that is worth its cost, or decides again later. The attempt's silence is
// locked, so that no fail-over begins meanwhile.
func (r *race) consider(a *attempt, progress retry.Progress) {
	r.mutex.Lock()
	over, first := r.claimed || r.copied, !r.late
	r.late = r.late || !over
	r.mutex.Unlock()
	if over || r.contexts[firstLane].Err() != nil {
		return
	}
	now := r.daemon.clock.now()
	if first {
		r.daemon.budget.observeAttempt(r.copy.service, true, now)
	}
	reason, again := r.send(a, progress, now)
	switch {
	case !again.IsZero():
		r.mutex.Lock()
		defer r.mutex.Unlock()
		if !r.claimed {
			r.timer.Reset(max(again.Sub(now), minHedgePause))
		}
	case reason != "":
		r.daemon.meters.count("Hedges.Withheld." + string(reason))
		a.x.log("No copy.", "Endpoint", a.endpoint.ID, "Reason", reason, "Predicted", int(a.picked.Response()),
			"Silent", now.Sub(a.sentAt).Milliseconds())
	}
}

// send sends a copy if that is worth its cost now and within the limits. Otherwise it returns the reason and, if a copy
// may be worth its cost later, that time.
func (r *race) send(a *attempt, progress retry.Progress, now time.Time) (reason retry.Reason, again time.Time) {
	d, x := r.daemon, r.copy
	if now.After(progress.LatestStart()) {
		return tooLate, time.Time{}
	}
	if d.tables.short(x.service) {
		return retry.Shortage, time.Time{}
	}
	if reason, withheld := d.budget.withholdsHedge(x.service, now); withheld {
		return reason, time.Time{}
	}
	if x.retryBarred(stalled, 1) {
		return barred, time.Time{}
	}
	var hedgeAt time.Time
	reason = noOther
	next, ok := x.selectFrom(placeRequest{
		tried: x.tried, copy: true,
		fits: func(p choice.Picked) bool { return p.HasCapacity && x.checkAdmission(p, false).Admitted },
		accepts: func(p choice.Picked) bool {
			if !p.HasCapacity || !x.checkAdmission(p, false).Admitted {
				return false
			}
			progress.Other = milliseconds(p.Response())
			inTime := false
			if hedgeAt, inTime = progress.HedgeAt(); !inTime || now.After(progress.LatestStart()) {
				reason, hedgeAt = tooLate, time.Time{}
				return false
			}
			reason = noGain
			return !now.Before(hedgeAt)
		},
	})
	if !ok {
		return reason, hedgeAt
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.claimed {
		d.tables.release(next.placed)
		return "", time.Time{}
	}
	if !d.budget.requestHedge(retry.Delayed{Time: now, HedgeAt: hedgeAt, Attempt: retry.Attempt{
		Request: x.call.ID, Account: x.service, Number: 1, Repeatable: x.mayRepeat(), Sent: true, LatestStart: progress.LatestStart(),
	}}) {
		d.tables.release(next.placed)
		return retry.BudgetUsed, time.Time{}
	}
	r.copied = true
	x.tried[next.endpoint.ID] = true
	d.meters.count("Hedges.Sent")
	x.log("Sending a copy.", "Endpoint", next.endpoint.ID, "Slow", a.endpoint.ID, "Predicted", progress.Other.Milliseconds(),
		"Remaining", progress.Remaining(now).Milliseconds(), "Silent", now.Sub(a.sentAt).Milliseconds(), "PredictedThere", progress.Predicted.Milliseconds())
	go r.runCopy(next)
	return "", time.Time{}
}

func (r *race) runCopy(next selection) {
	defer close(r.copyEnded)
	r.copyResult = r.copy.attemptCounted(r.contexts[copyLane], next, 1)
	r.mutex.Lock()
	r.held[copyLane] = 0
	defer r.mutex.Unlock()
	r.ended[copyLane] = true
}

// claim reports whether the attempt may write the response to the caller. The first one that asks may; the other one is
// cancelled.
func (r *race) claim(by lane) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.claimed {
		return r.winner == by
	}
	r.claimed, r.winner = true, by
	if r.timer != nil {
		r.timer.Stop()
	}
	if by == firstLane && !r.late {
		r.daemon.budget.observeAttempt(r.copy.service, false, r.daemon.clock.now())
	}
	r.cancels[1-by]()
	return true
}

// copiesBeside returns how many attempts beside this one count as sends of the request. It returns false if the
// response may still come from the other one, so that a silent attempt needs no successor.
func (r *race) copiesBeside(l lane) (int, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.copied {
		return 0, true
	}
	if !r.claimed && !r.ended[1-l] {
		return 0, false
	}
	if l == copyLane {
		// The first attempt is counted already.
		return 0, true
	}
	return 1, true
}

// join waits for the copy, if one was sent, and takes over what it has changed. It returns the outcome of both and the
// number of copies.
func (r *race) join(x *exchange, first outcome) (outcome, int) {
	r.mutex.Lock()
	if r.timer != nil {
		r.timer.Stop()
	}
	r.ended[firstLane] = true
	copied := r.copied
	r.mutex.Unlock()
	if !copied {
		return first, 0
	}
	<-r.copyEnded
	x.usageCounted = x.usageCounted || r.usageCounted.Load()
	x.mayHaveRun = x.mayHaveRun || r.copy.mayHaveRun
	x.tried = r.copy.tried
	if x.failedResponse == nil {
		x.failedResponse = r.copy.failedResponse
	}
	if x.lost == nil {
		x.lost = r.copy.lost
	}
	if r.copy.reserved != nil {
		x.reserved, x.silent, x.returnGranted = r.copy.reserved, r.copy.silent, r.copy.returnGranted
	}
	switch {
	case r.claimed && r.winner == copyLane:
		r.daemon.meters.count("Hedges.Won")
		x.responseStarted, x.lastEvent, x.positionUnknown = r.copy.responseStarted, r.copy.lastEvent, r.copy.positionUnknown
		return r.copyResult, 1
	case r.claimed:
		r.daemon.meters.count("Hedges.Lost")
		return first, 1
	}
	r.daemon.meters.count("Hedges.Failed")
	return r.together(first), 1
}

// together returns the outcome of two attempts of which none has responded. What ends the request counts first, then
// an attempt that may have run.
func (r *race) together(first outcome) outcome {
	for _, result := range []outcome{callerGone, deadlinePassed} {
		if first == result || r.copyResult == result {
			return result
		}
	}
	if r.copy.reserved != nil || first == notRun {
		if r.copyResult != notSent {
			return r.copyResult
		}
	}
	return first
}

// claim reports whether this attempt may write to the caller.
func (x *exchange) claim() bool { return x.race == nil || x.race.claim(x.lane) }

// holdResponse asks for room for a number of bytes of a response that is buffered, in addition to those of another
// attempt. It sets the number, so 0 releases them.
func (x *exchange) holdResponse(size int64) bool {
	if x.conn == nil {
		return true
	}
	if x.race == nil {
		return x.conn.HoldResponse(size)
	}
	r := x.race
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !x.conn.HoldResponse(size + r.held[1-x.lane]) {
		return false
	}
	r.held[x.lane] = size
	return true
}

// overtaken reports whether the other attempt of a race has the response.
func (x *exchange) overtaken() bool {
	if x.race == nil {
		return false
	}
	x.race.mutex.Lock()
	defer x.race.mutex.Unlock()
	return x.race.claimed && x.race.winner != x.lane
}

// triedByAll returns the endpoints to which the request was sent, with that of a copy. Its endpoint is added before the
// copy begins, with the silence of the first attempt locked.
func (x *exchange) triedByAll() map[string]bool {
	if x.race == nil {
		return x.tried
	}
	return x.race.copy.tried
}

// recordOvertaken records what a cancelled attempt has shown: its endpoint needs at least that time. Shorter times than
// the predicted one show nothing.
func (a *attempt) recordOvertaken(now time.Time) {
	x, took := a.x, now.Sub(a.sentAt)
	x.daemon.meters.add("Hedges.WastedMilliseconds", took.Milliseconds())
	if a.began || took <= milliseconds(a.picked.Response()) {
		return
	}
	if x.engine() != nil {
		x.daemon.tables.recordSlowFirst(a.endpoint, a.picked, took)
	} else {
		x.daemon.tables.recordPlain(a.endpoint, a.picked, took)
	}
}

// recordSlowFirst records that the first token of a placed call takes longer than a time that exceeds the prediction.
func (t *tables) recordSlowFirst(endpoint setup.Endpoint, picked choice.Picked, least time.Duration) {
	observed := t.recordFirstToken(endpoint, picked, least)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.speeds.record(endpoint)(observed.Get())
}

// short reports whether the daemons divide the capacity of a service, since it does not suffice.
func (t *tables) short(service string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	d, known := t.demand[service]
	return known && d.division.Short()
}

// limited reports whether an endpoint takes only a limited number of requests a second. The caller holds the lock.
func (t *tables) limited(endpoint string) bool {
	_, limited := t.quota.Limit(limitKey(endpoint))
	return limited
}

// observeAttempt counts a first attempt by whether it has exceeded its prediction.
func (b *budget) observeAttempt(service string, late bool, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.state, _ = b.state.Update(retry.Observed{Time: now, Account: service, Late: late})
}

// withholdsHedge reports whether no copy may be sent now, whatever it would gain, and why.
func (b *budget) withholdsHedge(service string, now time.Time) (retry.Reason, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.state.WithholdsHedge(service, now)
}

// requestHedge decides whether a copy of a delayed attempt is sent, and counts it.
func (b *budget) requestHedge(m retry.Delayed) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var commands []retry.Command
	b.state, commands = b.state.Update(m)
	return len(commands) > 0
}

// whileOpen calls f unless the attempt is over. No fail-over begins meanwhile.
func (s *silence) whileOpen(f func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.ended {
		f()
	}
}
