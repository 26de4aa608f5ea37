package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lentilstage.dev/decide/member"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/wire/wire"
)

type (
	// members tracks the instance list and the state of the other daemons.
	members struct {
		base   *Base
		logger logr.Logger
		peers  *peers
		// describe returns this daemon's entry for its digest. onUpdate passes received digest
		// updates to the other parts, and onOwnEntry the entry that this daemon sends. All are set
		// before run.
		describe   func() wire.DigestEntry
		onUpdate   func(digestUpdate)
		onOwnEntry func(wire.DigestEntry)
		// onReply passes on a peer's reply with the time of the lease's clock at which the call was sent.
		onReply func(reply wire.DigestReply, sent time.Time)

		mu        sync.Mutex
		state     member.State
		instances map[string]wire.Instance
		// leaving holds the deadlines of all instances ever seen as leaving. Entries are never
		// removed.
		leaving map[string]time.Time
		// nextNotice is the offset of the next reclaim notice to read.
		nextNotice int64
		sequence   int64
	}

	// digestUpdate is what a digest or a reply has changed.
	digestUpdate struct {
		// updated are the processes whose entries were received directly from them.
		updated []string
		died    []string
		alarms  []wire.Alarm
	}
)

const (
	// listInterval is the pause between reads of the instance list and of the notices.
	listInterval = 500 * time.Millisecond
	// listTimeout bounds one read of the instance list or of the notices.
	listTimeout = 2 * time.Second
	// digestInterval is the pause between digests.
	digestInterval = time.Second
	// digestTimeout bounds one digest call.
	digestTimeout = 800 * time.Millisecond
)

func newMembers(b *Base, p *peers) *members {
	return &members{
		base:      b,
		logger:    b.Logger.WithName("members"),
		peers:     p,
		state:     member.New(b.Settings.Name),
		instances: make(map[string]wire.Instance),
		leaving:   make(map[string]time.Time),
	}
}

// run sends digests until the context ends.
func (m *members) run(ctx context.Context) error {
	return runEvery(ctx, digestInterval, m.sendDigests)
}

// refresh reads the instance list once.
func (m *members) refresh() {
	list, err := m.base.ListInstances(m.base.Now().Add(listTimeout))
	if err != nil {
		m.logger.V(1).Info("Instance list read failed.", "error", err.Error())
		return
	}
	m.mu.Lock()
	m.instances = make(map[string]wire.Instance, len(list.Instances))
	for _, i := range list.Instances {
		m.instances[i.ID] = i
	}
	m.mu.Unlock()
	for _, i := range list.Instances {
		if i.State == wire.Leaving {
			m.markLeaving(i.ID, i.LeaveDeadline, "the instance list shows it as leaving")
		}
	}
	m.update(member.InstanceListRead{List: list, Now: m.base.Now()})
}

// readNotices reads the cloud's reclaim notices once.
func (m *members) readNotices() {
	m.mu.Lock()
	from := m.nextNotice
	m.mu.Unlock()
	notices, err := m.base.ReadNotices(m.base.Now().Add(listTimeout), from)
	if err != nil {
		m.logger.V(1).Info("Notice read failed.", "error", err.Error())
		return
	}
	for _, n := range notices.Notices {
		m.markLeaving(n.Instance, n.Deadline, "the cloud gave a reclaim notice")
	}
	m.mu.Lock()
	m.nextNotice = max(m.nextNotice, notices.Next)
	m.mu.Unlock()
}

// markLeaving permanently marks an instance as leaving. The next digests send the mark to the other
// daemons.
func (m *members) markLeaving(id string, deadline time.Time, reason string) {
	m.mu.Lock()
	known, marked := m.leaving[id]
	if !marked || known.IsZero() {
		// A mark from a digest has no deadline; the instance list provides it later.
		m.leaving[id] = deadline
	}
	m.mu.Unlock()
	if marked {
		return
	}
	m.logger.Info("Instance is leaving.", "instance", id, "reason", reason)
	m.base.emit(event.Event{Kind: "InstanceLeaving", Endpoint: id, Reason: reason})
	m.update(member.LeavingDetected{Instance: id, Now: m.base.Now()})
}

// raiseAlarm sends an alarm to the other daemons with the next digests.
func (m *members) raiseAlarm(alarm wire.Alarm) {
	m.update(member.AlarmRaised{Alarm: alarm, Now: m.base.Now()})
}

// sendDigests updates this daemon's entry and sends the digests that are due.
func (m *members) sendDigests() {
	entry := m.describe()
	m.mu.Lock()
	m.sequence++
	entry.Process = m.base.Settings.Name
	entry.Incarnation = string(m.base.Incarnation)
	entry.Sequence = m.sequence
	m.mu.Unlock()
	now := m.base.Now()
	m.update(member.OwnEntryUpdated{Entry: entry, Now: now})
	m.onOwnEntry(entry)
	m.onUpdate(m.update(member.Tick{Now: now, Seed: uint64(m.base.Random() * (1 << 53))}))
}

