// Package config decides whether a daemon may serve with its configuration table, when a published
// change is in effect on all daemons, when a snapshot is written and how the table is recovered.
//
// # Usage
//
//	state := config.New("entry-1", config.DefaultRules, started)
//	state = state.Update(config.Listed{Names: names})
//	state = state.Update(config.Page{Page: page, Sent: sent})
//	serving, reason := state.Serving(now)
//
//	publication := config.NewPublication(next, names, config.DefaultRules)
//	publication = publication.WithConfirmed("entry-2", reply.Next, sent, now)
//	status, missing := publication.Status(now)
//
// A daemon serves under a lease, which it renews by reading the tail of the log or by querying its
// peers. The lease starts when the request was sent and not when the response was received, since a
// response may be late and a daemon may be paused before it processes it. The sender therefore
// records the time before it sends a request and passes it as Sent.
//
// A change can be accepted without the confirmation of every daemon. Once a majority has confirmed
// a record, a daemon that lacks it can no longer renew its lease: a read of the log would return the
// record, a peer that has read the tail since the append is at a different offset, and every
// majority contains a daemon that has confirmed the record and reports a later offset. The present
// lease of the daemon expires within one lease period. Its silence towards the publisher alone is
// not sufficient, since it may have queried a member of the majority just before that member
// confirmed.
//
// A daemon loses its confirmed records when it restarts. A confirmation therefore counts only if it
// is younger than a lease when the majority is reached, and a daemon that starts without the log
// ignores the offsets of peers that it queried within its first lease.
package config

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lentilstage.dev/domain/table"
	"lentilstage.dev/domain/value"
	"lentilstage.dev/wire/wire"
)

type (
	// Rules are the periods of the serving lease.
	Rules struct {
		// Lease is how long a daemon may serve after a read of the tail or a response of a peer.
		Lease time.Duration
		// ClockError is how long the publisher waits in addition to a lease. No lease depends on
		// the difference between two clocks, so it only covers clocks that run at different rates.
		ClockError time.Duration
		// RankDelay is the delay between the snapshot attempts of two consecutive ranks.
		RankDelay time.Duration
	}

	// Message is an input of Update: Listed, Page, PeerReport, Pushed or Transferred.
	Message interface{ apply(s *State) }

	// Listed carries the names of the daemons on the instance list, live or leaving.
	Listed struct{ Names []string }

	// Page is the log's response to a read of the Control stream from State.From.
	Page struct {
		Page wire.LogPage
		// Sent is this daemon's time before it sent the read.
		Sent time.Time
	}

	// PeerReport is a digest entry of another daemon.
	PeerReport struct {
		Entry wire.DigestEntry
		// Sent is this daemon's time before it sent the request to which the entry responds. It
		// is zero for a relayed or unsolicited entry, whose age is unknown.
		Sent time.Time
		// Time is the other daemon's time when it responded.
		Time time.Time
	}

	// Pushed carries control records that a peer sent, in offset order.
	Pushed struct{ Records []wire.LogRecord }

	// Transferred is the table state of a peer, as returned by a GET of its state.
	Transferred struct {
		State table.State
		// Now is the time of day. LeaseNow is the time by the clock of the lease; zero means Now.
		Now      time.Time
		LeaseNow time.Time
	}

	// State is a daemon's table state with the evidence that it is up to date. It is immutable.
	State struct {
		self       string
		rules      Rules
		started    time.Time
		listed     []string
		tableState table.State
		ready      bool
		// tailDeadline is when the lease of this daemon's last read of the tail expires, by its own
		// clock.
		tailDeadline time.Time
		// peers holds the last reports of the other daemons.
		peers map[string]peerStatus
		// buffered holds contiguous records whose predecessors have not been applied.
		buffered []wire.LogRecord
		// snapshotTime is the time from which the age of the newest snapshot counts, or the time at
		// which the table state was fetched from a peer if no snapshot has been read since.
		snapshotTime      time.Time
		snapshotTimeKnown bool
	}

	// peerStatus holds the last reports of another daemon.
	peerStatus struct {
		// offset is the offset in its last direct response, and queriedAt the time of the query.
		offset    int64
		queriedAt time.Time
		// tailOffset is its offset when it last read the tail, and tailDeadline when the lease of
		// that read expires, by this daemon's clock.
		tailOffset   int64
		tailDeadline time.Time
		// highestOffset is the highest offset that it has reported.
		highestOffset int64
	}
)

