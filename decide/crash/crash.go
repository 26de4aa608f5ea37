// Package crash attributes crashes of endpoints to requests or to versions.
//
// All requests in flight at an endpoint that crashes are suspects. They are retried at other endpoints.
// If traffic is being moved to the version that crashed, they are retried on the old version: if it
// crashes too, the request is the likely cause, and otherwise the new version is. A request that was in
// flight at two crashes is isolated: it runs next at an endpoint without other suspects. After MaxCrashes
// it is quarantined by its fingerprint (account and body hash), and its retries are rejected.
//
// A crash is charged to the version until one of the requests in flight is in a crash at another
// endpoint. It is then attributed to that request and its account. A suspect that ends with its complete
// answer did not cause a crash: crashes attributed to it are charged to the version again. So crashes that
// a version causes itself stay charged to it.
//
// # Usage
//
//	state := crash.New()
//	state, commands := state.Update(crash.Crashed{ID: id, Endpoint: endpoint, InFlight: requests, Now: now})
//	endpoints = state.Candidates(fingerprint, endpoints)
//
// The state is immutable. The caller reports each request that it sends to an endpoint with Placed and
// each end with Ended, so that suspects are kept at different endpoints. A crash has the same ID at all
// daemons. A daemon sends its Attribute commands to its peers, which apply them as Attributed messages.
package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lentilstage.dev/domain/table"
)

type (
	// Message is one of Crashed, Placed, Ended, Attributed, Quarantined and Tick.
	Message interface{ crashMessage() }

	// Scope says where a crash counts: a route, and the step and share of its version move
	// under which the request was routed.
	Scope struct {
		Route string
		Step  int
		Share float64
	}

	// Request is a request in flight.
	Request struct {
		RequestID   string
		Fingerprint string
		Account     string
		Scope       Scope
	}

	// Crashed reports the crash of an endpoint.
	Crashed struct {
		// ID identifies the crash. Further reports of it are ignored.
		ID       string
		Endpoint string
		Version  string
		// Moving is set if a version move is shifting traffic to the version.
		Moving   bool
		InFlight []Request
		Now      time.Time
	}

	// Placed reports that a request was sent to an endpoint.
	Placed struct {
		Request  Request
		Endpoint string
	}

	// Ended reports that a request is no longer at an endpoint. Complete is set if its answer is complete.
	Ended struct {
		Request  Request
		Endpoint string
		Complete bool
	}

	// Attributed reports that a peer has attributed a crash to one of its requests.
	Attributed struct {
		ID          string
		Fingerprint string
		Account     string
	}

	// Quarantined reports a quarantine entry from a peer or the log.
	Quarantined struct {
		Entry table.Quarantine
	}

	// Tick reports the current time. Entries past their deadlines are removed.
	Tick struct {
		Now time.Time
	}

	// State holds a daemon's suspects, recent crashes and quarantined requests. It is immutable.
	State struct {
		suspects    map[string]suspect
		crashes     map[string]crashRecord
		quarantined map[string]table.Quarantine
	}

	// suspect is a request that was in flight at a crash.
	suspect struct {
		account string
		// crashes lists the identifiers of its crashes in order.
		crashes []string
		// endpoints lists the endpoints of the crashes.
		endpoints []string
		// runningAt lists the endpoints where copies of the request run.
		runningAt []string
		deadline  time.Time
	}

	// crashRecord is a recent crash.
	crashRecord struct {
		version  string
		endpoint string
		scopes   []Scope
		// attributedTo is the fingerprint of the request that the crash is attributed to; empty
		// while it is charged to the version.
		attributedTo string
		deadline     time.Time
	}
)

