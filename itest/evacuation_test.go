package itest

import (
	"fmt"
	"testing"
	"time"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

// refusalTime limits the time in which a request without an endpoint must be refused.
const refusalTime = 5 * time.Second

// setEvacuated returns a change that orders the evacuation of data centres or withdraws it.
func setEvacuated(evacuated bool, names ...string) func(*table.Table) {
	return func(t *table.Table) {
		for _, name := range names {
			row := table.DataCentre{Name: name, Evacuated: evacuated}
			known := false
			for i := range t.DataCentres {
				if t.DataCentres[i].Name == name {
					t.DataCentres[i].Evacuated, known = evacuated, true
				}
			}
			if !known {
				t.DataCentres = append(t.DataCentres, row)
			}
		}
	}
}

// mustPublish publishes a change of the table through the first daemon and waits until it is accepted.
func (c *cluster) mustPublish(change func(*table.Table)) {
	c.t.Helper()
	result, err := sendEdits(c.daemons[0], editsFor(c.mustTableView(c.daemons[0]), change))
	if err != nil || result.Status != wire.ChangeAccepted {
		c.t.Fatalf("change: %+v %v", result, err)
	}
}

// TestEvacuatedCentreGetsNoRequests guards against requests to an evacuated data centre, at each daemon, once the change is
// accepted, and against requests that wait while all data centres are evacuated.
func TestEvacuatedCentreGetsNoRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 3, engines: 3})
	c.mustPublish(setEvacuated(true, dataCentre(1)))
	before := c.requestCount(c.engines[1])
	for _, address := range c.addresses() {
		for n := range 5 {
			if err := newChat([]string{address}, "stock-question", fmt.Sprint("question ", address, n), 4).run(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if got := c.requestCount(c.engines[1]) - before; got != 0 {
		t.Errorf("the evacuated engine received %d requests, want none", got)
	}
	c.mustPublish(setEvacuated(true, dataCentre(0), dataCentre(2)))
	for _, d := range c.daemons {
		began := time.Now()
		err := sendShortRequest(d, counterKey, "question without an engine at "+d.name)
		if code := refusalCode(err); code != codes.NoEndpoint || time.Since(began) > refusalTime {
			t.Errorf("%s: %v after %s, want %d at once", d.name, err, time.Since(began), codes.NoEndpoint)
		}
	}
	c.mustPublish(setEvacuated(false, dataCentre(0), dataCentre(1), dataCentre(2)))
	for _, d := range c.daemons {
		if err := sendShortRequest(d, counterKey, "question after the evacuation at "+d.name); err != nil {
			t.Errorf("%s: %v", d.name, err)
		}
	}
}
