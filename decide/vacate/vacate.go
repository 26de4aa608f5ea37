// Package vacate decides which data centres are evacuated: requests are sent to no endpoint of these.
//
// An operator's record orders the evacuation of a data centre, its deletion withdraws it. The load is that of a
// fleet of hundreds of daemons with a handful of data centres: the records of one data centre arrive by reads of
// the log, by datagrams and by snapshots of other daemons, repeated, late and in any order. Only the newest by its
// position in the log applies. A full read of the log that lacks the record of an evacuation withdraws it, provided
// that the read is newer than the record.
//
// A log that is restored from a copy begins a new era and may have lost the order. A full read of a new era that ends
// at or before the offset of the order is taken for such a loss: the order is kept until the operators write it
// again or withdraw it, or until a full read ends after its offset.
//
// # Usage
//
//	state, changes := vacate.State{}.Update(vacate.Recorded{DataCentre: "a", Position: position, Evacuated: true})
//	state, changes = state.Update(vacate.Listed{End: end, DataCentres: []string{"a"}})
//	if state.Evacuated(endpoint.DataCentre) { ... }
//
// The state is immutable, its zero value is empty, and the package has no clock.
package vacate

import (
	"maps"
	"slices"

	"lentilstage.dev/domain/value"
)

type (
	// Message is an input of State.Update.
	Message interface {
		message()
	}

	// Recorded carries a record of one data centre: an order, or its withdrawal.
	Recorded struct {
		DataCentre string
		Position   value.Position
		Evacuated  bool
	}

	// Listed reports a full read of the log up to the position End, with the data centres that have an order.
	Listed struct {
		End         value.Position
		DataCentres []string
	}

	// Change is what a message means for one data centre.
	Change struct {
		DataCentre string
		Reason     Reason
		Position   value.Position
	}

	// Reason is the kind of a change.
	Reason string

	// State holds the newest record of each data centre.
	State struct {
		entries map[string]entry
		// listed is the end of the furthest full read.
		listed value.Position
	}

	entry struct {
		position  value.Position
		evacuated bool
		// kept reports that the loss of the order by the log was reported.
		kept bool
	}
)

const (
	// Begun means that the data centre is evacuated from now on.
	Begun Reason = "Begun"
	// Repeated means that a newer record orders the evacuation that is in force.
	Repeated Reason = "Repeated"
	// Ended means that the data centre is evacuated no longer.
	Ended Reason = "Ended"
	// NotInForce means that a newer record withdraws an evacuation that is not in force.
	NotInForce Reason = "NotInForce"
	// Kept means that a restored log has lost the order, which stays in force.
	Kept Reason = "Kept"

	// maxEntries limits the data centres whose withdrawal is remembered. Orders in force are never discarded.
	maxEntries = 64
)

// Update applies a message and returns the updated state and what has changed.
func (s State) Update(message Message) (State, []Change) {
	switch m := message.(type) {
	case Recorded:
		return s.record(m)
	case Listed:
		return s.list(m)
	}
	return s, nil
}

func (s State) record(m Recorded) (State, []Change) {
	old, known := s.entries[m.DataCentre]
	if known && !old.position.Before(m.Position) {
		return s, nil
	}
	next := entry{position: m.Position, evacuated: m.Evacuated}
	if m.Evacuated && !old.evacuated && s.outdated(m.Position) {
		// The daemon that holds the order learns of its withdrawal from this one.
		return s.with(m.DataCentre, withdrawnBefore(s.listed)), nil
	}
	reason := NotInForce
	switch {
	case m.Evacuated && old.evacuated:
		reason = Repeated
	case m.Evacuated:
		reason = Begun
	case old.evacuated:
		reason = Ended
	}
	return s.with(m.DataCentre, next), []Change{{DataCentre: m.DataCentre, Reason: reason, Position: m.Position}}
}

// outdated reports whether a full read has covered a record at the position. If the record were still the newest of
// its data centre, the read would have delivered it.
func (s State) outdated(at value.Position) bool {
	return at.Era <= s.listed.Era && at.Offset < s.listed.Offset
}

// withdrawnBefore returns the entry of a withdrawal that is somewhere before the end of a full read.
func withdrawnBefore(end value.Position) entry {
	return entry{position: value.Position{Era: end.Era, Offset: end.Offset - 1}}
}

func (s State) list(m Listed) (State, []Change) {
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		e := s.entries[name]
		if !e.evacuated || slices.Contains(m.DataCentres, name) || !e.position.Before(m.End) {
			continue
		}
		reason := Ended
		switch {
		case e.position.Offset < m.End.Offset:
			e = withdrawnBefore(m.End)
		case e.kept:
			continue
		default:
			// The order precedes the read by its era only.
			e.kept, reason = true, Kept
		}
		s = s.with(name, e)
		changes = append(changes, Change{DataCentre: name, Reason: reason, Position: e.position})
	}
	s.listed = value.Furthest(s.listed, m.End)
	return s, changes
}

// with returns the state with the entry of a data centre. It discards the oldest withdrawal if there are too many
// entries.
func (s State) with(name string, e entry) State {
	entries := maps.Clone(s.entries)
	if entries == nil {
		entries = map[string]entry{}
	}
	entries[name] = e
	if len(entries) > maxEntries {
		oldest := ""
		for other, o := range entries {
			if other != name && !o.evacuated && (oldest == "" || o.position.Before(entries[oldest].position)) {
				oldest = other
			}
		}
		delete(entries, oldest)
	}
	s.entries = entries
	return s
}

// Evacuated reports whether a data centre is evacuated.
func (s State) Evacuated(dataCentre string) bool { return s.entries[dataCentre].evacuated }

// Known reports whether the state holds a record of a data centre.
func (s State) Known(dataCentre string) bool {
	_, known := s.entries[dataCentre]
	return known
}

// InForce returns the data centres that are evacuated, sorted by name.
func (s State) InForce() []string {
	var names []string
	for name, e := range s.entries {
		if e.evacuated {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Records returns the newest record of each data centre, sorted by name, for other daemons.
func (s State) Records() []Recorded {
	records := make([]Recorded, 0, len(s.entries))
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		e := s.entries[name]
		records = append(records, Recorded{DataCentre: name, Position: e.position, Evacuated: e.evacuated})
	}
	return records
}

func (Recorded) message() {}
func (Listed) message()   {}
