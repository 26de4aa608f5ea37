package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
)

type headCase struct {
	Name     string `yaml:"Name"`
	Answer   string `yaml:"Answer"`
	Complete bool   `yaml:"Complete"`
}

// startCutter starts a service that reads a request, sends the answer and closes the connection. It returns
// the service's address.
func startCutter(t *testing.T, answer string) string {
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
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, answer)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// TestCutAnswers guards against a service that stops within the head or the body of its answer: the caller
// would get an empty or short answer as a whole one.
func TestCutAnswers(t *testing.T) {
	for _, c := range cases.Load[headCase](t, "testdata/heads.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			address, deadline := startCutter(t, c.Answer), time.Now().Add(5*time.Second)
			status, body, err := CallPlain(deadline, address, http.MethodPost, "/", nil, []byte("{}"))
			if complete := err == nil; complete != c.Complete {
				t.Errorf("plain call: status %d, body %q, error %v; want a whole answer: %v", status, body, err, c.Complete)
			}
			var out struct{}
			if err := Call(deadline, http.MethodPost, address, "/", nil, struct{}{}, &out); err == nil && !c.Complete {
				t.Error("call: the answer is whole")
			}
			stream, err := OpenStream(StreamRequest{Address: address, FirstEventTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second})
			if err != nil {
				return
			}
			defer stream.Close()
			if _, err := stream.Next(); err == nil {
				t.Error("the stream has an event")
			}
		})
	}
}
