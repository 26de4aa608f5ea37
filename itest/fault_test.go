package itest

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"lentilstage.dev/wire/wire"
)

// streamFault is one case of testdata/stream_faults.yaml.
type streamFault struct {
	Name       string `yaml:"Name"`
	Guards     string `yaml:"Guards"`
	Faults     string `yaml:"Faults"`
	Behaviours string `yaml:"Behaviours"`
	Requests   int    `yaml:"Requests"`
	Tokens     int    `yaml:"Tokens"`
}

// TestAnswersUnderEngineFaults guards against answers that are incomplete, contain chunks of another
// request or repeat a token. Each case in the file describes the fault that it guards against.
func TestAnswersUnderEngineFaults(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile("testdata/stream_faults.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []streamFault
	if err := yaml.UnmarshalWithOptions(text, &cases, yaml.Strict()); err != nil {
		t.Fatal(err)
	}
	for _, f := range cases {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, clusterConfig{daemons: 2, engines: 3})
			for _, engine := range c.engines {
				if f.Faults != "" {
					c.setFaults(engine, json.RawMessage(f.Faults))
				}
				if f.Behaviours != "" {
					c.callAdmin(engine, "POST", "/admin/behaviours", json.RawMessage(f.Behaviours), nil)
				}
			}
			for _, err := range runRequests(c, f.Requests, f.Tokens) {
				t.Errorf("%v (guards against: %s)", err, f.Guards)
			}
		})
	}
}

// runRequests runs requests concurrently and returns their errors.
func runRequests(c *cluster, requests, tokens int) []error {
	var mu sync.Mutex
	var errs []error
	var callers sync.WaitGroup
	for n := range requests {
		callers.Go(func() {
			request := newChat(c.addresses(), "quote-draft", fmt.Sprintf("draft a quote number %d", n), tokens)
			if err := request.run(); err != nil {
				mu.Lock()
				errs = append(errs, fmt.Errorf("request %d: %w", n, err))
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return errs
}

// TestLeavingEngineGetsNoNewRequests guards against daemons that send new requests to an engine more
// than 3 s after the instance list marked it as leaving.
func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 3, engines: 3})
	marked := time.Now()
	c.putInstance(wire.Instance{
		ID: "engine-0", Role: wire.RoleEngine, DataCentre: dataCentre(0), Address: c.engines[0].address(),
		State: wire.Leaving, LeaveDeadline: marked.Add(time.Minute), Versions: []string{"catalogue-v1"},
	})
	<-time.After(time.Until(marked.Add(3 * time.Second)))
	before := c.requestCount(c.engines[0])
	for _, address := range c.addresses() {
		for n := range 5 {
			if err := newChat([]string{address}, "stock-question", fmt.Sprint("question ", address, n), 4).run(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if after := c.requestCount(c.engines[0]); after != before {
		t.Fatalf("the leaving engine received %d new requests, want none", after-before)
	}
	if c.requestCount(c.engines[1])+c.requestCount(c.engines[2]) != 15 {
		t.Fatal("the other engines did not receive all 15 requests")
	}
}

// engineCounts holds the counters of an engine for one version.
type engineCounts struct {
	Requests              int   `json:"Requests"`
	Resumed               int64 `json:"Resumed"`
	ResumedTokensComputed int64 `json:"ResumedTokensComputed"`
}

// countsOf returns the counters of an engine for catalogue-v1.
func (c *cluster) countsOf(engine *process) engineCounts {
	c.t.Helper()
	counts := make(map[string]engineCounts)
	c.callAdmin(engine, "GET", "/admin/counts", nil, &counts)
	return counts["catalogue-v1"]
}

// requestCount returns the number of requests that an engine has received for catalogue-v1.
func (c *cluster) requestCount(engine *process) int { return c.countsOf(engine).Requests }

// TestReclaimedEngineStreamsMigrate guards against a long stream that stays at an engine until the
// reclaim interrupts it, and against recomputing a long context although the notice period leaves time
// to export it.
func TestReclaimedEngineStreamsMigrate(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 3, engines: 2, engineArgs: []string{"-step", "20ms"}})
	prompt := strings.Repeat("drafting film 75 micron matt both sides ", 100)
	request := newChat(c.addresses()[:1], "spec-match", prompt, 600)
	remaining := c.engines[0]
	request.onToken = func(count int) {
		if count == 40 {
			leaving := c.busiestEngine()
			if leaving == remaining {
				remaining = c.engines[1]
			}
			c.markLeavingAndKill(leaving, 5*time.Second)
		}
	}
	if err := request.run(); err != nil {
		t.Fatal(err)
	}
	if request.reconnects != 0 {
		t.Errorf("the caller had to reconnect %d times", request.reconnects)
	}
	after := c.countsOf(remaining)
	if context := int64(wire.CountTokens(prompt)); after.Resumed != 1 || after.ResumedTokensComputed > context/10 {
		t.Errorf("%d streams were resumed and %d tokens recomputed, want 1 stream and at most a tenth of the %d prompt tokens", after.Resumed, after.ResumedTokensComputed, context)
	}
}

// busiestEngine returns the engine that has received the most requests.
func (c *cluster) busiestEngine() *process {
	busiest := c.engines[0]
	for _, e := range c.engines {
		if c.requestCount(e) > c.requestCount(busiest) {
			busiest = e
		}
	}
	return busiest
}

// markLeavingAndKill announces the reclaim of an engine and kills it after the notice period.
func (c *cluster) markLeavingAndKill(engine *process, notice time.Duration) {
	deadline := time.Now().Add(notice)
	c.putInstance(wire.Instance{
		ID: engine.name, Role: wire.RoleEngine, DataCentre: dataCentre(0), Address: engine.address(),
		State: wire.Leaving, LeaveDeadline: deadline, Versions: []string{"catalogue-v1"},
	})
	time.AfterFunc(notice, engine.Kill)
}
