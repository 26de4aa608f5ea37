package main

import (
	"encoding/json"
	"errors"
	"time"
)

const (
	// cutTime is the length of the cut of the machine that holds the duty, thawTime the excuse after its end.
	cutTime  = 12 * time.Second
	thawTime = 300 * time.Millisecond
	// orderPause is the time between two rounds of orders that the platform can't meet, cutLead how long before the next
	// round the cut begins.
	orderPause = 3 * time.Second
	cutLead    = 600 * time.Millisecond
	settleTime = 12 * time.Second
	afterTime  = 6 * time.Second
)

// runStale cuts the machine whose daemon orders replicas off from the platform, while the platform has no replicas to
// give. The rule: no call arrives with a lower fence number than was seen before for its duty and subject, later than
// thawTime after the link has healed.
func runStale(tb *testbed) (bool, error) {
	scaling := map[string]any{"min": 1, "max": 8, "boot_s": 4.0, "spot_price": 0.18, "zone_prices": map[string]float64{"oslo-a": 0.85, "oslo-b": 1.2, "oslo-c": 1.0}}
	if err := tb.start(map[string]any{"scaling": scaling}); err != nil {
		return false, err
	}
	tb.cloud.none = true
	store, err := tb.serve(tb.store)
	if err != nil {
		return false, err
	}
	api, err := tb.serve(tb.cloud)
	if err != nil {
		return false, err
	}
	links := map[string][]*link{}
	err = tb.startDaemons(func(name string) (string, string, error) {
		var addresses []string
		for _, target := range []string{store, api} {
			l, err := newLink(target)
			if err != nil {
				return "", "", err
			}
			tb.links, links[name] = append(tb.links, l), append(links[name], l)
			addresses = append(addresses, l.address())
		}
		return addresses[0], addresses[1], nil
	})
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	last, ok := tb.cloud.last()
	if !ok {
		return false, errors.New("no replicas were ordered")
	}
	// The cut begins shortly before the next round of orders.
	time.Sleep(time.Until(nextRound(last.at)))
	last, _ = tb.cloud.last()
	healedAt := time.Time{}
	if tb.trouble {
		tb.record.line("the machine of %s is cut off from the platform", last.holder)
		for _, l := range links[last.holder] {
			l.cut()
		}
	}
	time.Sleep(cutTime)
	if tb.trouble {
		tb.record.line("the cut has ended")
		healedAt = time.Now()
		for _, l := range links[last.holder] {
			l.heal()
		}
	}
	time.Sleep(afterTime)
	return tb.checkFences(healedAt), nil
}

// nextRound returns when to cut: cutLead before the first round of orders that has not begun yet.
func nextRound(last time.Time) time.Time {
	at := last.Add(orderPause - cutLead)
	for time.Until(at) <= 0 {
		at = at.Add(orderPause)
	}
	return at
}

// checkFences reports whether a call arrived with a lower fence number than one before it.
func (tb *testbed) checkFences(healedAt time.Time) bool {
	type subject struct{ path, service, zone string }
	highest := map[subject]dutyCall{}
	broken := false
	for _, call := range tb.cloud.all() {
		var order struct {
			Service string `json:"service"`
			Zone    string `json:"zone"`
		}
		if call.path == names["capacity"] {
			if json.Unmarshal([]byte(call.body), &order) != nil {
				continue
			}
		}
		s := subject{call.path, order.Service, order.Zone}
		before, seen := highest[s]
		if !seen || call.fence >= before.fence {
			highest[s] = call
			continue
		}
		excused := !healedAt.IsZero() && call.at.Sub(healedAt) <= thawTime
		tb.record.say("%s %s of %s with fence %d came %v after one of %s with fence %d, %v after the cut; excused: %v", call.path, call.body, call.holder,
			call.fence, call.at.Sub(before.at).Round(time.Millisecond), before.holder, before.fence, call.at.Sub(healedAt).Round(time.Millisecond), excused)
		broken = broken || !excused
	}
	return broken
}
