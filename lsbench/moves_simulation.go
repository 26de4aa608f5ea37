package main

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"lentilstage.dev/decide/crash"
	"lentilstage.dev/wire/wire"
)

type (
	// controller decides which share of a route the daemons send to the new version.
	controller interface {
		// share returns the share of a route that a daemon sends to the new version, and the step.
		share(daemon, route int) (float64, int)
		// advance runs the controller for one second.
		advance(sim *simulation, now int)
		// ended returns the end of a route's move; done is false while the move is in progress.
		ended(route int) ending
	}

	// simulation runs the traffic, the daemons and the endpoints of a trial in steps of one second.
	simulation struct {
		trial   trial
		random  *rand.Rand
		daemons []*daemon
		// ending holds the requests that end in each second.
		ending map[int][]*simRequest
		// crashes holds the requests that crash their endpoint in each second.
		crashes map[int][]*simRequest
		// waiting holds the requests to send in the next second.
		waiting []*simRequest
		// resending holds the requests that their callers resend, by second.
		resending map[int][]*simRequest
		// inFlight holds the requests in flight at each endpoint.
		inFlight     map[endpointSlot][]*simRequest
		generations  map[endpointSlot]int
		requestCount int
		results      []result
	}

	// daemon is the state of one entry daemon.
	daemon struct {
		name        string
		incarnation int
		sequence    int64
		counters    map[counterKey]*wire.Evidence
		// order lists the counters in the order of their first use.
		order   []*wire.Evidence
		crashes crash.State
	}

	counterKey struct {
		route, step int
		share       float64
		isNew       bool
	}

	// endpointSlot is a position for an endpoint. A crashed endpoint is replaced by one of the next
	// generation in the same slot.
	endpointSlot struct {
		isNew  bool
		number int
	}

	// simRequest is a simulated request with its routing and its drawn outcome.
	simRequest struct {
		id                 int
		fingerprint        string
		daemon             int
		incarnation        int
		route, step        int
		share              float64
		endpointSlot       endpointSlot
		poison             bool
		resendsLeft        int
		avoidNew           bool
		interruptedByCrash bool
		failed             bool
		slowFirst          bool
		slowGaps           bool
		interrupted        bool
		reclaimed          bool
		crashPlanned       bool
	}

	// result is the outcome of one route's move. Times are in seconds since the start of the trial.
	result struct {
		behaviour behaviour
		seed      uint64
		ending    ending
		// badSince is the time of the first request to the version while it was bad, negative if there
		// was none.
		badSince float64
		// lastBad is the time of the last request to the version while it was bad.
		lastBad float64
		// badRequests is the number of requests to the version while it was bad.
		badRequests int
		deadline    int
		// feasible and forecast are the estimate at the start: whether the move can finish in time, and
		// when. Only the sequential test sets them.
		feasible bool
		forecast float64
	}
)

const (
	daemonCount = 7
	// meanSeconds is the mean duration of a request in seconds; the minimum is 1 s.
	meanSeconds = 5
	// restartRate is the probability per second that a daemon restarts.
	restartRate = 1.0 / 5000
)

// trialStart is the simulated time at which each trial starts.
var trialStart = time.Unix(1_700_000_000, 0).UTC()

func timeAt(second float64) time.Time {
	return trialStart.Add(time.Duration(second * float64(time.Second)))
}

func newSimulation(t trial) *simulation {
	s := &simulation{
		trial: t, random: rand.New(rand.NewPCG(t.seed, 2)),
		ending: map[int][]*simRequest{}, crashes: map[int][]*simRequest{}, resending: map[int][]*simRequest{},
		inFlight: map[endpointSlot][]*simRequest{}, generations: map[endpointSlot]int{},
	}
	for i := range daemonCount {
		s.daemons = append(s.daemons, newDaemon("entry-"+strconv.Itoa(i), 0))
	}
	for r := range t.routes {
		s.results = append(s.results, result{behaviour: t.behaviourOf(r), seed: t.seed, badSince: -1, deadline: t.deadline})
	}
	for i, p := range t.poison {
		rq := &simRequest{fingerprint: "poison-" + strconv.Itoa(i), poison: true, resendsLeft: 10}
		s.resending[int(p)] = append(s.resending[int(p)], rq)
	}
	return s
}

