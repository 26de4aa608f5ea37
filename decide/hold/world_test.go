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
	// world is a model of daemons, engines and callers. Everything that is on its way is
	// in pending; the schedule picks what happens next, so that a pause of any length can
	// fall between any two steps.
	world struct {
		t        *rapid.T
		weak     weakness
		now      time.Time
		daemons  []*daemon
		requests []wire.HeldRequest
		callers  []*caller
		attempts map[ident.AttemptID]*attempt
		reasons  map[string]*attempt
		pending  []*pending
		serial   int64
		trace    []string
		loss     int
		// breaks bounds the broken connections of gentle steps.
		breaks int
		kills  int
		// held are the tokens that some holder has acknowledged.
		held   map[string]bool
		counts map[string]int
	}

	daemon struct {
		name        string
		incarnation string
		store       Store
		owned       map[string]*live
	}

	live struct {
		id    int64
		owned Owned
		conns map[int64]*conn
	}

	// attempt is what one engine samples; every attempt samples other tokens.
	attempt struct {
		number    int
		request   string
		history   []string
		total     int
		cancelled bool
	}

	caller struct {
		name    string
		request int
		view    []string
		at      Position
		conn    *conn
		trying  bool
		end     string
	}

	// conn delivers in order, and nothing any more once it is broken.
	conn struct {
		id     int64
		caller *caller
		queue  []func()
		broken bool
	}

	pending struct {
		name  string
		owner string
		local bool
		run   func()
		lose  func()
	}

	// weakness turns off one rule, to show that the oracle notices.
	weakness string
)

const (
	noWeakness        weakness = ""
	forwardsUnacked   weakness = "forwards tokens that the holder lacks"
	takesAnyAttempt   weakness = "takes chunks of any attempt"
	ignoresOffsets    weakness = "ignores the offsets of chunks"
	finishesOnLoss    weakness = "takes an interrupted attempt for a finished one"
	finishesWithGap   weakness = "takes a finish reason without the last chunks"
	ignoresEpoch      weakness = "ignores epoch and branch of an update at the holder"
	ignoresBranch     weakness = "continues a copy by its offset alone"
	reusesBranchNames weakness = "names branches by daemon and epoch"
)

var weaknesses = []weakness{
	forwardsUnacked, takesAnyAttempt, ignoresOffsets, finishesOnLoss, finishesWithGap,
	ignoresEpoch, ignoresBranch, reusesBranchNames,
}

func newWorld(t *rapid.T, weak weakness) *world {
	w := &world{
		t: t, weak: weak, now: time.Unix(1_800_000_000, 0),
		attempts: map[ident.AttemptID]*attempt{}, reasons: map[string]*attempt{}, counts: map[string]int{},
		held: map[string]bool{},
	}
	w.loss, w.kills = w.pick(4)*6, w.pick(3)
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

// pick draws a number below n.
func (w *world) pick(n int) int { return search.Pick(w.t, n) }

func (w *world) chance(percent int) bool { return w.pick(100) < percent }

func (w *world) id() int64 {
	w.serial++
	return w.serial
}

func (w *world) note(format string, arguments ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, arguments...))
}

func (w *world) fail(format string, arguments ...any) {
	for _, line := range w.trace {
		w.t.Log(line)
	}
	w.t.Fatalf(format, arguments...)
}

func (w *world) add(p pending) { w.pending = append(w.pending, &p) }

func (w *world) start(d *daemon) {
	d.incarnation = fmt.Sprintf("%s-run-%d", d.name, w.id())
	d.store = NewStore(Limits{MaxRecords: 1 + w.pick(4), MaxBytes: 4000, KeepPeriod: time.Minute})
	d.owned = map[string]*live{}
}

