package relay

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/quota"
	"lentilstage.dev/decide/usage"
)

type (
	// gossip exchanges digests with the other daemons in datagrams.
	gossip struct {
		daemon *Daemon
		conn   *net.UDPConn

		mutex   sync.Mutex
		members map[string]member
	}

	// member is another daemon.
	member struct {
		Address string `json:"Address"`
		Control string `json:"Control"`
		// Incarnation tells the processes of a daemon apart.
		Incarnation string `json:"Incarnation"`
		// At is when the record was written, by the writer's clock.
		At time.Time `json:"At"`

		heardAt time.Time
		config  int64
		offset  int64
	}

	// digest is what a daemon tells its peers. Numbers stand for names to keep it small.
	digest struct {
		Daemon      string           `cbor:"1,keyasint"`
		Incarnation string           `cbor:"2,keyasint"`
		Control     string           `cbor:"3,keyasint,omitempty"`
		Config      int64            `cbor:"4,keyasint"`
		TimeMS      int64            `cbor:"5,keyasint"`
		Loads       map[uint32]load  `cbor:"6,keyasint,omitempty"`
		Used        map[string]int64 `cbor:"7,keyasint,omitempty"`
		// Counts are the requests of each account by window.
		Counts map[int64]map[string]int64 `cbor:"8,keyasint,omitempty"`
		// Fence is that of the duty if the daemon holds it.
		Fence int64 `cbor:"9,keyasint,omitempty"`
	}

	// load is an endpoint's load by one daemon.
	load struct {
		_        struct{} `cbor:",toarray"`
		Requests int
		Reading  int
		Memory   int
	}
)

const (
	digestInterval = 200 * time.Millisecond
	// memberInterval is the pause between reads of the daemons' records. Daemons that start
	// tell all others themselves.
	memberInterval = 12 * time.Second
	// memberRecordEvery is the pause between two records of a daemon.
	memberRecordEvery = 40 * time.Second
	// memberForget is how long a daemon that is not heard is still told. A new record or a
	// digest brings it back.
	memberForget = 25 * time.Second
	maxDigest    = 32 << 10
	// usedWindows is the number of usage windows in a digest.
	usedWindows = 4
)

func newGossip(d *Daemon) *gossip {
	return &gossip{daemon: d, members: map[string]member{}}
}

// run exchanges digests until the context ends.
func (g *gossip) run(ctx context.Context) error {
	if g.daemon.settings.PeerListen == "" {
		return nil
	}
	address, err := net.ResolveUDPAddr("udp4", g.daemon.settings.PeerListen)
	if err != nil {
		return eris.Wrap(err, "address of digests")
	}
	if g.conn, err = net.ListenUDP("udp4", address); err != nil {
		return eris.Wrap(err, "listen for digests")
	}
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.receive(ctx)
	}()
	go g.announce(ctx)
	err = every(ctx, digestInterval, g.send)
	<-done
	return err
}

// receive takes in digests until the connection is closed.
func (g *gossip) receive(ctx context.Context) {
	buffer := make([]byte, maxDigest)
	for ctx.Err() == nil {
		n, from, err := g.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.daemon.logger.WithName("gossip").Info("Receive failed.", "Error", err.Error())
			pause(ctx, digestInterval)
			continue
		}
		var d digest
		if err := cbor.Unmarshal(buffer[:n], &d); err != nil || d.Daemon == "" {
			g.daemon.meters.count("Digests.Malformed")
			continue
		}
		g.take(d, from.String())
	}
}

// take takes in a peer's digest.
func (g *gossip) take(d digest, from string) {
	if d.Daemon == g.daemon.settings.Name {
		return
	}
	now := g.daemon.clock.now()
	g.mutex.Lock()
	m, known := g.members[d.Daemon]
	news := !known || m.Incarnation != d.Incarnation
	m.Address, m.Control, m.Incarnation, m.heardAt, m.config = from, d.Control, d.Incarnation, now, d.Config
	g.members[d.Daemon] = m
	g.mutex.Unlock()
	if news {
		g.daemon.logger.WithName("gossip").Info("Daemon heard.", "Daemon", d.Daemon, "Address", from, "Incarnation", d.Incarnation)
	}
	g.daemon.clock.heard(d.Daemon, time.UnixMilli(d.TimeMS))
	g.daemon.tables.heard(d, now)
	if d.Fence > 0 {
		g.daemon.duty.heard(d.Fence)
	}
}

// send tells the own digest to all members.
func (g *gossip) send() {
	d := g.daemon.tables.digest()
	d.Daemon, d.Incarnation, d.Control = g.daemon.settings.Name, g.daemon.incarnation, g.daemon.settings.ControlListen
	d.TimeMS = g.daemon.clock.ownTime().UnixMilli()
	d.Fence = g.daemon.duty.fence()
	message, err := cbor.Marshal(d)
	if err != nil {
		g.daemon.logger.WithName("gossip").Error(err, "Digest can't be encoded.")
		return
	}
	for _, address := range g.targets() {
		udp, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			continue
		}
		// A datagram that can't be sent is as good as lost; the next digest repeats it.
		_, _ = g.conn.WriteToUDP(message, udp)
		g.daemon.meters.count("Digests.Sent")
	}
}

