package relay

import (
	"sync"
	"time"

	"lentilstage.dev/decide/retry"
)

// budget is this daemon's share of the retry budget that all daemons have together for each service.
// The part that depends on the number of requests uses the daemon's own count and needs no
// coordination; the fixed allowance is split evenly.
type budget struct {
	mutex   sync.Mutex
	limits  Limits
	daemons int
	state   retry.Budget
}

const (
	// budgetFraction of the platform's limits is used. Requests are counted on arrival here and
	// retries on arrival at an endpoint, so that the windows differ slightly.
	budgetFraction = 0.75
	// firstRetryDelay and maxRetryDelay are short, since callers' targets are a few hundred
	// milliseconds.
	firstRetryDelay = 5 * time.Millisecond
	maxRetryDelay   = 50 * time.Millisecond
	// maxAttempts limits the sends of one request; routes have lower limits of their own.
	maxAttempts = 4
)

func newBudget(limits Limits) *budget {
	b := &budget{limits: limits, daemons: 1}
	b.state = retry.New(b.settings())
	return b
}

func (b *budget) settings() retry.Settings {
	return retry.Settings{
		BudgetFraction: b.limits.RetryRatio * budgetFraction,
		Window:         b.limits.RetryWindow,
		ExtraRetries:   int(float64(b.limits.RetryAllowance) * budgetFraction / float64(max(b.daemons, 1))),
		HedgeFraction:  b.limits.HedgeShare,

		MaxAttempts: maxAttempts, FirstDelay: firstRetryDelay, MaxDelay: maxRetryDelay,
	}
}

// resize splits the allowance among the given number of daemons.
func (b *budget) resize(daemons int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if daemons != b.daemons {
		b.daemons = daemons
		b.state = b.state.WithSettings(b.settings())
	}
}

// arrived counts a request to a service.
func (b *budget) arrived(service string, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.state, _ = b.state.Update(retry.Arrived{Time: now, Account: service})
}

// requestRetry decides whether another attempt may follow a failed one, and when.
func (b *budget) requestRetry(a retry.Attempt, now time.Time, random float64) retry.Command {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var commands []retry.Command
	b.state, commands = b.state.Update(retry.Ended{Time: now, Attempt: a, Random: random})
	return commands[0]
}
