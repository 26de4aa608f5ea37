package entry

import (
	"time"

	"lentilstage.dev/domain/table"
)

// streamStats holds the token timing of one attempt.
type streamStats struct {
	started time.Time
	firstAt time.Time
	lastAt  time.Time
	tokens  int
	// resumed is set if the attempt continues an answer, whose first token was sent before.
	resumed bool
}

// addToken records the arrival of a token.
func (f *streamStats) addToken(now time.Time) {
	if f.tokens == 0 {
		f.firstAt = now
	}
	f.lastAt = now
	f.tokens++
}

// firstToken returns the time to the first token, or 0 if there is none.
func (f streamStats) firstToken() time.Duration {
	if f.tokens == 0 {
		return 0
	}
	return f.firstAt.Sub(f.started)
}

// meanGap returns the mean time between tokens, or 0 if there are fewer than two.
func (f streamStats) meanGap() time.Duration {
	if f.tokens < 2 {
		return 0
	}
	return f.lastAt.Sub(f.firstAt) / time.Duration(f.tokens-1)
}

// attemptResult compares the attempt with the route's latency targets. A target of 0 is not
// checked.
func (f streamStats) attemptResult(row table.Route) attemptResult {
	first := time.Duration(row.FirstTokenMs) * time.Millisecond
	gap := time.Duration(row.BetweenTokensMs) * time.Millisecond
	return attemptResult{
		SlowFirst: first > 0 && !f.resumed && f.firstToken() > first,
		SlowGaps:  gap > 0 && f.meanGap() > gap,
	}
}
