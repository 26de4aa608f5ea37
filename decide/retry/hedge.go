package retry

import (
	"math"
	"time"
)

type (
	// Progress describes an attempt without a response, and the best other endpoint for the request.
	Progress struct {
		ArrivedAt time.Time
		SentAt    time.Time
		// Predicted is the predicted time from SentAt to the first event or the complete response. Other is the
		// predicted time at the other endpoint.
		Predicted time.Duration
		Other     time.Duration
		// Target is the time from ArrivedAt within which the response should begin.
		Target time.Duration
	}

	// Observed reports whether an attempt has exceeded its prediction. Send it once for each attempt: when it becomes
	// late, or when it is answered before.
	Observed struct {
		Time    time.Time
		Account string
		Late    bool
	}

	// lateness is the decayed number of attempts that were late lately, and of all attempts.
	lateness struct {
		late, all float64
		at        time.Time
	}
)

const (
	// ShareUsed and Shortage are the reasons, beside BudgetUsed, for which no copy is sent: the share of requests that
	// may get one is used up, or too many attempts are late.
	ShareUsed Reason = "ShareUsed"
	Shortage  Reason = "Shortage"

	// lateRatio times the prediction plus lateGrace is the time after which an attempt is late. Within it, a
	// difference is the usual error of predictions.
	lateRatio = 1.4
	lateGrace = 15 * time.Millisecond
	// delayFactor times the delay so far is the expected remaining time of a late attempt. The remaining time is
	// unknown: a slow phase ends soon, an unresponsive endpoint never answers. An endpoint that is slower by a
	// factor of 2.5 throughout exceeds its prediction by half as much again after the copy would be worth its cost.
	delayFactor = 2
	// minGain and gainFraction of the target are the least expected gain that is worth a copy.
	minGain      = 20 * time.Millisecond
	gainFraction = 0.1
	// maxLateFraction is the fraction of late attempts above which no copy is sent. Slow phases of single endpoints
	// affect 15% of the attempts; if more than twice as many are late, copies only add load.
	maxLateFraction = 0.35
	// latePrior is the number of punctual attempts that are assumed, so that the first late attempts of a service
	// with few requests don't count as a shortage.
	latePrior = 4
	// lateHalfLife is the time in which the weight of an attempt halves: slow phases last for half a second.
	lateHalfLife = time.Second
)

// LateAt returns the time from which on the attempt is late.
func (p Progress) LateAt() time.Time {
	return p.SentAt.Add(time.Duration(lateRatio*float64(p.Predicted)) + lateGrace)
}

// Remaining returns the expected time until the response. An attempt that is not late follows its prediction.
func (p Progress) Remaining(now time.Time) time.Duration {
	delay := now.Sub(p.SentAt) - p.Predicted
	if now.Before(p.LateAt()) {
		return max(-delay, 0)
	}
	return delayFactor * delay
}

// HedgeAt returns the time from which on a copy at the other endpoint is worth its cost: the remaining time here
// exceeds the predicted time there by enough. It returns false if a copy sent then would miss the target.
func (p Progress) HedgeAt() (time.Time, bool) {
	gain := max(minGain, time.Duration(gainFraction*float64(p.Target)))
	at := p.SentAt.Add(p.Predicted + (p.Other+gain)/delayFactor)
	if lateAt := p.LateAt(); at.Before(lateAt) {
		at = lateAt
	}
	return at, !at.After(p.LatestStart())
}

// LatestStart returns the last time at which a copy can still meet the target.
func (p Progress) LatestStart() time.Time { return p.ArrivedAt.Add(p.Target - p.Other) }

// WithholdsHedge reports whether no copy of a request of the account may be sent now, and why: the limits allow no
// further one, or so many attempts are late that copies would only add load.
func (b Budget) WithholdsHedge(account string, now time.Time) (Reason, bool) {
	l := b.account(account, now).lateness.decayed(now)
	switch {
	case l.late/(l.all+latePrior) > maxLateFraction:
		return Shortage, true
	case !b.hasCopies(account, now):
		return ShareUsed, true
	case !b.hasBudget(account, 1, now):
		return BudgetUsed, true
	}
	return "", false
}

// hedge decides whether a copy of a delayed attempt is sent. Only the first attempt gets one.
func (b Budget) hedge(m Delayed) []Command {
	a, now := m.Attempt, m.Time
	if now.Before(m.HedgeAt) || !a.Repeatable || a.Number != 1 {
		return nil
	}
	if _, withheld := b.WithholdsHedge(a.Account, now); withheld || !a.LatestStart.IsZero() && now.After(a.LatestStart) {
		return nil
	}
	numbers := b.numbers(a, now)
	b.spend(a.Account, 1, now)
	b.account(a.Account, now).slotAt(now).copies++
	b.total.slotAt(now).copies++
	return []Command{Hedge{Request: a.Request, Numbers: numbers}}
}

// hasCopies reports whether the share of requests that may get a copy allows another one, for the account and for the
// daemon.
func (b Budget) hasCopies(account string, now time.Time) bool {
	if b.settings.HedgeFraction >= 1 {
		return true
	}
	for _, w := range []*window{b.account(account, now), b.total} {
		requests, _ := w.sum(now)
		if float64(w.copies(now)+1) > b.settings.HedgeFraction*float64(requests) {
			return false
		}
	}
	return true
}

// observe counts an attempt by whether it was late.
func (b Budget) observe(m Observed) {
	w := b.account(m.Account, m.Time)
	l := w.lateness.decayed(m.Time)
	l.all++
	if m.Late {
		l.late++
	}
	w.lateness = l
}

// decayed returns the counts at a time.
func (l lateness) decayed(now time.Time) lateness {
	if l.at.IsZero() || !now.After(l.at) {
		l.at = now
		return l
	}
	weight := math.Exp2(-now.Sub(l.at).Seconds() / lateHalfLife.Seconds())
	return lateness{late: l.late * weight, all: l.all * weight, at: now}
}

// copies returns the number of copies in the window.
func (w *window) copies(now time.Time) int {
	number := now.UnixNano() / int64(w.slotLength)
	sum := 0
	for _, s := range w.slots {
		if s.number > number-windowSlots && s.number <= number {
			sum += s.copies
		}
	}
	return sum
}

func (m Observed) when() time.Time { return m.Time }
