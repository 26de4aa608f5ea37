package main

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/admit"
	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/pace"
	"lentilstage.dev/decide/share"
)

type (
	// shortageCommand runs scripts of loads above the capacity with several ways to deal with them.
	shortageCommand struct {
		scripts string
		seeds   uint64
	}

	// shortageFile holds loads above the capacity of simulated deployments.
	shortageFile struct {
		Deployments map[string]deployment `yaml:"Deployments"`
		Shortages   []shortage            `yaml:"Shortages"`
	}

	// deployment is the usual load of a simulated deployment with its engines. Targets and the time until the
	// deadline are in milliseconds.
	deployment struct {
		Daemons int `yaml:"Daemons"`
		Centres int `yaml:"Centres"`
		// Speeds are those of the engines, in turn; 1 is the usual.
		Speeds []float64 `yaml:"Speeds"`
		// SlowFactor times slower is an engine in its slow phases of SlowMS, which take the part SlowShare of its time.
		SlowFactor float64       `yaml:"SlowFactor"`
		SlowMS     float64       `yaml:"SlowMS"`
		SlowShare  float64       `yaml:"SlowShare"`
		Slots      int           `yaml:"Slots"`
		Memory     int           `yaml:"Memory"`
		StepMS     float64       `yaml:"StepMS"`
		ReadPerMS  float64       `yaml:"ReadPerMS"`
		FirstMS    float64       `yaml:"FirstMS"`
		Kinds      []requestKind `yaml:"Kinds"`
		// Accounts are the weights of the client accounts in the load.
		Accounts []float64 `yaml:"Accounts"`
	}

	// requestKind is a kind of requests with its usual rate.
	requestKind struct {
		Name   string  `yaml:"Name"`
		Rate   float64 `yaml:"Rate"`
		Target int     `yaml:"Target"`
		Left   int     `yaml:"Left"`
		Rank   int     `yaml:"Rank"`
		Prompt int     `yaml:"Prompt"`
		Answer int     `yaml:"Answer"`
	}

	// shortage is a load that exceeds a deployment's capacity for some time. Times are in seconds.
	shortage struct {
		Name       string  `yaml:"Name"`
		Deployment string  `yaml:"Deployment"`
		Seconds    float64 `yaml:"Seconds"`
		Engines    int     `yaml:"Engines"`
		Bursts     []burst `yaml:"Bursts"`
		// Losses remove the reclaimable engines of data centres.
		Losses []centreLoss `yaml:"Losses"`
		// Cuts separate the daemons of a data centre from the messages of the others.
		Cuts []centreCut `yaml:"Cuts"`
	}

	// shortageScript is a shortage in its deployment.
	shortageScript struct {
		deployment
		shortage
	}

	centreLoss struct {
		At     float64 `yaml:"At"`
		Centre int     `yaml:"Centre"`
	}

	centreCut struct {
		From   float64 `yaml:"From"`
		To     float64 `yaml:"To"`
		Centre int     `yaml:"Centre"`
	}

	// burst multiplies the rate of a kind and of an account; -1 stands for all of them.
	burst struct {
		Kind    int     `yaml:"Kind"`
		Account int     `yaml:"Account"`
		From    float64 `yaml:"From"`
		To      float64 `yaml:"To"`
		Factor  float64 `yaml:"Factor"`
		// Daemon is the only daemon that gets this load; 0 stands for all.
		Daemon int `yaml:"Daemon"`
	}

	// shortagePolicy is a way to deal with a shortage.
	shortagePolicy struct {
		name string
		// scheduled takes the retry times from schedules, divided divides the capacity between accounts and kinds, and
		// queued lets requests that no endpoint can take wait at their daemons for a moment.
		scheduled, divided, queued bool
	}

	// shortageModel simulates a script. Callers send a refused request again once, to a random daemon.
	shortageModel struct {
		*replayModel
		script  shortageScript
		policy  shortagePolicy
		control map[string]*shortageDaemon
		names   []string
		// pace is the observed speed of the engines. All daemons know the same.
		pace  *pace.State
		calls []shortageCall
	}

	// shortageDaemon is what a daemon knows of the load.
	shortageDaemon struct {
		centre   int
		meter    *share.Meter
		refused  *share.Meter
		schedule *admit.Schedule
		supply   share.Supply
		patience admit.Patience
		division *share.Division
		others   shortageReport
	}

	// shortageReport is what daemons tell each other.
	shortageReport struct {
		offered  map[string]float64
		refused  float64
		promised map[int64]float64
	}

	// shortageCall is the outcome of an arrival.
	shortageCall struct {
		refusals int
		// attemptAt is the time of the last attempt in milliseconds.
		attemptAt float64
		// waiting is set while the request waits at a daemon, until waitUntil.
		waiting   bool
		standing  share.Standing
		waitUntil time.Time
	}

	// shortageSummary summarizes the outcomes of a run as parts of all requests.
	shortageSummary struct {
		inTime, late, refusedTwice, refusedOnce float64
		// inTimeFirst counts the time from the first attempt.
		inTimeFirst float64
		// value is the served value less the cost of second refusals.
		value float64
		// kinds and accounts are the parts served, by rank and by account.
		kinds, accounts []float64
		// accountsInTime are the parts served in time by account.
		accountsInTime []float64
	}
)

