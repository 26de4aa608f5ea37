// Package fleet plans which instances to hold for each endpoint version, by data centre,
// class and market.
//
// A plan consists of the numbered slots of each version; a slot holds one instance. The client
// token of a start order contains owner, version, slot and generation, but no data centre or
// market, so daemons whose plans differ still can't start two instances for one slot. A slot
// moves on to its next generation only after the cloud has reported the instance of the current
// generation as leaving or ended. An instance that is missing from a list may still be running.
//
// # Usage
//
//	demand := fleet.NewDemand(fleet.DefaultDemandSettings(), now)
//	demand = demand.With(samples...)
//	plan := fleet.Make(fleet.View{Time: now, Owner: owner, Versions: versions, State: state})
//	state = plan.State
//	for _, s := range plan.Starts {
//		if s.Slot.Sender == self {
//			instance := send(s.Order)
//			state, _ = state.WithAnswer(owner, instance)
//		}
//	}
//
// The package reads no clock; the view and the samples carry the time.
package fleet

import (
	"time"

	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

type (
	// Settings are the parameters of the planner.
	Settings struct {
		// Reserve is the fraction of the needed replicas, from 0 to 1, that must remain after
		// the loss of all reclaimable instances of any one data centre.
		Reserve float64
		// Grace is how long an instance must be surplus before it is ended.
		Grace time.Duration
		// OrphanAfter is how long an instance with our owner tag may exist without a slot.
		OrphanAfter time.Duration
		// RefusalBackoff is how long a kind of instance is excluded from plans after a refused start.
		RefusalBackoff time.Duration
		// HeldPriceFactor is the factor on the price of a held instance when it is compared with
		// a new one. A factor below 1 avoids replacements for small price differences.
		HeldPriceFactor float64
		// StartTime is the duration of an instance's cold start.
		StartTime time.Duration
		// MaxStarting is the maximum number of instances that start at the same time, since
		// the weight store is rate limited; 0 means no limit.
		MaxStarting int
	}

	// VersionDemand is the table row of a version with its demand.
	VersionDemand struct {
		Row table.Version
		// Replicas is the number of replicas to plan for.
		Replicas float64
		// CoversWindow says that the demand covers a whole window. Otherwise no surplus instance
		// is ended, since a restarted daemon may have missed the last peak.
		CoversWindow bool
	}

	// View is the input of a plan. Make doesn't modify it.
	View struct {
		Time time.Time
		// Owner is the owner tag of our instances. Instances of other owners are ignored.
		Owner string
		// Daemons are the names of the live daemons.
		Daemons  []string
		Versions []VersionDemand
		Prices   []wire.Price
		// Evacuated are the data centres whose instances get no requests and no orders. What they carried is planned
		// elsewhere, as far as MaxReplicas leaves slots.
		Evacuated []string
		// Instances are all instances on the cloud's list.
		Instances []wire.Instance
		State     State
		Settings  Settings
	}

	// Kind is a combination of data centre, class and market in which instances are ordered.
	Kind struct {
		DataCentre string
		Class      string
		Market     wire.Market
	}

	// Slot is a numbered slot of a version in the plan.
	Slot struct {
		Version    string
		Number     int
		Generation int
		Kind       Kind
		// Instance is the ID of the held instance; empty if the slot has none yet.
		Instance     string
		PricePerHour float64
		// Sender is the daemon that sends the slot's orders.
		Sender string
	}

	// Start is a start order with its reason.
	Start struct {
		Slot    Slot
		Order   wire.StartOrder
		Reason  string
		Numbers []event.Number
	}

	// Cause is the cause for which an instance is ended.
	Cause string

	// End is an end order with its reason.
	End struct {
		Order   wire.EndOrder
		Version string
		Cause   Cause
		Sender  string
		Reason  string
		Numbers []event.Number
	}

	// VersionPlan summarises the plan of one version.
	VersionPlan struct {
		Version string
		// Needed is the demand in whole replicas, limited to the minimum and maximum of the row.
		Needed int
		// Planned is the number of slots; Held is the number of slots with an instance.
		Planned, Held int
		// LargestLoss is the largest number of planned reclaimable instances in one data centre.
		LargestLoss int
		// ReserveMet says that the needed replicas are planned and that the reserve remains
		// after LargestLoss.
		ReserveMet bool
		Reason     string
		Numbers    []event.Number
	}

	// Plan is the result of Make.
	Plan struct {
		Slots    []Slot
		Starts   []Start
		Ends     []End
		Versions []VersionPlan
		// CostPerHour is the hourly price of all our instances on the list; PlannedPerHour is
		// the hourly price of the slots.
		CostPerHour    float64
		PlannedPerHour float64
		// State is passed in the next view.
		State State
	}
)

const (
	// Surplus means that the plan does not need the instance.
	Surplus Cause = "Surplus"
	// Orphan means that no slot owns the instance.
	Orphan Cause = "Orphan"
	// Stuck means that the instance did not become live in time.
	Stuck Cause = "Stuck"

	// stuckStarts is the number of StartTimes after which an instance that is still starting is
	// ended.
	stuckStarts = 4
)

// DefaultSettings returns the settings for a cold start of the given duration. Grace is at least
// two cold starts, because ending an instance too early costs a cold start. With a reserve of
// just under two thirds, the plan needs at most one instance beyond the demand when the
// reclaimable ones are spread evenly over three data centres.
func DefaultSettings(startTime time.Duration) Settings {
	return Settings{
		Reserve:         0.66,
		Grace:           max(10*time.Minute, 2*startTime),
		OrphanAfter:     10 * time.Minute,
		RefusalBackoff:  2 * time.Minute,
		HeldPriceFactor: 0.7,
		StartTime:       startTime,
		MaxStarting:     8,
	}
}
