package hold

import "time"

type (
	// Departure describes a stream on an endpoint that is about to stop.
	Departure struct {
		Now time.Time
		// Deadline is the time at which the endpoint stops; zero if unknown.
		Deadline time.Time
		// Remaining is the maximum number of tokens that are still to be generated.
		Remaining int
		// TokenPeriod is the time between two tokens of the stream; zero if unknown.
		TokenPeriod time.Duration
		// ContextTokens is the number of prompt and answer tokens that a resume has to recompute.
		ContextTokens int
	}

	// Migration is the way in which a stream leaves an endpoint that is about to stop.
	Migration string
)

const (
	// StayToEnd leaves the stream on its endpoint, since it ends before the endpoint stops.
	StayToEnd Migration = "StayToEnd"
	// MoveByExport moves the KV cache to another endpoint and continues there.
	MoveByExport Migration = "MoveByExport"
	// MoveByResume starts a new attempt on another endpoint with the prompt and the tokens so far.
	MoveByResume Migration = "MoveByResume"

	// stopMargin is how long before the stop a stream must have ended or moved. It covers the
	// clock error between the daemon and the cloud.
	stopMargin = time.Second
	// exportBase is the fixed time of an export and import.
	exportBase = 300 * time.Millisecond
	// exportPerToken is the time that each token adds to an export and import.
	exportPerToken = 20 * time.Microsecond
	// minExportTokens is the context length below which recomputing is faster than an export.
	minExportTokens = 256
)

// Migrate returns how a stream leaves its endpoint. It prefers to let the stream end, which
// recomputes nothing, then an export of the KV cache if the time suffices, then a resume.
func Migrate(d Departure) Migration {
	available := d.Deadline.Sub(d.Now) - stopMargin
	untilEnd := time.Duration(d.Remaining) * d.TokenPeriod
	export := exportBase + time.Duration(d.ContextTokens)*exportPerToken
	switch {
	case !d.Deadline.IsZero() && d.TokenPeriod > 0 && untilEnd <= available:
		return StayToEnd
	case !d.Deadline.IsZero() && d.ContextTokens >= minExportTokens && export <= available:
		return MoveByExport
	default:
		return MoveByResume
	}
}
