package itest

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/client"
	"lentilstage.dev/wire/wire"
)

// servingLease is the time for which a daemon may serve without confirmation that its table is
// current, including the allowance for clock error.
const servingLease = 11 * time.Second

// editsFor returns the edits that apply a change to the table of a view.
func editsFor(view wire.TableView, change func(*table.Table)) []table.Edit {
	wanted := view.State.Table()
	change(&wanted)
	return view.State.Diff(wanted)
}

// setMaxInFlight returns a change that sets an account's limit of requests in flight.
func setMaxInFlight(account string, limit int) func(*table.Table) {
	return func(t *table.Table) {
		for i := range t.Accounts {
			if t.Accounts[i].Name == account {
				t.Accounts[i].MaxInFlight = limit
			}
		}
	}
}

// sendEdits publishes edits through a daemon. The error is a refusal or a connection error.
func sendEdits(daemon *process, edits []table.Edit) (wire.ChangeResult, error) {
	var result wire.ChangeResult
	request := wire.ChangeRequest{ID: ident.NewRecordID(), Edits: edits}
	err := client.Call(time.Now().Add(25*time.Second), "POST", daemon.address(), "/operator/changes", operatorHeaders(), request, &result)
	return result, err
}

// mustTableView is like tableView but fails the test on an error.
func (c *cluster) mustTableView(daemon *process) wire.TableView {
	c.t.Helper()
	tableView, err := c.tableView(daemon)
	if err != nil {
		c.t.Fatal(err)
	}
	return tableView
}

// inFlightLimits returns the limits of requests in flight in a daemon's table, by account name.
func (c *cluster) inFlightLimits(daemon *process) map[string]int {
	c.t.Helper()
	limits := make(map[string]int)
	for _, a := range c.mustTableView(daemon).State.Table().Accounts {
		limits[a.Name] = a.MaxInFlight
	}
	return limits
}

// publishConcurrently sends edits of two operators to the first two daemons at the same time.
func (c *cluster) publishConcurrently(first, second []table.Edit) [2]wire.ChangeResult {
	c.t.Helper()
	var results [2]wire.ChangeResult
	var errs [2]error
	var operators sync.WaitGroup
	for n, edits := range [][]table.Edit{first, second} {
		operators.Go(func() { results[n], errs[n] = sendEdits(c.daemons[n], edits) })
	}
	operators.Wait()
	if err := errors.Join(errs[:]...); err != nil {
		c.t.Fatal(err)
	}
	return results
}

// isReady reports whether the readiness check of a daemon passes.
func isReady(daemon *process) bool {
	response, err := (&http.Client{Timeout: 2 * time.Second, Transport: httpClient.Transport}).Get("http://" + daemon.address() + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// refusalCode returns the code of a refusal, or 0 if err is nil or another error.
func refusalCode(err error) codes.Code {
	var refused *refusedError
	if errors.As(err, &refused) {
		return refused.refusal.Code
	}
	return 0
}

// sendShortRequest sends a request for four tokens to a daemon and checks the answer. It does not
// reconnect.
func sendShortRequest(daemon *process, key, text string) error {
	request := newChat([]string{daemon.address()}, "stock-question", text, 4)
	request.key = key
	complete, err := request.connect(daemon.address())
	if complete {
		return request.check()
	}
	return err
}

// TestConcurrentOperatorEdits guards against a lost edit. Of two concurrent edits of one row, one is
// accepted and the other is rejected as a clash that reports both values. Concurrent edits of
// different rows are both accepted.
func TestConcurrentOperatorEdits(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 3})
	view := c.mustTableView(c.daemons[0])
	results := c.publishConcurrently(editsFor(view, setMaxInFlight("counter", 111)), editsFor(view, setMaxInFlight("counter", 222)))
	winner := slices.IndexFunc(results[:], func(r wire.ChangeResult) bool { return r.Status == wire.ChangeAccepted })
	if winner < 0 || results[1-winner].Status != wire.ChangeClash {
		t.Fatalf("got %+v, want one accepted change and one clash", results)
	}
	clashes := results[1-winner].Outcome.Clashes
	if len(clashes) != 1 {
		t.Fatalf("got the clashes %+v, want one", clashes)
	}
	var present, wanted table.Account
	if err := errors.Join(json.Unmarshal(clashes[0].Present, &present), json.Unmarshal(clashes[0].Wanted, &wanted)); err != nil {
		t.Fatal(err)
	}
	values := []int{111, 222}
	if present.MaxInFlight != values[winner] || wanted.MaxInFlight != values[1-winner] {
		t.Errorf("the clash reports the values %d and %d, want %d and %d", present.MaxInFlight, wanted.MaxInFlight, values[winner], values[1-winner])
	}
	view = c.mustTableView(c.daemons[0])
	for _, r := range c.publishConcurrently(editsFor(view, setMaxInFlight("counter", 333)), editsFor(view, setMaxInFlight("studio", 77))) {
		if r.Status != wire.ChangeAccepted {
			t.Errorf("an edit of another row was not accepted: %+v", r)
		}
	}
	for _, d := range c.daemons {
		if inFlightLimits := c.inFlightLimits(d); inFlightLimits["counter"] != 333 || inFlightLimits["studio"] != 77 {
			t.Errorf("%s uses the in-flight limits %v", d.name, inFlightLimits)
		}
	}
}

