// Package lease decides which daemon holds the lease of a duty, using conditional appends to the
// platform's log.
//
// The holder renews its record and acts only for a fraction of the lease, counted from the time at
// which it sent the last confirmed renewal. Another daemon takes over once it has seen the same
// record unchanged for longer than the lease; its append succeeds only if nothing was appended since
// its last read. The fencing number of a holder is the position after the record with which it took over.
//
// A log that is restored from a copy begins a new era. It may lack the record of the holder and name a former
// one, and the offset of an append may fit again although other records lie there. A record therefore counts
// only in the era in which it was written: in a new era the last holder takes the lease again as long as no
// other daemon can have taken it over, and all others wait for longer than the lease.
//
// # Usage
//
//	state := lease.New("entry-1", incarnation, 3*time.Second)
//	switch action := state.Next(now).(type) {
//	case lease.Read: ... state = state.WithRead(record, end, now)
//	case lease.Append: ... state = state.WithAppended(action, end, sentAt) or state.WithFailure(now)
//	}
//	fence, ok := state.Holding(now)
//
// All times come from a clock that keeps counting while the instance is suspended. State is
// immutable.
package lease

import (
	"time"

	"lentilstage.dev/domain/value"
)

type (
	// Record is the newest record of the lease on the log.
	Record struct {
		Holder      string `json:"Holder"`
		Incarnation string `json:"Incarnation"`
		// Fence is the fencing number; it increases with each change of the holder.
		Fence   int64 `json:"Fence"`
		Renewal int64 `json:"Renewal"`
		// Era is the era of the log that the holder knew when it wrote the record.
		Era int64 `json:"Era,omitempty"`
		// Note is data that the holder passes to its successor.
		Note string `json:"Note"`
	}

	// Action is the next step of the daemon; nil means to wait.
	Action interface {
		action()
	}

	// Read requests the newest record and the end of its stream.
	Read struct{}

	// Append requests that a record be appended if the stream still ends at offset At.
	Append struct {
		Record Record
		At     int64
	}

	// State is one daemon's view of the lease.
	State struct {
		self        string
		incarnation string
		length      time.Duration

		record Record
		end    value.Position
		// restored reports that an era has begun since this process first read the log.
		restored bool
		// current reports that record and end reflect the last read or confirmed append.
		current bool
		// changedAt is when the present record was first seen, readAt when it was last read.
		changedAt time.Time
		readAt    time.Time
		// failedAt is when a read or an append last failed.
		failedAt time.Time
		// announcedAt is when the holder last announced to this daemon that it holds the lease.
		announcedAt time.Time
		// holdUntil is when this daemon stops acting as the holder under heldFence; renewAt is when it
		// renews.
		heldFence int64
		holdUntil time.Time
		renewAt   time.Time
		// uncontestedUntil is when others may have taken over the lease that this daemon held.
		uncontestedUntil time.Time
		note             string
	}
)

const (
	// holdFraction is the fraction of the lease in which the holder acts after it sent a renewal.
	// The rest covers pauses between the check and the call, and calls in flight.
	holdFraction = 0.65
	// renewFraction is the time between renewals, as a fraction of the lease.
	renewFraction = 0.33
	// takeoverFraction is how long a record must be unchanged before a takeover, as a fraction of
	// the lease.
	takeoverFraction = 1.2
	// retryFraction is the pause after a failed read or append, as a fraction of the lease. The
	// platform also charges for calls that it rejects.
	retryFraction = 0.15
	// readFraction is the time between reads while the holder sends no announcements, as a fraction
	// of the lease.
	readFraction = 0.4
	// eraBits is the number of bits of a fencing number that hold the offset.
	eraBits = 32
)

// New returns the state of a daemon that has not read the log yet. The length is the duration of the
// lease: within it, a previous holder must not act again after another one has acted.
func New(self, incarnation string, length time.Duration) State {
	return State{self: self, incarnation: incarnation, length: length}
}

// Next returns the action to take now, or nil to wait.
func (s State) Next(now time.Time) Action {
	if !s.current {
		if now.Before(s.failedAt.Add(s.fraction(retryFraction))) {
			return nil
		}
		return Read{}
	}
	if s.holdsRecord() {
		if now.Before(s.renewAt) {
			return nil
		}
		next := s.record
		next.Renewal++
		next.Note = s.note
		return Append{Record: next, At: s.end.Offset}
	}
	takeover := Append{At: s.end.Offset, Record: Record{
		Holder: s.self, Incarnation: s.incarnation, Fence: fenceAt(s.end), Note: s.record.Note, Era: s.end.Era,
	}}
	claimed := s.claimed()
	switch {
	case !claimed && s.Uncontested(now) && s.readRecently(now):
		takeover.Record.Note = s.note
		return takeover
	case now.Before(s.announcedAt.Add(s.length)):
		// A restored log may not know the holder that has announced itself.
		return nil
	case s.record.Holder == "" && claimed:
		return takeover
	case s.record.Holder == s.self && claimed && s.readRecently(now):
		// The record was written by an earlier process of this daemon, which has ended.
		return takeover
	case !now.Before(s.changedAt.Add(s.fraction(takeoverFraction))) && s.readRecently(now):
		return takeover
	case now.Before(s.readAt.Add(s.fraction(readFraction))):
		return nil
	}
	return Read{}
}

