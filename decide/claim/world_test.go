package claim

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"

	"lentilstage.dev/decide/search"
)

const (
	testWindow    = 6 * time.Hour
	testRetention = 2 * testWindow
)

type (
	// world is a model of several daemons, one shard of the log, a service and its
	// callers. Everything that is on its way is in pending; the schedule picks what
	// happens next, so that a pause of any length can fall between any two steps.
	world struct {
		t       *rapid.T
		weak    weakness
		now     time.Time
		logDown bool
		log     []wire.LogRecord
		next    int64
		oldest  int64
		daemons []*daemon
		pending []*pending
		serial  int64
		trace   []string
		keys    []callKey
		skew    time.Duration
		// loss, outage and kills are the schedule's percentages of these faults.
		loss, outage, kills int

		executed   map[entryKey]int
		bodies     map[entryKey]string
		notRunKey  map[entryKey]string
		notRunBody map[string]bool
		answers    map[entryKey][]byte
		fence      int64
		counts     map[string]int
	}

	daemon struct {
		name        int
		incarnation ident.Incarnation
		skew        time.Duration
		index       *Index
		calls       map[int64]*live
		active      map[entryKey]int64
	}

	live struct {
		id      int64
		call    Call
		request wire.CallRequest
		replies map[int64]func(wire.CallReply)
		sends   int
	}

	callKey struct {
		account, key string
	}

	// pending is something on its way. A local one is lost when its daemon dies.
	pending struct {
		name  string
		owner ident.Incarnation
		local bool
		ready func() bool
		run   func()
		// lose is what happens instead when it is lost; nil means that it can't be lost.
		lose func()
	}

	// weakness turns off one rule, to show that the oracle notices.
	weakness string
)

const (
	noWeakness          weakness = ""
	sendOnAppendAnswer  weakness = "sends when its append is answered, before its claim is known to be first"
	sendBeforeClaim     weakness = "sends when the shard shows no claim of another"
	notRunOnGivingUp    weakness = "says not run when the append's outcome is unknown at the deadline"
	notRunOnLogDown     weakness = "says not run when the log can't be read"
	notRunOnExpiry      weakness = "says not run for a key past its window"
	notRunOnFuture      weakness = "says not run for a key in the future"
	notRunOnLostAnswer  weakness = "says not run when the answer was lost"
	releaseReopens      weakness = "a given up claim opens the key again"
	resendOnLost        weakness = "sends again when the answer was lost"
	windowOverRetention weakness = "the key window is longer than the retention"
	anyOwnClaim         weakness = "takes the claim of any call of its incarnation for its own"
	reusedByLocalBody   weakness = "says not run for another body before the key is decided"
)

var weaknesses = []weakness{
	sendOnAppendAnswer, sendBeforeClaim, notRunOnGivingUp, notRunOnLogDown, notRunOnExpiry,
	notRunOnFuture, notRunOnLostAnswer, releaseReopens, resendOnLost, windowOverRetention,
	anyOwnClaim, reusedByLocalBody,
}

