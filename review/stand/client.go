package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
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
		done    sync.WaitGroup
	}
)

const (
	host           = "shop.example"
	deadlineMS     = 3000
	dialTimeout    = time.Second
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

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
