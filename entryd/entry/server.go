package entry

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/gofiber/fiber/v2"

	"lentilstage.dev/decide/config"
	"lentilstage.dev/decide/hold"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

type (
	// server is the HTTP server for callers and operators.
	server struct {
		daemon *Daemon
		base   *Base
		logger logr.Logger
		app    *fiber.App
	}
)

const (
	// defaultModelTimeout applies to a model request without a deadline.
	defaultModelTimeout = 10 * time.Minute
	// maxModelTimeout bounds the deadline of a model request.
	maxModelTimeout = time.Hour
	// defaultCallTimeout and maxCallTimeout are the corresponding values for plain calls.
	defaultCallTimeout = 10 * time.Second
	maxCallTimeout     = 30 * time.Second
	// writeTimeout bounds one write to a slow caller.
	writeTimeout = 30 * time.Second
	// reconnectDelay is the delay after which the caller of a moved request may reconnect.
	reconnectDelay = 50 * time.Millisecond
	// retryDelay is the delay after which a refused caller may retry.
	retryDelay = time.Second
	// localPermit and localOperator are the keys of the authenticated identity in the request's
	// locals.
	localPermit   = "permit"
	localOperator = "operator"
)

// requestIDPattern allows only identifiers that are safe in a path and in a log line.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

func newServer(d *Daemon) *server {
	s := &server{daemon: d, base: d.base, logger: d.base.Logger.WithName("server")}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		// Without Immutable, header values share the connection's buffer and change with the next
		// request. Identifiers are kept for minutes.
		Immutable:    true,
		BodyLimit:    d.base.Settings.MaxBodyKiB << 10,
		ErrorHandler: s.handleError,
		// Handlers read bodies, within the account of what callers hold. Without this, the library holds every
		// body before any handler runs, also at paths that need none.
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
	})
	s.app.Use(s.countRequest)
	s.app.Get("/livez", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.ready)
	s.app.Get("/metrics", s.metrics)
	caller := s.app.Group("/v1", s.countCaller, s.authenticateCaller)
	caller.Post("/chat/completions", s.readBody, s.postChat)
	caller.Get("/requests/:id/events", s.getEvents)
	s.app.All("/app/:route/*", s.authenticateCaller, s.readBody, s.plainCall)
	s.routeOperators()
	return s
}

// serve serves requests until the listener is closed.
func (s *server) serve(listener net.Listener) error {
	return s.app.Listener(listener)
}

// handleError writes an error as a refusal.
func (s *server) handleError(c *fiber.Ctx, err error) error {
	var refusal *codes.Refusal
	if errors.As(err, &refusal) {
		s.base.Counters.countRefusal(refusal.Code)
		if !refusal.RetryAt.IsZero() {
			seconds := max(1, int(refusal.RetryAt.Sub(s.base.Now()).Seconds()+0.999))
			c.Set(fiber.HeaderRetryAfter, strconv.Itoa(seconds))
		}
		return c.Status(refusal.HTTPStatus()).JSON(refusal)
	}
	var fiberError *fiber.Error
	if errors.As(err, &fiberError) {
		code := codes.BadRequest
		if fiberError.Code == fiber.StatusRequestEntityTooLarge {
			code = codes.BodyTooLarge
		}
		return c.Status(fiberError.Code).JSON(codes.Refuse(code, "%s", fiberError.Message))
	}
	s.logger.Error(err, "Request failed.", "path", c.Path())
	return c.Status(fiber.StatusInternalServerError).
		JSON(codes.Refuse(codes.OutcomeUnknown, "internal error"))
}

// ready reports to the load balancer whether the daemon accepts new requests.
func (s *server) ready(c *fiber.Ctx) error {
	if refusal := s.daemon.checkAccepting(); refusal != nil {
		return refusal
	}
	return c.SendString("ok\n")
}

