package hold

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"

	"lentilstage.dev/decide/search"
)

type (
	// world simulates daemons, engines and callers. Events that have not happened yet are in
	// pending; the schedule picks the next one, so a delay of any length can occur between any
	// two steps.
	world struct {
		t                *rapid.T
		weakened         weakenedRule
		now              time.Time
		daemons          []*daemon
		requests         []wire.HeldRequest
		callers          []*caller
		attempts         map[ident.AttemptID]*attempt
		attemptsByReason map[string]*attempt
		pending          []*pending
		lastID           int64
		trace            []string
		lossPercent      int
		// maxBreaks bounds the connections that fault-free steps break.
		maxBreaks   int
		killPercent int
		// ackedTokens holds the tokens that some holder has acknowledged.
		ackedTokens map[string]bool
		counts      map[string]int
	}

	// daemon is one run of a daemon. Its incarnation changes with every restart.
	daemon struct {
		name        string
		incarnation string
		store       Store
		owned       map[string]*servedRequest
	}

	// servedRequest is a request that a daemon owns, with its caller connections.
	servedRequest struct {
		id    int64
		owned Owned
		conns map[int64]*conn
	}

	// attempt is the output of one engine. Every attempt samples different tokens.
	attempt struct {
		number    int
		request   string
		history   []string
		total     int
		cancelled bool
	}

	// caller sends one request and reconnects at the position that it has reached.
	caller struct {
		name       string
		request    int
		received   []string
		position   Position
		conn       *conn
		connecting bool
		outcome    string
	}

	// conn delivers events in order, and none after it has broken.
	conn struct {
		id     int64
		caller *caller
		queue  []func()
		broken bool
	}

	// pending is an event that has not been handled yet. A local event is discarded when its owner
	// dies. A lost event runs drop instead of run; a nil drop means that the event cannot be lost.
	pending struct {
		name  string
		owner string
		local bool
		run   func()
		drop  func()
	}

	// weakenedRule names a rule that is turned off to test that the checks detect it.
	weakenedRule string
)

const (
	allRules          weakenedRule = ""
	forwardsUnacked   weakenedRule = "forwards tokens that the holder has not acknowledged"
	acceptsAnyAttempt weakenedRule = "accepts chunks of any attempt"
	ignoresOffsets    weakenedRule = "ignores the offsets of chunks"
	finishesOnLoss    weakenedRule = "treats an interrupted attempt as finished"
	finishesWithGap   weakenedRule = "accepts a finish reason without the last chunks"
	ignoresEpoch      weakenedRule = "ignores the epoch and branch of an update at the holder"
	ignoresBranch     weakenedRule = "continues a copy by its offset alone"
	reusesBranchNames weakenedRule = "names branches by daemon and epoch"
)

var weakenedRules = []weakenedRule{
	forwardsUnacked, acceptsAnyAttempt, ignoresOffsets, finishesOnLoss, finishesWithGap,
	ignoresEpoch, ignoresBranch, reusesBranchNames,
}

func newWorld(t *rapid.T, weakened weakenedRule) *world {
	w := &world{
		t: t, weakened: weakened, now: time.Unix(1_800_000_000, 0),
		attempts: map[ident.AttemptID]*attempt{}, attemptsByReason: map[string]*attempt{}, counts: map[string]int{},
		ackedTokens: map[string]bool{},
	}
	w.lossPercent, w.killPercent = w.pick(4)*6, w.pick(3)
	for i := range 3 + w.pick(2) {
		w.daemons = append(w.daemons, &daemon{name: fmt.Sprintf("daemon-%d", i)})
		w.start(w.daemons[i])
	}
	for i := range 2 {
		w.requests = append(w.requests, wire.HeldRequest{
			RequestID: fmt.Sprintf("request-%d", i), Account: fmt.Sprintf("account-%d", i),
			Fingerprint: fmt.Sprintf("hash-%d", i), Body: []byte("prompt"),
		})
		for j := range 2 {
			w.callers = append(w.callers, &caller{name: fmt.Sprintf("caller-%d-%d", i, j), request: i})
		}
	}
	return w
}

// pick draws a number from 0 to n-1.
func (w *world) pick(n int) int { return search.DrawInt(w.t, n) }

func (w *world) chance(percent int) bool { return w.pick(100) < percent }

// id returns the next unique number.
func (w *world) id() int64 {
	w.lastID++
	return w.lastID
}

