package pace

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
)

type (
	speedCase struct {
		Name      string    `yaml:"Name"`
		Engines   int       `yaml:"Engines"`
		Speeds    []float64 `yaml:"Speeds"`
		Daemons   int       `yaml:"Daemons"`
		PerSecond float64   `yaml:"PerSecond"`
		Phases    bool      `yaml:"Phases"`
		Busy      int       `yaml:"Busy"`
		Seconds   int       `yaml:"Seconds"`
		Differ    bool      `yaml:"Differ"`
		Within    float64   `yaml:"Within"`
		Worst     float64   `yaml:"Worst"`
	}

	// phasedEngine is an engine with slow phases, of which end is the end of the present or the last one and next the
	// beginning of the next.
	phasedEngine struct {
		speed     float64
		phases    bool
		next, end time.Duration
		random    *rand.Rand
	}
)

const (
	usualTokenMS = 8.0
	phaseLength  = 600 * time.Millisecond
	phasePause   = 3400 * time.Millisecond
)

// TestSpeeds guards against estimates that follow slow phases or queues instead of lasting differences, against equal
// engines that are told apart by chance, and against a fit that is biased by the mix of speeds.
func TestSpeeds(t *testing.T) {
	for _, c := range cases.Load[speedCase](t, "testdata/speeds.yaml") {
		t.Run(c.Name, func(t *testing.T) { c.run(t) })
	}
}

func (c speedCase) run(t *testing.T) {
	start := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(3, 4))
	engines := make([]*phasedEngine, c.Engines)
	keys := make([]uint32, c.Engines)
	for i := range engines {
		engines[i] = &phasedEngine{speed: c.Speeds[i%len(c.Speeds)], phases: c.Phases, random: random}
		keys[i] = uint32(i)
	}
	fits := make([]*State, c.Daemons)
	for i := range fits {
		fits[i] = New()
	}
	speeds := NewSpeeds()
	var compared Comparison
	everDiffered := false
	const step = 100 * time.Millisecond
	for at := time.Duration(0); at < time.Duration(c.Seconds)*time.Second; at += step {
		now := start.Add(at)
		for i, e := range engines {
			for range e.arrivals(c.PerSecond * step.Seconds()) {
				took := e.answer(at, 80)
				if random.IntN(100) < c.Busy {
					took *= 1 + 2*random.Float64()
				}
				a := Answer{Tokens: 80, Took: milliseconds(took), Speed: compared.Factor(keys[i])}
				if observed, known := fits[random.IntN(c.Daemons)].RecordAnswer(a); known {
					speeds.Add(keys[i], Tally{}.With(observed, compared.Logs[keys[i]]), now)
				}
			}
		}
		if at%(5*step) == 0 {
			compared = speeds.Compare(keys, compared.Differ, now)
			everDiffered = everDiffered || compared.Differ
		}
	}
	if !c.Differ {
		if everDiffered {
			t.Error("the engines were told apart")
		}
		return
	}
	if !compared.Differ {
		t.Fatal("the engines were not told apart")
	}
	c.check(t, compared)
	c.checkFits(t, fits)
}

// check compares the estimates with the true speeds.
func (c speedCase) check(t *testing.T, compared Comparison) {
	t.Helper()
	for class, speed := range c.Speeds {
		want := math.Log(speed) - c.meanLog()
		var off []float64
		for i := class; i < c.Engines; i += len(c.Speeds) {
			logarithm, known := compared.Logs[uint32(i)]
			if !known {
				t.Fatalf("the speed of engine %d is not known", i)
			}
			off = append(off, math.Exp(logarithm-want)-1)
		}
		slices.Sort(off)
		if median := off[len(off)/2]; math.Abs(median) > c.Within {
			t.Errorf("speed %.1f: the median estimate is off by %+.0f%%", speed, 100*median)
		}
		if worst := max(off[len(off)-1], -off[0]); worst > c.Worst {
			t.Errorf("speed %.1f: one estimate is off by %+.0f%%", speed, 100*worst)
		}
	}
}

// checkFits compares the daemons' fits with the usual engine, whose speed is the geometric mean. A third more is allowed
// for slow phases and queues.
func (c speedCase) checkFits(t *testing.T, fits []*State) {
	t.Helper()
	var perToken []float64
	for _, s := range fits {
		perToken = append(perToken, s.Estimate().TokenMS)
	}
	slices.Sort(perToken)
	usual := usualTokenMS / math.Exp(c.meanLog())
	if median := perToken[len(perToken)/2]; median < 0.9*usual || median > 1.35*usual {
		t.Errorf("the median daemon's time of a token is %.1f ms, that of the usual engine %.1f ms", median, usual)
	}
}

func (c speedCase) meanLog() float64 {
	sum := 0.0
	for i := range c.Engines {
		sum += math.Log(c.Speeds[i%len(c.Speeds)])
	}
	return sum / float64(c.Engines)
}

// arrivals returns a Poisson-distributed number of requests.
func (e *phasedEngine) arrivals(mean float64) int {
	count := 0
	for left := e.random.ExpFloat64(); left < mean; left += e.random.ExpFloat64() {
		count++
	}
	return count
}

