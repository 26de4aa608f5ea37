package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
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
	"lentilstage.dev/wire/wire"
)

type (
	// ClaimSettings are the fixed settings of the calls of a daemon.
	ClaimSettings struct {
		Process     string
		Incarnation ident.Incarnation
		// Window is the greatest age at which a key is valid, at most half of the log's retention.
		Window time.Duration
		// MaxCalls bounds the calls in memory.
		MaxCalls int
	}

	// ClaimSeams are the effects that Claims needs.
	ClaimSeams struct {
		// ReadLog returns the records of a stream from an offset on. It does not wait for new ones.
		ReadLog func(ctx context.Context, stream string, from int64) (wire.LogPage, error)
		// AppendLog appends records together and returns the offset of the first.
		AppendLog func(ctx context.Context, stream string, records []wire.LogPayload) (int64, error)
		// Endpoint returns a ready endpoint of the route.
		Endpoint func(route string) (address, version string, fenced, ok bool)
		// AskDaemon passes a call to the daemon of an incarnation.
		AskDaemon func(ctx context.Context, incarnation string, request wire.CallRequest) (wire.CallReply, error)
		Now       func() time.Time
		Emit      func(event.Event)
	}

	// Claims runs the unrepeatable calls of plain services, each at most once over all daemons.
	// It is safe for concurrent use.
	Claims struct {
		ClaimSettings
		ClaimSeams
		ctx     context.Context
		cancel  context.CancelFunc
		workers sync.WaitGroup

		mu     sync.Mutex
		closed bool
		shards map[string]*shard
		serial int64
		count  int
	}

	// shard is one claim stream. Its mutex guards all fields and is never held across I/O;
	// it is taken before the mutex of Claims.
	shard struct {
		mu     sync.Mutex
		stream string
		index  *claim.Index
		calls  map[int64]*activeCall
		byKey  map[claim.Changed]*activeCall
		// wanted are the calls that wait for a read to the tail that has not begun.
		wanted    []*activeCall
		following bool
		wake      chan struct{}
		queue     []queuedRecord
		flushing  bool
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

	// flushPeriod is how long a record waits for others, so that several calls share one
	// append of a log that takes several hundred a second.
	flushPeriod = 5 * time.Millisecond
	// maxBatch bounds the records of one append; with results of 16 KB, coded in base 64,
	// it stays near 1.5 MB.
	maxBatch = 64
	// logTimeout bounds one read or append.
	logTimeout = 2 * time.Second
	// claimPeriod is the time between reads while a call waits for its own claim, and
	// followPeriod while calls wait only for records of others.
	claimPeriod, followPeriod = 25 * time.Millisecond, 250 * time.Millisecond
	// The waits after a failed read or append double between these two.
	firstLogWait, maxLogWait = 50 * time.Millisecond, 500 * time.Millisecond
	// maxCallDeadline bounds a plain call, so that all calls end before the drain deadline.
	maxCallDeadline = 30 * time.Second
	// maxShardResults bounds the results that a shard keeps in memory, 8 MB for all shards.
	maxShardResults = 128 << 10
	// dialTimeout bounds the opening of a connection to an endpoint.
	dialTimeout = 2 * time.Second
	// answerPeriod is how long after the caller's deadline an answer is still read, so that
	// a retry with the same key can be given the stored answer.
	answerPeriod = 20 * time.Second
	// withdrawnPeriod is how long after its deadline a given up claim is looked for on the log.
	withdrawnPeriod = time.Minute
	// waitLimit is how long after its deadline a caller waits at most.
	waitLimit = 2 * time.Second
	// maxAnswer bounds a service's answer in bytes.
	maxAnswer = 8 << 20
)

// errSecondDial keeps the HTTP client from opening a connection of its own.
var errSecondDial = eris.New("a call is sent over one connection only")

// ClaimStream returns the claim stream of a key. The daemon that should run a call is the
// first live one in the rendezvous order of this name.
func ClaimStream(account, key string) string {
	return fmt.Sprintf("Claims-%02d", ident.Shard(account+"\x00"+key, ClaimShards))
}

// NewClaims returns Claims that run until Close.
func NewClaims(settings ClaimSettings, seams ClaimSeams) *Claims {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claims{ClaimSettings: settings, ClaimSeams: seams, ctx: ctx, cancel: cancel, shards: map[string]*shard{}}
	c.MaxCalls = max(c.MaxCalls, 1)
	c.work(c.sweep)
	return c
}

// Close stops all work and waits for it. Sends in progress are cut off.
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

// work runs a function that Close waits for. It reports whether the function was started.
func (c *Claims) work(run func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.workers.Go(run)
	return true
}

// Do runs a call and returns its reply. A reply whose refusal does not set Unknown
// promises that the call was not and will not be run. The caller's deadline is cut to 30 s.
func (c *Claims) Do(ctx context.Context, request wire.CallRequest) wire.CallReply {
	if limit := c.Now().Add(maxCallDeadline); request.Deadline.IsZero() || request.Deadline.After(limit) {
		request.Deadline = limit
	}
	if request.Key == "" {
		return refusal(codes.KeyMissing, "the call lacks its Idempotency-Key", false)
	}
	waiter := &claimWaiter{reply: make(chan wire.CallReply, 1)}
	if !c.enter(request, waiter) {
		return refusal(codes.QueueFull,
			"too many calls are in progress; this attempt sent nothing; the same key may be used again", true)
	}
	// The call answers at the deadline; the limit only keeps a fault from holding the caller.
	limit := time.NewTimer(request.Deadline.Sub(c.Now()) + waitLimit)
	defer limit.Stop()
	select {
	case reply := <-waiter.reply:
		return reply
	case <-limit.C:
		return refusal(codes.OutcomeUnknown, "the call gave no answer at its deadline", true)
	case <-ctx.Done():
		return refusal(codes.OutcomeUnknown, "the caller has left before the outcome was known", true)
	case <-c.ctx.Done():
		return refusal(codes.OutcomeUnknown, "the daemon stops before the outcome was known", true)
	}
}

// Has reports whether a call with the request's key is in progress here.
func (c *Claims) Has(request wire.CallRequest) bool {
	s := c.shard(ClaimStream(request.Account, request.Key))
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[claim.Changed{Account: request.Account, Key: request.Key}] != nil
}

// Unended returns the number of calls whose outcome or end record only this daemon can still
// give. A daemon that stops before leaves them unknown to all others for good.
func (c *Claims) Unended() int {
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

// enter joins the call in progress with the request's key or starts one. It returns false
// if there is no room for another call.
func (c *Claims) enter(request wire.CallRequest, waiter *claimWaiter) bool {
	s := c.shard(ClaimStream(request.Account, request.Key))
	if s == nil {
		return false
	}
	hash := claim.HashCall(request)
	s.mu.Lock()
	key := claim.Changed{Account: request.Account, Key: request.Key}
	a := s.byKey[key]
	joins := a != nil && a.call.Phase != claim.Withdrawn
	if !joins && !c.reserve(s) {
		s.mu.Unlock()
		return false
	}
	id := c.next()
	w := claim.Waiter{ID: id, BodyHash: hash, Deadline: request.Deadline}
	if !joins {
		a = &activeCall{id: id, request: request, waiters: map[int64]*claimWaiter{}}
		a.call = claim.NewCall(claim.Settings{
			Account: request.Account, Key: request.Key, BodyHash: hash, Incarnation: c.Incarnation,
			ClaimID: ident.NewRecordID(), EndID: ident.NewRecordID(),
			Deadline: request.Deadline, Window: c.Window,
		})
		s.calls[id], s.byKey[key] = a, a
	}
	a.waiters[id] = waiter
	waiter.timer = time.AfterFunc(request.Deadline.Sub(c.Now()), func() { c.deadline(s, a, id, waiter) })
	// The message is given before the lock is released: a call that was found here could
	// otherwise end first, and its new waiter would never be answered.
	var message claim.Message = claim.Arrived{Now: c.Now(), Waiter: w}
	if joins {
		message = claim.Joined{Now: c.Now(), Waiter: w}
	}
	effects := c.apply(s, a, message)
	s.mu.Unlock()
	effects()
	return true
}

// deadline reports a passed deadline, and again a little later if the clock that Now
// reads has not reached it yet.
func (c *Claims) deadline(s *shard, a *activeCall, id int64, w *claimWaiter) {
	c.work(func() {
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
			stream: stream, index: claim.NewIndex(c.Window, maxShardResults), calls: map[int64]*activeCall{},
			byKey: map[claim.Changed]*activeCall{}, wake: make(chan struct{}, 1),
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

func (c *Claims) next() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	return c.serial
}

// reserve counts a new call, and drops an idle one of the shard if the table is full. The
// shard is locked.
func (c *Claims) reserve(s *shard) bool {
	c.mu.Lock()
	full := c.count >= c.MaxCalls
	if !full {
		c.count++
	}
	c.mu.Unlock()
	if !full {
		return true
	}
	for _, a := range s.calls {
		if a.call.Idle() {
			// The new call takes the dropped call's place in the count.
			s.forget(a)
			return true
		}
	}
	return false
}

// forget removes a call from the shard and reports whether it was there.
func (s *shard) forget(a *activeCall) bool {
	if s.calls[a.id] != a {
		return false
	}
	delete(s.calls, a.id)
	key := claim.Changed{Account: a.call.Account, Key: a.call.Key}
	if s.byKey[key] == a {
		delete(s.byKey, key)
	}
	return true
}

func (c *Claims) release(s *shard, a *activeCall) {
	if s.forget(a) {
		c.mu.Lock()
		c.count--
		c.mu.Unlock()
	}
}

// update gives a message to a call and carries its commands out after the lock is released.
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

// apply gives a message to a call, answers its waiters and returns the remaining effects,
// which the caller carries out after it has released the shard's lock.
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
			c.carryOut(s, a, command)
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
			{Name: "ClaimOffset", Value: float64(call.Offset)},
			{Name: "Appends", Value: float64(call.Appends)},
			{Name: "Code", Value: float64(call.Answer.Code)},
		},
	})
}

