// Package client provides thin clients for the services that daemons and tools call.
//
// A call is sent once, with a deadline, and returns the answer or an error. This package never
// retries a request, since only its callers can decide whether a retry is safe.
//
// # Usage
//
//	log := client.Log{Address: "127.0.0.1:7001"}
//	page, err := log.Read(deadline, "Control", 0, 100, 0)
package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/wire/answer"
)

type (
	// StatusError reports an answer with a status that the call treats as a failure.
	StatusError struct {
		Status int
		Body   []byte
	}
)

const (
	// maxBodyBytes is the maximum size of an answer.
	maxBodyBytes = 16 << 20
	// maxIdleDuration is the time after which an idle pooled connection is closed. It is short,
	// since a device on the path may have dropped its state of an idle connection.
	maxIdleDuration = 5 * time.Second
	// dialTimeout is the maximum time to open a connection.
	dialTimeout = 2 * time.Second
)

var (
	// ErrDeadline reports that the deadline passed before the answer was complete. The request
	// may have taken effect.
	ErrDeadline = eris.New("deadline passed while waiting for the answer")

	// sharedClient is the HTTP client with pooled connections for calls to the platform and engines.
	sharedClient = newClient()
)

func newClient() *fasthttp.Client {
	return &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		MaxIdleConnDuration:       maxIdleDuration,
		MaxResponseBodySize:       maxBodyBytes,
		MaxConnsPerHost:           512,
		NoDefaultUserAgentHeader:  true,
		Dial:                      dial,
	}
}

// Error returns the status and the start of the body.
func (e *StatusError) Error() string {
	const maxLength = 200
	return fmt.Sprintf("status %d: %.*s", e.Status, maxLength, e.Body)
}

// Refusal returns the refusal in the answer's body. It returns false if there is none.
func (e *StatusError) Refusal() (*codes.Refusal, bool) {
	var refusal codes.Refusal
	if json.Unmarshal(e.Body, &refusal) != nil || refusal.Code == 0 {
		return nil, false
	}
	return &refusal, true
}

// neverRetry prevents fasthttp from retrying a request after the connection was closed.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return answer.NewConn(conn), nil
}

// Call sends a JSON request once and decodes the answer into out, unless out is nil. It returns
// ErrDeadline, a *StatusError for a status other than 2xx, or the connection's error. After an
// error other than a *StatusError the request may have taken effect.
func Call(deadline time.Time, method, address, path string, headers map[string]string, in, out any) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(body)
	}
	if err := sharedClient.DoDeadline(request, response, deadline); err != nil {
		if errors.Is(err, fasthttp.ErrTimeout) {
			return ErrDeadline
		}
		return eris.Wrapf(err, "%s %s", method, path)
	}
	body := response.Body()
	if status := response.StatusCode(); status < 200 || status > 299 {
		return &StatusError{Status: status, Body: append([]byte(nil), body...)}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return eris.Wrapf(err, "decode answer of %s %s", method, path)
	}
	return nil
}
