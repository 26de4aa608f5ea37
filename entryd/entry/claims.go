package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"lentilstage.dev/decide/claim"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/client"
	"lentilstage.dev/wire/dial"
	"lentilstage.dev/wire/wire"
)

type (
	// ClaimSettings configures Claims.
	ClaimSettings struct {
		Process     string
		Incarnation ident.Incarnation
		// Window is the maximum age of a valid key. It must be at most half of the log's retention.
		Window time.Duration
		// MaxCalls bounds the calls kept in memory.
		MaxCalls int
	}

	// ClaimDependencies are the functions through which Claims reaches the log, endpoints, peers,
	// clock and timeline.
	ClaimDependencies struct {
		// ReadLog returns the records of a stream starting at an offset. It does not wait for new
		// records.
		ReadLog func(ctx context.Context, stream string, from int64) (wire.LogPage, error)
		// AppendLog appends records in one batch and returns the offset of the first.
		AppendLog func(ctx context.Context, stream string, records []wire.LogPayload) (int64, error)
		// Endpoint returns a ready endpoint of the call's route, if the call may be sent now.
		Endpoint func(request wire.CallRequest) (address, version string, fenced, ok bool)
		// ForwardCall sends a call to the daemon with the given incarnation.
		ForwardCall func(ctx context.Context, incarnation string, request wire.CallRequest) (wire.CallReply, error)
		Now         func() time.Time
		Emit        func(event.Event)
		// RecordRejected records an answer that is rejected, by the error of the call. It ignores other errors.
		RecordRejected func(address string, err error)
	}

	// Claims runs the unrepeatable calls of plain services, each at most once across all daemons.
	// It is safe for concurrent use.
	Claims struct {
		ClaimSettings
		ClaimDependencies
		ctx     context.Context
		cancel  context.CancelFunc
		workers sync.WaitGroup

		mu        sync.Mutex
		closed    bool
		shards    map[string]*shard
		lastID    int64
		callCount int
	}

	// shard is the state of one claim stream. Its mutex guards all fields, is never held across I/O
	// and is acquired before the mutex of Claims.
	shard struct {
		mu     sync.Mutex
		stream string
		index  *claim.Index
		calls  map[int64]*activeCall
		byKey  map[claim.ChangedKey]*activeCall
		// pendingReads are the calls that wait for a read up to the tail that has not started yet.
		pendingReads []*activeCall
		following    bool
		wake         chan struct{}
		queue        []queuedRecord
		flushing     bool
	}

	activeCall struct {
		id      int64
		call    claim.Call
		request wire.CallRequest
		waiters map[int64]*claimWaiter
	}

	claimWaiter struct {
		reply chan wire.CallReply
		timer *time.Timer
	}

	queuedRecord struct {
		call    *activeCall
		payload wire.LogPayload
	}
)

const (
	// ClaimShards is the number of claim streams.
	ClaimShards = 64

	// appendDelay is how long a record waits for others, so that several calls share one append.
	// The log accepts only several hundred appends per second.
	appendDelay = 5 * time.Millisecond
	// maxBatchRecords bounds the records of one append. With results of 16 KB, encoded in base64, a
	// batch stays near 1.5 MB.
	maxBatchRecords = 64
	// logTimeout bounds one read or append.
	logTimeout = 2 * time.Second
	// claimReadInterval is the time between reads while a call waits for its own claim.
	// followReadInterval applies while calls wait only for the records of others.
	claimReadInterval, followReadInterval = 25 * time.Millisecond, 250 * time.Millisecond
	// minLogBackoff and maxLogBackoff bound the backoff after a failed read or append. It doubles
	// with each failure.
	minLogBackoff, maxLogBackoff = 50 * time.Millisecond, 500 * time.Millisecond
	// maxCallDuration bounds a plain call, so that all calls end before the drain deadline.
	maxCallDuration = 30 * time.Second
	// maxShardResultBytes bounds the results that a shard keeps in memory: 8 MB for all shards.
	maxShardResultBytes = 128 << 10
	// dialTimeout bounds connecting to an endpoint.
	dialTimeout = 2 * time.Second
	// lateAnswerPeriod is how long after the caller's deadline an answer is still accepted, so that
	// a retry with the same key can get the stored answer.
	lateAnswerPeriod = 20 * time.Second
	// withdrawnPeriod is how long after its deadline a withdrawn claim is still looked up on the
	// log.
	withdrawnPeriod = time.Minute
	// replyGrace is the longest time that a caller waits past its deadline.
	replyGrace = 2 * time.Second
	// maxAnswerBytes bounds the response body of a service.
	maxAnswerBytes = 8 << 20
)

