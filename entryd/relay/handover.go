package relay

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/assist"
	"lentilstage.dev/domain/value"
)

type (
	// handOver describes a request that a daemon hands over, in a header of the request.
	handOver struct {
		// Daemon and Incarnation identify the sender.
		Daemon      string `json:"Daemon"`
		Incarnation string `json:"Incarnation"`
		// Config is the version of the sender's configuration.
		Config int64 `json:"Config"`
		// Sends is the number of sends that the sender has made, Tried the endpoints that have got one.
		Sends int      `json:"Sends,omitempty"`
		Tried []string `json:"Tried,omitempty"`
		// Counted reports whether the retry budget of the sender has counted the request.
		Counted bool `json:"Counted,omitempty"`
	}

	// takenWriter marks the response to a request that this daemon has taken over, whatever the endpoint's header says.
	takenWriter struct{ http.ResponseWriter }

	// handOverResult is how an offer to a helper ended.
	handOverResult string
)

const (
	// handOverPath precedes the target of a request that is handed over.
	handOverPath = "/v1/requests"
	// handOverHeader holds a handOver in a request, and whether it was taken in the response.
	handOverHeader = "Lentilstage-Handover"
	takenValue     = "Taken"
	declinedValue  = "Declined"
	// handOverMargin is how much earlier than its caller's the helper's deadline ends, so that the helper's last answer
	// arrives in time.
	handOverMargin = 20 * time.Millisecond
	// maxOffers limits the daemons to which a request is offered.
	maxOffers = 3
	// maxTriedEndpoints limits the endpoints in a header; routes permit fewer attempts.
	maxTriedEndpoints = 16
	// relayBufferBytes is the size of the pieces in which an answer passes through.
	relayBufferBytes = 8 << 10

	// finished: the caller has got the final response. notTaken: the helper has not run the request and won't. unknown:
	// nothing of an answer has arrived, and the request may have run.
	finished handOverResult = "Finished"
	notTaken handOverResult = "NotTaken"
	unknown  handOverResult = "Unknown"
)

var errHandOver = eris.New("malformed description of a request that is handed over")

// Check returns an error if the description is malformed.
func (h handOver) Check() error {
	if h.Daemon == "" || h.Incarnation == "" || h.Config < 1 || h.Sends < 0 || len(h.Tried) > maxTriedEndpoints {
		return eris.Wrapf(errHandOver, "%+v", h)
	}
	return nil
}

// UnmarshalJSON decodes a description and checks it.
func (h *handOver) UnmarshalJSON(data []byte) error {
	type plain handOver
	if err := json.Unmarshal(data, (*plain)(h)); err != nil {
		return errors.Join(errHandOver, err)
	}
	return h.Check()
}

// mayHandOver reports whether another daemon may serve the request: this one has lost links that another one has, and
// the request has not run as far as that matters.
func (x *exchange) mayHandOver() bool {
	d := x.daemon
	if x.handed != nil || x.mayHaveRun && !x.mayRepeat() || x.failedResponse != nil || x.positionUnknown || x.sends >= x.route.MaxAttempts {
		return false
	}
	return d.links.lost() || d.tables.lostEndpoints(x.service, d.clock.now())
}

// handOverLost lets another daemon serve the request if the links are lost, or refuses it at once if none does. It
// reports whether the request has ended.
func (x *exchange) handOverLost(ctx context.Context) bool {
	if !x.daemon.links.lost() || !x.mayHandOver() {
		return false
	}
	if !x.handOver(ctx, "LinksLost") {
		x.fail(notSent, "LinksLost")
	}
	return true
}

