package stand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lentilstage.dev/wire/wire"
)

// chats is the key under which a script stores the results of its background chats, by attempt.
type chats struct{}

// waitTimeout limits each wait for a condition, so that a fault fails the test.
const waitTimeout = 20 * time.Second

// TestScripts guards against stand-ins whose admin calls, flags or exit codes don't work as
// documented, since the daemon's tests rely on them. It runs the real programs.
func TestScripts(t *testing.T) {
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs)
	for _, name := range []string{"appd", "cloudd", "engined", "faultd", "listd", "logd", "weightd"} {
		build.Args = append(build.Args, "lentilstage.dev/standin/"+name)
	}
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Setenv("PATH", programs+string(filepath.ListSeparator)+e.Getenv("PATH"))
			e.Setenv("PROGRAMS", programs)
			e.Values[chats{}] = map[string]chan string{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"serve":   serve,
			"exits":   exits,
			"call":    call,
			"takes":   takes,
			"until":   until,
			"chat":    chat,
			"start":   start,
			"finish":  finish,
			"import":  importKV,
			"forward": forward,
		},
	})
}

// serve NAME PROGRAM ARGUMENTS... starts a program and sets NAME to its address, and
// NAME1, NAME2 and so on to the forwards' addresses.
func serve(ts *testscript.TestScript, _ bool, arguments []string) {
	name, portFile := arguments[0], ts.MkAbs(arguments[0]+".port")
	command := exec.Command(filepath.Join(ts.Getenv("PROGRAMS"), arguments[1]), append(arguments[2:], "-port-file", portFile)...)
	var output bytes.Buffer
	command.Stdout, command.Stderr = &output, &output
	ts.Check(command.Start())
	ts.Defer(func() {
		_ = command.Process.Signal(syscall.SIGTERM)
		_ = command.Wait()
	})
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		content, err := os.ReadFile(portFile)
		if err != nil {
			continue
		}
		for i, line := range strings.Fields(string(content)) {
			address, _, _ := strings.Cut(line, "=")
			if i == 0 {
				ts.Setenv(name, address)
			} else {
				ts.Setenv(name+strconv.Itoa(i), address)
			}
		}
		return
	}
	ts.Fatalf("%s does not listen: %s", name, output.String())
}

// exits CODE PROGRAM ARGUMENTS... runs a program and checks its exit code.
func exits(ts *testscript.TestScript, _ bool, arguments []string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(ts.Getenv("PROGRAMS"), arguments[1]), arguments[2:]...)
	command.Stdout, command.Stderr = ts.Stdout(), ts.Stderr()
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		ts.Fatalf("%v", err)
	}
	if code := command.ProcessState.ExitCode(); strconv.Itoa(code) != arguments[0] {
		ts.Fatalf("exit code %d", code)
	}
}

// call METHOD ADDRESS/PATH [BODY [HEADER:VALUE]...] prints the status and the body, or
// "broken" if no answer comes.
func call(ts *testscript.TestScript, _ bool, arguments []string) {
	_, _ = fmt.Fprintln(ts.Stdout(), exchange(ts, arguments))
}

// takes PERIOD METHOD ADDRESS/PATH [BODY] is like call, and checks that the call takes at least the
// period.
func takes(ts *testscript.TestScript, _ bool, arguments []string) {
	least, err := time.ParseDuration(arguments[0])
	ts.Check(err)
	begin := time.Now()
	call(ts, false, arguments[1:])
	if took := time.Since(begin); took < least {
		ts.Fatalf("took %s", took)
	}
}

// until REGEXP METHOD ADDRESS/PATH [BODY] repeats a call until its answer matches.
func until(ts *testscript.TestScript, _ bool, arguments []string) {
	pattern, answer := regexp.MustCompile(arguments[0]), ""
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if answer = exchange(ts, arguments[1:]); pattern.MatchString(answer) {
			_, _ = fmt.Fprintln(ts.Stdout(), answer)
			return
		}
	}
	ts.Fatalf("no answer matches; the last one is %s", answer)
}

func exchange(ts *testscript.TestScript, arguments []string) string {
	body := ""
	if len(arguments) > 2 {
		body = arguments[2]
	}
	request, err := http.NewRequest(arguments[0], "http://"+arguments[1], strings.NewReader(body))
	ts.Check(err)
	if len(arguments) > 3 {
		for _, header := range arguments[3:] {
			name, content, _ := strings.Cut(header, ":")
			request.Header.Set(name, content)
		}
	}
	client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return "broken"
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return "broken"
	}
	return strconv.Itoa(response.StatusCode) + " " + string(content)
}