// ClaimStream returns the name of the claim stream for a key. The daemon that should run a call is
// the first live one in the rendezvous order of this name.
func ClaimStream(account, key string) string {
	return fmt.Sprintf("Claims-%02d", ident.Shard(account+"\x00"+key, ClaimShards))
}

// NewClaims returns Claims that run until Close.
func NewClaims(settings ClaimSettings, dependencies ClaimDependencies) *Claims {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claims{ClaimSettings: settings, ClaimDependencies: dependencies, ctx: ctx, cancel: cancel, shards: map[string]*shard{}}
	c.MaxCalls = max(c.MaxCalls, 1)
	c.spawn(c.sweep)
	return c
}

// Close stops all work and waits for it to end. Calls being sent are aborted.
func (c *Claims) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	for _, s := range c.allShards() {
		s.mu.Lock()
		for _, a := range s.calls {
			for _, w := range a.waiters {
				w.timer.Stop()
			}
		}
		s.mu.Unlock()
	}
	c.workers.Wait()
}

// spawn runs a function in a goroutine that Close waits for. It returns false if Claims is closed.
func (c *Claims) spawn(run func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.workers.Go(run)
	return true
}

// Do runs a call and returns its reply. A refusal without Unknown guarantees that the call was not
// run and will not be run. The caller's deadline is limited to maxCallDuration, 30 s.
func (c *Claims) Do(ctx context.Context, request wire.CallRequest) wire.CallReply {
	if limit := c.Now().Add(maxCallDuration); request.Deadline.IsZero() || request.Deadline.After(limit) {
		request.Deadline = limit
	}
	if request.Key == "" {
		return refuseCall(codes.KeyMissing, "the call lacks its Idempotency-Key", false)
	}
	waiter := &claimWaiter{reply: make(chan wire.CallReply, 1)}
	if !c.joinOrStart(request, waiter) {
		return refuseCall(codes.QueueFull,
			"too many calls are in progress; this attempt sent nothing; the same key may be used again", true)
	}
	// The call replies at its deadline. This timer only protects the caller from a stuck call.
	limit := time.NewTimer(request.Deadline.Sub(c.Now()) + replyGrace)
	defer limit.Stop()
	select {
	case reply := <-waiter.reply:
		return reply
	case <-limit.C:
		return refuseCall(codes.OutcomeUnknown, "the call gave no answer at its deadline", true)
	case <-ctx.Done():
		return refuseCall(codes.OutcomeUnknown, "the caller has left before the outcome was known", true)
	case <-c.ctx.Done():
		return refuseCall(codes.OutcomeUnknown, "the daemon stops before the outcome was known", true)
	}
}

// Has reports whether a call with the request's key is in progress on this daemon.
func (c *Claims) Has(request wire.CallRequest) bool {
	s := c.shard(ClaimStream(request.Account, request.Key))
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[claim.ChangedKey{Account: request.Account, Key: request.Key}] != nil
}

// Unfinished returns the number of calls whose outcome or end record only this daemon can still
// provide. If the daemon stops first, their outcome stays unknown to all daemons.
func (c *Claims) Unfinished() int {
	count := 0
	for _, s := range c.allShards() {
		s.mu.Lock()
		for _, a := range s.calls {
			switch a.call.Phase {
			case claim.Claiming, claim.Choosing, claim.Sending, claim.Answered:
				count++
			}
		}
		s.mu.Unlock()
	}
	return count
}

