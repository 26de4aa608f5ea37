// Package limit admits requests according to the shares and caps of client accounts.
//
// There is no central counter. Each daemon computes every account's grant from the demand in
// all daemons' digests. Caps always apply: each daemon enforces its allocation of them. Shares
// apply only while the demand of all daemons reaches the capacity, since an allocation of a few
// slots would make requests wait while slots are free at other daemons. Requests that can't
// start yet wait in a bounded queue, or are refused early if they can't meet their deadline.
//
// # Usage
//
//	aggregate := limit.New("entry-1", 256)
//	aggregate, _ = aggregate.Update(limit.Table{Time: now, Accounts: accounts})
//	aggregate, _ = aggregate.Update(limit.Capacity{Time: now, Slots: 640})
//	aggregate, commands := aggregate.Update(limit.Offer{Time: now, Request: request})
//	for _, c := range commands { ... } // Start or Refuse
//
// Update may change the aggregate that it is called on: use only the returned one. Each offered
// request gets exactly one Start or Refuse unless it is withdrawn. A refused request was never
// started, so its refusal may say "not run".
package limit

import (
	"maps"
	"math"
	"slices"
	"time"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

type (
	// Message is an input of the aggregate. Each message carries its time.
	Message interface {
		when() time.Time
	}

	// Table replaces the account rows.
	Table struct {
		Time     time.Time
		Accounts []table.Account
	}

	// Capacity sets the number of requests that all endpoints together can run concurrently.
	Capacity struct {
		Time  time.Time
		Slots float64
	}

	// Peers replaces the use of all live peers, as reported in their digests.
	Peers struct {
		Time    time.Time
		Entries []PeerUse
	}

	// PeerUse is the use that one peer reported in its digest at the time At.
	PeerUse struct {
		Process string
		At      time.Time
		Uses    []wire.AccountUsage
	}

	// Offer submits a request for admission.
	Offer struct {
		Time    time.Time
		Request Request
	}

	// Withdraw removes a request from the queue, for instance when its caller has disconnected.
	Withdraw struct {
		Time time.Time
		ID   string
	}

	// Used charges generated tokens and their cost to an account.
	Used struct {
		Time    time.Time
		Account string
		Tokens  float64
		Cost    float64
	}

	// Ended reports that a started request has ended.
	Ended struct {
		Time    time.Time
		Account string
		// Started is the time of its Start.
		Started time.Time
	}

	// Tick advances the time. It must be sent at least once a second.
	Tick struct {
		Time time.Time
	}

	// Command is an output of the aggregate.
	Command interface {
		command()
	}

	// Start starts a request.
	Start struct {
		Request Request
	}

	// Refuse refuses a request that was not started.
	Refuse struct {
		Request Request
		Refusal *codes.Refusal
		Numbers []event.Number
	}

	// Aggregate holds one daemon's state of all accounts and its queue.
	Aggregate struct {
		process  string
		maxQueue int
		capacity float64
		peers    []PeerUse
		accounts map[string]*account
		queue    *queue
		// totalSlots is the number of requests that this daemon may run concurrently while the
		// demand reaches the capacity.
		totalSlots  int
		inFlight    int
		peersDemand float64
		// virtualTime is the highest virtual time of an account at which a request started.
		virtualTime float64
	}

	account struct {
		row table.Account
		// grant is the account's capacity over all daemons. slots is this daemon's allocation of
		// the grant and capSlots its allocation of the account's cap, both in whole slots.
		grant    float64
		slots    int
		capSlots int
		// peersDemand and peersInFlight are the sums over the peers' digests.
		peersDemand   float64
		peersInFlight int
		inFlight      int
		// virtualTime advances by the inverse of the grant with each start, as in weighted fair
		// queueing.
		virtualTime float64
		waiting     int
		// meanSeconds is the moving average of the duration of a request.
		meanSeconds float64
		tokens      bucket
		spend       bucket
	}

	// bucket is a token bucket. Use is charged after the fact, so the level may fall below zero;
	// no request starts until it is positive again.
	bucket struct {
		level     float64
		rate      float64
		burst     float64
		updatedAt time.Time
		// usageRate is the decaying average of the use per second.
		usageRate float64
	}
)

const (
	// initialMeanSeconds is the assumed duration of a request before any has ended.
	initialMeanSeconds = 2.0
	// sampleWeight is the weight of the latest request in the moving average of durations.
	sampleWeight = 0.1
	// tokenBurstSeconds and spendBurstSeconds are the bursts of the caps, in seconds of their rate.
	tokenBurstSeconds = 2.0
	spendBurstSeconds = 60.0
)

// New returns the state of a daemon whose queue holds up to maxQueue requests.
func New(process string, maxQueue int) Aggregate {
	return Aggregate{
		process:  process,
		maxQueue: max(maxQueue, 1),
		accounts: map[string]*account{},
		queue:    &queue{skippedStarts: map[string]int{}},
	}
}

// Update applies a message and returns the aggregate and the resulting commands.
func (a Aggregate) Update(message Message) (Aggregate, []Command) {
	now := message.when()
	var commands []Command
	switch m := message.(type) {
	case Table:
		a.loadAccounts(m.Accounts)
		a.recompute(now)
	case Capacity:
		a.capacity = m.Slots
		a.recompute(now)
	case Peers:
		a.peers = m.Entries
		a.recompute(now)
	case Tick:
		for _, r := range a.queue.expire(now) {
			a.account(r.Account).waiting--
			commands = append(commands, refuse(r, codes.DeadlineTooShort, "the request waited until it could not meet its deadline", now, 0))
		}
		a.recompute(now)
	case Withdraw:
		if r, ok := a.queue.remove(m.ID); ok {
			a.account(r.Account).waiting--
		}
	case Used:
		acc := a.account(m.Account)
		acc.tokens.charge(m.Tokens, now)
		acc.spend.charge(m.Cost, now)
	case Ended:
		acc := a.account(m.Account)
		acc.inFlight--
		a.inFlight--
		acc.meanSeconds += sampleWeight * (now.Sub(m.Started).Seconds() - acc.meanSeconds)
	case Offer:
		commands = a.offer(m.Request, now)
	}
	started := a.startWaiting(now)
	return a, append(commands, started...)
}

// Uses returns this daemon's use for its digest.
func (a Aggregate) Uses(now time.Time) []wire.AccountUsage {
	var uses []wire.AccountUsage
	for _, name := range slices.Sorted(maps.Keys(a.accounts)) {
		acc := a.accounts[name]
		rate := acc.tokens.recentRate(now)
		if acc.inFlight > 0 || acc.waiting > 0 || rate > 0 {
			uses = append(uses, wire.AccountUsage{Account: name, InFlight: acc.inFlight, Waiting: acc.waiting, TokensPerSecond: rate})
		}
	}
	return uses
}

// Waiting returns the number of queued requests.
func (a Aggregate) Waiting() int { return len(a.queue.entries) }

// Slots returns the number of requests of the account that this daemon may run concurrently.
func (a Aggregate) Slots(name string) int {
	if acc, ok := a.accounts[name]; ok {
		return acc.slots
	}
	return 0
}

func (a Aggregate) loadAccounts(rows []table.Account) {
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Name] = true
		a.account(row.Name).row = row
	}
	for name, acc := range a.accounts {
		if !listed[name] {
			acc.row = table.Account{Name: name}
			if acc.inFlight == 0 && acc.waiting == 0 {
				delete(a.accounts, name)
			}
		}
	}
}

