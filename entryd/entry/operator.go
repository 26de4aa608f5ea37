package entry

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"lentilstage.dev/decide/config"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

const (
	// publishTimeout bounds the wait until a change is in force on all daemons. It is the target
	// time for a configuration change.
	publishTimeout = 20 * time.Second
	// confirmTimeout bounds one confirmation call.
	confirmTimeout = time.Second
	// confirmInterval is the pause between rounds of confirmation calls.
	confirmInterval = 200 * time.Millisecond
)

func (s *server) routeOperators() {
	operator := s.app.Group("/operator", s.authenticateOperator)
	operator.Get("/table", func(c *fiber.Ctx) error {
		return c.JSON(wire.TableView{Process: s.base.Settings.Name, State: s.daemon.control.State()})
	})
	operator.Post("/changes", s.readBody, s.postChange)
	operator.Get("/status", func(c *fiber.Ctx) error { return c.JSON(s.daemon.status()) })
	operator.Get("/timeline", s.getTimeline)
}

// authenticateOperator checks the operator's key.
func (s *server) authenticateOperator(c *fiber.Ctx) error {
	hash := ident.HashSecret(bearer(c))
	if !slices.Contains(s.base.Settings.OperatorKeyHashes, hash) {
		return codes.Refuse(codes.Unauthorized, "the key belongs to no operator")
	}
	c.Locals(localOperator, "key-"+hash[:8])
	return c.Next()
}

// postChange publishes a change and returns its result.
func (s *server) postChange(c *fiber.Ctx) error {
	request, err := wire.Decode[wire.ChangeRequest](c.Body())
	if err != nil {
		return codes.Refuse(codes.TableInvalid, "%s", err.Error())
	}
	operator, _ := c.Locals(localOperator).(string)
	result, refusal := s.daemon.publish(request, operator)
	if refusal != nil {
		return refusal
	}
	return c.JSON(result)
}

// getTimeline returns the timeline events after a sequence number.
func (s *server) getTimeline(c *fiber.Ctx) error {
	after, err := strconv.ParseUint(c.Query("after", "0"), 10, 64)
	if err != nil {
		return codes.Refuse(codes.BadRequest, "after is not a number")
	}
	return c.JSON(wire.Timeline{Process: s.base.Settings.Name, Events: s.base.Events.Since(after)})
}

// publish appends a change and waits until it is in force on all daemons or publishTimeout has
// passed.
func (d *Daemon) publish(request wire.ChangeRequest, operator string) (wire.ChangeResult, *codes.Refusal) {
	deadline := d.base.Now().Add(publishTimeout)
	result := wire.ChangeResult{ID: request.ID, Warnings: d.rollouts.deadlineWarnings(request.Edits)}
	outcome, known := d.control.State().OutcomeOf(request.ID)
	if !known {
		var err error
		outcome, err = d.control.append(table.Record{
			Kind: table.ChangeRecord, ID: request.ID,
			Change: &table.Change{Operator: operator, Edits: request.Edits},
		}, deadline)
		switch {
		case errors.Is(err, errOutcomeUnknown):
			result.Status = wire.ChangeUnknown
			return result, nil
		case err != nil:
			return result, codes.Refuse(codes.LogUnavailable, "the log did not take the change: %s", err.Error())
		}
	}
	result.Outcome = outcome
	switch {
	case len(outcome.Clashes) > 0:
		result.Status = wire.ChangeClash
		return result, nil
	case !outcome.Applied:
		result.Status = wire.ChangeInvalid
		return result, nil
	}
	result.Status, result.Missing = d.confirm(outcome.Offset+1, deadline)
	d.base.emit(event.Event{Kind: "ChangePublished", Request: request.ID, Reason: string(result.Status)})
	return result, nil
}

// confirm pushes the offset to all listed daemons until it is in force on all of them or the
// deadline has passed. It returns the daemons for which this is not confirmed.
func (d *Daemon) confirm(next int64, deadline time.Time) (wire.ChangeStatus, []string) {
	publication := config.NewPublication(next, d.members.snapshot().Listed(), config.DefaultRules)
	for {
		publication = d.confirmRound(publication, next)
		now := d.base.Now()
		status, missing := publication.Status(now)
		if status == wire.ChangeAccepted || !now.Before(deadline) {
			return status, missing
		}
		sleep(context.Background(), confirmInterval)
	}
}

// confirmRound asks all unconfirmed daemons concurrently how far they have folded.
func (d *Daemon) confirmRound(publication config.Publication, next int64) config.Publication {
	now := d.base.Now()
	self := d.base.Settings.Name
	publication = publication.WithListed(d.members.snapshot().Listed(), now).
		WithConfirmed(self, d.control.Next(), now, now)
	request := wire.ConfirmRequest{Next: next, Records: d.control.Recent(next)}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, name := range publication.PushTargets() {
		address, ok := d.members.peerAddress(name)
		if !ok || name == self {
			continue
		}
		calls.Go(func() {
			sent := d.base.Now()
			var reply wire.ConfirmReply
			if d.peers.call(sent.Add(confirmTimeout), address, "Confirm", request, &reply) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			publication = publication.WithConfirmed(name, reply.Next, sent, d.base.Now())
		})
	}
	calls.Wait()
	return publication
}

// status returns the daemon's status for the operators.
func (d *Daemon) status() wire.DaemonStatus {
	status := wire.DaemonStatus{
		Process: d.base.Settings.Name, Incarnation: string(d.base.Incarnation),
		DataCentre: d.base.Settings.DataCentre, Time: d.base.Now(),
		Next: d.control.Next(), Serving: true,
		Owned: d.requests.count(), Held: d.holder.count(), Endpoints: d.endpoints.status(),
	}
	if refusal := d.checkAccepting(); refusal != nil {
		status.Serving = false
		status.Reason = refusal.Message
	}
	status.Peers = d.members.statuses()
	return status
}
