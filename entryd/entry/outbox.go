package entry

import (
	"context"
	"sync"
	"time"

	"lentilstage.dev/decide/hold"
	"lentilstage.dev/wire/wire"
)

type (
	// outbox batches the updates of all owned requests by holder.
	outbox struct {
		requests *requests

		mu sync.Mutex
		// dirty are the requests that may have updates to send.
		dirty   map[*ownedRequest]struct{}
		pending map[string][]pendingUpdate
		wake    chan struct{}
	}

	// pendingUpdate is an update that is queued for a holder.
	pendingUpdate struct {
		ownedRequest *ownedRequest
		progress     wire.ProgressUpdate
	}
)

// outboxFlushDelay is how long updates are collected. A token reaches the caller after this delay
// plus one round trip to the holder, within a budget of 35 ms between tokens.
const outboxFlushDelay = 10 * time.Millisecond

func newOutbox(r *requests) *outbox {
	return &outbox{
		requests: r, dirty: make(map[*ownedRequest]struct{}), pending: make(map[string][]pendingUpdate),
		wake: make(chan struct{}, 1),
	}
}

// markDirty records that a request may have updates to send.
func (o *outbox) markDirty(owned *ownedRequest) {
	o.mu.Lock()
	o.dirty[owned] = struct{}{}
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// queueUpdate queues an update for its holder.
func (o *outbox) queueUpdate(owned *ownedRequest, c hold.SendProgress) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending[c.Holder] = append(o.pending[c.Holder], pendingUpdate{ownedRequest: owned, progress: c.Update})
}

// run sends batches until the context ends. It blocks while no request is dirty.
func (o *outbox) run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-o.wake:
		}
		o.flush()
		sleep(ctx, outboxFlushDelay)
	}
	return nil
}

// flush collects the updates of the dirty requests and sends one batch to each holder.
func (o *outbox) flush() {
	o.mu.Lock()
	dirty := o.dirty
	o.dirty = make(map[*ownedRequest]struct{})
	o.mu.Unlock()
	for owned := range dirty {
		owned.update(hold.Flush{})
	}
	o.mu.Lock()
	pending := o.pending
	o.pending = make(map[string][]pendingUpdate)
	o.mu.Unlock()
	for holder, batch := range pending {
		o.requests.workers.Go(func() { o.requests.sendProgress(holder, batch) })
	}
}

// sendProgress sends a batch to a holder and passes the replies to the requests.
func (r *requests) sendProgress(holder string, batch []pendingUpdate) {
	request := wire.ProgressBatch{Owner: r.base.Settings.Name}
	for _, b := range batch {
		request.Updates = append(request.Updates, b.progress)
	}
	var reply wire.ProgressReply
	err := r.callPeer(holder, "Progress", request, &reply)
	for i, b := range batch {
		if err != nil || i >= len(reply.Statuses) {
			b.ownedRequest.update(hold.HolderLost{Holder: holder})
			continue
		}
		b.ownedRequest.update(hold.HolderReplied{
			Holder: holder, Epoch: b.progress.Epoch, Tokens: b.progress.Offset + len(b.progress.Tokens),
			Ended: b.progress.Finish != "" || b.progress.Refusal != 0, Status: reply.Statuses[i],
		})
		// Updates that were made during the call go out with the next batch.
		r.outbox.markDirty(b.ownedRequest)
	}
}

// sendHold sends a whole record to its holder and passes the reply to the request.
func (r *requests) sendHold(owned *ownedRequest, record wire.HeldRequest) {
	r.workers.Go(func() {
		var reply wire.HoldReply
		if err := r.callPeer(record.Holder, "Hold", record, &reply); err != nil {
			owned.update(hold.HolderLost{Holder: record.Holder})
			return
		}
		owned.update(hold.HolderReplied{
			Holder: record.Holder, Epoch: record.Epoch, Tokens: len(record.Tokens),
			Ended: record.Finish != "" || record.Refusal != 0, Status: reply.Status,
		})
		r.outbox.markDirty(owned)
	})
}

// callPeer calls a daemon by name within holdTimeout.
func (r *requests) callPeer(name, method string, in, out any) error {
	return r.callPeerWithin(holdTimeout, name, method, in, out)
}

// callPeerWithin calls a daemon by name within the time limit.
func (r *requests) callPeerWithin(limit time.Duration, name, method string, in, out any) error {
	address, ok := r.members.peerAddress(name)
	if !ok {
		return errPeerUnknown
	}
	return r.peers.call(r.base.Now().Add(limit), address, method, in, out)
}
