package relay

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"lentilstage.dev/decide/lease"
	"lentilstage.dev/decide/usage"
)

type (
	// duty holds the lease of the platform calls that one daemon at a time makes, and makes
	// them while it holds it.
	duty struct {
		daemon *Daemon

		mutex    sync.Mutex
		lease    lease.State
		resigned bool
		capacity *capacity

		// final and sent belong to the goroutine of run: the windows whose counts are on the
		// log, and those that the platform has confirmed.
		final    map[int64]usage.Counts
		finalEnd int64
		loaded   int64
		sent     map[int64]bool
	}

	// finalCounts is the record of the last windows whose counts are final.
	finalCounts struct {
		Windows map[int64]usage.Counts `json:"Windows"`
	}
)

const (
	dutyInterval = 200 * time.Millisecond
	dutyKey      = "holder"
	usageKey     = "final"
	callTimeout  = 800 * time.Millisecond
	// settleUsage is waited after a window's end for the peers' last digests.
	settleUsage = 1500 * time.Millisecond
	// keptFinal is the number of final windows in the record.
	keptFinal = 5
	// noFence means that the final counts were not read by the present holder.
	noFence = -1
)

func newDuty(d *Daemon) *duty {
	return &duty{
		capacity: newCapacity(d),
		daemon:   d, lease: lease.New(d.settings.Name, d.incarnation, d.settings.Bounds.Lease),
		final: map[int64]usage.Counts{}, sent: map[int64]bool{}, loaded: noFence,
	}
}

// heard says that a peer has told that it holds the duty.
func (u *duty) heard(fence int64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.lease = u.lease.WithHeard(fence, u.daemon.clock.boot())
}

// fence returns the fencing number if this daemon holds the duty, or 0.
func (u *duty) fence() int64 {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.resigned {
		return 0
	}
	fence, ok := u.lease.Holding(u.daemon.clock.boot())
	if !ok {
		return 0
	}
	return fence
}

// resign ends the holding: a daemon that stops neither renews nor acts.
func (u *duty) resign() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.resigned = true
}

func (u *duty) run(ctx context.Context) error {
	if !u.daemon.settings.ReportsUsage && !u.daemon.settings.OrdersEndpoints {
		return nil
	}
	return every(ctx, dutyInterval, func() {
		// Only a hub hears the counts of all daemons.
		if u.daemon.draining.Load() || !u.daemon.tables.ready() || u.daemon.tables.hubFollowed() {
			return
		}
		u.keepLease(ctx)
		if u.fence() > 0 && u.daemon.settings.ReportsUsage {
			u.reportUsage(ctx)
		}
		if u.fence() > 0 {
			u.tellRollouts(ctx)
		}
		if u.daemon.settings.OrdersEndpoints && u.capacity.look() && u.fence() > 0 {
			u.capacity.plan(ctx)
		}
	})
}

