package relay

import (
	"iter"
	"maps"
	"time"

	"lentilstage.dev/decide/quota"
	"lentilstage.dev/decide/suspect"
	"lentilstage.dev/decide/usage"
)

// digest returns what this daemon tells of itself.
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
	told := t.suspects.Tell(now)
	m.Breaks, m.Quarantined, m.AnsweredMS = told.Breaks, told.Quarantined, told.AnsweredMS
	newest := int64(0)
	own := t.usage.Own()
	for window := range own {
		newest = max(newest, window)
	}
	for window, counts := range own {
		if window > newest-usedWindows {
			m.Counts[window] = counts
		}
	}
	return m
}

// heard takes in a daemon's digest.
func (t *tables) heard(m message, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p, known := t.peers[m.Daemon]
	if known && p.incarnation != m.Incarnation {
		t.keepUsed(p)
	}
	if m.Follow {
		p.followUntil = now.Add(followLasts)
	}
	recent := map[string]float64{}
	if p.young = m.AgeMS < youngAge.Milliseconds(); p.young {
		recent = amounts(m.Used)
	}
	same := known && p.incarnation == m.Incarnation
	p.counted = p.count(m, same)
	if same && now.Sub(p.heardAt) < loadsLast {
		p.addWork(t.placed, m.Work)
	}
	p.heardAt, p.incarnation, p.loads, p.used, p.work = now, m.Incarnation, m.Loads, m.Used, m.Work
	p.outcomes, p.breaks, p.answered = m.Outcomes, m.Breaks, t.hearSuspects(m, now)
	t.prefixes.heard(m.Prefixes, now)
	t.peers[m.Daemon] = p
	counts := make(map[int64]usage.Counts, len(m.Counts))
	for window, c := range m.Counts {
		counts[window] = c
	}
	t.usage.Heard(m.Daemon, m.Incarnation, counts)
	if !t.followsHub {
		t.quota.Update(quota.Heard{
			Daemon: m.Daemon, Incarnation: m.Incarnation, Used: amounts(m.Used), Recent: recent, Daemons: 1, Now: now,
		})
	}
}

// count returns the daemon's use as far as this one has seen it being used. What an older process
// has used before it was first heard is none of it: followers would take it for use of this moment
// when their hub has just started, and refuse the account for seconds.
func (p peerLoads) count(m message, same bool) map[string]int64 {
	counted := map[string]int64{}
	switch {
	case same:
		maps.Copy(counted, p.counted)
		for account, used := range m.Used {
			counted[account] += used - p.used[account]
		}
	case p.young:
		maps.Copy(counted, m.Used)
	}
	return counted
}

// addWork adds the work that the daemon has placed since its last digest to a sum. What it had placed
// before it was heard, or while it was not, is left out: it would show as demand of this moment.
func (p peerLoads) addWork(sum map[string]float64, work map[string]int64) {
	for service, placed := range work {
		sum[service] += float64(placed - p.work[service])
	}
}

// keepUsed adds what an ended process had used to the sum, which must not fall.
func (t *tables) keepUsed(p peerLoads) {
	for account, used := range p.counted {
		t.pastUsed[account] += used
	}
}

// heardTotals takes in what the own hub tells of all other daemons.
func (t *tables) heardTotals(m message, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.followsHub || t.hub != m.Daemon {
		t.followsHub, t.hub = true, m.Daemon
		t.quota.Update(quota.Reset{Now: now})
	}
	t.hubLoads = peerLoads{heardAt: now, loads: m.Loads, outcomes: m.Outcomes, breaks: m.Breaks}
	t.hearSuspects(m, now)
	t.prefixes.heard(m.Prefixes, now)
	t.quota.Update(quota.Heard{
		Daemon: hubName, Incarnation: m.Daemon + m.Incarnation, Used: amounts(m.Used), Recent: amounts(m.Recent),
		Daemons: max(m.Totals.Daemons-1, 1), Silent: m.Totals.Silent, Now: now,
	})
}