// countCaller counts a model request from its arrival, so that shutdown also waits for queued
// requests. The request is counted before the check for draining, so that shutdown misses none. A
// stream increments the count itself before its handler returns.
func (s *server) countCaller(c *fiber.Ctx) error {
	s.daemon.connections.Add(1)
	defer s.daemon.connections.Add(-1)
	return c.Next()
}

// authenticateCaller finds the account of the caller's key.
func (s *server) authenticateCaller(c *fiber.Ctx) error {
	permit, refusal := s.daemon.control.authenticate(ident.HashSecret(bearer(c)))
	if refusal != nil {
		return untriedRefusal(refusal, c)
	}
	c.Locals(localPermit, permit)
	return c.Next()
}

// bearer returns the key in the Authorization header.
func bearer(c *fiber.Ctx) string {
	return strings.TrimPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
}

// postChat handles a model request. It sends the answer as a stream, or in one message if the
// caller did not ask for a stream.
func (s *server) postChat(c *fiber.Ctx) error {
	if refusal := s.daemon.checkAccepting(); refusal != nil {
		return refusal
	}
	body := append([]byte(nil), c.Body()...)
	chat, err := wire.Decode[wire.ChatRequest](body)
	if err != nil {
		return codes.Refuse(codes.BadRequest, "%s", err.Error())
	}
	chat.Resume = nil
	permit, route, refusal := s.daemon.control.authorize(c.Locals(localPermit).(config.Permit), chat.Model, table.Model)
	if refusal != nil {
		return refusal
	}
	deadline, refusal := s.deadline(c, defaultModelTimeout, maxModelTimeout)
	if refusal != nil {
		return refusal
	}
	priority, refusal := s.priority(c, route)
	if refusal != nil {
		return refusal
	}
	id := c.Get(wire.HeaderRequestID)
	if id == "" {
		id = string(ident.NewRequestID())
	} else if refusal := checkRequestID(id); refusal != nil {
		return refusal
	}
	record := wire.HeldRequest{
		RequestID: id, Account: permit.Account, Route: route.Name,
		Fingerprint: ident.Fingerprint(permit.Account, body), Body: body,
		Priority: priority, Deadline: deadline,
	}
	if superseded := c.Get(wire.HeaderSupersedes); superseded != "" {
		s.daemon.supersede(permit.Account, superseded)
	}
	at, refusal := s.open(c, permit, route, record, chat, deadline.Add(-time.Duration(route.FirstTokenMs)*time.Millisecond))
	if refusal != nil {
		return refusal
	}
	if !chat.Stream {
		return s.sendAnswer(c, record, at)
	}
	s.sendStream(c, record, at, hold.Position{})
	return nil
}

// open finds a request that the caller has sent before, or opens a new one.
func (s *server) open(c *fiber.Ctx, permit config.Permit, route table.Route, record wire.HeldRequest, chat wire.ChatRequest, startBy time.Time) (located, *codes.Refusal) {
	if c.Get(wire.HeaderRequestID) != "" {
		at, refusal := s.daemon.locator.locate(record.Account, record.RequestID, hold.Position{})
		if refusal == nil && at.ownedRequest != nil && at.ownedRequest.fingerprint != record.Fingerprint {
			return at, codes.Refuse(codes.RequestIDReused, "request identifier %s was used with another body", record.RequestID)
		}
		if refusal == nil || refusal.Code != codes.RequestUnknown {
			return at, refusal
		}
	}
	if refusal := s.daemon.checkHolderAvailable(); refusal != nil {
		return located{}, refusal
	}
	if refusal := s.daemon.checkEvacuation(route); refusal != nil {
		return located{}, refusal
	}
	opened, refusal := s.daemon.requests.open(permit, record, chat, startBy)
	return located{ownedRequest: opened}, refusal
}

