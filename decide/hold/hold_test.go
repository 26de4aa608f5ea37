package hold

import (
	"testing"
	"time"

	"lentilstage.dev/wire/wire"
)

// TestHolderOrderPrefersAnotherDataCentre guards against owner and holder in one data
// centre, where one reclaim takes both.
func TestHolderOrderPrefersAnotherDataCentre(t *testing.T) {
	centres := map[string]string{"entry-1": "north", "entry-2": "north", "entry-3": "south", "entry-4": "west"}
	order := HolderOrder("request", "entry-1", centres)
	if len(order) != 3 || order[2] != "entry-2" {
		t.Fatalf("order is %v, want the daemon of the owner's data centre last", order)
	}
}

// TestStoreKeepsAnotherAccountsRecord guards against a request identifier that two
// accounts use: neither may read or replace the other's record.
func TestStoreKeepsAnotherAccountsRecord(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	store := NewStore(Limits{MaxRecords: 4, MaxBytes: 1000, KeepPeriod: time.Minute})
	record := wire.HeldRequest{RequestID: "r", Account: "a", Fingerprint: "f", Epoch: 1, Owner: "o"}
	store, _ = store.Update(KeepAsked{Now: now, Record: record})
	other := record
	other.Account, other.Epoch = "b", 9
	store, commands := store.Update(KeepAsked{Now: now, Record: other})
	if status := commands[0].(KeepAnswer).Reply.Status; status != wire.ProgressStale {
		t.Fatalf("status is %s, want Stale", status)
	}
	if len(store.Lookup("b", "r")) > 0 {
		t.Fatal("account b finds the record of account a")
	}
	_, commands = store.Update(TakeOverAsked{Now: now, Request: wire.TakeOverRequest{RequestID: "r", Account: "b"}})
	if commands[0].(TakeOverAnswer).Reply.Taken {
		t.Fatal("account b takes over the request of account a")
	}
}

// TestDisplacedCopyIsFound guards against a caller whose tokens are on no copy any more: two owners
// have continued a request in different ways, and the copy of the later one displaces the other at
// their common holder (HOLD_SEED=101, schedule 165108 of TestSearchOneDeath).
func TestDisplacedCopyIsFound(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	newRecord := func(epoch int64, branch string, tokens ...string) wire.HeldRequest {
		return wire.HeldRequest{
			RequestID: "r", Account: "a", Fingerprint: "f", Epoch: epoch, Owner: branch,
			Branches: []wire.Branch{{ID: branch}}, Tokens: tokens,
		}
	}
	earlier, later := newRecord(3, "b-3", "x", "y"), newRecord(4, "b-4")
	for name, messages := range map[string][]StoreMessage{
		"displaced by a hold": {KeepAsked{Now: now, Record: earlier}, KeepAsked{Now: now, Record: later}},
		"an owner that stops": {KeepAsked{Now: now, Record: later}, KeepAsked{Now: now, Record: earlier, Acknowledged: true}},
	} {
		store := NewStore(Limits{MaxRecords: 1, MaxBytes: 1000, KeepPeriod: time.Minute})
		for _, m := range messages {
			store, _ = store.Update(m)
		}
		copies := store.Lookup("a", "r")
		i := Choose(copies, Position{Tokens: 2, Branch: "b-3"})
		if i < 0 {
			t.Errorf("%s: no copy covers the caller's tokens", name)
			continue
		}
		request := wire.TakeOverRequest{RequestID: "r", Account: "a", NewOwner: "n", Branch: LastBranch(copies[i])}
		store, commands := store.Update(TakeOverAsked{Now: now, Request: request})
		reply := commands[0].(TakeOverAnswer).Reply
		if !reply.Taken || len(reply.Record.Tokens) != 2 || reply.Record.Epoch != 5 {
			t.Errorf("%s: taken over %t, %+v; want both tokens with epoch 5", name, reply.Taken, reply.Record)
		}
		next, _ := store.Update(TimePassed{Now: now.Add(2 * time.Minute)})
		if next.Len() != 0 || next.Bytes() != 0 || len(next.former) != 0 {
			t.Errorf("%s: %d records, %d bytes and %d former copies are left", name, next.Len(), next.Bytes(), len(next.former))
		}
	}
}

// TestFormerCopiesMakeRoom guards against former copies that fill a store, and against a record in
// progress that is refused or dropped for them.
func TestFormerCopiesMakeRoom(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	store := NewStore(Limits{MaxRecords: 10, MaxBytes: 200, KeepPeriod: time.Minute})
	for epoch := range 20 {
		branch := string(rune('a' + epoch))
		record := wire.HeldRequest{
			RequestID: "r", Epoch: int64(epoch + 1), Branches: []wire.Branch{{ID: branch}}, Tokens: []string{"token", "more"},
		}
		var commands []StoreCommand
		store, commands = store.Update(KeepAsked{Now: now, Record: record})
		if status := commands[0].(KeepAnswer).Reply.Status; status != wire.ProgressTaken {
			t.Fatalf("hold of epoch %d was answered %s", epoch+1, status)
		}
		if store.Bytes() > 200 || len(store.former["r"]) > maxFormer {
			t.Fatalf("%d bytes in %d former copies", store.Bytes(), len(store.former["r"]))
		}
	}
	if got := len(store.former["r"]); got == 0 {
		t.Error("no former copy is kept")
	}
}
