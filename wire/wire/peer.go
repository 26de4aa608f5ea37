package wire

import (
	"time"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/table"
)

type (
	// Branch is the part of an answer that one ownership has added. Two daemons that take
	// a request over from different copies continue it with different tokens; the branch
	// tells the two apart where an offset alone can't.
	Branch struct {
		ID string `json:"Id"`
		// From is the number of tokens that the ownership has started with.
		From int `json:"From"`
	}

	// HeldRequest is what a holder keeps of an accepted model request.
	HeldRequest struct {
		RequestID string `json:"RequestId"`
		Account   string `json:"Account"`
		Route     string `json:"Route"`
		// Fingerprint is the hash of account and body; a reused identifier with another
		// body is told apart by it.
		Fingerprint string `json:"Fingerprint"`
		Body        []byte `json:"Body"`
		Priority    int    `json:"Priority"`
		// Deadline is the caller's deadline.
		Deadline time.Time `json:"Deadline"`
		// Epoch numbers the ownership; the holder refuses a lower one.
		Epoch  int64  `json:"Epoch"`
		Owner  string `json:"Owner"`
		Holder string `json:"Holder"`
		// Branches lists the ownerships that have added to the answer, the latest last.
		Branches []Branch `json:"Branches"`
		// Tokens are the answer's tokens so far.
		Tokens []string `json:"Tokens"`
		// Finish is the finish reason of a whole answer, or empty.
		Finish string `json:"Finish"`
		// Refusal is the code of an answer that ended without completion, or 0.
		Refusal int `json:"Refusal"`
		// KeepUntil is when a record without updates may be dropped.
		KeepUntil time.Time `json:"KeepUntil"`
	}

	// ProgressUpdate adds tokens to one held request.
	ProgressUpdate struct {
		RequestID string
		Epoch     int64
		// Branch is the sender's branch of the answer.
		Branch string
		// Offset is the number of tokens before the added ones.
		Offset  int
		Tokens  []string
		Finish  string
		Refusal int
	}

	// ProgressBatch carries the updates of all requests that one daemon has for one holder.
	ProgressBatch struct {
		Owner   string
		Updates []ProgressUpdate
	}

	// ProgressStatus is the holder's answer to one update.
	ProgressStatus string

	// ProgressReply answers a batch, one status for each update in its order.
	ProgressReply struct {
		Statuses []ProgressStatus
	}

	// HoldReply answers a hold.
	HoldReply struct {
		Status ProgressStatus
		// Epoch is the highest epoch that the holder knows.
		Epoch int64
	}

	// LookupRequest asks for a request's record.
	LookupRequest struct {
		RequestID string
		Account   string
	}

	// LookupReply answers a lookup. Owned says that the replier serves the request now;
	// Held that it has a copy.
	LookupReply struct {
		Owned  bool
		Held   bool
		Record HeldRequest
		// Former are copies that the record does not cover.
		Former []HeldRequest
	}

	// TakeOverRequest takes the ownership of a request from a holder or owner.
	TakeOverRequest struct {
		RequestID string
		Account   string
		NewOwner  string
		// Branch is the last branch of the wanted copy. Empty takes the present one.
		Branch string
	}

	// TakeOverReply carries the record with the raised epoch.
	TakeOverReply struct {
		Taken  bool
		Record HeldRequest
	}

	// FollowRequest asks the owner for a request's tokens behind an event.
	FollowRequest struct {
		RequestID string
		Account   string
		// EventID is the caller's Last-Event-ID; empty for the whole answer.
		EventID string
		// WaitUntil is the time until which the owner may hold back an empty reply.
		WaitUntil time.Time
	}

	// FollowItem is one step of an answer: tokens, or the end.
	FollowItem struct {
		Accepted bool
		Offset   int
		Tokens   []string
		Branch   string
		End      bool
		Finish   string
		Code     codes.Code
	}

	// FollowReply answers a FollowRequest. Known says that the replier serves the request.
	FollowReply struct {
		Known bool
		Items []FollowItem
	}

	// ConfirmRequest tells a peer the offset that it must have folded.
	ConfirmRequest struct {
		// Next is the offset after the record in question.
		Next int64
		// Records are the control records up to Next that the sender has at hand, so that
		// a peer that can't read the log still learns of them.
		Records []LogRecord
	}

	// ConfirmReply tells the peer's state.
	ConfirmReply struct {
		Process string
		// Next is the offset up to which the peer has folded and serves.
		Next int64
	}

	// CallRequest forwards an unrepeatable call to the daemon that follows its shard.
	CallRequest struct {
		Account  string
		Route    string
		Key      string
		Path     string
		Method   string
		Body     []byte
		Deadline time.Time
	}

	// CallReply is the result of an unrepeatable call.
	CallReply struct {
		// Code is 0 for an answer of the service, otherwise a result code.
		Code    int
		Message string
		// Unknown says that a refusal leaves the outcome open.
		Unknown bool
		Status  int
		Body    []byte
		// Replayed says that the answer is the stored one of an earlier call.
		Replayed bool
	}

	// CrashNotice tells a peer that a crash was attributed to a request, or that a request
	// is quarantined.
	CrashNotice struct {
		ID          string
		Fingerprint string
		Account     string
		Quarantine  *table.Quarantine
	}

	// Empty answers a call that returns nothing.
	Empty struct{}

	// AccountUse is a daemon's use of one account's limits.
	AccountUse struct {
		Account         string
		InFlight        int
		TokensPerSecond float64
		// Waiting is the number of queued requests, the unmet demand.
		Waiting int
	}

	// Placement counts a daemon's requests at an endpoint that a load report of the
	// given time can't show yet.
	Placement struct {
		Instance string
		Requests int
		Tokens   int
	}

	// Evidence is a daemon's cumulative count for a version on a route and a step of
	// its move since the start of the daemon. No counter ever falls within an incarnation.
	Evidence struct {
		Move    string
		Route   string
		Version string
		// Step is the move's step under which the requests were routed, and Share the new
		// version's share that the daemon served. Requests with an equal step and share were split
		// in constant parts, so that both versions are compared over the same time.
		Step  int
		Share float64
		// Requests counts requests that ended, without those under Excluded.
		Requests int64
		// Failures are the version's own; a crash of an endpoint counts once.
		Failures int64
		// Excused counts failures that were attributed to a request afterwards.
		Excused int64
		// Slow counts requests that were slow in either way.
		Slow int64
		// SlowFirst counts requests whose first token came after the route's target.
		SlowFirst int64
		// SlowGaps counts requests whose mean gap between tokens was over the route's target.
		SlowGaps int64
		// Excluded counts failures that are not the version's own. It includes
		// Interrupted and RequestCrashes; the rest are reclaims and lost data centres.
		Excluded int64
		// Interrupted counts interrupted connections.
		Interrupted int64
		// RequestCrashes counts crashes of endpoints that were attributed to a request.
		RequestCrashes int64
	}

	// Alarm is a local stop that peers take over at once.
	Alarm struct {
		// Kind is "Version" or "Quarantine".
		Kind string
		// Subject is the move or the fingerprint.
		Subject  string
		Account  string
		Reason   string
		Deadline time.Time
	}

	// DigestEntry is one daemon's summary.
	DigestEntry struct {
		Process     string
		Incarnation string
		// Sequence rises with each entry of an incarnation.
		Sequence int64
		// Next is the control offset up to which the daemon has folded.
		Next int64
		// TailDeadline is the time until which the daemon's last tail read counts.
		TailDeadline time.Time
		Draining     bool
		Uses         []AccountUse
		Placements   []Placement
		Evidence     []Evidence
	}

	// Digest is what daemons send to each other about themselves and others.
	Digest struct {
		From    string
		Time    time.Time
		Entries []DigestEntry
		// Leaving lists instances that are leaving, for good.
		Leaving []string
		Alarms  []Alarm
	}

	// DigestReply answers a digest with the receiver's own entry.
	DigestReply struct {
		Entry DigestEntry
		// Time is the receiver's time of the answer. TailDeadline less Time is what is left
		// of its lease, whatever the difference between the two clocks.
		Time time.Time
	}
)

const (
	// ProgressTaken says: the update is kept.
	ProgressTaken ProgressStatus = "Taken"
	// ProgressStale says: a higher epoch is known; the sender must stop serving the request.
	ProgressStale ProgressStatus = "Stale"
	// ProgressMissing says: the record is not here or lacks earlier tokens; send it whole.
	ProgressMissing ProgressStatus = "Missing"
	// ProgressFull says: the holder has no room for another record.
	ProgressFull ProgressStatus = "Full"
)
