package hold

import (
	"fmt"
	"slices"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"
)

type (
	// Caller is a connection that receives the answer.
	Caller struct {
		// ID is unique within the daemon.
		ID int64
		// Sent is the number of tokens that the caller already has.
		Sent int
		// Accepted says that the caller has been sent the acceptance of the request.
		Accepted bool
	}

	// Owned is a request that this daemon serves. Update returns a changed copy that may share the
	// token array with earlier values, so only the latest value may be used.
	Owned struct {
		// Record is the request with all tokens received from engines.
		Record wire.HeldRequest
		// AckedTokens is the number of tokens that a holder has acknowledged; only these are sent to callers.
		AckedTokens int
		// HolderConfirmed says that the current holder has acknowledged the record.
		HolderConfirmed bool
		// EndAcked says that the finish reason or refusal may be sent to callers: a holder has
		// acknowledged it, or the request was refused while it had no holder.
		EndAcked bool
		// UpdateInFlight says that an update to the holder is in flight.
		UpdateInFlight bool
		// Attempt is the current attempt, or empty. Chunks of other attempts are ignored.
		Attempt ident.AttemptID
		// AttemptCount is the number of attempts that this owner has started.
		AttemptCount int
		Callers      []Caller
		// Stopped says that this daemon no longer owns the request.
		Stopped bool
	}

	// OwnerMessage is a message to an owned request.
	OwnerMessage interface{ ownerMessage() }

	// HolderChosen is the reply to ChooseHolder.
	HolderChosen struct{ Holder string }

	// NoHolder is the reply to ChooseHolder if no other daemon is alive.
	NoHolder struct{}

	// HolderReplied is the holder's reply to SendHold or SendProgress. Epoch, Tokens and Ended
	// describe the record or update that was sent.
	HolderReplied struct {
		Holder string
		Epoch  int64
		Tokens int
		Ended  bool
		Status wire.ProgressStatus
	}

	// HolderLost reports that the holder is dead or did not reply.
	HolderLost struct{ Holder string }

	// Flush sends new tokens to the holder, or asks for a holder if there is none. It is due every
	// 10 ms while the request is in progress.
	Flush struct{}

	// Chunk is one token of an attempt.
	Chunk struct {
		Attempt ident.AttemptID
		Offset  int
		Token   string
	}

	// AttemptFinished is the finish reason of an attempt. Tokens is the number of tokens in the whole
	// answer.
	AttemptFinished struct {
		Attempt ident.AttemptID
		Tokens  int
		Reason  string
	}

	// AttemptInterrupted reports that an attempt has ended without a finish reason.
	AttemptInterrupted struct{ Attempt ident.AttemptID }

	// RequestRefused ends the request with a refusal, for example at its deadline.
	RequestRefused struct{ Code codes.Code }

	// CallerJoined adds a caller whose copy of the answer ends at the position.
	CallerJoined struct {
		Caller   int64
		Position Position
	}

	// CallerLeft removes a caller.
	CallerLeft struct{ Caller int64 }

	// TransferRequested asks this daemon, the current owner, to transfer the request to another daemon.
	TransferRequested struct{ NewOwner string }

	// OwnerCommand is an effect that Update requests.
	OwnerCommand interface{ ownerCommand() }

	// ChooseHolder asks for a holder other than the given one. The reply is HolderChosen or NoHolder.
	ChooseHolder struct{ Exclude string }

	// SendHold sends the whole record to its holder. The reply is HolderReplied or HolderLost.
	SendHold struct{ Record wire.HeldRequest }

	// SendProgress sends new tokens to the holder. The reply is HolderReplied or HolderLost.
	SendProgress struct {
		Holder string
		Update wire.ProgressUpdate
	}

	// StartAttempt starts an attempt that continues after the tokens in Resume.
	StartAttempt struct {
		Attempt ident.AttemptID
		Resume  []string
	}

	// CancelAttempt stops an attempt whose further output is not needed.
	CancelAttempt struct{ Attempt ident.AttemptID }

	// SendAccepted sends a caller the acceptance of the request.
	SendAccepted struct{ Caller int64 }

	// SendTokens sends tokens to a caller.
	SendTokens struct {
		Caller int64
		// Offset is the index of the first of these tokens in the answer, from 0.
		Offset int
		Tokens []string
		// Branch is the branch of these tokens, for the event identifiers.
		Branch string
	}

	// SendEnd ends a caller's answer with a finish reason or a refusal.
	SendEnd struct {
		Caller int64
		Finish string
		Code   codes.Code
	}

	// StoreCopy puts a record into this daemon's own store. A daemon that no longer owns a request
	// keeps a copy, since the new owner may have been the only holder and may die before it has
	// chosen another one.
	StoreCopy struct{ Record wire.HeldRequest }

	// TransferRecord is the reply to TransferRequested.
	TransferRecord struct{ Record wire.HeldRequest }

	// Stop reports that this daemon no longer serves the request and can drop it.
	Stop struct{}
)

