package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestCallsAreSentOnce guards against a call that is sent again after a kept connection has ended without an answer.
func TestCallsAreSentOnce(t *testing.T) {
	for method, in := range map[string]any{http.MethodGet: nil, http.MethodPost: struct{}{}} {
		t.Run(method, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			var requests atomic.Int64
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					reader := bufio.NewReader(conn)
					for n := range 2 {
						request, err := http.ReadRequest(reader)
						if err != nil {
							break
						}
						_, _ = io.Copy(io.Discard, request.Body)
						requests.Add(1)
						if n == 0 {
							_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
						}
					}
					_ = conn.Close()
				}
			}()
			address, deadline := listener.Addr().String(), time.Now().Add(5*time.Second)
			if err := Call(deadline, method, address, "/", nil, in, nil); err != nil {
				t.Fatal(err)
			}
			if err := Call(deadline, method, address, "/", nil, in, nil); err == nil {
				t.Error("the call without an answer has no error")
			}
			if got := requests.Load(); got != 2 {
				t.Errorf("the service got %d requests, want 2", got)
			}
		})
	}
}
