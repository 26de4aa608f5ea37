package entry

import (
	"sync"
	"time"

	"lentilstage.dev/decide/hold"
	"lentilstage.dev/wire/wire"
)

// holder owns the copies that this daemon holds of other daemons' requests.
type holder struct {
	base *Base

	mu    sync.Mutex
	store hold.Store
}

const (
	// holdKeep is how long a copy is kept after its latest update. It is longer than the
	// longest deadline of a model request, since an engine may be silent for long before the
	// first token.
	holdKeep = maxModelTime + answerKeep
	// holdTimeout bounds a call that holds or updates a copy. While it is open, no new token
	// of the request goes to its caller.
	holdTimeout = 500 * time.Millisecond
)

func newHolder(b *Base) *holder {
	return &holder{base: b, store: hold.NewStore(hold.Limits{
		MaxRecords:   b.Settings.MaxHeldRequests,
		MaxBytes:     b.Settings.MaxHeldMiB << 20,
		KeepPeriod:   holdKeep,
		AnswerPeriod: answerKeep,
	})}
}

// tell brings a message to the store and returns its answers.
func (h *holder) tell(message hold.StoreMessage) []hold.StoreCommand {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, commands := h.store.Update(message)
	h.store = next
	return commands
}

// expire drops the copies whose time has passed.
func (h *holder) expire() { h.tell(hold.TimePassed{Now: h.base.Now()}) }

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

// hold keeps a whole record. An acknowledged one is kept also beside a copy that ranks before it.
func (h *holder) hold(record wire.HeldRequest, acknowledged bool) wire.HoldReply {
	for _, c := range h.tell(hold.KeepAsked{Now: h.base.Now(), Record: record, Acknowledged: acknowledged}) {
		if answer, ok := c.(hold.KeepAnswer); ok {
			return answer.Reply
		}
	}
	return wire.HoldReply{Status: wire.ProgressFull}
}

// progress adds tokens to the records of a batch.
func (h *holder) progress(batch wire.ProgressBatch) []wire.ProgressStatus {
	statuses := make([]wire.ProgressStatus, 0, len(batch.Updates))
	for _, u := range batch.Updates {
		status := wire.ProgressMissing
		for _, c := range h.tell(hold.ProgressAsked{Now: h.base.Now(), Update: u}) {
			if answer, ok := c.(hold.ProgressAnswer); ok {
				status = answer.Status
			}
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// takeOver gives a record to a new owner.
func (h *holder) takeOver(request wire.TakeOverRequest) wire.TakeOverReply {
	for _, c := range h.tell(hold.TakeOverAsked{Now: h.base.Now(), Request: request}) {
		if answer, ok := c.(hold.TakeOverAnswer); ok {
			return answer.Reply
		}
	}
	return wire.TakeOverReply{}
}
