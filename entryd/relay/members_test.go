package relay

import (
	"fmt"
	"testing"
	"time"
)

// group is a set of daemons that send heartbeats to each other.
type group struct {
	now     time.Time
	daemons []*members
	down    map[string]bool
	// rejected holds the daemons whose reads the log rejects.
	rejected map[string]bool
}

func newGroup(centres, each int) *group {
	g := &group{now: time.Unix(1000, 0), down: map[string]bool{}, rejected: map[string]bool{}}
	for c := range centres {
		for i := range each {
			s := Settings{Name: fmt.Sprintf("entry-%d-%d", c, i), DataCentre: fmt.Sprint("centre-", c), Speed: 1, PeerListen: "a"}
			g.daemons = append(g.daemons, newMembers(s, "1"))
		}
	}
	for _, m := range g.daemons {
		for _, other := range g.daemons {
			if m != other {
				m.recordListing(other.self, g.now)
			}
		}
	}
	return g
}

// run lets the daemons send heartbeats for a duration.
func (g *group) run(length time.Duration) {
	for end := g.now.Add(length); g.now.Before(end); g.now = g.now.Add(baseHeartbeatInterval) {
		for _, m := range g.daemons {
			for _, other := range g.daemons {
				if m != other && !g.down[m.self.Name] && !g.down[other.self.Name] {
					other.observe(m.self, g.now)
				}
			}
			m.currentHub(g.now)
		}
	}
}

// runReading lets the daemons send heartbeats for a duration in which hubs, and daemons whose hub
// can't read the log, try to read it.
func (g *group) runReading(length time.Duration) {
	for end := g.now.Add(length); g.now.Before(end); {
		for _, m := range g.daemons {
			hub, own := m.currentHub(g.now)
			if !g.rejected[m.self.Name] && (own || g.rejected[hub.Name] || hub.DataCentre != m.self.DataCentre) {
				m.updateSelf(m.self.holdsLease, g.now)
			}
		}
		g.run(baseHeartbeatInterval)
	}
}

// check reports daemons that disagree on the hub of a data centre, or use one that is down.
func (g *group) check(t *testing.T, when string) {
	t.Helper()
	hubs := map[string]string{}
	for _, m := range g.daemons {
		if g.down[m.self.Name] {
			continue
		}
		for centre, h := range m.hubs(g.now) {
			if g.down[h.Name] {
				t.Errorf("%s: %s uses the hub %s, which is down", when, m.self.Name, h.Name)
			}
			if known, ok := hubs[centre]; ok && known != h.Name {
				t.Errorf("%s: %s uses the hub %s for %s, others use %s", when, m.self.Name, h.Name, centre, known)
			}
			hubs[centre] = h.Name
		}
	}
}

// TestHubsAgree guards against daemons that disagree on the hub of a data centre, or use one that is
// gone: the counts and loads that they send to the wrong daemon are missing from the totals.
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
	g.check(t, "after all restarted")
}

// TestLeaseHolderStaysHub guards against a lease holder that is replaced as a hub when a faster
// instance joins: it stops acting, and nobody holds the lease until it expires.
func TestLeaseHolderStaysHub(t *testing.T) {
	g := newGroup(2, 3)
	holder := g.daemons[0]
	for _, m := range g.daemons[1:3] {
		if ranksBefore(holder.self, m.self) {
			holder = m
		}
	}
	holder.updateSelf(true, time.Time{})
	g.run(2 * time.Second)
	g.check(t, "with a lease holder")
	if hub := g.daemons[4].hubs(g.now)["centre-0"].Name; hub != holder.self.Name {
		t.Errorf("%s is the hub, want the lease holder %s", hub, holder.self.Name)
	}
	holder.updateSelf(false, time.Time{})
	g.run(2 * time.Second)
	g.check(t, "without a lease holder")
	if hub := g.daemons[4].hubs(g.now)["centre-0"].Name; hub == holder.self.Name {
		t.Errorf("%s is still the hub without the lease", hub)
	}
}

// TestHubWithoutLogIsReplaced guards against followers of a hub whose reads the log rejects: a
// follower that is rejected too is not informed of leaving endpoints.
func TestHubWithoutLogIsReplaced(t *testing.T) {
	g := newGroup(2, 4)
	g.runReading(4 * time.Second)
	g.check(t, "after the start")
	hub := g.daemons[0].hubs(g.now)["centre-0"].Name
	for _, m := range g.daemons[:4] {
		// The log rejects half of the data centre's daemons, including the hub.
		if m.self.Name == hub || m == g.daemons[0] || m == g.daemons[1] {
			g.rejected[m.self.Name] = true
		}
	}
	g.runReading(6 * time.Second)
	g.check(t, "while the log rejects the hub")
	if now := g.daemons[4].hubs(g.now)["centre-0"].Name; g.rejected[now] {
		t.Errorf("%s is the hub although the log rejects it", now)
	}
	for _, m := range g.daemons[:4] {
		g.rejected[m.self.Name] = true
	}
	g.runReading(6 * time.Second)
	for _, m := range g.daemons[:4] {
		if hub, _ := m.currentHub(g.now); hub.DataCentre != "centre-1" {
			t.Errorf("%s follows %s, want a hub of centre-1 while the log rejects its own data centre", m.self.Name, hub.Name)
		}
	}
	// During a full outage of the log, and after it, the daemons that rank first are the hubs.
	for _, m := range g.daemons {
		g.rejected[m.self.Name] = true
	}
	g.runReading(6 * time.Second)
	g.check(t, "during the outage of the log")
	clear(g.rejected)
	g.runReading(6 * time.Second)
	g.check(t, "after the outage of the log")
	for _, m := range g.daemons[:4] {
		if newHub, _ := m.currentHub(g.now); newHub.DataCentre != "centre-0" {
			t.Errorf("%s follows %s although its own data centre can read the log", m.self.Name, newHub.Name)
		}
	}
}

// TestMemberReadRateIsBounded guards against reads of the daemons' records whose bytes per second
// grow with the number of daemons: with 390 daemons, one read of all records is 78 KB.
func TestMemberReadRateIsBounded(t *testing.T) {
	const recordBytes, bound = 200, 300
	for _, count := range []int{7, 83, 390} {
		m := newMembers(Settings{Name: "self"}, "1")
		for i := range count {
			m.observe(member{Name: fmt.Sprint(i)}, time.Unix(1000, 0))
		}
		if got := float64(count*recordBytes) / m.readInterval().Seconds(); got > bound {
			t.Errorf("%d daemons: %.0f B/s, want at most %d", count, got, bound)
		}
	}
}
