package main

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/rpc"
	"os"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/claim"
	"lentilstage.dev/decide/config"
	"lentilstage.dev/decide/hold"
	"lentilstage.dev/decide/limit"
	"lentilstage.dev/decide/member"
	"lentilstage.dev/decide/moves"
	"lentilstage.dev/decide/route"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

type (
	// capacityCommand measures encoded sizes, processor time and live heap of each role's state at
	// several sizes. docs/CAPACITY.md derives the target from them.
	capacityCommand struct {
		batch time.Duration
	}

	// capacityReport collects the rows of the report.
	capacityReport struct {
		batch time.Duration
		rows  [][]string
		err   error
	}
)

// capacityBatches is the number of timed batches whose median is reported.
const capacityBatches = 5

var capacityNow = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// Name returns the subcommand's name.
func (*capacityCommand) Name() string { return "capacity" }

// Synopsis returns a line for the list of subcommands.
func (*capacityCommand) Synopsis() string {
	return "bytes, processor time and memory of each role by size"
}

// Usage returns the subcommand's usage.
func (*capacityCommand) Usage() string { return "lsbench capacity [-batch PERIOD]\n" }

// SetFlags defines the subcommand's flags.
func (c *capacityCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.batch, "batch", 40*time.Millisecond, "repeat each operation for at least `PERIOD` in each of 5 batches")
}

// Execute runs the measurements and prints their table.
func (c *capacityCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	r := &capacityReport{batch: c.batch, rows: [][]string{row("operation", "size", "bytes", "microseconds", "heap KiB")}}
	for _, daemons := range []int{7, 50, 100, 200, 390} {
		capacityMembers(r, daemons)
		capacityLimits(r, daemons)
		capacityMoves(r, daemons)
	}
	for _, endpoints := range []int{20, 100, 300, 600} {
		capacityRouting(r, endpoints)
	}
	for _, rows := range []int{100, 500, 1000} {
		capacityTable(r, rows)
	}
	for _, records := range []int{10, 100, 1000} {
		capacityHolds(r, records)
	}
	capacityPeerCalls(r)
	for _, keys := range []int{100, 1000, 10000} {
		capacityClaims(r, keys)
	}
	if r.err != nil {
		fmt.Fprintf(os.Stderr, "lsbench: %v\n", r.err)
		return subcommands.ExitFailure
	}
	var o output
	o.table(r.rows)
	fmt.Print(o.text.String())
	return subcommands.ExitSuccess
}

// bytes adds a row with an encoded size in bytes.
func (r *capacityReport) bytes(operation string, size, encoded int) {
	r.rows = append(r.rows, row(operation, size, encoded, "", ""))
}

// time adds a row with the time of an operation in microseconds: the median over the batches of
// the mean within a batch.
func (r *capacityReport) time(operation string, size int, run func()) {
	run()
	var means []float64
	for range capacityBatches {
		began, count := time.Now(), 0
		for time.Since(began) < r.batch || count == 0 {
			run()
			count++
		}
		means = append(means, float64(time.Since(began).Nanoseconds())/1000/float64(count))
	}
	slices.Sort(means)
	r.rows = append(r.rows, row(operation, size, "", fmt.Sprintf("%.2f", means[len(means)/2]), ""))
}

// heap adds a row with the live heap in KiB of the value that build returns.
func (r *capacityReport) heap(operation string, size int, build func() any) {
	before := liveHeapBytes()
	built := build()
	after := liveHeapBytes()
	runtime.KeepAlive(built)
	r.rows = append(r.rows, row(operation, size, "", "", fmt.Sprintf("%.0f", (after-before)/1024)))
}

// gob returns the encoded size of a value in a gob stream that has already sent its type.
func (r *capacityReport) gob(v any) int {
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	r.recordError("encode gob", encoder.Encode(v))
	first := buffer.Len()
	r.recordError("encode gob", encoder.Encode(v))
	return buffer.Len() - first
}

// json returns the JSON encoding of a value.
func (r *capacityReport) json(v any) []byte {
	data, err := json.Marshal(v)
	r.recordError("encode JSON", err)
	return data
}

// recordError keeps the first error, with the operation that failed.
func (r *capacityReport) recordError(operation string, err error) {
	if err != nil && r.err == nil {
		r.err = eris.Wrap(err, operation)
	}
}

