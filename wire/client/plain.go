package client

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	// maxInterimAnswers limits the answers with a status below 200 before the answer to a call.
	maxInterimAnswers = 8
	// lengthUnknown and lengthOfChunks are what fasthttp returns as the length of an answer that ends with its
	// connection, and of one in chunks.
	lengthUnknown  = -2
	lengthOfChunks = -1
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
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetContentType("application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.SetBodyRaw(body)
	conn, err := dial(address)
	if err != nil {
		return 0, nil, eris.Wrapf(err, "%s %s", method, path)
	}
	defer func() { _ = conn.Close() }()
	if err := Exchange(conn, deadline, request, response, maxBodyBytes); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout) {
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

// Exchange sends a request on a connection that carries no other and reads the answer. It returns
// io.ErrUnexpectedEOF for an answer that ends within its head or its body, or after a head without a
// length: a service that stops there has not answered.
func Exchange(conn net.Conn, deadline time.Time, request *fasthttp.Request, response *fasthttp.Response, maxBytes int) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	request.SetConnectionClose()
	writer := bufio.NewWriter(conn)
	if err := request.Write(writer); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	reader := bufio.NewReader(conn)
	for range maxInterimAnswers {
		if err := response.Header.Read(reader); err != nil {
			return unexpectedEOF(err)
		}
		if response.StatusCode() >= http.StatusOK {
			return readBody(reader, request, response, maxBytes)
		}
	}
	return eris.Errorf("more than %d interim answers", maxInterimAnswers)
}

// readBody reads the body after the head of an answer.
func readBody(reader *bufio.Reader, request *fasthttp.Request, response *fasthttp.Response, maxBytes int) error {
	status := response.StatusCode()
	if request.Header.IsHead() || status == http.StatusNoContent || status == http.StatusNotModified {
		return nil
	}
	length := response.Header.ContentLength()
	if err := response.ReadBody(reader, maxBytes); err != nil {
		return unexpectedEOF(err)
	}
	switch {
	case length == lengthUnknown && len(response.Body()) == 0:
		return io.ErrUnexpectedEOF
	case length == lengthOfChunks:
		return unexpectedEOF(response.Header.ReadTrailer(reader))
	}
	return nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF for the end of a connection, and any other error unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// NotSent reports whether a call failed because no connection could be opened, so that no byte
// of the call was sent.
func NotSent(err error) bool {
	var opError *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &opError) && opError.Op == "dial"
}
