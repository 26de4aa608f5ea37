package hold

import (
	"fmt"
	"slices"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"
)

type (
	// Caller is one connection that receives the answer.
	Caller struct {
		// ID is unique at the daemon.
		ID int64
		// Sent is the number of tokens that the caller has.
		Sent int
		// Accepted says that the caller was told that the request is accepted.
		Accepted bool
	}

	// Owned is one request that this daemon serves. Update returns the changed copy; it may
	// share the token array with earlier values, so only the latest value may be used.
	Owned struct {
		// Record is the request with all tokens that have come from engines.
		Record wire.HeldRequest
		// Acked is the number of tokens that a holder has; only these go to callers.
		Acked int
		// Held says that the present holder has the record.
		Held bool
		// EndAcked says that the holder has the finish reason or refusal.
		EndAcked bool
		// Waiting says that an update is on its way to the holder.
		Waiting bool
		// Attempt is the attempt whose chunks count, or empty.
		Attempt  ident.AttemptID
		Attempts int
		Callers  []Caller
		// Stopped says that another daemon owns the request now, or that it was refused.
		Stopped bool
	}

	// OwnerMessage is a message to an owned request.
	OwnerMessage interface{ ownerMessage() }

	// HolderChosen answers ChooseHolder.
	HolderChosen struct{ Holder string }

	// NoHolder answers ChooseHolder when no other daemon is alive.
	NoHolder struct{}

	// HolderAnswered is the holder's answer to SendHold or SendProgress. Epoch, Tokens and
	// Ended repeat what the command has sent.
	HolderAnswered struct {
		Holder string
		Epoch  int64
		Tokens int
		Ended  bool
		Status wire.ProgressStatus
	}

	// HolderLost reports that the holder is dead or did not answer.
	HolderLost struct{ Holder string }

	// Flush is due every 10 ms while the request is in progress.
	Flush struct{}

	// Chunk is one token of an attempt.
	Chunk struct {
		Attempt ident.AttemptID
		Offset  int
		Token   string
	}

	// Finished is the finish reason of an attempt; Tokens is the answer's length with it.
	Finished struct {
		Attempt ident.AttemptID
		Tokens  int
		Reason  string
	}

	// AttemptLost reports that an attempt ended without a finish reason.
	AttemptLost struct{ Attempt ident.AttemptID }

	// GivenUp ends the request with a refusal, for instance at its deadline.
	GivenUp struct{ Code codes.Code }

	// CallerJoined adds a connection whose copy of the answer ends at the position.
	CallerJoined struct {
		Caller   int64
		Position Position
	}

	// CallerLeft removes a connection.
	CallerLeft struct{ Caller int64 }

	// GivenAway asks this daemon, the present owner, to leave the request to another one.
	GivenAway struct{ NewOwner string }

	// OwnerCommand is an effect that an owned request asks for.
	OwnerCommand interface{ ownerCommand() }

	// ChooseHolder asks for a holder other than Not, answered by HolderChosen or NoHolder.
	ChooseHolder struct{ Not string }

	// SendHold sends the whole record to its holder, answered by HolderAnswered or HolderLost.
	SendHold struct{ Record wire.HeldRequest }

	// SendProgress sends new tokens, answered by HolderAnswered or HolderLost.
	SendProgress struct {
		Holder string
		Update wire.ProgressUpdate
	}

	// StartAttempt starts an attempt that goes on after the resumed tokens.
	StartAttempt struct {
		Attempt ident.AttemptID
		Resume  []string
	}

	// CancelAttempt stops an attempt that has lost a chunk.
	CancelAttempt struct{ Attempt ident.AttemptID }

	// Accept tells a caller that the request is accepted.
	Accept struct{ Caller int64 }

	// SendTokens sends tokens to a caller; Position is the place after the last of them.
	SendTokens struct {
		Caller int64
		// Offset is the number of the first token in the answer, from 0.
		Offset int
		Tokens []string
		// Branch is the branch of the tokens, for their event identifiers.
		Branch string
	}

	// SendEnd ends a caller's answer with a finish reason or a refusal.
	SendEnd struct {
		Caller int64
		Finish string
		Code   codes.Code
	}

	// KeepCopy puts a record into this daemon's own store. A daemon that no longer owns a
	// request keeps a copy, since the new owner may die before it has named a holder, and
	// may have been the only holder.
	KeepCopy struct{ Record wire.HeldRequest }

	// GiveRecord answers GivenAway.
	GiveRecord struct{ Record wire.HeldRequest }

	// Stop says that the daemon no longer serves the request and can drop it.
	Stop struct{}
)