func (a Aggregate) account(name string) *account {
	acc, ok := a.accounts[name]
	if !ok {
		acc = &account{row: table.Account{Name: name}, meanSeconds: initialMeanSeconds}
		a.accounts[name] = acc
	}
	return acc
}

// recompute derives the grants and this daemon's allocations from the demand of all daemons.
// An account's grant never falls below its guaranteed share: this daemon reclaims a lent share
// at once, and the borrowing peers return it when they receive this daemon's digest.
func (a *Aggregate) recompute(now time.Time) {
	names := slices.Sorted(maps.Keys(a.accounts))
	demands := make(map[string][]Demand, len(names))
	for _, name := range names {
		acc := a.accounts[name]
		acc.peersInFlight = 0
		demands[name] = []Demand{{Process: a.process, Value: acc.demand(), At: now}}
	}
	a.peersDemand = 0
	for _, p := range a.peers {
		byAccount := make(map[string]float64, len(p.Uses))
		for _, u := range p.Uses {
			byAccount[u.Account] = float64(u.InFlight + u.Waiting)
			a.peersDemand += byAccount[u.Account]
			if acc, ok := a.accounts[u.Account]; ok {
				acc.peersInFlight += u.InFlight
			}
		}
		for _, name := range names {
			demands[name] = append(demands[name], Demand{Process: p.Process, Value: byAccount[name], At: p.At})
		}
	}
	claims := make([]Claim, len(names))
	shares := 0.0
	for i, name := range names {
		row := a.accounts[name].row
		claims[i] = Claim{Account: name, Share: row.Share, Cap: float64(row.MaxInFlight)}
		for _, d := range demands[name] {
			claims[i].Demand += d.Value
		}
		shares += row.Share
	}
	grants := Grant(a.capacity, claims)
	// A daemon's allocation of the capacity is proportional to its granted demand. If it were
	// proportional to its whole demand, a daemon with a flood would take the others' slots.
	totalDemands, processes := []Demand{{Process: a.process, At: now}}, []string{a.process}
	for _, p := range a.peers {
		totalDemands = append(totalDemands, Demand{Process: p.Process, At: p.At})
		processes = append(processes, p.Process)
	}
	rotation := NewRotation(processes, now)
	for i, name := range names {
		acc := a.accounts[name]
		guaranteed := min(claims[i].Share*a.capacity/max(1, shares), claims[i].ceiling(a.capacity))
		acc.grant = max(grants[i], guaranteed)
		acc.peersDemand = claims[i].Demand - acc.demand()
		for j, d := range demands[name] {
			totalDemands[j].Value += d.Value * min(1, grants[i]/max(claims[i].Demand, 1))
		}
		fractions := Allocate(1, demands[name], now)
		acc.slots = rotation.Slots(name, 0, scaleAllocations(fractions, acc.grant))
		acc.capSlots = 0
		if acc.row.MaxInFlight > 0 {
			acc.capSlots = rotation.Slots(name, 0, scaleAllocations(fractions, float64(acc.row.MaxInFlight)))
		}
		acc.tokens.set(acc.row.TokensPerSecond*fractions[0].Value, tokenBurstSeconds, now)
		acc.spend.set(acc.row.SpendPerHour/time.Hour.Seconds()*fractions[0].Value, spendBurstSeconds, now)
	}
	a.totalSlots = rotation.Slots("", 0, Allocate(a.capacity, totalDemands, now))
}

