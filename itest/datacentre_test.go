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

// TestCentreReclaimedWhileItsDaemonDies guards against answers that are lost when all engines of a data
// centre are reclaimed and its daemon is killed without notice.
func TestCentreReclaimedWhileItsDaemonDies(t *testing.T) {
	t.Parallel()
	const requests, tokens = 12, 150
	c := newCluster(t, clusterConfig{daemons: 3, engines: 6, engineArgs: []string{"-step", "20ms"}})
	var running atomic.Int64
	var reconnects atomic.Int64
	var callers sync.WaitGroup
	errs := make([]error, requests)
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
			errs[n] = request.run()
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
	if err := errors.Join(errs...); err != nil {
		t.Error(err)
	}
	if reconnects.Load() == 0 {
		t.Error("no caller had to reconnect")
	}
}

// TestHolderThenOwnerDie guards against a stream that stops when the holder of the request's copy is
// killed, and against a request that gets no new copy afterwards and is then lost with its owner.
func TestHolderThenOwnerDie(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 4, engines: 2, engineArgs: []string{"-step", "20ms"}})
	request := newChat(c.addresses()[:1], "spec-match", "long specification", 200)
	request.onToken = func(count int) {
		switch count {
		case 30:
			c.requestHolder().Signal(syscall.SIGKILL)
		case 120:
			if request.reconnects != 0 {
				t.Errorf("the caller had to reconnect %d times after the holder was killed, want 0", request.reconnects)
			}
			request.addresses = c.addresses()
			c.daemons[0].Signal(syscall.SIGKILL)
		}
	}
	if err := request.run(); err != nil {
		t.Fatal(err)
	}
	if request.reconnects == 0 {
		t.Error("the caller never had to reconnect after the owner was killed")
	}
}

// requestHolder returns the daemon that holds the copy of the cluster's only request.
func (c *cluster) requestHolder() *process {
	c.t.Helper()
	for _, d := range c.daemons {
		if status, err := c.status(d); err == nil && status.Held > 0 {
			return d
		}
	}
	c.t.Fatal("no daemon holds the copy")
	return nil
}

// TestOwnerAndEngineDieAtOnce guards against an answer that is lost when the daemon that serves it and
// the engine that computes it are killed at the same time.
func TestOwnerAndEngineDieAtOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 3, engines: 3, engineArgs: []string{"-step", "20ms"}})
	request := newChat(c.addresses(), "spec-match", "long specification", 150)
	request.onToken = func(count int) {
		if count == 30 {
			engine := c.busiestEngine()
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
