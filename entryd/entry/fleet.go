package entry

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"

	"lentilstage.dev/decide/fleet"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/client"
	"lentilstage.dev/wire/wire"
)

type (
	// fleetWorker reads the cloud's instances and prices, plans which instances to run and sends
	// the orders of the slots assigned to this daemon. Only the goroutine of run uses its state.
	fleetWorker struct {
		base     *Base
		logger   logr.Logger
		settings fleet.Settings
		memory   fleet.State
		demand   fleet.Demand
		// emitted are the plans last emitted on the timeline, by version.
		emitted map[string]fleet.VersionPlan

		// samples returns the current load of each version.
		samples func() []fleet.LoadSample
		// versions returns the version rows of the table, or false if there is no table yet.
		versions func() ([]table.Version, bool)
		// evacuated returns the evacuated data centres.
		evacuated func() []string
		// daemons returns the names of the live daemons.
		daemons func() []string

		listInstances func(deadline time.Time) (wire.InstanceList, error)
		readPrices    func(deadline time.Time) (wire.Prices, error)
		start         func(deadline time.Time, order wire.StartOrder) (wire.Instance, error)
		end           func(deadline time.Time, id string) error
	}
)

const (
	// fleetTimeout bounds one call to the cloud API.
	fleetTimeout = 3 * time.Second
	// fleetPlanLifetime is the age after which the remaining orders of a plan are not sent.
	fleetPlanLifetime = 15 * time.Second
	// maxPlansPerInterval bounds the plans of one interval. Another plan is made at once if the cloud
	// answers a start order with an instance that has ended, which uses up one generation.
	maxPlansPerInterval = 16
)

func newFleetWorker(b *Base, c *control, m *members, e *endpoints) *fleetWorker {
	cloud := client.Cloud{Address: b.Settings.Cloud}
	settings := fleet.DefaultSettings(time.Duration(b.Settings.FleetStartSeconds) * time.Second)
	settings.Grace = time.Duration(b.Settings.FleetGraceSeconds) * time.Second
	settings.OrphanAfter = time.Duration(b.Settings.FleetOrphanSeconds) * time.Second
	settings.Reserve = float64(b.Settings.FleetReservePercent) / 100
	settings.MaxStarting = b.Settings.FleetMaxStarting
	demand := fleet.DefaultDemandSettings()
	demand.Window = time.Duration(b.Settings.FleetWindowMinutes) * time.Minute
	demand.Decay = 2 * demand.Window
	return &fleetWorker{
		base:     b,
		logger:   b.Logger.WithName("fleet"),
		settings: settings,
		demand:   fleet.NewDemand(demand, b.Now()),
		emitted:  make(map[string]fleet.VersionPlan),
		samples: func() []fleet.LoadSample {
			return fleet.SampleLoads(b.Now(), e.loads(), float64(b.Settings.FleetPerReplica))
		},
		versions: func() ([]table.Version, bool) {
			return c.State().Table().Versions, c.HasTable()
		},
		evacuated: func() []string { return c.State().EvacuatedCentres() },
		daemons: func() []string {
			names := []string{b.Settings.Name}
			for _, d := range m.daemons() {
				if d.State == wire.Live {
					names = append(names, d.ID)
				}
			}
			return names
		},
		listInstances: cloud.Instances,
		readPrices:    cloud.Prices,
		start:         cloud.Start,
		end:           cloud.End,
	}
}

// enabled reports whether the settings enable the worker.
func (w *fleetWorker) enabled() bool {
	return w.base.Settings.Fleet && w.base.Settings.Cloud != ""
}

// run makes plans at the interval until the context ends.
func (w *fleetWorker) run(ctx context.Context) error {
	interval := time.Duration(w.base.Settings.FleetIntervalMilliseconds) * time.Millisecond
	return runEvery(ctx, interval, func() {
		for range maxPlansPerInterval {
			if ctx.Err() != nil || !w.planOnce(ctx) {
				return
			}
		}
	})
}

// planOnce makes one plan and sends its orders. It reports whether another plan is due at once.
func (w *fleetWorker) planOnce(ctx context.Context) bool {
	rows, known := w.versions()
	if !known {
		return false
	}
	list, err := w.listInstances(w.base.Now().Add(fleetTimeout))
	if err != nil {
		w.logger.V(1).Info("Cloud instance read failed.", "error", err.Error())
		return false
	}
	prices, err := w.readPrices(w.base.Now().Add(fleetTimeout))
	if err != nil {
		w.logger.V(1).Info("Price read failed.", "error", err.Error())
		return false
	}
	now := w.base.Now()
	w.demand = w.demand.With(w.samples()...)
	view := fleet.View{
		Time: now, Owner: w.base.Settings.FleetOwner, Daemons: w.daemons(), Prices: prices.Prices,
		Instances: list.Instances, State: w.memory, Settings: w.settings, Evacuated: w.evacuated(),
	}
	for _, row := range rows {
		view.Versions = append(view.Versions, fleet.VersionDemand{
			Row: row, Replicas: w.demand.Replicas(row.Name, now), CoversWindow: w.demand.CoversWindow(now),
		})
	}
	plan := fleet.Make(view)
	w.memory = plan.State
	w.emitChanges(plan)
	return w.send(ctx, plan, now.Add(fleetPlanLifetime))
}