func scaleAllocations(allocations []Allocation, limit float64) []Allocation {
	result := make([]Allocation, len(allocations))
	for i, a := range allocations {
		result[i] = Allocation{Process: a.Process, Value: a.Value * limit}
	}
	return result
}

// contended reports whether the demand of all daemons reaches the capacity.
func (a *Aggregate) contended() bool { return a.demand()+a.peersDemand >= a.capacity }

func (a *Aggregate) demand() float64 { return float64(a.inFlight + len(a.queue.entries)) }

func (acc *account) demand() float64 { return float64(acc.inFlight + acc.waiting) }

// hasCapacity reports whether the account may start another request at this daemon. While the
// demand reaches the capacity, it may do so if it uses less than its slots at this daemon, or
// less than its grant over all daemons. Requests that peers have started since their last
// digests are not counted, but each peer's totalSlots bounds them.
func (a *Aggregate) hasCapacity(acc *account, now time.Time) bool {
	if !acc.withinCaps(now) {
		return false
	}
	return !a.contended() || a.inFlight < a.totalSlots &&
		(acc.inFlight < acc.slots || float64(acc.inFlight+acc.peersInFlight+1) <= acc.grant)
}

// withinCaps reports whether the account's caps allow another request at this daemon.
func (acc *account) withinCaps(now time.Time) bool {
	return acc.tokens.untilPositive(now) == 0 && acc.spend.untilPositive(now) == 0 &&
		(acc.row.MaxInFlight == 0 || acc.inFlight < acc.capSlots)
}

// dequeue removes and returns the request that starts next: the first request of an account
// with free capacity. If there is none and a slot of this daemon is free, it is the first
// request of the account with the lowest virtual time, so that accounts whose grant is less
// than a whole slot are served in turn.
func (a *Aggregate) dequeue(now time.Time) (Request, bool) {
	r, ok := a.queue.dequeue(now, func(name string) bool { return a.hasCapacity(a.account(name), now) })
	if ok || a.inFlight >= a.totalSlots {
		return r, ok
	}
	var mostBehind *account
	for _, w := range a.queue.entries {
		acc := a.account(w.Account)
		if acc.withinCaps(now) && (mostBehind == nil || acc.virtualTime < mostBehind.virtualTime) {
			mostBehind = acc
		}
	}
	if mostBehind == nil {
		return Request{}, false
	}
	return a.queue.dequeue(now, func(name string) bool { return name == mostBehind.row.Name })
}

