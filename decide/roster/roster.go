// Package roster tracks the endpoints that are registered in the platform's log.
//
// Each endpoint's records are applied in the order of their positions: a stale page or a late record has no
// effect. When the log is restored from a copy, the records of the copy appear again in a new era, older than
// what is known. In a new era a record is therefore applied only if its process or its sequence number is
// newer, and a record that is missing is treated as after an outage.
//
// While the log is unavailable, registrations expire although their endpoints may be alive. A missing
// record is therefore ignored while the daemon can't read the log and for a grace period after the outage;
// an endpoint whose record is still missing then is removed. The outage ends when the first daemon reads the
// log again, and if other daemons have read it all the time, there was none. A record with the state Leaving
// takes effect immediately.
//
// An endpoint may also say in a response that it is leaving, long before its record does or without
// such a record. That a process is leaving, by a record or by a response, holds until a new process
// registers: no record of the same process revokes it, also after an expired registration has returned. The
// time until which it wants no requests from this daemon is kept in the same way.
//
// # Usage
//
//	state := roster.New(reportInterval)
//	state, changes := state.Update(roster.Put{Position: value.Position{Era: 1, Offset: 7}, Endpoint: endpoint, Now: now})
//	state, changes = state.Update(roster.Tick{Now: now})
//	for _, e := range state.Endpoints() { ... }
//
// Update modifies the state in place: only the returned state may be used afterwards.
package roster

import (
	"slices"
	"strings"
	"time"

	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
)

type (
	// Message is an input of State.Update.
	Message interface {
		message()
	}

	// Put carries a record of one endpoint.
	Put struct {
		Position value.Position
		Endpoint setup.Endpoint
		Now      time.Time
	}

	// Deleted reports that an endpoint's record was deleted or cannot be decoded.
	Deleted struct {
		Position value.Position
		ID       string
		Now      time.Time
	}

	// Removed reports that another daemon has removed the endpoint.
	Removed struct {
		Position value.Position
		ID       string
		Now      time.Time
	}

	// LeavingAnnounced reports that the process of an endpoint has said in a response that it is leaving.
	LeavingAnnounced struct {
		Endpoint setup.Endpoint
	}

	// Rejected reports that the process of an endpoint has said in a response that it wants no requests
	// from this daemon until a time.
	Rejected struct {
		Endpoint setup.Endpoint
		Until    time.Time
		Now      time.Time
	}

	// Listed reports a full listing of the records up to the position End. An endpoint that has an
	// older record and is not in IDs was deleted.
	Listed struct {
		End value.Position
		IDs []string
		Now time.Time
	}

	// Tick reports the current time.
	Tick struct {
		Now time.Time
	}

	// Change describes a changed entry, for log messages.
	Change struct {
		Endpoint setup.Endpoint
		Reason   Reason
	}

	// Reason is the kind of a change.
	Reason string

	// State holds the registered endpoints.
	State struct {
		entries map[string]entry
		// era is the newest era of the log in which a record was written.
		era int64
		// interruption is the time without any read of the log from which registrations may have expired.
		interruption time.Duration
		// reads are the times of reads by any daemon.
		reads reads
		// logDown is set while this daemon can't read the log, recoveredAt is when it last could again.
		logDown     bool
		recoveredAt time.Time
		// graceUntil is when the grace period of a new era ends.
		graceUntil time.Time
	}

	entry struct {
		endpoint setup.Endpoint
		position value.Position
		present  bool
		// missing reports that the record was deleted while the endpoint may be alive; the endpoint
		// is removed at keptUntil.
		missing bool
		// announced reports that the process has said that it is leaving, in a response or in an earlier record.
		announced bool
		// removedAt is when the endpoint was removed, if it is not present.
		removedAt time.Time
		// rejectsUntil is when the process takes requests of this daemon again; zero if it always did.
		rejectsUntil time.Time
	}
)

const (
	// Joined means that a new endpoint was registered.
	Joined Reason = "Joined"
	// Updated means that the endpoint's placement data changed.
	Updated Reason = "Updated"
	// Restarted means that a new process registered under the endpoint's identifier.
	Restarted Reason = "Restarted"
	// Left means that the endpoint entered the state Leaving.
	Left Reason = "Left"
	// Announced means that the endpoint, which is registered as ready, has said that it is leaving.
	Announced Reason = "Announced"
	// Rejecting means that the endpoint, which took requests, wants none for some time.
	Rejecting Reason = "Rejecting"
	// Gone means that the endpoint was removed.
	Gone Reason = "Gone"

	// reregisterGrace is how long live endpoints take to register again after an outage of the log or
	// its restoration. The platform specifies about two seconds.
	reregisterGrace = 2 * time.Second
	// maxDeleted is the maximum number of removed entries kept to reject older records. The half that was
	// removed first is discarded when it is exceeded.
	maxDeleted = 512
)

