package main

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lentilstage.dev/decide/admit"
	"lentilstage.dev/decide/choice"
)

type (
	// replayPolicy is a way to choose an endpoint and to refuse.
	replayPolicy struct {
		name  string
		pick  func(r choice.Request, candidates []choice.Candidate, random func() float64) (choice.Picked, bool)
		admit func(r admit.Request, picked choice.Picked, now time.Time) bool
		// tells says that daemons tell each other where they have sent shared parts, fetches that
		// engines fetch them from each other.
		tells, fetches bool
	}

	// replayed is what became of an arrival in the model.
	replayed struct {
		refused bool
		// first is the time to the first event in ms, negative without one; predicted is what the
		// choice has predicted.
		first, predicted float64
		sends            int
		// read is the number of prompt tokens that engines have read for it.
		read int
	}

	// replayModel runs a load against modelled engines.
	replayModel struct {
		*timeline
		policy  replayPolicy
		random  *rand.Rand
		engines map[string]*engine
		order   []string
		daemons map[string]*replayDaemon
		total   map[string]choice.Load
		results []replayed
		load    load
		// news are the parts that were sent since the last digests.
		news []cachedPart
	}

	// replayDaemon is a daemon's view: its own placements, and those of the others as of the
	// last digests.
	replayDaemon struct {
		name   string
		own    map[string]choice.Load
		others map[string]choice.Load
		cached map[cachedPart]time.Time
	}

	cachedPart struct{ endpoint, session string }
)

const (
	// digestPause is the pause between digests of up to digestDaemons; with more it grows with
	// their number. A digest waits for the next totals of its hub, half of a pause on average.
	digestPause   = 100 * time.Millisecond
	digestDaemons = 40
	// cacheLasts is how long a daemon takes a part that it has sent to be kept.
	cacheLasts = 8 * time.Second
	// fetchPerMS is the tokens that the users' engines give each other in a millisecond: 160 KB each
	// over 530 Gbit/s.
	fetchPerMS = 404
	// maxSends bounds the sends of one request to engines that go.
	maxSends = 2
)

var (
	presentPolicy = replayPolicy{name: "lentilstage", pick: choice.Pick, admit: admitted, tells: true, fetches: true}
	// recordPolicy has the decisions of the time at which the loads of testdata were recorded, and
	// serves to check the model against the record.
	recordPolicy = replayPolicy{name: "at the record", pick: pickOfAll, admit: admitLong}
)

// promptPolicies are the present decisions with less knowledge of where prompts are kept.
var promptPolicies = []replayPolicy{
	{name: "nothing fetched", pick: choice.Pick, admit: admitted, tells: true},
	{name: "own prompts known", pick: choice.Pick, admit: admitted},
}

// baselines are the policies that the present one is compared with.
var baselines = []replayPolicy{
	recordPolicy,
	{name: "no refusals", pick: choice.Pick, admit: always},
	{name: "fewest requests", pick: pickFewest, admit: always},
	{name: "fewest, refuse full", pick: pickFewest, admit: func(_ admit.Request, p choice.Picked, _ time.Time) bool { return p.Free }},
	{name: "random", pick: pickRandom, admit: always},
}

// pickOfAll compares all candidates, as daemons did when the loads of testdata were recorded.
func pickOfAll(r choice.Request, candidates []choice.Candidate, random func() float64) (choice.Picked, bool) {
	r.Fits = func(choice.Picked) bool { return false }
	return choice.Pick(r, candidates, random)
}

// admitLong admits the queues that daemons admitted at that time.
func admitLong(r admit.Request, _ choice.Picked, _ time.Time) bool {
	const firstPart, rankStep, leastPart, hopelessPart = 0.95, 0.15, 0.25, 0.9
	target := float64(r.Target)
	limit := max((firstPart-rankStep*float64(r.Rank))*target-float64(r.Own), leastPart*target)
	return float64(r.Wait-r.Own) <= limit && float64(r.Wait) <= hopelessPart*float64(r.Left)
}

func admitted(r admit.Request, _ choice.Picked, now time.Time) bool {
	return admit.Decide(r, now).Admitted
}

func always(admit.Request, choice.Picked, time.Time) bool { return true }

// pickFewest takes the endpoint with the fewest requests, at random among equal ones.
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
	return choice.Picked{Candidate: c, Free: c.Load.Requests < c.Slots}, true
}

// replay runs a load with a policy and returns what became of each arrival. The same seed gives
// the same result.
func replay(l load, policy replayPolicy, seed uint64) []replayed {
	m := &replayModel{
		timeline: newTimeline(), policy: policy, random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{},
		daemons: map[string]*replayDaemon{}, total: map[string]choice.Load{}, results: make([]replayed, len(l.Arrivals)), load: l,
	}
	for _, c := range l.Changes {
		m.after(inMS(c.At), func() { m.change(c) })
	}
	for i, a := range l.Arrivals {
		if m.daemons[a.Daemon] == nil {
			m.daemons[a.Daemon] = &replayDaemon{
				name: a.Daemon, own: map[string]choice.Load{}, others: map[string]choice.Load{}, cached: map[cachedPart]time.Time{},
			}
		}
		m.results[i].first = -1
		m.after(inMS(a.At), func() { m.arrive(i) })
	}
	pause := digestPause * time.Duration(max(1, len(m.daemons)/digestDaemons))
	m.every(pause, func() { m.digests(pause / 2) })
	last := l.Arrivals[len(l.Arrivals)-1]
	m.runUntil(inMS(last.At+float64(last.Left)) + time.Second)
	return m.results
}

func inMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// change adds an engine or takes one away. Requests that it has not begun to answer are sent
// again, once.
func (m *replayModel) change(c endpointChange) {
	if c.Ready {
		m.engines[c.Endpoint] = newEngine(m.timeline, m.load.Engine, c.Endpoint, c.DataCentre)
		m.order = append(m.order, c.Endpoint)
		return
	}
	e := m.engines[c.Endpoint]
	if e == nil {
		return
	}
	delete(m.engines, c.Endpoint)
	m.order = slices.DeleteFunc(m.order, func(id string) bool { return id == c.Endpoint })
	for _, j := range e.end() {
		j.onDone()
	}
}

// digests brings each daemon the loads of the others as they are now, after a delay.
func (m *replayModel) digests(delay time.Duration) {
	total := make(map[string]choice.Load, len(m.total))
	for id, l := range m.total {
		total[id] = l
	}
	for _, d := range m.daemons {
		others := make(map[string]choice.Load, len(total))
		for id, l := range total {
			others[id] = l.Minus(d.own[id])
		}
		m.after(delay, func() { d.others = others })
	}
	if !m.policy.tells {
		return
	}
	news := m.news
	m.news = nil
	m.after(delay, func() {
		for _, d := range m.daemons {
			for _, part := range news {
				d.cached[part] = m.now.Add(cacheLasts)
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
	if m.policy.fetches {
		request.FetchPerMS = fetchPerMS
	}
	passed := float64(m.elapsed().Microseconds())/1000 - a.At
	request.Fits = func(picked choice.Picked) bool {
		return m.policy.admit(admit.Request{
			Wait: inMS(picked.Wait), Own: inMS(picked.Own()), Target: inMS(float64(a.Target)),
			Left: inMS(float64(a.Left) - passed), Rank: a.Rank,
		}, picked, m.now)
	}
	picked, ok := m.policy.pick(request, m.candidates(d, a), m.random.Float64)
	if !ok || !request.Fits(picked) {
		m.results[i].refused = true
		return
	}
	m.results[i].sends++
	m.results[i].predicted = picked.Wait
	m.send(i, d, m.engines[picked.Candidate.ID], request, picked)
}

// send places a request, as a daemon counts it, and gives it to the engine.
func (m *replayModel) send(i int, d *replayDaemon, e *engine, request choice.Request, picked choice.Picked) {
	a := m.load.Arrivals[i]
	if a.Session != "" {
		part := cachedPart{e.id, a.Session}
		d.cached[part] = m.now.Add(cacheLasts)
		m.news = append(m.news, part)
	}
	placed := choice.Load{Requests: 1, Reading: float64(picked.Uncached), Memory: float64(request.Prompt + request.Answer)}
	m.count(d, e.id, placed)
	e.send(&job{
		source: m.engines[picked.Source], onRead: func(tokens int) { m.results[i].read += tokens },
		session: a.Session, prompt: a.Prompt, shared: a.Shared, answer: request.Answer, rank: a.Rank,
		onFirst: func() {
			m.count(d, e.id, choice.Load{Reading: -placed.Reading})
			placed.Reading = 0
			m.results[i].first = float64(m.elapsed().Microseconds())/1000 - a.At
		},
		onDone: func() {
			m.count(d, e.id, choice.Load{}.Minus(placed))
			if m.results[i].first < 0 && m.results[i].sends < maxSends {
				m.arrive(i)
			}
		},
	})
}

func (m *replayModel) candidates(d *replayDaemon, a arrival) []choice.Candidate {
	all := make([]choice.Candidate, 0, len(m.order))
	for _, id := range m.order {
		c := choice.Candidate{
			ID: id, DataCentre: m.engines[id].dataCentre, Slots: m.load.Engine.Slots, Memory: m.load.Engine.Memory,
			Load: d.own[id].Plus(d.others[id]), Local: strings.Contains(d.name, m.engines[id].dataCentre),
		}
		if a.Session != "" && m.now.Before(d.cached[cachedPart{id, a.Session}]) {
			c.Cached = a.Shared
		}
		all = append(all, c)
	}
	return all
}

func (m *replayModel) count(d *replayDaemon, endpoint string, l choice.Load) {
	d.own[endpoint] = d.own[endpoint].Plus(l)
	m.total[endpoint] = m.total[endpoint].Plus(l)
}
