package relay

import (
	"testing"
	"time"
)

// TestTotalsLeaveTheReceiverOut guards against a daemon that counts its own loads, use or answers
// twice, once by itself and once in what its hub tells.
func TestTotalsLeaveTheReceiverOut(t *testing.T) {
	now := time.Unix(1000, 0)
	hub := newTables(Settings{Name: "entry-1"}, "first")
	tell := func(name string, factor int64) {
		n := int(factor)
		hub.heard(message{
			Daemon: name, Incarnation: "1", Loads: map[uint32]load{7: {Requests: n, Reading: 10 * n, Memory: 100 * n}},
			Used: map[string]int64{"counter": factor}, Outcomes: map[string]outcomes{"pool": {Target: "v2", Good: factor, Bad: factor}},
		}, now)
	}
	tell("entry-2", 1)
	tell("entry-3", 2)
	m := hub.sums(now, false).without("entry-3")
	if got, want := m.Loads[7], (load{Requests: 1, Reading: 10, Memory: 100}); got != want {
		t.Errorf("loads %+v, want %+v", got, want)
	}
	if got := m.Used["counter"]; got != 1 {
		t.Errorf("used %d, want 1", got)
	}
	if got, want := m.Outcomes["pool"], (outcomes{Target: "v2", Good: 1, Bad: 1}); got != want {
		t.Errorf("outcomes %+v, want %+v", got, want)
	}
}
