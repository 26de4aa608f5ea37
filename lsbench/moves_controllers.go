package main

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"lentilstage.dev/decide/moves"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

type (
	// sequentialTest runs the decision code of version moves on each daemon. Digests, alarms and the
	// state of the log reach the daemons with a delay.
	sequentialTest struct {
		trial    trial
		random   *rand.Rand
		log      []logState
		deciders []*decider
		// inTransit holds the digest entries and alarms that are being sent, by the second of arrival.
		inTransit map[int][]peerMessage
		ends      []ending
		// recentRequests holds the number of requests in each of the last 60 seconds.
		recentRequests   []int
		lastRequestCount int
	}

	// logState is the state of the table after a log record.
	logState struct {
		second int
		state  table.State
	}

	// decider is the state of the sequential test on one daemon.
	decider struct {
		incarnation int
		book        moves.EvidenceStore
		// logLag is the number of seconds by which the daemon's state is behind the log.
		logLag int
		routes []routeView
	}

	routeView struct {
		share float64
		step  int
		alarm string
		// dueSince is the time at which the proposed step became due at the daemon; stepFrom identifies
		// the step.
		dueSince time.Time
		proposed bool
		stepFrom int
		state    table.StepState
	}

	// peerMessage is a digest entry or an alarm sent from one daemon to another.
	peerMessage struct {
		to    int
		entry wire.DigestEntry
		// alarm is the reason of an alarm for the route; it is empty for a digest entry.
		alarm string
		route int
	}

	// ending is the end of a move: done once it has ended, finished unless it was rolled back.
	ending struct {
		second   int
		finished bool
		done     bool
		reason   string
	}

	// fixedSteps is the baseline: shares of 1%, 10%, 50% and 100% for equal times, and a rollback at a
	// fixed rate of failures or slow requests. It reads the counters of all daemons without a delay
	// and excludes the same requests as the sequential test.
	fixedSteps struct {
		trial trial
		// minRequests is the minimum number of requests at a step for a rollback.
		minRequests int64
		steps       []int
		ends        []ending
	}
)

const (
	// digestLossRate is the probability that a digest is lost.
	digestLossRate = 0.05
	// baselineMaxRate is the rate of failures or slow requests at which the baseline rolls back.
	baselineMaxRate = 0.05
)

var baselineShares = []float64{0.01, 0.1, 0.5, 1}

func newSequentialTest(t trial, sim *simulation) *sequentialTest {
	st := &sequentialTest{
		trial: t, random: rand.New(rand.NewPCG(t.seed, 3)), inTransit: map[int][]peerMessage{},
		ends: make([]ending, t.routes),
	}
	state := table.NewState()
	for r := range t.routes {
		row := st.row(r)
		state.Routes[row.Name] = row
		estimate := moves.EstimateMove(row, t.arrivalRate(0), typicalCounts, trialStart)
		sim.results[r].feasible = estimate.Feasible
		if !estimate.FinishTime.IsZero() {
			sim.results[r].forecast = estimate.FinishTime.Sub(trialStart).Seconds()
		}
	}
	st.log = []logState{{second: -10, state: state}}
	for range daemonCount {
		st.deciders = append(st.deciders, newDecider(st.random, t.routes, 0))
	}
	return st
}

// typicalCounts are the counts of the old version over the past day.
var typicalCounts = moves.Counts{Requests: 100_000, Failures: 500, SlowFirst: 2_000, SlowGaps: 2_000, Doubtful: 200}

func newDecider(r *rand.Rand, routes, incarnation int) *decider {
	return &decider{incarnation: incarnation, logLag: r.IntN(3), routes: make([]routeView, routes)}
}

func (st *sequentialTest) row(route int) table.Route {
	return table.Route{
		Name: strconv.Itoa(route), Revision: int64(route) + 1, Kind: table.Model,
		Versions: []table.WeightedVersion{{Version: versionName(false), Weight: 1}},
		MoveTo:   versionName(true), FirstShare: st.trial.firstShare,
		MoveDeadline: timeAt(float64(st.trial.deadline)),
	}
}

// moveID returns the identifier of a route's move. The revision of the row is the route's number plus
// one.
func moveID(route int) string {
	return table.Route{Name: strconv.Itoa(route), Revision: int64(route) + 1, MoveTo: versionName(true)}.MoveID()
}

func (st *sequentialTest) share(daemon, route int) (float64, int) {
	v := st.deciders[daemon].routes[route]
	return v.share, v.step
}

func (st *sequentialTest) ended(route int) ending { return st.ends[route] }

func (st *sequentialTest) advance(sim *simulation, now int) {
	for _, msg := range st.inTransit[now] {
		dec := st.deciders[msg.to]
		if msg.alarm != "" {
			dec.routes[msg.route].alarm = msg.alarm
		} else {
			dec.book = dec.book.With(msg.entry)
		}
	}
	delete(st.inTransit, now)
	rate := st.trafficRate(sim)
	for i, d := range sim.daemons {
		dec := st.deciders[i]
		if dec.incarnation != d.incarnation {
			dec = newDecider(st.random, st.trial.routes, d.incarnation)
			st.deciders[i] = dec
		}
		st.sendDigest(i, d, now)
		state := st.stateAt(now - dec.logLag)
		for route := range st.trial.routes {
			st.decide(i, route, state, rate, now)
		}
	}
}

