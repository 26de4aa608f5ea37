package relay

import (
	"sync"
	"time"

	"lentilstage.dev/decide/roster"
	"lentilstage.dev/domain/value"
)

// freshness tracks the age of the last reads of each stream by this daemon and by the daemon that
// informs it: a follower's hub, or the reader for a hub. A daemon reads a stream itself while it is the
// reader, or while the reads that inform it are too old.
type freshness struct {
	mutex sync.Mutex
	// ownReadAt is the time whose state this daemon's last read up to the end of a stream shows, hubReadAt that of
	// the read by which its hub informs it, and readerReadAt that of the reader's, which informs hubs.
	ownReadAt    map[Stream]time.Time
	hubReadAt    map[Stream]time.Time
	readerReadAt map[Stream]time.Time
	// matchedAt is the time of the last read that was made for this daemon and whose records it has. A
	// new hub lacks the changes that were sent to the one before.
	matchedAt map[Stream]time.Time
	// readerMatchedAt is the same of the reader's reads alone. A hub informs its followers of these: they
	// can't find out that it lacks records.
	readerMatchedAt map[Stream]time.Time
	// own is the position after the records that this daemon has, hubEndpoints the one after the hub's
	// endpoint records.
	own          map[Stream]value.Position
	hubEndpoints value.Position
	// behindSince is when the hub first reported more operators' records than this daemon has; zero
	// if it has not.
	behindSince time.Time
	// divergedSince is when the endpoints began to differ from the hub's; zero while they agree.
	divergedSince time.Time
	rosterHash    func(time.Time) uint64
	// announcedVersion is the newest configuration version that a daemon has reported, and
	// announcedAt when that version was first reported.
	announcedVersion int64
	announcedAt      time.Time
	// firstAnnouncedAt is when that version was first reported, also if announcedAt was put off.
	firstAnnouncedAt time.Time
	// soughtVersion is the newest version that had been announced when an own read ended.
	soughtVersion int64
}

const (
	// maxOperatorsAge limits the age of the read of the configuration that informs a daemon. After it,
	// an own read must still fit into the time in which a change must be in force.
	maxOperatorsAge = 1500 * time.Millisecond
	// maxEndpointsAge limits the age of the read of the endpoints. After it, an own read must still fit into the time
	// in which a leaving endpoint must be out of use, which is two seconds or more, and must come before the reads
	// of all daemons count as interrupted.
	maxEndpointsAge = 1500 * time.Millisecond
	// usualInterval is the interval of messages for which these ages hold. They grow with it, since
	// an age is two intervals old when it reaches a follower.
	usualInterval = 100 * time.Millisecond
	// hubReadLead is how much earlier a hub reads than its followers would, so that one read informs
	// them all.
	hubReadLead = 200 * time.Millisecond
	// repairDelay is how long the endpoints may differ from the hub's before they are all fetched;
	// changes normally arrive in the next datagram.
	repairDelay = 600 * time.Millisecond
	// forwardDelay is how long a daemon waits for its hub to forward operators' records that were
	// announced. After it, the daemon reads them itself.
	forwardDelay = 300 * time.Millisecond
)

func newFreshness(rosterHash func(time.Time) uint64) *freshness {
	return &freshness{
		ownReadAt: map[Stream]time.Time{}, hubReadAt: map[Stream]time.Time{}, readerReadAt: map[Stream]time.Time{},
		matchedAt: map[Stream]time.Time{}, readerMatchedAt: map[Stream]time.Time{}, own: map[Stream]value.Position{}, rosterHash: rosterHash,
	}
}

// recordOwnRead records a read by this daemon up to the stream's end, as it was at a time.
func (f *freshness) recordOwnRead(stream Stream, next value.Position, shownAt time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.ownReadAt[stream], f.own[stream] = value.Later(f.ownReadAt[stream], shownAt), value.Furthest(f.own[stream], next)
	if stream == Operators {
		f.behindSince = time.Time{}
		if f.announcedVersion > f.soughtVersion {
			f.soughtVersion = f.announcedVersion
		}
		// The read has brought an announced version unless a restored log has lost it. The next read waits.
		f.announcedAt = value.Later(f.announcedAt, shownAt.Add(ownReadInterval-forwardDelay))
	}
}

// lastRead returns when the stream was last read for this daemon, by itself or by the daemon that informs it, and
// whether it was itself.
func (f *freshness) lastRead(stream Stream, isHub bool) (at time.Time, own bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	others := f.readsFor(isHub)[stream]
	return value.Later(f.ownReadAt[stream], others), !others.After(f.ownReadAt[stream])
}

// announced returns the newest configuration version that a daemon has reported.
func (f *freshness) announced() int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.announcedVersion
}

// lacksVersion reports whether a version newer than the given one was announced and an own read has not
// brought it.
func (f *freshness) lacksVersion(version int64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.soughtVersion > version
}

// recordForwarded records that the hub has forwarded all operators' records between two positions of an
// era. If earlier records are missing, the daemon reads them itself.
func (f *freshness) recordForwarded(from, next value.Position) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if from.Offset == 0 || from.Era == f.own[Operators].Era && from.Offset <= f.own[Operators].Offset {
		f.own[Operators] = value.Furthest(f.own[Operators], next)
	}
}