// getEvents sends the rest of a request's answer after a reconnect.
func (s *server) getEvents(c *fiber.Ctx) error {
	permit := c.Locals(localPermit).(config.Permit)
	position, err := hold.ParseEventID(c.Get(wire.HeaderLastEventID))
	if err != nil {
		return codes.Refuse(codes.BadRequest, "Last-Event-ID %q is not an event of an answer", c.Get(wire.HeaderLastEventID))
	}
	id := c.Params("id")
	if refusal := checkRequestID(id); refusal != nil {
		return refusal
	}
	if s.daemon.draining.Load() {
		return s.daemon.checkAccepting()
	}
	at, refusal := s.daemon.locator.locate(permit.Account, id, position)
	if refusal != nil {
		return refusal
	}
	// The lookup may have waited for other daemons while the key was withdrawn. The serving lease is
	// not required, since the request was accepted before.
	if refusal := s.daemon.control.checkKey(permit); refusal != nil {
		return refusal
	}
	record := wire.HeldRequest{RequestID: id, Account: permit.Account}
	if at.ownedRequest != nil {
		record = at.ownedRequest.record()
	}
	s.sendStream(c, record, at, position)
	return nil
}

// connectCaller returns the queue of a caller's connection and a function that closes it.
func (s *server) connectCaller(record wire.HeldRequest, at located, position hold.Position) (*callerQueue, func()) {
	s.daemon.connections.Add(1)
	if at.ownedRequest != nil {
		id, queue := at.ownedRequest.addCaller(position)
		return queue, func() {
			at.ownedRequest.removeCaller(id)
			s.daemon.connections.Add(-1)
		}
	}
	queue := newCallerQueue()
	stop := make(chan struct{})
	go s.daemon.locator.followRemote(record.Account, record.RequestID, at.owner, position, queue, stop)
	return queue, func() {
		close(stop)
		s.daemon.connections.Add(-1)
	}
}

// sendStream streams the answer, starting at the position.
func (s *server) sendStream(c *fiber.Ctx, record wire.HeldRequest, at located, position hold.Position) {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Set(wire.HeaderRequestID, record.RequestID)
	queue, leave := s.connectCaller(record, at, position)
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer leave()
		s.writeStream(w, record, at, queue)
	})
}

// writeStream writes events until the answer ends or the caller has disconnected. Each token event
// has an identifier that the caller sends as Last-Event-ID when it reconnects.
func (s *server) writeStream(w *bufio.Writer, record wire.HeldRequest, at located, queue *callerQueue) {
	for {
		for _, item := range queue.take() {
			if s.writeItem(w, record, at, item) != nil || item.End {
				_ = w.Flush()
				return
			}
		}
		if w.Flush() != nil {
			return
		}
		<-queue.changed
	}
}

// writeItem writes the events of one item.
func (s *server) writeItem(w *bufio.Writer, record wire.HeldRequest, at located, item callerItem) error {
	if item.Accepted {
		choice := wire.ChatChoice{Delta: wire.ChatDelta{Role: "assistant"}}
		if err := writeEvent(w, "", chunkOf(record, choice, 0, nil)); err != nil {
			return err
		}
	}
	for i, token := range item.Tokens {
		offset := item.Offset + i
		id := hold.Position{Tokens: offset + 1, Branch: item.Branch}.EventID()
		choice := wire.ChatChoice{Delta: wire.ChatDelta{Content: token}}
		if err := writeEvent(w, id, chunkOf(record, choice, offset, nil)); err != nil {
			return err
		}
	}
	if !item.End {
		return nil
	}
	if item.Code != 0 {
		data, err := json.Marshal(s.endRefusal(record, item.Code))
		if err != nil {
			return err
		}
		_, err = w.Write(wire.StreamEvent{Event: "error", Data: data}.Append(nil))
		return err
	}
	finish := item.Finish
	if err := writeEvent(w, "", chunkOf(record, wire.ChatChoice{FinishReason: &finish}, 0, usageOf(at))); err != nil {
		return err
	}
	_, err := w.Write(wire.StreamEvent{Data: []byte(wire.StreamDone)}.Append(nil))
	return err
}

