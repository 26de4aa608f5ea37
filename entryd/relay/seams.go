package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/shift"
	"lentilstage.dev/domain/setup"
)

type (
	// Stream names a stream of records on the platform's log. Each record has a key, and the
	// newest record of each key is kept.
	Stream string

	// Record is one record of a stream.
	Record struct {
		Offset int64  `json:"Offset"`
		Key    string `json:"Key"`
		// Value is nil for a deleted key.
		Value []byte `json:"Value"`
	}

	// Page is a run of records. End is the offset after the stream's newest record.
	Page struct {
		Records []Record
		End     int64
	}

	// Store reaches the platform's log. Reads are safe to repeat.
	Store struct {
		// Read returns the records from an offset on and waits for one up to the given time. It
		// returns ErrTrimmed if records from there on are gone.
		Read func(ctx context.Context, stream Stream, from int64, wait time.Duration) (Page, error)
		// Newest returns the newest record of each key and the end before the first of them was
		// read.
		Newest func(ctx context.Context, stream Stream) (Page, error)
		// Append adds a record if the stream ends at the offset; AnyOffset has no condition. It
		// returns the new end, ErrConflict if the stream ends elsewhere, ErrUnavailable if
		// nothing was done. After any other error the record may be there or come later.
		Append func(ctx context.Context, stream Stream, at int64, key string, value []byte) (int64, error)
	}

	// Mandate names the holder of a duty and its fencing number in a call.
	Mandate struct {
		Holder string
		Fence  int64
	}

	// Order asks for a number of endpoints of a service in a data centre.
	Order struct {
		Service     string
		DataCentre  string
		Count       int
		Reclaimable bool
	}

	// Cloud reaches the platform's API.
	Cloud struct {
		// ReportUsage tells the requests of each account in a window. The same report may be
		// sent again.
		ReportUsage func(ctx context.Context, m Mandate, window int64, counts map[string]int64) error
		// OrderEndpoints sets a number of endpoints. It returns ErrNoneAvailable if there are
		// none to be had now.
		OrderEndpoints func(ctx context.Context, m Mandate, o Order) error
	}

	// Call is a caller's request as the adapter read it.
	Call struct {
		ID     string
		Method string
		Host   string
		// Target is the request target as the caller sent it, Path its path.
		Target string
		Path   string
		Key    string
		// Deadline is when the caller stops waiting; zero if it has not said.
		Deadline time.Time
		// LastEvent is the last event that the caller has; empty for a stream from its start.
		LastEvent string
		// Parts are the parts of the prompt in order; the last belongs to this request.
		Parts []choice.Part
		// PromptTokens and AnswerTokens are what the request may use; 0 if not stated.
		PromptTokens, AnswerTokens int
		// AnswerHint is the caller's estimate of the answer's tokens; 0 without one.
		AnswerHint int
		// Header holds what is passed on unchanged.
		Header http.Header
		Body   []byte
	}

	// Rollout is an order of the operators to move a service to a version.
	Rollout struct {
		Service string
		Target  string
		// Length is the time within which it must have ended.
		Length time.Duration
	}

	// Send is what the daemon adds to a call for one endpoint.
	Send struct {
		Endpoint string
		Account  string
		Deadline time.Time
		Now      time.Time
		// LastEvent is the last event that the caller has got.
		LastEvent string
		// Priority is 0 for the most urgent; negative to leave it out.
		Priority int
		// Source is the address of the endpoint from which this one should fetch what it does not keep
		// of the prompt; empty for none.
		Source string
	}

	// Reply is what an endpoint's answer says of itself.
	Reply struct {
		CallID string
		// NotRun says that the endpoint has not run the request and won't.
		NotRun bool
		// Misdirected says that another endpoint has the address; NotRun is then set too.
		Misdirected bool
		// Signed says that the answer bears an endpoint's signature.
		Signed bool
	}

	// Codec translates between the platform's messages and the daemon's types.
	Codec struct {
		// ReadCall reads all but the body of a caller's request.
		ReadCall func(r *http.Request, now time.Time) (Call, error)
		// SendHeader returns the header of a call to an endpoint.
		SendHeader func(c Call, s Send) http.Header
		// ReadReply reads an endpoint's answer.
		ReadReply func(status int, header http.Header) Reply
		// RefuseHeader returns the header of an own answer. A zero time leaves out when to come
		// back.
		RefuseHeader func(c Call, retryAt, now time.Time) http.Header
		// Config reads a record of Operators. It returns ErrOtherRecord for one that holds
		// something else.
		Config func(r Record) (*setup.Config, error)
		// Rollout reads a record of Operators that orders a roll-out. It returns ErrOtherRecord
		// for one that holds something else.
		Rollout func(r Record) (Rollout, error)
		// RolloutStatus returns the record that tells the operators how a roll-out stands.
		RolloutStatus func(r Rollout, v shift.Verdict) (key string, value []byte, err error)
		// Endpoint reads a record of Endpoints.
		Endpoint func(r Record, now time.Time) (setup.Endpoint, error)
	}
)

const (
	// Operators and Endpoints are written by the platform's operators and endpoints, the others
	// by the daemons; the operators read Status.
	Operators Stream = "Operators"
	Endpoints Stream = "Endpoints"
	Daemons   Stream = "Daemons"
	Duties    Stream = "Duties"
	Usage     Stream = "Usage"
	Status    Stream = "Status"

	// AnyOffset appends without a condition.
	AnyOffset int64 = -1
)

var (
	// ErrTrimmed says that the asked records are not kept any more.
	ErrTrimmed = eris.New("records are no longer kept")
	// ErrConflict says that a condition did not hold and nothing was appended.
	ErrConflict = eris.New("the stream ends at another offset")
	// ErrUnavailable says that the platform refused a call and did nothing.
	ErrUnavailable = eris.New("the platform refused the call")
	// ErrOtherRecord says that a record holds something that this daemon doesn't use.
	ErrOtherRecord = eris.New("record of another kind")
	// ErrNoneAvailable says that an order can't be met now.
	ErrNoneAvailable = eris.New("no endpoints available")
	// ErrSettings reports settings that can't be used.
	ErrSettings = eris.New("invalid settings")
)
