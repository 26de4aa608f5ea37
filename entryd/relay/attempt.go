package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/health"
	"lentilstage.dev/domain/setup"
)

type (
	// attempt is one send of a request to an endpoint.
	attempt struct {
		x        *exchange
		ctx      context.Context
		endpoint setup.Endpoint
		picked   choice.Picked
		placed   *placement
		sentAt   time.Time
		channel  *channel
		// stall gives the endpoint up for another one if it sends nothing; nil if no other
		// attempt can follow. stalled says that it did.
		stall   *time.Timer
		stalled atomic.Bool
		// written gets the result of a write that goes on while the answer is read.
		written chan error
	}

	// answer is an endpoint's whole answer.
	answer struct {
		status int
		header http.Header
		body   []byte
	}
)

const (
	// freshIdle is how long a connection may have been idle for a request that must not be
	// sent twice: an endpoint that closes it meanwhile leaves the outcome unknown.
	freshIdle = 300 * time.Millisecond
	// inlineBody is the size up to which a request is written before its answer is read.
	inlineBody = 16 << 10
	// maxBuffered is the size up to which an answer is read whole before it is passed on.
	maxBuffered = 1 << 20
	// maxStray bounds the answers of earlier requests that are skipped on a connection.
	maxStray = 3
	// stallPart of the target is waited for an endpoint that was expected to answer in
	// quickPart of it; a busy one gets busyPart.
	stallPart = 0.7
	quickPart = 0.3
	busyPart  = 1.6
)

var (
	// HopHeaders concern one connection only and are never passed on.
	HopHeaders = []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}

	// judgements are what the outcomes of sent attempts tell of the endpoint.
	judgements = map[outcome]health.OutcomeKind{
		delivered: health.Succeeded, failed: health.Failed, broken: health.Unreachable,
		stalled: health.TimedOut, late: health.TimedOut,
	}
)

// attempt sends the request to the endpoint, after a number of earlier sends, and passes its
// answer on.
func (x *exchange) attempt(ctx context.Context, endpoint setup.Endpoint, picked choice.Picked, placed *placement, sends int) outcome {
	a := &attempt{x: x, ctx: ctx, endpoint: endpoint, picked: picked, placed: placed}
	longest := keptIdle
	if !x.mayRepeat() {
		longest = freshIdle
	}
	c, reused, err := x.daemon.pool.get(ctx, endpoint.Address, longest)
	if err != nil {
		return a.noConnection(err)
	}
	a.channel = c
	a.sentAt = x.daemon.clock.now()
	_ = c.SetDeadline(x.deadline)
	if x.mayRepeat() && sends+1 < x.route.MaxAttempts {
		a.stall = time.AfterFunc(a.patience(), func() { a.giveUp(sends + 1) })
		defer a.stall.Stop()
	}
	x.log("Sent.", "Endpoint", endpoint.ID, "DataCentre", endpoint.DataCentre, "Predicted", int(picked.Wait),
		"Load", picked.Candidate.Load.Requests, "Cost", int(x.cost), "Uncached", picked.Uncached,
		"Fetched", picked.Fetched, "Source", picked.Source, "Reused", reused, "LastEvent", x.lastEvent)
	// The connection is closed as soon as the caller leaves, which ends the work at the endpoint.
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	result, keep, header := a.run()
	if stop() && keep {
		x.daemon.pool.put(c, header)
	} else {
		_ = c.Close()
	}
	return a.account(result)
}

// patience is how long the endpoint may send nothing if another attempt can follow.
func (a *attempt) patience() time.Duration {
	target := a.x.route.Target
	if a.picked.Wait < quickPart*float64(target.Milliseconds()) {
		return time.Duration(stallPart * float64(target))
	}
	return time.Duration(busyPart * float64(target))
}

// giveUp ends an attempt at an endpoint that has sent nothing for too long, if the retry
// budget grants another one. Otherwise the request goes on waiting.
func (a *attempt) giveUp(sends int) {
	if a.ctx.Err() != nil || !a.x.again(stalled, sends) {
		return
	}
	a.stalled.Store(true)
	_ = a.channel.Close()
}

func (a *attempt) noConnection(err error) outcome {
	if result, ended := a.ended(); ended {
		return result
	}
	a.x.log("No connection.", "Endpoint", a.endpoint.ID, "Address", a.endpoint.Address, "Error", err.Error())
	a.x.judge(a.endpoint, health.Unreachable, a.picked, a.x.daemon.clock.now())
	return notSent
}

// ended reports whether the caller has left or the deadline has passed.
func (a *attempt) ended() (outcome, bool) {
	if a.x.request.Context().Err() != nil {
		return callerGone, true
	}
	if a.ctx.Err() != nil || !a.x.daemon.clock.now().Before(a.x.deadline) {
		return late, true
	}
	return "", false
}

// account notes the outcome of a sent attempt.
func (a *attempt) account(result outcome) outcome {
	x := a.x
	if result == broken || result == stalled {
		if ended, ok := a.ended(); ok {
			result = ended
		}
	}
	if result != notRun {
		x.mayHaveRun = true
	}
	x.daemon.tables.attempted(x.suspect, result, x.daemon.clock.now())
	if kind, tells := judgements[result]; tells {
		x.judge(a.endpoint, kind, a.picked, a.sentAt)
	}
	x.log("Attempt ended.", "Endpoint", a.endpoint.ID, "Outcome", result,
		"Milliseconds", x.daemon.clock.now().Sub(a.sentAt).Milliseconds())
	return result
}

