// Package wire defines the messages that processes exchange.
//
// Each file covers the protocol of one or more services: the log, the platform (instance list
// and cloud API), the engines and their callers, the plain services, the operators and the
// peers. Field names are in Pascal case, except in chat completions and their server-sent
// events, which follow the existing format of callers and engines.
//
// # Usage
//
//	request, err := wire.Decode[wire.ChatRequest](body)
//
// Decode validates a message that has a Check method, so that the code that receives it can
// rely on its fields.
package wire

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Header names that callers and daemons use.
const (
	HeaderRequestID      = "Request-Id"
	HeaderAttemptID      = "Attempt-Id"
	HeaderLastEventID    = "Last-Event-ID"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderFencingNumber  = "Fencing-Number"
	HeaderDeadline       = "Deadline"
	HeaderPriority       = "Priority"
	HeaderSupersedes     = "Supersedes"
	HeaderKVHandle       = "Kv-Handle"
	HeaderVersion        = "Version"
	HeaderDaemon         = "Daemon"
	HeaderReplayed       = "Replayed"
)

// DeadlineLayout is the time layout of the Deadline header.
const DeadlineLayout = time.RFC3339Nano

// ErrMessage reports a message that can't be decoded or is invalid.
var ErrMessage = eris.New("invalid message")

// checker is a message that validates itself.
type checker interface {
	Check() error
}

// Decode decodes a JSON message and validates it if it has a Check method. The error wraps
// ErrMessage and describes the fault.
func Decode[T any](data []byte) (T, error) {
	var message T
	if err := json.Unmarshal(data, &message); err != nil {
		return message, eris.Wrap(ErrMessage, err.Error())
	}
	if c, ok := any(message).(checker); ok {
		if err := c.Check(); err != nil {
			return message, eris.Wrap(ErrMessage, err.Error())
		}
	}
	return message, nil
}
