package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"lentilstage.dev/decide/lease"
	"lentilstage.dev/decide/usage"
	"lentilstage.dev/domain/value"
)

type (
	// leader holds the lease of the platform calls that only one daemon at a time may make, and makes
	// them while it holds the lease. The platform's term for these calls is duty.
	leader struct {
		daemon *Daemon

		mutex    sync.Mutex
		lease    lease.State
		resigned bool
		// appendTime is how long the last append to the log took that was confirmed.
		appendTime      time.Duration
		capacityPlanner *capacityPlanner
		findings        findingsLog

		// finalWindows holds the usage windows whose counts are final in the log, and sentWindows
		// those that the platform has confirmed. Only the goroutine of run uses them.
		finalWindows map[int64]usage.Counts
		finalEnd     value.Position
		finalFence   int64
		sentWindows  map[int64]bool
		// lostBefore is the first window that no former holder can have reported with counts that a
		// restored log has lost.
		lostBefore int64
		// checkedFence is the fencing number under which lostBefore was last determined, continuedFence the
		// one under which this daemon took the lease again as the last holder after that.
		checkedFence   int64
		continuedFence int64
	}

	// finalCounts is the record of the latest windows whose counts are final. Era is the era of the log
	// in which it was written, LostBefore the first window whose counts the log can't have lost.
	finalCounts struct {
		Windows    map[int64]usage.Counts `json:"Windows"`
		Era        int64                  `json:"Era,omitempty"`
		LostBefore int64                  `json:"LostBefore,omitempty"`
	}
)

const (
	leaderInterval = 200 * time.Millisecond
	leaseKey       = "holder"
	usageKey       = "final"
	callTimeout    = 800 * time.Millisecond
	// usageSettleTime is the wait after a window's end for the peers' last digests.
	usageSettleTime = 1500 * time.Millisecond
	// hubSettleTime is the time from which a new hub has the counts of all windows: they reach the hub of each data
	// centre, and then the other hubs, within countsInterval each.
	hubSettleTime = 2*countsInterval + 500*time.Millisecond
	// keptFinalWindows is the number of final windows in the record.
	keptFinalWindows = 5
	// fenceUnread means that the final counts were not read under the present lease.
	fenceUnread = -1
)

// errRecordInvalid reports a record of the daemons that can't be decoded.
var errRecordInvalid = errors.New("record invalid")

func newLeader(d *Daemon) *leader {
	return &leader{
		capacityPlanner: newCapacityPlanner(d),
		daemon:          d, lease: lease.New(d.settings.Name, d.incarnation, d.settings.Limits.LeaseDuration),
		finalWindows: map[int64]usage.Counts{}, sentWindows: map[int64]bool{}, finalFence: fenceUnread,
		findings: findingsLog{fence: fenceUnread},
	}
}

// observe records that a peer holds the lease, with its fencing number.
func (l *leader) observe(fence int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lease = l.lease.WithAnnouncement(fence, l.daemon.clock.boot())
}

// fence returns the fencing number if this daemon holds the lease, or 0.
func (l *leader) fence() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.resigned {
		return 0
	}
	fence, ok := l.lease.Holding(l.daemon.clock.boot())
	if !ok {
		return 0
	}
	return fence
}

// call begins a call under the lease. It returns the fencing number, or 0 if this daemon does not hold the lease, and a
// context that ends with the lease or after callTimeout: the call must not arrive behind those of the next holder.
func (l *leader) call(ctx context.Context) (_ context.Context, cancel context.CancelFunc, fence int64) {
	fence = l.fence()
	l.mutex.Lock()
	left := l.lease.End().Sub(l.daemon.clock.boot())
	l.mutex.Unlock()
	ctx, cancel = context.WithTimeout(ctx, min(callTimeout, left))
	return ctx, cancel, fence
}

// resign gives up the lease: a daemon that stops neither renews it nor acts under it.
func (l *leader) resign() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.resigned = true
}

func (l *leader) run(ctx context.Context) error {
	return every(ctx, leaderInterval, func() {
		// Only a hub receives the counts of all daemons.
		if !l.hasDuties() || l.daemon.draining.Load() || !l.daemon.tables.ready() || l.daemon.tables.followsOtherHub() {
			return
		}
		l.advanceLease(ctx)
		if l.fence() > 0 && l.daemon.settings.ReportsUsage {
			l.reportUsage(ctx)
		}
		if l.fence() > 0 {
			l.publishRollouts(ctx)
			l.publishFindings(ctx)
		}
		if l.daemon.settings.OrdersEndpoints && l.capacityPlanner.updateDemand() && l.fence() > 0 {
			l.capacityPlanner.plan(ctx)
		}
	})
}

