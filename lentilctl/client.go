package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/wire/answer"
	"lentilstage.dev/wire/dial"
	"lentilstage.dev/wire/wire"
)

type (
	// client calls the operator API of daemons.
	client struct {
		addresses []string
		key       string
		timeout   time.Duration
		transport http.RoundTripper
	}

	// daemonResponse is a daemon's response.
	daemonResponse struct {
		address string
		status  int
		body    []byte
	}
)

const (
	// dialTimeout limits one connection attempt, so that an unreachable address leaves time for
	// the next one.
	dialTimeout = 3 * time.Second
	// maxResponseBytes limits the body of a response.
	maxResponseBytes = 64 << 20
)

// errNotSent reports that the connection to a daemon failed, so that the request was not sent.
var errNotSent = eris.New("no daemon can be reached")

// client returns a client for the daemons that the flags name.
func (a *app) client() (*client, error) {
	var addresses []string
	for _, address := range strings.Split(a.daemons, ",") {
		if address = strings.TrimSpace(address); address != "" {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		return nil, eris.New("no daemon is named; use -daemon IP:PORT")
	}
	key, err := a.operatorKey()
	if err != nil {
		return nil, eris.Wrap(err, "read the operator key")
	}
	if key == "" {
		return nil, eris.New("no operator key; use -key-file or LENTILCTL_KEY")
	}
	dialer := dial.New(dial.Options{Timeout: min(dialTimeout, a.timeout)})
	open := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, eris.Wrapf(errNotSent, "%s: %s", address, err.Error())
		}
		return connection, nil
	}
	return &client{
		addresses: addresses, key: key, timeout: a.timeout,
		// On a connection of its own, a request is sent once; the caller decides whether to send it to another daemon.
		transport: answer.Wrap(&http.Transport{DialContext: open, DisableKeepAlives: true}),
	}, nil
}

// call sends one request to one daemon.
func (c *client) call(address, method, path string, body []byte) (daemonResponse, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(c.timeout))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return daemonResponse{}, eris.Errorf("%s: %s", address, err.Error())
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		if eris.Is(err, errNotSent) {
			return daemonResponse{}, err
		}
		return daemonResponse{}, callError(address, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := answer.ReadAll(response.Body, maxResponseBytes, nil)
	if err != nil {
		return daemonResponse{}, callError(address, err)
	}
	return daemonResponse{address: address, status: response.StatusCode, body: content}, nil
}

// callError describes a call that was sent and has no whole answer.
func callError(address string, err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return eris.Errorf("%s: timeout", address)
	}
	return eris.Errorf("%s: %s", address, err.Error())
}

// refusal returns the refusal in the response body, or nil if the body holds none.
func (r daemonResponse) refusal() *codes.Refusal {
	var refusal codes.Refusal
	if json.Unmarshal(r.body, &refusal) == nil && refusal.Code != 0 {
		return &refusal
	}
	return nil
}

// unexpectedError returns an error that describes a response which is neither the expected message
// nor a refusal.
func (r daemonResponse) unexpectedError() error {
	const shown = 200
	text := strings.TrimSpace(string(r.body))
	if len(text) > shown {
		text = text[:shown] + "..."
	}
	return eris.Errorf("%s answered with status %d: %s", r.address, r.status, text)
}

// getFrom reads one message from one daemon.
func getFrom[T any](c *client, address, path string) (T, error) {
	var zero T
	got, err := c.call(address, http.MethodGet, path, nil)
	if err != nil {
		return zero, err
	}
	if got.status != http.StatusOK {
		if refusal := got.refusal(); refusal != nil {
			return zero, eris.Errorf("%s: %s", address, refusal.Error())
		}
		return zero, got.unexpectedError()
	}
	message, err := wire.Decode[T](got.body)
	if err != nil {
		return zero, eris.Errorf("%s: the answer can't be read: %s", address, err.Error())
	}
	return message, nil
}

// getFromAny reads one message from the first daemon that answers, and returns its address.
func getFromAny[T any](c *client, path string) (T, string, error) {
	var zero T
	var reasons []string
	for _, address := range c.addresses {
		message, err := getFrom[T](c, address, path)
		if err == nil {
			return message, address, nil
		}
		reasons = append(reasons, err.Error())
	}
	return zero, "", eris.New(strings.Join(reasons, "; "))
}
