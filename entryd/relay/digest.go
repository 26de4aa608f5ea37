package relay

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"lentilstage.dev/decide/hubs"
	"lentilstage.dev/decide/quota"
	"lentilstage.dev/decide/suspect"
	"lentilstage.dev/decide/usage"
)

const (
	// maxLoadsPerMessage limits the endpoints in one message, so that its size does not grow with the
	// fleet. Messages then cover the endpoints in turn.
	maxLoadsPerMessage = 600
	// keptDigests is the number of a daemon's last digests whose content it keeps, to subtract it from
	// totals that acknowledge one of them.
	keptDigests = 64
	// countsInterval is the pause between messages with the counts of all usage windows. The messages
	// between them contain the newest window only.
	countsInterval = time.Second
	// maxCentres limits the other data centres, whose names messages state.
	maxCentres = 64
	// centrePrefix begins the quota keys of other data centres.
	centrePrefix = "centre/"
)

// ownPart is what a digest contributed to the totals.
type ownPart struct {
	sequence int64
	loads    map[uint32]load
	used     map[string]int64
	starting bool
	outcomes map[string]outcomes
	breaks   map[suspect.Key]int
	// demand is the last one that the hub has received with this digest or before.
	demand map[uint32]demandShare
}

// digest returns a message with this daemon's own loads, usage and outcomes. allCounts selects the
// counts of all usage windows instead of the newest.
func (t *tables) digest(now time.Time, allCounts bool) message {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	m := t.ownMessage(now)
	m.Digest, m.Prefixes = true, t.prefixTable.drainOwn()
	m.LoadsTo = math.MaxUint32
	m.Poison = t.poisonReport(now)
	m.Limits = t.limitReports(&t.digestLimits, now)
	m.Evacuations, m.Cold = t.evacuationReports(&t.digestEvacuations, now), t.coldReports(&t.digestCold, now)
	m.Observed = t.speeds.drain(t.speeds.own)
	m.Demand = t.demandReports(digestKind, now)
	m.Counts = newestWindows(t.usage.Own(), allCounts)
	return m
}

// ownMessage returns this daemon's own loads, usage and outcomes. The caller holds the lock.
func (t *tables) ownMessage(now time.Time) message {
	m := message{Loads: map[uint32]load{}, Used: map[string]int64{}, Work: map[string]int64{}, Outcomes: map[string]outcomes{}}
	for id, own := range t.own {
		m.Loads[shortID(id)] = load{Requests: own.Requests, Reading: int(own.Reading), Memory: int(own.Memory)}
	}
	for account, used := range t.quota.Used() {
		m.Used[account] = int64(used)
	}
	for service, work := range t.work {
		m.Work[service] = int64(work)
	}
	for service, r := range t.rollouts {
		m.Outcomes[service] = r.outcomes(now)
	}
	reported := t.suspects.NewReport(now)
	m.Breaks, m.Quarantined, m.AnsweredMS = reported.Breaks, reported.Quarantined, reported.AnsweredMS
	return m
}

// newestWindows returns the counts of the last windows, or of the newest one.
func newestWindows(counts map[int64]usage.Counts, all bool) map[int64]map[string]int64 {
	newest := int64(0)
	for window := range counts {
		newest = max(newest, window)
	}
	oldest := newest
	if all {
		oldest = newest - digestWindows + 1
	}
	selected := map[int64]map[string]int64{}
	for window, c := range counts {
		if window >= oldest {
			selected[window] = c
		}
	}
	return selected
}

// keepOwnPart keeps what a digest contributes to the totals.
func (t *tables) keepOwnPart(m message) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ownParts = append(t.ownParts, ownPart{
		sequence: m.Sequence, loads: m.Loads, used: m.Used, starting: m.AgeMS < startupAge.Milliseconds(),
		outcomes: m.Outcomes, breaks: m.Breaks, demand: t.ownDemand,
	})
	if extra := len(t.ownParts) - keptDigests; extra > 0 {
		t.ownParts = slices.Delete(t.ownParts, 0, extra)
	}
}

