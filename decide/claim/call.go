package claim

import (
	"slices"
	"time"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"
)

type (
	// Phase is the progress of a call at this daemon.
	Phase string

	// Settings holds the fixed parameters of a call.
	Settings struct {
		Account     string
		Key         string
		BodyHash    string
		Incarnation ident.Incarnation
		// ClaimID and EndID are the log identifiers of the call's claim and end records.
		ClaimID string
		EndID   string
		// Deadline is the first caller's deadline; the call is not sent after it.
		Deadline time.Time
		// Window is the maximum age of a valid key.
		Window time.Duration
	}

	// Call is the state machine of one unrepeatable call at one daemon. It is immutable; Update
	// returns an updated copy.
	Call struct {
		Settings
		Phase   Phase
		KeyTime time.Time
		Waiters []Waiter
		// Generation is the index generation at the first read to the tail.
		Generation int
		// Appends counts the attempts to append the claim.
		Appends int
		// ClaimEnd is the offset after the appended claim, or 0 until the append is confirmed.
		ClaimEnd int64
		// ClaimOffset is the offset of the deciding claim once this call has won.
		ClaimOffset int64
		// SendStarted reports that SendOnce was issued.
		SendStarted bool
		// Queried reports that the winning daemon was queried.
		Queried bool
		// Decided is the view that decided the key, in the phases after the claim.
		Decided View
		// Answer is the reply to waiters that join once the outcome is known.
		Answer wire.CallReply
		// End is the record that ends this call's claim.
		End Record
	}
)

const (
	// Reading waits for a read of the shard to its tail.
	Reading Phase = "Reading"
	// Claiming waits for the record that decides the key.
	Claiming Phase = "Claiming"
	// Choosing has won the claim and waits for an endpoint; nothing has been sent.
	Choosing Phase = "Choosing"
	// Sending has issued the send and waits for its outcome.
	Sending Phase = "Sending"
	// Answered has the outcome of the won claim and waits for the end record to be appended.
	Answered Phase = "Answered"
	// Lost has sent the call and received no answer.
	Lost Phase = "Lost"
	// Following waits for the result of another call's winning claim.
	Following Phase = "Following"
	// Fetching waits for the stored answer to be read from the log.
	Fetching Phase = "Fetching"
	// Withdrawn will never send, but its claim may still reach the log and decide the key.
	Withdrawn Phase = "Withdrawn"
	// Finished expects no further messages.
	Finished Phase = "Over"

	// MaxKeyAhead is the maximum time by which a key may lie in the future: 30 s for the caller's
	// clock error and 1 s on each side for the daemons' clocks.
	MaxKeyAhead = 32 * time.Second

	// EndRetryPeriod is how long after the deadline a failed append of the end record is retried.
	EndRetryPeriod = 10 * time.Minute

	// maxAppends limits the append attempts for one claim. Each attempt carries the same
	// identifier, so duplicates on the log count as one claim.
	maxAppends = 3
)

const (
	suffixNotSent     = "; this attempt sent nothing"
	suffixReuseKey    = "; the same key may be used again"
	suffixCheckStatus = "; check the status at the service"
)

// NewCall returns a call that expects Arrived as its first message.
func NewCall(s Settings) Call {
	return Call{Settings: s, Phase: Reading}
}

