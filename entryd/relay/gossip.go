package relay

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/quota"
	"lentilstage.dev/decide/roster"
	"lentilstage.dev/decide/usage"
)

type (
	// gossip exchanges messages with the other daemons in datagrams: each daemon greets
	// all others and tells the hubs its digest, and a hub tells those that follow it the totals of all others.
	gossip struct {
		daemon *Daemon
		conn   atomic.Pointer[net.UDPConn]
		sentAt time.Time
		// greetedAt is when the others were last greeted.
		greetedAt time.Time
	}

	// message is a datagram. Numbers stand for names to keep it small.
	message struct {
		Daemon      string  `cbor:"1,keyasint"`
		Incarnation string  `cbor:"2,keyasint"`
		Control     string  `cbor:"3,keyasint,omitempty"`
		DataCentre  string  `cbor:"4,keyasint"`
		Speed       float64 `cbor:"5,keyasint"`
		Config      int64   `cbor:"6,keyasint,omitempty"`
		TimeMS      int64   `cbor:"7,keyasint"`
		// Digest says that the message is a digest; a greeting has nothing else.
		Digest bool `cbor:"18,keyasint,omitempty"`
		// Loads and Used are the sender's own in a digest; those of all daemons but the
		// receiver in totals.
		Loads map[uint32]load  `cbor:"8,keyasint,omitempty"`
		Used  map[string]int64 `cbor:"9,keyasint,omitempty"`
		// Outcomes are those of the services in a roll-out.
		Outcomes map[string]outcomes `cbor:"21,keyasint,omitempty"`
		// Recent is the part of Used by processes that have just started, AgeMS the time since the
		// sender's start.
		Recent map[string]int64 `cbor:"19,keyasint,omitempty"`
		AgeMS  int64            `cbor:"20,keyasint"`
		// Counts are the sender's requests of each account by window.
		Counts map[int64]map[string]int64 `cbor:"10,keyasint,omitempty"`
		// Fence is that of the duty if the daemon holds it.
		Fence int64 `cbor:"11,keyasint,omitempty"`
		// Follow asks the receiver for totals.
		Follow bool    `cbor:"12,keyasint,omitempty"`
		Totals *totals `cbor:"13,keyasint,omitempty"`
		// Put and Gone are changes of endpoints, for those that follow.
		Put  []Record `cbor:"14,keyasint,omitempty"`
		Gone []Record `cbor:"15,keyasint,omitempty"`
		// Work is the engine time of what the sender has placed, in milliseconds by service.
		Work map[string]int64 `cbor:"16,keyasint,omitempty"`
	}

	// outcomes are the answers of the new version in a roll-out that a daemon has got.
	outcomes struct {
		Target string `cbor:"1,keyasint"`
		Good   int64  `cbor:"2,keyasint"`
		Bad    int64  `cbor:"3,keyasint"`
	}

	// totals are what a hub tells of all daemons.
	totals struct {
		Daemons int `cbor:"1,keyasint"`
		// OperatorsAgeMS and EndpointsAgeMS are the times since the hub's last read of the
		// streams' ends.
		OperatorsAgeMS int64 `cbor:"3,keyasint"`
		EndpointsAgeMS int64 `cbor:"4,keyasint"`
		// EndpointsNext is the offset after the last record that the hub has read, Roster the
		// hash of the endpoints by then.
		EndpointsNext int64  `cbor:"5,keyasint"`
		Roster        uint64 `cbor:"6,keyasint"`
	}

	// load is an endpoint's load by one or more daemons.
	load struct {
		_        struct{} `cbor:",toarray"`
		Requests int
		Reading  int
		Memory   int
	}
)

const (
	// digestInterval is the pause between digests of up to digestDaemons; with more daemons
	// it grows with their number, so that a hub's work does not.
	digestInterval = 100 * time.Millisecond
	digestDaemons  = 40
	maxDatagram    = 60 << 10
	// usedWindows is the number of usage windows in a digest.
	usedWindows = 4
	// followLasts is how long a daemon that follows is told without asking again.
	followLasts = 2 * time.Second
	// hubName is the name under which the totals of the own hub stand among the peers.
	hubName = "hub"
	// youngAge is the age up to which all that a process has used is recent: allowances are
	// judged over spans of about this length.
	youngAge = 10 * time.Second
)

func newGossip(d *Daemon) *gossip { return &gossip{daemon: d} }

