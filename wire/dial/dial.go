// Package dial opens connections to other processes so that a call that was given up can't arrive later.
//
// After an ordinary close the kernel goes on sending what the connection holds, for minutes if the path is cut. By
// then another process may act in place of the sender, or the call may have been repeated. The connections of this
// package are reset whenever they are closed, also by the end of the process, and the kernel drops what the peer has
// not acknowledged.
//
// # Usage
//
//	dialer := dial.New(dial.Options{Timeout: time.Second})
//	conn, err := dialer.DialContext(ctx, "tcp", address)
package dial

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options are the properties of connections.
type Options struct {
	// Timeout limits opening a connection; 0 for no limit.
	Timeout time.Duration
	// MaxUnacknowledged is how long the peer may leave data unacknowledged before the kernel resets the connection,
	// in milliseconds of resolution; 0 for the kernel's own limit. It also holds while the process is stopped. Such a
	// connection has no probes: who keeps it idle must close it soon.
	MaxUnacknowledged time.Duration
	// ReceiveBuffer is the size of the receive buffer in bytes; 0 for the kernel's own.
	ReceiveBuffer int
}

// New returns a dialer whose connections are reset when they are closed. Its errors are those of net.Dialer, and
// those of the system for options that can't be set.
func New(o Options) *net.Dialer {
	return &net.Dialer{Timeout: o.Timeout, KeepAlive: o.probeInterval(), Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) { failure = o.set(int(fd)) })
		return errors.Join(err, failure)
	}}
}

// probeInterval returns the interval of the probes of an idle connection: the usual one, or none with a limit for
// unacknowledged data. The kernel would give up at the first probe that is not answered at once, although the peer may only
// be silent for a moment.
func (o Options) probeInterval() time.Duration {
	if o.MaxUnacknowledged > 0 {
		return -1
	}
	return 0
}

func (o Options) set(fd int) error {
	err := unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0})
	if o.MaxUnacknowledged > 0 {
		err = errors.Join(err, unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.MaxUnacknowledged.Milliseconds())))
	}
	if o.ReceiveBuffer > 0 {
		// The kernel doubles the size. An error leaves its own, which may hold 6 MB that nobody reads.
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, o.ReceiveBuffer/2)
	}
	return err
}