// answer returns the time in milliseconds of an answer that begins at a time. Calls must be in the order of time.
func (e *phasedEngine) answer(at time.Duration, tokens int) float64 {
	for e.phases && at >= e.end {
		e.next = e.end + time.Duration(e.random.ExpFloat64()*float64(phasePause))
		e.end = e.next + phaseLength
	}
	ms, begin := 0.0, float64(at.Milliseconds())
	for range tokens {
		perToken := usualTokenMS / e.speed
		if now := begin + ms; e.phases && now >= float64(e.next.Milliseconds()) && now < float64(e.end.Milliseconds()) {
			perToken *= 2.5
		}
		ms += perToken
	}
	return ms
}

// TestSpeedsForget guards against the speed of an ended process that is used for the next one, and against an estimate
// that stays for ever while nothing is observed.
func TestSpeedsForget(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSpeeds()
	add := func(key uint32, logarithm float64) {
		for range 40 {
			s.Add(key, Tally{Sum: 2 * logarithm, Count: 2}, now)
			now = now.Add(250 * time.Millisecond)
		}
	}
	add(1, -0.7)
	add(2, 0)
	add(3, 0)
	if c := s.Compare([]uint32{1, 2, 3}, false, now); !c.Differ || c.Factor(1) > 0.8 || c.Factor(4) != 1 {
		t.Errorf("speeds %v", c.Logs)
	}
	s.Retain(map[uint32]bool{2: true, 3: true})
	if c := s.Compare([]uint32{1, 2, 3}, true, now); c.Differ || c.Factor(1) != 0 {
		t.Errorf("after the restart, speeds %v", c.Logs)
	}
	if c := s.Compare([]uint32{2, 3}, false, now.Add(10*time.Minute)); len(c.Logs) != 0 {
		t.Errorf("ten minutes without observations, speeds %v", c.Logs)
	}
}

// TestSpeedsFollow guards against an estimate that stays after an engine has become slow for good.
func TestSpeedsFollow(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSpeeds()
	observe := func(seconds int, logarithm float64) Comparison {
		for range 2 * seconds {
			present := s.Compare([]uint32{1, 2, 3}, false, now).Logs
			for key, observed := range map[uint32]float64{1: logarithm, 2: 0, 3: 0} {
				s.Add(key, Tally{}.With(observed, present[key]).Plus(Tally{}.With(observed, present[key])), now)
			}
			now = now.Add(500 * time.Millisecond)
		}
		return s.Compare([]uint32{1, 2, 3}, false, now)
	}
	if c := observe(60, 0); c.Differ {
		t.Errorf("speeds of equal engines differ: %v", c.Logs)
	}
	if c := observe(30, -0.7); !c.Differ {
		t.Errorf("30 s after an engine became slow, speeds %v", c.Logs)
	}
}

// TestTally guards against a single observation or a broken number that moves an estimate far, and against a count that
// exceeds its byte in a message.
func TestTally(t *testing.T) {
	if got := (Tally{}).With(-9, 0).Mean(); got != -maxResidual {
		t.Errorf("an observation of -9 counts as %.2f, want %.2f", got, -maxResidual)
	}
	if got := (Tally{}).With(math.NaN(), 0); got.Count != 0 {
		t.Errorf("a broken number counts as %+v", got)
	}
	many := Tally{Sum: 100, Count: 200}.Plus(Tally{Sum: 100, Count: 200})
	if many.Count != MaxCount || math.Abs(many.Mean()-0.5) > 1e-9 {
		t.Errorf("the sum of many is %+v, want a count of %d and a mean of 0.5", many, MaxCount)
	}
	s := NewSpeeds()
	s.Add(1, Tally{Sum: -0.6 * 200, Count: 200}, time.Unix(1000, 0))
	if w := s.estimates[1].weight; w > maxCredit {
		t.Errorf("observations at one time have a weight of %.0f, at most %d are independent", w, maxCredit)
	}
}

// TestNormalizedFit guards against a fit that follows the mix of speeds: the times of slow and fast engines tell the same
// usual engine.
func TestNormalizedFit(t *testing.T) {
	s := New()
	for i := range 400 {
		speed := []float64{0.6, 1, 1.6, 1.6, 1.6}[i%5]
		tokens := 300 << (i % 6)
		s.RecordFirst(First{Tokens: tokens, Wait: milliseconds((20 + float64(tokens)/50) / speed), Speed: speed})
		s.RecordAnswer(Answer{Tokens: 50, Took: milliseconds(50 * 6 / speed), Speed: speed})
		s.RecordPlain(Plain{Took: milliseconds(30 / speed), Speed: speed})
		s.RecordWait(Wait{Predicted: milliseconds(40 / speed), Observed: milliseconds(55 / speed), Speed: speed})
	}
	got := s.Estimate()
	want := Estimate{PrefillPerMS: busyFraction * 50, FirstMS: 20, TokenMS: 6, PlainMS: 30, ExtraMS: 15}
	for name, pair := range map[string][2]float64{
		"prefill": {got.PrefillPerMS, want.PrefillPerMS}, "first": {got.FirstMS, want.FirstMS}, "token": {got.TokenMS, want.TokenMS},
		"plain": {got.PlainMS, want.PlainMS}, "extra": {got.ExtraMS, want.ExtraMS},
	} {
		if math.Abs(pair[0]-pair[1]) > 0.05*pair[1] {
			t.Errorf("%s: %.2f, want %.2f", name, pair[0], pair[1])
		}
	}
	if slow := got.At(0.5); math.Abs(slow.FirstMS-70) > 2 || math.Abs(slow.TokenMS-12) > 0.5 || got.At(0) != got {
		t.Errorf("at half the speed %+v", slow)
	}
}
