package answer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestTransportResets guards against a client of the standard library that takes a part of an answer for all of it,
// since its connection was reset while the request was still being written.
func TestTransportResets(t *testing.T) {
	const (
		uploadBytes = 4 << 20
		requests    = 200
	)
	for then, whole := range map[string]bool{"reset": false, "end": true} {
		t.Run(then, func(t *testing.T) {
			address := startEarly(t, "HTTP/1.1 200 OK\r\n\r\npart", then)
			client := &http.Client{Transport: Wrap(&http.Transport{})}
			for n := range requests {
				response, err := client.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", uploadBytes)))
				if err != nil {
					if whole {
						t.Errorf("request %d: %v", n, err)
					}
					continue
				}
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if complete := err == nil; complete != whole || complete && string(body) != part {
					t.Errorf("request %d: body %q, error %v; want a whole answer: %v", n, body, err, whole)
				}
			}
		})
	}
}

// startEarly starts a server that sends an answer once it has the head of a request, and then resets the connection,
// or ends it in order and reads the rest of the request. It returns the server's address.
func startEarly(t *testing.T, answer, then string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				conn := accepted.(*net.TCPConn)
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer)
				if then == "reset" {
					_ = conn.SetLinger(0)
					return
				}
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, request.Body)
			}()
		}
	}()
	return listener.Addr().String()
}
