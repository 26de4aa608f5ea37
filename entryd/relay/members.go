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
	// members are the daemons as the log and their messages tell, and which of them are the
	// hubs. A hub reads the log for the daemons of its data centre and sums up the loads and
	// uses of all daemons for them; the others tell the hubs of all data centres their own.
	// There is no election: every daemon greets every other one, takes the first live daemon
	// of a data centre for its hub, and answers as a hub to those that ask it.
	members struct {
		self member

		mutex sync.Mutex
		known map[string]*member
		// hub is the daemon that this one follows, and hubSince when it began to.
		hub      string
		hubSince time.Time
	}

	// member is a daemon.
	member struct {
		Name       string  `json:"Name"`
		Address    string  `json:"Address"`
		Control    string  `json:"Control"`
		DataCentre string  `json:"DataCentre"`
		Speed      float64 `json:"Speed"`
		// Incarnation tells the processes of a daemon apart.
		Incarnation string `json:"Incarnation"`
		// At is when the record was written, by the writer's clock.
		At time.Time `json:"At"`

		// heardAt is when a message of the daemon last came, suspectAt when it was found silent.
		heardAt   time.Time
		listedAt  time.Time
		suspectAt time.Time
		config    int64
		// holds says that the daemon holds the duty.
		holds bool
		// readAt is the daemon's own last read of the endpoints, readSince the time since which
		// such reads have come without a gap.
		readAt    time.Time
		readSince time.Time
	}
)

const (
	// hubSilent is how long a hub may be silent before the next daemon is taken.
	hubSilent = 700 * time.Millisecond
	// suspectFor is how long a silent hub is passed over unless it is heard.
	suspectFor = 5 * time.Second
	// greetInterval is the pause between greetings of up to greetDaemons; with more daemons it
	// grows with their number, so that a daemon's work does not.
	greetInterval = 300 * time.Millisecond
	greetDaemons  = 20
	// greetLasts is the number of intervals for which a greeting counts.
	greetLasts = 3
	// memberInterval is the pause between reads of the daemons' records of up to greetDaemons;
	// with more daemons it grows with their number, so that the bytes read do not. Daemons learn
	// of each other by greetings; the records only heal what these have missed. startInterval is
	// that of a daemon that has just started.
	memberInterval = 15 * time.Second
	startInterval  = time.Second
	startReads     = 3
	// sightedFor is how long a daemon is taken to read the log after a read that it has told: a hub
	// reads at least every two seconds, and greetings with its news come an interval apart.
	sightedFor = 3 * time.Second
	// sightedFirst is how long a daemon must have read before it replaces a hub that does not. After
	// an outage of the log the hub is back within that time.
	sightedFirst = time.Second
	// memberRecordEvery is the pause between two records of a daemon; a daemon without one
	// for memberForget is gone.
	memberRecordEvery = 30 * time.Second
	memberForget      = 70 * time.Second
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

// setOwn notes whether this daemon holds the duty and when it last read the endpoints.
func (m *members) setOwn(holds bool, readAt time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	last := m.self
	m.self.holds, m.self.readAt = holds, readAt
	m.self.keepSight(last, m.sightedFor())
}

// own returns this daemon's entry.
func (m *members) own() member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.self
}

// heard notes a message of a daemon and returns whether it is a new process.
func (m *members) heard(from member, now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, ok := m.known[from.Name]
	if !ok {
		known = &member{}
		m.known[from.Name] = known
	}
	news := known.Incarnation != from.Incarnation
	last := *known
	*known = from
	known.heardAt, known.listedAt = now, last.listedAt
	known.keepSight(last, m.sightedFor())
	return news
}

// keepSight sets since when the daemon has read the log, by what was known of it before.
func (k *member) keepSight(last member, gap time.Duration) {
	if k.readAt.Before(last.readAt) {
		// Messages may overtake each other.
		k.readAt = last.readAt
	}
	k.readSince = last.readSince
	if k.readAt.Sub(last.readAt) > gap {
		k.readSince = k.readAt
	}
}

// sightedFor returns how long a daemon is taken to read the log after a read that it has told.
func (m *members) sightedFor() time.Duration { return sightedFor + m.interval() }

// listed notes a daemon's record and returns whether the daemon was not known.
func (m *members) listed(from member, now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, ok := m.known[from.Name]
	switch {
	case !ok:
		from.listedAt = now
		m.known[from.Name] = &from
	case known.Incarnation != from.Incarnation && now.Sub(known.heardAt) > m.lasts():
		from.listedAt, from.heardAt = now, known.heardAt
		*known = from
	default:
		known.listedAt = now
	}
	return !ok
}

// forget drops the daemons that have been silent and without a record for long, and returns
// their names.
func (m *members) forget(now time.Time) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var gone []string
	for name, k := range m.known {
		if now.Sub(k.heardAt) > memberForget && now.Sub(k.listedAt) > memberForget {
			delete(m.known, name)
			gone = append(gone, name)
		}
	}
	return gone
}

// hubs returns the hub of each data centre, by data centre. The own daemon may be one. A daemon that
// can't read the log is passed over for one that can: those that follow it may be turned away too.
func (m *members) hubs(now time.Time) map[string]member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	first, sighted := map[string]member{}, map[string]member{}
	take := func(k member) {
		prefer(first, k)
		if m.sightedLong(k, now) {
			prefer(sighted, k)
		}
	}
	take(m.self)
	for _, k := range m.known {
		if m.live(k, now) {
			take(*k)
		}
	}
	for centre, k := range first {
		if other, ok := sighted[centre]; ok && !m.sighted(k, now) {
			first[centre] = other
		}
	}
	return first
}