// trafficRate returns the mean number of requests per second and route over the last minute.
func (st *sequentialTest) trafficRate(sim *simulation) float64 {
	st.recentRequests = append(st.recentRequests, sim.requestCount-st.lastRequestCount)
	st.lastRequestCount = sim.requestCount
	if len(st.recentRequests) > 60 {
		st.recentRequests = st.recentRequests[1:]
	}
	total := 0
	for _, n := range st.recentRequests {
		total += n
	}
	// The simulation counts each request twice, when it arrives and when it is sent.
	return float64(total) / 2 / float64(len(st.recentRequests)*st.trial.routes)
}

func (st *sequentialTest) sendDigest(from int, d *daemon, now int) {
	d.sequence++
	entry := wire.DigestEntry{Process: d.name, Incarnation: strconv.Itoa(d.incarnation), Sequence: d.sequence}
	for _, e := range d.order {
		entry.Evidence = append(entry.Evidence, *e)
	}
	for to := range st.deciders {
		if to == from {
			st.deciders[to].book = st.deciders[to].book.With(entry)
		} else if st.random.Float64() >= digestLossRate {
			arrival := now + 1 + st.random.IntN(2)
			st.inTransit[arrival] = append(st.inTransit[arrival], peerMessage{to: to, entry: entry})
		}
	}
}

func (st *sequentialTest) stateAt(second int) table.State {
	for _, l := range slices.Backward(st.log) {
		if l.second <= second {
			return l.state
		}
	}
	return st.log[0].state
}

func (st *sequentialTest) decide(i, route int, state table.State, rate float64, now int) {
	dec := st.deciders[i]
	v := &dec.routes[route]
	row := st.row(route)
	move, _ := state.MoveOf(row)
	decision := moves.Decide(moves.View{
		Move: move, Route: row, Evidence: dec.book.Evidence(move.Move, row.MoveTo),
		Rate: rate, Alarm: v.alarm, Now: timeAt(float64(now)),
	})
	v.share, v.step = decision.LocalShare, move.Step
	if decision.Stop && v.alarm == "" {
		v.alarm = decision.Reason
		for to := range st.deciders {
			arrival := now + 1 + st.random.IntN(2)
			st.inTransit[arrival] = append(st.inTransit[arrival], peerMessage{to: to, alarm: decision.Reason, route: route})
		}
	}
	step, due := decision.Step.Get()
	if !due {
		v.proposed = false
		return
	}
	if !v.proposed || v.stepFrom != step.FromStep || v.state != step.State {
		v.dueSince, v.proposed, v.stepFrom, v.state = timeAt(float64(now)), true, step.FromStep, step.State
	}
	names := make([]string, daemonCount)
	for d := range names {
		names[d] = "entry-" + strconv.Itoa(d)
	}
	outage := now >= st.trial.outageFrom && now < st.trial.outageUntil
	if outage || timeAt(float64(now)).Before(moves.ProposalTime(v.dueSince, move, names[i], names)) {
		return
	}
	st.append(route, step, now)
}

// append appends a step to the log and records the end of the move if the step ends it.
func (st *sequentialTest) append(route int, step table.MoveStep, now int) {
	last := st.log[len(st.log)-1].state
	next, outcome := last.Fold(last.Next, table.Record{
		Kind: table.StepRecord, ID: strconv.Itoa(now), Time: timeAt(float64(now)), Step: &step,
	})
	if !outcome.Applied {
		return
	}
	st.log = append(st.log, logState{second: now, state: next})
	if step.State != table.Moving {
		st.ends[route] = ending{second: now, finished: step.State == table.Finished, done: true, reason: step.Reason}
	}
}

func newFixedSteps(t trial, minRequests int64) *fixedSteps {
	return &fixedSteps{trial: t, minRequests: minRequests, steps: make([]int, t.routes), ends: make([]ending, t.routes)}
}

func (f *fixedSteps) share(_, route int) (float64, int) {
	e := f.ends[route]
	switch {
	case e.done && e.finished:
		return 1, len(baselineShares) + 1
	case e.done:
		return 0, len(baselineShares) + 1
	}
	return baselineShares[f.steps[route]], f.steps[route] + 1
}

func (f *fixedSteps) ended(route int) ending { return f.ends[route] }

func (f *fixedSteps) advance(sim *simulation, now int) {
	for route := range f.trial.routes {
		if f.ends[route].done {
			continue
		}
		step := min(now*len(baselineShares)/f.trial.deadline, len(baselineShares)-1)
		f.steps[route] = step
		key := counterKey{route: route, step: step + 1, share: baselineShares[step], isNew: true}
		var requests, failures, slowFirst, slowGaps int64
		for _, d := range sim.daemons {
			if e := d.counters[key]; e != nil {
				requests += e.Requests
				failures += e.Failures - e.Excused
				slowFirst += e.SlowFirst
				slowGaps += e.SlowGaps
			}
		}
		limit := baselineMaxRate * float64(requests)
		over := float64(max(failures, slowFirst, slowGaps)) >= limit
		switch {
		case requests >= f.minRequests && over:
			f.ends[route] = ending{second: now, done: true}
		case now >= f.trial.deadline-1:
			f.ends[route] = ending{second: now, finished: true, done: true}
		}
	}
}
