package relay

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lentilstage.dev/decide/assist"
	"lentilstage.dev/decide/hubs"
	"lentilstage.dev/domain/setup"
)

type (
	// links guards what the daemon knows of its links to endpoints and of the daemons that may help it. The decisions are
	// those of decide/assist.
	links struct {
		daemon *Daemon
		mutex  sync.Mutex
		state  assist.Links
		// helpers are the daemons that have answered a question lately, by name.
		helpers map[string]assist.Helper
		// phase is that of state, heardAt when an endpoint last sent a byte, in nanoseconds since the daemon's start.
		phase   atomic.Value
		heardAt atomic.Int64
		// failing is set while a connection to some endpoint fails to open.
		failing atomic.Bool
		// serving is the number of requests of other daemons that are being served, room the most.
		serving atomic.Int64
		room    int
		tests   sync.WaitGroup
	}

	// linkAnswer is a daemon's answer to a question about links.
	linkAnswer struct {
		// OpenedMS is the time since the daemon last opened a connection to an endpoint.
		OpenedMS int64 `cbor:"1,keyasint"`
		// ReachedMS holds that time for endpoints of the question, by short identifiers.
		ReachedMS map[uint32]int64 `cbor:"2,keyasint,omitempty"`
		// Room is the number of further requests of others that it takes over.
		Room int `cbor:"3,keyasint,omitempty"`
	}

	// linkQuestion asks a daemon what it reaches.
	linkQuestion struct {
		// Failing are the short identifiers of endpoints that the sender doesn't reach.
		Failing []uint32 `cbor:"1,keyasint,omitempty"`
	}
)

const (
	// linksInterval is the pause between looks at what is due.
	linksInterval = 100 * time.Millisecond
	// testTimeout limits a test of a link. Opening a connection takes milliseconds.
	testTimeout = 500 * time.Millisecond
	// askedDaemons is the number of daemons that are asked together: with three of five cut off, one of four
	// reaches the endpoints in all but one of eight cases.
	askedDaemons = 4
	// maxHelpers limits the helpers that are kept.
	maxHelpers = 64
	// maxAskedEndpoints limits the endpoints of a question that are answered.
	maxAskedEndpoints = 64
)

func newLinks(d *Daemon) *links {
	l := &links{daemon: d, state: assist.NewLinks(), helpers: map[string]assist.Helper{}, room: assist.Room(d.settings.Speed, d.gate.Limits())}
	l.phase.Store(assist.Sound)
	return l
}

// run tests links and asks other daemons when that is due, until the context ends.
func (l *links) run(ctx context.Context) error {
	defer l.tests.Wait()
	return every(ctx, linksInterval, func() {
		now, heardAt := l.daemon.clock.now(), l.daemon.startedAt.Add(time.Duration(l.heardAt.Load()))
		l.mutex.Lock()
		calm := l.state.Calm(now, heardAt)
		l.mutex.Unlock()
		if calm {
			return
		}
		addresses := l.daemon.tables.endpointAddresses()
		l.do(ctx, addresses, l.update(assist.Tick{
			Now: now, Endpoints: slices.Sorted(maps.Keys(addresses)), HeardAt: heardAt, Random: l.daemon.random,
		}))
	})
}

// update applies a message, logs a new phase and returns the other commands.
func (l *links) update(m assist.Message) []assist.Command {
	l.mutex.Lock()
	var commands []assist.Command
	l.state, commands = l.state.Update(m)
	phase := l.state.Phase()
	l.phase.Store(phase)
	l.failing.Store(l.state.FailingAny())
	l.mutex.Unlock()
	return slices.DeleteFunc(commands, func(c assist.Command) bool {
		changed, ok := c.(assist.Changed)
		if !ok {
			return false
		}
		d := l.daemon
		d.logger.WithName("links").Info("Links to endpoints changed.", "Phase", changed.Phase, "SinceMilliseconds", ageMS(changed.Since, d.clock.now()), "Failed", changed.Failed)
		d.meters.count("Links." + string(changed.Phase))
		if changed.Phase == assist.Lost {
			// They may hang, and each would cost a request that finds out.
			for _, address := range d.tables.endpointAddresses() {
				d.pool.closeIdle(address)
			}
		}
		return true
	})
}

// do carries out commands. addresses are those of the endpoints by identifier.
func (l *links) do(ctx context.Context, addresses map[string]string, commands []assist.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case assist.Test:
			for _, id := range c.IDs {
				l.tests.Go(func() { l.test(ctx, id, addresses[id]) })
			}
		case assist.Ask:
			l.ask(c.IDs)
		}
	}
}

// test opens a connection to an endpoint and keeps it for a request.
func (l *links) test(ctx context.Context, id, address string) {
	d := l.daemon
	d.meters.count("Links.Tests")
	call, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	began := d.clock.now()
	c, err := d.pool.dial(call, address)
	now := d.clock.now()
	if err != nil {
		l.update(assist.Failed{ID: id, Began: began, Now: now, Test: true})
		return
	}
	d.pool.put(c, nil)
	l.update(assist.Opened{ID: id, Now: now, Test: true})
}

// ask asks random daemons what they reach.
func (l *links) ask(ids []string) {
	d := l.daemon
	question := &linkQuestion{}
	for _, id := range ids {
		question.Failing = append(question.Failing, shortID(id))
	}
	reports := d.members.all()
	for n := range min(askedDaemons, len(reports)) {
		other := n + int(d.random()*float64(len(reports)-n))
		reports[n], reports[other] = reports[other], reports[n]
		d.gossip.send(message{AskLinks: question}, 0, target{reports[n].Name, reports[n].Address})
	}
}

