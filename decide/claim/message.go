package claim

import (
	"time"

	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"
)

type (
	// Message is an input of Call.Update. receivedAt is the time at which the call receives the
	// message, not the time of the event that it reports.
	Message interface{ receivedAt() time.Time }

	// Waiter is a caller's connection that waits for the result of a call.
	Waiter struct {
		// ID is unique within the daemon.
		ID int64
		// BodyHash is the hash of the waiter's own request, from HashCall.
		BodyHash string
		Deadline time.Time
	}

	// Arrived starts a call; Waiter is its first caller.
	Arrived struct {
		Now    time.Time
		Waiter Waiter
	}

	// Joined adds a caller with the same account and key to a call in progress.
	Joined struct {
		Now    time.Time
		Waiter Waiter
	}

	// ShardRead reports a read of the shard to its tail that began after the ReadShard command.
	ShardRead struct {
		Now  time.Time
		View View
	}

	// ViewChanged reports that the view of the key has changed.
	ViewChanged struct {
		Now  time.Time
		View View
	}

	// ResultRead carries the record that ReadResult requested.
	ResultRead struct {
		Now    time.Time
		Record Record
	}

	// LogReadFailed reports that a requested read of the log failed.
	LogReadFailed struct{ Now time.Time }

	// AppendConfirmed reports that the log has stored the record with the identifier.
	AppendConfirmed struct {
		Now    time.Time
		ID     string
		Offset int64
	}

	// AppendUnknown reports that an append failed or its response was lost. The record may be on
	// the log, or may reach it later.
	AppendUnknown struct {
		Now time.Time
		ID  string
	}

	// EndpointChosen is the response to ChooseEndpoint.
	EndpointChosen struct {
		Now     time.Time
		Address string
		Version string
		// Fenced reports that the endpoint checks fencing numbers.
		Fenced bool
	}

	// NoEndpoint is the response to ChooseEndpoint when no endpoint of the route is ready.
	NoEndpoint struct{ Now time.Time }

	// ServiceAnswered carries the service's answer.
	ServiceAnswered struct {
		Now    time.Time
		Status int
		Body   []byte
	}

	// AnswerLost reports that a send failed after the connection was opened, so the service may
	// have run the call.
	AnswerLost struct{ Now time.Time }

	// NotSent reports that no connection could be opened, so nothing was sent or will be.
	NotSent struct{ Now time.Time }

	// WinnerAnswered carries the reply of the daemon that won the claim.
	WinnerAnswered struct {
		Now   time.Time
		Reply wire.CallReply
	}

	// WinnerUnreachable reports that the winner could not be queried.
	WinnerUnreachable struct{ Now time.Time }

	// DeadlineReached reports that the waiter's deadline has passed.
	DeadlineReached struct {
		Now    time.Time
		Waiter int64
	}

	// Command is a side effect that a call requests.
	Command interface{ command() }

	// ReadShard requests a read of the shard to its tail that begins now. The response is
	// ShardRead or LogReadFailed.
	ReadShard struct{}

	// ReadResult requests the record at an offset. The response is ResultRead or LogReadFailed.
	ReadResult struct{ Offset int64 }

	// AppendRecord requests an append. The response is AppendConfirmed or AppendUnknown.
	AppendRecord struct {
		ID     string
		Record Record
	}

	// ChooseEndpoint requests an endpoint. The response is EndpointChosen or NoEndpoint.
	ChooseEndpoint struct{}

	// SendOnce sends the call on a new connection, without retries. The response is
	// ServiceAnswered, AnswerLost or NotSent.
	SendOnce struct {
		Address string
		Version string
		// Fencing is the claim's offset, or -1 if the endpoint does not check fencing numbers.
		Fencing int64
	}

	// QueryWinner queries the daemon that won the claim. The response is WinnerAnswered or
	// WinnerUnreachable.
	QueryWinner struct{ Incarnation ident.Incarnation }

	// Reply sends a reply to one waiter.
	Reply struct {
		Waiter int64
		Reply  wire.CallReply
	}

	// Release reports that the call needs no further messages and can be removed.
	Release struct{}
)

func (m Arrived) receivedAt() time.Time           { return m.Now }
func (m Joined) receivedAt() time.Time            { return m.Now }
func (m ShardRead) receivedAt() time.Time         { return m.Now }
func (m ViewChanged) receivedAt() time.Time       { return m.Now }
func (m ResultRead) receivedAt() time.Time        { return m.Now }
func (m LogReadFailed) receivedAt() time.Time     { return m.Now }
func (m AppendConfirmed) receivedAt() time.Time   { return m.Now }
func (m AppendUnknown) receivedAt() time.Time     { return m.Now }
func (m EndpointChosen) receivedAt() time.Time    { return m.Now }
func (m NoEndpoint) receivedAt() time.Time        { return m.Now }
func (m ServiceAnswered) receivedAt() time.Time   { return m.Now }
func (m AnswerLost) receivedAt() time.Time        { return m.Now }
func (m NotSent) receivedAt() time.Time           { return m.Now }
func (m WinnerAnswered) receivedAt() time.Time    { return m.Now }
func (m WinnerUnreachable) receivedAt() time.Time { return m.Now }
func (m DeadlineReached) receivedAt() time.Time   { return m.Now }

func (ReadShard) command()      {}
func (ReadResult) command()     {}
func (AppendRecord) command()   {}
func (ChooseEndpoint) command() {}
func (SendOnce) command()       {}
func (QueryWinner) command()    {}
func (Reply) command()          {}
func (Release) command()        {}