// run exchanges messages until the context ends.
func (g *gossip) run(ctx context.Context) error {
	if g.daemon.settings.PeerListen == "" {
		return nil
	}
	address, err := net.ResolveUDPAddr("udp4", g.daemon.settings.PeerListen)
	if err != nil {
		return eris.Wrap(err, "address of digests")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return eris.Wrap(err, "listen for digests")
	}
	g.conn.Store(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.receive(ctx, conn)
	}()
	err = every(ctx, digestInterval, g.tick)
	<-done
	return err
}

// receive takes in messages until the connection is closed.
func (g *gossip) receive(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.daemon.logger.WithName("gossip").Info("Receive failed.", "Error", err.Error())
			pause(ctx, digestInterval)
			continue
		}
		var m message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil || m.Daemon == "" {
			g.daemon.meters.count("Digests.Malformed")
			continue
		}
		g.take(m, from.String())
	}
}

// take takes in a message.
func (g *gossip) take(m message, from string) {
	d := g.daemon
	if m.Daemon == d.settings.Name {
		return
	}
	now := d.clock.now()
	sender := member{
		Name: m.Daemon, Address: from, Control: m.Control, DataCentre: m.DataCentre, Speed: m.Speed,
		Incarnation: m.Incarnation, config: m.Config,
	}
	if d.members.heard(sender, now) {
		d.logger.WithName("gossip").Info("Daemon heard.", "Daemon", m.Daemon, "Address", from, "Incarnation", m.Incarnation)
	}
	d.clock.heard(m.Daemon, time.UnixMilli(m.TimeMS))
	if m.Fence > 0 {
		d.duty.heard(m.Fence)
	}
	d.noteConfig(m.Config)
	switch {
	case m.Totals != nil:
		g.takeTotals(m, now)
	case len(m.Put)+len(m.Gone) > 0:
		g.takeNews(m, now)
	case m.Digest:
		d.tables.heard(m, now)
	}
}

// takeTotals takes in what the own hub tells of all other daemons.
func (g *gossip) takeTotals(m message, now time.Time) {
	d := g.daemon
	hub, own := d.members.follow(now)
	if own || hub.Name != m.Daemon {
		return
	}
	d.tables.heardTotals(m, now)
	d.feed.heard(*m.Totals, now)
}

// takeNews takes in changes of endpoints.
func (g *gossip) takeNews(m message, now time.Time) {
	d := g.daemon
	if _, own := d.members.follow(now); own {
		return
	}
	for _, r := range m.Put {
		d.takeEndpoint(r)
	}
	for _, r := range m.Gone {
		d.logChanges(d.tables.gone(r))
	}
}

// tick tells the hubs the own digest, and those that follow this daemon the totals.
func (g *gossip) tick() {
	d := g.daemon
	now := d.clock.now()
	interval := digestInterval * time.Duration(max(1, d.members.count()/digestDaemons))
	if now.Sub(g.sentAt) < interval-digestInterval/2 {
		return
	}
	g.sentAt = now
	hub, own := d.members.follow(now)
	if own {
		d.tables.leaveHub(now)
	}
	g.greet(now)
	digest := d.tables.digest()
	digest.Digest = true
	g.sign(&digest)
	for _, h := range d.members.hubs(now) {
		if h.Name == d.settings.Name {
			continue
		}
		digest.Follow = !own && h.Name == hub.Name
		g.send(digest, h.Address)
	}
	g.sendTotals(now)
}

// greet tells all daemons that this one lives.
func (g *gossip) greet(now time.Time) {
	addresses, interval := g.daemon.members.greeted()
	if now.Sub(g.greetedAt) < interval-digestInterval/2 {
		return
	}
	g.greetedAt = now
	var greeting message
	g.sign(&greeting)
	for _, address := range addresses {
		g.send(greeting, address)
	}
}

// sendTotals tells the daemons that follow this one.
func (g *gossip) sendTotals(now time.Time) {
	d := g.daemon
	followers := d.tables.followers(now)
	if len(followers) == 0 {
		return
	}
	t := totals{Daemons: d.members.count()}
	d.feed.fill(&t, now)
	t.Roster = d.tables.rosterHash(now)
	sums := d.tables.sums(now, d.age(now) < youngAge)
	for _, k := range d.members.heardSince(now.Add(-followLasts)) {
		if !followers[k.Name] {
			continue
		}
		m := sums.without(k.Name)
		g.sign(&m)
		m.Totals = &t
		g.send(m, k.Address)
	}
}

