package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"
)

type (
	// answerTracker holds the part of an answer that has been received, and checks each chunk.
	answerTracker struct {
		id        ident.RequestID
		prefix    string
		maxTokens int
		// direct is set if an engine answers, whose events have no identifiers.
		direct bool

		// accepted is set once a daemon has accepted the request.
		accepted bool
		// received is the number of tokens so far.
		received int
		// lastEvent is the identifier of the latest token's event. It is sent back
		// unchanged as Last-Event-ID.
		lastEvent string
		finished  bool
		usage     wire.ChatUsage
		// problem describes what is wrong with the answer, or is empty.
		problem string
		// firstToken and latestToken are the times of the first and the latest token, gaps the times
		// between tokens.
		firstToken  time.Time
		latestToken time.Time
		gaps        []time.Duration
	}
)

// sendChat sends a model request and resumes its answer after broken connections.
func (g *generator) sendChat(ctx context.Context, c call, deadline time.Time) result {
	a := &answerTracker{id: ident.NewRequestID(), prefix: wire.AnswerPrefix(c.request.Prompt()), maxTokens: c.request.TokenLimit(), direct: g.options.direct}
	var supersedes ident.RequestID
	if c.kind.replacesPrevious {
		supersedes = g.replaceLatest(c, a.id)
	}
	begin, r := time.Now(), result{}
	for tries := 0; ; tries++ {
		var request *http.Request
		if a.accepted {
			request = g.resumeRequest(c, a)
		} else {
			request = g.chatRequest(c, a, supersedes, deadline)
		}
		refusal, err := g.readStream(ctx, request, a)
		if refusal != nil {
			r.refusals = append(r.refusals, refusal.Code)
		}
		switch {
		case a.problem != "":
			return r.withAnswer(outcomeWrong, a, begin)
		case err == nil && refusal == nil:
			return r.withAnswer(outcomeComplete, a, begin)
		case refusal != nil && refusal.Code == codes.Superseded:
			return r.withAnswer(outcomeSuperseded, a, begin)
		case refusal != nil && a.accepted && !retryable(refusal):
			return r.withAnswer(outcomeLost, a, begin)
		case refusal != nil && !retryable(refusal):
			return r.withAnswer(outcomeRefused, a, begin)
		}
		// An accepted request is resumed until its deadline.
		if (!a.accepted && tries >= g.options.retries) || !waitForRetry(ctx, refusal) {
			switch {
			case a.accepted:
				return r.withAnswer(outcomeLost, a, begin)
			case refusal != nil:
				return r.withAnswer(outcomeRefused, a, begin)
			default:
				return r.withAnswer(outcomeUnknown, a, begin)
			}
		}
		if a.accepted {
			r.reconnects++
		} else {
			r.retries++
		}
	}
}

// replaceLatest records the user's newest request and returns the previous one.
func (g *generator) replaceLatest(c call, id ident.RequestID) ident.RequestID {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	user := c.kind.name + "/" + strconv.Itoa(c.user)
	before := g.latestRequests[user]
	g.latestRequests[user] = id
	return before
}

func (g *generator) chatRequest(c call, a *answerTracker, supersedes ident.RequestID, deadline time.Time) *http.Request {
	// Encoding can't fail: the request holds only strings and numbers.
	body, _ := json.Marshal(c.request)
	request := g.newRequest(http.MethodPost, "/v1/chat/completions", body, c, deadline)
	request.Header.Set(wire.HeaderRequestID, string(a.id))
	if g.options.direct {
		request.Header.Set(wire.HeaderAttemptID, string(a.id))
	}
	if supersedes != "" {
		request.Header.Set(wire.HeaderSupersedes, string(supersedes))
	}
	return request
}

func (g *generator) resumeRequest(c call, a *answerTracker) *http.Request {
	request := g.newRequest(http.MethodGet, "/v1/requests/"+string(a.id)+"/events", nil, c, time.Time{})
	if a.lastEvent != "" {
		request.Header.Set(wire.HeaderLastEventID, a.lastEvent)
	}
	return request
}