func (w *world) logf(format string, arguments ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, arguments...))
}

func (w *world) fail(format string, arguments ...any) {
	for _, line := range w.trace {
		w.t.Log(line)
	}
	w.t.Fatalf(format, arguments...)
}

func (w *world) schedule(p pending) { w.pending = append(w.pending, &p) }

func (w *world) start(d *daemon) {
	d.incarnation = fmt.Sprintf("%s-run-%d", d.name, w.id())
	d.store = NewStore(Limits{MaxRecords: 1 + w.pick(4), MaxBytes: 4000, KeepPeriod: time.Minute})
	d.owned = map[string]*servedRequest{}
}

func (w *world) findDaemon(incarnation string) *daemon {
	for _, d := range w.daemons {
		if d.incarnation == incarnation {
			return d
		}
	}
	return nil
}

func (w *world) step() {
	switch n := w.pick(100); {
	case n < 70 && len(w.pending) > 0:
		w.deliverNext()
	case n < 78:
		w.connectCaller()
	case n < 93:
		for _, d := range w.daemons {
			for _, l := range d.sortedRequests() {
				w.update(d, l, Flush{})
			}
		}
	case n < 93+w.killPercent:
		w.kill(w.daemons[w.pick(len(w.daemons))])
	case n < 97:
		w.breakCaller()
	default:
		w.now = w.now.Add(time.Duration(w.pick(20)+w.pick(2)*w.pick(60)) * time.Second)
		for _, d := range w.daemons {
			next, dropped := d.store.Update(ExpiryTick{Now: w.now})
			d.store = next
			w.counts["expired"] += len(dropped)
		}
	}
	for _, d := range w.daemons {
		w.checkStore(d)
	}
}

// faultFreeStep runs a step without faults other than broken caller connections.
func (w *world) faultFreeStep() {
	switch n := w.pick(100); {
	case n < 4 && w.counts["broken"] < w.maxBreaks:
		w.breakCaller()
		return
	case n < 14:
		w.connectCaller()
		return
	}
	if len(w.pending) > 0 && w.chance(75) {
		w.deliverNext()
		return
	}
	for _, d := range w.daemons {
		for _, l := range d.sortedRequests() {
			w.update(d, l, Flush{})
		}
	}
}

// breakCaller breaks the connection of a random caller without notifying the daemon.
func (w *world) breakCaller() {
	c := w.callers[w.pick(len(w.callers))]
	if c.conn != nil {
		w.logf("connection of %s breaks", c.name)
		w.counts["broken"]++
		c.conn.broken, c.conn = true, nil
	}
}

func (w *world) checkStore(d *daemon) {
	total := 0
	for _, r := range d.store.records {
		total += size(r)
	}
	for _, copies := range d.store.superseded {
		for _, r := range copies {
			total += size(r)
		}
	}
	if total != d.store.Bytes() || total > d.store.limits.MaxBytes || d.store.Len() > d.store.limits.MaxRecords {
		w.fail(
			"store of %s reports %d bytes in %d records, but its copies have %d bytes, or it exceeds its limits",
			d.incarnation, d.store.Bytes(), d.store.Len(), total,
		)
	}
}

func (d *daemon) sortedRequests() []*servedRequest {
	result := make([]*servedRequest, 0, len(d.owned))
	for _, l := range d.owned {
		result = append(result, l)
	}
	slices.SortFunc(result, func(a, b *servedRequest) int { return int(a.id - b.id) })
	return result
}

func (w *world) deliverNext() {
	i := 0
	if w.chance(50) {
		i = w.pick(len(w.pending))
	}
	p := w.pending[i]
	w.pending = slices.Delete(w.pending, i, i+1)
	if p.drop != nil && w.chance(w.lossPercent) {
		w.logf("lose %s", p.name)
		p.drop()
		return
	}
	w.logf("%s", p.name)
	p.run()
}

func (w *world) kill(d *daemon) {
	w.logf("kill %s", d.incarnation)
	w.counts["kill"]++
	w.pending = slices.DeleteFunc(w.pending, func(p *pending) bool { return p.local && p.owner == d.incarnation })
	for _, l := range d.sortedRequests() {
		for _, c := range l.conns {
			w.breakConn(c)
		}
	}
	w.start(d)
}

func (w *world) breakConn(c *conn) {
	c.broken = true
	if c.caller.conn == c {
		c.caller.conn = nil
	}
}