// liveHeapBytes returns the size of the heap after garbage collection.
func liveHeapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// capacityInstances returns an instance list with daemons first and then engines.
func capacityInstances(daemons, engines int) wire.InstanceList {
	list := wire.InstanceList{Version: 1, Time: capacityNow}
	for n := range daemons + engines {
		i := wire.Instance{
			ID: capacityProcessName(n), Role: wire.RoleEntry, Region: "region-1", DataCentre: fmt.Sprintf("dc-%d", n%4),
			Address: fmt.Sprintf("10.1.%d.%d:8080", n/250, n%250), PeerAddress: fmt.Sprintf("10.1.%d.%d:8081", n/250, n%250),
			State: wire.Live, Class: "cpu-small", Owner: "lentilstage", PricePerHour: 0.25, Started: capacityNow,
		}
		if n >= daemons {
			i.ID, i.Role, i.PeerAddress = fmt.Sprintf("engine-%d", n-daemons), wire.RoleEngine, ""
			i.Versions, i.ClientToken = []string{"catalogue-v1"}, fmt.Sprintf("lentilstage/catalogue-v1/%d/1", n)
		}
		list.Instances = append(list.Instances, i)
	}
	return list
}

func capacityProcessName(n int) string { return fmt.Sprintf("entry-%d", n) }

// capacityDigestEntry returns a daemon's digest entry with 5 accounts, 6 placements and the evidence of
// one move.
func capacityDigestEntry(n int, sequence int64) wire.DigestEntry {
	e := wire.DigestEntry{
		Process: capacityProcessName(n), Incarnation: fmt.Sprintf("0190b5e0-0000-7000-8000-%012d", n), Sequence: sequence,
		Next: 5000, TailDeadline: capacityNow.Add(10 * time.Second),
	}
	for a := range 5 {
		e.Uses = append(e.Uses, wire.AccountUsage{Account: fmt.Sprintf("account-%d", a), InFlight: 3, TokensPerSecond: 466.6, Waiting: 1})
	}
	for p := range 6 {
		e.Placements = append(e.Placements, wire.Placement{Instance: fmt.Sprintf("engine-%d", (n*6+p)%600), Requests: 1, Tokens: 900})
	}
	for _, version := range []string{"catalogue-v1", "catalogue-v2"} {
		e.Evidence = append(e.Evidence, wire.Evidence{
			Move: "stock-question@12", Route: "stock-question", Version: version, Step: 2, Share: 0.1, Requests: 400, Failures: 2,
		})
	}
	return e
}

func capacityMembers(r *capacityReport, daemons int) {
	list := capacityInstances(daemons, daemons*3/2)
	build := func() member.State {
		s, _ := member.New(capacityProcessName(0)).Update(member.InstanceListRead{List: list, Now: capacityNow})
		s, _ = s.Update(member.OwnEntryUpdated{Entry: capacityDigestEntry(0, 1), Now: capacityNow})
		for n := 1; n < daemons; n++ {
			digest := wire.Digest{From: capacityProcessName(n), Time: capacityNow, Entries: []wire.DigestEntry{capacityDigestEntry(n, 1)}}
			s, _ = s.Update(member.DigestReceived{Digest: digest, Now: capacityNow})
		}
		return s
	}
	state := build()
	_, commands := state.Update(member.Tick{Now: capacityNow.Add(time.Second), Seed: 1})
	for _, command := range commands {
		if send, ok := command.(member.Send); ok {
			r.bytes("digest, gob", daemons, r.gob(send.Digest))
			r.bytes("digest, targets", daemons, len(send.To))
			next := int64(1)
			r.time("member: digest heard", daemons, func() {
				next++
				received := send.Digest
				received.Entries = slices.Clone(received.Entries)
				for i := range received.Entries {
					received.Entries[i].Sequence = next
				}
				state, _ = state.Update(member.DigestReceived{Digest: received, Now: capacityNow})
			})
		}
	}
	r.bytes("digest reply, gob", daemons, r.gob(wire.DigestReply{Entry: capacityDigestEntry(0, 1), Time: capacityNow}))
	r.time("member: tick and pack", daemons, func() { state.Update(member.Tick{Now: capacityNow.Add(time.Second), Seed: 1}) })
	r.time("member: list", daemons, func() { state.Update(member.InstanceListRead{List: list, Now: capacityNow}) })
	r.heap("member: state", daemons, func() any { return build() })
	runtime.KeepAlive(state)
	encoded := r.json(list)
	r.bytes("instance list, JSON", daemons, len(encoded))
	r.time("instance list, decode", daemons, func() {
		var decoded wire.InstanceList
		r.recordError("decode JSON", json.Unmarshal(encoded, &decoded))
	})
}

