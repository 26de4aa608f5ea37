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
	// gossip exchanges datagrams with the other daemons. Each daemon sends heartbeats to all others
	// and its digest to the hubs. A hub sends each follower the totals over all daemons but the
	// follower.
	gossip struct {
		daemon *Daemon
		conn   atomic.Pointer[net.UDPConn]
		sentAt time.Time
		// heartbeatAt is the time of the last heartbeats.
		heartbeatAt time.Time
	}
)

const (
	// digestInterval is the pause between digests of up to digestBaseDaemons daemons. With more
	// daemons it grows with their number, so that a hub's load does not.
	digestInterval    = 100 * time.Millisecond
	digestBaseDaemons = 40
	maxDatagramBytes  = 60 << 10
	// maxForwardedBytes limits the operators' records in a datagram.
	maxForwardedBytes = 48 << 10
	// digestWindows is the number of usage windows in a digest.
	digestWindows = 4
	// followTTL is how long a follower receives totals without a new request.
	followTTL = 2 * time.Second
	// hubName is the quota key of the totals that come from the hub.
	hubName = "hub"
	// startupAge is the age up to which all usage of a process counts as recent: allowances apply to
	// spans of about this length.
	startupAge = 10 * time.Second
)

func newGossip(d *Daemon) *gossip { return &gossip{daemon: d} }

// run exchanges messages until the context ends.
func (g *gossip) run(ctx context.Context) error {
	if g.daemon.settings.PeerListen == "" {
		return nil
	}
	address, err := net.ResolveUDPAddr("udp4", g.daemon.settings.PeerListen)
	if err != nil {
		return eris.Wrap(err, "resolve the peer address")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	g.conn.Store(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.receive(ctx, conn)
	}()
	err = every(ctx, digestInterval, g.sendDigests)
	<-done
	return err
}

// receive handles messages until the connection is closed.
func (g *gossip) receive(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.daemon.logger.WithName("gossip").Info("Receive failed.", "Error", err.Error())
			sleep(ctx, digestInterval)
			continue
		}
		var m message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil || m.Daemon == "" {
			g.daemon.meters.count("Digests.Malformed")
			continue
		}
		g.handle(m, from.String())
	}
}

// handle applies a message to the daemon's state.
func (g *gossip) handle(m message, from string) {
	d := g.daemon
	if m.Daemon == d.settings.Name {
		return
	}
	now := d.clock.now()
	sender := member{
		Name: m.Daemon, Address: from, Control: m.Control, DataCentre: m.DataCentre, Speed: m.Speed,
		Incarnation: m.Incarnation, config: m.Config, holdsLease: m.Fence > 0, readAt: now.Add(-m.readAge()),
	}
	if d.members.observe(sender, now) {
		d.logger.WithName("gossip").Info("Daemon process discovered.", "Daemon", m.Daemon, "Address", from, "Incarnation", m.Incarnation)
	}
	d.clock.observe(m.Daemon, time.UnixMilli(m.TimeMS))
	if m.Fence > 0 {
		d.leader.observe(m.Fence)
	}
	d.freshness.recordVersion(m.Config, now)
	d.freshness.recordPeerRead(now.Add(-m.readAge()))
	switch {
	case m.Totals != nil:
		g.handleTotals(m, now)
	case len(m.Operators) > 0:
		g.handleOperators(m)
	case len(m.Put)+len(m.Gone) > 0:
		g.handleChanges(m, now)
	case m.Digest:
		d.tables.observe(m, now)
	}
}

// handleTotals applies the totals of this daemon's hub.
func (g *gossip) handleTotals(m message, now time.Time) {
	d := g.daemon
	hub, isHub := d.members.currentHub(now)
	if isHub || hub.Name != m.Daemon {
		return
	}
	d.tables.applyTotals(m, now)
	d.freshness.applyHubTotals(*m.Totals, m.readAge(), now)
	// A daemon whose reads failed makes none while its hub's are fresh. It must then also drop the
	// endpoints that the hub finds gone.
	if d.freshness.hubFresh(Endpoints, now) && d.tables.unreachable() {
		d.setEndpointsReachable(true)
		d.logger.WithName("store").Info("Reachable through the hub.", "Stream", Endpoints, "Hub", hub.Name)
	}
	if d.freshness.hubFresh(Operators, now) {
		d.operatorsUnreachable.Store(false)
	}
}

// handleOperators applies operators' records that a hub has forwarded.
func (g *gossip) handleOperators(m message) {
	for _, r := range m.Operators {
		g.daemon.applyOperatorRecord(r)
	}
	g.daemon.freshness.recordForwarded(m.OperatorsFrom, m.OperatorsNext)
}

