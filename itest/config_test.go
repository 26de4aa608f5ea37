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

// servingLease is the time that a daemon may serve without knowing its table to be current,
// with the allowance for clock error.
const servingLease = 11 * time.Second

// edits returns the edits that an operator sends after a change of the table of the view.
func edits(view wire.TableView, change func(*table.Table)) []table.Edit {
	wanted := view.State.Table()
	change(&wanted)
	return view.State.Diff(wanted)
}

// setCap returns a change of an account's cap.
func setCap(account string, limit int) func(*table.Table) {
	return func(t *table.Table) {
		for i := range t.Accounts {
			if t.Accounts[i].Name == account {
				t.Accounts[i].MaxInFlight = limit
			}
		}
	}
}

// send publishes edits at a daemon. The error is a refusal or a broken connection.
func send(daemon *process, edits []table.Edit) (wire.ChangeResult, error) {
	var result wire.ChangeResult
	request := wire.ChangeRequest{ID: ident.NewRecordID(), Edits: edits}
	err := client.Call(time.Now().Add(25*time.Second), "POST", daemon.address(), "/operator/changes", operatorHeaders(), request, &result)
	return result, err
}

// mustView returns the table that a daemon serves by.
func (c *cluster) mustView(daemon *process) wire.TableView {
	c.t.Helper()
	view, err := c.view(daemon)
	if err != nil {
		c.t.Fatal(err)
	}
	return view
}

// caps returns the caps of the accounts by a daemon's table.
func (c *cluster) caps(daemon *process) map[string]int {
	c.t.Helper()
	found := make(map[string]int)
	for _, a := range c.mustView(daemon).State.Table().Accounts {
		found[a.Name] = a.MaxInFlight
	}
	return found
}

// race sends the edits of two operators at two daemons at once.
func (c *cluster) race(first, second []table.Edit) [2]wire.ChangeResult {
	c.t.Helper()
	var results [2]wire.ChangeResult
	var faults [2]error
	var operators sync.WaitGroup
	for n, sent := range [][]table.Edit{first, second} {
		operators.Go(func() { results[n], faults[n] = send(c.daemons[n], sent) })
	}
	operators.Wait()
	if err := errors.Join(faults[:]...); err != nil {
		c.t.Fatal(err)
	}
	return results
}

// ready reports whether a daemon's readiness check passes.
func ready(daemon *process) bool {
	response, err := (&http.Client{Timeout: 2 * time.Second, Transport: httpClient.Transport}).Get("http://" + daemon.address() + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// codeOf returns the code of a refusal, or 0.
func codeOf(err error) codes.Code {
	var refused *refusedError
	if errors.As(err, &refused) {
		return refused.refusal.Code
	}
	return 0
}

// ask sends one short request to a daemon, without reconnects.
func ask(daemon *process, key, text string) error {
	request := newChat([]string{daemon.address()}, "stock-question", text, 4)
	request.key = key
	whole, err := request.connect(daemon.address())
	if whole {
		return request.check()
	}
	return err
}

// TestOperatorsRace guards against a lost edit: of two edits of one row one wins and the
// other is reported with both values, and edits of different rows both win.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 3})
	view := c.mustView(c.daemons[0])
	results := c.race(edits(view, setCap("counter", 111)), edits(view, setCap("counter", 222)))
	winner := slices.IndexFunc(results[:], func(r wire.ChangeResult) bool { return r.Status == wire.ChangeAccepted })
	if winner < 0 || results[1-winner].Status != wire.ChangeClash {
		t.Fatalf("want one accepted and one clash: %+v", results)
	}
	clashes := results[1-winner].Outcome.Clashes
	if len(clashes) != 1 {
		t.Fatalf("want one clash: %+v", clashes)
	}
	var present, wanted table.Account
	if err := errors.Join(json.Unmarshal(clashes[0].Present, &present), json.Unmarshal(clashes[0].Wanted, &wanted)); err != nil {
		t.Fatal(err)
	}
	values := []int{111, 222}
	if present.MaxInFlight != values[winner] || wanted.MaxInFlight != values[1-winner] {
		t.Errorf("the clash has %d and %d, want %d and %d", present.MaxInFlight, wanted.MaxInFlight, values[winner], values[1-winner])
	}
	view = c.mustView(c.daemons[0])
	for _, r := range c.race(edits(view, setCap("counter", 333)), edits(view, setCap("studio", 77))) {
		if r.Status != wire.ChangeAccepted {
			t.Errorf("an edit of another row was not accepted: %+v", r)
		}
	}
	for _, d := range c.daemons {
		if caps := c.caps(d); caps["counter"] != 333 || caps["studio"] != 77 {
			t.Errorf("%s serves by the caps %v", d.name, caps)
		}
	}
}

// TestAcceptedChangeIsInForce guards against "Accepted" for a change that a daemon does not
// serve by yet, and against one that takes longer than 5 s with a healthy log.
func TestAcceptedChangeIsInForce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 5})
	for n := range 10 {
		publisher := c.daemons[n%len(c.daemons)]
		began := time.Now()
		result, err := send(publisher, edits(c.mustView(publisher), setCap("studio", 50+n)))
		if err != nil || result.Status != wire.ChangeAccepted {
			t.Fatalf("change %d: %+v %v", n, result, err)
		}
		for _, d := range c.daemons {
			if caps := c.caps(d); caps["studio"] != 50+n {
				t.Errorf("%s serves by the cap %d after change %d was accepted", d.name, caps["studio"], n)
			}
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("change %d took %s", n, took)
		}
	}
}

