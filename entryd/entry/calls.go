package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/config"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/domain/value"
	"lentilstage.dev/wire/wire"
)

const (
	// maxClaimCalls bounds the unrepeatable calls kept in memory.
	maxClaimCalls = 4096
	// claimPageRecords bounds the records of one read of a claim stream.
	claimPageRecords = 1000
	// plainEndpointTimeout is how long a claimed call waits for a ready endpoint.
	plainEndpointTimeout = 2 * time.Second
	// localRunReserve is the part of a call's time reserved for running the call locally if the
	// daemon that it was forwarded to does not answer.
	localRunReserve = 3 * time.Second
)

var errDraining = eris.New("the daemon is shutting down and has not begun the call")

// newClaims returns the Claims of this daemon with their dependencies.
func (d *Daemon) newClaims() *Claims {
	return NewClaims(ClaimSettings{
		Process:     d.base.Settings.Name,
		Incarnation: d.base.Incarnation,
		Window:      time.Duration(d.base.Settings.KeyWindowMinutes) * time.Minute,
		MaxCalls:    maxClaimCalls,
	}, ClaimDependencies{
		ReadLog: func(ctx context.Context, stream string, from int64) (wire.LogPage, error) {
			return d.base.ReadLog(deadlineOf(ctx, d.base.Now()), stream, from, claimPageRecords, 0)
		},
		AppendLog: func(ctx context.Context, stream string, records []wire.LogPayload) (int64, error) {
			return d.base.AppendLog(deadlineOf(ctx, d.base.Now()), stream, records)
		},
		Endpoint:    d.waitForPlainEndpoint,
		ForwardCall: d.forwardCall,
		Now:         d.base.Now,
		Emit: func(e event.Event) {
			d.base.emit(e)
		},
		RecordRejected: d.base.recordRejected,
	})
}

// waitForPlainEndpoint returns a ready endpoint of a call's route if the call may be sent by this
// daemon's table. It waits up to plainEndpointTimeout, because a call that is abandoned has used up
// its key, unless all endpoints are in evacuated data centres.
func (d *Daemon) waitForPlainEndpoint(request wire.CallRequest) (address, version string, fenced, ok bool) {
	deadline := d.base.Now().Add(plainEndpointTimeout)
	for {
		if state, refusal := d.control.permittedState(permitOf(request)); refusal == nil {
			chosen, ok := d.endpoints.choosePlain(state, state.Routes[request.Route], value.NewSet[string]())
			if ok {
				return chosen.Instance.Address, chosen.Version, chosen.Fenced, true
			}
			if d.endpoints.allEvacuated(state, state.Routes[request.Route]) {
				return "", "", false, false
			}
		}
		if !d.base.Now().Before(deadline) {
			return "", "", false, false
		}
		sleep(context.Background(), endpointRetryInterval)
	}
}

// forwardCall sends a call to the daemon with the given incarnation.
func (d *Daemon) forwardCall(ctx context.Context, incarnation string, request wire.CallRequest) (wire.CallReply, error) {
	name, ok := d.members.peerByIncarnation(incarnation)
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

// callOnce runs an unrepeatable call at the daemon responsible for the key's shard, so that most
// daemons need not read that shard. If that daemon does not answer, the call runs locally; the
// order of the log prevents a second run.
func (d *Daemon) callOnce(request wire.CallRequest, permit config.Permit) wire.CallReply {
	if request.Key == "" {
		return refusalReply(codes.Refuse(codes.KeyMissing, "a call on route %s needs an Idempotency-Key", request.Route))
	}
	if refusal := d.control.checkPermit(permit); refusal != nil {
		return refusalReply(refusal.WithOutcomeUnknown())
	}
	if name := d.shardDaemon(request); name != d.base.Settings.Name {
		if address, ok := d.members.peerAddress(name); ok {
			var reply wire.CallReply
			err := d.peers.call(request.Deadline.Add(-localRunReserve), address, "Call", request, &reply)
			if err == nil {
				return reply
			}
		}
	}
	return d.runCall(request)
}

// serveForwardedCall runs an unrepeatable call for another daemon. While this daemon drains, it accepts
// only calls that are already in progress here; the sender runs the others itself.
func (d *Daemon) serveForwardedCall(request wire.CallRequest) (wire.CallReply, error) {
	// Increment before checking for draining, so that the shutdown waits for this call.
	d.forwarded.Add(1)
	defer d.forwarded.Add(-1)
	if d.draining.Load() && !d.claims.Has(request) {
		return wire.CallReply{}, errDraining
	}
	return d.runCall(request), nil
}

// permitOf returns the permit of an unrepeatable call, which is compared with this daemon's table.
func permitOf(request wire.CallRequest) config.Permit {
	return config.NewPermit(request.KeyHash, request.Account, request.Route, table.Plain)
}

// runCall runs an unrepeatable call on this daemon.
func (d *Daemon) runCall(request wire.CallRequest) wire.CallReply {
	if refusal := d.checkKeyWindow(); refusal != nil {
		return refusalReply(refusal)
	}
	return d.claims.Do(context.Background(), request)
}

// checkKeyWindow returns a refusal if the log cannot decide whether a key was used, or nil. A claim
// must outlive its key's window: if the log keeps records for less than twice the window, a key
// could be claimed again after its first claim has expired.
func (d *Daemon) checkKeyWindow() *codes.Refusal {
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

// shardDaemon returns the daemon responsible for the shard of a call's key.
func (d *Daemon) shardDaemon(request wire.CallRequest) string {
	centres := d.members.centres()
	names := make([]string, 0, len(centres))
	for name := range centres {
		names = append(names, name)
	}
	return ident.RendezvousOrder(ClaimStream(request.Account, request.Key), names)[0]
}

// deadlineOf returns the context's deadline, or now plus logTimeout if it has none.
func deadlineOf(ctx context.Context, now time.Time) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return now.Add(logTimeout)
}
