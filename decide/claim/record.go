// Package claim decides which daemon may send an unrepeatable call and how each caller is
// answered.
//
// The order of the log is authoritative: the first Claim or Close record of an account and key
// decides the key permanently. Index applies the records of one shard stream. Call is the state
// machine of one call at one daemon; it receives messages, returns commands and does no I/O.
//
// # Usage
//
//	index := claim.NewIndex(window, maxResultBytes)
//	changed, lost := index.ApplyPage(page)
//	call := claim.NewCall(claim.Settings{...})
//	call, commands := call.Update(claim.Arrived{Now: now, Waiter: waiter})
//
// The caller executes the commands and reports their results as messages. Every message carries
// the current time, so that a pause before the message is detected.
package claim

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"
)

type (
	// Kind is the type of a record.
	Kind string

	// Record is a record of a claim shard. Claim and Close records may decide a key; Done and
	// Abandoned records end the claim with the identifier ClaimID.
	Record struct {
		Kind    Kind   `json:"Kind"`
		Account string `json:"Account"`
		Key     string `json:"Key"`
		// ClaimID is the record identifier of the claim that a Done or Abandoned record ends.
		ClaimID string `json:"ClaimId,omitempty"`
		// BodyHash is the hash of the claimed call, from HashCall.
		BodyHash string `json:"BodyHash,omitempty"`
		// Incarnation identifies the process of the daemon that may send.
		Incarnation ident.Incarnation `json:"Incarnation,omitempty"`
		// Deadline is the caller's deadline; the winner does not start sending after it.
		Deadline time.Time `json:"Deadline,omitzero"`
		// Status and Result are the service's answer.
		Status int    `json:"Status,omitempty"`
		Result []byte `json:"Result,omitempty"`
		// TooLarge reports that the result exceeded MaxResult and was not stored.
		TooLarge bool `json:"TooLarge,omitempty"`
	}
)

const (
	// ClaimRecord allows one incarnation to send the call once.
	ClaimRecord Kind = "Claim"
	// CloseRecord prevents any call with the key from running.
	CloseRecord Kind = "Close"
	// DoneRecord stores the service's answer.
	DoneRecord Kind = "Done"
	// AbandonedRecord states that the winner has not sent the call and never will.
	AbandonedRecord Kind = "Abandoned"

	// MaxResult is the maximum size of a result in a Done record, in bytes.
	MaxResult = 16 << 10
)

// ErrRecord reports a record that cannot be encoded or decoded, or that lacks a required field.
var ErrRecord = eris.New("invalid claim record")

// HashCall returns the hash that distinguishes two calls with the same key. It covers the route,
// method and path as well as the body, since a key that is reused for another path would otherwise
// return the result of the first path.
func HashCall(request wire.CallRequest) string {
	target := strings.Join([]string{request.Route, request.Method, request.Path}, "\x00")
	return ident.Fingerprint(request.Account+"\x00"+target, request.Body)
}

// Check returns an error if the record lacks a field that its kind requires, or if its result is
// larger than MaxResult.
func (r Record) Check() error {
	if r.Account == "" {
		return eris.New("Account is missing")
	}
	if _, err := ident.KeyTime(r.Key); err != nil {
		return err
	}
	switch r.Kind {
	case ClaimRecord:
		if r.BodyHash == "" || r.Incarnation == "" || r.Deadline.IsZero() {
			return eris.New("claim record without BodyHash, Incarnation or Deadline")
		}
	case CloseRecord:
	case DoneRecord:
		if r.ClaimID == "" || r.Status == 0 {
			return eris.New("done record without ClaimId or Status")
		}
		if len(r.Result) > MaxResult {
			return eris.Errorf("done record with a result of %d bytes, more than the maximum of %d", len(r.Result), MaxResult)
		}
	case AbandonedRecord:
		if r.ClaimID == "" {
			return eris.New("abandoned record without ClaimId")
		}
	default:
		return eris.Errorf("unknown record kind %q", r.Kind)
	}
	return nil
}

// Decode decodes a record and checks it. Errors wrap ErrRecord.
func Decode(data []byte) (Record, error) {
	record, err := wire.Decode[Record](data)
	if err != nil {
		return Record{}, eris.Wrap(ErrRecord, err.Error())
	}
	return record, nil
}

// Encode returns the record as JSON. Errors wrap ErrRecord.
func (r Record) Encode() (json.RawMessage, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, eris.Wrap(ErrRecord, err.Error())
	}
	return data, nil
}
