package answer

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestReasons guards against an answer that is rejected for another reason than the one that is counted, and against a
// connection that ends before an answer and is counted as one.
func TestReasons(t *testing.T) {
	for name, c := range map[string]struct {
		source io.Reader
		want   Reason
	}{
		"malformed":                           {strings.NewReader("HTTP/1.1 000 Unknown\r\n\r\n"), Malformed},
		"too large":                           {io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\nX-Note: "), strings.NewReader(strings.Repeat("x", MaxHeadBytes))), TooLarge},
		"truncated within the head":           {strings.NewReader("HTTP/1.1 200 OK\r\n"), Truncated},
		"truncated within a line":             {strings.NewReader("HTTP/1.1 200 OK\r\nX-No"), Truncated},
		"truncated within the body":           {strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no"), Truncated},
		"malformed within the body":           {strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n"), Malformed},
		"malformed after interim":             {strings.NewReader("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Unknown\r\n\r\n"), Malformed},
		"no answer":                           {strings.NewReader(""), Accepted},
		"another error":                       {io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n"), failingReader{}), Accepted},
		"whole":                               {strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), Accepted},
		"whole that ends with its connection": {strings.NewReader("HTTP/1.1 200 OK\r\n\r\nok"), Accepted},
	} {
		response, err := newBytesReader(c.source).Next(http.MethodGet)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if got := ReasonOf(err); got != c.want {
			t.Errorf("%s: reason %q of %v, want %q", name, got, err, c.want)
		}
	}
}

// TestErrorsAreShort guards against errors, and so log lines, that have a long answer in them.
func TestErrorsAreShort(t *testing.T) {
	long := strings.Repeat("x", 50_000)
	for _, text := range []string{
		long + "\r\n\r\n", "HTTP/1.1 000 " + long + "\r\n\r\n", "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX " + long + ": 1\r\n\r\n", "HTTP/1.1 200 \x01" + long + "\r\n\r\n",
	} {
		if _, err := newBytesReader(strings.NewReader(text)).Next(http.MethodGet); !errors.Is(err, ErrMalformed) || len(err.Error()) > 2*maxQuotedBytes {
			t.Errorf("%.60q: error of %d bytes: %.300v", text, len(err.Error()), err)
		}
	}
}

// failingReader returns an error of its own.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("failed") }