// leaveHub turns to the digests of all daemons, since this daemon is its own hub. Those that it
// can't hear share the allowances too.
func (t *tables) leaveHub(others []string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.followsHub {
		return
	}
	t.followsHub, t.hub = false, ""
	t.hubLoads = peerLoads{}
	t.quota.Update(quota.Reset{Now: now})
	for _, name := range others {
		t.quota.Update(quota.Listed{Daemon: name, Since: now, Now: now})
	}
}

// silent returns the number of daemons that this one no longer hears.
func (t *tables) silent(now time.Time) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.quota.Silent(now)
}

// expect counts a daemon that is known from the log among those that share allowances.
func (t *tables) expect(daemon string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.followsHub {
		t.quota.Update(quota.Listed{Daemon: daemon, Now: now})
	}
}

// hubFollowed reports whether another daemon is the own hub.
func (t *tables) hubFollowed() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.followsHub
}

// tellers returns what tells of all other daemons: the own hub, or each of them. What daemons told
// this one while it was a hub is left out, since its present hub tells of them too.
func (t *tables) tellers() iter.Seq[peerLoads] {
	if t.followsHub {
		return func(yield func(peerLoads) bool) { yield(t.hubLoads) }
	}
	return maps.Values(t.peers)
}

// ownPrefixes returns the parts of prompts that this daemon has placed since it was asked last.
func (t *tables) ownPrefixes() prefixParts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.prefixes.takeOwn()
}

// prefixNews returns the parts that all daemons have placed since it was asked last.
func (t *tables) prefixNews() prefixParts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.prefixes.takeNews()
}

// followers returns the daemons that asked for totals lately.
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

// forget drops what a daemon that is gone has told, but for its counts.
func (t *tables) forget(daemon string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.keepUsed(t.peers[daemon])
	delete(t.peers, daemon)
	t.quota.Update(quota.Forgotten{Daemon: daemon, Now: now})
}

// sums are the loads and uses of all daemons with those of each.
type sums struct {
	loads    map[uint32]load
	used     map[string]int64
	recent   map[string]int64
	outcomes map[string]outcomes
	breaks   map[suspect.Key]int
	// quarantined are the requests that any daemon keeps out.
	quarantined map[suspect.Key]int
	// answered are the ages of answers to suspects.
	answered map[suspect.Key]int64
	peers    map[string]peerLoads
}

// sums returns the loads and uses of all daemons, this one included, which may be young.
func (t *tables) sums(now time.Time, young bool) sums {
	own := t.digest(now)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := sums{
		loads: own.Loads, used: own.Used, recent: map[string]int64{}, outcomes: own.Outcomes,
		breaks: own.Breaks, quarantined: own.Quarantined, answered: own.AnsweredMS, peers: map[string]peerLoads{},
	}
	if young {
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
		for key, at := range p.answered {
			age := now.Sub(at).Milliseconds()
			if known, ok := s.answered[key]; !ok || age < known {
				s.answered[key] = age
			}
		}
		for account, used := range p.counted {
			s.used[account] += used
		}
		if p.young {
			for account, used := range p.used {
				s.recent[account] += used
			}
		}
	}
	t.addPeers(s.loads, now)
	return s
}

// without returns the sums without the part of one daemon.
func (s sums) without(daemon string) message {
	p := s.peers[daemon]
	m := message{Loads: maps.Clone(s.loads), Used: maps.Clone(s.used), Recent: maps.Clone(s.recent), Outcomes: maps.Clone(s.outcomes)}
	m.Breaks, m.Quarantined, m.AnsweredMS = maps.Clone(s.breaks), s.quarantined, s.answered
	for key, count := range p.breaks {
		if m.Breaks[key] -= count; m.Breaks[key] <= 0 {
			delete(m.Breaks, key)
		}
	}
	for account, used := range p.counted {
		m.Used[account] -= used
	}
	if p.young {
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
