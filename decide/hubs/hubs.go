// Package hubs decides which daemons exchange messages, so that the messages of a daemon do not grow
// with the number of daemons.
//
// Each data centre has a hub. The daemons of a data centre, its followers, send their digests to the
// hub and get the totals of all daemons from it; the hubs send each other the sums of their data
// centres. There is no election: every daemon takes the first live daemon of its data centre in a
// fixed order as its hub, and serves as a hub to those that ask it.
//
// A daemon knows the names of all others from the log, but hears only from a few: from its hub, and
// from one or two random daemons a second. Liveness travels as referrals instead: each message names
// the hub of its sender, and a hub's messages name the hubs and the next candidates as well. A referral
// holds the time at which its subject was last heard, so that referrals of a dead daemon expire. A
// daemon that receives nothing from its hub ignores referrals to it until it receives a message of it.
//
// One of the hubs, the reader, reads the log for all of them.
//
// # Usage
//
//	state := hubs.New(self)
//	state.List(member, now)          // a record in the log
//	state.Observe(report, now)       // a message of another daemon
//	state.Refer(report, now)         // a referral in a message
//	hub, isHub := state.Hub(now)
//	state.Leave(leave, now)          // a planned end of a process
//	gone := state.Departures(now)
//
// The methods change the state in place and are not safe for concurrent use.
package hubs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// Member describes a daemon, as its record in the log does.
	Member struct {
		Name       string  `json:"Name"`
		Address    string  `json:"Address"`
		Control    string  `json:"Control"`
		DataCentre string  `json:"DataCentre"`
		Speed      float64 `json:"Speed"`
		// Incarnation identifies a process of the daemon.
		Incarnation string `json:"Incarnation"`
		// At is when the record was written, by the writer's clock.
		At time.Time `json:"At"`
		// LeavesAt is when the process stops using its part of what the daemons share, by the writer's
		// clock; zero unless it ends as planned.
		LeavesAt time.Time `json:"LeavesAt,omitzero"`
	}

	// Report is what a daemon says about itself, or another daemon about it. All times are by the
	// receiver's clock.
	Report struct {
		Member
		// Config is the version of the daemon's configuration.
		Config int64
		// HoldsLease reports whether the daemon holds the lease.
		HoldsLease bool
		// ReadAt is when the log was last read, by the daemon or by a hub that informs it; OwnReadAt
		// is when the daemon itself last read it.
		ReadAt, OwnReadAt time.Time
		// SeenAt is when the daemon was last heard.
		SeenAt time.Time
		// Leaving reports whether the process has announced that it ends.
		Leaving bool
	}

	// State is one daemon's view of the others.
	State struct {
		self  entry
		known map[string]*entry
		// names are the names of the known daemons by data centre, in order; nil if they must be
		// collected again.
		names map[string][]string
		// followers is the number of other known daemons of the own data centre.
		followers int
		// unlisted is the number of known daemons that no record names.
		unlisted int
		// heardAt is when the last message of any daemon arrived, probedAt when this daemon last
		// introduced itself.
		heardAt, probedAt time.Time
		// chosen holds the hub of each data centre that this daemon hears: its own one, and those of
		// the others if it is a hub.
		chosen map[string]choice
		// hubs is the result of Hubs at hubsAt; it is kept for memoTTL.
		hubs   map[string]Report
		hubsAt time.Time
		// leaves holds the processes that end or have ended as planned, this one included.
		leaves map[process]departure
	}

	// choice is a hub, and when this daemon began to expect its messages.
	choice struct {
		name  string
		since time.Time
	}

	entry struct {
		Report
		// heardAt is when the last message of the daemon itself arrived; SeenAt includes referrals.
		heardAt time.Time
		// listedAt is when the daemon's record was last read.
		listedAt time.Time
		// suspectAt is when the daemon was last found silent as a hub.
		suspectAt time.Time
		// readSince is the start of the span in which reads have come without a gap.
		readSince time.Time
	}
)

