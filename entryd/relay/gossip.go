package relay

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/roster"
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
)

const (
	// digestInterval is the pause between digests of up to digestDaemons; with more daemons
	// it grows with their number, so that a hub's work does not.
	digestInterval = 100 * time.Millisecond
	digestDaemons  = 40
	maxDatagram    = 60 << 10
	// maxPassedOn bounds the operators' records in a datagram.
	maxPassedOn = 48 << 10
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
		Incarnation: m.Incarnation, config: m.Config, holds: m.Fence > 0, readAt: now.Add(-m.readAge()),
	}
	if d.members.heard(sender, now) {
		d.logger.WithName("gossip").Info("Daemon heard.", "Daemon", m.Daemon, "Address", from, "Incarnation", m.Incarnation)
	}
	d.clock.heard(m.Daemon, time.UnixMilli(m.TimeMS))
	if m.Fence > 0 {
		d.duty.heard(m.Fence)
	}
	d.feed.toldOf(m.Config, now)
	d.feed.readElsewhere(now.Add(-m.readAge()))
	switch {
	case m.Totals != nil:
		g.takeTotals(m, now)
	case len(m.Operators) > 0:
		g.takeOperators(m)
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
	d.feed.heard(*m.Totals, m.readAge(), now)
	// A daemon whose own reads failed makes none while its hub's are fresh: what the hub finds to be
	// gone must count here too.
	if d.feed.fresh(Endpoints, now) && d.tables.lost() {
		d.endpointsUp(true)
		d.logger.WithName("store").Info("Reachable for the hub.", "Stream", Endpoints, "Hub", hub.Name)
	}
	if d.feed.fresh(Operators, now) {
		d.storeLost.Store(false)
	}
}

// takeOperators takes in records of the operators that a hub has read.
func (g *gossip) takeOperators(m message) {
	for _, r := range m.Operators {
		g.daemon.takeOperator(r)
	}
	g.daemon.feed.passedOn(m.OperatorsFrom, m.OperatorsNext)
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
	d.members.setOwn(d.duty.fence() > 0, now.Add(-d.feed.readAge(now)))
	hub, own := d.members.follow(now)
	if own {
		d.tables.leaveHub(d.members.names(), now)
	}
	g.greet(now)
	digest := d.tables.digest(now)
	digest.Digest, digest.Prefixes = true, d.tables.ownPrefixes()
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
	prefixes := d.tables.prefixNews()
	followers := d.tables.followers(now)
	if len(followers) == 0 {
		return
	}
	t := totals{Daemons: d.members.count(), Silent: d.tables.silent(now)}
	d.feed.fill(&t, now)
	t.Roster = d.tables.rosterHash(now)
	sums := d.tables.sums(now, d.age(now) < youngAge)
	for _, k := range d.members.heardSince(now.Add(-followLasts)) {
		if !followers[k.Name] {
			continue
		}
		m := sums.without(k.Name)
		g.sign(&m)
		m.Totals, m.Prefixes = &t, prefixes
		g.send(m, k.Address)
	}
}

// sendNews tells changes of endpoints to those that follow this daemon.
func (g *gossip) sendNews(changes []roster.Change) {
	g.sendFollowers(func() message { return g.daemon.tables.news(changes) })
}

// sendOperators passes records of the operators on to those that follow this daemon. What does not fit
// into a datagram they read themselves.
func (g *gossip) sendOperators(from, next int64, records []Record) {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	if size == 0 || size > maxPassedOn {
		return
	}
	g.sendFollowers(func() message { return message{Operators: records, OperatorsFrom: from, OperatorsNext: next} })
}

// sendFollowers sends a message to the daemons that follow this one, if there are any.
func (g *gossip) sendFollowers(build func() message) {
	d := g.daemon
	if g.conn.Load() == nil {
		return
	}
	now := d.clock.now()
	followers := d.tables.followers(now)
	if len(followers) == 0 {
		return
	}
	m := build()
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
	now := d.clock.now()
	m.AgeMS = d.age(now).Milliseconds()
	m.ReadAgeMS = d.feed.readAge(now).Milliseconds()
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