// keepLease makes the lease's next step.
func (u *duty) keepLease(ctx context.Context) {
	u.mutex.Lock()
	u.lease = u.lease.WithNote(u.capacity.note())
	action := u.lease.Next(u.daemon.clock.boot())
	before := u.lease
	u.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := u.daemon.clock.boot()
	var next lease.State
	switch a := action.(type) {
	case lease.Read:
		record, end, err := u.readLease(ctx)
		if err != nil {
			u.log("Lease not read.", "Error", err.Error())
			next = before.WithUnknown(u.daemon.clock.boot())
			break
		}
		next = before.WithRead(record, end, u.daemon.clock.boot())
	case lease.Append:
		value, err := json.Marshal(a.Record)
		if err != nil {
			u.log("Lease can't be encoded.", "Error", err.Error())
			return
		}
		end, err := u.daemon.store.Append(ctx, Duties, a.At, dutyKey, value)
		if err != nil {
			u.log("Lease not written.", "At", a.At, "Fence", a.Record.Fence, "Error", err.Error())
			next = before.WithUnknown(u.daemon.clock.boot())
			break
		}
		next = before.WithAppended(a, end, sentAt)
		if a.Record.Renewal == 0 {
			u.log("Duty taken.", "Fence", a.Record.Fence, "Note", a.Record.Note)
			u.capacity.takeOver(a.Record.Note)
		}
	default:
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.lease = next
}

func (u *duty) readLease(ctx context.Context) (lease.Record, int64, error) {
	var record lease.Record
	end, err := u.newest(ctx, Duties, dutyKey, &record)
	return record, end, err
}

// newest reads the newest record of a key into a value, which stays as it is without one, and
// returns the stream's end.
func (u *duty) newest(ctx context.Context, stream Stream, key string, value any) (int64, error) {
	page, err := u.daemon.store.Newest(ctx, stream)
	if err != nil {
		return 0, err
	}
	for _, r := range page.Records {
		if r.Key == key {
			if err := json.Unmarshal(r.Value, value); err != nil {
				return 0, err
			}
		}
	}
	return page.End, nil
}

// reportUsage makes the counts of ended windows final on the log and sends them. Whoever
// holds the duty sends the same counts for a window.
func (u *duty) reportUsage(ctx context.Context) {
	d := u.daemon
	fence := u.fence()
	now := d.clock.trueNow()
	current := d.tables.window(now)
	if u.loaded != fence {
		if err := u.loadFinal(ctx); err != nil {
			u.log("Final counts not read.", "Error", err.Error())
			return
		}
		u.loaded = fence
	}
	maps.DeleteFunc(u.sent, func(window int64, _ bool) bool { return window <= current-keptFinal })
	for window := current - keptFinal + 1; window < current; window++ {
		if u.sent[window] || now.Before(d.tables.windowEnd(window).Add(settleUsage)) {
			continue
		}
		if now.After(d.tables.windowEnd(window).Add(d.settings.Bounds.UsageLate)) {
			continue
		}
		counts, ok := u.final[window]
		if !ok {
			if counts = d.tables.totals(window); len(counts) == 0 {
				continue
			}
			if err := u.finish(ctx, window, counts); err != nil {
				u.log("Counts not made final.", "Window", window, "Error", err.Error())
				u.loaded = noFence
				return
			}
		}
		u.send(ctx, window, counts)
	}
}

// send tells the platform the counts of a window.
func (u *duty) send(ctx context.Context, window int64, counts usage.Counts) {
	fence := u.fence()
	if fence == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := u.daemon.cloud.ReportUsage(ctx, Mandate{Holder: u.daemon.settings.Name, Fence: fence}, window, counts)
	if err != nil {
		u.daemon.meters.count("Usage.Failed")
		u.log("Usage not reported.", "Window", window, "Fence", fence, "Error", err.Error())
		return
	}
	u.sent[window] = true
	u.daemon.meters.count("Usage.Reported")
	u.log("Usage reported.", "Window", window, "Fence", fence, "Counts", counts)
}

// loadFinal reads which windows are final.
func (u *duty) loadFinal(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var record finalCounts
	end, err := u.newest(ctx, Usage, usageKey, &record)
	if err != nil {
		return err
	}
	u.final, u.finalEnd = record.Windows, end
	return nil
}

// finish writes the counts of a window as final. After an error the record must be read
// again, since it may be there.
func (u *duty) finish(ctx context.Context, window int64, counts usage.Counts) error {
	record := finalCounts{Windows: map[int64]usage.Counts{window: counts}}
	for w, c := range u.final {
		if w > window-keptFinal {
			record.Windows[w] = c
		}
	}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	end, err := u.daemon.store.Append(ctx, Usage, u.finalEnd, usageKey, value)
	if err != nil {
		return err
	}
	u.final, u.finalEnd = record.Windows, end
	return nil
}

func (u *duty) log(message string, fields ...any) {
	u.daemon.logger.WithName("duty").Info(message, fields...)
}

// window returns the usage window of a time.
func (t *tables) window(at time.Time) int64 { return t.usage.Window(at) }

// windowEnd returns the end of a usage window.
func (t *tables) windowEnd(window int64) time.Time { return t.usage.End(window) }

// totals returns the counts of a window over all daemons.
func (t *tables) totals(window int64) usage.Counts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.usage.Totals(window)
}