func (HolderChosen) ownerMessage()   {}
func (NoHolder) ownerMessage()       {}
func (HolderAnswered) ownerMessage() {}
func (HolderLost) ownerMessage()     {}
func (Flush) ownerMessage()          {}
func (Chunk) ownerMessage()          {}
func (Finished) ownerMessage()       {}
func (AttemptLost) ownerMessage()    {}
func (GivenUp) ownerMessage()        {}
func (CallerJoined) ownerMessage()   {}
func (CallerLeft) ownerMessage()     {}
func (GivenAway) ownerMessage()      {}

func (ChooseHolder) ownerCommand()  {}
func (SendHold) ownerCommand()      {}
func (SendProgress) ownerCommand()  {}
func (StartAttempt) ownerCommand()  {}
func (CancelAttempt) ownerCommand() {}
func (Accept) ownerCommand()        {}
func (SendTokens) ownerCommand()    {}
func (SendEnd) ownerCommand()       {}
func (KeepCopy) ownerCommand()      {}
func (GiveRecord) ownerCommand()    {}
func (Stop) ownerCommand()          {}

// NewOwned returns a request that this daemon has just accepted or taken over, and its
// first commands. The branch is a new identifier of this ownership, never used before.
// For a request that was taken over, the record is that of the TakeOverReply.
func NewOwned(record wire.HeldRequest, owner, branch string) (Owned, []OwnerCommand) {
	record.Tokens = slices.Clone(record.Tokens)
	record.Branches = append(slices.Clone(record.Branches), wire.Branch{ID: branch, From: len(record.Tokens)})
	record.Owner, record.Holder = owner, ""
	if record.Epoch == 0 {
		record.Epoch = 1
	}
	// What a taken record holds was acknowledged to its earlier owner.
	o := Owned{Record: record, Acked: len(record.Tokens), EndAcked: ended(record)}
	return o, []OwnerCommand{ChooseHolder{}}
}

// Position returns the place after the acknowledged tokens.
func (o Owned) Position() Position {
	return Position{Tokens: o.Acked, Branch: branchAt(o.Record, o.Acked)}
}

// Update applies a message and returns the changed request and its commands. A stopped
// request answers nothing.
func (o Owned) Update(message OwnerMessage) (Owned, []OwnerCommand) {
	if o.Stopped {
		return o, nil
	}
	switch m := message.(type) {
	case HolderChosen:
		if o.Record.Holder == "" {
			o.Record.Holder, o.Waiting = m.Holder, true
			return o, []OwnerCommand{o.sendHold()}
		}
	case HolderAnswered:
		return o.holderAnswered(m)
	case HolderLost:
		if m.Holder == o.Record.Holder {
			return o.changeHolder()
		}
	case Flush:
		return o.flush()
	case Chunk:
		return o.chunk(m)
	case Finished:
		return o.finished(m)
	case AttemptLost:
		if m.Attempt == o.Attempt && !ended(o.Record) {
			return o.start(nil)
		}
	case GivenUp:
		if !ended(o.Record) {
			o.Record.Refusal = int(m.Code)
			commands := o.cancel()
			o.Attempt = ""
			// Without a holder the refusal goes out at once, so that no caller waits for one.
			o.EndAcked = o.Record.Holder == ""
			if o.EndAcked {
				o.Record.Tokens = o.Record.Tokens[:o.Acked]
			}
			return o.deliver(commands)
		}
	case CallerJoined:
		return o.callerJoined(m)
	case CallerLeft:
		o.Callers = slices.DeleteFunc(slices.Clone(o.Callers), func(c Caller) bool { return c.ID == m.Caller })
	case GivenAway:
		return o.giveAway(m.NewOwner)
	}
	return o, nil
}