// New returns an empty state. reportInterval is how often an endpoint renews its registration; 0 stands for
// defaultReportInterval.
func New(reportInterval time.Duration) State {
	return State{entries: map[string]entry{}, interruption: interruption(reportInterval)}
}

// Update applies a message and returns the updated state and the resulting changes.
func (s State) Update(message Message) (State, []Change) {
	switch m := message.(type) {
	case Put:
		return s.withEra(m.Position.Era, m.Now).put(m)
	case Deleted:
		s = s.withEra(m.Position.Era, m.Now)
		e, ok := s.entries[m.ID]
		if !ok || !e.position.Before(m.Position) {
			return s, nil
		}
		e.position = m.Position
		return s.missing(m.ID, e, m.Now)
	case Removed:
		e, ok := s.entries[m.ID]
		if !ok || !e.present || m.Position.Before(e.position) {
			return s, nil
		}
		e.position = m.Position
		return s.remove(m.ID, e, m.Now)
	case LeavingAnnounced:
		return s.announce(m.Endpoint)
	case Rejected:
		return s.reject(m)
	case Listed:
		return s.withEra(m.End.Era, m.Now).listed(m)
	case LogRead:
		return s.recordRead(m.Since, m.At), nil
	case LogLost:
		s.logDown = true
	case LogRecovered:
		return s.recover(m.Now), nil
	case Tick:
		return s.expireMissing(m.Now)
	}
	return s, nil
}

// withEra begins the grace period of a new era: the log may lack the registrations of live endpoints.
func (s State) withEra(era int64, now time.Time) State {
	if era <= s.era {
		return s
	}
	if len(s.entries) > 0 {
		s.graceUntil = value.Later(s.graceUntil, now.Add(reregisterGrace))
	}
	s.era = era
	return s
}

func (s State) put(m Put) (State, []Change) {
	old, exists := s.entries[m.Endpoint.ID]
	if exists && !old.accepts(m) {
		return s, nil
	}
	e := entry{endpoint: m.Endpoint, position: m.Position, present: true}
	if exists && old.endpoint.SameProcess(m.Endpoint) {
		e.announced, e.rejectsUntil = old.announced || m.Endpoint.StartedAtMS > 0 && old.endpoint.State == setup.Leaving, old.rejectsUntil
	}
	s.entries[m.Endpoint.ID] = e
	switch {
	case !exists || !old.present:
		return s, []Change{{Endpoint: e.current(), Reason: Joined}}
	case !old.endpoint.SameProcess(m.Endpoint):
		return s, []Change{{Endpoint: m.Endpoint, Reason: Restarted}}
	case old.endpoint.State != setup.Leaving && m.Endpoint.State == setup.Leaving:
		return s, []Change{{Endpoint: m.Endpoint, Reason: Left}}
	case old.current().RoutingAttributes() != e.current().RoutingAttributes():
		return s, []Change{{Endpoint: e.current(), Reason: Updated}}
	}
	return s, nil
}

// announce records that an endpoint's process is leaving, unless another process has registered since.
func (s State) announce(endpoint setup.Endpoint) (State, []Change) {
	e, ok := s.entries[endpoint.ID]
	if !ok || e.announced || !e.endpoint.SameProcess(endpoint) {
		return s, nil
	}
	e.announced = true
	s.entries[endpoint.ID] = e
	if !e.present || e.endpoint.State == setup.Leaving {
		return s, nil
	}
	return s, []Change{{Endpoint: e.current(), Reason: Announced}}
}

// reject records until when an endpoint's process wants no requests. Of several times the latest holds, since
// responses may arrive in any order.
func (s State) reject(m Rejected) (State, []Change) {
	e, ok := s.entries[m.Endpoint.ID]
	if !ok || !e.endpoint.SameProcess(m.Endpoint) || !m.Until.After(e.rejectsUntil) {
		return s, nil
	}
	rejected := m.Now.Before(e.rejectsUntil)
	e.rejectsUntil = m.Until
	s.entries[m.Endpoint.ID] = e
	if rejected || !e.present {
		return s, nil
	}
	return s, []Change{{Endpoint: e.current(), Reason: Rejecting}}
}