// runToCompletion runs all pending events and connects the callers without an answer to one daemon,
// until every caller has an answer.
func (w *world) runToCompletion() {
	for range 400 {
		for len(w.pending) > 0 {
			p := w.pending[0]
			w.pending = w.pending[1:]
			w.logf("%s", p.name)
			p.run()
		}
		waiting := 0
		for _, c := range w.callers {
			if c.outcome == "" {
				waiting++
			}
			if c.outcome == "" && c.conn == nil {
				w.logf("%s reconnects at %+v", c.name, c.position)
				w.serveCaller(w.daemons[0], c)
			}
		}
		if waiting == 0 {
			return
		}
		for _, d := range w.daemons {
			for _, l := range d.sortedRequests() {
				w.update(d, l, Flush{})
			}
		}
	}
	w.fail("a caller has no complete answer although only one daemon has died")
}

// connectCaller connects a random caller to a random daemon at the position that it has reached.
func (w *world) connectCaller() {
	c := w.callers[w.pick(len(w.callers))]
	if c.conn != nil || c.connecting || c.outcome != "" {
		return
	}
	d := w.daemons[w.pick(len(w.daemons))]
	incarnation := d.incarnation
	c.connecting = true
	w.logf("%s connects to %s at %+v", c.name, incarnation, c.position)
	w.schedule(pending{
		name: c.name + " reaches " + incarnation,
		run: func() {
			if found := w.findDaemon(incarnation); found != nil {
				w.serveCaller(found, c)
			} else {
				c.connecting = false
			}
		},
	})
}

// source is where a daemon has found a copy of a request: the owner, or the store of another daemon.
type source struct {
	daemon string
	branch string
	owned  bool
}

func (w *world) serveCaller(d *daemon, c *caller) {
	request := w.requests[c.request]
	if l := d.owned[request.RequestID]; l != nil && (w.weakened == ignoresBranch || l.owned.Covers(c.position)) {
		w.join(d, l, c)
		return
	}
	var records []wire.HeldRequest
	var sources []source
	for _, other := range w.daemons {
		if w.chance(w.lossPercent) {
			continue
		}
		for _, r := range other.store.Lookup(request.Account, request.RequestID) {
			records, sources = append(records, r), append(sources, source{other.incarnation, LastBranch(r), false})
		}
		if l := other.owned[request.RequestID]; l != nil {
			r := l.owned.Record
			r.Tokens = slices.Clone(r.Tokens[:l.owned.AckedTokens])
			records, sources = append(records, r), append(sources, source{other.incarnation, "", true})
		}
	}
	position := c.position
	for n := range records {
		if w.weakened == ignoresBranch && position.Tokens <= len(records[n].Tokens) {
			position.Branch = branchAt(records[n], position.Tokens)
		}
	}
	i := ChooseCopy(records, position)
	incarnation := d.incarnation
	switch {
	case i >= 0:
		w.takeOver(incarnation, c, sources[i])
	case position.Tokens == 0 && len(records) == 0:
		w.counts["accepted"]++
		w.takeOwnership(d, request, c)
	default:
		w.counts["unknown"]++
		c.connecting = false
	}
}

// takeOver asks the holder or owner to transfer the request; the request or its reply may be lost.
func (w *world) takeOver(incarnation string, c *caller, from source) {
	request := w.requests[c.request]
	failed := func() { c.connecting = false }
	sendRecord := func(record wire.HeldRequest) {
		w.schedule(pending{
			name: "transferred record reaches " + incarnation, drop: failed,
			run: func() {
				d := w.findDaemon(incarnation)
				if d == nil {
					failed()
					return
				}
				w.counts["taken over"]++
				w.takeOwnership(d, record, c)
			},
		})
	}
	w.schedule(pending{
		name: incarnation + " takes over at " + from.daemon, drop: failed,
		run: func() {
			d := w.findDaemon(from.daemon)
			if d == nil {
				failed()
				return
			}
			if !from.owned {
				next, commands := d.store.Update(TakeOverRequested{Now: w.now, Request: wire.TakeOverRequest{
					RequestID: request.RequestID, Account: request.Account, NewOwner: incarnation, Branch: from.branch,
				}})
				d.store = next
				if reply := commands[0].(TakeOverResult).Reply; reply.Taken {
					sendRecord(reply.Record)
					return
				}
				failed()
				return
			}
			l := d.owned[request.RequestID]
			if l == nil {
				failed()
				return
			}
			next, commands := l.owned.Update(TransferRequested{NewOwner: incarnation})
			l.owned = next
			for _, command := range commands {
				if give, ok := command.(TransferRecord); ok {
					sendRecord(give.Record)
				}
				w.execute(d, l, command)
			}
		},
	})
}

