package config

import (
	"maps"
	"slices"
	"time"

	"lentilstage.dev/domain/value"
	"lentilstage.dev/wire/wire"
)

// Publication decides when a record on the log is in effect on every serving daemon. It is immutable.
type Publication struct {
	next   int64
	rules  Rules
	listed []string
	// confirmed holds the time of the latest request that each daemon confirmed.
	confirmed   map[string]time.Time
	lastContact map[string]time.Time
	// majorityAt is when a majority was reached, with confirmations younger than a lease.
	majorityAt time.Time
}

// NewPublication returns the publication, to the listed daemons, of the record before the offset
// next. The publishing daemon confirms like any other, once it has applied the record.
func NewPublication(next int64, listed []string, rules Rules) Publication {
	return Publication{next: next, listed: slices.Clone(listed), rules: rules}
}

// WithConfirmed returns the publication after a daemon has reported the offset up to which it has
// applied records. Sent is the publisher's time before it sent the request. Relayed entries are no
// confirmations, since their age is unknown.
func (p Publication) WithConfirmed(process string, next int64, sent, now time.Time) Publication {
	p = p.WithContact(process, now)
	if next < p.next || !sent.After(p.confirmed[process]) {
		return p
	}
	p.confirmed = withTime(p.confirmed, process, sent)
	return p.withMajority(now)
}

// WithContact returns the publication after any direct message from a daemon.
func (p Publication) WithContact(process string, now time.Time) Publication {
	p.lastContact = withTime(p.lastContact, process, now)
	return p
}

// WithListed returns the publication after a change of the list. The majority must be reached again
// with the new list.
func (p Publication) WithListed(listed []string, now time.Time) Publication {
	if slices.Equal(p.listed, listed) {
		return p
	}
	p.listed = slices.Clone(listed)
	p.majorityAt = time.Time{}
	return p.withMajority(now)
}

// PushTargets returns the daemons to which the publisher pushes the record: all of them until the majority is
// reached, since confirmations expire, and then those that have not confirmed.
func (p Publication) PushTargets() []string {
	if p.majorityAt.IsZero() {
		return p.listed
	}
	var names []string
	for _, process := range p.listed {
		if !p.confirmedAsOf(process, p.majorityAt) {
			names = append(names, process)
		}
	}
	return names
}

// Status returns ChangeAccepted if a majority of the listed daemons has confirmed and each other one
// has confirmed too, or has been silent for longer than Lease plus ClockError since the majority was
// reached. Otherwise it returns ChangePending and the missing daemons.
func (p Publication) Status(now time.Time) (status wire.ChangeStatus, missing []string) {
	at := p.majorityAt
	if at.IsZero() {
		at = now
	}
	for _, process := range p.listed {
		if p.confirmedAsOf(process, at) {
			continue
		}
		silent := now.Sub(value.Later(at, p.lastContact[process]))
		if p.majorityAt.IsZero() || silent <= p.rules.Lease+p.rules.ClockError {
			missing = append(missing, process)
		}
	}
	if p.majorityAt.IsZero() || len(missing) > 0 {
		return wire.ChangePending, missing
	}
	return wire.ChangeAccepted, nil
}

// withMajority returns the publication with the time at which a majority was first reached, if any.
func (p Publication) withMajority(now time.Time) Publication {
	count := 0
	for _, process := range p.listed {
		if p.confirmedAsOf(process, now) {
			count++
		}
	}
	if p.majorityAt.IsZero() && count > len(p.listed)/2 {
		p.majorityAt = now
	}
	return p
}

// confirmedAsOf reports whether the daemon's latest confirmation is later than one lease before the
// given time. An older one may come from a previous process of the daemon.
func (p Publication) confirmedAsOf(process string, at time.Time) bool {
	sent, ok := p.confirmed[process]
	return ok && sent.After(at.Add(-p.rules.Lease))
}

func withTime(times map[string]time.Time, process string, at time.Time) map[string]time.Time {
	next := make(map[string]time.Time, len(times)+1)
	maps.Copy(next, times)
	next[process] = at
	return next
}
