package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/subcommands"

	"lentilstage.dev/decide/hubs"
)

type (
	// exchangeCommand compares ways to exchange loads between daemons: messages and bytes by role, the
	// age of what a daemon knows of the others, and the time until a lost hub is replaced.
	exchangeCommand struct {
		seed uint64
	}

	// exchangePolicy is a way to exchange loads.
	exchangePolicy string

	exchangeScenario struct {
		policy exchangePolicy
		// The daemons are spread evenly over the data centres.
		daemons, centres int
		endpoints        int
		lossPercent      int
		measured, warmUp time.Duration
	}

	// exchangeResult holds the means over the daemons of a role, per second, and the ages in seconds of
	// what a daemon knows of another.
	exchangeResult struct {
		followerMessages, hubMessages float64
		followerBytes, hubBytes       float64
		meanAge, oldAge               float64
		// hubLoss is the time until all daemons of a data centre use a live hub again.
		hubLoss time.Duration
	}

	exchangeModel struct {
		exchangeScenario
		random  *rand.Rand
		now     time.Time
		daemons []*exchangeDaemon
		ages    []float64
	}

	exchangeDaemon struct {
		name, centre string
		// number is that of the data centre, index that of the daemon among all.
		number, index int
		state         *hubs.State
		down          bool
		nextAt        time.Time
		heartbeatAt   time.Time
		// known holds the time of the newest information on each daemon that has arrived here.
		known     []time.Time
		followers map[string]time.Time
		messages  int
		bytes     int
	}
)

const (
	// hubSums is the protocol of decide/hubs: digests to the own hub, sums between hubs.
	hubSums exchangePolicy = "sums between hubs"
	// allHubs is its predecessor: digests to the hubs of all data centres, heartbeats to all daemons,
	// intervals that grow with the number of daemons.
	allHubs exchangePolicy = "digests to all hubs"
	// fanOut sends everything that a daemon knows to three random daemons.
	fanOut exchangePolicy = "random fan-out"

	exchangeTick = 20 * time.Millisecond
	// Sizes in bytes: a message without loads, a referral, an endpoint's load, an account's use.
	messageBytes, referralBytes, loadBytes, useBytes = 150, 110, 12, 14
	// openRequests is the number of endpoints that a daemon has requests at, accounts those that have
	// used something at every daemon.
	openRequests, accounts = 4, 40
	fanOutPeers            = 3
	fanOutInterval         = 300 * time.Millisecond
	exchangeFollowTTL      = 2 * time.Second
	maxSumLoads            = 600
)

// Name returns the name of the subcommand.
func (*exchangeCommand) Name() string { return "exchange" }

// Synopsis returns a one-line description.
func (*exchangeCommand) Synopsis() string {
	return "compare ways to exchange loads between 8 to 392 daemons"
}

// Usage returns the subcommand's usage.
func (*exchangeCommand) Usage() string { return "lsbench exchange [-seed N]\n" }

// SetFlags defines the subcommand's flags.
func (c *exchangeCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of the random choices and losses")
}

// Execute runs all scenarios and prints their table.
func (c *exchangeCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	rows := [][]string{row("daemons", "endpoints", "way", "messages/s", "at a hub", "B/s", "at a hub", "age ms", "95 in 100", "hub lost, ms")}
	for _, size := range []struct{ daemons, centres, endpoints int }{
		{8, 3, 18}, {31, 3, 62}, {83, 3, 140}, {99, 3, 198}, {295, 5, 600}, {392, 4, 600},
	} {
		for _, policy := range []exchangePolicy{hubSums, allHubs, fanOut} {
			s := exchangeScenario{
				policy: policy, daemons: size.daemons, centres: size.centres, endpoints: size.endpoints, lossPercent: 1,
				warmUp: 4 * time.Second, measured: 4 * time.Second,
			}
			r := runExchange(s, c.seed)
			hubLoss := "-"
			if r.hubLoss > 0 {
				hubLoss = fmt.Sprint(r.hubLoss.Milliseconds())
			}
			rows = append(rows, row(size.daemons, size.endpoints, policy, r.followerMessages, r.hubMessages,
				r.followerBytes, r.hubBytes, 1000*r.meanAge, 1000*r.oldAge, hubLoss))
		}
	}
	var o output
	o.table(rows)
	fmt.Print(o.text.String())
	return subcommands.ExitSuccess
}

// firstOf returns the index of the first daemon of a data centre.
func (s exchangeScenario) firstOf(centre int) int { return centre * s.daemons / s.centres }

