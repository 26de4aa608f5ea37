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
	// simulation models several daemons, one shard of the log, a service and its callers. All
	// undelivered events are in pending; the schedule picks the next one, so a pause of any
	// length can occur between any two steps.
	simulation struct {
		t        *rapid.T
		injected mutation
		now      time.Time
		logDown  bool
		log      []wire.LogRecord
		next     int64
		oldest   int64
		daemons  []*daemon
		pending  []*pending
		serial   int64
		trace    []string
		keys     []callKey
		skew     time.Duration
		// lossPercent, outagePercent and killPercent are the schedule's probabilities of lost
		// messages, log outages and killed daemons, in percent.
		lossPercent, outagePercent, killPercent int

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
		calls       map[int64]*localCall
		active      map[entryKey]int64
	}

	// localCall is a call in progress at a daemon.
	localCall struct {
		id      int64
		call    Call
		request wire.CallRequest
		replies map[int64]func(wire.CallReply)
		sends   int
	}

	callKey struct {
		account, key string
	}

	// pending is an undelivered event. A local event is lost when its daemon is killed.
	pending struct {
		name  string
		owner ident.Incarnation
		local bool
		ready func() bool
		run   func()
		// lose runs instead of run when the event is lost; nil means that it cannot be lost.
		lose func()
	}

	// injected disables one rule, to verify that the oracle detects the resulting failures.
	mutation string
)

const (
	noMutation             mutation = ""
	sendOnAppendAnswer     mutation = "sends on the confirmed append, before the claim is known to be first"
	sendBeforeClaim        mutation = "sends when the shard has no claim by another call"
	notRunOnWithdrawal     mutation = "replies not run when the append's outcome is unknown at the deadline"
	notRunOnLogDown        mutation = "replies not run when the log cannot be read"
	notRunOnExpiry         mutation = "replies not run for an expired key"
	notRunOnFuture         mutation = "replies not run for a key in the future"
	notRunOnLostAnswer     mutation = "replies not run when the answer was lost"
	abandonReopensKey      mutation = "reopens the key of an abandoned claim"
	resendOnLost           mutation = "resends when the answer was lost"
	windowOverRetention    mutation = "uses a key window longer than the retention"
	claimOfSameIncarnation mutation = "treats the claim of any call of its incarnation as its own"
	reuseBeforeDecision    mutation = "replies not run for another body before the key is decided"
)

var mutations = []mutation{
	sendOnAppendAnswer, sendBeforeClaim, notRunOnWithdrawal, notRunOnLogDown, notRunOnExpiry,
	notRunOnFuture, notRunOnLostAnswer, abandonReopensKey, resendOnLost, windowOverRetention,
	claimOfSameIncarnation, reuseBeforeDecision,
}

func newSimulation(t *rapid.T, injected mutation) *simulation {
	s := &simulation{
		t: t, injected: injected, now: time.Unix(1_800_000_000, 0),
		executed: map[entryKey]int{}, bodies: map[entryKey]string{}, notRunKey: map[entryKey]string{},
		notRunBody: map[string]bool{}, answers: map[entryKey][]byte{}, counts: map[string]int{},
	}
	// Most schedules stay within the specified clock error of 1 s; some exceed it.
	s.skew = time.Second
	if s.pick(4) == 0 {
		s.skew = 20 * time.Second
	}
	s.lossPercent, s.outagePercent, s.killPercent = s.pick(4)*7, s.pick(4)*10, s.pick(3)
	for i := range 2 + s.pick(3) {
		s.daemons = append(s.daemons, &daemon{name: i})
		s.start(s.daemons[i])
	}
	return s
}

// pick draws a number in [0, n).
func (s *simulation) pick(n int) int { return search.DrawInt(s.t, n) }

func (s *simulation) chance(percent int) bool { return s.pick(100) < percent }

func (s *simulation) id() int64 {
	s.serial++
	return s.serial
}

func (s *simulation) start(d *daemon) {
	d.incarnation = ident.Incarnation(fmt.Sprintf("daemon-%d-run-%d", d.name, s.id()))
	d.skew = time.Duration(s.pick(2001)-1000) * s.skew / 1000
	d.index = NewIndex(s.window(), s.pick(4)*20)
	d.calls, d.active = map[int64]*localCall{}, map[entryKey]int64{}
}

