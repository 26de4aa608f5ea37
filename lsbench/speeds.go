package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/subcommands"

	"lentilstage.dev/decide/admit"
	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/pace"
)

type (
	// speedsCommand compares choices of engines that differ in speed.
	speedsCommand struct {
		seed    uint64
		rate    float64
		seconds int
		// deployment selects the deployments whose names contain it.
		deployment string
	}

	// slowPhases are the times at which engines are slower. Each engine has its own.
	slowPhases struct {
		// factor divides the speed for length, in a fraction of the time.
		factor, fraction float64
		length           time.Duration
	}

	// speedKind is one kind of requests.
	speedKind struct {
		name         string
		perSecond    float64
		target, left int
		rank         int
		// prompt, shared and answer are mean numbers of tokens; sessions is the number of sessions at a time.
		prompt, shared, answer, sessions int
	}

	// speedDeployment is a deployment whose engines differ in speed.
	speedDeployment struct {
		name    string
		daemons int
		engines int
		spec    engineSpec
		speeds  []float64
		kinds   []speedKind
		phases  slowPhases
	}

	// speedSharing holds the estimates of the hub and the last that it has told.
	speedSharing struct {
		estimates *pace.Speeds
		compared  pace.Comparison
	}
)

const (
	// compareInterval is the pause between comparisons of the engines' speeds.
	compareInterval = 500 * time.Millisecond
	// speedWarmUp is the time after which the speeds are to be known.
	speedWarmUp = 10 * time.Second
)

var (
	// speedDeployments have the engines, slots, daemons, rates, targets and deadlines of the two deployments in
	// docs/ROADMAP.md, part 3. The page names neither the lengths of prompts and answers nor the times of the usual
	// engine; these are chosen so that the load is about three quarters of the engines' time.
	speedDeployments = []speedDeployment{
		{
			name: "deployment one", daemons: 91, engines: 89, spec: engineSpec{Slots: 16, Memory: 160_000, StepMS: 8, ReadPerMS: 44, FirstMS: 10},
			speeds: []float64{0.6, 1, 1.6}, phases: slowPhases{factor: 2.5, fraction: 0.15, length: 600 * time.Millisecond},
			kinds: []speedKind{
				{name: "chat", perSecond: 330, target: 500, left: 4000, rank: 1, prompt: 1700, shared: 1000, answer: 110, sessions: 150},
				{name: "completion", perSecond: 240, target: 400, left: 3000, prompt: 500, answer: 60},
				{name: "summary", perSecond: 143, target: 300, left: 12000, rank: 2, prompt: 1500, answer: 130},
			},
		},
		{
			name: "deployment two", daemons: 62, engines: 89, spec: engineSpec{Slots: 64, Memory: 400_000, StepMS: 16, ReadPerMS: 60, FirstMS: 20},
			speeds: []float64{1, 1.3},
			kinds: []speedKind{
				{name: "chat", perSecond: 310, target: 600, left: 5000, rank: 1, prompt: 3700, shared: 1700, answer: 280, sessions: 150},
				{name: "completion", perSecond: 130, target: 1200, left: 3000, rank: 2, prompt: 5700, answer: 170},
				{name: "summary", perSecond: 227, target: 500, left: 15000, prompt: 2000, answer: 310},
			},
		},
		{
			name: "equal engines", daemons: 91, engines: 89, spec: engineSpec{Slots: 16, Memory: 160_000, StepMS: 8, ReadPerMS: 44, FirstMS: 10},
			speeds: []float64{1}, phases: slowPhases{factor: 2.5, fraction: 0.15, length: 600 * time.Millisecond},
			kinds: []speedKind{
				{name: "chat", perSecond: 310, target: 500, left: 4000, rank: 1, prompt: 1700, shared: 1000, answer: 110, sessions: 150},
				{name: "completion", perSecond: 225, target: 400, left: 3000, prompt: 500, answer: 60},
				{name: "summary", perSecond: 134, target: 300, left: 12000, rank: 2, prompt: 1500, answer: 130},
			},
		},
	}

	// landedPolicy is the choice without speeds of single endpoints, speedPolicy the present one.
	landedPolicy = replayPolicy{name: "one speed for all", pick: choice.Pick, admit: admitCurrent, publishes: true, fetches: true, measures: true}
	speedPolicy  = replayPolicy{name: "estimated speeds", pick: choice.Pick, admit: admitCurrent, publishes: true, fetches: true, measures: true, estimates: true}
	knownPolicy  = replayPolicy{name: "true speeds", pick: choice.Pick, admit: admitCurrent, publishes: true, fetches: true, measures: true, knows: true}
)