func (HolderChosen) ownerMessage()       {}
func (NoHolder) ownerMessage()           {}
func (HolderReplied) ownerMessage()      {}
func (HolderLost) ownerMessage()         {}
func (Flush) ownerMessage()              {}
func (Chunk) ownerMessage()              {}
func (AttemptFinished) ownerMessage()    {}
func (AttemptInterrupted) ownerMessage() {}
func (RequestRefused) ownerMessage()     {}
func (CallerJoined) ownerMessage()       {}
func (CallerLeft) ownerMessage()         {}
func (TransferRequested) ownerMessage()  {}

func (ChooseHolder) ownerCommand()   {}
func (SendHold) ownerCommand()       {}
func (SendProgress) ownerCommand()   {}
func (StartAttempt) ownerCommand()   {}
func (CancelAttempt) ownerCommand()  {}
func (SendAccepted) ownerCommand()   {}
func (SendTokens) ownerCommand()     {}
func (SendEnd) ownerCommand()        {}
func (StoreCopy) ownerCommand()      {}
func (TransferRecord) ownerCommand() {}
func (Stop) ownerCommand()           {}

// NewOwned returns a request that this daemon has just accepted or taken over, and its first
// commands. The branch identifies this ownership and must never have been used before. For a
// request that was taken over, the record is that of the TakeOverReply.
func NewOwned(record wire.HeldRequest, owner, branch string) (Owned, []OwnerCommand) {
	record.Tokens = slices.Clone(record.Tokens)
	record.Branches = append(slices.Clone(record.Branches), wire.Branch{ID: branch, From: len(record.Tokens)})
	record.Owner, record.Holder = owner, ""
	if record.Epoch == 0 {
		record.Epoch = 1
	}
	// The tokens of a record that was taken over were acknowledged to its previous owner.
	o := Owned{Record: record, AckedTokens: len(record.Tokens), EndAcked: ended(record)}
	return o, []OwnerCommand{ChooseHolder{}}
}

// Position returns the position after the acknowledged tokens.
func (o Owned) Position() Position {
	return Position{Tokens: o.AckedTokens, Branch: branchAt(o.Record, o.AckedTokens)}
}

// Update applies a message and returns the changed request and its commands. A stopped request
// ignores all messages.
func (o Owned) Update(message OwnerMessage) (Owned, []OwnerCommand) {
	if o.Stopped {
		return o, nil
	}
	switch m := message.(type) {
	case HolderChosen:
		if o.Record.Holder == "" {
			o.Record.Holder, o.UpdateInFlight = m.Holder, true
			return o, []OwnerCommand{o.sendHold()}
		}
	case HolderReplied:
		return o.applyHolderReply(m)
	case HolderLost:
		if m.Holder == o.Record.Holder {
			return o.changeHolder()
		}
	case Flush:
		return o.sendUnacked()
	case Chunk:
		return o.applyChunk(m)
	case AttemptFinished:
		return o.applyFinish(m)
	case AttemptInterrupted:
		if m.Attempt == o.Attempt && !ended(o.Record) {
			return o.startAttempt(nil)
		}
	case RequestRefused:
		if !ended(o.Record) {
			o.Record.Refusal = int(m.Code)
			commands := o.cancelAttempt()
			o.Attempt = ""
			// Without a holder, the refusal is sent at once so that callers need not wait for a holder.
			o.EndAcked = o.Record.Holder == ""
			if o.EndAcked {
				o.Record.Tokens = o.Record.Tokens[:o.AckedTokens]
			}
			return o.sendToCallers(commands)
		}
	case CallerJoined:
		return o.addCaller(m)
	case CallerLeft:
		o.Callers = slices.DeleteFunc(slices.Clone(o.Callers), func(c Caller) bool { return c.ID == m.Caller })
	case TransferRequested:
		return o.transfer(m.NewOwner)
	}
	return o, nil
}

