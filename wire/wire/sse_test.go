package wire

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// TestEventReaderReturnsBytesUnchanged guards against forwarding an event with modified bytes, and
// against a stream that ends within an event being reported as complete.
func TestEventReaderReturnsBytesUnchanged(t *testing.T) {
	const first, second = "versions: 3\r\nid: 1\r\ndata: a\r\n\r\n", ": comment\n\n"
	long := "id:2\ndata: " + strings.Repeat("x", 10000) + "\n\n"
	r := NewEventReader(strings.NewReader(first + second + long + "id: 3\ndata: cut"))
	for i, want := range []string{first, second, long} {
		block, err := r.NextRaw()
		if err != nil || string(block) != want {
			t.Fatalf("block %d: %q, %v", i, block, err)
		}
		if id := RawEventID(block); id != []string{"1", "", "2"}[i] {
			t.Errorf("block %d has the identifier %q", i, id)
		}
	}
	if block, err := r.NextRaw(); !errors.Is(err, io.EOF) || string(block) != "id: 3\ndata: cut" {
		t.Errorf("stream ends within an event: %q, %v", block, err)
	}
}

// TestNextAtEndOfStream guards against a truncated event that is returned as complete, or that is
// reported as the regular end of the stream.
func TestNextAtEndOfStream(t *testing.T) {
	for text, want := range map[string]error{
		"":                         io.EOF,
		"data: a\n":                io.ErrUnexpectedEOF,
		"data: a":                  io.EOF,
		"id: 1\n":                  io.EOF,
		"data: a\ndata: b":         io.ErrUnexpectedEOF,
		strings.Repeat("x", 2<<20): ErrEventLine,
	} {
		if _, err := NewEventReader(strings.NewReader(text)).Next(); !errors.Is(err, want) {
			t.Errorf("%.20q: %v, want %v", text, err, want)
		}
	}
	event, err := NewEventReader(strings.NewReader("id: 1\n\nevent: e\ndata: a\ndata: b\n\n")).Next()
	if err != nil || event.ID != "1" || event.Event != "e" || string(event.Data) != "a\nb" {
		t.Errorf("event %+v, %v", event, err)
	}
}
