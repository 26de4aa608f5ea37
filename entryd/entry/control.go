package entry

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/config"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

type (
	// control folds the Control stream into the table state and tracks whether that state is
	// current.
	control struct {
		base    *Base
		logger  logr.Logger
		members *members
		peers   *peers

		mu    sync.Mutex
		state config.State
		// recent are the newest records. Peers that cannot read the log get them from here.
		recent  []wire.LogRecord
		changed chan struct{}
		// serving is the last reported value of Serving, kept to report changes on the timeline.
		serving bool
		// snapshotAttemptedAt is when this daemon last tried to append a snapshot.
		snapshotAttemptedAt time.Time
		retention           time.Duration
	}
)

const (
	// controlStream is the log stream of table changes, move steps and quarantines.
	controlStream = "Control"
	// controlPollWait is how long a read waits for a new record.
	controlPollWait = 500 * time.Millisecond
	// logRetryDelay is the pause after a failed call to the log.
	logRetryDelay = 250 * time.Millisecond
	// controlPageRecords bounds the records of one read.
	controlPageRecords = 500
	// maxRecentRecords bounds the records kept for peers.
	maxRecentRecords = 64
	// maintainInterval is the pause between checks of the peers' offsets, the lease and the
	// snapshot.
	maintainInterval = 500 * time.Millisecond
	// controlCallTimeout bounds one control call to a peer or to the log.
	controlCallTimeout = time.Second
	// snapshotTimeout bounds the append of a snapshot.
	snapshotTimeout = 5 * time.Second
)

func newControl(b *Base, m *members, p *peers) *control {
	return &control{
		base:    b,
		logger:  b.Logger.WithName("control"),
		members: m,
		peers:   p,
		state:   config.New(b.Settings.Name, config.DefaultRules, b.LeaseNow()),
		changed: make(chan struct{}),
	}
}

// run follows the Control stream until the context ends.
func (c *control) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := c.poll(); err != nil {
			c.logger.V(1).Info("Log read failed.", "error", err.Error())
			sleep(ctx, logRetryDelay)
		}
	}
	return nil
}

// maintain runs until the context ends. It polls peers while the log cannot be read, fetches the
// table state from a peer if this daemon has none, and appends snapshots that are due.
func (c *control) maintain(ctx context.Context) error {
	return runEvery(ctx, maintainInterval, func() {
		c.update(config.Listed{Names: c.members.snapshot().Listed()})
		c.pollPeers()
		c.fetchState()
		c.snapshot()
		c.reportServing()
	})
}

// poll reads one page of the Control stream and folds it.
func (c *control) poll() error {
	c.mu.Lock()
	from := c.state.ReadOffset()
	c.mu.Unlock()
	sent := c.base.LeaseNow()
	page, err := c.base.ReadLog(c.base.Now().Add(controlPollWait+logTimeout), controlStream, from, controlPageRecords, controlPollWait)
	if err != nil {
		return err
	}
	c.update(config.Page{Page: page, Sent: sent})
	c.publishRecords(page.Records)
	return nil
}