const (
	// MaxCrashes is the number of crashes after which a request is quarantined.
	MaxCrashes = 3
	// MaxSuspects bounds the suspects. The one with the earliest deadline is evicted first.
	MaxSuspects = 4096
	// MaxRecords bounds the recorded crashes. The one with the earliest deadline is evicted first.
	MaxRecords = 1024
	// MaxQuarantined bounds the quarantined requests. The one with the earliest deadline is evicted first.
	MaxQuarantined = 1000

	// isolateAfter is the number of crashes after which a request is isolated from other suspects.
	isolateAfter = 2
	// suspectPeriod is the time for which suspects and crashes are kept. It is longer than a caller waits
	// before it retries a request.
	suspectPeriod = 10 * time.Minute
	// quarantinePeriod is the time for which a quarantined request is rejected.
	quarantinePeriod = time.Hour
)

// New returns a state without crashes.
func New() State {
	return State{
		suspects:    map[string]suspect{},
		crashes:     map[string]crashRecord{},
		quarantined: map[string]table.Quarantine{},
	}
}

// Update returns the state after a message and the commands to carry out.
func (s State) Update(message Message) (State, []Command) {
	next := State{
		suspects:    maps.Clone(s.suspects),
		crashes:     maps.Clone(s.crashes),
		quarantined: maps.Clone(s.quarantined),
	}
	var commands []Command
	switch m := message.(type) {
	case Crashed:
		commands = next.applyCrash(m)
	case Placed:
		next.applyPlaced(m.Request.Fingerprint, m.Endpoint)
	case Ended:
		commands = next.applyEnded(m)
	case Attributed:
		commands = next.applyAttributed(m)
	case Quarantined:
		next.quarantined[m.Entry.Fingerprint] = m.Entry
		delete(next.suspects, m.Entry.Fingerprint)
	case Tick:
		next.expire(m.Now)
	}
	evictEarliest(next.suspects, MaxSuspects, func(x suspect) time.Time { return x.deadline })
	evictEarliest(next.crashes, MaxRecords, func(x crashRecord) time.Time { return x.deadline })
	evictEarliest(next.quarantined, MaxQuarantined, func(x table.Quarantine) time.Time { return x.Deadline })
	return next, commands
}

// QuarantineOf returns the quarantine entry of a request, and whether it is in force at the given time.
func (s State) QuarantineOf(fingerprint string, now time.Time) (table.Quarantine, bool) {
	entry, ok := s.quarantined[fingerprint]
	return entry, ok && now.Before(entry.Deadline)
}

// Suspects returns the number of suspects.
func (s State) Suspects() int { return len(s.suspects) }

// Candidates returns the endpoints at which a request may run now, in the given order. A request that is
// not a suspect may run at all of them. A suspect avoids the endpoints of its crashes unless there are no
// others, and those with an isolated suspect. It prefers endpoints without suspects. An isolated suspect
// needs an endpoint without other suspects, and only one copy of it runs at a time. If the result is
// empty, the request must wait until another suspect ends.
func (s State) Candidates(fingerprint string, endpoints []string) []string {
	current, suspected := s.suspects[fingerprint]
	if !suspected {
		return endpoints
	}
	isolated := len(current.crashes) >= isolateAfter
	if isolated && len(current.runningAt) > 0 {
		return nil
	}
	eligible := without(endpoints, current.endpoints)
	if len(eligible) == 0 {
		eligible = endpoints
	}
	var withSuspects, withIsolated []string
	for other, x := range s.suspects {
		if other == fingerprint {
			continue
		}
		withSuspects = append(withSuspects, x.runningAt...)
		if len(x.crashes) >= isolateAfter {
			withIsolated = append(withIsolated, x.runningAt...)
		}
	}
	free := without(eligible, withSuspects)
	if isolated || len(free) > 0 {
		return free
	}
	return without(eligible, withIsolated)
}

