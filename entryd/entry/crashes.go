package entry

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lentilstage.dev/decide/crash"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

type (
	// crashes attributes endpoint crashes to requests and quarantines requests.
	crashes struct {
		base     *Base
		logger   logr.Logger
		control  *control
		members  *members
		peers    *peers
		rollouts *rollouts
		// refuse ends a quarantined request. It is set before run.
		refuse func(requestID string)

		// placementMu is held from the choice of an endpoint until the placement is recorded, while
		// there are crash suspects. It is acquired before all other locks.
		placementMu sync.Mutex

		mu    sync.Mutex
		state crash.State
		// latest holds the latest crash of each endpoint.
		latest map[string]latestCrash
		// groups collect concurrent failed attempts by endpoint.
		groups map[string]*crashGroup
	}

	// latestCrash identifies an endpoint's latest crash.
	latestCrash struct {
		id       string
		deadline time.Time
	}

	// crashGroup collects the attempts that fail at an endpoint within crashGroupWindow.
	crashGroup struct {
		target   target
		requests []crash.Request
		resolved chan struct{}
		crashed  bool
		retries  map[string]crash.Retry
	}
)

const (
	// crashGroupWindow is how long failures at an endpoint are collected. A crash ends all streams
	// of the endpoint at about the same time.
	crashGroupWindow = 150 * time.Millisecond
	// probeTimeout bounds the probe connection that distinguishes a crash from an interrupted
	// connection.
	probeTimeout = 300 * time.Millisecond
	// crashDedupWindow is the time within which reports of an endpoint's crash count as one crash.
	crashDedupWindow = 30 * time.Second
	// quarantineTimeout bounds the append of a quarantine record.
	quarantineTimeout = 30 * time.Second
)

func newCrashes(b *Base, c *control, m *members, p *peers, r *rollouts) *crashes {
	return &crashes{
		base: b, logger: b.Logger.WithName("crashes"), control: c, members: m, peers: p, rollouts: r,
		state: crash.New(), latest: make(map[string]latestCrash), groups: make(map[string]*crashGroup),
	}
}

// crashRequestOf describes an owned request for the crash attribution.
func crashRequestOf(owned *ownedRequest, at evidencePlace) crash.Request {
	return crash.Request{
		RequestID: owned.id, Fingerprint: owned.fingerprint, Account: owned.account,
		Scope: crash.Scope{Route: at.Route, Step: at.Step, Share: at.Share},
	}
}

// reportInterrupted reports an attempt whose connection was interrupted. It waits until the daemon
// has determined whether the endpoint crashed. It returns true and how to retry the request if it
// did.
func (c *crashes) reportInterrupted(owned *ownedRequest, chosen target) (crash.Retry, bool) {
	c.mu.Lock()
	group, open := c.groups[chosen.Instance.ID]
	if !open {
		group = &crashGroup{target: chosen, resolved: make(chan struct{}), retries: make(map[string]crash.Retry)}
		c.groups[chosen.Instance.ID] = group
		go c.resolveGroup(group)
	}
	group.requests = append(group.requests, crashRequestOf(owned, chosen.Place))
	c.mu.Unlock()
	<-group.resolved
	return group.retries[owned.id], group.crashed
}

// resolveGroup waits for other failures at the endpoint, checks whether it has crashed and
// attributes the crash.
func (c *crashes) resolveGroup(group *crashGroup) {
	defer close(group.resolved)
	sleep(context.Background(), crashGroupWindow)
	group.crashed = !reachable(group.target.Instance.Address)
	c.mu.Lock()
	delete(c.groups, group.target.Instance.ID)
	requests := slices.Clone(group.requests)
	c.mu.Unlock()
	if !group.crashed {
		return
	}
	now := c.base.Now()
	state := c.control.State()
	moving := slices.ContainsFunc(state.Table().Routes, func(r table.Route) bool {
		move, ok := state.MoveOf(r)
		return ok && move.State == table.Moving && r.MoveTo == group.target.Version
	})
	c.logger.Info("Endpoint crashed.", "instance", group.target.Instance.ID, "requests", len(requests))
	c.base.emit(event.Event{
		Kind: "EndpointCrashed", Endpoint: group.target.Instance.ID, Version: group.target.Version,
		Numbers: []event.Number{{Name: "InFlight", Value: float64(len(requests))}},
	})
	commands := c.update(crash.Crashed{
		ID:       c.crashID(group.target.Instance.ID, now),
		Endpoint: group.target.Instance.ID, Version: group.target.Version,
		Moving: moving, InFlight: requests, Now: now,
	})
	for _, command := range commands {
		if retry, ok := command.(crash.Retry); ok {
			group.retries[retry.RequestID] = retry
		}
	}
}

// crashID returns the identifier of an endpoint's crash. Reports within crashDedupWindow of the
// first report get the same identifier.
func (c *crashes) crashID(instance string, now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.latest, func(_ string, l latestCrash) bool { return now.After(l.deadline) })
	latest := c.latest[instance]
	if now.After(latest.deadline) {
		latest = latestCrash{
			id:       fmt.Sprintf("%s/%d", instance, now.Unix()/int64(crashDedupWindow.Seconds())),
			deadline: now.Add(crashDedupWindow),
		}
		c.latest[instance] = latest
	}
	return latest.id
}

