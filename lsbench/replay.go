package main

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilstage.dev/decide/admit"
	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/pace"
)

type (
	// replayPolicy chooses an endpoint for a request and admits or refuses it.
	replayPolicy struct {
		name  string
		pick  func(r choice.Request, candidates []choice.Candidate, random func() float64) (choice.Picked, bool)
		admit func(r admit.Request, picked choice.Picked, now time.Time) bool
		// publishes makes daemons publish to which endpoints they have sent shared prefixes; fetches
		// lets engines fetch shared prefixes from each other.
		publishes, fetches bool
		// measures makes daemons fit the usual speed of the engines, estimates makes them also estimate each engine's
		// speed and share it. knows gives them the true speeds.
		measures, estimates, knows bool
	}

	// replayOutcome is the outcome of an arrival in the model.
	replayOutcome struct {
		refused bool
		// firstEvent is the time to the first event in milliseconds, negative if there was none;
		// predicted is the prediction for it when the endpoint was chosen.
		firstEvent, predicted float64
		attempts              int
		// readTokens is the number of prompt tokens that engines have read for the request.
		readTokens int
		// endpoint is the endpoint of the last attempt.
		endpoint string
	}

	// replayModel replays a load against simulated engines.
	replayModel struct {
		*timeline
		policy      replayPolicy
		random      *rand.Rand
		engines     map[string]*engine
		endpointIDs []string
		daemons     map[string]*replayDaemon
		totals      map[string]choice.Load
		results     []replayOutcome
		load        load
		// unpublished holds the prefixes that were sent since the last digests.
		unpublished []cachedPrefix
		// speeds are the estimates of the daemons' hub.
		speeds *speedSharing
		// again sends a request again whose engine was removed; nil stands for arrive.
		again func(i int)
		// ended is called when an engine is done with a request; nil for no call.
		ended func(i int, e *engine)
	}

	// replayDaemon is a daemon's view of the load: its own placements, and those of the other
	// daemons as of the last digests.
	replayDaemon struct {
		name   string
		own    map[string]choice.Load
		others map[string]choice.Load
		cached map[cachedPrefix]time.Time
		fit    *pace.State
		// observed is what the daemon has observed of the engines' speeds since its last digest.
		observed map[uint32]pace.Tally
	}

	// cachedPrefix identifies a session's shared prefix at an endpoint.
	cachedPrefix struct{ endpoint, session string }
)

const (
	// digestInterval is the interval between digests with up to digestBaseDaemons daemons. It grows
	// with the number of daemons above that. A digest waits for the next totals of its hub, on
	// average for half an interval.
	digestInterval    = 100 * time.Millisecond
	digestBaseDaemons = 40
	// cacheTTL is how long a daemon expects an endpoint to keep a prefix that was sent there.
	cacheTTL = 8 * time.Second
	// fetchTokensPerMS is the number of tokens per millisecond that an engine fetches from another
	// one: 160 KB for each token over a link of 530 Gbit/s.
	fetchTokensPerMS = 404
	// maxAttempts limits how often a request is sent when its engine is removed before the first event.
	maxAttempts = 2
)

var (
	currentPolicy = replayPolicy{name: "lentilstage", pick: choice.Pick, admit: admitCurrent, publishes: true, fetches: true}
	// recordedPolicy makes the decisions that daemons made when the loads in testdata were recorded.
	// It is used to check the model against the recorded times.
	recordedPolicy = replayPolicy{name: "at the record", pick: pickAsRecorded, admit: admitLongQueue}
)

// ablationPolicies make the current decisions with less information about cached prefixes. Each has
// less than the one before.
var ablationPolicies = []replayPolicy{
	{name: "nothing fetched", pick: choice.Pick, admit: admitCurrent, publishes: true},
	{name: "own prompts known", pick: choice.Pick, admit: admitCurrent},
}

// baselinePolicies are the policies with which the current one is compared.
var baselinePolicies = []replayPolicy{
	recordedPolicy,
	{name: "all compared, long queues", pick: pickFromAll, admit: admitLongQueue},
	{name: "no refusals", pick: choice.Pick, admit: admitAlways},
	{name: "fewest requests", pick: pickFewest, admit: admitAlways},
	{name: "fewest, refuse full", pick: pickFewest, admit: func(_ admit.Request, p choice.Picked, _ time.Time) bool { return p.HasCapacity }},
	{name: "random", pick: pickRandom, admit: admitAlways},
}

// pickAsRecorded makes the choice of the daemons that recorded the loads in testdata. They compared the
// predicted waits of all candidates, expected a session's home endpoint to have the shared prefix cached
// even if no daemon had sent it there, and added no cost for prefixes that were read elsewhere.
func pickAsRecorded(r choice.Request, candidates []choice.Candidate, random func() float64) (choice.Picked, bool) {
	if home := homeEndpoint(r.Session, candidates); home >= 0 {
		candidates = slices.Clone(candidates)
		candidates[home].Cached = max(candidates[home].Cached, r.Shared)
	}
	// choice.Pick adds the cost of a moved prefix only to requests with shared tokens.
	r.Shared = 0
	return pickFromAll(r, candidates, random)
}

// pickFromAll always compares all candidates.
func pickFromAll(r choice.Request, candidates []choice.Candidate, random func() float64) (choice.Picked, bool) {
	r.Admits = func(choice.Picked) bool { return false }
	return choice.Pick(r, candidates, random)
}

// homeEndpoint returns the position of the first candidate in the rendezvous order of a session, -1 if
// there is no session or no candidate.
func homeEndpoint(session string, candidates []choice.Candidate) int {
	home, highestScore := -1, uint64(0)
	if session == "" {
		return home
	}
	for i, c := range candidates {
		if score := xxhash.Sum64String(session + "/" + c.ID); home < 0 || score > highestScore {
			home, highestScore = i, score
		}
	}
	return home
}

// admitLongQueue admits requests to queues as long as daemons admitted when the loads in testdata
// were recorded.
func admitLongQueue(r admit.Request, _ choice.Picked, _ time.Time) bool {
	const firstFraction, rankStep, minFraction, maxDeadlineFraction = 0.95, 0.15, 0.25, 0.9
	target := float64(r.Target)
	limit := max((firstFraction-rankStep*float64(r.Rank))*target-float64(r.Own), minFraction*target)
	return float64(r.Wait-r.Own) <= limit && float64(r.Wait) <= maxDeadlineFraction*float64(r.Left)
}

func admitCurrent(r admit.Request, _ choice.Picked, now time.Time) bool {
	return admit.Decide(r, now).Admitted
}

func admitAlways(admit.Request, choice.Picked, time.Time) bool { return true }

// pickFewest picks the endpoint with the fewest requests, at random among equals.
func pickFewest(_ choice.Request, candidates []choice.Candidate, random func() float64) (choice.Picked, bool) {
	fewest := math.MaxInt
	var equal []choice.Candidate
	for _, c := range candidates {
		switch n := c.Load.Requests; {
		case n < fewest:
			fewest, equal = n, append(equal[:0], c)
		case n == fewest:
			equal = append(equal, c)
		}
	}
	return pickRandom(choice.Request{}, equal, random)
}

func pickRandom(_ choice.Request, candidates []choice.Candidate, random func() float64) (choice.Picked, bool) {
	if len(candidates) == 0 {
		return choice.Picked{}, false
	}
	c := candidates[int(random()*float64(len(candidates)))]
	return choice.Picked{Candidate: c, HasCapacity: c.Load.Requests < c.Slots}, true
}

// replay replays a load with a policy and returns the outcome of each arrival. Runs with the same
// seed return the same outcomes.
func replay(l load, policy replayPolicy, seed uint64) []replayOutcome {
	m := &replayModel{
		timeline: newTimeline(), policy: policy, random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{},
		daemons: map[string]*replayDaemon{}, totals: map[string]choice.Load{}, results: make([]replayOutcome, len(l.Arrivals)), load: l,
		speeds: newSpeedSharing(),
	}
	for _, c := range l.Changes {
		m.after(fromMilliseconds(c.At), func() { m.applyChange(c) })
	}
	for i, a := range l.Arrivals {
		if m.daemons[a.Daemon] == nil {
			m.daemons[a.Daemon] = &replayDaemon{
				name: a.Daemon, own: map[string]choice.Load{}, others: map[string]choice.Load{}, cached: map[cachedPrefix]time.Time{},
				fit: pace.New(), observed: map[uint32]pace.Tally{},
			}
		}
		m.results[i].firstEvent = -1
		m.after(fromMilliseconds(a.At), func() { m.arrive(i) })
	}
	interval := digestInterval * time.Duration(max(1, len(m.daemons)/digestBaseDaemons))
	m.every(interval, func() { m.sendDigests(interval / 2) })
	if policy.estimates {
		m.every(compareInterval, m.compareSpeeds)
	}
	last := l.Arrivals[len(l.Arrivals)-1]
	m.runUntil(fromMilliseconds(last.At+float64(last.Left)) + time.Second)
	return m.results
}

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// applyChange adds or removes an engine. Requests without a first event at a removed engine are
// retried up to maxAttempts.
func (m *replayModel) applyChange(c endpointChange) {
	if c.Ready {
		m.engines[c.Endpoint] = newEngine(m.timeline, m.load.Engine, c.Endpoint, c.DataCentre)
		m.varySpeed(m.engines[c.Endpoint])
		m.endpointIDs = append(m.endpointIDs, c.Endpoint)
		return
	}
	e := m.engines[c.Endpoint]
	if e == nil {
		return
	}
	delete(m.engines, c.Endpoint)
	m.endpointIDs = slices.DeleteFunc(m.endpointIDs, func(id string) bool { return id == c.Endpoint })
	for _, j := range e.remove() {
		j.onDone()
	}
}

