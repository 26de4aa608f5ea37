package limit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"

	"lentilstage.dev/decide/cases"

	"lentilstage.dev/decide/search"
)

var start = time.Unix(1_000_000, 0)

// TestMain fixes the seed, so that each run gives the same result.
func TestMain(m *testing.M) { search.Main(m, 1) }

// TestGrantCases checks examples of the division of capacity over accounts.
func TestGrantCases(t *testing.T) {
	for _, c := range cases.Load[struct {
		Name     string               `yaml:"Name"`
		Capacity float64              `yaml:"Capacity"`
		Claims   map[string][]float64 `yaml:"Claims"`
		Want     map[string]float64   `yaml:"Want"`
	}](t, "testdata/grant.yaml") {
		var claims []Claim
		for name, v := range c.Claims {
			claims = append(claims, Claim{Account: name, Share: v[0], Demand: v[1], Cap: v[2]})
		}
		for i, got := range Grant(c.Capacity, claims) {
			if want := c.Want[claims[i].Account]; math.Abs(got-want) > 1e-6 {
				t.Errorf("%s: the grant of account %s is %g, want %g", c.Name, claims[i].Account, got, want)
			}
		}
	}
}

// TestAllocateCases checks examples of the division of a limit over daemons.
func TestAllocateCases(t *testing.T) {
	for _, c := range cases.Load[struct {
		Name    string      `yaml:"Name"`
		Limit   float64     `yaml:"Limit"`
		Demands [][]float64 `yaml:"Demands"`
		Want    []float64   `yaml:"Want"`
	}](t, "testdata/allocations.yaml") {
		var demands []Demand
		for i, v := range c.Demands {
			demands = append(demands, Demand{Process: fmt.Sprint(i), Value: v[0], At: start.Add(-time.Duration(v[1]) * time.Second)})
		}
		for i, got := range Allocate(c.Limit, demands, start) {
			if math.Abs(got.Value-c.Want[i]) > 1e-6 {
				t.Errorf("%s: the allocation of daemon %d is %g, want %g", c.Name, i, got.Value, c.Want[i])
			}
		}
	}
}

// TestGrantProperties guards against grants that exceed the capacity or a cap, that are below a
// needed share, or that leave capacity unused while an account could use it.
func TestGrantProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 1000).Draw(t, "capacity")
		var claims []Claim
		shares, usable := 0.0, 0.0
		for i := range rapid.IntRange(1, 8).Draw(t, "accounts") {
			c := Claim{
				Account: fmt.Sprint(i), Share: rapid.Float64Range(0, 1).Draw(t, "share"),
				Demand: rapid.Float64Range(0, 500).Draw(t, "demand"), Cap: rapid.SampledFrom([]float64{0, 10, 200}).Draw(t, "cap"),
			}
			claims = append(claims, c)
			shares += c.Share
			usable += c.ceiling(capacity)
		}
		sum := 0.0
		for i, got := range Grant(capacity, claims) {
			c := claims[i]
			sum += got
			if needed := min(c.Demand, c.Share*capacity/max(1, shares), c.ceiling(capacity)); got < needed-1e-6 || got > c.ceiling(capacity)+1e-6 {
				t.Fatalf("the grant of claim %+v is %g, want at least %g and at most %g", c, got, needed, c.ceiling(capacity))
			}
		}
		if math.Abs(sum-min(capacity, usable)) > 1e-6*max(1, capacity) {
			t.Fatalf("the grants add up to %g, capacity %g, usable %g", sum, capacity, usable)
		}
	})
}

