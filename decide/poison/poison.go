// Package poison finds parts of prompts that crash the endpoints that begin to answer them.
//
// No two of the requests with such a part are alike, and they come at any daemon. A daemon sees an
// endpoint break off several attempts at once, and can't tell which of them crashed it. So the daemons
// together keep, for each part, the endpoints that broke off an attempt with it before its response had
// gone beyond its begin. A response to a request with the part that has done so voids all of the part's earlier
// crashes, and one from an endpoint those that are ascribed to it. A part with MinCrashes crashes left is quarantined: requests
// with it are rejected.
//
// Parts that always come together have the same crashes. The last one in the order of the prompt is
// quarantined, since it concerns the fewest requests. A part whose crashes are all crashes of a
// quarantined part is not.
//
// A quarantine ends with an answer to a request with the part. One daemon sends such a request from
// time to time.
//
// # Usage
//
//	state, commands := poison.New().Update(poison.Crashed{Parts: keys, Endpoint: endpoint, At: now})
//	verdict := state.Judge(keys, now)
//	report := state.Own().Report(now)
//	state, commands = state.Update(poison.Reported{Evidence: report.Evidence(now), Now: now})
//
// The state is immutable. A daemon reports Own to its hub; hubs merge the evidence of several daemons,
// and pass it on. What a daemon has only heard is not in Own, so that ages don't grow younger as
// reports circulate.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lentilstage.dev/domain/value"
)

type (
	// Key identifies a part of prompts, or one start of an endpoint.
	Key uint64

	// Message is one of Crashed, Answered, Reported, Probed and Tick.
	Message interface{ poisonMessage() }

	// Crashed reports that an endpoint broke off an attempt before its response had gone beyond its begin.
	Crashed struct {
		// Parts are the parts of the prompt in order, without the last one, which no other request has.
		Parts    []Key
		Endpoint Key
		At       time.Time
	}

	// Answered reports that an endpoint answers an attempt and has not crashed: it has sent more than the
	// begin of its response.
	Answered struct {
		Parts    []Key
		Endpoint Key
		SentAt   time.Time
		At       time.Time
	}

	// Reported holds what other daemons have recorded.
	Reported struct {
		Evidence Evidence
		Now      time.Time
	}

	// Probed reports that this daemon sends a request to test a quarantined part.
	Probed struct {
		Part Key
		At   time.Time
	}

	// Tick reports the current time. Entries past their time are removed.
	Tick struct {
		Now time.Time
	}

	// Command is one of Suspect, Quarantine and Clear. They are for the log.
	Command interface{ poisonCommand() }

	// Suspect says that a part has a second crash without an answer since the first.
	Suspect struct {
		Part    Key
		Crashes int
		Depth   int
	}

	// Quarantine says that requests with a part are rejected from now on.
	Quarantine struct {
		Part Key
		// Crashes is the number of crashes known here; 0 if another daemon has decided.
		Crashes int
		Depth   int
	}

	// Clear says that a part is no longer suspected, or quarantined: after an answer, or since its crashes
	// are too old.
	Clear struct {
		Part        Key
		Crashes     int
		Quarantined bool
	}

	// State holds the evidence that a daemon has recorded itself, and all that it knows. It is immutable.
	State struct {
		own, known Evidence
		// tickedAt is when expired entries were last removed.
		tickedAt time.Time
	}

	// Verdict says whether a request may be sent to an endpoint.
	Verdict struct {
		// Part is the quarantined part for which the request is rejected; Rejected is not set otherwise.
		Part     Key
		Rejected bool
		// RetryAt is when the part is tested next.
		RetryAt time.Time
		// ProbeDue reports that the request may be sent to test Part, by the one daemon that tests it. That
		// daemon then records Probed.
		ProbeDue bool
	}
)

