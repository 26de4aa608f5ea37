// Package member tracks the membership and liveness of the entry daemons and builds the digests that
// they exchange by gossip.
//
// # Usage
//
//	state := member.New("entry-1")
//	state, _ = state.Update(member.InstanceListRead{List: list, Now: now})
//	state, _ = state.Update(member.OwnEntryUpdated{Entry: entry, Now: now})
//	state, commands := state.Update(member.Tick{Now: now, Seed: seed})
//	order := state.Order(requestID, now)
//
// Membership comes from the instance list and from digests. An entry is only replaced by one with a
// higher incarnation, or with the same incarnation and a higher sequence, so the order in which
// digests arrive does not matter. While every digest is sent to all daemons, a daemon is alive if it
// is on the list and its latest entry was received within LivenessTimeout. With more daemons,
// entries arrive too rarely for that: a daemon is alive if it is on the list and no call to it has
// failed since its latest entry. Update returns a new state and does not modify the old one.
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
	// Message is an input of Update.
	Message interface{ apply(s *State) []Command }

	// Command is an output of Update: an effect to execute or a change to report.
	Command interface{ command() }

	// InstanceListRead is a snapshot of the instance list.
	InstanceListRead struct {
		List wire.InstanceList
		Now  time.Time
	}

	// DigestReceived is a digest received from a peer.
	DigestReceived struct {
		Digest wire.Digest
		Now    time.Time
	}

	// ReplyReceived is a peer's reply to a digest.
	ReplyReceived struct {
		Reply wire.DigestReply
		Now   time.Time
	}

	// CallFailed reports that a call to a peer could not be connected or timed out.
	CallFailed struct {
		Process string
		Now     time.Time
	}

	// OwnEntryUpdated replaces the daemon's own entry, which its next digests contain.
	OwnEntryUpdated struct {
		Entry wire.DigestEntry
		Now   time.Time
	}

	// LeavingDetected reports that this daemon has detected that an instance is leaving, which is final.
	LeavingDetected struct {
		Instance string
		Now      time.Time
	}

	// AlarmRaised is an alarm that this daemon has raised.
	AlarmRaised struct {
		Alarm wire.Alarm
		Now   time.Time
	}

	// Tick updates the liveness of the peers and builds the next digest. It is due once a second.
	Tick struct {
		Now time.Time
		// Seed is the random seed for the choice of the targets.
		Seed uint64
	}

	// Send sends a digest to the targets.
	Send struct {
		To     []Target
		Digest wire.Digest
	}

	// Target is a receiver of a digest.
	Target struct {
		Process     string
		PeerAddress string
	}

	// PeerDown reports that a peer is no longer alive.
	PeerDown struct{ Process, Reason string }

	// PeerUp reports that a peer is alive, for the first time or again.
	PeerUp struct{ Process string }

	// AlarmReceived reports a new alarm received from a peer.
	AlarmReceived struct{ Alarm wire.Alarm }

	// LeavingReceived reports a new leaving mark, received from a peer or found on the instance list.
	LeavingReceived struct{ Instance string }

	// State is a daemon's view of its peers. It is immutable.
	State struct {
		self    string
		own     wire.DigestEntry
		hasList bool
		listed  map[string]listedDaemon
		// names holds the names of the listed daemons, sorted.
		names []string
		// listedInstances holds the identifiers of all instances on the list, of any role.
		listedInstances map[string]bool
		peers           map[string]*peer
		alive           map[string]bool
		leaving         map[string]mark
		alarms          map[alarmKey]alarm
	}

	// listedDaemon is a daemon on the instance list.
	listedDaemon struct {
		instance wire.Instance
		since    time.Time
	}

	// peer holds the latest entry of another daemon and the times of its receipt, relay and last
	// failed call.
	peer struct {
		entry wire.DigestEntry
		// received is when the entry was received, by this daemon's clock.
		received time.Time
		// lastFailure is when a call to the daemon last failed.
		lastFailure time.Time
		// relayed is when the entry was last included in a digest.
		relayed time.Time
	}

	// mark records that an instance is leaving. lastSeen is when the mark was added or the
	// instance was last on the list.
	mark struct{ lastSeen, relayed time.Time }

	// alarmKey identifies the kind and subject of an alarm.
	alarmKey struct{ kind, subject string }

	// alarm is an active alarm.
	alarm struct {
		alarm   wire.Alarm
		relayed time.Time
	}
)

const (
	// MaxMembers bounds the number of listed daemons, and of the peers, leaving marks and alarms kept.
	MaxMembers = 2000
	// LivenessTimeout is the time without a newer entry after which a daemon is considered dead.
	LivenessTimeout = 5 * time.Second
	// unlistedKeepPeriod is how long the mark of an unlisted instance, or the entry of an unlisted
	// daemon, is kept after it was last seen.
	unlistedKeepPeriod = 10 * time.Minute
)

