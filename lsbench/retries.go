package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/subcommands"

	"lentilstage.dev/decide/health"
	"lentilstage.dev/decide/limit"
	"lentilstage.dev/decide/retry"
	"lentilstage.dev/domain/value"
)

type (
	// retriesCommand measures the load of retries while all endpoints of a data centre fail.
	retriesCommand struct {
		seed uint64
	}

	retriesPolicy struct {
		name string
		// immediateRetries is the number of retries without a delay or budget. If it is 0, the retry
		// budget applies.
		immediateRetries int
		noRetries        bool
		useHealth        bool
		useLimits        bool
	}

	// retriesPhase counts the requests that arrived in a phase.
	retriesPhase struct {
		requests, attempts, answered, abandoned, refused int
		times                                            latencies
		attemptsBySecond                                 map[int]int
	}

	retriesModel struct {
		*timeline
		policy       retriesPolicy
		rate         int
		arrivals     *rand.Rand
		random       *rand.Rand
		daemons      []*retriesDaemon
		peerUses     []limit.PeerUse
		waiting      map[string]*retriesRequest
		endpoints    []*retriesEndpoint
		requestCount int
		phases       [3]retriesPhase
		// answeredBySecond and arrivedBySecond count requests by the second of their arrival.
		answeredBySecond, arrivedBySecond map[int]int
	}

	retriesDaemon struct {
		number int
		budget retry.Budget
		health health.Aggregate
		limits limit.Aggregate
	}

	// retriesEndpoint serves one attempt at a time, including attempts that have timed out.
	retriesEndpoint struct {
		name       string
		dataCentre string
		freeAt     time.Time
		down       bool
	}

	retriesRequest struct {
		retry.Attempt
		daemon  *retriesDaemon
		arrived time.Time
		started time.Time
		phase   int
		tried   map[*retriesEndpoint]bool
	}
)

const (
	retriesEndpoints = 20
	retriesPerSecond = 5
	retriesService   = time.Second / retriesPerSecond
	retriesTimeout   = 2 * time.Second
	// retriesSlots is the number of requests that the limits admit for each endpoint. The last one
	// takes a second to complete.
	retriesSlots = 5

	retriesFailAt    = 60 * time.Second
	retriesRecoverAt = 120 * time.Second
	retriesEnd       = 240 * time.Second
)

var (
	retriesPolicies = []retriesPolicy{
		{name: "no retries", noRetries: true},
		{name: "3 immediate retries", immediateRetries: 3},
		{name: "3 immediate retries and health", immediateRetries: 3, useHealth: true},
		{name: "budget (retry)"},
		{name: "budget and health (retry, health)", useHealth: true},
		{name: "budget, health and limits", useHealth: true, useLimits: true},
	}

	// retriesRates are request rates per second below and above the capacity of the two remaining
	// data centres.
	retriesRates = []int{55, 70}

	retriesPhases = []string{"before", "data centre fails", "after"}
)

// Name returns the name of the subcommand.
func (*retriesCommand) Name() string { return "retries" }

// Synopsis describes the subcommand in a line.
func (*retriesCommand) Synopsis() string {
	return "measure the load of retries while a data centre's endpoints fail"
}

// Usage describes the subcommand's flags.
func (*retriesCommand) Usage() string { return "retries [-seed N]\n" }

// SetFlags declares the flags.
func (c *retriesCommand) SetFlags(flags *flag.FlagSet) {
	flags.Uint64Var(&c.seed, "seed", 1, "seed of all random numbers")
}

// Execute runs the experiment and prints its tables.
func (c *retriesCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Print(c.report())
	return subcommands.ExitSuccess
}

func (c *retriesCommand) report() string {
	var out output
	out.line("retries: seed %d, %d daemons, %d endpoints, capacity %d requests/s, %d while data centre a fails", c.seed, modelDaemons,
		retriesEndpoints, retriesEndpoints*retriesPerSecond, (retriesEndpoints-(retriesEndpoints+2)/3)*retriesPerSecond)
	for _, rate := range retriesRates {
		models := make([]*retriesModel, len(retriesPolicies))
		for i, p := range retriesPolicies {
			models[i] = runRetries(c.seed, p, rate)
		}
		for phase, name := range retriesPhases {
			out.line("\n%d requests/s, %s", rate, name)
			rows := [][]string{row("policy", "requests", "attempts per request", "most attempts in 1 s", "answered %", "refused %", "p95 ms")}
			for i, p := range retriesPolicies {
				r := models[i].phases[phase]
				most := 0
				for _, n := range r.attemptsBySecond {
					most = max(most, n)
				}
				rows = append(rows, row(p.name, r.requests, fmt.Sprintf("%.2f", float64(r.attempts)/float64(max(r.requests, 1))), most,
					fmt.Sprintf("%.1f", 100*float64(r.answered)/float64(max(r.requests, 1))),
					fmt.Sprintf("%.1f", 100*float64(r.refused)/float64(max(r.requests, 1))), r.times.percentile(95)))
			}
			out.table(rows)
		}
		out.line("\n%d requests/s, seconds from the data centre's return until 99%% of requests are answered", rate)
		rows := [][]string{row("policy", "seconds")}
		for i, p := range retriesPolicies {
			rows = append(rows, row(p.name, models[i].recoverySeconds()))
		}
		out.table(rows)
	}
	return out.text.String()
}

