package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/shift"
	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
	"lentilstage.dev/entryd/gate"
)

type (
	// Stream names a stream of records in the platform's log. Each record has a key, and the newest
	// record of each key is kept.
	Stream string

	// Record is one record of a stream.
	Record struct {
		// Era is the era of the log in which the record was read.
		Era    int64  `json:"Era,omitempty"`
		Offset int64  `json:"Offset"`
		Key    string `json:"Key"`
		// Value is nil for a deleted key.
		Value []byte `json:"Value"`
	}

	// Page is a sequence of records. End is the position after the stream's newest record.
	Page struct {
		Records []Record
		End     value.Position
	}

	// Store accesses the platform's log. Reads are safe to repeat. Positions have the era of the log at the
	// time of the response; a log that was restored from a copy begins a new era.
	Store struct {
		// Read returns the records from an offset on. If there are none, it waits for one up to the
		// given time. It returns ErrTrimmed if records from the offset on are no longer kept, or the
		// stream ends before the offset.
		Read func(ctx context.Context, stream Stream, from int64, wait time.Duration) (Page, error)
		// Newest returns the newest record of each key. End is the stream's end before the first of
		// them was read.
		Newest func(ctx context.Context, stream Stream) (Page, error)
		// Append adds a record if the stream ends at the offset; AnyOffset has no condition. It
		// returns the new end, ErrConflict if the stream ends elsewhere, or ErrUnavailable if nothing
		// was done. After any other error the record may exist or appear later.
		Append func(ctx context.Context, stream Stream, at int64, key string, value []byte) (value.Position, error)
	}

	// HeldLease identifies the lease under which a call is made, by its holder and fencing number.
	HeldLease struct {
		Holder string
		Fence  int64
	}

	// EndpointOrder requests a number of endpoints of a service in a data centre.
	EndpointOrder struct {
		Service     string
		DataCentre  string
		Count       int
		Reclaimable bool
	}

	// Cloud accesses the platform's API.
	Cloud struct {
		// ReportUsage reports the requests of each client account in a usage window. The same report
		// may be sent again.
		ReportUsage func(ctx context.Context, m HeldLease, window int64, counts map[string]int64) error
		// OrderEndpoints sets the number of endpoints. It returns ErrNoneAvailable if the platform
		// has none available at present.
		OrderEndpoints func(ctx context.Context, m HeldLease, o EndpointOrder) error
	}

	// Call is a caller's request as the adapter read it.
	Call struct {
		ID     string
		Method string
		Host   string
		// Target is the request target as the caller sent it, Path its path. Credential is the API key
		// that identifies the client account.
		Target     string
		Path       string
		Credential string
		// Deadline is when the caller stops waiting; zero if not stated.
		Deadline time.Time
		// LastEventID is the last event that the caller has received; empty for a stream from its
		// start.
		LastEventID string
		// Parts are the parts of the prompt in order; the last one belongs to this request only.
		Parts []choice.Part
		// PromptTokens and AnswerTokens limit the tokens of the request; 0 if not stated.
		PromptTokens, AnswerTokens int
		// AnswerHint is the caller's estimate of the response's tokens; 0 if not stated.
		AnswerHint int
		// Header holds the headers that are forwarded unchanged.
		Header http.Header
		Body   *gate.Body
	}

	// Rollout is an operators' order to move a service to a version.
	Rollout struct {
		Service string
		Target  string
		// TimeLimit is the time within which the roll-out must have ended.
		TimeLimit time.Duration
	}

	// AttemptInfo is what the daemon adds to a call for one endpoint.
	AttemptInfo struct {
		Endpoint string
		Account  string
		Deadline time.Time
		Now      time.Time
		// LastEventID is the last event that was sent to the caller.
		LastEventID string
		// Priority is 0 for the most urgent; if negative, it is left out.
		Priority int
		// Source is the address of the endpoint from which this one should fetch the parts of the
		// prompt that it has not cached; empty for none.
		Source string
	}

	// Reply is what the head of an endpoint's response says about the response.
	Reply struct {
		CallID string
		// NotRun reports that the endpoint has not run the request and won't.
		NotRun bool
		// Misdirected reports that the address belongs to another endpoint; NotRun is then set too.
		Misdirected bool
		// Signed reports whether the response has an endpoint's signature.
		Signed bool
		// Leaving reports that the process that sent the response is leaving.
		Leaving bool
		// RejectsUntil is the time until which an endpoint that rejected the request wants no other one
		// from this daemon; zero if it states none.
		RejectsUntil time.Time
		// Limit is the number of requests a second that the endpoint takes from all daemons together, if it
		// names one. LimitMalformed reports that it names one that can't be read.
		Limit          value.Option[float64]
		LimitMalformed bool
		// MaxRejections is the number of requests a second that the endpoint may have to turn away, from all daemons
		// together, without falling over, if it is brittle. MaxRejectionsMalformed reports that it names one that can't
		// be read.
		MaxRejections          value.Option[float64]
		MaxRejectionsMalformed bool
		// WarmAt is when the process that sent the response is warm, if it states that.
		WarmAt value.Option[time.Time]
	}

	// Codec translates between the platform's messages and the daemon's types.
	Codec struct {
		// ReadCall reads a caller's request without its body.
		ReadCall func(r *http.Request, now time.Time) (Call, error)
		// RequestHeader returns the header of a request to an endpoint.
		RequestHeader func(c Call, s AttemptInfo) http.Header
		// HandOverHeader returns the header of a caller's request with which another daemon reads the same call, with the
		// deadline and the last event of the attempt.
		HandOverHeader func(header http.Header, s AttemptInfo) http.Header
		// ReadReply reads the head of an endpoint's response.
		ReadReply func(status int, header http.Header, now time.Time) Reply
		// RefusalHeader returns the header of the daemon's own responses. A zero retryAt leaves out
		// when to retry.
		RefusalHeader func(c Call, retryAt, now time.Time) http.Header
		// Config decodes a record of Operators. It returns ErrOtherRecordKind for a record of another
		// kind.
		Config func(r Record) (*setup.Config, error)
		// Rollout decodes a record of Operators that orders a roll-out. It returns ErrOtherRecordKind for
		// a record of another kind.
		Rollout func(r Record) (Rollout, error)
		// Evacuation returns the data centre whose evacuation the records of Operators with a key order, or withdraw if
		// they have no value. It returns ErrOtherRecordKind for a key of another kind.
		Evacuation func(key string) (dataCentre string, err error)
		// RolloutStatus encodes the record that reports the status of a roll-out to the operators.
		RolloutStatus func(r Rollout, v shift.Status) (key string, value []byte, err error)
		// Endpoint decodes a record of Endpoints.
		Endpoint func(r Record, now time.Time) (setup.Endpoint, error)
		// CallIDHeader is the header with the request's identifier, which refusals repeat.
		CallIDHeader string
	}
)