// TestLogOutageKeepsTheTable guards against a table that goes back, requests that are
// refused, or a change that is accepted while the log is down for longer than the lease.
func TestLogOutageKeepsTheTable(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 3, engines: 3})
	c.publish(edited(c.mustView(c.daemons[0]), setCap("studio", 61)))
	refusedEdits := edits(c.mustView(c.daemons[1]), setCap("studio", 62))
	c.fault(c.log, json.RawMessage(`{"Down": true}`))
	var result wire.ChangeResult
	var err error
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		result, err = send(c.daemons[1], refusedEdits)
	}()
	offsets := make(map[string]int64)
	check := func(n int) {
		for _, d := range c.daemons {
			status, statusErr := c.status(d)
			if statusErr != nil || status.Next < offsets[d.name] {
				t.Fatalf("%s went from %d to %d (error %v)", d.name, offsets[d.name], status.Next, statusErr)
			}
			offsets[d.name] = status.Next
			if askErr := ask(d, studioKey, fmt.Sprintf("question %d at %s", n, d.name)); askErr != nil {
				t.Fatalf("request %d at %s: %v", n, d.name, askErr)
			}
		}
	}
	for n, end := 0, time.Now().Add(servingLease+3*time.Second); time.Now().Before(end); n++ {
		check(n)
	}
	c.fault(c.log, json.RawMessage(`{}`))
	check(-1)
	<-answered
	if err == nil && result.Status != wire.ChangeUnknown {
		t.Errorf("a change during the outage was answered %+v", result)
	}
	for _, d := range c.daemons {
		if caps := c.caps(d); caps["studio"] != 61 && (err != nil || caps["studio"] != 62) {
			t.Errorf("%s serves by the cap %d after the outage", d.name, caps["studio"])
		}
	}
	c.publish(edited(c.mustView(c.daemons[0]), setCap("studio", 63)))
}

// edited returns the table of the view with a change.
func edited(view wire.TableView, change func(*table.Table)) table.Table {
	wanted := view.State.Table()
	change(&wanted)
	return wanted
}

// removeKeys takes the keys of the studio account out of the table.
func removeKeys(t *table.Table) {
	for i := range t.Accounts {
		if t.Accounts[i].Name == "studio" {
			t.Accounts[i].KeyHashes = []string{ident.HashSecret("another key of the studio")}
		}
	}
}

// TestPausedDaemonDoesNotServeTheOldTable guards against a daemon that is paused for longer
// than the lease and then serves requests by a table that was replaced. The requests are in
// its listen queue before it goes on, so that it meets them first.
func TestPausedDaemonDoesNotServeTheOldTable(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 3, engines: 2})
	paused := c.daemons[2]
	if err := ask(paused, studioKey, "before"); err != nil {
		t.Fatal(err)
	}
	paused.Signal(syscall.SIGSTOP)
	began := time.Now()
	c.publish(edited(c.mustView(c.daemons[0]), removeKeys))
	if took := time.Since(began); took < 10*time.Second || took > 20*time.Second {
		t.Errorf("the change was accepted after %s", took)
	}
	const requests = 20
	served := make(chan error, requests)
	for n := range requests {
		go func() { served <- ask(paused, studioKey, fmt.Sprintf("after %d", n)) }()
	}
	// The wait lets the kernel queue the connections; the check does not depend on it.
	<-time.After(100 * time.Millisecond)
	paused.Signal(syscall.SIGCONT)
	for range requests {
		if code := codeOf(<-served); code != codes.Unauthorized && code != codes.ConfigUnknown {
			t.Errorf("a request by the old table ended with code %d", code)
		}
	}
	waitFor(t, 5*time.Second, "the daemon to serve by the new table", func() bool {
		return codeOf(ask(paused, studioKey, "later")) == codes.Unauthorized && ask(paused, counterKey, "later") == nil
	})
}

