package relay

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/hubs"
	"lentilstage.dev/decide/intake"
	"lentilstage.dev/decide/roster"
	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
)

type (
	// gossip exchanges datagrams with the other daemons. A follower sends its digest to its hub. A hub
	// sends its followers the totals over all daemons, and the other hubs the sums over its own data
	// centre. Every daemon also introduces itself to a random one in each interval.
	gossip struct {
		daemon *Daemon
		conn   atomic.Pointer[net.UDPConn]
		// sequence is the number of the last digest. It starts at the time of day, so that an
		// acknowledgement of an earlier process has no effect.
		sequence int64
		// hub and reader are the names that were last logged.
		hub, reader string
		// senders bounds the datagrams that are decoded. strangers holds the size of the last datagram of each daemon
		// that no record names; receive alone uses both.
		senders   *intake.Senders
		strangers map[string]int
		// countsAt is when the counts of all usage windows were last sent.
		countsAt time.Time
		// flushes has an element for each call of flush. Its channel is closed once the messages are sent.
		flushes chan chan struct{}
	}

	// datagram is an encoded message with room for an acknowledgement, so that one encoding serves
	// all receivers.
	datagram []byte
)

const (
	maxDatagramBytes = 60 << 10
	// acknowledgementBytes is the length of the acknowledged sequence number before the message.
	acknowledgementBytes = 8
	// minCompressedBytes is the size from which messages with records are compressed; it fits into one packet.
	// When a fleet is replaced, a hub sends each of its followers dozens of records at once: uncompressed
	// they fill a link of 20 Mbit/s for seconds, and datagrams are lost.
	minCompressedBytes = 1200
	// compressedMark precedes a compressed message. No CBOR value begins with it.
	compressedMark = 0xff
	// maxMessageBytes limits a decompressed message. The largest have maxForwardedBytes of records, or
	// maxChangesPerMessage endpoints.
	maxMessageBytes = 256 << 10
	// maxElements limits the elements of a list or a map in a message, maxNesting the depth: a short message of many
	// empty elements takes much more memory once it is decoded.
	maxElements = 8192
	maxNesting  = 12
	// maxReferrals limits the referrals in a message. A hub refers to those of the other data centres and its standbys.
	maxReferrals = 64
	// maxStrangerBytes limits the messages that are kept of daemons that no record names. Decoded, they take about ten
	// times as much.
	maxStrangerBytes = 2 << 20
	// maxForwardedBytes limits the operators' records in a datagram.
	maxForwardedBytes = 48 << 10
	// maxChangesPerMessage limits the endpoints in a message; a record has some hundred bytes.
	maxChangesPerMessage = 60
	// digestWindows is the number of usage windows in a digest.
	digestWindows = 4
	// followTTL is how long a follower receives totals without a new request.
	followTTL = 2 * time.Second
	// flushTimeout limits the wait for messages that are sent outside the interval.
	flushTimeout = 100 * time.Millisecond
	// receiveRetryDelay is the pause after a failed receive.
	receiveRetryDelay = 100 * time.Millisecond
	// hubName is the quota key of the totals that come from the hub.
	hubName = "hub"
	// startupAge is the age up to which all usage of a process counts as recent: allowances apply to
	// spans of about this length.
	startupAge = 10 * time.Second
)

// decoding bounds what decoding a message takes.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func newGossip(d *Daemon) *gossip {
	return &gossip{
		daemon: d, sequence: d.clock.localNow().UnixMilli(), flushes: make(chan chan struct{}),
		senders: intake.NewSenders(d.clock.now()), strangers: map[string]int{},
	}
}

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
	for ctx.Err() == nil {
		next := g.daemon.clock.now().Add(g.daemon.members.interval())
		g.sendAll()
		g.waitUntil(ctx, next)
	}
	<-done
	return nil
}

// waitUntil waits until a time or the end of the context, and meanwhile sends messages when they are flushed.
func (g *gossip) waitUntil(ctx context.Context, next time.Time) {
	timer := time.NewTimer(next.Sub(g.daemon.clock.now()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case sent := <-g.flushes:
			g.sendAll()
			close(sent)
		}
	}
}

// flush sends the messages of an interval at once. It gives up after flushTimeout.
func (g *gossip) flush() {
	if g.conn.Load() == nil {
		return
	}
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	sent := make(chan struct{})
	select {
	case g.flushes <- sent:
	case <-timer.C:
		return
	}
	select {
	case <-sent:
	case <-timer.C:
	}
}

