// Package intake decides what a daemon holds for callers: connections, heads, bodies and responses.
//
// It addresses callers that do not keep to the limits: many bodies that stop just short of their end, heads of very
// many fields, and large numbers of connections that send or read slowly. An Account has a limit for each kind of
// load. If there is no room, it names connections to shed: idle ones first, then those without progress, then one of
// the owner (client account, or address if the account is unknown) that holds most. If that does not make
// room, the request is refused.
//
// # Usage
//
//	account := intake.New(limits)
//	holder, verdict := account.Open(intake.Callers, address, now)
//	verdict = account.Head(holder, intake.HeadCost(size, fields), now)
//	verdict = account.Body(holder, size, now)
//	account.Serving(holder, now)
//	account.Idle(holder, now)
//	account.Close(holder)
//
// An Account is not safe for concurrent use. The room of a connection in Verdict.Shed is already released, so that
// the caller of the package only closes it.
package intake

import "time"

type (
	// Class is the kind of an address that connections are opened to.
	Class int

	// Phase is what a connection is waiting for.
	Phase int

	// Reason is why room was refused or a connection was shed.
	Reason string

	// Account is all that a daemon holds for callers.
	Account struct {
		// BeforeShedding is called before connections are chosen to be shed, to bring their progress up to date; it
		// may be nil.
		BeforeShedding func(now time.Time)

		limits      Limits
		connections [classCount]int
		used        [loadCount]int64
		// queues hold the connections by class and phase, those without progress for longest first.
		queues [classCount][phaseCount]queue
		owners map[string]*owner
		// searchAt is when the owner that holds most connections is next searched: an attempt without a result
		// is not repeated for each connection of a flood.
		searchAt [classCount]time.Time
	}

	// Holder is a connection with all that is held for it.
	Holder struct {
		// Tag identifies the connection to the caller of the package.
		Tag   any
		class Class
		phase Phase
		used  [loadCount]int64
		owner *owner
		// progressAt is when the caller last sent or read enough.
		progressAt time.Time
		closed     bool

		previous, next *Holder
	}

	// Verdict is the decision about one piece of load.
	Verdict struct {
		Admitted bool
		// Reason is why it was refused.
		Reason Reason
		// Shed lists the connections to end.
		Shed []Shed
	}

	// Shed is a connection that must end.
	Shed struct {
		Holder *Holder
		Phase  Phase
		Reason Reason
	}

	// Held is how much an account holds.
	Held struct {
		Connections                         [classCount]int
		HeadBytes, BodyBytes, ResponseBytes int64
	}

	// load is a kind of memory.
	load int

	owner struct {
		name        string
		connections int
		used        [loadCount]int64
	}

	queue struct{ first, last *Holder }
)

const (
	// Callers is the address for requests, Ready for the balancer's health checks, Control for other daemons and
	// operators, and Metrics for metrics.
	Callers Class = iota
	Ready
	Control
	Metrics
	classCount
)

const (
	// Idle connections have no request, Reading ones a part of a head or of a body, Serving ones a request
	// that is complete, and Writing ones a response that the caller does not read.
	Idle Phase = iota
	Reading
	Serving
	Writing
	phaseCount
)

const (
	heads load = iota
	bodies
	responses
	loadCount
)

const (
	// TooManyConnections, NoHeadRoom, NoBodyRoom and NoResponseRoom are reasons of refusals.
	TooManyConnections Reason = "TooManyConnections"
	NoHeadRoom         Reason = "NoHeadRoom"
	NoBodyRoom         Reason = "NoBodyRoom"
	NoResponseRoom     Reason = "NoResponseRoom"
	// IdleConnection, NoProgress and HoldsMost are reasons for shedding a connection.
	IdleConnection Reason = "IdleConnection"
	NoProgress     Reason = "NoProgress"
	HoldsMost      Reason = "HoldsMost"

	// searchInterval is the pause after a search for an owner that found none.
	searchInterval = 100 * time.Millisecond
	// ownerFraction of a limit is what an owner must hold at least to be shed for holding most.
	ownerFraction = 0.25
)

// New returns an account without connections.
func New(limits Limits) *Account {
	return &Account{limits: limits, owners: map[string]*owner{}}
}

// Limits returns the limits.
func (a *Account) Limits() Limits { return a.limits }

// Held returns how much is held.
func (a *Account) Held() Held {
	return Held{
		Connections: a.connections, HeadBytes: a.used[heads], BodyBytes: a.used[bodies], ResponseBytes: a.used[responses],
	}
}

