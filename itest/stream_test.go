package itest

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestIdentifiersSurviveTheNextRequest guards against identifiers that alias a connection's read buffer:
// a second request overwrote the identifier of the first in memory.
func TestIdentifiersSurviveTheNextRequest(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 2, engines: 2})
	for n := range 4 {
		if err := newChat(c.addresses()[:1], "stock-question", fmt.Sprintf("question %d", n), 8).run(); err != nil {
			t.Fatal(err)
		}
	}
	status, err := c.status(c.daemons[0])
	if err != nil || status.Owned != 4 {
		t.Fatalf("the daemon owns %d requests, want 4 (error %v)", status.Owned, err)
	}
}

// TestKilledDaemonLosesNoAnswer guards against an answer that is lost with the daemon that serves it.
// The caller reconnects to another daemon and must receive the rest.
func TestKilledDaemonLosesNoAnswer(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 3, engines: 3})
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

// TestTerminatedDaemonInterruptsNothing guards against a graceful shutdown that interrupts requests in
// progress or exits with an error.
func TestTerminatedDaemonInterruptsNothing(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 2, engines: 2})
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
		t.Fatalf("the daemon exited with code %d, want 0", code)
	}
}

// TestKilledEngineLosesNoAnswer guards against an answer that is lost with its engine. One engine is
// killed and the next is paused; the daemon must fail over each time.
func TestKilledEngineLosesNoAnswer(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 2, engines: 2})
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
