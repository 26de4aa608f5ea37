package entry

import (
	"sync"
	"time"

	"lentilstage.dev/decide/retry"
	"lentilstage.dev/domain/codes"
)

// retries is the daemon's retry budget.
type retries struct {
	base *Base

	mu     sync.Mutex
	budget retry.Budget
}

func newRetries(b *Base) *retries {
	return &retries{base: b, budget: retry.New(retry.DefaultSettings())}
}

// countRequest counts a new request of the account.
func (r *retries) countRequest(account string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget, _ = r.budget.Update(retry.Arrived{Time: r.base.Now(), Account: account})
}

// next returns the time of the next attempt, or a refusal if the request must not be retried.
func (r *retries) next(attempt retry.Attempt, reclaimed bool) (time.Time, *codes.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.base.Now()
	next, commands := r.budget.Update(retry.Ended{
		Time: now, Attempt: attempt, Reclaimed: reclaimed, Random: r.base.Random(),
	})
	r.budget = next
	for _, command := range commands {
		switch c := command.(type) {
		case retry.Retry:
			return c.At, nil
		case retry.GiveUp:
			return now, c.Refusal
		}
	}
	return now, nil
}
