package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/subcommands"

	"lentilstage.dev/decide/limit"
	"lentilstage.dev/domain/table"
)

type (
	// limitsCommand simulates a flood from one account and overload, with and without limits.
	limitsCommand struct {
		seed uint64
	}

	// limitsPolicy determines how requests are admitted.
	limitsPolicy struct {
		name string
		// useLimits admits requests through decide/limit; otherwise all go to the endpoints at once.
		useLimits bool
		// dropLate refuses requests that reach the head of the queue after their latest start.
		dropLate bool
	}

	limitsScenario struct {
		// load is the offered work as a multiple of the capacity.
		load float64
		// flood is the factor on the first account's request rate after the warm-up.
		flood float64
		// oneDaemon sends the flood to a single daemon.
		oneDaemon bool
	}

	// limitsResult holds counts, and histograms of the time from arrival to start. A refused request
	// counts with the time until its latest start.
	limitsResult struct {
		others, flooding                           latencies
		offered, inTime, late, refused, background int
		othersOffered, othersInTime, floodInTime   int
		maxBackgroundWait                          time.Duration
		maxAtEndpoints                             int
	}

	limitsModel struct {
		*timeline
		policy   limitsPolicy
		scenario limitsScenario
		random   *rand.Rand
		daemons  []*limit.Aggregate
		peerUses []limit.PeerUse
		requests map[string]*limitsRequest
		queue    []*limitsRequest
		running  int
		number   int
		result   limitsResult
	}

	limitsRequest struct {
		limit.Request
		daemon     int
		arrived    time.Time
		started    time.Time
		service    time.Duration
		background bool
		measured   bool
	}
)

const (
	limitsSlots      = 60
	limitsWarmUp     = 60 * time.Second
	limitsEnd        = 240 * time.Second
	limitsDrain      = 400 * time.Second
	limitsBackground = 0.1

	chatDeadline       = 10 * time.Second
	backgroundDeadline = 120 * time.Second
)

var (
	limitsPolicies = []limitsPolicy{
		{name: "first come first served"},
		{name: "first come, late ones dropped", dropLate: true},
		{name: "shares and queue (limit)", useLimits: true},
	}

	limitsAccounts = []table.Account{
		{Name: "account-1", Share: 0.3},
		{Name: "account-2", Share: 0.25},
		{Name: "account-3", Share: 0.2},
		{Name: "account-4", Share: 0.15},
		{Name: "account-5", Share: 0.1},
	}
)

// Name returns the name of the subcommand.
func (*limitsCommand) Name() string { return "limits" }

// Synopsis describes the subcommand in a line.
func (*limitsCommand) Synopsis() string {
	return "measure one account's flood and overload with and without limits"
}

// Usage describes the subcommand's flags.
func (*limitsCommand) Usage() string { return "limits [-seed N]\n" }

// SetFlags declares the flags.
func (c *limitsCommand) SetFlags(flags *flag.FlagSet) {
	flags.Uint64Var(&c.seed, "seed", 1, "seed of all random numbers")
}

// Execute runs the experiment and prints its tables.
func (c *limitsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Print(c.report())
	return subcommands.ExitSuccess
}

func (c *limitsCommand) report() string {
	var out output
	out.line("limits: seed %d, %d daemons, %d slots, %d accounts", c.seed, modelDaemons, limitsSlots, len(limitsAccounts))
	for _, s := range []limitsScenario{{load: 0.6, flood: 1}, {load: 0.6, flood: 10}, {load: 0.6, flood: 10, oneDaemon: true}} {
		out.line("\nload %g, flood of account-1 %g times, through one daemon: %v", s.load, s.flood, s.oneDaemon)
		rows := [][]string{row("policy", "others p50 ms", "others p95 ms", "others offered", "others in time", "account-1 in time", "refused")}
		for _, p := range limitsPolicies {
			r := runLimits(c.seed, p, s)
			rows = append(rows, row(p.name, r.others.percentile(50), r.others.percentile(95), r.othersOffered, r.othersInTime, r.floodInTime, r.refused))
		}
		out.table(rows)
	}
	for _, load := range []float64{1, 2, 5} {
		out.line("\noverload: %g times the capacity", load)
		rows := [][]string{row("policy", "offered", "in time", "late", "refused", "background in time", "longest background wait s", "most at endpoints")}
		for _, p := range limitsPolicies {
			r := runLimits(c.seed, p, limitsScenario{load: load, flood: 1})
			rows = append(rows, row(p.name, r.offered, r.inTime, r.late, r.refused, r.background, r.maxBackgroundWait.Seconds(), r.maxAtEndpoints))
		}
		out.table(rows)
	}
	return out.text.String()
}

func runLimits(seed uint64, policy limitsPolicy, scenario limitsScenario) limitsResult {
	m := &limitsModel{
		timeline: newTimeline(), policy: policy, scenario: scenario, random: newRandom(seed, "limits", 0),
		requests: map[string]*limitsRequest{}, peerUses: make([]limit.PeerUse, modelDaemons),
		result: limitsResult{others: newLatencies(), flooding: newLatencies()},
	}
	for i := range modelDaemons {
		aggregate := limit.New(fmt.Sprint("daemon-", i), 256)
		m.daemons = append(m.daemons, &aggregate)
		m.peerUses[i] = limit.PeerUse{Process: fmt.Sprint("daemon-", i), At: m.now}
		m.updateLimits(i, limit.Table{Time: m.now, Accounts: limitsAccounts})
		m.updateLimits(i, limit.Capacity{Time: m.now, Slots: limitsSlots})
		m.after(time.Duration(i)*time.Second/modelDaemons, func() { m.every(time.Second, func() { m.sendDigest(i) }) })
		m.every(250*time.Millisecond, func() { m.updateLimits(i, limit.Tick{Time: m.now}) })
	}
	for i, a := range limitsAccounts {
		m.scheduleRequest(i, a)
	}
	m.runUntil(limitsDrain)
	return m.result
}

