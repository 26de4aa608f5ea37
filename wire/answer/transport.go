package answer

import (
	"context"
	"net"
	"net/http"

	"lentilstage.dev/wire/dial"
)

// transport is a transport that rejects answers that are not whole and well-formed.
type transport struct{ *http.Transport }

// Wrap returns a transport that reads answers by the rules of this package. Its errors, and those of the bodies, are
// those of net/http and of Reader. It changes t, which must not be used otherwise.
func Wrap(t *http.Transport) http.RoundTripper {
	open := t.DialContext
	if open == nil {
		open = dial.New(dial.Options{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := open(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	t.MaxResponseHeaderBytes = maxControlHeadBytes
	return transport{t}
}

// RoundTrip sends a request and returns the answer.
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return withBody(response, nil), nil
}