func newDaemon(name string, incarnation int) *daemon {
	return &daemon{
		name: name, incarnation: incarnation,
		counters: map[counterKey]*wire.Evidence{}, crashes: crash.New(),
	}
}

// run runs the trial with a controller until a minute after the deadline.
func (s *simulation) run(c controller) []result {
	for now := 0; now < s.trial.deadline+60; now++ {
		for _, rq := range s.ending[now] {
			s.finishRequest(rq, now)
		}
		delete(s.ending, now)
		for _, rq := range s.crashes[now] {
			s.crash(rq, now)
		}
		delete(s.crashes, now)
		s.restartDaemons()
		c.advance(s, now)
		if s.settled(c) {
			break
		}
		s.sendArrivals(c, now)
	}
	for r := range s.results {
		s.results[r].ending = c.ended(r)
	}
	return s.results
}

// settled reports whether the results are final: each move has ended, and no daemon sends requests to
// a version that was rolled back or is bad.
func (s *simulation) settled(c controller) bool {
	for route := range s.trial.routes {
		e := c.ended(route)
		if !e.done {
			return false
		}
		if e.finished && !s.trial.behaviourOf(route).bad {
			continue
		}
		for d := range s.daemons {
			if share, _ := c.share(d, route); share > 0 {
				return false
			}
		}
	}
	return true
}

func (s *simulation) restartDaemons() {
	for i, d := range s.daemons {
		if s.random.Float64() < restartRate {
			s.daemons[i] = newDaemon(d.name, d.incarnation+1)
		}
	}
}

func (s *simulation) sendArrivals(c controller, now int) {
	waiting := s.waiting
	s.waiting = nil
	for _, rq := range waiting {
		s.send(c, rq, now)
	}
	for _, rq := range s.resending[now] {
		next := *rq
		next.interruptedByCrash, next.avoidNew = false, false
		next.daemon = s.random.IntN(daemonCount)
		s.send(c, &next, now)
	}
	delete(s.resending, now)
	for route := range s.trial.routes {
		for range poisson(s.random, s.trial.arrivalRate(float64(now))) {
			s.requestCount++
			s.send(c, &simRequest{
				fingerprint: "request-" + strconv.Itoa(s.requestCount),
				daemon:      s.random.IntN(daemonCount), route: route,
			}, now)
		}
	}
}

// send routes a request to a version and an endpoint and draws its outcome. A quarantined request is
// dropped.
func (s *simulation) send(c controller, rq *simRequest, now int) {
	d := s.daemons[rq.daemon]
	rq.incarnation = d.incarnation
	if _, refused := d.crashes.QuarantineOf(rq.fingerprint, timeAt(float64(now))); refused {
		return
	}
	share, step := c.share(rq.daemon, rq.route)
	isNew := s.random.Float64() < share && !rq.avoidNew
	fraction := share
	if !isNew {
		fraction = 1 - share
	}
	count := max(3, int(math.Ceil(float64(s.trial.size.replicas)*fraction)))
	number, found := s.choose(d, rq, isNew, count)
	if !found {
		s.waiting = append(s.waiting, rq)
		return
	}
	s.requestCount++
	rq.id, rq.step, rq.share, rq.endpointSlot = s.requestCount, step, share, endpointSlot{isNew: isNew, number: number}
	second := float64(now) + s.random.Float64()
	bad := isNew && s.trial.badAt(rq.route, second, share)
	if bad {
		s.countBad(rq.route, second)
	}
	s.drawOutcome(rq, now, second, bad)
	s.inFlight[rq.endpointSlot] = append(s.inFlight[rq.endpointSlot], rq)
	if d.crashes.Suspects() > 0 {
		d.updateCrashes(s, crash.Placed{Request: rq.crashRequest(), Endpoint: s.endpoint(rq.endpointSlot)}, now)
	}
}

