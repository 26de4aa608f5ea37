package relay

import (
	"fmt"
	"testing"
	"time"
)

// group is a set of daemons that greet each other.
type group struct {
	now     time.Time
	daemons []*members
	down    map[string]bool
	// blind are the daemons that the log turns away.
	blind map[string]bool
}

func newGroup(centres, each int) *group {
	g := &group{now: time.Unix(1000, 0), down: map[string]bool{}, blind: map[string]bool{}}
	for c := range centres {
		for i := range each {
			s := Settings{Name: fmt.Sprintf("entry-%d-%d", c, i), DataCentre: fmt.Sprint("centre-", c), Speed: 1, PeerListen: "a"}
			g.daemons = append(g.daemons, newMembers(s, "1"))
		}
	}
	for _, m := range g.daemons {
		for _, other := range g.daemons {
			if m != other {
				m.listed(other.self, g.now)
			}
		}
	}
	return g
}

// run lets the daemons greet each other for a time.
func (g *group) run(length time.Duration) {
	for end := g.now.Add(length); g.now.Before(end); g.now = g.now.Add(greetInterval) {
		for _, m := range g.daemons {
			for _, other := range g.daemons {
				if m != other && !g.down[m.self.Name] && !g.down[other.self.Name] {
					other.heard(m.self, g.now)
				}
			}
			m.follow(g.now)
		}
	}
}

// read lets the daemons greet each other for a time in which hubs, and those whose hub can't read the
// log, try to.
func (g *group) read(length time.Duration) {
	for end := g.now.Add(length); g.now.Before(end); {
		for _, m := range g.daemons {
			hub, own := m.follow(g.now)
			if !g.blind[m.self.Name] && (own || g.blind[hub.Name] || hub.DataCentre != m.self.DataCentre) {
				m.setOwn(m.self.holds, g.now)
			}
		}
		g.run(greetInterval)
	}
}

// check reports the daemons that do not tell the hub of each data centre their digest.
func (g *group) check(t *testing.T, when string) {
	t.Helper()
	hubs := map[string]string{}
	for _, m := range g.daemons {
		if g.down[m.self.Name] {
			continue
		}
		for centre, h := range m.hubs(g.now) {
			if g.down[h.Name] {
				t.Errorf("%s: %s takes %s for a hub, which is down", when, m.self.Name, h.Name)
			}
			if known, ok := hubs[centre]; ok && known != h.Name {
				t.Errorf("%s: %s takes %s for the hub of %s, others take %s", when, m.self.Name, h.Name, centre, known)
			}
			hubs[centre] = h.Name
		}
	}
}

// TestHubsAgree guards against daemons that take different daemons for the hub of a data
// centre, or one that is gone: the counts and loads of those that tell the wrong one are
// missing from the totals.
func TestHubsAgree(t *testing.T) {
	g := newGroup(3, 4)
	g.run(4 * time.Second)
	g.check(t, "after the start")
	for round := range 3 {
		hub := g.daemons[0].hubs(g.now)["centre-1"].Name
		g.down[hub] = true
		g.run(9 * time.Second)
		g.check(t, fmt.Sprint("after hub ", round, " went down"))
	}
	g.down = map[string]bool{}
	g.run(9 * time.Second)
	g.check(t, "after all came back")
}

// TestHolderStaysHub guards against a holder of the duty that stops, since a machine with a
// higher rank has come: the duty then has no holder for a lease's time.
func TestHolderStaysHub(t *testing.T) {
	g := newGroup(2, 3)
	holder := g.daemons[0]
	for _, m := range g.daemons[1:3] {
		if before(holder.self, m.self) {
			holder = m
		}
	}
	holder.setOwn(true, time.Time{})
	g.run(2 * time.Second)
	g.check(t, "with a holder")
	if hub := g.daemons[4].hubs(g.now)["centre-0"].Name; hub != holder.self.Name {
		t.Errorf("%s is the hub, want the holder %s", hub, holder.self.Name)
	}
	holder.setOwn(false, time.Time{})
	g.run(2 * time.Second)
	g.check(t, "without a holder")
	if hub := g.daemons[4].hubs(g.now)["centre-0"].Name; hub == holder.self.Name {
		t.Errorf("%s stays the hub though it holds nothing", hub)
	}
}

// TestBlindHubIsPassedOver guards against a hub that the log turns away and that others go on to follow:
// those of them that are turned away too get no news of endpoints that leave.
func TestBlindHubIsPassedOver(t *testing.T) {
	g := newGroup(2, 4)
	g.read(4 * time.Second)
	g.check(t, "after the start")
	hub := g.daemons[0].hubs(g.now)["centre-0"].Name
	for _, m := range g.daemons[:4] {
		// Half of the data centre's daemons are turned away, the hub among them.
		if m.self.Name == hub || m == g.daemons[0] || m == g.daemons[1] {
			g.blind[m.self.Name] = true
		}
	}
	g.read(6 * time.Second)
	g.check(t, "while the hub is turned away")
	if now := g.daemons[4].hubs(g.now)["centre-0"].Name; g.blind[now] {
		t.Errorf("%s is the hub though the log turns it away", now)
	}
	for _, m := range g.daemons[:4] {
		g.blind[m.self.Name] = true
	}
	g.read(6 * time.Second)
	for _, m := range g.daemons[:4] {
		if hub, _ := m.follow(g.now); hub.DataCentre != "centre-1" {
			t.Errorf("%s follows %s while nobody in its data centre can read the log", m.self.Name, hub.Name)
		}
	}
	// While the log answers nobody, and after its return, the first in order are hubs.
	for _, m := range g.daemons {
		g.blind[m.self.Name] = true
	}
	g.read(6 * time.Second)
	g.check(t, "while the log is away")
	clear(g.blind)
	g.read(6 * time.Second)
	g.check(t, "after the log's return")
	for _, m := range g.daemons[:4] {
		if follows, _ := m.follow(g.now); follows.DataCentre != "centre-0" {
			t.Errorf("%s follows %s though its own data centre reads the log", m.self.Name, follows.Name)
		}
	}
}

// TestReadsKeepToTheirBytes guards against reads of the daemons' records whose bytes grow with the
// number of daemons: at 390 all of them together read 78 KB each time.
func TestReadsKeepToTheirBytes(t *testing.T) {
	const recordBytes, bound = 200, 300
	for _, count := range []int{7, 83, 390} {
		m := newMembers(Settings{Name: "self"}, "1")
		for i := range count {
			m.heard(member{Name: fmt.Sprint(i)}, time.Unix(1000, 0))
		}
		if got := float64(count*recordBytes) / m.readInterval().Seconds(); got > bound {
			t.Errorf("%d daemons: %.0f B/s, want at most %d", count, got, bound)
		}
	}
}