// handleChanges applies changes of endpoints.
func (g *gossip) handleChanges(m message, now time.Time) {
	d := g.daemon
	if _, isHub := d.members.currentHub(now); isHub {
		return
	}
	for _, r := range m.Put {
		d.applyEndpointRecord(r)
	}
	for _, r := range m.Gone {
		d.logChanges(d.tables.removeGone(r))
	}
}

// sendDigests sends this daemon's digest to the hubs, and totals to its followers.
func (g *gossip) sendDigests() {
	d := g.daemon
	now := d.clock.now()
	interval := digestInterval * time.Duration(max(1, d.members.count()/digestBaseDaemons))
	if now.Sub(g.sentAt) < interval-digestInterval/2 {
		return
	}
	g.sentAt = now
	d.members.updateSelf(d.leader.fence() > 0, now.Add(-d.freshness.ownReadAge(now)))
	hub, isHub := d.members.currentHub(now)
	if isHub {
		d.tables.becomeHub(d.members.names(), now)
	}
	g.sendHeartbeats(now)
	digest := d.tables.digest(now)
	digest.Digest, digest.Prefixes = true, d.tables.drainOwnPrefixes()
	g.addSender(&digest)
	for _, h := range d.members.hubs(now) {
		if h.Name == d.settings.Name {
			continue
		}
		digest.Follow = !isHub && h.Name == hub.Name
		g.send(digest, h.Address)
	}
	g.sendTotals(now)
}

// sendHeartbeats sends a heartbeat to all daemons.
func (g *gossip) sendHeartbeats(now time.Time) {
	addresses, interval := g.daemon.members.heartbeatTargets()
	if now.Sub(g.heartbeatAt) < interval-digestInterval/2 {
		return
	}
	g.heartbeatAt = now
	var heartbeat message
	g.addSender(&heartbeat)
	for _, address := range addresses {
		g.send(heartbeat, address)
	}
}

// sendTotals sends each follower of this daemon the totals over all other daemons.
func (g *gossip) sendTotals(now time.Time) {
	d := g.daemon
	prefixes := d.tables.drainAllPrefixes()
	followers := d.tables.followers(now)
	if len(followers) == 0 {
		return
	}
	t := totals{Daemons: d.members.count(), Silent: d.tables.silentDaemons(now)}
	d.freshness.fillTotals(&t, now)
	t.Roster = d.tables.rosterHash(now)
	clusterTotals := d.tables.clusterTotals(now, d.age(now) < startupAge)
	for _, k := range d.members.activeSince(now.Add(-followTTL)) {
		if !followers[k.Name] {
			continue
		}
		m := clusterTotals.excluding(k.Name)
		g.addSender(&m)
		m.Totals, m.Prefixes = &t, prefixes
		g.send(m, k.Address)
	}
}

// sendChanges sends changes of endpoints to this daemon's followers.
func (g *gossip) sendChanges(changes []roster.Change) {
	g.sendToFollowers(func() message { return g.daemon.tables.changesMessage(changes) })
}

// sendOperators forwards operators' records to this daemon's followers. Followers read records that
// don't fit into a datagram themselves.
func (g *gossip) sendOperators(from, next int64, records []Record) {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	if size == 0 || size > maxForwardedBytes {
		return
	}
	g.sendToFollowers(func() message { return message{Operators: records, OperatorsFrom: from, OperatorsNext: next} })
}

// sendToFollowers sends a message to this daemon's followers. It builds the message only if there are
// any.
func (g *gossip) sendToFollowers(build func() message) {
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
	g.addSender(&m)
	for _, k := range d.members.activeSince(now.Add(-followTTL)) {
		if followers[k.Name] {
			g.send(m, k.Address)
		}
	}
}

// addSender sets the fields that describe the sender.
func (g *gossip) addSender(m *message) {
	d := g.daemon
	m.Daemon, m.Incarnation, m.Control = d.settings.Name, d.incarnation, d.settings.ControlListen
	m.DataCentre, m.Speed = d.settings.DataCentre, d.settings.Speed
	m.TimeMS = d.clock.localNow().UnixMilli()
	now := d.clock.now()
	m.AgeMS = d.age(now).Milliseconds()
	m.ReadAgeMS = d.freshness.ownReadAge(now).Milliseconds()
	m.Fence = d.leader.fence()
	m.Config = d.tables.configVersion()
}

func (g *gossip) send(m message, address string) {
	data, err := cbor.Marshal(m)
	if err != nil {
		g.daemon.logger.WithName("gossip").Error(err, "Message can't be encoded.")
		return
	}
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		g.daemon.logger.WithName("gossip").Info("Peer address invalid.", "Address", address, "Error", err.Error())
		return
	}
	// A datagram that can't be sent counts as lost; the next message repeats it.
	_, _ = g.conn.Load().WriteToUDP(data, udp)
	g.daemon.meters.count("Digests.Sent")
}