// observe applies a follower's digest.
func (t *tables) observe(m message, silentAt, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p, known := t.peers[m.Daemon]
	if known && p.incarnation != m.Incarnation {
		p.addCounted(t.pastUsed)
	}
	if m.Follow {
		p.followUntil = now.Add(followTTL)
	}
	recent := map[string]float64{}
	if p.starting = m.AgeMS < startupAge.Milliseconds(); p.starting {
		recent = floats(m.Used)
		m.Recent = m.Used
	}
	p = t.applyPeer(p, m, known && p.incarnation == m.Incarnation, t.peerWork, now)
	p.sequence = m.Sequence
	t.peers[m.Daemon] = p
	t.speeds.apply(m.Observed, true, now)
	t.usage.Merge(m.Daemon, m.Incarnation, usageCounts(m.Counts))
	if !t.followsHub {
		t.quota.Update(quota.Merge{
			Daemon: m.Daemon, Incarnation: m.Incarnation, Used: floats(m.Used), Recent: recent, Daemons: 1, SilentAt: silentAt, Now: now,
		})
	}
}

// applySum applies the sums of another hub. Those of a former hub of the own data centre hold counts
// of processes that may have ended since; nothing else of them is used.
func (t *tables) applySum(m message, silentAt, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if m.DataCentre == t.centre {
		t.usage.MergeGroup("", usageCounts(m.Counts))
		return
	}
	t.usage.MergeGroup(m.DataCentre, usageCounts(m.Counts))
	t.speeds.apply(m.Observed, false, now)
	p, known := t.centres[m.DataCentre]
	if !known && len(t.centres) >= maxCentres {
		return
	}
	if known && p.incarnation != m.Daemon+m.Incarnation {
		p.addCounted(t.pastUsedElsewhere)
	}
	same := known && p.incarnation == m.Daemon+m.Incarnation
	m.Incarnation = m.Daemon + m.Incarnation
	p = t.applyPeer(p, m, same, t.centreWork, now)
	p.daemons = m.Totals.Daemons
	t.centres[m.DataCentre] = p
	if !t.followsHub {
		t.quota.Update(quota.Merge{
			Daemon: centrePrefix + m.DataCentre, Incarnation: m.Incarnation, Used: floats(m.Used), Recent: floats(m.Recent),
			Daemons: m.Totals.Daemons, Silent: m.Totals.Silent, SilentAt: silentAt, Now: now,
		})
	}
}

// applyPeer returns the state of a peer after its message. same reports whether its previous message
// came from the same process. The caller holds the lock.
func (t *tables) applyPeer(p peerState, m message, same bool, work map[string]float64, now time.Time) peerState {
	p.counted = p.countUsed(m, same)
	if same && now.Sub(p.receivedAt) < loadTTL {
		p.addWork(work, m.Work)
	}
	p.receivedAt, p.incarnation, p.used, p.recent, p.work = now, m.Incarnation, m.Used, m.Recent, m.Work
	p.loads = withLoads(p.loads, m)
	p.outcomes, p.breaks, p.responses = m.Outcomes, m.Breaks, t.applySuspects(m, now)
	p.poison = t.applyPoison(m, now)
	if m.Limits != nil {
		p.limits = t.applyLimits(m, now)
	}
	t.applyCold(m, now)
	if m.Demand != nil {
		p.demand, p.demandAt = readDemand(m.Demand, t.wall(now)), now
	}
	t.prefixTable.observe(m.Prefixes, m.Digest, now)
	return p
}

// withLoads returns the loads after those in a message, which may cover only a part of the endpoints.
func withLoads(loads map[uint32]load, m message) map[uint32]load {
	if m.LoadsFrom == 0 && m.LoadsTo == math.MaxUint32 || loads == nil {
		return m.Loads
	}
	maps.DeleteFunc(loads, func(id uint32, _ load) bool { return id >= m.LoadsFrom && id <= m.LoadsTo })
	maps.Copy(loads, m.Loads)
	return loads
}