// receive handles messages until the connection is closed.
func (g *gossip) receive(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.daemon.logger.WithName("gossip").Info("Receive failed.", "Error", err.Error())
			sleep(ctx, receiveRetryDelay)
			continue
		}
		now := g.daemon.clock.now()
		sender := from.String()
		if !g.senders.Admit(sender, n, now) {
			g.daemon.meters.count("Digests.OverRate")
			continue
		}
		m, acknowledged, err := decodeDatagram(buffer[:n])
		if err != nil {
			g.daemon.meters.count("Digests.Malformed")
			continue
		}
		if !g.admitDaemon(m, n) {
			g.daemon.meters.count("Digests.Strangers")
			continue
		}
		g.senders.Accept(sender, now)
		g.handle(m, acknowledged, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String())
	}
}

// admitDaemon reports whether there is room for the message of a daemon. Only those that no record names are bounded.
func (g *gossip) admitDaemon(m message, size int) bool {
	admitted, isListed := false, false
	g.daemon.members.use(func(s *hubs.State) {
		admitted, isListed = s.Admits(hubs.Member{Name: m.Daemon, Incarnation: m.Incarnation, DataCentre: m.DataCentre}), s.IsListed(m.Daemon)
	})
	if !admitted || isListed {
		return admitted
	}
	sum := size
	for name, bytes := range g.strangers {
		if name != m.Daemon {
			sum += bytes
		}
	}
	if sum > maxStrangerBytes {
		g.daemon.members.use(func(s *hubs.State) {
			for name, bytes := range g.strangers {
				if _, known := s.Member(name); name != m.Daemon && (!known || s.IsListed(name)) {
					delete(g.strangers, name)
					sum -= bytes
				}
			}
		})
	}
	if sum > maxStrangerBytes {
		return false
	}
	g.strangers[m.Daemon] = size
	return true
}

// decodeDatagram returns the message in a datagram and the sequence number that it acknowledges.
func decodeDatagram(data []byte) (message, int64, error) {
	var m message
	if len(data) < acknowledgementBytes {
		return m, 0, eris.Errorf("datagram of %d bytes", len(data))
	}
	body, err := decompress(data[acknowledgementBytes:])
	if err != nil {
		return m, 0, err
	}
	if err := decoding.Unmarshal(body, &m); err != nil {
		return m, 0, eris.Wrap(err, "decode datagram")
	}
	if len(m.Referrals) > maxReferrals || len(m.Leaves) > maxReferrals {
		return m, 0, eris.Errorf("message with %d referrals and %d leaves, %d at most", len(m.Referrals), len(m.Leaves), maxReferrals)
	}
	if m.Daemon == "" {
		return m, 0, eris.New("datagram without a sender")
	}
	if m.Poison != nil {
		if err := m.Poison.Check(); err != nil {
			return m, 0, err
		}
	}
	if err := m.checkSpeeds(); err != nil {
		return m, 0, err
	}
	return m, int64(binary.BigEndian.Uint64(data)), nil
}

// decompress returns the message in the body of a datagram.
func decompress(body []byte) ([]byte, error) {
	if len(body) == 0 || body[0] != compressedMark {
		return body, nil
	}
	length, err := s2.DecodedLen(body[1:])
	if err != nil || length > maxMessageBytes {
		return nil, eris.Errorf("compressed message of %d bytes, %d at most", length, maxMessageBytes)
	}
	message, err := s2.Decode(nil, body[1:])
	return message, eris.Wrap(err, "decompress datagram")
}