// Update applies a message and returns the updated call and the commands to execute.
func (c Call) Update(message Message) (Call, []Command) {
	now := message.receivedAt()
	switch m := message.(type) {
	case Arrived:
		return c.arrived(now, m.Waiter)
	case Joined:
		return c.joined(now, m.Waiter)
	case ShardRead:
		if c.Phase == Reading {
			c.Generation = m.View.Generation
		}
		return c.applyView(now, m.View, true)
	case ViewChanged:
		return c.applyView(now, m.View, false)
	case ResultRead:
		return c.resultRead(m.Record)
	case LogReadFailed:
		return c.logDown(now)
	case AppendConfirmed:
		return c.appended(m)
	case AppendUnknown:
		return c.appendUnknown(now, m.ID)
	case EndpointChosen:
		return c.endpointChosen(now, m)
	case NoEndpoint:
		if c.Phase == Choosing {
			return c.abandon("no endpoint of the route is ready")
		}
	case ServiceAnswered:
		return c.serviceAnswered(m)
	case AnswerLost:
		if c.Phase == Sending {
			c.Phase = Lost
			return c.replyAll(unknown(codes.OutcomeUnknown, "the call was sent and its answer was lost"+suffixCheckStatus))
		}
	case NotSent:
		if c.Phase == Sending {
			return c.abandon("no connection to the endpoint could be opened")
		}
	case WinnerAnswered:
		return c.winnerAnswered(m.Reply)
	case WinnerUnreachable:
		if c.Phase == Following {
			return c.replyAllAndRelease(unknown(codes.OutcomeUnknown,
				"another daemon has the call and can't be asked"+suffixNotSent+suffixCheckStatus))
		}
	case DeadlineReached:
		return c.deadlineReached(now, m.Waiter)
	}
	return c, nil
}

// Idle reports whether the call has no waiters and will not send any more, so that a daemon
// with a full table may evict it. After an eviction, a later caller may receive "outcome unknown"
// instead of a more specific reply.
func (c Call) Idle() bool {
	return len(c.Waiters) == 0 && (c.Phase == Withdrawn || c.Phase == Answered || c.Phase == Lost)
}

func (c Call) arrived(now time.Time, w Waiter) (Call, []Command) {
	c.Waiters = []Waiter{w}
	at, err := ident.KeyTime(c.Key)
	switch {
	case err != nil:
		// No daemon runs a call with a malformed key, so "not run" needs no record on the log.
		return c.replyAllAndRelease(notRun(codes.KeyFormat, "the Idempotency-Key is not a UUID of version 7"))
	case now.Sub(at) > c.Window:
		return c.replyAllAndRelease(unknown(codes.KeyExpired,
			"the Idempotency-Key is older than the key window"+suffixNotSent+suffixCheckStatus))
	case at.Sub(now) > MaxKeyAhead:
		// The key becomes valid later, and a daemon with a different clock may already have run it.
		return c.replyAllAndRelease(unknown(codes.KeyInFuture,
			"the Idempotency-Key's time is in the future"+suffixNotSent+suffixReuseKey))
	case !now.Before(c.Deadline):
		return c.replyAllAndRelease(unknown(codes.DeadlinePassed, "the deadline has passed"+suffixNotSent+suffixReuseKey))
	}
	c.KeyTime = at
	return c, []Command{ReadShard{}}
}

func (c Call) joined(now time.Time, w Waiter) (Call, []Command) {
	switch c.Phase {
	case Answered:
		return c, []Command{Reply{Waiter: w.ID, Reply: c.replyFor(w)}}
	case Lost:
		reply := unknown(codes.OutcomeUnknown, "the call was sent and its answer was lost"+suffixCheckStatus)
		if w.BodyHash != c.BodyHash {
			reply = keyReused()
		}
		return c, []Command{Reply{Waiter: w.ID, Reply: reply}}
	case Withdrawn, Finished:
		return c, []Command{Reply{Waiter: w.ID, Reply: unknown(codes.OutcomeUnknown,
			"an earlier attempt at this daemon has ended without a known outcome"+suffixNotSent+suffixReuseKey)}}
	case Choosing, Sending:
		// This call's claim has won, so its body hash is final.
		if w.BodyHash != c.BodyHash {
			return c, []Command{Reply{Waiter: w.ID, Reply: keyReused()}}
		}
	}
	c.Waiters = append(slices.Clone(c.Waiters), w)
	if !now.Before(w.Deadline) {
		return c.deadlineReached(now, w.ID)
	}
	if c.Phase == Following {
		return c.follow(c.Decided)
	}
	return c, nil
}