// sendDigests delivers to each daemon, after a delay, the present loads of the other daemons and
// the prefixes sent since the last digests.
func (m *replayModel) sendDigests(delay time.Duration) {
	totals := make(map[string]choice.Load, len(m.totals))
	for id, l := range m.totals {
		totals[id] = l
	}
	for _, d := range m.daemons {
		others := make(map[string]choice.Load, len(totals))
		for id, l := range totals {
			others[id] = l.Minus(d.own[id])
		}
		m.after(delay, func() { d.others = others })
	}
	m.collectSpeeds()
	if !m.policy.publishes {
		return
	}
	unpublished := m.unpublished
	m.unpublished = nil
	m.after(delay, func() {
		for _, d := range m.daemons {
			for _, prefix := range unpublished {
				d.cached[prefix] = m.now.Add(cacheTTL)
			}
		}
	})
}

func (m *replayModel) arrive(i int) {
	a, d := m.load.Arrivals[i], m.daemons[m.load.Arrivals[i].Daemon]
	request := choice.Request{
		Session: a.Session, Prompt: a.Prompt, Shared: a.Shared, Answer: max(a.Answer, 1), Model: true,
		Target: float64(a.Target),
	}
	if m.policy.measures {
		request.Pace = d.fit.Estimate()
	}
	if m.policy.fetches {
		request.FetchPerMS = fetchTokensPerMS
	}
	waited := float64(m.elapsed().Microseconds())/1000 - a.At
	request.Admits = func(picked choice.Picked) bool {
		return m.policy.admit(admit.Request{
			Wait: fromMilliseconds(picked.Wait), Own: fromMilliseconds(picked.Own()), Target: fromMilliseconds(float64(a.Target)),
			Left: fromMilliseconds(float64(a.Left) - waited), Rank: a.Rank,
		}, picked, m.now)
	}
	picked, ok := m.policy.pick(request, m.candidates(d, a), m.random.Float64)
	if !ok || !request.Admits(picked) {
		m.results[i].refused = true
		return
	}
	m.results[i].attempts++
	m.results[i].predicted, m.results[i].endpoint = picked.Wait, picked.Candidate.ID
	m.enqueue(i, d, m.engines[picked.Candidate.ID], request, picked)
}

// enqueue adds a request to the daemon's placements and enqueues it at the engine.
func (m *replayModel) enqueue(i int, d *replayDaemon, e *engine, request choice.Request, picked choice.Picked) {
	a := m.load.Arrivals[i]
	if a.Session != "" {
		prefix := cachedPrefix{e.id, a.Session}
		d.cached[prefix] = m.now.Add(cacheTTL)
		m.unpublished = append(m.unpublished, prefix)
	}
	placed := choice.Load{Requests: 1, Reading: float64(picked.Uncached), Memory: float64(request.Prompt + request.Answer)}
	m.addLoad(d, e.id, placed)
	sentAt, firstAt := m.now, time.Time{}
	e.enqueue(&job{
		source: m.engines[picked.Source], onRead: func(tokens int) { m.results[i].readTokens += tokens },
		session: a.Session, prompt: a.Prompt, shared: a.Shared, answer: request.Answer, rank: a.Rank,
		onFirst: func() {
			m.addLoad(d, e.id, choice.Load{Reading: -placed.Reading})
			placed.Reading = 0
			m.results[i].firstEvent = float64(m.elapsed().Microseconds())/1000 - a.At
			firstAt = m.now
			m.recordFirst(d, picked, firstAt.Sub(sentAt))
		},
		onDone: func() {
			m.addLoad(d, e.id, choice.Load{}.Minus(placed))
			if !firstAt.IsZero() && !e.removed {
				m.recordAnswer(d, picked, request.Answer-1, m.now.Sub(firstAt))
			}
			if m.ended != nil {
				m.ended(i, e)
			}
			if m.results[i].firstEvent < 0 && m.results[i].attempts < maxAttempts {
				if m.again != nil {
					m.again(i)
				} else {
					m.arrive(i)
				}
			}
		},
	})
}

func (m *replayModel) candidates(d *replayDaemon, a arrival) []choice.Candidate {
	all := make([]choice.Candidate, 0, len(m.endpointIDs))
	for _, id := range m.endpointIDs {
		c := choice.Candidate{
			ID: id, DataCentre: m.engines[id].dataCentre, Slots: m.load.Engine.Slots, Memory: m.load.Engine.Memory,
			Load: d.own[id].Plus(d.others[id]), Local: strings.Contains(d.name, m.engines[id].dataCentre),
		}
		if a.Session != "" && m.now.Before(d.cached[cachedPrefix{id, a.Session}]) {
			c.Cached = a.Shared
		}
		c.Speed = m.speedOf(id)
		all = append(all, c)
	}
	return all
}

func (m *replayModel) addLoad(d *replayDaemon, endpoint string, l choice.Load) {
	d.own[endpoint] = d.own[endpoint].Plus(l)
	m.totals[endpoint] = m.totals[endpoint].Plus(l)
}