func (o Owned) sendHold() OwnerCommand {
	record := o.Record
	record.Tokens = slices.Clone(record.Tokens)
	return SendHold{Record: record}
}

func (o Owned) holderAnswered(m HolderAnswered) (Owned, []OwnerCommand) {
	if m.Status == wire.ProgressStale && m.Epoch == o.Record.Epoch {
		return o.stop(o.acknowledged())
	}
	if m.Holder != o.Record.Holder || m.Epoch != o.Record.Epoch {
		return o, nil
	}
	o.Waiting = false
	switch m.Status {
	case wire.ProgressTaken:
		o.Acked, o.Held = max(o.Acked, m.Tokens), true
		o.EndAcked = o.EndAcked || m.Ended
		var commands []OwnerCommand
		if o.Attempt == "" && !ended(o.Record) {
			o, commands = o.start(commands)
		}
		return o.deliver(commands)
	case wire.ProgressMissing:
		o.Waiting = true
		return o, []OwnerCommand{o.sendHold()}
	case wire.ProgressFull:
		return o.changeHolder()
	}
	return o, nil
}

// changeHolder names another holder. The epoch is raised, so that an earlier holder's copy,
// which gets no more tokens, ranks behind the new one.
func (o Owned) changeHolder() (Owned, []OwnerCommand) {
	last := o.Record.Holder
	o.Record.Holder, o.Waiting, o.Held = "", false, false
	o.Record.Epoch++
	return o, []OwnerCommand{ChooseHolder{Not: last}}
}

func (o Owned) flush() (Owned, []OwnerCommand) {
	switch {
	case o.Record.Holder == "":
		return o, []OwnerCommand{ChooseHolder{}}
	case o.Waiting || o.Acked == len(o.Record.Tokens) && o.EndAcked == ended(o.Record):
		return o, nil
	}
	o.Waiting = true
	return o, []OwnerCommand{SendProgress{Holder: o.Record.Holder, Update: wire.ProgressUpdate{
		RequestID: o.Record.RequestID, Epoch: o.Record.Epoch, Branch: LastBranch(o.Record),
		Offset: o.Acked, Tokens: slices.Clone(o.Record.Tokens[o.Acked:]),
		Finish: o.Record.Finish, Refusal: o.Record.Refusal,
	}}}
}

// start begins an attempt that resumes from all tokens that this owner has. Those that the
// holder lacks yet are part of the same answer.
func (o Owned) start(commands []OwnerCommand) (Owned, []OwnerCommand) {
	o.Attempts++
	o.Attempt = ident.AttemptID(fmt.Sprintf("%s.%s.%d", o.Record.RequestID, LastBranch(o.Record), o.Attempts))
	return o, append(commands, StartAttempt{Attempt: o.Attempt, Resume: slices.Clone(o.Record.Tokens)})
}

func (o Owned) cancel() []OwnerCommand {
	if o.Attempt == "" {
		return nil
	}
	return []OwnerCommand{CancelAttempt{Attempt: o.Attempt}}
}

func (o Owned) chunk(m Chunk) (Owned, []OwnerCommand) {
	switch {
	case o.Attempt == "" || m.Attempt != o.Attempt || ended(o.Record) || m.Offset < len(o.Record.Tokens):
		return o, nil
	case m.Offset > len(o.Record.Tokens):
		return o.start(o.cancel())
	}
	o.Record.Tokens = append(o.Record.Tokens, m.Token)
	return o, nil
}

