package client

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startRepeater starts a service that sends a second copy of each answer on its connection, just before
// the answer to the next request. It returns the service's address.
func startRepeater(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader, late := bufio.NewReader(conn), ""
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
					if _, err := conn.Write([]byte(late + answer)); err != nil {
						return
					}
					late = answer
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestPlainAnswersAreOwn guards against a second copy of an answer that a plain service sends late, on a
// connection that is in use again: the next caller would get another's answer, since plain services give
// answers no identifier.
func TestPlainAnswersAreOwn(t *testing.T) {
	address := startRepeater(t)
	for n := range 4 {
		path := fmt.Sprint("/order/", n)
		_, answer, err := CallPlain(time.Now().Add(5*time.Second), address, http.MethodGet, path, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		if string(answer) != path {
			t.Errorf("the call %s got the answer %q", path, answer)
		}
	}
}

// TestPlainAnswersAreBounded guards against a plain service that sends bytes without end, in the head or
// the body of its answer: they would be collected until the memory is used up.
func TestPlainAnswersAreBounded(t *testing.T) {
	for name, parts := range map[string][2]string{
		"a head":  {"HTTP/1.1 200 OK\r\n", "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"},
		"a line":  {"HTTP/1.1 200 OK\r\nX-Filler: ", strings.Repeat("x", 1000)},
		"a body":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		"no head": {"", strings.Repeat("x", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			sent := make(chan int, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				n, err := conn.Write([]byte(parts[0]))
				for err == nil {
					var more int
					more, err = conn.Write([]byte(parts[1]))
					n += more
				}
				sent <- n
			}()
			began := time.Now()
			_, _, err = CallPlain(began.Add(3*time.Second), listener.Addr().String(), http.MethodGet, "/", nil, nil)
			if err == nil {
				t.Error("the call got an answer")
			}
			// The largest body and the buffers of the two sockets.
			const limit = maxBodyBytes + 8<<20
			if n := <-sent; n > limit || time.Since(began) > 4*time.Second {
				t.Errorf("%d bytes were sent within %s, want at most %d within 4 s", n, time.Since(began), limit)
			}
		})
	}
}
