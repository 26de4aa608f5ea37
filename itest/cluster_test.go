package itest

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"lentilstage.dev/domain/ident"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/client"
	"lentilstage.dev/wire/wire"
)

type (
	// cluster runs daemons against stand-ins for the log, the instance list and the endpoints.
	cluster struct {
		t       *testing.T
		log     *process
		list    *process
		daemons []*process
		engines []*process
		apps    []*process
	}

	// clusterConfig sets the number of processes of a cluster and their arguments. Process n of
	// each kind runs in data centre n modulo 3.
	clusterConfig struct {
		daemons    int
		engines    int
		apps       int
		engineArgs []string
		appArgs    []string
		logArgs    []string
		// daemonSettings are YAML lines appended to the settings file of each daemon.
		daemonSettings string
	}
)

const (
	counterKey  = "test-counter"
	studioKey   = "test-studio"
	operatorKey = "test-operator"
	peerSecret  = "test-secret-of-the-peers"
)

// newCluster starts all processes, registers them on the instance list and publishes the table in
// testdata/table.yaml.
func newCluster(t *testing.T, config clusterConfig) *cluster {
	t.Helper()
	c := &cluster{
		t:    t,
		log:  startProcess(t, "log", "logd", config.logArgs...),
		list: startProcess(t, "list", "listd", "-lag", "100ms"),
	}
	for n := range config.engines {
		c.addEngine(n, config.engineArgs)
	}
	for n := range config.apps {
		app := startProcess(t, fmt.Sprintf("app-%d", n), "appd", config.appArgs...)
		c.apps = append(c.apps, app)
		c.putInstance(wire.Instance{ID: app.name, Role: wire.RolePlain, DataCentre: dataCentre(n), Address: app.address(), State: wire.Live, Versions: []string{"desk-v1"}})
	}
	for n := range config.daemons {
		c.daemons = append(c.daemons, c.startDaemon(n, config.daemonSettings))
	}
	t.Cleanup(c.logTimelines)
	c.waitForDaemons(config.daemons)
	c.publish(readTable(t))
	return c
}

// logTimelines logs the newest events of each daemon that is still running, if the test failed.
func (c *cluster) logTimelines() {
	const newest = 40
	if !c.t.Failed() {
		return
	}
	for _, d := range c.daemons {
		var timeline wire.Timeline
		if client.Call(callDeadline(), "GET", d.address(), "/operator/timeline", operatorHeaders(), nil, &timeline) != nil {
			continue
		}
		for _, e := range timeline.Events[max(0, len(timeline.Events)-newest):] {
			text, _ := json.Marshal(e)
			c.t.Logf("timeline of %s: %s", d.name, text)
		}
	}
}

// addEngine starts an engine and registers it.
func (c *cluster) addEngine(n int, arguments []string) *process {
	c.t.Helper()
	engine := startProcess(c.t, fmt.Sprintf("engine-%d", n), "engined", append([]string{"-versions", "catalogue-v1"}, arguments...)...)
	c.engines = append(c.engines, engine)
	c.putInstance(wire.Instance{ID: engine.name, Role: wire.RoleEngine, DataCentre: dataCentre(n), Address: engine.address(), State: wire.Live, Versions: []string{"catalogue-v1"}})
	return engine
}

// startDaemon starts daemon n with additional settings and registers it.
func (c *cluster) startDaemon(n int, extraSettings string) *process {
	c.t.Helper()
	name := fmt.Sprintf("entry-%d", n)
	path := filepath.Join(c.t.TempDir(), name+".yaml")
	settings := fmt.Sprintf(`Name: %s
Region: region-1
DataCentre: %s
Listen: 127.0.0.1:0
PeerListen: 127.0.0.1:0
Log: %s
List: %s
PeerSecret: %s
OperatorKeyHashes: [%s]
%s`, name, dataCentre(n), c.log.address(), c.list.address(), peerSecret, ident.HashSecret(operatorKey), extraSettings)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	daemon := startProcess(c.t, name, "entryd", "serve", "-settings", path)
	c.putInstance(wire.Instance{ID: name, Role: wire.RoleEntry, DataCentre: dataCentre(n), Address: daemon.ports[0], PeerAddress: daemon.ports[1], State: wire.Live})
	return daemon
}

