package answer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Conn is a connection on which a request may still be written while its answer is read. Its methods may be called
// from several goroutines; reads from one at a time.
type Conn struct {
	net.Conn
	// writing is locked during a write. It guards failure.
	writing sync.Mutex
	// failure is the first error of a write that says that the connection did not end in order; nil for none.
	failure error
	// head follows the head that is being read; nil between heads.
	head *head
	// readFailure is the last error of a read.
	readFailure error
}

// NewConn returns a connection that reads from c and writes to it. Nothing else may use c meanwhile.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write writes to the connection. Its errors are those of the connection.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	c.recordFailure(err)
	return n, err
}

// WriteBuffers writes all buffers, with one system call if they are few, and returns the number of bytes. Its errors
// are those of the connection.
func (c *Conn) WriteBuffers(buffers net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := buffers.WriteTo(c.Conn)
	c.recordFailure(err)
	return n, err
}

// Read reads from the connection. It returns io.EOF only if the peer has ended the connection in order, ErrReset if
// the read or a write was told that it was lost, ErrTooLarge or ErrNoRoom for a head beyond its limits, and otherwise
// the connection's error. A write that is in progress when the peer ends the connection is ended.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.read(buffer)
	var errno syscall.Errno
	if errors.Is(err, io.EOF) {
		if failure := c.writeFailure(); failure != nil {
			err = fmt.Errorf("%w: %w", ErrReset, failure)
		}
	} else if errors.As(err, &errno) {
		err = fmt.Errorf("%w: %w", ErrReset, err)
	}
	c.readFailure = err
	return n, err
}

func (c *Conn) read(buffer []byte) (int, error) {
	if c.head == nil || c.head.complete {
		return c.Conn.Read(buffer)
	}
	left := MaxHeadBytes - c.head.bytes
	if left <= 0 {
		return 0, eris.Wrapf(ErrTooLarge, "head of more than %d bytes", MaxHeadBytes)
	}
	n, err := c.Conn.Read(buffer[:min(len(buffer), left)])
	if c.head.scan(buffer[:n]); !c.head.hasRoom() {
		return 0, eris.Wrap(ErrNoRoom, "head")
	}
	return n, err
}

// SyscallConn returns the raw connection. It returns errors.ErrUnsupported if there is none.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// recordFailure records what the system has told a write. It reports an error of a connection only once, to the call
// that comes first; later reads return the end of the connection, as if the peer had ended it.
//
// A broken pipe is no such error: the peer has ended the connection in order before, or a read was told.
func (c *Conn) recordFailure(err error) {
	var errno syscall.Errno
	if c.failure == nil && errors.As(err, &errno) && errno != syscall.EPIPE {
		c.failure = err
	}
}

// writeFailure returns what a write was told, after the write in progress has returned.
func (c *Conn) writeFailure() error {
	if !c.writing.TryLock() {
		// No answer follows the end, so that the rest of the request serves nothing.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.failure
}
