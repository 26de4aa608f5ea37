// Package member decides who the other daemons are and what is told to them.
//
// # Usage
//
//	state := member.New("entry-1")
//	state, _ = state.Update(member.List{List: list, Now: now})
//	state, _ = state.Update(member.Own{Entry: entry, Now: now})
//	state, commands := state.Update(member.Tick{Now: now, Seed: seed})
//	order := state.Order(requestID, now)
//
// Membership comes from the instance list and from digests. An entry is replaced by one
// with a higher incarnation and sequence, so that the order in which digests arrive does
// not matter. While digests go to all daemons, one is alive if it is on the list and an
// entry of it has come within SilentLimit. Among more daemons, entries come too seldom for
// that: one is alive if it is on the list and no call to it has failed since its newest
// entry. All updates are pure: an update returns a new state and leaves the old as it is.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"
)

type (
	// Message is an input of Update: List, Heard, Answered, Failed, Own, Marked, Raised, Moves or
	// Tick.
	Message interface{ apply(s *State) []Command }

	// Command is a result of Update: Send, Died, Returned, Stop or Leave.
	Command interface{ command() }

	// List is a reading of the instance list.
	List struct {
		List wire.InstanceList
		Now  time.Time
	}

	// Heard is a digest that came from another daemon.
	Heard struct {
		Digest wire.Digest
		Now    time.Time
	}

	// Answered is a reply to a digest.
	Answered struct {
		Reply wire.DigestReply
		Now   time.Time
	}

	// Failed says that a call to another daemon could not be connected or timed out.
	Failed struct {
		Process string
		Now     time.Time
	}

	// Own is the daemon's own entry, which its next digests carry.
	Own struct {
		Entry wire.DigestEntry
		Now   time.Time
	}

	// Marked says that an instance is leaving, for good.
	Marked struct {
		Instance string
		Now      time.Time
	}

	// Raised is an alarm of this daemon.
	Raised struct {
		Alarm wire.Alarm
		Now   time.Time
	}

	// Tick makes the next digest. It comes once a second.
	Tick struct {
		Now time.Time
		// Seed chooses the targets.
		Seed uint64
	}

	// Send sends a digest.
	Send struct {
		To     []Target
		Digest wire.Digest
	}

	// Target is a daemon that a digest goes to.
	Target struct {
		Process     string
		PeerAddress string
	}

	// Died says that a daemon is no longer alive.
	Died struct{ Process, Reason string }

	// Returned says that a daemon is alive, for the first time or again.
	Returned struct{ Process string }

	// Stop says that an alarm came that was not known.
	Stop struct{ Alarm wire.Alarm }

	// Leave says that a leaving mark came that was not known.
	Leave struct{ Instance string }

	// State is a daemon's view of the others. It is immutable.
	State struct {
		self    string
		own     wire.DigestEntry
		hasList bool
		listed  map[string]listing
		// names holds the listed daemons in order.
		names []string
		// present holds all instances on the list.
		present map[string]bool
		peers   map[string]*peer
		alive   map[string]bool
		leaving map[string]mark
		alarms  map[alarmKey]alarm
	}

	// listing is a daemon on the instance list.
	listing struct {
		instance wire.Instance
		since    time.Time
	}

	// peer is what digests told of another daemon.
	peer struct {
		entry wire.DigestEntry
		// heard is when the entry came, by this daemon's clock.
		heard time.Time
		// failed is when a call to the daemon last failed.
		failed time.Time
		// relayed is when the daemon's entry was last in a digest.
		relayed time.Time
	}

	// mark is a leaving mark.
	mark struct{ seen, relayed time.Time }

	// alarmKey names what an alarm stops.
	alarmKey struct{ kind, subject string }

	// alarm is an alarm in force.
	alarm struct {
		alarm   wire.Alarm
		relayed time.Time
	}
)

