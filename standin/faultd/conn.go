package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// proxyConn is one proxied connection.
	proxyConn struct {
		forward *forward
		client  *net.TCPConn
		server  *net.TCPConn
		silent  atomic.Bool
		cut     atomic.Bool
	}

	// chunk is one read of a connection: its data, its error if any, and the time at which to pass
	// them on.
	chunk struct {
		data []byte
		err  error
		due  time.Time
	}
)

const (
	dialTimeout = 2 * time.Second
	// chunkSize is the largest read in bytes, and maxQueuedChunks the number of reads that can be
	// queued. A reader blocks while the queue is full, like a sender with a full TCP window.
	chunkSize       = 32 << 10
	maxQueuedChunks = 256
	// freezePollInterval is the time between two checks whether a freeze has been cleared.
	freezePollInterval = 5 * time.Millisecond
)

// run copies data in both directions until both have ended. A silent connection ends when both
// sides have closed theirs.
func (c *proxyConn) run() {
	var both sync.WaitGroup
	both.Go(func() { c.copyDelayed(c.client, c.server) })
	both.Go(func() { c.copyDelayed(c.server, c.client) })
	both.Wait()
	_ = c.client.Close()
	_ = c.server.Close()
}

// copyDelayed copies data from one side to the other, each chunk after its delay and not during a
// freeze. Data of a silent connection is discarded.
func (c *proxyConn) copyDelayed(from, to *net.TCPConn) {
	queue := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(queue)
		for {
			buffer := make([]byte, chunkSize)
			n, err := from.Read(buffer)
			delay := time.Duration(c.forward.currentFaults().DelayMilliseconds) * time.Millisecond
			queue <- chunk{data: buffer[:n], err: err, due: time.Now().Add(delay)}
			if err != nil {
				return
			}
		}
	}()
	for p := range queue {
		time.Sleep(time.Until(p.due))
		for c.forward.currentFaults().Freeze && !c.silent.Load() && !c.cut.Load() {
			time.Sleep(freezePollInterval)
		}
		if c.silent.Load() {
			continue
		}
		if _, err := to.Write(p.data); err != nil {
			reset(from)
		}
		switch p.err {
		case nil:
		case io.EOF:
			_ = to.CloseWrite()
		default:
			reset(to)
		}
	}
}