// takeOwnership starts to serve a request after stopping an earlier ownership at the same daemon.
func (w *world) takeOwnership(d *daemon, record wire.HeldRequest, c *caller) {
	if old := d.owned[record.RequestID]; old != nil {
		next, commands := old.owned.Update(TransferRequested{NewOwner: d.incarnation})
		old.owned = next
		for _, command := range commands {
			w.execute(d, old, command)
		}
	}
	l := &servedRequest{id: w.id(), conns: map[int64]*conn{}}
	branch := fmt.Sprintf("branch-%d", l.id)
	if w.weakened == reusesBranchNames {
		branch = fmt.Sprintf("%s-%d", d.name, record.Epoch)
	}
	owned, commands := NewOwned(record, d.incarnation, branch)
	l.owned = owned
	d.store, _ = d.store.Update(OwnershipAcquired{Record: owned.Record})
	d.owned[record.RequestID] = l
	w.join(d, l, c)
	for _, command := range commands {
		w.execute(d, l, command)
	}
}

func (w *world) join(d *daemon, l *servedRequest, c *caller) {
	connection := &conn{id: w.id(), caller: c}
	c.conn, c.connecting = connection, false
	l.conns[connection.id] = connection
	position := c.position
	if w.weakened == ignoresBranch && position.Tokens <= l.owned.AckedTokens {
		position.Branch = branchAt(l.owned.Record, position.Tokens)
	}
	w.update(d, l, CallerJoined{Caller: connection.id, Position: position})
}

func (w *world) update(d *daemon, l *servedRequest, message OwnerMessage) {
	if d.owned[l.owned.Record.RequestID] != l {
		return
	}
	switch m := message.(type) {
	case Chunk:
		if w.weakened == acceptsAnyAttempt {
			m.Attempt = l.owned.Attempt
		}
		if w.weakened == ignoresOffsets && m.Attempt == l.owned.Attempt {
			m.Offset = len(l.owned.Record.Tokens)
		}
		message = m
	case AttemptInterrupted:
		if w.weakened == finishesOnLoss {
			message = AttemptFinished{
				Attempt: m.Attempt, Tokens: len(l.owned.Record.Tokens), Reason: w.reason(m.Attempt),
			}
		}
	case AttemptFinished:
		if w.weakened == finishesWithGap {
			m.Tokens = len(l.owned.Record.Tokens)
		}
		message = m
	}
	next, commands := l.owned.Update(message)
	l.owned = next
	if _, chunk := message.(Chunk); chunk && w.weakened == forwardsUnacked {
		l.owned.AckedTokens, l.owned.HolderConfirmed = len(l.owned.Record.Tokens), true
		l.owned, commands = l.owned.sendToCallers(commands)
	}
	for _, c := range commands {
		w.execute(d, l, c)
	}
}

func (w *world) reason(id ident.AttemptID) string {
	return fmt.Sprintf("stop-%d", w.attempts[id].number)
}

