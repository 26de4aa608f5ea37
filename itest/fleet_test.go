package itest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lentilstage.dev/wire/client"
	"lentilstage.dev/wire/wire"
)

// fleetChecker reads the cloud's instances and checks the invariants of the fleet on each read.
type fleetChecker struct {
	t            *testing.T
	cloud        client.Cloud
	maxInstances int
	// instanceByToken maps each client token seen so far to its instance ID.
	instanceByToken map[string]string
}

const (
	requiredReplicas = 4
	maxReplicas      = 9
)

// TestFleetOrders guards against two instances for one slot of the capacity plan, more instances than
// MaxReplicas, a missing reserve, an orphan that is not ended and the end of another owner's instance.
// Two daemons send orders to a cloud that loses responses, refuses starts and reclaims a data centre.
// In one case the daemons are peers; in the other they do not know each other, so that each sends
// every order.
func TestFleetOrders(t *testing.T) {
	for name, separate := range map[string]bool{"peers": false, "separate": true} {
		t.Run(name, func(t *testing.T) {
			cloud := startProcess(t, "cloud", "cloudd", "-start-time", "300ms")
			daemonSettings := fmt.Sprintf("Cloud: %s\nFleet: true\nFleetIntervalMilliseconds: 200\nFleetStartSeconds: 5\nFleetGraceSeconds: 600\nFleetOrphanSeconds: 1\nFleetReservePercent: 100\n", cloud.address())
			c := newCluster(t, clusterConfig{daemons: 1, daemonSettings: daemonSettings})
			other := c
			if separate {
				other = &cluster{t: t, log: c.log, list: startProcess(t, "list-2", "listd", "-lag", "100ms")}
			}
			second := other.startDaemon(1, daemonSettings)
			var prices wire.Prices
			for n := range 3 {
				for market, price := range map[wire.Market]float64{wire.Reclaimable: 1 + 0.1*float64(n), wire.OnDemand: 3} {
					prices.Prices = append(prices.Prices, wire.Price{DataCentre: dataCentre(n), Class: "gpu-small", Market: market, PerHour: price})
				}
			}
			c.callAdmin(cloud, "POST", "/admin/prices", prices, nil)
			c.callAdmin(cloud, "POST", "/admin/instances", wire.Instance{ID: "left", Owner: "lentilstage", ClientToken: "lentilstage/gone-v1/1/1", DataCentre: dataCentre(0), Class: "gpu-small"}, nil)
			c.callAdmin(cloud, "POST", "/admin/instances", wire.Instance{ID: "theirs", Owner: "others", ClientToken: "lentilstage/gone-v1/2/1", DataCentre: dataCentre(0), Class: "gpu-small", Market: wire.OnDemand}, nil)
			// The delay lets both daemons read the instances before the orders of either take effect.
			c.setFaults(cloud, map[string]any{"DelayMilliseconds": 100, "LoseAnswers": map[string]any{"Next": 3, "Probability": 0.3}, "RefuseDataCentres": []string{dataCentre(0)}})

			tableView, err := c.tableView(c.daemons[0])
			if err != nil {
				t.Fatal(err)
			}
			wanted := tableView.State.Table()
			wanted.Versions[0].MinReplicas, wanted.Versions[0].MaxReplicas = requiredReplicas, maxReplicas
			c.publish(wanted)
			checker := &fleetChecker{t: t, cloud: client.Cloud{Address: cloud.address()}, maxInstances: maxReplicas, instanceByToken: map[string]string{}}
			waitFor(t, 20*time.Second, "the reserve to be reached while starts are refused", checker.hasReserve)
			c.callAdmin(cloud, "POST", "/admin/reclaim", map[string]any{"DataCentre": dataCentre(1), "NoticeMilliseconds": 300}, nil)
			waitFor(t, 10*time.Second, "the reclaim to take effect", func() bool { return !checker.hasReserve() })
			waitFor(t, 20*time.Second, "the reserve to be restored after the reclaim", checker.hasReserve)
			waitFor(t, 20*time.Second, "the orphan to be ended", func() bool { return !checker.hasInstance("left") })
			// After the second daemon is killed, the first one must take over its slots.
			second.Kill()
			if !separate {
				c.putInstance(wire.Instance{ID: second.name, Role: wire.RoleEntry, DataCentre: dataCentre(1), Address: second.ports[0], PeerAddress: second.ports[1], State: wire.Leaving})
			}
			c.callAdmin(cloud, "POST", "/admin/reclaim", map[string]any{"DataCentre": dataCentre(2), "NoticeMilliseconds": 0}, nil)
			waitFor(t, 30*time.Second, "the reserve to be restored by the remaining daemon", checker.hasReserve)
			if !checker.hasInstance("theirs") {
				t.Fatal("the instance of another owner was ended")
			}
			c.checkFleetEvents()
		})
	}
}

