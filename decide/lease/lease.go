// Package lease decides which daemon holds a duty, by records under a condition on the
// platform's log.
//
// The holder renews its record and acts only for part of the lease after the sending of the
// last confirmed renewal. Another daemon takes over once it has seen the same record
// unchanged for longer than the lease, and it appends only if nothing was appended since it
// read. The fencing number of a holder is the offset of the record by which it took over.
//
// # Usage
//
//	state := lease.New("entry-1", incarnation, 3*time.Second)
//	switch action := state.Next(now).(type) {
//	case lease.Read: ... state = state.WithRead(record, end, now)
//	case lease.Append: ... state = state.WithAppended(action, end, sentAt) or state.WithUnknown(now)
//	}
//	fence, ok := state.Holding(now)
//
// Times are of a clock that counts while the machine is suspended. The state is immutable.
package lease

import (
	"time"
)

type (
	// Record is the duty's newest record.
	Record struct {
		Holder      string `json:"Holder"`
		Incarnation string `json:"Incarnation"`
		// Fence rises with each change of the holder.
		Fence   int64 `json:"Fence"`
		Renewal int64 `json:"Renewal"`
		// Note is what the holder hands on to its successor.
		Note string `json:"Note"`
	}

	// Action is what to do next; nil means to wait.
	Action interface {
		action()
	}

	// Read asks for the newest record and the end of its stream.
	Read struct{}

	// Append asks for a record under the condition that the stream ends at At.
	Append struct {
		Record Record
		At     int64
	}

	// State is one daemon's knowledge of a duty.
	State struct {
		self        string
		incarnation string
		length      time.Duration

		record Record
		end    int64
		// known says that record and end are as of the last read or confirmed append.
		known bool
		// changedAt is when the record was first seen as it is, readAt when it was last read.
		changedAt time.Time
		readAt    time.Time
		// failedAt is when a read or an append last failed.
		failedAt time.Time
		// heardAt is when the holder last told that it holds the duty.
		heardAt time.Time
		// actUntil ends this daemon's holding; renewAt is when it renews.
		actUntil time.Time
		renewAt  time.Time
		note     string
	}
)

const (
	// actPart of the lease is used after the sending of a renewal; the rest covers pauses
	// between the check and the call, and calls on their way.
	actPart = 0.65
	// renewPart of the lease is the time between renewals.
	renewPart = 0.33
	// waitPart of the lease is how long a record must be unchanged before a takeover.
	waitPart = 1.2
	// retryPart of the lease is the pause after a failed read or append: calls that the platform
	// refuses are priced too.
	retryPart = 0.15
	// readPart of the lease is the pause between reads while the holder isn't heard.
	readPart = 0.4
)

// New returns a state that knows nothing. The length is the time within which two holders
// must not act by turns.
func New(self, incarnation string, length time.Duration) State {
	return State{self: self, incarnation: incarnation, length: length}
}

// Next returns what to do now.
func (s State) Next(now time.Time) Action {
	if !s.known {
		if now.Before(s.failedAt.Add(s.part(retryPart))) {
			return nil
		}
		return Read{}
	}
	if s.mine() {
		if now.Before(s.renewAt) {
			return nil
		}
		next := s.record
		next.Renewal++
		next.Note = s.note
		return Append{Record: next, At: s.end}
	}
	takeover := Append{Record: Record{Holder: s.self, Incarnation: s.incarnation, Fence: s.end + 1, Note: s.record.Note}, At: s.end}
	switch {
	case s.record.Holder == "":
		return takeover
	case s.record.Holder == s.self && s.fresh(now):
		// The record is of an earlier process of this daemon, which has ended.
		return takeover
	case now.Before(s.heardAt.Add(s.length)):
		return nil
	case !now.Before(s.changedAt.Add(s.part(waitPart))) && s.fresh(now):
		return takeover
	case now.Before(s.readAt.Add(s.part(readPart))):
		return nil
	}
	return Read{}
}

// fresh reports whether the record was read so lately that an append can rest on it.
func (s State) fresh(now time.Time) bool { return now.Before(s.readAt.Add(s.part(readPart))) }

func (s State) part(part float64) time.Duration { return time.Duration(part * float64(s.length)) }

func (s State) mine() bool {
	return s.record.Holder == s.self && s.record.Incarnation == s.incarnation
}

// WithRead returns the state after a read of the newest record and the stream's end.
func (s State) WithRead(record Record, end int64, now time.Time) State {
	if record != s.record || s.changedAt.IsZero() {
		s.changedAt = now
	}
	s.record, s.end, s.known, s.readAt = record, end, true, now
	return s
}

// WithAppended returns the state after a confirmed append that was sent at the given time.
func (s State) WithAppended(a Append, end int64, sentAt time.Time) State {
	s.record, s.end, s.known = a.Record, end, true
	s.changedAt, s.readAt = sentAt, sentAt
	s.actUntil = sentAt.Add(s.part(actPart))
	s.renewAt = sentAt.Add(s.part(renewPart))
	return s
}

// WithNote returns the state with what the next record hands on.
func (s State) WithNote(note string) State {
	s.note = note
	return s
}

// Note returns what the newest record hands on.
func (s State) Note() string { return s.record.Note }

// WithUnknown returns the state after an append that failed, conflicted or was not answered.
// What is on the log must be read again.
func (s State) WithUnknown(now time.Time) State {
	s.known = false
	s.failedAt = now
	return s
}

// WithHeard returns the state after a peer told that it holds the duty.
func (s State) WithHeard(fence int64, now time.Time) State {
	if fence >= s.record.Fence {
		s.heardAt = now
	}
	return s
}

// Holding returns the fencing number while this daemon holds the duty.
func (s State) Holding(now time.Time) (fence int64, ok bool) {
	if !now.Before(s.actUntil) {
		return 0, false
	}
	return s.record.Fence, true
}

func (Read) action()   {}
func (Append) action() {}