// putInstance adds an instance to the instance list or replaces its entry.
func (c *cluster) putInstance(instance wire.Instance) {
	c.t.Helper()
	c.callAdmin(c.list, "POST", "/admin/instances", instance, nil)
}

// setFaults replaces the injected faults of a stand-in.
func (c *cluster) setFaults(p *process, faults any) {
	c.t.Helper()
	c.callAdmin(p, "POST", "/admin/faults", faults, nil)
}

// callAdmin sends an admin request to a stand-in and decodes the response into out.
func (c *cluster) callAdmin(p *process, method, path string, in, out any) {
	c.t.Helper()
	if err := client.Call(callDeadline(), method, p.address(), path, nil, in, out); err != nil {
		c.t.Fatalf("%s %s at %s: %v", method, path, p.name, err)
	}
}

// waitForDaemons waits until every daemon lists count-1 peers and all endpoints.
func (c *cluster) waitForDaemons(count int) {
	c.t.Helper()
	waitFor(c.t, 15*time.Second, "all daemons to list each other and the endpoints", func() bool {
		for _, d := range c.daemons {
			status, err := c.status(d)
			if err != nil || len(status.Peers) != count-1 || len(status.Endpoints) < len(c.engines)+len(c.apps) {
				return false
			}
		}
		return true
	})
}

// status returns a daemon's status.
func (c *cluster) status(daemon *process) (wire.DaemonStatus, error) {
	var status wire.DaemonStatus
	err := client.Call(callDeadline(), "GET", daemon.address(), "/operator/status", operatorHeaders(), nil, &status)
	return status, err
}

// tableView returns the table that a daemon currently uses.
func (c *cluster) tableView(daemon *process) (wire.TableView, error) {
	var tableView wire.TableView
	err := client.Call(callDeadline(), "GET", daemon.address(), "/operator/table", operatorHeaders(), nil, &tableView)
	return tableView, err
}

// publish publishes a table through the first daemon and fails the test unless it is accepted.
func (c *cluster) publish(wanted table.Table) {
	c.t.Helper()
	result := c.publishTo(c.daemons[0], wanted)
	if result.Status != wire.ChangeAccepted {
		c.t.Fatalf("the change was not accepted: %+v", result)
	}
}

// publishTo publishes a table through a daemon and returns the result.
func (c *cluster) publishTo(daemon *process, wanted table.Table) wire.ChangeResult {
	c.t.Helper()
	tableView, err := c.tableView(daemon)
	if err != nil {
		c.t.Fatal(err)
	}
	var result wire.ChangeResult
	request := wire.ChangeRequest{ID: ident.NewRecordID(), Edits: tableView.State.Diff(wanted)}
	err = client.Call(time.Now().Add(30*time.Second), "POST", daemon.address(), "/operator/changes", operatorHeaders(), request, &result)
	if err != nil {
		c.t.Fatal(err)
	}
	return result
}

// addresses returns the addresses at which the daemons serve callers.
func (c *cluster) addresses() []string {
	var all []string
	for _, d := range c.daemons {
		all = append(all, d.address())
	}
	return all
}

// readTable parses testdata/table.yaml.
func readTable(t *testing.T) table.Table {
	t.Helper()
	text, err := os.ReadFile("testdata/table.yaml")
	if err != nil {
		t.Fatal(err)
	}
	parsed, problems := table.Parse(text)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return parsed
}

func operatorHeaders() map[string]string {
	return map[string]string{"Authorization": "Bearer " + operatorKey}
}

// callDeadline returns the deadline of a call to the operator or admin API that starts now.
func callDeadline() time.Time { return time.Now().Add(5 * time.Second) }

func dataCentre(n int) string { return fmt.Sprintf("dc-%d", n%3) }