// instances returns the cloud's instances and fails the test if an invariant is violated.
func (o *fleetChecker) instances() []wire.Instance {
	o.t.Helper()
	list, err := o.cloud.Instances(callDeadline())
	if err != nil {
		o.t.Fatal(err)
	}
	slots, count := map[string]string{}, 0
	for _, i := range list.Instances {
		if seen := o.instanceByToken[i.ClientToken]; seen != "" && seen != i.ID {
			o.t.Fatalf("client token %s has the instances %s and %s", i.ClientToken, seen, i.ID)
		}
		o.instanceByToken[i.ClientToken] = i.ID
		if i.State == wire.Leaving || !strings.HasPrefix(i.ClientToken, "lentilstage/catalogue-v1/") {
			continue
		}
		count++
		slot := i.ClientToken[:strings.LastIndex(i.ClientToken, "/")]
		if slots[slot] != "" {
			o.t.Fatalf("slot %s has the instances %s and %s", slot, slots[slot], i.ID)
		}
		slots[slot] = i.ID
	}
	if count > o.maxInstances {
		o.t.Fatalf("the version has %d instances, want at most %d", count, o.maxInstances)
	}
	return list.Instances
}

// hasReserve reports whether at least requiredReplicas live instances would remain if any one data
// centre lost all its reclaimable instances.
func (o *fleetChecker) hasReserve() bool {
	live, largest, byDataCentre := 0, 0, map[string]int{}
	for _, i := range o.instances() {
		if i.State != wire.Live || !strings.HasPrefix(i.ClientToken, "lentilstage/catalogue-v1/") {
			continue
		}
		live++
		if i.Market == wire.Reclaimable {
			byDataCentre[i.DataCentre]++
			largest = max(largest, byDataCentre[i.DataCentre])
		}
	}
	return live-largest >= requiredReplicas
}

func (o *fleetChecker) hasInstance(id string) bool {
	for _, i := range o.instances() {
		if i.ID == id {
			return true
		}
	}
	return false
}

// checkFleetEvents checks that the timeline of the first daemon has its orders with their reasons, and
// an outcome for each order except possibly the last.
func (c *cluster) checkFleetEvents() {
	c.t.Helper()
	var timeline wire.Timeline
	if err := client.Call(callDeadline(), "GET", c.daemons[0].address(), "/operator/timeline?after=0", operatorHeaders(), nil, &timeline); err != nil {
		c.t.Fatal(err)
	}
	ordered, outcomes := 0, 0
	for _, e := range timeline.Events {
		switch e.Kind {
		case "StartOrdered", "EndOrdered":
			ordered++
			if e.Reason == "" || len(e.Numbers) == 0 {
				c.t.Fatalf("order without a reason or numbers: %+v", e)
			}
		case "StartAnswered", "StartRefused", "StartUnknown", "EndAnswered", "EndUnknown":
			outcomes++
		}
	}
	if ordered == 0 || outcomes < ordered-1 || outcomes > ordered {
		c.t.Fatalf("the timeline has %d orders and %d outcomes", ordered, outcomes)
	}
}
