package retry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
)

type (
	hedgeCase struct {
		Name         string  `yaml:"Name"`
		Endpoints    int     `yaml:"Endpoints"`
		PerSecond    int     `yaml:"PerSecond"`
		PredictedMS  int     `yaml:"PredictedMs"`
		TargetMS     int     `yaml:"TargetMs"`
		SlowFraction float64 `yaml:"SlowFraction"`
		PhaseMS      int     `yaml:"PhaseMs"`
		SlowFactor   float64 `yaml:"SlowFactor"`
		Share        float64 `yaml:"Share"`
		// MinCopies and MaxCopies are in 100 requests. Cut is the least fraction by which copies reduce the number
		// of requests that miss their target.
		MinCopies float64 `yaml:"MinCopies"`
		MaxCopies float64 `yaml:"MaxCopies"`
		Cut       float64 `yaml:"Cut"`
	}

	// delayed is a request without an answer at the time of the next decision about a copy.
	delayed struct {
		Progress
		answered time.Time
	}
)

// answerTime returns when an endpoint with slow phases ends a piece of work, and consumes random numbers.
func (c hedgeCase) answerTime(phases []bool, from time.Time) time.Time {
	work := float64(c.PredictedMS)
	at := from
	for ; work > 0; at = at.Add(time.Millisecond) {
		phase := int(at.Sub(start).Milliseconds()) / c.PhaseMS
		switch {
		case !phases[min(phase, len(phases)-1)]:
			work--
		case c.SlowFactor > 0:
			work -= 1 / c.SlowFactor
		}
	}
	return at
}

// TestHedgesUnderSlowPhases guards against copies that don't help requests at endpoints in a slow phase, that exceed the
// operator's share, or that add load when all endpoints are slow.
func TestHedgesUnderSlowPhases(t *testing.T) {
	for _, c := range cases.Load[hedgeCase](t, "testdata/hedges.yaml") {
		requests, copies, late, lateAlone := c.play()
		share := 100 * float64(copies) / float64(requests)
		t.Logf("%s: %d requests, %.1f%% copied, %d late with copies, %d without", c.Name, requests, share, late, lateAlone)
		if share < c.MinCopies || share > c.MaxCopies {
			t.Errorf("%s: %.1f%% of the requests got a copy, want %.1f to %.1f", c.Name, share, c.MinCopies, c.MaxCopies)
		}
		if float64(late) > float64(lateAlone)*(1-c.Cut) {
			t.Errorf("%s: %d requests late with copies and %d without, want a cut by %.2f", c.Name, late, lateAlone, c.Cut)
		}
	}
}

// play returns the numbers of requests, of copies and of requests that miss their target, with copies and without.
func (c hedgeCase) play() (requests, copies, late, lateAlone int) {
	const span = 60 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	phases := make([][]bool, c.Endpoints)
	for i := range phases {
		for range int(span.Milliseconds())/c.PhaseMS + 2 {
			phases[i] = append(phases[i], random.Float64() < c.SlowFraction)
		}
		phases[i] = append(phases[i], false)
	}
	settings := DefaultSettings()
	settings.BudgetFraction, settings.HedgeFraction = 0.3, c.Share
	budget := New(settings)
	predicted, target := time.Duration(c.PredictedMS)*time.Millisecond, time.Duration(c.TargetMS)*time.Millisecond
	var open []delayed
	for now := start; now.Before(start.Add(span)); now = now.Add(time.Millisecond) {
		if random.Float64() < float64(c.PerSecond)/1000 {
			requests++
			budget, _ = budget.Update(Arrived{Time: now, Account: "pool"})
			answered := c.answerTime(phases[random.IntN(c.Endpoints)], now)
			if answered.After(now.Add(target)) {
				lateAlone++
			}
			open = append(open, delayed{Progress{ArrivedAt: now, SentAt: now, Predicted: predicted, Other: predicted, Target: target}, answered})
		}
		open = slices.DeleteFunc(open, func(d delayed) bool {
			isLate := !now.Before(d.LateAt())
			if now.Equal(d.LateAt()) || !isLate && !now.Before(d.answered) {
				budget, _ = budget.Update(Observed{Time: now, Account: "pool", Late: isLate})
			}
			if !now.Before(d.answered) {
				return true
			}
			if d.answered.After(d.ArrivedAt.Add(target)) && now.Equal(d.ArrivedAt.Add(target)) {
				late++
			}
			hedgeAt, inTime := d.HedgeAt()
			if !inTime || !now.Equal(hedgeAt.Truncate(time.Millisecond)) {
				return false
			}
			var commands []Command
			budget, commands = budget.Update(Delayed{Time: hedgeAt, HedgeAt: hedgeAt, Attempt: Attempt{
				Request: "x", Account: "pool", Number: 1, Repeatable: true, Sent: true, LatestStart: d.LatestStart(),
			}})
			copies += len(commands)
			if len(commands) == 0 {
				return false
			}
			answered := c.answerTime(phases[random.IntN(c.Endpoints)], now)
			if answered.After(d.answered) {
				answered = d.answered
			}
			if answered.After(d.ArrivedAt.Add(target)) {
				late++
			}
			return true
		})
	}
	return requests, copies, late, lateAlone
}
