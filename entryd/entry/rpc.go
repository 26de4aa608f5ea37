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

// PeerService serves the RPCs of other daemons.
type PeerService struct {
	daemon *Daemon
}

var errNoTable = eris.New("this daemon has no table yet")

// confirmFoldTimeout bounds the wait in Confirm for the table state to reach the offset.
const confirmFoldTimeout = 800 * time.Millisecond

// Confirm folds the records in the request, waits for the offset and returns the offset that this
// daemon has reached.
func (p *PeerService) Confirm(request wire.ConfirmRequest, reply *wire.ConfirmReply) error {
	d := p.daemon
	d.control.update(config.Pushed{Records: request.Records})
	d.control.waitForOffset(request.Next, d.base.Now().Add(confirmFoldTimeout))
	reply.Process = d.base.Settings.Name
	reply.Next = d.control.Next()
	return nil
}

// Entry returns this daemon's digest entry with its current offset and tail deadline.
func (p *PeerService) Entry(_ wire.Empty, reply *wire.DigestReply) error {
	*reply = p.daemon.members.entry()
	return nil
}

// Fold returns this daemon's table state.
func (p *PeerService) Fold(_ wire.Empty, reply *table.State) error {
	if !p.daemon.control.HasTable() {
		return errNoTable
	}
	*reply = p.daemon.control.State()
	return nil
}

// Hold stores a whole record for its owner.
func (p *PeerService) Hold(record wire.HeldRequest, reply *wire.HoldReply) error {
	*reply = p.daemon.holder.hold(record, false)
	return nil
}

// Progress appends tokens to held records.
func (p *PeerService) Progress(batch wire.ProgressBatch, reply *wire.ProgressReply) error {
	reply.Statuses = p.daemon.holder.progress(batch)
	return nil
}

// Lookup returns whether this daemon serves or holds a request. A draining daemon reports only held
// copies.
func (p *PeerService) Lookup(request wire.LookupRequest, reply *wire.LookupReply) error {
	if owned, ok := p.daemon.requests.find(request.Account, request.RequestID); ok && !p.daemon.draining.Load() {
		reply.Owned = true
		reply.Record = owned.record()
		return nil
	}
	*reply = p.daemon.holder.lookup(request.Account, request.RequestID)
	return nil
}

// TakeOver hands a held record over to a new owner.
func (p *PeerService) TakeOver(request wire.TakeOverRequest, reply *wire.TakeOverReply) error {
	*reply = p.daemon.holder.takeOver(request)
	return nil
}

// Follow returns the tokens after a position of a request that this daemon serves. It waits for new
// tokens until the time in the request.
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
	id, queue := owned.addCaller(position)
	defer owned.removeCaller(id)
	timer := time.NewTimer(min(request.WaitUntil.Sub(p.daemon.base.Now()), followWait))
	defer timer.Stop()
	for {
		items := queue.take()
		for _, i := range items {
			reply.Items = append(reply.Items, wire.FollowItem(i))
		}
		if hasTokensOrEnd(items) {
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
		owned.abort(codes.Superseded)
		reply.Owned = true
	}
	return nil
}

// hasTokensOrEnd reports whether the items contain tokens or the end of the answer.
func hasTokensOrEnd(items []callerItem) bool {
	for _, i := range items {
		if len(i.Tokens) > 0 || i.End {
			return true
		}
	}
	return false
}

// Digest applies a digest and returns this daemon's entry.
func (p *PeerService) Digest(digest wire.Digest, reply *wire.DigestReply) error {
	*reply = p.daemon.members.receiveDigest(digest)
	return nil
}

// Call runs an unrepeatable call for another daemon, or returns the outcome of one that is already
// known here.
func (p *PeerService) Call(request wire.CallRequest, reply *wire.CallReply) error {
	answer, err := p.daemon.serveForwardedCall(request)
	*reply = answer
	return err
}

// Crash applies a notice of an attributed crash or of a quarantined request.
func (p *PeerService) Crash(notice wire.CrashNotice, _ *wire.Empty) error {
	p.daemon.crashes.receiveNotice(notice)
	return nil
}
