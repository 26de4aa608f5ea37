// Package retry decides whether a failed attempt is retried and whether a slow one is hedged.
//
// Retries and hedges draw on a budget of 10% of the requests in a sliding window, counted for
// each account and for the daemon as a whole. Since every daemon limits its retries to a tenth
// of its own requests, so does the whole system, without communication between daemons.
//
// # Usage
//
//	budget := retry.New(retry.DefaultSettings())
//	budget, _ = budget.Update(retry.Arrived{Time: now, Account: "counter"})
//	budget, commands := budget.Update(retry.Ended{Time: now, Attempt: attempt, Random: random()})
//	switch c := commands[0].(type) {
//	case retry.Retry: ... // send at c.At
//	case retry.GiveUp: ... // refuse with c.Refusal
//	}
//
// A slow first attempt may get a copy: Progress tells from which time on that is worth its cost, Observed counts how
// many attempts are slow, and Delayed asks for a Hedge.
//
//	if at, inTime := progress.HedgeAt(); inTime && !now.Before(at) {
//		budget, commands = budget.Update(retry.Delayed{Time: now, Attempt: attempt, HedgeAt: at})
//	}
//
// Update may change the budget that it is called on: use only the returned one.
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
		// BudgetFraction is the fraction of the requests in Window that may be retried, from 0 to 1.
		BudgetFraction float64
		Window         time.Duration
		// MinRetries is the number of retries that are always allowed in a window; without it an
		// account with little traffic could never retry.
		MinRetries int
		// ExtraRetries is the number of retries that are allowed in a window in addition to the
		// larger of Part and Floor.
		ExtraRetries int
		// MaxAttempts is the maximum number of attempts, including the first.
		MaxAttempts int
		// HedgeFraction is the fraction of the requests in Window that may get a copy, inside the budget: 0 for none, 1 for
		// no other limit than the budget.
		HedgeFraction float64
		// FirstDelay is the backoff after the first attempt. It doubles with each attempt up to
		// MaxDelay. Jitter multiplies the backoff by 0.5 to 1.5.
		FirstDelay time.Duration
		MaxDelay   time.Duration
	}

	// Attempt describes a request and its attempts so far.
	Attempt struct {
		Request string
		Account string
		// Number counts the attempts made, from 1.
		Number int
		// Repeatable is set if the call may run more than once.
		Repeatable bool
		// Sent is set if a byte of the call may have reached an endpoint.
		Sent bool
		// Accepted is set if the request was confirmed to the caller as accepted. It is then
		// resumed even if the budget is used up.
		Accepted bool
		// Extra is how many further attempts are granted together with the next one.
		Extra int
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
		// Reclaimed is set if the attempt ended because the endpoint's instance was reclaimed.
		// This is not a failure: it counts neither as an attempt nor against the budget.
		Reclaimed bool
		// Random is a random number in [0, 1) for the jitter.
		Random float64
	}

	// Delayed reports an attempt without a first token. HedgeAt is the time after which a second
	// copy is worth its cost, as Progress.HedgeAt returns it; the attempt's LatestStart is the last time
	// at which a copy can still meet its target.
	Delayed struct {
		Time    time.Time
		Attempt Attempt
		HedgeAt time.Time
	}

	// Command is an output of the budget.
	Command interface {
		command()
	}

	// Retry starts another attempt at the time At, on another endpoint.
	Retry struct {
		Request string
		At      time.Time
		Numbers []event.Number
	}

	// Hedge starts a second copy of the request at once, on another endpoint.
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

	// Reason is why a request is given up.
	Reason string

	// Budget counts the requests and retries of one daemon.
	Budget struct {
		settings Settings
		total    *window
		accounts map[string]*window
	}

	// window is a sliding window of counts, divided into slots.
	window struct {
		slots      [windowSlots]slot
		slotLength time.Duration
		lateness   lateness
	}

	slot struct {
		number   int64
		requests int
		retries  int
		copies   int
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

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		BudgetFraction: 0.1,
		Window:         20 * time.Second,
		MinRetries:     1,
		MaxAttempts:    3,
		HedgeFraction:  1,
		FirstDelay:     50 * time.Millisecond,
		MaxDelay:       time.Second,
	}
}

