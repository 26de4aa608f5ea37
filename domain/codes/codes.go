// Package codes defines the numbered result codes and the refusals that carry them.
//
// # Usage
//
//	return codes.Refuse(codes.NoEndpoint, "no endpoint of route stock-question is ready").
//		WithRetryAt(now.Add(time.Second))
//
// docs/CODES.md lists the same codes. A refusal with the outcome NotRun guarantees that the
// work was not sent to an endpoint and that no process will send it later.
package codes

import (
	"fmt"
	"net/http"
	"time"
)

type (
	// Code is a numbered result code.
	Code int

	// Outcome tells the caller whether refused work may have run.
	Outcome string

	// Info describes a code.
	Info struct {
		Name       string
		HTTPStatus int
		Outcome    Outcome
		// Meaning is the description in docs/CODES.md.
		Meaning string
	}

	// Refusal is an error with a result code. It is also the JSON body of a refused request.
	Refusal struct {
		Code    Code    `json:"Code"`
		Name    string  `json:"Name"`
		Message string  `json:"Message"`
		NotRun  bool    `json:"NotRun"`
		Outcome Outcome `json:"Outcome"`
		// RetryAt is the earliest time at which a retry makes sense; zero means that a retry
		// with the same input can't succeed.
		RetryAt time.Time `json:"RetryAt,omitzero"`
	}
)

const (
	// NotRun means that the work was not run and will not be run.
	NotRun Outcome = "NotRun"
	// Unknown means that the work may have been run, or may still run.
	Unknown Outcome = "Unknown"
)

// Result codes. The ranges are: 1000 for faults in the caller's request, 2000 for limits, 3000
// for the state of the system, 4000 for unknown outcomes and 5000 for operator calls.
const (
	BadRequest         Code = 1001
	Unauthorized       Code = 1002
	RouteUnknown       Code = 1003
	KeyMissing         Code = 1004
	KeyReused          Code = 1005
	KeyInFuture        Code = 1006
	RequestUnknown     Code = 1007
	RequestIDReused    Code = 1008
	Quarantined        Code = 1009
	BodyTooLarge       Code = 1010
	BodyTooSlow        Code = 1012
	KeyFormat          Code = 1011
	AccountLimit       Code = 2001
	QueueFull          Code = 2002
	DeadlineTooShort   Code = 2003
	Superseded         Code = 2004
	RetryBudget        Code = 2005
	DeadlinePassed     Code = 2006
	NoRoom             Code = 2007
	NoEndpoint         Code = 3001
	ConfigUnknown      Code = 3002
	Draining           Code = 3003
	LogUnavailable     Code = 3004
	NoHolder           Code = 3005
	ClaimGivenUp       Code = 3006
	OutcomeUnknown     Code = 4001
	KeyExpired         Code = 4002
	AnswerTooLarge     Code = 4003
	Moved              Code = 4004
	AnswerIncomplete   Code = 4005
	TableInvalid       Code = 5001
	RowClash           Code = 5002
	ChangePending      Code = 5003
	ChangeUnknown      Code = 5004
	DeadlineInfeasible Code = 5005
)