// targets returns the addresses of the members that are told, and forgets those that have
// been silent for long.
func (g *gossip) targets() []string {
	now := g.daemon.clock.now()
	g.mutex.Lock()
	var addresses []string
	var forgotten []string
	for name, m := range g.members {
		if now.Sub(m.heardAt) > memberForget {
			delete(g.members, name)
			forgotten = append(forgotten, name)
			continue
		}
		addresses = append(addresses, m.Address)
	}
	g.mutex.Unlock()
	for _, name := range forgotten {
		g.daemon.tables.forget(name, now)
		g.daemon.logger.WithName("gossip").Info("Daemon forgotten.", "Daemon", name)
	}
	return addresses
}

// daemons returns the number of daemons, this one included.
func (g *gossip) daemons() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.members) + 1
}

// controls returns the control addresses of the daemons with a newer configuration.
func (g *gossip) controls(newer int64) []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var addresses []string
	for _, m := range g.members {
		if m.Control != "" && m.config > newer {
			addresses = append(addresses, m.Control)
		}
	}
	return addresses
}

// announce keeps this daemon's record in the log and reads the others'.
func (g *gossip) announce(ctx context.Context) {
	var writtenAt, readAt time.Time
	for ctx.Err() == nil {
		now := g.daemon.clock.now()
		if now.Sub(writtenAt) > memberRecordEvery {
			if err := g.writeRecord(ctx); err == nil {
				writtenAt = now
			}
		}
		if now.Sub(readAt) > memberInterval {
			if err := g.readRecords(ctx); err == nil {
				readAt = now
			}
		}
		pause(ctx, time.Second)
	}
}

func (g *gossip) writeRecord(ctx context.Context) error {
	d := g.daemon
	value, err := json.Marshal(member{
		Address: d.settings.PeerListen, Control: d.settings.ControlListen, Incarnation: d.incarnation, At: d.clock.trueNow(),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readSlack)
	defer cancel()
	_, err = d.store.Append(ctx, Daemons, AnyOffset, d.settings.Name, value)
	return err
}

func (g *gossip) readRecords(ctx context.Context) error {
	d := g.daemon
	ctx, cancel := context.WithTimeout(ctx, readSlack)
	defer cancel()
	page, err := d.store.Newest(ctx, Daemons)
	if err != nil {
		return err
	}
	now := d.clock.now()
	for _, r := range page.Records {
		var m member
		if err := json.Unmarshal(r.Value, &m); err != nil || m.Address == "" {
			continue
		}
		if r.Key == d.settings.Name || d.clock.trueNow().Sub(m.At) > memberRecordEvery+memberForget {
			continue
		}
		g.mutex.Lock()
		if known, ok := g.members[r.Key]; !ok || r.Offset > known.offset && known.Incarnation != m.Incarnation {
			m.heardAt, m.offset = now, r.Offset
			g.members[r.Key] = m
		}
		g.mutex.Unlock()
		d.tables.expect(r.Key, now)
	}
	return nil
}

// digest returns what the tables tell peers.
func (t *tables) digest() digest {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	d := digest{Loads: map[uint32]load{}, Used: map[string]int64{}, Counts: map[int64]map[string]int64{}}
	if t.config != nil {
		d.Config = t.config.Version
	}
	for id, own := range t.own {
		d.Loads[shortID(id)] = load{Requests: own.Requests, Reading: int(own.Reading), Memory: int(own.Memory)}
	}
	for account, used := range t.quota.Used() {
		d.Used[account] = int64(used)
	}
	newest := int64(0)
	own := t.usage.Own()
	for window := range own {
		newest = max(newest, window)
	}
	for window, counts := range own {
		if window > newest-usedWindows {
			d.Counts[window] = counts
		}
	}
	return d
}

// heard takes in a peer's digest.
func (t *tables) heard(d digest, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	loads := make(map[string]choice.Load, len(d.Loads))
	for _, e := range t.roster.Endpoints() {
		if l, ok := d.Loads[shortID(e.ID)]; ok {
			loads[e.ID] = choice.Load{Requests: l.Requests, Reading: float64(l.Reading), Memory: float64(l.Memory)}
		}
	}
	t.peers[d.Daemon] = peerLoads{heardAt: now, loads: loads}
	used := make(map[string]float64, len(d.Used))
	for account, amount := range d.Used {
		used[account] = float64(amount)
	}
	t.quota.Update(quota.Heard{Daemon: d.Daemon, Incarnation: d.Incarnation, Used: used, Now: now})
	counts := make(map[int64]usage.Counts, len(d.Counts))
	for window, c := range d.Counts {
		counts[window] = c
	}
	t.usage.Heard(d.Daemon, d.Incarnation, counts)
}

// expect counts a daemon that is known from the log among those that share allowances.
func (t *tables) expect(daemon string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.quota.Update(quota.Listed{Daemon: daemon, Now: now})
}

// forget drops what a daemon that is gone has told, but for its counts.
func (t *tables) forget(daemon string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.peers, daemon)
	t.quota.Update(quota.Forgotten{Daemon: daemon, Now: now})
}

// shortID stands for an endpoint in digests. Two endpoints with the same one would share
// their loads, which is harmless.
func shortID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }
