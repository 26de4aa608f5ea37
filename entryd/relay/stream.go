package relay

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"lentilstage.dev/wire/wire"
)

const (
	// maxEvent bounds one event.
	maxEvent = 1 << 20
	// gapPart of the longest allowed pause is waited for the next event before the stream is
	// resumed elsewhere; leastGap is for routes with a short one.
	gapPart  = 2
	leastGap = time.Second
)

// errEventTooLong reports an event beyond maxEvent.
var errEventTooLong = errors.New("event is too long")

// stream passes the events of an answer on as they come. The header goes out with the first
// event, so that an attempt that brings none can be followed by another one.
func (a *attempt) stream(response *http.Response) (outcome, error) {
	x := a.x
	events := wire.NewEventReader(response.Body)
	flusher := http.NewResponseController(x.writer)
	first := true
	for {
		event, err := nextEvent(events)
		if errors.Is(err, io.EOF) {
			if !x.started {
				x.startStream(response)
			}
			return delivered, nil
		}
		if err != nil {
			// What came before the fault is passed on, also if the stream is broken off.
			if x.started {
				_ = flusher.Flush()
			}
			return a.fault(err), err
		}
		if first {
			first = false
			a.firstEvent()
		}
		if !x.started {
			x.startStream(response)
		}
		if _, err := x.writer.Write(event); err != nil {
			return callerGone, err
		}
		if id := strings.TrimSpace(wire.BlockID(event)); id != "" {
			x.lastEvent = id
		}
		if !events.Waiting() {
			if err := flusher.Flush(); err != nil {
				return callerGone, err
			}
		}
		if a.stall != nil && !a.stalled.Load() {
			a.stall.Reset(max(leastGap, gapPart*x.route.GapTarget))
		}
	}
}

// nextEvent returns the bytes of the next event. It returns io.EOF at the end of a whole stream
// and io.ErrUnexpectedEOF if the stream ends within an event.
func nextEvent(events *wire.EventReader) ([]byte, error) {
	event, err := events.Block()
	switch {
	case errors.Is(err, io.EOF) && len(event) > 0:
		return nil, io.ErrUnexpectedEOF
	case err == nil && len(event) > maxEvent:
		return nil, errEventTooLong
	}
	return event, err
}

// firstEvent notes that the prompt has been read.
func (a *attempt) firstEvent() {
	x := a.x
	x.daemon.tables.read(a.placed)
	x.began()
	now := x.daemon.clock.now()
	x.daemon.meters.took("FirstEvent.Milliseconds", now.Sub(x.arrived))
	x.log("First event.", "Endpoint", a.endpoint.ID, "Predicted", int(a.picked.Wait),
		"Milliseconds", now.Sub(a.sentAt).Milliseconds())
}

// startStream sends the header of the first endpoint's answer.
func (x *exchange) startStream(response *http.Response) {
	copyHeader(x.writer.Header(), response.Header)
	x.writer.Header().Del("Content-Length")
	x.writer.WriteHeader(response.StatusCode)
	x.started = true
}