func (s *simulation) window() time.Duration {
	if s.injected == windowOverRetention {
		return 3 * testRetention
	}
	return testWindow
}

func (s *simulation) localTime(d *daemon) time.Time { return s.now.Add(d.skew) }

func (s *simulation) logf(format string, arguments ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%s ", s.now.UTC().Format("15:04:05.000"))+fmt.Sprintf(format, arguments...))
}

func (s *simulation) fail(format string, arguments ...any) {
	s.logf(format, arguments...)
	for _, line := range s.trace {
		s.t.Log(line)
	}
	s.t.Fatalf(format, arguments...)
}

func (s *simulation) enqueue(p pending) {
	s.pending = append(s.pending, &p)
}

// runEvent draws and runs one event of the schedule.
func (s *simulation) runEvent() {
	switch n := s.pick(100); {
	case n < 80 && len(s.pending) > 0:
		s.deliver()
	case n < 90:
		s.sendCall()
	case n < 90+s.killPercent:
		d := s.daemons[s.pick(len(s.daemons))]
		s.logf("kill %s", d.incarnation)
		s.pending = slices.DeleteFunc(s.pending, func(p *pending) bool { return p.local && p.owner == d.incarnation })
		s.counts["kill"]++
		s.start(d)
	case n < 94:
		s.logDown = s.chance(s.outagePercent)
		s.logf("log down: %t", s.logDown)
	case n < 95:
		s.appendClose()
	case n < 96:
		s.evictIdle()
	default:
		s.advance()
	}
}

