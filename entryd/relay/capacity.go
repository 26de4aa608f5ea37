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

// capacity orders endpoints while this daemon holds the duty. It belongs to the duty's
// goroutine.
type capacity struct {
	daemon   *Daemon
	services map[string]*fleet
	lookedAt time.Time
}

// fleet is the plan's state for one service.
type fleet struct {
	demand scale.Demand
	ready  map[scale.Kind]int
	memory scale.Memory
	// noted is the demand that the last holder has noted; 0 without one.
	noted float64
}

const (
	// planInterval is the pause between two plans; a reclaim notice leaves about two seconds.
	planInterval = 400 * time.Millisecond
	// settlePause is how long endpoints may take to be known: they register anew about once a
	// second, and some only seconds after the daemons start.
	settlePause = 3 * time.Second
	// sharedTokenMS is the time of an engine that one generated token takes, shared by the
	// requests that run beside it; a busy batch of 15 takes about 3 ms a step.
	sharedTokenMS = 0.2
)

func newCapacity(d *Daemon) *capacity {
	return &capacity{daemon: d, services: map[string]*fleet{}}
}

// note returns the demand of each service for the next holder of the duty.
func (c *capacity) note() string {
	demands := map[string]float64{}
	for name, f := range c.services {
		if demand := f.known(); demand >= 0 {
			demands[name] = math.Round(demand*10) / 10
		}
	}
	note, err := json.Marshal(demands)
	if err != nil {
		c.daemon.duty.log("Note can't be encoded.", "Error", err.Error())
		return ""
	}
	return string(note)
}

// takeOver starts from the demands that the last holder has noted.
func (c *capacity) takeOver(note string) {
	for _, f := range c.services {
		// What was ordered meanwhile is not known.
		f.memory = scale.Memory{}
	}
	if note == "" {
		return
	}
	demands := map[string]float64{}
	if err := json.Unmarshal([]byte(note), &demands); err != nil {
		c.daemon.duty.log("Note can't be read.", "Note", note, "Error", err.Error())
		return
	}
	for name, demand := range demands {
		if c.services[name] == nil {
			c.services[name] = &fleet{}
		}
		c.services[name].noted = demand
	}
}

// known returns the demand that the daemon has seen itself, or else the one that the last
// holder noted; it is negative without either.
func (f *fleet) known() float64 {
	if own := f.demand.Endpoints(); own >= 0 {
		return own
	}
	if f.noted > 0 {
		return f.noted
	}
	return -1
}

// look follows the demand of each service. Each hub does, so that one that takes the duty
// over knows it.
func (c *capacity) look() bool {
	d := c.daemon
	now := d.clock.now()
	if now.Sub(c.lookedAt) < planInterval {
		return false
	}
	c.lookedAt = now
	for name, service := range d.tables.current().Services {
		if service.Scaling == nil {
			continue
		}
		f := c.services[name]
		if f == nil {
			f = &fleet{}
			c.services[name] = f
		}
		var work float64
		f.ready, work = d.tables.fleet(name, now)
		f.demand = f.demand.With(work, now)
	}
	return true
}

// plan makes the plan of each service and sends its orders.
func (c *capacity) plan(ctx context.Context) {
	d := c.daemon
	now := d.clock.now()
	for name, service := range d.tables.current().Services {
		f := c.services[name]
		if service.Scaling == nil || f == nil {
			continue
		}
		plan := scale.Make(scale.View{
			Scaling: *service.Scaling, Ready: f.ready, Demand: f.known(), Memory: f.memory, Now: now,
			Settled: d.tables.settled(now),
		})
		f.memory = plan.Memory
		for _, o := range plan.Orders {
			f.memory = c.send(ctx, name, o, plan, f)
		}
	}
}

// send sends an order and returns the memory after it.
func (c *capacity) send(ctx context.Context, service string, o scale.Order, plan scale.Plan, f *fleet) scale.Memory {
	d := c.daemon
	fence := d.duty.fence()
	if fence == 0 {
		return f.memory
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := d.cloud.OrderEndpoints(ctx, Mandate{Holder: d.settings.Name, Fence: fence}, Order{
		Service: service, DataCentre: o.DataCentre, Count: o.Count, Reclaimable: o.Reclaimable,
	})
	now := d.clock.now()
	fields := []any{
		"Service", service, "DataCentre", o.DataCentre, "Reclaimable", o.Reclaimable, "Count", o.Count, "Fence", fence,
		"Demand", f.known(), "Held", plan.Held, "Base", plan.Base, "Firm", plan.Firm,
	}
	if err != nil {
		d.meters.count("Orders.Refused")
		d.duty.log("Endpoints not ordered.", append(fields, "None", errors.Is(err, ErrNoneAvailable), "Error", err.Error())...)
		return f.memory.WithRefused(o, now)
	}
	d.meters.count("Orders.Sent")
	d.duty.log("Endpoints ordered.", fields...)
	return f.memory.WithSent(o, now)
}

// fleet returns the ready endpoints of a service by kind, and the work that all daemons have
// placed there, in seconds of an endpoint.
func (t *tables) fleet(service string, now time.Time) (map[scale.Kind]int, float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refresh(now)
	ready := map[scale.Kind]int{}
	for _, e := range t.list {
		if e.Service == service && e.State == setup.Ready {
			ready[scale.Kind{DataCentre: e.DataCentre, Reclaimable: e.Reclaimable}]++
		}
	}
	return ready, (t.work[service] + t.placed[service]) / 1000
}

// settled reports whether the endpoints have been listed for long enough that all that live
// are known.
func (t *tables) settled(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.listed && now.Sub(t.listedAt) > settlePause
}

// workOf returns the time of an engine that a request takes, in milliseconds. With few slots a
// request's slot binds rather than the steps that it shares.
func workOf(r choice.Request, uncached, slots int) float64 {
	token := sharedTokenMS
	if slots > 0 {
		token = max(token, choice.AnswerTokenMS/float64(slots))
	}
	return float64(uncached)/choice.ReadPerMS + float64(r.Answer)*token
}