// run writes the request and reads the answer. keep says that the connection can carry
// another request.
func (a *attempt) run() (result outcome, keep bool, header http.Header) {
	if complete, err := a.write(); err != nil {
		if complete {
			return a.fault(err), false, nil
		}
		// An endpoint can't run a request of which it has only a part.
		return notRun, false, nil
	}
	response, reply, err := a.readHead()
	if err != nil {
		return a.fault(err), false, nil
	}
	if reply.Misdirected {
		a.x.daemon.tables.misdirect(a.endpoint)
	}
	if reply.NotRun {
		a.x.log("Not run.", "Endpoint", a.endpoint.ID, "Status", response.StatusCode, "Misdirected", reply.Misdirected)
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBuffered))
		return notRun, err == nil && a.reusable(response), response.Header
	}
	if !reply.Signed {
		a.x.log("Answer without signature.", "Endpoint", a.endpoint.ID, "Status", response.StatusCode)
		return broken, false, nil
	}
	if a.x.route.Kind == setup.Stream && response.StatusCode < http.StatusMultipleChoices {
		result, err = a.stream(response)
	} else {
		result, err = a.pass(response)
	}
	if err != nil {
		a.x.log("Answer broken.", "Endpoint", a.endpoint.ID, "Error", err.Error())
	}
	return result, err == nil && a.reusable(response), response.Header
}

// reusable reports whether the connection is free of the request and its answer.
func (a *attempt) reusable(response *http.Response) bool {
	if response.Close || response.StatusCode == http.StatusRequestTimeout || a.channel.reader.Buffered() > 0 {
		return false
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return false
	}
	if a.written == nil {
		return true
	}
	// An answer may come before the endpoint has read the whole request. What is left of the
	// request would be taken for the next one.
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// write sends the request. complete says that its last byte was handed over.
func (a *attempt) write() (complete bool, err error) {
	x := a.x
	now := x.daemon.clock.now()
	header := x.daemon.codec.SendHeader(x.call, Send{
		Endpoint: a.endpoint.ID, Account: x.account.Name, Deadline: x.deadline, Now: now,
		LastEvent: x.lastEvent, Priority: x.priority(), Source: a.placed.source,
	})
	var head bytes.Buffer
	head.Grow(1024 + len(x.call.Body))
	head.WriteString(x.call.Method + " " + x.call.Target + " HTTP/1.1\r\nHost: " + x.call.Host + "\r\n")
	if len(x.call.Body) > 0 || x.call.Method != http.MethodGet {
		header.Set("Content-Length", strconv.Itoa(len(x.call.Body)))
	}
	if err := header.Write(&head); err != nil {
		return false, err
	}
	head.WriteString("\r\n")
	head.Write(x.call.Body)
	message := head.Bytes()
	if len(message) <= inlineBody {
		n, err := a.channel.Write(message)
		return n == len(message), err
	}
	a.written = make(chan error, 1)
	written := a.written
	go func() {
		_, err := a.channel.Write(message)
		written <- err
	}()
	return true, nil
}

// readHead reads the head of the answer to this request. Answers to earlier requests, which
// may come late, are skipped.
func (a *attempt) readHead() (*http.Response, Reply, error) {
	for range maxStray {
		response, err := http.ReadResponse(a.channel.reader, &http.Request{Method: a.x.call.Method})
		if err != nil {
			return nil, Reply{}, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		reply := a.x.daemon.codec.ReadReply(response.StatusCode, response.Header)
		if reply.CallID == "" || reply.CallID == a.x.call.ID {
			return response, reply, nil
		}
		a.x.log("Answer to another request skipped.", "Endpoint", a.endpoint.ID, "Other", reply.CallID)
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, Reply{}, errUnsolicited
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, Reply{}, err
		}
	}
	return nil, Reply{}, errUnsolicited
}

// fault returns what an error on the connection means.
func (a *attempt) fault(err error) outcome {
	if a.stalled.Load() {
		return stalled
	}
	a.x.log("Connection failed.", "Endpoint", a.endpoint.ID, "Error", err.Error())
	return broken
}

// pass reads a whole answer and passes it on.
func (a *attempt) pass(response *http.Response) (outcome, error) {
	x := a.x
	x.daemon.tables.read(a.placed)
	x.began()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBuffered+1))
	if err != nil {
		return a.fault(err), err
	}
	whole := &answer{status: response.StatusCode, header: response.Header, body: body}
	if whole.status >= http.StatusInternalServerError {
		x.failure = whole
		return failed, nil
	}
	if len(body) > maxBuffered {
		return a.passLong(whole, response.Body)
	}
	whole.write(x.writer)
	return delivered, nil
}

// passLong passes an answer on while it is read.
func (a *attempt) passLong(begun *answer, rest io.Reader) (outcome, error) {
	copyHeader(a.x.writer.Header(), begun.header)
	a.x.writer.WriteHeader(begun.status)
	a.x.started = true
	_, err := io.Copy(a.x.writer, io.MultiReader(bytes.NewReader(begun.body), rest))
	if err != nil {
		return broken, err
	}
	return delivered, nil
}

// write gives the answer to the caller.
func (w *answer) write(writer http.ResponseWriter) {
	copyHeader(writer.Header(), w.header)
	if w.header.Get("Content-Length") == "" {
		writer.Header().Set("Content-Length", strconv.Itoa(len(w.body)))
	}
	writer.WriteHeader(w.status)
	// An error means that the caller has left.
	_, _ = writer.Write(w.body)
}

// copyHeader copies an endpoint's header but for what concerns its connection.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(HopHeaders, name) {
			to[name] = values
		}
	}
}