// update applies a message to the state and wakes the goroutines that wait for a change.
func (c *control) update(message config.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.state.Next()
	c.state = c.state.Update(message)
	if c.state.Next() != before {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// publishRecords keeps records for peers and reports their outcomes on the timeline.
func (c *control) publishRecords(records []wire.LogRecord) {
	state := c.State()
	for _, r := range records {
		record, err := table.DecodeRecord(r.Data)
		if err != nil {
			c.logger.Error(err, "Skipped an unreadable record.", "offset", r.Offset)
			continue
		}
		outcome, _ := state.OutcomeOf(record.ID)
		c.logger.Info("Folded a record.", "offset", r.Offset, "kind", record.Kind, "applied", outcome.Applied)
		c.base.emit(event.Event{
			Kind: "ControlRecord", Reason: outcome.Reason, Request: record.ID,
			Numbers: []event.Number{{Name: "Offset", Value: float64(r.Offset)}, {Name: "Applied", Value: boolToFloat(outcome.Applied)}},
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent = append(c.recent, records...)
	if extra := len(c.recent) - maxRecentRecords; extra > 0 {
		c.recent = slices.Clone(c.recent[extra:])
	}
}

// pollPeers asks peers for their entries while the log cannot be read. The state decides which
// peers are needed.
func (c *control) pollPeers() {
	now := c.base.LeaseNow()
	c.mu.Lock()
	names := c.state.PeersToQuery(now)
	c.mu.Unlock()
	var calls sync.WaitGroup
	for _, name := range names {
		address, ok := c.members.peerAddress(name)
		if !ok {
			continue
		}
		calls.Go(func() {
			sent := c.base.LeaseNow()
			var reply wire.DigestReply
			if c.peers.call(c.base.Now().Add(controlCallTimeout), address, "Entry", wire.Empty{}, &reply) == nil {
				c.applyPeerEntry(reply, sent)
			}
		})
	}
	calls.Wait()
}

// applyPeerEntry applies a peer's reply to a call that was sent at the given time of the lease's clock.
func (c *control) applyPeerEntry(reply wire.DigestReply, sent time.Time) {
	c.update(config.PeerReport{Entry: reply.Entry, Sent: sent, Time: reply.Time})
}

// fetchState copies the table state from a peer if this daemon cannot get it from the log.
func (c *control) fetchState() {
	c.mu.Lock()
	name, needed := c.state.FetchPeer(c.base.LeaseNow())
	c.mu.Unlock()
	address, ok := c.members.peerAddress(name)
	if !needed || !ok {
		return
	}
	var fold table.State
	if err := c.peers.call(c.base.Now().Add(controlCallTimeout), address, "Fold", wire.Empty{}, &fold); err != nil {
		c.logger.V(1).Info("Table state could not be fetched.", "daemon", name, "error", err.Error())
		return
	}
	c.update(config.Transferred{State: fold, Now: c.base.Now(), LeaseNow: c.base.LeaseNow()})
	c.base.emit(event.Event{Kind: "FoldFetched", Endpoint: name, Numbers: []event.Number{{Name: "Next", Value: float64(fold.Next)}}})
}

// snapshot appends a snapshot if one is due and it is this daemon's turn.
func (c *control) snapshot() {
	now := c.base.Now()
	retention := c.knownRetention(now)
	rank := c.members.snapshot().Rank(controlStream, now)
	c.mu.Lock()
	due := retention > 0 && c.state.SnapshotDue(now, retention, rank, c.snapshotAttemptedAt)
	var record table.Record
	if due {
		c.snapshotAttemptedAt = now
		record = c.state.Snapshot(ident.NewRecordID(), now)
	}
	c.mu.Unlock()
	if !due {
		return
	}
	data, err := json.Marshal(record)
	if err != nil {
		c.logger.Error(err, "Snapshot could not be encoded.")
		return
	}
	_, err = c.base.AppendLog(now.Add(snapshotTimeout), controlStream, []wire.LogPayload{{ID: record.ID, Data: data}})
	reason := "appended"
	if err != nil {
		reason = err.Error()
	}
	c.base.emit(event.Event{Kind: "Snapshot", Request: record.ID, Reason: reason})
}

// knownRetention returns the log's retention, or 0 if it is not known yet.
func (c *control) knownRetention(now time.Time) time.Duration {
	c.mu.Lock()
	known := c.retention
	c.mu.Unlock()
	if known > 0 {
		return known
	}
	info, err := c.base.LogInfo(now.Add(controlCallTimeout))
	if err != nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retention = time.Duration(info.RetentionSeconds * float64(time.Second))
	return c.retention
}

// Serving reports whether new requests may be served with the current table state, and the reason
// if not.
func (c *control) Serving() (bool, string) {
	now := c.base.LeaseNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Serving(now)
}

// authenticate returns a permit for the account of a key, or a refusal.
func (c *control) authenticate(keyHash string) (config.Permit, *codes.Refusal) {
	now := c.base.LeaseNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	permit, refusal := c.state.Authenticate(now, keyHash)
	return permit, c.withRetry(refusal)
}

// authorize returns the permit for a route of a kind and the route, or a refusal. The key, the route
// and the serving lease are checked against one state of the table.
func (c *control) authorize(permit config.Permit, route string, kind table.Kind) (config.Permit, table.Route, *codes.Refusal) {
	now := c.base.LeaseNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	permit, row, refusal := c.state.Authorize(now, permit, route, kind)
	return permit, row, c.withRetry(refusal)
}

// checkPermit returns a refusal if this daemon may not act on a permit now, or nil.
func (c *control) checkPermit(permit config.Permit) *codes.Refusal {
	now := c.base.LeaseNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.withRetry(c.state.CheckPermit(now, permit))
}

// permittedState returns the table state by which this daemon may act on a permit now, or a refusal.
func (c *control) permittedState(permit config.Permit) (table.State, *codes.Refusal) {
	now := c.base.LeaseNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.TableState(), c.withRetry(c.state.CheckPermit(now, permit))
}

// checkKey returns a refusal if a permit's key no longer belongs to its account, or nil.
func (c *control) checkKey(permit config.Permit) *codes.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.CheckKey(permit)
}

// checkServing returns a refusal if this daemon may not serve with its table, or nil.
func (c *control) checkServing() *codes.Refusal {
	now := c.base.LeaseNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.withRetry(c.state.CheckServing(now))
}

// withRetry adds the time after which the caller may retry to a refusal of a daemon that can't serve now.
// The lease's clock tells no time of day.
func (c *control) withRetry(refusal *codes.Refusal) *codes.Refusal {
	if refusal == nil || refusal.Code != codes.ConfigUnknown {
		return refusal
	}
	return refusal.WithRetryAt(c.base.Now().Add(retryDelay))
}

// reportServing logs and emits an event when the daemon starts or stops serving.
func (c *control) reportServing() {
	serving, reason := c.Serving()
	c.mu.Lock()
	changed := serving != c.serving
	c.serving = serving
	c.mu.Unlock()
	if changed {
		c.logger.Info("Serving changed.", "serving", serving, "reason", reason)
		c.base.emit(event.Event{Kind: "Serving", Reason: reason, Numbers: []event.Number{{Name: "Serving", Value: boolToFloat(serving)}}})
	}
}

// State returns the current table state.
func (c *control) State() table.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.TableState()
}

// Next returns the offset after the last folded record.
func (c *control) Next() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Next()
}

// TailDeadline returns the time until which the last read of the stream's tail counts as current, by the
// clock of the lease.
func (c *control) TailDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.TailDeadline()
}

// HasTable reports whether the daemon has a table.
func (c *control) HasTable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Ready()
}

