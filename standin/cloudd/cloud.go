package main

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"lentilstage.dev/wire/wire"
)

type (
	// bill is the cost of the instances so far.
	bill struct {
		Cost            float64 `json:"Cost"`
		InstanceSeconds float64 `json:"InstanceSeconds"`
		// Starts counts the instances that start orders created.
		Starts int `json:"Starts"`
	}

	// cloud holds the instances, prices and notices. Changes that are due by time (live after the
	// start delay, ended after the deadline) are applied at the beginning of each call.
	cloud struct {
		mutex      sync.Mutex
		startDelay time.Duration
		version    int64
		instances  map[string]wire.Instance
		// startedByToken maps client tokens to the identifiers of started instances. Entries are never
		// removed, so that a repeated order starts no second instance even after the first has ended.
		startedByToken map[string]string
		ended          map[string]wire.Instance
		prices         wire.Prices
		notices        []wire.Notice
		endedBill      bill
	}
)

// Prices per hour of instances for which no price is set.
const (
	defaultOnDemand    = 3.0
	defaultReclaimable = 1.0
)

func newCloud(startDelay time.Duration) *cloud {
	return &cloud{
		startDelay:     startDelay,
		instances:      map[string]wire.Instance{},
		startedByToken: map[string]string{},
		ended:          map[string]wire.Instance{},
		prices:         wire.Prices{Prices: []wire.Price{}},
	}
}

// applyDueChanges applies the state changes that are due. The caller holds the lock.
func (c *cloud) applyDueChanges(now time.Time) {
	for id, i := range c.instances {
		switch {
		case i.State == wire.Starting && now.Sub(i.Started) >= c.startDelay:
			i.State = wire.Live
			c.set(i)
		case i.State == wire.Leaving && !i.LeaveDeadline.IsZero() && !now.Before(i.LeaveDeadline):
			c.endedBill = c.endedBill.withInstance(i, i.LeaveDeadline)
			delete(c.instances, id)
			c.ended[id] = i
			c.version++
		}
	}
}

func (c *cloud) set(i wire.Instance) {
	c.instances[i.ID] = i
	c.version++
}

// start returns the instance of the order's client token, and starts one if there is none. It returns
// false if there is none and starts are refused.
func (c *cloud) start(order wire.StartOrder, refused bool, now time.Time) (wire.Instance, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.applyDueChanges(now)
	if id, repeated := c.startedByToken[order.ClientToken]; repeated {
		if i, found := c.instances[id]; found {
			return i, true
		}
		return c.ended[id], true
	}
	if refused {
		return wire.Instance{}, false
	}
	c.endedBill.Starts++
	i := wire.Instance{
		ID:           "i-" + strconv.Itoa(c.endedBill.Starts),
		Role:         order.Role,
		DataCentre:   order.DataCentre,
		State:        wire.Starting,
		Class:        order.Class,
		Market:       order.Market,
		Owner:        order.Owner,
		ClientToken:  order.ClientToken,
		PricePerHour: c.price(order.DataCentre, order.Class, order.Market),
		Started:      now.UTC(),
	}
	if order.Version != "" {
		i.Versions = []string{order.Version}
	}
	c.startedByToken[order.ClientToken] = i.ID
	c.set(i)
	return i, true
}

func (c *cloud) price(dataCentre, class string, market wire.Market) float64 {
	for _, p := range c.prices.Prices {
		if p.DataCentre == dataCentre && p.Class == class && p.Market == market {
			return p.PerHour
		}
	}
	if market == wire.OnDemand {
		return defaultOnDemand
	}
	return defaultReclaimable
}

// end ends the instance at once. It returns false if it never existed.
func (c *cloud) end(id string, now time.Time) (wire.Instance, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.applyDueChanges(now)
	if i, found := c.instances[id]; found {
		i.State, i.LeaveDeadline = wire.Leaving, now.UTC()
		c.instances[id] = i
		c.applyDueChanges(now)
	}
	i, found := c.ended[id]
	return i, found
}

// put adds or replaces an instance whose process a test runs.
func (c *cloud) put(i wire.Instance, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.applyDueChanges(now)
	previous := c.instances[i.ID]
	i.State = cmp.Or(i.State, wire.Live)
	i.Market = cmp.Or(i.Market, previous.Market, wire.Reclaimable)
	i.Owner = cmp.Or(i.Owner, previous.Owner)
	i.ClientToken = cmp.Or(i.ClientToken, previous.ClientToken)
	i.PricePerHour = cmp.Or(i.PricePerHour, previous.PricePerHour, c.price(i.DataCentre, i.Class, i.Market))
	if i.Started.IsZero() {
		i.Started = previous.Started
	}
	if i.Started.IsZero() {
		i.Started = now.UTC()
	}
	c.set(i)
}

// reclaim announces the end of the selected instances and returns their identifiers. A data centre
// loses only its reclaimable instances. An instance that is leaving already is skipped.
func (c *cloud) reclaim(order reclaim, now, deadline time.Time) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.applyDueChanges(now)
	reclaimed := []string{}
	for _, id := range slices.Sorted(maps.Keys(c.instances)) {
		i := c.instances[id]
		chosen := id == order.Instance || (i.DataCentre == order.DataCentre && i.Market == wire.Reclaimable)
		if !chosen || i.State == wire.Leaving {
			continue
		}
		i.State, i.LeaveDeadline = wire.Leaving, deadline.UTC()
		c.set(i)
		c.notices = append(c.notices, wire.Notice{
			Sequence:   int64(len(c.notices)),
			Instance:   id,
			DataCentre: i.DataCentre,
			Deadline:   deadline.UTC(),
		})
		reclaimed = append(reclaimed, id)
	}
	return reclaimed
}

func (c *cloud) list(now time.Time) wire.InstanceList {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.applyDueChanges(now)
	byID := func(a, b wire.Instance) int { return cmp.Compare(a.ID, b.ID) }
	return wire.InstanceList{
		Version:   c.version,
		Time:      now.UTC(),
		Instances: append([]wire.Instance{}, slices.SortedFunc(maps.Values(c.instances), byID)...),
	}
}

func (c *cloud) noticesFrom(from int64) wire.Notices {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	next := int64(len(c.notices))
	from = min(max(from, 0), next)
	return wire.Notices{Notices: append([]wire.Notice{}, c.notices[from:]...), Next: next}
}

func (c *cloud) setPrices(prices wire.Prices) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.prices = prices
}

func (c *cloud) currentPrices() wire.Prices {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.prices
}

// bill returns the cost of all instances from their start until now, or until their end.
func (c *cloud) bill(now time.Time) bill {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.applyDueChanges(now)
	total := c.endedBill
	for _, i := range c.instances {
		total = total.withInstance(i, now)
	}
	return total
}

func (b bill) withInstance(i wire.Instance, until time.Time) bill {
	seconds := until.Sub(i.Started).Seconds()
	b.InstanceSeconds += seconds
	b.Cost += seconds / time.Hour.Seconds() * i.PricePerHour
	return b
}
