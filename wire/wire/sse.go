package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"iter"

	"github.com/rotisserie/eris"

	"lentilstage.dev/wire/answer"
)

type (
	// StreamEvent is a server-sent event.
	StreamEvent struct {
		ID    string
		Event string
		Data  []byte
	}

	// EventReader reads server-sent events from a stream, either parsed or as blocks of raw bytes.
	EventReader struct {
		// Hold asks for room for the event that is being read; nil for no bound but the maximum length.
		Hold answer.Hold

		reader *bufio.Reader
		block  []byte
	}
)

const (
	// maxEventLine and maxEventBytes are the maximum lengths of a line and of an event. Without a limit, a
	// faulty endpoint could exhaust the memory.
	maxEventLine  = 1 << 20
	maxEventBytes = 1 << 20
	// firstBlockBytes is the first size of the buffer for an event, maxKeptBytes the largest one that is
	// kept for the next event.
	firstBlockBytes = 512
	maxKeptBytes    = 8 << 10
)

var (
	// ErrEventLine reports a line that exceeds the maximum length.
	ErrEventLine = eris.Wrap(answer.ErrTooLarge, "server-sent event line")
	// ErrEventLength reports an event that exceeds the maximum length.
	ErrEventLength = eris.Wrap(answer.ErrTooLarge, "server-sent event")
)

// NewEventReader returns a reader of the stream's events.
func NewEventReader(stream io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(stream, 4096)}
}

// Next returns the next event that has data and skips other events and comments. It returns
// io.EOF at the end of the stream, io.ErrUnexpectedEOF if the stream ends within an event that
// has data, ErrEventLine or ErrEventLength for a line or an event that is too long, answer.ErrNoRoom, or
// the stream's error.
func (r *EventReader) Next() (StreamEvent, error) {
	var event StreamEvent
	for {
		block, err := r.NextRaw()
		hasData := event.parse(block)
		switch {
		case errors.Is(err, io.EOF) && hasData:
			return StreamEvent{}, io.ErrUnexpectedEOF
		case err != nil:
			return StreamEvent{}, err
		case hasData:
			return event, nil
		}
	}
}

// NextRaw returns the raw bytes of the next event, including the empty line that ends it. They are
// valid until the next call. On an error it also returns the bytes that were read before the
// error: if the stream ends within an event, it returns the partial event and io.EOF.
func (r *EventReader) NextRaw() ([]byte, error) {
	if cap(r.block) > maxKeptBytes {
		r.block = nil
		r.Hold.Release()
	}
	r.block = r.block[:0]
	for {
		start := len(r.block)
		if err := r.readLine(); err != nil {
			return r.block, err
		}
		if len(r.block) > maxEventBytes {
			return r.block, ErrEventLength
		}
		if len(bytes.TrimRight(r.block[start:], "\r\n")) == 0 {
			return r.block, nil
		}
	}
}

// HasBuffered reports whether there are buffered bytes that have not been returned yet.
func (r *EventReader) HasBuffered() bool { return r.reader.Buffered() > 0 }

// readLine appends the next line to the block. If the stream ends within the line, it appends
// the partial line and returns io.EOF.
func (r *EventReader) readLine() error {
	start := len(r.block)
	for {
		part, err := r.reader.ReadSlice('\n')
		if !r.grow(len(part)) {
			return eris.Wrapf(answer.ErrNoRoom, "event of more than %d bytes", len(r.block))
		}
		r.block = append(r.block, part...)
		if len(r.block)-start > maxEventLine {
			return ErrEventLine
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// grow makes room in the block for more bytes. It returns false if there is none.
func (r *EventReader) grow(more int) bool {
	needed := len(r.block) + more
	if needed <= cap(r.block) {
		return true
	}
	larger := max(needed, 2*cap(r.block), firstBlockBytes)
	if !r.Hold.Allows(int64(larger)) {
		return false
	}
	r.block = append(make([]byte, 0, larger), r.block...)
	return true
}

// HasContent reports whether the raw bytes of an event have data or an identifier. An event of comments
// only keeps a connection open and says nothing about the progress of the stream.
func HasContent(block []byte) bool {
	for name := range fields(block) {
		if n := string(name); n == "data" || n == "id" {
			return true
		}
	}
	return false
}

// IsComment reports whether the raw bytes of an event are comments only.
func IsComment(block []byte) bool {
	for name := range fields(block) {
		if len(name) > 0 {
			return false
		}
	}
	return true
}

// RawEventID returns the identifier in the raw bytes of an event, or an empty string.
func RawEventID(block []byte) string {
	var id []byte
	for name, content := range fields(block) {
		if string(name) == "id" {
			id = content
		}
	}
	return string(id)
}

// parse sets the event's fields from a block, and reports whether the block has data.
func (e *StreamEvent) parse(block []byte) (hasData bool) {
	for name, content := range fields(block) {
		switch string(name) {
		case "id":
			e.ID = string(content)
		case "event":
			e.Event = string(content)
		case "data":
			if hasData {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, content...)
			hasData = true
		}
	}
	return hasData
}

// fields yields the name and content of each field of a block. It skips a line that is not
// terminated.
func fields(block []byte) iter.Seq2[[]byte, []byte] {
	return func(yield func(name, content []byte) bool) {
		for {
			line, rest, terminated := bytes.Cut(block, []byte("\n"))
			if !terminated {
				return
			}
			block = rest
			name, content, _ := bytes.Cut(bytes.TrimRight(line, "\r"), []byte(":"))
			if !yield(name, bytes.TrimPrefix(content, []byte(" "))) {
				return
			}
		}
	}
}

// Append appends the encoded event to the buffer and returns the result.
func (e StreamEvent) Append(buffer []byte) []byte {
	if e.ID != "" {
		buffer = append(buffer, "id: "...)
		buffer = append(buffer, e.ID...)
		buffer = append(buffer, '\n')
	}
	if e.Event != "" {
		buffer = append(buffer, "event: "...)
		buffer = append(buffer, e.Event...)
		buffer = append(buffer, '\n')
	}
	for _, line := range bytes.Split(e.Data, []byte("\n")) {
		buffer = append(buffer, "data: "...)
		buffer = append(buffer, line...)
		buffer = append(buffer, '\n')
	}
	return append(buffer, '\n')
}
