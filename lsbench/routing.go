package main

import (
	"cmp"
	"container/list"
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/google/subcommands"

	"lentilstage.dev/decide/route"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

type (
	// routingCommand compares routing policies in a discrete-event simulation.
	routingCommand struct {
		seed uint64
		rate float64
	}

	routingSize struct {
		name     string
		replicas int
		delay    time.Duration
		// conversations is the number of new conversations per second.
		conversations float64
	}

	routingPolicy struct {
		name   string
		choose func(d *modelDaemon, c *modelCall, live []*modelEndpoint) *modelEndpoint
	}

	routingResult struct {
		normal, reclaim             latencies
		normalTokens, reclaimTokens tokenCount
	}

	// tokenCount counts requests and their prompt tokens: all, those that were computed, and those
	// that were computed although another endpoint had them cached.
	tokenCount struct {
		requests, prompt, computed, recomputed int
	}

	routingModel struct {
		*timeline
		seed          uint64
		size          routingSize
		policy        routingPolicy
		endpoints     []*modelEndpoint
		daemons       []*modelDaemon
		choosers      map[string]*route.Chooser
		arrivals      *rand.Rand
		losses        *rand.Rand
		conversations int
		result        routingResult
	}

	// modelEndpoint computes prompts one at a time and keeps a prefix cache. It generates the answers
	// of up to modelMaxRunning requests concurrently.
	modelEndpoint struct {
		model      *routingModel
		number     int
		instance   string
		dataCentre string
		queue      []*modelCall
		queued     int
		computing  *modelCall
		running    map[*modelCall]bool
		dead       bool

		cached   map[route.Block]*list.Element
		recent   *list.List
		events   []wire.CacheEvent
		sequence int64
	}

	modelDaemon struct {
		number       int
		dataCentre   string
		views        map[string]*route.View
		peers        *route.PeerDigests
		inFlight     map[string]int
		nextEndpoint int
		random       *rand.Rand
	}

	// modelCall is a request. Its attempt number increases when it is dispatched and when its endpoint
	// is lost, so that pending events of an earlier attempt have no effect.
	modelCall struct {
		id         string
		daemon     *modelDaemon
		arrived    time.Time
		tokens     int
		blocks     []route.Block
		answer     int
		fullBlocks []route.Block
		attempt    int
		endpoint   *modelEndpoint
		firstToken bool
		onFinished func()
	}
)

const (
	modelPrefillRate = 8000.0
	modelMaxRunning  = 32
	modelCacheBlocks = 4096
	modelTokenTime   = 25 * time.Millisecond
	modelDaemons     = 7
	modelVersion     = "v1"

	routingWarmUp    = 60 * time.Second
	routingReclaimAt = 180 * time.Second
	routingNotice    = 10 * time.Second
	routingEnd       = 240 * time.Second
)

var (
	routingSizes = []routingSize{
		{name: "20 replicas, 1 ms", replicas: 20, delay: time.Millisecond, conversations: 8},
		{name: "12 replicas, 1.5 ms", replicas: 12, delay: 1500 * time.Microsecond, conversations: 4.8},
	}

	routingPolicies = []routingPolicy{
		{name: "round robin", choose: chooseRoundRobin},
		{name: "least in flight", choose: chooseLeastInFlight},
		{name: "two random choices", choose: chooseTwoRandom},
		{name: "prefix affinity alone", choose: chooseAffinity},
		{name: "predicted time (route)", choose: choosePredicted},
	}

	// modelAccounts are the accounts' shares of the conversations and the lengths in tokens of the
	// prefix that the conversations of an account share. A few large accounts have most of the traffic.
	modelAccounts = []struct {
		share  float64
		prefix int
	}{{0.4, 800}, {0.3, 1200}, {0.15, 400}, {0.1, 640}, {0.05, 320}}
)

// Name returns the name of the subcommand.
func (*routingCommand) Name() string { return "routing" }

// Synopsis describes the subcommand in a line.
func (*routingCommand) Synopsis() string {
	return "compare ways to choose an endpoint by time to first token and tokens recomputed"
}

// Usage describes the subcommand's flags.
func (*routingCommand) Usage() string { return "routing [-seed N] [-rate X]\n" }

// SetFlags declares the flags.
func (c *routingCommand) SetFlags(flags *flag.FlagSet) {
	flags.Uint64Var(&c.seed, "seed", 1, "seed of all random numbers")
	flags.Float64Var(&c.rate, "rate", 1, "factor on the traffic")
}

// Execute runs the experiment and prints its tables.
func (c *routingCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Print(c.report())
	return subcommands.ExitSuccess
}

func (c *routingCommand) report() string {
	var out output
	out.line("routing: seed %d, rate %g, %d daemons, 3 data centres", c.seed, c.rate, modelDaemons)
	for _, size := range routingSizes {
		size.conversations *= c.rate
		results := runPolicies(c.seed, size, routingPolicies)
		for _, phase := range []string{"normal", "data centre reclaimed"} {
			out.line("\n%s, %s", size.name, phase)
			rows := [][]string{row("policy", "requests", "p50 ms", "p95 ms", "p99 ms", "prompt ktokens", "computed ktokens", "recomputed ktokens")}
			for i, p := range routingPolicies {
				times, tokens := results[i].normal, results[i].normalTokens
				if phase != "normal" {
					times, tokens = results[i].reclaim, results[i].reclaimTokens
				}
				rows = append(rows, row(p.name, tokens.requests, times.percentile(50), times.percentile(95), times.percentile(99),
					tokens.prompt/1000, tokens.computed/1000, tokens.recomputed/1000))
			}
			out.table(rows)
		}
	}
	return out.text.String()
}

// runPolicies runs the policies concurrently and returns their results in the same order.
func runPolicies(seed uint64, size routingSize, policies []routingPolicy) []routingResult {
	results := make([]routingResult, len(policies))
	var group sync.WaitGroup
	for i, p := range policies {
		group.Go(func() { results[i] = runRouting(seed, size, p) })
	}
	group.Wait()
	return results
}

// runRouting simulates one policy in normal operation and then during the reclaim of a whole data
// centre.
func runRouting(seed uint64, size routingSize, policy routingPolicy) routingResult {
	m := &routingModel{
		timeline: newTimeline(), seed: seed, size: size, policy: policy, choosers: map[string]*route.Chooser{},
		arrivals: newRandom(seed, "arrivals", 0), losses: newRandom(seed, "losses", 0),
		result: routingResult{normal: newLatencies(), reclaim: newLatencies()},
	}
	centres := []string{"a", "b", "c"}
	for i := range size.replicas {
		m.endpoints = append(m.endpoints, &modelEndpoint{
			model: m, number: i, instance: fmt.Sprintf("endpoint-%02d", i), dataCentre: centres[i%3],
			running: map[*modelCall]bool{}, cached: map[route.Block]*list.Element{}, recent: list.New(), sequence: 1,
		})
	}
	for i := range modelDaemons {
		d := &modelDaemon{
			number: i, dataCentre: centres[i%3], views: map[string]*route.View{}, peers: route.NewPeerDigests(), inFlight: map[string]int{},
			random: newRandom(seed, "daemon", i),
		}
		for _, e := range m.endpoints {
			d.views[e.instance] = route.NewView(e.instance, e.dataCentre, modelVersion)
		}
		m.daemons = append(m.daemons, d)
	}
	for _, here := range centres {
		delays := map[string]time.Duration{}
		for _, there := range centres {
			delays[there] = m.network(here, there)
		}
		m.choosers[here] = route.NewChooser(route.WithDelays(delays), route.WithPrefillRate(modelPrefillRate))
	}
	m.every(500*time.Millisecond, m.sendReports)
	m.every(time.Second, m.sendCacheEvents)
	for _, d := range m.daemons {
		m.after(time.Duration(d.number)*time.Second/modelDaemons, func() {
			m.every(time.Second, func() { m.sendDigest(d) })
		})
	}
	m.after(routingReclaimAt, m.reclaim)
	m.scheduleConversation()
	m.scheduleLongPrompt()
	m.runUntil(routingEnd)
	// Requests that are still waiting for a first token count with their waiting time so far.
	for _, e := range m.endpoints {
		waiting := e.queue
		if e.computing != nil {
			waiting = append(waiting, e.computing)
		}
		for _, call := range waiting {
			if !call.firstToken {
				m.record(call)
			}
		}
	}
	return m.result
}

func (m *routingModel) network(here, there string) time.Duration {
	if here == there {
		return 100 * time.Microsecond
	}
	return m.size.delay
}

// scheduleConversation schedules the next conversation: a chat of several short turns. The prompt of
// a turn starts with the account's prefix and all earlier turns.
func (m *routingModel) scheduleConversation() {
	m.after(exponential(m.arrivals, time.Duration(float64(time.Second)/m.size.conversations)), func() {
		m.scheduleConversation()
		m.conversations++
		random := newRandom(m.seed, "conversation", m.conversations)
		account := drawAccount(random)
		turns := 2 + int(random.ExpFloat64()*7)
		m.turn(random, account, m.conversations, turns, 1, modelAccounts[account].prefix)
	})
}

func (m *routingModel) turn(random *rand.Rand, account, conversation, turns, turn, history int) {
	question, answer := 20+random.IntN(120), 60+random.IntN(180)
	pause := exponential(random, 6*time.Second)
	prompt := history + question
	m.dispatch(&modelCall{
		id: fmt.Sprintf("conversation-%d-%d", conversation, turn), daemon: m.daemons[random.IntN(len(m.daemons))], arrived: m.now,
		tokens: prompt, answer: answer,
		blocks:     promptBlocks(account, modelAccounts[account].prefix, conversation, prompt),
		fullBlocks: promptBlocks(account, modelAccounts[account].prefix, conversation, prompt+answer),
		onFinished: func() {
			if turn < turns {
				m.after(pause, func() { m.turn(random, account, conversation, turns, turn+1, prompt+answer) })
			}
		},
	})
}

// scheduleLongPrompt schedules the next long prompt, which starts with a catalogue that all long
// prompts share.
func (m *routingModel) scheduleLongPrompt() {
	m.after(exponential(m.arrivals, time.Duration(float64(time.Second)/m.size.conversations*2)), func() {
		m.scheduleLongPrompt()
		m.conversations++
		random := newRandom(m.seed, "long", m.conversations)
		const catalogue, catalogueTokens = 100, 2400
		prompt := catalogueTokens + 800 + random.IntN(4000)
		answer := 100 + random.IntN(200)
		m.dispatch(&modelCall{
			id: fmt.Sprintf("long-%d", m.conversations), daemon: m.daemons[random.IntN(len(m.daemons))], arrived: m.now,
			tokens: prompt, answer: answer,
			blocks:     promptBlocks(catalogue, catalogueTokens, m.conversations, prompt),
			fullBlocks: promptBlocks(catalogue, catalogueTokens, m.conversations, prompt+answer),
			onFinished: func() {},
		})
	})
}

func drawAccount(random *rand.Rand) int {
	draw := random.Float64()
	for i, a := range modelAccounts {
		if draw < a.share {
			return i
		}
		draw -= a.share
	}
	return len(modelAccounts) - 1
}

// promptBlocks returns the blocks of a prompt that starts with a shared prefix.
func promptBlocks(owner, shared, conversation, tokens int) []route.Block {
	blocks := make([]route.Block, tokens/wire.BlockTokens)
	for i := range blocks {
		key := uint64(conversation)<<20 | 1<<62
		if i < shared/wire.BlockTokens {
			key = uint64(owner) << 20
		}
		blocks[i] = route.Block(mix(key | uint64(i)))
	}
	return blocks
}

// mix scrambles the bits of a number, since block identifiers are hashes.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// dispatch chooses an endpoint for a call and sends the call there.
func (m *routingModel) dispatch(c *modelCall) {
	d := c.daemon
	live := make([]*modelEndpoint, 0, len(m.endpoints))
	for _, e := range m.endpoints {
		if !d.views[e.instance].Leaving {
			live = append(live, e)
		}
	}
	e := m.policy.choose(d, c, live)
	c.endpoint = e
	c.attempt++
	attempt := c.attempt
	d.inFlight[e.instance]++
	m.after(m.network(d.dataCentre, e.dataCentre), func() {
		if attempt != c.attempt {
			return
		}
		if e.dead {
			m.retry(c)
			return
		}
		e.queue = append(e.queue, c)
		e.queued += c.tokens
		e.startPrompt()
	})
}

// retry dispatches a call again whose endpoint has been lost.
func (m *routingModel) retry(c *modelCall) {
	c.daemon.inFlight[c.endpoint.instance]--
	c.attempt++
	m.after(50*time.Millisecond, func() { m.dispatch(c) })
}

// startPrompt starts to compute the next queued prompt if the endpoint is free.
func (e *modelEndpoint) startPrompt() {
	if e.dead || e.computing != nil || len(e.queue) == 0 || len(e.running) >= modelMaxRunning {
		return
	}
	m, c := e.model, e.queue[0]
	e.queue = e.queue[1:]
	e.computing = c
	here := e.cachedBlocks(c.blocks)
	best := here
	for _, other := range m.endpoints {
		if !other.dead {
			best = max(best, other.cachedBlocks(c.blocks))
		}
	}
	uncached := c.tokens - here*wire.BlockTokens
	if count := m.phaseTokens(); count != nil {
		count.requests++
		count.prompt += c.tokens
		count.computed += uncached
		count.recomputed += (best - here) * wire.BlockTokens
	}
	attempt := c.attempt
	compute := time.Duration(float64(uncached) / modelPrefillRate * float64(time.Second))
	m.after(compute, func() {
		if attempt != c.attempt {
			return
		}
		e.computing = nil
		e.queued -= c.tokens
		e.cacheBlocks(c.blocks)
		e.running[c] = true
		m.after(modelTokenTime+m.network(c.daemon.dataCentre, e.dataCentre), func() {
			if !c.firstToken {
				c.firstToken = true
				m.record(c)
			}
		})
		m.after(time.Duration(c.answer)*modelTokenTime, func() {
			if attempt != c.attempt {
				return
			}
			delete(e.running, c)
			c.daemon.inFlight[e.instance]--
			e.cacheBlocks(c.fullBlocks)
			c.onFinished()
			e.startPrompt()
		})
		e.startPrompt()
	})
}

// record records the time to first token in the phase in which the call arrived.
func (m *routingModel) record(c *modelCall) {
	arrived := c.arrived.Sub(modelStart)
	switch {
	case arrived >= routingReclaimAt:
		m.result.reclaim.record(m.now.Sub(c.arrived))
	case arrived >= routingWarmUp:
		m.result.normal.record(m.now.Sub(c.arrived))
	}
}

func (m *routingModel) phaseTokens() *tokenCount {
	switch {
	case m.elapsed() >= routingReclaimAt:
		return &m.result.reclaimTokens
	case m.elapsed() >= routingWarmUp:
		return &m.result.normalTokens
	}
	return nil
}

func (e *modelEndpoint) cachedBlocks(blocks []route.Block) int {
	for i, b := range blocks {
		if _, ok := e.cached[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// cacheBlocks adds blocks to the LRU cache in reverse order, so that the end of a prefix is evicted
// before its start.
func (e *modelEndpoint) cacheBlocks(blocks []route.Block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if element, ok := e.cached[b]; ok {
			e.recent.MoveToFront(element)
			continue
		}
		e.cached[b] = e.recent.PushFront(b)
		e.addEvent(wire.CacheStored, b)
		if len(e.cached) > modelCacheBlocks {
			oldest := e.recent.Remove(e.recent.Back()).(route.Block)
			delete(e.cached, oldest)
			e.addEvent(wire.CacheEvicted, oldest)
		}
	}
}

func (e *modelEndpoint) addEvent(kind wire.CacheEventKind, b route.Block) {
	e.events = append(e.events, wire.CacheEvent{Sequence: e.sequence, Kind: kind, Block: strconv.FormatUint(uint64(b), 16)})
	e.sequence++
}

// sendReports delivers each endpoint's load report to all daemons with a delay of one second.
func (m *routingModel) sendReports() {
	for _, e := range m.endpoints {
		if e.dead {
			continue
		}
		waiting := 0
		for _, c := range e.queue {
			waiting += c.tokens - e.cachedBlocks(c.blocks)*wire.BlockTokens
		}
		if e.computing != nil {
			waiting += (e.computing.tokens - e.cachedBlocks(e.computing.blocks)*wire.BlockTokens) / 2
		}
		load := wire.EngineLoad{
			Time: m.now, Running: len(e.running), Queued: len(e.queue), QueuedTokens: waiting,
			MaxRunning: modelMaxRunning, PrefillPerSecond: modelPrefillRate,
		}
		m.after(time.Second, func() {
			for _, d := range m.daemons {
				d.views[e.instance] = d.views[e.instance].WithLoad(load)
			}
		})
	}
}

// sendCacheEvents delivers cache events to all daemons with a delay of two seconds. Each daemon
// loses about 5% of the events, in runs of eight on average.
func (m *routingModel) sendCacheEvents() {
	for _, e := range m.endpoints {
		events, next := e.events, e.sequence
		e.events = nil
		if e.dead {
			continue
		}
		m.after(2*time.Second, func() {
			for _, d := range m.daemons {
				batch := wire.CacheEvents{Next: next}
				lost := false
				for _, event := range events {
					if lost {
						lost = m.losses.Float64() >= 1.0/8
					} else {
						lost = m.losses.Float64() < 0.05/8
					}
					if !lost {
						batch.Events = append(batch.Events, event)
					}
				}
				d.views[e.instance] = d.views[e.instance].WithEvents(batch)
			}
		})
	}
}

// sendDigest delivers a daemon's placements to all other daemons.
func (m *routingModel) sendDigest(from *modelDaemon) {
	at, placements := m.now, map[string]wire.Placement{}
	for instance, view := range from.views {
		placements[instance] = view.Placement()
	}
	m.after(m.size.delay, func() {
		for _, to := range m.daemons {
			if to == from {
				continue
			}
			process := strconv.Itoa(from.number)
			to.peers = to.peers.WithTime(process, at)
			for instance, view := range to.views {
				to.views[instance] = view.WithDigest(to.peers, process, placements[instance])
			}
		}
	})
}

// reclaim sends a reclaim notice to all endpoints of a data centre. Daemons receive it up to 2 s
// later. Calls that are unfinished at the end of the notice are retried with their whole prompt.
func (m *routingModel) reclaim() {
	for _, d := range m.daemons {
		m.after(time.Duration(d.number)*300*time.Millisecond, func() {
			for _, e := range m.endpoints {
				if e.dataCentre == "a" {
					d.views[e.instance] = d.views[e.instance].WithLeaving()
				}
			}
		})
	}
	m.after(routingNotice, func() {
		for _, e := range m.endpoints {
			if e.dataCentre != "a" {
				continue
			}
			e.dead = true
			interrupted := e.queue
			if e.computing != nil {
				interrupted = append(interrupted, e.computing)
			}
			interrupted = slices.AppendSeq(interrupted, maps.Keys(e.running))
			slices.SortFunc(interrupted, func(a, b *modelCall) int { return cmp.Compare(a.id, b.id) })
			e.queue, e.computing, e.running = nil, nil, map[*modelCall]bool{}
			for _, c := range interrupted {
				m.retry(c)
			}
		}
	})
}

func chooseRoundRobin(d *modelDaemon, _ *modelCall, live []*modelEndpoint) *modelEndpoint {
	d.nextEndpoint++
	return live[d.nextEndpoint%len(live)]
}

func chooseLeastInFlight(d *modelDaemon, _ *modelCall, live []*modelEndpoint) *modelEndpoint {
	var best []*modelEndpoint
	for _, e := range live {
		switch n := d.inFlight[e.instance]; {
		case len(best) == 0 || n < d.inFlight[best[0].instance]:
			best = []*modelEndpoint{e}
		case n == d.inFlight[best[0].instance]:
			best = append(best, e)
		}
	}
	return best[d.random.IntN(len(best))]
}

func chooseTwoRandom(d *modelDaemon, _ *modelCall, live []*modelEndpoint) *modelEndpoint {
	first, second := live[d.random.IntN(len(live))], live[d.random.IntN(len(live))]
	if d.inFlight[second.instance] < d.inFlight[first.instance] {
		return second
	}
	return first
}

// chooseAffinity chooses the endpoint with the longest cached prefix in the daemon's view, at random
// among equals.
func chooseAffinity(d *modelDaemon, c *modelCall, live []*modelEndpoint) *modelEndpoint {
	var best []*modelEndpoint
	longest := -1
	for _, e := range live {
		switch n := d.views[e.instance].PrefixIndex().Cached(c.blocks); {
		case n > longest:
			best, longest = []*modelEndpoint{e}, n
		case n == longest:
			best = append(best, e)
		}
	}
	return best[d.random.IntN(len(best))]
}

func choosePredicted(d *modelDaemon, c *modelCall, live []*modelEndpoint) *modelEndpoint {
	m := live[0].model
	views := make([]*route.View, 0, len(live))
	for _, e := range live {
		views = append(views, d.views[e.instance])
	}
	request := route.Request{
		ID: c.id, Route: "chat", Split: []table.WeightedVersion{{Version: modelVersion, Weight: 1}},
		PromptTokens: c.tokens, Blocks: c.blocks,
	}
	choice, reason, _ := m.choosers[d.dataCentre].Choose(request, views, m.now, d.random.Float64)
	d.views[choice.Instance] = choice.WithPlacement(m.now, reason.Uncached, c.blocks)
	for _, e := range live {
		if e.instance == choice.Instance {
			return e
		}
	}
	return nil
}
