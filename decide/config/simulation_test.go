package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

type (
	// simulation runs the states of several daemons against an unreliable log and network. Its
	// checks use all records ever appended and do not depend on the daemons' states.
	simulation struct {
		t        fataler
		rules    Rules
		injected mutation
		random   *rand.Rand
		now      time.Time
		names    []string
		nodes    map[string]*node
		// brokenLinks holds the broken links, each as its two names in lexical order.
		brokenLinks map[[2]string]bool
		// faultPercent is the probability that a message is lost or delayed, in percent.
		faultPercent int
		pending      []func()

		records     []wire.LogRecord
		oldest      int64
		readsDown   bool
		appendsDown bool
		// states holds the table state at each offset, for a reader that has read all records.
		states  []table.State
		encoded map[int64]string

		// accepted is the highest offset that was reported as accepted to an operator.
		accepted  int64
		changes   int
		operators []*operator
		stats     map[string]int
	}

	// node is one daemon of the simulation.
	node struct {
		name        string
		state       State
		run         int
		clockOffset time.Duration
		pausedUntil time.Time
		entries     map[string]wire.DigestEntry
		proposals   map[string]bool
		published   map[string]*activePublication
		attempted   time.Time
		lastNext    int64
	}

	// activePublication is a publication in progress at a daemon.
	activePublication struct {
		publication Publication
		next        int64
		done        bool
		lastContact map[string]time.Time
		confirmed   map[string]bool
	}

	// operator edits a table that was read from a daemon at an earlier time.
	operator struct {
		file table.Table
		last *wire.ChangeRequest
	}

	// mutation disables one rule, to verify that the search detects the resulting failures.
	mutation string

	// fataler is the part of a test that reports failures.
	fataler interface {
		Fatalf(format string, arguments ...any)
	}
)

