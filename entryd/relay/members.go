package relay

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"lentilstage.dev/decide/hubs"
	"lentilstage.dev/domain/value"
)

type (
	// members guards the view of the other daemons, which is known from the log and from messages.
	members struct {
		mutex sync.Mutex
		state *hubs.State
	}

	// target is a daemon to which messages are sent.
	target struct{ name, address string }
)

const (
	// memberReadInterval is the pause between reads of the daemons' records, for up to baseDaemons
	// daemons. With more daemons it grows with their number, so that the bytes read per second do
	// not. Daemons discover each other by messages; the records only cover lost ones. A daemon that
	// has just started reads again after startupReadInterval, since others may have started with it.
	memberReadInterval  = 15 * time.Second
	baseDaemons         = 20
	startupReadInterval = 2 * time.Second
	startupReads        = 2
	// maintainInterval is the pause between checks of what is due.
	maintainInterval = 500 * time.Millisecond
	// memberRecordInterval is the pause between two records of a daemon; a record older than
	// memberTTL is ignored.
	memberRecordInterval = 30 * time.Second
	memberTTL            = 70 * time.Second
)

func newMembers(s Settings, incarnation string) *members {
	return &members{state: hubs.New(hubs.Member{
		Name: s.Name, Address: s.PeerListen, Control: s.ControlListen, DataCentre: s.DataCentre,
		Speed: s.Speed, Incarnation: incarnation,
	})}
}

// use calls a function with the view locked.
func (m *members) use(call func(*hubs.State)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	call(m.state)
}

// currentHub returns this daemon's hub, and whether it is the daemon itself.
func (m *members) currentHub(now time.Time) (hub hubs.Report, isHub bool) {
	m.use(func(s *hubs.State) { hub, isHub = s.Hub(now) })
	return hub, isHub
}

// hubOf returns the name of the hub of a data centre, or an empty name.
func (m *members) hubOf(centre string, now time.Time) (name string) {
	m.use(func(s *hubs.State) { name = s.Hubs(now)[centre].Name })
	return name
}

// isReader reports whether this daemon reads the log for the other hubs, or must since none does.
func (m *members) isReader(now time.Time) (reads bool) {
	m.use(func(s *hubs.State) {
		reader, ok := s.Reader(now)
		reads = !ok || reader.Name == s.Self().Name
	})
	return reads
}

// reader returns the hub that reads the log for the others, if there is one.
func (m *members) reader(now time.Time) (reader hubs.Report, ok bool) {
	m.use(func(s *hubs.State) { reader, ok = s.Reader(now) })
	return reader, ok
}

// otherHubs returns the hubs of the other data centres.
func (m *members) otherHubs(now time.Time) []target {
	var targets []target
	m.use(func(s *hubs.State) {
		for centre, h := range s.Hubs(now) {
			if centre != s.Self().DataCentre {
				targets = append(targets, target{h.Name, h.Address})
			}
		}
	})
	return targets
}

// sumTargets returns the daemons to which this daemon sends its sums if it is a hub.
func (m *members) sumTargets(now time.Time) []target {
	var targets []target
	m.use(func(s *hubs.State) {
		for _, r := range s.SumTargets(now) {
			targets = append(targets, target{r.Name, r.Address})
		}
	})
	return targets
}

// probes returns the daemons to which this daemon introduces itself now.
func (m *members) probes(now time.Time, random func() float64) []target {
	var targets []target
	m.use(func(s *hubs.State) {
		for _, p := range s.Probes(now, random) {
			targets = append(targets, target{p.Name, p.Address})
		}
	})
	return targets
}

// addressOf returns the address of a known daemon, or an empty one.
func (m *members) addressOf(name string) (address string) {
	m.use(func(s *hubs.State) {
		if r, ok := s.Member(name); ok {
			address = r.Address
		}
	})
	return address
}

// interval returns the pause between two messages to the hub, or to the followers.
func (m *members) interval() (interval time.Duration) {
	m.use(func(s *hubs.State) { interval = s.Interval() })
	return interval
}

// silentAt returns when a daemon heard now counts as silent.
func (m *members) silentAt(now time.Time) (at time.Time) {
	m.use(func(s *hubs.State) { at = s.SilentAt(now) })
	return at
}

// count returns the number of daemons, this one included.
func (m *members) count() (count int) {
	m.use(func(s *hubs.State) { count = s.Count() })
	return count
}

// all returns the other known daemons.
func (m *members) all() (reports []hubs.Report) {
	m.use(func(s *hubs.State) { reports = s.Members() })
	return reports
}

// names returns the names of all daemons, this one included.
func (m *members) names() (names []string) {
	m.use(func(s *hubs.State) {
		names = append(names, s.Self().Name)
		for _, r := range s.Members() {
			names = append(names, r.Name)
		}
	})
	return names
}