// handOver lets another daemon serve the request and reports whether the request has ended. Otherwise it has not run at
// any of them.
func (x *exchange) handOver(ctx context.Context, reason string) bool {
	d := x.daemon
	tried := map[string]bool{}
	for range maxOffers {
		helper, ok := d.links.choose(tried, x.config.Version)
		if !ok {
			break
		}
		tried[helper.Name] = true
		switch x.offer(ctx, helper, reason) {
		case finished:
			return true
		case notTaken:
			d.links.drop(helper.Name)
		case unknown:
			x.sends++
			if !x.mayRepeat() || x.sends >= x.route.MaxAttempts || !x.requestRetry(broken, x.sends) {
				x.fail(broken, "HelperLost")
				return true
			}
		}
	}
	d.meters.count("HandOvers.WithoutHelper")
	return false
}

// offer sends the request to a helper and passes its response to the caller.
func (x *exchange) offer(ctx context.Context, helper assist.Helper, reason string) handOverResult {
	d := x.daemon
	c, _, err := x.connect(ctx, helper.Address)
	if err != nil {
		x.log("Helper not reached.", "Helper", helper.Name, "Error", err.Error())
		return x.endInterrupted(ctx, notTaken)
	}
	keep := false
	defer func() {
		if !keep {
			_ = c.Close()
		}
	}()
	d.meters.count("HandOvers.Sent")
	sentAt := d.clock.now()
	x.log("Handed over.", "Helper", helper.Name, "DataCentre", helper.DataCentre, "Reason", reason, "Room", helper.Room-helper.Given,
		"Sends", x.sends, "LastEvent", x.lastEvent)
	_ = c.SetDeadline(x.deadline)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	header, err := x.handOverFields(sentAt)
	if err != nil {
		d.logger.WithName("handover").Error(err, "Request can't be described.")
		return notTaken
	}
	rest, complete, err := c.send(x.call.Method, handOverPath+x.call.Target, x.call.Host, header, x.call.Body)
	var response *http.Response
	if err == nil {
		response, err = c.reader.Next(x.call.Method)
	}
	if err != nil && !complete {
		// The helper can't serve a request that it has received only in part.
		return notTaken
	}
	if err != nil {
		x.log("Helper lost.", "Helper", helper.Name, "Error", err.Error())
		d.meters.count("HandOvers.Broken")
		// The helper may have counted the request, too.
		x.mayHaveRun, x.counted = true, true
		return x.endInterrupted(ctx, unknown)
	}
	if verdict := response.Header.Get(handOverHeader); verdict != takenValue {
		x.log("Hand-over declined.", "Helper", helper.Name, "Status", response.StatusCode, "Reason", strings.TrimPrefix(verdict, declinedValue+" "))
		d.meters.count("HandOvers.Declined")
		return notTaken
	}
	response.Header.Del(handOverHeader)
	if x.responseStarted && !x.continues(response) {
		x.log("Response can't continue the stream.", "Helper", helper.Name, "Status", response.StatusCode)
		x.fail(failed, string(failed))
		return finished
	}
	if slices.Contains(notRunStatuses, response.StatusCode) {
		if x.mayHaveRun {
			// The helper speaks for itself. An endpoint may have run the request before.
			x.log("Refusal of a request that may have run.", "Helper", helper.Name, "Status", response.StatusCode)
			x.fail(broken, "HelperRefused")
			return finished
		}
		x.returnCost()
	}
	bytes, err := x.relay(response)
	x.log("Hand-over ended.", "Helper", helper.Name, "Status", response.StatusCode, "Bytes", bytes, "Whole", err == nil,
		"Milliseconds", d.clock.now().Sub(sentAt).Milliseconds())
	if err != nil {
		// The caller has left, or the helper has.
		d.meters.count("Answers.BrokenOff")
		x.abort()
	}
	if keep = stop() && rest.done() && !response.Close; keep {
		d.pool.put(c, nil)
	}
	return finished
}

