package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

type (
	// fakeDaemon answers the operator API from a state in memory.
	fakeDaemon struct {
		mu     sync.Mutex
		name   string
		mode   string
		state  table.State
		status wire.DaemonStatus
		events []event.Event
		// lastAfter is the highest sequence number that a reader has asked for events after.
		lastAfter uint64
		server    *httptest.Server
		stop      chan struct{}
	}

	// daemons holds the fake daemons of one script by name.
	daemons map[string]*fakeDaemon
)

const (
	daemonsKey = "daemons"
	testKey    = "operator-key"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lentilctl": func() { os.Exit(run(os.Args[1:])) },
	})
}

// TestScripts runs the scripts in testdata/script against fake daemons on loopback. Each
// script names the failure that it guards against in its first line.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(e *testscript.Env) error {
			all := daemons{}
			e.Values[daemonsKey] = all
			e.Defer(func() {
				for _, d := range all {
					close(d.stop)
					d.server.CloseClientConnections()
					d.server.Close()
				}
			})
			e.Setenv("LENTILCTL_KEY", testKey)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"daemon":  cmdDaemon,
			"mode":    cmdMode,
			"publish": cmdPublish,
			"step":    cmdStep,
			"peer":    cmdPeer,
			"events":  cmdEvents,
			"code":    cmdCode,
			"applied": cmdApplied,
			"edit":    cmdEdit,
			"restart": cmdRestart,
			"same":    cmdSame,
			"read":    cmdRead,
		},
	})
}

// cmdDaemon starts a fake daemon: daemon NAME. The variable NAME is set to its address.
func cmdDaemon(ts *testscript.TestScript, _ bool, args []string) {
	d := &fakeDaemon{name: args[0], state: table.NewState(), stop: make(chan struct{})}
	d.status = wire.DaemonStatus{Process: d.name, Incarnation: "first", DataCentre: "pos-1", Serving: true}
	d.server = httptest.NewServer(d)
	ts.Value(daemonsKey).(daemons)[d.name] = d
	ts.Setenv(d.name, strings.TrimPrefix(d.server.URL, "http://"))
}

func findDaemon(ts *testscript.TestScript, name string) *fakeDaemon {
	d := ts.Value(daemonsKey).(daemons)[name]
	if d == nil {
		ts.Fatalf("no daemon %s", name)
	}
	return d
}

// cmdMode sets how a daemon answers a change: mode NAME
// accepted|pending|unknown|lost|silent|draining|garbage|stopped.
func cmdMode(ts *testscript.TestScript, _ bool, args []string) {
	d := findDaemon(ts, args[0])
	d.mu.Lock()
	d.mode = args[1]
	d.mu.Unlock()
	if args[1] == "stopped" {
		d.server.CloseClientConnections()
		ts.Check(d.server.Listener.Close())
	}
}

// cmdPublish applies the difference between a file and a daemon's state to that state, as if another
// operator had published the file: publish NAME FILE.
func cmdPublish(ts *testscript.TestScript, _ bool, args []string) {
	d := findDaemon(ts, args[0])
	parsed, problems := table.Parse([]byte(ts.ReadFile(args[1])))
	if len(problems) > 0 {
		ts.Fatalf("%v", problems)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if outcome := d.applyChange("other-"+strconv.FormatInt(d.state.Next, 10), d.state.Diff(parsed)); !outcome.Applied {
		ts.Fatalf("%+v", outcome)
	}
}

// cmdStep applies a step of a route's version move: step NAME ROUTE STATE SHARE REASON.
func cmdStep(ts *testscript.TestScript, _ bool, args []string) {
	d := findDaemon(ts, args[0])
	d.mu.Lock()
	defer d.mu.Unlock()
	route := d.state.Routes[args[1]]
	move, _ := d.state.MoveOf(route)
	share, err := strconv.ParseFloat(args[3], 64)
	ts.Check(err)
	step := table.MoveStep{
		Move: route.MoveID(), Route: route.Name, Version: route.MoveTo,
		FromStep: move.Step, State: table.StepState(args[2]), Share: share, Reason: args[4],
	}
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	record := table.Record{Kind: table.StepRecord, ID: "step-" + args[2], Time: at, Writer: d.name, Step: &step}
	next, outcome := d.state.Fold(d.state.Next, record)
	if !outcome.Applied {
		ts.Fatalf("%+v", outcome)
	}
	d.state = next
}

// cmdPeer lists a daemon as another one's peer: peer NAME OTHER.
func cmdPeer(ts *testscript.TestScript, _ bool, args []string) {
	d, other := findDaemon(ts, args[0]), findDaemon(ts, args[1])
	d.mu.Lock()
	defer d.mu.Unlock()
	d.status.Peers = append(d.status.Peers, wire.PeerStatus{
		Process: other.name, Address: ts.Getenv(other.name), DataCentre: "pos-2", Alive: true, Next: other.state.Next,
	})
}

// cmdEvents sets a daemon's events from a JSON file: events NAME FILE.
func cmdEvents(ts *testscript.TestScript, _ bool, args []string) {
	d := findDaemon(ts, args[0])
	d.mu.Lock()
	defer d.mu.Unlock()
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[1])), &d.events))
}