// joinOrStart joins the call in progress with the request's key or starts a new one. It returns
// false if the limit of calls is reached.
func (c *Claims) joinOrStart(request wire.CallRequest, waiter *claimWaiter) bool {
	s := c.shard(ClaimStream(request.Account, request.Key))
	if s == nil {
		return false
	}
	hash := claim.HashCall(request)
	s.mu.Lock()
	key := claim.ChangedKey{Account: request.Account, Key: request.Key}
	a := s.byKey[key]
	joining := a != nil && a.call.Phase != claim.Withdrawn
	if !joining && !c.reserveSlot(s) {
		s.mu.Unlock()
		return false
	}
	id := c.nextID()
	w := claim.Waiter{ID: id, BodyHash: hash, Deadline: request.Deadline}
	if !joining {
		a = &activeCall{id: id, request: request, waiters: map[int64]*claimWaiter{}}
		a.call = claim.NewCall(claim.Settings{
			Account: request.Account, Key: request.Key, BodyHash: hash, Incarnation: c.Incarnation,
			ClaimID: ident.NewRecordID(), EndID: ident.NewRecordID(),
			Deadline: request.Deadline, Window: c.Window,
		})
		s.calls[id], s.byKey[key] = a, a
	}
	a.waiters[id] = waiter
	waiter.timer = time.AfterFunc(request.Deadline.Sub(c.Now()), func() { c.handleDeadline(s, a, id, waiter) })
	// Apply the message before the lock is released. Otherwise a call that was found here could end
	// first, and its new waiter would never get a reply.
	var message claim.Message = claim.Arrived{Now: c.Now(), Waiter: w}
	if joining {
		message = claim.Joined{Now: c.Now(), Waiter: w}
	}
	effects := c.apply(s, a, message)
	s.mu.Unlock()
	effects()
	return true
}

// handleDeadline reports a passed deadline to the call. It repeats until the waiter has its reply,
// because the clock read by Now may lag behind the timer.
func (c *Claims) handleDeadline(s *shard, a *activeCall, id int64, w *claimWaiter) {
	c.spawn(func() {
		c.update(s, a, claim.DeadlineReached{Now: c.Now(), Waiter: id})
		s.mu.Lock()
		defer s.mu.Unlock()
		if a.waiters[id] == w && c.ctx.Err() == nil {
			w.timer.Reset(10 * time.Millisecond)
		}
	})
}

func (c *Claims) shard(stream string) *shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	s := c.shards[stream]
	if s == nil {
		s = &shard{
			stream: stream, index: claim.NewIndex(c.Window, maxShardResultBytes), calls: map[int64]*activeCall{},
			byKey: map[claim.ChangedKey]*activeCall{}, wake: make(chan struct{}, 1),
		}
		c.shards[stream] = s
	}
	return s
}

func (c *Claims) allShards() []*shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := make([]*shard, 0, len(c.shards))
	for _, s := range c.shards {
		result = append(result, s)
	}
	return result
}

func (c *Claims) nextID() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return c.lastID
}

// reserveSlot reserves a slot for a new call. If all slots are in use, it evicts an idle call of
// the shard and reuses its slot. The caller holds the shard's lock.
func (c *Claims) reserveSlot(s *shard) bool {
	c.mu.Lock()
	full := c.callCount >= c.MaxCalls
	if !full {
		c.callCount++
	}
	c.mu.Unlock()
	if !full {
		return true
	}
	for _, a := range s.calls {
		if a.call.Idle() {
			// The new call reuses the slot of the evicted call, so callCount stays the same.
			s.remove(a)
			return true
		}
	}
	return false
}

// remove removes a call from the shard and reports whether it was there.
func (s *shard) remove(a *activeCall) bool {
	if s.calls[a.id] != a {
		return false
	}
	delete(s.calls, a.id)
	key := claim.ChangedKey{Account: a.call.Account, Key: a.call.Key}
	if s.byKey[key] == a {
		delete(s.byKey, key)
	}
	return true
}

func (c *Claims) release(s *shard, a *activeCall) {
	if s.remove(a) {
		c.mu.Lock()
		c.callCount--
		c.mu.Unlock()
	}
}

