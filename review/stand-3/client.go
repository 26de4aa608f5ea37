package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// sample is an ordinary request and what its client saw.
	sample struct {
		id, daemon string
		sentAt     time.Time
		// took is the time to the whole answer or to the end of the wait; status is 0 without an answer.
		took   time.Duration
		status int
	}

	// crowd is a set of ordinary clients. Each daemon gets requests at a fixed rate.
	crowd struct {
		record  *record
		mutex   sync.Mutex
		samples []sample
		running sync.WaitGroup
		stop    chan struct{}
	}
)

const (
	// requestPause is the time between two ordinary requests to a daemon, patience the time limit of their clients.
	requestPause = 50 * time.Millisecond
	patience     = 2500 * time.Millisecond
)

func newCrowd(tb *testbed) *crowd {
	c := &crowd{record: tb.record, stop: make(chan struct{})}
	for _, d := range tb.daemons {
		transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}
		client := &http.Client{Timeout: patience, Transport: transport}
		c.running.Go(func() { c.press(client, d) })
	}
	return c
}

// press sends requests to a daemon until the crowd ends.
func (c *crowd) press(client *http.Client, d *daemon) {
	ticker := time.NewTicker(requestPause)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
		}
		id := fmt.Sprintf("%s-%05d", d.zone, n)
		c.running.Go(func() { c.ask(client, d, id) })
	}
}

// ask sends one request of the safe route.
func (c *crowd) ask(client *http.Client, d *daemon, id string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+d.front+"/lookup/"+id, nil)
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set(names["callID"], id)
	request.Header.Set(names["key"], key)
	request.Header.Set(names["deadline"], fmt.Sprint(patience.Milliseconds()))
	s := sample{id: id, daemon: d.name, sentAt: time.Now()}
	response, err := client.Do(request)
	if err == nil {
		if _, err = io.Copy(io.Discard, response.Body); err == nil {
			s.status = response.StatusCode
		}
		_ = response.Body.Close()
	}
	s.took = time.Since(s.sentAt)
	c.record.line("client: %s to %s: status %d after %d ms", s.id, s.daemon, s.status, s.took.Milliseconds())
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.samples = append(c.samples, s)
}

// end ends the crowd and returns what its clients saw.
func (c *crowd) end() []sample {
	close(c.stop)
	c.running.Wait()
	return c.samples
}

// exchange sends raw bytes on a new channel and returns what arrives until the end, or within a limit.
func exchange(address, text string, limit time.Duration) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(conn, text); err != nil {
		return err.Error()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	var head strings.Builder
	_ = response.Header.Write(&head)
	return fmt.Sprintf("%d, head %q, body of %d bytes", response.StatusCode, head.String(), len(body))
}