// infos describes every code. A test checks docs/CODES.md against it.
var infos = map[Code]Info{
	BadRequest:         {"BadRequest", http.StatusBadRequest, NotRun, "The request can't be read or a field is invalid."},
	Unauthorized:       {"Unauthorized", http.StatusUnauthorized, NotRun, "The key is missing or belongs to no account or operator."},
	RouteUnknown:       {"RouteUnknown", http.StatusNotFound, NotRun, "The table has no such route for this account."},
	KeyMissing:         {"KeyMissing", http.StatusBadRequest, NotRun, "A call that must not repeat lacks its Idempotency-Key."},
	KeyReused:          {"KeyReused", http.StatusUnprocessableEntity, NotRun, "The Idempotency-Key was used before with another body."},
	KeyInFuture:        {"KeyInFuture", http.StatusBadRequest, Unknown, "The Idempotency-Key's time lies in the future; check the caller's clock."},
	KeyFormat:          {"KeyFormat", http.StatusBadRequest, NotRun, "The Idempotency-Key is not a UUID of version 7."},
	RequestUnknown:     {"RequestUnknown", http.StatusNotFound, Unknown, "No daemon holds a request with this identifier for this account."},
	RequestIDReused:    {"RequestIDReused", http.StatusUnprocessableEntity, NotRun, "The Request-Id was used before with another body."},
	Quarantined:        {"Quarantined", http.StatusUnprocessableEntity, NotRun, "This request crashed several endpoints and is not run again."},
	BodyTooLarge:       {"BodyTooLarge", http.StatusRequestEntityTooLarge, NotRun, "The request body is over the limit."},
	BodyTooSlow:        {"BodyTooSlow", http.StatusRequestTimeout, NotRun, "The request body made no progress."},
	AccountLimit:       {"AccountLimit", http.StatusTooManyRequests, NotRun, "The account is over its share or cap."},
	QueueFull:          {"QueueFull", http.StatusTooManyRequests, NotRun, "The queue for this priority is full."},
	DeadlineTooShort:   {"DeadlineTooShort", http.StatusServiceUnavailable, NotRun, "The request can't meet its deadline."},
	DeadlinePassed:     {"DeadlinePassed", http.StatusGatewayTimeout, NotRun, "The deadline passed before the request was sent."},
	NoRoom:             {"NoRoom", http.StatusServiceUnavailable, NotRun, "The daemon has no room for the request body at present."},
	Superseded:         {"Superseded", http.StatusConflict, NotRun, "A newer request of the caller replaced this one; its answer is not needed."},
	RetryBudget:        {"RetryBudget", http.StatusServiceUnavailable, NotRun, "The retry budget is used up."},
	NoEndpoint:         {"NoEndpoint", http.StatusServiceUnavailable, NotRun, "No endpoint of the route is ready."},
	ConfigUnknown:      {"ConfigUnknown", http.StatusServiceUnavailable, NotRun, "The daemon can't confirm that its table is current."},
	Draining:           {"Draining", http.StatusServiceUnavailable, NotRun, "The daemon is shutting down; another one takes the request."},
	LogUnavailable:     {"LogUnavailable", http.StatusServiceUnavailable, NotRun, "The log is out, so that a call that must not repeat can't be claimed."},
	NoHolder:           {"NoHolder", http.StatusServiceUnavailable, NotRun, "No other daemon can hold a copy of the request."},
	ClaimGivenUp:       {"ClaimGivenUp", http.StatusServiceUnavailable, NotRun, "The daemon gave up its claim before it sent anything."},
	OutcomeUnknown:     {"OutcomeUnknown", http.StatusGatewayTimeout, Unknown, "The call may have been run; check its status at the service."},
	KeyExpired:         {"KeyExpired", http.StatusGone, Unknown, "The Idempotency-Key is too old to tell whether it was used."},
	AnswerTooLarge:     {"AnswerTooLarge", http.StatusConflict, Unknown, "The call was run, but its answer was too large to keep."},
	Moved:              {"Moved", http.StatusServiceUnavailable, Unknown, "The request goes on at another daemon; reconnect with its identifier."},
	AnswerIncomplete:   {"AnswerIncomplete", http.StatusBadGateway, Unknown, "The answer can't be completed before its deadline."},
	TableInvalid:       {"TableInvalid", http.StatusUnprocessableEntity, NotRun, "The table or change has errors; each is named by row, column and line."},
	RowClash:           {"RowClash", http.StatusConflict, NotRun, "Another change of the same rows came first."},
	ChangePending:      {"ChangePending", http.StatusAccepted, Unknown, "The change is on the log but not yet confirmed by all daemons."},
	ChangeUnknown:      {"ChangeUnknown", http.StatusGatewayTimeout, Unknown, "The log did not say whether it took the change; publish it again with the same identifier."},
	DeadlineInfeasible: {"DeadlineInfeasible", http.StatusUnprocessableEntity, NotRun, "A version move can't finish by its deadline at the present traffic."},
}

// All returns a copy of the descriptions of all codes.
func All() map[Code]Info {
	copied := make(map[Code]Info, len(infos))
	for c, i := range infos {
		copied[c] = i
	}
	return copied
}

// Info returns the description of the code.
func (c Code) Info() Info { return infos[c] }

// Refuse returns a refusal with the code, its outcome and a formatted message.
func Refuse(code Code, format string, arguments ...any) *Refusal {
	info := code.Info()
	return &Refusal{
		Code:    code,
		Name:    info.Name,
		Message: fmt.Sprintf(format, arguments...),
		NotRun:  info.Outcome == NotRun,
		Outcome: info.Outcome,
	}
}

// Error returns the code, its name and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%d %s: %s", r.Code, r.Name, r.Message)
}

// HTTPStatus returns the HTTP response status of the code.
func (r *Refusal) HTTPStatus() int { return r.Code.Info().HTTPStatus }

// WithRetryAt returns a copy of the refusal with the earliest time for a retry.
func (r *Refusal) WithRetryAt(at time.Time) *Refusal {
	next := *r
	next.RetryAt = at
	return &next
}

// WithOutcomeUnknown returns a copy of the refusal with an unknown outcome. It is for codes
// whose default outcome is NotRun.
func (r *Refusal) WithOutcomeUnknown() *Refusal {
	next := *r
	next.NotRun = false
	next.Outcome = Unknown
	return &next
}