// TestAcceptedChangeIsInForce guards against a change that is reported as accepted before every daemon
// applies it, and against a change that takes longer than 5 s while the log is healthy.
func TestAcceptedChangeIsInForce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 5})
	for n := range 10 {
		publisher := c.daemons[n%len(c.daemons)]
		began := time.Now()
		result, err := sendEdits(publisher, editsFor(c.mustTableView(publisher), setMaxInFlight("studio", 50+n)))
		if err != nil || result.Status != wire.ChangeAccepted {
			t.Fatalf("change %d: %+v %v", n, result, err)
		}
		for _, d := range c.daemons {
			if inFlightLimits := c.inFlightLimits(d); inFlightLimits["studio"] != 50+n {
				t.Errorf("%s uses the in-flight limit %d after change %d was accepted", d.name, inFlightLimits["studio"], n)
			}
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("change %d took %s", n, took)
		}
	}
}

// TestLogOutageKeepsTheTable guards against a table that reverts to an earlier offset, refused requests
// and accepted changes while the log is down for longer than the serving lease.
func TestLogOutageKeepsTheTable(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 3, engines: 3})
	c.publish(changedTable(c.mustTableView(c.daemons[0]), setMaxInFlight("studio", 61)))
	refusedEdits := editsFor(c.mustTableView(c.daemons[1]), setMaxInFlight("studio", 62))
	c.setFaults(c.log, json.RawMessage(`{"Down": true}`))
	var result wire.ChangeResult
	var err error
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		result, err = sendEdits(c.daemons[1], refusedEdits)
	}()
	offsets := make(map[string]int64)
	check := func(n int) {
		for _, d := range c.daemons {
			status, statusErr := c.status(d)
			if statusErr != nil || status.Next < offsets[d.name] {
				t.Fatalf("the table of %s went from offset %d to %d (error %v)", d.name, offsets[d.name], status.Next, statusErr)
			}
			offsets[d.name] = status.Next
			if askErr := sendShortRequest(d, studioKey, fmt.Sprintf("question %d at %s", n, d.name)); askErr != nil {
				t.Fatalf("request %d at %s: %v", n, d.name, askErr)
			}
		}
	}
	for n, end := 0, time.Now().Add(servingLease+3*time.Second); time.Now().Before(end); n++ {
		check(n)
	}
	c.setFaults(c.log, json.RawMessage(`{}`))
	check(-1)
	<-answered
	if err == nil && result.Status != wire.ChangeUnknown {
		t.Errorf("a change during the outage got the result %+v, want unknown", result)
	}
	for _, d := range c.daemons {
		if inFlightLimits := c.inFlightLimits(d); inFlightLimits["studio"] != 61 && (err != nil || inFlightLimits["studio"] != 62) {
			t.Errorf("%s uses the in-flight limit %d after the outage", d.name, inFlightLimits["studio"])
		}
	}
	c.publish(changedTable(c.mustTableView(c.daemons[0]), setMaxInFlight("studio", 63)))
}

// changedTable returns the table of a view with a change applied.
func changedTable(view wire.TableView, change func(*table.Table)) table.Table {
	wanted := view.State.Table()
	change(&wanted)
	return wanted
}

// replaceStudioKey replaces the keys of the studio account, so that studioKey is no longer valid.
func replaceStudioKey(t *table.Table) {
	for i := range t.Accounts {
		if t.Accounts[i].Name == "studio" {
			t.Accounts[i].KeyHashes = []string{ident.HashSecret("another key of the studio")}
		}
	}
}

// TestPausedDaemonDoesNotServeTheOldTable guards against a daemon that is paused for longer than the
// serving lease and then serves requests with a table that was replaced in the meantime. The requests
// are in its listen queue before it resumes, so that it handles them before it can update its table.
func TestPausedDaemonDoesNotServeTheOldTable(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 3, engines: 2})
	paused := c.daemons[2]
	if err := sendShortRequest(paused, studioKey, "before"); err != nil {
		t.Fatal(err)
	}
	paused.Signal(syscall.SIGSTOP)
	began := time.Now()
	c.publish(changedTable(c.mustTableView(c.daemons[0]), replaceStudioKey))
	if took := time.Since(began); took < 10*time.Second || took > 20*time.Second {
		t.Errorf("the change was accepted after %s, want 10 s to 20 s", took)
	}
	const requests = 20
	results := make(chan error, requests)
	for n := range requests {
		go func() { results <- sendShortRequest(paused, studioKey, fmt.Sprintf("after %d", n)) }()
	}
	// Gives the kernel time to queue the connections; the check is valid without it.
	<-time.After(100 * time.Millisecond)
	paused.Signal(syscall.SIGCONT)
	for range requests {
		if code := refusalCode(<-results); code != codes.Unauthorized && code != codes.ConfigUnknown {
			t.Errorf("a request with a revoked key ended with code %d", code)
		}
	}
	waitFor(t, 5*time.Second, "the daemon to use the new table", func() bool {
		return refusalCode(sendShortRequest(paused, studioKey, "later")) == codes.Unauthorized && sendShortRequest(paused, counterKey, "later") == nil
	})
}