// applyHubTotals records what this daemon's hub, or the reader if it is a hub itself, reports about its
// reads.
func (f *freshness) applyHubTotals(t totals, endpointsReadAt time.Time, isHub bool, now time.Time) {
	hash := f.rosterHash(now)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	readAt := f.readsFor(isHub)
	readAt[Operators] = value.Later(readAt[Operators], ago(t.OperatorsAgeMS, now))
	readAt[Endpoints] = value.Later(readAt[Endpoints], endpointsReadAt)
	if !f.own[Operators].Before(t.operatorsEnd()) {
		f.behindSince = time.Time{}
		f.recordMatch(Operators, ago(t.OperatorsAgeMS, now), isHub)
	} else if f.behindSince.IsZero() {
		f.behindSince = now
	}
	if t.Roster == hash {
		f.divergedSince = time.Time{}
		f.hubEndpoints = t.endpointsEnd()
		f.recordMatch(Endpoints, endpointsReadAt, isHub)
	} else if f.divergedSince.IsZero() {
		f.divergedSince = now
	}
}

// recordMatch records a read by another daemon whose records this one has. The caller holds the lock.
func (f *freshness) recordMatch(stream Stream, at time.Time, byReader bool) {
	f.matchedAt[stream] = value.Later(f.matchedAt[stream], at)
	if byReader {
		f.readerMatchedAt[stream] = value.Later(f.readerMatchedAt[stream], at)
	}
}

// fillTotals sets a hub's reads in its totals, or its own ones only. Other hubs rely on own reads
// alone: two hubs that inform each other would never find their records old.
func (f *freshness) fillTotals(t *totals, own bool, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	readAt := f.ownReadAt[Operators]
	endpoints := f.own[Endpoints]
	if !own {
		readAt = value.Later(readAt, f.readerMatchedAt[Operators])
		endpoints = value.Furthest(endpoints, f.hubEndpoints)
	}
	*t = t.withEnds(f.own[Operators], endpoints)
	t.OperatorsAgeMS = ageMS(readAt, now)
}

// readsFor returns the times of the reads that inform a hub, or a follower.
func (f *freshness) readsFor(isHub bool) map[Stream]time.Time {
	if isHub {
		return f.readerReadAt
	}
	return f.hubReadAt
}

// readTimes returns when the last read of a stream was made that lets this daemon inform others, and
// when it last read the stream itself. What a hub of its own data centre reads does not count: a hub
// that can't read, and that a follower has replaced, would take its place again.
func (f *freshness) readTimes(stream Stream) (informedAt, ownAt time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	ownAt = f.ownReadAt[stream]
	return value.Later(ownAt, f.readerMatchedAt[stream]), ownAt
}

// hubFresh reports whether the last read of the stream that another daemon made for this one is recent
// enough to rely on. interval is the interval of messages.
func (f *freshness) hubFresh(stream Stream, isHub bool, interval time.Duration, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Sub(f.readsFor(isHub)[stream]) < maxAgeOf(stream, isHub, interval)
}

// informed reports the same of the read that this daemon relies on. A hub must have its records. A
// follower gets what it lacks from its hub: in a fleet of thousands that changes all the time, followers
// differ from it often and would all read the log.
func (f *freshness) informed(stream Stream, isHub bool, interval time.Duration, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	readAt := f.hubReadAt[stream]
	if isHub {
		readAt = f.matchedAt[stream]
	}
	return now.Sub(readAt) < maxAgeOf(stream, isHub, interval)
}

// maxAgeOf returns the age of a read up to which a daemon does not read the stream itself.
func maxAgeOf(stream Stream, isHub bool, interval time.Duration) time.Duration {
	limit := maxOperatorsAge
	if stream == Endpoints {
		limit = maxEndpointsAge
	}
	limit += 2 * (interval - usualInterval)
	if isHub {
		limit -= hubReadLead
	}
	return limit
}

// next returns the position after the stream's records that this daemon knows. An own read starts from it.
func (f *freshness) next(stream Stream) value.Position {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if stream == Endpoints {
		return value.Furthest(f.own[stream], f.hubEndpoints)
	}
	return f.own[stream]
}

// rosterDiverged reports whether the endpoints have differed from the hub's for too long. If so, it
// restarts the period.
func (f *freshness) rosterDiverged(now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.divergedSince.IsZero() || now.Sub(f.divergedSince) < repairDelay {
		return false
	}
	f.divergedSince = now
	return true
}

// recordVersion records a configuration version that a daemon has reported.
func (f *freshness) recordVersion(version int64, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if version > f.announcedVersion {
		f.announcedVersion, f.announcedAt, f.firstAnnouncedAt = version, now, now
	}
}

// outdated reports whether a configuration newer than the given version was announced and no later read has shown that
// the log lacks it.
func (f *freshness) outdated(version int64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	shownAt := value.Later(f.ownReadAt[Operators], f.matchedAt[Operators])
	return f.announcedVersion > version && !shownAt.After(f.firstAnnouncedAt)
}

// missingRecords reports whether a configuration newer than the given version, or other operators'
// records, were announced and no hub has forwarded them in time.
func (f *freshness) missingRecords(version int64, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.announcedVersion > version && now.Sub(f.announcedAt) > forwardDelay ||
		!f.behindSince.IsZero() && now.Sub(f.behindSince) > forwardDelay
}

// publishChanges logs changes of endpoints and sends them to the daemons that this one informs.
func (d *Daemon) publishChanges(changes []roster.Change) {
	if len(changes) == 0 {
		return
	}
	d.logChanges(changes)
	d.gossip.sendChanges(changes)
}
