package entry

import (
	"sync"
	"time"

	"lentilstage.dev/decide/hold"
	"lentilstage.dev/wire/wire"
)

// holder stores the copies that this daemon holds of other daemons' requests.
type holder struct {
	base *Base

	mu    sync.Mutex
	store hold.Store
}

const (
	// copyRetention is how long a copy is kept after its last update. It exceeds the longest
	// deadline of a model request, because an engine may be silent for long before the first token.
	copyRetention = maxModelTimeout + answerRetention
	// holdTimeout bounds a call that stores or updates a copy. Until the call returns, the caller
	// gets no new token of the request.
	holdTimeout = 500 * time.Millisecond
)

func newHolder(b *Base) *holder {
	return &holder{base: b, store: hold.NewStore(hold.Limits{
		MaxRecords:   b.Settings.MaxHeldRequests,
		MaxBytes:     b.Settings.MaxHeldMiB << 20,
		KeepPeriod:   copyRetention,
		AnswerPeriod: answerRetention,
	})}
}

// update applies a message to the store and returns the resulting commands.
func (h *holder) update(message hold.StoreMessage) []hold.StoreCommand {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, commands := h.store.Update(message)
	h.store = next
	return commands
}

// expire removes expired copies.
func (h *holder) expire() { h.update(hold.ExpiryTick{Now: h.base.Now()}) }

// count returns the number of copies.
func (h *holder) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.store.Len()
}

// lookup returns the account's copies of a request.
func (h *holder) lookup(account, id string) wire.LookupReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	copies := h.store.Lookup(account, id)
	if len(copies) == 0 {
		return wire.LookupReply{}
	}
	return wire.LookupReply{Held: true, Record: copies[0], Former: copies[1:]}
}

// hold stores a whole record. An acknowledged record is also stored next to a copy that ranks
// before it.
func (h *holder) hold(record wire.HeldRequest, acknowledged bool) wire.HoldReply {
	for _, c := range h.update(hold.StoreRequested{Now: h.base.Now(), Record: record, Acknowledged: acknowledged}) {
		if answer, ok := c.(hold.StoreResult); ok {
			return answer.Reply
		}
	}
	return wire.HoldReply{Status: wire.ProgressFull}
}

// progress appends the tokens of a batch to the held records.
func (h *holder) progress(batch wire.ProgressBatch) []wire.ProgressStatus {
	statuses := make([]wire.ProgressStatus, 0, len(batch.Updates))
	for _, u := range batch.Updates {
		status := wire.ProgressMissing
		for _, c := range h.update(hold.ProgressReceived{Now: h.base.Now(), Update: u}) {
			if answer, ok := c.(hold.ProgressResult); ok {
				status = answer.Status
			}
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// takeOver hands a record over to a new owner.
func (h *holder) takeOver(request wire.TakeOverRequest) wire.TakeOverReply {
	for _, c := range h.update(hold.TakeOverRequested{Now: h.base.Now(), Request: request}) {
		if answer, ok := c.(hold.TakeOverResult); ok {
			return answer.Reply
		}
	}
	return wire.TakeOverReply{}
}