// TestDaemonThatStartsDuringAnOutage guards against a daemon that serves by an empty table:
// until it has the table of its peers it is not ready and tells callers to come back.
func TestDaemonThatStartsDuringAnOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 3, engines: 2})
	c.fault(c.log, json.RawMessage(`{"Down": true}`))
	late := c.startDaemon(3, "")
	order := &orderResult{refusals: make(map[codes.Code]int)}
	if place(late.address(), ident.NewKey(), order); order.answered > 0 || len(order.notRun) > 0 || order.refusals[codes.ConfigUnknown] != 1 {
		t.Errorf("an order at the daemon ended with %s; it may not say that the order was not run", order.lastFault)
	}
	seen := make(map[codes.Code]int)
	waitFor(t, 30*time.Second, "the daemon to serve", func() bool {
		wasReady := ready(late)
		err := ask(late, counterKey, "a question")
		seen[codeOf(err)]++
		if wasReady && err != nil {
			t.Fatalf("the ready daemon answered %v", err)
		}
		if code := codeOf(err); err != nil && code != codes.ConfigUnknown && code != codes.NoHolder {
			t.Fatalf("the daemon answered %v", err)
		}
		return err == nil
	})
	t.Logf("answers by code: %v", seen)
	if got, want := c.mustView(late).State.Next, c.mustView(c.daemons[0]).State.Next; got != want {
		t.Errorf("the daemon serves by offset %d, the others by %d", got, want)
	}
}

// forwardTo adds a forward to a fault proxy and returns the address that it listens at.
func (c *cluster) forwardTo(proxy *process, target string) string {
	c.t.Helper()
	var added struct {
		Listen string `json:"Listen"`
	}
	c.admin(proxy, "POST", "/admin/forwards", map[string]string{"Target": target}, &added)
	return added.Listen
}

// startBehind starts daemon n, whose connections to the log and to and from the other daemons
// go through the fault proxy. It has an instance list of its own, which stays reachable.
func (c *cluster) startBehind(proxy *process, n int) *process {
	c.t.Helper()
	inside := *c
	inside.log = &process{name: "log", ports: []string{c.forwardTo(proxy, c.log.address())}}
	inside.list = start(c.t, "inside-list", "listd", "-lag", "100ms")
	var listed wire.InstanceList
	c.admin(c.list, "GET", "/instances", nil, &listed)
	for _, instance := range listed.Instances {
		if instance.PeerAddress != "" {
			instance.PeerAddress = c.forwardTo(proxy, instance.PeerAddress)
		}
		inside.put(instance)
	}
	daemon := inside.startDaemon(n, "")
	c.put(wire.Instance{
		ID: daemon.name, Role: wire.RoleEntry, DataCentre: dataCentre(n), Address: daemon.ports[0],
		PeerAddress: c.forwardTo(proxy, daemon.ports[1]), State: wire.Live,
	})
	c.daemons = append(c.daemons, daemon)
	return daemon
}

// TestCutOffDaemonRefuses guards against a daemon that reaches neither the log nor its peers
// and goes on by a table that the others have replaced. It must refuse once its lease is
// over, at the latest when the others' change is accepted, and recover by itself.
func TestCutOffDaemonRefuses(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{daemons: 2, engines: 2})
	proxy := start(t, "proxy", "faultd")
	cutOff := c.startBehind(proxy, 2)
	c.waitListed(3)
	waitFor(t, 10*time.Second, "the daemon to serve", func() bool { return ask(cutOff, studioKey, "before") == nil })
	c.fault(proxy, json.RawMessage(`{"Refuse": true}`))
	c.admin(proxy, "POST", "/admin/cut", nil, nil)
	cut := time.Now()
	c.publish(edited(c.mustView(c.daemons[0]), removeKeys))
	if code := codeOf(ask(cutOff, studioKey, "after the change")); code != codes.ConfigUnknown {
		t.Errorf("a request by the old table ended with code %d, %s after the cut", code, time.Since(cut))
	}
	if code := codeOf(ask(cutOff, counterKey, "after the change")); code != codes.ConfigUnknown || ready(cutOff) {
		t.Errorf("the daemon answered with code %d and its readiness is %t", code, ready(cutOff))
	}
	c.fault(proxy, json.RawMessage(`{}`))
	waitFor(t, 10*time.Second, "the daemon to serve by the new table", func() bool {
		return ready(cutOff) && codeOf(ask(cutOff, studioKey, "at the end")) == codes.Unauthorized && ask(cutOff, counterKey, "at the end") == nil
	})
}