// readInterval returns the pause between reads of the daemons' records.
func (m *members) readInterval() time.Duration {
	return memberReadInterval * time.Duration(max(baseDaemons, m.count())) / baseDaemons
}

// controlAddresses returns the control addresses of the daemons with a configuration newer than the
// given version.
func (m *members) controlAddresses(newer int64) []string {
	var addresses []string
	for _, r := range m.all() {
		if r.Control != "" && r.Config > newer {
			addresses = append(addresses, r.Control)
		}
	}
	return addresses
}

// maintainMembers writes this daemon's record to the log and reads the others'.
func (d *Daemon) maintainMembers(ctx context.Context) error {
	var writtenAt, readAt time.Time
	var writtenEra int64
	reads := 0
	maintain := func() {
		now := d.clock.now()
		// A log that was restored from a copy may have lost the record.
		if era := d.era.Load(); writtenAt.IsZero() || now.Sub(writtenAt) > memberRecordInterval || era > writtenEra {
			if end, err := d.writeMember(ctx); err == nil {
				writtenAt, writtenEra = now, max(era, end.Era)
			}
		}
		interval := d.members.readInterval()
		if reads < startupReads {
			interval = startupReadInterval
		}
		if reads > 0 && reads < startupReads && d.tables.hubDaemons() <= d.members.count() && d.tables.followsOtherHub() {
			// The hub knows no more daemons than this one.
			reads = startupReads
		}
		if readAt.IsZero() || now.Sub(readAt) > interval {
			if replaced, err := d.readMembers(ctx); err == nil {
				readAt = now
				reads++
				if !d.findingsRead.Load() {
					// An error is logged; the next read of the records tries again.
					_, _, _ = d.readFindings(ctx)
				}
				if replaced {
					// The last record of an earlier process has arrived late.
					writtenAt = time.Time{}
				}
			}
		}
		var gone []hubs.Member
		d.members.use(func(s *hubs.State) { gone = s.Expire(now) })
		for _, g := range gone {
			d.tables.expire(g.Name, now)
			d.clock.forget(g.Name)
			d.logger.WithName("members").Info("Daemon expired.", "Daemon", g.Name)
		}
	}
	// Runs at once, so that daemons that all restarted share allowances as soon as possible.
	maintain()
	return every(ctx, maintainInterval, maintain)
}

func (d *Daemon) writeMember(ctx context.Context) (value.Position, error) {
	var record hubs.Member
	d.members.use(func(s *hubs.State) { record = s.Self().Member })
	record.At = d.clock.wallNow()
	if at := d.leavesAt.Load(); at != 0 {
		record.LeavesAt = record.At.Add(time.Duration(at) - d.age(d.clock.now()))
	}
	encoded, err := json.Marshal(record)
	if err != nil {
		return value.Position{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, readSlack)
	defer cancel()
	return d.store.Append(ctx, Daemons, AnyOffset, d.settings.Name, encoded)
}

// readMembers lists the daemons of the log's records. It reports whether the record under this daemon's name is that
// of another process.
func (d *Daemon) readMembers(ctx context.Context) (replaced bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readSlack)
	defer cancel()
	page, err := d.store.Newest(ctx, Daemons)
	if err != nil {
		return false, err
	}
	listed := make([]hubs.Member, 0, len(page.Records))
	for _, r := range page.Records {
		var m hubs.Member
		if err := json.Unmarshal(r.Value, &m); err != nil || m.Address == "" || m.Name != r.Key {
			d.logger.WithName("members").Info("Record invalid.", "Key", r.Key, "Offset", r.Offset)
			continue
		}
		replaced = replaced || m.Name == d.settings.Name && m.Incarnation != d.incarnation
		if d.clock.wallNow().Sub(m.At) <= memberTTL {
			listed = append(listed, m)
		}
	}
	d.listMembers(listed)
	d.membersRead.Store(true)
	return replaced, nil
}

// listMembers adds the daemons of the log's records, or of a peer's snapshot.
func (d *Daemon) listMembers(listed []hubs.Member) {
	now := d.clock.now()
	added := 0
	wall := d.clock.wallNow()
	d.members.use(func(s *hubs.State) {
		for _, m := range listed {
			if !m.LeavesAt.IsZero() {
				s.Leave(hubs.Leave{Name: m.Name, Incarnation: m.Incarnation, At: now.Add(m.LeavesAt.Sub(wall))}, now)
			}
			if s.List(m, now) {
				added++
			}
		}
	})
	d.removeDeparted(now)
	if added == 0 {
		return
	}
	d.tables.listMembers(d.members.all(), time.Time{}, now)
	d.logger.WithName("members").Info("Daemons listed.", "Added", added, "Known", d.members.count())
}