// current returns the endpoint with the state that applies to it.
func (e entry) current() setup.Endpoint {
	endpoint := e.endpoint
	if e.announced {
		endpoint.State = setup.Leaving
	}
	return endpoint
}

// accepts reports whether a record is newer than the one that is known. In a new era it may come from the
// copy from which the log was restored, so that its position says nothing. Within an era, the log may append a
// record of the same process late, after records that the process has written since. Without a time of the start, a
// lower sequence number may also be that of a new process.
func (e entry) accepts(m Put) bool {
	if m.Position.Era > e.position.Era {
		return m.Endpoint.After(e.endpoint)
	}
	if m.Endpoint.StartedAtMS > 0 && e.endpoint.SameProcess(m.Endpoint) && m.Endpoint.Sequence < e.endpoint.Sequence {
		return false
	}
	return e.position.Before(m.Position)
}

// missing removes an entry without a record, or marks it as missing during an outage of the log
// and its grace period.
func (s State) missing(id string, e entry, now time.Time) (State, []Change) {
	if !e.present {
		s.entries[id] = e
		return s, nil
	}
	if s.logDown || now.Before(s.keptUntil()) {
		e.missing = true
		s.entries[id] = e
		return s, nil
	}
	return s.remove(id, e, now)
}

// remove removes an entry, but keeps it to reject older records.
func (s State) remove(id string, e entry, now time.Time) (State, []Change) {
	e.present, e.missing, e.removedAt = false, false, now
	s.entries[id] = e
	return s, []Change{{Endpoint: e.endpoint, Reason: Gone}}
}

func (s State) listed(m Listed) (State, []Change) {
	listed := make(map[string]bool, len(m.IDs))
	for _, id := range m.IDs {
		listed[id] = true
	}
	var changes []Change
	for id, e := range s.entries {
		if listed[id] || !e.position.Before(m.End) || !e.present {
			continue
		}
		// Without this, a registration in the new era would have to be newer than one that it repeats.
		e.position = value.Position{Era: m.End.Era, Offset: m.End.Offset - 1}
		var change []Change
		s, change = s.missing(id, e, m.Now)
		changes = append(changes, change...)
	}
	return s, changes
}

func (s State) expireMissing(now time.Time) (State, []Change) {
	if s.logDown {
		return s, nil
	}
	var changes []Change
	var removed []string
	for id, e := range s.entries {
		if e.present && e.missing && !now.Before(s.keptUntil()) {
			var change []Change
			s, change = s.remove(id, e, now)
			changes = append(changes, change...)
		}
		if !s.entries[id].present {
			removed = append(removed, id)
		}
	}
	if len(removed) > maxDeleted {
		slices.SortFunc(removed, func(a, b string) int { return s.entries[a].removedAt.Compare(s.entries[b].removedAt) })
		for _, id := range removed[:len(removed)-maxDeleted/2] {
			delete(s.entries, id)
		}
	}
	return s, changes
}

// Endpoints returns the registered endpoints, sorted by identifier. Those that have announced that they
// are leaving have the state Leaving, whatever they are registered as.
func (s State) Endpoints() []setup.Endpoint {
	var endpoints []setup.Endpoint
	for _, e := range s.entries {
		if e.present {
			endpoints = append(endpoints, e.current())
		}
	}
	slices.SortFunc(endpoints, func(a, b setup.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return endpoints
}

// RegisteredState returns the state in an endpoint's newest record; empty if the endpoint is unknown.
func (s State) RegisteredState(id string) setup.State { return s.entries[id].endpoint.State }

// Missing reports whether an endpoint has no record and is kept only until the grace period ends.
func (s State) Missing(id string) bool { return s.entries[id].missing }

// RejectsUntil returns when an endpoint takes requests of this daemon again; zero if it always did.
func (s State) RejectsUntil(id string) time.Time { return s.entries[id].rejectsUntil }

// Position returns the position of the endpoint's newest record, and whether the endpoint is known.
func (s State) Position(id string) (value.Position, bool) {
	e, ok := s.entries[id]
	return e.position, ok
}

func (Put) message()              {}
func (Deleted) message()          {}
func (Removed) message()          {}
func (LeavingAnnounced) message() {}
func (Rejected) message()         {}
func (Listed) message()           {}
func (Tick) message()             {}