// update applies a message to a call and executes its commands after the lock is released.
func (c *Claims) update(s *shard, a *activeCall, message claim.Message) {
	s.mu.Lock()
	if s.calls[a.id] != a {
		s.mu.Unlock()
		return
	}
	effects := c.apply(s, a, message)
	s.mu.Unlock()
	effects()
}

// apply applies a message to a call, replies to its waiters and returns a function for the other
// effects. The caller runs that function after it has released the shard's lock.
func (c *Claims) apply(s *shard, a *activeCall, message claim.Message) func() {
	before := a.call.Phase
	next, commands := a.call.Update(message)
	a.call = next
	for _, command := range commands {
		if _, ok := command.(claim.Release); ok {
			c.release(s, a)
		}
		if r, ok := command.(claim.Reply); ok {
			if w := a.waiters[r.Waiter]; w != nil {
				delete(a.waiters, r.Waiter)
				w.timer.Stop()
				w.reply <- r.Reply
			}
		}
	}
	return func() {
		if before != next.Phase {
			c.report(a.request, before, next)
		}
		for _, command := range commands {
			c.execute(s, a, command)
		}
	}
}

func (c *Claims) report(request wire.CallRequest, before claim.Phase, call claim.Call) {
	if c.Emit == nil {
		return
	}
	c.Emit(event.Event{
		Time: c.Now(), Process: c.Process, Kind: "Call" + string(call.Phase), Account: request.Account,
		Request: request.Key, Route: request.Route, Reason: "from " + string(before) + ": " + call.Answer.Message,
		Numbers: []event.Number{
			{Name: "ClaimOffset", Value: float64(call.ClaimOffset)},
			{Name: "Appends", Value: float64(call.Appends)},
			{Name: "Code", Value: float64(call.Answer.Code)},
		},
	})
}

func (c *Claims) execute(s *shard, a *activeCall, command claim.Command) {
	switch m := command.(type) {
	case claim.ReadShard:
		c.requestRead(s, a)
	case claim.ReadResult:
		c.spawn(func() { c.update(s, a, c.readResult(s, m.Offset)) })
	case claim.AppendRecord:
		c.enqueue(s, a, m)
	case claim.ChooseEndpoint:
		address, version, fenced, ok := c.Endpoint(a.request)
		if !ok {
			c.update(s, a, claim.NoEndpoint{Now: c.Now()})
			return
		}
		c.update(s, a, claim.EndpointChosen{Now: c.Now(), Address: address, Version: version, Fenced: fenced})
	case claim.SendOnce:
		c.spawn(func() { c.update(s, a, c.send(a.request, m.Address, m.Fencing)) })
	case claim.QueryWinner:
		c.spawn(func() {
			ctx, cancel := context.WithTimeout(c.ctx, a.request.Deadline.Sub(c.Now()))
			defer cancel()
			reply, err := c.ForwardCall(ctx, string(m.Incarnation), a.request)
			if err != nil {
				c.update(s, a, claim.WinnerUnreachable{Now: c.Now()})
				return
			}
			c.update(s, a, claim.WinnerAnswered{Now: c.Now(), Reply: reply})
		})
	}
}

