package relay

import (
	"sync"
	"time"

	"lentilstage.dev/decide/roster"
)

// feed knows how fresh the streams are, by the own reads and by those of the own hub. A
// daemon reads a stream itself while it is a hub, or while its hub tells nothing fresh.
type feed struct {
	mutex sync.Mutex
	// own are the times of this daemon's last reads up to a stream's end, hub those that its
	// hub has told.
	own map[Stream]time.Time
	hub map[Stream]time.Time
	// ownNext are the offsets after the records that this daemon has, hubNext that after the
	// endpoints' records of the hub.
	ownNext map[Stream]int64
	hubNext int64
	// behindSince is when the hub first told that it has more of the operators' records; zero while
	// it has not.
	behindSince time.Time
	// elsewhereAt is the last read of the endpoints that another daemon has told, and
	// elsewhereSince the time since which such reads have come without a gap.
	elsewhereAt    time.Time
	elsewhereSince time.Time
	// otherSince is when the endpoints began to differ from the hub's; zero while they don't.
	otherSince time.Time
	rosterHash func(time.Time) uint64
	// wanted is the newest version of the configuration that a daemon has told of, wantedAt when it
	// first did.
	wanted   int64
	wantedAt time.Time
}

const (
	// operatorsFresh bounds the age of a hub's read of the configuration: an own read must
	// still be made within the time in which a change is to be in force.
	operatorsFresh = 1500 * time.Millisecond
	// endpointsFresh bounds the age of a hub's read of the endpoints.
	endpointsFresh = 1900 * time.Millisecond
	// elsewhereGap is the longest time between reads of other daemons for which the log is taken
	// to have answered them all the while: a hub reads at least every two seconds.
	elsewhereGap = 2500 * time.Millisecond
	// repairAfter is how long the endpoints may differ from the hub's before all are fetched;
	// news are a datagram away.
	repairAfter = 600 * time.Millisecond
	// passedOnAfter is how long a daemon waits for a hub to pass on the operators' records that it has
	// been told of, before it reads them itself.
	passedOnAfter = 300 * time.Millisecond
)

func newFeed(rosterHash func(time.Time) uint64) *feed {
	return &feed{own: map[Stream]time.Time{}, hub: map[Stream]time.Time{}, ownNext: map[Stream]int64{}, rosterHash: rosterHash}
}

// read notes an own read up to the stream's end.
func (f *feed) read(stream Stream, next int64, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.own[stream], f.ownNext[stream] = now, max(f.ownNext[stream], next)
	if stream == Operators {
		f.behindSince = time.Time{}
	}
}

// passedOn notes that the hub has passed on all records of the operators from one offset up to another.
// Where an earlier one is missing, the daemon reads them itself.
func (f *feed) passedOn(from, next int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if from <= f.ownNext[Operators] {
		f.ownNext[Operators] = max(f.ownNext[Operators], next)
	}
}

// heard takes in what the hub tells of its reads.
func (f *feed) heard(t totals, endpointsAge time.Duration, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.hub[Operators] = now.Add(-time.Duration(t.OperatorsAgeMS) * time.Millisecond)
	f.hub[Endpoints] = now.Add(-endpointsAge)
	if t.OperatorsNext <= f.ownNext[Operators] {
		f.behindSince = time.Time{}
	} else if f.behindSince.IsZero() {
		f.behindSince = now
	}
	if t.Roster == f.rosterHash(now) {
		f.otherSince = time.Time{}
		f.hubNext = t.EndpointsNext
	} else if f.otherSince.IsZero() {
		f.otherSince = now
	}
}

// fill puts the own reads into a hub's totals.
func (f *feed) fill(t *totals, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	t.OperatorsAgeMS = now.Sub(f.own[Operators]).Milliseconds()
	t.OperatorsNext, t.EndpointsNext = f.ownNext[Operators], f.ownNext[Endpoints]
}

// fresh reports whether the hub's last read of the stream is young enough to rely on.
func (f *feed) fresh(stream Stream, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	limit := operatorsFresh
	if stream == Endpoints {
		limit = endpointsFresh
	}
	return now.Sub(f.hub[stream]) < limit
}

// next returns the offset after the records of the stream that this daemon knows of, at least the given
// one. It is that from which an own read goes on.
func (f *feed) next(stream Stream, least int64) int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	next := max(least, f.ownNext[stream])
	if stream == Endpoints {
		next = max(next, f.hubNext)
	}
	return next
}

// differs reports whether the endpoints have differed from the hub's for too long, and starts
// the time anew.
func (f *feed) differs(now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.otherSince.IsZero() || now.Sub(f.otherSince) < repairAfter {
		return false
	}
	f.otherSince = now
	return true
}

// readElsewhere notes a read of the endpoints that another daemon has told.
func (f *feed) readElsewhere(at time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !at.After(f.elsewhereAt) {
		return
	}
	if at.Sub(f.elsewhereAt) > elsewhereGap {
		f.elsewhereSince = at
	}
	f.elsewhereAt = at
}

// upElsewhere reports whether the log has answered other daemons from a time until now.
func (f *feed) upElsewhere(since, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Sub(f.elsewhereAt) < elsewhereGap && !f.elsewhereSince.After(since)
}

// readAge returns the time since the last own read of the endpoints.
func (f *feed) readAge(now time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Sub(f.own[Endpoints])
}

// toldOf notes a version of the configuration that a daemon has told of.
func (f *feed) toldOf(version int64, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if version > f.wanted {
		f.wanted, f.wantedAt = version, now
	}
}

// lacks reports whether a daemon has told of a newer version of the configuration than the given one,
// or the hub of other records of the operators, and no hub has passed them on.
func (f *feed) lacks(version int64, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.wanted > version && now.Sub(f.wantedAt) > passedOnAfter ||
		!f.behindSince.IsZero() && now.Sub(f.behindSince) > passedOnAfter
}

// changed logs changes of endpoints and tells them to the daemons that follow.
func (d *Daemon) changed(changes []roster.Change) {
	if len(changes) == 0 {
		return
	}
	d.logChanges(changes)
	d.gossip.sendNews(changes)
}