func usageCounts(counts map[int64]map[string]int64) map[int64]usage.Counts {
	converted := make(map[int64]usage.Counts, len(counts))
	for window, c := range counts {
		converted[window] = c
	}
	return converted
}

// countUsed returns the peer's usage since its first message arrived here. Earlier usage of an older
// process is excluded: when a hub has just started, its followers would count that usage as current
// and refuse the client account for seconds.
func (p peerState) countUsed(m message, same bool) map[string]int64 {
	counted := map[string]int64{}
	if !same {
		maps.Copy(counted, m.Recent)
		return counted
	}
	maps.Copy(counted, p.counted)
	for account, used := range m.Used {
		counted[account] += used - p.used[account]
	}
	return counted
}

// addWork adds the work that the peer has placed since its last message to a sum. Work that it placed
// before its first message, or while its messages were missing, is excluded, since it would count as
// current demand.
func (p peerState) addWork(sum map[string]float64, work map[string]int64) {
	for service, placed := range work {
		sum[service] += float64(placed - p.work[service])
	}
}

// addCounted adds the usage of an ended process to a sum, which must not decrease.
func (p peerState) addCounted(sum map[string]int64) {
	for account, used := range p.counted {
		sum[account] += used
	}
}

// applyTotals applies the hub's totals over all daemons. The own part that they contain is that of the
// digest which the hub acknowledges.
func (t *tables) applyTotals(m message, acknowledged int64, silentAt, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.followsHub || t.hub != m.Daemon {
		t.followsHub, t.hub = true, m.Daemon
		t.hubState = peerState{}
		t.quota.Update(quota.Reset{Now: now})
	}
	t.hubState.daemons = m.Totals.Daemons
	own, known := t.ownPart(acknowledged)
	own.subtractFrom(&m)
	t.hubState.receivedAt = now
	t.hubState.loads = withLoads(t.hubState.loads, m)
	t.hubState.outcomes, t.hubState.breaks = m.Outcomes, m.Breaks
	t.applySuspects(m, now)
	t.applyPoison(m, now)
	t.applyLimits(m, now)
	t.applyCold(m, now)
	t.speeds.applyHub(m)
	t.prefixTable.observe(m.Prefixes, false, now)
	if !known {
		return
	}
	if m.Demand != nil {
		t.hubState.demand, t.hubState.demandAt = without(readDemand(m.Demand, t.wall(now)), own.demand), now
	}
	t.quota.Update(quota.Merge{
		Daemon: hubName, Incarnation: m.Daemon + m.Incarnation, Used: floats(m.Used), Recent: floats(m.Recent),
		Daemons: max(m.Totals.Daemons-1, 1), Silent: m.Totals.Silent, SilentAt: silentAt, Now: now,
	})
}

// ownPart returns what the digest with a number contributed.
func (t *tables) ownPart(sequence int64) (ownPart, bool) {
	i := slices.IndexFunc(t.ownParts, func(p ownPart) bool { return p.sequence == sequence })
	if i < 0 {
		return ownPart{}, false
	}
	return t.ownParts[i], true
}

// subtractFrom subtracts the part from totals.
func (p ownPart) subtractFrom(m *message) {
	for id, l := range p.loads {
		sum, ok := m.Loads[id]
		if !ok {
			continue
		}
		if rest := sum.minus(l); rest.Requests > 0 {
			m.Loads[id] = rest
		} else {
			delete(m.Loads, id)
		}
	}
	for account, used := range p.used {
		if _, ok := m.Used[account]; ok {
			m.Used[account] -= used
		}
		if _, ok := m.Recent[account]; ok && p.starting {
			m.Recent[account] -= used
		}
	}
	for service, o := range p.outcomes {
		if sum, ok := m.Outcomes[service]; ok && sum.Target == o.Target {
			sum.Good, sum.Bad, sum.Evidence = sum.Good-o.Good, sum.Bad-o.Bad, sum.Evidence.Minus(o.Evidence)
			m.Outcomes[service] = sum
		}
	}
	for key, count := range p.breaks {
		// Totals without breaks are decoded as a nil map.
		sum, ok := m.Breaks[key]
		if !ok {
			continue
		}
		if rest := sum - count; rest > 0 {
			m.Breaks[key] = rest
		} else {
			delete(m.Breaks, key)
		}
	}
}