// chat ADDRESS ATTEMPT VERSION TOKENS PROMPT [resumed=N] [handle=H] [priority=N]
// [silence=PERIOD] requests a completion.
// It prints a line for each chunk, "own" or "foreign" with its offset, and at the end
// the usage with "whole", or "broken", "silent" or the status.
func chat(ts *testscript.TestScript, _ bool, arguments []string) {
	_, _ = fmt.Fprint(ts.Stdout(), complete(arguments))
}

// forward ADMIN TARGET adds a forward and sets FORWARD to its address.
func forward(ts *testscript.TestScript, _ bool, arguments []string) {
	answer := exchange(ts, []string{http.MethodPost, arguments[0] + "/admin/forwards", `{"Target":"` + arguments[1] + `"}`})
	added, err := wire.Decode[struct{ Listen string }]([]byte(strings.TrimPrefix(answer, "200 ")))
	ts.Check(err)
	ts.Setenv("FORWARD", added.Listen)
}

// start and finish run a chat in the background: start takes the arguments of chat, and finish
// takes the ATTEMPT and prints the result.
func start(ts *testscript.TestScript, _ bool, arguments []string) {
	result := make(chan string, 1)
	ts.Value(chats{}).(map[string]chan string)[arguments[1]] = result
	go func() { result <- complete(arguments) }()
}

func finish(ts *testscript.TestScript, _ bool, arguments []string) {
	_, _ = fmt.Fprint(ts.Stdout(), <-ts.Value(chats{}).(map[string]chan string)[arguments[0]])
}

// importKV FILE ADDRESS imports the KV cache in a printed export and sets HANDLE.
func importKV(ts *testscript.TestScript, _ bool, arguments []string) {
	exported := strings.TrimPrefix(ts.ReadFile(arguments[0]), "200 ")
	answer := exchange(ts, []string{http.MethodPost, arguments[1] + "/kv/import", exported})
	imported, err := wire.Decode[wire.KVImportReply]([]byte(strings.TrimPrefix(answer, "200 ")))
	ts.Check(err)
	ts.Setenv("HANDLE", imported.Handle)
}

func complete(arguments []string) string {
	request := wire.ChatRequest{Model: arguments[2], Messages: []wire.ChatMessage{{Role: "user", Content: arguments[4]}}}
	request.MaxTokens, _ = strconv.Atoi(arguments[3])
	silence := waitTimeout
	header := http.Header{wire.HeaderAttemptID: {arguments[1]}}
	for _, option := range arguments[5:] {
		name, content, _ := strings.Cut(option, "=")
		switch name {
		case "resumed":
			resumed, _ := strconv.Atoi(content)
			for i := range resumed {
				request.Resume = append(request.Resume, wire.TokenText(request.Prompt(), i))
			}
		case "handle":
			header.Set(wire.HeaderKVHandle, content)
		case "priority":
			header.Set(wire.HeaderPriority, content)
		case "silence":
			silence, _ = time.ParseDuration(content)
		}
	}
	data, err := json.Marshal(request)
	if err != nil {
		return err.Error()
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+arguments[0]+"/v1/chat/completions", bytes.NewReader(data))
	if err != nil {
		return err.Error()
	}
	post.Header = header
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(post)
	if ctx.Err() != nil {
		return "silent\n"
	}
	if err != nil {
		return "broken\n"
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return strconv.Itoa(response.StatusCode) + "\n"
	}
	silent := time.AfterFunc(silence, cancel)
	defer silent.Stop()
	var lines strings.Builder
	events := wire.NewEventReader(response.Body)
	for {
		event, err := events.Next()
		switch {
		case err != nil && ctx.Err() != nil:
			return lines.String() + "silent\n"
		case err != nil:
			return lines.String() + "broken\n"
		case string(event.Data) == wire.StreamDone:
			return lines.String() + "whole\n"
		}
		silent.Reset(silence)
		chunk, err := wire.Decode[wire.ChatChunk](event.Data)
		if err != nil {
			return err.Error()
		}
		if chunk.Usage != nil {
			_, _ = fmt.Fprintf(&lines, "usage %+v finish %s\n", *chunk.Usage, *chunk.Choices[0].FinishReason)
			continue
		}
		owner := "foreign"
		if chunk.ID == arguments[1] && chunk.Choices[0].Delta.Content == wire.TokenText(request.Prompt(), chunk.Offset) {
			owner = "own"
		}
		_, _ = fmt.Fprintln(&lines, owner, chunk.Offset)
	}
}