// answer answers another daemon's question.
func (l *links) answer(q linkQuestion) *linkAnswer {
	d := l.daemon
	now := d.clock.now()
	asked := map[uint32]bool{}
	for _, id := range q.Failing[:min(len(q.Failing), maxAskedEndpoints)] {
		asked[id] = true
	}
	var ids []string
	for id := range d.tables.endpointAddresses() {
		if asked[shortID(id)] {
			ids = append(ids, id)
		}
	}
	l.update(assist.Questioned{IDs: ids, Now: now})
	l.mutex.Lock()
	openedAt, reached := l.state.OpenedAt(), l.state.Reached(ids)
	l.mutex.Unlock()
	a := &linkAnswer{OpenedMS: ageMS(openedAt, now), ReachedMS: map[uint32]int64{}}
	for id, at := range reached {
		a.ReachedMS[shortID(id)] = ageMS(at, now)
	}
	if l.judge(assist.Offer{Known: true, Config: d.tables.configVersion()}) == assist.None {
		a.Room = l.room - int(l.serving.Load())
	}
	return a
}

// hear takes up an answer.
func (l *links) hear(m message, now time.Time) {
	ids := map[uint32]string{}
	for id := range l.daemon.tables.endpointAddresses() {
		ids[shortID(id)] = id
	}
	evidence := assist.Evidence{OpenedAt: ago(m.LinkAnswer.OpenedMS, now), Reached: map[string]time.Time{}, Now: now}
	for short, age := range m.LinkAnswer.ReachedMS {
		if id, known := ids[short]; known {
			evidence.Reached[id] = ago(age, now)
		}
	}
	l.update(evidence)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	maps.DeleteFunc(l.helpers, func(_ string, h assist.Helper) bool { return now.Sub(h.HeardAt) > assist.HelperTTL })
	if _, known := l.helpers[m.Daemon]; m.Control == "" || !known && len(l.helpers) >= maxHelpers {
		return
	}
	l.helpers[m.Daemon] = assist.Helper{
		Name: m.Daemon, Address: m.Control, DataCentre: m.DataCentre, Config: m.Config, Room: m.LinkAnswer.Room, HeardAt: now,
	}
}

// choose draws a helper for a request and counts the request there.
func (l *links) choose(tried map[string]bool, config int64) (assist.Helper, bool) {
	d := l.daemon
	l.mutex.Lock()
	defer l.mutex.Unlock()
	list := make([]assist.Helper, 0, len(l.helpers))
	for _, name := range slices.Sorted(maps.Keys(l.helpers)) {
		list = append(list, l.helpers[name])
	}
	h, ok := assist.Choose(list, assist.Need{DataCentre: d.settings.DataCentre, Config: config, Tried: tried, Now: d.clock.now()}, d.random())
	if ok {
		h.Given++
		l.helpers[h.Name] = h
	}
	return h, ok
}

// drop forgets a helper that has declined a request, or can't be reached, until it answers a question again.
func (l *links) drop(name string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.helpers, name)
}

// judge decides whether this daemon takes a request of another one.
func (l *links) judge(o assist.Offer) assist.Reason {
	d := l.daemon
	return assist.Judge(o, assist.Server{
		Ready: d.tables.ready(), Draining: d.draining.Load(), Config: d.tables.configVersion(), Links: l.current(),
		Serving: int(l.serving.Load()), Room: l.room,
	})
}

// current returns what is known of the links as a whole.
func (l *links) current() assist.Phase { return l.phase.Load().(assist.Phase) }

// lost reports whether no endpoint can be reached from here and others reach some.
func (l *links) lost() bool { return l.current() == assist.Lost }

// doubted reports whether a failed attempt says nothing about its endpoint, since the link may have failed.
func (l *links) doubted() bool { return l.current() != assist.Sound }

// failingTo reports whether the last connection to an endpoint failed to open, and lostTo whether another daemon opens
// some there.
func (l *links) failingTo(id string, now time.Time) (failing, lostTo bool) {
	if !l.failing.Load() {
		return false, false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.Failing(id), l.state.LostTo(id, now)
}

// observeConnect records whether a connection to an endpoint, which was begun at a time, was opened.
func (l *links) observeConnect(id string, began time.Time, err error) {
	now := l.daemon.clock.now()
	switch {
	case err == nil:
		l.update(assist.Opened{ID: id, Now: now})
	case !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) && !errors.Is(err, syscall.EADDRNOTAVAIL):
		// The others are limits of this process.
		l.update(assist.Failed{ID: id, Began: began, Now: now})
	}
}

// heard records that an endpoint has sent a byte.
func (l *links) heard() { l.heardAt.Store(int64(l.daemon.age(l.daemon.clock.now()))) }

// endpointAddresses returns the addresses of the endpoints that may get requests, by identifier.
func (t *tables) endpointAddresses() map[string]string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	addresses := make(map[string]string, len(t.endpoints))
	for _, e := range t.endpoints {
		if e.State == setup.Ready {
			addresses[e.ID] = e.Address
		}
	}
	return addresses
}

// lostEndpoints reports whether other daemons reach an endpoint of the service to which connections fail here.
func (t *tables) lostEndpoints(service string, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.ContainsFunc(t.endpoints, func(e setup.Endpoint) bool {
		if e.Service != service || !t.available(e) {
			return false
		}
		_, lostTo := t.failingTo(e.ID, now)
		return lostTo
	})
}

// knows reports whether a process of a daemon is known at an address, of the form host:port.
func (m *members) knows(daemon, incarnation, host string) (known bool) {
	m.use(func(s *hubs.State) {
		r, ok := s.Member(daemon)
		known = ok && r.Incarnation == incarnation && hostOf(r.Address) == host
	})
	return known
}