func (o Owned) sendHold() OwnerCommand {
	record := o.Record
	record.Tokens = slices.Clone(record.Tokens)
	return SendHold{Record: record}
}

func (o Owned) applyHolderReply(m HolderReplied) (Owned, []OwnerCommand) {
	if m.Status == wire.ProgressStale && m.Epoch == o.Record.Epoch {
		return o.stop(o.ackedRecord())
	}
	if m.Holder != o.Record.Holder || m.Epoch != o.Record.Epoch {
		return o, nil
	}
	o.UpdateInFlight = false
	switch m.Status {
	case wire.ProgressTaken:
		o.AckedTokens, o.HolderConfirmed = max(o.AckedTokens, m.Tokens), true
		o.EndAcked = o.EndAcked || m.Ended
		var commands []OwnerCommand
		if o.Attempt == "" && !ended(o.Record) {
			o, commands = o.startAttempt(commands)
		}
		return o.sendToCallers(commands)
	case wire.ProgressMissing:
		o.UpdateInFlight = true
		return o, []OwnerCommand{o.sendHold()}
	case wire.ProgressFull:
		return o.changeHolder()
	}
	return o, nil
}

// changeHolder asks for another holder. It raises the epoch so that the new holder's copy takes
// precedence over the previous holder's, which receives no more tokens.
func (o Owned) changeHolder() (Owned, []OwnerCommand) {
	previous := o.Record.Holder
	o.Record.Holder, o.UpdateInFlight, o.HolderConfirmed = "", false, false
	o.Record.Epoch++
	return o, []OwnerCommand{ChooseHolder{Exclude: previous}}
}

// sendUnacked sends the holder the tokens and the end that it has not acknowledged, unless an update
// is in flight. Without a holder it asks for one.
func (o Owned) sendUnacked() (Owned, []OwnerCommand) {
	switch {
	case o.Record.Holder == "":
		return o, []OwnerCommand{ChooseHolder{}}
	case o.UpdateInFlight || o.AckedTokens == len(o.Record.Tokens) && o.EndAcked == ended(o.Record):
		return o, nil
	}
	o.UpdateInFlight = true
	return o, []OwnerCommand{SendProgress{Holder: o.Record.Holder, Update: wire.ProgressUpdate{
		RequestID: o.Record.RequestID, Epoch: o.Record.Epoch, Branch: LastBranch(o.Record),
		Offset: o.AckedTokens, Tokens: slices.Clone(o.Record.Tokens[o.AckedTokens:]),
		Finish: o.Record.Finish, Refusal: o.Record.Refusal,
	}}}
}

// startAttempt starts an attempt that resumes from all tokens that this owner has. They include
// tokens that the holder has not acknowledged yet, which are part of the same answer.
func (o Owned) startAttempt(commands []OwnerCommand) (Owned, []OwnerCommand) {
	o.AttemptCount++
	o.Attempt = ident.AttemptID(fmt.Sprintf("%s.%s.%d", o.Record.RequestID, LastBranch(o.Record), o.AttemptCount))
	return o, append(commands, StartAttempt{Attempt: o.Attempt, Resume: slices.Clone(o.Record.Tokens)})
}

func (o Owned) cancelAttempt() []OwnerCommand {
	if o.Attempt == "" {
		return nil
	}
	return []OwnerCommand{CancelAttempt{Attempt: o.Attempt}}
}

func (o Owned) applyChunk(m Chunk) (Owned, []OwnerCommand) {
	switch {
	case o.Attempt == "" || m.Attempt != o.Attempt || ended(o.Record) || m.Offset < len(o.Record.Tokens):
		return o, nil
	case m.Offset > len(o.Record.Tokens):
		return o.startAttempt(o.cancelAttempt())
	}
	o.Record.Tokens = append(o.Record.Tokens, m.Token)
	return o, nil
}

