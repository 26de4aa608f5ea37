package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
)

type engineCase struct {
	Name         string  `yaml:"Name"`
	PrefillPerMS float64 `yaml:"PrefillPerMS"`
	FirstMS      float64 `yaml:"FirstMS"`
	TokenMS      float64 `yaml:"TokenMS"`
	Prompts      []int   `yaml:"Prompts"`
	Busy         int     `yaml:"Busy"`
	// Requests is the number of requests; 0 means 300.
	Requests int  `yaml:"Requests"`
	Known    bool `yaml:"Known"`
}

// TestEstimate guards against an estimate that stays at the default while the engines are several times
// as fast or slow: fast engines would be ordered several times too often, slow ones given prompts that
// they can't read in time.
func TestEstimate(t *testing.T) {
	for _, c := range cases.Load[engineCase](t, "testdata/engines.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			s := New()
			requests := c.Requests
			if requests == 0 {
				requests = 300
			}
			for i := range requests {
				tokens := int(float64(c.Prompts[i%len(c.Prompts)]) * (0.8 + 0.4*random.Float64()))
				wait := c.FirstMS + float64(tokens)/c.PrefillPerMS
				if random.IntN(100) < c.Busy {
					wait += 300 * random.Float64()
				}
				s.RecordFirst(First{Tokens: tokens, Wait: milliseconds(wait)})
				s.RecordAnswer(Answer{Tokens: 50, Took: milliseconds(50 * c.TokenMS)})
			}
			e := s.Estimate()
			if !c.Known {
				if e.PrefillPerMS != Default.PrefillPerMS || e.FirstMS != Default.FirstMS {
					t.Errorf("estimate %+v, want the default", e)
				}
				return
			}
			if want := busyFraction * c.PrefillPerMS; math.Abs(e.PrefillPerMS-want) > want/4 {
				t.Errorf("%.1f prompt tokens per millisecond, want %.1f", e.PrefillPerMS, want)
			}
			if math.Abs(e.FirstMS-c.FirstMS) > c.FirstMS/4+10 {
				t.Errorf("%.1f ms besides the prompt, want %.1f", e.FirstMS, c.FirstMS)
			}
			if math.Abs(e.TokenMS-c.TokenMS) > c.TokenMS/4 {
				t.Errorf("%.1f ms between tokens, want %.1f", e.TokenMS, c.TokenMS)
			}
		})
	}
}

// TestEstimateIgnoresNonsense guards against samples that can't be, and against busy engines whose times
// don't depend on the prompt: they would make the rate infinite or negative.
func TestEstimateIgnoresNonsense(t *testing.T) {
	s := New()
	for i := range 100 {
		s.RecordFirst(First{Tokens: -1, Wait: time.Second})
		s.RecordFirst(First{Tokens: 10, Wait: -time.Second})
		s.RecordAnswer(Answer{Tokens: 0, Took: time.Second})
		s.RecordFirst(First{Tokens: 100 << (i % 8), Wait: time.Duration(900-i%8) * time.Millisecond})
	}
	if got := s.Estimate(); got != Default {
		t.Errorf("estimate %+v, want the default", got)
	}
}

// TestEstimateFollows guards against an estimate that never changes after the engines were replaced by
// slower ones.
func TestEstimateFollows(t *testing.T) {
	s := New()
	for _, rate := range []float64{125, 30} {
		for i := range 10 * ringSize {
			tokens := 400 << (i % 5)
			s.RecordFirst(First{Tokens: tokens, Wait: milliseconds(float64(tokens) / rate)})
		}
		if got, want := s.Estimate().PrefillPerMS, busyFraction*rate; math.Abs(got-want) > want/4 {
			t.Errorf("%.1f prompt tokens per millisecond, want %.1f", got, want)
		}
	}
}

func milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}
