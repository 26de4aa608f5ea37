package relay

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"time"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/scale"
	"lentilstage.dev/domain/setup"
)

// capacityPlanner orders endpoints while this daemon holds the lease. Only the leader's goroutine
// uses it.
type capacityPlanner struct {
	daemon    *Daemon
	services  map[string]*serviceState
	updatedAt time.Time
}

// serviceState is the planner's state for one service.
type serviceState struct {
	demand scale.Demand
	ready  map[scale.Kind]int
	// speeds are the sums of the speeds of the ready endpoints; nil if they don't differ.
	speeds map[scale.Kind]float64
	// share is the part of the ordered engine time that requests use, loggedAt when it was last logged.
	share        scale.Share
	loggedAt     time.Time
	orderHistory scale.State
	// inheritedDemand is the demand that the previous lease holder recorded; 0 if there is none.
	inheritedDemand float64
	// limited is the capacity of the endpoints that limit their requests, each as a fraction of an endpoint.
	limited []float64
}

const (
	// planInterval is the pause between two plans; a reclaim notice leaves about two seconds.
	planInterval = 400 * time.Millisecond
	// settleTime is how long it may take until all endpoints are known: they renew their
	// registrations about once a second, and some do so only seconds after the daemons start.
	settleTime = 3 * time.Second
	// shareInterval is the pause between log lines with the share of the ordered engine time that was used.
	shareInterval = 10 * time.Second
	// sharedTokenMS is the engine time per generated token, in milliseconds, while other requests
	// share the step: a step of a busy batch of 15 takes about 3 ms.
	sharedTokenMS = 0.2
)

func newCapacityPlanner(d *Daemon) *capacityPlanner {
	return &capacityPlanner{daemon: d, services: map[string]*serviceState{}}
}

// encodedDemand returns the demand of each service, in JSON, for the next lease holder.
func (c *capacityPlanner) encodedDemand() string {
	demands := map[string]float64{}
	for name, p := range c.services {
		if demand := p.estimatedDemand(); demand >= 0 {
			demands[name] = math.Round(demand*10) / 10
		}
	}
	encodedDemand, err := json.Marshal(demands)
	if err != nil {
		c.daemon.leader.log("Demand can't be encoded.", "Error", err.Error())
		return ""
	}
	return string(encodedDemand)
}

// restoreDemand loads the demand that the previous lease holder recorded.
func (c *capacityPlanner) restoreDemand(note string) {
	for _, p := range c.services {
		// The orders that other lease holders have sent meanwhile are unknown.
		p.orderHistory = scale.State{}
	}
	if note == "" {
		return
	}
	demands := map[string]float64{}
	if err := json.Unmarshal([]byte(note), &demands); err != nil {
		c.daemon.leader.log("Recorded demand can't be decoded.", "Note", note, "Error", err.Error())
		return
	}
	for name, demand := range demands {
		if c.services[name] == nil {
			c.services[name] = &serviceState{}
		}
		c.services[name].inheritedDemand = demand
	}
}

// estimatedDemand returns the demand that this daemon has seen itself, or else the one that the
// previous lease holder recorded. It is negative if neither is known.
func (p *serviceState) estimatedDemand() float64 {
	if own := p.demand.Endpoints(); own >= 0 {
		return own
	}
	if p.inheritedDemand > 0 {
		return p.inheritedDemand
	}
	return -1
}

// demandWithLimits returns the demand plus what the limited endpoints can't take of their equal part of it. It is
// negative if the demand is not known.
func (p *serviceState) demandWithLimits() float64 {
	demand := p.estimatedDemand()
	ready := 0
	for _, count := range p.ready {
		ready += count
	}
	if demand < 0 || ready == 0 {
		return demand
	}
	part := demand / float64(ready)
	for _, capacity := range p.limited {
		demand += max(0, part-capacity)
	}
	return demand
}

// updateDemand updates the demand of each service and reports whether a plan is due. Each hub calls
// it, so that a new lease holder knows the demand.
func (c *capacityPlanner) updateDemand() bool {
	d := c.daemon
	now := d.clock.now()
	if now.Sub(c.updatedAt) < planInterval {
		return false
	}
	c.updatedAt = now
	for name, service := range d.tables.currentConfig().Services {
		if service.Scaling == nil {
			continue
		}
		p := c.services[name]
		if p == nil {
			p = &serviceState{}
			c.services[name] = p
		}
		var work float64
		p.ready, work, p.limited = d.tables.serviceState(name, now)
		p.speeds = d.tables.kindSpeeds(name, now)
		bootTime := time.Duration(0)
		if p.speeds != nil {
			bootTime = service.Scaling.BootTime
		}
		p.demand = p.demand.Holding(bootTime).With(work, now)
		view := p.view(*service.Scaling, now)
		p.share = p.share.With(work, float64(view.Ordered())*view.MeanSpeed(), now)
	}
	return true
}