// cmdCode runs a command and checks its exit code: code N COMMAND...
func cmdCode(ts *testscript.TestScript, _ bool, args []string) {
	want := args[0]
	err := ts.Exec(args[1], args[2:]...)
	got := "0"
	if err != nil {
		got = strings.TrimPrefix(err.Error(), "exit status ")
	}
	if got != want {
		ts.Fatalf("exit code %s, want %s", got, want)
	}
}

// cmdApplied checks whether a daemon's state records the change with the identifier as applied:
// applied NAME ID true|false.
func cmdApplied(ts *testscript.TestScript, _ bool, args []string) {
	d := findDaemon(ts, args[0])
	d.mu.Lock()
	defer d.mu.Unlock()
	outcome, _ := d.state.OutcomeOf(args[1])
	if got := strconv.FormatBool(outcome.Applied); got != args[2] {
		ts.Fatalf("change %s applied: %s, want %s", args[1], got, args[2])
	}
}

// cmdEdit replaces the first occurrence of a text in a file: edit FILE OLD NEW.
func cmdEdit(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	if !strings.Contains(text, args[1]) {
		ts.Fatalf("%s does not have %q:\n%s", args[0], args[1], text)
	}
	replacement := strings.ReplaceAll(args[2], `\n`, "\n")
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Replace(text, args[1], replacement, 1)), 0o600))
}

// cmdSame copies the state of another daemon to a daemon: same NAME OTHER.
func cmdSame(ts *testscript.TestScript, _ bool, args []string) {
	d, other := findDaemon(ts, args[0]), findDaemon(ts, args[1])
	other.mu.Lock()
	state := other.state
	other.mu.Unlock()
	d.mu.Lock()
	d.state = state
	d.mu.Unlock()
}

// cmdRestart gives a daemon a new incarnation: restart NAME INCARNATION.
func cmdRestart(ts *testscript.TestScript, _ bool, args []string) {
	d := findDaemon(ts, args[0])
	d.mu.Lock()
	defer d.mu.Unlock()
	d.status.Incarnation, d.events = args[1], nil
}

// cmdRead waits until a reader has read a daemon's events up to a number: read NAME N.
func cmdRead(ts *testscript.TestScript, _ bool, args []string) {
	d := findDaemon(ts, args[0])
	want, err := strconv.ParseUint(args[1], 10, 64)
	ts.Check(err)
	deadline := time.Now().Add(30 * time.Second)
	for {
		d.mu.Lock()
		lastAfter := d.lastAfter
		d.mu.Unlock()
		if lastAfter == want {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("events were read up to %d, want %d", lastAfter, want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// applyChange applies a change to the daemon's state. The caller holds the lock.
func (d *fakeDaemon) applyChange(id string, edits []table.Edit) table.Outcome {
	change := table.Change{Operator: "test", Edits: edits}
	record := table.Record{Kind: table.ChangeRecord, ID: id, Time: time.Unix(0, 0).UTC(), Writer: d.name, Change: &change}
	next, outcome := d.state.Fold(d.state.Next, record)
	d.state = next
	if kept, ok := next.OutcomeOf(id); ok {
		return kept
	}
	return outcome
}

// ServeHTTP answers the operator API.
func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer "+testKey {
		writeJSON(w, http.StatusUnauthorized, codes.Refuse(codes.Unauthorized, "the key belongs to no operator"))
		return
	}
	body, _ := io.ReadAll(r.Body)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch r.Method + " " + r.URL.Path {
	case "GET /operator/table":
		writeJSON(w, http.StatusOK, wire.TableView{Process: d.name, State: d.state})
	case "GET /operator/status":
		status := d.status
		status.Next = d.state.Next
		writeJSON(w, http.StatusOK, status)
	case "GET /operator/timeline":
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		d.lastAfter = after
		timeline := wire.Timeline{Process: d.name}
		for _, e := range d.events {
			if e.Sequence > after {
				timeline.Events = append(timeline.Events, e)
			}
		}
		writeJSON(w, http.StatusOK, timeline)
	case "POST /operator/changes":
		d.handleChange(w, body)
	}
}

// handleChange answers a published change in the daemon's mode.
func (d *fakeDaemon) handleChange(w http.ResponseWriter, body []byte) {
	switch d.mode {
	case "draining":
		writeJSON(w, http.StatusServiceUnavailable, codes.Refuse(codes.Draining, "the daemon is shutting down"))
		return
	case "garbage":
		w.WriteHeader(http.StatusBadGateway)
		_, _ = w.Write([]byte("<html>bad gateway</html>"))
		return
	}
	request, err := wire.Decode[wire.ChangeRequest](body)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, codes.Refuse(codes.BadRequest, "%s", err.Error()))
		return
	}
	result := wire.ChangeResult{ID: request.ID}
	if d.mode == "unknown" {
		result.Status = wire.ChangeUnknown
		writeJSON(w, http.StatusGatewayTimeout, result)
		return
	}
	result.Outcome = d.applyChange(request.ID, request.Edits)
	result.Status = wire.ChangeAccepted
	switch {
	case len(result.Outcome.Clashes) > 0:
		result.Status = wire.ChangeClash
	case len(result.Outcome.Problems) > 0:
		result.Status = wire.ChangeInvalid
	case d.mode == "pending":
		result.Status, result.Missing = wire.ChangePending, []string{"entry-5", "entry-6"}
	case d.mode == "silent":
		d.mu.Unlock()
		<-d.stop
		d.mu.Lock()
		return
	case d.mode == "lost":
		d.mode = "accepted"
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, result)
}

func writeJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}
