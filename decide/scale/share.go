package scale

import (
	"slices"
	"time"
)

type (
	// Share measures the engine time that requests used and the engine time that was ordered, over the last shareWindow. It
	// is immutable and its zero value has observed nothing.
	Share struct {
		samples []shareSample
	}

	// shareSample holds the totals at a time, in seconds.
	shareSample struct {
		at            time.Time
		work, ordered float64
	}
)

// shareWindow is the time over which the share is measured.
const shareWindow = 10 * time.Second

// With returns the share after an observation of the total work so far, in seconds at the usual speed, and of the number of
// endpoints of that speed that have been ordered since the last observation. After a lower total of work than before,
// which comes from a different set of daemons, it begins anew.
func (s Share) With(work, ordered float64, now time.Time) Share {
	sample := shareSample{at: now, work: work}
	if n := len(s.samples); n > 0 && work >= s.samples[n-1].work {
		last := s.samples[n-1]
		sample.ordered = last.ordered + ordered*max(now.Sub(last.at), 0).Seconds()
		// The first sample that is kept is the last one before the window.
		first := 0
		for first+1 < n && now.Sub(s.samples[first+1].at) >= shareWindow {
			first++
		}
		return Share{samples: append(slices.Clone(s.samples[first:]), sample)}
	}
	return Share{samples: []shareSample{sample}}
}

// Seconds returns the used and the ordered engine time of the last shareWindow, in seconds at the usual speed, and whether
// the observations cover it.
func (s Share) Seconds() (used, ordered float64, known bool) {
	n := len(s.samples)
	if n < 2 {
		return 0, 0, false
	}
	first, last := s.samples[0], s.samples[n-1]
	return last.work - first.work, last.ordered - first.ordered, last.at.Sub(first.at) >= shareWindow
}