// applyView applies a view of the key. Only a view from a read to the tail may trigger an
// append; any other view can only report that the key is decided.
func (c Call) applyView(now time.Time, v View, atTail bool) (Call, []Command) {
	switch c.Phase {
	case Reading, Claiming, Following, Withdrawn:
	case Answered, Lost:
		return c.releaseIfEnded(v)
	default:
		return c, nil
	}
	// The key's age is checked against the time after the view was read: the log still holds all
	// records of a key within the window, but those of an older key may have expired.
	if v.State == TooOld || now.Sub(c.KeyTime) > c.Window+WindowSlack {
		return c.replyAllAndRelease(unknown(codes.KeyExpired,
			"the Idempotency-Key is older than the key window"+suffixNotSent+suffixCheckStatus))
	}
	if c.Phase == Reading && !atTail {
		return c, nil
	}
	switch v.State {
	case Undecided:
		return c.applyUndecided(now, v, atTail)
	case Claimed:
		if v.ClaimID == c.ClaimID {
			return c.claimWon(now, v)
		}
		return c.follow(v)
	default:
		c.Decided = v
		if v.State == Ended && v.ResultOnLog {
			return c.fetchResult()
		}
		return c.replyDecided(true)
	}
}

// fetchResult replies to the waiters that need no stored answer and requests it from the log
// for the others.
func (c Call) fetchResult() (Call, []Command) {
	next, commands := c.replyDecided(false)
	if next.Phase == Finished {
		return next, commands
	}
	next.Phase = Fetching
	return next, append(commands, ReadResult{Offset: c.Decided.EndOffset})
}

// resultRead replies with the stored answer if the record is the one that ended the claim.
func (c Call) resultRead(r Record) (Call, []Command) {
	if c.Phase != Fetching {
		return c, nil
	}
	if r.Kind != DoneRecord || r.Account != c.Account || r.Key != c.Key || r.ClaimID != c.Decided.ClaimID {
		return c.replyAllAndRelease(unknown(codes.OutcomeUnknown, "the call was run and its stored answer can't be read"+suffixCheckStatus))
	}
	c.Decided.Status, c.Decided.Result, c.Decided.ResultOnLog = r.Status, r.Result, false
	return c.replyDecided(true)
}

func (c Call) applyUndecided(now time.Time, v View, atTail bool) (Call, []Command) {
	switch {
	case c.Phase == Following:
		// The deciding claim can only disappear if the log lost records.
		return c.replyAllAndRelease(unknown(codes.OutcomeUnknown, "the log has lost records of the key"+suffixNotSent+suffixCheckStatus))
	case c.Phase == Withdrawn || !atTail:
		return c, nil
	case v.Generation != c.Generation:
		return c.withdraw(unknown(codes.OutcomeUnknown, "the log has lost records of the key"+suffixNotSent+suffixCheckStatus))
	case c.Phase == Reading && !now.Before(c.Deadline):
		return c.replyAllAndRelease(unknown(codes.DeadlinePassed, "the deadline has passed"+suffixNotSent+suffixReuseKey))
	case c.Phase == Reading:
		c.Phase = Claiming
		return c.appendClaim()
	case c.ClaimEnd > 0 && v.Next < c.ClaimEnd:
		return c, []Command{ReadShard{}}
	case c.ClaimEnd > 0:
		// The claim is on the log but decided nothing, so its key was expired by the log's clock.
		return c.replyAllAndRelease(unknown(codes.KeyExpired, "the claim reached the log too late"+suffixNotSent+suffixCheckStatus))
	case c.Appends < maxAppends && now.Before(c.Deadline):
		return c.appendClaim()
	}
	return c, nil
}

func (c Call) appendClaim() (Call, []Command) {
	c.Appends++
	return c, []Command{AppendRecord{ID: c.ClaimID, Record: Record{
		Kind: ClaimRecord, Account: c.Account, Key: c.Key, BodyHash: c.BodyHash,
		Incarnation: c.Incarnation, Deadline: c.Deadline,
	}}}
}

