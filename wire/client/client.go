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
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/wire/answer"
	"lentilstage.dev/wire/dial"
)

type (
	// StatusError reports an answer with a status that the call treats as a failure.
	StatusError struct {
		Status int
		Body   []byte
	}

	// singleBody is the body of a request that is sent once. net/http would send one again whose body it can read again
	// or, if it only reads, that has none.
	singleBody struct{ io.Reader }
)

const (
	// maxBodyBytes is the maximum size of an answer.
	maxBodyBytes = 16 << 20
	// maxIdleDuration is the time after which an idle pooled connection is closed. It is short,
	// since a device on the path may have dropped its state of an idle connection.
	maxIdleDuration = 5 * time.Second
	// dialTimeout is the maximum time to open a connection.
	dialTimeout = 2 * time.Second
	// maxHeldBytes limits what a process holds of all answers to the calls of this package.
	maxHeldBytes = 64 << 20
	// maxConnsPerHost is the maximum number of pooled connections to an address.
	maxConnsPerHost = 512
)

var (
	// ErrDeadline reports that the deadline passed before the answer was complete. The request
	// may have taken effect.
	ErrDeadline = eris.New("deadline passed while waiting for the answer")

	// held bounds all answers together.
	held = answer.NewRoom(maxHeldBytes)

	// pooled keeps connections for calls to the platform and engines.
	pooled = answer.Wrap(&http.Transport{
		DialContext:     dial.New(dial.Options{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: maxIdleDuration, MaxConnsPerHost: maxConnsPerHost, MaxIdleConnsPerHost: maxConnsPerHost,
		DisableCompression: true,
	})
)

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

func open(address string) (net.Conn, error) {
	return dial.New(dial.Options{Timeout: dialTimeout}).Dial("tcp", address)
}

// Close does nothing.
func (singleBody) Close() error { return nil }

// Call sends a JSON request once and decodes the answer into out, unless out is nil. It returns
// ErrDeadline, a *StatusError for a status other than 2xx, or the connection's error. After an
// error other than a *StatusError the request may have taken effect.
func Call(deadline time.Time, method, address, path string, headers map[string]string, in, out any) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return eris.Wrapf(err, "%s %s", method, path)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	var content []byte
	if in != nil {
		if content, err = json.Marshal(in); err != nil {
			return eris.Wrap(err, "encode request")
		}
		request.Header.Set("Content-Type", "application/json")
	}
	if len(content) > 0 || method == http.MethodGet {
		request.Body, request.ContentLength = singleBody{bytes.NewReader(content)}, int64(len(content))
	}
	status, body, err := roundTrip(request)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrDeadline
	}
	if err != nil {
		return eris.Wrapf(err, "%s %s", method, path)
	}
	if status < 200 || status > 299 {
		return &StatusError{Status: status, Body: body}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return eris.Wrapf(err, "decode answer of %s %s", method, path)
	}
	return nil
}

// roundTrip sends a request on a pooled connection and reads the whole answer.
func roundTrip(request *http.Request) (status int, body []byte, err error) {
	response, err := pooled.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	share := held.Share()
	defer share.Release()
	body, err = answer.ReadAll(response.Body, maxBodyBytes, share.Hold)
	return response.StatusCode, body, err
}