// choose picks a random endpoint among those that the crash state allows. It returns false if there
// is none.
func (s *simulation) choose(d *daemon, rq *simRequest, isNew bool, count int) (int, bool) {
	if d.crashes.Suspects() == 0 {
		return s.random.IntN(count), true
	}
	names := make([]string, count)
	for i := range names {
		names[i] = s.endpoint(endpointSlot{isNew: isNew, number: i})
	}
	allowed := d.crashes.Candidates(rq.fingerprint, names)
	if len(allowed) == 0 {
		return 0, false
	}
	return slices.Index(names, allowed[s.random.IntN(len(allowed))]), true
}

func (s *simulation) drawOutcome(rq *simRequest, now int, second float64, bad bool) {
	p := s.trial.ratesAt(second, bad)
	r := s.random
	duration := 1 + r.ExpFloat64()*(meanSeconds-1)
	rq.failed = r.Float64() < p.failure
	rq.slowFirst = r.Float64() < p.slowFirst
	rq.slowGaps = r.Float64() < p.slowGaps
	rq.interrupted = r.Float64() < p.interrupted
	if s.trial.inWave(second, waveSeconds) {
		hitRate := s.trial.hitOld
		if rq.endpointSlot.isNew {
			hitRate = s.trial.hitNew
		}
		rq.reclaimed = r.Float64() < hitRate
	}
	if rq.failed || rq.interrupted || rq.reclaimed {
		duration *= r.Float64()
	}
	rq.crashPlanned = rq.poison || r.Float64() < p.crash
	if rq.crashPlanned {
		when := now + 1 + r.IntN(2)
		s.crashes[when] = append(s.crashes[when], rq)
		return
	}
	when := now + 1 + int(duration)
	s.ending[when] = append(s.ending[when], rq)
}

func (s *simulation) countBad(route int, second float64) {
	r := &s.results[route]
	if r.badSince < 0 {
		r.badSince = second
	}
	r.lastBad = second
	r.badRequests++
}

// finishRequest counts a request that ended without an endpoint crash. A daemon that has restarted
// since it sent the request does not count it.
func (s *simulation) finishRequest(rq *simRequest, now int) {
	if rq.interruptedByCrash {
		return
	}
	s.removeInFlight(rq)
	d := s.daemons[rq.daemon]
	if d.incarnation != rq.incarnation {
		return
	}
	e := d.counter(counterKey{route: rq.route, step: rq.step, share: rq.share, isNew: rq.endpointSlot.isNew})
	switch {
	case rq.reclaimed:
		e.Excluded++
	case rq.interrupted:
		e.Excluded++
		e.Interrupted++
	default:
		e.Requests++
		if rq.failed {
			e.Failures++
		} else {
			e.SlowFirst += countOf(rq.slowFirst)
			e.SlowGaps += countOf(rq.slowGaps)
		}
	}
	if d.crashes.Suspects() > 0 {
		whole := !rq.failed && !rq.interrupted && !rq.reclaimed
		d.updateCrashes(s, crash.Ended{Request: rq.crashRequest(), Endpoint: s.endpoint(rq.endpointSlot), Complete: whole}, now)
	}
}

// crash crashes the endpoint of a request and interrupts all requests in flight there.
func (s *simulation) crash(rq *simRequest, now int) {
	if rq.interruptedByCrash {
		return
	}
	endpoint := s.endpoint(rq.endpointSlot)
	affected := s.inFlight[rq.endpointSlot]
	delete(s.inFlight, rq.endpointSlot)
	s.generations[rq.endpointSlot]++
	for i, d := range s.daemons {
		var requests []crash.Request
		var own []*simRequest
		for _, other := range affected {
			other.interruptedByCrash = true
			if other.daemon == i && other.incarnation == d.incarnation {
				requests = append(requests, other.crashRequest())
				own = append(own, other)
			}
		}
		if len(requests) == 0 {
			continue
		}
		commands := d.updateCrashes(s, crash.Crashed{
			ID: endpoint, Endpoint: endpoint, Version: versionName(rq.endpointSlot.isNew), Moving: rq.endpointSlot.isNew,
			InFlight: requests, Now: timeAt(float64(now)),
		}, now)
		s.retry(own, commands)
	}
	if rq.poison && rq.resendsLeft > 0 {
		next := &simRequest{fingerprint: rq.fingerprint, poison: true, resendsLeft: rq.resendsLeft - 1}
		when := now + 10 + s.random.IntN(20)
		s.resending[when] = append(s.resending[when], next)
	}
}

