package entry

import (
	"bytes"
	"compress/gzip"
	"compress/zlib"
	"errors"
	"io"
	"os"
	"strings"

	"github.com/gofiber/fiber/v2"
	brotli "github.com/molecule-man/go-brrr"

	"lentilstage.dev/domain/codes"
)

// countRequest accounts for a request's head, and closes the connection after a request whose body no handler has read.
func (s *server) countRequest(c *fiber.Ctx) error {
	conn := boundedConnOf(c)
	if conn == nil {
		return c.Next()
	}
	conn.beginRequest(len(c.Request().Header.RawHeaders()), hasBody(c))
	err := c.Next()
	if conn.unreadBody.Load() {
		c.Context().SetConnectionClose()
	}
	return err
}

// boundedConnOf returns the connection of a request; nil in tests without one.
func boundedConnOf(c *fiber.Ctx) *boundedConn {
	conn, _ := c.Context().Conn().(*boundedConn)
	return conn
}

// hasBody reports whether a body follows the head.
func hasBody(c *fiber.Ctx) bool {
	// -1 stands for a chunked body, -2 for none.
	length := c.Request().Header.ContentLength()
	return length > 0 || length == -1
}

// readBody reads the request's body within the account of what callers hold. It refuses a body that is too large or too slow, or
// for which there is no room; the request has not run.
func (s *server) readBody(c *fiber.Ctx) error {
	stream := c.Context().RequestBodyStream()
	if stream == nil || !hasBody(c) {
		return c.Next()
	}
	conn := boundedConnOf(c)
	limit := s.base.Settings.MaxBodyKiB << 10
	body, err := readBody(conn, stream, c.Request().Header.ContentLength(), limit)
	if err == nil {
		body, err = decodeBody(body, c.Get(fiber.HeaderContentEncoding), limit)
	}
	if err != nil {
		return untriedRefusal(s.refuseBody(err), c)
	}
	c.Request().Header.Del(fiber.HeaderContentEncoding)
	c.Request().SetBodyRaw(body)
	err = c.Next()
	if conn != nil {
		// A stream that goes on keeps the body once.
		conn.holdBody(int64(len(body)))
	}
	return err
}

// refuseBody returns the refusal of a request whose body was not read.
func (s *server) refuseBody(err error) *codes.Refusal {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return codes.Refuse(codes.BodyTooLarge, "the body exceeds %d KiB", s.base.Settings.MaxBodyKiB)
	case errors.Is(err, errNoRoom):
		return codes.Refuse(codes.NoRoom, "no room for the body").WithRetryAt(s.base.Now().Add(retryDelay))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return codes.Refuse(codes.BodyTooSlow, "the body made no progress")
	}
	return codes.Refuse(codes.BadRequest, "the body can't be read: %s", err.Error())
}

// decodeBody removes the content encodings of a body, the last one first. The decoded body has at most limit bytes: a short one may
// decode to a thousand times its length.
func decodeBody(body []byte, encodings string, limit int) ([]byte, error) {
	names := strings.Split(encodings, ",")
	for i := len(names) - 1; i >= 0; i-- {
		decoder, err := decoderOf(strings.ToLower(strings.TrimSpace(names[i])), bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		if decoder == nil {
			continue
		}
		if body, err = io.ReadAll(io.LimitReader(decoder, int64(limit)+1)); err != nil {
			return nil, err
		}
		if len(body) > limit {
			return nil, errBodyTooLarge
		}
	}
	return body, nil
}

// decoderOf returns the decoder of a content encoding; nil for one that changes nothing.
func decoderOf(name string, body io.Reader) (io.Reader, error) {
	switch name {
	case "", "identity":
		return nil, nil
	case fiber.StrGzip:
		return gzip.NewReader(body)
	case fiber.StrDeflate:
		return zlib.NewReader(body)
	case fiber.StrBr, fiber.StrBrotli:
		return brotli.NewReader(body), nil
	}
	return nil, errors.New("unknown content encoding " + name)
}