// becomeHub switches to the digests of the followers and the sums of other hubs, since this daemon is
// its own hub. Daemons whose messages don't arrive share the allowances too.
func (t *tables) becomeHub(others func() []hubs.Report, now time.Time) {
	t.mutex.Lock()
	follows := t.followsHub
	if follows || t.hubSince.IsZero() {
		t.hubSince = now
	}
	if follows {
		t.followsHub, t.hub = false, ""
		t.speeds.seed(now)
		t.hubState = peerState{}
		t.quota.Update(quota.Reset{Now: now})
	}
	t.mutex.Unlock()
	if follows {
		t.listMembers(others(), now, now)
	}
}

// silentDaemons returns the number of daemons whose messages arrive neither here nor at the hub that
// reports for them.
func (t *tables) silentDaemons(now time.Time) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.quota.Silent(now)
}

// centreDaemons returns the number of known daemons of the own data centre, this one included, and how
// many of them are silent.
func (t *tables) centreDaemons(members []hubs.Report, now time.Time) (count, silent int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var names []string
	for _, m := range members {
		if m.DataCentre == t.centre {
			names = append(names, m.Name)
		}
	}
	return len(names) + 1, t.quota.SilentAmong(names, now)
}

// listMembers counts the known daemons among those that share allowances: each of the own data
// centre, and each other data centre as one peer. Those that have not reported count as silent some
// time after since.
func (t *tables) listMembers(members []hubs.Report, since, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.followsHub {
		return
	}
	elsewhere := map[string]int{}
	for _, m := range members {
		if m.DataCentre == t.centre {
			t.quota.Update(quota.Listed{Daemon: m.Name, Since: since, Now: now})
		} else {
			elsewhere[m.DataCentre]++
		}
	}
	for centre, count := range elsewhere {
		t.quota.Update(quota.Listed{Daemon: centrePrefix + centre, Daemons: count, Since: since, Now: now})
	}
}

// hubDaemons returns the number of daemons that this daemon's hub knows.
func (t *tables) hubDaemons() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.hubState.daemons
}

// followsOtherHub reports whether another daemon is this one's hub.
func (t *tables) followsOtherHub() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.followsHub
}

// reporters returns the states that together cover all other daemons: the hub's, or those of the
// followers and of the other data centres. Messages that this daemon received while it was a hub are
// excluded, since its present hub's totals include them.
func (t *tables) reporters() iter.Seq[peerState] {
	return func(yield func(peerState) bool) {
		if t.followsHub {
			yield(t.hubState)
			return
		}
		for _, peers := range []map[string]peerState{t.peers, t.centres} {
			for _, p := range peers {
				if !yield(p) {
					return
				}
			}
		}
	}
}

// followers returns the daemons that have recently asked for totals, each with the number of its last
// digest.
func (t *tables) followers(now time.Time) map[string]int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	sequences := map[string]int64{}
	for name, p := range t.peers {
		if now.Before(p.followUntil) {
			sequences[name] = p.sequence
		}
	}
	return sequences
}

// expire removes the state of a daemon that is gone, but keeps its counts.
func (t *tables) expire(daemon string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.peers[daemon].addCounted(t.pastUsed)
	delete(t.peers, daemon)
	t.quota.Update(quota.PeerRemoved{Daemon: daemon, Now: now})
}

// depart removes the state of a daemon whose process has ended as planned, but keeps its counts. remaining is the
// number of known daemons of its data centre.
func (t *tables) depart(daemon hubs.Member, remaining int, now time.Time) {
	t.expire(daemon.Name, now)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if daemon.DataCentre == t.centre {
		return
	}
	if remaining > 0 {
		t.quota.Update(quota.PeerReduced{Daemon: centrePrefix + daemon.DataCentre, Daemons: remaining, Now: now})
		return
	}
	t.centres[daemon.DataCentre].addCounted(t.pastUsedElsewhere)
	delete(t.centres, daemon.DataCentre)
	t.quota.Update(quota.PeerRemoved{Daemon: centrePrefix + daemon.DataCentre, Now: now})
}