const (
	// MinCrashes is the number of crashes that quarantine a part. Requests with it may still be sent up to
	// some seconds after the fifth crash. Fewer would quarantine sound parts when several endpoints crash
	// for another reason.
	MinCrashes = 4
	// suspectCrashes is the number of crashes from which a part is reported as suspected.
	suspectCrashes = 2
	// sameInstant is the time within which crashes count as one: many endpoints break off attempts at the
	// same moment when a data centre fails or connections are reset.
	sameInstant = 150 * time.Millisecond
	// crashWindow is the time for which a crash or an answer counts. It covers parts that are asked for
	// rarely: an answer voids crashes in any case.
	crashWindow = 2 * time.Minute
	// firstProbe is the time from the quarantine to the first test. Each later one takes probeFactor times
	// as long, since a test of a part that is not sound costs an endpoint.
	firstProbe  = 8 * time.Second
	probeFactor = 4
	maxProbes   = 8
	// probeDuration is the time until the result of a test is known to all daemons.
	probeDuration = time.Second
	// quarantineTime is the time for which a quarantine lasts without an answer.
	quarantineTime = 12 * time.Hour
	// reportDelay is the time until a crash that another daemon has seen is known here.
	reportDelay = time.Second
	// tickInterval is the pause between two removals of expired entries.
	tickInterval = time.Second
	// maxSuspects bounds the parts in the state, and maxCrashes the crashes of one part.
	maxSuspects = 256
	maxCrashes  = 8
)

// New returns a state without evidence.
func New() State { return State{own: newEvidence(), known: newEvidence()} }

// Own returns what this daemon has recorded itself, with all quarantines in force.
func (s State) Own() Evidence {
	own := s.own.clone()
	own.Quarantines = s.known.Quarantines
	return own
}

// Empty reports whether nothing is recorded.
func (s State) Empty() bool { return s.known.empty() }

// HasQuarantines reports whether a part is quarantined.
func (s State) HasQuarantines() bool { return len(s.known.Quarantines) > 0 }

// Update returns the state after a message and the commands to carry out.
func (s State) Update(message Message) (State, []Command) {
	switch m := message.(type) {
	case Crashed:
		return s.withCrash(m)
	case Answered:
		return s.withAnswer(m)
	case Reported:
		if !s.known.adds(m.Evidence, m.Now) {
			return s, nil
		}
		next := s.unshared()
		next.known = next.known.Merge(m.Evidence)
		return next.settle(s, m.Now)
	case Probed:
		q, quarantined := s.known.Quarantines[m.Part]
		if !quarantined {
			return s, nil
		}
		next := s.unshared()
		q.Probes++
		next.known.Quarantines[m.Part] = q
		return next, nil
	case Tick:
		if s.Empty() || m.Now.Sub(s.tickedAt) < tickInterval {
			return s, nil
		}
		s.tickedAt = m.Now
		return s.unshared().settle(s, m.Now)
	}
	return s, nil
}

// unshared returns a copy of the state whose evidence may be changed.
func (s State) unshared() State {
	return State{own: s.own.clone(), known: s.known.clone(), tickedAt: s.tickedAt}
}

// withCrash records a crash for each part.
func (s State) withCrash(m Crashed) (State, []Command) {
	next := s.unshared()
	for depth, part := range m.Parts {
		next.own.addCrash(part, depth, m.Endpoint, m.At)
		next.known.addCrash(part, depth, m.Endpoint, m.At)
	}
	return next.settle(s, m.At)
}

// withAnswer records an answer to a request with parts that are suspected, or from an endpoint that is.
func (s State) withAnswer(m Answered) (State, []Command) {
	relevant := s.known.hasEndpoint(m.Endpoint)
	for _, part := range m.Parts {
		relevant = relevant || s.known.concerns(part)
	}
	if !relevant {
		return s, nil
	}
	next := s.unshared()
	for _, e := range []Evidence{next.own, next.known} {
		// The endpoint was sound when the attempt was sent to it, not only when it ended.
		e.Answers[m.Endpoint] = value.Later(e.Answers[m.Endpoint], m.SentAt)
		for _, part := range m.Parts {
			if s.known.concerns(part) {
				e.Answers[part] = value.Later(e.Answers[part], m.At)
			}
		}
	}
	return next.settle(s, m.At)
}

// settle removes what answers have voided or what is too old, and decides on quarantines. The state must
// not be shared.
func (s State) settle(before State, now time.Time) (State, []Command) {
	s.known.expireQuarantines(now)
	s.own.expire(s.known, now)
	s.known.expire(s.known, now)
	s.own.limit()
	for _, part := range s.known.candidates() {
		if !s.known.explained(part, now) {
			s.known.Quarantines[part] = QuarantineRecord{Since: now, FirstCrash: s.known.Crashes[part].first()}
		}
	}
	s.known.limit()
	return s, before.changes(s)
}

