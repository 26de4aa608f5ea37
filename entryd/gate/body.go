package gate

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"lentilstage.dev/decide/intake"
)

type (
	// Body is a request's body in pieces. It is retained by each user that may still read the pieces, and its
	// memory is used again after the last release.
	Body struct {
		pieces [][]byte
		size   int
		users  atomic.Int32
	}

	// bodyState is what a connection knows of the present request's body.
	bodyState struct {
		// chunked reports whether the end is found by chunks, remaining the number of bytes otherwise.
		chunked   bool
		remaining int64
		chunks    chunkScanner
		// wanted is set while a handler reads. net/http's own reads of a body that no handler wants get an error.
		wanted bool
		// responded is set once a part of the response was sent, lingerUntil when the rest of the body is given up.
		responded   bool
		lingerUntil time.Time
		// read counts the bytes that were read, marked is its value at the last mark of progress.
		read, marked int64
		// reserved is the room that was granted, deadline the latest end, zero for none.
		reserved int64
		deadline time.Time
		// deadlineSetAt is when the read deadline was last extended.
		deadlineSetAt time.Time
	}

	// bodyReader is the body of a request that a handler reads itself. It is charged to the account.
	bodyReader struct {
		io.ReadCloser
		conn   *Conn
		length int64
	}

	// closingWriter announces the end of the connection in the response of a server that drains.
	closingWriter struct {
		http.ResponseWriter
		conn    *Conn
		written bool
	}
)

const (
	// pieceBytes is the largest piece of a body.
	pieceBytes = 64 << 10
)

var pieces = sync.Pool{New: func() any { b := make([]byte, pieceBytes); return &b }}

// handler wraps a server's handler.
func (g *Gate) handler(next http.Handler, class intake.Class) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.beginBody(r)
		if class != intake.Callers {
			next.ServeHTTP(w, r)
			c.endHandler(r)
			return
		}
		closing := &closingWriter{ResponseWriter: w, conn: c}
		next.ServeHTTP(closing, r)
		closing.announce()
		c.endHandler(r)
	})
}

// endHandler lets a connection whose body was not read give way to others at once. net/http keeps it open for half a
// second, so that the caller can read the response.
func (c *Conn) endHandler(r *http.Request) {
	if body, ok := r.Body.(*bodyReader); ok {
		// net/http keeps the connection open only if it finds its own body unread.
		r.Body = body.ReadCloser
	}
	if c.phase != bodyPhase {
		return
	}
	c.lingering.Store(true)
	stalled := time.Now().Add(-c.gate.options.Limits.StallTime)
	c.gate.update(func() { c.gate.account.Reading(c.holder, stalled) })
}

// beginBody takes the end of the body from the head that net/http has parsed.
func (c *Conn) beginBody(r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	c.body = bodyState{chunked: r.ContentLength < 0, remaining: r.ContentLength}
	c.phase = bodyPhase
	r.Body = &bodyReader{ReadCloser: r.Body, conn: c, length: r.ContentLength}
}

// Read reads a part of the body. It returns ErrNoRoom if the account refuses it and ErrShed if it was shed.
func (b *bodyReader) Read(p []byte) (int, error) {
	c := b.conn
	if c.body.reserved == 0 {
		size := b.length
		if size < 0 {
			size = pieceBytes
		}
		if err := c.reserveBody(size); err != nil {
			return 0, err
		}
	}
	if b.length < 0 && c.body.read+int64(len(p)) > c.body.reserved {
		if err := c.reserveBody(c.body.read + int64(len(p)) + pieceBytes); err != nil {
			return 0, err
		}
	}
	c.body.wanted = true
	n, err := b.ReadCloser.Read(p)
	c.body.wanted = false
	if err != nil && c.shedReason.Load() != nil {
		err = ErrShed
	}
	return n, err
}

// reserveBody asks for room for a body of the given size.
func (c *Conn) reserveBody(size int64) error {
	now := time.Now()
	verdict := c.gate.reserve(func() intake.Verdict {
		verdict := c.gate.account.Body(c.holder, size, now)
		if verdict.Admitted && c.phase == bodyPhase && c.body.reserved == 0 {
			c.gate.account.Reading(c.holder, now)
		}
		return verdict
	})
	if !verdict.Admitted {
		if c.shedReason.Load() != nil {
			return ErrShed
		}
		c.gate.note(string(verdict.Reason), "Bytes", size)
		return ErrNoRoom
	}
	c.body.reserved = size
	return nil
}

// readBody returns the next bytes of the body.
func (c *Conn) readBody(p []byte) (int, error) {
	if !c.body.wanted {
		return c.readUnwanted(p)
	}
	now := time.Now()
	if now.Sub(c.body.deadlineSetAt) >= deadlineStep {
		c.body.deadlineSetAt = now
		deadline := now.Add(c.gate.options.Limits.ReadTimeout + deadlineStep)
		if !c.body.deadline.IsZero() && c.body.deadline.Before(deadline) {
			deadline = c.body.deadline
		}
		if err := c.setReadDeadline(deadline); err != nil {
			return 0, err
		}
	}
	n, err := c.nextBodyBytes(p)
	c.body.read += int64(n)
	if c.body.read-c.body.marked >= intake.ProgressBytes {
		c.body.marked = c.body.read
		c.markProgress(now)
	}
	if errors.Is(err, io.EOF) {
		// The caller has left. net/http now reads in its other goroutine, as after a complete body.
		c.phase = servedPhase
	}
	if c.phase == servedPhase {
		c.gate.update(func() { c.gate.account.Serving(c.holder, now) })
	}
	return n, err
}

