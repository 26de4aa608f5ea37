package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"
)

type (
	// scenario is a case of testdata/scenarios.yaml.
	scenario struct {
		Name string `yaml:"Name"`
		// Kinds is the value of -kinds. Each scenario sends 4 requests of the Tracewell shape.
		Kinds string `yaml:"Kinds"`
		// Fault selects what the daemon does wrong in the first answer to each request.
		Fault string `yaml:"Fault"`
		// Idle is the value of -idle, set in cases that wait for it.
		Idle string `yaml:"Idle"`
		// Code is the expected exit code, and Outcomes the number of calls by outcome over all
		// kinds.
		Code     int             `yaml:"Code"`
		Outcomes map[outcome]int `yaml:"Outcomes"`
		// Recomputed is the sum of the recomputed tokens over all kinds.
		Recomputed int `yaml:"Recomputed"`
		// Report is a text that the printed report contains.
		Report string `yaml:"Report"`
	}

	// fakeDaemon acts as an entry daemon and as a plain service, with an injected fault.
	fakeDaemon struct {
		fault string

		mutex      sync.Mutex
		requests   map[string]wire.ChatRequest
		tries      map[string]int
		executions map[string]int
	}
)

// eventSuffix makes event identifiers opaque, so that the generator has to send them back unchanged.
const eventSuffix = ".branch"

// TestScenarios guards against a generator that reports a wrong, lost or repeated answer as
// complete, or a correct one as wrong.
func TestScenarios(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "scenarios.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	var scenarios []scenario
	if err := yaml.UnmarshalWithOptions(data, &scenarios, yaml.Strict()); err != nil {
		t.Fatal(err)
	}
	for _, s := range scenarios {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			d := &fakeDaemon{fault: s.Fault, requests: map[string]wire.ChatRequest{}, tries: map[string]int{}, executions: map[string]int{}}
			server := httptest.NewServer(d)
			defer server.Close()
			address := server.Listener.Addr().String()
			path := filepath.Join(t.TempDir(), "report.json")
			var stdout, stderr bytes.Buffer
			code := run([]string{
				"-daemons", address, "-apps", address, "-key", "secret", "-rate", "1000", "-retries", "2", "-idle", cmp.Or(s.Idle, "20s"),
				"-kinds", s.Kinds, "-requests", "4", "-json", path,
			}, &stdout, &stderr)
			if code != s.Code {
				t.Errorf("exit code %d, want %d: %s%s", code, s.Code, stderr.String(), stdout.String())
			}
			got, recomputed := readReport(t, path)
			if !reflect.DeepEqual(got, s.Outcomes) {
				t.Errorf("outcomes %v, want %v", got, s.Outcomes)
			}
			if recomputed != s.Recomputed {
				t.Errorf("%d tokens recomputed, want %d", recomputed, s.Recomputed)
			}
			if !strings.Contains(stdout.String(), s.Report) {
				t.Errorf("report lacks %q:\n%s", s.Report, stdout.String())
			}
		})
	}
}

