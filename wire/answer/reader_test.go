package answer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"lentilstage.dev/decide/cases"
)

type (
	// headCase is a head and what reading it returns.
	headCase struct {
		Name string `yaml:"Name"`
		Head string `yaml:"Head"`
		// Malformed says that the head is rejected. Otherwise the status is 200.
		Malformed bool `yaml:"Malformed"`
	}

	// bytesConn is a connection whose peer has sent some bytes and ended it in order.
	bytesConn struct {
		net.Conn
		source io.Reader
	}
)

func (c *bytesConn) Read(buffer []byte) (int, error)  { return c.source.Read(buffer) }
func (c *bytesConn) SetWriteDeadline(time.Time) error { return nil }

// newBytesReader returns a reader of the answers in some bytes.
func newBytesReader(source io.Reader) *Reader { return NewReader(NewConn(&bytesConn{source: source})) }

// TestHeads guards against heads that are not well-formed and pass, and against sound ones that are rejected. Each one
// arrives at once, and byte by byte.
func TestHeads(t *testing.T) {
	for _, c := range cases.Load[headCase](t, "testdata/heads.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			for _, source := range []io.Reader{strings.NewReader(c.Head), iotest.OneByteReader(strings.NewReader(c.Head))} {
				response, err := newBytesReader(source).Next(http.MethodPost)
				if malformed := errors.Is(err, ErrMalformed); malformed != c.Malformed || err == nil && response.StatusCode != http.StatusOK {
					t.Errorf("error %v, want a malformed answer: %v", err, c.Malformed)
				}
			}
		})
	}
}

// TestBytes guards against a byte in a name, a value or the reason that is not allowed there and passes, and against one
// that is allowed and rejected.
func TestBytes(t *testing.T) {
	const tokens = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for b := range 256 {
		text := b == '\t' || b >= ' ' && b != 0x7f
		for format, allowed := range map[string]bool{
			"HTTP/1.1 200 OK\r\nX%sNote: 1\r\nContent-Length: 0\r\n\r\n":   strings.IndexByte(tokens, byte(b)) >= 0 || b == ':',
			"HTTP/1.1 200 OK\r\nX-Note%s: 1\r\nContent-Length: 0\r\n\r\n":  strings.IndexByte(tokens, byte(b)) >= 0 || b == ':',
			"HTTP/1.1 200 OK\r\nX-Note: a%sb\r\nContent-Length: 0\r\n\r\n": text,
			"HTTP/1.1 200 O%sK\r\nContent-Length: 0\r\n\r\n":               text,
		} {
			if b == '\n' {
				// It ends the line.
				continue
			}
			head := fmt.Sprintf(format, string([]byte{byte(b)}))
			if _, err := newBytesReader(strings.NewReader(head)).Next(http.MethodPost); (err == nil) != allowed {
				t.Errorf("%q: error %v, want it allowed: %v", head, err, allowed)
			}
		}
	}
}

// FuzzNext reads answers from any bytes. What passes must be well-formed, and without its last byte it must not be whole.
func FuzzNext(f *testing.F) {
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200 OK\r\nX-Note: 1\r\n 2\r\n\r\nsound"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\nX-Note: 1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		left := bytes.NewReader(data)
		reader := newBytesReader(left)
		response, err := reader.Next(http.MethodPost)
		if err != nil {
			return
		}
		if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus || response.ProtoMajor != 1 {
			t.Fatalf("%q %q is accepted", response.Proto, response.Status)
		}
		_, err = io.Copy(io.Discard, response.Body)
		for _, header := range []http.Header{response.Header, response.Trailer} {
			for name, values := range header {
				if err == nil && (name == "" || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == ':' || r >= 0x7f })) {
					t.Errorf("the name %q is accepted", name)
				}
				if strings.ContainsFunc(strings.Join(values, ""), isControl) {
					t.Errorf("the value %q is accepted", values)
				}
			}
		}
		if consumed := len(data) - left.Len() - reader.Buffered(); err == nil && Framed(response) && response.ProtoAtLeast(1, 1) {
			if whole(data[:consumed-1]) {
				t.Errorf("the answer is whole without its last byte: %q", data[:consumed])
			}
		}
	})
}

// whole reports whether the bytes have a whole answer.
func whole(data []byte) bool {
	response, err := newBytesReader(bytes.NewReader(data)).Next(http.MethodPost)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	return err == nil
}