// TestSlotsAddUpToTheLimit guards against daemons that together admit more or less than the
// limit, and against a daemon whose small allocation never yields a whole slot.
func TestSlotsAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 60).Draw(t, "limit")
		var demands []Demand
		var processes []string
		for i := range rapid.IntRange(1, 9).Draw(t, "daemons") {
			processes = append(processes, fmt.Sprint(i))
			demands = append(demands, Demand{Process: fmt.Sprint(i), Value: float64(rapid.IntRange(0, 20).Draw(t, "demand")), At: start})
		}
		allocations := Allocate(float64(limit), demands, start)
		const epochs = 400
		got := make([]int, len(allocations))
		for e := range epochs {
			sum := 0
			rotation := NewRotation(processes, start.Add(time.Duration(e)*rotationPeriod))
			for i, a := range allocations {
				slots := rotation.Slots("account", i, allocations)
				if math.Abs(float64(slots)-a.Value) >= 1+1e-6 {
					t.Fatalf("%d slots for an allocation of %g", slots, a.Value)
				}
				sum += slots
				got[i] += slots
			}
			if sum != limit {
				t.Fatalf("%d slots in total, want the limit of %d", sum, limit)
			}
		}
		for i, a := range allocations {
			if mean := float64(got[i]) / epochs; math.Abs(mean-a.Value) > 0.12 {
				t.Fatalf("daemon %s gets %g slots on average, its allocation is %g", a.Process, mean, a.Value)
			}
		}
	})
}

// TestEachRequestOneOutcome guards against requests that are lost, started twice, started
// after a refusal that said "not run", started after their deadline, or started beyond the
// capacity or a cap, and against a queue that exceeds its maximum length.
func TestEachRequestOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxQueue = 12
		now, next, slots := start, 0, rapid.IntRange(1, 8).Draw(t, "slots")
		aggregate := New("d", maxQueue)
		state := map[string]string{}
		running := map[string][]string{}
		update := func(m Message) {
			var commands []Command
			aggregate, commands = aggregate.Update(m)
			for _, c := range commands {
				switch c := c.(type) {
				case Start:
					if state[c.Request.ID] != "waiting" {
						t.Fatalf("request %s started in state %q, want waiting", c.Request.ID, state[c.Request.ID])
					}
					if !c.Request.StartBy.IsZero() && now.After(c.Request.StartBy) {
						t.Fatalf("request %s started after its StartBy", c.Request.ID)
					}
					state[c.Request.ID] = "running"
					running[c.Request.Account] = append(running[c.Request.Account], c.Request.ID)
					if sum := len(running["a"]) + len(running["b"]) + len(running["c"]); sum > slots || len(running["b"]) > 2 {
						t.Fatalf("%d running in %d slots, %d of the account with a cap of 2", sum, slots, len(running["b"]))
					}
				case Refuse:
					if state[c.Request.ID] != "waiting" || !c.Refusal.NotRun || c.Refusal.Outcome != codes.NotRun {
						t.Fatalf("refusal %+v of request %s in state %q", c.Refusal, c.Request.ID, state[c.Request.ID])
					}
					state[c.Request.ID] = "refused"
				}
			}
		}
		update(Table{Time: now, Accounts: []table.Account{{Name: "a", Share: 0.5}, {Name: "b", Share: 0.3, MaxInFlight: 2}}})
		update(Capacity{Time: now, Slots: float64(slots)})
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pass")) * time.Millisecond)
			account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				update(Tick{Time: now})
			case 1:
				if ids := running[account]; len(ids) > 0 {
					running[account] = ids[1:]
					state[ids[0]] = "ended"
					update(Ended{Time: now, Account: account, Started: now.Add(-time.Second)})
				}
			case 2:
				id := fmt.Sprint(rapid.IntRange(0, next).Draw(t, "id"))
				if state[id] == "waiting" {
					state[id] = "withdrawn"
				}
				update(Withdraw{Time: now, ID: id})
			default:
				next++
				r := Request{ID: fmt.Sprint(next), Account: account, Priority: rapid.IntRange(0, 9).Draw(t, "priority")}
				if rapid.Bool().Draw(t, "deadline") {
					r.StartBy = now.Add(time.Duration(rapid.IntRange(-1, 20).Draw(t, "left")) * time.Second)
					r.Deadline = r.StartBy
				}
				state[r.ID] = "waiting"
				update(Offer{Time: now, Request: r})
			}
			waitingNow := 0
			for _, s := range state {
				if s == "waiting" {
					waitingNow++
				}
			}
			if waitingNow != aggregate.Waiting() || waitingNow > maxQueue {
				t.Fatalf("%d requests wait, the queue holds %d, want the same and at most 12", waitingNow, aggregate.Waiting())
			}
		}
	})
}

