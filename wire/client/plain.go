package client

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"lentilstage.dev/wire/answer"
)

// CallPlain sends a call to a plain service once and returns the status and body of the answer. The
// statuses 502, 503 and 504 are returned as a *StatusError, since the call may succeed at another
// endpoint. After any other error the call may have taken effect.
//
// It opens a connection for each call: answers of plain services have no identifier, so that a second
// copy of an answer, sent late on a connection that is in use again, would be taken for the answer to the
// next call.
func CallPlain(deadline time.Time, address, method, path string, headers map[string]string, body []byte) (int, []byte, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetContentType("application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.SetBodyRaw(body)
	conn, err := open(address)
	if err != nil {
		return 0, nil, eris.Wrapf(err, "%s %s", method, path)
	}
	defer func() { _ = conn.Close() }()
	status, content, err := Exchange(conn, deadline, request, maxBodyBytes)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, nil, ErrDeadline
	}
	if err != nil {
		return 0, nil, eris.Wrapf(err, "%s %s", method, path)
	}
	switch status {
	case fasthttp.StatusBadGateway, fasthttp.StatusServiceUnavailable, fasthttp.StatusGatewayTimeout:
		return 0, nil, &StatusError{Status: status, Body: content}
	default:
		return status, content, nil
	}
}

// Exchange sends a request on a connection that carries no other and returns the status and body of the
// answer. It returns the errors of answer.Reader for an answer that is not whole and well-formed, and those of
// answer.ReadAll for a body of more than maxBytes.
func Exchange(conn net.Conn, deadline time.Time, request *fasthttp.Request, maxBytes int) (status int, body []byte, err error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return 0, nil, err
	}
	request.SetConnectionClose()
	c := answer.NewConn(conn)
	if err := write(c, request); err != nil {
		return 0, nil, err
	}
	share := held.Share()
	defer share.Release()
	reader := answer.NewReader(c)
	reader.Hold = share.Hold
	response, err := reader.Next(string(request.Header.Method()))
	if err != nil {
		return 0, nil, err
	}
	body, err = answer.ReadAll(response.Body, int64(maxBytes), share.Hold)
	return response.StatusCode, body, err
}

// write writes a request to a connection.
func write(conn net.Conn, request *fasthttp.Request) error {
	writer := bufio.NewWriter(conn)
	if err := request.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// NotSent reports whether a call failed because no connection could be opened, so that no byte
// of the call was sent.
func NotSent(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}