// reachable reports whether the endpoint still accepts connections.
func reachable(address string) bool {
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// update applies a message to the crash state, executes the resulting commands and returns them.
func (c *crashes) update(message crash.Message) []crash.Command {
	c.mu.Lock()
	next, commands := c.state.Update(message)
	c.state = next
	c.mu.Unlock()
	for _, command := range commands {
		c.execute(command)
	}
	return commands
}

func (c *crashes) execute(command crash.Command) {
	switch m := command.(type) {
	case crash.Charge:
		for _, p := range m.Scopes {
			c.rollouts.recordCrash(c.evidencePlaceOf(p), m.Version, false, false)
		}
	case crash.Attribute:
		for _, p := range m.Scopes {
			c.rollouts.recordCrash(c.evidencePlaceOf(p), m.Version, true, m.Charged)
		}
		if !m.Peer {
			c.notifyPeers(wire.CrashNotice{ID: m.ID, Fingerprint: m.Fingerprint, Account: m.Account})
		}
	case crash.Quarantine:
		c.quarantine(m.Entry)
	case crash.Refuse:
		c.refuse(m.RequestID)
	}
}

// evidencePlaceOf returns the place in a version move at which a crash counts as evidence.
func (c *crashes) evidencePlaceOf(p crash.Scope) evidencePlace {
	if p.Share <= 0 {
		return evidencePlace{}
	}
	state := c.control.State()
	row, ok := state.Routes[p.Route]
	if !ok {
		return evidencePlace{}
	}
	return evidencePlace{Move: row.MoveID(), Route: p.Route, Step: p.Step, Share: p.Share}
}

// quarantine notifies the peers at once and records the quarantine on the log.
func (c *crashes) quarantine(entry table.Quarantine) {
	c.logger.Info("Quarantined a request.", "account", entry.Account, "crashes", entry.Crashes)
	c.base.emit(event.Event{
		Kind: "RequestQuarantined", Account: entry.Account, Request: entry.Fingerprint,
		Numbers: []event.Number{{Name: "Crashes", Value: float64(entry.Crashes)}},
	})
	c.members.raiseAlarm(wire.Alarm{
		Kind: alarmQuarantine, Subject: entry.Fingerprint, Account: entry.Account,
		Reason: fmt.Sprintf("%d crashes", entry.Crashes), Deadline: entry.Deadline,
	})
	c.notifyPeers(wire.CrashNotice{Fingerprint: entry.Fingerprint, Account: entry.Account, Quarantine: &entry})
	go func() {
		_, err := c.control.append(table.Record{Kind: table.QuarantineRecord, Quarantine: &entry}, c.base.Now().Add(quarantineTimeout))
		if err != nil {
			c.logger.Info("Quarantine record append failed.", "error", err.Error())
		}
	}()
}

// notifyPeers sends a notice to all listed daemons without waiting for their replies.
func (c *crashes) notifyPeers(notice wire.CrashNotice) {
	for _, i := range c.members.daemons() {
		go func() {
			var reply wire.Empty
			if err := c.peers.call(c.base.Now().Add(digestTimeout), i.PeerAddress, "Crash", notice, &reply); err != nil {
				c.logger.V(1).Info("Crash notice failed.", "daemon", i.ID, "error", err.Error())
			}
		}()
	}
}

// receiveNotice applies a notice from a peer.
func (c *crashes) receiveNotice(notice wire.CrashNotice) {
	if notice.Quarantine != nil {
		c.update(crash.Quarantined{Entry: *notice.Quarantine})
		return
	}
	c.update(crash.Attributed{ID: notice.ID, Fingerprint: notice.Fingerprint, Account: notice.Account})
}

// refusal returns a refusal if the request is quarantined, or nil.
func (c *crashes) refusal(fingerprint string) *codes.Refusal {
	now := c.base.Now()
	c.mu.Lock()
	entry, found := c.state.QuarantineOf(fingerprint, now)
	c.mu.Unlock()
	if !found {
		entry, found = c.control.State().Quarantined[fingerprint]
		found = found && now.Before(entry.Deadline)
	}
	if !found {
		return nil
	}
	return codes.Refuse(codes.Quarantined, "this request crashed %d endpoints and is not run again before %s",
		entry.Crashes, entry.Deadline.Format(time.RFC3339))
}

// forbiddenEndpoints returns the endpoints at which a request may not run because of recent
// crashes. If that is all of them, the request must wait for another suspect to finish.
func (c *crashes) forbiddenEndpoints(fingerprint string, endpoints []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Suspects() == 0 {
		return nil
	}
	allowed := c.state.Candidates(fingerprint, endpoints)
	return slices.DeleteFunc(slices.Clone(endpoints), func(e string) bool { return slices.Contains(allowed, e) })
}

// recordPlacement and recordEnd track the endpoints at which requests run while there are crash
// suspects.
func (c *crashes) recordPlacement(owned *ownedRequest, chosen target) {
	if c.suspectCount() > 0 {
		c.update(crash.Placed{Request: crashRequestOf(owned, chosen.Place), Endpoint: chosen.Instance.ID})
	}
}

func (c *crashes) recordEnd(owned *ownedRequest, chosen target, finished bool) {
	if c.suspectCount() > 0 {
		c.update(crash.Ended{Request: crashRequestOf(owned, chosen.Place), Endpoint: chosen.Instance.ID, Complete: finished})
	}
}

// suspectCount returns the number of suspects: requests that were in flight at a crash.
func (c *crashes) suspectCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Suspects()
}

// expire removes expired crash state.
func (c *crashes) expire() { c.update(crash.Tick{Now: c.base.Now()}) }