const (
	// MaxMembers bounds the daemons, leaving marks and alarms that are kept.
	MaxMembers = 2000
	// SilentLimit is the time without a newer entry after which a daemon counts as dead.
	SilentLimit = 5 * time.Second
	// markKeep is the time that a mark, or a daemon off the list, is kept after it was last seen.
	markKeep = 10 * time.Minute
)

// New returns the view of a daemon that has heard of nobody.
func New(self string) State { return State{self: self} }

// Update returns the state after the message and what is to be done.
func (s State) Update(message Message) (State, []Command) {
	commands := message.apply(&s)
	return s, commands
}

func (Send) command()     {}
func (Died) command()     {}
func (Returned) command() {}
func (Stop) command()     {}
func (Leave) command()    {}

// apply takes the entry daemons and the leaving instances of the list.
func (m List) apply(s *State) []Command {
	listed := make(map[string]listing)
	present := make(map[string]bool, len(m.List.Instances))
	var commands []Command
	for _, i := range m.List.Instances {
		present[i.ID] = true
		if i.State == wire.Leaving {
			commands = append(commands, s.mark(i.ID, m.Now)...)
		}
		if i.Role != wire.RoleEntry || i.State == wire.Starting || len(listed) >= MaxMembers {
			continue
		}
		since := m.Now
		if known, ok := s.listed[i.ID]; ok {
			since = known.since
		}
		listed[i.ID] = listing{instance: i, since: since}
	}
	s.listed, s.present, s.hasList = listed, present, true
	s.names = slices.Sorted(maps.Keys(listed))
	s.forget(m.Now)
	return commands
}

// forget drops marks of instances and entries of daemons that have been off the list for
// long. A mark of a listed instance stays.
func (s *State) forget(now time.Time) {
	marks := make(map[string]mark, len(s.leaving))
	for instance, m := range s.leaving {
		if s.present[instance] {
			m.seen = now
		}
		if now.Sub(m.seen) < markKeep {
			marks[instance] = m
		}
	}
	s.leaving = marks
	peers := make(map[string]*peer, len(s.peers))
	for process, p := range s.peers {
		if _, listed := s.listed[process]; listed || now.Sub(p.heard) < markKeep {
			peers[process] = p
		}
	}
	s.peers = peers
}

// apply takes the entries, marks and alarms of a digest.
func (m Heard) apply(s *State) []Command {
	var commands []Command
	s.take(m.Digest.Entries, m.Now)
	for _, instance := range m.Digest.Leaving {
		commands = append(commands, s.mark(instance, m.Now)...)
	}
	for _, a := range m.Digest.Alarms {
		commands = append(commands, s.raise(a, m.Now)...)
	}
	return commands
}

// apply takes the entry of the reply.
func (m Answered) apply(s *State) []Command {
	s.take([]wire.DigestEntry{m.Reply.Entry}, m.Now)
	return nil
}

// apply keeps the time of a failed call.
func (m Failed) apply(s *State) []Command {
	known, ok := s.peers[m.Process]
	if !ok && (!s.IsListed(m.Process) || len(s.peers) >= MaxMembers) {
		return nil
	}
	next := &peer{}
	if ok {
		*next = *known
	}
	next.failed = m.Now
	s.peers = withKey(s.peers, m.Process, next)
	return nil
}

// apply replaces the daemon's own entry.
func (m Own) apply(s *State) []Command {
	m.Entry.Process = s.self
	s.own = m.Entry
	return nil
}

// apply keeps a leaving mark. The caller acts on its own mark by itself.
func (m Marked) apply(s *State) []Command {
	s.mark(m.Instance, m.Now)
	return nil
}

// apply keeps an alarm. The caller acts on its own alarm by itself.
func (m Raised) apply(s *State) []Command {
	s.raise(m.Alarm, m.Now)
	return nil
}

// apply tells who died or returned and makes the next digest.
func (m Tick) apply(s *State) []Command {
	var commands []Command
	alive := make(map[string]bool)
	for _, process := range s.Live(m.Now) {
		alive[process] = true
		if !s.alive[process] && process != s.self {
			commands = append(commands, Returned{Process: process})
		}
	}
	for _, process := range slices.Sorted(maps.Keys(s.alive)) {
		if !alive[process] {
			reason := "no digest for " + SilentLimit.String()
			if s.size() > allPeers+1 {
				reason = "a call failed"
			}
			if _, listed := s.listed[process]; s.hasList && !listed {
				reason = "off the instance list"
			}
			commands = append(commands, Died{Process: process, Reason: reason})
		}
	}
	s.alive = alive
	s.expireAlarms(m.Now)
	if to := s.targets(m.Seed); len(to) > 0 {
		commands = append(commands, Send{To: to, Digest: s.pack(m.Now)})
	}
	return commands
}

// take keeps the entries that are newer than the known ones of their daemons.
func (s *State) take(entries []wire.DigestEntry, now time.Time) {
	s.peers = maps.Clone(s.peers)
	if s.peers == nil {
		s.peers = make(map[string]*peer)
	}
	for _, e := range entries {
		if e.Process == "" || e.Process == s.self {
			continue
		}
		next := &peer{entry: e, heard: now}
		if known, ok := s.peers[e.Process]; ok {
			if !newer(e, known.entry) {
				continue
			}
			next.failed, next.relayed = known.failed, known.relayed
		} else if len(s.peers) >= MaxMembers && !s.evict() {
			continue
		}
		s.peers[e.Process] = next
	}
}

// newer reports whether an entry replaces another one of the same daemon. Incarnations
// rise with the time at which their process started.
func newer(a, b wire.DigestEntry) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence)) > 0
}

// evict drops the daemon off the list that has been silent the longest. It returns false
// if all daemons are on the list.
func (s *State) evict() bool {
	var oldest string
	for process, p := range s.peers {
		if _, listed := s.listed[process]; listed {
			continue
		}
		if oldest == "" || cmp.Or(p.heard.Compare(s.peers[oldest].heard), cmp.Compare(oldest, process)) < 0 {
			oldest = process
		}
	}
	delete(s.peers, oldest)
	return oldest != ""
}

// mark keeps a leaving mark and tells if it is new. A full store drops the mark that was
// seen longest ago.
func (s *State) mark(instance string, now time.Time) []Command {
	if _, ok := s.leaving[instance]; ok {
		return nil
	}
	s.leaving = withKey(s.leaving, instance, mark{seen: now})
	if len(s.leaving) > MaxMembers {
		oldest := instance
		for i, m := range s.leaving {
			if o := s.leaving[oldest]; m.seen.Before(o.seen) || (m.seen.Equal(o.seen) && i > oldest) {
				oldest = i
			}
		}
		delete(s.leaving, oldest)
	}
	return []Command{Leave{Instance: instance}}
}

// raise keeps an alarm until its deadline and tells if it is new.
func (s *State) raise(a wire.Alarm, now time.Time) []Command {
	if !a.Deadline.After(now) {
		return nil
	}
	key := alarmKey{a.Kind, a.Subject}
	known, ok := s.alarms[key]
	switch {
	case ok && !a.Deadline.After(known.alarm.Deadline):
		return nil
	case !ok && len(s.alarms) >= MaxMembers:
		return nil
	}
	s.alarms = withKey(s.alarms, key, alarm{alarm: a})
	if ok {
		return nil
	}
	return []Command{Stop{Alarm: a}}
}

// expireAlarms drops the alarms whose deadline has passed.
func (s *State) expireAlarms(now time.Time) {
	kept := make(map[alarmKey]alarm, len(s.alarms))
	for key, a := range s.alarms {
		if a.alarm.Deadline.After(now) {
			kept[key] = a
		}
	}
	s.alarms = kept
}

// withKey returns a copy of the map with one more entry.
func withKey[K comparable, V any](m map[K]V, key K, v V) map[K]V {
	next := make(map[K]V, len(m)+1)
	maps.Copy(next, m)
	next[key] = v
	return next
}

// Self returns the daemon whose view this is.
func (s State) Self() string { return s.self }

// Listed returns the daemons on the instance list, live or leaving, in the order of their
// names. Before the first reading of the list it returns the daemons that were heard of.
func (s State) Listed() []string {
	if s.hasList {
		return slices.Clone(s.names)
	}
	names := append(slices.Collect(maps.Keys(s.peers)), s.self)
	slices.Sort(names)
	return names
}

// size returns the number of daemons among Listed.
func (s State) size() int {
	if s.hasList {
		return len(s.listed)
	}
	return len(s.peers) + 1
}

// IsListed reports whether a daemon is among Listed.
func (s State) IsListed(process string) bool {
	if s.hasList {
		_, ok := s.listed[process]
		return ok
	}
	_, ok := s.peers[process]
	return ok || process == s.self
}

// IsAlive reports whether a daemon is listed and counts as alive. A daemon that is new on
// the list has SilentLimit to be heard of.
func (s State) IsAlive(process string, now time.Time) bool {
	if process == s.self {
		return true
	}
	if !s.IsListed(process) {
		return false
	}
	heard := s.Heard(process)
	if s.size() > allPeers+1 {
		p, known := s.peers[process]
		return !known || !p.failed.After(heard)
	}
	return now.Sub(heard) < SilentLimit
}

// Heard returns the time at which the newest entry of a daemon came, or at which it was
// first listed. It is zero for an unknown daemon.
func (s State) Heard(process string) time.Time {
	var heard time.Time
	if p, ok := s.peers[process]; ok {
		heard = p.heard
	}
	if l := s.listed[process]; l.since.After(heard) {
		return l.since
	}
	return heard
}

// Entry returns the newest entry of a daemon.
func (s State) Entry(process string) (wire.DigestEntry, bool) {
	if process == s.self {
		return s.own, true
	}
	if p, ok := s.peers[process]; ok {
		return p.entry, true
	}
	return wire.DigestEntry{}, false
}

// Instance returns the list's description of a daemon.
func (s State) Instance(process string) (wire.Instance, bool) {
	l, ok := s.listed[process]
	return l.instance, ok
}

// Live returns the daemons that are alive, this one included, in the order of their names.
func (s State) Live(now time.Time) []string {
	var names []string
	for _, process := range s.Listed() {
		if s.IsAlive(process, now) {
			names = append(names, process)
		}
	}
	if !slices.Contains(names, s.self) {
		names = append(names, s.self)
		slices.Sort(names)
	}
	return names
}

// Order returns the live daemons in the rendezvous order of the key. Daemons that are
// draining or leaving come after all others, so that new work avoids them.
func (s State) Order(key string, now time.Time) []string {
	order := ident.RendezvousOrder(key, s.Live(now))
	slices.SortStableFunc(order, func(a, b string) int {
		return cmp.Compare(s.lateness(a), s.lateness(b))
	})
	return order
}

// lateness is 1 for a daemon that takes new work only if no other does.
func (s State) lateness(process string) int {
	entry, _ := s.Entry(process)
	if entry.Draining || s.IsLeaving(process) {
		return 1
	}
	return 0
}

// Rank returns the daemon's place in the order of the key, from 0.
func (s State) Rank(key string, now time.Time) int {
	return slices.Index(s.Order(key, now), s.self)
}

// IsLeaving reports whether an instance has a leaving mark.
func (s State) IsLeaving(instance string) bool {
	_, ok := s.leaving[instance]
	return ok
}

// Alarms returns the alarms in force, in the order of kind and subject.
func (s State) Alarms(now time.Time) []wire.Alarm {
	var alarms []wire.Alarm
	for _, a := range s.alarms {
		if a.alarm.Deadline.After(now) {
			alarms = append(alarms, a.alarm)
		}
	}
	slices.SortFunc(alarms, func(a, b wire.Alarm) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
	})
	return alarms
}
