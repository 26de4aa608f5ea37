package wire

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// LogAppend appends records to a stream atomically and in order.
	// POST /streams/{stream}/records.
	LogAppend struct {
		Records []LogPayload `json:"Records"`
	}

	// LogPayload is the writer's part of a record.
	LogPayload struct {
		// ID is unique to the record. A repeated append adds a second record with the same ID.
		ID   string          `json:"Id"`
		Data json.RawMessage `json:"Data"`
	}

	// LogAppendReply is the reply to a LogAppend.
	LogAppendReply struct {
		// First is the offset of the first appended record.
		First int64 `json:"First"`
	}

	// LogRecord is a stored record.
	LogRecord struct {
		Offset int64 `json:"Offset"`
		// Time is the time of the append by the log's clock.
		Time time.Time       `json:"Time"`
		ID   string          `json:"Id"`
		Data json.RawMessage `json:"Data"`
	}

	// LogPage is the reply to a read. GET /streams/{stream}/records?from=N&max=M&wait=MS.
	// With wait, the log delays the reply for up to that many milliseconds until there is
	// a record at the offset from.
	LogPage struct {
		Records []LogRecord `json:"Records"`
		// Oldest is the lowest offset that is still retained.
		Oldest int64 `json:"Oldest"`
		// Next is the offset of the stream's next record.
		Next int64 `json:"Next"`
	}

	// LogInfo describes the log service. GET /info.
	LogInfo struct {
		// RetentionSeconds is the time for which records are retained.
		RetentionSeconds float64 `json:"RetentionSeconds"`
	}
)

// Check returns an error if there are no records or a record lacks its ID or data.
func (a LogAppend) Check() error {
	if len(a.Records) == 0 {
		return eris.New("no records")
	}
	for _, r := range a.Records {
		if r.ID == "" || len(r.Data) == 0 {
			return eris.New("a record lacks Id or Data")
		}
	}
	return nil
}
