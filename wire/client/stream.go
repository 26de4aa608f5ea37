package client

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"lentilstage.dev/wire/answer"
	"lentilstage.dev/wire/wire"
)

type (
	// StreamRequest holds the parameters of OpenStream.
	StreamRequest struct {
		Address   string
		RequestID string
		AttemptID string
		Priority  int
		KVHandle  string
		Chat      wire.ChatRequest
		// FirstEventTimeout is the maximum idle time before the first event.
		FirstEventTimeout time.Duration
		// IdleTimeout is the maximum idle time between events.
		IdleTimeout time.Duration
	}

	// ChatStream is an open chat stream. It has its own connection, so that it isn't affected by
	// a pooled connection that stalled earlier.
	ChatStream struct {
		conn        *idleTimeoutConn
		events      *wire.EventReader
		share       *answer.Share
		closeOnce   sync.Once
		idleTimeout time.Duration
	}

	// idleTimeoutConn limits the idle time of a connection by a deadline for each read.
	idleTimeoutConn struct {
		net.Conn
		mu      sync.Mutex
		timeout time.Duration
	}
)

var (
	// ErrIdleTimeout reports a stream that was idle for longer than its limit.
	ErrIdleTimeout = eris.New("stream is silent for longer than its limit")
	// ErrNotConnected reports that no connection was opened, so that nothing was sent.
	ErrNotConnected = eris.New("no connection to the endpoint")
)

// Read reads with a deadline after the current idle timeout.
func (c *idleTimeoutConn) Read(buffer []byte) (int, error) {
	c.mu.Lock()
	timeout := c.timeout
	c.mu.Unlock()
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(buffer)
}

func (c *idleTimeoutConn) setTimeout(timeout time.Duration) {
	c.mu.Lock()
	c.timeout = timeout
	c.mu.Unlock()
}

// OpenStream sends the request once on a new connection and returns the stream after it has
// read the response header. It returns a *StatusError for a status other than 200,
// ErrNotConnected, ErrIdleTimeout, or the connection's error.
func OpenStream(r StreamRequest) (*ChatStream, error) {
	body, err := json.Marshal(r.Chat)
	if err != nil {
		return nil, eris.Wrap(err, "encode chat request")
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + r.Address + "/v1/chat/completions")
	request.Header.SetContentType("application/json")
	request.Header.Set(wire.HeaderRequestID, r.RequestID)
	request.Header.Set(wire.HeaderAttemptID, r.AttemptID)
	request.Header.Set(wire.HeaderPriority, strconv.Itoa(r.Priority))
	if r.KVHandle != "" {
		request.Header.Set(wire.HeaderKVHandle, r.KVHandle)
	}
	request.SetConnectionClose()
	request.SetBodyRaw(body)
	conn, err := open(r.Address)
	if err != nil {
		return nil, eris.Wrap(ErrNotConnected, err.Error())
	}
	stream := &ChatStream{
		conn: &idleTimeoutConn{Conn: conn, timeout: r.FirstEventTimeout}, idleTimeout: r.IdleTimeout, share: held.Share(),
	}
	response, err := stream.send(request, r.FirstEventTimeout)
	if err != nil {
		stream.Close()
		return nil, asIdleTimeout(err)
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
		stream.Close()
		return nil, &StatusError{Status: response.StatusCode, Body: text}
	}
	stream.events = wire.NewEventReader(response.Body)
	stream.events.Hold = stream.share.Hold
	return stream, nil
}

// send sends the request and reads the head of the answer.
func (s *ChatStream) send(request *fasthttp.Request, timeout time.Duration) (*http.Response, error) {
	if err := s.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	c := answer.NewConn(s.conn)
	if err := write(c, request); err != nil {
		return nil, err
	}
	reader := answer.NewReader(c)
	reader.Hold = s.share.Hold
	return reader.Next(http.MethodPost)
}

// Next returns the next event that has data. It returns io.EOF at the end of the stream,
// ErrIdleTimeout, or an error of the connection or of wire.EventReader.
func (s *ChatStream) Next() (wire.StreamEvent, error) {
	event, err := s.events.Next()
	if err != nil {
		return event, asIdleTimeout(err)
	}
	s.conn.setTimeout(s.idleTimeout)
	return event, nil
}

// Close closes the stream's connection. It is safe to call at any time, repeatedly and from any
// goroutine.
func (s *ChatStream) Close() {
	s.closeOnce.Do(func() {
		_ = s.conn.Close()
		s.share.Release()
	})
}

// asIdleTimeout returns ErrIdleTimeout for a timeout, and any other error unchanged.
func asIdleTimeout(err error) error {
	var timeout net.Error
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
		return ErrIdleTimeout
	}
	return err
}