func (w *world) find(incarnation string) *daemon {
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
		w.deliver()
	case n < 78:
		w.connect()
	case n < 93:
		for _, d := range w.daemons {
			for _, l := range d.sorted() {
				w.update(d, l, Flush{})
			}
		}
	case n < 93+w.kills:
		w.kill(w.daemons[w.pick(len(w.daemons))])
	case n < 97:
		w.breakAny()
	default:
		w.now = w.now.Add(time.Duration(w.pick(20)+w.pick(2)*w.pick(60)) * time.Second)
		for _, d := range w.daemons {
			next, dropped := d.store.Update(TimePassed{Now: w.now})
			d.store = next
			w.counts["expired"] += len(dropped)
		}
	}
	for _, d := range w.daemons {
		w.checkStore(d)
	}
}

// gentleStep is a step without another fault than a broken connection of a caller.
func (w *world) gentleStep() {
	switch n := w.pick(100); {
	case n < 4 && w.counts["broken"] < w.breaks:
		w.breakAny()
		return
	case n < 14:
		w.connect()
		return
	}
	if len(w.pending) > 0 && w.chance(75) {
		w.deliver()
		return
	}
	for _, d := range w.daemons {
		for _, l := range d.sorted() {
			w.update(d, l, Flush{})
		}
	}
}

// breakAny breaks the connection of a caller; the daemon is not told.
func (w *world) breakAny() {
	c := w.callers[w.pick(len(w.callers))]
	if c.conn != nil {
		w.note("connection of %s breaks", c.name)
		w.counts["broken"]++
		c.conn.broken, c.conn = true, nil
	}
}

func (w *world) checkStore(d *daemon) {
	total := 0
	for _, r := range d.store.records {
		total += size(r)
	}
	for _, formers := range d.store.former {
		for _, r := range formers {
			total += size(r)
		}
	}
	if total != d.store.Bytes() || total > d.store.limits.MaxBytes || d.store.Len() > d.store.limits.MaxRecords {
		w.fail("store of %s counts %d bytes in %d records and holds %d", d.incarnation, d.store.Bytes(), d.store.Len(), total)
	}
}

func (d *daemon) sorted() []*live {
	result := make([]*live, 0, len(d.owned))
	for _, l := range d.owned {
		result = append(result, l)
	}
	slices.SortFunc(result, func(a, b *live) int { return int(a.id - b.id) })
	return result
}

func (w *world) deliver() {
	i := 0
	if w.chance(50) {
		i = w.pick(len(w.pending))
	}
	p := w.pending[i]
	w.pending = slices.Delete(w.pending, i, i+1)
	if p.lose != nil && w.chance(w.loss) {
		w.note("lose %s", p.name)
		p.lose()
		return
	}
	w.note("%s", p.name)
	p.run()
}

