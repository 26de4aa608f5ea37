package answer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/rotisserie/eris"
)

// Reader reads the answers that arrive on a connection.
type Reader struct {
	// Hold asks for room for the head that is being read; nil for no bound but MaxHeadBytes.
	Hold Hold

	conn   *Conn
	buffer *bufio.Reader
}

const (
	readBufferBytes = 4 << 10
	// maxInterim limits the interim answers before an answer.
	maxInterim = 8
	// oldVersion begins an answer of a version that has no chunks.
	oldVersion = "HTTP/1.0"
)

// NewReader returns a reader of the answers on a connection.
func NewReader(c *Conn) *Reader {
	return &Reader{conn: c, buffer: bufio.NewReaderSize(c, readBufferBytes)}
}

// Buffered returns the number of bytes that have arrived and belong to no answer yet.
func (r *Reader) Buffered() int { return r.buffer.Buffered() }

// Next reads the head of the next answer, to a request with a method, and skips interim answers. It returns
// ErrMalformed, ErrTooLarge, ErrNoRoom, ErrReset, io.ErrUnexpectedEOF if the connection ends within the head, or the
// connection's error. Reads from the body return the same errors.
func (r *Reader) Next(method string) (*http.Response, error) {
	for range maxInterim {
		response, err := r.readHead(method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return withBody(response, r.conn), nil
		}
	}
	return nil, eris.Wrapf(ErrMalformed, "more than %d interim answers", maxInterim)
}

// readHead reads the head of the next answer, which may be an interim one.
func (r *Reader) readHead(method string) (*http.Response, error) {
	scanned := &head{hold: r.Hold}
	waiting, _ := r.buffer.Peek(r.buffer.Buffered())
	scanned.scan(waiting)
	r.conn.head = scanned
	defer func() { r.conn.head = nil }()
	source := r.buffer
	version, err := source.Peek(len(oldVersion))
	old := string(version) == oldVersion
	if err == nil && old {
		source, err = r.readOldHead()
	}
	if err != nil {
		if err = unexpectedEOF(err); scanned.bytes == 0 {
			err = fmt.Errorf("%w: %w", errNothing, err)
		}
		return nil, err
	}
	response, err := http.ReadResponse(source, &http.Request{Method: method})
	if err != nil {
		if failure := r.conn.readFailure; failure != nil {
			// net/http may report what it makes of an incomplete line instead.
			return nil, unexpectedEOF(failure)
		}
		return nil, malformed("%s", err.Error())
	}
	if scanned.folded {
		// Whether the line has a name of its own is not certain.
		return nil, eris.Wrap(ErrMalformed, "a line begins with a blank")
	}
	if err := check(response); err != nil {
		return nil, err
	}
	// Bytes after an answer of the old version may be in a buffer of its own.
	response.Close = response.Close || old
	return response, nil
}

// readOldHead reads the head of an answer of version 1.0 and returns a reader of the whole answer. Chunks have no
// meaning there: net/http ignores that a head announces them, and would take them for the body.
func (r *Reader) readOldHead() (*bufio.Reader, error) {
	var head bytes.Buffer
	for lineBytes := 0; ; {
		part, err := r.buffer.ReadSlice('\n')
		head.Write(part)
		if lineBytes += len(part); errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if lineBytes == len(part) && len(bytes.TrimRight(part, "\r\n")) == 0 {
			break
		}
		lineBytes = 0
	}
	_, fields, _ := strings.Cut(head.String(), "\n")
	header, err := textproto.NewReader(bufio.NewReader(strings.NewReader(fields))).ReadMIMEHeader()
	if err != nil {
		return nil, malformed("%s", err.Error())
	}
	if header.Get("Transfer-Encoding") != "" {
		return nil, eris.Wrap(ErrMalformed, "chunks in an answer of version 1.0")
	}
	return bufio.NewReader(io.MultiReader(&head, r.buffer)), nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF for the end of a connection, and any other error unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
