package entry

import (
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/config"
	"lentilstage.dev/decide/hold"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

// PeerService is what other daemons may call.
type PeerService struct {
	daemon *Daemon
}

var errNoFold = eris.New("this daemon has no table yet")

// foldTimeout bounds the wait for the fold in a confirmation.
const foldTimeout = 800 * time.Millisecond

// Confirm folds the records that the sender has at hand, waits for the offset and tells
// how far this daemon has folded.
func (p *PeerService) Confirm(request wire.ConfirmRequest, reply *wire.ConfirmReply) error {
	d := p.daemon
	d.control.update(config.Pushed{Records: request.Records})
	d.control.waitFor(request.Next, d.base.Now().Add(foldTimeout))
	reply.Process = d.base.Settings.Name
	reply.Next = d.control.Next()
	return nil
}

// Entry tells this daemon's present offset and how fresh its table is.
func (p *PeerService) Entry(_ wire.Empty, reply *wire.DigestReply) error {
	*reply = p.daemon.members.entry()
	return nil
}

// Fold returns this daemon's table state.
func (p *PeerService) Fold(_ wire.Empty, reply *table.State) error {
	if !p.daemon.control.Started() {
		return errNoFold
	}
	*reply = p.daemon.control.State()
	return nil
}

// Hold keeps a whole record for its owner.
func (p *PeerService) Hold(record wire.HeldRequest, reply *wire.HoldReply) error {
	*reply = p.daemon.holder.hold(record, false)
	return nil
}

// Progress adds tokens to held records.
func (p *PeerService) Progress(batch wire.ProgressBatch, reply *wire.ProgressReply) error {
	reply.Statuses = p.daemon.holder.progress(batch)
	return nil
}

// Lookup tells whether this daemon serves or holds a request.
func (p *PeerService) Lookup(request wire.LookupRequest, reply *wire.LookupReply) error {
	if owned, ok := p.daemon.requests.find(request.Account, request.RequestID); ok && !p.daemon.draining.Load() {
		reply.Owned = true
		reply.Record = owned.record()
		return nil
	}
	*reply = p.daemon.holder.lookup(request.Account, request.RequestID)
	return nil
}

// TakeOver gives a held record to a new owner.
func (p *PeerService) TakeOver(request wire.TakeOverRequest, reply *wire.TakeOverReply) error {
	*reply = p.daemon.holder.takeOver(request)
	return nil
}

// Follow returns the tokens of a request that this daemon serves, behind a position. It
// waits for some until the time in the request.
func (p *PeerService) Follow(request wire.FollowRequest, reply *wire.FollowReply) error {
	position, err := hold.ParseEventID(request.EventID)
	if err != nil {
		return err
	}
	owned, ok := p.daemon.requests.find(request.Account, request.RequestID)
	if !ok {
		return nil
	}
	reply.Known = true
	id, queue := owned.join(position)
	defer owned.leave(id)
	timer := time.NewTimer(min(request.WaitUntil.Sub(p.daemon.base.Now()), followWait))
	defer timer.Stop()
	for {
		items := queue.take()
		for _, i := range items {
			reply.Items = append(reply.Items, wire.FollowItem(i))
		}
		if hasNews(items) {
			return nil
		}
		select {
		case <-queue.changed:
		case <-timer.C:
			return nil
		}
	}
}

// Cancel ends a request that its caller has replaced.
func (p *PeerService) Cancel(request wire.LookupRequest, reply *wire.LookupReply) error {
	if owned, ok := p.daemon.requests.find(request.Account, request.RequestID); ok {
		owned.giveUp(codes.Superseded)
		reply.Owned = true
	}
	return nil
}

// hasNews reports whether there is anything for the caller's connection.
func hasNews(items []callerItem) bool {
	for _, i := range items {
		if len(i.Tokens) > 0 || i.End {
			return true
		}
	}
	return false
}

// Digest takes a digest and returns this daemon's entry.
func (p *PeerService) Digest(digest wire.Digest, reply *wire.DigestReply) error {
	*reply = p.daemon.members.heard(digest)
	return nil
}

// Call runs an unrepeatable call whose shard this daemon follows, or tells what became of one.
func (p *PeerService) Call(request wire.CallRequest, reply *wire.CallReply) error {
	answer, err := p.daemon.forwardedCall(request)
	*reply = answer
	return err
}

// Crash takes a notice of an attributed crash or of a quarantined request.
func (p *PeerService) Crash(notice wire.CrashNotice, _ *wire.Empty) error {
	p.daemon.crashes.heard(notice)
	return nil
}