// New returns a budget without counts.
func New(settings Settings) Budget {
	return Budget{settings: settings, total: newWindow(settings.Window), accounts: map[string]*window{}}
}

// Update applies a message and returns the budget and the resulting commands.
func (b Budget) Update(message Message) (Budget, []Command) {
	now := message.when()
	switch m := message.(type) {
	case Arrived:
		b.total.slotAt(now).requests++
		b.account(m.Account, now).slotAt(now).requests++
	case Ended:
		return b, []Command{b.decide(m)}
	case Delayed:
		return b, b.hedge(m)
	case Observed:
		b.observe(m)
	}
	return b, nil
}

func (b Budget) decide(m Ended) Command {
	a, now := m.Attempt, m.Time
	numbers := b.numbers(a, now)
	giveUp := func(reason Reason, code codes.Code, text string) Command {
		refusal := codes.Refuse(code, "%s", text).WithRetryAt(now.Add(b.settings.MaxDelay))
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
		return Retry{Request: a.Request, At: at, Numbers: numbers}
	}
	if !a.Accepted {
		if a.Number >= b.settings.MaxAttempts {
			return giveUp(AttemptsUsed, codes.NoEndpoint, "all attempts failed")
		}
		if !b.hasBudget(a.Account, 1+a.Extra, now) {
			return giveUp(BudgetUsed, codes.RetryBudget, "the retry budget is used up")
		}
	}
	b.spend(a.Account, 1+a.Extra, now)
	return Retry{Request: a.Request, At: at, Numbers: numbers}
}

// delay returns the backoff with jitter after the given number of attempts.
func (b Budget) delay(attempts int, random float64) time.Duration {
	delay := b.settings.MaxDelay
	if attempts < 10 {
		delay = min(delay, b.settings.FirstDelay<<max(attempts-1, 0))
	}
	return time.Duration(float64(delay) * (0.5 + random))
}

// hasBudget reports whether the budgets of the account and of the daemon allow more retries.
func (b Budget) hasBudget(account string, count int, now time.Time) bool {
	requests, retries := b.account(account, now).sum(now)
	totalRequests, totalRetries := b.total.sum(now)
	return retries+count <= b.maxRetries(requests) && totalRetries+count <= b.maxRetries(totalRequests)
}

// maxRetries returns the number of retries that are allowed for a number of requests.
func (b Budget) maxRetries(requests int) int {
	allowed := max(float64(b.settings.MinRetries), b.settings.BudgetFraction*float64(requests))
	return int(allowed) + b.settings.ExtraRetries
}

func (b Budget) spend(account string, count int, now time.Time) {
	b.account(account, now).slotAt(now).retries += count
	b.total.slotAt(now).retries += count
}

// account returns the window of an account. When it adds one, it removes all windows without
// counts, so that inactive accounts use no memory.
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

// numbers returns the numbers behind a command: the attempts, and the requests and retries of the account.
func (b Budget) numbers(a Attempt, now time.Time) []event.Number {
	requests, retries := b.account(a.Account, now).sum(now)
	return []event.Number{
		{Name: "Attempt", Value: float64(a.Number)},
		{Name: "Requests", Value: float64(requests)},
		{Name: "Retries", Value: float64(retries)},
	}
}

func newWindow(span time.Duration) *window {
	return &window{slotLength: max(span/windowSlots, 1)}
}

// slotAt returns the slot of a time. It clears the slot if its counts are from an earlier window.
func (w *window) slotAt(now time.Time) *slot {
	number := now.UnixNano() / int64(w.slotLength)
	s := &w.slots[number%windowSlots]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

func (w *window) sum(now time.Time) (requests, retries int) {
	number := now.UnixNano() / int64(w.slotLength)
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

func (Retry) command()  {}
func (Hedge) command()  {}
func (GiveUp) command() {}

// WithSettings returns the budget with other settings and the same counts. The Window setting
// must not change.
func (b Budget) WithSettings(settings Settings) Budget {
	b.settings = settings
	return b
}