func (w *world) execute(d *daemon, l *servedRequest, command OwnerCommand) {
	incarnation := d.incarnation
	switch c := command.(type) {
	case ChooseHolder:
		w.schedule(pending{
			name: "holder chosen by " + incarnation, owner: incarnation, local: true,
			run: func() {
				other := w.daemons[w.pick(len(w.daemons))]
				if other == d {
					w.update(d, l, NoHolder{})
					return
				}
				w.update(d, l, HolderChosen{Holder: other.incarnation})
			},
		})
	case SendHold:
		w.callHolder(d, l, c.Record.Holder, fmt.Sprintf("hold of epoch %d with %d tokens", c.Record.Epoch, len(c.Record.Tokens)),
			func(s Store) (Store, wire.ProgressStatus) {
				next, commands := s.Update(StoreRequested{Now: w.now, Record: c.Record})
				return next, commands[0].(StoreResult).Reply.Status
			}, HolderReplied{
				Holder: c.Record.Holder, Epoch: c.Record.Epoch, Tokens: len(c.Record.Tokens), Ended: ended(c.Record),
			})
	case SendProgress:
		w.callHolder(d, l, c.Holder, fmt.Sprintf("progress of epoch %d at %d", c.Update.Epoch, c.Update.Offset),
			func(s Store) (Store, wire.ProgressStatus) {
				update := c.Update
				if known, ok := s.records[update.RequestID]; ok && w.weakened == ignoresEpoch {
					update.Epoch, update.Branch = known.Epoch, LastBranch(known)
				}
				next, commands := s.Update(ProgressReceived{Now: w.now, Update: update})
				return next, commands[0].(ProgressResult).Status
			}, HolderReplied{
				Holder: c.Holder, Epoch: c.Update.Epoch, Tokens: c.Update.Offset + len(c.Update.Tokens),
				Ended: c.Update.Finish != "" || c.Update.Refusal != 0,
			})
	case StartAttempt:
		w.startAttempt(d, l, c)
	case CancelAttempt:
		w.attempts[c.Attempt].cancelled = true
	case SendAccepted:
		w.counts["accept"]++
	case SendTokens:
		w.queueForCaller(l, c.Caller, func(to *caller) { w.receive(to, c) })
	case SendEnd:
		w.queueForCaller(l, c.Caller, func(to *caller) { w.receiveEnd(to, c) })
	case StoreCopy:
		next, _ := d.store.Update(StoreRequested{Now: w.now, Record: c.Record, Acknowledged: true})
		d.store = next
	case Stop:
		if d.owned[l.owned.Record.RequestID] == l {
			delete(d.owned, l.owned.Record.RequestID)
			d.store, _ = d.store.Update(OwnershipReleased{RequestID: l.owned.Record.RequestID})
		}
		w.counts["stopped"]++
	}
}

// callHolder simulates a call to a holder. The call can be lost, duplicated, or arrive after the
// owner has timed out, and its reply can be lost.
func (w *world) callHolder(
	d *daemon, l *servedRequest, holder, name string,
	apply func(Store) (Store, wire.ProgressStatus), reply HolderReplied,
) {
	reportToOwner := func(name string, message OwnerMessage) {
		w.schedule(pending{
			name: name + " at " + d.incarnation, owner: d.incarnation, local: true,
			run: func() { w.update(d, l, message) },
		})
	}
	lost := func() { reportToOwner("HolderLost", HolderLost{Holder: holder}) }
	timeout := w.chance(w.lossPercent)
	if timeout {
		lost()
	}
	deliver := func() (wire.ProgressStatus, bool) {
		to := w.findDaemon(holder)
		if to == nil {
			return "", false
		}
		next, status := apply(to.store)
		to.store = next
		if status == wire.ProgressTaken {
			for _, token := range next.records[l.owned.Record.RequestID].Tokens {
				w.ackedTokens[token] = true
			}
		}
		return status, true
	}
	if w.chance(w.lossPercent) {
		w.schedule(pending{name: "duplicate of " + name, run: func() { deliver() }})
	}
	w.schedule(pending{
		name: name + " reaches " + holder,
		run: func() {
			status, alive := deliver()
			switch {
			case timeout:
			case !alive || w.chance(w.lossPercent):
				lost()
			default:
				w.counts[string(status)]++
				reply.Status = status
				reportToOwner(fmt.Sprintf("%s for %d tokens", status, reply.Tokens), reply)
			}
		},
		drop: func() {
			if !timeout {
				lost()
			}
		},
	})
}

// startAttempt simulates an engine that continues after the resumed tokens with tokens of its own.
func (w *world) startAttempt(d *daemon, l *servedRequest, c StartAttempt) {
	if w.attempts[c.Attempt] != nil && w.weakened == allRules {
		w.fail("attempt identifier %s is used twice", c.Attempt)
	}
	a := &attempt{
		number: len(w.attemptsByReason), request: l.owned.Record.RequestID, history: slices.Clone(c.Resume),
		total: len(c.Resume) + w.pick(8),
	}
	w.attempts[c.Attempt], w.attemptsByReason[fmt.Sprintf("stop-%d", len(w.attemptsByReason))] = a, a
	w.counts["attempt"]++
	w.schedule(pending{name: "engine runs " + string(c.Attempt), run: func() { w.engineStep(d, l, c.Attempt, a) }})
}

