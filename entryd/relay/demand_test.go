package relay

import (
	"fmt"
	"testing"
	"time"

	"lentilstage.dev/decide/admit"
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