// Open admits a connection from an address or refuses it. The holder of a refused connection is nil.
func (a *Account) Open(class Class, address string, now time.Time) (*Holder, Verdict) {
	verdict := Verdict{Admitted: true}
	if a.connections[class] >= a.limits.Connections[class] {
		a.refresh(now)
		victim, reason := a.connectionToShed(class, address, now)
		if victim == nil {
			return nil, Verdict{Reason: TooManyConnections}
		}
		verdict.Shed = append(verdict.Shed, a.shed(victim, reason))
	}
	h := &Holder{class: class, progressAt: now}
	a.connections[class]++
	h.owner = a.ownerOf(address)
	h.owner.connections++
	a.queues[class][Idle].push(h)
	return h, verdict
}

func (a *Account) refresh(now time.Time) {
	if a.BeforeShedding != nil {
		a.BeforeShedding(now)
	}
}

// connectionToShed returns the connection whose end makes room for another one.
func (a *Account) connectionToShed(class Class, address string, now time.Time) (*Holder, Reason) {
	if h := a.queues[class][Idle].first; h != nil {
		return h, IdleConnection
	}
	if h := a.stalled(class, now); h != nil {
		return h, NoProgress
	}
	if now.Before(a.searchAt[class]) {
		return nil, ""
	}
	most := a.most(func(o *owner) int64 { return int64(o.connections) })
	if most != nil && most.name != address && float64(most.connections) >= ownerFraction*float64(a.limits.Connections[class]) {
		for _, phase := range []Phase{Reading, Writing} {
			for h := a.queues[class][phase].first; h != nil; h = h.next {
				if h.owner == most {
					return h, HoldsMost
				}
			}
		}
	}
	a.searchAt[class] = now.Add(searchInterval)
	return nil, ""
}

// stalled returns the connection of a class without progress for longest, nil if all make progress.
func (a *Account) stalled(class Class, now time.Time) *Holder {
	var found *Holder
	for _, phase := range []Phase{Reading, Writing} {
		h := a.queues[class][phase].first
		if h != nil && now.Sub(h.progressAt) >= a.limits.StallTime && (found == nil || h.progressAt.Before(found.progressAt)) {
			found = h
		}
	}
	return found
}

// Head sets the memory of the connection's head.
func (a *Account) Head(h *Holder, cost int64, now time.Time) Verdict {
	return a.reserve(h, heads, cost, a.limits.HeadBytes, NoHeadRoom, now)
}

// Body sets the memory of the connection's body.
func (a *Account) Body(h *Holder, size int64, now time.Time) Verdict {
	return a.reserve(h, bodies, size, a.limits.BodyBytes, NoBodyRoom, now)
}

// Response sets the memory of the connection's response.
func (a *Account) Response(h *Holder, size int64, now time.Time) Verdict {
	return a.reserve(h, responses, size, a.limits.ResponseBytes, NoResponseRoom, now)
}

// reserve sets a load of a connection. A refusal leaves it unchanged. It sheds nothing unless that makes enough room.
func (a *Account) reserve(h *Holder, kind load, amount, limit int64, reason Reason, now time.Time) Verdict {
	if h.closed {
		return Verdict{Reason: reason}
	}
	missing := a.used[kind] + amount - h.used[kind] - limit
	if amount <= h.used[kind] || missing <= 0 {
		a.set(h, kind, amount)
		return Verdict{Admitted: true}
	}
	a.refresh(now)
	victims := a.loadToShed(h, kind, amount, missing, limit, now)
	if victims == nil {
		return Verdict{Reason: reason}
	}
	a.set(h, kind, amount)
	return Verdict{Admitted: true, Shed: victims}
}