// sendNews tells changes of endpoints to those that follow this daemon.
func (g *gossip) sendNews(changes []roster.Change) {
	d := g.daemon
	if g.conn.Load() == nil {
		return
	}
	now := d.clock.now()
	followers := d.tables.followers(now)
	if len(followers) == 0 {
		return
	}
	m := d.tables.news(changes)
	g.sign(&m)
	for _, k := range d.members.heardSince(now.Add(-followLasts)) {
		if followers[k.Name] {
			g.send(m, k.Address)
		}
	}
}

// sign fills in who sends a message.
func (g *gossip) sign(m *message) {
	d := g.daemon
	m.Daemon, m.Incarnation, m.Control = d.settings.Name, d.incarnation, d.settings.ControlListen
	m.DataCentre, m.Speed = d.settings.DataCentre, d.settings.Speed
	m.TimeMS = d.clock.ownTime().UnixMilli()
	m.AgeMS = d.age(d.clock.now()).Milliseconds()
	m.Fence = d.duty.fence()
	m.Config = d.tables.version()
}

func (g *gossip) send(m message, address string) {
	data, err := cbor.Marshal(m)
	if err != nil {
		g.daemon.logger.WithName("gossip").Error(err, "Message can't be encoded.")
		return
	}
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		g.daemon.logger.WithName("gossip").Info("Address can't be used.", "Address", address, "Error", err.Error())
		return
	}
	// A datagram that can't be sent is as good as lost; the next message repeats it.
	_, _ = g.conn.Load().WriteToUDP(data, udp)
	g.daemon.meters.count("Digests.Sent")
}

// digest returns what this daemon tells of itself.
func (t *tables) digest() message {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	m := message{Loads: map[uint32]load{}, Used: map[string]int64{}, Counts: map[int64]map[string]int64{}}
	for id, own := range t.own {
		m.Loads[shortID(id)] = load{Requests: own.Requests, Reading: int(own.Reading), Memory: int(own.Memory)}
	}
	for account, used := range t.quota.Used() {
		m.Used[account] = int64(used)
	}
	m.Work = map[string]int64{}
	for service, work := range t.work {
		m.Work[service] = int64(work)
	}
	m.Outcomes = map[string]outcomes{}
	for service, r := range t.rollouts {
		m.Outcomes[service] = outcomes{Target: r.order.Target, Good: r.good, Bad: r.bad}
	}
	newest := int64(0)
	own := t.usage.Own()
	for window := range own {
		newest = max(newest, window)
	}
	for window, counts := range own {
		if window > newest-usedWindows {
			m.Counts[window] = counts
		}
	}
	return m
}

// heard takes in a daemon's digest.
func (t *tables) heard(m message, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p, known := t.peers[m.Daemon]
	if known && p.incarnation != m.Incarnation {
		t.keepUsed(p)
	}
	if m.Follow {
		p.followUntil = now.Add(followLasts)
	}
	recent := map[string]float64{}
	if p.young = m.AgeMS < youngAge.Milliseconds(); p.young {
		recent = amounts(m.Used)
	}
	p.heardAt, p.incarnation, p.loads, p.used, p.work, p.outcomes = now, m.Incarnation, m.Loads, m.Used, m.Work, m.Outcomes
	t.peers[m.Daemon] = p
	counts := make(map[int64]usage.Counts, len(m.Counts))
	for window, c := range m.Counts {
		counts[window] = c
	}
	t.usage.Heard(m.Daemon, m.Incarnation, counts)
	if !t.followsHub {
		t.quota.Update(quota.Heard{
			Daemon: m.Daemon, Incarnation: m.Incarnation, Used: amounts(m.Used), Recent: recent, Daemons: 1, Now: now,
		})
	}
}

// keepUsed adds what an ended process had used and placed to the sums, which must not fall.
func (t *tables) keepUsed(p peerLoads) {
	for service, work := range p.work {
		t.pastWork[service] += float64(work)
	}
	for account, used := range p.used {
		t.pastUsed[account] += used
	}
}