// scheduleRequest schedules an account's next request. Most are chat requests with a short service
// time; a tenth are long background requests.
func (m *limitsModel) scheduleRequest(number int, account table.Account) {
	const meanService = (1-limitsBackground)*2 + limitsBackground*8
	rate := m.scenario.load * account.Share * limitsSlots / meanService
	flooding := number == 0 && m.scenario.flood > 1 && m.elapsed() >= limitsWarmUp
	if flooding {
		rate *= m.scenario.flood
	}
	m.after(exponential(m.random, time.Duration(float64(time.Second)/rate)), func() {
		if m.elapsed() >= limitsEnd {
			return
		}
		m.scheduleRequest(number, account)
		m.number++
		r := &limitsRequest{arrived: m.now, daemon: m.random.IntN(modelDaemons), measured: m.elapsed() >= limitsWarmUp}
		if flooding && m.scenario.oneDaemon {
			r.daemon = 0
		}
		r.Request = limit.Request{ID: fmt.Sprint(m.number), Account: account.Name, Deadline: m.now.Add(chatDeadline)}
		r.service = time.Second + time.Duration(m.random.Float64()*2*float64(time.Second))
		r.StartBy = r.Deadline.Add(-3 * time.Second)
		if m.random.Float64() < limitsBackground {
			r.background, r.Priority, r.Deadline = true, 7, m.now.Add(backgroundDeadline)
			r.service = 6*time.Second + time.Duration(m.random.Float64()*4*float64(time.Second))
			r.StartBy = r.Deadline.Add(-10 * time.Second)
		}
		if r.measured {
			m.result.offered++
			if number != 0 {
				m.result.othersOffered++
			}
		}
		if !m.policy.useLimits {
			m.enqueue(r)
			return
		}
		m.requests[r.ID] = r
		m.updateLimits(r.daemon, limit.Offer{Time: m.now, Request: r.Request})
	})
}

// updateLimits applies a message to a daemon's limits and executes the resulting commands.
func (m *limitsModel) updateLimits(daemon int, message limit.Message) {
	next, commands := m.daemons[daemon].Update(message)
	*m.daemons[daemon] = next
	for _, c := range commands {
		switch c := c.(type) {
		case limit.Start:
			m.enqueue(m.requests[c.Request.ID])
			delete(m.requests, c.Request.ID)
		case limit.Refuse:
			m.refused(m.requests[c.Request.ID])
			delete(m.requests, c.Request.ID)
		}
	}
}

func (m *limitsModel) sendDigest(from int) {
	entry := limit.PeerUse{Process: m.peerUses[from].Process, At: m.now, Uses: m.daemons[from].Uses(m.now)}
	m.after(time.Millisecond, func() {
		m.peerUses[from] = entry
		for i := range m.daemons {
			if i == from {
				continue
			}
			var peers []limit.PeerUse
			for j, e := range m.peerUses {
				if j != i {
					peers = append(peers, e)
				}
			}
			m.updateLimits(i, limit.Peers{Time: m.now, Entries: peers})
		}
	})
}

// enqueue queues a request at the endpoints, which run limitsSlots requests at once.
func (m *limitsModel) enqueue(r *limitsRequest) {
	m.queue = append(m.queue, r)
	m.startQueued()
}

func (m *limitsModel) startQueued() {
	for len(m.queue) > 0 && m.running < limitsSlots {
		r := m.queue[0]
		m.queue = m.queue[1:]
		if m.policy.dropLate && m.now.After(r.StartBy) {
			m.refused(r)
			continue
		}
		m.running++
		m.result.maxAtEndpoints = max(m.result.maxAtEndpoints, m.running+len(m.queue))
		r.started = m.now
		m.waited(r, m.now.Sub(r.arrived))
		m.after(r.service, func() {
			m.running--
			m.ended(r)
			if m.policy.useLimits {
				m.updateLimits(r.daemon, limit.Ended{Time: m.now, Account: r.Account, Started: r.started})
			}
			m.startQueued()
		})
	}
}

// waited records the time from the arrival of a request until its start.
func (m *limitsModel) waited(r *limitsRequest, wait time.Duration) {
	switch {
	case !r.measured:
	case r.background:
		m.result.maxBackgroundWait = max(m.result.maxBackgroundWait, wait)
	case r.Account == limitsAccounts[0].Name:
		m.result.flooding.record(wait)
	default:
		m.result.others.record(wait)
	}
}

// refused counts a refused request.
func (m *limitsModel) refused(r *limitsRequest) {
	if !r.measured {
		return
	}
	m.result.refused++
	if !r.background {
		m.waited(r, r.StartBy.Sub(r.arrived))
	}
}

// ended counts a completed request.
func (m *limitsModel) ended(r *limitsRequest) {
	switch {
	case !r.measured:
	case m.now.After(r.Deadline):
		m.result.late++
	default:
		m.result.inTime++
		if r.background {
			m.result.background++
		}
		if r.Account == limitsAccounts[0].Name {
			m.result.floodInTime++
		} else {
			m.result.othersInTime++
		}
	}
}