func capacityLimits(r *capacityReport, daemons int) {
	var accounts []table.Account
	for n := range 5 {
		accounts = append(accounts, table.Account{Name: fmt.Sprintf("account-%d", n), Share: 0.2, MaxInFlight: 5000})
	}
	var peers []limit.PeerUse
	for n := 1; n < daemons; n++ {
		peers = append(peers, limit.PeerUse{Process: capacityProcessName(n), At: capacityNow, Uses: capacityDigestEntry(n, 1).Uses})
	}
	build := func() limit.Aggregate {
		a, _ := limit.New(capacityProcessName(0), 1000).Update(limit.Table{Time: capacityNow, Accounts: accounts})
		a, _ = a.Update(limit.Capacity{Time: capacityNow, Slots: 19200})
		a, _ = a.Update(limit.Peers{Time: capacityNow, Entries: peers})
		return a
	}
	aggregate := build()
	r.time("limit: peers' use", daemons, func() { aggregate.Update(limit.Peers{Time: capacityNow, Entries: peers}) })
	r.time("limit: tick", daemons, func() { aggregate.Update(limit.Tick{Time: capacityNow}) })
	r.heap("limit: state", daemons, func() any { return build() })
	runtime.KeepAlive(aggregate)
}

func capacityMoves(r *capacityReport, daemons int) {
	build := func() moves.EvidenceStore {
		book := moves.EvidenceStore{}.RetainMoves("stock-question@12")
		for n := range daemons {
			entry := capacityDigestEntry(n, 1)
			var steps []wire.Evidence
			for step := 1; step <= 5; step++ {
				for _, e := range entry.Evidence {
					e.Step, e.Share = step, []float64{0.01, 0.05, 0.2, 0.5, 0.8}[step-1]
					steps = append(steps, e)
				}
			}
			entry.Evidence = steps
			book = book.With(entry)
		}
		return book
	}
	book := build()
	view := moves.View{
		Move: table.MoveState{
			Move: "stock-question@12", Route: "stock-question", Version: "catalogue-v2", Step: 5, State: table.Moving,
			Share: 0.8, StepTime: capacityNow,
		},
		Route: table.Route{
			Name: "stock-question", Versions: []table.WeightedVersion{{Version: "catalogue-v1", Weight: 100}},
			MoveTo: "catalogue-v2", MoveDeadline: capacityNow.Add(time.Hour), FirstShare: 0.01,
		},
		Rate: 700, Now: capacityNow.Add(10 * time.Minute),
	}
	r.time("moves: sum and decide", daemons, func() {
		view.Evidence = book.Evidence("stock-question@12", "catalogue-v2")
		moves.Decide(view)
	})
	sequence := int64(1)
	r.time("moves: evidence in", daemons, func() {
		sequence++
		book = book.With(capacityDigestEntry(1, sequence))
	})
	r.heap("moves: book", daemons, func() any { return build() })
	runtime.KeepAlive(book)
}

func capacityRouting(r *capacityReport, endpoints int) {
	load := wire.EngineLoad{
		Time: capacityNow, Running: 20, Queued: 2, QueuedTokens: 1800, MaxRunning: 32, PrefillPerSecond: 9000,
		CacheTokens: 60000, MaxCacheTokens: 65536, Versions: []string{"catalogue-v1"},
	}
	var events wire.CacheEvents
	for n := range route.MaxBlocks {
		events.Events = append(events.Events, wire.CacheEvent{
			Sequence: int64(n), Kind: wire.CacheStored, Block: fmt.Sprintf("%016x", uint64(n+1)*0x9e3779b97f4a7c15), Version: "catalogue-v1",
		})
	}
	events.Next = int64(len(events.Events))
	build := func() []*route.View {
		var views []*route.View
		for n := range endpoints {
			v := route.NewView(fmt.Sprintf("engine-%d", n), fmt.Sprintf("dc-%d", n%4), "catalogue-v1")
			views = append(views, v.WithLoad(load).WithEvents(events))
		}
		return views
	}
	views := build()
	request := route.Request{
		ID: "request", Route: "stock-question", PromptTokens: 900, FirstTokenDeadline: capacityNow.Add(1700 * time.Millisecond),
		Split: []table.WeightedVersion{{Version: "catalogue-v1", Weight: 100}},
	}
	for n := range 14 {
		request.Blocks = append(request.Blocks, route.Blocks([]string{events.Events[n].Block})...)
	}
	chooser := route.NewChooser()
	r.time("route: choose", endpoints, func() {
		chooser.Choose(request, views, capacityNow, func() float64 { return 0.5 })
	})
	encoded := r.json(load)
	someEvents := r.json(wire.CacheEvents{Events: events.Events[:25], Next: 25})
	r.time("route: one load report", endpoints, func() {
		var decoded wire.EngineLoad
		r.recordError("decode JSON", json.Unmarshal(encoded, &decoded))
		views[0].WithLoad(decoded)
	})
	r.time("route: 25 cache events", endpoints, func() {
		var decoded wire.CacheEvents
		r.recordError("decode JSON", json.Unmarshal(someEvents, &decoded))
		views[0].WithEvents(decoded)
	})
	r.bytes("load report, JSON", endpoints, len(encoded))
	r.bytes("25 cache events, JSON", endpoints, len(someEvents))
	r.heap("route: views", endpoints, func() any { return build() })
	runtime.KeepAlive(views)
}