func (a *Aggregate) offer(r Request, now time.Time) []Command {
	acc := a.account(r.Account)
	wait := a.wait(acc, r, now)
	if !r.StartBy.IsZero() && now.Add(wait).After(r.StartBy) {
		if float64(acc.inFlight+acc.peersInFlight) >= acc.grant {
			return []Command{refuse(r, codes.AccountLimit, "the account is over its share or cap until after the request's deadline", now, wait)}
		}
		return []Command{refuse(r, codes.DeadlineTooShort, "the queue is too long for the request's deadline", now, wait)}
	}
	if acc.waiting == 0 {
		// An idle account accumulates no credit.
		acc.virtualTime = max(acc.virtualTime, a.virtualTime)
	}
	a.queue.add(r, now)
	acc.waiting++
	if len(a.queue.entries) <= a.maxQueue {
		return nil
	}
	last := a.queue.displace(func(name string) float64 { return a.account(name).row.Share })
	displaced := a.account(last.Account)
	displaced.waiting--
	return []Command{refuse(last, codes.QueueFull, "the queue is full", now, a.wait(displaced, last, now))}
}

// wait predicts the time until a new request starts: the number of the account's
// requests ahead of it, divided by the rate at which the account's slots at this daemon become
// free. The allocation is the one that the daemon will have once the new request is counted.
func (a *Aggregate) wait(acc *account, r Request, now time.Time) time.Duration {
	seconds := max(acc.tokens.untilPositive(now), acc.spend.untilPositive(now))
	ahead := a.queue.ahead(r)
	if ahead > 0 || !a.hasCapacity(acc, now) {
		localDemand := acc.demand() + 1
		limit := acc.grant
		if acc.row.MaxInFlight > 0 {
			limit = min(limit, float64(acc.row.MaxInFlight))
		}
		equal := limit / float64(len(a.peers)+1)
		allocation := max(limit*localDemand/(localDemand+acc.peersDemand), minAllocationFraction*equal, minPredictedSlots)
		seconds += float64(ahead+1) * acc.meanSeconds / allocation
	}
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}

// startWaiting starts queued requests while there is capacity, and refuses those that can no
// longer meet their deadline.
func (a *Aggregate) startWaiting(now time.Time) []Command {
	var commands []Command
	for {
		r, ok := a.dequeue(now)
		if !ok {
			break
		}
		acc := a.account(r.Account)
		acc.waiting--
		if !r.StartBy.IsZero() && now.After(r.StartBy) {
			commands = append(commands, refuse(r, codes.DeadlineTooShort, "the request waited until it could not meet its deadline", now, 0))
			continue
		}
		acc.inFlight++
		a.inFlight++
		a.virtualTime = max(a.virtualTime, acc.virtualTime)
		acc.virtualTime += 1 / max(acc.grant, minWeight)
		commands = append(commands, Start{Request: r})
	}
	return commands
}

func refuse(r Request, code codes.Code, reason string, now time.Time, wait time.Duration) Refuse {
	return Refuse{
		Request: r,
		Refusal: codes.Refuse(code, "%s", reason).WithRetryAt(now.Add(max(wait, time.Second))),
		Numbers: []event.Number{{Name: "PredictedWaitMs", Value: wait.Seconds() * 1000}},
	}
}

// set changes the rate; 0 means no limit. A bucket that had no limit starts full.
func (b *bucket) set(rate, burstSeconds float64, now time.Time) {
	b.refill(now)
	if b.rate == 0 && rate > 0 {
		b.level = rate * burstSeconds
	}
	b.rate, b.burst = rate, rate*burstSeconds
	b.level = min(b.level, b.burst)
}

func (b *bucket) refill(now time.Time) {
	elapsed := max(0, now.Sub(b.updatedAt).Seconds())
	if b.updatedAt.IsZero() {
		elapsed = 0
	}
	b.level = min(b.burst, b.level+elapsed*b.rate)
	b.usageRate *= math.Exp(-elapsed / tokenBurstSeconds)
	b.updatedAt = now
}

func (b *bucket) charge(amount float64, now time.Time) {
	b.refill(now)
	b.usageRate += amount / tokenBurstSeconds
	if b.rate > 0 {
		b.level -= amount
	}
}

// recentRate returns the recent use per second; negligible use counts as 0.
func (b *bucket) recentRate(now time.Time) float64 {
	b.refill(now)
	if b.usageRate < 0.01 {
		return 0
	}
	return b.usageRate
}

// untilPositive returns the seconds until the level is above zero.
func (b *bucket) untilPositive(now time.Time) float64 {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	if b.level > 0 {
		return 0
	}
	return (-b.level + 1e-9) / b.rate
}

func (m Table) when() time.Time    { return m.Time }
func (m Capacity) when() time.Time { return m.Time }
func (m Peers) when() time.Time    { return m.Time }
func (m Offer) when() time.Time    { return m.Time }
func (m Withdraw) when() time.Time { return m.Time }
func (m Used) when() time.Time     { return m.Time }
func (m Ended) when() time.Time    { return m.Time }
func (m Tick) when() time.Time     { return m.Time }

func (Start) command()  {}
func (Refuse) command() {}