const (
	// noMutation leaves all rules in place.
	noMutation mutation = ""
	// noMajority accepts without a majority if the other daemons are silent.
	noMajority mutation = "NoMajority"
	// noWait accepts as soon as a majority has confirmed.
	noWait mutation = "NoWait"
	// silenceOnly counts the silence of a daemon from its last message to the publisher, and not
	// from when the majority was reached.
	silenceOnly mutation = "SilenceOnly"
	// leaseFromReceipt starts a lease when the response is received.
	leaseFromReceipt mutation = "LeaseFromReceipt"
	// countRelayed counts relayed entries as direct responses.
	countRelayed mutation = "CountRelayed"
	// noRestartWait lets a restarted daemon use the offsets of its peers immediately, and lets
	// confirmations never expire.
	noRestartWait mutation = "NoRestartWait"
	// absoluteDeadline compares a peer's deadline with the daemon's own clock.
	absoluteDeadline mutation = "AbsoluteDeadline"

	testRetention = 60 * time.Second
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newSimulation(t fataler, size int, seed uint64, injected mutation) *simulation {
	s := &simulation{
		t: t, rules: DefaultRules, injected: injected, random: rand.New(rand.NewPCG(seed, 1)), now: epoch,
		nodes: map[string]*node{}, brokenLinks: map[[2]string]bool{}, states: []table.State{table.NewState()},
		encoded: map[int64]string{}, operators: []*operator{{}, {}}, stats: map[string]int{},
	}
	for i := range size {
		s.names = append(s.names, fmt.Sprintf("entry-%d", i))
	}
	for _, name := range s.names {
		// The clocks differ by up to 3 s, more than the assumed 1 s.
		clockOffset := time.Duration(s.random.IntN(3001)-1500) * time.Millisecond
		s.nodes[name] = &node{name: name, clockOffset: clockOffset}
		s.start(s.nodes[name])
	}
	for i := range 4 {
		s.appendRecord(changeOf(fmt.Sprintf("first-%d", i), s.now, table.Edit{
			Row: rowKey(i), Account: &table.Account{Name: rowKey(i).Name, Share: 0.01, KeyHashes: []string{hashOf(i)}},
		}))
	}
	return s
}

func rowKey(i int) table.RowKey {
	return table.RowKey{Sheet: table.Accounts, Name: fmt.Sprintf("account-%d", i)}
}

func hashOf(i int) string { return fmt.Sprintf("%064x", i+1) }

func changeOf(id string, at time.Time, edits ...table.Edit) table.Record {
	return table.Record{Kind: table.ChangeRecord, ID: id, Time: at, Change: &table.Change{Operator: "test", Edits: edits}}
}

// start starts a daemon with an empty state.
func (s *simulation) start(n *node) {
	n.run++
	started := s.localTime(n)
	if s.injected == noRestartWait {
		started = started.Add(-2 * s.rules.Lease)
	}
	n.state = New(n.name, s.rules, started).Update(Listed{Names: s.names})
	n.entries, n.proposals, n.published = map[string]wire.DigestEntry{}, map[string]bool{}, map[string]*activePublication{}
	n.attempted, n.lastNext, n.pausedUntil = time.Time{}, 0, time.Time{}
}

func (s *simulation) localTime(n *node) time.Time { return s.now.Add(n.clockOffset) }

func (s *simulation) paused(n *node) bool { return s.now.Before(n.pausedUntil) }

func link(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// call delivers a request to its handler and the reply to the caller. Either may be lost or delayed.
// The handler returns a function that processes the reply at the caller.
func (s *simulation) call(from *node, to string, handle func() func()) {
	run := from.run
	if s.brokenLinks[link(from.name, to)] {
		return
	}
	reply := func(done func()) {
		if from.run != run {
			return
		}
		if s.paused(from) {
			s.enqueue(func() {
				if from.run == run {
					done()
				}
			})
			return
		}
		done()
	}
	draw := s.random.IntN(100)
	callee := s.nodes[to]
	switch {
	case callee != nil && s.paused(callee), draw < s.faultPercent/4:
		s.enqueue(func() {
			if callee == nil || !s.paused(callee) {
				reply(handle())
			}
		})
	case draw < s.faultPercent/2:
		done := handle()
		s.enqueue(func() { reply(done) })
	case draw < s.faultPercent*3/4:
		handle()
	case draw < s.faultPercent:
	default:
		reply(handle())
	}
}

// enqueue queues a delayed message. The oldest message is lost when the queue is full.
func (s *simulation) enqueue(deliver func()) {
	if len(s.pending) >= 200 {
		s.pending = s.pending[1:]
	}
	s.pending = append(s.pending, deliver)
}

// deliver delivers a random delayed message.
func (s *simulation) deliver() {
	if len(s.pending) == 0 {
		return
	}
	i := s.random.IntN(len(s.pending))
	deliver := s.pending[i]
	s.pending = slices.Delete(s.pending, i, i+1)
	deliver()
}

// appendRecord appends a record to the log and checks its outcome.
func (s *simulation) appendRecord(record table.Record) wire.LogRecord {
	data, err := json.Marshal(record)
	if err != nil {
		s.t.Fatalf("encode: %v", err)
	}
	offset := int64(len(s.records))
	stored := wire.LogRecord{Offset: offset, Time: s.now, ID: record.ID, Data: data}
	s.records = append(s.records, stored)
	decoded, err := table.DecodeRecord(data)
	if err != nil {
		s.t.Fatalf("decode: %v", err)
	}
	s.checkOutcome(s.states[offset], offset, decoded)
	next, _ := s.states[offset].Fold(offset, decoded)
	s.states = append(s.states, next)
	return stored
}

// checkOutcome checks the outcome of a change: it is applied if it is not a duplicate and each edit
// is based on the current revision of its row. A rejected edit must be reported with both values.
func (s *simulation) checkOutcome(before table.State, offset int64, record table.Record) {
	if record.Kind != table.ChangeRecord {
		return
	}
	for _, r := range s.records[:offset] {
		if r.ID == record.ID {
			s.stats["copies"]++
			return
		}
	}
	after, outcome := before.Fold(offset, record)
	lost := 0
	for _, e := range record.Change.Edits {
		present := before.Accounts[e.Row.Name]
		if present.Revision == e.Base {
			continue
		}
		lost++
		found := false
		for _, c := range outcome.Clashes {
			var shown, wanted table.Account
			if json.Unmarshal(c.Present, &shown) == nil && json.Unmarshal(c.Wanted, &wanted) == nil &&
				c.Row == e.Row && shown.Share == present.Share && wanted.Share == e.Account.Share {
				found = true
			}
		}
		if !found {
			s.t.Fatalf("rejected edit of %s is not reported with both values: %+v", e.Row, outcome)
		}
	}
	if outcome.Applied != (lost == 0) {
		s.t.Fatalf("applied = %t with %d of %d edits rejected: %+v", outcome.Applied, lost, len(record.Change.Edits), outcome)
	}
	if lost > 0 {
		s.stats["clashes"]++
		return
	}
	s.stats["applied"]++
	for _, e := range record.Change.Edits {
		if got := after.Accounts[e.Row.Name].Share; got != e.Account.Share {
			s.t.Fatalf("%s has share %g after an applied edit to %g", e.Row, got, e.Account.Share)
		}
	}
}

// expire removes the records that are older than the retention and have been read by some daemon. A
// record that expired unread could not be distinguished from one that another daemon may have.
func (s *simulation) expire() {
	read := s.highestOffset(nil)
	for s.oldest < read && s.now.Sub(s.records[s.oldest].Time) > testRetention {
		s.oldest++
	}
}

// highestOffset returns the highest offset of the ready daemons, except for the given one.
func (s *simulation) highestOffset(except *node) int64 {
	var next int64
	for _, n := range s.nodes {
		if n != except {
			next = max(next, n.state.Next())
		}
	}
	return next
}

// read reads a page of the log for the daemon.
func (s *simulation) read(n *node) {
	sent, from := s.localTime(n), n.state.ReadOffset()
	s.call(n, "log", func() func() {
		if s.readsDown {
			return func() {}
		}
		s.expire()
		const most = 5
		first := min(max(from, s.oldest), int64(len(s.records)))
		last := min(first+most, int64(len(s.records)))
		page := wire.LogPage{Records: s.records[first:last], Oldest: s.oldest, Next: int64(len(s.records))}
		return func() { s.update(n, Page{Page: page, Sent: s.sent(n, sent)}) }
	})
}

// sent returns the time from which the lease of a response counts.
func (s *simulation) sent(n *node, sent time.Time) time.Time {
	if s.injected == leaseFromReceipt {
		return s.localTime(n)
	}
	return sent
}

func (s *simulation) entry(n *node) wire.DigestEntry {
	return wire.DigestEntry{Process: n.name, Incarnation: fmt.Sprint(n.run), Next: n.state.Next(), TailDeadline: n.state.TailDeadline()}
}

// digest sends a digest with relayed entries and processes the reply.
func (s *simulation) digest(n, to *node) {
	sent, own, relayed := s.localTime(n), s.entry(n), maps.Clone(n.entries)
	s.call(n, to.name, func() func() {
		s.receiveEntry(to, own)
		for _, name := range slices.Sorted(maps.Keys(relayed)) {
			s.receiveRelayed(to, relayed[name])
		}
		answer, at := s.entry(to), s.localTime(to)
		return func() {
			s.receiveEntry(n, answer)
			report := PeerReport{Entry: answer, Sent: s.sent(n, sent), Time: at}
			if s.injected == absoluteDeadline {
				report.Time = report.Sent
			}
			s.update(n, report)
		}
	})
}

// receiveEntry processes an entry received directly from its daemon.
func (s *simulation) receiveEntry(n *node, e wire.DigestEntry) {
	n.entries[e.Process] = e
	for _, p := range n.published {
		p.lastContact[e.Process] = s.localTime(n)
		p.publication = p.publication.WithContact(e.Process, s.localTime(n))
	}
	s.update(n, PeerReport{Entry: e})
}

// receiveRelayed processes an entry that another daemon relayed.
func (s *simulation) receiveRelayed(n *node, e wire.DigestEntry) {
	if e.Process == n.name {
		return
	}
	report := PeerReport{Entry: e}
	if s.injected == countRelayed {
		report.Sent = s.localTime(n)
	}
	s.update(n, report)
}

// update updates a daemon's state. It checks that the offset never decreases and that the table state
// equals that of a reader of all records.
func (s *simulation) update(n *node, m Message) {
	n.state = n.state.Update(m)
	next := n.state.Next()
	if next < n.lastNext {
		s.t.Fatalf("offset of %s decreased from %d to %d", n.name, n.lastNext, next)
	}
	if next == n.lastNext {
		return
	}
	n.lastNext = next
	want, ok := s.encoded[next]
	if !ok {
		want = encode(s.states[next])
		s.encoded[next] = want
	}
	if got := encode(n.state.TableState()); got != want {
		s.t.Fatalf("%s at offset %d has a different state from a reader of all records:\n%s\n%s", n.name, next, got, want)
	}
}

func encode(s table.State) string {
	text, err := json.Marshal(s)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// push pushes a publication to a daemon and processes its confirmation.
func (s *simulation) push(n *node, p *activePublication, to *node) {
	sent := s.localTime(n)
	if to == n {
		p.confirmed[n.name] = n.state.Next() >= p.next
		p.publication = p.publication.WithConfirmed(n.name, n.state.Next(), sent, sent)
		return
	}
	first := min(max(n.entries[to.name].Next, s.oldest), p.next)
	records := s.records[first:p.next]
	s.call(n, to.name, func() func() {
		s.update(to, Pushed{Records: records})
		next := to.state.Next()
		return func() {
			p.lastContact[to.name] = s.localTime(n)
			p.confirmed[to.name] = p.confirmed[to.name] || next >= p.next
			if s.injected == noRestartWait {
				sent = s.localTime(n).Add(1000 * time.Hour)
			}
			p.publication = p.publication.WithConfirmed(to.name, next, sent, s.localTime(n))
		}
	})
}

// updateVerdict records a publication as accepted once its verdict says so.
func (s *simulation) updateVerdict(n *node, p *activePublication) {
	status, missing := p.publication.Status(s.localTime(n))
	switch s.injected {
	case noMajority, noWait, silenceOnly:
		status, missing = s.mutatedVerdict(n, p)
	}
	if status == wire.ChangeAccepted && len(missing) == 0 {
		p.done = true
		s.accepted = max(s.accepted, p.next)
		s.stats["accepted"]++
	}
}

// mutatedVerdict returns the verdict with one part of the rule disabled.
func (s *simulation) mutatedVerdict(n *node, p *activePublication) (wire.ChangeStatus, []string) {
	count, silent := 0, 0
	for _, name := range s.names {
		switch {
		case p.confirmed[name]:
			count++
		case s.localTime(n).Sub(p.lastContact[name]) > s.rules.Lease+s.rules.ClockError:
			silent++
		}
	}
	majority, all := count > len(s.names)/2, count+silent == len(s.names)
	if (s.injected == noMajority && all) || (s.injected == noWait && majority) || (s.injected == silenceOnly && majority && all) {
		return wire.ChangeAccepted, nil
	}
	return wire.ChangePending, s.names
}

// propose appends a change at a daemon.
func (s *simulation) propose(n *node, request wire.ChangeRequest) {
	n.proposals[request.ID] = true
	record := changeOf(request.ID, s.localTime(n), request.Edits...)
	s.call(n, "log", func() func() {
		if s.appendsDown {
			return func() {}
		}
		stored := s.appendRecord(record)
		return func() { s.update(n, Pushed{Records: []wire.LogRecord{stored}}) }
	})
}

// snapshot appends a snapshot if it is due.
func (s *simulation) snapshot(n *node) {
	if !n.state.SnapshotDue(s.localTime(n), testRetention, slices.Index(s.names, n.name), n.attempted) {
		return
	}
	n.attempted = s.localTime(n)
	record := n.state.Snapshot(fmt.Sprintf("snapshot-%s-%d", n.name, s.localTime(n).UnixNano()), s.localTime(n))
	s.call(n, "log", func() func() {
		if s.appendsDown {
			return func() {}
		}
		s.appendRecord(record)
		s.stats["snapshots"]++
		return func() {}
	})
}

// fetch fetches the table state of a peer, if needed.
func (s *simulation) fetch(n *node) {
	name, ok := n.state.FetchPeer(s.localTime(n))
	if !ok {
		return
	}
	s.call(n, name, func() func() {
		if !s.nodes[name].state.Ready() {
			return func() {}
		}
		tableState := s.nodes[name].state.TableState()
		return func() { s.update(n, Transferred{State: tableState, Now: s.localTime(n)}) }
	})
}

// runCycle runs the periodic tasks of a daemon.
func (s *simulation) runCycle(n *node) {
	if s.paused(n) {
		return
	}
	s.read(n)
	for _, name := range s.names {
		if name != n.name {
			s.digest(n, s.nodes[name])
		}
	}
	s.fetch(n)
	for _, id := range slices.Sorted(maps.Keys(n.proposals)) {
		if outcome, ok := n.state.TableState().OutcomeOf(id); ok {
			delete(n.proposals, id)
			if outcome.Applied {
				n.published[id] = &activePublication{
					publication: NewPublication(outcome.Offset+1, s.names, s.rules), next: outcome.Offset + 1,
					lastContact: map[string]time.Time{}, confirmed: map[string]bool{},
				}
				for name := range n.entries {
					n.published[id].lastContact[name] = s.localTime(n)
				}
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.published)) {
		p := n.published[id]
		if p.done {
			delete(n.published, id)
			continue
		}
		for _, name := range p.publication.PushTargets() {
			s.push(n, p, s.nodes[name])
		}
		s.updateVerdict(n, p)
	}
	s.snapshot(n)
}

// check checks that no daemon serves with a table that is older than an accepted one.
func (s *simulation) check() {
	for _, name := range s.names {
		n := s.nodes[name]
		if s.paused(n) {
			continue
		}
		serving, reason := n.state.Serving(s.localTime(n))
		if !serving {
			s.stats["refusals"]++
			continue
		}
		s.stats["serving: "+reasonKind(reason)]++
		if n.state.Next() < s.accepted {
			s.t.Fatalf("%s serves at offset %d (%s) after %d was accepted", name, n.state.Next(), reason, s.accepted)
		}
	}
}

func reasonKind(reason string) string {
	switch {
	case reason == "the tail of the log was read":
		return "tail"
	case reason[:5] == "entry":
		return "peer"
	}
	return "majority"
}

// nextChange returns an operator's next change, based on its file, which may be outdated.
func (s *simulation) nextChange(o *operator, rows []int) (wire.ChangeRequest, bool) {
	if o.file.Base == nil {
		return wire.ChangeRequest{}, false
	}
	s.changes++
	file := o.file
	file.Accounts = slices.Clone(file.Accounts)
	for i := range file.Accounts {
		if slices.Contains(rows, i) {
			file.Accounts[i].Share = 0.01 + float64(s.changes%1000)/10000
		}
	}
	edits, _ := file.Edits()
	return wire.ChangeRequest{ID: fmt.Sprintf("change-%d", s.changes), Edits: edits}, len(edits) > 0
}

// actions returns the actions of a random run.
func (s *simulation) actions() map[string]func(*rapid.T) {
	node := func() *node { return s.nodes[s.names[s.random.IntN(len(s.names))]] }
	tick := func(*rapid.T) {
		for range 1 + s.random.IntN(12) {
			s.tick(s.period(100, 1500))
		}
	}
	publish := func(*rapid.T) {
		o := s.operators[s.random.IntN(2)]
		n := node()
		rows := s.random.Perm(4)[:1+s.random.IntN(2)]
		if s.paused(n) || !n.state.Ready() {
			return
		}
		if request, ok := s.nextChange(o, rows); ok {
			o.last = &request
			s.propose(n, request)
		}
	}
	return map[string]func(*rapid.T){
		"":       func(*rapid.T) { s.check() },
		"tick":   tick,
		"tick 2": tick,
		"tick 3": tick,
		"advance": func(*rapid.T) {
			s.now = s.now.Add(s.period(1000, 6000))
		},
		"routine": func(*rapid.T) { s.runCycle(node()) },
		"deliver": func(*rapid.T) {
			for range 1 + s.random.IntN(20) {
				s.deliver()
				s.check()
			}
		},
		"file": func(*rapid.T) {
			n := node()
			if n.state.Ready() {
				s.operators[s.random.IntN(2)].file = n.state.TableState().Table()
			}
		},
		"publish":   publish,
		"publish 2": publish,
		"republish": func(*rapid.T) {
			o, n := s.operators[s.random.IntN(2)], node()
			if o.last != nil && !s.paused(n) {
				s.propose(n, *o.last)
			}
		},
		"pause": func(*rapid.T) {
			node().pausedUntil = s.now.Add(s.period(1000, 25000))
		},
		"restart": func(*rapid.T) {
			n, ready := node(), 0
			for _, other := range s.nodes {
				if other != n && other.state.Ready() {
					ready++
				}
			}
			// The table is lost if its last copies are lost before the log has a snapshot.
			if ready > len(s.names)/2 && s.highestOffset(n) >= s.oldest {
				s.start(n)
				s.stats["restarts"]++
			}
		},
		"links":   func(*rapid.T) { s.breakLinks(20 + 30*s.random.IntN(2)) },
		"split":   func(*rapid.T) { s.partition() },
		"split 2": func(*rapid.T) { s.partition() },
		// The worst case is a change that is published just before the network fails: all
		// leases have their maximum remaining time when it is appended.
		"publish and break": func(*rapid.T) {
			n := node()
			if s.paused(n) || !n.state.Ready() {
				return
			}
			s.tick(0)
			o := s.operators[0]
			o.file = n.state.TableState().Table()
			if request, ok := s.nextChange(o, []int{s.random.IntN(4)}); ok {
				if s.random.IntN(2) == 0 {
					s.partition()
				} else {
					s.breakLinks(50)
				}
				o.last = &request
				s.propose(n, request)
				s.runCycle(n)
				s.runCycle(n)
				s.readsDown = s.random.IntN(2) == 0
			}
		},
		"heal":      func(*rapid.T) { clear(s.brokenLinks) },
		"log reads": func(*rapid.T) { s.readsDown = s.random.IntN(2) == 0 },
		"log appends": func(*rapid.T) {
			s.appendsDown = s.random.IntN(2) == 0
		},
		"faults": func(*rapid.T) { s.faultPercent = []int{0, 10, 40}[s.random.IntN(3)] },
	}
}

// period returns a random duration between low and high, in milliseconds. The test library prefers
// small numbers, with which leases would rarely expire.
func (s *simulation) period(low, high int) time.Duration {
	return time.Duration(low+s.random.IntN(high-low+1)) * time.Millisecond
}

// tick advances the clock and runs a cycle of each daemon in a random order.
func (s *simulation) tick(period time.Duration) {
	s.now = s.now.Add(period)
	for _, i := range s.random.Perm(len(s.names)) {
		s.runCycle(s.nodes[s.names[i]])
		s.check()
	}
}

// breakLinks breaks each link with the given probability in percent and restores all others.
func (s *simulation) breakLinks(percent int) {
	for i, a := range s.names {
		for _, b := range append(s.names[i+1:len(s.names):len(s.names)], "log") {
			s.brokenLinks[link(a, b)] = s.random.IntN(100) < percent
		}
	}
}

// connectOnly restores the links within each group and breaks all others.
func (s *simulation) connectOnly(groups ...[]string) {
	for i, a := range s.names {
		for _, b := range append(s.names[i+1:len(s.names):len(s.names)], "log") {
			s.brokenLinks[link(a, b)] = !slices.ContainsFunc(groups, func(g []string) bool { return slices.Contains(g, a) && slices.Contains(g, b) })
		}
	}
}

// partition divides the daemons into two groups, at most one of which can reach the log.
func (s *simulation) partition() {
	order := s.random.Perm(len(s.names))
	size, withLog := 1+s.random.IntN(len(order)-1), s.random.IntN(3)
	group := func(name string) int {
		if order[slices.Index(s.names, name)] < size {
			return 0
		}
		return 1
	}
	for i, a := range s.names {
		s.brokenLinks[link(a, "log")] = group(a) != withLog
		for _, b := range s.names[i+1:] {
			s.brokenLinks[link(a, b)] = group(a) != group(b)
		}
	}
}

// checkConvergence ends all faults and checks that every daemon serves with the newest table and that
// a restarted daemon recovers it from the log.
func (s *simulation) checkConvergence() {
	clear(s.brokenLinks)
	s.readsDown, s.appendsDown, s.faultPercent, s.pending = false, false, 0, nil
	for _, n := range s.nodes {
		n.pausedUntil = time.Time{}
	}
	const step = 2 * time.Second
	for range 2 * testRetention / step {
		s.now = s.now.Add(step)
		for _, name := range s.names {
			s.runCycle(s.nodes[name])
		}
		s.check()
	}
	s.start(s.nodes[s.names[0]])
	for range 20 {
		s.now = s.now.Add(time.Second)
		s.read(s.nodes[s.names[0]])
	}
	for _, name := range s.names {
		n := s.nodes[name]
		s.read(n)
		if serving, reason := n.state.Serving(s.localTime(n)); !serving || n.state.Next() != int64(len(s.records)) {
			s.t.Fatalf("%s does not serve with the newest table after all faults have ended: offset %d of %d, %s\n%s",
				name, n.state.Next(), len(s.records), reason, s.describe())
		}
		for id, p := range n.published {
			if !p.done {
				s.t.Fatalf("%s has not been accepted after all faults have ended", id)
			}
		}
	}
}

// describe returns a summary of the log and all daemons.
func (s *simulation) describe() string {
	text := fmt.Sprintf("log from %d to %d", s.oldest, len(s.records))
	for _, name := range s.names {
		n := s.nodes[name]
		_, reason := n.state.Serving(s.localTime(n))
		text += fmt.Sprintf("; %s at %d, ready %t, %d buffered, %s", name, n.state.tableState.Next, n.state.ready, len(n.state.buffered), reason)
	}
	return text
}
