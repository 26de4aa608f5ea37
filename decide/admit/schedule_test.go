package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
)

func ms(count int) time.Duration { return time.Duration(count) * time.Millisecond }

// TestPromises guards against refused callers that return together, to capacity that is promised already, in the middle of
// a burst that they could wait out, or after they have given up.
func TestPromises(t *testing.T) {
	type step struct {
		At       int `yaml:"At"`
		Count    int `yaml:"Count"`
		Work     int `yaml:"Work"`
		Earliest int `yaml:"Earliest"`
		Left     int `yaml:"Left"`
		// From and To bound the times of the retries, Room is the number of those with room, Most the most work of a slot.
		From int `yaml:"From"`
		To   int `yaml:"To"`
		Room int `yaml:"Room"`
		Most int `yaml:"Most"`
	}
	type promiseCase struct {
		Name     string      `yaml:"Name"`
		Capacity float64     `yaml:"Capacity"`
		Offered  float64     `yaml:"Offered"`
		Usual    float64     `yaml:"Usual"`
		Others   map[int]int `yaml:"Others"`
		Steps    []step      `yaml:"Steps"`
	}
	start := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	for _, c := range cases.Load[promiseCase](t, "testdata/promises.yaml") {
		s := NewSchedule()
		s.Update(Outlook{Capacity: c.Capacity, Offered: c.Usual}, start)
		others := map[int64]float64{}
		for at, work := range c.Others {
			others[slotOf(start.Add(ms(at)))] = ms(work).Seconds()
		}
		s.SetOthers(others, start)
		outlook := Outlook{Capacity: c.Capacity, Offered: c.Offered}
		for i, step := range c.Steps {
			now := start.Add(ms(step.At))
			s.Update(outlook, now)
			room, most := 0, 0.0
			for range step.Count {
				p := s.Promise(Return{Work: ms(step.Work).Seconds(), Earliest: now.Add(ms(step.Earliest)), Deadline: now.Add(ms(step.Left))}, outlook, random.Float64(), now)
				if got := p.RetryAt.Sub(start); got < ms(step.From) || got > ms(step.To) {
					t.Errorf("%s: step %d: retry after %v, want %d to %d ms", c.Name, i, got, step.From, step.To)
				}
				if p.Room {
					room++
				}
			}
			for _, work := range s.Own() {
				most = max(most, work)
			}
			if room != step.Room {
				t.Errorf("%s: step %d: %d retries with room, want %d", c.Name, i, room, step.Room)
			}
			if step.Most > 0 && most > ms(step.Most).Seconds() {
				t.Errorf("%s: step %d: %.3f s of work in a slot, want %d ms at most", c.Name, i, most, step.Most)
			}
		}
	}
}

// TestReturning guards against returning requests that are refused like others, and against first attempts that pass for
// returning ones.
func TestReturning(t *testing.T) {
	type patienceCase struct {
		Name    string `yaml:"Name"`
		Left    []int  `yaml:"Left"`
		Returns []bool `yaml:"Returns"`
	}
	for _, c := range cases.Load[patienceCase](t, "testdata/patience.yaml") {
		var p Patience
		now := time.Unix(1000, 0)
		for i, left := range c.Left {
			now = now.Add(time.Second)
			r := Request{Spent: p.Spent("route", ms(left), now)}
			if r.Returns() != c.Returns[i] {
				t.Errorf("%s: request %d: returns is %v, want the opposite", c.Name, i, r.Returns())
			}
		}
	}
}

// TestPatienceForgets guards against callers that lower their deadlines and are then taken for returning ones for ever, and
// against keys without bound.
func TestPatienceForgets(t *testing.T) {
	var p Patience
	now := time.Unix(1000, 0)
	p.Spent("route", 10*time.Second, now)
	if spent := p.Spent("route", time.Second, now.Add(time.Hour)); spent != 0 {
		t.Errorf("an hour later %.2f of the time is spent, want 0", spent)
	}
	for i := range 2 * maxPatienceKeys {
		p.Spent(fmt.Sprint(i), time.Second, now)
	}
	if len(p.longest) > maxPatienceKeys {
		t.Errorf("%d keys, want %d at most", len(p.longest), maxPatienceKeys)
	}
}

// TestDaemonsPromiseOnce guards against daemons that promise the same capacity each: they refuse requests at the same time
// and hear of each other's promises 200 ms later.
func TestDaemonsPromiseOnce(t *testing.T) {
	const (
		daemons  = 20
		capacity = 40.0
		offered  = 38.0
		work     = 0.05
	)
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	outlook := Outlook{Capacity: capacity, Offered: offered}
	schedules := make([]*Schedule, daemons)
	for i := range schedules {
		schedules[i] = NewSchedule()
		schedules[i].Update(outlook, now)
	}
	promised := map[int64]float64{}
	for range 10 {
		own := make([]map[int64]float64, daemons)
		for i, s := range schedules {
			for range 1 + random.IntN(2) {
				p := s.Promise(Return{Work: work, Deadline: now.Add(5 * time.Second)}, outlook, random.Float64(), now)
				promised[p.Slot] += work
			}
			first, packed := Pack(s.Own(), now)
			own[i] = Unpack(first, packed, now.Add(100*time.Millisecond))
		}
		now = now.Add(200 * time.Millisecond)
		for i, s := range schedules {
			others := map[int64]float64{}
			for j := range own {
				if j == i {
					continue
				}
				for slot, w := range own[j] {
					others[slot] += w
				}
			}
			s.SetOthers(others, now)
			s.Update(outlook, now)
		}
	}
	// The daemons can't know what the others promise in the same 200 ms: 30 requests on average.
	unheard := 2 * daemons * work
	for slot, w := range promised {
		if limit := (capacity-offered)*slotLength.Seconds() + unheard; w > limit {
			t.Errorf("%.2f s of work are promised for slot %d, %.2f at most", w, slot, limit)
		}
	}
	if len(promised) < 8 {
		t.Errorf("the retries take %d slots, want 8 or more", len(promised))
	}
}

// TestPackedPromises guards against promises that arrive in another slot, or that a daemon with a wrong clock adds.
func TestPackedPromises(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	promised := map[int64]float64{slotOf(now) - 3: 1, slotOf(now): 0.25, slotOf(now) + 4: 1.5, slotOf(now) + MaxSlots + 5: 1}
	first, packed := Pack(promised, now)
	for _, later := range []time.Duration{0, 150 * time.Millisecond, 400 * time.Millisecond} {
		got := Unpack(first, packed, now.Add(later))
		if got[slotOf(now)+4] != 1.5 || len(got) > 2 {
			t.Errorf("%v later: promises %v", later, got)
		}
	}
	for _, wrong := range []time.Duration{-time.Hour, time.Hour} {
		if got := Unpack(first, packed, now.Add(wrong)); len(got) != 0 {
			t.Errorf("a clock that is off by %v brings promises %v", wrong, got)
		}
	}
}
