// Package homes decides in which data centres a request may be served, by the regions that its route and its client
// account allow (data residency). The load is a fleet in a few regions whose operators change these lists while requests
// run: the decision is made again for each endpoint, with the lists of that moment.
//
// # Usage
//
//	regions := homes.New("a", "north", map[string]string{"b": "south"})
//	rule := homes.Rule{Route: route.AllowedRegions, Account: account.AllowedRegions}
//	if regions.Allow(rule, endpoint.DataCentre) { ... }
//
// The package has no state and no clock.
package homes

import (
	"maps"
	"slices"
)

type (
	// Regions maps data centres to their regions. It is immutable.
	Regions struct {
		byCentre map[string]string
	}

	// Rule holds the regions that the route and the client account of a request allow. An empty list allows all.
	Rule struct {
		Route, Account []string
	}
)

// New returns the regions of some data centres. The own data centre is in the own region, unless byCentre has another
// one; an empty region is not known.
func New(ownCentre, ownRegion string, byCentre map[string]string) Regions {
	all := map[string]string{ownCentre: ownRegion}
	maps.Copy(all, byCentre)
	return Regions{byCentre: all}
}

// Allow reports whether a request with the rule may be served in a data centre. One whose region is not known is
// allowed only without lists.
func (r Regions) Allow(rule Rule, dataCentre string) bool {
	if len(rule.Route)+len(rule.Account) == 0 {
		return true
	}
	region := r.byCentre[dataCentre]
	for _, list := range [][]string{rule.Route, rule.Account} {
		if len(list) > 0 && (region == "" || !slices.Contains(list, region)) {
			return false
		}
	}
	return true
}
