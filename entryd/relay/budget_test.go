package relay

import (
	"fmt"
	"testing"
	"time"

	"lentilstage.dev/decide/retry"
)

// TestBudgetParts guards against daemons that together send more again than the platform
// allows, and against broken streams that are not resumed though the allowance is there.
func TestBudgetParts(t *testing.T) {
	const (
		daemons  = 7
		requests = 40
	)
	bounds := Bounds{RetryRatio: 0.2, RetryAllowance: 54, RetryWindow: 10 * time.Second}
	now := time.Unix(1000, 0)
	sent := 0
	for range daemons {
		b := newBudget(bounds)
		b.resize(daemons)
		for range requests {
			b.arrived("pool", now)
		}
		for n := range requests {
			attempt := retry.Attempt{Request: fmt.Sprint(n), Account: "pool", Number: 1, Repeatable: true, LatestStart: now.Add(time.Second)}
			if _, ok := b.again(attempt, now, 0).(retry.Again); ok {
				sent++
			}
		}
	}
	allowed := bounds.RetryRatio*daemons*requests + float64(bounds.RetryAllowance)
	if float64(sent) > allowed || float64(sent) < allowed/2 {
		t.Errorf("%d sent again, allowed %.0f", sent, allowed)
	}
}
