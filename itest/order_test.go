package itest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"
)

type (
	// orderResult records the responses that callers received for one idempotency key.
	orderResult struct {
		mu        sync.Mutex
		answered  int
		notRun    []string
		refusals  map[codes.Code]int
		lastError string
	}

	// faultInjector injects the faults of one case while callers place orders.
	faultInjector func(c *cluster)
)

// callerSeed seeds the callers' choice of daemons, so that it is repeatable.
const callerSeed = 11

// placeOrder sends an order once and records the outcome. It reports whether the outcome is final.
func placeOrder(address, key string, result *orderResult) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/app/orders/orders", bytes.NewBufferString(`{"Item":"film"}`))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+counterKey)
	request.Header.Set(wire.HeaderIdempotencyKey, key)
	request.Header.Set(wire.HeaderDeadline, time.Now().Add(4*time.Second).Format(wire.DeadlineLayout))
	client := http.Client{Timeout: 6 * time.Second, Transport: httpClient.Transport}
	response, err := client.Do(request)
	result.mu.Lock()
	defer result.mu.Unlock()
	if err != nil {
		result.lastError = err.Error()
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	if response.StatusCode < 300 {
		result.answered++
		return true
	}
	var refusal codes.Refusal
	if json.Unmarshal(body, &refusal) != nil {
		result.lastError = string(body)
		return false
	}
	if refusal.NotRun {
		result.notRun = append(result.notRun, refusal.Error())
	}
	result.refusals[refusal.Code]++
	result.lastError = refusal.Error()
	// A key whose order was refused as not run is closed, so a retry could not run it.
	return refusal.NotRun
}

// TestOrdersRunAtMostOnce guards against an order that runs twice, and against a "not run" refusal of an
// order that ran before or runs later. Callers send each key to two daemons at the same time and retry
// after unknown outcomes, while the faults of the case are injected.
func TestOrdersRunAtMostOnce(t *testing.T) {
	t.Parallel()
	cases := map[string]faultInjector{
		"no-fault": func(*cluster) {},
		"log-loses-answers": func(c *cluster) {
			c.setFaults(c.log, json.RawMessage(`{"LoseAnswers": {"Probability": 0.3}}`))
		},
		"service-loses-answers": func(c *cluster) {
			for _, app := range c.apps {
				c.setFaults(app, json.RawMessage(`{"LoseAnswers": {"Probability": 0.3}}`))
			}
		},
		"log-outage": func(c *cluster) {
			c.setFaults(c.log, json.RawMessage(`{"Down": true}`))
			<-time.After(2 * time.Second)
			c.setFaults(c.log, json.RawMessage(`{}`))
		},
		"daemon-killed": func(c *cluster) { c.daemons[1].Signal(syscall.SIGKILL) },
		// The pause is longer than any deadline of the daemon's calls.
		"daemon-paused": func(c *cluster) { pauseFor(c.daemons[1], 6*time.Second) },
		"killed-and-log": func(c *cluster) {
			c.setFaults(c.log, json.RawMessage(`{"LoseAnswers": {"Probability": 0.3}, "DelayMilliseconds": 50}`))
			c.daemons[2].Signal(syscall.SIGKILL)
		},
	}
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, clusterConfig{daemons: 3, apps: 2})
			checkOrders(c, inject)
		})
	}
}

// pauseFor suspends a process and resumes it after the pause.
func pauseFor(p *process, pause time.Duration) {
	p.Signal(syscall.SIGSTOP)
	<-time.After(pause)
	p.Signal(syscall.SIGCONT)
}

// checkOrders places orders while the faults are injected and checks the outcome of each.
func checkOrders(c *cluster, inject faultInjector) {
	const keys, maxAttempts = 24, 25
	random := rand.New(rand.NewPCG(callerSeed, 0))
	results := make(map[string]*orderResult)
	var callers sync.WaitGroup
	for range keys {
		key := ident.NewKey()
		result := &orderResult{refusals: make(map[codes.Code]int)}
		results[key] = result
		first := random.IntN(len(c.daemons))
		for sender := range 2 {
			callers.Go(func() {
				for attempt := range maxAttempts {
					daemon := c.daemons[(first+sender+attempt)%len(c.daemons)]
					if placeOrder(daemon.address(), key, result) {
						return
					}
					<-time.After(150 * time.Millisecond)
				}
			})
		}
	}
	inject(c)
	callers.Wait()
	answered := 0
	executions := c.executions()
	for key, result := range results {
		if result.answered > 0 {
			answered++
		}
		if violation := orderViolation(executions[key], result); violation != "" {
			c.t.Errorf("key %s: %s", key, violation)
		}
	}
	c.t.Logf("%d of %d orders answered", answered, keys)
	for key, result := range results {
		if result.answered == 0 {
			c.t.Logf("key %s was not answered; last error: %s", key, result.lastError)
		}
	}
	if answered == 0 {
		c.t.Error("no order was answered")
	}
}

// orderViolation describes how the responses for a key contradict its executions at the services. It
// returns "" if they agree.
func orderViolation(executions int, result *orderResult) string {
	switch {
	case executions > 1:
		return fmt.Sprintf("ran %d times", executions)
	case executions == 0 && result.answered > 0:
		return "was answered but never ran"
	case executions > 0 && len(result.notRun) > 0:
		return fmt.Sprintf("ran although a caller received: %s", result.notRun[0])
	}
	return ""
}

// executions returns the number of executions of each key over all services.
func (c *cluster) executions() map[string]int {
	c.t.Helper()
	total := make(map[string]int)
	for _, app := range c.apps {
		var counts map[string]int
		c.callAdmin(app, "GET", "/admin/executions", nil, &counts)
		for key, count := range counts {
			total[key] += count
		}
	}
	return total
}

// TestShortRetentionRunsNoOrder guards against an order that could run again after its claim has
// expired. The log keeps records for less than twice the key window, so that daemons must not send any
// order and must report its outcome as unknown.
func TestShortRetentionRunsNoOrder(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 2, apps: 1, logArgs: []string{"-retention", "1h"}})
	result := &orderResult{refusals: make(map[codes.Code]int)}
	key := ident.NewKey()
	for _, daemon := range c.daemons {
		placeOrder(daemon.address(), key, result)
	}
	if result.answered > 0 || len(result.notRun) > 0 || result.refusals[codes.LogUnavailable] != 2 {
		t.Errorf("answered %d times, not run %v, last error %s; want two LogUnavailable refusals", result.answered, result.notRun, result.lastError)
	}
	if executions := c.executions()[key]; executions != 0 {
		t.Errorf("the order ran %d times", executions)
	}
}