const (
	// queueDivisor divides the target: for so long, a request may wait at a daemon.
	queueDivisor = 8
	// queuePoll is how often a waiting request is offered to the endpoints again. A daemon would do so when one of its
	// own requests ends or a digest arrives, which is less often.
	queuePoll = 10 * time.Millisecond
)

// leftSpread is the part by which the times that callers leave for their requests differ, as in recorded loads.
const leftSpread = 0.15

var shortagePolicies = []shortagePolicy{
	{name: "as before"},
	{name: "scheduled retries", scheduled: true},
	{name: "and divided", scheduled: true, divided: true},
	{name: "and queued", scheduled: true, divided: true, queued: true},
}

// Name returns the command's name.
func (*shortageCommand) Name() string { return "shortage" }

// Synopsis returns the command's short description.
func (*shortageCommand) Synopsis() string {
	return "simulate loads above the capacity with and without retry times, division and queues"
}

// Usage returns the command's usage.
func (*shortageCommand) Usage() string { return "shortage [-scripts FILE.yaml] [-seeds N]\n" }

// SetFlags defines the command's flags.
func (c *shortageCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.scripts, "scripts", "testdata/shortages.yaml", "file with the loads")
	f.Uint64Var(&c.seeds, "seeds", 2, "number of seeds")
}

// Execute prints the outcomes of all policies for each script.
func (c *shortageCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	scripts, err := readShortages(c.scripts)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	for _, s := range scripts {
		var o output
		o.line("%s: means of %d seeds, percent of all requests", s.Name, c.seeds)
		rows := [][]string{row("", "value", "in time", "from first", "late", "refused once", "twice", "by rank", "by account", "in time by account")}
		for _, p := range shortagePolicies {
			var sum shortageSummary
			for seed := range c.seeds {
				sum = sum.plus(summarizeShortage(s, simulateShortage(s, p, seed+1)), float64(c.seeds))
			}
			rows = append(rows, row(p.name, percent(sum.value), percent(sum.inTime), percent(sum.inTimeFirst), percent(sum.late),
				percent(sum.refusedOnce), percent(sum.refusedTwice), percents(sum.kinds), percents(sum.accounts), percents(sum.accountsInTime)))
		}
		o.table(rows)
		fmt.Print(o.text.String())
	}
	return subcommands.ExitSuccess
}

func percents(parts []float64) string {
	text := ""
	for _, p := range parts {
		text += fmt.Sprintf("%.0f ", 100*p)
	}
	return text
}

func readShortages(path string) ([]shortageScript, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read scripts")
	}
	var file shortageFile
	if err := yaml.UnmarshalWithOptions(text, &file, yaml.Strict()); err != nil {
		return nil, eris.Wrap(err, "decode scripts")
	}
	scripts := make([]shortageScript, len(file.Shortages))
	for i, s := range file.Shortages {
		d, known := file.Deployments[s.Deployment]
		if !known {
			return nil, eris.Errorf("%s: no deployment %s", s.Name, s.Deployment)
		}
		scripts[i] = shortageScript{deployment: d, shortage: s}
	}
	return scripts, nil
}