func capacityTable(r *capacityReport, rows int) {
	change := table.Change{Operator: "demo"}
	for n := range rows {
		change.Edits = append(change.Edits, table.Edit{Row: table.RowKey{Sheet: table.Accounts, Name: fmt.Sprintf("account-%d", n)}, Account: &table.Account{
			Name: fmt.Sprintf("account-%d", n), KeyHashes: []string{ident.HashSecret(fmt.Sprint(n))}, Share: 0.5 / float64(rows), MaxInFlight: 200,
		}})
	}
	record := func(id string, change table.Change) json.RawMessage {
		return r.json(table.Record{Kind: table.ChangeRecord, ID: id, Time: capacityNow, Writer: "entry-1", Change: &change})
	}
	first := wire.LogRecord{Time: capacityNow, ID: "first", Data: record("first", change)}
	page := config.Page{Page: wire.LogPage{Records: []wire.LogRecord{first}, Next: 1}, Sent: capacityNow}
	build := func() config.State { return config.New("entry-1", config.DefaultRules, capacityNow).Update(page) }
	state := build()
	fold := state.TableState()
	if applied, _ := fold.OutcomeOf("first"); !applied.Applied && r.err == nil {
		r.err = eris.Errorf("apply a table of %d rows: %v", rows, applied.Problems)
	}
	edit := change.Edits[0]
	edit.Base = 1
	one := wire.LogRecord{Offset: 1, Time: capacityNow, ID: "one", Data: record("one", table.Change{Operator: "demo", Edits: []table.Edit{edit}})}
	r.bytes("table snapshot, JSON", rows, len(r.json(fold)))
	r.bytes("confirm of one edit, gob", rows, r.gob(wire.ConfirmRequest{Next: 2, Records: []wire.LogRecord{one}}))
	second := config.Page{Page: wire.LogPage{Records: []wire.LogRecord{one}, Next: 2}, Sent: capacityNow}
	r.time("config: fold of one edit", rows, func() { state.Update(second) })
	r.time("config: table of the fold", rows, func() { fold.Table() })
	r.heap("config: state", rows, func() any { return build() })
	runtime.KeepAlive(page)
	runtime.KeepAlive(fold)
}

func capacityHeldRequest(n int) wire.HeldRequest {
	record := wire.HeldRequest{
		RequestID: fmt.Sprintf("request-%d", n), Account: "account-1", Route: "stock-question", Fingerprint: ident.HashSecret(fmt.Sprint(n)),
		Body: bytes.Repeat([]byte("x"), 3600), Deadline: capacityNow.Add(time.Minute), Epoch: 1, Owner: "entry-1", Holder: "entry-2",
		KeepUntil: capacityNow.Add(time.Hour),
	}
	for t := range 430 {
		record.Tokens = append(record.Tokens, fmt.Sprintf("t%03d ", t%1000))
	}
	return record
}

