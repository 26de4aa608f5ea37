package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/domain/value"
	"lentilstage.dev/wire/wire"
)

const (
	// maxClaimCalls bounds the unrepeatable calls in memory.
	maxClaimCalls = 4096
	// claimPage bounds the records of one read of a claim stream.
	claimPage = 1000
	// endpointWait is how long a claimed call waits for an endpoint.
	endpointWait = 2 * time.Second
	// forwardReserve is the part of a call's time that is kept for running the call here
	// after the daemon that it was forwarded to has not answered.
	forwardReserve = 3 * time.Second
)

var errDraining = eris.New("the daemon is shutting down and has not begun the call")

// newClaims returns the daemon's unrepeatable calls with their seams.
func (d *Daemon) newClaims() *Claims {
	return NewClaims(ClaimSettings{
		Process:     d.base.Settings.Name,
		Incarnation: d.base.Incarnation,
		Window:      time.Duration(d.base.Settings.KeyWindowMinutes) * time.Minute,
		MaxCalls:    maxClaimCalls,
	}, ClaimSeams{
		ReadLog: func(ctx context.Context, stream string, from int64) (wire.LogPage, error) {
			return d.base.ReadLog(deadlineOf(ctx, d.base.Now()), stream, from, claimPage, 0)
		},
		AppendLog: func(ctx context.Context, stream string, records []wire.LogPayload) (int64, error) {
			return d.base.AppendLog(deadlineOf(ctx, d.base.Now()), stream, records)
		},
		Endpoint:  d.plainEndpoint,
		AskDaemon: d.askDaemon,
		Now:       d.base.Now,
		Emit: func(e event.Event) {
			d.base.emit(e)
		},
	})
}

// plainEndpoint returns a ready endpoint of a plain route. It waits a little for one, since
// a call that is given up has used up its key.
func (d *Daemon) plainEndpoint(name string) (address, version string, fenced, ok bool) {
	deadline := d.base.Now().Add(endpointWait)
	for {
		state := d.control.State()
		row, known := state.Routes[name]
		if known && row.Kind == table.Plain {
			chosen, ok := d.endpoints.choosePlain(state, row, value.NewSet[string]())
			if ok {
				return chosen.Instance.Address, chosen.Version, chosen.Fenced, true
			}
		}
		if !d.base.Now().Before(deadline) {
			return "", "", false, false
		}
		sleep(context.Background(), noEndpointPause)
	}
}

// askDaemon passes a call to the daemon that runs as the incarnation.
func (d *Daemon) askDaemon(ctx context.Context, incarnation string, request wire.CallRequest) (wire.CallReply, error) {
	name, ok := d.members.peerOf(incarnation)
	if !ok {
		return wire.CallReply{}, errPeerUnknown
	}
	var reply wire.CallReply
	address, ok := d.members.peerAddress(name)
	if !ok {
		return reply, errPeerUnknown
	}
	err := d.peers.call(deadlineOf(ctx, d.base.Now()), address, "Call", request, &reply)
	return reply, err
}

// callOnce runs an unrepeatable call at the daemon that follows its shard, so that most
// daemons need not read it. Where that daemon doesn't answer, the call is run here; the
// log's order keeps it from running twice.
func (d *Daemon) callOnce(request wire.CallRequest) wire.CallReply {
	if request.Key == "" {
		return refusalReply(codes.Refuse(codes.KeyMissing, "a call on route %s needs an Idempotency-Key", request.Route))
	}
	if name := d.shardDaemon(request); name != d.base.Settings.Name {
		if address, ok := d.members.peerAddress(name); ok {
			var reply wire.CallReply
			err := d.peers.call(request.Deadline.Add(-forwardReserve), address, "Call", request, &reply)
			if err == nil {
				return reply
			}
		}
	}
	return d.runCall(request)
}

// forwardedCall runs an unrepeatable call for another daemon. While this daemon drains it
// takes none but those that it has begun: the sender runs the others itself.
func (d *Daemon) forwardedCall(request wire.CallRequest) (wire.CallReply, error) {
	// It counts before the check for draining, so that the shutdown misses none.
	d.forwarded.Add(1)
	defer d.forwarded.Add(-1)
	if d.draining.Load() && !d.claims.Has(request) {
		return wire.CallReply{}, errDraining
	}
	return d.runCall(request), nil
}

// runCall runs an unrepeatable call at this daemon.
func (d *Daemon) runCall(request wire.CallRequest) wire.CallReply {
	if refusal := d.windowRefusal(); refusal != nil {
		return refusalReply(refusal)
	}
	return d.claims.Do(context.Background(), request)
}

// windowRefusal returns why keys can't be judged by the log, or nil. A claim must outlive its
// key's window; on a log that keeps records for less than twice the window a key could be
// claimed again after its first claim has expired.
func (d *Daemon) windowRefusal() *codes.Refusal {
	now := d.base.Now()
	window := time.Duration(d.base.Settings.KeyWindowMinutes) * time.Minute
	retention := d.control.knownRetention(now)
	switch {
	case retention == 0:
		return codes.Refuse(codes.LogUnavailable, "the log's retention is not known yet; this attempt sent nothing").
			WithOutcomeUnknown()
	case window > retention/2:
		return codes.Refuse(codes.LogUnavailable,
			"KeyWindowMinutes %d is more than half of the log's retention of %s; this attempt sent nothing",
			d.base.Settings.KeyWindowMinutes, retention).WithOutcomeUnknown()
	}
	return nil
}

// shardDaemon returns the daemon that follows the shard of a call's key.
func (d *Daemon) shardDaemon(request wire.CallRequest) string {
	centres := d.members.centres()
	names := make([]string, 0, len(centres))
	for name := range centres {
		names = append(names, name)
	}
	return ident.RendezvousOrder(ClaimStream(request.Account, request.Key), names)[0]
}

// deadlineOf returns the context's deadline, or a short one.
func deadlineOf(ctx context.Context, now time.Time) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return now.Add(logTimeout)
}