func (o Owned) finished(m Finished) (Owned, []OwnerCommand) {
	switch {
	case o.Attempt == "" || m.Attempt != o.Attempt || ended(o.Record) || m.Reason == "":
		return o, nil
	case m.Tokens != len(o.Record.Tokens):
		return o.start(o.cancel())
	}
	o.Record.Finish, o.Attempt = m.Reason, ""
	return o, nil
}

// Covers reports whether a caller at the position can be continued here. If not, the
// daemon looks for another copy, although it owns the request.
func (o Owned) Covers(p Position) bool {
	record := o.Record
	record.Tokens = record.Tokens[:o.Acked]
	return Covers(record, p)
}

// callerJoined takes a caller whose copy is the start of this answer. Another copy can't
// be continued here; the caller is told so instead of getting a mixture of two answers.
func (o Owned) callerJoined(m CallerJoined) (Owned, []OwnerCommand) {
	if !o.Covers(m.Position) {
		return o, []OwnerCommand{SendEnd{Caller: m.Caller, Code: codes.RequestUnknown}}
	}
	o.Callers = append(slices.Clone(o.Callers), Caller{ID: m.Caller, Sent: m.Position.Tokens})
	return o.deliver(nil)
}

// deliver sends each caller the acknowledged tokens that it lacks, and the end once the
// holder has it. Nobody gets anything while no holder has the record, unless the answer
// has ended.
func (o Owned) deliver(commands []OwnerCommand) (Owned, []OwnerCommand) {
	if !o.Held && !o.EndAcked {
		return o, commands
	}
	kept := make([]Caller, 0, len(o.Callers))
	for _, c := range o.Callers {
		if !c.Accepted {
			c.Accepted = true
			commands = append(commands, Accept{Caller: c.ID})
		}
		for c.Sent < o.Acked {
			end, branch := o.branchEnd(c.Sent)
			commands = append(commands, SendTokens{
				Caller: c.ID, Offset: c.Sent, Tokens: slices.Clone(o.Record.Tokens[c.Sent:end]), Branch: branch,
			})
			c.Sent = end
		}
		if o.EndAcked && o.Acked == len(o.Record.Tokens) {
			commands = append(commands, SendEnd{Caller: c.ID, Finish: o.Record.Finish, Code: codes.Code(o.Record.Refusal)})
			continue
		}
		kept = append(kept, c)
	}
	o.Callers = kept
	return o, commands
}

// branchEnd returns how far the acknowledged tokens from offset on belong to one branch.
func (o Owned) branchEnd(offset int) (end int, branch string) {
	branch = branchAt(o.Record, offset+1)
	end = offset + 1
	for end < o.Acked && branchAt(o.Record, end+1) == branch {
		end++
	}
	return end, branch
}

// acknowledged returns the record with what a holder has, which is all that callers have seen.
func (o Owned) acknowledged() wire.HeldRequest {
	record := o.Record
	record.Tokens = slices.Clone(record.Tokens[:o.Acked])
	if !o.EndAcked {
		record.Finish, record.Refusal = "", 0
	}
	return record
}

func (o Owned) giveAway(newOwner string) (Owned, []OwnerCommand) {
	record := o.acknowledged()
	record.Epoch++
	record.Owner = newOwner
	next, commands := o.stop(record)
	return next, append(commands, GiveRecord{Record: record})
}

// stop ends the ownership: the callers reconnect to the new owner, and the record stays
// here as a copy.
func (o Owned) stop(record wire.HeldRequest) (Owned, []OwnerCommand) {
	commands := o.cancel()
	for _, c := range o.Callers {
		commands = append(commands, SendEnd{Caller: c.ID, Code: codes.Moved})
	}
	o.Callers, o.Attempt, o.Stopped = nil, "", true
	return o, append(commands, KeepCopy{Record: record}, Stop{})
}
