package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"lentilstage.dev/decide/limit"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/wire/wire"
)

type (
	// limits admits requests according to the shares and caps of the accounts.
	limits struct {
		base      *Base
		control   *control
		endpoints *endpoints

		mu        sync.Mutex
		aggregate limit.Aggregate
		// waiters are the queued callers by request identifier. A request that arrives twice has
		// two.
		waiters map[string][]chan *codes.Refusal
	}
)

const (
	// maxQueuedRequests bounds the queued requests of a daemon.
	maxQueuedRequests = 1000
	// limitInterval is the pause between updates of the queue and the capacity.
	limitInterval = 100 * time.Millisecond
	// plainServiceSlots is the assumed number of concurrent calls of a plain service.
	plainServiceSlots = 64
)

func newLimits(b *Base, c *control, e *endpoints) *limits {
	return &limits{
		base: b, control: c, endpoints: e,
		aggregate: limit.New(b.Settings.Name, maxQueuedRequests),
		waiters:   make(map[string][]chan *codes.Refusal),
	}
}

// run keeps the account rows and the capacity current until the context ends. It reads the rows
// only after the table has changed, because sorting 1,000 rows ten times a second takes more than
// 2% of a core.
func (l *limits) run(ctx context.Context) error {
	lastOffset := int64(-1)
	return runEvery(ctx, limitInterval, func() {
		slots := l.endpoints.slots()
		now := l.base.Now()
		if state := l.control.State(); state.Next != lastOffset {
			lastOffset = state.Next
			l.update(limit.Table{Time: now, Accounts: state.Table().Accounts})
		}
		l.update(limit.Capacity{Time: now, Slots: slots})
		l.update(limit.Tick{Time: now})
	})
}

// admit waits until the request may start. It returns a refusal if the request is not admitted;
// such a request never started.
func (l *limits) admit(request limit.Request) *codes.Refusal {
	answer := make(chan *codes.Refusal, 1)
	l.mu.Lock()
	l.waiters[request.ID] = append(l.waiters[request.ID], answer)
	if len(l.waiters[request.ID]) == 1 {
		l.updateLocked(limit.Offer{Time: l.base.Now(), Request: request})
	}
	l.mu.Unlock()
	timer := time.NewTimer(request.Deadline.Sub(l.base.Now()))
	defer timer.Stop()
	select {
	case refusal := <-answer:
		return refusal
	case <-timer.C:
		return l.withdraw(request.ID, answer)
	}
}

// withdraw removes a request from the queue at its deadline, unless it has just been admitted.
func (l *limits) withdraw(id string, answer chan *codes.Refusal) *codes.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case refusal := <-answer:
		return refusal
	default:
	}
	l.waiters[id] = slices.DeleteFunc(l.waiters[id], func(c chan *codes.Refusal) bool { return c == answer })
	if len(l.waiters[id]) == 0 {
		delete(l.waiters, id)
		l.updateLocked(limit.Withdraw{Time: l.base.Now(), ID: id})
	}
	return codes.Refuse(codes.DeadlinePassed, "request %s waited until its deadline", id)
}

// ended frees the capacity of a request that has ended.
func (l *limits) ended(account string, started time.Time) {
	l.update(limit.Ended{Time: l.base.Now(), Account: account, Started: started})
}

// chargeTokens charges generated tokens to an account.
func (l *limits) chargeTokens(account string, tokens int) {
	l.update(limit.Used{Time: l.base.Now(), Account: account, Tokens: float64(tokens)})
}

// accountUses returns this daemon's use of each account for its digest.
func (l *limits) accountUses() []wire.AccountUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.aggregate.Uses(l.base.Now())
}

func (l *limits) update(message limit.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateLocked(message)
}

// updateLocked applies a message to the aggregate and resolves the callers that it decides on.
func (l *limits) updateLocked(message limit.Message) {
	next, commands := l.aggregate.Update(message)
	l.aggregate = next
	for _, command := range commands {
		switch c := command.(type) {
		case limit.Start:
			l.resolve(c.Request.ID, nil)
		case limit.Refuse:
			l.resolve(c.Request.ID, c.Refusal)
			l.base.emit(event.Event{
				Kind: "RequestRefused", Request: c.Request.ID, Account: c.Request.Account,
				Reason: c.Refusal.Message, Numbers: c.Numbers,
			})
		}
	}
}

func (l *limits) resolve(id string, refusal *codes.Refusal) {
	for _, waiter := range l.waiters[id] {
		waiter <- refusal
	}
	delete(l.waiters, id)
}

// slots returns the number of requests that all live endpoints together can run concurrently.
func (e *endpoints) slots() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0
	for id, i := range e.listed {
		switch {
		case i.State != wire.Live:
		case i.Role == wire.RolePlain:
			total += plainServiceSlots
		default:
			total += e.views[id].Load.MaxRunning
		}
	}
	return float64(total)
}
