package itest

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestCentreReclaimedWhileItsDaemonDies guards against an answer that is lost when all
// engines of a data centre are reclaimed and its daemon dies without notice.
func TestCentreReclaimedWhileItsDaemonDies(t *testing.T) {
	t.Parallel()
	const requests, tokens = 12, 150
	c := newCluster(t, plan{daemons: 3, engines: 6, engineArgs: []string{"-step", "20ms"}})
	var running atomic.Int64
	var reconnects atomic.Int64
	var callers sync.WaitGroup
	faults := make([]error, requests)
	for n := range requests {
		callers.Go(func() {
			addresses := c.addresses()
			first := n % len(addresses)
			request := newChat(append(addresses[first:], addresses[:first]...), "spec-match", fmt.Sprintf("long specification %d", n), tokens)
			request.onToken = func(count int) {
				if count == 20 {
					running.Add(1)
				}
			}
			faults[n] = request.run()
			reconnects.Add(int64(request.reconnects))
		})
	}
	waitFor(t, 20*time.Second, "all requests to run", func() bool { return running.Load() == requests })
	c.daemons[0].Signal(syscall.SIGKILL)
	for n, engine := range c.engines {
		if dataCentre(n) == dataCentre(0) {
			c.markLeavingAndKill(engine, time.Second)
		}
	}
	callers.Wait()
	if err := errors.Join(faults...); err != nil {
		t.Error(err)
	}
	if reconnects.Load() == 0 {
		t.Error("no caller had to reconnect")
	}
}

// TestHolderThenOwnerDie guards against a stream that stops when its holder dies, and
// against a request that has no new copy afterwards: the owner's death must not lose it.
func TestHolderThenOwnerDie(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 4, engines: 2, engineArgs: []string{"-step", "20ms"}})
	request := newChat(c.addresses()[:1], "spec-match", "long specification", 200)
	request.onToken = func(count int) {
		switch count {
		case 30:
			c.holderOfOne().Signal(syscall.SIGKILL)
		case 120:
			if request.reconnects != 0 {
				t.Errorf("the caller had to reconnect %d times after the holder's death", request.reconnects)
			}
			request.addresses = c.addresses()
			c.daemons[0].Signal(syscall.SIGKILL)
		}
	}
	if err := request.run(); err != nil {
		t.Fatal(err)
	}
	if request.reconnects == 0 {
		t.Error("the caller never had to reconnect after the owner's death")
	}
}

// holderOfOne returns the daemon that holds the copy of the only request.
func (c *cluster) holderOfOne() *process {
	c.t.Helper()
	for _, d := range c.daemons {
		if status, err := c.status(d); err == nil && status.Held > 0 {
			return d
		}
	}
	c.t.Fatal("no daemon holds the copy")
	return nil
}

// TestOwnerAndEngineDieAtOnce guards against an answer that is lost when the daemon that
// serves it and the engine that computes it die at the same moment.
func TestOwnerAndEngineDieAtOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 3, engines: 3, engineArgs: []string{"-step", "20ms"}})
	request := newChat(c.addresses(), "spec-match", "long specification", 150)
	request.onToken = func(count int) {
		if count == 30 {
			engine := c.busyEngine()
			c.daemons[0].Signal(syscall.SIGKILL)
			engine.Signal(syscall.SIGKILL)
		}
	}
	if err := request.run(); err != nil {
		t.Fatal(err)
	}
	if request.reconnects == 0 {
		t.Error("the caller never had to reconnect")
	}
}
