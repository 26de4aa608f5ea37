package gate

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
)

// countingReader counts the bytes that were read from a reader.
type countingReader struct {
	rest []byte
	read int
}

func (c *countingReader) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.rest[:1])
	c.rest, c.read = c.rest[n:], c.read+n
	return n, nil
}

// FuzzHead guards against a head whose end the gate finds elsewhere than net/http does: a part of a request would be
// taken for another one, or the connection would wait for bytes that have come. The scan must not depend on how the
// bytes arrive.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET", "GET / HTTP/1.1\nHost: h\n\nx", "\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n folded\r\n\r\n", "GET / HTTP/1.1\r\n\r\r\n\r\n", "GET / HTTP/1.1\r\na:\r\nb:\r\n\r\n",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, step int) {
		var whole headScanner
		length, complete := whole.scan(data)
		var pieces headScanner
		for end := 0; ; {
			end = min(end+max(step, 1), len(data))
			n, done := pieces.scan(data[:end])
			if done && (!complete || n != length || pieces.fields != whole.fields) {
				t.Fatalf("in pieces: %d bytes, %d fields; at once: %d, %d", n, pieces.fields, length, whole.fields)
			}
			if done || end == len(data) {
				if done != complete {
					t.Fatalf("in pieces complete %t, at once %t", done, complete)
				}
				break
			}
		}
		source := &countingReader{rest: data}
		request, err := http.ReadRequest(bufio.NewReader(source))
		switch {
		case err == nil && (!complete || source.read != length):
			t.Fatalf("net/http reads %d bytes, the gate %d (complete %t)", source.read, length, complete)
		case !complete && err != nil:
			return
		case errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF):
			t.Fatalf("net/http waits for more than %d bytes", length)
		}
		if err == nil && len(request.Header) > whole.fields {
			t.Fatalf("%d fields of a header with %d names", whole.fields, len(request.Header))
		}
	})
}

// FuzzChunks guards against a chunked body whose end the gate finds elsewhere than net/http does.
func FuzzChunks(f *testing.F) {
	for _, seed := range []string{
		"5\r\nhello\r\n0\r\n\r\nGET", "0\r\n\r\n", "a;x=1\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\nx", "5\nhello\n0\n\n", "\r\n", "5 \r\nhello\r\n00\r\n\r\n",
		"fffffffffffffffff\r\n", "1\r\na\r\n0\r\nA: b\r\n c\r\n\r\n",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, step int) {
		var whole chunkScanner
		length := whole.scan(data)
		var pieces chunkScanner
		taken := 0
		for taken < len(data) && pieces.state != chunkDone {
			taken += pieces.scan(data[taken:min(taken+max(step, 1), len(data))])
		}
		if taken != length || pieces.state != whole.state {
			t.Fatalf("in pieces: %d bytes, state %d; at once: %d, %d", taken, pieces.state, length, whole.state)
		}
		read, err := readChunked(t, data)
		if err == nil && (whole.state != chunkDone || length > read) {
			t.Fatalf("net/http reads %d bytes, the gate %d, state %d", read, length, whole.state)
		}
		if whole.state != chunkDone {
			return
		}
		// In a trailer whose lines end without a carriage return, net/http looks further ahead. It then gets an error
		// from the gate, and the connection closes.
		if read, err := readChunked(t, data[:length]); err == nil && read != length {
			t.Fatalf("net/http reads %d bytes of the %d of the gate", read, length)
		}
	})
}

// readChunked reads a chunked body with net/http and returns how many bytes it has read.
func readChunked(t *testing.T, data []byte) (int, error) {
	head := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	source := &countingReader{rest: append([]byte(head), data...)}
	request, err := http.ReadRequest(bufio.NewReader(source))
	if err != nil {
		t.Fatal(err)
	}
	_, err = io.Copy(io.Discard, request.Body)
	return source.read - len(head), err
}

// FuzzHeaderValue guards against a value that net/http reads otherwise, and against line ends in it.
func FuzzHeaderValue(f *testing.F) {
	f.Add([]byte("Host: h\r\nCall-Id: 7\r\n"))
	f.Add([]byte("call-id:\t8 \nCall-Id: 9\n"))
	f.Fuzz(func(t *testing.T, fields []byte) {
		head := append([]byte("GET / HTTP/1.1\r\n"), append(fields, "\r\n\r\n"...)...)
		value := headerValue(head, "Call-Id")
		if bytes.ContainsAny(value, "\r\n") {
			t.Fatalf("value %q", value)
		}
	})
}
