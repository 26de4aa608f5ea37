package hubs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
)

type (
	// fleet is a set of daemons that exchange the messages of the package's protocol.
	fleet struct {
		now     time.Time
		daemons []*daemon
		byName  map[string]*daemon
		random  *rand.Rand
		// side divides the daemons that are cut off from each other; lossPercent of the messages are
		// lost.
		side        map[string]int
		lossPercent int
		logDown     bool
	}

	daemon struct {
		name, centre string
		state        *State
		incarnation  int
		down         bool
		// rejected reports whether the log rejects the daemon's reads.
		rejected   bool
		holdsLease bool
		nextAt     time.Time
		// followers are the daemons that have asked for totals, with the end of their request.
		followers map[string]time.Time
		// informedAt is the last read by which its hub informs the daemon, readerReadAt that by which
		// the reader informs it as a hub.
		informedAt, readerReadAt, ownReadAt time.Time
		sent, reads                         int
		// hub is the last hub, changes counts its changes.
		hub     string
		changes int
		// leftAt is when the daemon stops using its part in a planned stop, downAt when its process ends; zero unless
		// it stops.
		leftAt, downAt time.Time
		left           bool
	}

	script struct {
		Name    string `yaml:"Name"`
		Centres int    `yaml:"Centres"`
		Each    int    `yaml:"Each"`
		Steps   []step `yaml:"Steps"`
	}

	// step changes the fleet, then lets it run and checks it.
	step struct {
		// StopHub names a data centre whose present hub stops, StopCentre one whose daemons all stop.
		StopHub    string `yaml:"StopHub"`
		StopCentre string `yaml:"StopCentre"`
		StartAll   bool   `yaml:"StartAll"`
		RestartAll bool   `yaml:"RestartAll"`
		// Leave lists daemons that stop as planned; "hub" stands for that of centre-0. They use their part for LeaveMs
		// more, tell the others that they have left unless KilledAfterMs is less, and end some messages later.
		Leave         []string `yaml:"Leave"`
		LeaveMs       int      `yaml:"LeaveMs"`
		KilledAfterMs int      `yaml:"KilledAfterMs"`
		// Restart lists daemons that start again at once, as new processes.
		Restart []string `yaml:"Restart"`
		// Counted checks that each live daemon counts the live ones and no others.
		Counted bool `yaml:"Counted"`
		// Split cuts the first daemons of each data centre off from the rest; 0 ends it.
		Split *int `yaml:"Split"`
		// Reject lists daemons whose reads the log rejects; "hub" stands for that of centre-0, "reader" for the hub that
		// reads for the others, a data centre for its hub.
		Reject      []string `yaml:"Reject"`
		RejectNone  bool     `yaml:"RejectNone"`
		LogDown     *bool    `yaml:"LogDown"`
		LeaseTo     string   `yaml:"LeaseTo"`
		LossPercent *int     `yaml:"LossPercent"`
		RunMs       int      `yaml:"RunMs"`
		// Agree checks that all live daemons of a side use the same live hub of their data centre, and
		// that the hubs know each other.
		Agree bool `yaml:"Agree"`
		// Informed checks that each live daemon has the records of a read in the last seconds.
		Informed bool `yaml:"Informed"`
		// Steady checks that no daemon changes its hub in the step.
		Steady bool `yaml:"Steady"`
		// Readers is the number of daemons that read the log in the step; 0 checks nothing.
		Readers int `yaml:"Readers"`
		// Hub checks the hub of a data centre: its name, then that of the hub.
		Hub [2]string `yaml:"Hub"`
	}
)

const (
	tick = 20 * time.Millisecond
	// maxAge is the age of a hub's reads above which a daemon reads the log itself, readInterval the
	// pause between two reads.
	maxAge       = 1500 * time.Millisecond
	readInterval = 700 * time.Millisecond
	followTTL    = 2 * time.Second
)

func newFleet(centres, each int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), byName: map[string]*daemon{}, side: map[string]int{}, random: rand.New(rand.NewPCG(1, 2))}
	for c := range centres {
		for i := range each {
			d := &daemon{name: fmt.Sprintf("entry-%d-%d", c, i), centre: fmt.Sprint("centre-", c)}
			f.daemons = append(f.daemons, d)
			f.byName[d.name] = d
		}
	}
	for _, d := range f.daemons {
		f.start(d)
	}
	return f
}

