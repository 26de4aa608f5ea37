package relay

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// members holds the daemons known from the log and from messages, and determines the hubs. A hub
	// reads the log for the daemons of its data centre and sums the loads and usage of all daemons
	// for them; every daemon sends its own to the hubs of all data centres. There is no election:
	// every daemon sends heartbeats to all others, takes the first live daemon of a data centre as
	// its hub, and serves as a hub to those that ask it.
	members struct {
		self member

		mutex sync.Mutex
		known map[string]*member
		// hub is the daemon that this one follows, hubSince when it began to.
		hub      string
		hubSince time.Time
	}

	// member describes a daemon.
	member struct {
		Name       string  `json:"Name"`
		Address    string  `json:"Address"`
		Control    string  `json:"Control"`
		DataCentre string  `json:"DataCentre"`
		Speed      float64 `json:"Speed"`
		// Incarnation identifies a process of the daemon.
		Incarnation string `json:"Incarnation"`
		// At is when the record was written, by the writer's clock.
		At time.Time `json:"At"`

		// seenAt is when the last message of the daemon arrived, listedAt when its record was last
		// read, suspectAt when it was last found silent as a hub.
		seenAt    time.Time
		listedAt  time.Time
		suspectAt time.Time
		config    int64
		// holdsLease reports whether the daemon holds the lease.
		holdsLease bool
		// readAt is the daemon's own last read of the endpoints, readSince the start of the span in
		// which such reads have come without a gap.
		readAt    time.Time
		readSince time.Time
	}
)

const (
	// maxHubSilence is how long a hub may be silent before the next daemon replaces it.
	maxHubSilence = 700 * time.Millisecond
	// suspectTTL is how long a silent hub is excluded unless a message of it arrives.
	suspectTTL = 5 * time.Second
	// baseHeartbeatInterval is the pause between heartbeats of up to baseDaemons daemons. With more
	// daemons it grows with their number, so that a daemon's load does not.
	baseHeartbeatInterval = 300 * time.Millisecond
	baseDaemons           = 20
	// heartbeatTTLIntervals is the number of intervals for which a heartbeat is valid.
	heartbeatTTLIntervals = 3
	// memberReadInterval is the pause between reads of the daemons' records, for up to baseDaemons
	// daemons. With more daemons it grows with their number, so that the bytes read per second do
	// not. Daemons discover each other by heartbeats; the records only cover lost ones. A daemon that
	// has just started makes startupReads reads at startupReadInterval.
	memberReadInterval  = 15 * time.Second
	startupReadInterval = time.Second
	startupReads        = 3
	// readTTL is how long a daemon counts as reading the log after a read that it has reported, not
	// counting the heartbeat interval: a hub reads at least every two seconds.
	readTTL = 3 * time.Second
	// minReadSpan is how long a daemon must have read the log before it replaces a hub that can't.
	// After an outage of the log the hub reads again within that time.
	minReadSpan = time.Second
	// memberRecordInterval is the pause between two records of a daemon; a daemon without a record
	// for memberTTL is gone.
	memberRecordInterval = 30 * time.Second
	memberTTL            = 70 * time.Second
)

func newMembers(s Settings, incarnation string) *members {
	return &members{
		self: member{
			Name: s.Name, Address: s.PeerListen, Control: s.ControlListen, DataCentre: s.DataCentre,
			Speed: s.Speed, Incarnation: incarnation,
		},
		known: map[string]*member{},
	}
}

// updateSelf records whether this daemon holds the lease and when it last read the endpoints.
func (m *members) updateSelf(holdsLease bool, readAt time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	last := m.self
	m.self.holdsLease, m.self.readAt = holdsLease, readAt
	m.self.updateReads(last, m.readTTL())
}

// ownMember returns this daemon's entry.
func (m *members) ownMember() member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.self
}

// observe records a message of a daemon and reports whether the sender is a new process.
func (m *members) observe(from member, now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, ok := m.known[from.Name]
	if !ok {
		known = &member{}
		m.known[from.Name] = known
	}
	isNew := known.Incarnation != from.Incarnation
	last := *known
	*known = from
	known.seenAt, known.listedAt = now, last.listedAt
	known.updateReads(last, m.readTTL())
	return isNew
}

