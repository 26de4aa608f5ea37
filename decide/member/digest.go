package member

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lentilstage.dev/wire/wire"
)

const (
	// MaxDigestBytes bounds the estimated size of a digest. Three digests sent and about three
	// received each second use 12 KB/s of a daemon's 15 KB/s for control traffic.
	MaxDigestBytes = 2048
	// fullFanout is the maximum number of peers at which each digest is sent to all of them.
	fullFanout = 8
	// gossipFanout is the number of random targets of a digest if there are more peers.
	gossipFanout = 3
	// sectionBytes bounds the alarms and, separately, the leaving marks of a digest, so that a burst
	// of reclaims or quarantines does not crowd out the entries.
	sectionBytes = MaxDigestBytes / 4
	// ownEntryBytes bounds the daemon's own entry in a digest.
	ownEntryBytes = MaxDigestBytes / 2
)

// targets returns the receivers of the next digest. They include daemons that are considered dead,
// since two daemons that consider each other dead would otherwise never exchange digests again.
func (s State) targets(seed uint64) []Target {
	var names []string
	for _, process := range s.Listed() {
		if process != s.self {
			names = append(names, process)
		}
	}
	if len(names) > fullFanout {
		random := rand.New(rand.NewPCG(seed, 0))
		random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		names = names[:gossipFanout]
	}
	to := make([]Target, 0, len(names))
	for _, process := range names {
		to = append(to, Target{Process: process, PeerAddress: s.listed[process].instance.PeerAddress})
	}
	return to
}

// buildDigest returns a digest of at most MaxDigestBytes: the daemon's own entry, alarms, leaving
// marks and then entries of peers. Within each section, items that were relayed longest ago come
// first. It updates the times at which the items were relayed.
func (s *State) buildDigest(now time.Time) wire.Digest {
	own := trimEntry(s.own, ownEntryBytes)
	digest := wire.Digest{From: s.self, Time: now, Entries: []wire.DigestEntry{own}}
	size := headerSize + len(s.self) + EntrySize(own)

	s.alarms = maps.Clone(s.alarms)
	sectionSize := 0
	for _, key := range keysByTime(s.alarms, func(a alarm) time.Time { return a.relayed }, compareAlarms) {
		a := s.alarms[key]
		cost := alarmSize(a.alarm)
		if sectionSize+cost > sectionBytes || size+cost > MaxDigestBytes {
			break
		}
		sectionSize, size = sectionSize+cost, size+cost
		digest.Alarms = append(digest.Alarms, a.alarm)
		a.relayed = now
		s.alarms[key] = a
	}

	s.leaving = maps.Clone(s.leaving)
	sectionSize = 0
	for _, instance := range keysByTime(s.leaving, func(m mark) time.Time { return m.relayed }, cmp.Compare[string]) {
		// An unlisted instance gets no work, so its mark is not relayed. Otherwise daemons that
		// have expired the mark would receive it again from those that have not, forever.
		if s.hasList && !s.listedInstances[instance] {
			continue
		}
		cost := stringSize(instance)
		if sectionSize+cost > sectionBytes || size+cost > MaxDigestBytes {
			break
		}
		sectionSize, size = sectionSize+cost, size+cost
		digest.Leaving = append(digest.Leaving, instance)
		m := s.leaving[instance]
		m.relayed = now
		s.leaving[instance] = m
	}

	s.peers = maps.Clone(s.peers)
	for _, process := range keysByTime(s.peers, func(p *peer) time.Time { return p.relayed }, cmp.Compare[string]) {
		p := s.peers[process]
		// Skip entries that were already relayed and entries that are too old to be useful. With
		// 390 daemons, relaying these too doubles the age of the oldest entry.
		if !p.received.After(p.relayed) || now.Sub(p.received) >= LivenessTimeout || !s.IsAlive(process, now) {
			continue
		}
		cost := EntrySize(p.entry)
		if size+cost > MaxDigestBytes {
			continue
		}
		size += cost
		digest.Entries = append(digest.Entries, p.entry)
		relayed := *p
		relayed.relayed = now
		s.peers[process] = &relayed
	}
	return digest
}

// compareAlarms orders alarms by kind and subject.
func compareAlarms(a, b alarmKey) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.subject, b.subject))
}

// keysByTime returns the keys sorted by the time of their values, and by key for equal times.
func keysByTime[K comparable, V any](m map[K]V, at func(V) time.Time, compare func(a, b K) int) []K {
	return slices.SortedFunc(maps.Keys(m), func(a, b K) int {
		return cmp.Or(at(m[a]).Compare(at(m[b])), compare(a, b))
	})
}

// trimEntry returns the entry with the items that fit within the budget in bytes. Evidence has
// priority, since the verdict on a version depends on it, followed by the largest uses and then the
// largest placements.
func trimEntry(e wire.DigestEntry, budget int) wire.DigestEntry {
	if EntrySize(e) <= budget {
		return e
	}
	fixed := e
	fixed.Evidence, fixed.Uses, fixed.Placements = nil, nil, nil
	budget -= EntrySize(fixed)
	e.Evidence, budget = largestThatFit(e.Evidence, budget, evidenceSize, func(v wire.Evidence) int { return int(v.Requests) })
	e.Uses, budget = largestThatFit(e.Uses, budget, useSize, func(u wire.AccountUsage) int { return u.InFlight + u.Waiting })
	e.Placements, _ = largestThatFit(e.Placements, budget, placementSize, func(p wire.Placement) int { return p.Tokens + p.Requests })
	return e
}

// largestThatFit returns the items with the largest weights that fit within the budget, and the
// remaining budget.
func largestThatFit[T any](items []T, budget int, size, weight func(T) int) ([]T, int) {
	sorted := slices.SortedStableFunc(slices.Values(items), func(a, b T) int { return cmp.Compare(weight(b), weight(a)) })
	kept := slices.DeleteFunc(sorted, func(item T) bool {
		cost := size(item)
		if cost > budget {
			return true
		}
		budget -= cost
		return false
	})
	return kept, budget
}
