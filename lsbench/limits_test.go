package main

import "testing"

// TestFloodDoesNotDelayOthers guards against a flood from one account, through all daemons or
// through one, that leaves less than 99% of the other accounts' requests answered in time or delays
// their starts by more than two seconds at the 95th percentile.
func TestFloodDoesNotDelayOthers(t *testing.T) {
	t.Parallel()
	for _, oneDaemon := range []bool{false, true} {
		r := runLimits(1, limitsPolicies[2], limitsScenario{load: 0.6, flood: 10, oneDaemon: oneDaemon})
		if r.othersInTime*100 < r.othersOffered*99 || r.others.percentile(95) > 2000 {
			t.Errorf("through one daemon %v: %d of %d answers of the other accounts in time, 95th percentile of the wait %g ms",
				oneDaemon, r.othersInTime, r.othersOffered, r.others.percentile(95))
		}
	}
}

// TestOverloadKeepsAnswersUseful guards against overload that reduces the number of answers in time,
// makes more than 1% of the answers late, or starves background requests.
func TestOverloadKeepsAnswersUseful(t *testing.T) {
	t.Parallel()
	atCapacity := runLimits(1, limitsPolicies[2], limitsScenario{load: 1, flood: 1})
	overloaded := runLimits(1, limitsPolicies[2], limitsScenario{load: 5, flood: 1})
	if overloaded.inTime < atCapacity.inTime || overloaded.background == 0 || overloaded.late*100 > overloaded.inTime {
		t.Errorf("at capacity %d answers in time; at 5 times the capacity %d in time, %d late, %d in the background",
			atCapacity.inTime, overloaded.inTime, overloaded.late, overloaded.background)
	}
}