// TestBackgroundDoesNotStarve guards against background requests that wait for ever behind a
// steady flood of requests of better priority, from the same or another account.
func TestBackgroundDoesNotStarve(t *testing.T) {
	for _, account := range []string{"flood", "other"} {
		aggregate := New("d", 200)
		aggregate, _ = aggregate.Update(Table{Time: start, Accounts: []table.Account{{Name: "flood", Share: 0.8}, {Name: "other", Share: 0.2}}})
		aggregate, _ = aggregate.Update(Capacity{Time: start, Slots: 2})
		aggregate, _ = aggregate.Update(Offer{Time: start, Request: Request{ID: "first", Account: "flood"}})
		aggregate, _ = aggregate.Update(Offer{Time: start, Request: Request{ID: "second", Account: "flood"}})
		started := map[string]time.Time{}
		var running []Request
		for i := range 600 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			messages := []Message{Tick{Time: now}, Offer{Time: now, Request: Request{ID: fmt.Sprint("f", i), Account: "flood", Deadline: now}}}
			if i%20 == 0 && i < 100 {
				messages = append(messages, Offer{Time: now, Request: Request{ID: fmt.Sprint("background", i), Account: account, Priority: 9}})
			}
			if len(running) > 0 {
				messages = append(messages, Ended{Time: now, Account: running[0].Account, Started: now.Add(-200 * time.Millisecond)})
				running = running[1:]
			}
			if i == 1 {
				messages = append(messages, Ended{Time: now, Account: "flood", Started: start}, Ended{Time: now, Account: "flood", Started: start})
			}
			for _, m := range messages {
				var commands []Command
				aggregate, commands = aggregate.Update(m)
				for _, c := range commands {
					if s, ok := c.(Start); ok {
						started[s.Request.ID] = now
						running = append(running, s.Request)
					}
				}
			}
		}
		for i := 0; i < 100; i += 20 {
			if at, ok := started[fmt.Sprint("background", i)]; !ok || at.Sub(start) > 45*time.Second {
				t.Errorf("account %s: background request offered at %d s: started is %v, at %s", account, i/10, ok, at.Sub(start))
			}
		}
	}
}

