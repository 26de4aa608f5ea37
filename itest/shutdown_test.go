package itest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"
)

// balancer stands for the platform's balancer: it names the daemons that are ready.
type balancer struct {
	mu        sync.Mutex
	addresses []string
}

func (b *balancer) set(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = slices.Clone(addresses)
}

func (b *balancer) pick(random *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addresses[random.IntN(len(b.addresses))]
}

// TestRollingRestartCutsNothing guards against a graceful stop that cuts a stream or an
// order, exits with a fault or runs an order twice. Each of three daemons is stopped under
// load after its replacement serves. A caller that a stopping daemon refuses goes to another;
// a connection that breaks after the daemon has accepted the request is a fault.
func TestRollingRestartCutsNothing(t *testing.T) {
	c := newCluster(t, plan{daemons: 3, engines: 3, apps: 2, engineArgs: []string{"-step", "10ms", "-max-running", "64"}})
	front := &balancer{}
	front.set(c.addresses())
	load := c.restartLoad(front)
	for n, old := range slices.Clone(c.daemons) {
		replacement := c.startDaemon(len(c.daemons), "")
		c.daemons = append(c.daemons, replacement)
		waitFor(t, 15*time.Second, "the replacement to serve", func() bool { return ready(replacement) })
		began := load.streamed()
		waitFor(t, 10*time.Second, "streams in progress", func() bool { return load.streamed() >= began+3 })
		old.Signal(syscall.SIGTERM)
		// The balancer keeps sending to the daemon until its check fails.
		waitFor(t, 10*time.Second, "readiness to fail", func() bool { return !ready(old) })
		front.set(c.addresses()[n+1:])
		if code := old.exitCode(t, 30*time.Second); code != 0 {
			t.Errorf("%s exited with %d", old.name, code)
		}
		c.put(wire.Instance{ID: old.name, Role: wire.RoleEntry, DataCentre: dataCentre(n), Address: old.ports[0], PeerAddress: old.ports[1], State: wire.Leaving, LeaveDeadline: time.Now()})
	}
	c.daemons = c.daemons[3:]
	load.stop()
	executions := c.executions()
	for key, result := range load.orders {
		if fault := judgeOrder(executions[key], result); fault != "" {
			t.Errorf("key %s: %s", key, fault)
		}
		if result.answered == 0 {
			t.Errorf("key %s was not answered: %s", key, result.lastFault)
		}
	}
	for _, fault := range load.faults {
		t.Error(fault)
	}
	t.Logf("%d streams and %d orders", load.streams, len(load.orders))
}

// restartLoad is the traffic during the restarts and what its callers saw.
type restartLoad struct {
	mu      sync.Mutex
	streams int
	faults  []error
	orders  map[string]*orderResult
	ended   chan struct{}
	callers sync.WaitGroup
	stop    func()
}

// restartLoad starts callers of streams and of orders.
func (c *cluster) restartLoad(front *balancer) *restartLoad {
	const streamCallers, orderCallers = 8, 4
	l := &restartLoad{orders: make(map[string]*orderResult), ended: make(chan struct{})}
	l.stop = sync.OnceFunc(func() {
		close(l.ended)
		l.callers.Wait()
	})
	c.t.Cleanup(l.stop)
	for n := range streamCallers + orderCallers {
		random := rand.New(rand.NewPCG(callerSeed, uint64(n)))
		l.callers.Go(func() {
			for round := 0; !l.over(); round++ {
				if n < streamCallers {
					l.stream(front, random, fmt.Sprintf("specification %d of caller %d", round, n))
				} else {
					l.order(front, random)
				}
			}
		})
	}
	return l
}

func (l *restartLoad) over() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

func (l *restartLoad) streamed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams
}