// Recent returns the newest records before the offset.
func (c *control) Recent(next int64) []wire.LogRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	var records []wire.LogRecord
	for _, r := range c.recent {
		if r.Offset < next {
			records = append(records, r)
		}
	}
	return records
}

// waitForOffset waits until the table state has reached the offset. It returns false if the
// deadline passes first.
func (c *control) waitForOffset(next int64, deadline time.Time) bool {
	for {
		c.mu.Lock()
		reached, changed := c.state.Next() >= next, c.changed
		c.mu.Unlock()
		if reached {
			return true
		}
		left := deadline.Sub(c.base.Now())
		if left <= 0 {
			return false
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// waitForOutcome waits until the record with the identifier has been folded and returns its
// outcome. It returns false if the deadline passes first.
func (c *control) waitForOutcome(id string, deadline time.Time) (table.Outcome, bool) {
	for {
		state := c.State()
		if outcome, found := state.OutcomeOf(id); found {
			return outcome, true
		}
		if !c.waitForOffset(state.Next+1, deadline) {
			return table.Outcome{}, false
		}
	}
}

// append appends a record and returns its outcome after it has been folded. It returns
// errOutcomeUnknown if the outcome is not known by the deadline, and errLogRefused if the log
// rejected the record.
func (c *control) append(record table.Record, deadline time.Time) (table.Outcome, error) {
	record.Time = c.base.Now()
	record.Writer = c.base.Settings.Name
	if record.ID == "" {
		record.ID = ident.NewRecordID()
	}
	data, err := json.Marshal(record)
	if err != nil {
		return table.Outcome{}, eris.Wrap(err, "encode record")
	}
	callDeadline := earlier(deadline, c.base.Now().Add(logTimeout))
	_, err = c.base.AppendLog(callDeadline, controlStream, []wire.LogPayload{{ID: record.ID, Data: data}})
	if refusedByLog(err) {
		return table.Outcome{}, eris.Wrap(errLogRefused, err.Error())
	}
	if record.Kind == table.QuarantineRecord {
		return table.Outcome{Applied: err == nil}, err
	}
	// After any other error the record may still be on the log. Its outcome shows only in the
	// folded state.
	outcome, found := c.waitForOutcome(record.ID, deadline)
	if !found {
		return table.Outcome{}, errOutcomeUnknown
	}
	return outcome, nil
}