// start starts a new process of a daemon, which knows the others from the log.
func (f *fleet) start(d *daemon) {
	d.incarnation++
	d.down, d.followers = false, map[string]time.Time{}
	d.informedAt, d.readerReadAt, d.ownReadAt = time.Time{}, time.Time{}, time.Time{}
	d.leftAt, d.downAt, d.left = time.Time{}, time.Time{}, false
	d.state = New(f.member(d))
	d.nextAt = f.now.Add(time.Duration(f.random.IntN(300)) * time.Millisecond)
	for _, other := range f.daemons {
		if other != d {
			d.state.List(f.member(other), f.now)
		}
	}
}

func (f *fleet) member(d *daemon) Member {
	return Member{Name: d.name, DataCentre: d.centre, Speed: 1, Incarnation: fmt.Sprint(d.incarnation)}
}

// deliver sends a message with the sender's report and referrals and reports whether it arrived.
func (f *fleet) deliver(from *daemon, to string) bool {
	from.sent++
	receiver, ok := f.byName[to]
	if !ok || receiver.down || f.side[from.name] != f.side[to] || f.random.IntN(100) < f.lossPercent {
		return false
	}
	if receiver.state.HasLeft(from.name, fmt.Sprint(from.incarnation), f.now) {
		return true
	}
	receiver.state.Observe(from.state.Self(), f.now)
	for _, r := range from.state.Referrals(f.now) {
		receiver.state.Refer(r, f.now)
	}
	for _, l := range from.state.Leaves(f.now) {
		receiver.state.Leave(l, f.now)
	}
	receiver.state.Departures(f.now)
	return true
}

// send sends the messages of one interval of a daemon.
func (f *fleet) send(d *daemon) {
	d.state.UpdateSelf(d.holdsLease, 0, later(d.readerReadAt, d.ownReadAt), d.ownReadAt)
	if hub, isHub := d.state.Hub(f.now); !isHub {
		if f.deliver(d, hub.Name) {
			f.byName[hub.Name].followers[d.name] = f.now.Add(followTTL)
		}
	} else {
		for _, t := range d.state.SumTargets(f.now) {
			receiver := f.byName[t.Name]
			if !f.deliver(d, t.Name) {
				continue
			}
			reader, ok := receiver.state.Reader(f.now)
			if _, isHub := receiver.state.Hub(f.now); isHub && ok && reader.Name == d.name {
				receiver.readerReadAt = later(receiver.readerReadAt, d.ownReadAt)
			}
		}
	}
	for name, until := range d.followers {
		if f.now.After(until) {
			delete(d.followers, name)
			continue
		}
		follower := f.byName[name]
		if hub, _ := follower.state.Hub(f.now); f.deliver(d, name) && hub.Name == d.name {
			follower.informedAt = later(follower.informedAt, later(d.readerReadAt, d.ownReadAt))
		}
	}
	for _, p := range d.state.Probes(f.now, f.random.Float64) {
		if f.deliver(d, p.Name) {
			f.deliver(f.byName[p.Name], d.name)
		}
	}
}

// read lets a daemon read the log if it is the reader or its information is too old.
func (f *fleet) read(d *daemon) {
	if d.rejected || f.logDown || f.now.Sub(d.ownReadAt) < readInterval {
		return
	}
	_, isHub := d.state.Hub(f.now)
	reader, ok := d.state.Reader(f.now)
	if isHub && (!ok || reader.Name == d.name) || f.now.Sub(f.informedAt(d)) > maxAge {
		d.ownReadAt = f.now
		d.reads++
	}
}

// informedAt returns when the last read was made whose records a daemon has.
func (f *fleet) informedAt(d *daemon) time.Time {
	if _, isHub := d.state.Hub(f.now); isHub {
		return later(d.readerReadAt, d.ownReadAt)
	}
	return later(d.informedAt, d.ownReadAt)
}

func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(tick) {
		for _, d := range f.daemons {
			f.stop(d)
			if d.down {
				continue
			}
			d.state.Departures(f.now)
			if !f.now.Before(d.nextAt) {
				f.read(d)
				if hub, _ := d.state.Hub(f.now); hub.Name != d.hub {
					d.hub = hub.Name
					d.changes++
				}
				d.nextAt = d.nextAt.Add(d.state.Interval())
				f.send(d)
			}
		}
	}
}