// updateReads updates the span of the daemon's reads of the log from its previous entry.
func (k *member) updateReads(last member, gap time.Duration) {
	if k.readAt.Before(last.readAt) {
		// Messages may arrive out of order.
		k.readAt = last.readAt
	}
	k.readSince = last.readSince
	if k.readAt.Sub(last.readAt) > gap {
		k.readSince = k.readAt
	}
}

// readTTL returns how long a daemon counts as reading the log after a read that it has reported.
// Heartbeats report a read up to one interval later.
func (m *members) readTTL() time.Duration { return readTTL + m.heartbeatInterval() }

// recordListing records a daemon's record in the log and reports whether the daemon was unknown.
func (m *members) recordListing(from member, now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, ok := m.known[from.Name]
	switch {
	case !ok:
		from.listedAt = now
		m.known[from.Name] = &from
	case known.Incarnation != from.Incarnation && now.Sub(known.seenAt) > m.heartbeatTTL():
		from.listedAt, from.seenAt = now, known.seenAt
		*known = from
	default:
		known.listedAt = now
	}
	return !ok
}

// expire removes the daemons without a message or a record for memberTTL and returns their names.
func (m *members) expire(now time.Time) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var gone []string
	for name, k := range m.known {
		if now.Sub(k.seenAt) > memberTTL && now.Sub(k.listedAt) > memberTTL {
			delete(m.known, name)
			gone = append(gone, name)
		}
	}
	return gone
}

// hubs returns the hub of each data centre, by data centre. This daemon may be one of them. A hub
// that can't read the log is replaced by a daemon that can, since the log may reject the followers
// too.
func (m *members) hubs(now time.Time) map[string]member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	first, canRead := map[string]member{}, map[string]member{}
	consider := func(k member) {
		keepPreferred(first, k)
		if m.canReadSteadily(k, now) {
			keepPreferred(canRead, k)
		}
	}
	consider(m.self)
	for _, k := range m.known {
		if m.live(k, now) {
			consider(*k)
		}
	}
	for centre, k := range first {
		if other, ok := canRead[centre]; ok && !m.canRead(k, now) {
			first[centre] = other
		}
	}
	return first
}

// keepPreferred makes a daemon the hub of its data centre if it ranks before the present one.
func keepPreferred(hubs map[string]member, k member) {
	if current, ok := hubs[k.DataCentre]; !ok || ranksBefore(k, current) {
		hubs[k.DataCentre] = k
	}
}

// canRead reports whether a daemon has read the log recently.
func (m *members) canRead(k member, now time.Time) bool { return now.Sub(k.readAt) < m.readTTL() }

// canReadSteadily reports whether a daemon has read the log for long enough to replace a hub that
// can't.
func (m *members) canReadSteadily(k member, now time.Time) bool {
	return m.canRead(k, now) && now.Sub(k.readSince) >= minReadSpan
}

// heartbeatInterval returns the pause between heartbeats.
func (m *members) heartbeatInterval() time.Duration {
	return m.scaled(baseHeartbeatInterval)
}

// scaled returns a pause that grows with the number of daemons beyond baseDaemons.
func (m *members) scaled(interval time.Duration) time.Duration {
	return interval * time.Duration(max(baseDaemons, len(m.known))) / baseDaemons
}

// heartbeatTTL returns how long a heartbeat is valid.
func (m *members) heartbeatTTL() time.Duration { return heartbeatTTLIntervals * m.heartbeatInterval() }

// live reports whether a daemon may be a hub: it has sent a message recently, or its record is so new
// that its first heartbeat may still be missing.
func (m *members) live(k *member, now time.Time) bool {
	if !k.suspectAt.IsZero() && now.Sub(k.suspectAt) < suspectTTL && !k.seenAt.After(k.suspectAt) {
		return false
	}
	return now.Sub(k.seenAt) < m.heartbeatTTL() || k.seenAt.IsZero() && now.Sub(k.listedAt) < suspectTTL
}

// ranksBefore reports whether daemon a is preferred to b as a hub. The lease holder ranks first,
// since it must receive the counts of all daemons, then the faster instance; ties are broken by a
// hash of the names.
func ranksBefore(a, b member) bool {
	if a.holdsLease != b.holdsLease {
		return a.holdsLease
	}
	return cmp.Or(cmp.Compare(b.Speed, a.Speed), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))) < 0
}

