package entry

import (
	"sync"

	"lentilstage.dev/decide/hold"
	"lentilstage.dev/domain/codes"
)

type (
	// callerQueue buffers the items to be sent to one connection. The request adds items and the
	// connection removes them. The length of the answer bounds the queue.
	callerQueue struct {
		mu      sync.Mutex
		items   []callerItem
		changed chan struct{}
	}

	// callerItem is one step of an answer: acceptance, tokens or the end.
	callerItem struct {
		Accepted bool
		Offset   int
		Tokens   []string
		Branch   string
		End      bool
		Finish   string
		Code     codes.Code
	}
)

func newCallerQueue() *callerQueue {
	return &callerQueue{changed: make(chan struct{}, 1)}
}

// put adds an item and wakes the connection.
func (q *callerQueue) put(item callerItem) {
	q.mu.Lock()
	q.items = append(q.items, item)
	q.mu.Unlock()
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// take removes and returns all queued items.
func (q *callerQueue) take() []callerItem {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

// itemFromCommand converts a command that is addressed to a caller. It returns the caller's ID and
// the item, or false for any other command.
func itemFromCommand(command hold.OwnerCommand) (int64, callerItem, bool) {
	switch c := command.(type) {
	case hold.SendAccepted:
		return c.Caller, callerItem{Accepted: true}, true
	case hold.SendTokens:
		return c.Caller, callerItem{Offset: c.Offset, Tokens: c.Tokens, Branch: c.Branch}, true
	case hold.SendEnd:
		return c.Caller, callerItem{End: true, Finish: c.Finish, Code: c.Code}, true
	}
	return 0, callerItem{}, false
}
