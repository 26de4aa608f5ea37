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

// TestAnswersUnderEngineFaults guards against answers that are incomplete, mixed with
// another request's, or have a token twice; each case in the file names its fault.
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
			c := newCluster(t, plan{daemons: 2, engines: 3})
			for _, engine := range c.engines {
				if f.Faults != "" {
					c.fault(engine, json.RawMessage(f.Faults))
				}
				if f.Behaviours != "" {
					c.admin(engine, "POST", "/admin/behaviours", json.RawMessage(f.Behaviours), nil)
				}
			}
			for _, err := range runAll(c, f.Requests, f.Tokens) {
				t.Errorf("%v (guards against: %s)", err, f.Guards)
			}
		})
	}
}

// runAll runs requests at the same time and returns the errors.
func runAll(c *cluster, requests, tokens int) []error {
	var mu sync.Mutex
	var faults []error
	var callers sync.WaitGroup
	for n := range requests {
		callers.Go(func() {
			request := newChat(c.addresses(), "quote-draft", fmt.Sprintf("draft a quote number %d", n), tokens)
			if err := request.run(); err != nil {
				mu.Lock()
				faults = append(faults, fmt.Errorf("request %d: %w", n, err))
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return faults
}

// TestLeavingEngineGetsNoNewWork guards against new requests at an engine that the
// instance list shows as leaving. The bound is 3 s from the mark.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 3, engines: 3})
	marked := time.Now()
	c.put(wire.Instance{
		ID: "engine-0", Role: wire.RoleEngine, DataCentre: dataCentre(0), Address: c.engines[0].address(),
		State: wire.Leaving, LeaveDeadline: marked.Add(time.Minute), Versions: []string{"catalogue-v1"},
	})
	<-time.After(time.Until(marked.Add(3 * time.Second)))
	before := c.served(c.engines[0])
	for _, address := range c.addresses() {
		for n := range 5 {
			if err := newChat([]string{address}, "stock-question", fmt.Sprint("question ", address, n), 4).run(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if after := c.served(c.engines[0]); after != before {
		t.Fatalf("the leaving engine got %d new requests", after-before)
	}
	if c.served(c.engines[1])+c.served(c.engines[2]) != 15 {
		t.Fatal("the other engines did not get all requests")
	}
}

// engineCount is what an engine counts for a version.
type engineCount struct {
	Requests              int   `json:"Requests"`
	Resumed               int64 `json:"Resumed"`
	ResumedTokensComputed int64 `json:"ResumedTokensComputed"`
}

// counted returns what an engine has done for the version of the tests.
func (c *cluster) counted(engine *process) engineCount {
	c.t.Helper()
	counts := make(map[string]engineCount)
	c.admin(engine, "GET", "/admin/counts", nil, &counts)
	return counts["catalogue-v1"]
}

// served returns the number of requests that an engine has taken.
func (c *cluster) served(engine *process) int { return c.counted(engine).Requests }

// TestReclaimedEngineMovesItsStreams guards against a long stream that stays at an engine
// until its reclaim ends it, and against computing a long context again although the
// notice leaves time for an export.
func TestReclaimedEngineMovesItsStreams(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 3, engines: 2, engineArgs: []string{"-step", "20ms"}})
	prompt := strings.Repeat("drafting film 75 micron matt both sides ", 100)
	request := newChat(c.addresses()[:1], "spec-match", prompt, 600)
	stays := c.engines[0]
	request.onToken = func(count int) {
		if count == 40 {
			leaves := c.busyEngine()
			if leaves == stays {
				stays = c.engines[1]
			}
			c.markLeavingAndKill(leaves, 5*time.Second)
		}
	}
	if err := request.run(); err != nil {
		t.Fatal(err)
	}
	if request.reconnects != 0 {
		t.Errorf("the caller had to reconnect %d times", request.reconnects)
	}
	after := c.counted(stays)
	if context := int64(wire.CountTokens(prompt)); after.Resumed != 1 || after.ResumedTokensComputed > context/10 {
		t.Errorf("%d streams moved and %d tokens were computed again for a prompt of %d", after.Resumed, after.ResumedTokensComputed, context)
	}
}

// busyEngine returns the engine that has taken the most requests.
func (c *cluster) busyEngine() *process {
	busiest := c.engines[0]
	for _, e := range c.engines {
		if c.served(e) > c.served(busiest) {
			busiest = e
		}
	}
	return busiest
}

// markLeavingAndKill announces a reclaim and kills the engine at its end.
func (c *cluster) markLeavingAndKill(engine *process, notice time.Duration) {
	deadline := time.Now().Add(notice)
	c.put(wire.Instance{
		ID: engine.name, Role: wire.RoleEngine, DataCentre: dataCentre(0), Address: engine.address(),
		State: wire.Leaving, LeaveDeadline: deadline, Versions: []string{"catalogue-v1"},
	})
	time.AfterFunc(notice, engine.Kill)
}