const (
	// baseInterval is the pause between the messages of up to baseFollowers daemons of a data centre.
	// With more it grows with their number, so that the hub's messages per second do not, up to
	// maxInterval: above it, failures would be noticed too late.
	baseInterval  = 100 * time.Millisecond
	baseFollowers = 20
	maxInterval   = 500 * time.Millisecond
	// minSilence is the shortest time after which a silent hub is replaced. silenceIntervals allows
	// for lost messages: a failure is noticed within 1.75 s at any number of daemons.
	minSilence       = 700 * time.Millisecond
	silenceIntervals = 3.5
	// ttlIntervals is the number of intervals for which a message or a referral counts, minTTL the
	// shortest such time. The referrals to the standbys must outlast the silence of the hub that made
	// them.
	ttlIntervals = 7
	minTTL       = 1200 * time.Millisecond
	// probeInterval is the pause between two introductions of a daemon that hears others.
	probeInterval = 700 * time.Millisecond
	// memoTTL is how long the hubs are not determined anew, since each message needs them.
	memoTTL = 20 * time.Millisecond
	// suspectTTL is how long a silent hub is not used unless a message of it arrives, and how long a
	// daemon that was only listed may be tried as a hub.
	suspectTTL = 5 * time.Second
	// readTTL is how long a read of the log counts, not counting the interval of messages: the reader
	// reads at least every two seconds.
	readTTL = 3 * time.Second
	// readerTTL is how long an own read makes a hub the reader, not counting the interval of messages: other hubs
	// read before. It ends before readTTL, so that the next reader informs a hub that can't read in time;
	// a hub that is replaced instead takes its place back once it is informed, again and again.
	readerTTL = 2 * time.Second
	// minReadSpan is how long a daemon must have read the log before it replaces a hub that can't.
	// After an outage of the log the hub reads again within that time.
	minReadSpan = time.Second
	// memberTTL is how long a daemon is known without a record or a message.
	memberTTL = 70 * time.Second
	// maxUnlisted limits the daemons that are known from messages only: anyone can send messages under any number of
	// names. A fleet of 295 machines that is replaced at once stays below it until its records are read.
	maxUnlisted = 512
	// standbys is the number of daemons of a data centre that a hub keeps informed, so that they can
	// replace it at once.
	standbys = 2
)

// New returns the state of a daemon that knows no other.
func New(self Member) *State {
	return &State{self: entry{Report: Report{Member: self}}, known: map[string]*entry{}, chosen: map[string]choice{}, leaves: map[process]departure{}}
}

// UpdateSelf records whether this daemon holds the lease, its configuration, and the last reads of
// the log that inform it and that it made itself.
func (s *State) UpdateSelf(holdsLease bool, config int64, readAt, ownReadAt time.Time) {
	last := s.self
	s.self.HoldsLease, s.self.Config, s.self.ReadAt, s.self.OwnReadAt = holdsLease, config, readAt, ownReadAt
	s.self.updateReads(last, s.readGap())
	s.hubs = nil
}

// Self returns this daemon's own report.
func (s *State) Self() Report { return s.self.Report }

// Admits reports whether a daemon's messages may be used: it is known, or there is room for one more that no record
// names. A process does not change its data centre.
func (s *State) Admits(m Member) bool {
	known, ok := s.known[m.Name]
	if !ok {
		return s.unlisted < maxUnlisted
	}
	return known.Incarnation != m.Incarnation || known.DataCentre == m.DataCentre
}

// IsListed reports whether a record names the daemon.
func (s *State) IsListed(name string) bool {
	known, ok := s.known[name]
	return ok && !known.listedAt.IsZero()
}

// Observe records a message of a daemon and reports whether the sender is a new process. A process that has left
// changes nothing, nor does a daemon that is not admitted.
func (s *State) Observe(from Report, now time.Time) bool {
	if from.Name == s.self.Name || s.HasLeft(from.Name, from.Incarnation, now) || !s.Admits(from.Member) {
		return false
	}
	known := s.entry(from.Member)
	isNew := known.Incarnation != from.Incarnation
	from.SeenAt = now
	s.replace(known, from)
	known.heardAt, s.heardAt = now, now
	return isNew
}

// Refer records a referral to a daemon. An older one than what is known changes nothing.
func (s *State) Refer(to Report, now time.Time) {
	if to.Name == s.self.Name || to.SeenAt.After(now) || s.HasLeft(to.Name, to.Incarnation, now) || !s.Admits(to.Member) {
		return
	}
	known := s.entry(to.Member)
	if to.SeenAt.After(known.SeenAt) {
		s.replace(known, to)
	}
}

// entry returns the entry of a daemon, which is added if the daemon is unknown.
func (s *State) entry(m Member) *entry {
	known, ok := s.known[m.Name]
	if !ok {
		known = &entry{Report: Report{Member: m, Leaving: s.leaving(m)}}
		s.known[m.Name] = known
		s.names = nil
		s.unlisted++
		if m.DataCentre == s.self.DataCentre {
			s.followers++
		}
	}
	return known
}

// replace replaces the report of a known daemon.
func (s *State) replace(known *entry, report Report) {
	last := *known
	known.Report = report
	known.Leaving = s.leaving(report.Member)
	known.updateReads(last, s.readGap())
}

// leaving reports whether a process has announced that it ends.
func (s *State) leaving(m Member) bool {
	_, ok := s.leaves[m.process()]
	return ok
}

// updateReads updates the span of the daemon's reads from its previous entry.
func (k *entry) updateReads(last entry, gap time.Duration) {
	if k.ReadAt.Before(last.ReadAt) {
		// Messages may arrive out of order.
		k.ReadAt = last.ReadAt
	}
	k.readSince = last.readSince
	if k.ReadAt.Sub(last.ReadAt) > gap {
		k.readSince = k.ReadAt
	}
}

// List records a daemon's record in the log and reports whether the daemon was unknown.
func (s *State) List(record Member, now time.Time) bool {
	if record.Name == s.self.Name || s.HasLeft(record.Name, record.Incarnation, now) {
		return false
	}
	_, ok := s.known[record.Name]
	known := s.entry(record)
	if known.listedAt.IsZero() {
		s.unlisted--
	}
	switch {
	case !ok:
		known.listedAt = now
	case known.Incarnation != record.Incarnation && now.Sub(known.SeenAt) > s.ttl():
		*known = entry{
			Report:  Report{Member: record, SeenAt: known.SeenAt, Leaving: s.leaving(record)},
			heardAt: known.heardAt, listedAt: now,
		}
	default:
		known.listedAt = now
	}
	return !ok
}

// Expire removes the daemons without a message or a record for memberTTL and returns them.
func (s *State) Expire(now time.Time) []Member {
	var gone []Member
	for _, k := range s.known {
		if now.Sub(k.SeenAt) > memberTTL && now.Sub(k.listedAt) > memberTTL {
			s.remove(k)
			gone = append(gone, k.Member)
		}
	}
	return gone
}

// Hub returns this daemon's hub, and whether it is the daemon itself.
func (s *State) Hub(now time.Time) (Report, bool) {
	hub := s.Hubs(now)[s.self.DataCentre]
	return hub, hub.Name == s.self.Name
}

// Hubs returns the hub of each data centre, by data centre. This daemon may be one of them. A hub
// that stays silent towards this daemon is replaced.
func (s *State) Hubs(now time.Time) map[string]Report {
	if age := now.Sub(s.hubsAt); s.hubs != nil && age >= 0 && age < memoTTL {
		return s.hubs
	}
	for {
		s.hubs, s.hubsAt = s.first(now), now
		if !s.suspectSilent(now) {
			return s.hubs
		}
	}
}