func (c *Claims) carryOut(s *shard, a *activeCall, command claim.Command) {
	switch m := command.(type) {
	case claim.ReadShard:
		c.want(s, a)
	case claim.ReadResult:
		c.work(func() { c.update(s, a, c.readResult(s, m.Offset)) })
	case claim.AppendRecord:
		c.enqueue(s, a, m)
	case claim.ChooseEndpoint:
		address, version, fenced, ok := c.Endpoint(a.request.Route)
		if !ok {
			c.update(s, a, claim.NoEndpoint{Now: c.Now()})
			return
		}
		c.update(s, a, claim.EndpointChosen{Now: c.Now(), Address: address, Version: version, Fenced: fenced})
	case claim.SendOnce:
		c.work(func() { c.update(s, a, c.send(a.request, m.Address, m.Fencing)) })
	case claim.AskWinner:
		c.work(func() {
			ctx, cancel := context.WithTimeout(c.ctx, a.request.Deadline.Sub(c.Now()))
			defer cancel()
			reply, err := c.AskDaemon(ctx, string(m.Incarnation), a.request)
			if err != nil {
				c.update(s, a, claim.WinnerSilent{Now: c.Now()})
				return
			}
			c.update(s, a, claim.WinnerAnswered{Now: c.Now(), Reply: reply})
		})
	}
}