// speedPolicies returns the policies to compare.
func speedPolicies() []replayPolicy {
	return []replayPolicy{
		speedPolicy, landedPolicy, knownPolicy,
		{name: "fewest requests", pick: pickFewest, admit: admitAlways},
		{name: "fewest, refuse full", pick: pickFewest, admit: admitFree},
		{name: "round robin", pick: newTurn(), admit: admitAlways},
	}
}

// Name returns the command's name.
func (*speedsCommand) Name() string { return "speeds" }

// Synopsis returns the command's short description.
func (*speedsCommand) Synopsis() string {
	return "compare choices of engines that differ in speed"
}

// Usage returns the command's usage.
func (*speedsCommand) Usage() string {
	return "speeds [-seed N] [-rate X] [-seconds N] [-deployment PART]\n"
}

// SetFlags defines the command's flags.
func (c *speedsCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of all random numbers")
	f.Float64Var(&c.rate, "rate", 1, "factor on the traffic")
	f.IntVar(&c.seconds, "seconds", 60, "length of the load in seconds")
	f.StringVar(&c.deployment, "deployment", "", "only deployments whose names contain `PART`")
}

// Execute runs the experiment and prints its tables.
func (c *speedsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	var o output
	o.line("seed %d, rate %g, %d s, without the first %.0f s; percent of all requests", c.seed, c.rate, c.seconds, speedWarmUp.Seconds())
	for _, d := range speedDeployments {
		if !strings.Contains(d.name, c.deployment) {
			continue
		}
		l := d.load(c.seed, c.rate, c.seconds)
		o.line("\n%s, %d requests", d.name, len(l.Arrivals))
		rows := [][]string{row("", "in time", "late", "refused", "lost", "worst 5 s", "p95 ms", "in time by rank", "actual to predicted by speed")}
		for _, p := range speedPolicies() {
			late, run := afterWarmUp(l, replay(l, p, c.seed))
			s := summarize(late, run)
			var byRank, bySpeed string
			for _, fraction := range s.inTimeByRank {
				byRank += percent(fraction) + " "
			}
			for _, speed := range d.speeds {
				bySpeed += fmt.Sprintf("%.2f ", medianRatio(late, run, speed))
			}
			rows = append(rows, []string{
				p.name, percent(s.inTime), percent(s.late), percent(s.refused), percent(s.lost), percent(s.worstWindow),
				fmt.Sprintf("%.0f", s.p95), byRank, bySpeed,
			})
		}
		o.table(rows)
	}
	fmt.Print(o.text.String())
	return subcommands.ExitSuccess
}

// afterWarmUp returns a load and its outcomes without the requests of the warm-up.
func afterWarmUp(l load, run []replayOutcome) (load, []replayOutcome) {
	first := slices.IndexFunc(l.Arrivals, func(a arrival) bool { return fromMilliseconds(a.At) >= speedWarmUp })
	l.Arrivals = slices.Clone(l.Arrivals[first:])
	for i := range l.Arrivals {
		l.Arrivals[i].At -= float64(speedWarmUp.Milliseconds())
	}
	return l, run[first:]
}