// TestDaemonThatStartsDuringAnOutage guards against a daemon that starts during an outage of the log and
// serves with an empty table. Until it has received the table from its peers it must not be ready and
// must answer requests with a refusal that allows a retry.
func TestDaemonThatStartsDuringAnOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 3, engines: 2})
	c.setFaults(c.log, json.RawMessage(`{"Down": true}`))
	late := c.startDaemon(3, "")
	order := &orderResult{refusals: make(map[codes.Code]int)}
	if placeOrder(late.address(), ident.NewKey(), order); order.answered > 0 || len(order.notRun) > 0 || order.refusals[codes.ConfigUnknown] != 1 {
		t.Errorf("an order at the daemon ended with %s, want ConfigUnknown without a claim that the order was not run", order.lastError)
	}
	codeCounts := make(map[codes.Code]int)
	waitFor(t, 30*time.Second, "the daemon to serve", func() bool {
		wasReady := isReady(late)
		err := sendShortRequest(late, counterKey, "a question")
		codeCounts[refusalCode(err)]++
		if wasReady && err != nil {
			t.Fatalf("the daemon was ready but answered %v", err)
		}
		if code := refusalCode(err); err != nil && code != codes.ConfigUnknown && code != codes.NoHolder {
			t.Fatalf("the daemon answered %v", err)
		}
		return err == nil
	})
	t.Logf("answers by code: %v", codeCounts)
	if got, want := c.mustTableView(late).State.Next, c.mustTableView(c.daemons[0]).State.Next; got != want {
		t.Errorf("the daemon has the table of offset %d, the others that of offset %d", got, want)
	}
}

// addForward adds a forward to a fault proxy and returns the address at which it listens.
func (c *cluster) addForward(proxy *process, target string) string {
	c.t.Helper()
	var added struct {
		Listen string `json:"Listen"`
	}
	c.callAdmin(proxy, "POST", "/admin/forwards", map[string]string{"Target": target}, &added)
	return added.Listen
}

// startBehindProxy starts daemon n, whose connections to the log and to and from the other daemons go
// through the fault proxy. The daemon has a separate instance list, which stays reachable.
func (c *cluster) startBehindProxy(proxy *process, n int) *process {
	c.t.Helper()
	isolated := *c
	isolated.log = &process{name: "log", ports: []string{c.addForward(proxy, c.log.address())}}
	isolated.list = startProcess(c.t, "inside-list", "listd", "-lag", "100ms")
	var listed wire.InstanceList
	c.callAdmin(c.list, "GET", "/instances", nil, &listed)
	for _, instance := range listed.Instances {
		if instance.PeerAddress != "" {
			instance.PeerAddress = c.addForward(proxy, instance.PeerAddress)
		}
		isolated.putInstance(instance)
	}
	daemon := isolated.startDaemon(n, "")
	c.putInstance(wire.Instance{
		ID: daemon.name, Role: wire.RoleEntry, DataCentre: dataCentre(n), Address: daemon.ports[0],
		PeerAddress: c.addForward(proxy, daemon.ports[1]), State: wire.Live,
	})
	c.daemons = append(c.daemons, daemon)
	return daemon
}

// TestPartitionedDaemonRefuses guards against a daemon that reaches neither the log nor its peers and
// keeps serving with a table that the other daemons have replaced. It must refuse requests once its
// serving lease has expired, no later than the others' change is accepted, and recover by itself.
func TestPartitionedDaemonRefuses(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 2, engines: 2})
	proxy := startProcess(t, "proxy", "faultd")
	partitioned := c.startBehindProxy(proxy, 2)
	c.waitForDaemons(3)
	waitFor(t, 10*time.Second, "the daemon to serve", func() bool { return sendShortRequest(partitioned, studioKey, "before") == nil })
	c.setFaults(proxy, json.RawMessage(`{"Refuse": true}`))
	c.callAdmin(proxy, "POST", "/admin/cut", nil, nil)
	partitionTime := time.Now()
	c.publish(changedTable(c.mustTableView(c.daemons[0]), replaceStudioKey))
	if code := refusalCode(sendShortRequest(partitioned, studioKey, "after the change")); code != codes.ConfigUnknown {
		t.Errorf("a request with a revoked key ended with code %d, %s after the partition", code, time.Since(partitionTime))
	}
	if code := refusalCode(sendShortRequest(partitioned, counterKey, "after the change")); code != codes.ConfigUnknown || isReady(partitioned) {
		t.Errorf("the partitioned daemon answered with code %d and its readiness is %t, want ConfigUnknown and false", code, isReady(partitioned))
	}
	c.setFaults(proxy, json.RawMessage(`{}`))
	waitFor(t, 10*time.Second, "the daemon to use the new table", func() bool {
		return isReady(partitioned) && refusalCode(sendShortRequest(partitioned, studioKey, "at the end")) == codes.Unauthorized && sendShortRequest(partitioned, counterKey, "at the end") == nil
	})
}
