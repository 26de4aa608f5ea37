package relay

import (
	"sync"
	"time"

	"lentilstage.dev/decide/retry"
)

// budget is this daemon's part of the retries that all daemons may make to a service. The
// ratio of its own requests needs no exchange; the allowance is split evenly.
type budget struct {
	mutex   sync.Mutex
	bounds  Bounds
	daemons int
	state   retry.Budget
}

const (
	// budgetPart of the platform's limits is used. Requests are counted when they arrive here
	// and retries when they arrive at an endpoint, so that windows differ a little.
	budgetPart = 0.75
	// retryDelay and maxRetryDelay are short: callers' targets are some hundred milliseconds.
	retryDelay    = 5 * time.Millisecond
	maxRetryDelay = 50 * time.Millisecond
	// maxAttempts bounds the sends of one request; routes have lower bounds of their own.
	maxAttempts = 4
)

func newBudget(bounds Bounds) *budget {
	b := &budget{bounds: bounds, daemons: 1}
	b.state = retry.New(b.settings())
	return b
}

func (b *budget) settings() retry.Settings {
	return retry.Settings{
		Part:      b.bounds.RetryRatio * budgetPart,
		Window:    b.bounds.RetryWindow,
		Allowance: int(float64(b.bounds.RetryAllowance) * budgetPart / float64(max(b.daemons, 1))),

		MaxAttempts: maxAttempts, FirstDelay: retryDelay, MaxDelay: maxRetryDelay,
	}
}

// resize splits the allowance over a number of daemons.
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

// again asks whether a failed attempt may be followed by another one.
func (b *budget) again(a retry.Attempt, now time.Time, random float64) retry.Command {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var commands []retry.Command
	b.state, commands = b.state.Update(retry.Ended{Time: now, Attempt: a, Random: random})
	return commands[0]
}