// load returns the script's requests and engines.
func (s shortageScript) load(seed uint64) load {
	l := load{Engine: engineSpec{Slots: s.Slots, Memory: s.Memory, StepMS: s.StepMS, ReadPerMS: s.ReadPerMS, FirstMS: s.FirstMS}}
	for i := range s.Engines {
		l.Changes = append(l.Changes, endpointChange{
			Endpoint: fmt.Sprintf("e%d", i), DataCentre: centreName(i % s.Centres), Ready: true,
		})
	}
	random := rand.New(rand.NewPCG(seed, 2))
	for _, loss := range s.Losses {
		for i := loss.Centre; i < s.Engines; i += s.Centres {
			// Two of three engines are reclaimable.
			if i/s.Centres%3 == 2 {
				continue
			}
			l.Changes = append(l.Changes, endpointChange{
				At: 1000 * (loss.At + random.Float64()), Endpoint: fmt.Sprintf("e%d", i), DataCentre: centreName(loss.Centre),
			})
		}
	}
	weights := 0.0
	for _, w := range s.Accounts {
		weights += w
	}
	for k, kind := range s.Kinds {
		for account, weight := range s.Accounts {
			rate := kind.Rate * weight / weights
			highest := 1.0
			for _, b := range s.Bursts {
				if b.appliesTo(k, account) {
					highest *= max(1, b.Factor)
				}
			}
			// Candidates arrive at the highest rate and are thinned out to the present one.
			for at := random.ExpFloat64() / (rate * highest); at < s.Seconds; at += random.ExpFloat64() / (rate * highest) {
				factor, daemon := 1.0, -1
				for _, b := range s.Bursts {
					if b.appliesTo(k, account) && at >= b.From && at < b.To {
						factor *= b.Factor
						if b.Daemon > 0 {
							daemon = b.Daemon
						}
					}
				}
				if random.Float64() > factor/highest {
					continue
				}
				if daemon < 0 {
					daemon = random.IntN(s.Daemons)
				}
				l.Arrivals = append(l.Arrivals, arrival{
					At: 1000 * at, Daemon: daemonName(daemon, s.Centres), Account: strconv.Itoa(account), Kind: k,
					Prompt: max(1, int(float64(kind.Prompt)*math.Exp(0.6*random.NormFloat64()))),
					Answer: max(1, int(float64(kind.Answer)*math.Exp(0.6*random.NormFloat64()))),
					Target: kind.Target, Left: int((1 - leftSpread*random.Float64()) * float64(kind.Left)), Rank: kind.Rank,
				})
			}
		}
	}
	slices.SortStableFunc(l.Arrivals, func(a, b arrival) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return l
}

func (b burst) appliesTo(kind, account int) bool {
	return (b.Kind < 0 || b.Kind == kind) && (b.Account < 0 || b.Account == account)
}

func centreName(centre int) string { return fmt.Sprintf("c%d.", centre) }

func daemonName(daemon, centres int) string {
	return fmt.Sprintf("%sd%d", centreName(daemon%centres), daemon)
}

// simulateShortage runs a script with a policy and returns the outcome of each arrival.
func simulateShortage(s shortageScript, policy shortagePolicy, seed uint64) *shortageModel {
	l := s.load(seed)
	m := &shortageModel{
		replayModel: &replayModel{
			timeline: newTimeline(), policy: currentPolicy, random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{},
			daemons: map[string]*replayDaemon{}, totals: map[string]choice.Load{}, results: make([]replayOutcome, len(l.Arrivals)), load: l,
		},
		script: s, policy: policy, control: map[string]*shortageDaemon{}, calls: make([]shortageCall, len(l.Arrivals)),
		pace: pace.New(),
	}
	for n := range 200 {
		// Unloaded engines have been observed before.
		tokens := 50 * (n%40 + 1)
		m.pace.RecordFirst(pace.First{Tokens: tokens, Wait: fromMilliseconds(s.FirstMS + s.StepMS + float64(tokens)/s.ReadPerMS)})
		m.pace.RecordAnswer(pace.Answer{Tokens: 100, Took: fromMilliseconds(100 * (s.StepMS + stepMSPerRequest*float64(s.Slots)/2))})
	}
	m.ended = func(i int, _ *engine) {
		if r := m.results[i]; r.firstEvent >= 0 && l.Arrivals[i].Answer > 1 {
			took := float64(m.elapsed().Microseconds())/1000 - l.Arrivals[i].At - r.firstEvent
			m.pace.RecordAnswer(pace.Answer{Tokens: l.Arrivals[i].Answer - 1, Took: fromMilliseconds(took)})
		}
	}
	m.again = func(i int) { m.offer(i, l.Arrivals[i].Daemon) }
	for n := range s.Daemons {
		name := daemonName(n, s.Centres)
		m.names = append(m.names, name)
		m.daemons[name] = &replayDaemon{name: name, own: map[string]choice.Load{}, others: map[string]choice.Load{}, cached: map[cachedPrefix]time.Time{}}
		m.control[name] = &shortageDaemon{
			centre: n % s.Centres, meter: share.NewMeter(), refused: share.NewMeter(), schedule: admit.NewSchedule(), division: share.NewDivision(m.random.Float64()),
		}
	}
	for _, c := range l.Changes {
		m.after(fromMilliseconds(c.At), func() { m.applyScripted(c) })
	}
	for i, a := range l.Arrivals {
		m.results[i].firstEvent = -1
		m.after(fromMilliseconds(a.At), func() { m.offer(i, a.Daemon) })
	}
	interval := digestInterval * time.Duration(max(1, s.Daemons/digestBaseDaemons))
	m.every(interval, func() {
		m.sendDigests(interval / 2)
		m.sendReports(interval / 2)
	})
	m.runUntil(time.Duration((s.Seconds + 8) * float64(time.Second)))
	return m
}

// applyScripted adds an engine with its speed and slow phases, or removes one.
func (m *shortageModel) applyScripted(c endpointChange) {
	m.applyChange(c)
	if !c.Ready {
		return
	}
	e, s := m.engines[c.Endpoint], m.script
	n, _ := strconv.Atoi(c.Endpoint[1:])
	if len(s.Speeds) > 0 {
		speed := s.Speeds[n%len(s.Speeds)]
		e.spec.StepMS, e.spec.ReadPerMS, e.spec.FirstMS = e.spec.StepMS/speed, e.spec.ReadPerMS*speed, e.spec.FirstMS/speed
	}
	if s.SlowShare > 0 {
		period := time.Duration(s.SlowMS / s.SlowShare * float64(time.Millisecond))
		offset := time.Duration(m.random.Float64() * float64(period))
		e.slowness = func() float64 {
			if (m.elapsed()+offset)%period < fromMilliseconds(s.SlowMS) {
				return s.SlowFactor
			}
			return 1
		}
	}
}

// work returns the engine time of a request in seconds.
func (m *shortageModel) work(a arrival) float64 {
	const sharedTokenMS = 0.2
	p := m.pace.Estimate()
	return (float64(a.Prompt)/p.PrefillPerMS + float64(a.Answer)*max(sharedTokenMS, p.TokenMS/float64(m.script.Slots))) / 1000
}

// offer sends a request to a daemon, which places or refuses it.
func (m *shortageModel) offer(i int, name string) {
	a, d, c := m.load.Arrivals[i], m.daemons[name], m.control[name]
	deadline := modelStart.Add(fromMilliseconds(a.At + float64(a.Left)))
	work, call := m.work(a), &m.calls[i]
	if !call.waiting {
		call.attemptAt = float64(m.elapsed().Microseconds()) / 1000
		call.waitUntil = m.now.Add(fromMilliseconds(float64(a.Target) / queueDivisor))
		c.meter.Add(a.Account, work, m.now)
	}
	request := choice.Request{
		Prompt: a.Prompt, Answer: max(a.Answer, 1), Model: true, Target: float64(a.Target), Pace: m.pace.Estimate(),
	}
	spent, expected := 0.0, time.Duration(0)
	if m.policy.scheduled {
		spent = c.patience.Spent(a.Account+"/"+strconv.Itoa(a.Kind), deadline.Sub(m.now), m.now)
		expected = c.schedule.Expected(m.outlook(c), m.now)
	}
	standing, urgentTarget := share.Undivided, time.Duration(0)
	if m.policy.divided {
		if !call.waiting {
			call.standing = c.division.Take(accountNumber(a.Account), admit.Request{Spent: spent}.Returns())
		}
		standing = call.standing
		if c.division.Short() {
			urgentTarget = m.urgentTarget(a.Rank)
		}
	}
	decide := func(picked choice.Picked) admit.Decision {
		return admit.Decide(admit.Request{
			Wait: fromMilliseconds(picked.Wait), Own: fromMilliseconds(picked.Own()), Target: fromMilliseconds(float64(a.Target)),
			Left: deadline.Sub(m.now), Rank: a.Rank, Spent: spent, Expected: expected, Standing: standing, UrgentTarget: urgentTarget,
		}, m.now)
	}
	request.Admits = func(picked choice.Picked) bool { return decide(picked).Admitted }
	picked, ok := choice.Pick(request, m.candidates(d, a), m.random.Float64)
	if ok && request.Admits(picked) {
		call.waiting = false
		m.results[i].attempts++
		m.enqueue(i, d, m.engines[picked.Candidate.ID], request, picked)
		return
	}
	if m.policy.queued && m.now.Before(call.waitUntil) {
		call.waiting = true
		m.after(min(queuePoll, call.waitUntil.Sub(m.now)), func() { m.offer(i, name) })
		return
	}
	call.waiting = false
	c.refused.Add("", work, m.now)
	if m.calls[i].refusals++; m.calls[i].refusals > 1 {
		return
	}
	verdict := decide(picked)
	retryAt := verdict.RetryAt
	if m.policy.scheduled {
		retryAt = c.schedule.Promise(admit.Return{Work: work, Earliest: verdict.EarliestRetry, Deadline: deadline}, m.outlook(c), m.random.Float64(), m.now).RetryAt
	}
	m.after(retryAt.Sub(m.now), func() { m.offer(i, m.names[m.random.IntN(len(m.names))]) })
}

// urgentTarget returns the lowest target of the more urgent kinds; 0 if there are none.
func (m *shortageModel) urgentTarget(rank int) time.Duration {
	lowest := 0
	for _, k := range m.script.Kinds {
		if k.Rank < rank && (lowest == 0 || k.Target < lowest) {
			lowest = k.Target
		}
	}
	return fromMilliseconds(float64(lowest))
}

// outlook returns what a daemon knows of the load of all.
func (m *shortageModel) outlook(c *shortageDaemon) admit.Outlook {
	o := admit.Outlook{Capacity: c.supply.Capacity(float64(len(m.endpointIDs)))}
	for _, rate := range c.meter.Rates(m.now) {
		o.Offered += rate
	}
	for _, rate := range c.others.offered {
		o.Offered += rate
	}
	return o
}

// offered returns what a daemon knows of the work that each account offers.
func (m *shortageModel) offered(c *shortageDaemon) map[uint32]float64 {
	offered := map[uint32]float64{}
	for _, rates := range []map[string]float64{c.meter.Rates(m.now), c.others.offered} {
		for account, rate := range rates {
			offered[accountNumber(account)] += rate
		}
	}
	return offered
}

func accountNumber(account string) uint32 {
	number, _ := strconv.Atoi(account)
	return uint32(number)
}

// sendReports delivers to each daemon, after a delay, what the others offer, refuse and promise.
func (m *shortageModel) sendReports(delay time.Duration) {
	sums := make([]shortageReport, m.script.Centres)
	own := map[string]shortageReport{}
	for centre := range sums {
		sums[centre] = shortageReport{offered: map[string]float64{}, promised: map[int64]float64{}}
	}
	for _, name := range m.names {
		c := m.control[name]
		o := m.outlook(c)
		refused := c.others.refused + c.refused.Rates(m.now)[""]
		c.supply = c.supply.With(o.Offered, refused, float64(len(m.endpointIDs)), m.now)
		c.schedule.Update(o, m.now)
		c.division.Update(share.Load{Offered: m.offered(c), Refused: refused, Capacity: o.Capacity}, m.now)
		r := shortageReport{offered: c.meter.Rates(m.now), refused: c.refused.Rates(m.now)[""], promised: c.schedule.Own()}
		own[name] = r
		sums[c.centre].add(r, 1)
	}
	for _, name := range m.names {
		c := m.control[name]
		others := shortageReport{offered: map[string]float64{}, promised: map[int64]float64{}}
		for centre, sum := range sums {
			if centre == c.centre || !m.cut(centre) && !m.cut(c.centre) {
				others.add(sum, 1)
			}
		}
		others.add(own[name], -1)
		m.after(delay, func() {
			c.others = others
			c.schedule.SetOthers(others.promised, m.now)
		})
	}
}

func (r *shortageReport) add(o shortageReport, factor float64) {
	for account, rate := range o.offered {
		r.offered[account] += factor * rate
	}
	r.refused += factor * o.refused
	for slot, work := range o.promised {
		r.promised[slot] += factor * work
	}
}

// cut reports whether a data centre is cut off from the others.
func (m *shortageModel) cut(centre int) bool {
	for _, c := range m.script.Cuts {
		if at := m.elapsed().Seconds(); c.Centre == centre && at >= c.From && at < c.To {
			return true
		}
	}
	return false
}

// summarizeShortage summarizes the outcomes of a run.
func summarizeShortage(s shortageScript, m *shortageModel) shortageSummary {
	const lateValue, refusedTwiceCost = 0.1, 0.3
	r := shortageSummary{
		kinds: make([]float64, len(s.Kinds)), accounts: make([]float64, len(s.Accounts)), accountsInTime: make([]float64, len(s.Accounts)),
	}
	kinds, accounts := make([]float64, len(s.Kinds)), make([]float64, len(s.Accounts))
	for i, a := range m.load.Arrivals {
		account, _ := strconv.Atoi(a.Account)
		kinds[a.Kind]++
		accounts[account]++
		call, first := m.calls[i], m.results[i].firstEvent
		if call.refusals > 0 {
			r.refusedOnce++
		}
		if call.refusals > 1 {
			r.refusedTwice++
		}
		if first < 0 {
			continue
		}
		r.kinds[a.Kind]++
		r.accounts[account]++
		if first-(call.attemptAt-a.At) <= float64(a.Target) {
			r.inTime++
			r.accountsInTime[account]++
		} else {
			r.late++
		}
		if first <= float64(a.Target) {
			r.inTimeFirst++
		}
	}
	r.value = r.inTime + lateValue*r.late - refusedTwiceCost*r.refusedTwice
	n := float64(len(m.load.Arrivals))
	for _, part := range []*float64{&r.inTime, &r.late, &r.refusedOnce, &r.refusedTwice, &r.inTimeFirst, &r.value} {
		*part /= n
	}
	for i := range kinds {
		r.kinds[i] /= max(kinds[i], 1)
	}
	for i := range accounts {
		r.accounts[i] /= max(accounts[i], 1)
		r.accountsInTime[i] /= max(accounts[i], 1)
	}
	return r
}

// plus returns the sum with a part of another summary.
func (r shortageSummary) plus(o shortageSummary, parts float64) shortageSummary {
	r.inTime += o.inTime / parts
	r.late += o.late / parts
	r.refusedOnce += o.refusedOnce / parts
	r.refusedTwice += o.refusedTwice / parts
	r.inTimeFirst += o.inTimeFirst / parts
	r.value += o.value / parts
	add := func(to, from []float64) []float64 {
		if to == nil {
			to = make([]float64, len(from))
		}
		for i := range from {
			to[i] += from[i] / parts
		}
		return to
	}
	r.kinds, r.accounts, r.accountsInTime = add(r.kinds, o.kinds), add(r.accounts, o.accounts), add(r.accountsInTime, o.accountsInTime)
	return r
}