func (w *world) engineStep(d *daemon, l *servedRequest, id ident.AttemptID, a *attempt) {
	if a.cancelled {
		return
	}
	send := func(name string, message OwnerMessage, drop func()) {
		target := l
		if others := d.sortedRequests(); len(others) > 0 && w.chance(w.lossPercent) {
			// The message is delivered to another request at the same daemon.
			target = others[w.pick(len(others))]
		}
		w.schedule(pending{
			name: fmt.Sprintf("%s of %s", name, id), owner: d.incarnation, local: true,
			run: func() { w.update(d, target, message) }, drop: drop,
		})
	}
	if w.chance(w.lossPercent) {
		send("interruption", AttemptInterrupted{Attempt: id}, nil)
		if w.chance(50) {
			return
		}
	}
	if len(a.history) >= a.total {
		// A lost finish reason is detected by the idle timeout.
		w.schedule(pending{
			name: "finish of " + string(id), owner: d.incarnation, local: true,
			run: func() {
				w.update(d, l, AttemptFinished{Attempt: id, Tokens: a.total, Reason: fmt.Sprintf("stop-%d", a.number)})
			},
			drop: func() { send("idle timeout", AttemptInterrupted{Attempt: id}, nil) },
		})
		return
	}
	offset := len(a.history)
	token := fmt.Sprintf("%s/%d/%d", a.request, a.number, offset)
	a.history = append(a.history, token)
	send("chunk", Chunk{Attempt: id, Offset: offset, Token: token}, func() {})
	if w.chance(w.lossPercent) {
		send("duplicate chunk", Chunk{Attempt: id, Offset: offset, Token: token}, func() {})
	}
	w.schedule(pending{name: "engine runs " + string(id), run: func() { w.engineStep(d, l, id, a) }})
}

func (w *world) queueForCaller(l *servedRequest, id int64, apply func(*caller)) {
	c := l.conns[id]
	if c == nil || c.broken {
		return
	}
	c.queue = append(c.queue, func() { apply(c.caller) })
	w.schedule(pending{
		name: "event for " + c.caller.name,
		run: func() {
			if !c.broken && len(c.queue) > 0 {
				next := c.queue[0]
				c.queue = c.queue[1:]
				next()
			}
		},
		drop: func() {
			w.breakConn(c)
		},
	})
}

// receive checks that the caller's copy remains a prefix of the answer of one engine attempt, which
// includes the tokens that the attempt was resumed from.
func (w *world) receive(c *caller, m SendTokens) {
	if m.Offset != len(c.received) {
		w.fail("%s has %d tokens and received tokens from offset %d", c.name, len(c.received), m.Offset)
	}
	for _, token := range m.Tokens {
		if !w.ackedTokens[token] {
			w.fail("%s received the token %s, which no holder has acknowledged", c.name, token)
		}
	}
	c.received = append(c.received, m.Tokens...)
	c.position = Position{Tokens: len(c.received), Branch: m.Branch}
	w.counts["tokens"] += len(m.Tokens)
	if parsed, err := ParseEventID(c.position.EventID()); err != nil || parsed != c.position {
		w.fail("event identifier %q is parsed as %+v with error %v", c.position.EventID(), parsed, err)
	}
	request := w.requests[c.request].RequestID
	last := c.received[len(c.received)-1]
	if !strings.HasPrefix(last, request+"/") {
		w.fail("%s of %s received the token %s of another request", c.name, request, last)
	}
	var number, offset int
	if _, err := fmt.Sscanf(strings.TrimPrefix(last, request+"/"), "%d/%d", &number, &offset); err != nil {
		w.fail("token %q: %v", last, err)
	}
	a := w.attemptsByReason[fmt.Sprintf("stop-%d", number)]
	if len(a.history) < len(c.received) || !slices.Equal(a.history[:len(c.received)], c.received) {
		w.fail("%s has %v, which is not a prefix of the answer %v", c.name, c.received, a.history)
	}
}

func (w *world) receiveEnd(c *caller, m SendEnd) {
	if m.Finish == "" {
		w.logf("%s receives code %d", c.name, m.Code)
		w.counts[m.Code.Info().Name]++
		w.breakConn(c.conn)
		if m.Code != codes.Moved && m.Code != codes.RequestUnknown {
			c.outcome = m.Code.Info().Name
		}
		return
	}
	a := w.attemptsByReason[m.Finish]
	if a == nil || len(a.history) != a.total || !slices.Equal(a.history, c.received) {
		w.fail("%s has %v and received finish reason %s, which does not complete attempt %+v", c.name, c.received, m.Finish, a)
	}
	w.counts["finished"]++
	if c.conn != nil {
		w.breakConn(c.conn)
	}
	c.outcome = m.Finish
}
