package relay

import (
	"iter"
	"maps"
	"time"

	"lentilstage.dev/decide/quota"
	"lentilstage.dev/decide/suspect"
	"lentilstage.dev/decide/usage"
)

// digest returns a message with this daemon's own loads, usage and outcomes.
func (t *tables) digest(now time.Time) message {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	m := message{Loads: map[uint32]load{}, Used: map[string]int64{}, Counts: map[int64]map[string]int64{}}
	for id, own := range t.own {
		m.Loads[shortID(id)] = load{Requests: own.Requests, Reading: int(own.Reading), Memory: int(own.Memory)}
	}
	for account, used := range t.quota.Used() {
		m.Used[account] = int64(used)
	}
	m.Work = map[string]int64{}
	for service, work := range t.work {
		m.Work[service] = int64(work)
	}
	m.Outcomes = map[string]outcomes{}
	for service, r := range t.rollouts {
		m.Outcomes[service] = r.outcomes(now)
	}
	reported := t.suspects.NewReport(now)
	m.Breaks, m.Quarantined, m.AnsweredMS = reported.Breaks, reported.Quarantined, reported.AnsweredMS
	newest := int64(0)
	own := t.usage.Own()
	for window := range own {
		newest = max(newest, window)
	}
	for window, counts := range own {
		if window > newest-digestWindows {
			m.Counts[window] = counts
		}
	}
	return m
}

// observe applies a daemon's digest.
func (t *tables) observe(m message, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p, known := t.peers[m.Daemon]
	if known && p.incarnation != m.Incarnation {
		t.addPastUsed(p)
	}
	if m.Follow {
		p.followUntil = now.Add(followTTL)
	}
	recent := map[string]float64{}
	if p.starting = m.AgeMS < startupAge.Milliseconds(); p.starting {
		recent = floats(m.Used)
	}
	same := known && p.incarnation == m.Incarnation
	p.counted = p.countUsed(m, same)
	if same && now.Sub(p.receivedAt) < loadTTL {
		p.addWork(t.peerWork, m.Work)
	}
	p.receivedAt, p.incarnation, p.loads, p.used, p.work = now, m.Incarnation, m.Loads, m.Used, m.Work
	p.outcomes, p.breaks, p.responses = m.Outcomes, m.Breaks, t.applySuspects(m, now)
	t.prefixTable.observe(m.Prefixes, now)
	t.peers[m.Daemon] = p
	counts := make(map[int64]usage.Counts, len(m.Counts))
	for window, c := range m.Counts {
		counts[window] = c
	}
	t.usage.Merge(m.Daemon, m.Incarnation, counts)
	if !t.followsHub {
		t.quota.Update(quota.Merge{
			Daemon: m.Daemon, Incarnation: m.Incarnation, Used: floats(m.Used), Recent: recent, Daemons: 1, Now: now,
		})
	}
}

// countUsed returns the daemon's usage since its first digest arrived here. Earlier usage of an older
// process is excluded: when a hub has just started, its followers would count that usage as current
// and refuse the client account for seconds.
func (p peerState) countUsed(m message, same bool) map[string]int64 {
	counted := map[string]int64{}
	switch {
	case same:
		maps.Copy(counted, p.counted)
		for account, used := range m.Used {
			counted[account] += used - p.used[account]
		}
	case p.starting:
		maps.Copy(counted, m.Used)
	}
	return counted
}

// addWork adds the work that the daemon has placed since its last digest to a sum. Work that it
// placed before its first digest, or while its digests were missing, is excluded, since it would
// count as current demand.
func (p peerState) addWork(sum map[string]float64, work map[string]int64) {
	for service, placed := range work {
		sum[service] += float64(placed - p.work[service])
	}
}

// addPastUsed adds the usage of an ended process to the sum, which must not decrease.
func (t *tables) addPastUsed(p peerState) {
	for account, used := range p.counted {
		t.pastUsed[account] += used
	}
}

// applyTotals applies the hub's totals over all other daemons.
func (t *tables) applyTotals(m message, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.followsHub || t.hub != m.Daemon {
		t.followsHub, t.hub = true, m.Daemon
		t.quota.Update(quota.Reset{Now: now})
	}
	t.hubState = peerState{receivedAt: now, loads: m.Loads, outcomes: m.Outcomes, breaks: m.Breaks}
	t.applySuspects(m, now)
	t.prefixTable.observe(m.Prefixes, now)
	t.quota.Update(quota.Merge{
		Daemon: hubName, Incarnation: m.Daemon + m.Incarnation, Used: floats(m.Used), Recent: floats(m.Recent),
		Daemons: max(m.Totals.Daemons-1, 1), Silent: m.Totals.Silent, Now: now,
	})
}

// becomeHub switches to the digests of all daemons, since this daemon is its own hub. Daemons whose
// messages don't arrive share the allowances too.
func (t *tables) becomeHub(others []string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.followsHub {
		return
	}
	t.followsHub, t.hub = false, ""
	t.hubState = peerState{}
	t.quota.Update(quota.Reset{Now: now})
	for _, name := range others {
		t.quota.Update(quota.Listed{Daemon: name, Since: now, Now: now})
	}
}