// leave begins the planned stop of a daemon, which uses its part for some time more and is killed after another
// time, if that is not 0.
func (f *fleet) leave(d *daemon, uses, killedAfter time.Duration) {
	const announced = 8 * time.Second
	d.leftAt, d.downAt = f.now.Add(uses), f.now.Add(uses+4*d.state.Interval())
	if killedAfter > 0 {
		d.downAt = f.now.Add(killedAfter)
	}
	d.state.AnnounceLeave(f.now.Add(announced), f.now)
}

// stop takes the next step of a planned stop that is due.
func (f *fleet) stop(d *daemon) {
	if d.leftAt.IsZero() || d.down {
		return
	}
	if !d.left && !f.now.Before(d.leftAt) && f.now.Before(d.downAt) {
		d.left = true
		d.state.AnnounceLeave(f.now, f.now)
		for _, r := range d.state.LeaveTargets(f.now, f.random.Float64) {
			f.deliver(d, r.Name)
		}
	}
	d.down = !f.now.Before(d.downAt)
}

func (f *fleet) apply(s step) {
	for _, d := range f.daemons {
		d.sent, d.reads, d.changes = 0, 0, 0
	}
	switch {
	case s.StopHub != "":
		f.byName[f.hubOf(s.StopHub)].down = true
	case s.StopCentre != "":
		for _, d := range f.daemons {
			d.down = d.down || d.centre == s.StopCentre
		}
	case s.Split != nil:
		for _, d := range f.daemons {
			var centre, number int
			_, _ = fmt.Sscanf(d.name, "entry-%d-%d", &centre, &number)
			f.side[d.name] = 0
			if number < *s.Split {
				f.side[d.name] = 1
			}
		}
	}
	for _, d := range f.daemons {
		if s.StartAll && d.down || s.RestartAll {
			f.start(d)
		}
		d.rejected = d.rejected && !s.RejectNone
		if s.LeaseTo != "" {
			d.holdsLease = d.name == s.LeaseTo
		}
	}
	for _, name := range s.Leave {
		if name == "hub" {
			name = f.hubOf("centre-0")
		}
		f.leave(f.byName[name], time.Duration(s.LeaveMs)*time.Millisecond, time.Duration(s.KilledAfterMs)*time.Millisecond)
	}
	for _, name := range s.Restart {
		f.start(f.byName[name])
	}
	for _, name := range s.Reject {
		if name == "hub" {
			name = f.hubOf("centre-0")
		} else if name == "reader" {
			reader, _ := f.daemons[0].state.Reader(f.now)
			name = reader.Name
		} else if _, ok := f.byName[name]; !ok {
			name = f.hubOf(name)
		}
		f.byName[name].rejected = true
	}
	if s.LogDown != nil {
		f.logDown = *s.LogDown
	}
	if s.LossPercent != nil {
		f.lossPercent = *s.LossPercent
	}
}

// hubOf returns the hub of a data centre as its first live daemon sees it.
func (f *fleet) hubOf(centre string) string {
	for _, d := range f.daemons {
		if d.centre == centre && !d.down {
			hub, _ := d.state.Hub(f.now)
			return hub.Name
		}
	}
	return ""
}