// newRequest returns a request to the next daemon. A zero deadline sends neither deadline nor
// priority.
func (g *generator) newRequest(method, path string, body []byte, c call, deadline time.Time) *http.Request {
	request, err := http.NewRequest(method, "http://"+g.nextAddress()+path, bytes.NewReader(body))
	if err != nil {
		// Only an address from the flags can be malformed.
		request, _ = http.NewRequest(method, "http://invalid", nil)
	}
	request.Header.Set("Authorization", "Bearer "+g.options.keys[c.account])
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	if !deadline.IsZero() {
		request.Header.Set(wire.HeaderDeadline, deadline.UTC().Format(wire.DeadlineLayout))
		request.Header.Set(wire.HeaderPriority, strconv.Itoa(c.kind.priority))
	}
	return request
}

// readStream reads the part of the answer that one connection delivers. It returns neither a
// refusal nor an error after a complete answer or one with a problem.
func (g *generator) readStream(ctx context.Context, request *http.Request, a *answerTracker) (*codes.Refusal, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(g.options.idle, cancel)
	defer idle.Stop()
	response, err := g.client.Do(request.WithContext(ctx))
	if err != nil {
		return nil, errBroken
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
		if refusal := parseRefusal(body); refusal != nil {
			return refusal, nil
		}
		return nil, errBroken
	}
	events := wire.NewEventReader(response.Body)
	for {
		event, err := events.Next()
		if err != nil {
			return nil, errBroken
		}
		idle.Reset(g.options.idle)
		a.accepted = true
		switch {
		case event.Event == "accepted":
			continue
		case event.Event == "moved":
			return codes.Refuse(codes.Moved, "moved"), nil
		case string(event.Data) == wire.StreamDone:
			if !a.finished {
				a.problem = "the stream is done without a finish reason"
			}
			return nil, nil
		}
		if refusal := parseRefusal(event.Data); refusal != nil {
			return refusal, nil
		}
		if a.addChunk(event, time.Now()); a.problem != "" {
			return nil, nil
		}
	}
}

// addChunk checks the chunk in the event and adds it to the answer.
func (a *answerTracker) addChunk(event wire.StreamEvent, now time.Time) {
	chunk, err := wire.Decode[wire.ChatChunk](event.Data)
	switch {
	case err != nil || len(chunk.Choices) != 1:
		a.problem = "a chunk can't be read"
		return
	case chunk.ID != string(a.id):
		a.problem = "a chunk has the identifier " + chunk.ID
		return
	case a.finished:
		a.problem = "a chunk comes after the finish reason"
		return
	}
	choice := chunk.Choices[0]
	if text := choice.Delta.Content; text != "" {
		a.addToken(event.ID, chunk.Offset, text, now)
	}
	if a.problem != "" || choice.FinishReason == nil {
		return
	}
	a.finished = true
	if chunk.Usage != nil {
		a.usage = *chunk.Usage
	}
	switch {
	case a.received != a.maxTokens:
		a.problem = "finished after " + strconv.Itoa(a.received) + " of " + strconv.Itoa(a.maxTokens) + " tokens"
	case *choice.FinishReason != wire.FinishLength && *choice.FinishReason != wire.FinishStop:
		a.problem = "finish reason " + *choice.FinishReason
	case chunk.Usage != nil && chunk.Usage.CompletionTokens != a.maxTokens:
		a.problem = "usage counts " + strconv.Itoa(chunk.Usage.CompletionTokens) + " completion tokens"
	}
}

func (a *answerTracker) addToken(eventID string, offset int, text string, now time.Time) {
	switch {
	case offset < a.received:
		a.problem = "token " + strconv.Itoa(offset) + " is repeated"
	case offset > a.received:
		a.problem = "a gap before token " + strconv.Itoa(offset)
	case text != wire.TokenTextForPrefix(a.prefix, offset):
		a.problem = "token " + strconv.Itoa(offset) + " is of another answer: " + text
	case eventID == "" && !a.direct:
		a.problem = "token " + strconv.Itoa(offset) + " has no event identifier"
	}
	a.lastEvent = eventID
	if a.received == 0 {
		a.firstToken = now
	} else {
		a.gaps = append(a.gaps, now.Sub(a.latestToken))
	}
	a.latestToken = now
	a.received++
}
