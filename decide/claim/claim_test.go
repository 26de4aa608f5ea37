package claim

import (
	"errors"
	"testing"
	"time"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/wire/wire"
)

// The next three tests cover safeguards that overlap: the random search finds no failing schedule
// when only one of them is removed, because the others still prevent the failure.

// TestOldKeyIsNotDecidedFromTheRecordsLeft guards against a wrong "not run" reply: the first claim of
// a key has expired from the log, a later Close of the key has not, and a call that was paused
// after its arrival reads only the Close.
func TestOldKeyIsNotDecidedFromTheRecordsLeft(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	call, _ := newTestCall(now)
	_, commands := call.Update(ShardRead{Now: now.Add(testRetention), View: View{State: Closed}})
	reply := onlyReply(t, commands)
	if !reply.Unknown || reply.Code != int(codes.KeyExpired) {
		t.Fatalf("reply = %+v, want an unknown outcome", reply)
	}
}

// TestLateClaimDecidesNothing guards against a second execution: a claim that reaches the log after
// its key's window must not win once the first claim has been evicted from the index.
func TestLateClaimDecidesNothing(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	key := testKey(now, 1)
	index := NewIndex(testWindow, 1000)
	index.ApplyPage(wire.LogPage{Records: []wire.LogRecord{claimAt(t, 0, key, "first", now)}})
	late := now.Add(testWindow + 2*WindowSlack)
	index.ApplyPage(wire.LogPage{Records: []wire.LogRecord{claimAt(t, 1, key, "late", late)}})
	if view := index.View("account-0", key); view.State != TooOld {
		t.Fatalf("view = %+v, want state TooOld", view)
	}
	if index.Len() != 0 {
		t.Fatalf("index holds %d expired keys, want 0", index.Len())
	}
}

// TestClaimAfterLostRecordsDoesNotSend guards against a second execution: an earlier claim may be
// among the records that expired from the log before this daemon read them.
func TestClaimAfterLostRecordsDoesNotSend(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	call, _ := newTestCall(now)
	index := NewIndex(testWindow, 1000)
	index.ApplyPage(wire.LogPage{Next: 1, Records: []wire.LogRecord{claimAt(t, 0, testKey(now, 2), "other", now)}})
	call, commands := call.Update(ShardRead{Now: now, View: index.View("account-0", call.Key)})
	if len(commands) != 1 || commands[0].(AppendRecord).ID != "own" {
		t.Fatalf("commands = %+v, want one append of the claim", commands)
	}
	_, lost := index.ApplyPage(wire.LogPage{Oldest: 8, Next: 10, Records: []wire.LogRecord{claimAt(t, 9, call.Key, "own", now)}})
	if !lost {
		t.Fatal("index did not report the lost records")
	}
	call, commands = call.Update(ViewChanged{Now: now, View: index.View("account-0", call.Key)})
	if reply := onlyReply(t, commands); !reply.Unknown {
		t.Fatalf("reply = %+v, want an unknown outcome", reply)
	}
	if _, commands = call.Update(EndpointChosen{Now: now, Address: "service"}); len(commands) != 0 {
		t.Fatalf("commands = %+v, want none", commands)
	}
}

// TestDecodeRefusesIncompleteRecords guards against an index that applies incomplete records.
func TestDecodeRefusesIncompleteRecords(t *testing.T) {
	key := testKey(time.Unix(1_800_000_000, 0), 1)
	for _, data := range []string{
		`{`, `{"Kind":"Release","Account":"a","Key":"` + key + `"}`,
		`{"Kind":"Close","Key":"` + key + `"}`, `{"Kind":"Close","Account":"a","Key":"old-order"}`,
		`{"Kind":"Claim","Account":"a","Key":"` + key + `","BodyHash":"b","Incarnation":"i"}`,
		`{"Kind":"Done","Account":"a","Key":"` + key + `","Status":200}`,
		`{"Kind":"Abandoned","Account":"a","Key":"` + key + `"}`,
	} {
		if _, err := Decode([]byte(data)); !errors.Is(err, ErrRecord) {
			t.Errorf("Decode(%s) error = %v, want ErrRecord", data, err)
		}
	}
}

func newTestCall(now time.Time) (Call, []Command) {
	deadline := now.Add(20 * time.Second)
	return NewCall(Settings{
		Account: "account-0", Key: testKey(now, 1), BodyHash: "hash", Incarnation: "run",
		ClaimID: "own", EndID: "end", Deadline: deadline, Window: testWindow,
	}).Update(Arrived{Now: now, Waiter: Waiter{ID: 1, BodyHash: "hash", Deadline: deadline}})
}

func claimAt(t *testing.T, offset int64, key, id string, at time.Time) wire.LogRecord {
	t.Helper()
	data, err := Record{
		Kind: ClaimRecord, Account: "account-0", Key: key, BodyHash: "hash", Incarnation: "run", Deadline: at,
	}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return wire.LogRecord{Offset: offset, Time: at, ID: id, Data: data}
}

func onlyReply(t *testing.T, commands []Command) wire.CallReply {
	t.Helper()
	for _, c := range commands {
		if r, ok := c.(Reply); ok {
			return r.Reply
		}
	}
	t.Fatalf("commands = %+v, want a reply", commands)
	return wire.CallReply{}
}