// handle applies a message to the daemon's state.
func (g *gossip) handle(m message, acknowledged int64, from string) {
	d := g.daemon
	if m.Daemon == d.settings.Name {
		return
	}
	now := d.clock.now()
	isNew, hasLeft := false, false
	d.members.use(func(s *hubs.State) {
		if hasLeft = s.HasLeft(m.Daemon, m.Incarnation, now); hasLeft {
			return
		}
		isNew = s.Observe(m.report(from, now), now)
		for _, r := range m.Referrals {
			s.Refer(r.report(now), now)
		}
	})
	if hasLeft {
		// Its counts would make it a peer again that shares the allowances.
		d.meters.count("Digests.Departed")
		return
	}
	// The sender's last counts are applied before it is removed.
	defer d.applyLeaves(m.Leaves, now)
	if isNew {
		d.logger.WithName("gossip").Info("Daemon process discovered.", "Daemon", m.Daemon, "Address", from, "Incarnation", m.Incarnation)
	}
	d.clock.observe(m.Daemon, time.UnixMilli(m.TimeMS))
	if m.Fence > 0 {
		d.leader.observe(m.Fence)
	}
	d.observeEra(m.Era, m.Daemon)
	d.freshness.recordVersion(m.Config, now)
	d.tables.recordLogRead(ago(m.LogReadableMS, now), ago(m.ReadAgeMS, now))
	for _, r := range m.Evacuations {
		d.applyEvacuationRecord(r)
	}
	switch {
	case m.Sum && m.Totals != nil:
		g.handleSum(m, now)
	case m.Totals != nil:
		g.handleTotals(m, acknowledged, now)
	case len(m.Operators) > 0:
		g.handleOperators(m)
	case len(m.Put)+len(m.Gone) > 0:
		g.handleChanges(m)
	case m.Digest:
		d.tables.observe(m, d.members.silentAt(now), now)
	case m.AskLinks != nil:
		g.send(message{LinkAnswer: d.links.answer(*m.AskLinks)}, 0, target{m.Daemon, from})
	case m.LinkAnswer != nil:
		d.links.hear(m, now)
	case m.Probe:
		g.send(message{}, 0, target{m.Daemon, from})
	}
}

// handleTotals applies the totals of this daemon's hub.
func (g *gossip) handleTotals(m message, acknowledged int64, now time.Time) {
	d := g.daemon
	hub, isHub := d.members.currentHub(now)
	if isHub || hub.Name != m.Daemon {
		return
	}
	d.tables.applyTotals(m, acknowledged, d.members.silentAt(now), now)
	d.freshness.applyHubTotals(*m.Totals, ago(m.ReadAgeMS, now), false, now)
	g.applyHubReads(hub.Name, now)
}

// handleSum applies the sums of another hub.
func (g *gossip) handleSum(m message, now time.Time) {
	d := g.daemon
	if m.DataCentre != d.settings.DataCentre && d.members.hubOf(m.DataCentre, now) != m.Daemon {
		return
	}
	d.tables.applySum(m, d.members.silentAt(now), now)
	if _, isHub := d.members.currentHub(now); !isHub {
		return
	}
	if reader, ok := d.members.reader(now); ok && reader.Name == m.Daemon {
		d.freshness.applyHubTotals(*m.Totals, ago(m.OwnReadAgeMS, now), true, now)
		g.applyHubReads(m.Daemon, now)
	}
}

// applyHubReads ends the state of a daemon whose own reads failed while another daemon's inform it: it
// makes none that could end it, and must then also drop the endpoints that the hub finds gone.
func (g *gossip) applyHubReads(hub string, now time.Time) {
	d := g.daemon
	if d.hubFresh(Endpoints, now) && d.tables.unreachable() {
		d.setEndpointsReachable(true)
		d.logger.WithName("store").Info("Reachable through a hub.", "Stream", Endpoints, "Hub", hub)
	}
	if d.hubFresh(Operators, now) {
		d.operatorsUnreachable.Store(false)
	}
}

// handleOperators applies operators' records that a hub has forwarded, and forwards them to the
// followers of this daemon.
func (g *gossip) handleOperators(m message) {
	g.daemon.applyOperatorRecords(m.Operators, m.Daemon)
	from := value.Position{Era: m.OperatorsEra, Offset: m.OperatorsFrom}
	next := value.Position{Era: m.OperatorsEra, Offset: m.OperatorsNext}
	g.daemon.freshness.recordForwarded(from, next)
	g.sendTo(g.followers(), func() message { return operatorsMessage(from, next, m.Operators) })
}

// handleChanges applies changes of endpoints.
func (g *gossip) handleChanges(m message) {
	g.daemon.applyEndpointRecords(m.Put)
	var gone []roster.Change
	for _, r := range m.Gone {
		gone = append(gone, g.daemon.tables.removeGone(r, g.daemon.clock.now())...)
	}
	g.daemon.publishChanges(gone)
}