func runRetries(seed uint64, policy retriesPolicy, rate int) *retriesModel {
	m := &retriesModel{
		timeline: newTimeline(), policy: policy, rate: rate,
		arrivals: newRandom(seed, "arrivals", 0), random: newRandom(seed, "retries", 0),
		answeredBySecond: map[int]int{}, arrivedBySecond: map[int]int{}, waiting: map[string]*retriesRequest{},
	}
	for i := range m.phases {
		m.phases[i] = retriesPhase{times: newLatencies(), attemptsBySecond: map[int]int{}}
	}
	var members []health.Member
	for i := range retriesEndpoints {
		e := &retriesEndpoint{name: fmt.Sprintf("endpoint-%02d", i), dataCentre: []string{"a", "b", "c"}[i%3]}
		m.endpoints = append(m.endpoints, e)
		members = append(members, health.Member{Instance: e.name, DataCentre: e.dataCentre, Routes: []string{"chat"}})
	}
	for i := range modelDaemons {
		name := fmt.Sprint("daemon-", i)
		d := &retriesDaemon{
			number: i, budget: retry.New(retry.DefaultSettings()), health: health.New(health.DefaultSettings()), limits: limit.New(name, 256),
		}
		m.peerUses = append(m.peerUses, limit.PeerUse{Process: name, At: m.now})
		d.updateHealth(health.Listing{Time: m.now, Endpoints: members})
		m.daemons = append(m.daemons, d)
		m.updateLimits(d, limit.Table{Time: m.now, Accounts: limitsAccounts})
		m.updateLimits(d, limit.Capacity{Time: m.now, Slots: retriesEndpoints * retriesSlots})
		m.every(250*time.Millisecond, func() { m.refreshLimits(d) })
	}
	m.every(time.Second, func() {
		for _, d := range m.daemons {
			for _, e := range m.endpoints {
				if !e.down {
					d.updateHealth(health.Heartbeat{Time: m.now, Instance: e.name})
				}
			}
			d.updateHealth(health.Tick{Time: m.now})
		}
	})
	setDown := func(down bool) func() {
		return func() {
			for _, e := range m.endpoints {
				if e.dataCentre == "a" {
					e.down = down
				}
			}
		}
	}
	m.after(retriesFailAt, setDown(true))
	m.after(retriesRecoverAt, setDown(false))
	m.scheduleRequest()
	m.runUntil(retriesEnd + 20*time.Second)
	return m
}

func (d *retriesDaemon) updateHealth(message health.Message) { d.health, _ = d.health.Update(message) }

func (m *retriesModel) scheduleRequest() {
	m.after(exponential(m.arrivals, time.Second/time.Duration(m.rate)), func() {
		if m.elapsed() >= retriesEnd {
			return
		}
		m.scheduleRequest()
		m.requestCount++
		r := &retriesRequest{
			Attempt: retry.Attempt{
				Request: fmt.Sprint(m.requestCount), Account: fmt.Sprint("account-", 1+m.arrivals.IntN(5)), Number: 1, Repeatable: true, Sent: true,
				LatestStart: m.now.Add(10 * time.Second),
			},
			daemon: m.daemons[m.arrivals.IntN(len(m.daemons))], arrived: m.now, phase: m.phase(), tried: map[*retriesEndpoint]bool{},
		}
		r.daemon.budget, _ = r.daemon.budget.Update(retry.Arrived{Time: m.now, Account: r.Account})
		m.phases[r.phase].requests++
		m.arrivedBySecond[m.second()]++
		if !m.policy.useLimits {
			m.attempt(r)
			return
		}
		m.waiting[r.Request] = r
		m.updateLimits(r.daemon, limit.Offer{Time: m.now, Request: limit.Request{
			ID: r.Request, Account: r.Account, StartBy: m.now.Add(time.Second), Deadline: r.LatestStart,
		}})
	})
}

// refreshLimits updates a daemon's limits with the capacity of its healthy endpoints. Once a second
// it also sends the daemon's use to all daemons.
func (m *retriesModel) refreshLimits(d *retriesDaemon) {
	healthy := 0
	for _, e := range m.endpoints {
		if d.health.Status(e.name).State == health.Healthy {
			healthy++
		}
	}
	m.updateLimits(d, limit.Capacity{Time: m.now, Slots: float64(healthy * retriesSlots)})
	m.updateLimits(d, limit.Tick{Time: m.now})
	if m.now.UnixMilli()%1000 != 0 {
		return
	}
	m.peerUses[d.number].At, m.peerUses[d.number].Uses = m.now, d.limits.Uses(m.now)
	for i, to := range m.daemons {
		peers := slices.Delete(slices.Clone(m.peerUses[:len(m.daemons)]), i, i+1)
		m.updateLimits(to, limit.Peers{Time: m.now, Entries: peers})
	}
}

