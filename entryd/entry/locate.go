package entry

import (
	"sync"
	"time"

	"lentilstage.dev/decide/hold"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"
)

type (
	// locator finds the daemon that serves a request, or takes the request over from its
	// holder when the owner is gone.
	locator struct {
		base     *Base
		members  *members
		requests *requests
		holder   *holder
	}

	// located is where a request was found: in a run of this daemon or at another owner.
	located struct {
		run   *run
		owner string
	}

	// found is one daemon's answer to a lookup.
	found struct {
		daemon string
		reply  wire.LookupReply
	}
)

const (
	// lookupTimeout bounds one lookup call.
	lookupTimeout = 300 * time.Millisecond
	// lookupAll is the number of daemons up to which a lookup asks all of them.
	lookupAll = 8
	// lookupPerCentre is the number of daemons of each data centre that a lookup asks
	// beyond that, by rendezvous order. The holder is among them unless members changed.
	lookupPerCentre = 2
	// followWait is how long a call that follows another daemon's request waits for tokens.
	followWait = time.Second
	// maxFollowFaults bounds the failed calls in a row before the request is located again.
	maxFollowFaults = 2
)

// locate finds a request for a caller whose copy of the answer ends at the position.
func (l *locator) locate(account, id string, position hold.Position) (located, *codes.Refusal) {
	// A copy that another daemon has continued goes on there, although this daemon has an
	// answer of its own for the request.
	if local, ok := l.requests.find(account, id); ok && local.covers(position) {
		return located{run: local}, nil
	}
	replies := l.ask(account, id)
	for _, f := range replies {
		if f.reply.Owned {
			return located{owner: f.daemon}, nil
		}
	}
	return l.takeOver(account, id, position, replies)
}

// ask sends the lookup to the daemons that may know the request, and to this daemon's own
// copies.
func (l *locator) ask(account, id string) []found {
	var mu sync.Mutex
	var replies []found
	var calls sync.WaitGroup
	request := wire.LookupRequest{RequestID: id, Account: account}
	for _, name := range l.targets(id) {
		calls.Go(func() {
			var reply wire.LookupReply
			if l.requests.callPeerBy(lookupTimeout, name, "Lookup", request, &reply) == nil && (reply.Owned || reply.Held) {
				mu.Lock()
				replies = append(replies, found{daemon: name, reply: reply})
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	if reply := l.holder.lookup(account, id); reply.Held {
		replies = append(replies, found{daemon: l.base.Settings.Name, reply: reply})
	}
	return replies
}

// targets returns the daemons to ask about a request.
func (l *locator) targets(id string) []string {
	centres := l.members.centres()
	names := make([]string, 0, len(centres))
	for name := range centres {
		if name != l.base.Settings.Name {
			names = append(names, name)
		}
	}
	order := ident.RendezvousOrder(id, names)
	if len(order) <= lookupAll {
		return order
	}
	perCentre := make(map[string]int)
	var picked []string
	for _, name := range order {
		if perCentre[centres[name]]++; perCentre[centres[name]] <= lookupPerCentre {
			picked = append(picked, name)
		}
	}
	return picked
}

// takeOver takes the request from the holder whose copy goes on from the caller's.
func (l *locator) takeOver(account, id string, position hold.Position, replies []found) (located, *codes.Refusal) {
	var records []wire.HeldRequest
	var daemons []string
	for _, f := range replies {
		for _, r := range append([]wire.HeldRequest{f.reply.Record}, f.reply.Former...) {
			records, daemons = append(records, r), append(daemons, f.daemon)
		}
	}
	best := hold.Choose(records, position)
	if best < 0 {
		return located{}, codes.Refuse(codes.RequestUnknown, "no daemon holds request %s as this caller knows it", id)
	}
	request := wire.TakeOverRequest{
		RequestID: id, Account: account, NewOwner: l.base.Settings.Name, Branch: hold.LastBranch(records[best]),
	}
	reply, err := l.takeFrom(daemons[best], request)
	if err != nil || !reply.Taken {
		return located{}, codes.Refuse(codes.Moved, "request %s could not be taken over", id).
			WithRetryAt(l.base.Now().Add(retryDelay))
	}
	chat, err := wire.Decode[wire.ChatRequest](reply.Record.Body)
	if err != nil {
		return located{}, codes.Refuse(codes.RequestUnknown, "the copy of request %s can't be read", id)
	}
	chat.Resume = nil
	l.base.Counters.takenOver.Inc(1)
	l.base.emit(event.Event{
		Kind: "RequestTakenOver", Request: id, Account: account, Route: reply.Record.Route,
		Reason:  "its owner does not answer; the copy is from " + daemons[best],
		Numbers: []event.Number{{Name: "Tokens", Value: float64(len(reply.Record.Tokens))}, {Name: "Epoch", Value: float64(reply.Record.Epoch)}},
	})
	taken, refusal := l.requests.own(reply.Record, chat)
	return located{run: taken}, refusal
}

func (l *locator) takeFrom(daemon string, request wire.TakeOverRequest) (wire.TakeOverReply, error) {
	if daemon == l.base.Settings.Name {
		return l.holder.takeOver(request), nil
	}
	var reply wire.TakeOverReply
	err := l.requests.callPeerBy(lookupTimeout, daemon, "TakeOver", request, &reply)
	return reply, err
}

// follow fills the queue with the answer of a request that another daemon serves, from
// the position on, until its end or until stop is closed. When that daemon is gone, the
// request is taken over here.
func (l *locator) follow(account, id, owner string, position hold.Position, queue *callerQueue, stop <-chan struct{}) {
	faults := 0
	for {
		select {
		case <-stop:
			return
		default:
		}
		request := wire.FollowRequest{RequestID: id, Account: account, EventID: eventID(position), WaitUntil: l.base.Now().Add(followWait)}
		var reply wire.FollowReply
		err := l.requests.callPeerBy(followWait+lookupTimeout, owner, "Follow", request, &reply)
		if err == nil && reply.Known {
			faults = 0
			for _, i := range reply.Items {
				queue.put(callerItem(i))
				if len(i.Tokens) > 0 {
					position = hold.Position{Tokens: i.Offset + len(i.Tokens), Branch: i.Branch}
				}
				if i.End {
					return
				}
			}
			continue
		}
		if faults++; err != nil && faults < maxFollowFaults {
			continue
		}
		at, refusal := l.locate(account, id, position)
		switch {
		case refusal != nil:
			queue.put(callerItem{End: true, Code: refusal.Code})
			return
		case at.run != nil:
			l.forward(at.run, position, queue, stop)
			return
		default:
			owner, faults = at.owner, 0
		}
	}
}

// forward moves the items of a local run to the queue until the end.
func (l *locator) forward(owned *run, position hold.Position, queue *callerQueue, stop <-chan struct{}) {
	id, own := owned.join(position)
	defer owned.leave(id)
	for {
		for _, item := range own.take() {
			queue.put(item)
			if item.End {
				return
			}
		}
		select {
		case <-own.changed:
		case <-stop:
			return
		}
	}
}

func eventID(p hold.Position) string {
	if p.Tokens == 0 {
		return ""
	}
	return p.EventID()
}
