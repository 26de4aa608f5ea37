package hold

import (
	"testing"
	"time"

	"lentilstage.dev/wire/wire"
)

// TestHolderOrderPrefersAnotherDataCentre guards against an owner and a holder in the same data
// centre, where one reclaim can stop both.
func TestHolderOrderPrefersAnotherDataCentre(t *testing.T) {
	centres := map[string]string{"entry-1": "north", "entry-2": "north", "entry-3": "south", "entry-4": "west"}
	order := HolderOrder("request", "entry-1", centres)
	if len(order) != 3 || order[2] != "entry-2" {
		t.Fatalf("order is %v, want the daemon in the owner's data centre last", order)
	}
}

// TestStoreKeepsAnotherAccountsRecord guards against access across accounts: if two accounts use the
// same request identifier, neither may read or replace the other's record.
func TestStoreKeepsAnotherAccountsRecord(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	store := NewStore(Limits{MaxRecords: 4, MaxBytes: 1000, KeepPeriod: time.Minute})
	record := wire.HeldRequest{RequestID: "r", Account: "a", Fingerprint: "f", Epoch: 1, Owner: "o"}
	store, _ = store.Update(StoreRequested{Now: now, Record: record})
	other := record
	other.Account, other.Epoch = "b", 9
	store, commands := store.Update(StoreRequested{Now: now, Record: other})
	if status := commands[0].(StoreResult).Reply.Status; status != wire.ProgressStale {
		t.Fatalf("status is %s, want Stale", status)
	}
	if len(store.Lookup("b", "r")) > 0 {
		t.Fatal("account b can look up the record of account a")
	}
	_, commands = store.Update(TakeOverRequested{Now: now, Request: wire.TakeOverRequest{RequestID: "r", Account: "b"}})
	if commands[0].(TakeOverResult).Reply.Taken {
		t.Fatal("account b can take over the request of account a")
	}
}

// TestSupersededCopyIsFound guards against a caller whose tokens are no longer in any copy: two owners
// have continued a request differently, and the copy of the later one replaces the other at their
// common holder (HOLD_SEED=101, schedule 165108 of TestSearchOneDeath).
func TestSupersededCopyIsFound(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	newRecord := func(epoch int64, branch string, tokens ...string) wire.HeldRequest {
		return wire.HeldRequest{
			RequestID: "r", Account: "a", Fingerprint: "f", Epoch: epoch, Owner: branch,
			Branches: []wire.Branch{{ID: branch}}, Tokens: tokens,
		}
	}
	earlier, later := newRecord(3, "b-3", "x", "y"), newRecord(4, "b-4")
	for name, messages := range map[string][]StoreMessage{
		"replaced by a later record": {StoreRequested{Now: now, Record: earlier}, StoreRequested{Now: now, Record: later}},
		"copy of a stopped owner":    {StoreRequested{Now: now, Record: later}, StoreRequested{Now: now, Record: earlier, Acknowledged: true}},
	} {
		store := NewStore(Limits{MaxRecords: 1, MaxBytes: 1000, KeepPeriod: time.Minute})
		for _, m := range messages {
			store, _ = store.Update(m)
		}
		copies := store.Lookup("a", "r")
		i := ChooseCopy(copies, Position{Tokens: 2, Branch: "b-3"})
		if i < 0 {
			t.Errorf("%s: no copy covers the caller's tokens", name)
			continue
		}
		request := wire.TakeOverRequest{RequestID: "r", Account: "a", NewOwner: "n", Branch: LastBranch(copies[i])}
		store, commands := store.Update(TakeOverRequested{Now: now, Request: request})
		reply := commands[0].(TakeOverResult).Reply
		if !reply.Taken || len(reply.Record.Tokens) != 2 || reply.Record.Epoch != 5 {
			t.Errorf("%s: taken over is %t with %+v, want both tokens and epoch 5", name, reply.Taken, reply.Record)
		}
		next, _ := store.Update(ExpiryTick{Now: now.Add(2 * time.Minute)})
		if next.Len() != 0 || next.Bytes() != 0 || len(next.superseded) != 0 {
			t.Errorf(
				"%s: %d records, %d bytes and %d requests with superseded copies remain after expiry",
				name, next.Len(), next.Bytes(), len(next.superseded),
			)
		}
	}
}

// TestSupersededCopiesAreEvicted guards against superseded copies that fill up a store, and against a
// record in progress that is rejected or evicted because of them.
func TestSupersededCopiesAreEvicted(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	store := NewStore(Limits{MaxRecords: 10, MaxBytes: 200, KeepPeriod: time.Minute})
	for epoch := range 20 {
		branch := string(rune('a' + epoch))
		record := wire.HeldRequest{
			RequestID: "r", Epoch: int64(epoch + 1), Branches: []wire.Branch{{ID: branch}}, Tokens: []string{"token", "more"},
		}
		var commands []StoreCommand
		store, commands = store.Update(StoreRequested{Now: now, Record: record})
		if status := commands[0].(StoreResult).Reply.Status; status != wire.ProgressTaken {
			t.Fatalf("record with epoch %d: status is %s, want Taken", epoch+1, status)
		}
		if store.Bytes() > 200 || len(store.superseded["r"]) > maxSupersededCopies {
			t.Fatalf("store has %d bytes and %d superseded copies, above its limits", store.Bytes(), len(store.superseded["r"]))
		}
	}
	if got := len(store.superseded["r"]); got == 0 {
		t.Error("no superseded copy is kept")
	}
}