// New returns the state of a daemon that knows no peers.
func New(self string) State { return State{self: self} }

// Update applies a message and returns the new state and the commands to execute.
func (s State) Update(message Message) (State, []Command) {
	commands := message.apply(&s)
	return s, commands
}

func (Send) command()            {}
func (PeerDown) command()        {}
func (PeerUp) command()          {}
func (AlarmReceived) command()   {}
func (LeavingReceived) command() {}

// apply replaces the listed daemons and adds a leaving mark for each leaving instance.
func (m InstanceListRead) apply(s *State) []Command {
	listed := make(map[string]listedDaemon)
	listedInstances := make(map[string]bool, len(m.List.Instances))
	var commands []Command
	for _, i := range m.List.Instances {
		listedInstances[i.ID] = true
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
		listed[i.ID] = listedDaemon{instance: i, since: since}
	}
	s.listed, s.listedInstances, s.hasList = listed, listedInstances, true
	s.names = slices.Sorted(maps.Keys(listed))
	s.expireUnlisted(m.Now)
	return commands
}

// expireUnlisted drops the marks of instances and the entries of daemons that are not on the list
// and were last seen longer than unlistedKeepPeriod ago.
func (s *State) expireUnlisted(now time.Time) {
	marks := make(map[string]mark, len(s.leaving))
	for instance, m := range s.leaving {
		if s.listedInstances[instance] {
			m.lastSeen = now
		}
		if now.Sub(m.lastSeen) < unlistedKeepPeriod {
			marks[instance] = m
		}
	}
	s.leaving = marks
	peers := make(map[string]*peer, len(s.peers))
	for process, p := range s.peers {
		if _, listed := s.listed[process]; listed || now.Sub(p.received) < unlistedKeepPeriod {
			peers[process] = p
		}
	}
	s.peers = peers
}

// apply merges the entries, leaving marks and alarms of a digest.
func (m DigestReceived) apply(s *State) []Command {
	var commands []Command
	s.mergeEntries(m.Digest.Entries, m.Now)
	for _, instance := range m.Digest.Leaving {
		commands = append(commands, s.mark(instance, m.Now)...)
	}
	for _, a := range m.Digest.Alarms {
		commands = append(commands, s.addAlarm(a, m.Now)...)
	}
	return commands
}

// apply merges the entry of the reply.
func (m ReplyReceived) apply(s *State) []Command {
	s.mergeEntries([]wire.DigestEntry{m.Reply.Entry}, m.Now)
	return nil
}

// apply records the time of a failed call.
func (m CallFailed) apply(s *State) []Command {
	known, ok := s.peers[m.Process]
	if !ok && (!s.IsListed(m.Process) || len(s.peers) >= MaxMembers) {
		return nil
	}
	next := &peer{}
	if ok {
		*next = *known
	}
	next.lastFailure = m.Now
	s.peers = withKey(s.peers, m.Process, next)
	return nil
}

// apply replaces the daemon's own entry.
func (m OwnEntryUpdated) apply(s *State) []Command {
	m.Entry.Process = s.self
	s.own = m.Entry
	return nil
}

// apply adds a leaving mark. It returns no command, since the caller already handles its own mark.
func (m LeavingDetected) apply(s *State) []Command {
	s.mark(m.Instance, m.Now)
	return nil
}

// apply adds an alarm. It returns no command, since the caller already handles its own alarm.
func (m AlarmRaised) apply(s *State) []Command {
	s.addAlarm(m.Alarm, m.Now)
	return nil
}

// apply reports the daemons whose liveness has changed and builds the next digest.
func (m Tick) apply(s *State) []Command {
	var commands []Command
	alive := make(map[string]bool)
	for _, process := range s.Live(m.Now) {
		alive[process] = true
		if !s.alive[process] && process != s.self {
			commands = append(commands, PeerUp{Process: process})
		}
	}
	for _, process := range slices.Sorted(maps.Keys(s.alive)) {
		if !alive[process] {
			reason := "no digest for " + LivenessTimeout.String()
			if s.size() > fullFanout+1 {
				reason = "a call failed"
			}
			if _, listed := s.listed[process]; s.hasList && !listed {
				reason = "off the instance list"
			}
			commands = append(commands, PeerDown{Process: process, Reason: reason})
		}
	}
	s.alive = alive
	s.expireAlarms(m.Now)
	if to := s.targets(m.Seed); len(to) > 0 {
		commands = append(commands, Send{To: to, Digest: s.buildDigest(m.Now)})
	}
	return commands
}

// mergeEntries stores the entries that are newer than the stored entries of their daemons.
func (s *State) mergeEntries(entries []wire.DigestEntry, now time.Time) {
	s.peers = maps.Clone(s.peers)
	if s.peers == nil {
		s.peers = make(map[string]*peer)
	}
	for _, e := range entries {
		if e.Process == "" || e.Process == s.self {
			continue
		}
		next := &peer{entry: e, received: now}
		if known, ok := s.peers[e.Process]; ok {
			if !newer(e, known.entry) {
				continue
			}
			next.lastFailure, next.relayed = known.lastFailure, known.relayed
		} else if len(s.peers) >= MaxMembers && !s.evictPeer() {
			continue
		}
		s.peers[e.Process] = next
	}
}

// newer reports whether entry a replaces entry b of the same daemon. Incarnations sort by the start
// time of their process.
func newer(a, b wire.DigestEntry) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence)) > 0
}

// evictPeer evicts the unlisted daemon with the oldest entry. It returns false if all known daemons
// are on the list.
func (s *State) evictPeer() bool {
	var oldest string
	for process, p := range s.peers {
		if _, listed := s.listed[process]; listed {
			continue
		}
		if oldest == "" || cmp.Or(p.received.Compare(s.peers[oldest].received), cmp.Compare(oldest, process)) < 0 {
			oldest = process
		}
	}
	delete(s.peers, oldest)
	return oldest != ""
}

// mark adds a leaving mark and returns a command if it is new. Above MaxMembers it
// evicts the mark that was last seen longest ago.
func (s *State) mark(instance string, now time.Time) []Command {
	if _, ok := s.leaving[instance]; ok {
		return nil
	}
	s.leaving = withKey(s.leaving, instance, mark{lastSeen: now})
	if len(s.leaving) > MaxMembers {
		oldest := instance
		for i, m := range s.leaving {
			if o := s.leaving[oldest]; m.lastSeen.Before(o.lastSeen) || (m.lastSeen.Equal(o.lastSeen) && i > oldest) {
				oldest = i
			}
		}
		delete(s.leaving, oldest)
	}
	return []Command{LeavingReceived{Instance: instance}}
}

// addAlarm adds an alarm or extends its deadline. It returns a command if the alarm is new.
func (s *State) addAlarm(a wire.Alarm, now time.Time) []Command {
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
	return []Command{AlarmReceived{Alarm: a}}
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

// Self returns the name of the daemon that this state belongs to.
func (s State) Self() string { return s.self }

// Listed returns the daemons on the instance list, live or leaving, sorted by name. Before the first
// snapshot of the list it returns the daemons known from digests, and this one.
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

// IsAlive reports whether a daemon is listed and considered alive. A daemon that is new on the list
// is considered alive for LivenessTimeout even if none of its entries has been received.
func (s State) IsAlive(process string, now time.Time) bool {
	if process == s.self {
		return true
	}
	if !s.IsListed(process) {
		return false
	}
	received := s.LastReceived(process)
	if s.size() > fullFanout+1 {
		p, known := s.peers[process]
		return !known || !p.lastFailure.After(received)
	}
	return now.Sub(received) < LivenessTimeout
}

// LastReceived returns the time at which the latest entry of a daemon was received or at which the daemon
// was first listed, whichever is later. It is zero for an unknown daemon.
func (s State) LastReceived(process string) time.Time {
	var received time.Time
	if p, ok := s.peers[process]; ok {
		received = p.received
	}
	if l := s.listed[process]; l.since.After(received) {
		return l.since
	}
	return received
}

// Entry returns the latest entry of a daemon.
func (s State) Entry(process string) (wire.DigestEntry, bool) {
	if process == s.self {
		return s.own, true
	}
	if p, ok := s.peers[process]; ok {
		return p.entry, true
	}
	return wire.DigestEntry{}, false
}

// Instance returns the instance of a daemon on the list.
func (s State) Instance(process string) (wire.Instance, bool) {
	l, ok := s.listed[process]
	return l.instance, ok
}

// Live returns the daemons that are alive, this one included, sorted by name.
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

// Order returns the live daemons in the rendezvous order of the key. Draining and leaving daemons
// come after all others, so that new work avoids them.
func (s State) Order(key string, now time.Time) []string {
	order := ident.RendezvousOrder(key, s.Live(now))
	slices.SortStableFunc(order, func(a, b string) int {
		return cmp.Compare(s.drainingRank(a), s.drainingRank(b))
	})
	return order
}

// drainingRank returns 1 for a draining or leaving daemon and 0 for any other.
func (s State) drainingRank(process string) int {
	entry, _ := s.Entry(process)
	if entry.Draining || s.IsLeaving(process) {
		return 1
	}
	return 0
}

// Rank returns the index of this daemon in the order of the key, from 0.
func (s State) Rank(key string, now time.Time) int {
	return slices.Index(s.Order(key, now), s.self)
}

// IsLeaving reports whether an instance has a leaving mark.
func (s State) IsLeaving(instance string) bool {
	_, ok := s.leaving[instance]
	return ok
}

// Alarms returns the active alarms, sorted by kind and subject.
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
