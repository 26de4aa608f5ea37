package relay

import (
	"fmt"
	"testing"
	"time"

	"lentilstage.dev/decide/retry"
)

// TestBudgetIsSplit guards against daemons that together retry more often than the platform allows,
// and against broken streams that are not resumed although the allowance suffices.
func TestBudgetIsSplit(t *testing.T) {
	const (
		daemons  = 7
		requests = 40
	)
	bounds := Limits{RetryRatio: 0.2, RetryAllowance: 54, RetryWindow: 10 * time.Second}
	now := time.Unix(1000, 0)
	granted := 0
	for range daemons {
		b := newBudget(bounds)
		b.resize(daemons)
		for range requests {
			b.arrived("pool", now)
		}
		for n := range requests {
			attempt := retry.Attempt{Request: fmt.Sprint(n), Account: "pool", Number: 1, Repeatable: true, LatestStart: now.Add(time.Second)}
			if _, ok := b.requestRetry(attempt, now, 0).(retry.Retry); ok {
				granted++
			}
		}
	}
	allowed := bounds.RetryRatio*daemons*requests + float64(bounds.RetryAllowance)
	if float64(granted) > allowed || float64(granted) < allowed/2 {
		t.Errorf("%d retries granted, allowed %.0f", granted, allowed)
	}
}
