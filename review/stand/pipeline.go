package main

import (
	"bufio"
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

//go:embed config.json
var baseConfig string

const (
	// batch is the number of requests that a client writes at once on a kept channel. All of them fit into one read.
	batch = 8
	// busyAfter is the time from a batch until the machine that answers it is stopped.
	busyAfter  = 180 * time.Millisecond
	stopGap    = 2 * time.Second
	graceTime  = 8 * time.Second
	lossSlack  = 200 * time.Millisecond
	channels   = 3
	batchPause = 900 * time.Millisecond
	// closeWait is longer than the time from the end of a channel to its reset.
	closeWait = time.Second
)

// pipelined is a client that keeps a channel to one daemon and asks for several orders' states at once.
type pipelined struct {
	rec    *record
	daemon *daemon
	mutex  sync.Mutex
	// sentAt is when the present batch was written; zero between batches.
	sentAt time.Time
	// asked, served and lost count requests; lost ones were read, and their channel ended without an answer.
	asked, served, lost int
}

// run sends batches until the context ends. After an end of the channel it opens another one.
func (c *pipelined) run(ctx context.Context, number int, inRotation func(*daemon) bool) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration((0.5+rand.Float64())*float64(batchPause)))
		if conn == nil {
			if !inRotation(c.daemon) {
				continue
			}
			var err error
			if conn, err = net.DialTimeout("tcp", c.daemon.frontend, dialTimeout); err != nil {
				conn = nil
				continue
			}
			reader = bufio.NewReader(conn)
		}
		if !c.batch(conn, reader, fmt.Sprintf("%s-%d-%d", c.daemon.name, number, n)) {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// batch writes the requests and reads their answers. It reports whether the channel goes on.
func (c *pipelined) batch(conn net.Conn, reader *bufio.Reader, id string) bool {
	var text strings.Builder
	for i := range batch {
		fmt.Fprintf(&text, "GET %s%d HTTP/1.1\r\nHost: %s\r\n%s: %s-%d\r\n%s: %s\r\n%s: %d\r\n\r\n", safePrefix, rand.IntN(300), host,
			name("attempt"), id, i, name("credential"), apiKey, name("deadline"), deadlineMS)
	}
	_ = conn.SetDeadline(time.Now().Add(deadlineMS * time.Millisecond))
	if _, err := io.WriteString(conn, text.String()); err != nil {
		c.rec.add("batch %s not sent: %v", id, err)
		return false
	}
	sentAt := time.Now()
	c.setSent(sentAt)
	defer c.setSent(time.Time{})
	c.rec.add("batch %s: %d requests of %d bytes sent to %s", id, batch, text.Len(), c.daemon.name)
	for i := range batch {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			age := time.Since(sentAt)
			if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
				read := allRead(conn)
				c.rec.add("batch %s: the channel ended %d ms after the last byte, without an answer to the last %d requests, read=%t", id, age.Milliseconds(), batch-i, read)
				if i > 0 && age > lossSlack && read {
					c.count(i, batch-i)
					return false
				}
			} else {
				c.rec.add("batch %s: %v after %d answers", id, err, i)
			}
			c.count(i, 0)
			return false
		}
		_, err = io.Copy(io.Discard, response.Body)
		c.rec.add("batch %s-%d answered %d close=%t %v", id, i, response.StatusCode, response.Close, err)
	}
	c.count(batch, 0)
	return true
}

// allRead reports whether the other end has read all bytes: a channel that is closed with unread bytes is reset soon after
// its end.
func allRead(conn net.Conn) bool {
	time.Sleep(closeWait)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	code := -1
	err = raw.Control(func(fd uintptr) { code, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
	return err == nil && code == 0
}

func (c *pipelined) setSent(at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sentAt = at
}

func (c *pipelined) count(served, lost int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asked, c.served, c.lost = c.asked+batch, c.served+served, c.lost+lost
}

// busySince returns when the client wrote the batch that is being answered; zero if none is.
func (c *pipelined) busySince() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.sentAt
}

// runPipeline stops the machines in turn, each while it answers requests.
func runPipeline(rec *record, program string, trouble bool) (broken bool, err error) {
	b, err := newBed(rec, program, 7)
	if err != nil {
		return false, err
	}
	defer b.close()
	if err := b.configure(baseConfig); err != nil {
		return false, err
	}
	if _, err := startGroup(rec, b.store, oldVersion, oldVersion); err != nil {
		return false, err
	}
	if err := b.start(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.clients.balance(ctx)
	var list []*pipelined
	var running sync.WaitGroup
	for _, d := range b.daemons {
		for i := range channels {
			c := &pipelined{rec: rec, daemon: d}
			list = append(list, c)
			running.Go(func() { c.run(ctx, i, b.clients.inRotation) })
		}
	}
	time.Sleep(settledTime)
	if trouble {
		for i, d := range b.daemons {
			next := time.Now().Add(stopGap)
			awaitBusy(list[i*channels : (i+1)*channels])
			rec.say("SIGTERM to %s while it answers", d.name)
			go stopAndStart(rec, d)
			time.Sleep(time.Until(next))
		}
		time.Sleep(graceTime)
	} else {
		time.Sleep(time.Duration(len(b.daemons)) * stopGap)
	}
	time.Sleep(settledTime)
	cancel()
	running.Wait()
	asked, served, lost := 0, 0, 0
	for _, c := range list {
		asked, served, lost = asked+c.asked, served+c.served, lost+c.lost
	}
	rec.say("%d requests asked, %d answered, %d read and ended without an answer later than %v after their last byte", asked, served, lost, lossSlack)
	if served == 0 {
		return false, errors.New("no request was answered")
	}
	return lost > 0, nil
}

// awaitBusy waits until the machine has been answering a batch for busyAfter.
func awaitBusy(list []*pipelined) {
	for end := time.Now().Add(stopGap); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, c := range list {
			if since := c.busySince(); !since.IsZero() && time.Since(since) >= busyAfter && time.Since(since) < busyAfter+20*time.Millisecond {
				return
			}
		}
	}
}

// stopAndStart stops a daemon as the platform does, and starts it again.
func stopAndStart(rec *record, d *daemon) {
	d.signal(syscall.SIGTERM)
	d.mutex.Lock()
	exited := d.exited
	d.mutex.Unlock()
	select {
	case <-exited:
	case <-time.After(graceTime):
		rec.say("SIGKILL to %s", d.name)
		d.kill()
	}
	if err := d.start(); err != nil {
		rec.say("%s does not start: %v", d.name, err)
	}
}
