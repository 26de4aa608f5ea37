package hold

import (
	"fmt"
	"testing"
	"time"

	"lentilstage.dev/wire/wire"
)

// TestFinishedRecordsAreEvicted guards against a store that fills up with finished answers and then
// rejects every new request, and against one that evicts a request in progress.
func TestFinishedRecordsAreEvicted(t *testing.T) {
	now := time.Unix(1000, 0)
	store := NewStore(Limits{MaxRecords: 3, MaxBytes: 1 << 20, KeepPeriod: time.Hour, AnswerPeriod: time.Hour})
	keep := func(id, finish string) wire.ProgressStatus {
		next, commands := store.Update(StoreRequested{Now: now, Record: wire.HeldRequest{
			RequestID: id, Epoch: 1, Finish: finish, Branches: []wire.Branch{{ID: id}},
		}})
		store = next
		return commands[0].(StoreResult).Reply.Status
	}
	keep("running", "")
	for n := range 5 {
		if status := keep(fmt.Sprint("finished-", n), wire.FinishStop); status != wire.ProgressTaken {
			t.Fatalf("finished record %d: status is %s, want Taken", n, status)
		}
	}
	if len(store.Lookup("", "running")) == 0 {
		t.Fatal("the request in progress was evicted")
	}
	keep("second", "")
	keep("third", "")
	if status := keep("fourth", ""); status != wire.ProgressFull {
		t.Fatalf("fourth request in progress: status is %s, want Full", status)
	}
}

// TestExpiryRemovesFinishedIDs guards against an eviction queue that grows without bound in a store
// that never fills up.
func TestExpiryRemovesFinishedIDs(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	store := NewStore(Limits{MaxRecords: 10, MaxBytes: 1 << 20, KeepPeriod: time.Minute, AnswerPeriod: time.Minute})
	for range 50 {
		now = now.Add(2 * time.Minute)
		record := wire.HeldRequest{RequestID: now.String(), Account: "a", Epoch: 1, Finish: "stop"}
		store, _ = store.Update(StoreRequested{Now: now, Record: record})
		store, _ = store.Update(ExpiryTick{Now: now.Add(90 * time.Second)})
	}
	if len(store.finishedIDs) != 0 || store.Len() != 0 || store.Bytes() != 0 {
		t.Fatalf(
			"after expiry the store has %d queued identifiers, %d records and %d bytes",
			len(store.finishedIDs), store.Len(), store.Bytes(),
		)
	}
}