// heardTotals takes in what the own hub tells of all other daemons.
func (t *tables) heardTotals(m message, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.followsHub || t.hub != m.Daemon {
		t.followsHub, t.hub = true, m.Daemon
		t.quota.Update(quota.Reset{Now: now})
	}
	t.hubLoads = peerLoads{heardAt: now, loads: m.Loads, outcomes: m.Outcomes}
	t.quota.Update(quota.Heard{
		Daemon: hubName, Incarnation: m.Daemon + m.Incarnation, Used: amounts(m.Used), Recent: amounts(m.Recent),
		Daemons: max(m.Totals.Daemons-1, 1), Now: now,
	})
}

// leaveHub turns to the digests of all daemons, since this daemon is its own hub.
func (t *tables) leaveHub(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.followsHub {
		return
	}
	t.followsHub, t.hub = false, ""
	t.hubLoads = peerLoads{}
	t.quota.Update(quota.Reset{Now: now})
}

// expect counts a daemon that is known from the log among those that share allowances.
func (t *tables) expect(daemon string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.followsHub {
		t.quota.Update(quota.Listed{Daemon: daemon, Now: now})
	}
}

// hubFollowed reports whether another daemon is the own hub.
func (t *tables) hubFollowed() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.followsHub
}

// followers returns the daemons that asked for totals lately.
func (t *tables) followers(now time.Time) map[string]bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	names := map[string]bool{}
	for name, p := range t.peers {
		if now.Before(p.followUntil) {
			names[name] = true
		}
	}
	return names
}

// forget drops what a daemon that is gone has told, but for its counts.
func (t *tables) forget(daemon string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.keepUsed(t.peers[daemon])
	delete(t.peers, daemon)
	t.quota.Update(quota.Forgotten{Daemon: daemon, Now: now})
}

// sums are the loads and uses of all daemons with those of each.
type sums struct {
	loads  map[uint32]load
	used   map[string]int64
	recent map[string]int64
	// outcomes are those of all daemons: a daemon that follows counts its own twice, which
	// stops a bad version no later.
	outcomes map[string]outcomes
	peers    map[string]peerLoads
}

// sums returns the loads and uses of all daemons, this one included, which may be young.
func (t *tables) sums(now time.Time, young bool) sums {
	own := t.digest()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := sums{
		loads: own.Loads, used: own.Used, recent: map[string]int64{}, outcomes: own.Outcomes, peers: map[string]peerLoads{},
	}
	if young {
		s.recent = maps.Clone(own.Used)
	}
	for account, used := range t.pastUsed {
		s.used[account] += used
	}
	for name, p := range t.peers {
		s.peers[name] = p
		for service, o := range p.outcomes {
			sum := s.outcomes[service]
			if sum.Target == "" || sum.Target == o.Target {
				s.outcomes[service] = outcomes{Target: o.Target, Good: sum.Good + o.Good, Bad: sum.Bad + o.Bad}
			}
		}
		for account, used := range p.used {
			s.used[account] += used
			if p.young {
				s.recent[account] += used
			}
		}
		if now.Sub(p.heardAt) > loadsLast {
			continue
		}
		for id, l := range p.loads {
			sum := s.loads[id]
			s.loads[id] = load{Requests: sum.Requests + l.Requests, Reading: sum.Reading + l.Reading, Memory: sum.Memory + l.Memory}
		}
	}
	return s
}

// without returns the sums without the part of one daemon.
func (s sums) without(daemon string) message {
	p := s.peers[daemon]
	m := message{Loads: maps.Clone(s.loads), Used: maps.Clone(s.used), Recent: maps.Clone(s.recent), Outcomes: s.outcomes}
	for account, used := range p.used {
		m.Used[account] -= used
		if p.young {
			m.Recent[account] -= used
		}
	}
	for id, l := range p.loads {
		sum := m.Loads[id]
		rest := load{Requests: sum.Requests - l.Requests, Reading: sum.Reading - l.Reading, Memory: sum.Memory - l.Memory}
		if rest.Requests <= 0 {
			delete(m.Loads, id)
			continue
		}
		m.Loads[id] = rest
	}
	return m
}

// loadOf returns a load as the choice needs it.
func (l load) loadOf() choice.Load {
	return choice.Load{Requests: l.Requests, Reading: float64(l.Reading), Memory: float64(l.Memory)}
}

func amounts(used map[string]int64) map[string]float64 {
	amounts := make(map[string]float64, len(used))
	for account, amount := range used {
		amounts[account] = float64(amount)
	}
	return amounts
}

// shortID stands for an endpoint or a daemon in messages. Two with the same one would share
// their loads, which is harmless.
func shortID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }
