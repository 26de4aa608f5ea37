// Package retry decides whether a failed attempt is tried again and whether a slow one is hedged.
//
// Retries and hedges draw on a budget of 10% of the requests in a sliding window, counted for
// each account and for the daemon as a whole. Since every daemon keeps to a tenth of its own
// requests, the system does too without any exchange.
//
// # Usage
//
//	budget := retry.New(retry.DefaultSettings())
//	budget, _ = budget.Update(retry.Arrived{Time: now, Account: "counter"})
//	budget, commands := budget.Update(retry.Ended{Time: now, Attempt: attempt, Random: random()})
//	switch c := commands[0].(type) {
//	case retry.Again: ... // send at c.At
//	case retry.GiveUp: ... // refuse with c.Code
//	}
//
// Update takes over the budget: only the returned one may be used afterwards.
package retry

import (
	"maps"
	"time"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/event"
)

type (
	// Settings are the limits of retries.
	Settings struct {
		// Part of the requests that may be retried, over Window.
		Part   float64
		Window time.Duration
		// Floor is the number of retries that an account may make in a window however few its
		// requests are; without it an account with little traffic could never retry.
		Floor int
		// Allowance is the number of retries in a window beyond Part and Floor.
		Allowance int
		// MaxAttempts counts the first attempt and all that failed after it.
		MaxAttempts int
		// FirstDelay doubles with each attempt up to MaxDelay. The delay is drawn from a half
		// to one and a half of it.
		FirstDelay time.Duration
		MaxDelay   time.Duration
	}

	// Attempt describes a request and its attempts so far.
	Attempt struct {
		Request string
		Account string
		// Number counts the attempts made, from 1.
		Number int
		// Repeatable says that the call may run more than once.
		Repeatable bool
		// Sent says that a byte of the call may have reached an endpoint.
		Sent bool
		// Accepted says that the caller was told that the request is accepted. It is resumed
		// also when the budget is used up.
		Accepted bool
		// LatestStart is the last time at which an attempt can still meet the deadline.
		LatestStart time.Time
	}

	// Message is an input of the budget. Each message carries its time.
	Message interface {
		when() time.Time
	}

	// Arrived counts a new request.
	Arrived struct {
		Time    time.Time
		Account string
	}

	// Ended reports a failed attempt.
	Ended struct {
		Time    time.Time
		Attempt Attempt
		// Reclaimed says that the endpoint's reclaim ended the attempt. That is not a failure:
		// it counts neither as an attempt nor against the budget.
		Reclaimed bool
		// Random is a number from 0 up to but without 1.
		Random float64
	}

	// Delayed reports an attempt without a first token after HedgeAt, the stored time at which
	// a second copy becomes worth its cost.
	Delayed struct {
		Time    time.Time
		Attempt Attempt
		HedgeAt time.Time
	}

	// Command is an output of the budget.
	Command interface {
		command()
	}

	// Again asks for another attempt at a time, on another endpoint.
	Again struct {
		Request string
		At      time.Time
		Numbers []event.Number
	}

	// Hedge asks for a second copy now, on another endpoint.
	Hedge struct {
		Request string
		Numbers []event.Number
	}

	// GiveUp ends a request. Its refusal says "not run" only if nothing was sent.
	GiveUp struct {
		Request string
		Reason  Reason
		Refusal *codes.Refusal
		Numbers []event.Number
	}

	// Reason says why a request is given up.
	Reason string

	// Budget counts requests and retries of one daemon.
	Budget struct {
		settings Settings
		total    *window
		accounts map[string]*window
	}

	// window counts over a sliding time in slots.
	window struct {
		slots  [windowSlots]slot
		period time.Duration
	}

	slot struct {
		number   int64
		requests int
		retries  int
	}
)

const (
	// AttemptsUsed, BudgetUsed, TooLate and NotRepeatable are the reasons of a GiveUp.
	AttemptsUsed  Reason = "AttemptsUsed"
	BudgetUsed    Reason = "BudgetUsed"
	TooLate       Reason = "TooLate"
	NotRepeatable Reason = "NotRepeatable"

	windowSlots = 20
)

// DefaultSettings returns the settings in use.
func DefaultSettings() Settings {
	return Settings{
		Part:        0.1,
		Window:      20 * time.Second,
		Floor:       1,
		MaxAttempts: 3,
		FirstDelay:  50 * time.Millisecond,
		MaxDelay:    time.Second,
	}
}

// New returns a budget without counts.
func New(settings Settings) Budget {
	return Budget{settings: settings, total: newWindow(settings.Window), accounts: map[string]*window{}}
}

// Update returns the budget after the message and the commands that follow from it.
func (b Budget) Update(message Message) (Budget, []Command) {
	now := message.when()
	switch m := message.(type) {
	case Arrived:
		b.total.at(now).requests++
		b.account(m.Account, now).at(now).requests++
	case Ended:
		return b, []Command{b.ended(m)}
	case Delayed:
		a := m.Attempt
		if now.Before(m.HedgeAt) || !a.Repeatable || a.Number != 1 || !b.has(a.Account, now) {
			return b, nil
		}
		numbers := b.numbers(a, now)
		b.spend(a.Account, now)
		return b, []Command{Hedge{Request: a.Request, Numbers: numbers}}
	}
	return b, nil
}

func (b Budget) ended(m Ended) Command {
	a, now := m.Attempt, m.Time
	numbers := b.numbers(a, now)
	giveUp := func(reason Reason, code codes.Code, sentence string) Command {
		refusal := codes.Refuse(code, "%s", sentence).WithRetryAt(now.Add(b.settings.MaxDelay))
		if a.Sent {
			refusal = refusal.WithOutcomeUnknown()
		}
		return GiveUp{Request: a.Request, Reason: reason, Refusal: refusal, Numbers: numbers}
	}
	if a.Sent && !a.Repeatable {
		return giveUp(NotRepeatable, codes.OutcomeUnknown, "the call may have run and is not sent again")
	}
	at := now.Add(b.delay(a.Number, m.Random))
	if m.Reclaimed {
		at = now
	}
	if !a.LatestStart.IsZero() && at.After(a.LatestStart) {
		return giveUp(TooLate, codes.DeadlinePassed, "another attempt can't meet the deadline")
	}
	if m.Reclaimed {
		return Again{Request: a.Request, At: at, Numbers: numbers}
	}
	if !a.Accepted {
		if a.Number >= b.settings.MaxAttempts {
			return giveUp(AttemptsUsed, codes.NoEndpoint, "all attempts failed")
		}
		if !b.has(a.Account, now) {
			return giveUp(BudgetUsed, codes.RetryBudget, "the retry budget is used up")
		}
	}
	b.spend(a.Account, now)
	return Again{Request: a.Request, At: at, Numbers: numbers}
}

// delay returns the jittered wait before the attempt after the given number of attempts.
func (b Budget) delay(made int, random float64) time.Duration {
	delay := b.settings.MaxDelay
	if made < 10 {
		delay = min(delay, b.settings.FirstDelay<<max(made-1, 0))
	}
	return time.Duration(float64(delay) * (0.5 + random))
}

// has reports whether the account and the daemon may make another retry.
func (b Budget) has(account string, now time.Time) bool {
	requests, retries := b.account(account, now).sum(now)
	totalRequests, totalRetries := b.total.sum(now)
	return retries < b.limit(requests) && totalRetries < b.limit(totalRequests)
}

// limit returns the number of retries that a number of requests allows.
func (b Budget) limit(requests int) int {
	part := max(float64(b.settings.Floor), b.settings.Part*float64(requests))
	return int(part) + b.settings.Allowance
}

func (b Budget) spend(account string, now time.Time) {
	b.account(account, now).at(now).retries++
	b.total.at(now).retries++
}

// account returns the account's window. Windows without counts are dropped when one is added,
// so that accounts that are gone leave nothing behind.
func (b Budget) account(name string, now time.Time) *window {
	w, ok := b.accounts[name]
	if !ok {
		maps.DeleteFunc(b.accounts, func(_ string, w *window) bool {
			requests, retries := w.sum(now)
			return requests == 0 && retries == 0
		})
		w = newWindow(b.settings.Window)
		b.accounts[name] = w
	}
	return w
}

func (b Budget) numbers(a Attempt, now time.Time) []event.Number {
	requests, retries := b.account(a.Account, now).sum(now)
	return []event.Number{
		{Name: "Attempt", Value: float64(a.Number)},
		{Name: "Requests", Value: float64(requests)},
		{Name: "Retries", Value: float64(retries)},
	}
}

func newWindow(span time.Duration) *window {
	return &window{period: max(span/windowSlots, 1)}
}

// at returns the slot of a time, emptied if it held an earlier turn's counts.
func (w *window) at(now time.Time) *slot {
	number := now.UnixNano() / int64(w.period)
	s := &w.slots[number%windowSlots]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

func (w *window) sum(now time.Time) (requests, retries int) {
	number := now.UnixNano() / int64(w.period)
	for _, s := range w.slots {
		if s.number > number-windowSlots && s.number <= number {
			requests += s.requests
			retries += s.retries
		}
	}
	return requests, retries
}

func (m Arrived) when() time.Time { return m.Time }
func (m Ended) when() time.Time   { return m.Time }
func (m Delayed) when() time.Time { return m.Time }

func (Again) command()  {}
func (Hedge) command()  {}
func (GiveUp) command() {}

// WithSettings returns the budget with other limits and the same counts. The window must be
// the same.
func (b Budget) WithSettings(settings Settings) Budget {
	b.settings = settings
	return b
}
