package client

import (
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// plainClient is the HTTP client for plain services. It opens a connection for each call: answers of
// plain services have no identifier, so that a second copy of an answer, sent late on a connection that
// is in use again, would be taken for the answer to the next call.
var plainClient = newClient()

// CallPlain sends a call to a plain service once and returns the status and body of the answer. The
// statuses 502, 503 and 504 are returned as a *StatusError, since the call may succeed at another
// endpoint. After any other error the call may have taken effect.
func CallPlain(deadline time.Time, address, method, path string, headers map[string]string, body []byte) (int, []byte, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetContentType("application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.SetBodyRaw(body)
	request.SetConnectionClose()
	if err := plainClient.DoDeadline(request, response, deadline); err != nil {
		if errors.Is(err, fasthttp.ErrTimeout) {
			return 0, nil, ErrDeadline
		}
		return 0, nil, eris.Wrapf(err, "%s %s", method, path)
	}
	answer := append([]byte(nil), response.Body()...)
	switch status := response.StatusCode(); status {
	case fasthttp.StatusBadGateway, fasthttp.StatusServiceUnavailable, fasthttp.StatusGatewayTimeout:
		return 0, nil, &StatusError{Status: status, Body: answer}
	default:
		return status, answer, nil
	}
}

// NotSent reports whether a call failed because no connection could be opened, so that no byte
// of the call was sent.
func NotSent(err error) bool {
	var opError *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &opError) && opError.Op == "dial"
}