// readRecently reports whether the last read is recent enough to base an append on it.
func (s State) readRecently(now time.Time) bool {
	return now.Before(s.readAt.Add(s.fraction(readFraction)))
}

func (s State) fraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(s.length))
}

// fenceAt returns the fencing number of a holder that takes over at the end of the stream. An era in which
// offsets are given out again must not give out their fencing numbers again.
func fenceAt(end value.Position) int64 { return end.Era<<eraBits + end.Offset + 1 }

// holdsRecord reports whether this process is the holder by a record that it has written in the present era.
func (s State) holdsRecord() bool {
	return s.record.Holder == s.self && s.record.Incarnation == s.incarnation && s.claimed()
}

// claimed reports whether the record tells the holder: it was written in the present era, or no record was
// ever written as far as this process can know.
func (s State) claimed() bool {
	if s.record.Holder == "" {
		return !s.restored
	}
	return s.record.Era == s.end.Era
}

// WithRead returns the state after a read of the newest record and the end of the stream. A read from an era
// that has ended is a failure.
func (s State) WithRead(record Record, end value.Position, now time.Time) State {
	if end.Era < s.end.Era {
		return s.WithFailure(now)
	}
	if end.Era > s.end.Era && !s.changedAt.IsZero() {
		s.changedAt, s.restored = now, true
	}
	if record != s.record || s.changedAt.IsZero() {
		s.changedAt = now
	}
	s.record, s.end, s.current, s.readAt = record, end, true, now
	return s
}

// WithAppended returns the state after a confirmed append that was sent at the given time. In another era than
// that of the read before it, the append has met other records than those that were read, and the daemon must
// read again.
func (s State) WithAppended(a Append, end value.Position, sentAt time.Time) State {
	if end.Era != s.end.Era {
		return s.WithFailure(sentAt)
	}
	s.record, s.end, s.current = a.Record, end, true
	s.changedAt, s.readAt = sentAt, sentAt
	s.heldFence = a.Record.Fence
	s.uncontestedUntil = sentAt.Add(s.fraction(takeoverFraction))
	s.holdUntil = sentAt.Add(s.fraction(holdFraction))
	s.renewAt = sentAt.Add(s.fraction(renewFraction))
	return s
}

// WithNote returns the state with the note of the next renewal.
func (s State) WithNote(note string) State {
	s.note = note
	return s
}

// Note returns the note of the newest record.
func (s State) Note() string { return s.record.Note }

// WithFailure returns the state after a read that failed, or an append that failed, conflicted or got
// no response. The log must then be read again.
func (s State) WithFailure(now time.Time) State {
	s.current = false
	s.failedAt = now
	return s
}

// WithAnnouncement returns the state after a peer announced that it holds the lease with the given fencing
// number. Announcements with an older number are ignored.
func (s State) WithAnnouncement(fence int64, now time.Time) State {
	if fence >= s.record.Fence {
		s.announcedAt = now
	}
	return s
}

// Uncontested reports whether this daemon was the last holder: no other can have seen its last renewal unchanged
// for long enough to take over.
func (s State) Uncontested(now time.Time) bool { return now.Before(s.uncontestedUntil) }

// LastFence returns the fencing number under which this process last held the lease; 0 if it never did.
func (s State) LastFence() int64 { return s.heldFence }

// Holding returns the fencing number, and whether this daemon holds the lease.
func (s State) Holding(now time.Time) (fence int64, ok bool) {
	if !now.Before(s.holdUntil) {
		return 0, false
	}
	return s.heldFence, true
}

// End returns when the lease of the last confirmed renewal ends. A call that was made under it must have ended by then.
func (s State) End() time.Time { return s.holdUntil.Add(CallTime(s.length)) }

// CallTime returns how long a call may take at most that the holder of a lease begins while it acts: what is left of the
// lease then.
func CallTime(length time.Duration) time.Duration {
	return time.Duration((1 - holdFraction) * float64(length))
}

func (Read) action()   {}
func (Append) action() {}