// endInterrupted ends a request whose caller has left or whose deadline has passed. Otherwise it returns the result.
func (x *exchange) endInterrupted(ctx context.Context, result handOverResult) handOverResult {
	switch {
	case x.request.Context().Err() != nil:
		x.log("Caller left.", "MayHaveRun", x.mayHaveRun)
		x.daemon.meters.count("Callers.Left")
		x.returnCost()
		panic(http.ErrAbortHandler)
	case ctx.Err() != nil || !x.daemon.clock.now().Before(x.deadline):
		x.fail(deadlinePassed, "Deadline")
		return finished
	}
	return result
}

// returnCost returns what a request that has not run has taken from its client account's allowance.
func (x *exchange) returnCost() {
	if x.cost > 0 && !x.mayHaveRun {
		x.daemon.tables.returnAllowance(x.account.Name, x.cost)
	}
}

// handOverFields returns the header of the request for a helper.
func (x *exchange) handOverFields(now time.Time) (http.Header, error) {
	d := x.daemon
	description := handOver{
		Daemon: d.settings.Name, Incarnation: d.incarnation, Config: x.config.Version, Sends: x.sends, Counted: x.counted,
	}
	for id := range x.tried {
		if !x.unreached[id] && len(description.Tried) < maxTriedEndpoints {
			description.Tried = append(description.Tried, id)
		}
	}
	encoded, err := json.Marshal(description)
	if err != nil {
		return nil, err
	}
	deadline := x.deadline
	if stopsAt := d.stopTime(); !stopsAt.IsZero() {
		deadline = value.Earlier(deadline, stopsAt)
	}
	header := d.codec.HandOverHeader(x.request.Header, AttemptInfo{
		Deadline: deadline.Add(-handOverMargin), Now: now, LastEventID: x.lastEvent,
	})
	header.Set(handOverHeader, string(encoded))
	return header, nil
}

// relay passes a helper's response to the caller as it arrives and returns the number of bytes of its body.
func (x *exchange) relay(response *http.Response) (int64, error) {
	if !x.responseStarted {
		copyHeader(x.writer.Header(), response.Header)
		x.writer.WriteHeader(response.StatusCode)
		x.responseStarted = true
	}
	flusher := http.NewResponseController(x.writer)
	buffer := make([]byte, relayBufferBytes)
	var total int64
	for {
		n, err := response.Body.Read(buffer)
		total += int64(n)
		if n > 0 {
			if _, err := x.writer.Write(buffer[:n]); err != nil {
				return total, err
			}
			if err == nil && response.ContentLength < 0 {
				if err := flusher.Flush(); err != nil {
					return total, err
				}
			}
		}
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

// serveHandOver serves a request of another daemon's caller.
func (d *Daemon) serveHandOver(w http.ResponseWriter, r *http.Request) {
	var h handOver
	err := json.Unmarshal([]byte(r.Header.Get(handOverHeader)), &h)
	reason := assist.Stranger
	if err == nil {
		reason = d.links.judge(assist.Offer{Known: d.members.knows(h.Daemon, h.Incarnation, hostOf(r.RemoteAddr)), Config: h.Config})
	}
	if reason != assist.None {
		d.meters.count("HandOvers.Refused." + string(reason))
		d.logger.WithName("handover").V(1).Info("Request of another daemon declined.", "Daemon", h.Daemon, "Reason", reason)
		w.Header().Set(handOverHeader, declinedValue+" "+string(reason))
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.links.serving.Add(1)
	defer d.links.serving.Add(-1)
	d.meters.count("HandOvers.Taken")
	// The answer may take longer than one of the daemon's own.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	own := r.WithContext(r.Context())
	own.RequestURI = strings.TrimPrefix(r.RequestURI, handOverPath)
	own.Header.Del(handOverHeader)
	d.serveRequest(takenWriter{w}, own, &h)
}

// WriteHeader sends the header of the response.
func (w takenWriter) WriteHeader(status int) {
	w.Header().Set(handOverHeader, takenValue)
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer for http.ResponseController.
func (w takenWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// hostOf returns the host of an address of the form host:port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
