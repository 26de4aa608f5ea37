package answer

import (
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// Reason is why an answer was rejected. It is a part of the names of metrics.
type Reason string

const (
	// Accepted: the error says nothing about an answer.
	Accepted Reason = ""
	// Malformed, TooLarge, NoRoom and Reset are those of ErrMalformed, ErrTooLarge, ErrNoRoom and ErrReset.
	Malformed Reason = "Malformed"
	TooLarge  Reason = "TooLarge"
	NoRoom    Reason = "NoRoom"
	Reset     Reason = "Reset"
	// Truncated: the peer has ended the connection within the answer.
	Truncated Reason = "Truncated"
)

// errNothing reports a connection that was lost before the first byte of an answer, so that there is none to reject.
var errNothing = eris.New("no answer")

// ReasonOf returns why an answer was rejected, by an error of this package; Accepted for any other error and for nil.
func ReasonOf(err error) Reason {
	switch {
	case err == nil || errors.Is(err, errNothing):
		return Accepted
	case errors.Is(err, ErrMalformed):
		return Malformed
	case errors.Is(err, ErrTooLarge):
		return TooLarge
	case errors.Is(err, ErrNoRoom):
		return NoRoom
	case errors.Is(err, ErrReset):
		return Reset
	case errors.Is(err, io.ErrUnexpectedEOF):
		return Truncated
	}
	return Accepted
}