// claimWon handles a view in which this call's own claim decides the key.
func (c Call) claimWon(now time.Time, v View) (Call, []Command) {
	c.Decided, c.ClaimOffset = v, v.Offset
	switch {
	case v.Generation != c.Generation:
		// The lost records may include an earlier claim of the key. The outcome is therefore
		// unknown, and no Abandoned record is appended.
		return c.replyAllAndRelease(unknown(codes.OutcomeUnknown, "the log has lost records of the key"+suffixNotSent+suffixCheckStatus))
	case c.Phase == Withdrawn:
		return c.abandon("the claim was given up before anything was sent")
	case !now.Before(c.Deadline):
		return c.abandon("the deadline passed before the call was sent")
	}
	c.Phase = Choosing
	// The key is decided, so waiters with a different body can be rejected.
	var commands []Command
	remaining := make([]Waiter, 0, len(c.Waiters))
	for _, w := range c.Waiters {
		if w.BodyHash == c.BodyHash {
			remaining = append(remaining, w)
			continue
		}
		commands = append(commands, Reply{Waiter: w.ID, Reply: keyReused()})
	}
	c.Waiters = remaining
	return c, append(commands, ChooseEndpoint{})
}

func (c Call) endpointChosen(now time.Time, m EndpointChosen) (Call, []Command) {
	if c.Phase != Choosing || c.SendStarted {
		return c, nil
	}
	if !now.Before(c.Deadline) {
		return c.abandon("the deadline passed before the call was sent")
	}
	c.Phase, c.SendStarted = Sending, true
	fencing := int64(-1)
	if m.Fenced {
		fencing = c.ClaimOffset
	}
	return c, []Command{SendOnce{Address: m.Address, Version: m.Version, Fencing: fencing}}
}

// abandon ends the won claim without sending. The phase Answered prevents any later send, so
// "not run" is correct before the record is on the log. The code is always ClaimGivenUp: other
// daemons forward it to their callers, and no rejection from before the claim uses it.
func (c Call) abandon(reason string) (Call, []Command) {
	c.Phase = Answered
	c.Answer = notRun(codes.ClaimGivenUp, reason+"; the call was not run, and a new try needs a new key")
	c.End = Record{Kind: AbandonedRecord, Account: c.Account, Key: c.Key, ClaimID: c.ClaimID}
	return c.replyAndAppendEnd()
}

func (c Call) serviceAnswered(m ServiceAnswered) (Call, []Command) {
	if c.Phase != Sending && c.Phase != Lost {
		return c, nil
	}
	c.Phase = Answered
	c.Answer = wire.CallReply{Status: m.Status, Body: m.Body}
	c.End = Record{
		Kind: DoneRecord, Account: c.Account, Key: c.Key, ClaimID: c.ClaimID,
		Status: m.Status, Result: m.Body,
	}
	if len(m.Body) > MaxResult {
		c.End.Result, c.End.TooLarge = nil, true
	}
	return c.replyAndAppendEnd()
}

// replyAndAppendEnd replies to the waiters of a won claim and appends the record that ends it.
func (c Call) replyAndAppendEnd() (Call, []Command) {
	commands := make([]Command, 0, len(c.Waiters)+1)
	for i, w := range c.Waiters {
		reply := c.replyFor(w)
		if i == 0 && reply.Replayed {
			reply.Replayed = false
		}
		commands = append(commands, Reply{Waiter: w.ID, Reply: reply})
	}
	c.Waiters = nil
	return c, append(commands, AppendRecord{ID: c.EndID, Record: c.End})
}

func (c Call) replyFor(w Waiter) wire.CallReply {
	if w.BodyHash != c.BodyHash {
		return keyReused()
	}
	reply := c.Answer
	reply.Replayed = reply.Code == 0
	return reply
}

// releaseIfEnded releases the call once its end record is on the log or its key has expired.
func (c Call) releaseIfEnded(v View) (Call, []Command) {
	if v.State == TooOld || v.State == Ended || v.State == GivenUp {
		return c.replyAllAndRelease(wire.CallReply{})
	}
	return c, nil
}

func (c Call) appended(m AppendConfirmed) (Call, []Command) {
	switch {
	case m.ID == c.ClaimID && (c.Phase == Claiming || c.Phase == Withdrawn):
		c.ClaimEnd = m.Offset + 1
		return c, []Command{ReadShard{}}
	case m.ID == c.EndID && c.Phase == Answered:
		return c.replyAllAndRelease(wire.CallReply{})
	}
	return c, nil
}

