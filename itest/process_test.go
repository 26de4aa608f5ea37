package itest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lentilstage.dev/standin/stand"
)

// process is a daemon or a stand-in that a test started.
type process struct {
	*stand.Process
	name string
	// ports holds the listen addresses of the process, in the order of its port file.
	ports  []string
	output *stand.Output
}

const (
	// startTimeout limits the wait for a process to bind its ports.
	startTimeout = 15 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 10 * time.Millisecond
)

// binaryDir is the directory of the built programs.
var binaryDir string

// TestMain builds the programs once for all tests. If ITEST_RACE is set, they are built with the race
// detector, and a reported race fails the test.
func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "lentilstage-itest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaryDir = dir
	var flags []string
	if os.Getenv("ITEST_RACE") != "" {
		flags = append(flags, "-race")
	}
	if err := stand.Build(dir, flags,
		"entryd", "lentilctl", "standin/logd", "standin/listd", "standin/engined", "standin/appd", "standin/cloudd", "standin/faultd",
	); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// startProcess runs a program and waits until it has bound its ports. The process is killed at the
// end of the test.
func startProcess(t *testing.T, name, program string, arguments ...string) *process {
	t.Helper()
	portFile := filepath.Join(t.TempDir(), name+".port")
	p := &process{name: name, output: &stand.Output{}}
	var err error
	if p.Process, err = stand.StartProcess(binaryDir, program, append(arguments, "-port-file", portFile), nil, p.output); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Kill()
		if strings.Contains(p.output.String(), "DATA RACE") {
			t.Errorf("%s reported a data race", name)
		}
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, lastLines(p.output.String(), 40))
		}
	})
	waitFor(t, startTimeout, name+" to bind its ports", func() bool {
		data, err := os.ReadFile(portFile)
		p.ports = strings.Fields(string(data))
		return err == nil && len(p.ports) > 0
	})
	return p
}

// address returns the first listen address.
func (p *process) address() string { return p.ports[0] }

// exitCode waits for the process to exit and returns its exit code.
func (p *process) exitCode(t *testing.T, timeout time.Duration) int {
	t.Helper()
	select {
	case <-p.Exited():
	case <-time.After(timeout):
		t.Fatalf("%s did not exit within %s", p.name, timeout)
	}
	return p.ExitCode()
}

// waitFor polls the condition until it holds and fails the test after the timeout.
func waitFor(t *testing.T, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %s waiting for %s", timeout, description)
		}
		<-time.After(pollInterval)
	}
}

func lastLines(text string, count int) string {
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}