const (
	// Operators and Endpoints are written by the platform's operators and endpoints, the other
	// streams by the daemons. The operators read Status.
	Operators Stream = "Operators"
	Endpoints Stream = "Endpoints"
	Daemons   Stream = "Daemons"
	Leases    Stream = "Duties"
	Usage     Stream = "Usage"
	Status    Stream = "Status"
	Findings  Stream = "Findings"

	// AnyOffset appends without a condition.
	AnyOffset int64 = -1
)

// Position returns the position of the record.
func (r Record) Position() value.Position { return value.Position{Era: r.Era, Offset: r.Offset} }

var (
	// ErrTrimmed reports that the requested records are no longer kept.
	ErrTrimmed = eris.New("records are no longer kept")
	// ErrConflict reports that the stream ends at another offset and nothing was appended.
	ErrConflict = eris.New("the stream ends at another offset")
	// ErrUnavailable reports that the platform refused a call and did nothing.
	ErrUnavailable = eris.New("the platform refused the call")
	// ErrOtherRecordKind reports a record of a kind that the caller of the codec did not ask for.
	ErrOtherRecordKind = eris.New("record of another kind")
	// ErrNoneAvailable reports that an order can't be fulfilled at present.
	ErrNoneAvailable = eris.New("no endpoints available")
	// ErrInvalidSettings reports invalid settings.
	ErrInvalidSettings = eris.New("invalid settings")
)