// TestLentShareIsTakenBack guards against a borrower that continues to admit requests after it
// has received the lender's demand in a digest, and against daemons that together exceed a cap.
func TestLentShareIsTakenBack(t *testing.T) {
	names := []string{"d1", "d2", "d3"}
	daemons := map[string]Aggregate{}
	update := func(name string, m Message) (started int) {
		next, commands := daemons[name].Update(m)
		daemons[name] = next
		for _, c := range commands {
			if _, ok := c.(Start); ok {
				started++
			}
		}
		return started
	}
	digests := func(now time.Time) {
		for _, n := range names {
			var entries []PeerUse
			for _, p := range names {
				if p != n {
					entries = append(entries, PeerUse{Process: p, At: now, Uses: daemons[p].Uses(now)})
				}
			}
			update(n, Peers{Time: now, Entries: entries})
		}
	}
	slots := func(account string) (sum int) {
		for _, n := range names {
			sum += daemons[n].Slots(account)
		}
		return sum
	}
	offer := func(name, account string, count int, now time.Time) {
		for i := range count {
			update(name, Offer{Time: now, Request: Request{ID: fmt.Sprint(account, now.Unix(), i), Account: account}})
		}
	}
	rows := []table.Account{{Name: "big", Share: 0.5}, {Name: "lender", Share: 0.5}, {Name: "capped", Share: 0, MaxInFlight: 4}}
	for _, n := range names {
		daemons[n] = New(n, 1000)
		update(n, Table{Time: start, Accounts: rows})
		update(n, Capacity{Time: start, Slots: 60})
	}
	capped := func() (sum int) {
		for _, n := range names {
			sum += daemons[n].accounts["capped"].capSlots
		}
		return sum
	}
	digests(start)
	offer("d1", "big", 200, start)
	offer("d2", "capped", 50, start)
	digests(start)
	digests(start.Add(time.Second))
	if got := slots("big"); got < 54 {
		t.Errorf("the borrower has %d of 60 slots while the lender is idle, want at least 54", got)
	}
	if got := capped(); got != 4 {
		t.Errorf("the daemons together allow %d requests, want the cap of 4", got)
	}
	offer("d3", "lender", 100, start.Add(time.Second))
	digests(start.Add(2 * time.Second))
	digests(start.Add(2 * time.Second))
	if big, lender := slots("big"), slots("lender"); big > 31 || lender < 29 {
		t.Errorf("one digest period later the borrower has %d slots and the lender %d", big, lender)
	}
}

// TestRefusals guards against requests that are queued although they can't meet their deadline,
// and against a flood that displaces the requests of a small account from a full queue.
func TestRefusals(t *testing.T) {
	aggregate := New("d", 10)
	offer := func(r Request) (refused []Refuse) {
		next, commands := aggregate.Update(Offer{Time: start, Request: r})
		aggregate = next
		for _, c := range commands {
			if r, ok := c.(Refuse); ok {
				refused = append(refused, r)
			}
		}
		return refused
	}
	aggregate, _ = aggregate.Update(Table{Time: start, Accounts: []table.Account{{Name: "flood", Share: 0.5}, {Name: "small", Share: 0.5}}})
	aggregate, _ = aggregate.Update(Capacity{Time: start, Slots: 4})
	for i := range 8 {
		offer(Request{ID: fmt.Sprint(i), Account: "flood", Priority: 3})
	}
	aggregate, _ = aggregate.Update(Tick{Time: start})
	late := offer(Request{ID: "late", Account: "flood", Priority: 5, StartBy: start.Add(time.Second), Deadline: start.Add(2 * time.Second)})
	if len(late) != 1 || late[0].Request.ID != "late" || late[0].Refusal.Code != codes.AccountLimit || !late[0].Refusal.RetryAt.After(start) {
		t.Errorf("refusals of a request that can't meet its deadline: %+v, want one with AccountLimit", late)
	}
	for i := range 5 {
		offer(Request{ID: fmt.Sprint("small", i), Account: "small", Priority: 9})
	}
	for i := range 5 {
		for _, r := range offer(Request{ID: fmt.Sprint("more", i), Account: "flood", Priority: 0}) {
			if r.Request.Account != "flood" || r.Refusal.Code != codes.QueueFull {
				t.Errorf("the flood displaced %+v", r)
			}
		}
	}
	if got := aggregate.Waiting(); got != 10 {
		t.Errorf("%d requests are queued, want 10", got)
	}
}

// TestDisplaceFollowsShares guards against a full queue that ignores the shares when it displaces
// a request.
func TestDisplaceFollowsShares(t *testing.T) {
	shares := map[string]float64{"large": 0.9, "small": 0.1}
	q := queue{}
	for i := range 9 {
		q.add(Request{ID: fmt.Sprint(i), Account: []string{"large", "large", "small"}[i%3]}, start)
	}
	if got := q.displace(func(account string) float64 { return shares[account] }); got.ID != "8" {
		t.Errorf("displaced %+v, want the last request of the account that exceeds its share of the queue", got)
	}
}