func (o Owned) applyFinish(m AttemptFinished) (Owned, []OwnerCommand) {
	switch {
	case o.Attempt == "" || m.Attempt != o.Attempt || ended(o.Record) || m.Reason == "":
		return o, nil
	case m.Tokens != len(o.Record.Tokens):
		return o.startAttempt(o.cancelAttempt())
	}
	o.Record.Finish, o.Attempt = m.Reason, ""
	return o, nil
}

// Covers reports whether the acknowledged tokens start with the copy of a caller at the position.
// If not, the daemon looks for another copy although it owns the request.
func (o Owned) Covers(p Position) bool {
	record := o.Record
	record.Tokens = record.Tokens[:o.AckedTokens]
	return Covers(record, p)
}

// addCaller adds a caller whose copy is a prefix of this answer. Any other caller gets the code
// RequestUnknown, since continuing its copy would mix two answers.
func (o Owned) addCaller(m CallerJoined) (Owned, []OwnerCommand) {
	if !o.Covers(m.Position) {
		return o, []OwnerCommand{SendEnd{Caller: m.Caller, Code: codes.RequestUnknown}}
	}
	o.Callers = append(slices.Clone(o.Callers), Caller{ID: m.Caller, Sent: m.Position.Tokens})
	return o.sendToCallers(nil)
}

// sendToCallers sends each caller the acknowledged tokens that it does not have, and the end once
// that is acknowledged. Until a holder has acknowledged the record, it sends nothing, unless the
// answer's end may be sent already.
func (o Owned) sendToCallers(commands []OwnerCommand) (Owned, []OwnerCommand) {
	if !o.HolderConfirmed && !o.EndAcked {
		return o, commands
	}
	remaining := make([]Caller, 0, len(o.Callers))
	for _, c := range o.Callers {
		if !c.Accepted {
			c.Accepted = true
			commands = append(commands, SendAccepted{Caller: c.ID})
		}
		for c.Sent < o.AckedTokens {
			end, branch := o.branchEnd(c.Sent)
			commands = append(commands, SendTokens{
				Caller: c.ID, Offset: c.Sent, Tokens: slices.Clone(o.Record.Tokens[c.Sent:end]), Branch: branch,
			})
			c.Sent = end
		}
		if o.EndAcked && o.AckedTokens == len(o.Record.Tokens) {
			commands = append(commands, SendEnd{Caller: c.ID, Finish: o.Record.Finish, Code: codes.Code(o.Record.Refusal)})
			continue
		}
		remaining = append(remaining, c)
	}
	o.Callers = remaining
	return o, commands
}

// branchEnd returns the branch of the token at the offset, and the end of the run of acknowledged
// tokens from the offset on that belong to the branch.
func (o Owned) branchEnd(offset int) (end int, branch string) {
	branch = branchAt(o.Record, offset+1)
	end = offset + 1
	for end < o.AckedTokens && branchAt(o.Record, end+1) == branch {
		end++
	}
	return end, branch
}

// ackedRecord returns the record without the tokens and the end that no holder has acknowledged.
// Callers have received no more than that.
func (o Owned) ackedRecord() wire.HeldRequest {
	record := o.Record
	record.Tokens = slices.Clone(record.Tokens[:o.AckedTokens])
	if !o.EndAcked {
		record.Finish, record.Refusal = "", 0
	}
	return record
}

// transfer gives the acknowledged record to a new owner with a higher epoch.
func (o Owned) transfer(newOwner string) (Owned, []OwnerCommand) {
	record := o.ackedRecord()
	record.Epoch++
	record.Owner = newOwner
	next, commands := o.stop(record)
	return next, append(commands, TransferRecord{Record: record})
}

// stop ends the ownership: callers are redirected with the code Moved, and the record stays in this
// daemon's store as a copy.
func (o Owned) stop(record wire.HeldRequest) (Owned, []OwnerCommand) {
	commands := o.cancelAttempt()
	for _, c := range o.Callers {
		commands = append(commands, SendEnd{Caller: c.ID, Code: codes.Moved})
	}
	o.Callers, o.Attempt, o.Stopped = nil, "", true
	return o, append(commands, StoreCopy{Record: record}, Stop{})
}