// stream runs one request on one connection. A refusal before it is accepted goes to
// another daemon; so does a connection that a daemon did not take because it has exited.
func (l *restartLoad) stream(front *balancer, random *rand.Rand, prompt string) {
	request := newChat(nil, "spec-match", prompt, 60)
	for {
		whole, err := request.connect(front.pick(random))
		if whole {
			err = request.check()
		} else if len(request.seen) == 0 && (codeOf(err) == codes.Draining || notTaken(err)) && time.Now().Before(request.deadline) {
			<-time.After(pollPause)
			continue
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.streams++
		if err != nil {
			l.faults = append(l.faults, fmt.Errorf("a stream ended after %d tokens: %w", len(request.seen), err))
		}
		return
	}
}

// order places one order until it is answered.
func (l *restartLoad) order(front *balancer, random *rand.Rand) {
	const rounds = 40
	key := ident.NewKey()
	result := &orderResult{refusals: make(map[codes.Code]int)}
	for range rounds {
		if place(front.pick(random), key, result) {
			break
		}
		<-time.After(5 * pollPause)
	}
	l.mu.Lock()
	l.orders[key] = result
	l.mu.Unlock()
	<-time.After(5 * pollPause)
}

// notTaken reports whether no process listens at the address any more.
func notTaken(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// TestForwardedOrderOutlivesTheStop guards against a graceful stop that cuts an order which
// another daemon has forwarded: no caller is connected to the stopping daemon itself, and an
// order that it has claimed and not ended is never answered.
func TestForwardedOrderOutlivesTheStop(t *testing.T) {
	t.Parallel()
	const orders = 24
	c := newCluster(t, plan{daemons: 2, apps: 1})
	c.fault(c.apps[0], json.RawMessage(`{"DelayMilliseconds": 1500}`))
	results := make(map[string]*orderResult)
	var callers sync.WaitGroup
	for range orders {
		key, result := ident.NewKey(), &orderResult{refusals: make(map[codes.Code]int)}
		results[key] = result
		callers.Go(func() { place(c.daemons[0].address(), key, result) })
	}
	<-time.After(700 * time.Millisecond)
	c.daemons[1].Signal(syscall.SIGTERM)
	if code := c.daemons[1].exitCode(t, 30*time.Second); code != 0 {
		t.Errorf("the daemon exited with %d", code)
	}
	callers.Wait()
	executions := c.executions()
	for key, result := range results {
		if result.answered != 1 || executions[key] != 1 {
			t.Errorf("order %s ran %d times and was answered %d times: %s", key, executions[key], result.answered, result.lastFault)
		}
	}
}

// TestQueuedRequestOutlivesTheStop guards against a graceful stop that cuts a request which
// waits for its account's cap while no other caller is connected: it must get its whole
// answer or a refusal that sends it to another daemon.
func TestQueuedRequestOutlivesTheStop(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 2, engines: 2, engineArgs: []string{"-step", "20ms"}})
	c.publish(edited(c.mustView(c.daemons[0]), setCap("studio", 1)))
	stopped := c.daemons[0]
	// The first request takes the cap, and its caller goes away after some tokens.
	c.startAndLeave(stopped, "first specification", 150)
	queued := newChat(nil, "spec-match", "second specification", 20)
	queued.key = studioKey
	ended := make(chan error, 1)
	go func() {
		whole, err := queued.connect(stopped.address())
		if whole {
			err = queued.check()
		}
		ended <- err
	}()
	select {
	case err := <-ended:
		t.Fatalf("the request did not have to wait for the cap (error %v)", err)
	case <-time.After(500 * time.Millisecond):
	}
	stopped.Signal(syscall.SIGTERM)
	if err := <-ended; err != nil && codeOf(err) != codes.Draining {
		t.Errorf("the request that waited ended with %v", err)
	}
	if code := stopped.exitCode(t, 30*time.Second); code != 0 {
		t.Errorf("the daemon exited with %d", code)
	}
}

// startAndLeave starts a request of the studio and closes the connection after a token.
func (c *cluster) startAndLeave(daemon *process, prompt string, tokens int) {
	c.t.Helper()
	body, err := json.Marshal(wire.ChatRequest{
		Model: "spec-match", Stream: true, MaxTokens: tokens,
		Messages: []wire.ChatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+daemon.address()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+studioKey)
	response, err := httpClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		c.t.Fatal(readRefusal(response))
	}
	if _, err := wire.NewEventReader(response.Body).Next(); err != nil {
		c.t.Fatal(err)
	}
}