// suspectSilent suspects the hubs that this daemon should hear and does not, and reports whether
// there are any.
func (s *State) suspectSilent(now time.Time) bool {
	isHub := s.hubs[s.self.DataCentre].Name == s.self.Name
	found := false
	for centre, h := range s.hubs {
		if h.Name == s.self.Name || !isHub && centre != s.self.DataCentre {
			delete(s.chosen, centre)
			continue
		}
		if s.chosen[centre].name != h.Name {
			s.chosen[centre] = choice{name: h.Name, since: now}
		}
		k, ok := s.known[h.Name]
		if ok && now.Sub(s.chosen[centre].since) > s.silence() && now.Sub(k.heardAt) > s.silence() {
			k.suspectAt, found = now, true
		}
	}
	return found
}

// first returns the first live daemon of each data centre. One that no read of the log informs is
// replaced by a daemon that reads it, since the log may reject other daemons of the data centre too.
func (s *State) first(now time.Time) map[string]Report {
	first, reading := map[string]Report{}, map[string]Report{}
	consider := func(k *entry) {
		keepPreferred(first, k.Report)
		if s.informed(k.Report, now) && now.Sub(k.readSince) >= minReadSpan {
			keepPreferred(reading, k.Report)
		}
	}
	consider(&s.self)
	for _, k := range s.known {
		if s.live(k, now) {
			consider(k)
		}
	}
	for centre, k := range first {
		if other, ok := reading[centre]; ok && !s.informed(k, now) {
			first[centre] = other
		}
	}
	return first
}

// Reader returns the hub that reads the log for the others. It is the first one that can read it,
// but the lease holder only if no other can: whatever stops the lease holder must not also stop the
// reads. ok is false if no hub has read the log lately; then each hub tries.
func (s *State) Reader(now time.Time) (reader Report, ok bool) {
	for _, h := range s.Hubs(now) {
		if now.Sub(h.OwnReadAt) >= readerTTL+2*s.Interval() {
			continue
		}
		if !ok || reader.HoldsLease && !h.HoldsLease || reader.HoldsLease == h.HoldsLease && ranksBefore(h, reader) {
			reader, ok = h, true
		}
	}
	return reader, ok
}

// SumTargets returns the daemons to which this daemon sends its sums if it is a hub: the hubs of the
// other data centres and the standbys of its own.
func (s *State) SumTargets(now time.Time) []Report {
	var targets []Report
	for centre, h := range s.Hubs(now) {
		if centre != s.self.DataCentre {
			targets = append(targets, h)
		}
	}
	return append(targets, s.standbys(now)...)
}

// standbys returns the first live daemons of the own data centre after this one.
func (s *State) standbys(now time.Time) []Report {
	var live []Report
	for _, k := range s.known {
		if k.DataCentre == s.self.DataCentre && s.live(k, now) {
			live = append(live, k.Report)
		}
	}
	slices.SortFunc(live, compareRanks)
	return live[:min(standbys, len(live))]
}

// Referrals returns what this daemon tells others about daemons that it has heard of: its own hub,
// and if it is a hub itself, the standbys and the hubs of the other data centres.
func (s *State) Referrals(now time.Time) []Report {
	hub, isHub := s.Hub(now)
	if !isHub {
		if hub.SeenAt.IsZero() {
			return nil
		}
		return []Report{hub}
	}
	return slices.DeleteFunc(s.SumTargets(now), func(r Report) bool { return r.SeenAt.IsZero() })
}

