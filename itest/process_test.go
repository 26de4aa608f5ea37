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

// process is one program of the system or a stand-in that a test has started.
type process struct {
	*stand.Process
	name string
	// ports are the addresses that the process bound, in the order of its port file.
	ports  []string
	output *stand.Output
}

const (
	// startLimit bounds the wait for a process to bind its ports.
	startLimit = 15 * time.Second
	// pollPause is the pause between two looks at a condition.
	pollPause = 10 * time.Millisecond
)

// binaries is the folder of the built programs.
var binaries string

// TestMain builds the programs once for all tests. With ITEST_RACE set, they are built with
// the race detector, and a report of it fails the test.
func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "lentilstage-itest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaries = folder
	var flags []string
	if os.Getenv("ITEST_RACE") != "" {
		flags = append(flags, "-race")
	}
	if err := stand.Build(folder, flags,
		"entryd", "lentilctl", "standin/logd", "standin/listd", "standin/engined", "standin/appd", "standin/cloudd", "standin/faultd",
	); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// start runs a program and waits until it has bound its ports. The process is killed
// at the end of the test.
func start(t *testing.T, name, program string, arguments ...string) *process {
	t.Helper()
	portFile := filepath.Join(t.TempDir(), name+".port")
	p := &process{name: name, output: &stand.Output{}}
	var err error
	if p.Process, err = stand.StartProcess(binaries, program, append(arguments, "-port-file", portFile), nil, p.output); err != nil {
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
	waitFor(t, startLimit, name+" to bind its ports", func() bool {
		data, err := os.ReadFile(portFile)
		p.ports = strings.Fields(string(data))
		return err == nil && len(p.ports) > 0
	})
	return p
}

// address returns the first bound address.
func (p *process) address() string { return p.ports[0] }

// exitCode waits for the process to end and returns its code.
func (p *process) exitCode(t *testing.T, limit time.Duration) int {
	t.Helper()
	select {
	case <-p.Exited():
	case <-time.After(limit):
		t.Fatalf("%s did not exit within %s", p.name, limit)
	}
	return p.ExitCode()
}

// waitFor waits until the condition holds and fails the test after the limit.
func waitFor(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("waited %s for %s", limit, what)
		}
		<-time.After(pollPause)
	}
}

func lastLines(text string, count int) string {
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}
