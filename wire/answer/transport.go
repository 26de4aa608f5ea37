package answer

import (
	"context"
	"net"
	"net/http"
)

// Wrap returns a transport that reads answers by the rules of this package. It changes t, which must not be used
// otherwise.
func Wrap(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return t
}
