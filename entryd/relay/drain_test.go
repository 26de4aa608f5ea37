package relay

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

type (
	// slowListener accepts connections that delay each write, as those of a busy instance.
	slowListener struct{ net.Listener }
	slowConn     struct{ net.Conn }
)

// writeDelay is longer than the pause in which a daemon checks for open requests.
const writeDelay = 2 * drainPollInterval

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn}, err
}

func (c slowConn) Write(data []byte) (int, error) {
	time.Sleep(writeDelay)
	return c.Conn.Write(data)
}

// TestDrainFlushesLastResponse guards against a planned stop that closes the connections while the last
// response is in its buffer: its caller gets neither an answer nor a refusal.
func TestDrainFlushesLastResponse(t *testing.T) {
	t.Parallel()
	now := time.Now()
	d := newTestDaemon(t, &now)
	d.clock.now = time.Now
	d.settings.Limits.GracePeriod = 2 * drainIdleTime
	received, answer := make(chan struct{}), make(chan struct{})
	d.codec.ReadCall = func(*http.Request, time.Time) (Call, error) {
		close(received)
		<-answer
		return Call{}, errors.New("malformed")
	}
	d.codec.RefusalHeader = func(Call, time.Time, time.Time) http.Header { return nil }
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(d.serveCaller), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(slowListener{listener}) }()
	done := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		done <- err
	}()
	<-received
	time.AfterFunc(drainIdleTime+drainIdleTime/10, func() { close(answer) })
	d.drain([]*http.Server{server})
	_ = server.Close()
	if err := <-done; err != nil {
		t.Errorf("no complete response: %v", err)
	}
}