// emitChanges emits an event for each version whose plan has changed.
func (w *fleetWorker) emitChanges(plan fleet.Plan) {
	for _, v := range plan.Versions {
		old := w.emitted[v.Version]
		if old.Needed == v.Needed && old.Planned == v.Planned && old.LargestLoss == v.LargestLoss && old.ReserveMet == v.ReserveMet {
			continue
		}
		w.emitted[v.Version] = v
		numbers := append([]event.Number{
			{Name: "ReserveMet", Value: boolToFloat(v.ReserveMet)},
			{Name: "CostPerHour", Value: plan.CostPerHour},
			{Name: "PlannedPerHour", Value: plan.PlannedPerHour},
		}, v.Numbers...)
		w.base.emit(event.Event{Kind: "FleetPlan", Version: v.Version, Reason: v.Reason, Numbers: numbers})
	}
}

// send sends this daemon's orders until the deadline. It reports whether an order was answered with
// an instance that has ended.
func (w *fleetWorker) send(ctx context.Context, plan fleet.Plan, deadline time.Time) bool {
	again := false
	for _, s := range plan.Starts {
		if s.Slot.Sender != w.base.Settings.Name {
			continue
		}
		if ctx.Err() != nil || w.base.Now().After(deadline) {
			return false
		}
		again = w.sendStart(s) || again
	}
	for _, e := range plan.Ends {
		if e.Sender != w.base.Settings.Name {
			continue
		}
		if ctx.Err() != nil || w.base.Now().After(deadline) {
			return false
		}
		w.sendEnd(e)
	}
	return again
}

// sendStart sends a start order. An unknown outcome needs no handling: while the list does not
// contain the instance, the next plan repeats the order with the same client token.
func (w *fleetWorker) sendStart(s fleet.Start) bool {
	order := event.Event{Kind: "StartOrdered", Version: s.Order.Version, Reason: s.Reason, Request: s.Order.ClientToken, Numbers: s.Numbers}
	w.base.emit(order)
	instance, err := w.start(w.base.Now().Add(fleetTimeout), s.Order)
	outcome := event.Event{Kind: "StartAnswered", Version: s.Order.Version, Request: s.Order.ClientToken, Endpoint: instance.ID}
	again := false
	var status *client.StatusError
	switch {
	case errors.As(err, &status):
		until := w.base.Now().Add(w.settings.RefusalBackoff)
		w.memory = w.memory.WithRefused(s.Slot.Kind, until)
		outcome.Kind = "StartRefused"
		outcome.Reason = string(s.Slot.Kind.Market) + " in " + s.Slot.Kind.DataCentre + " is left out until " + until.UTC().Format(time.RFC3339) + ": " + err.Error()
	case err != nil:
		outcome.Kind = "StartUnknown"
		outcome.Reason = "the order may have taken effect: " + err.Error()
	default:
		w.memory, again = w.memory.WithAnswer(w.base.Settings.FleetOwner, instance)
		outcome.Reason = string(instance.Market) + " in " + instance.DataCentre + " is " + string(instance.State)
		outcome.Numbers = []event.Number{{Name: "PricePerHour", Value: instance.PricePerHour}}
	}
	w.base.emit(outcome)
	w.logger.Info("Sent a start order.", "outcome", outcome.Kind, "token", s.Order.ClientToken, "instance", instance.ID, "reason", outcome.Reason)
	return again
}

// sendEnd sends an end order. End orders are safe to repeat.
func (w *fleetWorker) sendEnd(e fleet.End) {
	w.base.emit(event.Event{Kind: "EndOrdered", Version: e.Version, Endpoint: e.Order.ID, Reason: string(e.Cause) + ": " + e.Reason, Numbers: e.Numbers})
	outcome := event.Event{Kind: "EndAnswered", Version: e.Version, Endpoint: e.Order.ID}
	if err := w.end(w.base.Now().Add(fleetTimeout), e.Order.ID); err != nil {
		outcome.Kind, outcome.Reason = "EndUnknown", err.Error()
	}
	w.base.emit(outcome)
	w.logger.Info("Sent an end order.", "outcome", outcome.Kind, "instance", e.Order.ID, "cause", e.Cause)
}