func (c Call) appendUnknown(now time.Time, id string) (Call, []Command) {
	switch {
	case id == c.ClaimID && c.Phase == Claiming:
		return c, []Command{ReadShard{}}
	case id == c.EndID && c.Phase == Answered:
		if now.After(c.Deadline.Add(EndRetryPeriod)) {
			return c.replyAllAndRelease(wire.CallReply{})
		}
		return c, []Command{AppendRecord{ID: c.EndID, Record: c.End}}
	}
	return c, nil
}

func (c Call) logDown(now time.Time) (Call, []Command) {
	switch c.Phase {
	case Reading:
		return c.replyAllAndRelease(unknown(codes.LogUnavailable,
			"the log can't be read, so the call can't be claimed"+suffixNotSent+suffixReuseKey))
	case Fetching:
		return c.replyAllAndRelease(unknown(codes.LogUnavailable,
			"the call was run and its stored answer can't be read now; the same key gives it later"))
	case Claiming:
		if now.Before(c.Deadline) {
			return c, []Command{ReadShard{}}
		}
		return c.withdraw(unknown(codes.LogUnavailable,
			"the log did not say whether it took the claim"+suffixNotSent+suffixReuseKey))
	}
	return c, nil
}

// follow waits for the result of another call's winning claim.
func (c Call) follow(v View) (Call, []Command) {
	c.Phase, c.Decided = Following, v
	next, commands := c.replyDecided(false)
	if next.Phase == Finished {
		return next, commands
	}
	if v.Incarnation == c.Incarnation {
		// An earlier call at this daemon won and no longer waits for an answer. It may still
		// append an end record, so this call waits for one until its deadline.
		return next, commands
	}
	if next.Queried || !next.hasWaiterFor(c.BodyHash) {
		return next, commands
	}
	next.Queried = true
	return next, append(commands, QueryWinner{Incarnation: v.Incarnation})
}

func (c Call) hasWaiterFor(hash string) bool {
	return slices.ContainsFunc(c.Waiters, func(w Waiter) bool { return w.BodyHash == hash })
}

// replyDecided replies to the waiters whose reply follows from the decided view. It releases the
// call if release is set or no waiters remain.
func (c Call) replyDecided(release bool) (Call, []Command) {
	var commands []Command
	remaining := make([]Waiter, 0, len(c.Waiters))
	for _, w := range c.Waiters {
		reply, decided := decidedReply(c.Decided, w)
		if !decided {
			remaining = append(remaining, w)
			continue
		}
		commands = append(commands, Reply{Waiter: w.ID, Reply: reply})
	}
	c.Waiters = remaining
	if release || len(remaining) == 0 {
		c.Phase = Finished
		commands = append(commands, Release{})
	}
	return c, commands
}

// decidedReply returns the reply to a waiter if it follows from the view alone.
func decidedReply(v View, w Waiter) (wire.CallReply, bool) {
	switch {
	case v.State == Closed:
		return notRun(codes.ClaimGivenUp, "the key is closed; the call was not run, and a new try needs a new key"), true
	case v.BodyHash != w.BodyHash:
		return keyReused(), true
	case v.State == GivenUp:
		return notRun(codes.ClaimGivenUp,
			"the claim was given up before anything was sent; the call was not run, and a new try needs a new key"), true
	case v.State == Ended && v.TooLarge:
		return unknown(codes.AnswerTooLarge, "the call was run and its answer was too large to keep"+suffixCheckStatus), true
	case v.State == Ended && !v.ResultOnLog:
		return wire.CallReply{Status: v.Status, Body: v.Result, Replayed: true}, true
	}
	return wire.CallReply{}, false
}

