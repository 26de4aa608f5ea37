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

// loadBalancer simulates the platform's load balancer, which sends requests to the daemons that are ready.
type loadBalancer struct {
	mu        sync.Mutex
	addresses []string
}

func (b *loadBalancer) set(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = slices.Clone(addresses)
}

func (b *loadBalancer) pick(random *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addresses[random.IntN(len(b.addresses))]
}

// TestRollingRestartInterruptsNothing guards against a graceful shutdown that interrupts a stream or an
// order, exits with an error or runs an order twice. Each of three daemons is stopped under load once
// its replacement is ready. A caller that a draining daemon refuses retries at another daemon; a
// connection that breaks after the daemon accepted the request is a failure.
func TestRollingRestartInterruptsNothing(t *testing.T) {
	c := newCluster(t, clusterConfig{daemons: 3, engines: 3, apps: 2, engineArgs: []string{"-step", "10ms", "-max-running", "64"}})
	balancer := &loadBalancer{}
	balancer.set(c.addresses())
	load := c.restartLoad(balancer)
	for n, old := range slices.Clone(c.daemons) {
		replacement := c.startDaemon(len(c.daemons), "")
		c.daemons = append(c.daemons, replacement)
		waitFor(t, 15*time.Second, "the replacement to serve", func() bool { return isReady(replacement) })
		initialStreams := load.streamCount()
		waitFor(t, 10*time.Second, "streams in progress", func() bool { return load.streamCount() >= initialStreams+3 })
		old.Signal(syscall.SIGTERM)
		// The load balancer keeps sending requests to the daemon until its readiness check fails.
		waitFor(t, 10*time.Second, "the readiness check to fail", func() bool { return !isReady(old) })
		balancer.set(c.addresses()[n+1:])
		if code := old.exitCode(t, 30*time.Second); code != 0 {
			t.Errorf("%s exited with code %d, want 0", old.name, code)
		}
		c.putInstance(wire.Instance{ID: old.name, Role: wire.RoleEntry, DataCentre: dataCentre(n), Address: old.ports[0], PeerAddress: old.ports[1], State: wire.Leaving, LeaveDeadline: time.Now()})
	}
	c.daemons = c.daemons[3:]
	load.stop()
	executions := c.executions()
	for key, result := range load.orders {
		if violation := orderViolation(executions[key], result); violation != "" {
			t.Errorf("key %s: %s", key, violation)
		}
		if result.answered == 0 {
			t.Errorf("key %s was not answered; last error: %s", key, result.lastError)
		}
	}
	for _, violation := range load.errs {
		t.Error(violation)
	}
	t.Logf("%d streams and %d orders", load.streams, len(load.orders))
}

// restartLoad is the traffic during the restarts and the results that its callers received.
type restartLoad struct {
	mu      sync.Mutex
	streams int
	errs    []error
	orders  map[string]*orderResult
	stopped chan struct{}
	callers sync.WaitGroup
	stop    func()
}

// restartLoad starts callers that send streaming requests and callers that place orders.
func (c *cluster) restartLoad(balancer *loadBalancer) *restartLoad {
	const streamCallers, orderCallers = 8, 4
	l := &restartLoad{orders: make(map[string]*orderResult), stopped: make(chan struct{})}
	l.stop = sync.OnceFunc(func() {
		close(l.stopped)
		l.callers.Wait()
	})
	c.t.Cleanup(l.stop)
	for n := range streamCallers + orderCallers {
		random := rand.New(rand.NewPCG(callerSeed, uint64(n)))
		l.callers.Go(func() {
			for round := 0; !l.isStopped(); round++ {
				if n < streamCallers {
					l.runStream(balancer, random, fmt.Sprintf("specification %d of caller %d", round, n))
				} else {
					l.placeUntilAnswered(balancer, random)
				}
			}
		})
	}
	return l
}

func (l *restartLoad) isStopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

func (l *restartLoad) streamCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams
}