func capacityHolds(r *capacityReport, records int) {
	limits := hold.Limits{MaxRecords: 20000, MaxBytes: 1 << 30, KeepPeriod: time.Hour, AnswerPeriod: time.Hour}
	build := func() hold.Store {
		s := hold.NewStore(limits)
		for n := range records {
			s, _ = s.Update(hold.StoreRequested{Now: capacityNow, Record: capacityHeldRequest(n)})
		}
		return s
	}
	r.heap("hold: store", records, func() any { return build() })
	batch := wire.ProgressBatch{Owner: "entry-1"}
	update := wire.ProgressUpdate{RequestID: "request-0", Epoch: 1, Branch: "0190b5e0", Offset: 430, Tokens: []string{"t000 "}}
	batch.Updates = append(batch.Updates, update)
	r.bytes("progress of one token, gob", records, r.gob(batch))
	r.bytes("progress reply, gob", records, r.gob(wire.ProgressReply{Statuses: []wire.ProgressStatus{wire.ProgressTaken}}))
	r.bytes("hold, gob", records, r.gob(capacityHeldRequest(0)))
	store := build()
	offset := 430
	r.time("hold: one token kept", records, func() {
		update.Offset = offset % 2000
		if offset++; offset == 2000 {
			offset = 430
			store, _ = store.Update(hold.StoreRequested{Now: capacityNow, Record: capacityHeldRequest(0)})
		}
		store, _ = store.Update(hold.ProgressReceived{Now: capacityNow, Update: update})
	})
	var buffer bytes.Buffer
	encoder, decoder := gob.NewEncoder(&buffer), gob.NewDecoder(&buffer)
	r.time("progress, encode and decode", records, func() {
		r.recordError("encode gob", encoder.Encode(batch))
		var decoded wire.ProgressBatch
		r.recordError("decode gob", decoder.Decode(&decoded))
	})
}

// capacityPeer accepts progress updates as a peer that holds requests does, but doesn't store them.
type capacityPeer struct{}

// Progress accepts a batch of updates.
func (*capacityPeer) Progress(batch wire.ProgressBatch, reply *wire.ProgressReply) error {
	for range batch.Updates {
		reply.Statuses = append(reply.Statuses, wire.ProgressTaken)
	}
	return nil
}

// capacityPeerCalls measures peer calls over loopback by the number of updates in a batch. The
// processor time includes both sides.
func capacityPeerCalls(r *capacityReport) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.recordError("listen", err)
		return
	}
	defer func() { _ = listener.Close() }()
	server := rpc.NewServer()
	r.recordError("register service", server.RegisterName("Peer", &capacityPeer{}))
	go func() {
		if connection, err := listener.Accept(); err == nil {
			server.ServeConn(connection)
		}
	}()
	peer, err := rpc.Dial("tcp", listener.Addr().String())
	if err != nil {
		r.recordError("connect", err)
		return
	}
	defer func() { _ = peer.Close() }()
	for _, updates := range []int{1, 8, 64} {
		batch := wire.ProgressBatch{Owner: "entry-1"}
		for range updates {
			batch.Updates = append(batch.Updates, wire.ProgressUpdate{
				RequestID: ident.NewRecordID(), Epoch: 1, Branch: "0190b5e0", Offset: 430, Tokens: []string{"t000 "},
			})
		}
		r.bytes("progress batch, gob", updates, r.gob(batch))
		used, count := processorMicroseconds(), 0
		r.time("progress call, elapsed", updates, func() {
			var reply wire.ProgressReply
			r.recordError("call peer", peer.Call("Peer.Progress", batch, &reply))
			count++
		})
		spent := processorMicroseconds() - used
		r.rows = append(r.rows, row("progress call, processor", updates, "", fmt.Sprintf("%.2f", spent/float64(count)), ""))
	}
}

// processorMicroseconds returns the processor time of this process in microseconds.
func processorMicroseconds() float64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1000
}

func capacityClaims(r *capacityReport, keys int) {
	var page wire.LogPage
	for n := range keys {
		key, id := ident.NewKeyAt(capacityNow), fmt.Sprintf("claim-%d", n)
		incarnation := ident.NewIncarnation()
		for _, record := range []claim.Record{
			{Kind: claim.ClaimRecord, Account: "account-1", Key: key, BodyHash: ident.HashSecret(key), Incarnation: incarnation, Deadline: capacityNow},
			{Kind: claim.DoneRecord, Account: "account-1", Key: key, ClaimID: id, Status: 200, Result: bytes.Repeat([]byte("x"), 300)},
		} {
			data, err := record.Encode()
			r.recordError("encode claim", err)
			page.Records = append(page.Records, wire.LogRecord{
				Offset: int64(len(page.Records)), Time: capacityNow, ID: id, Data: data,
			})
			id += "-done"
		}
	}
	page.Next = int64(len(page.Records))
	build := func() *claim.Index {
		index := claim.NewIndex(6*time.Hour, 128<<10)
		index.ApplyPage(page)
		return index
	}
	r.bytes("claim and end, JSON of both", keys, len(r.json(page))/keys)
	r.time("claim: fold of all", keys, func() { build() })
	r.heap("claim: index", keys, func() any { return build() })
	runtime.KeepAlive(page)
}