// winnerAnswered forwards the reply of the daemon that won the claim. Only the service's answer and
// rejections that result from the claim are forwarded. A rejection from before the winner checked
// the claim does not determine the outcome of the key.
func (c Call) winnerAnswered(reply wire.CallReply) (Call, []Command) {
	if c.Phase != Following {
		return c, nil
	}
	switch {
	case reply.Code == 0 && reply.Status != 0:
		reply.Replayed = true
	case codes.Code(reply.Code) == codes.AnswerTooLarge:
	case !reply.Unknown && codes.Code(reply.Code) == codes.ClaimGivenUp:
	default:
		reply = unknown(codes.OutcomeUnknown,
			"another daemon has the call and does not know its outcome"+suffixNotSent+suffixCheckStatus)
	}
	var commands []Command
	for _, w := range c.Waiters {
		waiterReply := reply
		if w.BodyHash != c.BodyHash {
			waiterReply = unknown(codes.OutcomeUnknown, "another daemon has a call with this key"+suffixNotSent+suffixCheckStatus)
		}
		commands = append(commands, Reply{Waiter: w.ID, Reply: waiterReply})
	}
	c.Waiters, c.Phase = nil, Finished
	return c, append(commands, Release{})
}

func (c Call) deadlineReached(now time.Time, waiter int64) (Call, []Command) {
	i := slices.IndexFunc(c.Waiters, func(w Waiter) bool { return w.ID == waiter })
	if i < 0 || now.Before(c.Waiters[i].Deadline) {
		return c, nil
	}
	switch c.Phase {
	case Reading, Claiming:
		if !now.Before(c.Deadline) {
			reply := unknown(codes.OutcomeUnknown, "the deadline passed before the claim was decided"+suffixNotSent+suffixReuseKey)
			if c.Phase == Reading {
				return c.replyAllAndRelease(reply)
			}
			return c.withdraw(reply)
		}
	case Choosing:
		if !now.Before(c.Deadline) {
			return c.abandon("the deadline passed before the call was sent")
		}
	}
	text := "the deadline passed" + suffixNotSent + suffixReuseKey
	switch c.Phase {
	case Sending:
		text = "the deadline passed after the call was sent" + suffixCheckStatus
	case Fetching:
		text = "the deadline passed; the call was run, and the same key gives the stored answer later"
	case Following:
		text = "the deadline passed while another attempt has the call" + suffixNotSent + suffixCheckStatus
	}
	c.Waiters = slices.Delete(slices.Clone(c.Waiters), i, i+1)
	commands := []Command{Reply{Waiter: waiter, Reply: unknown(codes.OutcomeUnknown, text)}}
	if (c.Phase == Following || c.Phase == Fetching) && len(c.Waiters) == 0 {
		c.Phase = Finished
		commands = append(commands, Release{})
	}
	return c, commands
}

// withdraw replies to all waiters and keeps the call until the key is decided, so that the claim
// is abandoned on the log if it still wins.
func (c Call) withdraw(reply wire.CallReply) (Call, []Command) {
	c.Phase = Withdrawn
	return c.replyAll(reply)
}

// replyAllAndRelease replies to all waiters and releases the call.
func (c Call) replyAllAndRelease(reply wire.CallReply) (Call, []Command) {
	c.Phase = Finished
	next, commands := c.replyAll(reply)
	return next, append(commands, Release{})
}

func (c Call) replyAll(reply wire.CallReply) (Call, []Command) {
	commands := make([]Command, 0, len(c.Waiters)+1)
	for _, w := range c.Waiters {
		commands = append(commands, Reply{Waiter: w.ID, Reply: reply})
	}
	c.Waiters = nil
	return c, commands
}

func keyReused() wire.CallReply {
	return notRun(codes.KeyReused,
		"the Idempotency-Key belongs to a call with another body; this body was not run and needs a new key")
}

func notRun(code codes.Code, text string) wire.CallReply {
	return wire.CallReply{Code: int(code), Message: text}
}

func unknown(code codes.Code, text string) wire.CallReply {
	return wire.CallReply{Code: int(code), Message: text, Unknown: true}
}

// GuaranteesNotRun reports whether the reply guarantees that the call was not and will not be run.
func GuaranteesNotRun(reply wire.CallReply) bool {
	return reply.Code != 0 && !reply.Unknown
}
