package relay

import (
	"fmt"
	"testing"
	"time"

	"lentilstage.dev/decide/admit"
	"lentilstage.dev/decide/share"
	"lentilstage.dev/domain/setup"
)

// demandKeyOf returns the key of an account's requests to the service pool.
func demandKeyOf(account string) demandKey {
	return demandKey{service: "pool", account: account, route: "chat"}
}

// offer counts work that an account offers to a daemon, in seconds of endpoint time.
func (t *tables) offer(account string, work float64, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.serviceDemand("pool").offered.Add(account, work, now)
}

// demandOf returns the demand of all daemons as one of them knows it, and the promised work.
func (t *tables) demandOf(now time.Time) (offered, promised float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	others := t.othersDemand("pool", now)
	others.add(t.ownShare("pool", now), 1)
	for _, rate := range others.offered {
		offered += rate
	}
	for _, work := range others.promised {
		promised += work
	}
	return offered, promised
}

// near reports whether a value is close to another one. Messages round to milliseconds.
func near(got, want float64) bool { return got > 0.9*want-0.01 && got < 1.1*want+0.01 }

// TestDemandReachesAllCentres guards against demands and promises that are missing at a daemon or that are counted twice:
// by a daemon's own count and in its hub's totals.
func TestDemandReachesAllCentres(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := newCentre("a", 3), newCentre("b", 2)
	daemons := append(append([]*tables{a.hub, b.hub}, a.followers...), b.followers...)
	for i, d := range daemons {
		d.setFleet(len(daemons), 0)
		d.putEndpoint(Record{Key: "e1", Offset: 1}, setup.Endpoint{ID: "e1", Service: "pool", State: setup.Ready, StartedAtMS: 1}, now)
		d.offer(fmt.Sprint("account-", i%3), 1, now)
		d.refuse(demandKeyOf("account-0"), admit.Return{Work: 0.1, Earliest: now, Deadline: now.Add(12 * time.Second)}, 0.5, now)
	}
	for range 3 {
		now = now.Add(20 * time.Millisecond)
		a.collect("a", now)
		b.collect("b", now)
		fromA, fromB := a.sum("a", now), b.sum("b", now)
		a.hub.applySum(fromB, now.Add(time.Second), now)
		b.hub.applySum(fromA, now.Add(time.Second), now)
		a.publish(t, "a", now)
		b.publish(t, "b", now)
	}
	for i, d := range daemons {
		offered, promised := d.demandOf(now)
		if !near(offered, 7) || !near(promised, 0.7) {
			t.Errorf("daemon %d: %.2f offered and %.2f promised, want 7 and 0.7", i, offered, promised)
		}
	}
}

// TestDemandOfSilentPeers guards against a daemon that takes its own callers for all of them once it hears of no others:
// it would see no shortage. What was heard last holds for two seconds.
func TestDemandOfSilentPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newCentre("a", 3)
	daemons := append([]*tables{a.hub}, a.followers...)
	for _, d := range daemons {
		d.setFleet(4, 0)
	}
	// The hub serves more than the others.
	offer := func() {
		for i, d := range daemons {
			work := 0.1
			if i == 0 {
				work = 0.5
			}
			d.offer("counter", work, now)
		}
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		offer()
		a.collect("a", now)
		a.publish(t, "a", now)
	}
	for _, step := range []struct {
		after time.Duration
		want  float64
	}{{0, 8}, {time.Second, 8}, {2 * time.Second, 4}} {
		end := now.Add(step.after)
		for now.Before(end) {
			now = now.Add(100 * time.Millisecond)
			offer()
		}
		if offered, _ := a.followers[0].demandOf(now); !near(offered, step.want) {
			t.Errorf("%v later a follower knows of %.2f, want %.2f", step.after, offered, step.want)
		}
	}
}

// TestDemandIsSentWhenNeeded guards against messages that carry the demand ten times a second while there is no shortage.
func TestDemandIsSentWhenNeeded(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newTables(Settings{Name: "entry-1"}, "1")
	sent := func(length time.Duration) (count int) {
		for end := now.Add(length); now.Before(end); now = now.Add(100 * time.Millisecond) {
			d.offer("counter", 0.1, now)
			if d.digest(now, false).Demand != nil {
				count++
			}
		}
		return count
	}
	if got := sent(5 * time.Second); got > 6 {
		t.Errorf("%d messages with demands in 5 s without a refusal", got)
	}
	d.refuse(demandKeyOf("counter"), admit.Return{Work: 0.1, Earliest: now, Deadline: now.Add(3 * time.Second)}, 0.5, now)
	if got := sent(time.Second); got < 9 {
		t.Errorf("%d messages with demands in a second after a refusal", got)
	}
}

