// Package place decides which engines are ordered to load an endpoint version.
//
// Orders only load versions and never unload them. An engine that ignores fencing numbers may carry
// out an outdated order: an extra loaded version does no harm, but a missing one does.
//
// # Usage
//
//	targets := place.Targets(place.Inputs{
//		Version: row, Wanted: place.Wanted(row, share, engines), Engines: engines, Now: now,
//	})
//
// The package has no clock and no state.
package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lentilstage.dev/domain/table"
)

type (
	// Engine is a live engine.
	Engine struct {
		Instance   string
		DataCentre string
		Class      string
		Versions   []string
		// OrderedUntil is the time until which an earlier order to load the version counts as pending;
		// zero means no order.
		OrderedUntil time.Time
	}

	// Inputs holds the data that the decision is based on.
	Inputs struct {
		Version table.Version
		// Wanted is the number of engines that should have the version.
		Wanted  int
		Engines []Engine
		Now     time.Time
	}
)

// headroomFactor is the ratio of a version's share of the engines to its share of the traffic. The extra
// engines have the version loaded before the next step of its move.
const headroomFactor = 2.0

// Wanted returns the number of engines that should have a version with the given share of the traffic,
// from 0 to 1. It is at least one, and within the replica bounds of the version's row.
func Wanted(row table.Version, share float64, engines int) int {
	wanted := int(math.Ceil(float64(engines) * min(1, share*headroomFactor)))
	wanted = max(wanted, row.MinReplicas, 1)
	if row.MaxReplicas > 0 {
		wanted = min(wanted, row.MaxReplicas)
	}
	return wanted
}

// Targets returns the instances of the engines to order now, sorted. Engines in data centres with the
// fewest engines of the version are selected first.
func Targets(v Inputs) []string {
	perCentre := make(map[string]int)
	loaded := 0
	var candidates []Engine
	for _, e := range v.Engines {
		switch {
		case v.Version.Class != "" && e.Class != "" && e.Class != v.Version.Class:
		case slices.Contains(e.Versions, v.Version.Name), v.Now.Before(e.OrderedUntil):
			perCentre[e.DataCentre]++
			loaded++
		default:
			candidates = append(candidates, e)
		}
	}
	var targets []string
	for loaded < v.Wanted && len(candidates) > 0 {
		best := slices.MinFunc(candidates, func(a, b Engine) int {
			return cmp.Or(
				cmp.Compare(perCentre[a.DataCentre], perCentre[b.DataCentre]),
				cmp.Compare(len(a.Versions), len(b.Versions)),
				cmp.Compare(a.Instance, b.Instance))
		})
		targets = append(targets, best.Instance)
		perCentre[best.DataCentre]++
		loaded++
		candidates = slices.DeleteFunc(candidates, func(e Engine) bool { return e.Instance == best.Instance })
	}
	slices.Sort(targets)
	return targets
}
