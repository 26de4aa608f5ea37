package relay

import (
	"fmt"
	"testing"
	"time"

	"lentilstage.dev/decide/hubs"
)

// TestMemberReadRateIsBounded guards against reads of the daemons' records whose bytes per second
// grow with the number of daemons: with 390 daemons, one read of all records is 78 KB.
func TestMemberReadRateIsBounded(t *testing.T) {
	const recordBytes, bound = 200, 300
	for _, count := range []int{7, 83, 390} {
		m := newMembers(Settings{Name: "self"}, "1")
		for i := range count {
			m.use(func(s *hubs.State) { s.List(hubs.Member{Name: fmt.Sprint(i)}, time.Unix(1000, 0)) })
		}
		if got := float64(count*recordBytes) / m.readInterval().Seconds(); got > bound {
			t.Errorf("%d daemons: %.0f B/s, want at most %d", count, got, bound)
		}
	}
}
