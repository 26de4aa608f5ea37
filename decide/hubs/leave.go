package hubs

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

type (
	// Leave announces that a process of a daemon ends as planned. Whoever hears it passes it on.
	Leave struct {
		Name, Incarnation string
		// At is when the process stops using its part of what the daemons share. Its messages may end
		// earlier, without an effect on its part.
		At time.Time
	}

	// process is one run of a daemon.
	process struct{ name, incarnation string }

	departure struct {
		at time.Time
		// heardAt is when this daemon heard of the leave, or that it is over.
		heardAt time.Time
		// isOver is set once the daemon was removed.
		isOver bool
	}
)

const (
	// leaveRepeatTime is how long a daemon passes on what it has heard of a leave. It outlasts lost messages
	// and a change of the hub.
	leaveRepeatTime = 5 * time.Second
	// maxLeaves limits the leaves in a message, each of about 50 bytes; the newest come first.
	maxLeaves = 24
	// leaveCopies is the number of daemons that a leaving one tells directly besides the hubs and standbys.
	leaveCopies = 6
	// maxDepartures limits the leaves that are kept. A fleet of 390 daemons that is replaced twice within
	// memberTTL stays below it.
	maxDepartures = 1024
)

// AnnounceLeave records that this process ends as planned and uses its part until a time. From then on it is the
// last choice as a hub.
func (s *State) AnnounceLeave(at, now time.Time) {
	s.leaves[s.self.process()] = departure{at: at, heardAt: now}
	s.self.Leaving = true
	s.hubs = nil
}

// Leave records that a process of another daemon ends as planned, and reports whether that is news. Of several
// announcements the earliest time counts, since messages may arrive out of order.
func (s *State) Leave(l Leave, now time.Time) bool {
	p := process{l.Name, l.Incarnation}
	d, known := s.leaves[p]
	if l.Name == s.self.Name || known && !l.At.Before(d.at) || !known && len(s.leaves) >= maxDepartures {
		return false
	}
	isNew := !known || d.at.After(now) && !l.At.After(now)
	d.at = l.At
	if isNew {
		d.heardAt = now
	}
	s.leaves[p] = d
	if k, ok := s.known[l.Name]; ok && k.process() == p {
		k.Leaving = true
	}
	s.hubs = nil
	return isNew
}

// Departures removes the daemons whose processes use their parts no longer and returns them. A daemon that has
// started again meanwhile stays.
func (s *State) Departures(now time.Time) []Member {
	var gone []Member
	for p, d := range s.leaves {
		if d.at.After(now) || p.name == s.self.Name {
			continue
		}
		if k, ok := s.known[p.name]; ok && !d.isOver && s.isProcess(k, p, now) {
			s.remove(k)
			gone = append(gone, k.Member)
		}
		d.isOver = true
		s.leaves[p] = d
		if now.Sub(d.at) > memberTTL {
			// Records of the process are too old to count by now.
			delete(s.leaves, p)
		}
	}
	slices.SortFunc(gone, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return gone
}

// isProcess reports whether what is known of a daemon is about a process or an earlier one. Daemons that hear
// little of each other may know the record of an earlier one only. A later process that was heard is never meant,
// even if the clock of its instance is late.
func (s *State) isProcess(k *entry, p process, now time.Time) bool {
	return k.Incarnation == p.incarnation || k.Incarnation < p.incarnation && now.Sub(k.SeenAt) > s.ttl()
}

// HasLeft reports whether a process has announced that it uses its part no longer. Late messages and records of it
// have no effect.
func (s *State) HasLeft(name, incarnation string, now time.Time) bool {
	d, ok := s.leaves[process{name, incarnation}]
	return ok && !d.at.After(now)
}

// Leaves returns the leaves that this daemon passes on: its own, and those of which it has heard lately.
func (s *State) Leaves(now time.Time) []Leave {
	if len(s.leaves) == 0 {
		return nil
	}
	news := func(p process) time.Time { return s.leaves[p].heardAt }
	processes := slices.SortedFunc(maps.Keys(s.leaves), func(a, b process) int {
		return cmp.Or(news(b).Compare(news(a)), cmp.Compare(a.name, b.name))
	})
	var leaves []Leave
	for _, p := range processes {
		isSelf := p == s.self.process()
		if (isSelf || now.Sub(news(p)) < leaveRepeatTime) && (isSelf || len(leaves) < maxLeaves) {
			leaves = append(leaves, Leave{Name: p.name, Incarnation: p.incarnation, At: s.leaves[p].at})
		}
	}
	return leaves
}

// LeaveTargets returns the daemons that this one tells directly that it leaves: the hubs of all data centres, the
// standbys of its own, and some random ones. They may all leave too.
func (s *State) LeaveTargets(now time.Time, random func() float64) []Report {
	chosen := map[string]Report{}
	for _, r := range s.Hubs(now) {
		chosen[r.Name] = r
	}
	for _, r := range s.standbys(now) {
		chosen[r.Name] = r
	}
	others := s.Members()
	for n := 0; n < leaveCopies && len(others) > 0; n++ {
		i := min(int(random()*float64(len(others))), len(others)-1)
		chosen[others[i].Name] = others[i]
		others = slices.Delete(others, i, i+1)
	}
	delete(chosen, s.self.Name)
	return slices.SortedFunc(maps.Values(chosen), func(a, b Report) int { return cmp.Compare(a.Name, b.Name) })
}

// process returns the process that the member's report is about.
func (m Member) process() process { return process{m.Name, m.Incarnation} }

// remove forgets a daemon.
func (s *State) remove(k *entry) {
	delete(s.known, k.Name)
	s.names, s.hubs = nil, nil
	if k.listedAt.IsZero() {
		s.unlisted--
	}
	if k.DataCentre == s.self.DataCentre {
		s.followers--
	}
}