func (w *world) kill(d *daemon) {
	w.note("kill %s", d.incarnation)
	w.counts["kill"]++
	w.pending = slices.DeleteFunc(w.pending, func(p *pending) bool { return p.local && p.owner == d.incarnation })
	for _, l := range d.sorted() {
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

// settle lets everything that is on its way arrive and sends every caller without an
// answer to one daemon, until all have one.
func (w *world) settle() {
	for range 400 {
		for len(w.pending) > 0 {
			p := w.pending[0]
			w.pending = w.pending[1:]
			w.note("%s", p.name)
			p.run()
		}
		waiting := 0
		for _, c := range w.callers {
			if c.end == "" {
				waiting++
			}
			if c.end == "" && c.conn == nil {
				w.note("%s connects again at %+v", c.name, c.at)
				w.arrive(w.daemons[0], c)
			}
		}
		if waiting == 0 {
			return
		}
		for _, d := range w.daemons {
			for _, l := range d.sorted() {
				w.update(d, l, Flush{})
			}
		}
	}
	w.fail("a caller has no whole answer although only one daemon has died")
}

// connect sends a caller to any daemon with the position that it has reached.
func (w *world) connect() {
	c := w.callers[w.pick(len(w.callers))]
	if c.conn != nil || c.trying || c.end != "" {
		return
	}
	d := w.daemons[w.pick(len(w.daemons))]
	incarnation := d.incarnation
	c.trying = true
	w.note("%s connects to %s at %+v", c.name, incarnation, c.at)
	w.add(pending{
		name: c.name + " reaches " + incarnation,
		run: func() {
			if found := w.find(incarnation); found != nil {
				w.arrive(found, c)
			} else {
				c.trying = false
			}
		},
	})
}

type source struct {
	daemon string
	branch string
	owned  bool
}

func (w *world) arrive(d *daemon, c *caller) {
	request := w.requests[c.request]
	if l := d.owned[request.RequestID]; l != nil && (w.weak == ignoresBranch || l.owned.Covers(c.at)) {
		w.join(d, l, c)
		return
	}
	var records []wire.HeldRequest
	var sources []source
	for _, other := range w.daemons {
		if w.chance(w.loss) {
			continue
		}
		for _, r := range other.store.Lookup(request.Account, request.RequestID) {
			records, sources = append(records, r), append(sources, source{other.incarnation, LastBranch(r), false})
		}
		if l := other.owned[request.RequestID]; l != nil {
			r := l.owned.Record
			r.Tokens = slices.Clone(r.Tokens[:l.owned.Acked])
			records, sources = append(records, r), append(sources, source{other.incarnation, "", true})
		}
	}
	at := c.at
	for n := range records {
		if w.weak == ignoresBranch && at.Tokens <= len(records[n].Tokens) {
			at.Branch = branchAt(records[n], at.Tokens)
		}
	}
	i := Choose(records, at)
	incarnation := d.incarnation
	switch {
	case i >= 0:
		w.takeOver(incarnation, c, sources[i])
	case at.Tokens == 0 && len(records) == 0:
		w.counts["accepted"]++
		w.own(d, request, c)
	default:
		w.counts["unknown"]++
		c.trying = false
	}
}

// takeOver asks the holder or owner for the request; the answer may be lost.
func (w *world) takeOver(incarnation string, c *caller, from source) {
	request := w.requests[c.request]
	failed := func() { c.trying = false }
	answer := func(record wire.HeldRequest) {
		w.add(pending{
			name: "taken record reaches " + incarnation, lose: failed,
			run: func() {
				d := w.find(incarnation)
				if d == nil {
					failed()
					return
				}
				w.counts["taken over"]++
				w.own(d, record, c)
			},
		})
	}
	w.add(pending{
		name: incarnation + " takes over at " + from.daemon, lose: failed,
		run: func() {
			d := w.find(from.daemon)
			if d == nil {
				failed()
				return
			}
			if !from.owned {
				next, commands := d.store.Update(TakeOverAsked{Now: w.now, Request: wire.TakeOverRequest{
					RequestID: request.RequestID, Account: request.Account, NewOwner: incarnation, Branch: from.branch,
				}})
				d.store = next
				if reply := commands[0].(TakeOverAnswer).Reply; reply.Taken {
					answer(reply.Record)
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
			next, commands := l.owned.Update(GivenAway{NewOwner: incarnation})
			l.owned = next
			for _, command := range commands {
				if give, ok := command.(GiveRecord); ok {
					answer(give.Record)
				}
				w.carryOut(d, l, command)
			}
		},
	})
}

// own starts to serve a request; an earlier ownership at the same daemon is stopped first.
func (w *world) own(d *daemon, record wire.HeldRequest, c *caller) {
	if old := d.owned[record.RequestID]; old != nil {
		next, commands := old.owned.Update(GivenAway{NewOwner: d.incarnation})
		old.owned = next
		for _, command := range commands {
			w.carryOut(d, old, command)
		}
	}
	l := &live{id: w.id(), conns: map[int64]*conn{}}
	branch := fmt.Sprintf("branch-%d", l.id)
	if w.weak == reusesBranchNames {
		branch = fmt.Sprintf("%s-%d", d.name, record.Epoch)
	}
	owned, commands := NewOwned(record, d.incarnation, branch)
	l.owned = owned
	d.store, _ = d.store.Update(OwnedHere{Record: owned.Record})
	d.owned[record.RequestID] = l
	w.join(d, l, c)
	for _, command := range commands {
		w.carryOut(d, l, command)
	}
}

func (w *world) join(d *daemon, l *live, c *caller) {
	connection := &conn{id: w.id(), caller: c}
	c.conn, c.trying = connection, false
	l.conns[connection.id] = connection
	at := c.at
	if w.weak == ignoresBranch && at.Tokens <= l.owned.Acked {
		at.Branch = branchAt(l.owned.Record, at.Tokens)
	}
	w.update(d, l, CallerJoined{Caller: connection.id, Position: at})
}

func (w *world) update(d *daemon, l *live, message OwnerMessage) {
	if d.owned[l.owned.Record.RequestID] != l {
		return
	}
	switch m := message.(type) {
	case Chunk:
		if w.weak == takesAnyAttempt {
			m.Attempt = l.owned.Attempt
		}
		if w.weak == ignoresOffsets && m.Attempt == l.owned.Attempt {
			m.Offset = len(l.owned.Record.Tokens)
		}
		message = m
	case AttemptLost:
		if w.weak == finishesOnLoss {
			message = Finished{
				Attempt: m.Attempt, Tokens: len(l.owned.Record.Tokens), Reason: w.reason(m.Attempt),
			}
		}
	case Finished:
		if w.weak == finishesWithGap {
			m.Tokens = len(l.owned.Record.Tokens)
		}
		message = m
	}
	next, commands := l.owned.Update(message)
	l.owned = next
	if _, chunk := message.(Chunk); chunk && w.weak == forwardsUnacked {
		l.owned.Acked, l.owned.Held = len(l.owned.Record.Tokens), true
		l.owned, commands = l.owned.deliver(commands)
	}
	for _, c := range commands {
		w.carryOut(d, l, c)
	}
}

func (w *world) reason(id ident.AttemptID) string {
	return fmt.Sprintf("stop-%d", w.attempts[id].number)
}

func (w *world) carryOut(d *daemon, l *live, command OwnerCommand) {
	incarnation := d.incarnation
	switch c := command.(type) {
	case ChooseHolder:
		w.add(pending{
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
		w.toHolder(d, l, c.Record.Holder, fmt.Sprintf("hold of epoch %d with %d tokens", c.Record.Epoch, len(c.Record.Tokens)),
			func(s Store) (Store, wire.ProgressStatus) {
				next, commands := s.Update(KeepAsked{Now: w.now, Record: c.Record})
				return next, commands[0].(KeepAnswer).Reply.Status
			}, HolderAnswered{
				Holder: c.Record.Holder, Epoch: c.Record.Epoch, Tokens: len(c.Record.Tokens), Ended: ended(c.Record),
			})
	case SendProgress:
		w.toHolder(d, l, c.Holder, fmt.Sprintf("progress of epoch %d at %d", c.Update.Epoch, c.Update.Offset),
			func(s Store) (Store, wire.ProgressStatus) {
				update := c.Update
				if known, ok := s.records[update.RequestID]; ok && w.weak == ignoresEpoch {
					update.Epoch, update.Branch = known.Epoch, LastBranch(known)
				}
				next, commands := s.Update(ProgressAsked{Now: w.now, Update: update})
				return next, commands[0].(ProgressAnswer).Status
			}, HolderAnswered{
				Holder: c.Holder, Epoch: c.Update.Epoch, Tokens: c.Update.Offset + len(c.Update.Tokens),
				Ended: c.Update.Finish != "" || c.Update.Refusal != 0,
			})
	case StartAttempt:
		w.startAttempt(d, l, c)
	case CancelAttempt:
		w.attempts[c.Attempt].cancelled = true
	case Accept:
		w.counts["accept"]++
	case SendTokens:
		w.toCaller(l, c.Caller, func(to *caller) { w.receive(to, c) })
	case SendEnd:
		w.toCaller(l, c.Caller, func(to *caller) { w.receiveEnd(to, c) })
	case KeepCopy:
		next, _ := d.store.Update(KeepAsked{Now: w.now, Record: c.Record, Acknowledged: true})
		d.store = next
	case Stop:
		if d.owned[l.owned.Record.RequestID] == l {
			delete(d.owned, l.owned.Record.RequestID)
			d.store, _ = d.store.Update(OwnedElsewhere{RequestID: l.owned.Record.RequestID})
		}
		w.counts["stopped"]++
	}
}

// toHolder models a peer call: it can be lost, come late after the owner has stopped
// waiting, come twice, or have its answer lost.
func (w *world) toHolder(
	d *daemon, l *live, holder, name string,
	act func(Store) (Store, wire.ProgressStatus), answer HolderAnswered,
) {
	report := func(name string, message OwnerMessage) {
		w.add(pending{
			name: name + " at " + d.incarnation, owner: d.incarnation, local: true,
			run: func() { w.update(d, l, message) },
		})
	}
	lost := func() { report("HolderLost", HolderLost{Holder: holder}) }
	timeout := w.chance(w.loss)
	if timeout {
		lost()
	}
	deliver := func() (wire.ProgressStatus, bool) {
		to := w.find(holder)
		if to == nil {
			return "", false
		}
		next, status := act(to.store)
		to.store = next
		if status == wire.ProgressTaken {
			for _, token := range next.records[l.owned.Record.RequestID].Tokens {
				w.held[token] = true
			}
		}
		return status, true
	}
	if w.chance(w.loss) {
		w.add(pending{name: "second copy of " + name, run: func() { deliver() }})
	}
	w.add(pending{
		name: name + " reaches " + holder,
		run: func() {
			status, alive := deliver()
			switch {
			case timeout:
			case !alive || w.chance(w.loss):
				lost()
			default:
				w.counts[string(status)]++
				answer.Status = status
				report(fmt.Sprintf("%s for %d tokens", status, answer.Tokens), answer)
			}
		},
		lose: func() {
			if !timeout {
				lost()
			}
		},
	})
}

// startAttempt models an engine that goes on after the resumed tokens and samples its own.
func (w *world) startAttempt(d *daemon, l *live, c StartAttempt) {
	if w.attempts[c.Attempt] != nil && w.weak == noWeakness {
		w.fail("attempt identifier %s is used twice", c.Attempt)
	}
	a := &attempt{
		number: len(w.reasons), request: l.owned.Record.RequestID, history: slices.Clone(c.Resume),
		total: len(c.Resume) + w.pick(8),
	}
	w.attempts[c.Attempt], w.reasons[fmt.Sprintf("stop-%d", len(w.reasons))] = a, a
	w.counts["attempt"]++
	w.add(pending{name: "engine runs " + string(c.Attempt), run: func() { w.engineStep(d, l, c.Attempt, a) }})
}

func (w *world) engineStep(d *daemon, l *live, id ident.AttemptID, a *attempt) {
	if a.cancelled {
		return
	}
	send := func(name string, message OwnerMessage, lose func()) {
		target := l
		if others := d.sorted(); len(others) > 0 && w.chance(w.loss) {
			// An answer is mixed up with another request at the same daemon.
			target = others[w.pick(len(others))]
		}
		w.add(pending{
			name: fmt.Sprintf("%s of %s", name, id), owner: d.incarnation, local: true,
			run: func() { w.update(d, target, message) }, lose: lose,
		})
	}
	if w.chance(w.loss) {
		send("interruption", AttemptLost{Attempt: id}, nil)
		if w.chance(50) {
			return
		}
	}
	if len(a.history) >= a.total {
		// A lost finish reason is noticed by the idle limit.
		w.add(pending{
			name: "finish of " + string(id), owner: d.incarnation, local: true,
			run: func() {
				w.update(d, l, Finished{Attempt: id, Tokens: a.total, Reason: fmt.Sprintf("stop-%d", a.number)})
			},
			lose: func() { send("idle limit", AttemptLost{Attempt: id}, nil) },
		})
		return
	}
	offset := len(a.history)
	token := fmt.Sprintf("%s/%d/%d", a.request, a.number, offset)
	a.history = append(a.history, token)
	send("chunk", Chunk{Attempt: id, Offset: offset, Token: token}, func() {})
	if w.chance(w.loss) {
		send("second copy of a chunk", Chunk{Attempt: id, Offset: offset, Token: token}, func() {})
	}
	w.add(pending{name: "engine runs " + string(id), run: func() { w.engineStep(d, l, id, a) }})
}

func (w *world) toCaller(l *live, id int64, act func(*caller)) {
	c := l.conns[id]
	if c == nil || c.broken {
		return
	}
	c.queue = append(c.queue, func() { act(c.caller) })
	w.add(pending{
		name: "event for " + c.caller.name,
		run: func() {
			if !c.broken && len(c.queue) > 0 {
				next := c.queue[0]
				c.queue = c.queue[1:]
				next()
			}
		},
		lose: func() {
			w.breakConn(c)
		},
	})
}

// receive checks that the caller's copy stays the start of what one engine attempt has
// answered, together with the tokens that the attempt was resumed from.
func (w *world) receive(c *caller, m SendTokens) {
	if m.Offset != len(c.view) {
		w.fail("%s has %d tokens and gets tokens from %d", c.name, len(c.view), m.Offset)
	}
	for _, token := range m.Tokens {
		if !w.held[token] {
			w.fail("%s got the token %s, which no holder has", c.name, token)
		}
	}
	c.view = append(c.view, m.Tokens...)
	c.at = Position{Tokens: len(c.view), Branch: m.Branch}
	w.counts["tokens"] += len(m.Tokens)
	if parsed, err := ParseEventID(c.at.EventID()); err != nil || parsed != c.at {
		w.fail("event identifier %q reads as %+v, %v", c.at.EventID(), parsed, err)
	}
	request := w.requests[c.request].RequestID
	last := c.view[len(c.view)-1]
	if !strings.HasPrefix(last, request+"/") {
		w.fail("%s of %s got the token %s of another request", c.name, request, last)
	}
	var number, offset int
	if _, err := fmt.Sscanf(strings.TrimPrefix(last, request+"/"), "%d/%d", &number, &offset); err != nil {
		w.fail("token %q: %v", last, err)
	}
	a := w.reasons[fmt.Sprintf("stop-%d", number)]
	if len(a.history) < len(c.view) || !slices.Equal(a.history[:len(c.view)], c.view) {
		w.fail("%s has %v, which is not the start of one answer %v", c.name, c.view, a.history)
	}
}

func (w *world) receiveEnd(c *caller, m SendEnd) {
	if m.Finish == "" {
		w.note("%s is told %d", c.name, m.Code)
		w.counts[m.Code.Info().Name]++
		w.breakConn(c.conn)
		if m.Code != codes.Moved && m.Code != codes.RequestUnknown {
			c.end = m.Code.Info().Name
		}
		return
	}
	a := w.reasons[m.Finish]
	if a == nil || len(a.history) != a.total || !slices.Equal(a.history, c.view) {
		w.fail("%s was told that its answer %v ends with %s of %+v", c.name, c.view, m.Finish, a)
	}
	w.counts["finished"]++
	if c.conn != nil {
		w.breakConn(c.conn)
	}
	c.end = m.Finish
}