func (s *simulation) deliver() {
	ready := make([]int, 0, len(s.pending))
	for i, p := range s.pending {
		if p.ready == nil || p.ready() {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return
	}
	i := ready[0]
	if s.chance(50) {
		i = ready[s.pick(len(ready))]
	}
	p := s.pending[i]
	s.pending = slices.Delete(s.pending, i, i+1)
	if p.lose != nil && s.chance(s.lossPercent) {
		s.logf("lose %s", p.name)
		p.lose()
		return
	}
	s.logf("%s", p.name)
	p.run()
}

// advance moves the clock forward by milliseconds, beyond a deadline, by an hour, or beyond the key
// window or the retention.
func (s *simulation) advance() {
	steps := []time.Duration{
		time.Millisecond, time.Millisecond, 100 * time.Millisecond, time.Second, time.Second, 10 * time.Second, 40 * time.Second,
	}
	if s.chance(8) {
		steps = []time.Duration{time.Hour, testWindow, testRetention}
	}
	s.now = s.now.Add(steps[s.pick(len(steps))] * time.Duration(1000+s.pick(200)) / 1000)
	for len(s.log) > 0 && s.log[0].Time.Before(s.now.Add(-testRetention)) {
		s.oldest = s.log[0].Offset + 1
		s.log = s.log[1:]
	}
}

// sendCall draws a caller's call: with a new or an earlier key, with one of two bodies, to any
// daemon.
func (s *simulation) sendCall() {
	if len(s.keys) == 0 || s.chance(25) {
		ahead := time.Duration(s.pick(3000)) * time.Millisecond
		switch s.pick(8) {
		case 0:
			ahead = time.Duration(s.pick(60)) * time.Second
		case 1:
			ahead = -testWindow + time.Duration(s.pick(60)-20)*time.Second
		}
		s.keys = append(s.keys, callKey{
			account: fmt.Sprintf("account-%d", s.pick(2)),
			key:     testKey(s.now.Add(ahead), len(s.keys)),
		})
	}
	k := s.keys[s.pick(len(s.keys))]
	if recent := len(s.keys) - 3; recent > 0 && s.chance(75) {
		k = s.keys[recent+s.pick(3)]
	}
	body := "first body"
	if s.chance(15) {
		body = "second body"
	}
	d := s.daemons[s.pick(len(s.daemons))]
	request := wire.CallRequest{
		Account: k.account, Key: k.key, Route: "order", Method: "POST", Path: "/orders", Body: []byte(body),
		Deadline: s.now.Add(time.Duration(1+s.pick(30)) * time.Second),
	}
	incarnation := d.incarnation
	s.logf("caller sends %s %q to %s", k.key[:18], body, incarnation)
	s.counts["call"]++
	s.enqueue(pending{
		name: "request reaches " + string(incarnation), owner: incarnation, local: true,
		run: func() { s.receiveCall(incarnation, request, func(wire.CallReply) {}) },
	})
}

func testKey(at time.Time, number int) string {
	milliseconds := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", milliseconds>>16, milliseconds&0xffff, number)
}

// evictIdle evicts an idle call, like a daemon with a full table.
func (s *simulation) evictIdle() {
	d := s.daemons[s.pick(len(s.daemons))]
	for _, l := range d.sortedCalls() {
		if l.call.Idle() {
			s.logf("%s evicts call %d in phase %s", d.incarnation, l.id, l.call.Phase)
			s.counts["dropped"]++
			delete(d.calls, l.id)
			return
		}
	}
}

func (s *simulation) appendClose() {
	if len(s.keys) == 0 || s.logDown {
		return
	}
	k := s.keys[s.pick(len(s.keys))]
	s.logf("Close of %s reaches the log", k.key[:18])
	s.append(fmt.Sprintf("close-%d", s.id()), Record{Kind: CloseRecord, Account: k.account, Key: k.key})
}

func (s *simulation) append(id string, record Record) int64 {
	data, err := record.Encode()
	if err != nil {
		s.fail("cannot encode record: %v", err)
	}
	if _, err := Decode(data); err != nil {
		s.fail("cannot decode record: %v", err)
	}
	s.log = append(s.log, wire.LogRecord{Offset: s.next, Time: s.now, ID: id, Data: data})
	s.next++
	return s.next - 1
}

func (s *simulation) daemonOf(incarnation ident.Incarnation) *daemon {
	for _, d := range s.daemons {
		if d.incarnation == incarnation {
			return d
		}
	}
	return nil
}

// receiveCall delivers a request to a daemon. The request joins a call in progress with the same
// key, if there is one.
func (s *simulation) receiveCall(incarnation ident.Incarnation, request wire.CallRequest, reply func(wire.CallReply)) {
	d := s.daemonOf(incarnation)
	if d == nil {
		return
	}
	k := entryKey{request.Account, request.Key}
	waiter := Waiter{ID: s.id(), BodyHash: HashCall(request), Deadline: request.Deadline}
	if s.injected == reuseBeforeDecision {
		if l := d.calls[d.active[k]]; l != nil && l.call.BodyHash != waiter.BodyHash {
			s.checkReply(k, waiter.BodyHash, keyReused())
			reply(keyReused())
			return
		}
	}
	s.enqueue(pending{
		name: fmt.Sprintf("deadline of waiter %d", waiter.ID), owner: incarnation, local: true,
		ready: func() bool { return !s.localTime(d).Before(waiter.Deadline) },
		run: func() {
			for _, l := range d.sortedCalls() {
				s.update(d, l, DeadlineReached{Now: s.localTime(d), Waiter: waiter.ID})
			}
		},
	})
	record := func(r wire.CallReply) {
		s.checkReply(k, waiter.BodyHash, r)
		reply(r)
	}
	if l := d.calls[d.active[k]]; l != nil && l.call.Phase != Withdrawn {
		l.replies[waiter.ID] = record
		s.counts["joined"]++
		s.update(d, l, Joined{Now: s.localTime(d), Waiter: waiter})
		return
	}
	l := &localCall{id: s.id(), request: request, replies: map[int64]func(wire.CallReply){waiter.ID: record}}
	l.call = NewCall(Settings{
		Account: request.Account, Key: request.Key, BodyHash: waiter.BodyHash, Incarnation: incarnation,
		ClaimID: fmt.Sprintf("claim-%d", l.id), EndID: fmt.Sprintf("end-%d", l.id),
		Deadline: request.Deadline, Window: s.window(),
	})
	d.calls[l.id], d.active[k] = l, l.id
	s.update(d, l, Arrived{Now: s.localTime(d), Waiter: waiter})
}

func (d *daemon) sortedCalls() []*localCall {
	result := make([]*localCall, 0, len(d.calls))
	for _, l := range d.calls {
		result = append(result, l)
	}
	slices.SortFunc(result, func(a, b *localCall) int { return int(a.id - b.id) })
	return result
}

func (s *simulation) update(d *daemon, l *localCall, message Message) {
	if d.calls[l.id] == nil {
		return
	}
	message = s.mutateMessage(l.call, message)
	next, commands := l.call.Update(message)
	l.call = next
	if _, lost := message.(AnswerLost); lost && s.injected == resendOnLost && l.sends < 2 {
		commands = append(commands, SendOnce{Fencing: -1})
	}
	for _, c := range commands {
		s.runCommand(d, l, c)
	}
}

func (s *simulation) runCommand(d *daemon, l *localCall, command Command) {
	incarnation := d.incarnation
	local := func(name string, message func() Message) {
		s.enqueue(pending{
			name: fmt.Sprintf("%s at %s call %d", name, incarnation, l.id), owner: incarnation, local: true,
			run: func() { s.update(d, l, message()) },
		})
	}
	switch c := command.(type) {
	case ReadShard:
		s.enqueue(pending{
			name: "read by " + string(incarnation), owner: incarnation, local: true,
			run:  func() { s.read(d, l) },
			lose: func() { local("log read failure", func() Message { return LogReadFailed{Now: s.localTime(d)} }) },
		})
	case ReadResult:
		s.counts["result read"]++
		down := func() { local("log read failure", func() Message { return LogReadFailed{Now: s.localTime(d)} }) }
		s.enqueue(pending{
			name: "read of a result by " + string(incarnation), owner: incarnation, local: true, lose: down,
			run: func() {
				for _, r := range s.log {
					if r.Offset == c.Offset && !s.logDown {
						record, _ := Decode(r.Data)
						local("stored result", func() Message { return ResultRead{Now: s.localTime(d), Record: record} })
						return
					}
				}
				down()
			},
		})
	case AppendRecord:
		unknown := func() {
			local("unknown append outcome of "+c.ID, func() Message { return AppendUnknown{Now: s.localTime(d), ID: c.ID} })
		}
		timeout := s.chance(10)
		if timeout {
			unknown()
		}
		s.enqueue(pending{
			name: fmt.Sprintf("append of %s %s", c.Record.Kind, c.ID), owner: incarnation,
			run: func() {
				if s.logDown {
					unknown()
					return
				}
				offset := s.append(c.ID, c.Record)
				if timeout {
					return
				}
				s.enqueue(pending{
					name: "answer of append " + c.ID, owner: incarnation, local: true,
					run: func() {
						s.update(d, l, AppendConfirmed{Now: s.localTime(d), ID: c.ID, Offset: offset})
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
		s.enqueue(pending{
			name: "endpoint chosen", owner: incarnation, local: true,
			run:  func() { s.update(d, l, EndpointChosen{Now: s.localTime(d), Address: "service", Fenced: s.chance(50)}) },
			lose: func() { s.update(d, l, NoEndpoint{Now: s.localTime(d)}) },
		})
	case SendOnce:
		l.sends++
		s.counts["send"]++
		if l.sends > 1 && s.injected == noMutation {
			s.fail("call %d was sent twice", l.id)
		}
		s.enqueue(pending{
			name: "connection for call " + l.call.ClaimID, owner: incarnation, local: true,
			run:  func() { s.send(d, l, c.Fencing) },
			lose: func() { s.update(d, l, NotSent{Now: s.localTime(d)}) },
		})
	case QueryWinner:
		request := l.request
		s.enqueue(pending{
			name: "query to " + string(c.Incarnation), owner: incarnation,
			run: func() {
				if s.daemonOf(c.Incarnation) == nil {
					local("failed query of the winner", func() Message { return WinnerUnreachable{Now: s.localTime(d)} })
					return
				}
				s.counts["asked"]++
				s.receiveCall(c.Incarnation, request, func(r wire.CallReply) {
					local("reply of the winner", func() Message { return WinnerAnswered{Now: s.localTime(d), Reply: r} })
				})
			},
			lose: func() {
				local("failed query of the winner", func() Message { return WinnerUnreachable{Now: s.localTime(d)} })
			},
		})
	case Reply:
		if answer := l.replies[c.Waiter]; answer != nil {
			delete(l.replies, c.Waiter)
			answer(c.Reply)
		} else {
			s.fail("waiter %d of call %d got a second reply %v", c.Waiter, l.id, c.Reply)
		}
	case Release:
		if len(l.replies) > 0 {
			s.fail("call %d was released in phase %s with %d waiters left", l.id, l.call.Phase, len(l.replies))
		}
		delete(d.calls, l.id)
	}
}

// read applies some of the records that the daemon lacks and reports the view in a later event, so
// that a pause can occur in between.
func (s *simulation) read(d *daemon, l *localCall) {
	report := func(name string, l *localCall, message func(time.Time) Message) {
		s.enqueue(pending{
			name: fmt.Sprintf("%s at call %d", name, l.id), owner: d.incarnation, local: true,
			run: func() { s.update(d, l, message(s.localTime(d))) },
		})
	}
	if s.logDown {
		report("log read failure", l, func(now time.Time) Message { return LogReadFailed{Now: now} })
		return
	}
	page := wire.LogPage{Oldest: s.oldest, Next: s.next}
	limit := 1 + s.pick(6)
	for _, r := range s.log {
		if r.Offset >= d.index.Next() && len(page.Records) < limit {
			page.Records = append(page.Records, r)
		}
	}
	changed, lost := d.index.ApplyPage(page)
	if lost {
		s.counts["index reset"]++
	}
	total := 0
	for _, e := range d.index.entries {
		total += len(e.Result)
	}
	if total != d.index.ResultBytes() || total > d.index.maxResultBytes {
		s.fail("index of %s reports %d bytes of results and holds %d", d.incarnation, d.index.ResultBytes(), total)
	}
	if s.injected == abandonReopensKey {
		for k, e := range d.index.entries {
			if e.State == GivenUp {
				delete(d.index.entries, k)
			}
		}
	}
	for _, other := range d.sortedCalls() {
		if slices.Contains(changed, ChangedKey{other.call.Account, other.call.Key}) {
			view := d.index.View(other.call.Account, other.call.Key)
			report("changed view", other, func(now time.Time) Message { return ViewChanged{Now: now, View: view} })
		}
	}
	if d.index.Next() < s.next {
		s.enqueue(pending{
			name: "next read", owner: d.incarnation, local: true,
			run:  func() { s.read(d, l) },
			lose: func() { report("log read failure", l, func(now time.Time) Message { return LogReadFailed{Now: now} }) },
		})
		return
	}
	view := d.index.View(l.call.Account, l.call.Key)
	report("completed shard read", l, func(now time.Time) Message { return ShardRead{Now: now, View: view} })
}

// send models a request that may reach the service at any later time, even after the sender has
// closed the connection or was killed.
func (s *simulation) send(d *daemon, l *localCall, fencing int64) {
	k := entryKey{l.request.Account, l.request.Key}
	body := HashCall(l.request)
	lost := func() {
		s.enqueue(pending{
			name: "lost answer", owner: d.incarnation, local: true,
			run: func() { s.update(d, l, AnswerLost{Now: s.localTime(d)}) },
		})
	}
	timeout := s.chance(15)
	if timeout {
		lost()
	}
	s.enqueue(pending{
		name: "request of " + l.call.ClaimID + " reaches the service", owner: d.incarnation,
		run: func() {
			status, answer := 201, []byte(fmt.Sprintf("execution %d", s.id()))
			if fencing >= 0 && fencing < s.fence {
				status, answer = 409, []byte("old fencing number")
				s.counts["fenced"]++
			} else {
				s.fence = max(s.fence, fencing)
				s.execute(k, body)
			}
			if timeout {
				return
			}
			if s.chance(5) {
				answer = bytes.Repeat([]byte("x"), MaxResult+1)
			}
			s.enqueue(pending{
				name: "answer of the service to " + l.call.ClaimID, owner: d.incarnation, local: true,
				run: func() {
					s.update(d, l, ServiceAnswered{Now: s.localTime(d), Status: status, Body: answer})
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

// execute counts an execution at the service and checks it against the replies sent to callers.
func (s *simulation) execute(k entryKey, body string) {
	s.counts["executed"]++
	s.executed[k]++
	s.bodies[k] = body
	switch {
	case s.executed[k] > 1:
		s.fail("the call with key %s of %s was executed %d times", k.key, k.account, s.executed[k])
	case s.notRunKey[k] != "":
		s.fail("the call with key %s of %s was executed after the reply: %s", k.key, k.account, s.notRunKey[k])
	case s.notRunBody[body+k.key]:
		s.fail("the call with key %s of %s was executed after a \"not run\" reply for this body", k.key, k.account)
	}
}

// checkReply checks a reply against the executions at the service.
func (s *simulation) checkReply(k entryKey, body string, reply wire.CallReply) {
	reply = s.mutateReply(reply)
	code := codes.Code(reply.Code)
	s.logf("reply for %s: %d %s unknown=%t", k.key[:18], reply.Code, reply.Message, reply.Unknown)
	switch {
	case reply.Code == 0:
		s.counts["answer"]++
		if reply.Replayed {
			s.counts["replayed"]++
		}
		if first, ok := s.answers[k]; ok && !bytes.Equal(first, reply.Body) {
			s.fail("key %s of %s received the answer %q after %q", k.key, k.account, reply.Body, first)
		}
		s.answers[k] = slices.Clone(reply.Body)
	case code == codes.KeyReused:
		s.counts["reused"]++
		s.notRunBody[body+k.key] = true
		if s.bodies[k] == body {
			s.fail("reply %q was sent, but its body was executed", reply.Message)
		}
	case GuaranteesNotRun(reply):
		s.counts["not run"]++
		s.notRunKey[k] = reply.Message
		if s.executed[k] > 0 {
			s.fail("reply %q (code %d) was sent, but key %s was executed", reply.Message, reply.Code, k.key)
		}
	default:
		s.counts["unknown"]++
	}
}

func (s *simulation) mutateMessage(c Call, message Message) Message {
	own := func(v View, offset int64) View {
		v.State, v.ClaimID, v.Incarnation, v.BodyHash, v.Offset = Claimed, c.ClaimID, c.Incarnation, c.BodyHash, offset
		return v
	}
	switch m := message.(type) {
	case AppendConfirmed:
		if s.injected == sendOnAppendAnswer && c.Phase == Claiming && m.ID == c.ClaimID {
			return ShardRead{Now: m.Now, View: own(View{Generation: c.Generation}, m.Offset)}
		}
	case ShardRead:
		if s.injected == sendBeforeClaim && c.Phase == Reading && m.View.State == Undecided {
			m.View = own(m.View, 0)
		}
		if s.injected == claimOfSameIncarnation && m.View.State == Claimed && m.View.Incarnation == c.Incarnation {
			m.View.ClaimID = c.ClaimID
		}
		return m
	case ViewChanged:
		if s.injected == claimOfSameIncarnation && m.View.State == Claimed && m.View.Incarnation == c.Incarnation {
			m.View.ClaimID = c.ClaimID
		}
		return m
	}
	return message
}

func (s *simulation) mutateReply(reply wire.CallReply) wire.CallReply {
	code := codes.Code(reply.Code)
	claimless := s.injected == notRunOnWithdrawal && reply.Message == "the deadline passed before the claim was decided"+suffixNotSent+suffixReuseKey
	switch {
	case s.injected == notRunOnLogDown && code == codes.LogUnavailable,
		s.injected == notRunOnFuture && code == codes.KeyInFuture:
		reply.Unknown = false
	case claimless,
		s.injected == notRunOnLostAnswer && code == codes.OutcomeUnknown,
		s.injected == notRunOnExpiry && code == codes.KeyExpired:
		reply.Code, reply.Unknown = int(codes.ClaimGivenUp), false
	}
	return reply
}
