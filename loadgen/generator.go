package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/answer"
)

type (
	// generator sends the planned calls.
	generator struct {
		options options
		client  *http.Client
		report  *report
		next    atomic.Uint64

		mutex sync.Mutex
		// latestRequests holds each user's newest request, which the next one supersedes.
		latestRequests map[string]ident.RequestID
		// placedKeys holds the keys of recently completed orders, for lookups.
		placedKeys []string
	}
)

const (
	// dialTimeout limits one connection attempt, after which the next daemon is tried.
	dialTimeout = time.Second
	// minRetryWait is the shortest time between two tries, and maxRetryWait the longest wait
	// for a refusal's RetryAt.
	minRetryWait = 50 * time.Millisecond
	maxRetryWait = 2 * time.Second
	// deadlineGrace is the time after its deadline at which a call is cancelled.
	deadlineGrace = 2 * time.Second
	// maxAnswerBytes limits an answer that is not streamed.
	maxAnswerBytes = 1 << 20
	// maxPlacedKeys limits the keys that lookups draw from.
	maxPlacedKeys = 1000
)

// errBroken reports a broken connection, or an answer that is neither the service's nor a
// refusal.
var errBroken = eris.New("connection broken")

// generate sends calls until a limit of the options is reached or the context ends, waits for
// all answers and returns the report.
func generate(ctx context.Context, o options) *report {
	g := &generator{
		options: o,
		client: &http.Client{Transport: answer.Wrap(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: o.maxInFlight,
			DisableCompression:  true,
		})},
		report:         newReport(o),
		latestRequests: map[string]ident.RequestID{},
	}
	defer g.client.CloseIdleConnections()
	p := newPlan(o.seed, o.kinds(), o.rate, len(o.keys))
	slots := make(chan struct{}, o.maxInFlight)
	var calls sync.WaitGroup
	begin := time.Now()
	due := begin
	for sent := 0; o.requests == 0 || sent < o.requests; sent++ {
		c := p.next()
		due = due.Add(c.delay)
		if o.seconds > 0 && due.Sub(begin).Seconds() > o.seconds {
			break
		}
		if !sleep(ctx, time.Until(due)) {
			break
		}
		slots <- struct{}{}
		calls.Go(func() {
			g.send(c)
			<-slots
		})
	}
	calls.Wait()
	g.report.Seconds = time.Since(begin).Seconds()
	return g.report
}

// send runs one call and records its result. A signal does not cancel calls in progress; they
// end by their own deadlines, so that each call has an outcome.
func (g *generator) send(c call) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), now.Add(c.kind.timeout+deadlineGrace))
	defer cancel()
	var r result
	switch c.kind.callType {
	case typeChat:
		r = g.sendChat(ctx, c, now.Add(c.kind.timeout))
	case typeOrder:
		r = g.sendOrder(ctx, c, now.Add(c.kind.timeout))
	case typeLookup:
		r = g.sendLookup(ctx, c, now.Add(c.kind.timeout))
	}
	r.duration = time.Since(now)
	g.report.add(c.kind.name, r)
}

// nextAddress returns the addresses of the daemons in turn, like a round-robin load balancer.
func (g *generator) nextAddress() string {
	return g.options.daemons[int(g.next.Add(1)-1)%len(g.options.daemons)]
}

// waitForRetry waits before the next try. It returns false if the call's context has ended.
func waitForRetry(ctx context.Context, refusal *codes.Refusal) bool {
	wait := minRetryWait
	if refusal != nil {
		wait = min(max(wait, time.Until(refusal.RetryAt)), maxRetryWait)
	}
	return sleep(ctx, wait)
}

func sleep(ctx context.Context, period time.Duration) bool {
	select {
	case <-time.After(period):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// retryable reports whether the refusal allows another try with the same input.
func retryable(r *codes.Refusal) bool {
	return !r.RetryAt.IsZero() || r.Code == codes.Draining || r.Code == codes.Moved
}

// parseRefusal returns the refusal in an answer, or nil if the answer is the service's own.
func parseRefusal(body []byte) *codes.Refusal {
	var refusal codes.Refusal
	if json.Unmarshal(body, &refusal) != nil || refusal.Code == 0 {
		return nil
	}
	return &refusal
}

// exchange sends a plain request and reads the whole answer.
func (g *generator) exchange(request *http.Request) (int, []byte, error) {
	response, err := g.client.Do(request)
	if err != nil {
		return 0, nil, eris.Wrap(errBroken, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, eris.Wrap(errBroken, err.Error())
	}
	return response.StatusCode, body, nil
}