// endRefusal returns the refusal that ends an accepted request's stream.
func (s *server) endRefusal(record wire.HeldRequest, code codes.Code) *codes.Refusal {
	refusal := codes.Refuse(code, "request %s: %s", record.RequestID, code.Info().Meaning)
	if code == codes.Moved {
		refusal = refusal.WithRetryAt(s.base.Now().Add(reconnectDelay))
	}
	return refusal
}

// usageOf returns the token usage of this daemon's attempts, or nil if another daemon serves the
// request.
func usageOf(at located) *wire.ChatUsage {
	if at.ownedRequest == nil {
		return nil
	}
	usage := at.ownedRequest.totalUsage()
	return &usage
}

func writeEvent(w *bufio.Writer, id string, chunk wire.ChatChunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	_, err = w.Write(wire.StreamEvent{ID: id, Data: data}.Append(nil))
	return err
}

func chunkOf(record wire.HeldRequest, choice wire.ChatChoice, offset int, usage *wire.ChatUsage) wire.ChatChunk {
	return wire.ChatChunk{
		ID: record.RequestID, Object: wire.ChunkObject, Model: record.Route,
		Choices: []wire.ChatChoice{choice}, Offset: offset, Usage: usage,
	}
}

// sendAnswer waits for the end and sends the answer in one message.
func (s *server) sendAnswer(c *fiber.Ctx, record wire.HeldRequest, at located) error {
	queue, leave := s.connectCaller(record, at, hold.Position{})
	defer leave()
	var text strings.Builder
	for {
		for _, item := range queue.take() {
			for _, token := range item.Tokens {
				text.WriteString(token)
			}
			switch {
			case item.End && item.Code != 0:
				return s.endRefusal(record, item.Code)
			case item.End:
				c.Set(wire.HeaderRequestID, record.RequestID)
				answer := wire.ChatAnswer{
					ID: record.RequestID, Object: wire.AnswerObject, Model: record.Route,
					Choices: []wire.AnswerChoice{{
						Message:      wire.ChatMessage{Role: "assistant", Content: text.String()},
						FinishReason: item.Finish,
					}},
				}
				if usage := usageOf(at); usage != nil {
					answer.Usage = *usage
				}
				return c.JSON(answer)
			}
		}
		<-queue.changed
	}
}

// deadline parses the Deadline header. Without one it returns now plus fallback. A later deadline
// than now plus maximum is shortened to that.
func (s *server) deadline(c *fiber.Ctx, fallback, maximum time.Duration) (time.Time, *codes.Refusal) {
	now := s.base.Now()
	text := c.Get(wire.HeaderDeadline)
	if text == "" {
		return now.Add(fallback), nil
	}
	deadline, err := time.Parse(wire.DeadlineLayout, text)
	switch {
	case err != nil:
		return time.Time{}, codes.Refuse(codes.BadRequest, "Deadline %q is not a time in RFC 3339 form", text)
	case !deadline.After(now):
		return time.Time{}, codes.Refuse(codes.DeadlinePassed, "the deadline %s has passed", text)
	}
	return earlier(deadline, now.Add(maximum)), nil
}

// priority parses the Priority header. A caller can only lower the priority of the route, so that
// bulk work cannot overtake interactive requests.
func (s *server) priority(c *fiber.Ctx, route table.Route) (int, *codes.Refusal) {
	text := c.Get(wire.HeaderPriority)
	if text == "" {
		return route.Priority, nil
	}
	priority, err := strconv.Atoi(text)
	if err != nil || priority < 0 || priority > 9 {
		return 0, codes.Refuse(codes.BadRequest, "Priority %q is not a number from 0 to 9", text)
	}
	return max(priority, route.Priority), nil
}

// checkRequestID refuses an identifier that is not safe in a path or in a log line.
func checkRequestID(id string) *codes.Refusal {
	if !requestIDPattern.MatchString(id) {
		return codes.Refuse(codes.BadRequest, "Request-Id may hold up to 64 letters, digits, '-' and '_'")
	}
	return nil
}
