package answer

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// TestRoom guards against shares that hold more than there is, and against one that keeps what it has released.
func TestRoom(t *testing.T) {
	room := NewRoom(100)
	first, second := room.Share(), room.Share()
	for n, step := range []struct {
		share *Share
		bytes int64
		want  bool
	}{
		{first, 51, false}, {first, 50, true}, {second, 26, false}, {second, 25, true}, {first, 51, false}, {first, 10, true}, {second, 45, true},
	} {
		if got := step.share.Hold(step.bytes); got != step.want {
			t.Errorf("step %d: %v, want %v", n, got, step.want)
		}
	}
	second.Release()
	if second.Hold(1) {
		t.Error("a released share holds more")
	}
	if !first.Hold(50) {
		t.Error("what was released is missing")
	}
}

// TestReadAll guards against bodies that lose bytes as their buffer grows, exceed their limit, or hold more than there is
// room for.
func TestReadAll(t *testing.T) {
	const limit = 100_000
	for _, size := range []int{0, 1, minHeldBytes - 1, minHeldBytes, minHeldBytes + 1, limit - 1, limit, limit + 1, 3 * limit} {
		content := bytes.Repeat([]byte("abc"), size/3+1)[:size]
		room := NewRoom(4 * limit)
		got, err := ReadAll(bytes.NewReader(content), limit, room.Share().Hold)
		if tooLarge := errors.Is(err, ErrTooLarge); tooLarge != (size > limit) || !tooLarge && !bytes.Equal(got, content) {
			t.Errorf("%d bytes: read %d, error %v", size, len(got), err)
		}
		_, err = ReadAll(bytes.NewReader(content), limit, NewRoom(4*minHeldBytes).Share().Hold)
		if noRoom := errors.Is(err, ErrNoRoom); noRoom != (size >= 2*minHeldBytes) {
			t.Errorf("%d bytes in little room: error %v", size, err)
		}
	}
}

// TestHeadRoom guards against heads that hold more than there is room for, by their bytes or by their fields, and against
// small ones that need room.
func TestHeadRoom(t *testing.T) {
	var fields strings.Builder
	for n := range 5000 {
		fields.WriteString("x" + strconv.Itoa(n) + ":\r\n")
	}
	for name, c := range map[string]struct {
		fields string
		room   int64
		want   error
	}{
		"few fields":                  {"X-Note: 1\r\n", 0, nil},
		"long fields":                 {"X-Note: " + strings.Repeat("x", 20_000) + "\r\n", 10_000, ErrNoRoom},
		"long fields with room":       {"X-Note: " + strings.Repeat("x", 20_000) + "\r\n", 200_000, nil},
		"many fields":                 {fields.String(), 200_000, ErrNoRoom},
		"many fields with room":       {fields.String(), 2_000_000, nil},
		"a head over the limit":       {"X-Note: " + strings.Repeat("x", MaxHeadBytes) + "\r\n", 2_000_000, ErrTooLarge},
		"a head just below the limit": {"X-Note: " + strings.Repeat("x", MaxHeadBytes-100) + "\r\n", 2_000_000, nil},
	} {
		t.Run(name, func(t *testing.T) {
			reader := newBytesReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + c.fields + "Content-Length: 2\r\n\r\nok"))
			reader.Hold = NewRoom(c.room).Share().Hold
			response, err := reader.Next(http.MethodGet)
			if !errors.Is(err, c.want) {
				t.Fatalf("error %v, want %v", err, c.want)
			}
			if err != nil {
				return
			}
			if body, err := io.ReadAll(response.Body); string(body) != "ok" || err != nil {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}
