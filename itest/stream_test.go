package itest

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestIdentifiersSurviveTheNextRequest guards against identifiers that share a
// connection's buffer: a second request overwrote the first one's identifier in memory.
func TestIdentifiersSurviveTheNextRequest(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 2, engines: 2})
	for n := range 4 {
		if err := newChat(c.addresses()[:1], "stock-question", fmt.Sprintf("question %d", n), 8).run(); err != nil {
			t.Fatal(err)
		}
	}
	status, err := c.status(c.daemons[0])
	if err != nil || status.Owned != 4 {
		t.Fatalf("the daemon keeps %d requests, want 4 (error %v)", status.Owned, err)
	}
}

// TestKilledDaemonLosesNoAnswer guards against an answer that dies with the daemon that
// serves it: the caller reconnects at another daemon and must get the rest.
func TestKilledDaemonLosesNoAnswer(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 3, engines: 3})
	var killed sync.Once
	request := newChat(c.addresses(), "spec-match", "long specification", 120)
	request.onToken = func(count int) {
		if count == 30 {
			killed.Do(func() { c.daemons[0].Signal(syscall.SIGKILL) })
		}
	}
	if err := request.run(); err != nil {
		t.Fatal(err)
	}
	if request.reconnects == 0 {
		t.Fatal("the caller never had to reconnect")
	}
}

// TestTerminatedDaemonCutsNothing guards against a graceful stop that ends requests in
// progress or exits with a fault.
func TestTerminatedDaemonCutsNothing(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 2, engines: 2})
	request := newChat(c.addresses()[:1], "spec-match", "long specification", 150)
	request.onToken = func(count int) {
		if count == 20 {
			c.daemons[0].Signal(syscall.SIGTERM)
		}
	}
	if err := request.run(); err != nil {
		t.Fatal(err)
	}
	if request.reconnects != 0 {
		t.Fatalf("the caller had to reconnect %d times", request.reconnects)
	}
	if code := c.daemons[0].exitCode(t, 30*time.Second); code != 0 {
		t.Fatalf("the daemon exited with %d", code)
	}
}

// TestKilledEngineLosesNoAnswer guards against an answer that dies with its engine.
func TestKilledEngineLosesNoAnswer(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 2, engines: 2})
	request := newChat(c.addresses()[:1], "quote-draft", "draft a quote", 100)
	request.onToken = func(count int) {
		if count == 20 {
			c.engines[0].Signal(syscall.SIGKILL)
		}
		if count == 60 {
			c.engines[1].Signal(syscall.SIGSTOP)
			c.addEngine(2, nil)
		}
	}
	if err := request.run(); err != nil {
		t.Fatal(err)
	}
	c.engines[1].Signal(syscall.SIGCONT)
}