// want asks for a read to the tail that begins after now, and starts the shard's follower
// if it does not run.
func (c *Claims) want(s *shard, a *activeCall) {
	s.mu.Lock()
	s.wanted = append(s.wanted, a)
	start := !s.following
	s.following = true
	s.mu.Unlock()
	if start && !c.work(func() { c.follow(s) }) {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// follow reads the shard while a call waits for its records.
func (c *Claims) follow(s *shard) {
	wait := firstLogWait
	for {
		s.mu.Lock()
		wanted := s.wanted
		s.wanted = nil
		if len(wanted) == 0 && !s.watched() || c.ctx.Err() != nil {
			s.following = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if err := c.readToTail(s); err != nil {
			for _, a := range wanted {
				c.update(s, a, claim.LogDown{Now: c.Now()})
			}
			c.pause(wait/2 + rand.N(wait))
			wait = min(2*wait, maxLogWait)
			continue
		}
		wait = firstLogWait
		for _, a := range wanted {
			s.mu.Lock()
			view := s.index.View(a.call.Account, a.call.Key)
			s.mu.Unlock()
			c.update(s, a, claim.ShardRead{Now: c.Now(), View: view})
		}
		timer := time.NewTimer(s.period())
		select {
		case <-s.wake:
		case <-timer.C:
		case <-c.ctx.Done():
		}
		timer.Stop()
	}
}

// watched reports whether a call waits for a record. The shard is locked.
func (s *shard) watched() bool {
	for _, a := range s.calls {
		switch a.call.Phase {
		case claim.Reading, claim.Claiming, claim.Following, claim.Withdrawn:
			return true
		}
	}
	return false
}

// period returns the time until the next read.
func (s *shard) period() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.calls {
		if a.call.Phase == claim.Reading || a.call.Phase == claim.Claiming {
			return claimPeriod
		}
	}
	return followPeriod
}

func (c *Claims) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// readToTail reads until the offset that was the stream's next one at the first answer.
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
			return eris.Errorf("stream %s ends at %d and was read to %d", s.stream, page.Next, from)
		}
		if target < 0 {
			target = page.Next
		}
		s.mu.Lock()
		changed, lost := s.index.FoldPage(page)
		reached := s.index.Next()
		seen := make(map[claim.Changed]struct{}, len(changed))
		for _, key := range changed {
			seen[key] = struct{}{}
		}
		var told []*activeCall
		var views []claim.View
		for _, a := range s.calls {
			key := claim.Changed{Account: a.call.Account, Key: a.call.Key}
			if _, ok := seen[key]; ok {
				told, views = append(told, a), append(views, s.index.View(key.Account, key.Key))
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
		for i, a := range told {
			c.update(s, a, claim.RecordSeen{Now: c.Now(), View: views[i]})
		}
		switch {
		case reached >= target:
			return nil
		case reached <= from:
			return eris.Errorf("a read of stream %s from %d gave no records before %d", s.stream, from, target)
		}
	}
}

func (c *Claims) readResult(s *shard, offset int64) claim.Message {
	ctx, cancel := context.WithTimeout(c.ctx, logTimeout)
	defer cancel()
	page, err := c.ReadLog(ctx, s.stream, offset)
	if err != nil {
		return claim.LogDown{Now: c.Now()}
	}
	var record claim.Record
	if len(page.Records) > 0 && page.Records[0].Offset == offset {
		record, _ = claim.Decode(page.Records[0].Data)
	}
	return claim.ResultRead{Now: c.Now(), Record: record}
}

// enqueue adds a record to the shard's next append.
func (c *Claims) enqueue(s *shard, a *activeCall, m claim.AppendRecord) {
	data, err := m.Record.Encode()
	if err != nil {
		c.update(s, a, claim.AppendUnknown{Now: c.Now(), ID: m.ID})
		return
	}
	s.mu.Lock()
	s.queue = append(s.queue, queuedRecord{call: a, payload: wire.LogPayload{ID: m.ID, Data: data}})
	start := !s.flushing
	s.flushing = true
	s.mu.Unlock()
	if start {
		c.work(func() { c.flush(s) })
	}
}

// flush appends the queued records together, one append at a time, until none is left.
func (c *Claims) flush(s *shard) {
	wait := firstLogWait
	for {
		c.pause(flushPeriod)
		s.mu.Lock()
		batch := s.queue
		if len(batch) > maxBatch {
			batch = batch[:maxBatch]
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
			c.pause(wait/2 + rand.N(wait))
			wait = min(2*wait, maxLogWait)
			continue
		}
		wait = firstLogWait
		for i, q := range batch {
			c.update(s, q.call, claim.AppendAnswered{Now: c.Now(), ID: q.payload.ID, Offset: first + int64(i)})
		}
	}
}

// sweep drops calls that nobody waits for and that can't help a later caller any more.
func (c *Claims) sweep() {
	for c.ctx.Err() == nil {
		c.pause(time.Second)
		now := c.Now()
		for _, s := range c.allShards() {
			s.mu.Lock()
			for _, a := range s.calls {
				limit := claim.EndPeriod
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

// send opens a connection and sends the call over it once. NotSent is returned only if no
// byte of the call has left.
func (c *Claims) send(request wire.CallRequest, address string, fencing int64) claim.Message {
	dialer := net.Dialer{Timeout: dialTimeout, Deadline: time.Now().Add(request.Deadline.Sub(c.Now()))}
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
	dialed := false
	client := fasthttp.HostClient{
		Addr: address,
		Dial: func(string) (net.Conn, error) {
			if dialed {
				return nil, errSecondDial
			}
			dialed = true
			return connection, nil
		},
		MaxConns:                  1,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxAnswer,
		DisablePathNormalizing:    true,
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + request.Path)
	req.Header.SetMethod(request.Method)
	req.Header.SetContentType("application/json")
	if request.Key != "" {
		req.Header.Set(wire.HeaderIdempotencyKey, request.Key)
	}
	req.Header.Set(wire.HeaderDeadline, request.Deadline.UTC().Format(wire.DeadlineLayout))
	if fencing >= 0 {
		req.Header.Set(wire.HeaderFencingNumber, strconv.FormatInt(fencing, 10))
	}
	req.SetConnectionClose()
	req.SetBody(request.Body)
	until := time.Now().Add(request.Deadline.Sub(c.Now()) + answerPeriod)
	if err := client.DoDeadline(req, resp, until); err != nil {
		return claim.AnswerLost{Now: c.Now()}
	}
	return claim.ServiceAnswered{Now: c.Now(), Status: resp.StatusCode(), Body: slices.Clone(resp.Body())}
}

func refusal(code codes.Code, sentence string, unknown bool) wire.CallReply {
	return wire.CallReply{Code: int(code), Message: sentence, Unknown: unknown}
}