// sendAll sends the messages of one interval.
func (g *gossip) sendAll() {
	d := g.daemon
	now := d.clock.now()
	informedAt, ownReadAt := d.freshness.readTimes(Endpoints)
	d.members.use(func(s *hubs.State) {
		s.UpdateSelf(d.leader.fence() > 0, d.tables.configVersion(), informedAt, ownReadAt)
	})
	allCounts := now.Sub(g.countsAt) >= countsInterval
	if allCounts {
		g.countsAt = now
	}
	hub, isHub := d.members.currentHub(now)
	g.logRoles(hub.Name, isHub, now)
	if isHub {
		d.tables.becomeHub(d.members.all, now)
		g.sendSums(allCounts, now)
	} else {
		g.sendDigest(target{hub.Name, hub.Address}, allCounts, now)
	}
	g.sendTotals(now)
	for _, p := range d.members.probes(now, d.random) {
		g.send(message{Probe: true}, 0, p)
	}
}

// logRoles logs a change of this daemon's hub, and of the reader if this daemon is a hub.
func (g *gossip) logRoles(hub string, isHub bool, now time.Time) {
	logger := g.daemon.logger.WithName("gossip")
	if hub != g.hub {
		g.hub = hub
		g.daemon.meters.count("Hub.Changes")
		logger.Info("Hub changed.", "Hub", hub, "Own", isHub, "Daemons", g.daemon.members.count())
	}
	if !isHub {
		g.reader = ""
		g.daemon.meters.setGauge("Hub.Followers", 0)
		return
	}
	g.daemon.meters.setGauge("Hub.Followers", int64(len(g.daemon.tables.followers(now))))
	if reader, _ := g.daemon.members.reader(now); reader.Name != g.reader {
		g.reader = reader.Name
		logger.Info("Reader changed.", "Reader", reader.Name)
	}
}

// sendDigest sends this daemon's digest to its hub.
func (g *gossip) sendDigest(hub target, allCounts bool, now time.Time) {
	m := g.daemon.tables.digest(now, allCounts)
	g.sequence++
	m.Sequence, m.Follow = g.sequence, true
	g.addSender(&m)
	g.daemon.tables.keepOwnPart(m)
	g.write(encode(g.daemon, m), 0, hub)
}

// sendSums sends the sums of this daemon's data centre to the other hubs.
func (g *gossip) sendSums(allCounts bool, now time.Time) {
	d := g.daemon
	targets := d.members.sumTargets(now)
	if len(targets) == 0 {
		return
	}
	m := d.tables.sums(now, d.age(now) < startupAge, allCounts)
	count, silent := d.tables.centreDaemons(d.members.all(), now)
	m.Sum, m.Totals = true, &totals{Daemons: count, Silent: silent, Roster: d.tables.rosterHash(now)}
	d.freshness.fillTotals(m.Totals, true, now)
	g.addSender(&m)
	data := encode(d, m)
	for _, t := range targets {
		g.write(data, 0, t)
	}
}

// sendTotals sends each follower of this daemon the totals over all daemons. They are encoded once for
// all; a follower subtracts its own part.
func (g *gossip) sendTotals(now time.Time) {
	d := g.daemon
	sequences := d.tables.followers(now)
	if len(sequences) == 0 {
		return
	}
	m := d.tables.totals(now, d.age(now) < startupAge)
	m.Totals = &totals{Daemons: d.members.count(), Silent: d.tables.silentDaemons(now), Roster: d.tables.rosterHash(now)}
	d.freshness.fillTotals(m.Totals, false, now)
	g.addSender(&m)
	data := encode(d, m)
	for name, sequence := range sequences {
		g.write(data, sequence, target{name, d.members.addressOf(name)})
	}
}

// sendChanges sends changes of endpoints to this daemon's followers. The reader sends them to the
// other hubs too.
func (g *gossip) sendChanges(changes []roster.Change) {
	targets := g.recipients()
	// The first of several messages is the least likely to be lost: a request must not go to an endpoint that
	// leaves, but it may go to another one than a new one.
	changes = slices.SortedStableFunc(slices.Values(changes), func(a, b roster.Change) int {
		return cmp.Compare(withdrawal(b), withdrawal(a))
	})
	for part := range slices.Chunk(changes, maxChangesPerMessage) {
		g.sendTo(targets, func() message { return g.daemon.tables.changesMessage(part) })
	}
}

// operatorsMessage returns a message with the operators' records between two positions of an era.
func operatorsMessage(from, next value.Position, records []Record) message {
	return message{Operators: records, OperatorsEra: next.Era, OperatorsFrom: from.Offset, OperatorsNext: next.Offset}
}