// medianRatio returns the median ratio of the time to the first event to its prediction, of the requests at engines with a
// speed.
func medianRatio(l load, run []replayOutcome, speed float64) float64 {
	var ratios []float64
	for _, r := range run {
		if r.predicted > 0 && r.firstEvent > 0 && l.Speeds[r.endpoint] == speed {
			ratios = append(ratios, r.firstEvent/r.predicted)
		}
	}
	if len(ratios) == 0 {
		return math.NaN()
	}
	return quantile(ratios, 0.5)
}

// load draws the load of a deployment. One kind at a time has a burst of 1.5 to 2.2 times its rate for 3 to 7 s, with
// pauses of 8 s on average.
func (d speedDeployment) load(seed uint64, rate float64, seconds int) load {
	l := load{Engine: d.spec, Speeds: map[string]float64{}, Phases: d.phases}
	centres := []string{"a", "b", "c", "d"}
	for i := range d.engines {
		id := fmt.Sprintf("engine-%02d", i)
		l.Changes = append(l.Changes, endpointChange{Endpoint: id, DataCentre: "centre-" + centres[i%len(centres)], Ready: true})
		l.Speeds[id] = d.speeds[i%len(d.speeds)]
	}
	end := time.Duration(seconds) * time.Second
	type peak struct {
		from, to time.Duration
		factor   float64
	}
	peaks := make([][]peak, len(d.kinds))
	random := newRandom(seed, "bursts", 0)
	for at := exponential(random, 8*time.Second); at < end; at += exponential(random, 8*time.Second) {
		kind, length := random.IntN(len(d.kinds)), 3*time.Second+time.Duration(random.Float64()*float64(4*time.Second))
		peaks[kind] = append(peaks[kind], peak{at, at + length, 1.5 + 0.7*random.Float64()})
		at += length
	}
	for k, kind := range d.kinds {
		random := newRandom(seed, "kind", k)
		for at := time.Duration(0); ; {
			perSecond := kind.perSecond * rate
			for _, b := range peaks[k] {
				if at >= b.from && at < b.to {
					perSecond *= b.factor
				}
			}
			if at += exponential(random, time.Duration(float64(time.Second)/perSecond)); at >= end {
				break
			}
			l.Arrivals = append(l.Arrivals, d.arrival(kind, at, random))
		}
	}
	slices.SortStableFunc(l.Arrivals, func(a, b arrival) int { return cmp.Compare(a.At, b.At) })
	return l
}

// arrival draws a request. Lengths are between half and one and a half times the mean.
func (d speedDeployment) arrival(kind speedKind, at time.Duration, random *rand.Rand) arrival {
	vary := func(mean int) int { return int(float64(mean) * (0.5 + random.Float64())) }
	a := arrival{
		At: float64(at.Microseconds()) / 1000, Route: kind.name, Target: kind.target, Left: kind.left, Rank: kind.rank, First: -1,
		Prompt: vary(kind.prompt-kind.shared) + kind.shared, Answer: vary(kind.answer),
	}
	daemon := random.IntN(d.daemons)
	a.Daemon = fmt.Sprintf("daemon-%02d-centre-%s", daemon, []string{"a", "b", "c", "d"}[daemon%4])
	if kind.sessions > 0 {
		a.Shared = kind.shared
		// A session lasts 20 s.
		generation := int(at / (20 * time.Second))
		a.Session = fmt.Sprintf("%s-%d-%d", kind.name, generation, random.IntN(kind.sessions))
	}
	return a
}

// newTurn returns a choice of the endpoints in turn, with one turn for all daemons.
func newTurn() func(choice.Request, []choice.Candidate, func() float64) (choice.Picked, bool) {
	next := 0
	return func(_ choice.Request, candidates []choice.Candidate, _ func() float64) (choice.Picked, bool) {
		if len(candidates) == 0 {
			return choice.Picked{}, false
		}
		next++
		return choice.Picked{Candidate: candidates[next%len(candidates)]}, true
	}
}

// admitFree admits requests to endpoints with a free slot.
func admitFree(_ admit.Request, p choice.Picked, _ time.Time) bool { return p.HasCapacity }

func newSpeedSharing() *speedSharing { return &speedSharing{estimates: pace.NewSpeeds()} }

// engineKey returns the key of an engine among the estimates.
func engineKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// varySpeed sets the speed of an engine and schedules its slow phases.
func (m *replayModel) varySpeed(e *engine) {
	speed, ok := m.load.Speeds[e.id]
	if !ok {
		return
	}
	e.spec.StepMS, e.spec.ReadPerMS, e.spec.FirstMS = e.spec.StepMS/speed, e.spec.ReadPerMS*speed, e.spec.FirstMS/speed
	p := m.load.Phases
	if p.fraction == 0 {
		return
	}
	random := newRandom(uint64(engineKey(e.id)), "phases", len(m.load.Arrivals))
	pause := time.Duration(float64(p.length) * (1 - p.fraction) / p.fraction)
	slowness := 1.0
	e.slowness = func() float64 { return slowness }
	var begin func()
	begin = func() {
		slowness = p.factor
		m.after(p.length, func() {
			slowness = 1
			m.after(exponential(random, pause), begin)
		})
	}
	m.after(exponential(random, pause), begin)
}

// speedOf returns the speed of an engine that the daemons use; 0 for the usual one.
func (m *replayModel) speedOf(id string) float64 {
	switch {
	case m.policy.knows:
		return m.load.Speeds[id]
	case m.policy.estimates:
		return m.speeds.compared.Factor(engineKey(id))
	}
	return 0
}

// recordFirst records the time to a first token as entryd does.
func (m *replayModel) recordFirst(d *replayDaemon, picked choice.Picked, wait time.Duration) {
	const lightLoad = 0.25
	c := picked.Candidate
	if !m.policy.measures {
		return
	}
	d.fit.RecordWait(pace.Wait{Predicted: fromMilliseconds(picked.Wait - picked.Extra()), Observed: wait, Speed: c.Speed})
	if picked.Fetched > 0 || c.Load.Reading > 0 || float64(c.Load.Requests) > lightLoad*float64(c.Slots) {
		return
	}
	m.observe(d, c.ID)(d.fit.RecordFirst(pace.First{Tokens: picked.Uncached, Wait: wait - fromMilliseconds(picked.Running()), Speed: c.Speed}))
}

// recordAnswer records the time of an answer as entryd does.
func (m *replayModel) recordAnswer(d *replayDaemon, picked choice.Picked, tokens int, took time.Duration) {
	if m.policy.measures {
		m.observe(d, picked.Candidate.ID)(d.fit.RecordAnswer(pace.Answer{Tokens: tokens, Took: took, Speed: picked.Candidate.Speed}))
	}
}

// observe returns a function that adds an observed speed to those of the daemon's next digest.
func (m *replayModel) observe(d *replayDaemon, id string) func(observed float64, known bool) {
	return func(observed float64, known bool) {
		if key := engineKey(id); known {
			d.observed[key] = d.observed[key].With(observed, m.speeds.compared.Logs[key])
		}
	}
}

// collectSpeeds delivers what the daemons have observed to the hub.
func (m *replayModel) collectSpeeds() {
	if !m.policy.estimates {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(m.daemons)) {
		d := m.daemons[name]
		for _, key := range slices.Sorted(maps.Keys(d.observed)) {
			t := d.observed[key]
			m.speeds.estimates.Add(key, pace.Tally{Sum: pace.Quantize(t.Mean()) * float64(t.Count), Count: t.Count}, m.now)
		}
		clear(d.observed)
	}
}

// compareSpeeds updates the speeds that the daemons use.
func (m *replayModel) compareSpeeds() {
	var keys []uint32
	for _, id := range m.endpointIDs {
		keys = append(keys, engineKey(id))
	}
	m.speeds.compared = m.speeds.estimates.Compare(keys, m.speeds.compared.Differ, m.now)
}