// retry queues the requests that the crash state allows to be retried.
func (s *simulation) retry(requests []*simRequest, commands []crash.Command) {
	for _, command := range commands {
		again, ok := command.(crash.Retry)
		if !ok {
			continue
		}
		for _, rq := range requests {
			if strconv.Itoa(rq.id) == again.RequestID {
				s.waiting = append(s.waiting, &simRequest{
					fingerprint: rq.fingerprint, daemon: rq.daemon, route: rq.route,
					poison: rq.poison, avoidNew: again.AvoidVersion != "",
				})
			}
		}
	}
}

// updateCrashes applies a message to the daemon's crash state, updates the counters and sends the
// resulting attributions and quarantines to its peers.
func (d *daemon) updateCrashes(sim *simulation, message crash.Message, now int) []crash.Command {
	next, commands := d.crashes.Update(message)
	d.crashes = next
	for _, command := range commands {
		switch c := command.(type) {
		case crash.Charge:
			for _, p := range c.Scopes {
				e := d.counter(counterKeyOf(p, c.Version))
				e.Requests++
				e.Failures++
			}
		case crash.Attribute:
			for _, p := range c.Scopes {
				e := d.counter(counterKeyOf(p, c.Version))
				e.Excluded++
				e.RequestCrashes++
				if c.Charged {
					e.Excused++
				}
			}
			if !c.Peer {
				sim.broadcast(d, crash.Attributed{ID: c.ID, Fingerprint: c.Fingerprint, Account: c.Account}, now)
			}
		case crash.Quarantine:
			sim.broadcast(d, crash.Quarantined{Entry: c.Entry}, now)
		}
	}
	return commands
}

// broadcast sends a message to all other daemons.
func (s *simulation) broadcast(from *daemon, message crash.Message, now int) {
	for _, d := range s.daemons {
		if d != from {
			d.updateCrashes(s, message, now)
		}
	}
}

func (s *simulation) removeInFlight(rq *simRequest) {
	requests := s.inFlight[rq.endpointSlot]
	if i := slices.Index(requests, rq); i >= 0 {
		s.inFlight[rq.endpointSlot] = slices.Delete(requests, i, i+1)
	}
}

func (s *simulation) endpoint(slot endpointSlot) string {
	return versionName(slot.isNew) + "-" + strconv.Itoa(slot.number) + "." + strconv.Itoa(s.generations[slot])
}

func (rq *simRequest) crashRequest() crash.Request {
	return crash.Request{
		RequestID: strconv.Itoa(rq.id), Fingerprint: rq.fingerprint, Account: "counter",
		Scope: crash.Scope{Route: strconv.Itoa(rq.route), Step: rq.step, Share: rq.share},
	}
}

// counterKeyOf returns the key of the counters to which a crash is charged.
func counterKeyOf(p crash.Scope, version string) counterKey {
	route, _ := strconv.Atoi(p.Route)
	return counterKey{route: route, step: p.Step, share: p.Share, isNew: version == versionName(true)}
}

func (d *daemon) counter(key counterKey) *wire.Evidence {
	e := d.counters[key]
	if e == nil {
		e = &wire.Evidence{
			Move: moveID(key.route), Route: strconv.Itoa(key.route), Version: versionName(key.isNew), Step: key.step, Share: key.share,
		}
		d.counters[key] = e
		d.order = append(d.order, e)
	}
	return e
}

func versionName(isNew bool) string {
	if isNew {
		return "new"
	}
	return "old"
}

func countOf(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
