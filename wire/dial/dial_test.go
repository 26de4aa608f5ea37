package dial

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// envTarget holds the address to which the helper process of TestKilledProcess writes.
	envTarget   = "DIAL_TEST_TARGET"
	waitTimeout = 10 * time.Second
	message     = "call"
)

// TestMain runs the tests, or the helper process that writes to a connection and waits to be killed.
func TestMain(m *testing.M) {
	target := os.Getenv(envTarget)
	if target == "" {
		os.Exit(m.Run())
	}
	conn, err := New(Options{Timeout: time.Second}).Dial("tcp", target)
	if err == nil {
		_, err = io.WriteString(conn, message)
	}
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	time.Sleep(waitTimeout)
}

// TestClosedConnection guards against an ordinary close, after which the kernel goes on sending what the connection
// holds.
func TestClosedConnection(t *testing.T) {
	listener := listen(t)
	conn, err := New(Options{}).Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer := accept(t, listener)
	if _, err := io.WriteString(conn, message); err != nil {
		t.Fatal(err)
	}
	readMessage(t, peer)
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	expectReset(t, peer)
}

// TestKilledProcess guards against a process that is killed with a call on its way: the kernel closes its connections.
func TestKilledProcess(t *testing.T) {
	listener := listen(t)
	helper := exec.Command(os.Args[0])
	helper.Env = append(os.Environ(), envTarget+"="+listener.Addr().String())
	if err := helper.Start(); err != nil {
		t.Fatal(err)
	}
	peer := accept(t, listener)
	readMessage(t, peer)
	if err := helper.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = helper.Wait()
	expectReset(t, peer)
}

// TestUnacknowledgedData guards against a limit that the kernel does not know: it resets the connection of a process
// that is stopped.
func TestUnacknowledgedData(t *testing.T) {
	listener := listen(t)
	conn, err := New(Options{MaxUnacknowledged: 1500 * time.Millisecond}).Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var limit int
	var failure error
	if err := raw.Control(func(fd uintptr) {
		limit, failure = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil || failure != nil || limit != 1500 {
		t.Errorf("limit %d ms, errors %v and %v; want 1500 ms", limit, err, failure)
	}
}

// TestProbesOfIdleConnections guards against idle connections whose peer is silent for a second and goes on: a limit for
// unacknowledged data also decides when probes of an idle connection give up, after the first one whatever their count.
func TestProbesOfIdleConnections(t *testing.T) {
	listener := listen(t)
	for name, c := range map[string]struct {
		options Options
		probes  bool
	}{
		"a limit for data": {options: Options{MaxUnacknowledged: 1500 * time.Millisecond}},
		"no limit":         {probes: true},
	} {
		conn, err := New(c.options).Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		probes, limit := option(t, conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE) != 0, option(t, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		if probes != c.probes || limit != int(c.options.MaxUnacknowledged.Milliseconds()) {
			t.Errorf("%s: probes %v, limit %d ms; want %v, %v", name, probes, limit, c.probes, c.options.MaxUnacknowledged)
		}
		_ = conn.Close()
	}
}

// option returns the value of a connection's option.
func option(t *testing.T, conn net.Conn, level, name int) (value int) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var failure error
	if err := raw.Control(func(fd uintptr) { value, failure = unix.GetsockoptInt(int(fd), level, name) }); err != nil || failure != nil {
		t.Fatal(err, failure)
	}
	return value
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func accept(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	if err := listener.(*net.TCPListener).SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

func readMessage(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := io.ReadFull(conn, make([]byte, len(message))); err != nil {
		t.Fatal(err)
	}
}

func expectReset(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the peer reads error %v, want a reset", err)
	}
}
