package itest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lentilstage.dev/wire/client"
	"lentilstage.dev/wire/wire"
)

// fleetOracle reads the cloud and keeps what must hold at each time.
type fleetOracle struct {
	t     *testing.T
	cloud client.Cloud
	most  int
	// tokens are the instances ever seen, by client token.
	tokens map[string]string
}

const (
	fleetNeeded = 4
	fleetMost   = 9
)

// TestFleetOrders guards against two instances for a plan slot, more instances than
// MaxReplicas, a lost reserve, an orphan that is kept and an end of somebody else's instance.
// Two daemons send orders to a cloud that loses answers, refuses starts and reclaims a data
// centre, once as members of one system, once without knowing of each other, so that each
// sends every order.
func TestFleetOrders(t *testing.T) {
	for name, apart := range map[string]bool{"together": false, "apart": true} {
		t.Run(name, func(t *testing.T) {
			cloud := start(t, "cloud", "cloudd", "-start-time", "300ms")
			settings := fmt.Sprintf("Cloud: %s\nFleet: true\nFleetIntervalMilliseconds: 200\nFleetStartSeconds: 5\nFleetGraceSeconds: 600\nFleetOrphanSeconds: 1\nFleetReservePercent: 100\n", cloud.address())
			c := newCluster(t, plan{daemons: 1, settings: settings})
			other := c
			if apart {
				other = &cluster{t: t, log: c.log, list: start(t, "list-2", "listd", "-lag", "100ms")}
			}
			second := other.startDaemon(1, settings)
			var prices wire.Prices
			for n := range 3 {
				for market, price := range map[wire.Market]float64{wire.Reclaimable: 1 + 0.1*float64(n), wire.OnDemand: 3} {
					prices.Prices = append(prices.Prices, wire.Price{DataCentre: dataCentre(n), Class: "gpu-small", Market: market, PerHour: price})
				}
			}
			c.admin(cloud, "POST", "/admin/prices", prices, nil)
			c.admin(cloud, "POST", "/admin/instances", wire.Instance{ID: "left", Owner: "lentilstage", ClientToken: "lentilstage/gone-v1/1/1", DataCentre: dataCentre(0), Class: "gpu-small"}, nil)
			c.admin(cloud, "POST", "/admin/instances", wire.Instance{ID: "theirs", Owner: "others", ClientToken: "lentilstage/gone-v1/2/1", DataCentre: dataCentre(0), Class: "gpu-small", Market: wire.OnDemand}, nil)
			// The delay lets both daemons read the list before either's orders take effect.
			c.fault(cloud, map[string]any{"DelayMilliseconds": 100, "LoseAnswers": map[string]any{"Next": 3, "Probability": 0.3}, "RefuseDataCentres": []string{dataCentre(0)}})

			view, err := c.view(c.daemons[0])
			if err != nil {
				t.Fatal(err)
			}
			wanted := view.State.Table()
			wanted.Versions[0].MinReplicas, wanted.Versions[0].MaxReplicas = fleetNeeded, fleetMost
			c.publish(wanted)
			oracle := &fleetOracle{t: t, cloud: client.Cloud{Address: cloud.address()}, most: fleetMost, tokens: map[string]string{}}
			waitFor(t, 20*time.Second, "the reserve while starts are refused", oracle.reserved)
			c.admin(cloud, "POST", "/admin/reclaim", map[string]any{"DataCentre": dataCentre(1), "NoticeMilliseconds": 300}, nil)
			waitFor(t, 10*time.Second, "the reclaim to take effect", func() bool { return !oracle.reserved() })
			waitFor(t, 20*time.Second, "the reserve after the reclaim", oracle.reserved)
			waitFor(t, 20*time.Second, "the end of the orphan", func() bool { return !oracle.lists("left") })
			// The loss of the second daemon moves its slots to the first one.
			second.Kill()
			if !apart {
				c.put(wire.Instance{ID: second.name, Role: wire.RoleEntry, DataCentre: dataCentre(1), Address: second.ports[0], PeerAddress: second.ports[1], State: wire.Leaving})
			}
			c.admin(cloud, "POST", "/admin/reclaim", map[string]any{"DataCentre": dataCentre(2), "NoticeMilliseconds": 0}, nil)
			waitFor(t, 30*time.Second, "the reserve with one daemon", oracle.reserved)
			if !oracle.lists("theirs") {
				t.Fatal("the instance of another owner was ended")
			}
			c.checkFleetEvents()
		})
	}
}

// instances returns the cloud's instances after a check of what must always hold.
func (o *fleetOracle) instances() []wire.Instance {
	o.t.Helper()
	list, err := o.cloud.Instances(soon())
	if err != nil {
		o.t.Fatal(err)
	}
	slots, held := map[string]string{}, 0
	for _, i := range list.Instances {
		if seen := o.tokens[i.ClientToken]; seen != "" && seen != i.ID {
			o.t.Fatalf("token %s has the instances %s and %s", i.ClientToken, seen, i.ID)
		}
		o.tokens[i.ClientToken] = i.ID
		if i.State == wire.Leaving || !strings.HasPrefix(i.ClientToken, "lentilstage/catalogue-v1/") {
			continue
		}
		held++
		slot := i.ClientToken[:strings.LastIndex(i.ClientToken, "/")]
		if slots[slot] != "" {
			o.t.Fatalf("slot %s has the instances %s and %s", slot, slots[slot], i.ID)
		}
		slots[slot] = i.ID
	}
	if held > o.most {
		o.t.Fatalf("%d instances are held; the row allows %d", held, o.most)
	}
	return list.Instances
}

// reserved reports whether enough live instances remain without any one data centre's
// reclaimable ones.
func (o *fleetOracle) reserved() bool {
	live, largest, inCentre := 0, 0, map[string]int{}
	for _, i := range o.instances() {
		if i.State != wire.Live || !strings.HasPrefix(i.ClientToken, "lentilstage/catalogue-v1/") {
			continue
		}
		live++
		if i.Market == wire.Reclaimable {
			inCentre[i.DataCentre]++
			largest = max(largest, inCentre[i.DataCentre])
		}
	}
	return live-largest >= fleetNeeded
}

func (o *fleetOracle) lists(id string) bool {
	for _, i := range o.instances() {
		if i.ID == id {
			return true
		}
	}
	return false
}

// checkFleetEvents guards against orders and outcomes that the time line lacks.
func (c *cluster) checkFleetEvents() {
	c.t.Helper()
	var timeline wire.Timeline
	if err := client.Call(soon(), "GET", c.daemons[0].address(), "/operator/timeline?after=0", operatorHeaders(), nil, &timeline); err != nil {
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
		c.t.Fatalf("the time line has %d orders and %d outcomes", ordered, outcomes)
	}
}
