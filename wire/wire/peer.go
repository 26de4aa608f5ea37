package wire

import (
	"time"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/table"
)

type (
	// Branch is the part of an answer that was added under one ownership. If two daemons take
	// over a request from different copies, they continue it with different tokens at the same
	// offsets. The branch distinguishes these tokens.
	Branch struct {
		ID string `json:"Id"`
		// From is the number of tokens that the answer had at the start of the ownership.
		From int `json:"From"`
	}

	// HeldRequest is a holder's copy of an accepted model request.
	HeldRequest struct {
		RequestID string `json:"RequestId"`
		Account   string `json:"Account"`
		Route     string `json:"Route"`
		// Fingerprint is the hash of account and body. It detects a request identifier that is
		// reused with a different body.
		Fingerprint string `json:"Fingerprint"`
		Body        []byte `json:"Body"`
		Priority    int    `json:"Priority"`
		// Deadline is the caller's deadline.
		Deadline time.Time `json:"Deadline"`
		// Epoch is the number of the ownership. The holder rejects updates with a lower epoch.
		Epoch  int64  `json:"Epoch"`
		Owner  string `json:"Owner"`
		Holder string `json:"Holder"`
		// Branches lists the branches of the answer, oldest first.
		Branches []Branch `json:"Branches"`
		// Tokens are the tokens of the answer so far.
		Tokens []string `json:"Tokens"`
		// Finish is the finish reason of a complete answer; empty otherwise.
		Finish string `json:"Finish"`
		// Refusal is the result code of an answer that ended incomplete; 0 otherwise.
		Refusal int `json:"Refusal"`
		// KeepUntil is the time at which a record without updates expires.
		KeepUntil time.Time `json:"KeepUntil"`
	}

	// ProgressUpdate appends tokens to a held request.
	ProgressUpdate struct {
		RequestID string
		Epoch     int64
		// Branch is the ID of the sender's branch of the answer.
		Branch string
		// Offset is the number of tokens of the answer that precede Tokens.
		Offset  int
		Tokens  []string
		Finish  string
		Refusal int
	}

	// ProgressBatch contains an owner's updates for all requests of one holder.
	ProgressBatch struct {
		Owner   string
		Updates []ProgressUpdate
	}

	// ProgressStatus is the holder's result for an update.
	ProgressStatus string

	// ProgressReply is the reply to a ProgressBatch, with a status for each update in the same
	// order.
	ProgressReply struct {
		Statuses []ProgressStatus
	}

	// HoldReply is the reply to a Hold call, which sends a HeldRequest to a holder.
	HoldReply struct {
		Status ProgressStatus
		// Epoch is the highest epoch that the holder has received for the request.
		Epoch int64
	}

	// LookupRequest asks a peer for its copy of a request.
	LookupRequest struct {
		RequestID string
		Account   string
	}

	// LookupReply is the reply to a LookupRequest. Owned is set if the peer currently serves
	// the request, and Held if it has a copy.
	LookupReply struct {
		Owned  bool
		Held   bool
		Record HeldRequest
		// Former are other copies of the request, whose tokens are not included in Record.
		Former []HeldRequest
	}

	// TakeOverRequest asks a holder or owner for the ownership of a request.
	TakeOverRequest struct {
		RequestID string
		Account   string
		NewOwner  string
		// Branch is the ID of the last branch of the requested copy; empty selects the current
		// copy.
		Branch string
	}

	// TakeOverReply is the reply to a TakeOverRequest. It contains the record with the
	// incremented epoch.
	TakeOverReply struct {
		Taken  bool
		Record HeldRequest
	}

	// FollowRequest asks the owner for the tokens of a request after an event.
	FollowRequest struct {
		RequestID string
		Account   string
		// EventID is the Last-Event-ID of the caller; empty for the whole answer.
		EventID string
		// WaitUntil is the time until which the owner may delay an empty reply.
		WaitUntil time.Time
	}

	// FollowItem is an increment of an answer: tokens, or the end.
	FollowItem struct {
		Accepted bool
		Offset   int
		Tokens   []string
		Branch   string
		End      bool
		Finish   string
		Code     codes.Code
	}

	// FollowReply is the reply to a FollowRequest. Known is set if the peer serves the request.
	FollowReply struct {
		Known bool
		Items []FollowItem
	}

	// ConfirmRequest asks a peer to fold the Control stream up to an offset and to confirm it.
	ConfirmRequest struct {
		// Next is the offset after the record to confirm.
		Next int64
		// Records are the control records up to Next that the sender has in memory. They let
		// a peer that can't read the log fold them too.
		Records []LogRecord
	}

	// ConfirmReply is the reply to a ConfirmRequest.
	ConfirmReply struct {
		Process string
		// Next is the offset up to which the peer has folded the Control stream and serves by it.
		Next int64
	}

	// CallRequest forwards an unrepeatable call to the daemon that follows the call's shard.
	CallRequest struct {
		Account string
		// KeyHash is the hash of the caller's key. It is empty if the sending daemon's build does not
		// forward it.
		KeyHash  string
		Route    string
		Key      string
		Path     string
		Method   string
		Body     []byte
		Deadline time.Time
	}

	// CallReply is the reply to a CallRequest.
	CallReply struct {
		// Code is 0 if the service answered, and a result code otherwise.
		Code    int
		Message string
		// Unknown is set if the call was refused with an unknown outcome.
		Unknown bool
		Status  int
		Body    []byte
		// Replayed is set if the answer is the stored answer of an earlier call.
		Replayed bool
	}

	// CrashNotice reports to a peer that a crash was attributed to a request, or that a request
	// is quarantined.
	CrashNotice struct {
		ID          string
		Fingerprint string
		Account     string
		Quarantine  *table.Quarantine
	}

	// Empty is the reply to a call that returns nothing.
	Empty struct{}

	// AccountUsage is an account's usage of its limits at one daemon.
	AccountUsage struct {
		Account         string
		InFlight        int
		TokensPerSecond float64
		// Waiting is the number of queued requests, which is the unmet demand.
		Waiting int
	}

	// Placement counts the requests and tokens that a daemon recently sent to an instance and
	// that are not yet included in the instance's load report.
	Placement struct {
		Instance string
		Requests int
		Tokens   int
	}

	// Evidence holds a daemon's request counts for a version on a route, for one step of the
	// version move. The counters are cumulative and never decrease within an incarnation.
	Evidence struct {
		Move    string
		Route   string
		Version string
		// Step is the step of the move when the requests were routed, and Share the share of the
		// new version that the daemon applied. Requests with equal step and share were split in
		// constant proportions, so that both versions are compared over the same period.
		Step  int
		Share float64
		// Requests counts finished requests, except those counted in Excluded.
		Requests int64
		// Failures counts failures caused by the version. An endpoint crash counts once.
		Failures int64
		// Excused counts failures that were later attributed to a request.
		Excused int64
		// Slow counts requests that are in SlowFirst, in SlowGaps or in both.
		Slow int64
		// SlowFirst counts requests whose time to the first token exceeded the route's target.
		SlowFirst int64
		// SlowGaps counts requests whose mean time between tokens exceeded the route's target.
		SlowGaps int64
		// Excluded counts failures not caused by the version: Interrupted, RequestCrashes,
		// reclaims and lost data centres.
		Excluded int64
		// Interrupted counts interrupted connections.
		Interrupted int64
		// RequestCrashes counts endpoint crashes that were attributed to a request.
		RequestCrashes int64
	}

	// Alarm announces that a daemon stopped a version move or quarantined a request on its own.
	// Peers apply it immediately.
	Alarm struct {
		// Kind is "Version" or "Quarantine".
		Kind string
		// Subject is the identifier of the move, or the fingerprint of the request.
		Subject  string
		Account  string
		Reason   string
		Deadline time.Time
	}

	// DigestEntry is the summary of a daemon's state.
	DigestEntry struct {
		Process     string
		Incarnation string
		// Sequence increases with each entry of an incarnation.
		Sequence int64
		// Next is the offset up to which the daemon has folded the Control stream.
		Next int64
		// TailDeadline is the end of the daemon's serving lease, which each read of the log's tail
		// extends.
		TailDeadline time.Time
		Draining     bool
		Uses         []AccountUsage
		Placements   []Placement
		Evidence     []Evidence
	}

	// Digest is the gossip message of a daemon, with entries for itself and for other daemons.
	Digest struct {
		From    string
		Time    time.Time
		Entries []DigestEntry
		// Leaving lists instances that are leaving. An instance never returns from this state.
		Leaving []string
		Alarms  []Alarm
	}

	// DigestReply is the reply to a Digest, with the receiver's own entry.
	DigestReply struct {
		Entry DigestEntry
		// Time is the time of the reply by the receiver's clock. TailDeadline minus Time is the
		// remaining time of the receiver's lease, independent of clock skew.
		Time time.Time
	}
)

const (
	// ProgressTaken means that the update was applied.
	ProgressTaken ProgressStatus = "Taken"
	// ProgressStale means that the holder has a higher epoch. The sender must stop serving the
	// request.
	ProgressStale ProgressStatus = "Stale"
	// ProgressMissing means that the holder has no record or lacks earlier tokens. The sender
	// must send the whole record.
	ProgressMissing ProgressStatus = "Missing"
	// ProgressFull means that the holder has no capacity for another record.
	ProgressFull ProgressStatus = "Full"
)
