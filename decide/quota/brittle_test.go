package quota

import (
	"fmt"
	"testing"

	"lentilstage.dev/decide/cases"
)

type roomCase struct {
	Name  string `yaml:"Name"`
	Load  int    `yaml:"Load"`
	Own   int    `yaml:"Own"`
	Share int    `yaml:"Share"`
	Want  Room   `yaml:"Want"`
}

// TestRoomFor guards against requests that a brittle endpoint has to turn away, and against room that nobody uses.
func TestRoomFor(t *testing.T) {
	for _, c := range cases.Load[roomCase](t, "testdata/rooms.yaml") {
		if got := RoomFor(8, c.Load, c.Own, c.Share); got != c.Want {
			t.Errorf("%s: room %d, want %d", c.Name, got, c.Want)
		}
	}
}

// TestSlotShares guards against daemons that together use more slots than an endpoint has, or fewer.
func TestSlotShares(t *testing.T) {
	for _, count := range []int{1, 3, 8, 16, 91} {
		var daemons []string
		for i := range count {
			daemons = append(daemons, fmt.Sprintf("entry-%d", i))
		}
		sum := 0
		for _, d := range daemons {
			sum += SlotShare(16, "i-1", d, daemons)
		}
		if sum != 16 {
			t.Errorf("%d daemons share %d slots, want 16", count, sum)
		}
	}
}