// requestRead requests a read up to the tail that starts after now. It starts the shard's read loop
// if none is running.
func (c *Claims) requestRead(s *shard, a *activeCall) {
	s.mu.Lock()
	s.pendingReads = append(s.pendingReads, a)
	start := !s.following
	s.following = true
	s.mu.Unlock()
	if start && !c.spawn(func() { c.follow(s) }) {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// follow reads the shard while calls wait for its records.
func (c *Claims) follow(s *shard) {
	backoff := minLogBackoff
	for {
		s.mu.Lock()
		pendingReads := s.pendingReads
		s.pendingReads = nil
		if len(pendingReads) == 0 && !s.awaitsRecords() || c.ctx.Err() != nil {
			s.following = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if err := c.readToTail(s); err != nil {
			for _, a := range pendingReads {
				c.update(s, a, claim.LogReadFailed{Now: c.Now()})
			}
			c.sleep(backoff/2 + rand.N(backoff))
			backoff = min(2*backoff, maxLogBackoff)
			continue
		}
		backoff = minLogBackoff
		for _, a := range pendingReads {
			s.mu.Lock()
			view := s.index.View(a.call.Account, a.call.Key)
			s.mu.Unlock()
			c.update(s, a, claim.ShardRead{Now: c.Now(), View: view})
		}
		timer := time.NewTimer(s.readInterval())
		select {
		case <-s.wake:
		case <-timer.C:
		case <-c.ctx.Done():
		}
		timer.Stop()
	}
}

// awaitsRecords reports whether a call waits for a record. The caller holds the shard's lock.
func (s *shard) awaitsRecords() bool {
	for _, a := range s.calls {
		switch a.call.Phase {
		case claim.Reading, claim.Claiming, claim.Following, claim.Withdrawn:
			return true
		}
	}
	return false
}

// readInterval returns the time until the next read.
func (s *shard) readInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.calls {
		if a.call.Phase == claim.Reading || a.call.Phase == claim.Claiming {
			return claimReadInterval
		}
	}
	return followReadInterval
}

func (c *Claims) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// readToTail reads up to the tail that the first page reported, and applies the records to the
// index and to the calls with their keys.
func (c *Claims) readToTail(s *shard) error {
	target := int64(-1)
	for {
		s.mu.Lock()
		from := s.index.Next()
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(c.ctx, logTimeout)
		page, err := c.ReadLog(ctx, s.stream, from)
		cancel()
		if err != nil {
			return err
		}
		if page.Next < from {
			return eris.Errorf("stream %s ends at offset %d, below the offset %d already read", s.stream, page.Next, from)
		}
		if target < 0 {
			target = page.Next
		}
		s.mu.Lock()
		changed, lost := s.index.ApplyPage(page)
		next := s.index.Next()
		changedKeys := make(map[claim.ChangedKey]struct{}, len(changed))
		for _, key := range changed {
			changedKeys[key] = struct{}{}
		}
		var affected []*activeCall
		var views []claim.View
		for _, a := range s.calls {
			key := claim.ChangedKey{Account: a.call.Account, Key: a.call.Key}
			if _, ok := changedKeys[key]; ok {
				affected, views = append(affected, a), append(views, s.index.View(key.Account, key.Key))
			}
		}
		s.mu.Unlock()
		if lost && c.Emit != nil {
			c.Emit(event.Event{
				Time: c.Now(), Process: c.Process, Kind: "ClaimRecordsLost", Request: s.stream,
				Reason:  "records left the log before they were read",
				Numbers: []event.Number{{Name: "Oldest", Value: float64(page.Oldest)}, {Name: "From", Value: float64(from)}},
			})
		}
		for i, a := range affected {
			c.update(s, a, claim.ViewChanged{Now: c.Now(), View: views[i]})
		}
		switch {
		case next >= target:
			return nil
		case next <= from:
			return eris.Errorf("a read of stream %s from offset %d returned no records before offset %d", s.stream, from, target)
		}
	}
}

func (c *Claims) readResult(s *shard, offset int64) claim.Message {
	ctx, cancel := context.WithTimeout(c.ctx, logTimeout)
	defer cancel()
	page, err := c.ReadLog(ctx, s.stream, offset)
	if err != nil {
		return claim.LogReadFailed{Now: c.Now()}
	}
	var record claim.Record
	if len(page.Records) > 0 && page.Records[0].Offset == offset {
		record, _ = claim.Decode(page.Records[0].Data)
	}
	return claim.ResultRead{Now: c.Now(), Record: record}
}

// enqueue adds a record to the shard's next append.
func (c *Claims) enqueue(s *shard, a *activeCall, command claim.AppendRecord) {
	data, err := command.Record.Encode()
	if err != nil {
		c.update(s, a, claim.AppendUnknown{Now: c.Now(), ID: command.ID})
		return
	}
	s.mu.Lock()
	s.queue = append(s.queue, queuedRecord{call: a, payload: wire.LogPayload{ID: command.ID, Data: data}})
	start := !s.flushing
	s.flushing = true
	s.mu.Unlock()
	if start {
		c.spawn(func() { c.flush(s) })
	}
}

// flush appends the queued records in batches, one append at a time, until the queue is empty.
func (c *Claims) flush(s *shard) {
	backoff := minLogBackoff
	for {
		c.sleep(appendDelay)
		s.mu.Lock()
		batch := s.queue
		if len(batch) > maxBatchRecords {
			batch = batch[:maxBatchRecords]
		}
		s.queue = slices.Clone(s.queue[len(batch):])
		if len(batch) == 0 || c.ctx.Err() != nil {
			s.flushing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		payloads := make([]wire.LogPayload, 0, len(batch))
		for _, q := range batch {
			payloads = append(payloads, q.payload)
		}
		ctx, cancel := context.WithTimeout(c.ctx, logTimeout)
		first, err := c.AppendLog(ctx, s.stream, payloads)
		cancel()
		if err != nil {
			for _, q := range batch {
				c.update(s, q.call, claim.AppendUnknown{Now: c.Now(), ID: q.payload.ID})
			}
			c.sleep(backoff/2 + rand.N(backoff))
			backoff = min(2*backoff, maxLogBackoff)
			continue
		}
		backoff = minLogBackoff
		for i, q := range batch {
			c.update(s, q.call, claim.AppendConfirmed{Now: c.Now(), ID: q.payload.ID, Offset: first + int64(i)})
		}
	}
}

// sweep removes calls that have no waiters and whose state cannot answer a later caller any more.
func (c *Claims) sweep() {
	for c.ctx.Err() == nil {
		c.sleep(time.Second)
		now := c.Now()
		for _, s := range c.allShards() {
			s.mu.Lock()
			for _, a := range s.calls {
				limit := claim.EndRetryPeriod
				if a.call.Phase == claim.Withdrawn {
					limit = withdrawnPeriod
				}
				if a.call.Idle() && now.After(a.call.Deadline.Add(limit)) {
					c.release(s, a)
				}
			}
			s.mu.Unlock()
		}
	}
}

// send sends the call once over a connection of its own. It returns NotSent only if no byte of the
// call was sent.
func (c *Claims) send(request wire.CallRequest, address string, fencing int64) claim.Message {
	dialer := dial.New(dial.Options{Timeout: dialTimeout})
	dialer.Deadline = time.Now().Add(request.Deadline.Sub(c.Now()))
	connection, err := dialer.DialContext(c.ctx, "tcp", address)
	if err != nil {
		return claim.NotSent{Now: c.Now()}
	}
	defer func() { _ = connection.Close() }()
	stop := context.AfterFunc(c.ctx, func() { _ = connection.Close() })
	defer stop()
	if !c.Now().Before(request.Deadline) {
		return claim.NotSent{Now: c.Now()}
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + request.Path)
	req.URI().DisablePathNormalizing = true
	req.Header.SetMethod(request.Method)
	req.Header.SetContentType("application/json")
	if request.Key != "" {
		req.Header.Set(wire.HeaderIdempotencyKey, request.Key)
	}
	req.Header.Set(wire.HeaderDeadline, request.Deadline.UTC().Format(wire.DeadlineLayout))
	if fencing >= 0 {
		req.Header.Set(wire.HeaderFencingNumber, strconv.FormatInt(fencing, 10))
	}
	req.SetBody(request.Body)
	answerDeadline := time.Now().Add(request.Deadline.Sub(c.Now()) + lateAnswerPeriod)
	status, body, err := client.Exchange(connection, answerDeadline, req, maxAnswerBytes)
	if err != nil {
		c.RecordRejected(address, err)
		return claim.AnswerLost{Now: c.Now()}
	}
	return claim.ServiceAnswered{Now: c.Now(), Status: status, Body: body}
}

func refuseCall(code codes.Code, message string, unknown bool) wire.CallReply {
	return wire.CallReply{Code: int(code), Message: message, Unknown: unknown}
}
