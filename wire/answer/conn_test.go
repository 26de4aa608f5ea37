package answer

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
)

type (
	// orderCase is a peer that sends a part of an answer and ends the connection, while this side writes.
	orderCase struct {
		Name string `yaml:"Name"`
		// Then is what the peer does after the part: "reset", "end", or "end and reset".
		Then string `yaml:"Then"`
		// First is the call that the system tells first: "read" or "write".
		First string `yaml:"First"`
		Whole bool   `yaml:"Whole"`
	}

	// heldConn is a connection whose read returns the end while a write is in progress, which then returns an error.
	heldConn struct {
		net.Conn
		began, expired chan struct{}
		once           sync.Once
		result         error
	}
)

const part = "part"

// TestOrders guards against a reset that the system reports to a write, so that reads see an ordinary end and take a
// part of an answer for all of it.
func TestOrders(t *testing.T) {
	for _, c := range cases.Load[orderCase](t, "testdata/orders.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c orderCase) run(t *testing.T) {
	client, server := pair(t)
	conn := NewConn(client)
	if _, err := conn.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(server, make([]byte, len("request"))); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(server, part); err != nil {
		t.Fatal(err)
	}
	if c.Then != "reset" {
		if err := server.CloseWrite(); err != nil {
			t.Fatal(err)
		}
	}
	if c.Then != "end" {
		if err := errors.Join(server.SetLinger(0), server.Close()); err != nil {
			t.Fatal(err)
		}
	}
	if c.First == "write" {
		// The first writes may precede the reset.
		for end := time.Now().Add(5 * time.Second); c.Then != "end" && time.Now().Before(end); time.Sleep(time.Millisecond) {
			if _, err := conn.Write([]byte("more")); err != nil {
				break
			}
		}
	}
	got, err := io.ReadAll(conn)
	if whole := err == nil; string(got) != part || whole != c.Whole {
		t.Errorf("read %q, error %v; want a whole answer: %v", got, err, c.Whole)
	}
	if c.First == "read" && c.Then == "reset" {
		if _, err := conn.Write([]byte("more")); !errors.Is(err, syscall.EPIPE) {
			t.Errorf("a write after the read was told returned %v, want a broken pipe", err)
		}
	}
}

// pair returns two ends of a TCP connection.
func pair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialled.Close(), accepted.Close() })
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}

func (c *heldConn) Write([]byte) (int, error) {
	close(c.began)
	<-c.expired
	return 0, c.result
}

func (c *heldConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *heldConn) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.expired) })
	return nil
}

// TestWriteInProgress guards against a read that returns the end before the write that was told of a reset has
// returned, and against one that waits for a write that nobody reads any more.
func TestWriteInProgress(t *testing.T) {
	for name, c := range map[string]struct {
		result error
		want   error
	}{
		"told of a reset":    {os.NewSyscallError("writev", syscall.ECONNRESET), ErrReset},
		"told of a time-out": {os.NewSyscallError("write", syscall.ETIMEDOUT), ErrReset},
		"told of the end":    {os.NewSyscallError("write", syscall.EPIPE), io.EOF},
		"told nothing":       {os.ErrDeadlineExceeded, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			held := &heldConn{began: make(chan struct{}), expired: make(chan struct{}), result: c.result}
			conn, written := NewConn(held), make(chan struct{})
			go func() {
				defer close(written)
				_, _ = conn.Write(nil)
			}()
			<-held.began
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, c.want) {
				t.Errorf("read: error %v, want %v", err, c.want)
			}
			<-written
		})
	}
}
