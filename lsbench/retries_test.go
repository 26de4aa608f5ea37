package main

import "testing"

// TestRetriesStayWithinTheBudget guards against retries that add more than 11% to the load during and
// after the failure of a data centre, and against a recovery that takes more than 90 seconds.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	t.Parallel()
	for _, p := range retriesPolicies[3:] {
		for _, rate := range retriesRates {
			m := runRetries(1, p, rate)
			failing, after := m.phases[1], m.phases[2]
			if float64(failing.attempts) > 1.11*float64(failing.requests) || float64(after.attempts) > 1.11*float64(after.requests) {
				t.Errorf("%s at %d requests/s: %d attempts for %d requests, then %d for %d", p.name, rate,
					failing.attempts, failing.requests, after.attempts, after.requests)
			}
			if m.recoverySeconds() > 90 {
				t.Errorf("%s at %d requests/s: not recovered after %d s", p.name, rate, m.recoverySeconds())
			}
		}
	}
}
