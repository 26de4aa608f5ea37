// Package roster keeps the endpoints that have registered themselves in the platform's log.
//
// Records arrive by offset and never go back: a stale page or a late record changes nothing.
// While the log is away, registrations lapse although their endpoints live. Until a deadline
// after its return a missing record is therefore no evidence; what is still missing then is
// taken as gone. A record that says that its endpoint leaves counts at once.
//
// # Usage
//
//	state := roster.New()
//	state, changes := state.Update(roster.Put{Offset: 7, Endpoint: endpoint, Now: now})
//	state, changes = state.Update(roster.Elapsed{Now: now})
//	for _, e := range state.Serving("assist") { ... }
//
// Update takes over the state: only the returned one may be used afterwards.
package roster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lentilstage.dev/domain/setup"
)

type (
	// Message is an input of the state.
	Message interface {
		message()
	}

	// Put brings the record of one endpoint.
	Put struct {
		Offset   int64
		Endpoint setup.Endpoint
		Now      time.Time
	}

	// Drop says that the record with the key was deleted, or can't be read.
	Drop struct {
		Offset int64
		ID     string
		Now    time.Time
	}

	// End says that another daemon has found the endpoint to be gone.
	End struct {
		Offset int64
		ID     string
	}

	// Listed says that all records up to the end were read anew: what has an older record
	// and is not among the identifiers was deleted meanwhile.
	Listed struct {
		End int64
		IDs []string
		Now time.Time
	}

	// Lost says that the log does not answer.
	Lost struct {
		Now time.Time
	}

	// Returned says that the log answers again. Alone says that it has answered other daemons
	// all the while, so that no registration lapsed for its sake.
	Returned struct {
		Now   time.Time
		Alone bool
	}

	// Elapsed lets time pass.
	Elapsed struct {
		Now time.Time
	}

	// Change is an endpoint whose entry changed, for the log lines.
	Change struct {
		Endpoint setup.Endpoint
		Reason   Reason
	}

	// Reason says what changed.
	Reason string

	// State is the table of endpoints.
	State struct {
		entries map[string]entry
		// lost is set while the log is away; trustAt is when missing records count again.
		lost    bool
		trustAt time.Time
	}

	entry struct {
		endpoint setup.Endpoint
		offset   int64
		present  bool
		// missing says that the record is gone though the endpoint may live; it is taken as gone
		// at trustAt.
		missing bool
	}
)

const (
	// Joined, Restarted, Updated, Left and Gone are the reasons of changes.
	Joined    Reason = "Joined"
	Updated   Reason = "Updated"
	Restarted Reason = "Restarted"
	Left      Reason = "Left"
	Gone      Reason = "Gone"

	// settleTime is how long live endpoints take to register again after an outage of the
	// log; the platform states about two seconds.
	settleTime = 2 * time.Second
	// keepDeleted is how many deleted entries are kept for their offsets.
	keepDeleted = 512
)

// New returns a state without endpoints.
func New() State { return State{entries: map[string]entry{}} }

// Update returns the state after the message and the changes that follow from it.
func (s State) Update(message Message) (State, []Change) {
	switch m := message.(type) {
	case Put:
		return s.put(m)
	case Drop:
		e, ok := s.entries[m.ID]
		if !ok || m.Offset <= e.offset {
			return s, nil
		}
		e.offset = m.Offset
		return s.missing(m.ID, e, m.Now)
	case End:
		e, ok := s.entries[m.ID]
		if !ok || !e.present || m.Offset < e.offset {
			return s, nil
		}
		e.offset, e.present, e.missing = m.Offset, false, false
		s.entries[m.ID] = e
		return s, []Change{{Endpoint: e.endpoint, Reason: Gone}}
	case Listed:
		return s.listed(m)
	case Lost:
		s.lost = true
	case Returned:
		if s.lost {
			s.lost = false
			s.trustAt = m.Now
			if !m.Alone {
				s.trustAt = m.Now.Add(settleTime)
			}
		}
	case Elapsed:
		return s.elapsed(m.Now)
	}
	return s, nil
}

func (s State) put(m Put) (State, []Change) {
	old, known := s.entries[m.Endpoint.ID]
	if known && m.Offset <= old.offset {
		return s, nil
	}
	s.entries[m.Endpoint.ID] = entry{endpoint: m.Endpoint, offset: m.Offset, present: true}
	switch {
	case !known || !old.present:
		return s, []Change{{Endpoint: m.Endpoint, Reason: Joined}}
	case !old.endpoint.Same(m.Endpoint):
		return s, []Change{{Endpoint: m.Endpoint, Reason: Restarted}}
	case old.endpoint.State != setup.Leaving && m.Endpoint.State == setup.Leaving:
		return s, []Change{{Endpoint: m.Endpoint, Reason: Left}}
	case old.endpoint.Place() != m.Endpoint.Place():
		return s, []Change{{Endpoint: m.Endpoint, Reason: Updated}}
	}
	return s, nil
}

// missing takes an entry without a record as gone, at once or when records count again.
func (s State) missing(id string, e entry, now time.Time) (State, []Change) {
	if !e.present {
		s.entries[id] = e
		return s, nil
	}
	if s.lost || now.Before(s.trustAt) {
		e.missing = true
		s.entries[id] = e
		return s, nil
	}
	e.present, e.missing = false, false
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
		if listed[id] || e.offset >= m.End || !e.present {
			continue
		}
		var change []Change
		s, change = s.missing(id, e, m.Now)
		changes = append(changes, change...)
	}
	return s, changes
}

func (s State) elapsed(now time.Time) (State, []Change) {
	if s.lost {
		return s, nil
	}
	var changes []Change
	deleted := 0
	for id, e := range s.entries {
		if e.present && e.missing && !now.Before(s.trustAt) {
			e.present, e.missing = false, false
			s.entries[id] = e
			changes = append(changes, Change{Endpoint: e.endpoint, Reason: Gone})
		}
		if !e.present {
			deleted++
		}
	}
	if deleted > keepDeleted {
		maps.DeleteFunc(s.entries, func(_ string, e entry) bool { return !e.present })
	}
	return s, changes
}

// Endpoints returns the endpoints that are not gone, by identifier.
func (s State) Endpoints() []setup.Endpoint {
	var endpoints []setup.Endpoint
	for _, e := range s.entries {
		if e.present {
			endpoints = append(endpoints, e.endpoint)
		}
	}
	slices.SortFunc(endpoints, func(a, b setup.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return endpoints
}

// Offset returns the offset of the endpoint's newest record, or -1.
func (s State) Offset(id string) int64 {
	if e, ok := s.entries[id]; ok {
		return e.offset
	}
	return -1
}

func (Put) message()      {}
func (Drop) message()     {}
func (End) message()      {}
func (Listed) message()   {}
func (Lost) message()     {}
func (Returned) message() {}
func (Elapsed) message()  {}