// Probes returns the daemons to which this daemon introduces itself now: a random one, and a random one
// of each data centre whose hub it does not know. They connect groups of daemons that have lost each
// other. A daemon that hears no other introduces itself in each interval.
func (s *State) Probes(now time.Time, random func() float64) []Member {
	if len(s.known) == 0 || now.Sub(s.probedAt) < probeInterval && now.Sub(s.heardAt) < s.silence() {
		return nil
	}
	s.probedAt = now
	if s.names == nil {
		s.names = map[string][]string{}
		for _, name := range slices.Sorted(maps.Keys(s.known)) {
			centre := s.known[name].DataCentre
			s.names[centre] = append(s.names[centre], name)
		}
	}
	centres := slices.Sorted(maps.Keys(s.names))
	draw := func(n int) int { return int(random() * float64(n)) }
	n := draw(len(s.known))
	known := s.Hubs(now)
	var targets []Member
	for _, centre := range centres {
		names := s.names[centre]
		if _, ok := known[centre]; !ok {
			targets = append(targets, s.known[names[draw(len(names))]].Member)
		}
		if n >= 0 && n < len(names) {
			targets = append(targets, s.known[names[n]].Member)
		}
		n -= len(names)
	}
	return targets
}

// Member returns a known daemon.
func (s *State) Member(name string) (Report, bool) {
	k, ok := s.known[name]
	if !ok {
		return Report{}, false
	}
	return k.Report, true
}

// Members returns the other known daemons, in the order of their names.
func (s *State) Members() []Report {
	reports := make([]Report, 0, len(s.known))
	for _, name := range slices.Sorted(maps.Keys(s.known)) {
		reports = append(reports, s.known[name].Report)
	}
	return reports
}

// Count returns the number of daemons, this one included.
func (s *State) Count() int { return len(s.known) + 1 }

// Interval returns the pause between two messages of a daemon to its hub and of a hub to its
// followers.
func (s *State) Interval() time.Duration {
	return min(baseInterval*time.Duration(max(s.followers, baseFollowers))/baseFollowers, maxInterval)
}

// SilentAt returns when a daemon counts as silent unless another message of it arrives.
func (s *State) SilentAt(now time.Time) time.Time { return now.Add(s.silence()) }

func (s *State) silence() time.Duration {
	return max(minSilence, time.Duration(silenceIntervals*float64(s.Interval())))
}

func (s *State) ttl() time.Duration { return max(minTTL, ttlIntervals*s.Interval()) }

// readGap is the longest gap between two reads of a daemon that can read the log. Messages report a
// read up to two intervals late.
func (s *State) readGap() time.Duration { return readTTL + 2*s.Interval() }

// informed reports whether a daemon has the records of a recent read of the log.
func (s *State) informed(k Report, now time.Time) bool { return now.Sub(k.ReadAt) < s.readGap() }

// live reports whether a daemon may be a hub: it was heard recently, or its record is so new that its
// first message may still be missing. A daemon that was silent as a hub must be heard directly.
func (s *State) live(k *entry, now time.Time) bool {
	if !k.suspectAt.IsZero() && now.Sub(k.suspectAt) < suspectTTL && !k.heardAt.After(k.suspectAt) {
		return false
	}
	return now.Sub(k.SeenAt) < s.ttl() || k.SeenAt.IsZero() && now.Sub(k.listedAt) < suspectTTL
}

// keepPreferred makes a daemon the hub of its data centre if it ranks before the present one.
func keepPreferred(hubs map[string]Report, k Report) {
	if current, ok := hubs[k.DataCentre]; !ok || ranksBefore(k, current) {
		hubs[k.DataCentre] = k
	}
}

func ranksBefore(a, b Report) bool { return compareRanks(a, b) < 0 }

// compareRanks orders the daemons of a data centre by preference as a hub. A leaving daemon ranks last, so that
// its successor serves before it ends. Of the others the lease holder ranks first, since it must receive the
// counts of all daemons, then the faster instance; ties are broken by a hash of the names.
func compareRanks(a, b Report) int {
	if a.Leaving != b.Leaving {
		if b.Leaving {
			return -1
		}
		return 1
	}
	if a.HoldsLease != b.HoldsLease {
		if a.HoldsLease {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Speed, a.Speed), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
}