// TestDaemonsShareTheCapacity guards against requests that wait at one daemon while the system
// has free capacity, and against a flood at one daemon that takes the slots of another.
func TestDaemonsShareTheCapacity(t *testing.T) {
	peer := func(account string, inFlight, waiting int) Peers {
		return Peers{Time: start, Entries: []PeerUse{{
			Process: "peer", At: start, Uses: []wire.AccountUsage{{Account: account, InFlight: inFlight, Waiting: waiting}},
		}}}
	}
	offerSmall := func(peers Peers) (atOnce, afterDigest int) {
		aggregate := New("d", 100)
		aggregate, _ = aggregate.Update(Table{Time: start, Accounts: []table.Account{{Name: "flood", Share: 0.5}, {Name: "small", Share: 0.5}}})
		aggregate, _ = aggregate.Update(Capacity{Time: start, Slots: 20})
		aggregate, _ = aggregate.Update(peers)
		for i := range 8 {
			next, commands := aggregate.Update(Offer{Time: start, Request: Request{ID: fmt.Sprint(i), Account: "small"}})
			aggregate, atOnce = next, atOnce+len(commands)
		}
		_, commands := aggregate.Update(peers)
		return atOnce, atOnce + len(commands)
	}
	if got, _ := offerSmall(peer("small", 11, 0)); got != 8 {
		t.Errorf("%d of 8 requests started at once while the system has capacity for all", got)
	}
	if _, got := offerSmall(peer("flood", 20, 500)); got < 7 {
		t.Errorf("%d of 8 requests within the share started during a flood at a peer, want at least 7", got)
	}
}

// TestTokenCapOverDaemons guards against token use that exceeds the account's cap over time.
func TestTokenCapOverDaemons(t *testing.T) {
	aggregate := New("d", 100)
	aggregate, _ = aggregate.Update(Table{Time: start, Accounts: []table.Account{{Name: "a", Share: 1, TokensPerSecond: 100}}})
	aggregate, _ = aggregate.Update(Capacity{Time: start, Slots: 10})
	used := 0.0
	for i := range 600 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		for _, m := range []Message{Offer{Time: now, Request: Request{ID: fmt.Sprint(i), Account: "a"}}, Tick{Time: now}} {
			var commands []Command
			aggregate, commands = aggregate.Update(m)
			for _, c := range commands {
				if s, ok := c.(Start); ok {
					used += 50
					aggregate, _ = aggregate.Update(Used{Time: now, Account: "a", Tokens: 50})
					aggregate, _ = aggregate.Update(Ended{Time: now, Account: s.Request.Account, Started: now})
				}
			}
		}
	}
	// Use is charged after the start, so the burst of 2 s and one request for each of the 10
	// slots may be used in addition to the rate.
	if used > 100*60+100*tokenBurstSeconds+10*50 || used < 100*60*0.9 {
		t.Errorf("%g tokens used in 60 s with a cap of 100 per second", used)
	}
}

// BenchmarkPeers390 measures the recomputation that each daemon does once a second, at the target
// size of 390 daemons and 20 accounts.
func BenchmarkPeers390(b *testing.B) {
	aggregate := New("d", 256)
	var rows []table.Account
	var uses []wire.AccountUsage
	for i := range 20 {
		rows = append(rows, table.Account{Name: fmt.Sprint("account-", i), Share: 0.05, MaxInFlight: 1000})
		uses = append(uses, wire.AccountUsage{Account: rows[i].Name, InFlight: 10 + i})
	}
	var entries []PeerUse
	for i := range 389 {
		entries = append(entries, PeerUse{Process: fmt.Sprint("peer-", i), At: start, Uses: uses})
	}
	aggregate, _ = aggregate.Update(Table{Time: start, Accounts: rows})
	aggregate, _ = aggregate.Update(Capacity{Time: start, Slots: 19200})
	b.ReportAllocs()
	for b.Loop() {
		aggregate, _ = aggregate.Update(Peers{Time: start, Entries: entries})
	}
}
