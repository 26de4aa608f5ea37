package main

import (
	"encoding/json"
	"io"
	"strconv"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"lentilstage.dev/standin/stand"
	"lentilstage.dev/wire/wire"
)

type (
	// stream writes the answer of one attempt.
	stream struct {
		*service
		attempt *attempt
		writer  io.Writer
	}
)

// statusCancelled answers a request that was cancelled before its first token.
const statusCancelled = 499

// errCut reports that a fault ended the stream.
var errCut = eris.New("stream cut by a fault")

// complete queues the request and streams its answer. The response starts with the first token, so
// that a failure before it can be answered with an error status.
func (s *service) complete(c *fiber.Ctx) error {
	request, err := stand.Body[wire.ChatRequest](c)
	if err != nil {
		return err
	}
	priority := 0
	if text := c.Get(wire.HeaderPriority); text != "" {
		if priority, err = strconv.Atoi(text); err != nil {
			return fiber.NewError(fiber.StatusBadRequest, wire.HeaderPriority+" is not a number")
		}
	}
	if !s.versions.has(request.Model) {
		return fiber.NewError(fiber.StatusNotFound, "version "+request.Model+" is not loaded")
	}
	id := c.Get(wire.HeaderAttemptID)
	if id == "" {
		id = uuid.NewString()
	}
	a := newAttempt(id, priority, request, s.kv.pop(c.Get(wire.HeaderKVHandle)))
	if !s.batch.enqueue(a) {
		return fiber.NewError(fiber.StatusTooManyRequests, "the queue is full or the attempt identifier is in use")
	}
	for {
		<-a.wake
		p := s.batch.progress(a)
		if p.ended == endWhole || p.produced > len(a.resumed) {
			break
		}
		switch p.ended {
		case endFailed:
			return fiber.NewError(fiber.StatusInternalServerError, "the request failed")
		case endCancelled:
			return fiber.NewError(statusCancelled, "the request was cancelled")
		}
	}
	notify(a.wake)
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(wire.HeaderVersion, request.Model)
	// A pipe hands over each event before the next event or the error that closes the
	// connection. The server's own stream writer would lose the last events before an error.
	reader, writer := io.Pipe()
	c.Context().SetBodyStream(reader, -1)
	go func() {
		err := stream{service: s, attempt: a, writer: writer}.write()
		if err != nil {
			s.batch.end(a.id, endCancelled)
		}
		_ = writer.CloseWithError(err)
	}()
	return nil
}

// write sends the tokens as they are produced. The error is that of a broken connection,
// or errCut if the attempt failed or a fault ended the stream.
func (t stream) write() error {
	sent := len(t.attempt.resumed)
	for range t.attempt.wake {
		p := t.batch.progress(t.attempt)
		if p.silent {
			return t.keepSilent()
		}
		for ; sent < p.produced; sent++ {
			if err := t.writeToken(sent); err != nil {
				return err
			}
		}
		if p.ended == endWhole {
			return t.writeFinish(sent, p.usage)
		}
		if p.ended != "" {
			break
		}
	}
	return errCut
}

// keepSilent keeps the connection open without sending data until the process ends.
func (t stream) keepSilent() error {
	<-t.ctx.Done()
	return errCut
}

// writeToken sends the token at the offset and applies the current faults.
func (t stream) writeToken(offset int) error {
	t.waitWhileFrozen()
	f, sent := t.faults.Get(), offset-len(t.attempt.resumed)
	if t.consumeSilence(sent) {
		return t.keepSilent()
	}
	if f.CutAfter > 0 && sent >= f.CutAfter {
		return errCut
	}
	if t.faults.Hit(func(f *faults) *stand.Trigger { return &f.CrossAnswers }) {
		foreign := t.batch.otherRunning(t.attempt)
		if foreign == nil {
			foreign = &attempt{id: uuid.NewString(), version: t.attempt.version, prefix: wire.AnswerPrefix("")}
		}
		if err := t.writeChunk(t.chunk(foreign, offset)); err != nil || f.CrossReplace {
			return err
		}
	}
	if t.faults.Hit(func(f *faults) *stand.Trigger { return &f.DoubleChunks }) {
		if err := t.writeChunk(t.chunk(t.attempt, offset)); err != nil {
			return err
		}
	}
	return t.writeChunk(t.chunk(t.attempt, offset))
}

func (t stream) writeFinish(offset int, usage wire.ChatUsage) error {
	reason := wire.FinishLength
	chunk := t.chunk(t.attempt, offset)
	chunk.Choices = []wire.ChatChoice{{FinishReason: &reason}}
	chunk.Usage = &usage
	if err := t.writeChunk(chunk); err != nil {
		return err
	}
	return t.writeEvent([]byte(wire.StreamDone))
}

func (t stream) chunk(a *attempt, offset int) wire.ChatChunk {
	return wire.ChatChunk{
		ID:      a.id,
		Object:  wire.ChunkObject,
		Model:   a.version,
		Choices: []wire.ChatChoice{{Delta: wire.ChatDelta{Content: wire.TokenTextForPrefix(a.prefix, offset)}}},
		Offset:  offset,
	}
}

func (t stream) writeChunk(chunk wire.ChatChunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return t.writeEvent(data)
}

func (t stream) writeEvent(data []byte) error {
	_, err := t.writer.Write(wire.StreamEvent{Data: data}.Append(nil))
	return err
}
