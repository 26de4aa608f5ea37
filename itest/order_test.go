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
	// orderResult is what callers have seen of one key.
	orderResult struct {
		mu        sync.Mutex
		answered  int
		notRun    []string
		refusals  map[codes.Code]int
		lastFault string
	}

	// orderFaults sets the faults of one case and returns a function that clears them.
	orderFaults func(c *cluster)
)

// callerSeed makes the callers' choices of daemons repeatable.
const callerSeed = 11

// place sends one order once and notes the outcome.
func place(address, key string, result *orderResult) bool {
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
		result.lastFault = err.Error()
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
		result.lastFault = string(body)
		return false
	}
	if refusal.NotRun {
		result.notRun = append(result.notRun, refusal.Error())
	}
	result.refusals[refusal.Code]++
	result.lastFault = refusal.Error()
	// After "not run" the key is closed, so there is no point in sending it again.
	return refusal.NotRun
}

// TestOrdersRunAtMostOnce guards against a doubled order and against a "not run" for an
// order that was placed, now or later. Callers send each key to two daemons at once and go
// on with it after unknown outcomes, while one fault of each kind is in force.
func TestOrdersRunAtMostOnce(t *testing.T) {
	t.Parallel()
	cases := map[string]orderFaults{
		"no-fault": func(*cluster) {},
		"log-loses-answers": func(c *cluster) {
			c.fault(c.log, json.RawMessage(`{"LoseAnswers": {"Probability": 0.3}}`))
		},
		"service-loses-answers": func(c *cluster) {
			for _, app := range c.apps {
				c.fault(app, json.RawMessage(`{"LoseAnswers": {"Probability": 0.3}}`))
			}
		},
		"log-outage": func(c *cluster) {
			c.fault(c.log, json.RawMessage(`{"Down": true}`))
			<-time.After(2 * time.Second)
			c.fault(c.log, json.RawMessage(`{}`))
		},
		"daemon-killed": func(c *cluster) { c.daemons[1].Signal(syscall.SIGKILL) },
		"daemon-paused": func(c *cluster) { pauseFor(c.daemons[1], 6*time.Second) },
		"killed-and-log": func(c *cluster) {
			c.fault(c.log, json.RawMessage(`{"LoseAnswers": {"Probability": 0.3}, "DelayMilliseconds": 50}`))
			c.daemons[2].Signal(syscall.SIGKILL)
		},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, plan{daemons: 3, apps: 2})
			checkOrders(c, faults)
		})
	}
}

// pauseFor stops a daemon for longer than any deadline of its calls and lets it go on.
func pauseFor(p *process, pause time.Duration) {
	p.Signal(syscall.SIGSTOP)
	<-time.After(pause)
	p.Signal(syscall.SIGCONT)
}

func checkOrders(c *cluster, faults orderFaults) {
	const keys, rounds = 24, 25
	random := rand.New(rand.NewPCG(callerSeed, 0))
	results := make(map[string]*orderResult)
	var callers sync.WaitGroup
	for range keys {
		key := ident.NewKey()
		result := &orderResult{refusals: make(map[codes.Code]int)}
		results[key] = result
		first := random.IntN(len(c.daemons))
		for copyNumber := range 2 {
			callers.Go(func() {
				for round := range rounds {
					daemon := c.daemons[(first+copyNumber+round)%len(c.daemons)]
					if place(daemon.address(), key, result) {
						return
					}
					<-time.After(150 * time.Millisecond)
				}
			})
		}
	}
	faults(c)
	callers.Wait()
	answered := 0
	executions := c.executions()
	for key, result := range results {
		if result.answered > 0 {
			answered++
		}
		if fault := judgeOrder(executions[key], result); fault != "" {
			c.t.Errorf("key %s: %s", key, fault)
		}
	}
	c.t.Logf("%d of %d orders answered", answered, keys)
	for key, result := range results {
		if result.answered == 0 {
			c.t.Logf("key %s was not answered; last: %s", key, result.lastFault)
		}
	}
	if answered == 0 {
		c.t.Error("no order was answered")
	}
}

// judgeOrder compares what callers saw of a key with the executions at the services.
func judgeOrder(executions int, result *orderResult) string {
	switch {
	case executions > 1:
		return fmt.Sprintf("ran %d times", executions)
	case executions == 0 && result.answered > 0:
		return "was answered but never ran"
	case executions > 0 && len(result.notRun) > 0:
		return fmt.Sprintf("ran although a caller was told: %s", result.notRun[0])
	}
	return ""
}

// executions returns the executions of each key over all services.
func (c *cluster) executions() map[string]int {
	c.t.Helper()
	total := make(map[string]int)
	for _, app := range c.apps {
		var counts map[string]int
		c.admin(app, "GET", "/admin/executions", nil, &counts)
		for key, count := range counts {
			total[key] += count
		}
	}
	return total
}

// TestShortRetentionRunsNoOrder guards against an order that could run again after its
// claim has expired: the log keeps records for less than twice the key window, so that no
// order may be sent, and the caller is told that the outcome is unknown.
func TestShortRetentionRunsNoOrder(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 2, apps: 1, logArgs: []string{"-retention", "1h"}})
	result := &orderResult{refusals: make(map[codes.Code]int)}
	key := ident.NewKey()
	for _, daemon := range c.daemons {
		place(daemon.address(), key, result)
	}
	if result.answered > 0 || len(result.notRun) > 0 || result.refusals[codes.LogUnavailable] != 2 {
		t.Errorf("answered %d, not run %v, last %s", result.answered, result.notRun, result.lastFault)
	}
	if executions := c.executions()[key]; executions != 0 {
		t.Errorf("the order ran %d times", executions)
	}
}
