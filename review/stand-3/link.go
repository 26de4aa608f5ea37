package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type (
	// link is the path of one machine to one address of the platform. While it is cut, nothing passes, and channels that
	// are opened then never work. What was written on a channel meanwhile is sent again as TCP does it: after 200 ms, and
	// then after twice the time before. It is lost if its sender resets the channel, not if it closes it.
	link struct {
		listener net.Listener
		target   string
		// retries are the times between the write of a segment and its retransmissions.
		retries []time.Duration

		mutex    sync.Mutex
		cutAt    time.Time
		healedAt time.Time
		conns    map[net.Conn]bool
	}

	// segment is what one read from a channel returned.
	segment struct {
		data []byte
		at   time.Time
		err  error
	}
)

const (
	firstRetry = 200 * time.Millisecond
	maxRetries = 9
)

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, conns: map[net.Conn]bool{}}
	for pause, total, n := firstRetry, time.Duration(0), 0; n < maxRetries; n, pause = n+1, 2*pause {
		total += pause
		l.retries = append(l.retries, total)
	}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// cut cuts the link, heal ends that.
func (l *link) cut() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cutAt, l.healedAt = time.Now(), time.Time{}
}

func (l *link) heal() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.healedAt = time.Now()
}

// isCut reports whether nothing passes at present.
func (l *link) isCut() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.cutAt.IsZero() && l.healedAt.IsZero()
}

// arrival waits until a segment arrives that was written at a time.
func (l *link) arrival(writtenAt time.Time) {
	if !l.isCut() {
		return
	}
	for _, after := range l.retries {
		time.Sleep(time.Until(writtenAt.Add(after)))
		if !l.isCut() {
			return
		}
	}
}

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.keep(near)
		if l.isCut() {
			// The opening packet is lost. The caller gives up before it would be sent again.
			continue
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			reset(near)
			continue
		}
		l.keep(far)
		go l.pass(near, far)
		go l.pass(far, near)
	}
}

func (l *link) keep(c net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.conns[c] = true
}

// pass copies what one end writes to the other one.
func (l *link) pass(from, to net.Conn) {
	segments := make(chan segment, 1024)
	var wasReset atomic.Bool
	go func() {
		defer close(segments)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if errors.Is(err, syscall.ECONNRESET) {
				wasReset.Store(true)
			}
			segments <- segment{data: buffer[:n], at: time.Now(), err: err}
			if err != nil {
				return
			}
		}
	}()
	for s := range segments {
		held := l.isCut()
		l.arrival(s.at)
		if held && wasReset.Load() {
			reset(to)
			break
		}
		if len(s.data) > 0 {
			if _, err := to.Write(s.data); err != nil {
				reset(from)
				break
			}
		}
		switch {
		case errors.Is(s.err, io.EOF):
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
		case errors.Is(s.err, syscall.ECONNRESET):
			reset(to)
		}
	}
	for range segments {
	}
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}