// runExchange runs a scenario: a warm-up, a measured time, and the loss of a hub.
func runExchange(s exchangeScenario, seed uint64) exchangeResult {
	m := &exchangeModel{exchangeScenario: s, random: newRandom(seed, "exchange", s.daemons), now: time.Unix(1000, 0)}
	for c := range s.centres {
		for i := range s.firstOf(c+1) - s.firstOf(c) {
			m.daemons = append(m.daemons, &exchangeDaemon{
				name: fmt.Sprintf("entry-%d-%d", c, i), centre: fmt.Sprint("centre-", c), number: c, index: len(m.daemons),
				known: make([]time.Time, s.daemons), followers: map[string]time.Time{},
				nextAt: m.now.Add(time.Duration(m.random.IntN(300)) * time.Millisecond),
			})
		}
	}
	for _, d := range m.daemons {
		d.state = hubs.New(hubs.Member{Name: d.name, DataCentre: d.centre, Speed: 1})
		for _, other := range m.daemons {
			d.state.List(hubs.Member{Name: other.name, DataCentre: other.centre, Speed: 1}, m.now)
		}
	}
	m.run(s.warmUp, false)
	for _, d := range m.daemons {
		d.messages, d.bytes = 0, 0
	}
	m.run(s.measured, true)
	return m.result()
}

func (m *exchangeModel) result() exchangeResult {
	var r exchangeResult
	followers, hubCount := 0.0, 0.0
	seconds := m.measured.Seconds()
	for _, d := range m.daemons {
		if m.hubOf(d) == d {
			hubCount++
			r.hubMessages += float64(d.messages) / seconds
			r.hubBytes += float64(d.bytes) / seconds
		} else {
			followers++
			r.followerMessages += float64(d.messages) / seconds
			r.followerBytes += float64(d.bytes) / seconds
		}
	}
	r.followerMessages, r.followerBytes = r.followerMessages/max(followers, 1), r.followerBytes/max(followers, 1)
	r.hubMessages, r.hubBytes = r.hubMessages/max(hubCount, 1), r.hubBytes/max(hubCount, 1)
	slices.Sort(m.ages)
	for _, age := range m.ages {
		r.meanAge += age / float64(len(m.ages))
	}
	r.oldAge = m.ages[len(m.ages)*95/100]
	if m.policy == hubSums {
		r.hubLoss = m.loseHub()
	}
	return r
}

// loseHub stops the hub of a data centre and returns the time until all its daemons use a live one.
func (m *exchangeModel) loseHub() time.Duration {
	lost := m.hubOf(m.daemons[0])
	lost.down = true
	began := m.now
	for m.now.Sub(began) < time.Minute {
		m.run(exchangeTick, false)
		if !slices.ContainsFunc(m.daemons, func(d *exchangeDaemon) bool { return !d.down && d.centre == lost.centre && m.hubOf(d).down }) {
			break
		}
	}
	return m.now.Sub(began)
}

// hubOf returns the hub that a daemon uses.
func (m *exchangeModel) hubOf(d *exchangeDaemon) *exchangeDaemon {
	if m.policy != hubSums {
		return m.daemons[m.firstOf(d.number)]
	}
	hub, _ := d.state.Hub(m.now)
	return m.byName(hub.Name)
}

func (m *exchangeModel) byName(name string) *exchangeDaemon {
	var centre, number int
	_, _ = fmt.Sscanf(name, "entry-%d-%d", &centre, &number)
	return m.daemons[m.firstOf(centre)+number]
}

func (m *exchangeModel) run(length time.Duration, measure bool) {
	for end := m.now.Add(length); m.now.Before(end); m.now = m.now.Add(exchangeTick) {
		for _, d := range m.daemons {
			if d.down || m.now.Before(d.nextAt) {
				continue
			}
			d.known[d.index] = m.now
			switch m.policy {
			case hubSums:
				m.sendByHubs(d)
				d.nextAt = d.nextAt.Add(d.state.Interval())
			case allHubs:
				m.sendToAllHubs(d)
			case fanOut:
				for range fanOutPeers {
					m.send(d, m.daemons[m.random.IntN(len(m.daemons))], messageBytes+len(m.daemons)*(openRequests*loadBytes+2*useBytes), d.known)
				}
				d.nextAt = d.nextAt.Add(fanOutInterval)
			}
		}
		if measure {
			m.sampleAges()
		}
	}
}