// applyCrash records a crash and its suspects, attributes the crash and decides on each request in flight.
func (s State) applyCrash(m Crashed) []Command {
	if _, duplicate := s.crashes[m.ID]; duplicate {
		return nil
	}
	deadline := m.Now.Add(suspectPeriod)
	entry := crashRecord{version: m.Version, endpoint: m.Endpoint, scopes: distinctScopes(m.InFlight), deadline: deadline}
	commands := s.attributeCrash(m, &entry)
	s.crashes[m.ID] = entry
	for fingerprint, requests := range byFingerprint(m.InFlight) {
		x := s.suspects[fingerprint]
		x.account = requests[0].Account
		x.crashes = append(slices.Clone(x.crashes), m.ID)
		x.endpoints = append(slices.Clone(x.endpoints), m.Endpoint)
		x.runningAt = without(x.runningAt, []string{m.Endpoint})
		x.deadline = deadline
		s.suspects[fingerprint] = x
	}
	for _, r := range sortedRequests(m.InFlight) {
		commands = append(commands, s.decideAfterCrash(m, r)...)
	}
	return commands
}

// attributeCrash attributes a new crash, and the earlier crashes of the same request, to the request in
// flight with the most crashes at other endpoints. Without such a request, the version is charged.
func (s State) attributeCrash(m Crashed, entry *crashRecord) []Command {
	highest := 0
	var likeliest Request
	for _, r := range sortedRequests(m.InFlight) {
		if n := len(without(s.suspects[r.Fingerprint].endpoints, []string{m.Endpoint})); n > highest {
			highest, likeliest = n, r
		}
	}
	if highest == 0 {
		return []Command{Charge{ID: m.ID, Version: m.Version, Endpoint: m.Endpoint, Scopes: entry.scopes}}
	}
	entry.attributedTo = likeliest.Fingerprint
	commands := []Command{Attribute{
		ID: m.ID, Version: m.Version, Endpoint: m.Endpoint, Scopes: entry.scopes,
		Fingerprint: likeliest.Fingerprint, Account: likeliest.Account,
	}}
	for _, id := range s.suspects[likeliest.Fingerprint].crashes {
		commands = append(commands, s.reattribute(id, likeliest.Fingerprint, likeliest.Account)...)
	}
	return commands
}

// reattribute attributes a crash that was charged to the version to a request.
func (s State) reattribute(id, fingerprint, account string) []Command {
	entry, ok := s.crashes[id]
	if !ok || entry.attributedTo != "" {
		return nil
	}
	entry.attributedTo = fingerprint
	s.crashes[id] = entry
	return []Command{Attribute{
		ID: id, Version: entry.version, Endpoint: entry.endpoint, Scopes: entry.scopes,
		Fingerprint: fingerprint, Account: account, Charged: true,
	}}
}

// decideAfterCrash retries, quarantines or rejects a request that was in flight at a crash.
func (s State) decideAfterCrash(m Crashed, r Request) []Command {
	if entry, ok := s.QuarantineOf(r.Fingerprint, m.Now); ok {
		delete(s.suspects, r.Fingerprint)
		return []Command{Refuse{RequestID: r.RequestID, Entry: entry}}
	}
	x := s.suspects[r.Fingerprint]
	if len(x.crashes) < MaxCrashes {
		retry := Retry{
			RequestID: r.RequestID, Fingerprint: r.Fingerprint,
			Avoid: x.endpoints, Isolated: len(x.crashes) >= isolateAfter,
		}
		if m.Moving {
			retry.AvoidVersion = m.Version
		}
		return []Command{retry}
	}
	entry := table.Quarantine{
		Fingerprint: r.Fingerprint, Account: x.account,
		Crashes: len(x.crashes), Deadline: m.Now.Add(quarantinePeriod),
	}
	s.quarantined[r.Fingerprint] = entry
	delete(s.suspects, r.Fingerprint)
	return []Command{Quarantine{Entry: entry, Cancel: x.runningAt}, Refuse{RequestID: r.RequestID, Entry: entry}}
}

// applyPlaced records that a copy of a suspect runs at the endpoint.
func (s State) applyPlaced(fingerprint, endpoint string) {
	if x, ok := s.suspects[fingerprint]; ok {
		x.runningAt = append(slices.Clone(x.runningAt), endpoint)
		s.suspects[fingerprint] = x
	}
}

