// Package clock provides the time that permissions are measured by.
//
// # Usage
//
//	deadline := clock.Boot().Add(lease)
//	if clock.Boot().Before(deadline) { ... }
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the instance's boot, as a time since 1970. It goes on while the instance is
// suspended, which Go's monotonic time does not, and steps of the time of day don't affect it. Times of
// two instances can't be compared.
func Boot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every kernel that Go supports.
		panic(err)
	}
	return time.Unix(t.Unix())
}