// readReport returns the outcomes and the recomputed tokens of a report over all kinds.
func readReport(t *testing.T, path string) (map[outcome]int, int) {
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var written report
	if err := json.Unmarshal(data, &written); err != nil {
		t.Fatal(err)
	}
	all, recomputed := map[outcome]int{}, 0
	for _, s := range written.Kinds {
		recomputed += s.RecomputedTokens
		for o, count := range s.Outcomes {
			all[o] += count
		}
	}
	return all, recomputed
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get(wire.HeaderRequestID)
	resumed := strings.HasPrefix(r.URL.Path, "/v1/requests/")
	if resumed {
		id = strings.Split(r.URL.Path, "/")[3]
	}
	key := r.Header.Get(wire.HeaderIdempotencyKey)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.tries[id+key]++
	fault := ""
	if d.tries[id+key] == 1 {
		fault = d.fault
	}
	switch {
	case r.URL.Path == "/admin/executions":
		_ = json.NewEncoder(w).Encode(d.executions)
	case r.Header.Get("Authorization") != "Bearer secret":
		writeRefusal(w, codes.Refuse(codes.Unauthorized, "no such key"))
	case r.URL.Path == "/v1/chat/completions":
		request, err := wire.Decode[wire.ChatRequest](body)
		if err != nil {
			writeRefusal(w, codes.Refuse(codes.BadRequest, "%v", err))
			return
		}
		d.requests[id] = request
		d.answer(w, r, id, 0, fault)
	case resumed && d.fault == "forget":
		writeRefusal(w, codes.Refuse(codes.RequestUnknown, "no such request"))
	case resumed:
		last, err := strconv.Atoi(strings.TrimSuffix(r.Header.Get(wire.HeaderLastEventID), eventSuffix))
		if err != nil {
			last = -1
		}
		d.answer(w, r, id, last+1, "")
	case r.Method == http.MethodPost:
		d.order(w, key, body, fault)
	default:
		d.status(w, r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	}
}

// answer streams the answer from an offset on and applies the fault at token 2.
func (d *fakeDaemon) answer(w http.ResponseWriter, r *http.Request, id string, from int, fault string) {
	request := d.requests[id]
	switch fault {
	case "drain":
		writeRefusal(w, codes.Refuse(codes.Draining, "shutting down"))
		return
	case "limit":
		writeRefusal(w, codes.Refuse(codes.AccountLimit, "over the cap"))
		return
	case "garbage":
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	send := func(name, eventID string, message any) {
		data, _ := json.Marshal(message)
		_, _ = w.Write(wire.StreamEvent{Event: name, ID: eventID, Data: data}.Append(nil))
		w.(http.Flusher).Flush()
	}
	chunk := func(offset int, text string) {
		send("", strconv.Itoa(offset)+eventSuffix, wire.ChatChunk{ID: id, Offset: offset, Choices: []wire.ChatChoice{{Delta: wire.ChatDelta{Content: text}}}})
	}
	send("accepted", "", map[string]string{"RequestId": id})
	limit := request.TokenLimit()
	for i := from; i < limit; i++ {
		text := wire.TokenText(request.Prompt(), i)
		if i == 2 {
			switch fault {
			case "gap":
				continue
			case "repeat":
				chunk(1, wire.TokenText(request.Prompt(), 1))
			case "foreign":
				text = wire.TokenText("another prompt", i)
			case "short":
				limit = i
				continue
			case "cut", "forget":
				panic(http.ErrAbortHandler)
			case "moved":
				send("moved", "", codes.Refuse(codes.Moved, "handed over"))
				return
			case "superseded":
				send("refused", "", codes.Refuse(codes.Superseded, "replaced"))
				return
			case "incomplete":
				send("refused", "", codes.Refuse(codes.AnswerIncomplete, "no endpoint"))
				return
			case "silent":
				// The lock is released so that other requests continue while this stream is silent.
				d.mutex.Unlock()
				<-r.Context().Done()
				d.mutex.Lock()
				return
			}
		}
		chunk(i, text)
	}
	reason := wire.FinishLength
	send("", "", wire.ChatChunk{
		ID: id, Offset: limit,
		Choices: []wire.ChatChoice{{FinishReason: &reason}},
		Usage:   &wire.ChatUsage{PromptTokens: 10, CompletionTokens: limit, ComputedTokens: 10 + from},
	})
	_, _ = w.Write(wire.StreamEvent{Data: []byte(wire.StreamDone)}.Append(nil))
}

// order executes an order and applies the fault to the answer or to the execution.
func (d *fakeDaemon) order(w http.ResponseWriter, key string, body []byte, fault string) {
	if _, err := ident.KeyTime(key); err != nil {
		writeRefusal(w, codes.Refuse(codes.KeyFormat, "not a UUID of version 7"))
		return
	}
	if fault == "lose" {
		writeRefusal(w, codes.Refuse(codes.LogUnavailable, "log is down").WithOutcomeUnknown().WithRetryAt(time.Now()))
		return
	}
	if fault != "refuse" && fault != "skip" {
		d.executions[key] = max(d.executions[key], 1)
	}
	answered := key
	switch fault {
	case "refuse", "run-refused":
		writeRefusal(w, codes.Refuse(codes.ClaimGivenUp, "given up"))
		return
	case "double":
		d.executions[key]++
	case "unknown":
		writeRefusal(w, codes.Refuse(codes.OutcomeUnknown, "may have run"))
		return
	case "cut":
		panic(http.ErrAbortHandler)
	case "foreign":
		answered = ident.NewKey()
	}
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(wire.PlacedOrder{Key: answered, Number: 1, BodyHash: ident.Fingerprint(key, body)})
}

func (d *fakeDaemon) status(w http.ResponseWriter, key string) {
	if d.executions[key] == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(wire.PlacedOrder{Key: key})
}

func writeRefusal(w http.ResponseWriter, refusal *codes.Refusal) {
	w.WriteHeader(refusal.HTTPStatus())
	_ = json.NewEncoder(w).Encode(refusal)
}

// TestPlanRepeats guards against traffic that differs between two runs with one seed,
// so that their figures could not be compared.
func TestPlanRepeats(t *testing.T) {
	for _, shape := range shapeNames() {
		first, second, other := newPlan(7, shapes[shape], 10, 3), newPlan(7, shapes[shape], 10, 3), newPlan(8, shapes[shape], 10, 3)
		differs := false
		for range 300 {
			c := first.next()
			if !reflect.DeepEqual(c, second.next()) {
				t.Fatalf("%s: equal seeds give different calls", shape)
			}
			differs = differs || !reflect.DeepEqual(c, other.next())
		}
		if !differs {
			t.Errorf("%s: different seeds give equal calls", shape)
		}
	}
}

// TestUsage guards against a mistyped command line that starts a run.
func TestUsage(t *testing.T) {
	for line, want := range map[string]int{
		"help":                           0,
		"-h":                             0,
		"":                               2,
		"-unknown":                       2,
		"-daemons a -key b":              2,
		"-daemons a -key b -seconds 1 x": 2,
		"-daemons a -key b -seconds -1":  2,
		"-daemons a -seconds 1":          2,
		"-daemons a -key b -seconds 1 -shape other": 2,
		"-daemons a -key b -seconds 1 -kinds other": 2,
	} {
		if got := run(strings.Fields(line), io.Discard, io.Discard); got != want {
			t.Errorf("loadgen %s: exit code %d, want %d", line, got, want)
		}
	}
}
