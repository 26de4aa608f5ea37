package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/domain/setup"
	"lentilstage.dev/wire/answer"
	"lentilstage.dev/wire/wire"
)

const (
	// gapFactor times the route's target for the gap between events is the wait for the next event
	// before the stream is resumed at another endpoint. minEventGap applies to routes with a short
	// target: sound endpoints may be silent for a second, and callers leave after two or more.
	gapFactor   = 2
	minEventGap = 1500 * time.Millisecond
	// maxLeadingComments limits the comments before the first event of a stream. An endpoint in trouble may
	// send them without end.
	maxLeadingComments = 64 << 10
)

var (
	// errLeadingComments reports too many comments before the first event.
	errLeadingComments = eris.Wrap(answer.ErrTooLarge, "comments without an event")
	// errNotFollowing reports a part of a response that does not follow what the caller has.
	errNotFollowing = eris.New("response does not continue the stream")
)

// forwardStream forwards the events of a response as they arrive. The header is sent with the first
// event, so that another attempt may follow one without any event.
func (a *attempt) forwardStream(response *http.Response) (outcome, error) {
	x := a.x
	events := wire.NewEventReader(response.Body)
	events.Hold = a.holder(bodyPart)
	flusher := http.NewResponseController(x.writer)
	first, resumed := true, x.responseStarted
	var firstAt time.Time
	count := 0
	// comments are those before the first event. They don't start the response, so that another attempt may
	// still replace this one.
	var comments []byte
	for {
		event, err := nextEvent(events)
		if errors.Is(err, io.EOF) {
			if count == 0 && !answer.Framed(response) {
				// An endpoint that crashes as it begins its response leaves a head and a closed connection.
				return a.classifyError(io.ErrUnexpectedEOF), io.ErrUnexpectedEOF
			}
			if !x.responseStarted {
				if !x.claim() {
					return superseded, nil
				}
				x.startStream(response)
				// An error means that the caller has left.
				_, _ = x.writer.Write(comments)
			}
			now := x.daemon.clock.now()
			if engine := x.engine(); engine != nil && count > 1 {
				x.daemon.tables.recordAnswer(a.endpoint, a.picked, a.firstSpeed, (count-1)*engine.EventTokens, now.Sub(firstAt))
			}
			if count > 1 && count <= paceEvents {
				x.daemon.tables.recordTiming(a.paceTiming(firstAt, now, count-1), now)
			}
			return delivered, nil
		}
		if err != nil {
			// Events before the error are forwarded even if the stream is aborted.
			if x.responseStarted {
				_ = flusher.Flush()
			}
			return a.classifyError(err), err
		}
		if !x.follows(event, resumed) {
			return failed, errNotFollowing
		}
		x.daemon.links.heard()
		// Comments are forwarded, but a stream that sends nothing else has stalled.
		content := wire.HasContent(event)
		if !content && !x.responseStarted {
			comments = append(comments, event...)
			if len(comments) > maxLeadingComments || !a.holder(commentsPart).Allows(int64(cap(comments))) {
				return a.classifyError(errLeadingComments), errLeadingComments
			}
			continue
		}
		if !x.responseStarted && !x.claim() {
			return superseded, nil
		}
		if first && content {
			first, firstAt = false, x.daemon.clock.now()
			a.recordFirstEvent()
		}
		if content {
			count++
			now := x.daemon.clock.now()
			if now.Sub(firstAt) >= answeringTime {
				a.recordAnswering(now)
			}
			if count == paceEvents+1 {
				x.daemon.tables.recordTiming(a.paceTiming(firstAt, now, paceEvents), now)
			}
		}
		if !x.responseStarted {
			x.startStream(response)
			event = append(comments, event...)
		}
		if _, err := x.writer.Write(event); err != nil {
			return callerGone, err
		}
		if id := eventID(event); id != "" {
			x.lastEvent = id
		} else if content {
			// No other endpoint can go on after this event.
			x.positionUnknown = true
			a.silence.end()
		}
		if !events.HasBuffered() {
			if err := flusher.Flush(); err != nil {
				return callerGone, err
			}
		}
		if content {
			a.silence.extend(x.daemon.clock.now().Add(max(minEventGap, gapFactor*x.route.GapTarget)))
		}
	}
}

// follows reports whether an event may come after those that the caller has. An endpoint may ignore the
// last event and begin at the first one, or send an error with the status of a stream.
func (x *exchange) follows(event []byte, resumed bool) bool {
	if !x.mayRepeat() || wire.IsComment(event) {
		return true
	}
	last, lastErr := strconv.ParseInt(x.lastEvent, 10, 64)
	next, nextErr := strconv.ParseInt(eventID(event), 10, 64)
	if lastErr == nil && nextErr == nil {
		return next > last
	}
	return !resumed
}

// continues reports whether the response may go on with a stream that has begun, by its head.
func (x *exchange) continues(response *http.Response) bool {
	begun, _, _ := strings.Cut(x.writer.Header().Get("Content-Type"), ";")
	next, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return response.StatusCode == http.StatusOK && strings.EqualFold(begun, next)
}

// eventID returns the identifier of an event, or an empty string.
func eventID(event []byte) string { return strings.TrimSpace(wire.RawEventID(event)) }

// engine returns what is known of the engines that run the request; nil for a plain service.
func (x *exchange) engine() *setup.Engine { return x.config.Services[x.service].Engine }

// nextEvent returns the bytes of the next event. It returns io.EOF at the end of a complete stream
// and io.ErrUnexpectedEOF if the stream ends within an event.
func nextEvent(events *wire.EventReader) ([]byte, error) {
	event, err := events.NextRaw()
	if errors.Is(err, io.EOF) && len(event) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	return event, err
}

// recordFirstEvent records that the endpoint has read the prompt.
func (a *attempt) recordFirstEvent() {
	x := a.x
	a.began = true
	x.daemon.tables.markPromptRead(a.placed)
	x.countUsage()
	now := x.daemon.clock.now()
	a.firstSpeed = x.daemon.tables.recordFirstToken(a.endpoint, a.picked, now.Sub(a.sentAt))
	x.daemon.tables.recordTiming(a.firstEventTiming(now, false), now)
	x.daemon.meters.observe("FirstEvent.Milliseconds", now.Sub(x.arrived))
	x.log("First event.", "Endpoint", a.endpoint.ID, "Predicted", int(a.picked.Wait),
		"Milliseconds", now.Sub(a.sentAt).Milliseconds())
}

// startStream sends the header of the first response that has an event or ends.
func (x *exchange) startStream(response *http.Response) {
	copyHeader(x.writer.Header(), response.Header)
	x.writer.Header().Del("Content-Length")
	x.writer.WriteHeader(response.StatusCode)
	x.responseStarted = true
}