// sums returns a message with the loads and usage of this daemon and its followers, for other hubs.
// starting reports whether this process has just started.
func (t *tables) sums(now time.Time, starting, allCounts bool) message {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	m := t.sumOf(t.ownMessage(now), starting, t.pastUsed, t.peers, now)
	m.Prefixes, m.Poison = t.prefixTable.drainCentre(), t.poisonReport(now, t.peers)
	m.Limits = t.limitReports(&t.sumLimits, now, t.peers)
	m.Evacuations, m.Cold = t.evacuationReports(&t.sumEvacuations, now), t.coldReports(&t.sumCold, now)
	m.Demand = t.demandReports(sumKind, now, t.peers)
	for service, work := range t.peerWork {
		m.Work[service] += int64(work)
	}
	m.Counts = newestWindows(t.usage.OwnGroups(), allCounts)
	m.Observed = t.speeds.drain(t.speeds.centre)
	t.sumCursor = m.limitLoads(t.sumCursor)
	return m
}

// totals returns a message with the loads and usage of all daemons, for followers.
func (t *tables) totals(now time.Time, starting bool) message {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	m := t.sumOf(t.ownMessage(now), starting, t.pastUsed, t.peers, now)
	m = t.sumOf(m, false, t.pastUsedElsewhere, t.centres, now)
	m.Prefixes, m.Work = t.prefixTable.drainAll(), nil
	m.Poison = t.poisonReport(now, t.peers, t.centres)
	m.Limits = t.limitReports(&t.totalLimits, now, t.peers, t.centres)
	m.Evacuations, m.Cold = t.evacuationReports(&t.totalEvacuations, now), t.coldReports(&t.totalCold, now)
	t.speeds.fill(&m)
	m.Demand = t.demandReports(totalsKind, now, t.peers, t.centres)
	t.totalsCursor = m.limitLoads(t.totalsCursor)
	return m
}

// sumOf adds the state of peers to a message. The caller holds the lock.
func (t *tables) sumOf(m message, starting bool, pastUsed map[string]int64, peers map[string]peerState, now time.Time) message {
	if m.Recent == nil {
		m.Recent = map[string]int64{}
	}
	if starting {
		maps.Copy(m.Recent, m.Used)
	}
	for account, used := range pastUsed {
		m.Used[account] += used
	}
	for _, p := range peers {
		p.addCounted(m.Used)
		for account, used := range p.recent {
			m.Recent[account] += used
		}
		for service, o := range p.outcomes {
			sum := m.Outcomes[service]
			if sum.Target == "" || sum.Target == o.Target {
				m.Outcomes[service] = sum.plus(o)
			}
		}
		for key, count := range p.breaks {
			m.Breaks[key] += count
		}
		for key, at := range p.responses {
			age := now.Sub(at).Milliseconds()
			if known, ok := m.AnsweredMS[key]; !ok || age < known {
				m.AnsweredMS[key] = age
			}
		}
	}
	addPeerLoads(m.Loads, peers, now)
	return m
}

// limitLoads reduces the loads to those that fit into a message, starting at an identifier, and
// returns the identifier at which the next message starts.
func (m *message) limitLoads(from uint32) (next uint32) {
	m.LoadsFrom, m.LoadsTo = 0, math.MaxUint32
	if len(m.Loads) <= maxLoadsPerMessage {
		return 0
	}
	ids := slices.Sorted(maps.Keys(m.Loads))
	first, _ := slices.BinarySearch(ids, from)
	m.LoadsFrom = from
	if last := first + maxLoadsPerMessage; last < len(ids) {
		m.LoadsTo = ids[last] - 1
		next = ids[last]
	}
	maps.DeleteFunc(m.Loads, func(id uint32, _ load) bool { return id < m.LoadsFrom || id > m.LoadsTo })
	return next
}
