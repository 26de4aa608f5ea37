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
	// locator finds the daemon that serves a request, or takes the request over from its holder if
	// the owner is gone.
	locator struct {
		base     *Base
		members  *members
		requests *requests
		holder   *holder
	}

	// located is where a request was found: on this daemon or at another owner.
	located struct {
		ownedRequest *ownedRequest
		owner        string
	}

	// lookupResult is one daemon's reply to a lookup.
	lookupResult struct {
		daemon string
		reply  wire.LookupReply
	}
)

const (
	// lookupTimeout bounds one lookup call.
	lookupTimeout = 300 * time.Millisecond
	// maxLookupAll is the largest number of daemons at which a lookup still asks all of them.
	maxLookupAll = 8
	// lookupPerCentre is the number of daemons that a larger lookup asks in each data centre, in
	// rendezvous order. The holder is among them unless the membership has changed.
	lookupPerCentre = 2
	// followWait is how long a Follow call waits for tokens.
	followWait = time.Second
	// maxFollowFailures is the number of consecutive failed calls after which the request is
	// located again.
	maxFollowFailures = 2
)

// locate finds a request for a caller whose copy of the answer ends at the position.
func (l *locator) locate(account, id string, position hold.Position) (located, *codes.Refusal) {
	// The local answer may not cover the caller's position: another daemon may have continued the
	// caller's copy. In that case the request is served there.
	if local, ok := l.requests.find(account, id); ok && local.covers(position) {
		return located{ownedRequest: local}, nil
	}
	replies := l.queryDaemons(account, id)
	for _, f := range replies {
		if f.reply.Owned {
			return located{owner: f.daemon}, nil
		}
	}
	return l.takeOver(account, id, position, replies)
}

// queryDaemons sends the lookup to the daemons that may know the request, and checks the copies
// held by this daemon.
func (l *locator) queryDaemons(account, id string) []lookupResult {
	var mu sync.Mutex
	var replies []lookupResult
	var calls sync.WaitGroup
	request := wire.LookupRequest{RequestID: id, Account: account}
	for _, name := range l.lookupTargets(id) {
		calls.Go(func() {
			var reply wire.LookupReply
			if l.requests.callPeerWithin(lookupTimeout, name, "Lookup", request, &reply) == nil && (reply.Owned || reply.Held) {
				mu.Lock()
				replies = append(replies, lookupResult{daemon: name, reply: reply})
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	if reply := l.holder.lookup(account, id); reply.Held {
		replies = append(replies, lookupResult{daemon: l.base.Settings.Name, reply: reply})
	}
	return replies
}

// lookupTargets returns the daemons to ask about a request.
func (l *locator) lookupTargets(id string) []string {
	centres := l.members.centres()
	names := make([]string, 0, len(centres))
	for name := range centres {
		if name != l.base.Settings.Name {
			names = append(names, name)
		}
	}
	order := ident.RendezvousOrder(id, names)
	if len(order) <= maxLookupAll {
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

// takeOver takes the request over from the holder whose copy continues the caller's copy.
func (l *locator) takeOver(account, id string, position hold.Position, replies []lookupResult) (located, *codes.Refusal) {
	var records []wire.HeldRequest
	var daemons []string
	for _, f := range replies {
		for _, r := range append([]wire.HeldRequest{f.reply.Record}, f.reply.Former...) {
			records, daemons = append(records, r), append(daemons, f.daemon)
		}
	}
	best := hold.ChooseCopy(records, position)
	if best < 0 {
		return located{}, codes.Refuse(codes.RequestUnknown, "no daemon holds request %s as this caller knows it", id)
	}
	request := wire.TakeOverRequest{
		RequestID: id, Account: account, NewOwner: l.base.Settings.Name, Branch: hold.LastBranch(records[best]),
	}
	reply, err := l.takeOverFrom(daemons[best], request)
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
	taken, refusal := l.requests.startServing(reply.Record, chat)
	return located{ownedRequest: taken}, refusal
}

func (l *locator) takeOverFrom(daemon string, request wire.TakeOverRequest) (wire.TakeOverReply, error) {
	if daemon == l.base.Settings.Name {
		return l.holder.takeOver(request), nil
	}
	var reply wire.TakeOverReply
	err := l.requests.callPeerWithin(lookupTimeout, daemon, "TakeOver", request, &reply)
	return reply, err
}

// followRemote queues the answer of a request that another daemon serves, from the position on,
// until the answer ends or stop is closed. If that daemon is gone, this daemon takes the request
// over.
func (l *locator) followRemote(account, id, owner string, position hold.Position, queue *callerQueue, stop <-chan struct{}) {
	failures := 0
	for {
		select {
		case <-stop:
			return
		default:
		}
		request := wire.FollowRequest{RequestID: id, Account: account, EventID: eventID(position), WaitUntil: l.base.Now().Add(followWait)}
		var reply wire.FollowReply
		err := l.requests.callPeerWithin(followWait+lookupTimeout, owner, "Follow", request, &reply)
		if err == nil && reply.Known {
			failures = 0
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
		if failures++; err != nil && failures < maxFollowFailures {
			continue
		}
		at, refusal := l.locate(account, id, position)
		switch {
		case refusal != nil:
			queue.put(callerItem{End: true, Code: refusal.Code})
			return
		case at.ownedRequest != nil:
			l.forwardLocal(at.ownedRequest, position, queue, stop)
			return
		default:
			owner, failures = at.owner, 0
		}
	}
}

// forwardLocal moves the items of a local request to the queue until the answer ends or stop is
// closed.
func (l *locator) forwardLocal(owned *ownedRequest, position hold.Position, queue *callerQueue, stop <-chan struct{}) {
	id, source := owned.addCaller(position)
	defer owned.removeCaller(id)
	for {
		for _, item := range source.take() {
			queue.put(item)
			if item.End {
				return
			}
		}
		select {
		case <-source.changed:
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
