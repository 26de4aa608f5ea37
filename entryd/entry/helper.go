package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/wire/client"
)

var (
	// errOutcomeUnknown reports an append whose outcome is not known by the deadline.
	errOutcomeUnknown = eris.New("the log has not told whether it took the record")
	// errLogRefused reports an append that the log rejected, so that nothing was appended.
	errLogRefused = eris.New("the log refused the record")
)

// refusedByLog reports whether the log itself rejected the request. A status of 500 or above may
// come from an intermediary after the append took effect, so it does not count as a rejection.
func refusedByLog(err error) bool {
	var status *client.StatusError
	return errors.As(err, &status) && status.Status < 500
}

// sleep waits until the pause is over or the context ends.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// runEvery calls work at the interval until the context ends. A slow call delays the next one.
func runEvery(ctx context.Context, interval time.Duration, work func()) error {
	for ctx.Err() == nil {
		work()
		sleep(ctx, interval)
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func boolToFloat(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}