// hasDuties reports whether the platform, a roll-out or a quarantine needs a lease holder.
func (l *leader) hasDuties() bool {
	d := l.daemon
	return d.settings.ReportsUsage || d.settings.OrdersEndpoints || d.tables.hasRollouts(d.era.Load()) || d.tables.hasQuarantines(d.clock.now())
}

// advanceLease takes the step that is due. The last holder takes the lease again right after the read. All others
// append at the next step: while all daemons start, each would take the lease before it knows its hub, and the
// holder, which becomes the hub, might be one of the slowest.
func (l *leader) advanceLease(ctx context.Context) {
	if l.stepLease(ctx) && l.uncontested() {
		l.stepLease(ctx)
	}
}

// uncontested reports whether this daemon was the last holder of the lease.
func (l *leader) uncontested() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lease.Uncontested(l.daemon.clock.boot())
}

// stepLease reads, takes or renews the lease if that is due. It reports whether it has read the lease.
func (l *leader) stepLease(ctx context.Context) (read bool) {
	l.mutex.Lock()
	l.lease = l.lease.WithNote(l.capacityPlanner.encodedDemand())
	action := l.lease.Next(l.daemon.clock.boot())
	before := l.lease
	l.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := l.daemon.clock.boot()
	var next lease.State
	switch a := action.(type) {
	case lease.Read:
		record, end, err := l.readLease(ctx)
		if err != nil {
			l.log("Reading the lease failed.", "Error", err.Error())
			next = before.WithFailure(l.daemon.clock.boot())
			break
		}
		next, read = before.WithRead(record, end, l.daemon.clock.boot()), true
	case lease.Append:
		encoded, err := json.Marshal(a.Record)
		if err != nil {
			l.log("Lease can't be encoded.", "Error", err.Error())
			return false
		}
		end, err := l.daemon.store.Append(ctx, Leases, a.At, leaseKey, encoded)
		if err != nil {
			l.log("Writing the lease failed.", "At", a.At, "Fence", a.Record.Fence, "Error", err.Error())
			next = before.WithFailure(l.daemon.clock.boot())
			break
		}
		next = before.WithAppended(a, end, sentAt)
		l.appendTime = l.daemon.clock.boot().Sub(sentAt)
		if a.Record.Renewal == 0 && end.Era == a.Record.Era {
			continued := before.Uncontested(sentAt)
			if continued && l.checkedFence == before.LastFence() {
				l.continuedFence = a.Record.Fence
			}
			l.log("Lease acquired.", "Fence", a.Record.Fence, "Note", a.Record.Note, "Era", end.Era, "Continued", continued)
			if !continued {
				l.capacityPlanner.restoreDemand(a.Record.Note)
			}
		}
	default:
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lease = next
	return read
}

func (l *leader) readLease(ctx context.Context) (lease.Record, value.Position, error) {
	var record lease.Record
	end, err := l.readNewest(ctx, Leases, leaseKey, &record)
	return record, end, err
}

// readNewest decodes the newest record of a key and returns the stream's end. Without such
// a record the decoded value stays as it is. It returns errRecordInvalid, with the end, for a record that can't be
// decoded.
func (l *leader) readNewest(ctx context.Context, stream Stream, key string, decoded any) (value.Position, error) {
	page, err := l.daemon.store.Newest(ctx, stream)
	if err != nil {
		return value.Position{}, err
	}
	l.daemon.observeEra(page.End.Era, "")
	for _, r := range page.Records {
		if r.Key == key {
			if err := json.Unmarshal(r.Value, decoded); err != nil {
				return page.End, fmt.Errorf("%w: %s in %s: %w", errRecordInvalid, key, stream, err)
			}
		}
	}
	return page.End, nil
}

// reportUsage writes the counts of ended windows to the log as final, then sends them to the
// platform. Every lease holder sends the same counts for a window.
func (l *leader) reportUsage(ctx context.Context) {
	d := l.daemon
	fence := l.fence()
	now := d.clock.wallNow()
	current := d.tables.window(now)
	if l.finalFence != fence {
		if err := l.readFinal(ctx, fence); err != nil {
			l.log("Reading the final counts failed.", "Error", err.Error())
			return
		}
		l.finalFence = fence
	}
	maps.DeleteFunc(l.sentWindows, func(window int64, _ bool) bool { return window <= current-keptFinalWindows })
	for window := current - keptFinalWindows + 1; window < current; window++ {
		if l.sentWindows[window] || now.Before(d.tables.windowEnd(window).Add(usageSettleTime)) {
			continue
		}
		if now.After(d.tables.windowEnd(window).Add(d.settings.Limits.MaxUsageDelay)) {
			continue
		}
		counts, ok := l.finalWindows[window]
		if !ok && window < l.lostBefore {
			continue
		}
		if !ok && !d.tables.countsSettled(d.clock.now()) {
			return
		}
		if !ok {
			if counts = d.tables.usageTotals(window); len(counts) == 0 {
				continue
			}
			if err := l.writeFinal(ctx, window, counts); err != nil {
				l.log("Writing the final counts failed.", "Window", window, "Error", err.Error())
				l.finalFence = fenceUnread
				return
			}
		}
		l.sendUsage(ctx, window, counts)
	}
}

// sendUsage reports the counts of a window to the platform.
func (l *leader) sendUsage(ctx context.Context, window int64, counts usage.Counts) {
	ctx, cancel, fence := l.call(ctx)
	defer cancel()
	if fence == 0 {
		return
	}
	err := l.daemon.cloud.ReportUsage(ctx, HeldLease{Holder: l.daemon.settings.Name, Fence: fence}, window, counts)
	if err != nil {
		l.daemon.meters.count("Usage.Failed")
		l.log("Usage not reported.", "Window", window, "Fence", fence, "Error", err.Error())
		return
	}
	l.sentWindows[window] = true
	l.daemon.meters.count("Usage.Reported")
	l.log("Usage reported.", "Window", window, "Fence", fence, "Counts", counts)
}

// readFinal reads the windows that are final, under the lease with a fencing number.
func (l *leader) readFinal(ctx context.Context, fence int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var record finalCounts
	end, err := l.readNewest(ctx, Usage, usageKey, &record)
	if err != nil {
		return err
	}
	l.lostBefore = max(l.lostBefore, record.LostBefore)
	if fence != l.checkedFence && fence != l.continuedFence && l.mayLackWindows(record, end) {
		l.lostBefore = l.daemon.tables.window(l.daemon.clock.wallNow())
		l.log("Usage windows may have been reported with counts that are lost.", "Before", l.lostBefore, "Era", end.Era, "Written", record.Era)
	}
	l.checkedFence = fence
	windows := map[int64]usage.Counts{}
	maps.Copy(windows, record.Windows)
	// Windows that this daemon has made final itself stay so if a restored log has lost them.
	maps.Copy(windows, l.finalWindows)
	l.finalWindows, l.finalEnd = windows, end
	return nil
}

// mayLackWindows reports whether a former holder may have made windows final that the record lacks: it was
// written before the log was restored.
func (l *leader) mayLackWindows(record finalCounts, end value.Position) bool {
	if record.Era == end.Era {
		return false
	}
	return end.Offset > 0 || l.daemon.logRestored.Load()
}

// writeFinal writes the counts of a window as final. After an error the record must be read again,
// since it may have been written.
func (l *leader) writeFinal(ctx context.Context, window int64, counts usage.Counts) error {
	record := finalCounts{Windows: map[int64]usage.Counts{window: counts}, Era: l.finalEnd.Era, LostBefore: l.lostBefore}
	for w, c := range l.finalWindows {
		if w > window-keptFinalWindows {
			record.Windows[w] = c
		}
	}
	encoded, err := json.Marshal(record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	end, err := l.daemon.store.Append(ctx, Usage, l.finalEnd.Offset, usageKey, encoded)
	if err != nil {
		return err
	}
	l.finalWindows, l.finalEnd = record.Windows, end
	return nil
}

func (l *leader) log(message string, fields ...any) {
	l.daemon.logger.WithName("duty").Info(message, fields...)
}

// countsSettled reports whether this daemon has been its own hub long enough to have received the counts of all others.
func (t *tables) countsSettled(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.hubSince.IsZero() || now.Sub(t.hubSince) >= hubSettleTime
}

// window returns the usage window that contains a time.
func (t *tables) window(at time.Time) int64 { return t.usage.Window(at) }

// windowEnd returns the end of a usage window.
func (t *tables) windowEnd(window int64) time.Time { return t.usage.End(window) }

// usageTotals returns the counts of a window over all daemons.
func (t *tables) usageTotals(window int64) usage.Counts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.usage.Totals(window)
}