// silentDaemons returns the number of daemons whose messages no longer arrive.
func (t *tables) silentDaemons(now time.Time) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.quota.Silent(now)
}

// addMember counts a daemon known from the log among those that share allowances.
func (t *tables) addMember(daemon string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.followsHub {
		t.quota.Update(quota.Listed{Daemon: daemon, Now: now})
	}
}

// followsOtherHub reports whether another daemon is this one's hub.
func (t *tables) followsOtherHub() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.followsHub
}

// reporters returns the states that together cover all other daemons: the hub's, or that of each
// daemon. Digests that this daemon received while it was a hub are excluded, since its present hub's
// totals include them.
func (t *tables) reporters() iter.Seq[peerState] {
	if t.followsHub {
		return func(yield func(peerState) bool) { yield(t.hubState) }
	}
	return maps.Values(t.peers)
}

// drainOwnPrefixes returns the parts of prompts that this daemon has sent since the last call.
func (t *tables) drainOwnPrefixes() prefixParts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.prefixTable.drainOwn()
}

// drainAllPrefixes returns the parts of prompts that all daemons have sent since the last call.
func (t *tables) drainAllPrefixes() prefixParts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.prefixTable.drainAll()
}

// followers returns the daemons that have recently asked for totals.
func (t *tables) followers(now time.Time) map[string]bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	names := map[string]bool{}
	for name, p := range t.peers {
		if now.Before(p.followUntil) {
			names[name] = true
		}
	}
	return names
}

// expire removes the state of a daemon that is gone, but keeps its counts.
func (t *tables) expire(daemon string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.addPastUsed(t.peers[daemon])
	delete(t.peers, daemon)
	t.quota.Update(quota.PeerRemoved{Daemon: daemon, Now: now})
}

// clusterTotals holds the loads and usage of all daemons, in total and for each peer.
type clusterTotals struct {
	loads    map[uint32]load
	used     map[string]int64
	recent   map[string]int64
	outcomes map[string]outcomes
	breaks   map[suspect.Key]int
	// quarantined holds the requests that any daemon has in quarantine.
	quarantined map[suspect.Key]int
	// responses holds the ages of responses to suspect requests, in milliseconds.
	responses map[suspect.Key]int64
	peers     map[string]peerState
}

// clusterTotals returns the loads and usage of all daemons, including this one. starting reports
// whether this process has just started.
func (t *tables) clusterTotals(now time.Time, starting bool) clusterTotals {
	own := t.digest(now)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := clusterTotals{
		loads: own.Loads, used: own.Used, recent: map[string]int64{}, outcomes: own.Outcomes,
		breaks: own.Breaks, quarantined: own.Quarantined, responses: own.AnsweredMS, peers: map[string]peerState{},
	}
	if starting {
		s.recent = maps.Clone(own.Used)
	}
	for account, used := range t.pastUsed {
		s.used[account] += used
	}
	for name, p := range t.peers {
		s.peers[name] = p
		for service, o := range p.outcomes {
			sum := s.outcomes[service]
			if sum.Target == "" || sum.Target == o.Target {
				s.outcomes[service] = sum.plus(o)
			}
		}
		for key, count := range p.breaks {
			s.breaks[key] += count
		}
		for key, at := range p.responses {
			age := now.Sub(at).Milliseconds()
			if known, ok := s.responses[key]; !ok || age < known {
				s.responses[key] = age
			}
		}
		for account, used := range p.counted {
			s.used[account] += used
		}
		if p.starting {
			for account, used := range p.used {
				s.recent[account] += used
			}
		}
	}
	t.addPeerLoads(s.loads, now)
	return s
}

// excluding returns the totals without one daemon's part.
func (s clusterTotals) excluding(daemon string) message {
	p := s.peers[daemon]
	m := message{Loads: maps.Clone(s.loads), Used: maps.Clone(s.used), Recent: maps.Clone(s.recent), Outcomes: maps.Clone(s.outcomes)}
	m.Breaks, m.Quarantined, m.AnsweredMS = maps.Clone(s.breaks), s.quarantined, s.responses
	for key, count := range p.breaks {
		if m.Breaks[key] -= count; m.Breaks[key] <= 0 {
			delete(m.Breaks, key)
		}
	}
	for account, used := range p.counted {
		m.Used[account] -= used
	}
	if p.starting {
		for account, used := range p.used {
			m.Recent[account] -= used
		}
	}
	for service, o := range p.outcomes {
		if sum := m.Outcomes[service]; sum.Target == o.Target {
			sum.Good, sum.Bad = sum.Good-o.Good, sum.Bad-o.Bad
			m.Outcomes[service] = sum
		}
	}
	for id, l := range p.loads {
		rest := m.Loads[id].minus(l)
		if rest.Requests <= 0 {
			delete(m.Loads, id)
			continue
		}
		m.Loads[id] = rest
	}
	return m
}