func (f *fleet) check(t *testing.T, number int, s step) {
	t.Helper()
	hubs := map[string]string{}
	readers := 0
	for _, d := range f.daemons {
		if d.reads > 0 {
			readers++
		}
		if d.down {
			continue
		}
		if s.Steady && d.changes > 0 {
			t.Errorf("step %d: %s has changed its hub %d times", number, d.name, d.changes)
		}
		hub, _ := d.state.Hub(f.now)
		if s.Agree {
			side := fmt.Sprint(d.centre, " on side ", f.side[d.name])
			if f.byName[hub.Name].down {
				t.Errorf("step %d: %s follows %s, which is down", number, d.name, hub.Name)
			}
			if known, ok := hubs[side]; ok && known != hub.Name {
				t.Errorf("step %d: %s follows %s, others of %s follow %s", number, d.name, hub.Name, side, known)
			}
			hubs[side] = hub.Name
		}
		if age := f.now.Sub(f.informedAt(d)); s.Informed && age > 3*time.Second {
			t.Errorf("step %d: the records of %s are %s old", number, d.name, age)
		}
	}
	live := 0
	for _, d := range f.daemons {
		if !d.down {
			live++
		}
	}
	for _, d := range f.daemons {
		if count := d.state.Count(); s.Counted && !d.down && count != live {
			t.Errorf("step %d: %s counts %d daemons, %d are live", number, d.name, count, live)
		}
	}
	for _, d := range f.daemons {
		if _, isHub := d.state.Hub(f.now); !s.Agree || d.down || !isHub {
			continue
		}
		// Hubs send their sums to the hubs of the other data centres.
		for centre, h := range d.state.Hubs(f.now) {
			if want := hubs[fmt.Sprint(centre, " on side ", f.side[d.name])]; h.Name != want {
				t.Errorf("step %d: the hub %s takes %s for the hub of %s, want %q", number, d.name, h.Name, centre, want)
			}
		}
	}
	if s.Readers > 0 && readers > s.Readers {
		t.Errorf("step %d: %d daemons read the log, want %d", number, readers, s.Readers)
	}
	if s.Hub[0] != "" {
		if got := f.hubOf(s.Hub[0]); got != s.Hub[1] {
			t.Errorf("step %d: %s is the hub of %s, want %s", number, got, s.Hub[0], s.Hub[1])
		}
	}
}

// TestFleet guards against daemons that disagree on the hub of a data centre or use one that is gone,
// since the counts and loads that they send to the wrong daemon are missing from the totals; against
// groups that do not find each other again; and against daemons that no read of the log informs
// although some daemon can read it.
func TestFleet(t *testing.T) {
	for _, c := range cases.Load[script](t, "testdata/fleet.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			f := newFleet(c.Centres, c.Each)
			for i, s := range c.Steps {
				f.apply(s)
				f.run(time.Duration(s.RunMs) * time.Millisecond)
				f.check(t, i+1, s)
			}
		})
	}
}

// TestMessagesDoNotGrow guards against messages of a daemon that grow with the number of daemons: a
// follower sends to its hub and to one other daemon, and a hub's sends per second are bounded by the
// interval.
func TestMessagesDoNotGrow(t *testing.T) {
	for _, size := range []struct{ centres, each int }{{3, 10}, {5, 60}, {4, 98}} {
		f := newFleet(size.centres, size.each)
		f.run(3 * time.Second)
		for _, d := range f.daemons {
			d.sent = 0
		}
		f.run(2 * time.Second)
		for _, d := range f.daemons {
			_, isHub := d.state.Hub(f.now)
			// A digest, an introduction and about one response to an introduction in each interval.
			limit := 45
			if isHub {
				limit = 300
			}
			if rate := d.sent / 2; rate > limit {
				t.Errorf("%d daemons: %s sends %d messages a second, want at most %d (hub: %v)", size.centres*size.each, d.name, rate, limit, isHub)
			}
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// TestReaderGivesWayBeforeHubs guards against hubs that change several times a second in a partition, so that shares of
// allowances are lost (QUOTA): a reader that could no longer read stayed the reader for as long as a hub without a
// recent read stayed a hub, and the hubs that it had informed were replaced before the next reader informed them.
func TestReaderGivesWayBeforeHubs(t *testing.T) {
	start := time.Unix(1000, 0)
	member := func(name, centre string) Member {
		return Member{Name: name, DataCentre: centre, Speed: 1, Incarnation: "1"}
	}
	s := New(member("entry-0", "centre-0"))
	for age := time.Duration(0); age < 10*time.Second; age += tick {
		now := start.Add(age)
		// The faster daemon is the reader; it can't read after the start, and the other hub reads all the time.
		lost := Report{Member: member("entry-1", "centre-1"), ReadAt: start, OwnReadAt: start}
		lost.Speed = 2
		s.Observe(lost, now)
		s.Observe(Report{Member: member("entry-2", "centre-2"), ReadAt: now, OwnReadAt: now}, now)
		reader, ok := s.Reader(now)
		hub := s.Hubs(now)["centre-1"]
		if !s.informed(hub, now) {
			t.Fatalf("after %v the hub has no recent read, and %s became the reader only now", age, reader.Name)
		}
		if ok && reader.Name == "entry-2" {
			return
		}
	}
	t.Error("the reader that can't read is not replaced")
}