// updateLimits applies a message to a daemon's limits and executes the resulting commands.
func (m *retriesModel) updateLimits(d *retriesDaemon, message limit.Message) {
	var commands []limit.Command
	d.limits, commands = d.limits.Update(message)
	for _, c := range commands {
		switch c := c.(type) {
		case limit.Start:
			m.waiting[c.Request.ID].started = m.now
			m.attempt(m.waiting[c.Request.ID])
			delete(m.waiting, c.Request.ID)
		case limit.Refuse:
			m.phases[m.waiting[c.Request.ID].phase].refused++
			delete(m.waiting, c.Request.ID)
		}
	}
}

// releaseSlot frees the request's slot.
func (m *retriesModel) releaseSlot(r *retriesRequest) {
	if m.policy.useLimits {
		m.updateLimits(r.daemon, limit.Ended{Time: m.now, Account: r.Account, Started: r.started})
	}
}

func (m *retriesModel) phase() int {
	switch {
	case m.elapsed() < retriesFailAt:
		return 0
	case m.elapsed() < retriesRecoverAt:
		return 1
	}
	return 2
}

func (m *retriesModel) second() int { return int(m.elapsed() / time.Second) }

// attempt sends a request to a random endpoint that it has not tried yet. A failed endpoint refuses
// the connection; an attempt at an overloaded one times out.
func (m *retriesModel) attempt(r *retriesRequest) {
	e := m.choose(r)
	r.tried[e] = true
	m.phases[m.phase()].attempts++
	m.phases[m.phase()].attemptsBySecond[m.second()]++
	r.daemon.updateHealth(health.Sent{Time: m.now, Instance: e.name})
	if e.down {
		m.after(2*time.Millisecond, func() { m.handleFailure(r, e, health.Unreachable) })
		return
	}
	e.freeAt = value.Later(e.freeAt, m.now).Add(retriesService)
	wait := e.freeAt.Sub(m.now)
	if wait > retriesTimeout {
		m.after(retriesTimeout, func() { m.handleFailure(r, e, health.TimedOut) })
		return
	}
	m.after(wait, func() {
		r.daemon.updateHealth(health.Outcome{Time: m.now, Instance: e.name, Route: "chat", Version: "v1", Kind: health.Succeeded})
		m.releaseSlot(r)
		phase := &m.phases[r.phase]
		phase.answered++
		phase.times.record(m.now.Sub(r.arrived))
		m.answeredBySecond[int(r.arrived.Sub(modelStart)/time.Second)]++
	})
}

// choose picks a random endpoint that has not been tried. If the policy uses health, it prefers
// endpoints that are neither blocked nor doubted.
func (m *retriesModel) choose(r *retriesRequest) *retriesEndpoint {
	var preferred, fallback []*retriesEndpoint
	for _, e := range m.endpoints {
		if r.tried[e] {
			continue
		}
		status := r.daemon.health.Status(e.name)
		if !m.policy.useHealth || !status.Blocked() && status.State != health.Doubted {
			preferred = append(preferred, e)
		} else {
			fallback = append(fallback, e)
		}
	}
	if len(preferred) == 0 {
		preferred = fallback
	}
	return preferred[m.random.IntN(len(preferred))]
}

func (m *retriesModel) handleFailure(r *retriesRequest, e *retriesEndpoint, kind health.OutcomeKind) {
	r.daemon.updateHealth(health.Outcome{Time: m.now, Instance: e.name, Route: "chat", Version: "v1", Kind: kind})
	at, retrying := m.now, !m.policy.noRetries && r.Number <= m.policy.immediateRetries
	if m.policy.immediateRetries == 0 && !m.policy.noRetries {
		var commands []retry.Command
		r.daemon.budget, commands = r.daemon.budget.Update(retry.Ended{Time: m.now, Attempt: r.Attempt, Random: m.random.Float64()})
		var next retry.Retry
		next, retrying = commands[0].(retry.Retry)
		at = value.Later(next.At, m.now)
	}
	if !retrying {
		m.releaseSlot(r)
		m.phases[r.phase].abandoned++
		m.phases[r.phase].times.record(retriesTimeout * 4)
		return
	}
	r.Number++
	m.after(at.Sub(m.now), func() { m.attempt(r) })
}

// recoverySeconds returns the time from the recovery of the data centre to the end of the last
// ten-second span in which less than 99% of the arriving requests were answered.
func (m *retriesModel) recoverySeconds() int {
	const span = 10
	recovered, end := int(retriesRecoverAt/time.Second), int(retriesEnd/time.Second)
	for last := end; last >= recovered+span; last-- {
		arrived, answered := 0, 0
		for s := last - span; s < last; s++ {
			arrived += m.arrivedBySecond[s]
			answered += m.answeredBySecond[s]
		}
		if float64(answered) < 0.99*float64(arrived) {
			return last - recovered
		}
	}
	return 0
}