// prefer takes a daemon for the hub of its data centre if it goes before the present one.
func prefer(hubs map[string]member, k member) {
	if present, ok := hubs[k.DataCentre]; !ok || before(k, present) {
		hubs[k.DataCentre] = k
	}
}

// sighted reports whether a daemon has read the log lately.
func (m *members) sighted(k member, now time.Time) bool { return now.Sub(k.readAt) < m.sightedFor() }

// sightedLong reports whether a daemon may replace a hub that can't read the log.
func (m *members) sightedLong(k member, now time.Time) bool {
	return m.sighted(k, now) && now.Sub(k.readSince) >= sightedFirst
}

// interval returns the pause between greetings.
func (m *members) interval() time.Duration {
	return m.stretched(greetInterval)
}

// stretched returns a pause that grows with the number of daemons beyond greetDaemons.
func (m *members) stretched(pause time.Duration) time.Duration {
	return pause * time.Duration(max(greetDaemons, len(m.known))) / greetDaemons
}

// lasts returns how long a greeting counts.
func (m *members) lasts() time.Duration { return greetLasts * m.interval() }

// live reports whether a daemon may be taken for a hub: it was heard lately, or its record is
// so new that it may not have greeted yet.
func (m *members) live(k *member, now time.Time) bool {
	if !k.suspectAt.IsZero() && now.Sub(k.suspectAt) < suspectFor && !k.heardAt.After(k.suspectAt) {
		return false
	}
	return now.Sub(k.heardAt) < m.lasts() || k.heardAt.IsZero() && now.Sub(k.listedAt) < suspectFor
}

// before reports whether a daemon is a hub rather than the other: the holder of the duty,
// which must stay one to hear the counts of all daemons, then the faster machine, then by
// hash.
func before(a, b member) bool {
	if a.holds != b.holds {
		return a.holds
	}
	return cmp.Or(cmp.Compare(b.Speed, a.Speed), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))) < 0
}

// follow returns the own hub, and whether this daemon is it. A hub that stays silent is
// passed over. While no daemon of the own data centre can read the log, the hub is that of another
// one that can.
func (m *members) follow(now time.Time) (member, bool) {
	hubs := m.hubs(now)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	hub := hubs[m.self.DataCentre]
	if !m.sighted(hub, now) {
		for _, h := range hubs {
			if m.sightedLong(h, now) && (!m.sightedLong(hub, now) || before(h, hub)) {
				hub = h
			}
		}
	}
	if hub.Name != m.hub {
		m.hub, m.hubSince = hub.Name, now
	}
	k, ok := m.known[hub.Name]
	if ok && now.Sub(m.hubSince) > hubSilent && now.Sub(k.heardAt) > hubSilent {
		k.suspectAt = now
	}
	return hub, hub.Name == m.self.Name
}

// greeted returns the daemons that are greeted: all that are known, since one that is not
// heard may be waiting to hear.
func (m *members) greeted() (addresses []string, interval time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, k := range m.known {
		addresses = append(addresses, k.Address)
	}
	return addresses, m.interval()
}

// heardSince returns the daemons that were heard after a time.
func (m *members) heardSince(since time.Time) []member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var heard []member
	for _, k := range m.known {
		if k.heardAt.After(since) {
			heard = append(heard, *k)
		}
	}
	slices.SortFunc(heard, func(a, b member) int { return cmp.Compare(a.Name, b.Name) })
	return heard
}

// count returns the number of daemons, this one included.
func (m *members) count() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.known) + 1
}

// names returns the other daemons.
func (m *members) names() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Collect(maps.Keys(m.known))
}

// readInterval returns the pause between reads of the daemons' records.
func (m *members) readInterval() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.stretched(memberInterval)
}

// controls returns the control addresses of the daemons with a configuration newer than the
// given version.
func (m *members) controls(newer int64) []string {
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

// keepMembers keeps this daemon's record in the log and reads the others'.
func (d *Daemon) keepMembers(ctx context.Context) error {
	var writtenAt, readAt time.Time
	reads := 0
	keep := func() {
		now := d.clock.now()
		if writtenAt.IsZero() || now.Sub(writtenAt) > memberRecordEvery {
			if err := d.writeMember(ctx); err == nil {
				writtenAt = now
			}
		}
		interval := d.members.readInterval()
		if reads < startReads {
			interval = startInterval
		}
		if readAt.IsZero() || now.Sub(readAt) > interval {
			if err := d.readMembers(ctx); err == nil {
				readAt = now
				reads++
			}
		}
		for _, name := range d.members.forget(now) {
			d.tables.forget(name, now)
			d.logger.WithName("members").Info("Daemon forgotten.", "Daemon", name)
		}
	}
	// Daemons that were all killed share allowances again as soon as they know of each other.
	keep()
	return every(ctx, startInterval/2, keep)
}

func (d *Daemon) writeMember(ctx context.Context) error {
	record := d.members.own()
	record.At = d.clock.trueNow()
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
			d.logger.WithName("members").Info("Record can't be used.", "Key", r.Key, "Offset", r.Offset)
			continue
		}
		if m.Name == d.settings.Name || d.clock.trueNow().Sub(m.At) > memberForget {
			continue
		}
		d.tables.expect(m.Name, now)
		if d.members.listed(m, now) {
			d.logger.WithName("members").Info("Daemon listed.", "Daemon", m.Name, "Address", m.Address, "DataCentre", m.DataCentre)
		}
	}
	return nil
}