// DefaultRules are the periods given in section 5.4 of the design document.
var DefaultRules = Rules{Lease: 10 * time.Second, ClockError: time.Second, RankDelay: 2 * time.Second}

const (
	// A daemon queries at most baseQueries peers per second, plus one for every
	// daemonsPerExtraQuery listed daemons.
	baseQueries          = 3
	daemonsPerExtraQuery = 16
)

// maxBufferedRecords limits the records that are buffered until a snapshot is read. When it is
// exceeded, the oldest are discarded first, so that only a later snapshot can be used.
const maxBufferedRecords = 20_000

// New returns the state of a daemon without a table. Started is the daemon's own time at its start.
func New(self string, rules Rules, started time.Time) State {
	return State{self: self, rules: rules, started: started, tableState: table.NewState()}
}

// Update applies a message and returns the updated state.
func (s State) Update(message Message) State {
	message.apply(&s)
	return s
}

// TableState returns the state of the table. It is empty before Ready.
func (s State) TableState() table.State { return s.tableState }

// Ready reports whether the table has been recovered.
func (s State) Ready() bool { return s.ready }

// Next returns the offset after the last applied record, or 0 before Ready. A daemon that has lost
// its table therefore does not count towards a majority.
func (s State) Next() int64 {
	if !s.ready {
		return 0
	}
	return s.tableState.Next
}

// ReadOffset returns the offset from which to read the log.
func (s State) ReadOffset() int64 {
	if len(s.buffered) > 0 {
		return s.buffered[len(s.buffered)-1].Offset + 1
	}
	return s.tableState.Next
}

// TailDeadline returns the time at which the lease of this daemon's last read of the tail expires,
// by its own clock. It is sent in digests.
func (s State) TailDeadline() time.Time { return s.tailDeadline }

// apply replaces the list of daemons.
func (m Listed) apply(s *State) { s.listed = slices.Clone(m.Names) }

// apply applies the records of the page. If the records before the page are missing, it buffers the
// page until it reads a snapshot after which all records are available. The daemon is ready only
// once it has applied the whole log: after a part of it, Next would report that the daemon has no
// later record, although it may have confirmed one before a restart.
func (m Page) apply(s *State) {
	if m.Page.Oldest > s.ReadOffset() {
		// Records have expired unread, so the buffered records are no longer contiguous with the page.
		s.buffered = nil
	}
	s.applyRecords(m.Page.Records)
	if s.tableState.Next == m.Page.Next && len(s.buffered) == 0 {
		s.ready = true
		s.tailDeadline = value.Later(s.tailDeadline, m.Sent.Add(s.rules.Lease))
	}
}

// apply applies the records that directly follow the table state.
func (m Pushed) apply(s *State) {
	if !s.ready {
		return
	}
	for _, r := range m.Records {
		if r.Offset == s.tableState.Next && len(s.buffered) == 0 {
			s.applyRecord(r)
		}
	}
}

// apply updates the status of the peer.
func (m PeerReport) apply(s *State) {
	if m.Entry.Process == s.self || m.Entry.Process == "" {
		return
	}
	s.peers = maps.Clone(s.peers)
	if s.peers == nil {
		s.peers = make(map[string]peerStatus)
	}
	status := s.peers[m.Entry.Process]
	status.highestOffset = max(status.highestOffset, m.Entry.Next)
	if m.Sent.After(status.queriedAt) {
		status.queriedAt, status.offset = m.Sent, m.Entry.Next
	}
	// The remainder of the peer's lease is counted from the time of the query, so that the
	// difference between the two clocks does not matter.
	left := min(m.Entry.TailDeadline.Sub(m.Time), s.rules.Lease)
	if deadline := m.Sent.Add(left); !m.Sent.IsZero() && !m.Time.IsZero() && deadline.After(status.tailDeadline) {
		status.tailDeadline, status.tailOffset = deadline, m.Entry.Next
	}
	s.peers[m.Entry.Process] = status
}