// changes returns what has changed after this state, in the order of the parts' keys. Suspicions are
// reported only by daemons that have seen a crash: hundreds hear of each.
func (s State) changes(after State) []Command {
	parts := map[Key]bool{}
	for _, e := range []Evidence{s.known, after.known} {
		for part := range e.Crashes {
			parts[part] = true
		}
		for part := range e.Quarantines {
			parts[part] = true
		}
	}
	var commands []Command
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		_, ownBefore := s.own.Crashes[part]
		_, ownAfter := after.own.Crashes[part]
		seen := ownBefore || ownAfter
		_, was := s.known.Quarantines[part]
		_, is := after.known.Quarantines[part]
		before, crashes := len(s.known.Crashes[part].At), after.known.Crashes[part]
		switch {
		case is && !was:
			commands = append(commands, Quarantine{Part: part, Crashes: len(crashes.At), Depth: crashes.Depth})
		case was && !is, seen && !is && before >= suspectCrashes && len(crashes.At) == 0:
			commands = append(commands, Clear{Part: part, Crashes: before, Quarantined: was})
		case seen && !is && before < suspectCrashes && len(crashes.At) >= suspectCrashes:
			commands = append(commands, Suspect{Part: part, Crashes: len(crashes.At), Depth: crashes.Depth})
		}
	}
	return commands
}

// Judge decides on a request with the given parts. A request tests a part only if it is the request's only
// quarantined one.
func (s State) Judge(parts []Key, now time.Time) Verdict {
	var found []Key
	for _, part := range parts {
		if _, quarantined := s.known.Quarantines[part]; quarantined {
			found = append(found, part)
		}
	}
	if len(found) == 0 {
		return Verdict{}
	}
	part := found[len(found)-1]
	due := s.known.Quarantines[part].NextProbe()
	return Verdict{
		Part: part, Rejected: true, RetryAt: value.Later(due, now).Add(probeDuration),
		ProbeDue: len(found) == 1 && !now.Before(due),
	}
}

// candidates returns the parts with enough crashes that are not quarantined, the last ones in the order of
// their prompts first.
func (e Evidence) candidates() []Key {
	var parts []Key
	for part, crashes := range e.Crashes {
		if _, quarantined := e.Quarantines[part]; !quarantined && crashes.instants() >= MinCrashes {
			parts = append(parts, part)
		}
	}
	slices.SortFunc(parts, func(a, b Key) int {
		return cmp.Or(cmp.Compare(e.Crashes[b].Depth, e.Crashes[a].Depth), cmp.Compare(a, b))
	})
	return parts
}

// explained reports whether the crashes of the part are those of one quarantined part. The youngest ones
// need not be: another daemon may have seen the quarantined part in them.
func (e Evidence) explained(part Key, now time.Time) bool {
	for quarantined := range e.Quarantines {
		others := e.Crashes[quarantined]
		if len(others.At) == 0 {
			continue
		}
		// Crashes that are left out when there are too many may have been those of the quarantined part too.
		leftOut := func(at time.Time) bool {
			return len(others.At) >= maxCrashes && (at.Before(others.first()) || others.hasInstant(at))
		}
		common := func(endpoint Key, _ time.Time) bool {
			_, found := others.At[endpoint]
			return found
		}
		another := func(endpoint Key, at time.Time) bool {
			return !common(endpoint, at) && !leftOut(at) && now.Sub(at) >= reportDelay
		}
		if crashes := e.Crashes[part].At; containsEntry(crashes, common) && !containsEntry(crashes, another) {
			return true
		}
	}
	return false
}

func (Crashed) poisonMessage()  {}
func (Answered) poisonMessage() {}
func (Reported) poisonMessage() {}
func (Probed) poisonMessage()   {}
func (Tick) poisonMessage()     {}

func (Suspect) poisonCommand()    {}
func (Quarantine) poisonCommand() {}
func (Clear) poisonCommand()      {}