// sampleAges samples the age of what some daemons know of others.
func (m *exchangeModel) sampleAges() {
	for range 50 {
		d, other := m.daemons[m.random.IntN(len(m.daemons))], m.random.IntN(len(m.daemons))
		if other != d.index && !d.known[other].IsZero() {
			m.ages = append(m.ages, m.now.Sub(d.known[other]).Seconds())
		}
	}
}

// send sends a message with information on daemons and reports whether it arrived.
func (m *exchangeModel) send(from, to *exchangeDaemon, size int, known []time.Time) bool {
	from.messages++
	from.bytes += size
	if to.down || m.random.IntN(100) < m.lossPercent {
		return false
	}
	for i, at := range known {
		if at.After(to.known[i]) {
			to.known[i] = at
		}
	}
	return true
}

// own returns the information that a daemon has on itself.
func (m *exchangeModel) own(d *exchangeDaemon) []time.Time {
	own := make([]time.Time, d.index+1)
	own[d.index] = d.known[d.index]
	return own
}

// ofCentre returns the information that a hub has on its data centre.
func (m *exchangeModel) ofCentre(d *exchangeDaemon) []time.Time {
	first, end := m.firstOf(d.number), m.firstOf(d.number+1)
	part := make([]time.Time, end)
	copy(part[first:], d.known[first:end])
	return part
}

func (m *exchangeModel) sendByHubs(d *exchangeDaemon) {
	d.state.UpdateSelf(false, 1, m.now, m.now)
	referrals := sortedReports(d.state.Referrals(m.now))
	base := messageBytes + referralBytes*len(referrals)
	deliver := func(to *exchangeDaemon, size int, known []time.Time) bool {
		if !m.send(d, to, size, known) {
			return false
		}
		to.state.Observe(d.state.Self(), m.now)
		for _, r := range referrals {
			to.state.Refer(r, m.now)
		}
		return true
	}
	uses := accounts * useBytes
	if hub, isHub := d.state.Hub(m.now); !isHub {
		if to := m.byName(hub.Name); deliver(to, base+openRequests*loadBytes+uses, m.own(d)) {
			to.followers[d.name] = m.now.Add(exchangeFollowTTL)
		}
	} else {
		for _, t := range sortedReports(d.state.SumTargets(m.now)) {
			deliver(m.byName(t.Name), base+min((m.firstOf(d.number+1)-m.firstOf(d.number))*openRequests, m.endpoints, maxSumLoads)*loadBytes+2*uses, m.ofCentre(d))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.followers)) {
		if m.now.After(d.followers[name]) {
			delete(d.followers, name)
			continue
		}
		deliver(m.byName(name), base+min(m.endpoints, maxSumLoads)*loadBytes+2*uses, d.known)
	}
	for _, p := range d.state.Probes(m.now, m.random.Float64) {
		if to := m.byName(p.Name); deliver(to, base, nil) {
			m.send(to, d, base, nil)
		}
	}
}

// sortedReports sorts reports by name. decide/hubs returns them in the order of a map, which would decide
// which message is lost.
func sortedReports(reports []hubs.Report) []hubs.Report {
	slices.SortFunc(reports, func(a, b hubs.Report) int { return cmp.Compare(a.Name, b.Name) })
	return reports
}

// sendToAllHubs sends the messages of the former protocol.
func (m *exchangeModel) sendToAllHubs(d *exchangeDaemon) {
	const (
		digestInterval, digestDaemons       = 100 * time.Millisecond, 40
		heartbeatInterval, heartbeatDaemons = 300 * time.Millisecond, 20
	)
	count := len(m.daemons)
	d.nextAt = d.nextAt.Add(digestInterval * time.Duration(max(1, count/digestDaemons)))
	if m.now.Sub(d.heartbeatAt) >= heartbeatInterval*time.Duration(max(count, heartbeatDaemons))/heartbeatDaemons {
		d.heartbeatAt = m.now
		for _, to := range m.daemons {
			m.send(d, to, messageBytes, nil)
		}
	}
	for c := range m.centres {
		m.send(d, m.daemons[m.firstOf(c)], messageBytes+openRequests*loadBytes+accounts*useBytes, m.own(d))
	}
	if m.hubOf(d) == d {
		for _, to := range m.daemons[d.index+1 : m.firstOf(d.number+1)] {
			m.send(d, to, messageBytes+m.endpoints*loadBytes+2*accounts*useBytes, d.known)
		}
	}
}