// runStream runs one request on one connection. It retries at another daemon while the request has not
// been accepted, either because the daemon is draining or because it has exited.
func (l *restartLoad) runStream(balancer *loadBalancer, random *rand.Rand, prompt string) {
	request := newChat(nil, "spec-match", prompt, 60)
	for {
		complete, err := request.connect(balancer.pick(random))
		if complete {
			err = request.check()
		} else if len(request.received) == 0 && (refusalCode(err) == codes.Draining || isConnectionRefused(err)) && time.Now().Before(request.deadline) {
			<-time.After(pollInterval)
			continue
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.streams++
		if err != nil {
			l.errs = append(l.errs, fmt.Errorf("a stream ended after %d tokens: %w", len(request.received), err))
		}
		return
	}
}

// placeUntilAnswered sends one order repeatedly until it is answered or the attempts are used up.
func (l *restartLoad) placeUntilAnswered(balancer *loadBalancer, random *rand.Rand) {
	const maxAttempts = 40
	key := ident.NewKey()
	result := &orderResult{refusals: make(map[codes.Code]int)}
	for range maxAttempts {
		if placeOrder(balancer.pick(random), key, result) {
			break
		}
		<-time.After(5 * pollInterval)
	}
	l.mu.Lock()
	l.orders[key] = result
	l.mu.Unlock()
	<-time.After(5 * pollInterval)
}

// isConnectionRefused reports whether the connection failed because no process listens at the address.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// TestForwardedOrderSurvivesShutdown guards against a graceful shutdown that interrupts orders forwarded
// by another daemon. No caller is connected to the stopping daemon itself, and an order that it has
// claimed but not finished would never be answered.
func TestForwardedOrderSurvivesShutdown(t *testing.T) {
	t.Parallel()
	const orders = 24
	c := newCluster(t, clusterConfig{daemons: 2, apps: 1})
	c.setFaults(c.apps[0], json.RawMessage(`{"DelayMilliseconds": 1500}`))
	results := make(map[string]*orderResult)
	var callers sync.WaitGroup
	for range orders {
		key, result := ident.NewKey(), &orderResult{refusals: make(map[codes.Code]int)}
		results[key] = result
		callers.Go(func() { placeOrder(c.daemons[0].address(), key, result) })
	}
	<-time.After(700 * time.Millisecond)
	c.daemons[1].Signal(syscall.SIGTERM)
	if code := c.daemons[1].exitCode(t, 30*time.Second); code != 0 {
		t.Errorf("the daemon exited with code %d, want 0", code)
	}
	callers.Wait()
	executions := c.executions()
	for key, result := range results {
		if result.answered != 1 || executions[key] != 1 {
			t.Errorf("order %s ran %d times and was answered %d times, want once each; last error: %s", key, executions[key], result.answered, result.lastError)
		}
	}
}

// TestQueuedRequestSurvivesShutdown guards against a graceful shutdown that interrupts a request which is
// queued at its account's in-flight limit while no other caller is connected. The request must get its
// complete answer or the refusal of a draining daemon, which lets the caller retry at another daemon.
func TestQueuedRequestSurvivesShutdown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 2, engines: 2, engineArgs: []string{"-step", "20ms"}})
	c.publish(changedTable(c.mustTableView(c.daemons[0]), setMaxInFlight("studio", 1)))
	stopped := c.daemons[0]
	// The first request uses up the in-flight limit; its caller disconnects after the first token.
	c.startAndDisconnect(stopped, "first specification", 150)
	queued := newChat(nil, "spec-match", "second specification", 20)
	queued.key = studioKey
	ended := make(chan error, 1)
	go func() {
		complete, err := queued.connect(stopped.address())
		if complete {
			err = queued.check()
		}
		ended <- err
	}()
	select {
	case err := <-ended:
		t.Fatalf("the request was not queued at the in-flight limit (error %v)", err)
	case <-time.After(500 * time.Millisecond):
	}
	stopped.Signal(syscall.SIGTERM)
	if err := <-ended; err != nil && refusalCode(err) != codes.Draining {
		t.Errorf("the queued request ended with %v", err)
	}
	if code := stopped.exitCode(t, 30*time.Second); code != 0 {
		t.Errorf("the daemon exited with code %d, want 0", code)
	}
}

// startAndDisconnect starts a request of the studio account and closes the connection after one event.
func (c *cluster) startAndDisconnect(daemon *process, prompt string, tokens int) {
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
