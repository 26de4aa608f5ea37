package roster

import (
	"slices"
	"time"

	"lentilstage.dev/domain/value"
)

type (
	// LogRead reports that a daemon has read the log at a time, and that daemons have read it without an
	// interruption since another one; both are equal for a single read.
	LogRead struct {
		Since, At time.Time
	}

	// LogLost reports that this daemon can't read the log.
	LogLost struct {
		Now time.Time
	}

	// LogRecovered reports that this daemon, or the one that reads for it, has read the log.
	LogRecovered struct {
		Now time.Time
	}

	// reads holds the spans of time in which some daemon has read the log again and again, in order and
	// separated by interruptions.
	reads []span

	span struct{ from, to time.Time }
)

const (
	// defaultReportInterval is how often an endpoint renews its registration if the platform does not say it.
	defaultReportInterval = 1200 * time.Millisecond
	// interruptionIntervals is the number of report intervals from which a time without any read counts as an
	// interruption of the log. A registration expires three intervals after the last renewal, which is at most
	// one interval old when an outage begins.
	interruptionIntervals = 1.5
	// maxSpans limits the spans that are kept; the newest ones matter.
	maxSpans = 8
)

// interruption returns the time without any read from which registrations may have expired.
func interruption(reportInterval time.Duration) time.Duration {
	if reportInterval <= 0 {
		reportInterval = defaultReportInterval
	}
	return time.Duration(interruptionIntervals * float64(reportInterval))
}

// with returns the spans with another one, which is merged with those that are less than a gap away.
func (r reads) with(added span, gap time.Duration) reads {
	if added.to.Before(added.from) {
		added.from = added.to
	}
	var merged reads
	for _, s := range r {
		if s.to.Add(gap).Before(added.from) || added.to.Add(gap).Before(s.from) {
			merged = append(merged, s)
			continue
		}
		added.to = value.Later(added.to, s.to)
		if s.from.Before(added.from) {
			added.from = s.from
		}
	}
	merged = append(merged, added)
	slices.SortFunc(merged, func(a, b span) int { return a.from.Compare(b.from) })
	return merged[max(len(merged)-maxSpans, 0):]
}

// since returns the start of the span that has a time, or that time if none has it.
func (r reads) since(at time.Time) time.Time {
	for _, s := range r {
		if !at.Before(s.from) && !at.After(s.to) {
			return s.from
		}
	}
	return at
}

// ReadableSince returns since when daemons have read the log without an interruption, as far as is known. It is now
// if the last read is too old or none is known.
func (s State) ReadableSince(now time.Time) time.Time {
	if len(s.reads) == 0 {
		return now
	}
	last := s.reads[len(s.reads)-1]
	if now.Sub(last.to) > s.interruption {
		return now
	}
	return last.from
}

// recordRead records a read of the log by any daemon.
func (s State) recordRead(since, at time.Time) State {
	s.reads = s.reads.with(span{from: since, to: at}, s.interruption)
	return s
}

// recover ends the time in which this daemon could not read the log.
func (s State) recover(now time.Time) State {
	if !s.logDown {
		return s
	}
	s.logDown, s.recoveredAt = false, now
	return s.recordRead(now, now)
}

// keptUntil returns until when endpoints are kept whose record is missing: for a grace period after an outage of the
// log and in a new era. If other daemons have read the log while this one could not, registrations have not
// expired, and there was no outage.
func (s State) keptUntil() time.Time {
	if s.recoveredAt.IsZero() {
		return s.graceUntil
	}
	return value.Later(s.graceUntil, s.reads.since(s.recoveredAt).Add(reregisterGrace))
}

func (LogRead) message()      {}
func (LogLost) message()      {}
func (LogRecovered) message() {}
