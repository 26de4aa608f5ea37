package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// clients send requests through a balancer that does what the platform's does: it asks each daemon once a second
	// whether it is ready, and takes it out after two misses.
	clients struct {
		rec     *record
		daemons []*daemon
		key     string
		http    *http.Client
		mutex   sync.Mutex
		next    int
		list    []*request
		done    sync.WaitGroup
	}

	// request is one request of a client with its attempts.
	request struct {
		safe   bool
		sentAt time.Time
		// status is that of the last answer; 0 if the channel ended without one. served is set for a success with
		// the replica's signature and whole body.
		status int
		served bool
		tries  int
	}
)

const (
	host           = "shop.example"
	deadlineMS     = 3000
	dialTimeout    = time.Second
	retries        = 1
	balancerMisses = 2
)

func newClients(rec *record, daemons []*daemon, key string) *clients {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &clients{rec: rec, daemons: daemons, key: key, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8, IdleConnTimeout: 12 * time.Second, DisableCompression: true,
	}}}
}

// balance keeps the daemons' rotation up to date until the context ends.
func (c *clients) balance(ctx context.Context) {
	for ctx.Err() == nil {
		var asked sync.WaitGroup
		for _, d := range c.daemons {
			asked.Go(func() {
				ready := d.ready()
				c.mutex.Lock()
				defer c.mutex.Unlock()
				if ready {
					d.misses, d.rotation = 0, true
				} else if d.misses++; d.misses >= balancerMisses {
					d.rotation = false
				}
			})
		}
		asked.Wait()
		sleep(ctx, time.Second)
	}
}

// inRotation reports whether the balancer sends new channels to a daemon.
func (c *clients) inRotation(d *daemon) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return d.rotation
}

// pick returns a daemon in rotation, or any one if none is.
func (c *clients) pick() *daemon {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var list []*daemon
	for _, d := range c.daemons {
		if d.rotation {
			list = append(list, d)
		}
	}
	if len(list) == 0 {
		list = c.daemons
	}
	return list[rand.IntN(len(list))]
}

// run sends requests at a rate per second until the context ends.
func (c *clients) run(ctx context.Context, perSecond float64, safe bool) {
	for {
		sleep(ctx, time.Duration(rand.ExpFloat64()/perSecond*float64(time.Second)))
		if ctx.Err() != nil {
			return
		}
		c.done.Go(func() { c.send(safe, nil) })
	}
}

// send sends one request with its retries.
func (c *clients) send(safe bool, body []byte) *request {
	q := &request{safe: safe, sentAt: time.Now()}
	c.mutex.Lock()
	c.list = append(c.list, q)
	c.mutex.Unlock()
	end := q.sentAt.Add(deadlineMS * time.Millisecond)
	for q.tries = 1; ; q.tries++ {
		promise, wait := c.attempt(q, end, body)
		left := time.Until(end)
		if q.served || q.tries > retries || left < 100*time.Millisecond || !safe && !promise {
			return q
		}
		time.Sleep(min(wait, left/3))
	}
}

// attempt makes one attempt. promise reports that the request has not run and never will.
func (c *clients) attempt(q *request, end time.Time, body []byte) (promise bool, wait time.Duration) {
	c.mutex.Lock()
	c.next++
	id := fmt.Sprintf("%016x", c.next)
	c.mutex.Unlock()
	d := c.pick()
	method, path := http.MethodPost, unsafePrefix+"new"
	if q.safe {
		method, path = http.MethodGet, safePrefix+strconv.Itoa(rand.IntN(300))
	} else if body == nil {
		body = []byte(strings.Repeat("o", 600))
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	var content io.Reader
	if len(body) > 0 && !q.safe {
		content = strings.NewReader(string(body))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.frontend+path, content)
	if err != nil {
		return false, 0
	}
	r.Host, r.GetBody = host, nil
	r.Header.Set(name("attempt"), id)
	r.Header.Set(name("credential"), c.key)
	r.Header.Set(name("deadline"), strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	c.rec.add("sent %s %s %s to %s", id, method, path, d.name)
	q.status = 0
	response, err := c.http.Do(r)
	if err != nil {
		c.rec.add("answered %s none: %v", id, err)
		var refused *net.OpError
		// A channel that was never open was not read.
		return errors.As(err, &refused) && refused.Op == "dial", 50 * time.Millisecond
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	q.status = response.StatusCode
	q.served = err == nil && response.StatusCode < 300 && response.Header.Get(name("signature")) != "" && len(answer) == answerBytes
	c.rec.add("answered %s %d served=%t", id, response.StatusCode, q.served)
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return true, time.Duration(seconds * float64(time.Second))
	}
	return false, 0
}

// served returns how many of the requests that were sent between two times were served, and their number.
func (c *clients) served(from, to time.Time) (served, sent int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, q := range c.list {
		if q.sentAt.Before(from) || !q.sentAt.Before(to) {
			continue
		}
		sent++
		if q.served {
			served++
		}
	}
	return served, sent
}

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