// withdrawal returns 1 for a change that takes an endpoint out of use, and 0 for another one.
func withdrawal(c roster.Change) int {
	if c.Reason == roster.Gone || c.Endpoint.State == setup.Leaving {
		return 1
	}
	return 0
}

// sendOperators forwards operators' records that this daemon has read. Others read records that don't
// fit into a datagram themselves.
func (g *gossip) sendOperators(from, next value.Position, records []Record) {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	if size == 0 || size > maxForwardedBytes {
		return
	}
	g.sendTo(g.recipients(), func() message { return operatorsMessage(from, next, records) })
}

// followers returns the daemons that follow this one.
func (g *gossip) followers() []target {
	var targets []target
	for name := range g.daemon.tables.followers(g.daemon.clock.now()) {
		targets = append(targets, target{name, g.daemon.members.addressOf(name)})
	}
	return targets
}

// recipients returns the daemons that this one informs of what it reads: its followers, and if it is the
// reader, the other hubs.
func (g *gossip) recipients() []target {
	targets := g.followers()
	now := g.daemon.clock.now()
	if _, isHub := g.daemon.members.currentHub(now); isHub && g.daemon.members.isReader(now) {
		targets = append(targets, g.daemon.members.otherHubs(now)...)
	}
	return targets
}

// sendTo sends a message to daemons. It builds the message only if there are any.
func (g *gossip) sendTo(targets []target, build func() message) {
	if g.conn.Load() == nil || len(targets) == 0 {
		return
	}
	m := build()
	g.addSender(&m)
	data := encode(g.daemon, m)
	for _, t := range targets {
		g.write(data, 0, t)
	}
}

// send sends a message to one daemon.
func (g *gossip) send(m message, acknowledged int64, to target) {
	g.addSender(&m)
	g.write(encode(g.daemon, m), acknowledged, to)
}

// addSender sets the fields that describe the sender.
func (g *gossip) addSender(m *message) {
	d := g.daemon
	now := d.clock.now()
	m.Daemon, m.Incarnation, m.Control = d.settings.Name, d.incarnation, d.settings.ControlListen
	m.DataCentre, m.Speed = d.settings.DataCentre, d.settings.Speed
	m.TimeMS = d.clock.localNow().UnixMilli()
	m.AgeMS = d.age(now).Milliseconds()
	informedAt, ownReadAt := d.freshness.readTimes(Endpoints)
	m.ReadAgeMS, m.OwnReadAgeMS = ageMS(informedAt, now), ageMS(ownReadAt, now)
	m.LogReadableMS = ageMS(d.tables.logReadableSince(now), now)
	m.Fence = d.leader.fence()
	m.Config, m.Era = d.tables.configVersion(), d.era.Load()
	d.members.use(func(s *hubs.State) {
		for _, r := range s.Referrals(now) {
			m.Referrals = append(m.Referrals, newReferral(r, now))
		}
		for _, l := range s.Leaves(now) {
			m.Leaves = append(m.Leaves, newLeave(l, now))
		}
	})
}

// encode returns the datagram of a message, or nil if it can't be encoded.
func encode(d *Daemon, m message) datagram {
	body, err := cbor.Marshal(m)
	if err != nil {
		d.logger.WithName("gossip").Error(err, "Message can't be encoded.")
		return nil
	}
	if len(m.Put)+len(m.Operators) > 0 && len(body) > minCompressedBytes {
		body = append([]byte{compressedMark}, s2.Encode(nil, body)...)
	}
	return append(make(datagram, acknowledgementBytes, acknowledgementBytes+len(body)), body...)
}

// write sends a datagram.
func (g *gossip) write(data datagram, acknowledged int64, to target) {
	conn := g.conn.Load()
	if conn == nil || data == nil {
		return
	}
	address, err := netip.ParseAddrPort(to.address)
	if err != nil {
		g.daemon.logger.WithName("gossip").Info("Peer address invalid.", "Daemon", to.name, "Address", to.address, "Error", err.Error())
		return
	}
	binary.BigEndian.PutUint64(data, uint64(acknowledged))
	// A datagram that can't be sent counts as lost; the next message repeats it.
	if _, err := conn.WriteToUDPAddrPort(data, address); err != nil {
		g.daemon.meters.count("Digests.Unsent")
		return
	}
	g.daemon.meters.count("Digests.Sent")
	g.daemon.meters.add("Digests.SentBytes", int64(len(data)))
}