// currentHub returns this daemon's hub, and whether it is the daemon itself. A hub that stays silent
// is replaced. While no daemon of the data centre can read the log, the hub of another data centre
// that can is used.
func (m *members) currentHub(now time.Time) (member, bool) {
	hubs := m.hubs(now)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	hub := hubs[m.self.DataCentre]
	if !m.canRead(hub, now) {
		for _, h := range hubs {
			if m.canReadSteadily(h, now) && (!m.canReadSteadily(hub, now) || ranksBefore(h, hub)) {
				hub = h
			}
		}
	}
	if hub.Name != m.hub {
		m.hub, m.hubSince = hub.Name, now
	}
	k, ok := m.known[hub.Name]
	if ok && now.Sub(m.hubSince) > maxHubSilence && now.Sub(k.seenAt) > maxHubSilence {
		k.suspectAt = now
	}
	return hub, hub.Name == m.self.Name
}

// heartbeatTargets returns the addresses for heartbeats and their interval. All known daemons are
// included, since a silent one may be waiting for heartbeats.
func (m *members) heartbeatTargets() (addresses []string, heartbeatInterval time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, k := range m.known {
		addresses = append(addresses, k.Address)
	}
	return addresses, m.heartbeatInterval()
}

// activeSince returns the daemons whose last message arrived after a time.
func (m *members) activeSince(since time.Time) []member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var active []member
	for _, k := range m.known {
		if k.seenAt.After(since) {
			active = append(active, *k)
		}
	}
	slices.SortFunc(active, func(a, b member) int { return cmp.Compare(a.Name, b.Name) })
	return active
}

// count returns the number of daemons, this one included.
func (m *members) count() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.known) + 1
}

// names returns the names of the other daemons.
func (m *members) names() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Collect(maps.Keys(m.known))
}

// readInterval returns the pause between reads of the daemons' records.
func (m *members) readInterval() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.scaled(memberReadInterval)
}

// controlAddresses returns the control addresses of the daemons with a configuration newer than the
// given version.
func (m *members) controlAddresses(newer int64) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var addresses []string
	for _, k := range m.known {
		if k.Control != "" && k.config > newer {
			addresses = append(addresses, k.Control)
		}
	}
	return addresses
}

// maintainMembers writes this daemon's record to the log and reads the others'.
func (d *Daemon) maintainMembers(ctx context.Context) error {
	var writtenAt, readAt time.Time
	reads := 0
	maintain := func() {
		now := d.clock.now()
		if writtenAt.IsZero() || now.Sub(writtenAt) > memberRecordInterval {
			if err := d.writeMember(ctx); err == nil {
				writtenAt = now
			}
		}
		interval := d.members.readInterval()
		if reads < startupReads {
			interval = startupReadInterval
		}
		if readAt.IsZero() || now.Sub(readAt) > interval {
			if err := d.readMembers(ctx); err == nil {
				readAt = now
				reads++
			}
		}
		for _, name := range d.members.expire(now) {
			d.tables.expire(name, now)
			d.logger.WithName("members").Info("Daemon expired.", "Daemon", name)
		}
	}
	// Runs at once, so that daemons that all restarted share allowances as soon as possible.
	maintain()
	return every(ctx, startupReadInterval/2, maintain)
}

func (d *Daemon) writeMember(ctx context.Context) error {
	record := d.members.ownMember()
	record.At = d.clock.wallNow()
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readSlack)
	defer cancel()
	_, err = d.store.Append(ctx, Daemons, AnyOffset, d.settings.Name, value)
	return err
}

func (d *Daemon) readMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readSlack)
	defer cancel()
	page, err := d.store.Newest(ctx, Daemons)
	if err != nil {
		return err
	}
	now := d.clock.now()
	for _, r := range page.Records {
		var m member
		if err := json.Unmarshal(r.Value, &m); err != nil || m.Address == "" || m.Name != r.Key {
			d.logger.WithName("members").Info("Record invalid.", "Key", r.Key, "Offset", r.Offset)
			continue
		}
		if m.Name == d.settings.Name || d.clock.wallNow().Sub(m.At) > memberTTL {
			continue
		}
		d.tables.addMember(m.Name, now)
		if d.members.recordListing(m, now) {
			d.logger.WithName("members").Info("Daemon listed.", "Daemon", m.Name, "Address", m.Address, "DataCentre", m.DataCentre)
		}
	}
	return nil
}