// loadToShed sheds connections that hold the missing amount and returns them; nil if there is not enough.
func (a *Account) loadToShed(h *Holder, kind load, amount, missing, limit int64, now time.Time) []Shed {
	var chosen []*Holder
	var reasons []Reason
	freed := int64(0)
	take := func(other *Holder, reason Reason) {
		chosen, reasons = append(chosen, other), append(reasons, reason)
		freed += other.used[kind]
	}
	for class := range a.queues {
		for _, phase := range []Phase{Reading, Writing} {
			for other := a.queues[class][phase].first; other != nil && freed < missing; other = other.next {
				if now.Sub(other.progressAt) < a.limits.StallTime {
					break
				}
				if other != h && other.used[kind] > 0 {
					take(other, NoProgress)
				}
			}
		}
	}
	if freed < missing {
		most := a.most(func(o *owner) int64 { return o.used[kind] })
		fair := h.owner.used[kind] + amount - h.used[kind]
		if most != nil && most != h.owner && most.used[kind]-missing >= fair && float64(most.used[kind]) >= ownerFraction*float64(limit) {
			for class := range a.queues {
				// The newest have the least to lose.
				for other := a.queues[class][Reading].last; other != nil && freed < missing; other = other.previous {
					if other.owner == most && other.used[kind] > 0 && now.Sub(other.progressAt) < a.limits.StallTime {
						take(other, HoldsMost)
					}
				}
			}
		}
	}
	if freed < missing {
		return nil
	}
	list := make([]Shed, 0, len(chosen))
	for i, other := range chosen {
		list = append(list, a.shed(other, reasons[i]))
	}
	return list
}

// shed releases all that is held for a connection.
func (a *Account) shed(h *Holder, reason Reason) Shed {
	s := Shed{Holder: h, Phase: h.phase, Reason: reason}
	a.Close(h)
	return s
}

// most returns the owner with the highest share; the first by name of several.
func (a *Account) most(share func(*owner) int64) *owner {
	var found *owner
	for _, o := range a.owners {
		if found == nil || share(o) > share(found) || share(o) == share(found) && o.name < found.name {
			found = o
		}
	}
	return found
}

// SetOwner assigns what is held for the connection to a client account.
func (a *Account) SetOwner(h *Holder, name string) {
	if h.closed || h.owner.name == name {
		return
	}
	former := h.owner
	h.owner = a.ownerOf(name)
	for kind, amount := range h.used {
		former.used[kind] -= amount
		h.owner.used[kind] += amount
	}
	h.owner.connections++
	a.dropOwner(former)
}

// Idle records that the connection has no request. Its head, body and response are released.
func (a *Account) Idle(h *Holder, now time.Time) { a.enter(h, Idle, now) }

// Reading records that a part of a request has arrived.
func (a *Account) Reading(h *Holder, now time.Time) { a.enter(h, Reading, now) }

// Serving records that the request is complete.
func (a *Account) Serving(h *Holder, now time.Time) { a.enter(h, Serving, now) }

// Writing records that the caller must read before the connection can go on.
func (a *Account) Writing(h *Holder, now time.Time) { a.enter(h, Writing, now) }

// Progress records that the caller has sent or read enough.
func (a *Account) Progress(h *Holder, now time.Time) { a.enter(h, h.phase, now) }

func (a *Account) enter(h *Holder, phase Phase, now time.Time) {
	if h.closed {
		return
	}
	a.queues[h.class][h.phase].remove(h)
	h.phase, h.progressAt = phase, now
	a.queues[h.class][phase].push(h)
	if phase == Idle {
		for kind := range h.used {
			a.set(h, load(kind), 0)
		}
	}
}

// Close releases the connection and all that is held for it. A second call has no effect.
func (a *Account) Close(h *Holder) {
	if h.closed {
		return
	}
	for kind := range h.used {
		a.set(h, load(kind), 0)
	}
	a.queues[h.class][h.phase].remove(h)
	a.connections[h.class]--
	a.dropOwner(h.owner)
	h.closed = true
}

func (a *Account) set(h *Holder, kind load, amount int64) {
	change := amount - h.used[kind]
	h.used[kind] = amount
	h.owner.used[kind] += change
	a.used[kind] += change
}

func (a *Account) ownerOf(name string) *owner {
	o := a.owners[name]
	if o == nil {
		o = &owner{name: name}
		a.owners[name] = o
	}
	return o
}

// dropOwner counts one connection less and forgets an owner without any.
func (a *Account) dropOwner(o *owner) {
	if o.connections--; o.connections == 0 {
		delete(a.owners, o.name)
	}
}

func (q *queue) push(h *Holder) {
	h.previous, h.next = q.last, nil
	if q.last != nil {
		q.last.next = h
	} else {
		q.first = h
	}
	q.last = h
}

func (q *queue) remove(h *Holder) {
	if h.previous != nil {
		h.previous.next = h.next
	} else {
		q.first = h.next
	}
	if h.next != nil {
		h.next.previous = h.previous
	} else {
		q.last = h.previous
	}
	h.previous, h.next = nil, nil
}

// String returns the name of the phase.
func (p Phase) String() string { return [phaseCount]string{"Idle", "Reading", "Serving", "Writing"}[p] }