func newWorld(t *rapid.T, weak weakness) *world {
	w := &world{
		t: t, weak: weak, now: time.Unix(1_800_000_000, 0),
		executed: map[entryKey]int{}, bodies: map[entryKey]string{}, notRunKey: map[entryKey]string{},
		notRunBody: map[string]bool{}, answers: map[entryKey][]byte{}, counts: map[string]int{},
	}
	// Most schedules keep to the stated clock error of 1 s; some go past it.
	w.skew = time.Second
	if w.pick(4) == 0 {
		w.skew = 20 * time.Second
	}
	w.loss, w.outage, w.kills = w.pick(4)*7, w.pick(4)*10, w.pick(3)
	for i := range 2 + w.pick(3) {
		w.daemons = append(w.daemons, &daemon{name: i})
		w.start(w.daemons[i])
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

func (w *world) start(d *daemon) {
	d.incarnation = ident.Incarnation(fmt.Sprintf("daemon-%d-run-%d", d.name, w.id()))
	d.skew = time.Duration(w.pick(2001)-1000) * w.skew / 1000
	d.index = NewIndex(w.window(), w.pick(4)*20)
	d.calls, d.active = map[int64]*live{}, map[entryKey]int64{}
}

func (w *world) window() time.Duration {
	if w.weak == windowOverRetention {
		return 3 * testRetention
	}
	return testWindow
}

func (w *world) clock(d *daemon) time.Time { return w.now.Add(d.skew) }

func (w *world) note(format string, arguments ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%s ", w.now.UTC().Format("15:04:05.000"))+fmt.Sprintf(format, arguments...))
}

func (w *world) fail(format string, arguments ...any) {
	w.note(format, arguments...)
	for _, line := range w.trace {
		w.t.Log(line)
	}
	w.t.Fatalf(format, arguments...)
}

func (w *world) add(p pending) {
	w.pending = append(w.pending, &p)
}

// step draws and carries out one event of the schedule.
func (w *world) step() {
	switch n := w.pick(100); {
	case n < 80 && len(w.pending) > 0:
		w.deliver()
	case n < 90:
		w.callerSends()
	case n < 90+w.kills:
		d := w.daemons[w.pick(len(w.daemons))]
		w.note("kill %s", d.incarnation)
		w.pending = slices.DeleteFunc(w.pending, func(p *pending) bool { return p.local && p.owner == d.incarnation })
		w.counts["kill"]++
		w.start(d)
	case n < 94:
		w.logDown = w.chance(w.outage)
		w.note("log down: %t", w.logDown)
	case n < 95:
		w.closeKey()
	case n < 96:
		w.dropIdle()
	default:
		w.advance()
	}
}

func (w *world) deliver() {
	ready := make([]int, 0, len(w.pending))
	for i, p := range w.pending {
		if p.ready == nil || p.ready() {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return
	}
	i := ready[0]
	if w.chance(50) {
		i = ready[w.pick(len(ready))]
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

// advance moves the clock by milliseconds, by more than a deadline, by hours, or past
// the key window and the retention.
func (w *world) advance() {
	steps := []time.Duration{
		time.Millisecond, time.Millisecond, 100 * time.Millisecond, time.Second, time.Second, 10 * time.Second, 40 * time.Second,
	}
	if w.chance(8) {
		steps = []time.Duration{time.Hour, testWindow, testRetention}
	}
	w.now = w.now.Add(steps[w.pick(len(steps))] * time.Duration(1000+w.pick(200)) / 1000)
	for len(w.log) > 0 && w.log[0].Time.Before(w.now.Add(-testRetention)) {
		w.oldest = w.log[0].Offset + 1
		w.log = w.log[1:]
	}
}

// callerSends draws a caller's call: a new key or a retry with an earlier one, with
// either of two bodies, at any daemon.
func (w *world) callerSends() {
	if len(w.keys) == 0 || w.chance(25) {
		ahead := time.Duration(w.pick(3000)) * time.Millisecond
		switch w.pick(8) {
		case 0:
			ahead = time.Duration(w.pick(60)) * time.Second
		case 1:
			ahead = -testWindow + time.Duration(w.pick(60)-20)*time.Second
		}
		w.keys = append(w.keys, callKey{
			account: fmt.Sprintf("account-%d", w.pick(2)),
			key:     testKey(w.now.Add(ahead), len(w.keys)),
		})
	}
	k := w.keys[w.pick(len(w.keys))]
	if recent := len(w.keys) - 3; recent > 0 && w.chance(75) {
		k = w.keys[recent+w.pick(3)]
	}
	body := "first body"
	if w.chance(15) {
		body = "second body"
	}
	d := w.daemons[w.pick(len(w.daemons))]
	request := wire.CallRequest{
		Account: k.account, Key: k.key, Route: "order", Method: "POST", Path: "/orders", Body: []byte(body),
		Deadline: w.now.Add(time.Duration(1+w.pick(30)) * time.Second),
	}
	incarnation := d.incarnation
	w.note("caller sends %s %q to %s", k.key[:18], body, incarnation)
	w.counts["call"]++
	w.add(pending{
		name: "request reaches " + string(incarnation), owner: incarnation, local: true,
		run: func() { w.arrive(incarnation, request, func(wire.CallReply) {}) },
	})
}

func testKey(at time.Time, number int) string {
	milliseconds := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", milliseconds>>16, milliseconds&0xffff, number)
}

// dropIdle removes a call that nobody waits for, as a daemon with a full table does.
func (w *world) dropIdle() {
	d := w.daemons[w.pick(len(w.daemons))]
	for _, l := range d.sorted() {
		if l.call.Idle() {
			w.note("%s drops call %d in phase %s", d.incarnation, l.id, l.call.Phase)
			w.counts["dropped"]++
			delete(d.calls, l.id)
			return
		}
	}
}

func (w *world) closeKey() {
	if len(w.keys) == 0 || w.logDown {
		return
	}
	k := w.keys[w.pick(len(w.keys))]
	w.note("Close of %s reaches the log", k.key[:18])
	w.append(fmt.Sprintf("close-%d", w.id()), Record{Kind: CloseRecord, Account: k.account, Key: k.key})
}

func (w *world) append(id string, record Record) int64 {
	data, err := record.Encode()
	if err != nil {
		w.fail("record can't be encoded: %v", err)
	}
	if _, err := Decode(data); err != nil {
		w.fail("record can't be decoded: %v", err)
	}
	w.log = append(w.log, wire.LogRecord{Offset: w.next, Time: w.now, ID: id, Data: data})
	w.next++
	return w.next - 1
}

func (w *world) find(incarnation ident.Incarnation) *daemon {
	for _, d := range w.daemons {
		if d.incarnation == incarnation {
			return d
		}
	}
	return nil
}

// arrive gives a request to a daemon; it joins the call in progress with its key.
func (w *world) arrive(incarnation ident.Incarnation, request wire.CallRequest, reply func(wire.CallReply)) {
	d := w.find(incarnation)
	if d == nil {
		return
	}
	k := entryKey{request.Account, request.Key}
	waiter := Waiter{ID: w.id(), BodyHash: HashCall(request), Deadline: request.Deadline}
	if w.weak == reusedByLocalBody {
		if l := d.calls[d.active[k]]; l != nil && l.call.BodyHash != waiter.BodyHash {
			w.checkReply(k, waiter.BodyHash, keyReused())
			reply(keyReused())
			return
		}
	}
	w.add(pending{
		name: fmt.Sprintf("deadline of waiter %d", waiter.ID), owner: incarnation, local: true,
		ready: func() bool { return !w.clock(d).Before(waiter.Deadline) },
		run: func() {
			for _, l := range d.sorted() {
				w.update(d, l, DeadlineReached{Now: w.clock(d), Waiter: waiter.ID})
			}
		},
	})
	record := func(r wire.CallReply) {
		w.checkReply(k, waiter.BodyHash, r)
		reply(r)
	}
	if l := d.calls[d.active[k]]; l != nil && l.call.Phase != Withdrawn {
		l.replies[waiter.ID] = record
		w.counts["joined"]++
		w.update(d, l, Joined{Now: w.clock(d), Waiter: waiter})
		return
	}
	l := &live{id: w.id(), request: request, replies: map[int64]func(wire.CallReply){waiter.ID: record}}
	l.call = NewCall(Settings{
		Account: request.Account, Key: request.Key, BodyHash: waiter.BodyHash, Incarnation: incarnation,
		ClaimID: fmt.Sprintf("claim-%d", l.id), EndID: fmt.Sprintf("end-%d", l.id),
		Deadline: request.Deadline, Window: w.window(),
	})
	d.calls[l.id], d.active[k] = l, l.id
	w.update(d, l, Arrived{Now: w.clock(d), Waiter: waiter})
}

func (d *daemon) sorted() []*live {
	result := make([]*live, 0, len(d.calls))
	for _, l := range d.calls {
		result = append(result, l)
	}
	slices.SortFunc(result, func(a, b *live) int { return int(a.id - b.id) })
	return result
}

func (w *world) update(d *daemon, l *live, message Message) {
	if d.calls[l.id] == nil {
		return
	}
	message = w.weaken(l.call, message)
	next, commands := l.call.Update(message)
	l.call = next
	if _, lost := message.(AnswerLost); lost && w.weak == resendOnLost && l.sends < 2 {
		commands = append(commands, SendOnce{Fencing: -1})
	}
	for _, c := range commands {
		w.carryOut(d, l, c)
	}
}

func (w *world) carryOut(d *daemon, l *live, command Command) {
	incarnation := d.incarnation
	local := func(name string, message func() Message) {
		w.add(pending{
			name: fmt.Sprintf("%s at %s call %d", name, incarnation, l.id), owner: incarnation, local: true,
			run: func() { w.update(d, l, message()) },
		})
	}
	switch c := command.(type) {
	case ReadShard:
		w.add(pending{
			name: "read by " + string(incarnation), owner: incarnation, local: true,
			run:  func() { w.read(d, l) },
			lose: func() { local("LogDown", func() Message { return LogDown{Now: w.clock(d)} }) },
		})
	case ReadResult:
		w.counts["result read"]++
		down := func() { local("LogDown", func() Message { return LogDown{Now: w.clock(d)} }) }
		w.add(pending{
			name: "read of a result by " + string(incarnation), owner: incarnation, local: true, lose: down,
			run: func() {
				for _, r := range w.log {
					if r.Offset == c.Offset && !w.logDown {
						record, _ := Decode(r.Data)
						local("ResultRead", func() Message { return ResultRead{Now: w.clock(d), Record: record} })
						return
					}
				}
				down()
			},
		})
	case AppendRecord:
		unknown := func() {
			local("AppendUnknown "+c.ID, func() Message { return AppendUnknown{Now: w.clock(d), ID: c.ID} })
		}
		timeout := w.chance(10)
		if timeout {
			unknown()
		}
		w.add(pending{
			name: fmt.Sprintf("append of %s %s", c.Record.Kind, c.ID), owner: incarnation,
			run: func() {
				if w.logDown {
					unknown()
					return
				}
				offset := w.append(c.ID, c.Record)
				if timeout {
					return
				}
				w.add(pending{
					name: "answer of append " + c.ID, owner: incarnation, local: true,
					run: func() {
						w.update(d, l, AppendAnswered{Now: w.clock(d), ID: c.ID, Offset: offset})
					},
					lose: unknown,
				})
			},
			lose: func() {
				if !timeout {
					unknown()
				}
			},
		})
	case ChooseEndpoint:
		w.add(pending{
			name: "endpoint chosen", owner: incarnation, local: true,
			run:  func() { w.update(d, l, EndpointChosen{Now: w.clock(d), Address: "service", Fenced: w.chance(50)}) },
			lose: func() { w.update(d, l, NoEndpoint{Now: w.clock(d)}) },
		})
	case SendOnce:
		l.sends++
		w.counts["send"]++
		if l.sends > 1 && w.weak == noWeakness {
			w.fail("call %d was sent a second time", l.id)
		}
		w.add(pending{
			name: "connection for call " + l.call.ClaimID, owner: incarnation, local: true,
			run:  func() { w.send(d, l, c.Fencing) },
			lose: func() { w.update(d, l, NotSent{Now: w.clock(d)}) },
		})
	case AskWinner:
		request := l.request
		w.add(pending{
			name: "question to " + string(c.Incarnation), owner: incarnation,
			run: func() {
				if w.find(c.Incarnation) == nil {
					local("WinnerSilent", func() Message { return WinnerSilent{Now: w.clock(d)} })
					return
				}
				w.counts["asked"]++
				w.arrive(c.Incarnation, request, func(r wire.CallReply) {
					local("WinnerAnswered", func() Message { return WinnerAnswered{Now: w.clock(d), Reply: r} })
				})
			},
			lose: func() { local("WinnerSilent", func() Message { return WinnerSilent{Now: w.clock(d)} }) },
		})
	case Reply:
		if answer := l.replies[c.Waiter]; answer != nil {
			delete(l.replies, c.Waiter)
			answer(c.Reply)
		} else {
			w.fail("waiter %d of call %d got a second reply %v", c.Waiter, l.id, c.Reply)
		}
	case Release:
		if len(l.replies) > 0 {
			w.fail("call %d was released in phase %s with %d waiters left", l.id, l.call.Phase, len(l.replies))
		}
		delete(d.calls, l.id)
	}
}

// read folds some of the records that the daemon lacks, and reports the view in a later
// event, so that a pause can fall in between.
func (w *world) read(d *daemon, l *live) {
	report := func(name string, l *live, message func(time.Time) Message) {
		w.add(pending{
			name: fmt.Sprintf("%s at call %d", name, l.id), owner: d.incarnation, local: true,
			run: func() { w.update(d, l, message(w.clock(d))) },
		})
	}
	if w.logDown {
		report("LogDown", l, func(now time.Time) Message { return LogDown{Now: now} })
		return
	}
	page := wire.LogPage{Oldest: w.oldest, Next: w.next}
	limit := 1 + w.pick(6)
	for _, r := range w.log {
		if r.Offset >= d.index.Next() && len(page.Records) < limit {
			page.Records = append(page.Records, r)
		}
	}
	changed, lost := d.index.FoldPage(page)
	if lost {
		w.counts["lineage"]++
	}
	total := 0
	for _, e := range d.index.entries {
		total += len(e.Result)
	}
	if total != d.index.ResultBytes() || total > d.index.maxResults {
		w.fail("the index of %s counts %d bytes of results and holds %d", d.incarnation, d.index.ResultBytes(), total)
	}
	if w.weak == releaseReopens {
		for k, e := range d.index.entries {
			if e.State == GivenUp {
				delete(d.index.entries, k)
			}
		}
	}
	for _, other := range d.sorted() {
		if slices.Contains(changed, Changed{other.call.Account, other.call.Key}) {
			view := d.index.View(other.call.Account, other.call.Key)
			report("RecordSeen", other, func(now time.Time) Message { return RecordSeen{Now: now, View: view} })
		}
	}
	if d.index.Next() < w.next {
		w.add(pending{
			name: "read on", owner: d.incarnation, local: true,
			run:  func() { w.read(d, l) },
			lose: func() { report("LogDown", l, func(now time.Time) Message { return LogDown{Now: now} }) },
		})
		return
	}
	view := d.index.View(l.call.Account, l.call.Key)
	report("ShardRead", l, func(now time.Time) Message { return ShardRead{Now: now, View: view} })
}

// send models a request that may reach the service at any later time, even after the
// sender has given the connection up or has died.
func (w *world) send(d *daemon, l *live, fencing int64) {
	k := entryKey{l.request.Account, l.request.Key}
	body := HashCall(l.request)
	lost := func() {
		w.add(pending{
			name: "AnswerLost", owner: d.incarnation, local: true,
			run: func() { w.update(d, l, AnswerLost{Now: w.clock(d)}) },
		})
	}
	timeout := w.chance(15)
	if timeout {
		lost()
	}
	w.add(pending{
		name: "request of " + l.call.ClaimID + " reaches the service", owner: d.incarnation,
		run: func() {
			status, answer := 201, []byte(fmt.Sprintf("execution %d", w.id()))
			if fencing >= 0 && fencing < w.fence {
				status, answer = 409, []byte("old fencing number")
				w.counts["fenced"]++
			} else {
				w.fence = max(w.fence, fencing)
				w.execute(k, body)
			}
			if timeout {
				return
			}
			if w.chance(5) {
				answer = bytes.Repeat([]byte("x"), MaxResult+1)
			}
			w.add(pending{
				name: "answer of the service to " + l.call.ClaimID, owner: d.incarnation, local: true,
				run: func() {
					w.update(d, l, ServiceAnswered{Now: w.clock(d), Status: status, Body: answer})
				},
				lose: lost,
			})
		},
		lose: func() {
			if !timeout {
				lost()
			}
		},
	})
}

// execute counts an execution at the service and checks it against what callers were told.
func (w *world) execute(k entryKey, body string) {
	w.counts["executed"]++
	w.executed[k]++
	w.bodies[k] = body
	switch {
	case w.executed[k] > 1:
		w.fail("the call with key %s of %s was executed %d times", k.key, k.account, w.executed[k])
	case w.notRunKey[k] != "":
		w.fail("the call with key %s of %s was executed after a caller was told: %s", k.key, k.account, w.notRunKey[k])
	case w.notRunBody[body+k.key]:
		w.fail("the call with key %s of %s was executed after the caller of this body was told that it was not run", k.key, k.account)
	}
}

// checkReply checks what a caller is told against what the service has executed.
func (w *world) checkReply(k entryKey, body string, reply wire.CallReply) {
	reply = w.weakenReply(reply)
	code := codes.Code(reply.Code)
	w.note("reply for %s: %d %s unknown=%t", k.key[:18], reply.Code, reply.Message, reply.Unknown)
	switch {
	case reply.Code == 0:
		w.counts["answer"]++
		if reply.Replayed {
			w.counts["replayed"]++
		}
		if first, ok := w.answers[k]; ok && !bytes.Equal(first, reply.Body) {
			w.fail("key %s of %s was answered %q after %q", k.key, k.account, reply.Body, first)
		}
		w.answers[k] = slices.Clone(reply.Body)
	case code == codes.KeyReused:
		w.counts["reused"]++
		w.notRunBody[body+k.key] = true
		if w.bodies[k] == body {
			w.fail("a caller was told %s, and its body has been executed", reply.Message)
		}
	case SaysNotRun(reply):
		w.counts["not run"]++
		w.notRunKey[k] = reply.Message
		if w.executed[k] > 0 {
			w.fail("a caller was told %q (%d), and key %s has been executed", reply.Message, reply.Code, k.key)
		}
	default:
		w.counts["unknown"]++
	}
}

func (w *world) weaken(c Call, message Message) Message {
	own := func(v View, offset int64) View {
		v.State, v.ClaimID, v.Incarnation, v.BodyHash, v.Offset = Claimed, c.ClaimID, c.Incarnation, c.BodyHash, offset
		return v
	}
	switch m := message.(type) {
	case AppendAnswered:
		if w.weak == sendOnAppendAnswer && c.Phase == Claiming && m.ID == c.ClaimID {
			return ShardRead{Now: m.Now, View: own(View{Lineage: c.Lineage}, m.Offset)}
		}
	case ShardRead:
		if w.weak == sendBeforeClaim && c.Phase == Reading && m.View.State == Undecided {
			m.View = own(m.View, 0)
		}
		if w.weak == anyOwnClaim && m.View.State == Claimed && m.View.Incarnation == c.Incarnation {
			m.View.ClaimID = c.ClaimID
		}
		return m
	case RecordSeen:
		if w.weak == anyOwnClaim && m.View.State == Claimed && m.View.Incarnation == c.Incarnation {
			m.View.ClaimID = c.ClaimID
		}
		return m
	}
	return message
}

func (w *world) weakenReply(reply wire.CallReply) wire.CallReply {
	code := codes.Code(reply.Code)
	claimless := w.weak == notRunOnGivingUp && reply.Message == "the deadline passed before the claim was decided"+sentNothing+sameKeyAgain
	switch {
	case w.weak == notRunOnLogDown && code == codes.LogUnavailable,
		w.weak == notRunOnFuture && code == codes.KeyInFuture:
		reply.Unknown = false
	case claimless,
		w.weak == notRunOnLostAnswer && code == codes.OutcomeUnknown,
		w.weak == notRunOnExpiry && code == codes.KeyExpired:
		reply.Code, reply.Unknown = int(codes.ClaimGivenUp), false
	}
	return reply
}