// receiveDigest applies a digest from another daemon and returns this daemon's entry.
func (m *members) receiveDigest(digest wire.Digest) wire.DigestReply {
	n := m.update(member.DigestReceived{Digest: digest, Now: m.base.Now()})
	n.updated = []string{digest.From}
	m.onUpdate(n)
	return m.entry()
}

// entry returns this daemon's entry with its current offset.
func (m *members) entry() wire.DigestReply {
	entry := m.describe()
	last, _ := m.snapshot().Entry(m.base.Settings.Name)
	entry.Process, entry.Incarnation, entry.Sequence = m.base.Settings.Name, string(m.base.Incarnation), last.Sequence
	return wire.DigestReply{Entry: entry, Time: m.base.LeaseNow()}
}

// send sends a digest to one daemon and applies the reply.
func (m *members) send(to member.Target, digest wire.Digest) {
	var reply wire.DigestReply
	sent := m.base.LeaseNow()
	err := m.peers.call(m.base.Now().Add(digestTimeout), to.PeerAddress, "Digest", digest, &reply)
	if err != nil {
		m.update(member.CallFailed{Process: to.Process, Now: m.base.Now()})
		return
	}
	m.onReply(reply, sent)
	n := m.update(member.ReplyReceived{Reply: reply, Now: m.base.Now()})
	n.updated = []string{to.Process}
	m.onUpdate(n)
}

// update applies a message to the membership and executes the resulting commands. It returns the
// daemons that died and the alarms that were not known before.
func (m *members) update(message member.Message) digestUpdate {
	m.mu.Lock()
	next, commands := m.state.Update(message)
	m.state = next
	m.mu.Unlock()
	var n digestUpdate
	for _, command := range commands {
		switch c := command.(type) {
		case member.Send:
			for _, to := range c.To {
				go m.send(to, c.Digest)
			}
		case member.PeerDown:
			m.logger.Info("Daemon is dead.", "daemon", c.Process, "reason", c.Reason)
			n.died = append(n.died, c.Process)
			m.base.emit(event.Event{Kind: "DaemonDied", Endpoint: c.Process, Reason: c.Reason})
		case member.PeerUp:
			m.base.emit(event.Event{Kind: "DaemonAlive", Endpoint: c.Process})
		case member.AlarmReceived:
			n.alarms = append(n.alarms, c.Alarm)
		case member.LeavingReceived:
			m.markLeaving(c.Instance, time.Time{}, "another daemon tells that it is leaving")
		}
	}
	return n
}

// snapshot returns the current membership.
func (m *members) snapshot() member.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// withRole returns the listed instances with a role, sorted by identifier. Instances marked as
// leaving are returned with that state.
func (m *members) withRole(role wire.Role) []wire.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []wire.Instance
	for _, i := range m.instances {
		if i.Role != role {
			continue
		}
		if deadline, marked := m.leaving[i.ID]; marked {
			i.State = wire.Leaving
			i.LeaveDeadline = deadline
		}
		found = append(found, i)
	}
	slices.SortFunc(found, func(a, b wire.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// daemons returns the other listed daemons, live or leaving.
func (m *members) daemons() []wire.Instance {
	return slices.DeleteFunc(m.withRole(wire.RoleEntry), func(i wire.Instance) bool {
		return i.ID == m.base.Settings.Name
	})
}

// centres returns the data centre of each daemon that accepts new work, including this one.
func (m *members) centres() map[string]string {
	state := m.snapshot()
	now := m.base.Now()
	centres := map[string]string{m.base.Settings.Name: m.base.Settings.DataCentre}
	for _, i := range m.daemons() {
		entry, _ := state.Entry(i.ID)
		if i.State == wire.Live && state.IsAlive(i.ID, now) && !entry.Draining {
			centres[i.ID] = i.DataCentre
		}
	}
	return centres
}

// peerAddress returns the address at which a listed daemon accepts peer calls.
func (m *members) peerAddress(name string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i, ok := m.instances[name]
	return i.PeerAddress, ok && i.PeerAddress != ""
}

// peerByIncarnation returns the name of the daemon with the incarnation.
func (m *members) peerByIncarnation(incarnation string) (string, bool) {
	state := m.snapshot()
	for _, i := range m.daemons() {
		if entry, ok := state.Entry(i.ID); ok && entry.Incarnation == incarnation {
			return i.ID, true
		}
	}
	return "", false
}

// statuses returns the state of the other daemons for the operators.
func (m *members) statuses() []wire.PeerStatus {
	state := m.snapshot()
	now := m.base.Now()
	var result []wire.PeerStatus
	for _, i := range m.daemons() {
		entry, _ := state.Entry(i.ID)
		result = append(result, wire.PeerStatus{
			Process: i.ID, Address: i.Address, DataCentre: i.DataCentre,
			Alive: state.IsAlive(i.ID, now), Next: entry.Next, Heard: state.LastReceived(i.ID),
		})
	}
	return result
}

// leaveDeadline returns the time at which a leaving instance stops, or zero if it is not known.
func (m *members) leaveDeadline(id string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving[id]
}