// TestShortageIsDividedEverywhere guards against daemons that see no shortage while another one refuses, that divide
// differently, or that go on after its end. One account has all its callers at one daemon.
func TestShortageIsDividedEverywhere(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newCentre("a", 3)
	daemons := append([]*tables{a.hub}, a.followers...)
	for _, d := range daemons {
		d.setFleet(4, 0)
		d.config = &setup.Config{Routes: []setup.Route{
			{Name: "chat", Priority: 1, LatencyTarget: time.Second, ServiceWeights: []setup.ServiceWeight{{Service: "pool", Weight: 1}}},
			{Name: "fix", LatencyTarget: 400 * time.Millisecond, ServiceWeights: []setup.ServiceWeight{{Service: "pool", Weight: 1}}},
		}}
		d.listed = true
		for i := range 4 {
			id := fmt.Sprint("e", i)
			d.putEndpoint(Record{Key: id, Offset: int64(i + 1)}, setup.Endpoint{ID: id, Service: "pool", State: setup.Ready, StartedAtMS: 1}, now)
		}
	}
	run := func(length time.Duration, surge, refused float64) {
		for end := now.Add(length); now.Before(end); {
			now = now.Add(100 * time.Millisecond)
			for _, d := range daemons {
				d.offer("usual", 0.05, now)
				d.tick(now)
			}
			daemons[1].offer("surging", 0.1*surge, now)
			if refused > 0 {
				daemons[1].refuse(demandKeyOf("surging"), admit.Return{Work: refused, Earliest: now, Deadline: now.Add(3 * time.Second)}, 0.5, now)
			}
			a.collect("a", now)
			a.publish(t, "a", now)
		}
	}
	run(40*time.Second, 1, 0)
	for i, d := range daemons {
		if got := d.demand["pool"].capacity; got != 4 {
			t.Errorf("daemon %d expects a capacity of %.1f, want that of 4 endpoints", i, got)
		}
		if d.short("pool") {
			t.Errorf("daemon %d withholds copies without a shortage", i)
		}
		if s := d.standing(demandKeyOf("surging"), now.Add(3*time.Second), now); s.division != share.Undivided || s.urgentTarget != 0 {
			t.Errorf("daemon %d divides without a shortage: %+v", i, s)
		}
	}
	run(3*time.Second, 5, 0.2)
	for i, d := range daemons {
		if !d.short("pool") {
			t.Errorf("daemon %d sends copies in a shortage", i)
		}
		s, usual := d.standing(demandKeyOf("surging"), now.Add(3*time.Second), now), d.standing(demandKeyOf("usual"), now.Add(3*time.Second), now)
		if s.division != share.Within && s.division != share.Beyond || s.share < 0.3 || s.share > 0.7 {
			t.Errorf("daemon %d: the surging account is %v with a share of %.2f", i, s.division, s.share)
		}
		if usual.division != share.Below || usual.share != 1 || usual.urgentTarget != 400*time.Millisecond {
			t.Errorf("daemon %d: the account at its usual rate is %v with a share of %.2f and an urgent target of %v", i, usual.division, usual.share, usual.urgentTarget)
		}
	}
	run(6*time.Second, 1, 0)
	for i, d := range daemons {
		if s := d.standing(demandKeyOf("surging"), now.Add(3*time.Second), now); s.division != share.Undivided {
			t.Errorf("daemon %d still divides", i)
		}
		if changes := d.drainShortages(); len(changes) != 2 || !changes[0].short || changes[1].short {
			t.Errorf("daemon %d reports %+v, want the begin and the end of a shortage", i, changes)
		}
	}
}

// TestDemandReportIsBounded guards against messages that grow with the number of accounts, and against offered work that
// is lost with those that are left out.
func TestDemandReportIsBounded(t *testing.T) {
	s := newDemandShare()
	for account := range uint32(1000) {
		s.offered[account+1] = float64(account+1) / 1000
	}
	r := newDemandReport(s, time.Unix(1000, 0))
	sum := 0
	for _, ms := range r.Offered {
		sum += ms
	}
	if len(r.Offered) != maxReportedAccounts+1 || sum != 500_500 || r.Offered[1000] != 1000 {
		t.Errorf("%d accounts with %d ms in a message, want %d with 500500", len(r.Offered), sum, maxReportedAccounts+1)
	}
}
