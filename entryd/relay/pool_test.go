package relay

import (
	"net"
	"net/http"
	"testing"
	"time"

	"lentilstage.dev/decide/intake"
)

// TestConnectionToGoneEndpoint guards against a connection that stays open for good because it is put back after the
// idle ones to its address were closed.
func TestConnectionToGoneEndpoint(t *testing.T) {
	const address = "127.0.0.1:9"
	p := newPool(intake.Limits{})
	own, other := net.Pipe()
	p.closeIdle(address)
	p.put(newEndpointConn(own, address), http.Header{"Keep-Alive": {"timeout=3600"}})
	p.closeUnusable(time.Now())
	if len(p.idle[address]) != 1 {
		t.Fatal("a usable connection was closed")
	}
	p.closeUnusable(time.Now().Add(defaultIdleTime))
	if len(p.idle) != 0 {
		t.Errorf("%d addresses have idle connections, want none", len(p.idle))
	}
	_ = other.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := other.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("the connection is open: %v", err)
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