// applyEnded records that a copy of a suspect has ended. A complete answer ends the suspicion.
func (s State) applyEnded(m Ended) []Command {
	x, ok := s.suspects[m.Request.Fingerprint]
	if !ok {
		return nil
	}
	if !m.Complete {
		if i := slices.Index(x.runningAt, m.Endpoint); i >= 0 {
			x.runningAt = slices.Delete(slices.Clone(x.runningAt), i, i+1)
			s.suspects[m.Request.Fingerprint] = x
		}
		return nil
	}
	delete(s.suspects, m.Request.Fingerprint)
	var commands []Command
	for _, id := range x.crashes {
		entry, kept := s.crashes[id]
		if !kept || entry.attributedTo != m.Request.Fingerprint {
			continue
		}
		entry.attributedTo = ""
		s.crashes[id] = entry
		commands = append(commands, Charge{
			ID: id, Version: entry.version, Endpoint: entry.endpoint, Scopes: entry.scopes, Attributed: true,
		})
	}
	return commands
}

// applyAttributed applies a peer's attribution. The peer has counted the crash against the account.
func (s State) applyAttributed(m Attributed) []Command {
	entry, ok := s.crashes[m.ID]
	if !ok || entry.attributedTo != "" {
		return nil
	}
	entry.attributedTo = m.Fingerprint
	s.crashes[m.ID] = entry
	return []Command{Attribute{
		ID: m.ID, Version: entry.version, Endpoint: entry.endpoint, Scopes: entry.scopes,
		Fingerprint: m.Fingerprint, Account: m.Account, Charged: true, Peer: true,
	}}
}

// expire removes entries past their deadlines.
func (s State) expire(now time.Time) {
	maps.DeleteFunc(s.suspects, func(_ string, x suspect) bool { return !now.Before(x.deadline) })
	maps.DeleteFunc(s.crashes, func(_ string, x crashRecord) bool { return !now.Before(x.deadline) })
	maps.DeleteFunc(s.quarantined, func(_ string, x table.Quarantine) bool { return !now.Before(x.Deadline) })
}

// evictEarliest deletes entries in the order of their deadlines until at most limit are left.
func evictEarliest[T any](entries map[string]T, limit int, deadline func(T) time.Time) {
	if len(entries) <= limit {
		return
	}
	keys := slices.SortedFunc(maps.Keys(entries), func(a, b string) int {
		return cmp.Or(deadline(entries[a]).Compare(deadline(entries[b])), cmp.Compare(a, b))
	})
	for _, key := range keys[:len(keys)-limit] {
		delete(entries, key)
	}
}

func byFingerprint(requests []Request) map[string][]Request {
	groups := make(map[string][]Request, len(requests))
	for _, r := range requests {
		groups[r.Fingerprint] = append(groups[r.Fingerprint], r)
	}
	return groups
}

func sortedRequests(requests []Request) []Request {
	return slices.SortedFunc(slices.Values(requests), func(a, b Request) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.RequestID, b.RequestID))
	})
}

// distinctScopes returns the scopes of the requests without duplicates.
func distinctScopes(requests []Request) []Scope {
	var scopes []Scope
	for _, r := range sortedRequests(requests) {
		if !slices.Contains(scopes, r.Scope) {
			scopes = append(scopes, r.Scope)
		}
	}
	return scopes
}

func without(items, excluded []string) []string {
	kept := make([]string, 0, len(items))
	for _, item := range items {
		if !slices.Contains(excluded, item) {
			kept = append(kept, item)
		}
	}
	return kept
}

func (Crashed) crashMessage()     {}
func (Placed) crashMessage()      {}
func (Ended) crashMessage()       {}
func (Attributed) crashMessage()  {}
func (Quarantined) crashMessage() {}
func (Tick) crashMessage()        {}