// readUnwanted reads a body that no handler wants: nothing before the response, and little after it.
func (c *Conn) readUnwanted(p []byte) (int, error) {
	if !c.body.responded {
		return 0, errBodyUnread
	}
	if c.body.lingerUntil.IsZero() {
		c.body.lingerUntil = time.Now().Add(lingerTime)
		if err := c.setReadDeadline(c.body.lingerUntil); err != nil {
			return 0, err
		}
	}
	return c.nextBodyBytes(p)
}

// nextBodyBytes returns bytes of the body from the buffer or the network, and none of the next request.
func (c *Conn) nextBodyBytes(p []byte) (int, error) {
	if c.start < c.end {
		n := copy(p[:c.within(len(p))], c.buffer[c.start:c.end])
		n = c.consume(p[:n])
		c.start += n
		c.compact()
		return n, nil
	}
	if direct := c.within(len(p)); direct > 0 && (!c.body.chunked || direct >= bufferBytes) {
		n, err := c.Conn.Read(p[:direct])
		c.consume(p[:n])
		return n, err
	}
	// The end of a chunked body is not known in advance, so what follows it stays in the buffer.
	n, err := c.Conn.Read(c.buffer)
	if n == 0 {
		return 0, err
	}
	c.filledBefore, c.filledAt, c.filledFrom = time.Now(), time.Now(), 0
	c.start, c.end = 0, n
	return c.nextBodyBytes(p)
}

// within returns how many of the next bytes can't belong to the next request, at most limit. For a chunked body it is
// the limit itself unless the network is read directly.
func (c *Conn) within(limit int) int {
	if !c.body.chunked {
		return int(min(int64(limit), c.body.remaining))
	}
	if c.start < c.end {
		return limit
	}
	if c.body.chunks.state == chunkData {
		return int(min(uint64(limit), c.body.chunks.left))
	}
	return 0
}

// consume counts bytes of the body and returns how many of them belong to it.
func (c *Conn) consume(data []byte) int {
	n := len(data)
	if c.body.chunked {
		n = c.body.chunks.scan(data)
		if c.body.chunks.state == chunkDone {
			c.phase = servedPhase
		}
		return n
	}
	if c.body.remaining -= int64(n); c.body.remaining == 0 {
		c.phase = servedPhase
	}
	return n
}

// ReadBody reads the body of a request in pieces, by a deadline. It returns ErrTooLarge beyond the limit, ErrNoRoom or ErrShed
// if there is no room, os.ErrDeadlineExceeded if the body does not make progress, and another error if the caller has
// left. read is the number of bytes that were read.
func ReadBody(r *http.Request, limit int64, deadline time.Time) (body *Body, read int, err error) {
	body = &Body{}
	body.users.Store(1)
	if r.ContentLength == 0 {
		return body, 0, nil
	}
	if r.ContentLength > limit {
		return nil, 0, ErrTooLarge
	}
	if c := FromContext(r.Context()); c != nil {
		c.body.deadline = deadline
	}
	if err := body.readFrom(r.Body, r.ContentLength, limit); err != nil {
		read := body.size
		body.Release()
		return nil, read, err
	}
	return body, body.size, nil
}

// readFrom reads until the end. length is negative if it is not known.
func (b *Body) readFrom(source io.Reader, length, limit int64) error {
	for {
		next := int64(pieceBytes)
		if length >= 0 {
			if next = min(next, length-int64(b.size)); next == 0 {
				return nil
			}
		}
		piece := newPiece(int(next))
		n, err := io.ReadFull(source, piece)
		b.size += n
		b.pieces = append(b.pieces, piece[:n])
		switch {
		case int64(b.size) > limit:
			return ErrTooLarge
		case errors.Is(err, io.ErrUnexpectedEOF) && length < 0 || errors.Is(err, io.EOF) && length < 0:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// newPiece returns memory for a part of a body. Full pieces are used again.
func newPiece(size int) []byte {
	if size < pieceBytes {
		return make([]byte, size)
	}
	return *pieces.Get().(*[]byte)
}

// NewBody returns a body with the given content, which is not charged to an account.
func NewBody(content []byte) *Body {
	b := &Body{size: len(content)}
	if len(content) > 0 {
		b.pieces = [][]byte{content}
	}
	b.users.Store(1)
	return b
}

// Size returns the number of bytes; 0 for a nil body.
func (b *Body) Size() int {
	if b == nil {
		return 0
	}
	return b.size
}

// AppendTo appends the pieces, without a copy of their content.
func (b *Body) AppendTo(list [][]byte) [][]byte {
	if b == nil {
		return list
	}
	return append(list, b.pieces...)
}

// Retain keeps the pieces until one more Release.
func (b *Body) Retain() {
	if b != nil {
		b.users.Add(1)
	}
}

// Release ends a use of the pieces.
func (b *Body) Release() {
	if b == nil || b.users.Add(-1) != 0 {
		return
	}
	for _, piece := range b.pieces {
		if cap(piece) == pieceBytes {
			piece = piece[:pieceBytes]
			pieces.Put(&piece)
		}
	}
	b.pieces = nil
}

// IsTimeout reports whether a body was not read because it made no progress or its deadline has passed.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// WriteHeader announces the end of the connection if the server drains.
func (w *closingWriter) WriteHeader(status int) {
	w.announce()
	w.ResponseWriter.WriteHeader(status)
}

// Write announces the end of the connection if the server drains.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.announce()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns net/http's writer, for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *closingWriter) announce() {
	if w.written {
		return
	}
	w.written = true
	if w.conn.gate.draining.Load() && !w.conn.more() {
		w.Header().Set("Connection", "close")
	}
}