// apply adopts a peer's table state if it is ahead of this daemon's. A daemon that is not ready
// adopts it only if it has reached the highest offset reported by a majority of the listed daemons,
// itself excluded: at least one member of that majority has each accepted record.
func (m Transferred) apply(s *State) {
	if !s.ready {
		at := m.LeaseNow
		if at.IsZero() {
			at = m.Now
		}
		highest, majority := s.highestPeerOffset(at)
		if !majority || m.State.Next < highest {
			return
		}
	}
	if m.State.Next > s.tableState.Next {
		s.tableState, s.buffered = m.State.Normalized(), nil
		s.snapshotTime, s.snapshotTimeKnown = m.Now, false
	}
	s.ready = true
}

// highestPeerOffset returns the highest offset that peers have reported within the lease, and whether
// these peers are a majority without this daemon. Queries within the first lease after the start do
// not count: a record that this daemon confirmed before a restart may reach the rest of its majority
// until then.
func (s State) highestPeerOffset(now time.Time) (highest int64, majority bool) {
	count := 0
	for _, process := range s.listed {
		status, ok := s.peers[process]
		if !ok || process == s.self || status.offset == 0 || status.queriedAt.Before(s.started.Add(s.rules.Lease)) {
			continue
		}
		if now.Before(status.queriedAt.Add(s.rules.Lease)) {
			count++
			highest = max(highest, status.offset)
		}
	}
	return highest, count > len(s.listed)/2
}

// FetchPeer returns the peer from which this daemon should fetch the table state, because the daemon is
// not ready or the peer reports a later offset. A daemon that can read the log needs this only if
// the log has lost the records and snapshots that it lacks.
func (s State) FetchPeer(now time.Time) (peer string, ok bool) {
	if _, majority := s.highestPeerOffset(now); !s.ready && !majority {
		return "", false
	}
	highest := s.Next()
	for _, process := range s.listed {
		if status := s.peers[process]; status.offset > highest {
			peer, highest = process, status.offset
		}
	}
	return peer, peer != ""
}

// Serving reports whether new requests may be served with the table, and the reason.
func (s State) Serving(now time.Time) (serving bool, reason string) {
	if !s.ready {
		return false, "the table has not been recovered yet"
	}
	if now.Before(s.tailDeadline) {
		return true, "the tail of the log was read"
	}
	for _, process := range slices.Sorted(maps.Keys(s.peers)) {
		status := s.peers[process]
		// At the peer's offset or a later one, this daemon has all records that the peer read.
		if status.tailOffset <= s.tableState.Next && now.Before(status.tailDeadline) {
			return true, fmt.Sprintf("%s has read the tail of the log and no later table", process)
		}
	}
	// The design requires a majority only while no daemon can read the log. If a reachable peer can
	// read it, that peer is at the same offset (handled above) or at a later one (handled below).
	votes, ahead := 1, ""
	for _, process := range s.listed {
		status, ok := s.peers[process]
		switch {
		case !ok || process == s.self:
		case status.highestOffset > s.tableState.Next:
			ahead = process
		case status.offset > 0 && now.Before(status.queriedAt.Add(s.rules.Lease)):
			votes++
		}
	}
	switch {
	case ahead != "":
		return false, fmt.Sprintf("%s knows a later table and the log can't be read", ahead)
	case slices.Contains(s.listed, s.self) && votes > len(s.listed)/2:
		return true, fmt.Sprintf("%d of %d daemons know no later table", votes, len(s.listed))
	}
	return false, fmt.Sprintf("the log was not read within %s and %d of %d daemons are reached", s.rules.Lease, votes, len(s.listed))
}

// PeersToQuery returns the listed daemons to query directly now, the least recently queried first. The daemon
// calls it once a second while it cannot read the log. The number is limited: with 390 daemons, each
// queries 27 others per second, which within a lease reaches two thirds of them, enough for a
// majority. With up to 9 daemons, a lease is enough to query all of them.
func (s State) PeersToQuery(now time.Time) []string {
	var names []string
	for _, process := range s.listed {
		if process != s.self && !now.Before(s.peers[process].queriedAt.Add(s.rules.Lease/2)) {
			names = append(names, process)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return s.peers[a].queriedAt.Compare(s.peers[b].queriedAt) })
	return names[:min(len(names), baseQueries+len(s.listed)/daemonsPerExtraQuery)]
}
