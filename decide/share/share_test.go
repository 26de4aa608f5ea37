package share

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
)

type divisionCase struct {
	Name     string             `yaml:"Name"`
	Usual    map[uint32]float64 `yaml:"Usual"`
	Offered  map[uint32]float64 `yaml:"Offered"`
	Refused  float64            `yaml:"Refused"`
	Capacity float64            `yaml:"Capacity"`
	Short    bool               `yaml:"Short"`
	Shares   map[uint32]float64 `yaml:"Shares"`
}

// divided returns a division after the load of a case.
func (c divisionCase) divided(phase float64) *Division {
	now := time.Unix(1000, 0)
	d := NewDivision(phase)
	for range 60 {
		now = now.Add(time.Second)
		d.Update(Load{Offered: c.Usual, Capacity: c.Capacity}, now)
	}
	d.Update(Load{Offered: c.Offered, Refused: c.Refused, Capacity: c.Capacity}, now.Add(200*time.Millisecond))
	return d
}

// TestDivisions guards against an account that takes the capacity of the others, capacity that is left unused, and a
// division without a shortage.
func TestDivisions(t *testing.T) {
	for _, c := range cases.Load[divisionCase](t, "testdata/divisions.yaml") {
		d := c.divided(0)
		if d.Short() != c.Short {
			t.Errorf("%s: shortage is %v, want the opposite", c.Name, d.Short())
		}
		for account := range c.Offered {
			want, above := c.Shares[account]
			if !above {
				want = 1
			}
			if got := d.Fraction(account); math.Abs(got-want) > 0.011 {
				t.Errorf("%s: account %d: share %.3f of what it asks for, want %.3f", c.Name, account, got, want)
			}
		}
	}
}

// TestDaemonsAdmitTheSameFraction guards against daemons that together admit more or less than an account's share, also
// where all its callers are at one daemon, and against large requests that are refused more often than small ones.
func TestDaemonsAdmitTheSameFraction(t *testing.T) {
	c := cases.Load[divisionCase](t, "testdata/divisions.yaml")[1]
	for _, daemons := range []int{1, 40} {
		random := rand.New(rand.NewPCG(1, 1))
		divisions := make([]*Division, daemons)
		for i := range divisions {
			divisions[i] = c.divided(float64(i) / float64(daemons))
		}
		const requests = 400
		var within, count [2]float64
		for range requests {
			size := random.IntN(2)
			count[size]++
			switch divisions[random.IntN(daemons)].Take(1, false) {
			case Within:
				within[size]++
			case Beyond:
			default:
				t.Fatal("an account above its share is not divided")
			}
			if got := divisions[0].Take(2, false); got != Below {
				t.Fatalf("an account below its share is %v", got)
			}
		}
		for size := range within {
			if part := within[size] / count[size]; math.Abs(part-0.6) > 0.08 {
				t.Errorf("%d daemons: %.2f of the requests of size %d are within the share, want 0.6", daemons, part, size)
			}
		}
		if part := (within[0] + within[1]) / requests; math.Abs(part-0.6) > 0.03 {
			t.Errorf("%d daemons: %.3f of the requests are within the share, want 0.6", daemons, part)
		}
	}
}

// TestReturningComeFirst guards against a share that goes to first attempts while requests that were refused before are
// refused again.
func TestReturningComeFirst(t *testing.T) {
	d := cases.Load[divisionCase](t, "testdata/divisions.yaml")[1].divided(0)
	var within, count [2]int
	for i := range 500 {
		kind := 0
		if i%4 == 0 {
			kind = 1
		}
		count[kind]++
		if d.Take(1, kind == 1) == Within {
			within[kind]++
		}
	}
	if within[1] < count[1]*95/100 {
		t.Errorf("%d of %d returning requests are within the share", within[1], count[1])
	}
	if total := within[0] + within[1]; total < 285 || total > 315 {
		t.Errorf("%d of 500 requests are within a share of 0.6", total)
	}
}

// TestShortageEnds guards against a division that outlasts its shortage.
func TestShortageEnds(t *testing.T) {
	c := cases.Load[divisionCase](t, "testdata/divisions.yaml")[1]
	d := c.divided(0)
	if changed := d.Update(Load{Offered: c.Usual, Capacity: c.Capacity}, time.Unix(2000, 0)); !changed || d.Short() || d.Take(1, false) != Undivided {
		t.Error("the division goes on without a shortage")
	}
}

// TestMeter guards against averages that keep old load or count it late.
func TestMeter(t *testing.T) {
	m := NewMeter()
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		m.Add("counter", 0.5, now)
	}
	if rate := m.Rates(now)["counter"]; math.Abs(rate-5) > 0.5 {
		t.Errorf("rate %.2f after 10 s at 5", rate)
	}
	if rate := m.Rates(now.Add(2 * time.Second))["counter"]; rate > 1 {
		t.Errorf("rate %.2f two seconds after the end", rate)
	}
	if rates := m.Rates(now.Add(time.Minute)); len(rates) != 0 || len(m.rates) != 0 {
		t.Errorf("rates %v a minute after the end", rates)
	}
}

// TestSupply guards against a capacity that follows the load while there is no shortage, or that exceeds the endpoints.
func TestSupply(t *testing.T) {
	var s Supply
	now := time.Unix(1000, 0)
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		s = s.With(5, 0, 20, now)
	}
	if got := s.Capacity(20); got != 20 {
		t.Errorf("capacity %.1f without a shortage, want 20", got)
	}
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		s = s.With(30, 20, 20, now)
	}
	if got := s.Capacity(20); math.Abs(got-10) > 0.5 {
		t.Errorf("capacity %.1f of endpoints that complete 10, want 10", got)
	}
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		s = s.With(90, 30, 20, now)
	}
	if got := s.Capacity(20); got > 20 {
		t.Errorf("capacity %.1f of 20 endpoints", got)
	}
}

// TestFill guards against water-filling that exceeds what there is, leaves some of it, or ignores the weights.
func TestFill(t *testing.T) {
	grants := make([]float64, 3)
	rest := Fill(grants, 10, []Claim{{Weight: 1, Bound: 1}, {Weight: 1, Bound: 20}, {Weight: 2, Bound: 20}})
	if rest > 1e-9 || grants[0] != 1 || math.Abs(grants[1]-3) > 1e-9 || math.Abs(grants[2]-6) > 1e-9 {
		t.Errorf("grants %v and a rest of %g, want 1, 3, 6 and 0", grants, rest)
	}
	grants = make([]float64, 2)
	if rest := Fill(grants, 10, []Claim{{Weight: 1, Bound: 1}, {Weight: 1, Bound: 2}}); math.Abs(rest-7) > 1e-9 {
		t.Errorf("a rest of %g, want 7", rest)
	}
}
