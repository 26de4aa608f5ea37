package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"iter"

	"github.com/rotisserie/eris"
)

type (
	// StreamEvent is one server-sent event.
	StreamEvent struct {
		ID    string
		Event string
		Data  []byte
	}

	// EventReader reads server-sent events from a stream, one at a time.
	EventReader struct {
		reader *bufio.Reader
		block  []byte
	}
)

// maxEventLine bounds a line of a stream, so that a faulty endpoint can't fill the memory.
const maxEventLine = 1 << 20

// ErrEventLine reports a stream line over the limit.
var ErrEventLine = eris.New("server-sent event line is too long")

// NewEventReader returns a reader of the stream's events.
func NewEventReader(stream io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(stream, 4096)}
}

// Next returns the next event that has data. Comments are skipped. It returns io.EOF or
// io.ErrUnexpectedEOF at the end, ErrEventLine, or the stream's own error.
func (r *EventReader) Next() (StreamEvent, error) {
	var event StreamEvent
	for {
		block, err := r.Block()
		seen := event.parse(block)
		switch {
		case errors.Is(err, io.EOF) && seen:
			return StreamEvent{}, io.ErrUnexpectedEOF
		case err != nil:
			return StreamEvent{}, err
		case seen:
			return event, nil
		}
	}
}

// Block returns the bytes of the next event as they came, up to and with the empty line that
// ends it; they are valid until the next call. With an error it returns what came before it:
// a stream that ends within an event gives io.EOF and a part of the event.
func (r *EventReader) Block() ([]byte, error) {
	r.block = r.block[:0]
	for {
		start := len(r.block)
		if err := r.readLine(); err != nil {
			return r.block, err
		}
		if len(bytes.TrimRight(r.block[start:], "\r\n")) == 0 {
			return r.block, nil
		}
	}
}

// Waiting reports whether more of the stream has come than was returned.
func (r *EventReader) Waiting() bool { return r.reader.Buffered() > 0 }

// readLine adds the next line to the block. Without its end a line counts as not come, but its
// bytes are added too.
func (r *EventReader) readLine() error {
	start := len(r.block)
	for {
		part, err := r.reader.ReadSlice('\n')
		r.block = append(r.block, part...)
		if len(r.block)-start > maxEventLine {
			return ErrEventLine
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// BlockID returns the identifier of an event's bytes, or an empty string.
func BlockID(block []byte) string {
	var id []byte
	for name, content := range fields(block) {
		if string(name) == "id" {
			id = content
		}
	}
	return string(id)
}

// parse takes in the fields of a block, and reports whether they have data.
func (e *StreamEvent) parse(block []byte) (seen bool) {
	for name, content := range fields(block) {
		switch string(name) {
		case "id":
			e.ID = string(content)
		case "event":
			e.Event = string(content)
		case "data":
			if seen {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, content...)
			seen = true
		}
	}
	return seen
}

// fields yields the name and content of each line of a block that has come whole.
func fields(block []byte) iter.Seq2[[]byte, []byte] {
	return func(yield func(name, content []byte) bool) {
		for {
			line, rest, whole := bytes.Cut(block, []byte("\n"))
			if !whole {
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

// Append writes the event in its wire form to the buffer and returns the result.
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