// plan computes the plan of each service and sends its orders.
func (c *capacityPlanner) plan(ctx context.Context) {
	d := c.daemon
	now := d.clock.now()
	for name, service := range d.tables.currentConfig().Services {
		p := c.services[name]
		if service.Scaling == nil || p == nil {
			continue
		}
		view := p.view(*service.Scaling, now)
		view.DiscoveryComplete, view.Evacuated = d.tables.settled(now), d.tables.evacuated()
		plan := scale.Make(view)
		c.reportShare(name, p, view)
		p.orderHistory = plan.State
		for _, o := range plan.Orders {
			p.orderHistory = c.sendOrder(ctx, name, o, plan, p)
		}
	}
}

// view returns the input of a plan.
func (p *serviceState) view(scaling setup.Scaling, now time.Time) scale.View {
	return scale.View{
		Scaling: scaling, Ready: p.ready, Speeds: p.speeds, Demand: p.demandWithLimits(), Hold: p.demand.Hold(planInterval),
		State: p.orderHistory, Now: now,
	}
}

// reportShare sets the gauge of the share of the ordered engine time that was used, and logs it now and then.
func (c *capacityPlanner) reportShare(service string, p *serviceState, view scale.View) {
	used, ordered, known := p.share.Seconds()
	if !known || ordered <= 0 {
		return
	}
	c.daemon.meters.setGauge("EngineTime.UsedPercent."+service, int64(math.Round(100*used/ordered)))
	if view.Now.Sub(p.loggedAt) < shareInterval {
		return
	}
	p.loggedAt = view.Now
	c.daemon.leader.log("Engine time used.", "Service", service, "Share", round(used/ordered), "UsedSeconds", round(used),
		"OrderedSeconds", round(ordered), "MeanSpeed", round(view.MeanSpeed()), "HoldMilliseconds", view.Hold.Milliseconds())
}

// sendOrder sends an order and returns the order history with it.
func (c *capacityPlanner) sendOrder(ctx context.Context, service string, o scale.Order, plan scale.Plan, p *serviceState) scale.State {
	d := c.daemon
	ctx, cancel, fence := d.leader.call(ctx)
	defer cancel()
	if fence == 0 {
		return p.orderHistory
	}
	err := d.cloud.OrderEndpoints(ctx, HeldLease{Holder: d.settings.Name, Fence: fence}, EndpointOrder{
		Service: service, DataCentre: o.DataCentre, Count: o.Count, Reclaimable: o.Reclaimable,
	})
	now := d.clock.now()
	fields := []any{
		"Service", service, "DataCentre", o.DataCentre, "Reclaimable", o.Reclaimable, "Count", o.Count, "Fence", fence,
		"Demand", p.estimatedDemand(), "Limited", len(p.limited), "Held", plan.TargetTotal, "Base", plan.TargetOnDemand, "Firm", plan.TargetFallback,
	}
	if err != nil {
		d.meters.count("Orders.Refused")
		d.leader.log("Endpoint order failed.", append(fields, "None", errors.Is(err, ErrNoneAvailable), "Error", err.Error())...)
		return p.orderHistory.WithRefused(o, now)
	}
	d.meters.count("Orders.Sent")
	d.leader.log("Endpoints ordered.", fields...)
	return p.orderHistory.WithSent(o, now)
}

// serviceState returns the number of ready endpoints of a service by kind outside evacuated data centres, the engine
// time that all daemons have placed there, in seconds, and the capacity of those endpoints that limit their requests.
func (t *tables) serviceState(service string, now time.Time) (ready map[scale.Kind]int, work float64, limited []float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refresh(now)
	ready = map[scale.Kind]int{}
	for _, e := range t.endpoints {
		if e.Service == service && t.available(e) {
			ready[scale.Kind{DataCentre: e.DataCentre, Reclaimable: e.Reclaimable}]++
		}
	}
	work = (t.work[service] + t.peerWork[service] + t.centreWork[service]) / 1000
	return ready, work, t.limitedCapacity(service)
}

// kindSpeeds returns the sums of the speeds of a service's available endpoints by kind, as multiples of the usual speed, or nil
// if they don't differ. Endpoints whose speed is not known count with the mean of the others.
func (t *tables) kindSpeeds(service string, now time.Time) map[scale.Kind]float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refresh(now)
	compared := t.speeds.compared[service]
	if !compared.Differ {
		return nil
	}
	mean := compared.MeanSpeed()
	sums := map[scale.Kind]float64{}
	for _, e := range t.endpoints {
		if e.Service != service || !t.available(e) {
			continue
		}
		speed := mean
		if _, known := compared.Logs[t.speeds.keys[e.ID]]; known {
			speed = t.speeds.factor(e)
		}
		sums[scale.Kind{DataCentre: e.DataCentre, Reclaimable: e.Reclaimable}] += speed
	}
	return sums
}

// settled reports whether all live endpoints are known, by the time since they were first listed.
func (t *tables) settled(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.listed && now.Sub(t.listedAt) > settleTime
}

// engineTimeMS returns the engine time that a request takes, in milliseconds. On an engine with few
// slots the limit is the request's slot rather than the shared steps.
func engineTimeMS(r choice.Request, uncached, slots int) float64 {
	token := sharedTokenMS
	if slots > 0 {
		token = max(token, r.Pace.TokenMS/float64(slots))
	}
	return float64(uncached)/r.Pace.PrefillPerMS + float64(r.Answer)*token
}
